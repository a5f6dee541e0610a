# `make demo` and `make test` set up everything they need in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/ready
DEMO ?= wanjiru
SECONDS ?= 60
SEED ?= 1

.PHONY: demo test check bench bench-quick bench-compare soak binary thrift format docs

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/python tools/link_workspace.py
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/celeryfork demo $(DEMO)

test: $(STAMP)
	$(BIN)/python tools/known_red.py > $(VENV)/known_red.args
	$(BIN)/python -m pytest -n 4 -m "not trial" @$(VENV)/known_red.args
	$(BIN)/python -m pytest -n 2 --dist loadfile -m trial @$(VENV)/known_red.args

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy libs/*/src platform/celeryfork_adapter tools
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/celeryfork bench

bench-quick: $(STAMP)
	$(BIN)/celeryfork bench --quick

bench-compare: $(STAMP)
	$(BIN)/python tools/bench_compare.py $(REV)

soak: $(STAMP)
	$(BIN)/celeryfork soak --seconds $(SECONDS) --seed $(SEED)

binary: $(STAMP)
	$(BIN)/python tools/make_binary.py

thrift:
	thrift --gen py -out libs/wire/src libs/wire/celeryfork.thrift
	rm -f libs/wire/src/__init__.py libs/wire/src/celeryfork_wire/gen/celeryfork/Peer-remote

docs: $(STAMP)
	$(BIN)/python -m celeryfork_config.describe > docs/CONFIGURATION.md
