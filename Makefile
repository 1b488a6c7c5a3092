PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := oleanderridge bench tests features tools

.PHONY: test lint format demo generate dist

$(STAMP): requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements/dev.txt
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tools.verdict

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 oleanderridge bench tools

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix -q $(SOURCES)

generate: $(STAMP)
	$(BIN)/python -m tools.generate

# One file that needs Python 3.11 alone. It unpacks once to memory-backed
# storage (SHIV_ROOT changes where) and runs as one process.
dist: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv -q -c oleanderridge -o dist/oleanderridge --compressed \
		--root /run/oleanderridge -p '/usr/bin/env python3.11' \
		-r requirements/main.txt .
	rm -rf build oleanderridge.egg-info

demo: $(STAMP)
	$(BIN)/python -m bench.demo
