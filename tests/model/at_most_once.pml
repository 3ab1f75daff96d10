/*
 * At-most-once execution of a keyed request across home agents.
 *
 * The record `home/SERVICE` has the revisions 0..MOVES. Revision r lists the
 * members MEMBERS(r) and makes HOME(r) the home of the key. A home runs the
 * key only while it has a quorum: a majority of the members of its revision
 * has replied within FRESHNESS that it knows no later revision. Each agent
 * applies the configuration log on its own, from the log or from a peer, so
 * an agent that never applies a record stands for one that can reach neither.
 *
 * The key's request is issued once. After that any agent may receive a copy
 * at any time, which covers any number of entries, retries and delays.
 *
 * Time passes in ticks. The ages of replies and the waits are counters that
 * run down, so neither the number of ticks nor the number of restarts is
 * bounded.
 *
 * The home of the last revision needs no quorum here, since no agent can know
 * a later revision. This allows more behaviour than the protocol does.
 */

#ifndef AGENTS
#define AGENTS 3
#endif
#ifndef MOVES
#define MOVES 1
#endif
#ifndef M0
#define M0 7
#endif
#ifndef M1
#define M1 6
#endif
#ifndef M2
#define M2 6
#endif
#ifndef H0
#define H0 0
#endif
#ifndef H1
#define H1 1
#endif
#ifndef H2
#define H2 2
#endif

/* Ticks for which a member's reply counts, from the home's question on. */
#ifndef FRESHNESS
#define FRESHNESS 2
#endif
/* Ticks that a confirmed home waits before it runs the first key. */
#ifndef WAIT
#define WAIT FRESHNESS
#endif
/*
 * The client's clock is less than SKEW ticks ahead of the home's clock, so a
 * key issued less than SKEW ticks ago may appear to be issued only now.
 */
#ifndef SKEW
#define SKEW 0
#endif
/* Retries of the appends of moves after a lost response. */
#ifndef RETRIES
#define RETRIES 1
#endif
#define LOG_MAX (MOVES + RETRIES)

#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define MAJORITY(set, of) (2 * SIZE((set) & (of)) > SIZE(of))

#define MEMBERS(r) ((r) == 0 -> M0 : ((r) == 1 -> M1 : M2))
#define HOME(r) ((r) == 0 -> H0 : ((r) == 1 -> H1 : H2))
#define REVISION(a) rev_at[offset[a]]
#define IS_HOME(a) (recovered[a] && HOME(REVISION(a)) == (a))

/* Record revision in force after the first n records of the log. */
byte rev_at[LOG_MAX + 1];
byte log_len;

#ifdef EFFECTIVE_RECORD
/* With effective records, which say that a home became effective: the oldest
 * revision whose members must still confirm a new home. */
byte floor_at[LOG_MAX + 1];
bool was_effective[MOVES + 1];
#define FLOOR(a) floor_at[offset[a]]
#else
#define FLOOR(a) 0
#endif

/* Agents: offset up to which the log is applied. */
byte offset[AGENTS];
/* Whether the state is recovered since the last restart. Until then the agent
 * neither runs nor confirms anything. */
bool recovered[AGENTS];
/* Recovery through peers: the peers that replied. */
byte recovery_replies[AGENTS];
/* The highest offset that they reported. */
byte recovery_offset[AGENTS];
#ifdef HEAD_AT_RESTART
/* Head of the log at the restart: the oldest that a later read can return. */
byte head_at_restart[AGENTS];
#endif

#ifdef RESTARTS
byte restarts;
#endif

/* Quorum of home a: ticks for which member x's reply still counts, at index
 * a * AGENTS + x. */
byte ticks_left[AGENTS * AGENTS];
/* Members that have replied to home a. */
byte replied[AGENTS];
#ifdef COUNT_FROM_REPLY
/* Members whose reply has arrived at home a. */
byte delivered[AGENTS];
#define CONFIRMING_SET(a) (delivered[a] | BIT(a))
#else
#define CONFIRMING_SET(a) (replied[a] | BIT(a))
#endif
#ifdef NO_QUORUM
#define HAS_QUORUM(a) true
#else
#define HAS_QUORUM(a) \
    (REVISION(a) == MOVES || MAJORITY(CONFIRMING_SET(a), MEMBERS(REVISION(a))))
#endif

/* A new home has two rounds in which the members confirm that they have
 * applied its record, and then waits. */
