PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Tests run on so many processes at once.
JOBS ?= auto

.PHONY: demo test quick fix check dist

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -c constraints.txt 'pip>=25.1'
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -c constraints.txt --group test --group lint --group dist -e '.[report]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

check: $(STAMP)
	$(BIN)/ruff format --check src tests bench
	$(BIN)/isort --check-only -q src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy

fix: $(STAMP)
	$(BIN)/ruff format src tests bench
	$(BIN)/isort -q src tests bench

test: check
	$(BIN)/python -m pytest -n $(JOBS) --dist worksteal

quick: check
	$(BIN)/python -m pytest -n $(JOBS) --dist worksteal \
	    --ignore tests/failures --ignore tests/fuzz --ignore tests/experiment

dist: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv --quiet --console-script teaselbridge --compressed \
	    --compile-pyc --python '/usr/bin/env python3.11' --output-file dist/teaselbridge \
	    --constraint constraints.txt .
	ls -l dist/teaselbridge
