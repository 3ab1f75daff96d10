#!/usr/bin/env bash
# Runs the fault soak with the seeds FROM to TO, PARALLEL of them at the same
# time, each on its own loopback address. OPTION is one of the soak program.
# Keeps the logs of a failed seed, in $SL_SOAK_LOGS or a temporary directory.
# usage: tests/soak/run.sh BUILD_DIR FROM TO [SECONDS] [PARALLEL] [OPTION...]
set -eu
build=$(realpath "$1")
from=$2
to=$3
seconds=${4:-20}
parallel=${5:-4}
shift 3; shift $(($# < 2 ? $# : 2))
logs=${SL_SOAK_LOGS:-$(mktemp -d)}

# usage: run_seed SEED [OPTION...]
run_seed()
{
    local seed=$1 dir=$logs/$1
    shift
    mkdir -p "$dir"
    if "$build/tests/soak/soak" "$build/programs/sassafrasd" "$dir" \
        --seed "$seed" --seconds "$seconds" \
        --host "127.0.3.$((seed % 250 + 1))" "$@" >"$dir/out" 2>&1; then
        tail -n 1 "$dir/out"
        rm -r "$dir"
    else
        cat "$dir/out"
        echo "seed $seed FAILED; logs in $dir"
        return 1
    fi
}
export -f run_seed
export build seconds logs
seq "$from" "$to" |
    xargs -P "$parallel" -I{} bash -c 'run_seed "$@"' run_seed {} "$@"
