#!/usr/bin/env bash
# The log service is down, slow, loses responses, reports an older head, and is
# truncated. While it is down, a home is killed and processes lose contact with
# the others.
# usage: tests/failure/log_trouble.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=25200
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system
orders=0

# usage: place_orders COUNT; each order must run and get its response
place_orders()
{
    local end=$((orders + $1))
    while [ "$orders" -lt "$end" ]; do
        orders=$((orders + 1))
        order "entry-$((orders % 2 ? 1 : 2))" "key-$orders" "$(now_ms)" \
            >"$work/order"
        [ "$(status) $(header Sassafras-Outcome)" = "200 ran" ] ||
            fail "order $orders: $(cat "$work/headers" "$work/order")"
    done
}

# usage: place_verse ENTRY; the response must be complete
place_verse()
{
    call "$1" quimper-undertakers verse "peace" -N >"$work/verse"
    check "status of a verse by $1" "$(status)" 200
    is_complete_stream "$work/verse" || fail "a verse is incomplete"
}
# Other names for the entries, by which place_orders() alternates.
entry_url[entry-1]=${entry_url[entry-brest]}
entry_url[entry-2]=${entry_url[entry-quimper]}

echo "the log is down: requests are served without it"
set_faults "$log_address" '{"down": true}'
for process in entry-brest entry-quimper agent-atelier-{brest,quimper,vannes}
do
    wait_until 10 state_matches "$process" ".config.proof_age_ms > 3000"
    wait_until 10 state_matches "$process" .ready
done
place_orders 6
place_verse entry-brest
check "bills while the log is down" "$(state_matches entry-brest \
    '.bills.pending > 0' && echo pending)" pending

echo "a home is killed and restarted while the log is down"
issued=$(now_ms)
set_service_faults atelier '{"service_ms": 2000}'
order_in_background lost entry-brest lost "$issued"
wait_until 10 order_has_run lost
victim=$(find_upstream atelier upstream_ran_order lost)
kill_now "agent-$victim"
wait_call lost
check "outcome of its order" "$(header Sassafras-Outcome)" unknown
set_service_faults atelier '{"service_ms": 0}'
start_agent "$victim"
wait_home_ready "$victim" 3
for entry in entry-brest entry-quimper; do
    wait_until 10 state_matches "$entry" "[.peers[] |
        select(.upstream == \"$victim\" and .takes_work)] | length == 1"
done
order entry-quimper lost "$issued" >"$work/order"
check "outcome of a resend" "$(header Sassafras-Outcome)" unknown
place_orders 6
check "runs of the lost order" "$(count_order_runs lost)" 1

echo "a new entry gets its state from its peers while the log is down"
add_entry entry-vannes vannes
wait_until 10 state_matches entry-vannes .ready || fail "$(state entry-vannes .)"
wait_available entry-vannes 6
place_verse entry-vannes
kill_now entry-vannes

echo "a new entry without log and peers refuses requests"
set_faults "$vms_address" '{"down": true}'
start_entry entry-vannes
wait_until 10 state_matches entry-vannes '.ready == false'
call entry-vannes quimper-undertakers verse "x" >"$work/verse"
check status "$(status)" 503
check outcome "$(header Sassafras-Outcome)" not-run
set_faults "$vms_address" '{"down": false}'
wait_until 10 state_matches entry-vannes .ready

echo "entries that reach no majority of agents refuse, and an agent alone"
for process in agent-plume-{brest,quimper,vannes} agent-atelier-{brest,quimper}
do
    kill -STOP "${pids[$process]}"
done
for entry in entry-brest entry-quimper; do
    wait_until 10 state_matches "$entry" '.ready == false'
    call "$entry" quimper-undertakers verse "x" >"$work/verse"
    check "status of $entry" "$(status)" 503
    check "outcome of $entry" "$(header Sassafras-Outcome)" not-run
done
wait_until 10 state_matches agent-atelier-vannes '.ready == false'
for process in agent-plume-{brest,quimper,vannes} agent-atelier-{brest,quimper}
do
    kill -CONT "${pids[$process]}"
done
wait_available entry-brest 6
wait_available entry-quimper 6

echo "the log is up again: each bill arrives once"
set_faults "$log_address" '{"down": false}'
wait_until 20 has_bill_count print-order "$orders" || fail "bills: $(ctl bills)"
# The homes that were paused first take their keys back; only then do they
# accept requests with new keys.
for place in brest quimper vannes; do
    wait_home_ready "atelier-$place" 3
done

echo "the log loses responses"
set_faults "$log_address" '{"lose_answers": 4}'
place_orders 4
wait_until 20 has_bill_count print-order "$orders" || fail "bills: $(ctl bills)"
has_resolved_lost_response()
{
    [ $(($(counter entry-brest bills.lost_answers_settled) +
        $(counter entry-quimper bills.lost_answers_settled))) -ge 1 ]
}
wait_until 20 has_resolved_lost_response ||
    fail "no lost response was resolved by reading the log"
set_faults "$log_address" '{"lose_answers": 0}'
check "batches that are in the log twice" "$(curl -sf \
    "http://$log_address/streams/bills?from=1&max=1000" |
    jq '[.records[].value | "\(.writer) \(.seq)"] |
        length - (unique | length)')" 0

echo "the log is slow"
set_faults "$log_address" '{"delay_ms": 1500}'
wait_until 10 state_matches entry-brest ".config.proof_age_ms > 1000"
place_orders 2
place_verse entry-brest
set_faults "$log_address" '{"delay_ms": 0}'

echo "the log reports an older head: no process goes back"
offset=$(state entry-brest .config.offset)
set_faults "$log_address" '{"head_back": 5}'
has_seen_head_back()
{
    [ "$(counter entry-brest log.head_back)" -ge 8 ]
}
wait_until 20 has_seen_head_back
check "offset is not lower" \
    "$(state entry-brest ".config.offset >= $offset")" true
place_orders 2
place_verse entry-quimper
set_faults "$log_address" '{"head_back": 0}'

echo "the log is truncated: a new process starts from a snapshot"
jq -nc '[range(140) | {key: "label/v\(.)", value: {type: "version",
    service: "plume", model: "m", cost_micros: 1, quality: 0.5}}]' \
    >"$work/many.json"
ctl publish "$work/many.json" >/dev/null
wait_in_force entry-brest entry-quimper
wait_until 20 state_matches entry-brest ".config.snapshot_offset >= 140"
set_faults "$log_address" '{"retain": 3}'
set_faults "$vms_address" '{"down": true}'
kill_now entry-vannes
start_entry entry-vannes
wait_in_force entry-vannes
check "snapshots taken" "$(counter entry-vannes snapshots.taken)" 1
same_config()
{
    diff <(curl -sf "http://${admin_of[entry-vannes]}/config") \
        <(curl -sf "http://${admin_of[entry-brest]}/config")
}
same_config || fail "the state from the snapshot differs"
set_faults "$vms_address" '{"down": false}'
wait_until 10 state_matches entry-vannes .ready
wait_available entry-vannes 6
place_verse entry-vannes
place_orders 2
for entry in entry-brest entry-quimper; do
    wait_until 20 state_matches "$entry" '.bills.pending == 0'
done
