# All set-up happens under .venv, made from the pins in constraints.txt.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := core gateway wire server cli fakes
SOURCES := packages features platform
export PYTHONPATH := $(subst $(eval ) ,:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/ragwortgw-$(p)) $(CURDIR)/platform)

FEATURES := $(wildcard features/*.feature)
JOBS ?= 4

.PHONY: all setup test lint format unit behave bench capacity golden soak faults mutants demo generate clean

all: test

# Another checkout's environment is used as it is, never changed.
ifeq ($(abspath $(VENV)),$(CURDIR)/.venv)
setup: $(VENV)/.ready
else
setup:
endif

$(VENV)/.ready: constraints.txt requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps \
	  $(foreach p,$(PACKAGES),-e packages/ragwortgw-$(p))
	touch $@

test: setup lint unit behave

lint: setup
	$(BIN)/ruff format --check --quiet $(SOURCES) || \
	  { $(BIN)/ruff format --diff $(SOURCES); exit 1; }
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/ragwortgw-$(p)/ragwortgw_$(p)) \
	  platform/ragwortgw_platform platform/ragwortgw_standins

format: setup
	$(BIN)/ruff format $(SOURCES)

# Tests that KNOWN-RED.txt names have to fail.
unit: setup
	set -e; for p in $(PACKAGES:%=packages/ragwortgw-%) platform; do (cd $$p && \
	  $(abspath $(BIN))/python -m ragwortgw_fakes unit \
	  --package $$(basename $$p) --known $(CURDIR)/KNOWN-RED.txt); done

behave: setup
	$(MAKE) --no-print-directory -k -j$(JOBS) -O $(FEATURES)

# One feature file; each brings up processes of its own on free ports.
features/%.feature: FORCE
	$(BIN)/behave --no-capture --format progress3 $@

FORCE:

BENCHMARKS := billing calls cascades evidence gateways ledger limits overload \
  parsing queueing routing

bench: setup
	set -e; cd packages/ragwortgw-core; for b in $(BENCHMARKS); do \
	  $(abspath $(BIN))/python -m benchmarks.bench_$$b; done

capacity: setup
	$(BIN)/python -m ragwortgw_fakes capacity --result $(or $(RESULT),capacity.json)

# Golden files of whole sessions, to be read as a diff and committed.
golden: setup
	$(BIN)/python -m ragwortgw_fakes golden

# Property tests with random examples, FACTOR times as many as in CI.
soak: setup
	cd packages/ragwortgw-core && SOAK_FACTOR=$(or $(FACTOR),20) \
	  $(abspath $(BIN))/python -m unittest discover -q -t . -s tests

# Gateways as real processes under random faults; see docs/PROOFS.md.
faults: setup
	cd platform && $(abspath $(BIN))/python -m ragwortgw_standins.soak \
	  --seed $(or $(SEED),1) --count $(or $(COUNT),1)

# Each proof must fail with the mechanism off that it proves.
mutants: setup
	$(BIN)/python -m ragwortgw_fakes mutants

demo: setup
	$(BIN)/python -m ragwortgw_fakes demo $(if $(KEEP),--keep)

generate: setup
	cd packages/ragwortgw-wire && $(abspath $(BIN))/python -m grpc_tools.protoc \
	  -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
	  --plugin=protoc-gen-grpclib_python=$(abspath $(BIN))/protoc-gen-grpclib_python \
	  ragwortgw_wire/ragwortgw.proto

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis .demo
