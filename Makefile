# The environment is created on first use from the locked versions.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: run test check unit format lock soak faults bench clean

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps \
		--no-build-isolation --editable .
	touch $@

run: $(VENV)/.installed
	$(BIN)/python -m demo.run

test: check unit

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

unit: $(VENV)/.installed
	$(BIN)/python -m pytest

format: $(VENV)/.installed
	$(BIN)/ruff format .

# Long run of the property tests with a random seed.
soak: $(VENV)/.installed
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest -k 'property'

# Random faults on running processes, with fresh seeds.
SEEDS ?= 50
faults: $(VENV)/.installed
	SOAK_SEEDS=$(SEEDS) $(BIN)/python -m pytest -s test/process/test_soak.py

BENCHES = path tail neighbours control fold appends placement shares keyplacement

bench: $(VENV)/.installed
	for one in $(BENCHES); do $(BIN)/python -m bench.$$one || exit 1; done

lock:
	$(BIN)/python -m pip freeze --all --exclude pip \
		--exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) build *.egg-info
