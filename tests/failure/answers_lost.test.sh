#!/usr/bin/env bash
# Responses that are lost, truncated, stalled, late, swapped between requests
# or requested twice.
# usage: tests/failure/answers_lost.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=24400
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: send_verse ENTRY KIND [CURL-OPTION...]; sends a request for a verse
# and prints curl's exit status. The response's body goes to $work/verse.
send_verse()
{
    local code=0 entry=$1 kind=$2
    shift 2
    call "$entry" quimper-undertakers "$kind" "peace" -N "$@" \
        >"$work/verse" || code=$?
    echo "$code"
}

# usage: resend_gets_stored_response ENTRY KEY ISSUED; resends the order and
# succeeds if the home returns the response that it has stored
resend_gets_stored_response()
{
    order "$@" >"$work/resent"
    [ "$(header Sassafras-Outcome)" = ran ]
}

echo "an order runs and its response is lost"
set_service_faults atelier '{"lose_answers": 1}'
issued=$(now_ms)
order entry-brest lost "$issued" >"$work/order"
check status "$(status)" 502
check outcome "$(header Sassafras-Outcome)" unknown
set_service_faults atelier '{"lose_answers": 0}'
for entry in entry-brest entry-quimper; do
    order "$entry" lost "$issued" >"$work/order"
    check "outcome of a resend" "$(header Sassafras-Outcome)" unknown
done
check runs "$(count_order_runs lost)" 1

echo "the response to an order arrives after its deadline"
set_service_faults atelier '{"delay_ms": 1500}'
issued=$(now_ms)
order entry-brest late "$issued" -H "Sassafras-Deadline-Ms: 300" \
    >"$work/order"
case $(status) in
502 | 504) ;;
*) fail "an order past its deadline has status $(status)" ;;
esac
check outcome "$(header Sassafras-Outcome)" unknown
wait_until 10 resend_gets_stored_response entry-quimper late "$issued" ||
    fail "the late response was not stored"
check runs "$(count_order_runs late)" 1

echo "the same order is sent to two entries at once"
issued=$(now_ms)
order_in_background first entry-brest twice "$issued"
order_in_background second entry-quimper twice "$issued"
wait_call first
wait_call second
set_service_faults atelier '{"delay_ms": 0}'
wait_until 10 resend_gets_stored_response entry-brest twice "$issued"
check runs "$(count_order_runs twice)" 1

echo "one bill for each order that is known to have run"
wait_until 20 has_bill_count print-order 2 || fail "bills: $(ctl bills)"

echo "the response to a verse is lost: another engine serves it"
post_json "${upstream_url[plume-brest]}/faults" '{"lose_answers": 100}'
for number in 1 2 3 4 5 6; do
    check exit "$(send_verse entry-brest verse)" 0
    check status "$(status)" 200
    is_complete_stream "$work/verse" || fail "the verse is incomplete"
done
runs=$(engine_stat plume-brest '.ran | length')
[ "$runs" -ge 1 ] || fail "no response was lost"

echo "every engine loses the response: the outcome is unknown, not not-run"
set_service_faults plume '{"lose_answers": 100}'
check exit "$(send_verse entry-brest verse)" 0
check outcome "$(header Sassafras-Outcome)" unknown
set_service_faults plume '{"lose_answers": 0}'

echo "streams are truncated after three tokens"
set_service_faults plume '{"cut_after": 3}'
[ "$(send_verse entry-brest verse)" != 0 ] ||
    fail "a truncated stream looks complete"
! is_complete_stream "$work/verse" || fail "a truncated stream has an end mark"
code=$(send_verse entry-brest proof-check)
[ "$code $(header Sassafras-Outcome)" = "18 ran" ] ||
    check "outcome of a buffered response" \
        "$(header Sassafras-Outcome)" unknown
set_service_faults plume '{"cut_after": 0}'

echo "one engine truncates: buffered responses come complete from another"
post_json "${upstream_url[plume-brest]}/faults" '{"cut_after": 3}'
for session in 1 2 3 4 5 6 7 8; do
    code=$(send_verse entry-brest proof-check)
    [ "$code" = 0 ] && is_complete_stream "$work/verse" && continue
    [ "$(header Sassafras-Version)" = plume-large-1 ] && [ "$code" = 18 ] ||
        fail "proof-check $session: exit $code"
done
set_service_faults plume '{"cut_after": 0}'

echo "streams stall: ended at the deadline, and cancelled at the engine"
set_service_faults plume '{"stall_after": 3}'
code=$(send_verse entry-brest verse -H "Sassafras-Deadline-Ms: 1000" -m 10)
[ "$code" = 18 ] || fail "a stalled stream ends with $code"
are_engines_idle()
{
    ! find_upstream plume is_running
}
wait_until 10 are_engines_idle || fail "an engine still runs a stalled stream"
set_service_faults plume '{"stall_after": 0}'

echo "responses of other requests arrive: none is passed to the client"
set_service_faults plume '{"crossed": true}'
for entry in entry-brest entry-quimper; do
    check exit "$(send_verse "$entry" verse)" 0
    check outcome "$(header Sassafras-Outcome)" unknown
done
set_service_faults plume '{"crossed": false}'
check exit "$(send_verse entry-brest verse)" 0
check status "$(status)" 200
