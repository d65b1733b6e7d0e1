#!/usr/bin/env bash
# Regenerates the committed protobuf code after a change of a .proto file.
set -eu
cd "$(dirname "$0")"
protoc --cpp_out=generated work.proto control.proto replication.proto machine.proto fleet.proto envelope.proto
