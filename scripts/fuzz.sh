#!/usr/bin/env bash
# Runs each fuzz target with a fixed seed and a fixed number of inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-20000}
scripts/build.sh build-fuzz -DFUZZ=ON -DCMAKE_C_COMPILER=clang \
  -DCMAKE_CXX_COMPILER=clang++ \
  -DSANITIZE=fuzzer-no-link,address,undefined
for target in build-fuzz/*_fuzz; do
  name=$(basename "$target")
  corpus=tests/fuzz/corpus/${name%_fuzz}
  inputs=()
  if [ -d "$corpus" ]; then inputs=("$corpus"); fi
  # New inputs go to a scratch directory, so the tree stays unchanged.
  scratch=$(mktemp -d)
  "$target" -runs="$runs" -seed=1 -max_len=4096 -timeout=10 \
    -print_final_stats=1 "$scratch" "${inputs[@]}" >"build-fuzz/$name.log" 2>&1 \
    || { tail -n 40 "build-fuzz/$name.log"; exit 1; }
  rm -rf "$scratch"
  echo "$name: $runs inputs passed"
done
