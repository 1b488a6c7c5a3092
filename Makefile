PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := oleanderridge bench tests features tools

.PHONY: test lint format demo generate check-generated unit features dist bench

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

demo: $(STAMP)
	$(BIN)/python -m bench.demo
