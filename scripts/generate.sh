#!/usr/bin/env bash
# Generates packages/peer/src/generated from peer.proto, and packages/fleet/src/generated from fleet.proto. Run it after changing a
# .proto file. The generated code is committed, so the build and CI do not need these two packages:
#   apt-get install -y --no-install-recommends protobuf-compiler protobuf-compiler-grpc
set -euo pipefail
cd "$(dirname "$0")/../packages/peer"
out=src/generated
mkdir -p "$out"
protoc -I proto --cpp_out="$out" --grpc_out="$out" --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
cd ../fleet
mkdir -p "$out"
protoc -I proto --cpp_out="$out" fleet.proto