byte round1[AGENTS];      /* members that confirmed in the first round */
byte round2[AGENTS];      /* members that confirmed in the second round */
byte restarted[AGENTS];   /* members of round1 that restarted since */
bool round1_done[AGENTS]; /* the second round has started */
byte wait_left[AGENTS];   /* ticks left to wait */
bool waiting[AGENTS];     /* both rounds are done */

/*
 * True when the set of members that confirmed the record of home a has a
 * majority of the members of its own revision and of each earlier one that may
 * still have a home, so that no earlier home can form a quorum again.
 */
#define MAJORITY_OF(set, r) MAJORITY(set, MEMBERS(r))
#ifdef ONLY_NEW_MEMBERS
#define CONFIRMED(set, a) MAJORITY_OF(set, REVISION(a))
#else
#ifdef ONLY_LAST_TWO
#define CONFIRMED(set, a) \
    (MAJORITY_OF(set, REVISION(a)) && \
     (REVISION(a) == 0 || MAJORITY_OF(set, REVISION(a) - 1)))
#else
#ifdef ONLY_OLD_MEMBERS
#define NEW_MEMBERS(set, a) true
#else
#define NEW_MEMBERS(set, a) MAJORITY_OF(set, REVISION(a))
#endif
#define CONFIRMED(set, a) \
    (NEW_MEMBERS(set, a) && \
     (REVISION(a) < 1 || FLOOR(a) > 0 || MAJORITY_OF(set, 0)) && \
     (REVISION(a) < 2 || FLOOR(a) > 1 || MAJORITY_OF(set, 1)))
#endif
#endif

/* Homes. */
bool effective[AGENTS]; /* may run keys */
bool too_old[AGENTS];   /* the key may be older than the home: not run */
bool in_table[AGENTS];  /* the home's table has a run of the key */
bool refused[AGENTS];   /* the home's table has a refusal of the key */

#ifdef KEY_LIFETIME
/*
 * Requests carry no time of issue: the client stops sending after KEY_LIFETIME
 * ticks, and a home answers `unknown` for UNKNOWN_TICKS after it became
 * effective. UNKNOWN_TICKS must not be less than KEY_LIFETIME.
 */
#ifndef UNKNOWN_TICKS
#define UNKNOWN_TICKS KEY_LIFETIME
#endif
#define MAY_ARRIVE (issued && issued_age < KEY_LIFETIME)
#define AGE_MAX KEY_LIFETIME
byte unknown_left[AGENTS];
#else
#define MAY_ARRIVE issued
#define AGE_MAX SKEW
#endif

/* The key. */
bool issued;
byte issued_age;       /* ticks since then, up to AGE_MAX */
byte runs;             /* of the key, on all agents */
bool reported_not_run; /* `not-run` was reported to the client */

#ifdef PAUSE
/* A process pause between the checks of a run and its call of the upstream. */
bool pending[AGENTS];          /* the checks are done, the call is not */
byte pending_revision[AGENTS]; /* revision at the checks */
byte pause_age[AGENTS];        /* ticks since the checks */
bool superseded[AGENTS];       /* a later home became effective since */
byte fence;                    /* newest revision that became effective */
#endif

inline clear_confirmation(a)
{
    round1[a] = 0;
    round2[a] = 0;
    restarted[a] = 0;
    round1_done[a] = false;
    waiting[a] = false;
    wait_left[a] = 0;
}

inline clear_quorum(a)
{
    x = 0;
    do
    :: x < AGENTS ->
        ticks_left[a * AGENTS + x] = 0;
        x++
    :: else -> break
    od;
    replied[a] = 0;
#ifdef COUNT_FROM_REPLY
    delivered[a] = 0;
#endif
    x = 0
}

/* A home keeps its keys only if it is the home at each revision applied. */
inline apply_to(a, to)
{
    x = REVISION(a);
    do
    :: x < rev_at[to] ->
        x++;
        if
        :: HOME(x) != a -> effective[a] = false
        :: else
        fi
    :: else -> break
    od;
    if
    :: rev_at[to] != REVISION(a) -> clear_confirmation(a)
    :: else
    fi;
    offset[a] = to;
    if
    :: !effective[a] ->
        too_old[a] = false;
#ifdef KEY_LIFETIME
        unknown_left[a] = 0;
#endif
    :: else
    fi;
    if
    :: HOME(REVISION(a)) != a || REVISION(a) == MOVES -> clear_quorum(a)
    :: else
    fi;
    x = 0
}

