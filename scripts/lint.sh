#!/usr/bin/env bash
# Runs clang-tidy on all sources, in parallel. Skips files without findings in
# the last run if neither they nor any header, check or build setting changed.
set -euo pipefail
cd "$(dirname "$0")/.."
stamps=build/lint
mkdir -p "${stamps}"
base="$(cat .clang-tidy CMakeLists.txt $(git ls-files -co --exclude-standard '*.h' | sort) | sha256sum | cut -d' ' -f1)"
export stamps base
check() {
  local stamp="${stamps}/$(echo "$1" | tr / _)"
  local now="${base} $(sha256sum <"$1")"
  [ -e "${stamp}" ] && [ "$(cat "${stamp}")" = "${now}" ] && return 0
  clang-tidy -p build --quiet "$1" 2>/dev/null || { echo "lint failed: $1"; return 1; }
  echo "${now}" >"${stamp}"
}
export -f check
git ls-files -co --exclude-standard '*.cc' | grep -v '\.pb\.' |
  xargs -P "$(nproc)" -I{} bash -c 'check "$1"' _ {}
