#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian 12. Does
# nothing if all are installed.
set -euo pipefail
packages=(
  cmake ninja-build g++ clang-format clang-tidy pkg-config curl
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev cppzmq-dev
  libprotobuf-dev protobuf-compiler catch2 libcli11-dev libpq-dev libssl-dev
  libsodium-dev libxxhash-dev zlib1g-dev libcairo2-dev postgresql-client-15 jq
)
missing=()
for package in "${packages[@]}"; do
  status="$(dpkg-query -W -f='${Status}' "${package}" 2>/dev/null || true)"
  [ "${status}" = "install ok installed" ] || missing+=("${package}")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  apt-get install -y -q --no-upgrade --no-install-recommends "${missing[@]}"
fi
