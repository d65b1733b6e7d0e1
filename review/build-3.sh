#!/usr/bin/env bash
# Builds the stand-in of the third review into target/review/. It needs a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standin-3 review/standin-3.cpp
