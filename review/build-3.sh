#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/standin3
