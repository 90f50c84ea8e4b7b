#!/bin/sh
# Checks the specification of the core protocol; docs/SPECIFICATION.md says what is modelled.
set -eu
echo "no specification yet"
