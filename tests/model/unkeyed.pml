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

/* Sets of agents, as bit masks. */
byte sent;             /* the entry has sent the request to them */
byte not_run_received; /* their `not-run` has reached the entry */
byte run_at;           /* they ran the request */
byte refused_at;       /* they refused the request */

byte current;          /* agent that the entry tried last */
byte runs;             /* of the request, on all agents */
bool reported_not_run; /* the entry has answered `not-run` to the client */

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
    /* Refuses the request. */
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
    /* Sends the request to the first agent. */
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
    /* Answers `not-run` to the client. */
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
