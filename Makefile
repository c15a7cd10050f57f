PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: run test unit scenarios lint format measure fuzz takeovers clean

$(INSTALLED): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(INSTALLED)

run: $(INSTALLED)
	$(BIN)/python -m examples.first_run

test: $(INSTALLED)
	PYTHONHASHSEED=0 $(BIN)/python .ci/suite.py

unit: $(INSTALLED)
	PYTHONHASHSEED=0 $(BIN)/python .ci/suite.py --only unit

scenarios: $(INSTALLED)
	PYTHONHASHSEED=0 $(BIN)/python .ci/suite.py --only scenarios

lint: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(INSTALLED)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

measure: $(INSTALLED)
	$(BIN)/python -m measurements

fuzz: $(INSTALLED)
	FUCHSIASCALE_FUZZ_EXAMPLES=20000 $(BIN)/python -m unittest fuchsiascale.coordination.tests.test_state_machine

takeovers: $(INSTALLED)
	PYTHONHASHSEED=0 $(BIN)/python -m fuchsiascale.jobs.tests.play_takeovers --count 2000

clean:
	rm -rf $(VENV) .hypothesis .ruff_cache *.egg-info
