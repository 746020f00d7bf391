# Test names from KNOWN-RED.txt as a pattern for go test -skip. Each element of a
# name such as TestScenarios/cold is anchored separately.
KNOWN_RED := $(shell grep -vE '^[[:space:]]*(\#.*)?$$' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | sed -E 's,[^/]+,^&$$,g' | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
ROUNDS ?= 3
SEED ?= 1
BIN := bin

.PHONY: build test fuzz demo demo-platform bench slopes soak soak-platform lint clean

build:
	go build -o $(BIN)/ ./cmd/...

# The scenarios run separately, because their time limits leave no margin for
# other tests on the same machine.
test:
	go test -count=1 -timeout=20m $(SKIP) $$(go list ./... | grep -v '/scenario$$')
	go test -count=1 -timeout=20m $(SKIP) ./scenario

# Runs each fuzz test for a fixed number of inputs.
FUZZ_INPUTS ?= 20000x
fuzz:
	for f in $$(grep -rl --include='*_test.go' --exclude-dir=target '^func Fuzz' . | xargs -n1 dirname | sort -u); do \
		for name in $$(grep -ho '^func Fuzz[A-Za-z]*' $$f/*_test.go | cut -d' ' -f2); do \
			go test -run '^$$' -fuzz "^$$name$$" -fuzztime $(FUZZ_INPUTS) ./$$f || exit 1; \
		done; \
	done

lint:
	go tool gofumpt -l .
	go vet ./...
	go tool staticcheck ./...

clean:
	rm -rf $(BIN)

demo: build
	./scripts/demo.sh

# Runs gcmux-entry processes on loopback against a stand-in of the platform, with
# faults, and checks every response.
demo-platform: build
	$(BIN)/gcmux-soak -program $(BIN)/gcmux-entry -seed 1 -v

SEEDS ?= 10
soak-platform: build
	$(BIN)/gcmux-soak -program $(BIN)/gcmux-entry -seed $(SEED) -seeds $(SEEDS)

slopes: build
	go run ./slopes -bin $(BIN)

# Runs the scenarios, including the soak scenarios, ROUNDS times with consecutive
# seeds from SEED.
soak:
	for seed in $$(seq $(SEED) $$(($(SEED) + $(ROUNDS) - 1))); do \
		echo "seed $$seed"; \
		go test -count=1 -timeout=20m -run '^Test(Scenarios|Soak)$$' $(SKIP) ./scenario -args -soak -seed $$seed || exit 1; \
	done

# ONLY selects one experiment, such as stragglers.
ONLY ?= *
bench: build
	$(BIN)/gcmux-bench -bin $(BIN) -results bench/results bench/$(ONLY).jsonc
