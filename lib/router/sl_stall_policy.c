#include "sl_stall_policy.h"

/* Objectives are the route's: for the time to the first event, and for the gap
 * between two events. "Silence" is the time since a call's last progress. */

/* ---- when to check the upstream ---- */

/* Silence after which the upstream of a stream is checked, as a share of the
 * objective for the gap. */
#define Sl_CHECK_GAP_SHARE 0.35
/* Silence after which the upstream of a call without a response is checked, as
 * a share of the objective for the first event. */
#define Sl_CHECK_FIRST_SHARE 0.2
/* The upstream of a call without a response is checked no sooner than after
 * this many times the estimated time to the response head, unless it was found
 * failing. */
#define Sl_CHECK_HEAD_FACTOR 2
/* Least silence before a check of a call without a response. Plain services
 * that take orders have objectives of 100 ms and few slots, and the new
 * connection of a check takes one of the slots for a moment. */
#define Sl_MIN_CHECK_US (250 * Sl_US_PER_MS)
/* Silence before a check of an upstream that was found failing. It is longer
 * than the usual time between two events of a stream, tens of milliseconds. */
#define Sl_SUSPECTED_CHECK_US (100 * Sl_US_PER_MS)
/* Time for which the result of a check is valid, as a share of the
 * objective. */
#define Sl_CHECK_VALID_SHARE 0.5

/* ---- when to move a call without a response ---- */

/* Silence after which the call is moved if a call that was sent to the
 * upstream later has a response, as a share of the objective for the first
 * event. The rest of the objective is left for the prefill at another
 * upstream. */
#define Sl_OVERTAKEN_FIRST_SHARE 0.4
/* Silence after which the call is moved if no such call has a response, as a
 * share of the same objective. The rest is left for the same purpose. */
#define Sl_STALLED_FIRST_SHARE 0.6
/* The call is not moved before this many times the estimated time to its
 * response head. */
#define Sl_LATE_HEAD_FACTOR 3
/* A response head that takes this many times as long as estimated, prefill
 * backlog included, is taken to be lost. */
#define Sl_LOST_HEAD_FACTOR 8

/* ---- when to move a stream ---- */

/* Time, after the last progress of this stream, for which other streams of the
 * upstream must have sent events to show that only this stream is stalled. A
 * share of the objective for the gap. */
#define Sl_OTHERS_GAP_SHARE 0.5
/* Silence after which a stream is moved if only this stream is stalled, as a
 * share of the objective for the gap. */
#define Sl_ALONE_GAP_SHARE 0.6
/* Silence after which a stream is moved if all streams of the upstream are
 * stalled, as a multiple of the objective for the gap. Their engine is then
 * taken to be busy, for example with a long prefill. */
#define Sl_ALL_STALLED_GAP_FACTOR 2
/* Silence after which a stream is moved if all streams of the upstream are
 * stalled and at most one attempt is left, as a multiple of the objective for
 * the gap. */
#define Sl_LAST_ATTEMPT_GAP_FACTOR 4

/* ---- other limits ---- */

/* Least silence after which a call is moved, unless its upstream is
 * unreachable. Connecting to an upstream and running a short request there
 * take a few tens of milliseconds. */
#define Sl_MIN_WAIT_US (300 * Sl_US_PER_MS)
/* Objective for the first event of a route that has none. */
#define Sl_DEFAULT_FIRST_US (2 * Sl_US_PER_S)
/* Objective for the gap of a route that has none. */
#define Sl_DEFAULT_GAP_US (2 * Sl_US_PER_S)
/* Least time that clients wait for an event, by the operators'
 * documentation. */
#define Sl_CLIENT_WAIT_US (2 * Sl_US_PER_S)
/* Clients wait at least this many times the objective for the first event, by
 * the same documentation. */
#define Sl_CLIENT_WAIT_FIRST_FACTOR 4
/* Clients wait at least this many times the objective for the gap, by the same
 * documentation. */
