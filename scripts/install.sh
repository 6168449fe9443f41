#!/usr/bin/env bash
# Installs the packages required for building, testing, formatting and linting.
set -euo pipefail
SUDO=$([ "$(id -u)" = 0 ] || echo sudo)
$SUDO apt-get update -qq
# Keep the next line identical to the one in README.md; .ci/run compares the package lists.
$SUDO apt-get install -y --no-install-recommends ca-certificates g++ cmake ninja-build ccache clang clang-format clang-tidy curl pkg-config libboost1.81-dev libboost-test1.81-dev libcxxtools-dev libgrpc++-dev libprotobuf-dev libdocopt-dev libeasyloggingpp-dev libexpected-dev libyaml-cpp-dev libssl-dev zlib1g-dev libxxhash-dev >/dev/null
