PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test bench soak process-soak capacity frames format lint

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --requirement requirements.lock
	$(BIN)/pip install -qq --no-deps --editable .
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(BIN)/python -m examples.demo.main

test: setup
	PYTHONHASHSEED=0 $(BIN)/python -m tests.main

bench: setup
	$(BIN)/python -m benchmarks.main

soak: setup
	PYTHONHASHSEED=0 $(BIN)/python -m tests.soak --histories $(or $(HISTORIES),1000) --first-seed $(or $(SEED),1)

process-soak: setup
	$(BIN)/python -m tests.process_soak --seeds $(or $(SEEDS),10) --first-seed $(or $(SEED),1) --seconds $(or $(SECONDS_EACH),12)

capacity: setup
	$(BIN)/python -m benchmarks.capacity

frames: setup
	$(BIN)/python -m tools.frames

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src deploy tests benchmarks examples tools
	$(BIN)/mypy src deploy tests benchmarks examples tools
