#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with the project's own stand-ins,
# into target/review-3/. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "${out}"
flags=(-std=c++20 -O1 -g -I. -Isrc -pthread -DBOOST_LOG_DYN_LINK)
compile() {
  g++ "${flags[@]}" -c "$1" -o "${out}/$(echo "${1%.cc}" | tr / _).o"
}
shared=(test/support/process.cc test/platform/standin_store.cc
  test/platform/standin_group.cc test/platform/standin_platform.cc)
cases=(review/stand-in-3/*.cc)
for source in "${shared[@]}" "${cases[@]}"; do
  compile "${source}" &
done
for job in $(jobs -p); do
  wait "${job}"
done
libraries=(target/libsassafraswick_core.a -lboost_log -lboost_thread
  -lboost_filesystem -lboost_json -lprotobuf -lzmq -lsodium -lxxhash -lz)
objects=()
for source in "${shared[@]}"; do
  objects+=("${out}/$(echo "${source%.cc}" | tr / _).o")
done
for source in "${cases[@]}"; do
  g++ -pthread "${out}/$(echo "${source%.cc}" | tr / _).o" "${objects[@]}" \
    "${libraries[@]}" -o "${out}/$(basename "${source%.cc}")"
done
