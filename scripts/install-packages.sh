#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages=(build-essential cmake ninja-build pkg-config ccache curl
  liburcu-dev libprotobuf-c-dev protobuf-c-compiler libcivetweb-dev
  libev-dev libhttp-parser-dev liblog4c-dev libargtable2-dev libtomlplusplus-dev libjansson-dev
  libcurl4-openssl-dev libzstd-dev libxxhash-dev libsodium-dev libgtest-dev
  clang libclang-rt-14-dev clang-format clang-tidy cppcheck
  gnuplot-nox python3 git)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null \
      | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
    --no-install-recommends "${missing[@]}"
fi
