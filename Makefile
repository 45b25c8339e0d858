# Entry points of the project; `make help` lists them.

BIN := bin
PINNED_TOOLS := -modfile=$(CURDIR)/tools/go.mod
SEED ?= 1
MINUTES ?= 1

.PHONY: help build demo soak capacity test long fmt lint vet unit

help:
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

build: ## build all programs into bin/
	go build -o $(BIN)/ ./cmd/...

demo: build ## serve both deployments through faults and check every answer
	$(BIN)/standin demo

soak: build ## run a fleet under random faults; SEED and MINUTES choose the run
	$(BIN)/bench soak --seed $(SEED) --duration $(MINUTES)m

test: fmt lint vet unit ## formatter, linter, vet and race tests

fmt:
	@out="$$(go tool $(PINNED_TOOLS) gofumpt -l $$(git ls-files -co --exclude-standard '*.go'))"; \
	if [ -n "$$out" ]; then echo "run gofumpt -w on:"; echo "$$out"; exit 1; fi

lint:
	go tool $(PINNED_TOOLS) staticcheck ./...

vet:
	go vet ./...

# The pattern of the tests in KNOWN-RED.txt, one per line with the name first; without the file it matches no test.
KNOWN_RED = ^($(shell cut -d' ' -f1 KNOWN-RED.txt 2>/dev/null | paste -sd'|'))$$

# Checks in simulated time with one goroutine. They run without the race detector, which can find nothing there and makes
# them twelve times as slow.
SIMULATED := TestCapacity

# The soak starts processes that are built without the race detector, so that the detector would watch only the callers.
SOAK := TestSeeds

# Crowds of clients against a node process that is built without the race detector; its peak of memory is checked.
CROWDS := TestCrowds|TestSingleLargeRequests

unit:
	@if [ -s KNOWN-RED.txt ]; then echo "skipped as known to be red:"; cat KNOWN-RED.txt; fi
	go test -count=1 -race -short -timeout 600s -skip '$(KNOWN_RED)|^($(SIMULATED)|$(SOAK)|$(CROWDS))$$' ./...
	go test -count=1 -short -timeout 600s -run '^$(SIMULATED)$$' -skip '$(KNOWN_RED)' ./internal/member
	go test -count=1 -timeout 600s -run '^$(SOAK)$$' -skip '$(KNOWN_RED)' ./internal/soak
	go test -count=1 -timeout 600s -run '^($(CROWDS))$$' -skip '$(KNOWN_RED)' ./internal/crowd

long: ## all tests in full length, without the race detector
	go test -count=1 -timeout 60m ./...

CAPACITY := $(BIN)/capacity
MEASURE := go test -v -count=1 -timeout 1800s

capacity: build ## measure the fleet of gossip, tickets and keys and work out its tables (some ten minutes)
	mkdir -p $(CAPACITY)
	for n in 10 100 670; do AUBURNWINCH_CAPACITY_NODES=$$n $(MEASURE) -run '^TestCapacity$$' ./internal/member || exit 1; done > $(CAPACITY)/member.txt
	AUBURNWINCH_CAPACITY_NODES=670 $(MEASURE) -run '^TestBadDays$$' ./internal/member > $(CAPACITY)/baddays.txt
	for n in 10 100; do AUBURNWINCH_CAPACITY_NODES=$$n $(MEASURE) -run '^TestLoopbackCapacity$$' ./internal/peer || exit 1; done > $(CAPACITY)/peer.txt
	ONCE_MEASURE=1 $(MEASURE) -run '^TestMemoryPerKey$$' ./internal/once > $(CAPACITY)/keys.txt
	$(MEASURE) -run '^$$' -bench . -benchtime 300ms ./internal/eject ./internal/router ./internal/ticket ./internal/peer ./internal/picker ./internal/limit ./internal/store > $(CAPACITY)/parts.txt
	$(BIN)/bench idle --programs $(BIN) > $(CAPACITY)/idle.txt
	$(BIN)/bench capacity --measurements $(CAPACITY)
