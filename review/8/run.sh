#!/bin/bash
# Another route is removed, and an accepted lot comes again: it is turned away.
# Build first: the build of deploy/system.toml, then review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tuliprudder ] && [ -x target/standin-2 ] || exit 2
exec timeout -k 2 120 target/standin-2 lot-sent-again review/8/record.txt
