#!/usr/bin/env bash
# Configures and builds a tree.  Usage: build.sh DIRECTORY [CMAKE-OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
directory=$1
shift
launcher=()
if command -v ccache >/dev/null; then
  launcher=(-DCMAKE_C_COMPILER_LAUNCHER=ccache
            -DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -G Ninja -B "$directory" "${launcher[@]}" "$@" >"$directory.configure.log" 2>&1 \
  || { cat "$directory.configure.log"; exit 1; }
mv "$directory.configure.log" "$directory/configure.log"
cmake --build "$directory" --parallel "$(nproc)"
