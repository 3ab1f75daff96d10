# Functions for scripts that run a whole system on loopback: fakes (test
# programs that play the platform's services and the upstreams), agents and
# entries. Source it after lib.sh, with `build` (the build directory) and
# `port` set. Uses the ports from $port to $port+399; each process takes the
# next one of its row:
#   $port+1 to +3    log service, VM list, rating service
#   $port+10 to +29  entries, for clients
#   $port+30 to +99  entries, admin
#   $port+100 on     upstreams
#   $port+200 on     agents, for other processes (peer port)
#   $port+300 on     agents, admin
host=${SL_HOST:-127.0.0.1} # set another loopback address for parallel runs
# Waits until a run of the same script in another working copy has ended. The
# processes that a run starts inherit the lock, and so it is held as long as
# they use the ports.
exec 9>"${TMPDIR:-/tmp}/sassafras-$host-$port.lock"
flock -w 300 9
upstream_count=0
entry_count=0
declare -A entry_url=()    # entry -> URL for clients
declare -A admin_of=()     # agent-UPSTREAM or entry -> admin address
declare -A upstream_url=() # upstream -> URL of its fake
declare -A settings_of=()  # agent-UPSTREAM or entry -> its settings file

log_address=$host:$((port + 1))
vms_address=$host:$((port + 2))
rating_address=$host:$((port + 3))

# usage: ctl ARG...; runs sassafrasctl as the operator "operator"
ctl()
{
    "$build/programs/sassafrasctl" --log "$log_address" --by operator "$@"
}

# usage: post_json URL JSON; fails unless the status is below 400
post_json()
{
    curl -sf -o /dev/null -d "$2" "$1"
}

# usage: set_faults ADDRESS JSON; sets the faults that the fake at ADDRESS
# plays
set_faults()
{
    post_json "http://$1/faults" "$2"
}

# usage: start_platform [OPTION...]; starts the fakes of the platform: log
# service, VM list (without VMs) and rating service, with OPTION
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

# usage: list_vm NAME ROLE DOMAIN ADDRESS UPSTREAM [STATE]; adds a VM to the
# VM list, or changes it there. UPSTREAM is empty for entries; STATE is "live"
# if it is not given.
list_vm()
{
    post_json "http://$vms_address/vms" "$(jq -nc --arg vm "$1" \
        --arg role "$2" --arg domain "$3" --arg address "$4" \
        --arg upstream "$5" --arg state "${6:-live}" \
        '{vm: $vm, role: $role, domain: $domain, address: $address,
          state: $state} +
         (if $upstream == "" then {} else {upstream: $upstream} end)')"
}

# usage: write_settings PROCESS <JSON; writes the settings file of a process
write_settings()
{
    settings_of[$1]=$work/$1.json
    cat >"$work/$1.json"
}

# usage: start_agent UPSTREAM; starts an agent with the settings that
# add_upstream() has written. The process is called agent-UPSTREAM, its VM
# vm-UPSTREAM.
start_agent()
{
    start "agent-$1" "$build/programs/sassafrasd" --role=agent \
        --settings "${settings_of[agent-$1]}"
}

# usage: add_upstream NAME SERVICE engine|plain DOMAIN [OPTION...]; starts the
# fake of an upstream, with OPTION, and its agent, and lists the VM
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

# usage: start_entry NAME; starts an entry with the settings that add_entry()
# has written
start_entry()
{
    start "$1" "$build/programs/sassafrasd" --role=entry \
        --settings "${settings_of[$1]}"
}

# usage: add_entry NAME DOMAIN; writes the settings of an entry, starts it and
# lists its VM. $drain_grace_ms sets its drain grace, else it is 200 ms.
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

# usage: state PROCESS JQ-FILTER; prints the result of the filter on the
# process's /state
state()
{
    curl -sf "http://${admin_of[$1]}/state" | jq -r "$2"
}

# usage: state_matches PROCESS JQ-FILTER; succeeds if the filter yields true
state_matches()
{
    [ "$(state "$1" "$2" 2>/dev/null)" = true ]
}

# usage: counter PROCESS NAME; prints the value of a counter, 0 if it is absent
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

# usage: wait_home_ready UPSTREAM COUNT; waits until the upstream is ready to
# be a home, which decides whether an order with an idempotency key runs: its
# agent knows a home with COUNT members that is in effect and that a majority
# of them has confirmed, and it accepts keys that are issued from now on
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

