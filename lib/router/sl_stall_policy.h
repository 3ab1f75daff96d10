/*
 * sl_stall_policy: is a call that says nothing to be given up? Answers
 * upstreams that go dark, and such as take requests and never answer some of
 * them, beside engines that are busy with a long prompt while all their
 * streams stand still. All three look alike from one call.
 *
 * What tells them apart is a health check, a connection to the upstream that
 * is closed again: a machine that is gone does not answer it, one that reads
 * a prompt does at once. Only that, or other answers from the same upstream,
 * moves a call in time for its objective. A call whose upstream answers
 * checks is slow until it is late in any case. The last attempt that a
 * request has is kept for a failure, and a router that leaves moves only what
 * can still end in its time.
 */
#ifndef Sl_STALL_POLICY_H
#define Sl_STALL_POLICY_H

#include "sl_common.h"

/* What health checks since the call fell silent have shown. */
enum sl_health {
    Sl_HEALTH_UNKNOWN,
    Sl_HEALTH_CHECKING,    /* a check is under way */
    Sl_HEALTH_REACHABLE,   /* it can be connected to */
    Sl_HEALTH_UNREACHABLE, /* it cannot */
};

struct sl_stall_state {
    int64_t silent_us; /* since it was sent, or its last whole event */
    bool has_head;     /* its answer has begun */
    bool is_engine;    /* it reads prompts, which takes long and varies */
    /* How long events of other streams, but for their first ones, still came
     * from the upstream since. */
    int64_t others_progress_us;
    bool is_overtaken;    /* one that was sent there later has its head */
    int64_t objective_us; /* to the first event; once it is there, between
                             two events; 0: none */
    int64_t expected_us;  /* to its head, as guessed when it was sent */
    int64_t prefill_backlog_us; /* prompts known to be read there before it
                                   goes on */
    enum sl_health health;
    int64_t health_age_us; /* of ANSWERED */
    bool is_suspected;     /* a peer found the upstream failing since */
    bool is_retryable;
    int64_t attempts_left;  /* calls that may follow this one */
    int64_t client_wait_us; /* for an event; 0: it is no stream */
};

enum sl_stall_action {
    Sl_STALL_WAIT,
    Sl_STALL_CHECK, /* begin a health check, then as WAIT */
    Sl_STALL_RETRY, /* to another upstream, if there is a better one */
    Sl_STALL_FAIL,  /* nobody waits for it any more */
};

struct sl_stall_decision {
    enum sl_stall_action verdict;
    int64_t check_again_us; /* look again after so long */
    /* MOVE: more than silence speaks against its upstream. */
    bool is_unreachable;  /* it cannot be reached: there is nothing to lose */
    bool is_corroborated; /* that, or others at it go on without this one */
    const char *why;      /* MOVE, END; static */
};

struct sl_stall_decision
SlStallPolicy_Decide(const struct sl_stall_state *silence);

/* Where a call would go on, and what is left for that. */
struct sl_stall_alternative {
    bool exists;      /* an upstream that it was not at before */
    int64_t first_us; /* guess of the time to its first event there */
    int64_t run_us;   /* guess of the whole run */
    int64_t left_us;  /* until the request, or this process, ends */
    bool is_unproven; /* its version is on trial, the call's own is not */
    bool has_budget;  /* the fleet's budget of repeats allows it */
    bool is_leaving;  /* this process */
};

/* May a call with the verdict MOVE go there? */
bool SlStallPolicy_MayRetry(const struct sl_stall_state *silence,
                            const struct sl_stall_decision *step,
                            const struct sl_stall_alternative *other);

/* How long callers wait for the first event, or between two, by the
 * operators' pages; 0 objectives are left out. */
int64_t SlStallPolicy_ClientWaitUs(int64_t first_us, int64_t gap_us);

#endif
