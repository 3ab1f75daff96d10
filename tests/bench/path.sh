#!/usr/bin/env bash
# Cost that an entry and an agent add to a request: sends the same requests to
# the fake engine directly, and through one entry and one agent. Prints
# latencies, CPU time of entry and agent per request, and bytes between them
# per request.
# usage: tests/bench/path.sh BUILD_DIR [COUNT]
cd "$(dirname "$0")/../.."
build=$1
count=${2:-2000}
port=29000
. tests/scripts/lib.sh
. tests/scripts/system.sh

start_platform
add_upstream plume-brest plume engine brest --ttft-ms 0 --token-ms 0 \
    --tokens 8 --capacity 64
add_entry entry-brest brest
jq '[.[] | select(.key | test("atelier|orders|quimper|vannes") | not) |
    if .value.limit then .value.limit = 64 | .value.cold_limit = 64
    else . end]' tests/scripts/demo.json >"$work/config.json"
ctl publish "$work/config.json" >/dev/null
wait_version_loaded entry-brest plume-large-1 1

load()
{
    "$build/tests/bench/load" "$@"
}
# Prints the CPU time of a process in microseconds; the kernel counts in clock
# ticks.
cpu_us()
{
    awk -v tick="$(getconf CLK_TCK)" \
        '{print ($14 + $15) * 1000000 / tick}' "/proc/${pids[$1]}/stat"
}
# Prints the bytes that entry and agent have sent each other.
bytes()
{
    echo $(($(counter entry-brest wire.sent_bytes) +
        $(counter agent-plume-brest wire.sent_bytes)))
}
# direct COUNT CONCURRENCY, routed COUNT CONCURRENCY
direct()
{
    load "${upstream_url[plume-brest]#http://}" /v1/verse "$1" "$2" \
        Engine-Request=x Engine-Version=plume-large-1
}
routed()
{
    load "${entry_url[entry-brest]#http://}" /v1/verse "$1" "$2" \
        Sassafras-Team=t Sassafras-Kind=verse
}
# Warm-up.
routed 100 4 >/dev/null || true
for concurrency in 1 16; do
    echo "$concurrency in flight, direct:" \
        "$(direct "$count" "$concurrency" || true)"
    entry=$(cpu_us entry-brest)
    agent=$(cpu_us agent-plume-brest)
    sent=$(bytes)
    echo "$concurrency in flight, routed:" \
        "$(routed "$count" "$concurrency" || true)"
    awk -v n="$count" -v e="$(cpu_us entry-brest)" -v e0="$entry" \
        -v a="$(cpu_us agent-plume-brest)" -v a0="$agent" \
        -v b="$(bytes)" -v b0="$sent" 'BEGIN {
        printf "  per request: entry %.0f us, agent %.0f us of CPU, " \
               "%.0f bytes between them\n",
               (e - e0) / n, (a - a0) / n, (b - b0) / n }'
done
