#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
c++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review/standin review/standin.cpp
