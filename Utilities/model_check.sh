#!/usr/bin/env bash
# Checks the fence protocol with spin: no violation with all mechanisms, and a
# violation with each one disabled.
#   Utilities/model_check.sh
set -eu
cd "$(dirname "$0")/models"
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
model=$PWD/fence.pml

# Number of errors that the model has with the given definition.
errors() {
  (
    cd "$work"
    spin -a ${1:+-D"$1"} "$model" >spin.log || { cat spin.log >&2; exit 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c
    timeout 50 ./pan -m100000 >pan.log || { cat pan.log >&2; exit 1; }
    ! grep -q 'max search depth too small\|out of memory' pan.log ||
      { echo "the search is not complete" >&2; exit 1; }
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
    sed -n 's/^ *\([0-9.e+]* states, stored\).*/  \1/p' pan.log >&2
  )
}

found=$(errors "")
echo "all mechanisms: $found errors"
status=$((found == 0 ? 0 : 1))
for disabled in NO_FENCE NO_RECORD NO_DEADLINE NO_INCARNATION NO_MARGIN; do
  found=$(errors "$disabled")
  echo "$disabled: $found errors"
  [ "$found" -gt 0 ] || status=1
done
exit "$status"
