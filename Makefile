# build: what `serve` needs; tools: what trials need too; try: ten seconds of a small fleet of stand-ins;
# test, lint: with the developers' tools; trials: the short plans, each ending in its verdict;
# drill: real processes with faults between them, each plan ending in its verdict;
# run: serve by the file that GW_CONFIG names

PYTHON = .venv/bin/python

.PHONY: build tools try test lint trials drill run clean

build: .venv/built

.venv/built: requirements.txt
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

tools: .venv/tools

.venv/tools: requirements.txt requirements-tools.txt
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt
	touch $@

.venv/dev: requirements.txt requirements-tools.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

try: .venv/tools
	$(PYTHON) -m orchidgap try

# real processes are judged by real time: they run when the tests that take all cores have ended
test: .venv/dev
	$(PYTHON) -m pytest -q -n auto --dist worksteal --ignore=tests/fault_tests
	$(PYTHON) -m pytest -q -n auto --dist worksteal tests/fault_tests

lint: .venv/dev
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

trials: .venv/tools
	set -e; for plan in trials/*.toml; do $(PYTHON) -m orchidgap trial $$plan; done

drill: .venv/tools
	set -e; for plan in drills/change-*.toml; do $(PYTHON) -m orchidgap drill $$plan; done

run: build
	trap '' HUP; exec $(PYTHON) -m orchidgap serve

clean:
	rm -rf .venv
