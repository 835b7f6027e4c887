#!/bin/bash
# A route is added while a stream runs, and its server breaks off: the stream goes on with another service's output.
# Build first: the build of deploy/system.toml, then review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tuliprudder ] && [ -x target/standin-2 ] || exit 2
exec timeout -k 2 120 target/standin-2 stream-route-added review/6/record.txt
