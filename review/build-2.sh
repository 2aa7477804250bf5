#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-2.md into target/review-2. Needs
# the build of the deploy file for the cases to run.
set -eu
cd "$(dirname "$0")/stand_ins_2"
out=../../target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c kit.cc -o "$out/kit.o"
for source in *.cc; do
  name=${source%.cc}
  [ "$name" = kit ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "$out/kit.o" -o "$out/$name"
done
