#!/usr/bin/env bash
# Answers that are lost, cut, stalled, late, crossed or asked for twice.
# usage: tests/failure/answers_lost.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=24400
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: verse ENTRY KIND [CURL OPTION...]; gives curl's exit status
verse()
{
    local code=0 entry=$1 kind=$2
    shift 2
    call "$entry" quimper-undertakers "$kind" "peace" -N "$@" \
        >"$work/verse" || code=$?
    echo "$code"
}

# usage: replays ENTRY KEY ISSUED; the home gives the answer that it kept
replays()
{
    order "$@" >"$work/resent"
    [ "$(header Sassafras-Outcome)" = ran ]
}

echo "an order takes effect and its answer is lost"
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

echo "an order is answered after its deadline"
set_service_faults atelier '{"delay_ms": 1500}'
issued=$(now_ms)
order entry-brest late "$issued" -H "Sassafras-Deadline-Ms: 300" \
    >"$work/order"
case $(status) in
502 | 504) ;;
*) fail "a late order has status $(status)" ;;
esac
check outcome "$(header Sassafras-Outcome)" unknown
wait_until 10 replays entry-quimper late "$issued" ||
    fail "the late answer was not kept"
check runs "$(count_order_runs late)" 1

echo "the same order at two entries at once"
issued=$(now_ms)
order_in_background first entry-brest twice "$issued"
order_in_background second entry-quimper twice "$issued"
wait_call first
wait_call second
set_service_faults atelier '{"delay_ms": 0}'
wait_until 10 replays entry-brest twice "$issued"
check runs "$(count_order_runs twice)" 1

echo "one bill for each order that is known to have run"
wait_until 20 has_bill_count print-order 2 || fail "bills: $(ctl bills)"

echo "the answer to a verse is lost: another engine answers"
post_json "${upstream_url[plume-brest]}/faults" '{"lose_answers": 100}'
for number in 1 2 3 4 5 6; do
    check exit "$(verse entry-brest verse)" 0
    check status "$(status)" 200
    is_complete_stream "$work/verse" || fail "the verse is not whole"
done
runs=$(engine_stat plume-brest '.ran | length')
[ "$runs" -ge 1 ] || fail "no answer was lost"

echo "every engine loses the answer: it is not said that nothing ran"
set_service_faults plume '{"lose_answers": 100}'
check exit "$(verse entry-brest verse)" 0
check outcome "$(header Sassafras-Outcome)" unknown
set_service_faults plume '{"lose_answers": 0}'

echo "streams are cut after three tokens"
set_service_faults plume '{"cut_after": 3}'
[ "$(verse entry-brest verse)" != 0 ] || fail "a cut stream looks whole"
! is_complete_stream "$work/verse" || fail "a cut stream has an end mark"
code=$(verse entry-brest proof-check)
[ "$code $(header Sassafras-Outcome)" = "18 ran" ] ||
    check "outcome of a held answer" "$(header Sassafras-Outcome)" unknown
set_service_faults plume '{"cut_after": 0}'

echo "one engine cuts: held answers come whole from another"
post_json "${upstream_url[plume-brest]}/faults" '{"cut_after": 3}'
for session in 1 2 3 4 5 6 7 8; do
    code=$(verse entry-brest proof-check)
    [ "$code" = 0 ] && is_complete_stream "$work/verse" && continue
    [ "$(header Sassafras-Version)" = plume-large-1 ] && [ "$code" = 18 ] ||
        fail "proof-check $session: exit $code"
done
set_service_faults plume '{"cut_after": 0}'

echo "streams stall: cut at the deadline, and the engine is told"
set_service_faults plume '{"stall_after": 3}'
code=$(verse entry-brest verse -H "Sassafras-Deadline-Ms: 1000" -m 10)
[ "$code" = 18 ] || fail "a stalled stream ends with $code"
all_idle()
{
    ! find_upstream plume is_running
}
wait_until 10 all_idle || fail "an engine still runs a stalled stream"
set_service_faults plume '{"stall_after": 0}'

echo "answers are crossed: none is taken for the caller's"
set_service_faults plume '{"crossed": true}'
for entry in entry-brest entry-quimper; do
    check exit "$(verse "$entry" verse)" 0
    check outcome "$(header Sassafras-Outcome)" unknown
done
set_service_faults plume '{"crossed": false}'
check exit "$(verse entry-brest verse)" 0
check status "$(status)" 200
