#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file: the project's stand-ins and the
# review's clients, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target standin-kvstore standin-member -j 6
mkdir -p target/review-2
for source in review/support-2/*.cpp; do
    program="target/review-2/$(basename "$source" .cpp)"
    [ "$program" -nt "$source" ] || "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "$program" "$source"
done
