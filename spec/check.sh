#!/bin/sh
# Model-checks the specification of the core protocol exhaustively at small
# bounds, and checks that each variant without one of the guards violates an
# assertion. docs/SPECIFICATION.md describes the models.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  echo "spin or gcc is not installed; installing both" >&2
  apt-get update -qq && apt-get install -y -qq spin gcc >/dev/null
fi

# verify MODEL DEFINITIONS... writes the report of the model checker to $work/report.
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

state_count() { grep "states, stored" "$work/report" | awk '{print $1}'; }

# expect_pass MODEL DEFINITIONS... fails unless the search is complete and finds no error.
expect_pass() {
  verify "$@"
  if ! grep -q "errors: 0" "$work/report" || grep -q "max search depth too small\|out of memory" "$work/report"; then
    echo "FAIL $*: the model checker found an error or did not finish"
    cat "$work/report"
    exit 1
  fi
  echo "holds  $(state_count) states  $*"
}

# expect_violation MODEL DEFINITIONS... fails unless an assertion is violated.
expect_violation() {
  verify "$@"
  if ! grep -q "assertion violated" "$work/report"; then
    echo "FAIL $*: the model checker found no violated assertion without this guard"
    exit 1
  fi
  echo "wrong, as it must be  $*"
}

expect_pass log.pml -DTERMS=2 -DENTRIES=2
expect_pass log.pml -DTERMS=3 -DENTRIES=1
expect_pass log.pml -DTERMS=2 -DENTRIES=2 -DSNAPSHOTS
expect_pass log.pml -DTERMS=2 -DENTRIES=1 -DLOSSES=2
expect_pass log.pml -DTERMS=2 -DENTRIES=2 -DLOSSES=1
expect_violation log.pml -DTERMS=3 -DENTRIES=1 -DNO_MAJORITY
expect_violation log.pml -DTERMS=4 -DENTRIES=1 -DNO_TERM_CHECK
expect_violation log.pml -DTERMS=3 -DENTRIES=1 -DNO_SYNC
expect_violation log.pml -DTERMS=3 -DENTRIES=1 -DNO_VOTE_SYNC
expect_violation log.pml -DTERMS=3 -DENTRIES=1 -DNO_LOG_CHECK
expect_violation log.pml -DTERMS=3 -DENTRIES=1 -DLOSSES=2 -DFRESH_DISK_VOTES
expect_violation log.pml -DTERMS=3 -DENTRIES=1 -DLOSSES=2 -DEARLY_VOTER
expect_violation log.pml -DTERMS=2 -DENTRIES=2 -DNO_CHANGE_ID
expect_violation log.pml -DTERMS=2 -DENTRIES=2 -DSNAPSHOTS -DSNAPSHOT_FORGETS
expect_pass lease.pml
expect_violation lease.pml -DSTALE_CONFIRM
expect_violation lease.pml -DLATE_COUNT
expect_violation lease.pml -DNO_LEASE_CHECK
expect_violation lease.pml -DEARLY_IN_FORCE
expect_violation lease.pml -DNO_FENCE
expect_violation lease.pml -DSHORT_FENCE
expect_pass members.pml -DREPLACEMENTS=2
expect_pass members.pml -DREPLACEMENTS=3
expect_violation members.pml -DREPLACEMENTS=2 -DPARITY
expect_violation members.pml -DREPLACEMENTS=2 -DPROMOTE_FIRST
expect_violation members.pml -DREPLACEMENTS=2 -DNO_LEAVE
expect_violation members.pml -DREPLACEMENTS=2 -DNO_COMMIT
