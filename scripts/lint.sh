#!/usr/bin/env bash
# Checks the format and runs the linters.  Usage: lint.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.c' '*.h' '*.cc' | grep -v 'pb-c')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" \
  | grep -E '^(src|standins)/.*\.c$')
printf '%s\0' "${sources[@]}" \
  | xargs -0 -n 4 -P "$(nproc)" clang-tidy -p "$build" --quiet \
      --warnings-as-errors='*' 2>/dev/null
cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,portability \
  --inline-suppr --suppress=missingIncludeSystem -j "$(nproc)" \
  -I src "${sources[@]}"
for script in scripts/*.sh .ci/run; do bash -n "$script"; done
echo "lint passed"
