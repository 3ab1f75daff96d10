#!/usr/bin/env bash
# Operators write the same record at once; a failure domain is taken out and
# brought back under load; a version is withdrawn during sessions; a home that
# holds session pins is killed.
# usage: tests/failure/operators.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=26000
. tests/scripts/lib.sh
. tests/scripts/system.sh
start_demo_system
processes=(entry-brest entry-quimper agent-{plume,atelier}-{brest,quimper,vannes})

# usage: mark_and_wait KIND NAME in|out; sets the mark and waits until it is in
# force on every process. tests/props/core_fleet.cc checks in virtual time that
# this takes less than 6 s.
mark_and_wait()
{
    local started_ms
    ctl mark "$@" >/dev/null
    started_ms=$(now_ms)
    wait_in_force "${processes[@]}"
    echo "  mark $*: in force after $(($(now_ms) - started_ms)) ms" >&2
}

echo "two operators publish the same record at once"
# With the delay, each operator reads the log before the other's append is
# visible.
set_faults "$log_address" '{"delay_ms": 1000}'
for state in one two; do
    echo "[{\"key\": \"label/raced\", \"value\": {\"type\": \"version\",
        \"service\": \"plume\", \"model\": \"$state\", \"cost_micros\": 1,
        \"quality\": 0.5}}]" >"$work/$state.json"
    (
        trap - EXIT
        code=0
        ctl publish "$work/$state.json" >/dev/null 2>&1 || code=$?
        echo "$code" >"$work/$state.part"
        mv "$work/$state.part" "$work/$state.code"
    ) &
done
wait_until 30 test -e "$work/one.code"
wait_until 30 test -e "$work/two.code"
set_faults "$log_address" '{"delay_ms": 0}'
codes="$(cat "$work/one.code") $(cat "$work/two.code")"
case $codes in
"0 3") winner=one ;;
"3 0") winner=two ;;
*) fail "exit codes of the operators: $codes" ;;
esac
wait_in_force "${processes[@]}"
for process in "${processes[@]}"; do
    curl -sf "http://${admin_of[$process]}/config" >"$work/config-$process"
    cmp -s "$work/config-$process" "$work/config-entry-brest" ||
        fail "$process has another configuration"
done
check "the value in force" "$(ctl get label/raced --json |
    grep -o '"model": "[a-z]*"')" "\"model\": \"$winner\""

echo "a failure domain is taken out and brought back under load"
start_load brest entry-brest verse 4
start_load quimper entry-quimper verse 4
start_load orders entry-brest print-order 2
wait_more_calls brest 40
# Calls sent before the mark may still start, so runs are counted only after
# the mark is in force.
mark_and_wait domain quimper out
verses=$(count_runs plume-quimper)
orders=$(count_runs atelier-quimper)
wait_more_calls brest 100
wait_more_calls quimper 100
wait_more_calls orders 40
check "verses in the domain" "$(count_runs plume-quimper)" "$verses"
check "orders in the domain" "$(count_runs atelier-quimper)" "$orders"
mark_and_wait domain quimper in
# usage: has_run_more UPSTREAM COUNT
has_run_more()
{
    [ "$(count_runs "$1")" -gt "$2" ]
}
wait_until 10 has_run_more plume-quimper "$verses" ||
    fail "no verses return to the domain"
wait_until 20 has_run_more atelier-quimper "$orders" ||
    fail "no orders return to the domain"
stop_load brest
stop_load quimper
stop_load orders
check "verses that failed" \
    "$(cat "$work"/load-{brest,quimper} | grep -vc '^0 200 ran whole$')" 0
check "orders neither run nor refused at once" \
    "$(grep -vcE '^0 (200 ran|50[23] (not-run|unknown)) whole$' \
        "$work/load-orders")" 0
echo "  orders: $(sort "$work/load-orders" | uniq -c | xargs)"
curl -sf "${upstream_url[atelier-brest]}/ran" \
    "${upstream_url[atelier-quimper]}/ran" \
    "${upstream_url[atelier-vannes]}/ran" | jq -r '.ran[].key' >"$work/keys"
check "orders that ran twice" "$(sort "$work/keys" | uniq -d | wc -l)" 0

echo "sessions keep their versions at another entry and after a home is killed"
cat >"$work/canary.json" <<END
[{"key": "label/plume-large-2", "value": {"type": "version",
  "service": "plume", "model": "plume-large", "cost_micros": 2000,
  "quality": 0.95}},
 {"key": "selector/verses", "value": {"kinds": ["verse"],
  "service": "plume", "cascade": ["plume-large-1"], "quality": 0.9,
  "canary": "plume-large-2", "canary_share": 0.5,
  "idempotent": true, "priority": 0, "deadline_ms": 15000}}]
END
ctl publish "$work/canary.json" >/dev/null
wait_in_force "${processes[@]}"
has_version()
{
    curl -sf "${upstream_url[$1]}/load" |
        jq -e '.versions | index("plume-large-2")' >/dev/null
}
for place in brest quimper vannes; do
    wait_until 20 has_version "plume-$place"
done
# The engines have the version before the entries have heard so.
wait_version_loaded entry-brest plume-large-2 3
wait_version_loaded entry-quimper plume-large-2 3
# usage: print_session_versions ENTRY; sends a verse of each session and prints
# "SESSION STATUS VERSION"
print_session_versions()
{
    local session
    for session in 1 2 3 4 5 6 7 8 9 10 11 12; do
        call "$1" quimper-undertakers verse "peace" -N \
            -H "Sassafras-Session: session-$session" >"$work/verse"
        echo "$session $(status) $(header Sassafras-Version)"
    done
}
print_session_versions entry-brest >"$work/first"
grep -q plume-large-1 "$work/first" && grep -q plume-large-2 "$work/first" ||
    fail "the sessions do not use both versions"
! grep -qv ' 200 ' "$work/first" || fail "a session's verse failed"
# From here on a new session would start with plume-large-1.
sed -i 's/"canary_share": 0.5/"canary_share": 0/' "$work/canary.json"
ctl publish "$work/canary.json" >/dev/null
wait_in_force "${processes[@]}"
kill_now agent-plume-brest
print_session_versions entry-quimper >"$work/second"
diff "$work/first" "$work/second" || fail "sessions changed their version"
start_agent plume-brest
wait_available entry-brest 6
wait_available entry-quimper 6

echo "a version is withdrawn during sessions"
mark_and_wait version plume-large-2 out
count_withdrawn_runs()
{
    local place
    for place in brest quimper vannes; do
        engine_stat "plume-$place" \
            '[.ran[] | select(.version == "plume-large-2")] | length'
    done | awk "{ sum += \$1 } END { print sum }"
}
withdrawn=$(count_withdrawn_runs)
print_session_versions entry-brest >"$work/third"
print_session_versions entry-quimper >"$work/fourth"
sed 's/plume-large-2/plume-large-1/' "$work/first" >"$work/wanted"
diff "$work/wanted" "$work/third" ||
    fail "sessions have not moved to plume-large-1"
diff "$work/wanted" "$work/fourth" ||
    fail "sessions have not moved to plume-large-1"
check "runs with the withdrawn version" "$(count_withdrawn_runs)" "$withdrawn"
mark_and_wait version plume-large-2 in
print_session_versions entry-brest >"$work/fifth"
diff "$work/wanted" "$work/fifth" ||
    fail "sessions moved back to plume-large-2"
