#!/bin/sh
# Exits with 1 if an unsafe request ran more than once, 0 if none did, 2 if the case could not run. TROUBLE=0 leaves the partitions out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/lovagedeckd ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review/standin relay review/1
