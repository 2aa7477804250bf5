#!/usr/bin/env bash
# Shows a chain of 4 services on 8 nodes in a surge, with and without the
# system: builds what is missing, runs both and prints a table.
set -eu
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
Utilities/packages.sh
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD" -j"${JOBS:-4}" --target vtstub vtbench vanillatillerd
Utilities/run_experiment.sh docs/experiments/demo.toml 1 "$BUILD/results/demo"
