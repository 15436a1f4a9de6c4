VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed-$(shell cksum < requirements-dev.txt | cut -d' ' -f1)
SOURCES := shallotbridge deploy standins tests bench tools soak

.PHONY: setup test lint format generate demo bench binary

setup: $(STAMP)

$(STAMP): requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

format: setup
	$(PYTHON) -m black -q $(SOURCES)

lint: setup
	$(PYTHON) -m black -q --check --diff $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)
	$(PYTHON) -m tools.generate --check

generate: setup
	$(PYTHON) -m tools.generate

test: lint
	PYTHONHASHSEED=0 $(PYTHON) -m pytest

demo: setup
	$(PYTHON) -m bench.demo

bench: setup
	$(PYTHON) -m bench.run

binary: setup
	$(PYTHON) -m tools.binary
