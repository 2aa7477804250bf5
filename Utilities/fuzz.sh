#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each one a fixed number of times,
# with a fixed seed and the committed corpus.
#   Utilities/fuzz.sh [BUILD_DIR [RUNS]]
# ONLY="NAME..." restricts the run to the named fuzzers.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build-fuzz}
runs=${2:-200000}
fuzzers=(fuzz_ticket fuzz_call_context fuzz_fleet_config fuzz_http_session
  fuzz_peer_frame fuzz_store_values)
# shellcheck disable=SC2206
[ -n "${ONLY:-}" ] && fuzzers=($ONLY)
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
  -DVANILLATILLER_FUZZERS=ON -DVANILLATILLER_TESTS=OFF >/dev/null
cmake --build "$build" -j4 --target "${fuzzers[@]}"
for fuzzer in "${fuzzers[@]}"; do
  # New inputs go to a temporary directory; selected ones are committed manually.
  scratch=$(mktemp -d)
  "$build/Utilities/$fuzzer" -runs="$runs" -seed=20261204 -max_len=4096 \
    -artifact_prefix="$build/" -print_final_stats=1 \
    "$scratch" "Utilities/fuzz/corpus/$fuzzer" >"$build/$fuzzer.log" 2>&1 || {
    tail -40 "$build/$fuzzer.log"
    rm -r "$scratch"
    exit 1
  }
  rm -r "$scratch"
  executed=$(sed -n 's/^stat::number_of_executed_units: *//p' \
    "$build/$fuzzer.log")
  [ "$executed" -ge "$runs" ]
  echo "$fuzzer: $executed runs, no finding"
done
