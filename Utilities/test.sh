#!/usr/bin/env bash
# Installs the required packages, builds all targets and runs all tests except
# the known failures listed in KNOWN-RED.txt, which it prints.
#   Utilities/test.sh [BUILD_DIR [CMAKE_OPTION...]]
# ONLY="NAME..." restricts the build and the run to the named tests.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
[ $# -gt 0 ] && shift
only=${ONLY:-}
Utilities/packages.sh
cmake -S . -B "$build" -G Ninja "$@" >/dev/null
selection=()
if [ -n "$only" ]; then
  # shellcheck disable=SC2086
  cmake --build "$build" --target $only
  selection=(-R "^(${only// /|})\$")
else
  cmake --build "$build"
fi
known_failures=$(sed -n 's/^test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
if [ -n "$known_failures" ]; then
  selection+=(-E "^($known_failures)\$")
  echo "Excluded known failures (KNOWN-RED.txt): $known_failures"
fi
ctest --test-dir "$build" --output-on-failure "${selection[@]}"
