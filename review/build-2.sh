#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, behind the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/standin-2 review/standin-2.cpp
