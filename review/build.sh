#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into build-review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review --target standin-kvstore standin-member standin-proxy -j 6
for source in review/support/ports.cpp review/*/play.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    [ "$name" = support ] && name=ports || name=play-$name
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/support -o "build-review/bin/$name" "$source" review/support/Http.cpp
done
