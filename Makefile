.PHONY: build test lint run

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# the command that CI takes from README.md
test:
	bash .ci/run

lint:
	test -z "$$(gofmt -l .)"
	go mod tidy -diff
	go vet ./...
	go tool -modfile=tools/golangci-lint/go.mod golangci-lint run ./...

run: build
	PROXY_CONFIG=example/config.json bin/ravendale
