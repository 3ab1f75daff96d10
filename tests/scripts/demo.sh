#!/usr/bin/env bash
# Runs a whole system with fakes, as separate processes on loopback.
# Publishes the configuration, sends a verse, a proof-check and a print order,
# and prints the responses, the bills and a part of a process's state. Fails if
# a response is not as expected.
# usage: tests/scripts/demo.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=23000
. tests/scripts/lib.sh
. tests/scripts/system.sh

echo "starting stand-ins, six agents and two entries"
start_demo_system
tail -n 1 "$work/publish.out"

echo "a verse, streamed"
call entry-brest quimper-undertakers verse "peace by the sea" -N \
    >"$work/verse"
cat "$work/verse" | grep -v '^$' | head -n 4
check status "$(status)" 200
check outcome "$(header Sassafras-Outcome)" ran
check version "$(header Sassafras-Version)" plume-large-1
check "last event" "$(grep -v '^$' "$work/verse" | tail -n 1)" "data: [DONE]"
grep -q '"plume-large-1:"' "$work/verse" ||
    fail "the verse is of another version"

echo "a proof-check: the cheap version's answer is rated too low, so that the"
echo "expensive version answers"
call entry-quimper vannes-press proof-check "check this notice" \
    >"$work/proof"
check status "$(status)" 200
check version "$(header Sassafras-Version)" plume-large-1

echo "a print order, then the same order again through the other entry"
issued=$(now_ms)
call entry-brest quimper-undertakers print-order "40 cards" \
    -H "Idempotency-Key: order-1" -H "Sassafras-Issued: $issued" \
    >"$work/order"
cat "$work/order"
echo
check status "$(status)" 200
check outcome "$(header Sassafras-Outcome)" ran
call entry-quimper quimper-undertakers print-order "40 cards" \
    -H "Idempotency-Key: order-1" -H "Sassafras-Issued: $issued" \
    >"$work/order2"
check "second response" "$(cat "$work/order2")" "$(cat "$work/order")"
runs=0 # of keyed requests on all three ateliers: the order is the only one
for domain in brest quimper vannes; do
    upstream_runs=$(curl -sf "${upstream_url[atelier-$domain]}/ran" |
        jq '[.. | objects | select(has("key"))] | length')
    runs=$((runs + upstream_runs))
done
check "times the order ran" "$runs" 1

echo "a team without a selector"
call entry-brest quimper-undertakers poem "x" >"$work/refused"
cat "$work/refused"
check status "$(status)" 403

echo "bills"
has_three_bills()
{
    [ "$(ctl bills --json | jq '.bills | length')" = 3 ]
}
wait_until 10 has_three_bills || fail "there are not three bills"
ctl bills

echo "state of entry-brest"
state entry-brest '{vm, role, ready, config, bills, peers: (.peers | length)}'

echo "stopping"
for name in entry-brest entry-quimper; do
    stop "$name" || fail "$name did not drain"
done
for domain in brest quimper vannes; do
    for service in plume atelier; do
        stop "agent-$service-$domain" ||
            fail "agent-$service-$domain did not drain"
    done
done
echo "demo: all responses are as expected"
