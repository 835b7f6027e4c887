#!/bin/bash
# The test command: format, vet, linters, tests with the race detector (a small real
# fleet is among them), and a seeded set of simulations and of the explorer's searches.
# These run in one thread each, where there is nothing to race, and without the detector; so do the
# runs of the serving simulation (test/servingsim).
# The tests of crowds of clients that don't behave measure the memory of processes: they run one at a
# time, apart from all others, and without the detector, which takes many times the memory.
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
known=$(bash known-red.sh)
skip=()
[ -z "$known" ] || skip=(-skip "$known")
crowds='^TestCrowd'
go test -count=1 -timeout 8m "${skip[@]}" ./test/simulator ./test/modelcheck ./test/servingsim
go test -race -count=1 -timeout 8m -skip "${known:+$known|}$crowds" $(go list ./... | grep -v -e test/simulator -e test/modelcheck -e test/servingsim)
go test -count=1 -timeout 8m -parallel 1 -run "$crowds" "${skip[@]}" ./platform/standin
