#!/usr/bin/env bash
# Regenerates the checked-in protobuf and gRPC code from Source/wire/peer.proto
# and Source/relay/relay.proto.
set -eu
cd "$(dirname "$0")/../Source/wire"
protoc --cpp_out=. --grpc_out=. \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
cd ../relay
protoc --cpp_out=. relay.proto