#define Sl_CLIENT_WAIT_GAP_FACTOR 8
/* Time allowed beyond how long clients wait, for bytes that are on their
 * way. */
#define Sl_CLIENT_WAIT_SLACK_US (500 * Sl_US_PER_MS)
/* Time until the next decision if nothing is known to become due before. */
#define Sl_DECIDE_AGAIN_US (300 * Sl_US_PER_MS)
/* Least time until the next decision. */
#define Sl_MIN_DECIDE_AGAIN_US (20 * Sl_US_PER_MS)

int64_t
SlStallPolicy_ClientWaitUs(int64_t first_us, int64_t target_gap_us)
{
    int64_t wait_us = Sl_CLIENT_WAIT_US;
    wait_us = MAX(wait_us, Sl_CLIENT_WAIT_FIRST_FACTOR * first_us);
    return MAX(wait_us, Sl_CLIENT_WAIT_GAP_FACTOR * target_gap_us);
}

/* Returns the objective that the call has to meet next. */
static int64_t
objective_us_of(const struct sl_stall_state *state)
{
    if (state->objective_us > 0) {
        return state->objective_us;
    }
    return state->has_head ? Sl_DEFAULT_GAP_US : Sl_DEFAULT_FIRST_US;
}

static int64_t
share_of(int64_t objective_us, double share)
{
    return (int64_t)(share * (double)objective_us);
}

/* Returns the silence after which the upstream is checked. */
static int64_t
check_after_us(const struct sl_stall_state *state)
{
    if (state->is_suspected) {
        return Sl_SUSPECTED_CHECK_US;
    }
    int64_t objective_us = objective_us_of(state);
    if (state->has_head) {
        return share_of(objective_us, Sl_CHECK_GAP_SHARE);
    }
    int64_t wait_us = MAX(share_of(objective_us, Sl_CHECK_FIRST_SHARE),
                          Sl_CHECK_HEAD_FACTOR * state->expected_us);
    return MAX(wait_us, Sl_MIN_CHECK_US) + state->prefill_backlog_us;
}

/* Returns the silence after which a call without a response is moved. */
static int64_t
first_event_limit_us(const struct sl_stall_state *state)
{
    int64_t objective_us = objective_us_of(state);
    int64_t wait_us =
        share_of(objective_us, state->is_overtaken ? Sl_OVERTAKEN_FIRST_SHARE
                                                   : Sl_STALLED_FIRST_SHARE);
    wait_us = MAX(wait_us, Sl_LATE_HEAD_FACTOR * state->expected_us);
    if (state->attempts_left <= 1 && state->is_engine &&
        !state->is_overtaken) {
        /* The time of a prefill varies, so a late head of an engine may be
         * just slow. The last attempt is kept until the response is certainly
         * lost, or misses its objective in any case. */
        int64_t lost_us = Sl_LOST_HEAD_FACTOR *
                          (state->expected_us + state->prefill_backlog_us);
        wait_us = MAX(wait_us, MIN(lost_us, objective_us));
    }
    return MAX(wait_us, Sl_MIN_WAIT_US) + state->prefill_backlog_us;
}

/* Returns true if other streams of the upstream make progress while this one
 * is stalled. */
static bool
is_stalled_alone(const struct sl_stall_state *state)
{
    return state->others_progress_us >=
           share_of(objective_us_of(state), Sl_OTHERS_GAP_SHARE);
}

/* Returns the silence after which a stream is moved. */
static int64_t
event_gap_limit_us(const struct sl_stall_state *state)
{
    int64_t objective_us = objective_us_of(state);
    if (is_stalled_alone(state)) {
        return MAX(share_of(objective_us, Sl_ALONE_GAP_SHARE), Sl_MIN_WAIT_US);
    }
    double factor = state->attempts_left <= 1 ? Sl_LAST_ATTEMPT_GAP_FACTOR
                                              : Sl_ALL_STALLED_GAP_FACTOR;
    return MAX(share_of(objective_us, factor), Sl_MIN_WAIT_US) +
           state->prefill_backlog_us;
}

