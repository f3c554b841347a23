# KEEP=1 keeps the demo fleet running until it is interrupted.
KEEP ?=
SEED ?= 1
MINUTES ?= 1
SEEDS ?= 1
SECONDS_EACH ?= 20
ROUTERS ?= 6
# Further options of store-chaos, for example --only-ends.
OPTIONS ?=

.PHONY: install build check test demo soak chaos store-chaos measure slopes

install:
	node deploy/check_packages.cjs || npm ci

build: install
	npm run --silent build

check: install
	npm run --silent format:check
	npm run --silent lint

test: build
	npm test --silent

demo: build
	KEEP=$(KEEP) node dist/bench/demo_main.js

soak: build
	node dist/bench/soak_main.js --seed $(SEED) --minutes $(MINUTES)

chaos: build
	node dist/bench/chaos_main.js --seed $(SEED) --minutes $(MINUTES)

# Injects seeded random faults into a fleet that uses a metadata store.
store-chaos: build
	node deploy/build.mjs
	node dist/bench/store_chaos_main.js --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS_EACH) --routers $(ROUTERS) $(OPTIONS)

measure: build
	node dist/bench/measure_main.js

slopes: build
	node dist/bench/slopes_main.js
