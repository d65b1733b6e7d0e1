#!/usr/bin/env bash
# Regenerates the protobuf code in generated/, which is committed. Run it after each change of a
# .proto file.
set -eu
cd "$(dirname "$0")"
protoc --cpp_out=generated work.proto control.proto replication.proto machine.proto fleet.proto envelope.proto
