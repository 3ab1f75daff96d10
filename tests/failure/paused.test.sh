#!/usr/bin/env bash
# A home and an entry are paused (SIGSTOP) for longer than the freshness limit,
# and then continued (SIGCONT).
# usage: tests/failure/paused.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=24800
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: pause PROCESS
pause()
{
    kill -STOP "${pids[$1]}"
}

# usage: resume PROCESS
resume()
{
    kill -CONT "${pids[$1]}"
}

echo "a home is paused with an order in its buffers"
issued=$(now_ms)
order entry-brest probe-1 "$issued" >"$work/order"
home=$(find_upstream atelier upstream_ran_order probe-1)
others=$(printf 'atelier-%s\n' brest quimper vannes | grep -v "$home")
pause "agent-$home"
# Sends an order with $key. Succeeds if the paused home decides on that key:
# the outcome is then unknown, while orders of other homes run at once.
key=held
order_at_paused_home()
{
    order entry-brest "$key" "$(now_ms)" -H "Sassafras-Deadline-Ms: 1000" \
        >"$work/order"
    [ "$(header Sassafras-Outcome)" = unknown ]
}
until order_at_paused_home; do
    key=$key+
done
check "status of an order to the paused home" "$(status)" 504
check "runs while it is paused" "$(count_order_runs "$key")" 0
issued=$(now_ms)

echo "the keys of the paused home move to the others"
for other in $others; do
    wait_home_ready "$other" 2
done
order entry-quimper "$key" "$issued" >"$work/order"
check "outcome of a resend" "$(header Sassafras-Outcome)" unknown
order entry-quimper probe-1 "$issued" >"$work/order"
outcome=$(header Sassafras-Outcome)
[ "$outcome" != not-run ] || fail "the outcome of an order that ran is not-run"
for number in 1 2 3 4 5 6; do
    order entry-quimper "after-$number" "$(now_ms)" >"$work/order"
    check "status of a new order" "$(status)" 200
done

echo "the paused home continues"
resume "agent-$home"
has_seen_move()
{
    state_matches "agent-$home" ".home.revision >= \
        $(state "agent-${others%%$'\n'*}" .home.revision)"
}
wait_until 10 has_seen_move
wait_home_ready "$home" 3
check "runs of the order in its buffers" "$(count_order_runs "$key")" 0
check "runs of the order before the pause" "$(count_order_runs probe-1)" 1
for number in 1 2 3 4 5 6; do
    check "runs of a new order" "$(count_order_runs "after-$number")" 1
done

echo "an entry is paused while a failure domain is taken out"
wait_available entry-brest 6
pause entry-brest
paused_ms=$(now_ms)
for number in 1 2 3 4 5 6; do
    call_in_background "verse-$number" entry-brest quimper-undertakers verse x
    order_in_background "order-$number" entry-brest "woken-$number" \
        "$(now_ms)"
done
ctl mark domain quimper out >/dev/null
wait_in_force entry-quimper agent-plume-{brest,quimper,vannes} \
    agent-atelier-{brest,quimper,vannes}
verses=$(count_runs plume-quimper)
orders=$(count_runs atelier-quimper)
# Longer than the freshness limit, so that what the entry has heard
# from its peers is stale.
has_passed_limit()
{
    [ $(($(now_ms) - paused_ms)) -ge 3000 ]
}
wait_until 10 has_passed_limit
resume entry-brest
for number in 1 2 3 4 5 6; do
    wait_call "verse-$number"
    case "$(status) $(header Sassafras-Outcome)" in
    "200 ran" | "503 not-run") ;;
    *) fail "a verse sent to a paused entry: $(cat "$work/headers")" ;;
    esac
    wait_call "order-$number"
    [ "$(count_order_runs "woken-$number")" -le 1 ] || fail "an order ran twice"
    if [ "$(header Sassafras-Outcome)" = not-run ]; then
        check "runs of a refused order" "$(count_order_runs "woken-$number")" 0
    fi
done
check "verses in the domain" "$(count_runs plume-quimper)" "$verses"
check "orders in the domain" "$(count_runs atelier-quimper)" "$orders"
