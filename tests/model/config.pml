/*
 * One key of the configuration log: racing operators, lost responses to
 * appends, retention with snapshots, restarted processes and pulls from peers.
 *
 * Offsets count records from 1; offset 0 is the empty state. A revision is
 * the offset of the record that won last. An unreachable log or peer is a
 * step that never happens, so no step depends on the log being up.
 */

#ifndef PROCESSES
#define PROCESSES 3
#endif
#define OPERATORS 2
/* Retries of appends after a lost response. */
#ifndef RETRIES
#define RETRIES 1
#endif
/* The first record is there from the start. */
#define LOG_MAX (1 + OPERATORS + RETRIES)
#define ALL ((1 << PROCESSES) - 1)

#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2))
#define MAJORITY(set) (2 * SIZE((set) & ALL) > PROCESSES)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The log, by offset. */
byte writer[LOG_MAX + 1]; /* operator that appended the record, plus one */
byte base[LOG_MAX + 1];   /* revision that the record is to replace */
byte rev_at[LOG_MAX + 1]; /* revision in force after the record */
byte log_len;
/* Records up to this offset have been dropped by retention. */
byte dropped;
/* Offset of the newest snapshot. */
byte snapshot;
/* Operator whose record replaced each base, plus one; 0: none. */
byte winner_over[LOG_MAX + 1];

/* Processes. */
byte offset[PROCESSES];       /* up to which the log is applied */
byte rev[PROCESSES];          /* revision in force in the process */
bool ready[PROCESSES];        /* has a state and serves it */
byte peer_replies[PROCESSES]; /* peers that replied to a new process */
byte peer_offset[PROCESSES];  /* highest offset that they reported */
/* Highest offset that a majority of the processes had at the same time. */
byte majority_offset;
/* Its value when the process started. */
byte majority_offset_at_start[PROCESSES];

/* Operators, each of which publishes one change. */
mtype = { NEW, SENT, ACCEPTED, REJECTED, UNKNOWN };
mtype state[OPERATORS];    /* of the change */
byte op_base[OPERATORS];   /* revision that the change is to replace */
byte op_offset[OPERATORS]; /* offset after which its record can be */
byte retries;              /* of appends, by all operators */
byte in_flight[OPERATORS]; /* appends that may still take effect */
#ifdef APPEND_WITHOUT_READ
byte last_append_offset[OPERATORS]; /* of the newest copy of the record */
#endif

#ifdef NO_BASE
#define WINS(n, r) true
#else
#define WINS(n, r) (base[n] == (r))
#endif

/* Replaces the state of process p by the state at offset n, from a snapshot or
 * a peer. */
inline take_state(p, n)
{
    assert(!ready[p] || n >= offset[p]);
    offset[p] = n;
    rev[p] = rev_at[n]
}

/* Raises majority_offset to the highest offset that a majority has now. */
inline update_majority_offset()
{
    k = log_len;
    do
    :: k > majority_offset ->
        if
        :: (ready[0] && offset[0] >= k) + (ready[1] && offset[1] >= k) +
           (ready[2] && offset[2] >= k) > PROCESSES / 2 ->
            majority_offset = k;
            break
        :: else -> k--
        fi
    :: else -> break
    od;
    k = 0
}

/* A process that becomes ready has every record that a majority had at its
 * start. */
inline check_ready(p)
{
    assert(offset[p] > 0);
    assert(offset[p] >= majority_offset_at_start[p]);
    majority_offset_at_start[p] = 0;
    assert(rev[p] == rev_at[offset[p]])
}

