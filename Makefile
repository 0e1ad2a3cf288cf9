.PHONY: build test race lint run ci

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

lint:
	@test -z "$$(gofmt -l .)" || { echo "gofmt needed:"; gofmt -l .; exit 1; }
	go vet ./...

# PROXY_CONFIG names the configuration.
run: build
	exec bin/spindlehitch serve

ci:
	bash .ci/run
