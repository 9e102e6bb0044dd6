# Every target sets up its own environment; nothing but Python 3.11 and make is needed.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1

.PHONY: setup test check unit pages demo matrix bench capacity format

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --constraint constraints.txt --editable '.[dev]'
	touch $@

check: setup
	$(BIN)/black --check --quiet .
	$(BIN)/isort --check-only --quiet cranberryrun soak standins fakes bench tests
	$(BIN)/flake8 cranberryrun soak standins fakes bench tests

unit: setup
	timeout 1800 $(BIN)/python -m tests

test: check unit

format: setup
	$(BIN)/isort --quiet cranberryrun soak standins fakes bench tests
	$(BIN)/black --quiet .

pages: setup
	$(BIN)/python -m cranberryrun.pages docs

demo: setup
	timeout 120 $(BIN)/python -m standins.demo

matrix: setup
	timeout 900 $(BIN)/python -m tests.matrix --seed $(SEED)

bench: setup
	timeout 1500 $(BIN)/python -m bench

capacity: setup
	timeout 900 $(BIN)/python -m bench.capacity
