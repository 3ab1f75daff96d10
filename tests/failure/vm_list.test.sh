#!/usr/bin/env bash
# The VM list is stale, wrong, and unavailable.
# usage: tests/failure/vm_list.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=25600
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: send_verses COUNT; sends COUNT verses to each entry. All must be
# complete.
send_verses()
{
    local count entry
    for ((count = 0; count < $1; count++)); do
        for entry in entry-brest entry-quimper; do
            call "$entry" quimper-undertakers verse "verse" -N >"$work/verse"
            [ "$(status)" = 200 ] && is_complete_stream "$work/verse" ||
                fail "a verse by $entry: $(cat "$work/headers" "$work/verse")"
        done
    done
}

# usage: peer_matches ENTRY UPSTREAM JQ-FILTER; succeeds if the filter yields
# true for a peer of the entry that belongs to the upstream
peer_matches()
{
    state_matches "$1" "[.peers[] | select(.upstream == \"$2\") | $3] | any"
}

echo "a VM whose agent was killed is listed as live"
kill_now agent-plume-brest
send_verses 10
start_agent plume-brest

echo "a live VM is missing from the list: its connections stay"
post_json "http://$vms_address/remove" '{"vm": "vm-plume-quimper"}'
is_missing_from_list()
{
    [ "$(curl -sf "http://$vms_address/vms" |
        jq '[.vms[] | select(.vm == "vm-plume-quimper")] | length')" = 0 ]
}
wait_until 10 is_missing_from_list
wait_until 10 peer_matches entry-brest plume-quimper .takes_work
before=$(count_runs plume-quimper)
send_verses 10
[ "$(count_runs plume-quimper)" -gt "$before" ] ||
    fail "a live agent that is missing from the list gets no work"
list_vm vm-plume-quimper agent quimper "$host:$((port + 202))" \
    plume-quimper

echo "an address is reused by another VM"
echo '[{"key": "label/plume-ghost", "value": {"type": "upstream",
    "service": "plume", "domain": "brest", "limit": 64}}]' >"$work/ghost.json"
ctl publish "$work/ghost.json" >/dev/null
wait_in_force entry-brest entry-quimper
list_vm vm-plume-ghost agent brest "$host:$((port + 201))" plume-ghost
has_mistaken_peer()
{
    [ "$(counter "$1" peers.mistaken)" -ge 1 ]
}
wait_until 10 has_mistaken_peer entry-brest
wait_until 10 has_mistaken_peer entry-quimper
send_verses 10
check "verses at the print shop" "$(count_runs atelier-brest)" 0
! peer_matches entry-brest plume-ghost '.state == "up"' || fail "the ghost is up"

# tests/props/core_fleet.cc checks in virtual time that this takes less than
# 6 s.
echo "a leaving VM gets no new work"
list_vm vm-plume-vannes agent vannes "$host:$((port + 204))" \
    plume-vannes leaving
started=$SECONDS
for entry in entry-brest entry-quimper; do
    wait_until 10 peer_matches "$entry" plume-vannes .leaving
done
wait_until 10 state_matches agent-plume-vannes .leaving
echo "  seen by all processes after $((SECONDS - started)) s" >&2
before=$(count_runs plume-vannes)
send_verses 10
check "new work at the leaving VM" "$(count_runs plume-vannes)" "$before"

echo "the list is unavailable: requests are served"
set_faults "$vms_address" '{"down": true}'
has_failed_reads()
{
    [ "$(counter entry-brest vms.read_failed)" -ge 2 ]
}
wait_until 10 has_failed_reads
send_verses 5
kill_now agent-plume-brest
start_agent plume-brest
wait_until 10 peer_matches entry-brest plume-brest .takes_work
send_verses 5