proctype process(byte p)
{
    byte k;

end:
    do
    /* Reads the next record of the log and applies it. */
    :: d_step {
#ifdef SKIPS_GAP
        ready[p] && offset[p] < log_len ->
        offset[p] = MAX(offset[p], dropped) + (dropped < log_len -> 1 : 0);
#else
        ready[p] && offset[p] < log_len && offset[p] >= dropped ->
        offset[p]++;
#endif
        if
        :: WINS(offset[p], rev[p]) -> rev[p] = offset[p]
        :: else
        fi;
        assert(rev[p] == rev_at[offset[p]]);
        update_majority_offset()
    }
    /* Writes a snapshot of its state. */
    :: d_step {
        ready[p] && offset[p] > snapshot ->
        snapshot = offset[p]
    }
    /* Takes a snapshot, as when the next record has been dropped. */
    :: d_step {
#ifdef TAKES_ANY_SNAPSHOT
        ready[p] && snapshot != 0 ->
#else
        ready[p] && snapshot > offset[p] ->
#endif
        take_state(p, snapshot);
        update_majority_offset()
    }
    /* Pulls from a peer that is ahead. */
    :: d_step {
        ready[p] && ready[(p + 1) % PROCESSES] &&
        offset[(p + 1) % PROCESSES] > offset[p] ->
        take_state(p, offset[(p + 1) % PROCESSES]);
        update_majority_offset()
    }
    :: d_step {
        ready[p] && ready[(p + 2) % PROCESSES] &&
        offset[(p + 2) % PROCESSES] > offset[p] ->
        take_state(p, offset[(p + 2) % PROCESSES]);
        update_majority_offset()
    }
#ifndef NO_REPLACEMENT
    /* Is replaced by a new process, which has no state. */
    :: d_step {
        ready[p] || peer_replies[p] != 0 ->
        ready[p] = false;
        offset[p] = 0;
        rev[p] = 0;
        peer_replies[p] = 0;
        peer_offset[p] = 0;
        majority_offset_at_start[p] = majority_offset
    }
#endif
    /* New: reads the log from its start, or a snapshot and the rest. */
    :: d_step {
        !ready[p] && snapshot >= dropped ->
#ifdef STALE_HEAD
        take_state(p, 1);
#else
        take_state(p, log_len);
#endif
        peer_replies[p] = 0;
        peer_offset[p] = 0;
        ready[p] = true;
        check_ready(p);
        update_majority_offset()
    }
    /* New, the log is unreachable: asks the peers for their state. */
    :: d_step {
        !ready[p] && ready[(p + 1) % PROCESSES] &&
        !HAS(peer_replies[p], (p + 1) % PROCESSES) ->
        peer_replies[p] = peer_replies[p] | BIT((p + 1) % PROCESSES);
        peer_offset[p] = MAX(peer_offset[p], offset[(p + 1) % PROCESSES])
    }
    :: d_step {
        !ready[p] && ready[(p + 2) % PROCESSES] &&
        !HAS(peer_replies[p], (p + 2) % PROCESSES) ->
        peer_replies[p] = peer_replies[p] | BIT((p + 2) % PROCESSES);
        peer_offset[p] = MAX(peer_offset[p], offset[(p + 2) % PROCESSES])
    }
    /* New, the log is unreachable: enough peers have replied. */
    :: d_step {
#ifdef ONE_PEER
        !ready[p] && peer_replies[p] != 0 ->
#else
        !ready[p] && MAJORITY(peer_replies[p]) ->
#endif
        take_state(p, peer_offset[p]);
        peer_replies[p] = 0;
        peer_offset[p] = 0;
        ready[p] = true;
        check_ready(p);
        update_majority_offset()
    }
#ifdef SERVES_EMPTY
    /* New: serves without a state. */
    :: d_step {
        !ready[p] ->
        ready[p] = true;
        check_ready(p)
    }
#endif
    od
}

/* An append of operator o takes effect. */
inline apply_append()
{
    in_flight[o]--;
    log_len++;
    writer[log_len] = o + 1;
    base[log_len] = op_base[o];
#ifdef APPEND_WITHOUT_READ
    last_append_offset[o] = log_len;
#endif
    if
    :: WINS(log_len, rev_at[log_len - 1]) ->
        rev_at[log_len] = log_len;
        assert(winner_over[base[log_len]] == 0);
        winner_over[base[log_len]] = o + 1
    :: else ->
        rev_at[log_len] = rev_at[log_len - 1]
    fi;
    o = 0
}

/* The log service applies appends late and drops old records. */
proctype log_service()
{
    byte o;

end:
    do
    :: d_step {
        in_flight[0] > 0 ->
        o = 0;
        apply_append()
    }
    :: d_step {
        in_flight[1] > 0 ->
        o = 1;
        apply_append()
    }
    /* An append can be lost. */
    :: d_step {
        in_flight[0] > 0 ->
        in_flight[0]--
    }
    :: d_step {
        in_flight[1] > 0 ->
        in_flight[1]--
    }
    /* Drops a record by retention only when a snapshot covers it. */
    :: d_step {
#ifdef DROPS_WITHOUT_SNAPSHOT
        dropped < log_len ->
#else
        dropped < snapshot ->
#endif
        dropped++;
    }
    od
}

