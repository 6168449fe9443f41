#!/usr/bin/env bash
# Installs dependencies, builds, and runs every test. Tests listed in KNOWN-RED.txt are run and
# their results printed, but their failures are ignored.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt)
for it in $known_red; do
    echo "known red: $it (see KNOWN-RED.txt)"
    ctest --test-dir build --output-on-failure -R "^$it\$" || true
done
exclude=$(printf '%s\n' $known_red | paste -sd'|' -)
ctest --test-dir build --output-on-failure --no-tests=error -j 6 ${exclude:+-E "^($exclude)\$"}
