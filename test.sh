#!/bin/bash
# The test command: format, vet, linters, tests with the race detector (a small real
# fleet is among them), and a seeded set of simulations and of the explorer's searches.
# These run in one thread each, where there is nothing to race, and without the detector; so do the
# runs of the serving simulation (test/servingsim).
# Tests listed in KNOWN-RED.txt are passed over and printed (known-red.sh).
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted; run gofmt -w on:" "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml -formatter plain ./...
skip=()
known=$(bash known-red.sh)
[ -z "$known" ] || skip=(-skip "$known")
go test -count=1 -timeout 8m "${skip[@]}" ./test/simulator ./test/modelcheck ./test/servingsim
go test -race -count=1 -timeout 8m "${skip[@]}" $(go list ./... | grep -v -e test/simulator -e test/modelcheck -e test/servingsim)
