#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, in the
# folder of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DTESTS=OFF
cmake --build target --target standin-mesh_store -j4
