#!/usr/bin/env bash
# Compares requests through one VM with direct requests to a target on loopback: requests/s, latency, CPU time per request, and
# memory per idle connection. Prints a Markdown table for docs/measurements/proxy-path.md. Usage: proxy_path.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-5}
work=$(mktemp -d)
pids=()
stop() { for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap stop EXIT

hash=$(printf %s bench-secret | sha256sum | cut -d' ' -f1)
ports=(9311 9312 9313 9314)
targets=""
for it in "${ports[@]}"; do
    build/bin/pollenspoke-bench-target --port "$it" & pids+=($!)
    targets+="{name: t$it, address: \"127.0.0.1:$it\", slots: 64}, "
done
cat >"$work/resources.yaml" <<Y
kind: ClientAccount
name: bench
spec: {limits: {rate_per_s: 1000000, burst: 1000000}}
---
kind: Key
name: bench-k1
spec: {account: bench, sha256: "$hash"}
---
kind: Service
name: work
spec: {targets: [${targets%, }]}
---
kind: Route
name: work
spec: {match: {path_prefix: /work}, service: work, deadline_ms: 5000}
Y
cat >"$work/settings.yaml" <<Y
vm: {name: vm-1, failure_domain: fd-a}
listen: {callers: "127.0.0.1:9300", operators: "127.0.0.1:9301"}
platform: {kind: embedded, resources: $work/resources.yaml}
log: {level: warning}
workers: 4
Y
build/bin/pollenspoked --settings "$work/settings.yaml" & vm=$!; pids+=($vm)
for _ in $(seq 100); do curl -sf http://127.0.0.1:9301/healthz >/dev/null && break; sleep 0.1; done

field() { sed -E "s/.*(^| )$2 ([0-9]+).*/\2/" <<<"$1"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$vm/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$vm/status"; }
direct() { build/bin/pollenspoke-load run --port "${ports[0]}" --path /work --seconds "$seconds" "$@"; }
proxied() { build/bin/pollenspoke-load run --port 9300 --path /work --key bench-secret --seconds "$seconds" "$@"; }

proxied --connections 32 >/dev/null
declare -A most rate cost
for method in GET POST; do
    most[$method]=$(proxied --connections 64 --method $method)
    rate[$method]=$(( $(field "${most[$method]}" requests_per_s) / 2 ))
done
echo "| path | method | requests/s | p50 us | p99 us | p99.9 us | answers other than 200 |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
row() { # name, method, line
    other=$(grep -oE 'status_[0-9]+ [0-9]+' <<<"$3" | grep -v status_200 | tr '\n' ' ' || true)
    echo "| $1 | $2 | $(field "$3" requests_per_s) | $(field "$3" p50_us) | $(field "$3" p99_us) | $(field "$3" p999_us) | ${other:-none} |"
}
for method in GET POST; do
    row "proxied, as many as it takes (64 connections)" $method "${most[$method]}"
done
ticks=$(getconf CLK_TCK)
for method in GET POST; do
    before=$(cpu_ticks)
    for round in 1 2 3; do
        row "direct, half load, round $round" $method "$(direct --rate ${rate[$method]} --connections 64 --method $method)"
        row "proxied, half load, round $round" $method "$(proxied --rate ${rate[$method]} --connections 64 --method $method)"
    done
    after=$(cpu_ticks)
    cost[$method]=$(awk -v t=$((after - before)) -v hz="$ticks" -v n=$((rate[$method] * seconds * 3)) 'BEGIN {printf "%.1f", t / hz / n * 1e6}')
done
echo
echo "Processor time per proxied request at half load: GET ${cost[GET]} us, POST ${cost[POST]} us"
start=$(resident_kb)
build/bin/pollenspoke-load idle --port 9300 --path /work --key bench-secret --connections 4000 --seconds 3 >"$work/idle" & idle=$!
for _ in $(seq 200); do grep -q idle "$work/idle" && break; sleep 0.1; done
end=$(resident_kb)
wait $idle
awk -v kb=$((end - start)) 'BEGIN {printf "Resident memory per idle caller connection: %.1f KB (4000 connections)\n", kb / 4000}'
echo "Resident memory of the process: $start KB before these"
