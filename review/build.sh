#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs only g++.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for program in stand_ins/*.cc; do
  name=$(basename "$program" .cc)
  [ "$name" = harness ] && continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread stand_ins/harness.cc "$program" \
    -o "bin/$name"
done
