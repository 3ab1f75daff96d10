# Functions for scripts that run a whole system on loopback: stand-ins of the
# platform, upstreams with their agents, and entries. Source it after lib.sh,
# with `build` and `port` set. Uses the ports from $port to $port+399.
host=${SL_HOST:-127.0.0.1} # set another loopback address for parallel runs
# Waits for a run of the same script in another working copy. The processes
# that a run starts inherit the lock, and so hold it as long as the ports.
exec 9>"${TMPDIR:-/tmp}/sassafras-$host-$port.lock"
flock -w 300 9
upstream_count=0
entry_count=0
declare -A entry_url=() admin_of=() upstream_url=() settings_of=()

log_address=$host:$((port + 1))
vms_address=$host:$((port + 2))
rating_address=$host:$((port + 3))

ctl()
{
    "$build/programs/sassafrasctl" --log "$log_address" --by operator "$@"
}

# usage: post_json URL JSON
post_json()
{
    curl -sf -o /dev/null -d "$2" "$1"
}

# usage: set_faults ADDRESS JSON; sets faults of the stand-in at ADDRESS
set_faults()
{
    post_json "http://$1/faults" "$2"
}

# usage: start_platform [OPTION...]; starts the stand-ins of the platform.
# OPTION is one of the rating service's.
start_platform()
{
    echo '{"vms":[]}' >"$work/vms.json"
    start log "$build/tests/fakes/fake_log" --listen "$log_address"
    start vms "$build/tests/fakes/fake_vms" --listen "$vms_address" \
        --vms "$work/vms.json"
    start rating "$build/tests/fakes/fake_rating" --listen "$rating_address" \
        "$@"
    wait_line log listening
    wait_line vms listening
    wait_line rating listening
}

# usage: list_vm NAME ROLE DOMAIN ADDRESS UPSTREAM [STATE]; adds the VM to the
# platform's list or changes its entry. UPSTREAM is empty for entries.
list_vm()
{
    post_json "http://$vms_address/vms" "$(jq -nc --arg vm "$1" \
        --arg role "$2" --arg domain "$3" --arg address "$4" \
        --arg upstream "$5" --arg state "${6:-live}" \
        '{vm: $vm, role: $role, domain: $domain, address: $address,
          state: $state} +
         (if $upstream == "" then {} else {upstream: $upstream} end)')"
}

# usage: write_settings PROCESS <SETTINGS
write_settings()
{
    settings_of[$1]=$work/$1.json
    cat >"$work/$1.json"
}

# usage: start_agent UPSTREAM; the process is agent-UPSTREAM, on the VM
# vm-UPSTREAM
start_agent()
{
    start "agent-$1" "$build/programs/sassafrasd" --role=agent \
        --settings "${settings_of[agent-$1]}"
}

# usage: add_upstream NAME SERVICE engine|plain DOMAIN [OPTION...]; starts the
# upstream's stand-in, with OPTION, and its agent
add_upstream()
{
    local name=$1 service=$2 adapter=$3 domain=$4
    local slot=$((upstream_count++))
    shift 4
    local address=$host:$((port + 100 + slot))
    local peer=$host:$((port + 200 + slot))
    upstream_url[$name]=http://$address
    admin_of[agent-$name]=$host:$((port + 300 + slot))
    start "$name" "$build/tests/fakes/fake_$adapter" --listen "$address" "$@"
    write_settings "agent-$name" <<END
{"vm": "vm-$name", "role": "agent", "domain": "$domain",
 "peer_listen": "$peer", "admin_listen": "${admin_of[agent-$name]}",
 "log_service": "$log_address", "vm_list": "$vms_address",
 "upstream": {"name": "$name", "adapter": "$adapter", "address": "$address"}}
END
    wait_line "$name" listening
    start_agent "$name"
    list_vm "vm-$name" agent "$domain" "$peer" "$name"
}

