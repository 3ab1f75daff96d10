# Functions for test scripts, to be sourced. `work` is a temporary directory.
# At exit it is removed, and all processes that start() has started are killed.
set -eu
work=$(mktemp -d)
# A copy of stderr, for messages while output goes to $work/actual.
exec 3>&2
declare -A pids=()

# usage: start NAME COMMAND [ARG...]; runs COMMAND in the background, with its
# output in $work/NAME.out and .err
start()
{
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" 3>&- &
    pids[$name]=$!
}

# Factor for the times of wait_until(). These times are not limits under test:
# they only end a run that hangs, and are multiplied so that a busy machine
# does not change the result.
wait_stretch=${SL_WAIT_STRETCH:-6}

# usage: wait_until SECONDS COMMAND [ARG...]; repeats COMMAND until it
# succeeds. Fails when the time is up.
wait_until()
{
    local end=$((SECONDS + $1 * wait_stretch + 1))
    shift
    until "$@"; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "timeout: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# usage: wait_line NAME REGEX; waits for a line that matches REGEX in the
# output of the process
wait_line()
{
    wait_until 10 grep -qs -- "$2" "$work/$1.out" && return 0
    cat "$work/$1.err" >&2
    return 1
}

# usage: stop NAME; sends SIGTERM to the process and returns its exit status
stop()
{
    local pid=${pids[$1]}
    local status=0
    unset "pids[$1]"
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || status=$?
    return "$status"
}

# usage: kill_now NAME; sends SIGKILL to the process
kill_now()
{
    local pid=${pids[$1]}
    unset "pids[$1]"
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
}

# usage: fail MESSAGE...; ends the script
fail()
{
    echo "${0##*/}: $*" >&2
    exit 1
}

# usage: check WHAT FOUND EXPECTED; fails if the values differ
check()
{
    [ "$2" = "$3" ] || fail "$1 is \"$2\", expected \"$3\""
    echo "  $1: $2"
}

# Cleans up at exit. If the script failed, prints the end of its output.
stop_all()
{
    local status=$? name
    if [ "$status" -ne 0 ] && [ -f "$work/actual" ]; then
        tail -n 5 "$work/actual" >&3
    fi
    # SIGKILL, because a process that drains could wait for a log service that
    # was stopped before it.
    for name in "${!pids[@]}"; do
        kill_now "$name"
    done
    rm -rf "$work"
}
trap stop_all EXIT

# usage: expect FILE; compares $work/actual with FILE and prints differences
expect()
{
    diff -u "$1" "$work/actual"
}
