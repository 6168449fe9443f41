#!/usr/bin/env bash
# Generates packages/peer/src/generated from peer.proto, and packages/fleet/src/generated from fleet.proto. Only a change of the protocol needs it: the generated code is
# committed, and the build and CI need neither of the two packages:
#   apt-get install -y --no-install-recommends protobuf-compiler protobuf-compiler-grpc
set -euo pipefail
cd "$(dirname "$0")/../packages/peer"
out=src/generated
mkdir -p "$out"
protoc -I proto --cpp_out="$out" --grpc_out="$out" --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
cd ../fleet
mkdir -p "$out"
protoc -I proto --cpp_out="$out" fleet.proto
