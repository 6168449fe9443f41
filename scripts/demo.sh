#!/usr/bin/env bash
# Installs dependencies, builds, starts two example targets and one Vm in embedded mode, and sends it a request.
# With --stay, keeps everything running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
pids=()
stop() { for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done; wait || true; }
trap stop EXIT
build/bin/pollenspoke-example-target --port 9101 --name t1 & pids+=($!)
build/bin/pollenspoke-example-target --port 9102 --name t2 & pids+=($!)
build/bin/pollenspoked --settings examples/settings.yaml & pids+=($!)
for _ in $(seq 100); do
    curl -sf http://127.0.0.1:8081/healthz >/dev/null && break
    sleep 0.1
done
echo "--- GET /stock/bolts/m8 as shop-1:"
curl -sS -i -H "X-Api-Key: shop-1-secret" http://127.0.0.1:8080/stock/bolts/m8
if [ "${1:-}" = --stay ]; then
    echo "--- running until Ctrl-C; callers: 127.0.0.1:8080, operators: 127.0.0.1:8081"
    sleep infinity
fi
