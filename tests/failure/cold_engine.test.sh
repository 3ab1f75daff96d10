#!/usr/bin/env bash
# Engines turn cold without warning, restart, and refuse, under load.
# usage: tests/failure/cold_engine.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=26400
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system

# usage: limit_is AGENT OPERATOR NUMBER
limit_is()
{
    state_matches "agent-$1" ".limit $2 $3"
}

# usage: grow; until the agent of plume-brest lets more run than a cold engine
# bears, and more do
is_busy()
{
    [ "$(engine_stat plume-brest .running)" -gt 2 ]
}
grow()
{
    wait_until 30 limit_is plume-brest ">" 4 || fail "the limit does not grow"
    wait_until 30 is_busy || fail "the engine is never busy"
}

set_service_faults plume '{"ttft_ms": 50, "token_ms": 10}'
start_load brest entry-brest verse 12
start_load quimper entry-quimper verse 12
grow

echo "an engine restarts cold: no more than it bears"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": true}'
post_json "${upstream_url[plume-brest]}/restart" ''
before=$(engine_stat plume-brest .overloads)
wait_more_calls brest 100
wait_more_calls quimper 100
check "overloads after 200 verses" "$(engine_stat plume-brest .overloads)" "$before"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": false}'
grow

echo "an engine turns cold and does not say so but in its load report"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": true}'
post_json "${upstream_url[plume-brest]}/cold" ''
# Until the next report the agent cannot know; a report comes twice a second.
is_cold()
{
    limit_is plume-brest "<=" 2 && ! is_busy
}
wait_until 10 is_cold || fail "the limit stays"
seen=$(engine_stat plume-brest .overloads)
wait_more_calls brest 100
wait_more_calls quimper 100
check "overloads once it is known" "$(engine_stat plume-brest .overloads)" "$seen"
echo "  overloads before the report: $((seen - before))"
post_json "${upstream_url[plume-brest]}/faults" '{"cold": false}'
grow
stop_load brest
stop_load quimper
sort "$work"/load-brest "$work"/load-quimper | uniq -c
# A restart cuts the streams that had begun, and nothing else is lost.
check "verses neither whole nor cut" "$(cat "$work"/load-{brest,quimper} |
    grep -vcE '^(0 200 ran whole|18 200 ran part|0 503 not-run part)$')" 0

echo "an engine refuses: others answer"
post_json "${upstream_url[plume-brest]}/faults" '{"refuse": 503}'
for number in 1 2 3 4 5 6 7 8 9 10; do
    call entry-brest quimper-undertakers verse "x" -N >"$work/verse"
    check "status of a verse" "$(status)" 200
done

echo "all engines refuse: it is said at once, and that nothing ran"
set_service_faults plume '{"refuse": 503}'
runs=$(($(count_runs plume-brest) + $(count_runs plume-quimper)))
call entry-brest quimper-undertakers verse "x" >"$work/verse"
# Held until its deadline, it would be 504.
check status "$(status)" 503
check outcome "$(header Sassafras-Outcome)" not-run
[ "$(header Retry-After)" -ge 1 ] || fail "no Retry-After"
check runs "$(($(count_runs plume-brest) + $(count_runs plume-quimper)))" "$runs"
