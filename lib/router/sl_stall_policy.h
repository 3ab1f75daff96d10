/*
 * sl_stall_policy: decides whether to give up a call that makes no progress.
 *
 * Such a call may be at an upstream that has become unreachable, at one that
 * takes requests and never responds to some of them, or at a healthy engine
 * that prefills a long prompt while all its streams stand still. A single call
 * looks the same in all three cases.
 *
 * A health check, a connection to the upstream that is closed again, tells
 * them apart: a machine that is gone does not accept it, and one that
 * prefills a prompt does at once. Only a failed check, or progress of other
 * calls at the same upstream, moves a call early enough for its latency
 * objective. A call whose upstream passes the checks counts as slow until it
 * is late in any case. The last attempt of a request is kept for a failure,
 * and a router that drains moves only requests that can still end in its
 * remaining time.
 */
#ifndef Sl_STALL_POLICY_H
#define Sl_STALL_POLICY_H

#include "sl_common.h"

/* Result of the health checks since the call's last progress. */
enum sl_health {
    Sl_HEALTH_UNKNOWN,
    Sl_HEALTH_CHECKING,    /* a check is under way */
    Sl_HEALTH_REACHABLE,   /* the upstream accepted a connection */
    Sl_HEALTH_UNREACHABLE, /* it did not */
};

/* What is known of a call and its upstream. */
struct sl_stall_state {
    int64_t silent_us; /* since it was sent, or its last complete event */
    bool has_head;     /* its response has begun */
    bool is_engine;    /* prefill takes long, and its time varies */
    /* Time since the call's last progress for which other streams of the
     * upstream still sent events, first ones not counted. */
    int64_t others_progress_us;
    bool is_overtaken;    /* a call sent there later has its head */
    int64_t objective_us; /* time to the first event; after the head, time
                             between two events; 0: none */
    int64_t expected_us;  /* estimated time to its head, when it was sent */
    int64_t prefill_backlog_us; /* prefill known to be waiting there */
    enum sl_health health;
    int64_t health_age_us; /* REACHABLE: since that check */
    bool is_suspected;     /* the upstream was found failing since */
    bool is_retryable;
    int64_t attempts_left;  /* calls that may follow this one */
    int64_t client_wait_us; /* time clients wait for an event; 0: no stream */
};

enum sl_stall_action {
    Sl_STALL_WAIT,
    Sl_STALL_CHECK, /* begin a health check, then as WAIT */
    Sl_STALL_RETRY, /* move to another upstream, if MayRetry() allows */
    Sl_STALL_FAIL,  /* end the request: clients do not wait any longer */
};

struct sl_stall_decision {
    enum sl_stall_action action;
    int64_t check_again_us; /* time after which to decide again */
    /* RETRY: evidence against the upstream beyond the silence. */
    bool is_unreachable;  /* health checks fail: the call is lost anyway */
    bool is_corroborated; /* that, or other calls there make progress */
    const char *reason;   /* RETRY, FAIL; static */
};

struct sl_stall_decision
SlStallPolicy_Decide(const struct sl_stall_state *state);

/* Another upstream for the request, and the limits that apply to a retry. */
struct sl_stall_alternative {
    bool exists;            /* an upstream that the request has not tried */
    int64_t first_event_us; /* estimated time to the first event there */
    int64_t run_us;         /* estimated time of the whole run */
    int64_t
        time_left_us; /* until the request's deadline, or the router's exit */
    bool is_unproven; /* its version is being rolled out, the call's is not */
    bool has_budget;  /* the fleet's retry budget allows a retry */
    bool is_leaving;  /* this router drains */
};

/* Returns true if a call with the decision RETRY may move to the alternative.
 */
bool SlStallPolicy_MayRetry(const struct sl_stall_state *state,
                            const struct sl_stall_decision *decision,
                            const struct sl_stall_alternative *other);

/* Returns how long clients wait for the first event, or between two events, as
 * the operators' documentation promises. An objective of 0 is ignored. */
int64_t SlStallPolicy_ClientWaitUs(int64_t first_us, int64_t target_gap_us);

#endif
