# The linter, at the version that tools/go.mod pins. It is built from source, so that nothing but the module proxy is needed.
LINT = go tool -modfile=tools/go.mod golangci-lint

# The operators' kit, for sites.
KIT ?= ../given/kit

.PHONY: build test proof race lint run sites scale scale-full soak soak-long ci

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# The searches of the fleet's machines; the last line tells the states and how many planted mistakes were found.
proof: SHELL := /bin/bash
proof: .SHELLFLAGS := -o pipefail -c
proof:
	@SPINDLEHITCH_PROOF=1 go test -count=1 -p 1 -v ./internal/testbed/modelcheck/... | grep --line-buffered -E "^(---|FAIL|proof:)" | \
	awk '{print} /^proof:/ {n += $$3; found += $$6; all += $$8} END {printf "proof: %d states searched, %d of %d planted mistakes found\n", n, found, all}'

test:
	go test ./...

race:
	go test -race ./...

lint:
	@test -z "$$(gofmt -l .)" || { echo "gofmt needed:"; gofmt -l .; exit 1; }
	go vet ./...
	$(LINT) run ./...

# PROXY_CONFIG names the configuration.
run: build
	exec bin/spindlehitch serve

# Lays what the bench looks for beside a site file next to those in deploy/sites. None of it is committed.
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

# The scale run: docs/scale.md. The last line tells how many limits are held.
scale: build
	@bin/spindlehitch-scale run short

scale-full: build
	@bin/spindlehitch-scale run full --plots docs/plots

# The seeded runs of the data path, as CI plays them, and by hand: docs/faults.md.
soak:
	go test -count=1 -v -run TestSoak ./internal/testbed/faults/soak

SEEDS ?= 50
FROM ?= 1

soak-long:
	SPINDLEHITCH_SOAK_SEEDS=$(SEEDS) SPINDLEHITCH_SOAK_FROM=$(FROM) go test -count=1 -v -timeout 60m -run TestSoak ./internal/testbed/faults/soak

ci:
	bash .ci/run