# usage: start_entry NAME
start_entry()
{
    start "$1" "$build/programs/sassafrasd" --role=entry \
        --settings "${settings_of[$1]}"
}

# usage: add_entry NAME DOMAIN; writes the settings of an entry and starts it
add_entry()
{
    local slot=$((entry_count++))
    local listen=$host:$((port + 10 + slot))
    entry_url[$1]=http://$listen
    admin_of[$1]=$host:$((port + 30 + slot))
    write_settings "$1" <<END
{"vm": "$1", "role": "entry", "domain": "$2", "listen": "$listen",
 "admin_listen": "${admin_of[$1]}", "log_service": "$log_address",
 "vm_list": "$vms_address", "rating_service": "$rating_address",
 "drain_grace_ms": ${drain_grace_ms:-200}}
END
    start_entry "$1"
    list_vm "$1" entry "$2" "$host:1" ""
}

# usage: state PROCESS JQ-FILTER; prints the filtered /state of the process
state()
{
    curl -sf "http://${admin_of[$1]}/state" | jq -r "$2"
}

# usage: state_matches PROCESS JQ-FILTER; succeeds if the filter yields true
state_matches()
{
    [ "$(state "$1" "$2" 2>/dev/null)" = true ]
}

# usage: counter PROCESS NAME; prints the value of a counter
counter()
{
    curl -sf "http://${admin_of[$1]}/counters" | jq -r ".[\"$2\"] // 0"
}

# usage: wait_available ENTRY COUNT; waits until COUNT upstreams accept
# requests of the entry
wait_available()
{
    wait_until 20 state_matches "$1" \
        "([.peers[] | select(.takes_work)] | length) >= $2"
}

# usage: wait_version_loaded ENTRY VERSION COUNT; waits until COUNT upstreams
# accept requests of the entry and have loaded the version
wait_version_loaded()
{
    wait_until 20 state_matches "$1" \
        "([.peers[] | select(.takes_work and (.loaded | index(\"$2\")))] |
         length) >= $3"
}

# usage: wait_home_ready UPSTREAM COUNT; waits until the upstream's home has
# COUNT members, is in effect and confirmed, and its agent vouches for keys
# that are issued from now on
wait_home_ready()
{
    wait_until 30 state_matches "agent-$1" \
        ".home | .members == $2 and .effective and .evidence and
         .vouches_from_ms < now * 1000"
}

now_ms()
{
    date +%s%3N
}

# usage: call ENTRY TEAM KIND BODY [CURL-OPTION...]; sends a request and prints
# the response's body. Its headers go to $work/headers.
call()
{
    local entry=$1 team=$2 kind=$3 body=$4
    shift 4
    curl -s -D "$work/headers" -H "Sassafras-Team: $team" \
        -H "Sassafras-Kind: $kind" -d "$body" "$@" \
        "${entry_url[$entry]}/v1/$kind"
}

# usage: header NAME; prints a header of the last response
header()
{
    tr -d '\r' <"$work/headers" | sed -n "s/^$1: //Ip"
}

# usage: status; prints the status of the last response
status()
{
    sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$work/headers"
}

# Starts the stand-ins, six upstreams with their agents, and two entries with
# the configuration of demo.json. Waits until verses and orders are served.
start_demo_system()
{
    local domain service
    start_platform --scores plume-small-1=0.5,plume-large-1=0.95
    for domain in brest quimper vannes; do
        add_upstream "plume-$domain" plume engine "$domain" --tokens 12
        add_upstream "atelier-$domain" atelier plain "$domain"
    done
    add_entry entry-brest brest
    add_entry entry-quimper quimper
    ctl publish tests/scripts/demo.json >"$work/publish.out"
    wait_available entry-brest 6
    wait_available entry-quimper 6
    for domain in brest quimper vannes; do
        wait_home_ready "atelier-$domain" 3
    done
}

# ---- calls in the background ----

