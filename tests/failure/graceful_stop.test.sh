#!/usr/bin/env bash
# SIGTERM of an agent and of an entry under load: no client sees a truncated
# response, and each request that reached a ready process gets a response.
# usage: tests/failure/graceful_stop.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=26800
. tests/scripts/lib.sh
. tests/scripts/system.sh
drain_grace_ms=5000
start_demo_system
# Requests last longer than a draining process stays after its last one.
set_service_faults plume '{"ttft_ms": 50, "token_ms": 60}'
set_service_faults atelier '{"service_ms": 600}'

# usage: print_results NAME; prints how many calls of a load had which result
print_results()
{
    echo "  $1: $(sort "$work/load-$1" | uniq -c | xargs)"
}

echo "an engine's agent stops"
start_load brest entry-brest verse 8
start_load quimper entry-quimper verse 8
wait_more_calls brest 24
stop agent-plume-brest || fail "the agent did not drain"
wait_more_calls brest 24
wait_more_calls quimper 24
start_agent plume-brest
wait_available entry-brest 6
wait_available entry-quimper 6
stop_load brest
stop_load quimper
print_results brest
print_results quimper
check "verses that failed" "$(cat "$work"/load-{brest,quimper} |
    grep -vc '^0 200 ran whole$')" 0

echo "a home's agent stops"
start_load orders entry-brest print-order 6
wait_more_calls orders 24
stop agent-atelier-brest || fail "the agent did not drain"
wait_more_calls orders 24
stop_load orders
print_results orders
check "orders neither run nor refused with 503" "$(grep -vcE \
    '^0 (200 ran|503 not-run|503 unknown) whole$' "$work/load-orders")" 0

echo "an entry stops"
start_load verses entry-quimper verse 8
wait_more_calls verses 24
kill -TERM "${pids[entry-quimper]}"
wait_until 10 state_matches entry-quimper '.ready == false'
# A load balancer notices this about now; the entry still accepts requests.
wait_more_calls verses 16
stop_load verses
stop entry-quimper || fail "the entry did not drain"
print_results verses
check "verses that failed" \
    "$(grep -vc '^0 200 ran whole$' "$work/load-verses")" 0
verses=$(cat "$work"/load-{brest,quimper,verses} | wc -l)
wait_until 10 has_bill_count verse "$verses" ||
    fail "bills: $(bill_count verse)"
check "bills of $verses verses" "$(bill_count verse)" "$verses"
