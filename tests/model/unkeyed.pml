/*
 * A non-idempotent request without a key: the entry that received it sends it
 * to one agent after the other, to the next agent only after the last one has
 * replied that it did not run the request and never will.
 *
 * Frames can be late and can arrive twice. Replies can be lost.
 */

#define AGENTS 2
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)

/* Sets of agents: those sent the request, those whose `not-run` reached the
 * entry, and those that ran or refused the request. Then the agent tried last,
 * the number of runs, and whether the client was told `not-run`. */
byte sent;
byte not_run_received;
byte run_at;
byte refused_at;
byte current;
byte runs;
bool reported_not_run;

proctype agent(byte a)
{
end:
    do
    /* A frame of the attempt arrives, perhaps a second time. */
    :: d_step {
#ifdef ACCEPTS_REFUSED_FRAME
        HAS(sent, a) && !HAS(run_at, a) ->
#else
        HAS(sent, a) && !HAS(run_at, a) && !HAS(refused_at, a) ->
#endif
        run_at = run_at | BIT(a);
        runs++;
        assert(runs <= 1);
        assert(!reported_not_run)
    }
    :: d_step {
        HAS(sent, a) && !HAS(run_at, a) && !HAS(refused_at, a) ->
        refused_at = refused_at | BIT(a)
    }
    /* The refusal reaches the entry. */
    :: d_step {
        HAS(refused_at, a) && !HAS(not_run_received, a) ->
        not_run_received = not_run_received | BIT(a)
    }
    od
}

proctype entry()
{
end:
    do
    :: d_step {
        sent == 0 ->
        sent = BIT(0)
    }
    /* Tries the next agent. */
    :: d_step {
#ifdef RETRIES_AFTER_TIMEOUT
        sent != 0 && current + 1 < AGENTS && !reported_not_run ->
#else
        HAS(not_run_received, current) && current + 1 < AGENTS &&
        !reported_not_run ->
#endif
        current++;
        sent = sent | BIT(current)
    }
    /* Gives up. */
    :: d_step {
#ifdef NOT_RUN_AFTER_TIMEOUT
        sent != 0 && !reported_not_run ->
#else
        sent != 0 && HAS(not_run_received, current) && !reported_not_run ->
#endif
        reported_not_run = true;
        assert(runs == 0)
    }
    od
}

#ifdef WITNESS
/* models.test.sh expects spin to reach this state. */
proctype witness()
{
end:
    d_step {
        run_at == BIT(1) && refused_at == BIT(0) ->
        assert(false)
    }
}
#endif

init
{
    atomic {
        run agent(0);
        run agent(1);
        run entry();
#ifdef WITNESS
        run witness();
#endif
    }
}
