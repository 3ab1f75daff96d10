#!/usr/bin/env bash
# Engines become cold without notice, restart, and refuse requests, under load.
# usage: tests/failure/cold_engine.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=26400
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: limit_is UPSTREAM OPERATOR NUMBER; compares the concurrency limit
# that the upstream's agent applies
limit_is()
{
    state_matches "agent-$1" ".limit $2 $3"
}

# Succeeds if plume-brest runs more requests than the two of a cold engine.
is_busy()
{
    [ "$(engine_stat plume-brest .running)" -gt 2 ]
}

# Waits until the agent of plume-brest admits more requests than a cold engine
# can run, and the engine runs more.
wait_limit_grown()
{
    wait_until 30 limit_is plume-brest ">" 4 ||
        fail "the limit of plume-brest does not grow"
    wait_until 30 is_busy || fail "plume-brest never runs more than 2 requests"
}

set_service_faults plume '{"ttft_ms": 50, "token_ms": 10}'
start_load brest entry-brest verse 12
start_load quimper entry-quimper verse 12
wait_limit_grown

echo "an engine restarts cold: it gets no more requests than it can run"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": true}'
post_json "${upstream_url[plume-brest]}/restart" ''
overloads_at_restart=$(engine_stat plume-brest .overloads)
wait_more_calls brest 100
wait_more_calls quimper 100
check "overloads after 200 verses" "$(engine_stat plume-brest .overloads)" \
    "$overloads_at_restart"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": false}'
wait_limit_grown

echo "an engine becomes cold: only its load report says so"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": true}'
post_json "${upstream_url[plume-brest]}/cold" ''
# The agent learns of it with the next load report; one comes twice a second.
has_cold_limit()
{
    limit_is plume-brest "<=" 2 && ! is_busy
}
wait_until 10 has_cold_limit ||
    fail "the limit does not fall to that of a cold engine"
overloads_at_report=$(engine_stat plume-brest .overloads)
wait_more_calls brest 100
wait_more_calls quimper 100
check "overloads after the report" "$(engine_stat plume-brest .overloads)" \
    "$overloads_at_report"
echo "  overloads before the report: $((overloads_at_report - overloads_at_restart))"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": false}'
wait_limit_grown
stop_load brest
stop_load quimper
sort "$work"/load-brest "$work"/load-quimper | uniq -c
# A restart truncates the streams that had begun; no other verse may fail. The
# lines are "EXIT STATUS OUTCOME WHOLE", see start_load(); curl exits with 18
# for a truncated response.
check "verses neither complete, truncated nor refused" \
    "$(cat "$work"/load-{brest,quimper} | grep -vcE '^(0 200 ran whole|18 200 ran part|0 503 not-run part)$')" 0

echo "an engine refuses requests: others serve them"
post_json "${upstream_url[plume-brest]}/faults" '{"refuse": 503}'
for number in 1 2 3 4 5 6 7 8 9 10; do
    call entry-brest quimper-undertakers verse "x" -N >"$work/verse"
    check "status of a verse" "$(status)" 200
done

echo "all engines refuse: the entry refuses at once, with outcome not-run"
set_service_faults plume '{"refuse": 503}'
runs=$(($(count_runs plume-brest) + $(count_runs plume-quimper)))
call entry-brest quimper-undertakers verse "x" >"$work/verse"
# The status would be 504 if the entry held the request until its deadline.
check status "$(status)" 503
check outcome "$(header Sassafras-Outcome)" not-run
[ "$(header Retry-After)" -ge 1 ] || fail "no Retry-After"
check runs "$(($(count_runs plume-brest) + $(count_runs plume-quimper)))" "$runs"