inline become_effective(a)
{
    effective[a] = true;
    clear_confirmation(a);
#ifdef EFFECTIVE_RECORD
    was_effective[REVISION(a)] = true;
#endif
#ifdef RUNS_OLD_KEYS
    too_old[a] = false;
#else
#ifdef KEY_LIFETIME
    too_old[a] = true;
    unknown_left[a] = UNKNOWN_TICKS;
#else
    too_old[a] = issued && issued_age >= SKEW;
#endif
#endif
#ifdef PAUSE
    fence = (REVISION(a) > fence -> REVISION(a) : fence);
    x = 0;
    do
    :: x < AGENTS ->
        superseded[x] = superseded[x] ||
            (pending[x] && pending_revision[x] < REVISION(a));
        x++
    :: else -> break
    od;
    x = 0;
#endif
}

inline restart(a)
{
    x = 0;
    do
    :: x < AGENTS ->
        if
        :: HAS(round1[x], a) -> restarted[x] = restarted[x] | BIT(a)
        :: else
        fi;
        x++
    :: else -> break
    od;
    offset[a] = 0;
    recovery_replies[a] = 0;
    recovery_offset[a] = 0;
#ifdef HEAD_AT_RESTART
    head_at_restart[a] = log_len;
#endif
    clear_quorum(a);
    clear_confirmation(a);
    effective[a] = false;
    too_old[a] = false;
#ifdef KEY_LIFETIME
    unknown_left[a] = 0;
#endif
    in_table[a] = false;
    refused[a] = false;
#ifdef CONFIRM_AT_ONCE
    recovered[a] = true;
#else
    recovered[a] = false;
#endif
#ifdef RECOVERY_COUNTS_SELF
    recovery_replies[a] = BIT(a);
#endif
    x = 0
}

inline recover(a, to)
{
    offset[a] = to;
    recovered[a] = true;
    recovery_replies[a] = 0;
    recovery_offset[a] = 0;
#ifdef HEAD_AT_RESTART
    head_at_restart[a] = 0;
#endif
}

inline run_key(a)
{
    in_table[a] = true;
#ifdef PAUSE
    assert(!pending[a]);
    pending[a] = true;
    pending_revision[a] = REVISION(a);
#else
    runs++;
    assert(runs <= 1);
    assert(!reported_not_run);
#endif
}

inline report_not_run(a)
{
#ifndef NO_TOMBSTONE
    refused[a] = true;
#endif
    reported_not_run = true;
    assert(runs == 0);
#ifdef PAUSE
    x = 0;
    do
    :: x < AGENTS ->
        assert(!pending[x]);
        x++
    :: else -> break
    od;
    x = 0
#endif
}

#define MAY_RUN(a) \
    (MAY_ARRIVE && IS_HOME(a) && effective[a] && HAS_QUORUM(a) && \
     !too_old[a] && !in_table[a] && !refused[a])

proctype agent(byte a)
{
    byte x;

end:
    do
    /* Applies the log to its head. */
    :: d_step {
        recovered[a] && offset[a] < log_len ->
        apply_to(a, log_len)
    }
    /* Is killed and restarted; its memory is lost. */
    :: d_step {
#ifdef RESTARTS
        recovered[a] && restarts < RESTARTS ->
        restarts++;
#else
        recovered[a] || recovery_replies[a] != 0 ->
#endif
        restart(a)
    }
    /* Reads the head of the log after a restart. */
    :: d_step {
        !recovered[a] ->
#ifdef STALE_HEAD
        recover(a, 0)
#else
#ifdef HEAD_AT_RESTART
        recover(a, head_at_restart[a])
#else
        recover(a, log_len)
#endif
#endif
    }
#ifndef NO_PEER_RECOVERY
    /* A majority of the members has replied after a restart. */
    :: d_step {
        !recovered[a] && recovery_replies[a] != 0 &&
        MAJORITY(recovery_replies[a], MEMBERS(rev_at[recovery_offset[a]])) ->
        x = recovery_offset[a];
        recover(a, x);
        x = 0
    }
#endif
    /* Starts the second round of confirmation. */
    :: d_step {
        IS_HOME(a) && !effective[a] && !waiting[a] && !round1_done[a] &&
        CONFIRMED(round1[a] | BIT(a), a) ->
        round1_done[a] = true
    }
    /* Is confirmed and starts to wait. */
    :: d_step {
        IS_HOME(a) && !effective[a] && !waiting[a] && round1_done[a] &&
#ifdef ONE_ROUND
        true ->
#else
        CONFIRMED(round2[a] | BIT(a), a) ->
#endif
        clear_confirmation(a);
        waiting[a] = true;
        wait_left[a] = WAIT
    }
    :: d_step {
        waiting[a] && wait_left[a] == 0 ->
        become_effective(a)
    }
    /* Receives a copy of the request: runs it. */
    :: d_step {
        MAY_RUN(a) ->
        run_key(a)
    }
#ifndef NO_REFUSAL
    /* Receives a copy of the request: has no room for it. */
    :: d_step {
#ifdef NOT_RUN_WITHOUT_QUORUM
        issued && !in_table[a] && !refused[a] ->
#else
        MAY_RUN(a) ->
#endif
        report_not_run(a)
    }
#endif
#ifdef PAUSE
    /* Passes the request to the upstream some time after the check. */
    :: d_step {
        pending[a] ->
        pending[a] = false;
#ifdef FENCING_UPSTREAM
        if
        :: pending_revision[a] < fence -> superseded[a] = false
        :: else -> runs++
        fi;
#else
        runs++;
#endif
        pending_revision[a] = 0;
        pause_age[a] = 0;
        assert(runs <= 1);
        assert(!reported_not_run);
#ifdef NO_LATE_RUN
        assert(!superseded[a]);
#endif
        superseded[a] = false
    }
#endif
    od
}

