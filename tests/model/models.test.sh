#!/usr/bin/env bash
# Checks every row of the tables below with spin and prints one line for each.
# A row passes when spin's verdict is the expected one:
#   pass     complete search without an error
#   partial  search without an error, which may have stopped at a limit
#   REGEX    an assertion that matches REGEX is violated; any other error fails
#            the row. broken_* rows leave out or break a rule of the protocol and
#            must violate a property; reach_* rows have `assert(false)` in a
#            state that must be reachable.
# usage: tests/model/models.test.sh [NAME...]
set -u
cd "$(dirname "$0")"

JOBS=${MODEL_JOBS:-4}
export MEMORY_MB=2000
export DEPTH_MAX=100000
export RUN_SECONDS=1800
export MODEL_DIR=$PWD

# Groups of flags of the model at_most_once. Each row starts from the members
# {0, 1, 2} with agent 0 as home. M1 and M2 are the members after the first and
# the second move as bit masks, in which bit i stands for agent i; H1 and H2
# are the homes then. A row replaces a value of its group with a later -D; most
# remove the group's flag with -U before.

# One move to {1, 2}, three agents, any number of restarts.
one_move="-DNO_DELAY"
# Fewer states: no retries of appends, replies that count for one tick and
# arrive at once, and no request that is refused for lack of room.
few_states="-DRETRIES=0 -DFRESHNESS=1 -DNO_DELAY -DNO_REFUSAL"
# One move from {0, 1, 2} to {1, 2, 3}, four agents.
one_move_4_agents="$few_states -DAGENTS=4 -DM1=14 -DH1=3"
# Two moves, four agents: {0, 1, 2}, {1, 2, 3}, {2, 3}.
two_moves_4_agents="$few_states -DAGENTS=4 -DMOVES=2 \
-DM1=14 -DH1=1 -DM2=12 -DH2=3"
# Two moves, three agents: {0, 1, 2}, {1, 2}, {0, 1, 2}.
two_moves="$few_states -DMOVES=2 -DM1=6 -DH1=1 -DM2=7 -DH2=2"
# A process pause between the checks of a run and its call of the upstream.
process_pause="-DPAUSE -DNO_DELAY"

# Regexes for the violated assertions, by the fault. The assertions are matched
# without their blanks; a dot stands for a bracket.
runs_twice="runs<=1"
false_not_run="reported_not_run|runs==0|pending"
late_run="superseded"
not_ready="offset.p.>=majority_offset_at_start|offset.p.>0"
bill_lost="in_log.receipts"
# No fault: the `assert(false)` of a reach_* row, as pan prints it.
witness_reached="violated0"

