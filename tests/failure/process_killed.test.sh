#!/usr/bin/env bash
# An entry and an agent are killed (SIGKILL) during verses, which the engines
# plume-DOMAIN stream, and during print orders, which carry an idempotency key
# and are run by the plain services atelier-DOMAIN. A client must not take a
# truncated stream for complete, and no order may run twice.
# usage: tests/failure/process_killed.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=24000
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: resend_has_run ENTRY KEY ISSUED; resends the order and succeeds if its
# outcome is ran. Fails the test if it is not-run.
resend_has_run()
{
    order "$@" >"$work/resent"
    case $(header Sassafras-Outcome) in
    ran) return 0 ;;
    unknown) return 1 ;;
    *) fail "the outcome of a resend of $2 is $(header Sassafras-Outcome)" ;;
    esac
}

# usage: has_started NAME; succeeds if the client has the first bytes of a
# stream
has_started()
{
    grep -q data: "$work/$1.body"
}

echo "an entry is killed during a stream and two orders"
set_service_faults plume '{"tokens": 2000, "token_ms": 10}'
set_service_faults atelier '{"hold": true}'
issued=$(now_ms)
# Of the two orders, `kept` is left alone after the crash and `resent` is sent
# again through the other entry.
call_in_background stream entry-brest quimper-undertakers verse "peace"
order_in_background kept entry-brest kept "$issued"
order_in_background resent entry-brest resent "$issued"
wait_until 10 has_started stream
wait_until 10 order_has_run kept
wait_until 10 order_has_run resent
kill_now entry-brest
set_service_faults atelier '{"hold": false}'
wait_call stream
[ "$(curl_exit stream)" != 0 ] ||
    fail "the client takes a truncated stream for complete"
! is_complete_stream "$work/stream.body" || fail "the stream has an end mark"
wait_call kept
[ "$(curl_exit kept)" != 0 ] || fail "the killed entry sent a response"
wait_until 10 resend_has_run entry-quimper resent "$issued"
check "status of the resend" "$(status)" 200
check "runs of the resent order" "$(count_order_runs resent)" 1
wait_until 20 has_bill_count print-order 2 || fail "bills: $(ctl bills)"
check "runs of the order that was not resent" "$(count_order_runs kept)" 1
is_idle_engine()
{
    [ "$(engine_stat "$1" .running)" = 0 ]
}
for domain in brest quimper vannes; do
    wait_until 10 is_idle_engine "plume-$domain" ||
        fail "the stream of the killed entry still runs"
done
check "bills of a stream that no client received" "$(bill_count verse)" 0

echo "an agent is killed before the first byte of a verse"
start_entry entry-brest
wait_available entry-brest 6
set_service_faults plume '{"tokens": 20, "token_ms": 2, "ttft_ms": 20000}'
call_in_background early entry-brest quimper-undertakers verse "peace"
wait_until 10 find_upstream plume is_running >"$work/found"
victim=$(tail -n 1 "$work/found")
# The engine on which the verse is retried responds without the delay.
set_service_faults plume '{"ttft_ms": 10}'
kill_now "agent-$victim"
wait_call early
check "status of the verse" "$(status)" 200
check "exit status of its client" "$(curl_exit early)" 0
is_complete_stream "$work/early.body" || fail "the verse is incomplete"
start_agent "$victim"
wait_available entry-brest 6

echo "an agent is killed during a stream"
set_service_faults plume '{"tokens": 2000, "token_ms": 10}'
call_in_background cut entry-brest quimper-undertakers verse "peace"
wait_until 10 has_started cut
victim=$(find_upstream plume is_running)
kill_now "agent-$victim"
wait_call cut
[ "$(curl_exit cut)" != 0 ] ||
    fail "the client takes a truncated stream for complete"
! is_complete_stream "$work/cut.body" || fail "the stream has an end mark"
start_agent "$victim"

echo "an agent is killed during an order"
set_service_faults atelier '{"hold": true}'
issued=$(now_ms)
order_in_background lost entry-brest lost "$issued"
wait_until 10 order_has_run lost
victim=$(find_upstream atelier upstream_ran_order lost)
kill_now "agent-$victim"
set_service_faults atelier '{"hold": false}'
wait_call lost
check "status of the order" "$(status)" 502
check "outcome of the order" "$(header Sassafras-Outcome)" unknown
start_agent "$victim"
# Resends the order, and fails the test if its outcome is not unknown, since the
# agent that ran it was killed. Succeeds if the restarted agent is ready to be a
# home, which decides whether an order with an idempotency key runs: it knows a
# home with 3 members that is in effect and that a majority of them has
# confirmed.
home_ready_after_resend()
{
    order entry-quimper lost "$issued" >"$work/resent"
    [ "$(header Sassafras-Outcome)" = unknown ] ||
        fail "a resend of a lost order is $(header Sassafras-Outcome)"
    state_matches "agent-$victim" ".home | .members == 3 and .effective and .evidence"
}
wait_until 30 home_ready_after_resend
order entry-brest lost "$issued" >"$work/resent"
check "outcome after the home is ready" "$(header Sassafras-Outcome)" unknown
check "runs of the order" "$(count_order_runs lost)" 1
