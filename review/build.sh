#!/usr/bin/env bash
# Builds what the scripts of the cases start: the daemon, unless the deploy file's build has made it, and the cases with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review/cases
if [ ! -x target/bin/pollenspoked ]; then
    cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    cmake --build build-review --target pollenspoked
fi
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build-review/cases/$name"
    echo "built build-review/cases/$name"
done
