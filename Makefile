PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/ready

.PHONY: demo test check scenarios soak reference format clean

demo: $(READY)
	$(BIN)/onyxfork demo

test: $(READY) check
	$(BIN)/pytest

check: $(READY)
	$(BIN)/black --check --quiet onyxfork tests
	$(BIN)/ruff check --quiet onyxfork tests

scenarios: $(READY)
	ONYXFORK_SCENARIOS=all $(BIN)/pytest tests/scenarios

soak: $(READY)
	ONYXFORK_SOAK=all $(BIN)/pytest tests/workload/soak
	$(BIN)/onyxfork soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),3)

reference: $(READY)
	$(BIN)/python docs/make_reference.py

format: $(READY)
	-$(BIN)/ruff check --quiet --fix onyxfork tests
	$(BIN)/black --quiet onyxfork tests

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[test]'
	touch $(READY)

clean:
	rm -rf $(VENV) build *.egg-info .pytest_cache .ruff_cache .hypothesis