/* Messages between agent a and its peer x. */
proctype link(byte a, peer)
{
    byte x;

end:
    do
    /* Agent a pulls the records that it misses from peer. */
    :: d_step {
        recovered[a] && recovered[peer] && offset[a] < offset[peer] ->
        apply_to(a, offset[peer])
    }
    /* Agent a, restarted, receives the offset of peer. */
    :: d_step {
        !recovered[a] && recovered[peer] && !HAS(recovery_replies[a], peer) ->
        recovery_replies[a] = recovery_replies[a] | BIT(peer);
        recovery_offset[a] =
            (offset[peer] > recovery_offset[a] ->
                offset[peer] : recovery_offset[a])
    }
    /* Home a asks peer for a reply that counts towards its quorum. The home
     * forgets any earlier question. */
    :: d_step {
        IS_HOME(a) && REVISION(a) < MOVES &&
        HAS(MEMBERS(REVISION(a)), peer) &&
#ifdef NO_DELAY
        recovered[peer] && REVISION(peer) <= REVISION(a) &&
        ticks_left[a * AGENTS + peer] < FRESHNESS ->
        ticks_left[a * AGENTS + peer] = FRESHNESS;
        replied[a] = replied[a] | BIT(peer)
    }
#else
        !(ticks_left[a * AGENTS + peer] == FRESHNESS &&
          !HAS(replied[a], peer)) ->
        ticks_left[a * AGENTS + peer] = FRESHNESS;
#ifdef COUNT_FROM_REPLY
        delivered[a] = delivered[a] & ~BIT(peer);
#endif
        replied[a] = replied[a] & ~BIT(peer)
    }
    /* Member peer replies that it knows no later record. */
    :: d_step {
        ticks_left[a * AGENTS + peer] > 0 && !HAS(replied[a], peer) &&
        recovered[peer] && REVISION(peer) <= REVISION(a) ->
        replied[a] = replied[a] | BIT(peer)
    }
#endif
#ifdef COUNT_FROM_REPLY
    /* The reply arrives, and its age is counted from its arrival. */
    :: d_step {
        HAS(replied[a], peer) && !HAS(delivered[a], peer) ->
        delivered[a] = delivered[a] | BIT(peer);
        ticks_left[a * AGENTS + peer] = FRESHNESS
    }
#endif
    /* First round: member peer confirms to the new home a that it has applied
     * the record. */
    :: d_step {
        IS_HOME(a) && !effective[a] && !waiting[a] && !round1_done[a] &&
        recovered[peer] && REVISION(peer) >= REVISION(a) &&
        !HAS(round1[a], peer) ->
        round1[a] = round1[a] | BIT(peer)
    }
    /* Second round: member peer confirms again, not having restarted since. */
    :: d_step {
        round1_done[a] && HAS(round1[a], peer) && !HAS(restarted[a], peer) &&
        recovered[peer] && REVISION(peer) >= REVISION(a) &&
        !HAS(round2[a], peer) ->
        round2[a] = round2[a] | BIT(peer)
    }
    od
}

