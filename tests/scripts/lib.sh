# Functions for test scripts, to be sourced. `work` is a temporary directory.
# When the script exits, the directory is removed, and the processes that
# start() has started are killed.
set -eu
work=$(mktemp -d)
# A copy of stderr, for messages while the script's output goes to
# $work/actual.
exec 3>&2
declare -A pids=() # name of a started process -> its id

# usage: start NAME COMMAND [ARG...]; runs COMMAND in the background, with its
# output in $work/NAME.out and .err
start()
{
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" 3>&- &
    pids[$name]=$!
}

# Factor by which wait_until() multiplies its time limits, so that a busy
# machine does not change the result. The limits only end a test that hangs;
# no test checks them.
wait_stretch=${SL_WAIT_STRETCH:-6}

# usage: wait_until SECONDS COMMAND [ARG...]; repeats COMMAND until it
# succeeds. Fails after SECONDS times wait_stretch.
wait_until()
{
    local deadline_s=$((SECONDS + $1 * wait_stretch + 1))
    shift
    until "$@"; do
        if [ "$SECONDS" -ge "$deadline_s" ]; then
            echo "timeout: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# usage: wait_line NAME REGEX; waits until the output of the process has a line
# that matches REGEX. On failure prints the process's stderr.
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

# usage: check WHAT FOUND EXPECTED; ends the script if the values differ
check()
{
    [ "$2" = "$3" ] || fail "$1 is \"$2\", expected \"$3\""
    echo "  $1: $2"
}

# Runs at exit: kills the processes and removes $work. If the script failed,
# prints the end of its output first.
stop_all()
{
    local status=$? name
    if [ "$status" -ne 0 ] && [ -f "$work/actual" ]; then
        tail -n 5 "$work/actual" >&3
    fi
    # SIGKILL, because after SIGTERM a process drains, and could wait for a log
    # service that was stopped before it.
    for name in "${!pids[@]}"; do
        kill_now "$name"
    done
    rm -rf "$work"
}
trap stop_all EXIT

# usage: expect FILE; compares $work/actual with FILE. Prints the differences
# and fails if there are any.
expect()
{
    diff -u "$1" "$work/actual"
}
