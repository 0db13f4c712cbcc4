#!/usr/bin/env bash
# Regenerates the committed protobuf code.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. sassafraswick/peer/message.proto