/* True when record n is the change of operator o and came into force. */
#define WON_AT(o, n) \
    ((n) <= log_len && (n) > op_offset[o] && writer[n] == (o) + 1 && \
     rev_at[n] == (n))
#define WON(o) \
    (WON_AT(o, 2) || WON_AT(o, 3) || WON_AT(o, 4) || \
     WON_AT(o, 5))

/* True when another operator's record replaced the base of operator o's
 * change, so the change can no longer come into force. */
#define OTHER_WON(o) \
    (winner_over[op_base[o]] != 0 && winner_over[op_base[o]] != (o) + 1)

proctype operator(byte o)
{
end:
    do
    /* Reads the state of a process and publishes a change of it. */
    :: d_step {
        state[o] == NEW && ready[o] ->
        op_base[o] = rev[o];
        op_offset[o] = offset[o];
        state[o] = SENT;
        in_flight[o] = 1
    }
#ifdef APPEND_WITHOUT_READ
    /* Appends again without reading the log first, and takes the result of the
     * last copy for the result of the change. */
    :: d_step {
        state[o] == SENT && retries < RETRIES ->
        retries++;
        in_flight[o]++
    }
    :: d_step {
        state[o] == SENT && last_append_offset[o] != 0 ->
        if
        :: rev_at[last_append_offset[o]] == last_append_offset[o] ->
            state[o] = ACCEPTED
        :: else ->
            state[o] = REJECTED;
            assert(OTHER_WON(o))
        fi
    }
#else
    /* Reads the log from the offset before the append. */
    :: d_step {
#ifdef IGNORES_RETENTION
        state[o] == SENT ->
#else
        state[o] == SENT && dropped <= op_offset[o] ->
#endif
        if
#ifdef IGNORES_RETENTION
        :: WON(o) && winner_over[op_base[o]] == o + 1 &&
           dropped <= op_offset[o] ->
#else
        :: WON(o) ->
#endif
            state[o] = ACCEPTED;
            op_offset[o] = 0;
            assert(winner_over[op_base[o]] == o + 1)
        :: else ->
            if
            :: rev_at[log_len] != op_base[o] ->
                state[o] = REJECTED;
                op_offset[o] = 0;
                assert(OTHER_WON(o))
            :: else ->
                if
                :: retries < RETRIES ->
                    retries++;
                    in_flight[o]++
                :: else
                fi
            fi
        fi
    }
    /* Retention has dropped the records to read: the outcome stays unknown. */
    :: d_step {
        state[o] == SENT && dropped > op_offset[o] ->
        state[o] = UNKNOWN;
        op_offset[o] = 0
    }
#endif
    od
}

/* Checks that a snapshot or a process still has what was dropped from the
 * log. */
proctype monitor()
{
    bool config_lost;

end:
    d_step {
        !(snapshot >= dropped ||
          (ready[0] && offset[0] >= dropped) ||
          (ready[1] && offset[1] >= dropped) ||
          (ready[2] && offset[2] >= dropped)) ->
        config_lost = true;
        assert(!config_lost)
    }
}

#ifdef WITNESS
/* models.test.sh expects spin to reach this state. */
proctype witness()
{
end:
    d_step {
#if WITNESS == 1
        /* A lost response was resolved by reading the log. */
        retries == 1 && state[0] == ACCEPTED && state[1] == REJECTED ->
#else
        /* A new process is ready although records have been dropped. */
        ready[0] && ready[1] && dropped == 3 && log_len == 3 &&
        state[0] == ACCEPTED && state[1] == ACCEPTED ->
#endif
        assert(false)
    }
}
#endif

init
{
    atomic {
        log_len = 1;
        rev_at[1] = 1;
        majority_offset = 1;
        offset[0] = 1;
        offset[1] = 1;
        offset[2] = 1;
        rev[0] = 1;
        rev[1] = 1;
        rev[2] = 1;
        state[0] = NEW;
        state[1] = NEW;
        ready[0] = true;
        ready[1] = true;
        ready[2] = true;
        run process(0);
        run process(1);
        run process(2);
        run log_service();
        run operator(0);
        run operator(1);
        run monitor();
#ifdef WITNESS
        run witness();
#endif
    }
}
