#!/usr/bin/env bash
# Lints one source file. Clean results are cached under the hash of the preprocessed source and the
# clang-tidy settings, so that unchanged files are not analysed again.
set -euo pipefail
cd "$(dirname "$0")/.."
file=$1
# The cxxtools headers do not compile as C++20.
case $file in packages/web/* | examples/target/*) standard=c++17 ;; *) standard=c++20 ;; esac
flags=(-std=$standard -D__cpp_impl_coroutine=201902L -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE -Wno-unknown-warning-option)
for it in packages/*/include packages/*/src; do flags+=("-I$it"); done
flags+=(-Iapps -Iplatform/include -Iplatform/src -Iplatform/tests -Ipackages/proxy/tests -Ipackages/peer/src/generated -Ipackages/fleet/src/generated -Ibenchmarks -DPOLLENSPOKE_SOURCE_DIR="\"$PWD\"" -DPOLLENSPOKE_BINARY_DIR="\"$PWD/build\"")
cache=${XDG_CACHE_HOME:-$HOME/.cache}/pollenspoke-tidy
mkdir -p "$cache"
sum=$( (cat .clang-tidy packages/*/.clang-tidy platform/.clang-tidy scripts/tidy-one.sh; clang++ "${flags[@]}" -E -P "$file") | sha256sum | cut -d' ' -f1)
[ -e "$cache/$sum" ] && exit 0
if ! out=$(clang-tidy --quiet "$file" -- "${flags[@]}" 2>&1); then
    printf '%s\n' "$out" | grep -v 'warnings generated' || true
    exit 1
fi
touch "$cache/$sum"
