#!/usr/bin/env bash
# Tests the fakes themselves: their protocols, settings and faults, which
# are described at the head of tests/fakes/common.h and of each fake_*.c.
# usage: tests/scripts/fakes.test.sh BUILD_DIR
here=$(cd "$(dirname "$0")" && pwd)
bin=$1/tests/fakes
. "$here/lib.sh"

log=127.0.0.1:21001
vms=127.0.0.1:21002
engine=127.0.0.1:21003
plain=127.0.0.1:21004
rating=127.0.0.1:21005

# ---- helpers ----

title()
{
    echo "== $*"
}

# usage: call METHOD URL [BODY [CURL_ARG...]]; prints the response's body and
# status and, if curl failed, its exit status
call()
{
    local method=$1 url=$2 body=${3:-} status=0
    shift $(($# < 3 ? $# : 3))
    local args=(-s -m 10 -X "$method" "http://$url")
    [ -z "$body" ] || args+=(-d "$body")
    curl "${args[@]}" -w '%{http_code}\n' "$@" || status=$?
    [ "$status" -eq 0 ] || echo "curl exit $status"
}

# usage: faults ADDRESS JSON; sets faults of a fake
faults()
{
    curl -s -o "$work/faults" -d "$2" "http://$1/faults"
}

# usage: get URL; prints the response's body
get()
{
    curl -s -m 10 "http://$1"
}

# usage: request_completion VERSION ID BODY [CURL_ARG...]; sends a request with
# the identifier ID to the engine and prints the streamed response
request_completion()
{
    (exec_completion "$@")
}

# As request_completion(), but replaces the shell by curl. The process id of a
# background job is then that of curl itself, which can be killed.
exec_completion()
{
    local version=$1 id=$2 body=$3
    shift 3
    exec curl -s -m 10 -H "Engine-Version: $version" -H "Engine-Request: $id" \
        -d "$body" "http://$engine/v1/complete" "$@"
}

# Reads a streamed response and prints its tokens as one text.
completion_text()
{
    sed -n 's/^data: {/{/p' | jq -sj 'map(.token) | join(""), "\n"'
}

# usage: stat_is JQ-FILTER VALUE; succeeds if the filter yields VALUE for the
# engine's statistics
stat_is()
{
    [ "$(get $engine/stats | jq -c "$1")" = "$2" ]
}

# usage: elapsed_ms COMMAND...; prints how long COMMAND took, without its
# output
elapsed_ms()
{
    local begin_ms
    begin_ms=$(date +%s%3N)
    "$@" >"$work/output"
    echo $(($(date +%s%3N) - begin_ms))
}

# usage: at_least MS MIN_MS; prints the same text for any MS of at least MIN_MS
at_least()
{
    [ "$1" -ge "$2" ] && echo "at least $2 ms" || echo "only $1 ms"
}

# ---- tests ----

shared_faults()
{
    title "shared faults"
    get $log/faults | jq -c .
    call POST $log/faults '{"dwon":true}'
    call POST $log/faults '{"down":1}'
    call POST $log/faults '{"retain":-1}'
    call POST $log/faults 'no JSON'
    faults $log '{"down":true}'
    call GET $log/streams/a
    faults $log '{"down":false,"refuse":503}'
    call POST $log/streams/a '{"records":[{"x":0}]}'
    faults $log '{"refuse":0,"delay_ms":150}'
    at_least "$(elapsed_ms call GET $log/streams/a)" 150
    faults $log '{"delay_ms":0,"lose_answers":1}'
    call POST $log/streams/a '{"records":[{"x":1}]}'
    call POST $log/streams/a '{"records":[{"x":2},{"x":3}]}'
}

log_service()
{
    title "log service"
    get "$log/streams/a?from=1&max=2" | jq -c 'del(.records[].at_ms)'
    get "$log/streams/a" | jq '.records[0].at_ms / 1000 - now | fabs < 60'
    get "$log/streams/a?from=9" | jq -c .
    get "$log/streams/none" | jq -c .
    call POST $log/streams/a '{"records":[1]}'
    call POST $log/streams/a '{"records":[]}'
    call GET $log/other
    faults $log '{"head_back":1}'
    get "$log/streams/a" | jq -c '[.oldest, .head, [.records[].offset]]'
    faults $log '{"head_back":0,"retain":2}'
    get "$log/streams/a?from=1" |
        jq -c '[.oldest, .head, [.records[].offset]]'
    faults $log '{"head_back":3}'
    get "$log/streams/a" | jq -c '[.oldest, .head, [.records[].offset]]'
    faults $log '{"head_back":0,"retain":0}'
    jq -nc '{records: [range(2000) | {pad: ("x" * 1000)}]}' >"$work/large"
    curl -s -d @"$work/large" http://$log/streams/large | jq -c .
    get "$log/streams/large?max=5000" | jq '.records | length'
    get $log/streams | jq -Sc .
}

vm_list()
{
    title "VM list"
    local entry='{"vm":"a2","role":"agent","domain":"d1","upstream":"u",
        "address":"127.0.0.1:2","state":"live"}'
    get $vms/vms | jq -c .
    call POST $vms/vms "$entry"
    call POST $vms/vms "${entry/live/leaving}"
    call POST $vms/vms '{"vm":"a3"}'
    call POST $vms/vms "${entry/agent/agnet}"
    get $vms/vms | jq -c '[.vms[] | [.vm, .state]]'
    call POST $vms/remove '{"vm":"e1"}'
    call DELETE $vms/vms/none
    get $vms/vms | jq -c '[.vms[].vm]'
    faults $vms '{"lag_ms":1500}'
    call DELETE $vms/vms/a2
    get $vms/vms | jq -c '[.vms[].vm]'
    wait_until 5 vms_are '[]'
    get $vms/vms | jq -c '[.vms[].vm]'
}

# usage: vms_are JSON; succeeds if JSON is the list of the VMs' names
vms_are()
{
    [ "$(get $vms/vms | jq -c '[.vms[].vm]')" = "$1" ]
}

engine_completions()
{
    title "engine completions"
    request_completion v1 r1 'two words'
    request_completion v2 r2 'two words' | completion_text
    request_completion v1 r3 'x' -D - -o /dev/null |
        tr -d '\r' | grep -E '^(HTTP|Content-Type|Transfer|Engine-Request)'
    request_completion v9 r4 'x' -w '%{http_code}\n'
    call POST $engine/v1/complete x
    get $engine/load | jq -c '.boot |= length'
    faults $engine '{"tokens":3,"bad_versions":{"v1":1}}'
    request_completion v1 r5 'x y' | completion_text
    request_completion v2 r6 'x y' | completion_text
    faults $engine '{"bad_versions":{"v1":0.5}}'
    for id in 1 2 3 4 5 6 7 8; do
        request_completion v1 "half-$id" 'x y' | completion_text
    done
    faults $engine '{"tokens":8,"bad_versions":{}}'
}

engine_faults()
{
    title "engine faults"
    faults $engine '{"cut_after":2}'
    request_completion v1 cut 'x' || echo "curl exit $?"
    faults $engine '{"cut_after":0,"stall_after":2}'
    request_completion v1 stall 'x' -m 1.5 || echo "curl exit $?"
    wait_until 5 stat_is .running 0
    faults $engine '{"stall_after":0,"crossed":true}'
    request_completion v1 crossed 'x' -D - -o /dev/null | tr -d '\r' |
        grep Engine-Request
    faults $engine '{"crossed":false,"lose_answers":1}'
    request_completion v1 lost 'x' || echo "curl exit $?"
    get $engine/stats | jq -c '.ran[-4:][]'
}

engine_orders()
{
    title "engine orders"
    call POST $engine/orders '{"op":"load","version":"v3","fence":5}'
    call POST $engine/orders '{"op":"unload","version":"v3","fence":4}'
    faults $engine '{"fencing":true}'
    call POST $engine/orders '{"op":"load","version":"v3","fence":4}'
    call POST $engine/orders '{"op":"load","version":"v3","fence":5}'
    call POST $engine/orders '{"op":"lod","version":"v3","fence":5}'
    faults $engine '{"lose_answers":1}'
    call POST $engine/orders '{"op":"unload","version":"v1","fence":6}'
    get $engine/load | jq -c '[.versions, .fence]'
    call POST $engine/orders '{"op":"load","version":"v1","fence":6}'
}

engine_capacity()
{
    title "engine capacity and cancellation"
    faults $engine '{"capacity":1,"queue":1,"stall_after":1}'
    exec_completion v2 c1 'x' >"$work/c1" 2>&1 &
    local c1_pid=$!
    wait_until 5 stat_is .running 1
    exec_completion v2 c2 'x' >"$work/c2" 2>&1 &
    local c2_pid=$!
    wait_until 5 stat_is .waiting 1
    request_completion v2 c3 'x' -i | tr -d '\r' | grep -E '^(HTTP|Retry|[{])'
    get $engine/load | jq -c '[.running, .waiting, .capacity]'
    call POST $engine/cancel '{"request":"c1"}'
    wait $c1_pid || echo "c1: curl exit $?"
    wait_until 5 stat_is '.ran[-1].request' '"c2"'
    call POST $engine/cancel '{"request":"none"}'
    # A client that closes its connection cancels its run.
    kill $c2_pid
    wait_until 5 stat_is '[.running, .ran[-1].cancelled]' '[0,true]'
    wait $c2_pid || true
    get $engine/stats | jq -c '[.refused, .ran[-2:]]'
    faults $engine '{"capacity":16,"queue":16,"stall_after":0}'
}

engine_priority()
{
    title "engine priority"
    local number pid completion_pids=()
    faults $engine '{"capacity":1,"stall_after":1}'
    exec_completion v2 p0 'x' >"$work/p0" 2>&1 &
    completion_pids+=($!)
    wait_until 5 stat_is .running 1
    for number in 1 3 2; do
        exec_completion v2 "p$number" 'x' -H "Engine-Priority: $number" \
            >"$work/p$number" 2>&1 &
        completion_pids+=($!)
    done
    wait_until 5 stat_is .waiting 3
    faults $engine '{"stall_after":0}'
    for pid in "${completion_pids[@]}"; do
        wait "$pid"
    done
    get $engine/stats | jq -c '[.ran[-4:][].request]'
    faults $engine '{"capacity":16}'
}

engine_cold()
{
    title "cold engine"
    local boot k1_pid k2_pid
    faults $engine '{"cold":true,"cold_capacity":0,"token_ms":5}'
    at_least "$(elapsed_ms request_completion v2 slow 'x')" 450
    get $engine/stats | jq -c .overloads
    faults $engine '{"cold":true,"cold_capacity":1,"stall_after":1}'
    get $engine/load | jq -c .warm
    exec_completion v2 k1 'x' >"$work/k1" 2>&1 &
    k1_pid=$!
    wait_until 5 stat_is .running 1
    get $engine/stats | jq -c .overloads
    exec_completion v2 k2 'x' >"$work/k2" 2>&1 &
    k2_pid=$!
    wait_until 5 stat_is .running 2
    get $engine/stats | jq -c .overloads
    boot=$(get $engine/load | jq -r .boot)
    call POST $engine/restart | jq -c '.running?'
    wait $k1_pid || echo "k1: curl exit $?"
    wait $k2_pid || echo "k2: curl exit $?"
    [ "$(get $engine/load | jq -r .boot)" != "$boot" ] && echo "new boot"
    get $engine/load | jq -c .versions
    faults $engine '{"warm_ms":1500,"cold":false,"stall_after":0}'
    get $engine/load | jq -c '.warm < 1'
    wait_until 5 is_warm
    call POST $engine/cold | jq -c '.running?'
    get $engine/load | jq -c '.warm < 1'
    wait_until 5 is_warm
    faults $engine '{"load_lag_ms":60000}'
    get $engine/load | jq -c .capacity
    faults $engine '{"capacity":3}'
    get $engine/load | jq -c .capacity
}

is_warm()
{
    [ "$(get $engine/load | jq '.warm == 1')" = true ]
}

plain_service()
{
    title "plain service"
    call POST $plain/order '{"ice":1}' -H 'Service-Request: s1' \
        -H 'Idempotency-Key: k1'
    call POST $plain/order '{"ice":1}' -H 'Service-Request: s2' \
        -H 'Idempotency-Key: k1'
    call POST $plain/order x
    faults $plain '{"lose_answers":1}'
    call POST $plain/order 'lost' -H 'Service-Request: s3'
    faults $plain '{"down":true}'
    call POST $plain/order 'down' -H 'Service-Request: s4'
    faults $plain '{"down":false,"refuse":500}'
    call POST $plain/order 'refused' -H 'Service-Request: s5'
    faults $plain '{"refuse":0,"capacity":0}'
    call POST $plain/order 'full' -H 'Service-Request: s6' -i |
        tr -d '\r' | grep -E '^(HTTP|Retry|[{])'
    faults $plain '{"capacity":4,"service_ms":150}'
    at_least "$(elapsed_ms call POST $plain/stock 'slow' \
        -H 'Service-Request: s7')" 150
    get $plain/ran | jq -c '.ran[]'
    get $plain/load | jq -c '.boot |= length'
}

rating_service()
{
    title "rating service"
    call POST $rating/rate '{"version":"v1","kind":"verse","answer":"a"}'
    call POST $rating/rate '{"version":"v2","kind":"verse","answer":"a"}'
    call POST $rating/rate '{"version":"v9","kind":"verse","answer":"a"}'
    call POST $rating/rate '{"version":"v2","kind":"verse","answer":"a BAD"}'
    call POST $rating/rate '{"version":"v2"}'
    faults $rating '{"scores":{"v2":0.25}}'
    call POST $rating/rate '{"version":"v2","kind":"verse","answer":"a"}'
}

options()
{
    title "options"
    local status=0
    "$bin/fake_log" --listen 0.0.0.0:21010 2>&1 || echo "exit $?"
    "$bin/fake_log" --listen 127.0.0.1:21010 --retain x >"$work/o" 2>&1 ||
        status=$?
    echo "exit $status"
    "$bin/fake_rating" --listen 127.0.0.1:21010 --scores v1=2 2>&1 ||
        echo "exit $?"
    start retaining "$bin/fake_log" --listen 127.0.0.1:21010 --retain 7
    wait_line retaining '^listening 127.0.0.1:21010$'
    get 127.0.0.1:21010/faults | jq -c .retain
    stop retaining && echo "exit 0"
}

stopping()
{
    title "stopping"
    local name
    for name in log vms engine plain rating; do
        stop $name && echo "$name: exit 0"
        cat "$work/$name.out" "$work/$name.err"
    done
}

# ---- run ----

cat >"$work/vms.json" <<'JSON'
{"vms": [{"vm": "e1", "role": "entry", "domain": "d1",
          "address": "127.0.0.1:1", "state": "live"}]}
JSON
start log "$bin/fake_log" --listen $log
start vms "$bin/fake_vms" --listen $vms --vms "$work/vms.json"
start engine "$bin/fake_engine" --listen $engine --versions v1,v2
start plain "$bin/fake_plain" --listen $plain
start rating "$bin/fake_rating" --listen $rating --scores v1=0.75,v2=0.5
for name in log vms engine plain rating; do
    wait_line $name '^listening 127.0.0.1:'
done
{
    shared_faults
    log_service
    vm_list
    engine_completions
    engine_faults
    engine_orders
    engine_capacity
    engine_priority
    engine_cold
    plain_service
    rating_service
    options
    stopping
} >"$work/actual"
expect "$here/fakes.expected"