# usage: call_in_background NAME ENTRY TEAM KIND BODY [CURL-OPTION...]
# The response's body and headers and curl's exit status go to $work/NAME.body,
# .headers and .exit.
call_in_background()
{
    local name=$1 entry=$2 team=$3 kind=$4 body=$5
    shift 5
    : >"$work/$name.body"
    : >"$work/$name.headers"
    rm -f "$work/$name.exit"
    (
        trap - EXIT
        code=0
        curl -s -N -D "$work/$name.headers" -o "$work/$name.body" \
            -H "Sassafras-Team: $team" -H "Sassafras-Kind: $kind" \
            -d "$body" "$@" "${entry_url[$entry]}/v1/$kind" || code=$?
        echo "$code" >"$work/$name.part"
        mv "$work/$name.part" "$work/$name.exit"
    ) &
}

# usage: wait_call NAME; waits until a call in the background has ended. Its
# response becomes the last response for header() and status().
wait_call()
{
    wait_until 30 test -e "$work/$1.exit" || fail "call $1 does not end"
    cp "$work/$1.headers" "$work/headers"
}

# usage: curl_exit NAME; prints curl's exit status for a call in the background
curl_exit()
{
    cat "$work/$1.exit"
}

# usage: is_complete_stream FILE; succeeds if a streamed response has its end
# mark
is_complete_stream()
{
    [ "$(grep -v '^$' "$1" | tail -n 1)" = "data: [DONE]" ]
}

# usage: order ENTRY KEY ISSUED [CURL-OPTION...]; sends a print order
order()
{
    local entry=$1 key=$2 issued=$3
    shift 3
    call "$entry" quimper-undertakers print-order "cards $key" \
        -H "Idempotency-Key: $key" -H "Sassafras-Issued: $issued" "$@"
}

# usage: order_in_background NAME ENTRY KEY ISSUED [CURL-OPTION...]
order_in_background()
{
    local name=$1 entry=$2 key=$3 issued=$4
    shift 4
    call_in_background "$name" "$entry" quimper-undertakers print-order \
        "cards $key" -H "Idempotency-Key: $key" \
        -H "Sassafras-Issued: $issued" "$@"
}

# usage: start_load NAME ENTRY KIND WORKERS; each worker sends requests one
# after the other until stop_load NAME. For each call one line "EXIT STATUS
# OUTCOME WHOLE" goes to $work/load-NAME.*, where EXIT is curl's exit status
# and WHOLE is "whole" for a complete response, else "part".
start_load()
{
    local worker
    touch "$work/loading-$1"
    for ((worker = 0; worker < $4; worker++)); do
        (trap - EXIT && run_load "$1" "$2" "$3" "$worker") &
        pids[load-$1-$worker]=$!
    done
}

# usage: run_load NAME ENTRY KIND WORKER; one worker of start_load()
run_load()
{
    local name=$1 entry=$2 kind=$3 worker=$4 count=0
    local body=$work/body-$1-$4 code line whole
    while [ -e "$work/loading-$name" ]; do
        count=$((count + 1))
        code=0
        line=$(curl -s -o "$body" -d "load $name" -N -m 30 \
            -H "Sassafras-Team: quimper-undertakers" \
            -H "Sassafras-Kind: $kind" \
            -H "Idempotency-Key: $name-$worker-$count" \
            -H "Sassafras-Issued: $(now_ms)" \
            -w '%{http_code} %header{sassafras-outcome}' \
            "${entry_url[$entry]}/v1/$kind") || code=$?
        whole=part
        if [ "$kind" = print-order ] || is_complete_stream "$body"; then
            whole=whole
        fi
        echo "$code $line $whole" >>"$work/load-$name.$worker"
    done
}

