#!/usr/bin/env bash
# Runs the module tests under the address, undefined and thread sanitizers.
# The thread sanitizer reports false races inside liburcu 0.13; the file
# scripts/tsan.supp names only its functions.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build-asan -DSANITIZE=address,undefined
scripts/test.sh build-asan
# scenario_test runs pure code in one thread and takes minutes here, so the
# thread sanitizer leaves it out.
scripts/build.sh build-tsan -DSANITIZE=thread
TSAN_OPTIONS="suppressions=$PWD/scripts/tsan.supp halt_on_error=1" \
  scripts/test.sh build-tsan -E scenario_test
