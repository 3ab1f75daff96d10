#!/usr/bin/env bash
# Runs sassafrasctl against a fake of the log service and one entry:
# publishing, conflicts with another operator, lost responses, a truncated
# stream, a log service that is down, and waiting until a revision is in force.
# tests/fakes/common.h and fake_log.c describe the fake's faults.
# usage: tests/scripts/ctl.test.sh BUILD_DIR
here=$(cd "$(dirname "$0")" && pwd)
examples=$here/../../examples
bin=$(realpath "$1")
. "$here/lib.sh"

log=127.0.0.1:22001
vms=127.0.0.1:22002
admin=127.0.0.1:22003
absent=127.0.0.1:22009 # nothing listens here

# ---- helpers ----

title()
{
    echo "== $*"
}

# usage: ctl ARG...; prints the output, and the exit status unless it is 0
ctl()
{
    local status=0
    "$bin/programs/sassafrasctl" --log $log --by anna "$@" || status=$?
    [ "$status" -eq 0 ] || echo "exit $status"
}

# usage: faults JSON; sets faults of the log service's fake
faults()
{
    curl -sf -o "$work/faults" -d "$1" "http://$log/faults"
}

# usage: append STREAM RECORDS; appends records (JSON, separated by commas) to
# the log directly, as a program other than sassafrasctl would
append()
{
    curl -sf -o "$work/append" -d "{\"records\":[$2]}" \
        "http://$log/streams/$1"
}

# usage: head_is OFFSET; succeeds if OFFSET is the head of the stream `config`,
# which is the offset after its newest record
head_is()
{
    [ "$(curl -s "http://$log/streams" | jq .config.head)" = "$1" ]
}

# usage: publish JSON [ARG...]; publishes a file that contains JSON
publish()
{
    printf '%s' "$1" >"$work/publish.json"
    shift
    ctl publish "$work/publish.json" "$@"
}

# ---- tests ----

command_line()
{
    title 'command line'
    ctl
    ctl forget
    ctl get
    ctl mark domain brest
    ctl wait 1
    ctl wait one --admin $admin
    ctl state --admin entry:80
    ctl get --all --timeout-ms 0
    "$bin/programs/sassafrasctl" get --all || echo "exit $?"
}

log_down()
{
    title 'log down'
    faults '{"down":true}'
    ctl get --all
    ctl mark domain brest out
    faults '{"down":false,"refuse":503}'
    ctl mark domain brest out
    faults '{"refuse":0}'
}

publishing()
{
    title 'publishing'
    ctl publish "$examples/kerhuel/configuration.json" | tail -n 2
    ctl publish "$examples/kerhuel/configuration.json" | tail -n 2
    title 'a file with an invalid item publishes nothing'
    publish '[{"key":"mark/domain/brest","value":{"in":false}},
              {"key":"mark/domain/brest","value":{"out":true}}]'
    ctl get mark/domain/brest
    publish '{"key":"mark/domain/brest"}'
    title 'marks'
    ctl mark domain brest out
    ctl mark domain brest out
    ctl mark domain brest in
    ctl mark version plume-grande-4 out
    ctl mark zone brest out
    ctl mark domain brest down
    title 'removal'
    publish '[{"key":"label/plume-petite-4","value":null}]'
    publish '[{"key":"mark/domain/brest","value":null}]'
    ctl get mark/domain/brest
    ctl history mark/domain/brest
    ctl history mark/domain/none
    title 'only agents move homes'
    publish '[{"key":"home/atelier","value":{"members":["atelier-brest-1"]}}]'
    title 'json'
    ctl mark domain vannes out --json | jq -c .
    ctl mark domain vannes out --json | jq -c .
    ctl mark version none out --json | grep -v '^exit' | jq -c .
}

# usage: conflict HEAD; another operator changes the key first, and
# sassafrasctl's first read does not show that record yet. HEAD is the stream's
# head once both records were appended.
conflict()
{
    title 'conflict'
    append config '{"key":"mark/domain/quimper","id":"other","by":"bob",
        "base":0,"value":{"in":true}}'
    # Reads do not show the newest record.
    faults '{"head_back":1}'
    start conflict "$bin/programs/sassafrasctl" --log $log --by anna \
        mark domain quimper out
    wait_until 5 head_is "$1"
    faults '{"head_back":0}'
    wait_conflict
    cat "$work/conflict.out" "$work/conflict.err"
    ctl history mark/domain/quimper
}

