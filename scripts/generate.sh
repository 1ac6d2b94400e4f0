#!/usr/bin/env bash
# Regenerates the protobuf-c code in src/wire from proto/mesh.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc-c --proto_path=proto --c_out=src/wire proto/mesh.proto
