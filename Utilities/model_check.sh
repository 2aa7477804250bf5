#!/usr/bin/env bash
# Verifies the model of the fence protocol with spin: there must be no violation
# with all mechanisms enabled, and a violation with each one disabled.
#   Utilities/model_check.sh
set -eu
cd "$(dirname "$0")/models"
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
model=$PWD/fence.pml

# Prints the number of errors found in the model with the given definition.
count_errors() {
  (
    cd "$work"
    spin -a ${1:+-D"$1"} "$model" >spin.log || { cat spin.log >&2; exit 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c
    timeout 50 ./pan -m100000 >pan.log || { cat pan.log >&2; exit 1; }
    ! grep -q 'max search depth too small\|out of memory' pan.log ||
      { echo "the state space search is incomplete" >&2; exit 1; }
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
    sed -n 's/^ *\([0-9.e+]* states, stored\).*/  \1/p' pan.log >&2
  )
}

error_count=$(count_errors "")
echo "all mechanisms: $error_count errors"
status=$((error_count == 0 ? 0 : 1))
for mechanism in NO_FENCE NO_RECORD NO_DEADLINE NO_INCARNATION NO_MARGIN; do
  error_count=$(count_errors "$mechanism")
  echo "$mechanism: $error_count errors"
  [ "$error_count" -gt 0 ] || status=1
done
exit "$status"
