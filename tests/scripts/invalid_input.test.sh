#!/usr/bin/env bash
# Sends invalid requests to an entry, and garbage to the peer port of an agent;
# both are built with ASan and UBSan. Each request must get a JSON error with
# the right status, and the processes must drain without leaks or other reports
# of the sanitizers.
# usage: tests/scripts/invalid_input.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
here=$PWD/tests/scripts
build=$1
port=23100
. tests/scripts/lib.sh
. tests/scripts/system.sh

# One entry and one engine, with the configuration of demo.json that concerns
# them.
start_platform
add_upstream plume-brest plume engine brest --tokens 4 --token-ms 150
add_entry entry-brest brest
jq '[.[] | select(.key | test("atelier|orders|quimper|vannes") | not)]' \
    tests/scripts/demo.json >"$work/config.json"
ctl publish "$work/config.json" >/dev/null
wait_version_loaded entry-brest plume-large-1 1

url=${entry_url[entry-brest]}
# usage: request NAME CURL-OPTION...; sends a request and records one line with
# NAME and the response's status, outcome and error
request()
{
    local name=$1 status
    shift
    status=$(curl -s -o "$work/body" -w '%{http_code}' "$@" "$url/v1/verse" ||
        true)
    echo "$name: $status $(jq -r '"\(.outcome): \(.error)"' "$work/body")" \
        >>"$work/actual"
}
team="Sassafras-Team: t"
kind="Sassafras-Kind: verse"
long=$(printf 'x%.0s' {1..256}) # one byte longer than an identifier may be
request "no team" -d x -H "$kind"
request "no kind" -d x -H "$team"
request "unknown kind" -d x -H "$team" -H "Sassafras-Kind: poem"
request "long team" -d x -H "Sassafras-Team: $long" -H "$kind"
request "long key" -d x -H "$team" -H "$kind" -H "Idempotency-Key: $long"
request "deadline text" -d x -H "$team" -H "$kind" \
    -H "Sassafras-Deadline-Ms: soon"
request "deadline 0" -d x -H "$team" -H "$kind" -H "Sassafras-Deadline-Ms: 0"
request "deadline past bound" -d x -H "$team" -H "$kind" \
    -H "Sassafras-Deadline-Ms: 86400001"
request "issued text" -d x -H "$team" -H "$kind" -H "Sassafras-Issued: 1e3"
head -c 20000 /dev/zero | tr '\0' a >"$work/big-header"
request "large headers" -d x -H "$team" -H "$kind" \
    -H "X-Large: $(cat "$work/big-header")"
head -c 5000000 /dev/zero >"$work/big-body"
request "large body" --data-binary "@$work/big-body" -H "$team" -H "$kind" \
    -H "Expect:"

# A client closes its connection during the response: the run must be
# cancelled, and neither process may keep the request.
code=0
curl -s -N -m 0.3 -o /dev/null -d words -H "$team" -H "$kind" \
    "$url/v1/verse" || code=$?
echo "client closes: curl exit $code" >>"$work/actual"
wait_until 10 state_matches entry-brest '.requests == 0'
wait_until 10 state_matches agent-plume-brest '.running == 0'
# Garbage on the peer port, where processes exchange frames, must close the
# connection.
exec 9<>"/dev/tcp/$host/$((port + 200))"
printf '\377\377\377\377garbage' >&9
has_refused_frame()
{
    [ "$(counter agent-plume-brest wire.refused)" -ge 1 ]
}
wait_until 10 has_refused_frame
exec 9>&-
echo "garbage frame: refused" >>"$work/actual"
call entry-brest t verse "still here" >"$work/answer"
echo "valid request: $(status) $(header Sassafras-Outcome)" >>"$work/actual"

for name in entry-brest agent-plume-brest; do
    code=0
    stop "$name" || code=$?
    echo "$name: exit $code, $(grep -c -E 'Sanitizer|runtime error' \
        "$work/$name.err" || true) reports" >>"$work/actual"
    grep -E -A20 'Sanitizer|runtime error' "$work/$name.err" >&2 || true
done
expect "$here/invalid_input.expected"
