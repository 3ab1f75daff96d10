#!/usr/bin/env bash
# Runs `sassafrasctl check` on valid and invalid files, both settings of a
# process and records of the configuration. Each error must name the key, the
# value found and what is allowed.
# usage: tests/scripts/settings.test.sh BUILD_DIR
here=$(cd "$(dirname "$0")" && pwd)
examples=$here/../../examples
ctl=$(realpath "$1")/programs/sassafrasctl
. "$here/lib.sh"

entry='{"vm": "e1", "domain": "brest", "role": "entry",
    "listen": "10.0.0.1:7100", "admin_listen": "10.0.0.1:7102",
    "log_service": "10.0.0.2:7000", "vm_list": "10.0.0.3:7000"}'
agent='{"vm": "a1", "domain": "brest", "role": "agent",
    "peer_listen": "10.0.0.1:7101", "admin_listen": "10.0.0.1:7102",
    "log_service": "10.0.0.2:7000", "vm_list": "10.0.0.3:7000",
    "upstream": {"name": "u1", "adapter": "engine",
                 "address": "10.0.0.1:8000"}}'

# usage: check TITLE JSON; checks a file that contains JSON and prints the
# result. Replaces check() of lib.sh.
check()
{
    local status=0
    printf '%s' "$2" >"$work/file.json"
    echo "== $1"
    (cd "$work" && "$ctl" check file.json) || status=$?
    [ "$status" -eq 0 ] || echo "exit $status"
}

# usage: check_changed TITLE JSON JQ-FILTER; checks the result of the jq filter
# on JSON
check_changed()
{
    check "$1" "$(jq -c "$3" <<<"$2")"
}

common_settings()
{
    check_changed 'entry' "$entry" .
    check_changed 'agent' "$agent" .
    check_changed 'unknown key' "$entry" '.colour = "red"'
    check_changed 'vm missing' "$entry" 'del(.vm)'
    check_changed 'vm too long' "$entry" '.vm = "v" * 256'
    check_changed 'domain empty' "$entry" '.domain = ""'
    check_changed 'role missing' "$entry" 'del(.role)'
    check_changed 'role unknown' "$entry" '.role = "router"'
    check_changed 'log_level unknown' "$entry" '.log_level = "loud"'
    check_changed 'log_level known' "$entry" '.log_level = "debug"'
}

addresses()
{
    local address
    for address in localhost:80 10.0.0.1 10.0.0.1: 10.0.0.1:0 \
        10.0.0.1:65536 10.0.0.1:080 10.0.0.256:80 '[::1]:80' \
        '10.0.0.1:80 '; do
        check_changed "listen $address" "$entry" ".listen = \"$address\""
    done
    check_changed 'log_service missing' "$entry" 'del(.log_service)'
    check_changed 'vm_list a number' "$entry" '.vm_list = 7'
    check_changed 'admin_listen null' "$entry" '.admin_listen = null'
}

settings_of_one_role()
{
    check_changed 'entry without listen' "$entry" 'del(.listen)'
    check_changed 'entry with rating' "$entry" '.rating_service = "10.0.0.4:1"'
    check_changed 'entry with peer_listen' "$entry" '.peer_listen = .listen'
    check_changed 'entry with upstream' "$entry" '.upstream = {}'
    check_changed 'drain_grace_ms too long' "$entry" '.drain_grace_ms = 60001'
    check_changed 'drain_grace_ms of an agent' "$agent" '.drain_grace_ms = 1'
    check_changed 'agent with listen' "$agent" '.listen = .peer_listen'
    check_changed 'agent with rating' "$agent" '.rating_service = "10.0.0.4:1"'
    check_changed 'agent without upstream' "$agent" 'del(.upstream)'
    check_changed 'upstream a text' "$agent" '.upstream = "u1"'
    check_changed 'upstream unknown key' "$agent" '.upstream.port = 1'
    check_changed 'upstream without name' "$agent" 'del(.upstream.name)'
    check_changed 'adapter unknown' "$agent" '.upstream.adapter = "grpc"'
    check_changed 'upstream address' "$agent" '.upstream.address = "u1:80"'
}

files()
{
    check 'not JSON' '{"vm": }'
    check 'a key twice' '{"vm": "a", "vm": "b"}'
    check 'a number' '7'
    check 'configuration' \
        '[{"key":"label/s","value":{"type":"service","adapter":"plain"}}]'
    check 'configuration out of order' \
        '[{"key":"selector/x","value":{"service":"s"}}]'
    check 'configuration item' '[{"key":"label/s"}]'
    check 'configuration key twice' \
        '[{"key":"mark/domain/d","value":{"in":true}},
          {"key":"mark/domain/d","value":{"in":false}}]'
    echo '== absent file'
    (cd "$work" && "$ctl" check absent.json) || echo "exit $?"
    echo '== json'
    printf '{' >"$work/file.json"
    (cd "$work" && "$ctl" --json check file.json | jq -c .)
}

# Checks that the files of examples/ are valid, and prints how many upstreams
# each of their services has.
examples()
{
    echo '== examples'
    (cd "$examples" && "$ctl" check ./*/*.json)
    for firm in kerhuel koudebaai; do
        jq -r '[.[].value | select(.type == "upstream") | .service] |
            group_by(.)[] | "\(.[0]) \(length)"' \
            "$examples/$firm/configuration.json"
    done
}

# expect() of lib.sh compares $work/actual with the expected output.
{
    common_settings
    addresses
    settings_of_one_role
    files
    examples
} >"$work/actual" 2>&1
expect "$here/settings.expected"
