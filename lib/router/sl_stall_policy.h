/*
 * sl_stall_policy: decides whether to give up a call that makes no progress.
 *
 * Such a call may be at an upstream that has become unreachable, at one that
 * takes requests and never responds to some of them, or at a healthy engine
 * that prefills a long prompt while all its streams are stalled. A single call
 * looks the same in all three cases.
 *
 * A health check connects to the upstream and closes the connection. It tells
 * the first case from the last: a VM that is gone does not accept the
 * connection, and an engine that prefills a prompt does at once.
 *
 * To move a request means to give up its call and send it to another upstream.
 * A request is moved early enough for its latency objective only if checks
 * have failed, or other calls at the same upstream make progress. A call whose
 * upstream passes the checks is taken to be slow, until it is late in any
 * case. The last attempt of a request is kept for a failure, and a router that
 * drains moves only requests that can still end in its remaining time.
 */
#ifndef Sl_STALL_POLICY_H
#define Sl_STALL_POLICY_H

#include "sl_common.h"

/* Result of the health checks of the upstream since the call's last
 * progress. */
enum sl_health {
    Sl_HEALTH_UNKNOWN,     /* there was no check */
    Sl_HEALTH_CHECKING,    /* a check is under way */
    Sl_HEALTH_REACHABLE,   /* the upstream accepted a connection */
    Sl_HEALTH_UNREACHABLE, /* several checks have failed */
};

/* What is known of a call and its upstream. */
struct sl_stall_state {
    int64_t silent_us; /* since the call was sent, or its last progress */
    bool has_head;     /* its response has begun */
    bool is_engine;    /* the upstream runs models: prefill takes long, and its
                          time varies */
    /* Time since the call's last progress for which other streams of the
     * upstream still sent events, first ones not counted. */
    int64_t others_progress_us;
    bool is_overtaken;    /* a call that was sent to the upstream later has its
                             response head */
    int64_t objective_us; /* time to the first event; after the head, time
                             between two events; 0: none */
    int64_t expected_us;  /* estimated time to its head, when it was sent */
    int64_t prefill_backlog_us; /* estimated time of prefills that wait at the
                                   upstream */
    enum sl_health health;
    int64_t health_age_us; /* REACHABLE: time since the check that passed */
    bool is_suspected;     /* the upstream was found failing, by this router or
                              a peer, since the call's last progress */
    bool is_retryable;     /* the request may run more than once */
    int64_t attempts_left; /* calls that may follow this one */
    int64_t client_wait_us; /* time that clients wait for an event; 0: the
                               response is no stream */
};

enum sl_stall_action {
    Sl_STALL_WAIT,
    Sl_STALL_CHECK, /* begin a health check, and wait */
    Sl_STALL_RETRY, /* move the request to another upstream, if
                       SlStallPolicy_MayRetry() allows that */
    Sl_STALL_FAIL,  /* end the request: clients do not wait any longer */
};

struct sl_stall_decision {
    enum sl_stall_action action;
    int64_t decide_again_us; /* time after which to decide again */
    /* RETRY: evidence against the upstream, besides the silence of the
     * call. */
    bool is_unreachable;  /* health checks fail: the call is lost anyway */
    bool is_corroborated; /* health checks fail, or other calls at the upstream
                             make progress */
    const char *reason;   /* RETRY, FAIL; static */
};

/* Decides what to do with a call, whether or not it is stalled. */
struct sl_stall_decision
SlStallPolicy_Decide(const struct sl_stall_state *state);

/* The upstream that a request could be moved to, and the limits that apply. */
struct sl_stall_alternative {
    bool exists;            /* there is such an upstream */
    int64_t first_event_us; /* estimated time to the first event there */
    int64_t run_us;         /* estimated time of the whole run */
    int64_t
        time_left_us; /* until the request's deadline, or the router's exit */
    bool is_unproven; /* its version is being rolled out, that of the call's
                         upstream is not */
    bool has_budget;  /* the fleet's retry budget allows a retry */
    bool is_draining; /* this router drains */
};

/* Returns true if a request with the decision RETRY may be moved to the
 * alternative. */
bool SlStallPolicy_MayRetry(const struct sl_stall_state *state,
                            const struct sl_stall_decision *decision,
                            const struct sl_stall_alternative *other);

/* Returns how long clients wait for the first event, or between two events, as
 * the operators' documentation promises. `first_us` and `target_gap_us` are
 * the route's objectives for the two; an objective of 0 is ignored. */
int64_t SlStallPolicy_ClientWaitUs(int64_t first_us, int64_t target_gap_us);

#endif
