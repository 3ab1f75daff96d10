#!/usr/bin/env bash
# Runs the fault soak with a range of seeds, a few at once, each on a loopback
# address of its own. Logs of a seed that fails stay.
# usage: tests/soak/run.sh BUILD_DIR FROM TO [SECONDS] [AT_ONCE] [OPTION...]
set -eu
build=$(realpath "$1")
from=$2
to=$3
seconds=${4:-20}
at_once=${5:-4}
shift 3; shift $(($# < 2 ? $# : 2))
logs=${SL_SOAK_LOGS:-$(mktemp -d)}

one()
{
    local seed=$1 dir=$logs/$1
    shift
    mkdir -p "$dir"
    if "$build/tests/soak/soak" "$build/programs/sassafrasd" "$dir" \
        --seed "$seed" --seconds "$seconds" --host "127.0.3.$((seed % 250 + 1))" \
        "$@" >"$dir/out" 2>&1; then
        tail -n 1 "$dir/out"
        rm -r "$dir"
    else
        cat "$dir/out"
        echo "seed $seed FAILED; logs in $dir"
        return 1
    fi
}
export -f one
export build seconds logs
seq "$from" "$to" | xargs -P "$at_once" -I{} bash -c 'one "$@"' one {} "$@"