# Prints the rows, one per line, as MODEL|NAME|EXPECTED|FLAGS. FLAGS are spin's
# preprocessor flags.
rows()
{
    cat <<ROWS
at_most_once|move|pass|
at_most_once|move_same_members|pass|$one_move -DM1=7
at_most_once|move_4_agents_2_restarts|pass|$one_move_4_agents -DRESTARTS=2
at_most_once|move_adds_member|pass|$one_move_4_agents -DRESTARTS=1 -DM1=15
at_most_once|move_4_agents_freshness_2|pass|$one_move_4_agents -DRESTARTS=1 -UFRESHNESS -DFRESHNESS=2
at_most_once|two_moves|pass|$two_moves -URETRIES -DRETRIES=1
at_most_once|two_moves_back|pass|$two_moves -UH2 -DH2=0
at_most_once|two_moves_4_agents|pass|$two_moves_4_agents -DRESTARTS=1
at_most_once|two_moves_home_stays|pass|$two_moves_4_agents -DRESTARTS=1 -UM1 -DM1=15 -UH1 -DH1=0 -UM2 -DM2=14
at_most_once|two_moves_effective_record|pass|$two_moves_4_agents -DRESTARTS=0 -DEFFECTIVE_RECORD -URETRIES -DRETRIES=1
at_most_once|two_moves_old_members_only|pass|$two_moves_4_agents -DRESTARTS=1 -DONLY_OLD_MEMBERS
at_most_once|one_round_log_recovery|pass|$one_move_4_agents -DRESTARTS=2 -DONE_ROUND -DNO_PEER_RECOVERY
at_most_once|head_read_after_lag|pass|$one_move -DHEAD_AT_RESTART
at_most_once|skew_within_margin|pass|$one_move -DSKEW=2 -DWAIT=3
at_most_once|key_lifetime|pass|$one_move -DKEY_LIFETIME=2
at_most_once|pause|pass|$process_pause
at_most_once|pause_bounded_no_late_run|pass|$process_pause -DNO_LATE_RUN -DPAUSE_BOUND=1 -DWAIT=3
at_most_once|pause_fenced_no_late_run|pass|$process_pause -DNO_LATE_RUN -DFENCING_UPSTREAM
at_most_once|reach_run_at_new_home|$witness_reached|$one_move -DWITNESS=1
at_most_once|reach_not_run_at_new_home|$witness_reached|$one_move -DWITNESS=2
at_most_once|reach_run_by_majority|$witness_reached|$one_move -DWITNESS=3
at_most_once|broken_short_wait|$runs_twice|$one_move -DWAIT=1
at_most_once|broken_restarted_confirms|$runs_twice|$one_move -DCONFIRM_AT_ONCE
at_most_once|broken_counts_from_reply|$runs_twice|-DCOUNT_FROM_REPLY
at_most_once|broken_runs_old_keys|$runs_twice|$one_move -DRUNS_OLD_KEYS
at_most_once|broken_no_quorum|$runs_twice|$one_move -DNO_QUORUM
at_most_once|broken_only_new_members|$runs_twice|$one_move -DM1=4 -DH1=2 -DONLY_NEW_MEMBERS
at_most_once|broken_one_round|$runs_twice|$one_move_4_agents -DRESTARTS=1 -DONE_ROUND
at_most_once|broken_last_two_sets|$runs_twice|$two_moves_4_agents -DRESTARTS=0 -DONLY_LAST_TWO
at_most_once|broken_effective_record_early|$runs_twice|$two_moves_4_agents -DRESTARTS=0 -DEFFECTIVE_RECORD -DEFFECTIVE_RECORD_EARLY -URETRIES -DRETRIES=1
at_most_once|broken_recovery_counts_self|$runs_twice|$one_move -DRECOVERY_COUNTS_SELF
at_most_once|broken_stale_head|$runs_twice|$one_move -DSTALE_HEAD
at_most_once|broken_no_base|$runs_twice|$two_moves -URETRIES -DRETRIES=1 -DNO_BASE
at_most_once|broken_clock_stops|$runs_twice|$one_move -DCLOCK_STOPS
at_most_once|broken_skew_past_margin|$runs_twice|$one_move -DSKEW=2
at_most_once|broken_short_key_lifetime|$runs_twice|$one_move -DKEY_LIFETIME=3 -DUNKNOWN_TICKS=1
at_most_once|broken_not_run_after_timeout|$false_not_run|$one_move -DNOT_RUN_AFTER_TIMEOUT
at_most_once|broken_not_run_no_quorum|$false_not_run|$one_move -DNOT_RUN_WITHOUT_QUORUM
at_most_once|broken_not_run_no_tombstone|$false_not_run|$one_move -DNO_TOMBSTONE
at_most_once|broken_pause_late_run|$late_run|$process_pause -DNO_LATE_RUN
at_most_once|broken_pause_past_wait|$late_run|$process_pause -DNO_LATE_RUN -DPAUSE_BOUND=1
unkeyed|request|pass|
unkeyed|reach_second_agent|$witness_reached|-DWITNESS=1
unkeyed|broken_retry_after_timeout|$runs_twice|-DRETRIES_AFTER_TIMEOUT
unkeyed|broken_accepts_old_frame|$runs_twice|-DACCEPTS_REFUSED_FRAME
unkeyed|broken_not_run_after_send|$false_not_run|-DNOT_RUN_AFTER_TIMEOUT
config|operators|pass|-DRETRIES=2 -DNO_REPLACEMENT
config|processes|pass|-DRETRIES=0
config|reach_lost_response_resolved|$witness_reached|-DRETRIES=1 -DNO_REPLACEMENT -DWITNESS=1
config|reach_ready_after_retention|$witness_reached|-DRETRIES=0 -DWITNESS=2
config|broken_append_without_read|winner_over|-DNO_REPLACEMENT -DAPPEND_WITHOUT_READ
config|broken_ignores_retention|winner_over|-DNO_REPLACEMENT -DIGNORES_RETENTION
config|broken_no_base|winner_over|-DNO_REPLACEMENT -DNO_BASE
config|broken_old_snapshot|snapshot>=offset|-DNO_REPLACEMENT -DTAKES_ANY_SNAPSHOT
config|broken_serves_empty|$not_ready|-DRETRIES=0 -DSERVES_EMPTY
config|broken_drops_without_snapshot|config_lost|-DRETRIES=0 -DDROPS_WITHOUT_SNAPSHOT
config|broken_skips_gap|rev.p.==rev_at|-DNO_REPLACEMENT -DSKIPS_GAP
config|broken_one_peer|$not_ready|-DRETRIES=0 -DONE_PEER
config|broken_stale_head|$not_ready|-DRETRIES=0 -DSTALE_HEAD
bills|two_keys|pass|-DLOG_MAX=2
bills|one_key_duplicate_appends|pass|-DKEYS=1 -DDUPLICATE_APPENDS
bills|reach_duplicate_bill|$witness_reached|-DKEYS=1 -DWITNESS=1
bills|reach_all_confirmed|$witness_reached|-DLOG_MAX=2 -DWITNESS=2
bills|broken_drops_on_send|$bill_lost|-DKEYS=1 -DDROPS_ON_SEND
bills|broken_drops_on_transfer|$bill_lost|-DKEYS=1 -DDROPS_ON_TRANSFER
bills|broken_confirms_on_send|$bill_lost|-DKEYS=1 -DCONFIRMS_ON_SEND
bills|broken_assumes_success|$bill_lost|-DKEYS=1 -DASSUMES_SUCCESS
bills|broken_writer_without_boot|$bill_lost|-DLOG_MAX=2 -DWRITER_WITHOUT_BOOT
bills|broken_counts_duplicates|billed|-DKEYS=1 -DCOUNTS_DUPLICATES
ROWS
}

