#!/usr/bin/env bash
# Runs an experiment: for each round and policy it starts the platform stub, the
# backend stubs and the nodes on loopback ports, loads them with vtbench and
# stops them by their process ids. Odd rounds run the policies in reverse.
#   Utilities/run_experiment.sh EXPERIMENT.toml [ROUNDS [OUT_DIR]]
# BUILD names the build directory (build), BASE_PORT the first port.
set -eu
cd "$(dirname "$0")/.."
experiment=$1
rounds=${2:-1}
name=$(basename "$experiment" .toml)
out=${3:-build/results/$name}
build=${BUILD:-build}
base_port=${BASE_PORT:-$((12000 + RANDOM % 80 * 200))}
bench=$build/Source/vtbench/vtbench
directory=$(mktemp -d)
pids=()

# Ends the processes of this run: first as a planned stop, then for good.
stop_fleet() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  local tries=0 left=1
  while [ "$left" -gt 0 ] && [ "$tries" -lt 30 ]; do
    left=0
    for pid in "${pids[@]}"; do
      if kill -0 "$pid" 2>/dev/null; then left=$((left + 1)); fi
    done
    tries=$((tries + 1))
    [ "$left" -eq 0 ] || sleep 0.1
  done
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap 'stop_fleet; rm -rf "$directory"' EXIT

program_path() {
  case $1 in
    vtstub) echo "$build/Source/vtstub/vtstub" ;;
    vanillatillerd) echo "$build/Source/node/vanillatillerd" ;;
  esac
}

run_policy() {
  local policy=$1 round=$2
  local log=$out/$policy-$round.log
  : >"$log"
  rm -f "$directory"/*
  "$bench" --mode=plan --experiment="$experiment" --policy="$policy" \
    --directory="$directory" --base_port="$base_port"
  while IFS=$'\t' read -r process program arguments; do
    # The arguments are made by vtbench and contain no blanks.
    # shellcheck disable=SC2086
    "$(program_path "$program")" $arguments >>"$log" 2>&1 &
    pids+=($!)
    echo "$process $!" >>"$directory/pids"
  done <"$directory/processes"
  local status=0
  "$bench" --mode=run --experiment="$experiment" --policy="$policy" \
    --directory="$directory" --base_port="$base_port" \
    --out="$out/$policy-$round.json" || status=$?
  stop_fleet
  return $status
}

mkdir -p "$out"
rm -f "$out"/*.json
mapfile -t policies < <("$bench" --mode=policies --experiment="$experiment")
failed=0
for ((round = 0; round < rounds; ++round)); do
  for ((i = 0; i < ${#policies[@]}; ++i)); do
    index=$i
    [ $((round % 2)) -eq 0 ] || index=$((${#policies[@]} - 1 - i))
    run_policy "${policies[$index]}" "$round" ||
      { failed=1; echo "run_experiment: ${policies[$index]} failed" >&2; }
  done
done
"$bench" --mode=report --out="$out/goodput.gnuplot" --svg="$out/goodput.svg" \
  "$out"/*.json | tee "$out/table.txt"
if command -v gnuplot >/dev/null; then gnuplot "$out/goodput.gnuplot"; fi
exit $failed
