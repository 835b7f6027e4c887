#!/bin/bash
# The test command: format, vet, tests with the race detector (a seeded set of
# simulations and a small real fleet are among them).
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted; run gofmt -w on:" "$unformatted"
  exit 1
fi
go vet ./...
go test -race -count=1 -timeout 8m ./...
