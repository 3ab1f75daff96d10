#!/usr/bin/env bash
# Two failures at once: a failure domain is taken out and an entry is killed;
# an agent is killed while the log loses responses. log_trouble.test.sh kills a
# home while the log is down.
# usage: tests/failure/two_at_once.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=27200
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system
agents=(agent-{plume,atelier}-{brest,quimper,vannes})

echo "a domain is taken out and an entry is killed, under load"
start_load verses entry-quimper verse 4
set_service_faults atelier '{"service_ms": 1500}'
issued=$(now_ms)
for number in 1 2 3 4 5 6; do
    order_in_background "order-$number" entry-brest "key-$number" "$issued"
done
for number in 1 2 3 4 5 6; do
    wait_until 10 order_has_run "key-$number"
done
ctl mark domain quimper out >/dev/null
kill_now entry-brest
wait_in_force entry-quimper "${agents[@]}"
verses=$(count_runs plume-quimper)
orders=$(count_runs atelier-quimper)
for number in 1 2 3 4 5 6; do
    wait_call "order-$number"
done
wait_more_calls verses 100
stop_load verses
check "verses that failed" \
    "$(grep -vc '^0 200 ran whole$' "$work/load-verses")" 0
wait_until 30 has_bill_count print-order 6 || fail "bills: $(ctl bills)"
for number in 1 2 3 4 5 6; do
    order entry-quimper "key-$number" "$issued" >"$work/order"
    case $(header Sassafras-Outcome) in
    ran | unknown) ;;
    *) fail "key-$number ran and has outcome $(header Sassafras-Outcome)" ;;
    esac
    [ "$(count_order_runs "key-$number")" = 1 ] || fail "key-$number ran twice"
done
check "verses in the domain" "$(count_runs plume-quimper)" "$verses"
check "orders in the domain" "$(count_runs atelier-quimper)" "$orders"
check "bills of orders" "$(bill_count print-order)" 6

echo "an agent is killed while the log loses responses"
set_service_faults atelier '{"service_ms": 0}'
start_entry entry-brest
ctl mark domain quimper in >/dev/null
wait_available entry-brest 6
wait_available entry-quimper 6
set_service_faults plume '{"ttft_ms": 50}'
set_faults "$log_address" '{"lose_answers": 1000000}'
wait_until 20 state_matches entry-quimper '.bills.pending == 0'
before=$(bill_count verse)
start_load more entry-brest verse 4
start_load other entry-quimper verse 4
wait_more_calls more 40
kill_now agent-plume-brest
wait_more_calls more 40
wait_more_calls other 40
stop_load more
stop_load other
check "verses neither complete nor truncated" \
    "$(cat "$work"/load-{more,other} | grep -vcE '^(0 200 ran whole|18 200 ran part)$')" 0
complete=$(cat "$work"/load-{more,other} | grep -c '^0 200 ran whole$')
for entry in entry-brest entry-quimper; do
    wait_until 20 state_matches "$entry" '.bills.pending == 0'
done
check "bills of complete verses" \
    "$(($(bill_count verse) - before))" "$complete"
