VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src:.

.PHONY: install test lint demo prove fuzz bench capacity soak

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: install
	$(PY) -m pytest

demo: install
	$(PY) -m demo

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

prove: install
	$(PY) -m tests.matrix --processes

SEED ?= 1
LENGTH ?= 5000

fuzz: install
	FUZZ_SEED=$(SEED) FUZZ_LENGTH=$(LENGTH) $(PY) -m pytest -o timeout=0 \
		tests/test_claims_machine.py tests/test_sessions_machine.py \
		tests/test_leases_machine.py tests/test_placement_machine.py \
		tests/test_changes_machine.py tests/test_client_memory_machine.py \
		tests/test_request_reader_fuzz.py tests/test_caller_fuzz.py

SEEDS ?= 1-10
JOBS ?= 1

soak: install
	$(PY) -m tests.soak --seeds $(SEEDS) --jobs $(JOBS)

capacity: install
	$(PY) -m bench.capacity

bench: install
	$(PY) -m bench.policy
	$(PY) -m bench.live
