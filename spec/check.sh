#!/bin/sh
# Checks the specification of the core protocol exhaustively at small bounds,
# and that the checker finds each variant without one of its guards wrong.
# docs/SPECIFICATION.md says what is modelled.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  echo "spin and gcc are missing; installing them" >&2
  apt-get update -qq && apt-get install -y -qq spin gcc >/dev/null
fi

# verify MODEL DEFINITIONS... leaves the checker's report in $work/report.
verify() {
  model=$1
  shift
  cp "$here/$model" "$work/$model"
  (
    cd "$work"
    rm -f pan pan.* ./*.trail
    spin -a "$@" "$model" >report
    gcc -O2 -w -DSAFETY -DMEMLIM=4000 -o pan pan.c
    ./pan -m1000000 >report 2>&1 || true
  )
}

states() { grep "states, stored" "$work/report" | awk '{print $1}'; }

holds() {
  verify "$@"
  if ! grep -q "errors: 0" "$work/report" || grep -q "max search depth too small\|out of memory" "$work/report"; then
    echo "FAIL $*: the checker found an error or did not end"
    cat "$work/report"
    exit 1
  fi
  echo "holds  $(states) states  $*"
}

wrong() {
  verify "$@"
  if ! grep -q "assertion violated" "$work/report"; then
    echo "FAIL $*: the checker found nothing wrong without this guard"
    exit 1
  fi
  echo "wrong, as it must be  $*"
}

holds log.pml -DTERMS=2 -DENTRIES=2
holds log.pml -DTERMS=3 -DENTRIES=1
holds log.pml -DTERMS=2 -DENTRIES=2 -DSNAPSHOTS
holds log.pml -DTERMS=2 -DENTRIES=1 -DLOSSES=2
holds log.pml -DTERMS=2 -DENTRIES=2 -DLOSSES=1
wrong log.pml -DTERMS=3 -DENTRIES=1 -DNO_MAJORITY
wrong log.pml -DTERMS=4 -DENTRIES=1 -DNO_TERM_CHECK
wrong log.pml -DTERMS=3 -DENTRIES=1 -DNO_SYNC
wrong log.pml -DTERMS=3 -DENTRIES=1 -DNO_VOTE_SYNC
wrong log.pml -DTERMS=3 -DENTRIES=1 -DNO_LOG_CHECK
wrong log.pml -DTERMS=3 -DENTRIES=1 -DLOSSES=2 -DFRESH_DISK_VOTES
wrong log.pml -DTERMS=3 -DENTRIES=1 -DLOSSES=2 -DEARLY_VOTER
wrong log.pml -DTERMS=2 -DENTRIES=2 -DNO_CHANGE_ID
wrong log.pml -DTERMS=2 -DENTRIES=2 -DSNAPSHOTS -DSNAPSHOT_FORGETS
holds lease.pml
wrong lease.pml -DSTALE_CONFIRM
wrong lease.pml -DLATE_COUNT
wrong lease.pml -DNO_LEASE_CHECK
wrong lease.pml -DEARLY_IN_FORCE
wrong lease.pml -DNO_FENCE
wrong lease.pml -DSHORT_FENCE