# usage: stop_load NAME; stops the workers and collects their lines in
# $work/load-NAME
stop_load()
{
    local worker
    rm -f "$work/loading-$1"
    for worker in "${!pids[@]}"; do
        case $worker in
        "load-$1-"*)
            wait "${pids[$worker]}"
            unset "pids[$worker]"
            ;;
        esac
    done
    cat "$work/load-$1".* >"$work/load-$1"
}

# usage: completed_calls NAME; prints the number of calls that have ended
completed_calls()
{
    cat "$work/load-$1".* 2>/dev/null | wc -l
}

# usage: has_completed NAME COUNT; succeeds if at least COUNT calls have ended
has_completed()
{
    [ "$(completed_calls "$1")" -ge "$2" ]
}

# usage: wait_more_calls NAME COUNT; waits until COUNT more calls have ended
wait_more_calls()
{
    wait_until 30 has_completed "$1" $(($(completed_calls "$1") + $2)) ||
        fail "load $1 does not make progress"
}

# ---- what the stand-ins recorded ----

# usage: count_runs UPSTREAM [KEY]; prints how many calls the upstream's
# stand-in has run. KEY applies to plain upstreams only.
count_runs()
{
    case $1 in
    atelier-*)
        curl -sf "${upstream_url[$1]}/ran" | jq --arg key "${2-}" \
            '[.ran[] | select($key == "" or .key == $key)] | length'
        ;;
    *) engine_stat "$1" '.ran | length' ;;
    esac
}

# usage: engine_stat UPSTREAM JQ-FILTER; prints the filtered statistics of an
# engine's stand-in
engine_stat()
{
    curl -sf "${upstream_url[$1]}/stats" | jq -r "$2"
}

# usage: count_order_runs KEY; prints how often all stand-ins together ran the
# order
count_order_runs()
{
    local domain sum=0
    for domain in brest quimper vannes; do
        sum=$((sum + $(count_runs "atelier-$domain" "$1")))
    done
    echo "$sum"
}

# usage: order_has_run KEY; succeeds if the order ran at least once
order_has_run()
{
    [ "$(count_order_runs "$1")" -ge 1 ]
}

# usage: find_upstream SERVICE COMMAND...; prints the first upstream of the
# service for which `COMMAND UPSTREAM` succeeds
find_upstream()
{
    local service=$1 domain
    shift
    for domain in brest quimper vannes; do
        if "$@" "$service-$domain"; then
            echo "$service-$domain"
            return 0
        fi
    done
    return 1
}

# usage: is_running UPSTREAM; succeeds if the engine is running a request
is_running()
{
    [ "$(engine_stat "$1" .running)" -gt 0 ]
}

# usage: upstream_ran_order KEY UPSTREAM; succeeds if it ran the order
upstream_ran_order()
{
    [ "$(count_runs "$2" "$1")" -gt 0 ]
}

# usage: set_service_faults SERVICE JSON; sets the same faults at all upstreams
# of the service
set_service_faults()
{
    local domain
    for domain in brest quimper vannes; do
        post_json "${upstream_url[$1-$domain]}/faults" "$2"
    done
}

# usage: bill_count KIND; prints the number of bills, each key counted once
bill_count()
{
    ctl bills --json | jq --arg kind "$1" \
        '[(.bills // [])[] | select(.kind == $kind)] | length'
}

# usage: has_bill_count KIND COUNT; succeeds if there are COUNT bills
has_bill_count()
{
    [ "$(bill_count "$1")" = "$2" ]
}

# usage: has_offset PROCESS OFFSET; succeeds if the process has applied the
# configuration up to OFFSET
has_offset()
{
    state_matches "$1" ".config.offset >= $2"
}

# usage: wait_in_force PROCESS...; waits until each process has applied all
# configuration records that are in the log now
wait_in_force()
{
    local process offset
    offset=$(curl -sf "http://$log_address/streams" | jq '.config.head - 1')
    for process in "$@"; do
        wait_until 10 has_offset "$process" "$offset" ||
            fail "$process is not at offset $offset"
    done
}
