#!/bin/bash
# The test command: format, vet, tests with the race detector (a small real fleet
# is among them), and a seeded set of simulations and of the explorer's searches. These
# run in one thread each, where there is nothing to race, and without the detector.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted; run gofmt -w on:" "$unformatted"
  exit 1
fi
go vet ./...
go test -count=1 -timeout 8m ./proof/simulation ./proof/explore
go test -race -count=1 -timeout 8m $(go list ./... | grep -v -e proof/weather -e proof/explore)
