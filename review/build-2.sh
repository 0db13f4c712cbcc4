#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-in-2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 -j4
