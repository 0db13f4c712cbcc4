#!/usr/bin/env bash
# Formats all sources, or with --check fails on any that need it.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
