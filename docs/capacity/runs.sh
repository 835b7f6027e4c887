#!/bin/bash
# Runs the hollow fleet over its sizes, writes the tables beside this file, and
# works the figures of docs/CAPACITY.md out anew. Without a word it runs all groups
# but those at full size, in about twenty minutes of one core; words name groups.
set -euo pipefail
cd "$(dirname "$0")/../.."
export GOMAXPROCS=1
bin=$(mktemp -d)
trap 'rm -r "$bin"' EXIT
go build -o "$bin/capacity" ./cmd/capacity
groups=${*:-changes items servers busy presses daemons}
run() {
  local group=$1
  shift
  "$bin/capacity" -out "docs/capacity/$group.csv" -kinds "docs/capacity/$group-kinds.csv" "$@"
}
for group in $groups; do
  rm -f "docs/capacity/$group.csv" "docs/capacity/$group-kinds.csv"
  case $group in
  changes) for n in 60 240 1042 4168 16672; do run changes -daemons 15 -servers 12 -changes $n -seconds 60 -seeds 2; done ;;
  items) for n in 40 80 160 320 640; do run items -daemons 15 -servers 60 -items $n -seconds 20 -changes 0 -seeds 2; done ;;
  servers)
    for n in 12 60 240 960 2400; do run servers -daemons 15 -whole-edges 3 -servers $n -seconds 10 -changes 0 -seeds 2; done
    run servers -daemons 15 -whole-edges 3 -servers 5500 -seconds 5 -warm 2 -changes 0 -seeds 2 ;;
  busy) for n in 0 50 100; do run busy -daemons 15 -whole-edges 3 -servers 240 -busy $n -seconds 10 -changes 0 -seeds 2; done ;;
  presses) for n in 15 30 60 120; do run presses -daemons $n -whole-edges 6 -seconds 10 -warm 2 -changes 4168; done ;;
  daemons)
    for n in 15 30 60; do run daemons -daemons $n -whole-edges 6 -seconds 20 -changes 0 -seeds 3; done
    run daemons -daemons 120 -whole-edges 6 -seconds 20 -changes 0 -seeds 2
    run daemons -daemons 240 -whole-edges 6 -seconds 10 -warm 2 -changes 0 -seeds 2 ;;
  full)
    # Without failures, then with a hundred times the daily restarts, a region and
    # a zone cut, and fewer servers.
    run full -daemons 350 -servers 5500 -late-servers 1 -whole-edges 2 -seconds 4 -warm 1 -memory 3800
    run full -daemons 350 -servers 60 -whole-edges 2 -seconds 20 -warm 1 -restarts 6250 -cut-region 5 -cut-zone 5 ;;
  *)
    echo "no group $group; name some of: changes items servers busy presses daemons full" >&2
    exit 2
    ;;
  esac
done
go run ./cmd/capacity page