# usage: header NAME; prints a header of the last response of call()
header()
{
    tr -d '\r' <"$work/headers" | sed -n "s/^$1: //Ip"
}

# usage: status; prints the status of the last response of call()
status()
{
    sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$work/headers"
}

# Starts the fakes, six upstreams with their agents, and two entries, and
# publishes demo.json. Waits until the entries can serve verses (by the engines
# plume-DOMAIN) and print orders (by the plain services atelier-DOMAIN).
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

# usage: call_in_background NAME ENTRY TEAM KIND BODY [CURL-OPTION...]; starts
# a call. The response's body and headers and curl's exit status go to
# $work/NAME.body, .headers and .exit, of which the last one is written when
# the call has ended.
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

# usage: wait_call NAME; waits until a call in the background has ended. From
# then on header() and status() apply to its response.
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

# usage: is_complete_stream FILE; succeeds if the body of a streamed response
# has its end marker
is_complete_stream()
{
    [ "$(grep -v '^$' "$1" | tail -n 1)" = "data: [DONE]" ]
}

# usage: order ENTRY KEY ISSUED [CURL-OPTION...]; sends a print order with the
# idempotency key KEY, issued at ISSUED (ms since the epoch), and prints the
# response's body
order()
{
    local entry=$1 key=$2 issued=$3
    shift 3
    call "$entry" quimper-undertakers print-order "cards $key" \
        -H "Idempotency-Key: $key" -H "Sassafras-Issued: $issued" "$@"
}

# usage: order_in_background NAME ENTRY KEY ISSUED [CURL-OPTION...]; as order()
# and call_in_background()
order_in_background()
{
    local name=$1 entry=$2 key=$3 issued=$4
    shift 4
    call_in_background "$name" "$entry" quimper-undertakers print-order \
        "cards $key" -H "Idempotency-Key: $key" \
        -H "Sassafras-Issued: $issued" "$@"
}

# usage: start_load NAME ENTRY KIND WORKERS; starts WORKERS workers, of which
# each sends requests one after the other until stop_load NAME. For each call
# one line "EXIT STATUS OUTCOME WHOLE" goes to $work/load-NAME.*, where EXIT is
# curl's exit status, STATUS and OUTCOME are those of the response, and WHOLE
# is "whole" for a complete response, else "part".
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

# usage: stop_load NAME; lets the workers finish their calls, and collects
# their lines in $work/load-NAME
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

# usage: completed_calls NAME; prints how many calls of the load have ended
completed_calls()
{
    cat "$work/load-$1".* 2>/dev/null | wc -l
}

# usage: has_completed NAME COUNT; succeeds if at least COUNT calls of the load
# have ended
has_completed()
{
    [ "$(completed_calls "$1")" -ge "$2" ]
}

# usage: wait_more_calls NAME COUNT; waits until COUNT more calls of the load
# have ended
wait_more_calls()
{
    wait_until 30 has_completed "$1" $(($(completed_calls "$1") + $2)) ||
        fail "load $1 does not make progress"
}

# ---- what the fakes recorded ----

# usage: count_runs UPSTREAM [KEY]; prints how many requests the upstream's
# fake has run. KEY limits this to requests with that idempotency key, for
# plain upstreams only.
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

# usage: engine_stat UPSTREAM JQ-FILTER; prints the result of the filter on the
# statistics of an engine's fake
engine_stat()
{
    curl -sf "${upstream_url[$1]}/stats" | jq -r "$2"
}

# usage: count_order_runs KEY; prints how often the fakes together ran the
# order with this key
count_order_runs()
{
    local domain sum=0
    for domain in brest quimper vannes; do
        sum=$((sum + $(count_runs "atelier-$domain" "$1")))
    done
    echo "$sum"
}

# usage: order_has_run KEY; succeeds if the order with this key ran at least
# once
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

# usage: upstream_ran_order KEY UPSTREAM; succeeds if the upstream ran the
# order with this key
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

# usage: bill_count KIND; prints the number of bills for requests of this kind;
# bills that were appended twice count once
bill_count()
{
    ctl bills --json | jq --arg kind "$1" \
        '[(.bills // [])[] | select(.kind == $kind)] | length'
}

# usage: has_bill_count KIND COUNT; succeeds if there are COUNT bills for
# requests of this kind
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
