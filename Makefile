# Test names of KNOWN-RED.txt, joined for go test's -skip flag.
KNOWN_RED := $(shell grep -vE '^[[:space:]]*(\#.*)?$$' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
BIN := bin

.PHONY: build test demo bench slopes soak lint clean

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test -count=1 -timeout=20m $(SKIP) ./...

lint:
	go tool gofumpt -l .
	go vet ./...
	go tool staticcheck ./...

clean:
	rm -rf $(BIN)

demo: build
	./scripts/demo.sh

slopes: build
	go run ./slopes -bin $(BIN)