/* Advances every clock by one tick. */
proctype clock()
{
    byte i;
    byte j;

end:
    do
    :: d_step {
#ifdef PAUSE_BOUND
        pause_age[0] < PAUSE_BOUND && pause_age[1] < PAUSE_BOUND &&
        pause_age[2] < PAUSE_BOUND ->
#else
        true ->
#endif
        i = 0;
        do
        :: i < AGENTS ->
            if
            :: wait_left[i] > 0 -> wait_left[i]--
            :: else
            fi;
#ifdef KEY_LIFETIME
            if
            :: unknown_left[i] > 1 -> unknown_left[i]--
            :: unknown_left[i] == 1 ->
                unknown_left[i] = 0;
                too_old[i] = false
            :: else
            fi;
#endif
#ifdef PAUSE_BOUND
            if
            :: pending[i] -> pause_age[i]++
            :: else
            fi;
#endif
            j = 0;
            do
            :: j < AGENTS ->
#ifdef CLOCK_STOPS
                if
                :: ticks_left[i * AGENTS + j] > 1 ->
                    ticks_left[i * AGENTS + j]--
                :: else
                fi;
#else
                if
                :: ticks_left[i * AGENTS + j] == 1 ->
                    ticks_left[i * AGENTS + j] = 0;
                    replied[i] = replied[i] & ~BIT(j);
#ifdef COUNT_FROM_REPLY
                    delivered[i] = delivered[i] & ~BIT(j);
#endif
                :: ticks_left[i * AGENTS + j] > 1 ->
                    ticks_left[i * AGENTS + j]--
                :: else
                fi;
#endif
                j++
            :: else -> break
            od;
            i++
        :: else -> break
        od;
        if
        :: issued && issued_age < AGE_MAX -> issued_age++
        :: else
        fi;
        i = 0;
        j = 0
    }
    od
}

inline append(rev)
{
    log_len++;
#ifdef EFFECTIVE_RECORD
    floor_at[log_len] = floor_at[log_len - 1];
#endif
    rev_at[log_len] = rev
}

/*
 * Appends the moves. The response to an append can be lost, so the same move
 * may be appended again; the second record has a stale base and changes
 * nothing.
 */
proctype operator()
{
end:
    do
    :: d_step {
        log_len < LOG_MAX ->
#ifdef NO_BASE
        append(1)
#else
        append((rev_at[log_len - 1] == 0 -> 1 : rev_at[log_len - 1]))
#endif
    }
#if MOVES > 1
    :: d_step {
        log_len < LOG_MAX && rev_at[log_len] >= 1 ->
        append(2)
    }
#endif
#ifdef EFFECTIVE_RECORD
    /* The home of revision 1 records that it became effective. */
    :: d_step {
#ifdef EFFECTIVE_RECORD_EARLY
        log_len < LOG_MAX && rev_at[log_len] >= 1 ->
#else
        log_len < LOG_MAX && was_effective[1] ->
#endif
        append(rev_at[log_len - 1]);
        floor_at[log_len] = 1
    }
#endif
    od
}

/* The client issues the key once; its entry may time out and answer for it. */
proctype client()
{
    d_step {
        !issued ->
        issued = true
    }
#ifdef NOT_RUN_AFTER_TIMEOUT
    d_step {
        reported_not_run = true;
        assert(runs == 0)
    }
#endif
}

#ifdef WITNESS
/* models.test.sh expects spin to reach this state. */
proctype witness()
{
end:
    d_step {
#if WITNESS == 1
        /* The new home runs the key. */
        runs == 1 && in_table[1] && effective[1] ->
#else
#if WITNESS == 2
        /* The new home refuses the key. */
        reported_not_run && refused[1] ->
#else
        /* The old home runs the key by a majority after one member has applied
         * the move. */
        runs == 1 && in_table[0] && REVISION(2) == 1 && recovered[2] &&
        recovered[1] && REVISION(1) == 0 ->
#endif
#endif
        assert(false)
    }
}
#endif

init
{
    byte i;
    byte j;

    atomic {
        effective[H0] = true;
        i = 0;
        do
        :: i < AGENTS ->
            recovered[i] = true;
            i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < AGENTS ->
            run agent(i);
            j = 0;
            do
            :: j < AGENTS ->
                if
                :: i != j -> run link(i, j)
                :: else
                fi;
                j++
            :: else -> break
            od;
            i++
        :: else -> break
        od;
        i = 0;
        j = 0;
        run clock();
        run operator();
        run client();
#ifdef WITNESS
        run witness();
#endif
    }
}
