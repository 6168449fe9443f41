#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread "$source" -o "target/review-3/case-$name"
done