static struct sl_stall_decision
new_decision(enum sl_stall_action action, const char *reason)
{
    return (struct sl_stall_decision){.action = action,
                                      .decide_again_us = Sl_DECIDE_AGAIN_US,
                                      .reason = reason};
}

static struct sl_stall_decision
wait_for(int64_t wait_us)
{
    struct sl_stall_decision decision = new_decision(Sl_STALL_WAIT, NULL);
    decision.decide_again_us = MAX(wait_us, Sl_MIN_DECIDE_AGAIN_US);
    return decision;
}

/* Decides to check the upstream if a check is due, or else to wait until
 * then. */
static struct sl_stall_decision
decide_check(const struct sl_stall_state *state)
{
    int64_t valid_us = share_of(objective_us_of(state), Sl_CHECK_VALID_SHARE);
    int64_t until_check_us = check_after_us(state) - state->silent_us;
    if (state->health == Sl_HEALTH_REACHABLE) {
        until_check_us = MAX(until_check_us, valid_us - state->health_age_us);
    }
    else if (state->health == Sl_HEALTH_CHECKING) {
        return wait_for(Sl_DECIDE_AGAIN_US);
    }
    if (until_check_us > 0) {
        return wait_for(until_check_us);
    }
    return new_decision(Sl_STALL_CHECK, NULL);
}

static struct sl_stall_decision
retry_because(const char *reason, bool is_unreachable, bool is_corroborated)
{
    struct sl_stall_decision decision = new_decision(Sl_STALL_RETRY, reason);
    decision.is_unreachable = is_unreachable;
    decision.is_corroborated = is_corroborated;
    return decision;
}

/* Decides to move the request if its call has been silent for too long, or
 * else to check the upstream or to wait. */
static struct sl_stall_decision
decide_by_silence(const struct sl_stall_state *state)
{
    int64_t limit_us = state->has_head ? event_gap_limit_us(state)
                                       : first_event_limit_us(state);
    int64_t left_us = limit_us - state->silent_us;
    if (left_us <= 0) {
        return state->has_head
                   ? retry_because("no event", false, is_stalled_alone(state))
                   : retry_because("no answer", false, state->is_overtaken);
    }
    struct sl_stall_decision decision = decide_check(state);
    decision.decide_again_us =
        MAX(MIN(decision.decide_again_us, left_us), Sl_MIN_DECIDE_AGAIN_US);
    return decision;
}

struct sl_stall_decision
SlStallPolicy_Decide(const struct sl_stall_state *state)
{
    if (state->client_wait_us > 0 &&
        state->silent_us >= state->client_wait_us + Sl_CLIENT_WAIT_SLACK_US) {
        return new_decision(Sl_STALL_FAIL, "no whole event");
    }
    if (!state->is_retryable || state->attempts_left <= 0) {
        return wait_for(Sl_DECIDE_AGAIN_US);
    }
    if (state->health == Sl_HEALTH_UNREACHABLE) {
        return retry_because("dark", true, true);
    }
    return decide_by_silence(state);
}

bool
SlStallPolicy_MayRetry(const struct sl_stall_state *state,
                       const struct sl_stall_decision *decision,
                       const struct sl_stall_alternative *other)
{
    if (!other->exists || !other->has_budget) {
        return false;
    }
    if (decision->is_unreachable) {
        return true;
    }
    if (other->is_unproven) {
        return false;
    }
    if (!other->is_draining) {
        return true;
    }
    /* A move puts at risk a response of which the client has received a part.
     * A draining router takes that risk only if the upstream has certainly
     * stalled. It moves a request only if the request can end in the time that
     * is left. */
    return (decision->is_corroborated || !state->has_head) &&
           other->first_event_us + other->run_us <= other->time_left_us;
}