# usage: verdict STATUS; prints the verdict on a run of pan, the verifier that
# spin generates. STATUS is the exit status of the run, 124 if timeout(1) ended
# it; the file `out` of the current directory is its output.
verdict()
{
    local code=$1
    if grep -q 'errors: [1-9]' out; then
        grep -m 1 -o 'assertion violated.*' out || echo "other error"
    elif grep -q 'errors: 0' out && [ "$code" -eq 0 ] &&
        ! grep -qE 'too small|out of memory|memory limit|interrupted' out; then
        echo pass
    elif grep -qE 'errors: 0' out || [ "$code" -eq 124 ]; then
        echo partial
    else
        echo "no result"
    fi
}

check_row()
{
    local model name expected flags
    IFS='|' read -r model name expected flags <<<"$1"
    # The assertion regex may contain the column separator, so EXPECTED is what
    # stands between the second separator and the last.
    flags=${1##*|}
    expected=${1#"$model|$name|"}
    expected=${expected%"|$flags"}
    local dir=$WORK/$model.$name
    mkdir "$dir"
    cd "$dir" || exit 1
    # shellcheck disable=SC2086
    if ! spin -a $flags "$MODEL_DIR/$model.pml" >build 2>&1 ||
        ! gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$MEMORY_MB" \
            -DVECTORSZ=2048 -o pan pan.c >>build 2>&1; then
        echo "FAIL $model $name: not built"
        cat build
        return 1
    fi
    timeout "$RUN_SECONDS" ./pan -m"$DEPTH_MAX" >out 2>&1
    local found
    found=$(verdict $?)
    local states depth
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
    depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' out)
    local result=FAIL
    case $expected in
    pass | partial)
        if [ "$found" = pass ] || [ "$found" = "$expected" ]; then
            result=ok
        fi
        ;;
    *)
        if [[ $found =~ ^assertion\ violated ]] &&
            grep -qE "$expected" <<<"$(tr -d ' ' <<<"$found")"; then
            result=ok
        fi
        ;;
    esac
    printf '%-4s %-12s %-30s %9s states  depth %5s  %s\n' "$result" \
        "$model" "$name" "$states" "$depth" "${found:0:60}"
    [ $result = ok ]
}

WORK=$(mktemp -d)
export WORK
trap 'rm -rf "$WORK"' EXIT
export -f check_row verdict

rows | while IFS= read -r row; do
    name=$(cut -d'|' -f2 <<<"$row")
    if [ $# -eq 0 ] || [[ " $* " == *" $name "* ]]; then
        printf '%s\0' "$row"
    fi
done | xargs -0 -P "$JOBS" -I{} bash -c 'check_row "$1"' _ {}
