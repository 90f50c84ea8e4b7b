#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin2/...
