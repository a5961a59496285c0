# pearmoor: see README.md.
GO ?= go
TREE ?= examples/bagmati.yaml
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
LDFLAGS = -ldflags "-X main.version=$(VERSION)"

.PHONY: build run test lint model fuzz bench generate clean

build:
	@mkdir -p bin
	$(GO) build $(LDFLAGS) -o bin/ ./cmd/...

# A one-machine tier with stand-in leaves, one printed answer, and a clean stop.
run: build
	./scripts/run $(TREE)

test:
	$(GO) test ./...

lint:
	./scripts/lint

model:
	./spec/run

# Short fuzzing of every parser of outside bytes; FUZZTIME=1m for longer.
fuzz:
	./scripts/fuzz

bench: build
	$(GO) run ./bench/query --quick

generate:
	./scripts/generate

clean:
	rm -rf bin out
