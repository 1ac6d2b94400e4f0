#!/usr/bin/env bash
# Installs the packages, builds, and runs a small mesh on loopback: a stand-in
# platform, a node with an upstream in each of two data centres, one document
# applied, one call answered, one change seen in force.  Stops by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
scripts/demo.sh build
