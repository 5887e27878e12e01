# build: what `serve` needs; test, lint: with the developers' tools; run: serve by the file that GW_CONFIG names

PYTHON = .venv/bin/python

.PHONY: build test lint run clean

build: .venv/built

.venv/built: requirements.txt
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

.venv/dev: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

test: .venv/dev
	$(PYTHON) -m pytest -q

lint: .venv/dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

run: build
	exec $(PYTHON) -m orchidgap serve

clean:
	rm -rf .venv
