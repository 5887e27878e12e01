# build: installs what `serve` needs
# tools: also installs what simulations need
# try: simulates a small fleet for ten seconds
# test, lint: install and run the development tools
# trials: simulates each plan in trials/ and prints its verdict
# drill: runs the fault tests drills/change-*.toml on real processes and prints the verdict of each
# run: starts `serve` with the configuration file named by GW_CONFIG

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

# tests/fault_tests check real processes against real time, so they run after the tests that use all cores
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
