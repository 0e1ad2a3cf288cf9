#!/bin/sh
# Builds the programs of the cases 6 to 10, after the build command of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 1
mkdir -p bin/review-2
for n in 6 7 8 9 10; do
    if [ -f "review/$n/main.go" ]; then
        CGO_ENABLED=0 go build -tags review -o "bin/review-2/$n" "./review/$n" || exit 1
    fi
done
