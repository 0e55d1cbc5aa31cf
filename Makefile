# make demo [STAY=1] | make demo-front | make test | make measure
.PHONY: build demo demo-front test measure lint

build:
	go build -o bin/ ./cmd/...

demo:
	STAY=$(STAY) ./tools/demo

# The same for fronts, which are entries without sidecars that use a platform's
# store.
demo-front:
	./tools/demo-front

# Tests with the race detector use one processor. The timers of a synctest bubble
# share one detector context, and two processors that run such timers at once
# crash the runtime (SIGSEGV in unlockAndRun with go1.26.8). Pairs of faults run
# without the race detector, which makes them ten times slower.
test:
	go test ./clemfault
	go test -race -cpu 1 -timeout 20m -skip TestPairs ./...

lint:
	./tools/lint

measure:
	go run ./cmd/clementine-measure

# Soak with other seeds: make soak SEED=100 SEEDS=20
.PHONY: soak
SEED ?= 1
SEEDS ?= 5
soak:
	go build -o bin/ ./cmd/clementine-front ./cmd/clementine-soak
	bin/clementine-soak -s $(SEED) -n $(SEEDS) -j 5
