GO ?= go
BIN := bin

.PHONY: build test lint demo slopes clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test ./...

lint:
	@unformatted=$$(gofmt -l cmd pkg test); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

clean:
	rm -rf $(BIN)

demo: build
	test/demo/demo.sh

slopes: build
	$(BIN)/pepperslopes measure
