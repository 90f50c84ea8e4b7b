#!/bin/sh
# Exits with 1 if a planned stop cut a request off, 0 if none did, 2 if the case could not run. TROUBLE=0 leaves the restarts out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/lovagedeckd ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review/standin restarts review/2
