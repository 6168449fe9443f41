#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$case" ] || continue
    n=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/case-$n" "$case"
done
