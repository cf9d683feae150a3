.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# the command that CI takes from README.md
test:
	bash .ci/run

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

run: build
	PROXY_CONFIG=example/config.json bin/ravendale
