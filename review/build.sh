#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into review/build/. The programs
# under test are those of the deploy file's build, in target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict
  -I.. -pthread)
g++ "${flags[@]}" -c standin/net.cc -o build/net.o &
g++ "${flags[@]}" -c standin/platform.cc -o build/platform.o &
wait
for source in [1-5]/case.cc; do
  [ -e "${source}" ] || continue
  g++ "${flags[@]}" "${source}" build/net.o build/platform.o -lboost_json \
    -o "build/case-$(dirname "${source}")"
done
