#!/usr/bin/env bash
# Runs routers with stand-ins of the metadata store and of the runners, which
# are the routers' upstreams. Checks the responses to clients, and the output
# of `sassafrasctl explain` for the failed requests that docs/OPERATIONS.md
# walks through. SL_WRITE_EXPECTED=1 writes the expected output anew.
# usage: tests/scripts/router.test.sh BUILD_DIR
here=$(cd "$(dirname "$0")" && pwd)
bin=$(realpath "$1")
. "$here/lib.sh"

# usage: explain ID; prints the failures of the request as `sassafrasctl
# explain` shows them, without the figures and texts that differ between runs
explain()
{
    echo "== explain $1"
    "$bin/programs/sassafrasctl" explain "$1" "$work"/logs/e*.log |
        sed -n '/^failures:/,$p' |
        sed -E 's/ +[+-][0-9]+ ms / /; s/ (after|took|silent|store_age|left|config_age)_ms=-?[0-9]+//g' |
        sed -E 's/ retry_after_ms=[1-9][0-9]*/ retry_after_ms=N/; s/ error="[^"]*"//; s/=i-[0-9]+/=i-N/g'
}

mkdir "$work/logs"
{
    "$bin/tests/soak/scenarios" "$bin/programs/sassafrasd" "$work/logs"
    explain walk-refused
    explain walk-cut
    explain walk-late
    echo "== explain nobody"
    "$bin/programs/sassafrasctl" explain nobody "$work"/logs/e1.log 2>&1 |
        sed -E 's/of [0-9]+/of N/'
    echo "== errors of the processes"
    cat "$work"/logs/*.err
} >"$work/actual"
[ "${SL_WRITE_EXPECTED:-}" = "" ] || cp "$work/actual" "$here/router.expected"
expect "$here/router.expected"