# Waits for the command that conflict() has started; prints its exit status.
wait_conflict()
{
    local status=0
    wait "${pids[conflict]}" || status=$?
    unset 'pids[conflict]'
    echo "exit $status"
}

lost_responses()
{
    title 'lost response, record found'
    faults '{"lose_answers":1}'
    ctl mark domain brest out
    title 'lost response, record not visible and appended twice'
    append config '{"key":"mark/domain/auray","id":"other-2","by":"bob",
        "base":0,"value":{"in":true}}'
    faults '{"lose_answers":1,"head_back":1}'
    ctl mark domain brest in
    faults '{"head_back":0}'
    ctl history mark/domain/brest | tail -n 2
    title 'appended, not read back'
    faults '{"head_back":9}'
    ctl mark domain auray out --timeout-ms 200
    faults '{"head_back":0}'
    title 'all responses lost, no record visible'
    faults '{"lose_answers":9,"head_back":9}'
    publish '[{"key":"mark/domain/lorient","value":{"in":false}},
              {"key":"mark/domain/crozon","value":{"in":false}}]'
    faults '{"lose_answers":0,"head_back":0}'
    ctl publish "$work/publish.json"
}

# The bill b1 is appended three times, but counts once.
bills()
{
    title 'bills'
    local b1='{"bill":"b1","team":"auray","kind":"verse","version":"v",
        "upstream":"u","tokens":7,"cost_micros":180}'
    append bills "{\"writer\":\"w\",\"seq\":1,\"bills\":[$b1]}"
    append bills "{\"writer\":\"w\",\"seq\":1,\"bills\":[$b1]}"
    append bills "{\"writer\":\"w\",\"seq\":2,\"bills\":[${b1/b1/b2},$b1]}"
    ctl bills
    ctl bills --json | jq -c .totals
}

processes()
{
    title 'in force'
    ctl mark domain vannes in --wait --admin $admin
    ctl wait 1000 --wait-ms 200 --admin $admin --admin $absent
    ctl wait 1 --json --admin $admin | jq -c 'del(.processes[].offset)'
    ctl state --admin $admin --json |
        jq -c '.processes[] | [.admin, .state.vm, .state.role]'
    ctl counters --admin $admin | cut -d' ' -f1 | sort -u
    ctl counters --admin $absent
}

# The log service has deleted the oldest records. sassafrasctl must continue
# from the newest snapshot, and report an error once there is a gap
# between the snapshot and the oldest record.
truncated()
{
    title 'truncated stream'
    local snapshot offset
    ctl get --all >"$work/before"
    snapshot=$(curl -s "http://$admin/config")
    stop entry
    offset=$(jq .offset <<<"$snapshot")
    append snapshots '{"offset":1,"snapshot":{"offset":1}}'
    append snapshots "{\"offset\":$offset,\"snapshot\":$snapshot}"
    faults '{"retain":3}'
    ctl get --all | diff "$work/before" - && echo same
    ctl mark domain brest in
    ctl mark domain brest out
    ctl history mark/domain/brest
    append config '{},{}'
    faults '{"retain":1}'
    ctl get --all
    faults '{"retain":0}'
}

# ---- run ----

echo '{"vms":[]}' >"$work/vms.json"
cat >"$work/entry.json" <<JSON
{"vm": "e1", "domain": "brest", "role": "entry",
 "listen": "127.0.0.1:22004", "admin_listen": "$admin",
 "log_service": "$log", "vm_list": "$vms"}
JSON
start log "$bin/tests/fakes/fake_log" --listen $log
start vms "$bin/tests/fakes/fake_vms" --listen $vms --vms "$work/vms.json"
wait_line log listening
wait_line vms listening
start entry "$bin/programs/sassafrasd" --settings "$work/entry.json"
wait_until 5 curl -sf -o "$work/live" "http://$admin/live"
{
    command_line
    log_down
    publishing
    conflict 30
    lost_responses
    bills
    processes
    truncated
} >"$work/actual" 2>&1
expect "$here/ctl.expected"
