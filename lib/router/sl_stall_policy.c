#include "sl_stall_policy.h"

/* Share of the objective after which the upstream is checked, for a stream
 * without a further event, and for a request without a response. */
#define Sl_CHECK_GAP_SHARE 0.35
#define Sl_CHECK_FIRST_SHARE 0.2
/* Least silence before a check. Order services have objectives of 100 ms and
 * few slots, of which each new connection takes one for a moment. */
#define Sl_MIN_CHECK_US (250 * Sl_US_PER_MS)
/* Silence before a check of an upstream that a peer has found failing. The
 * events of a stream are tens of milliseconds apart. */
#define Sl_SUSPECTED_CHECK_US (100 * Sl_US_PER_MS)
/* Share of the objective for which the result of a check is valid. */
#define Sl_CHECK_VALID_SHARE 0.5
/* A head may take this many times as long as estimated. */
#define Sl_LATE_HEAD_FACTOR 3
/* A head that takes this many times as long as estimated, prefill backlog
 * included, will not arrive. */
#define Sl_LOST_HEAD_FACTOR 8
/* Share of the objective after which a request without a response is moved, if
 * a call sent later has a response, and if none has. The rest of the objective
 * is for the prefill at another upstream. */
#define Sl_OVERTAKEN_FIRST_SHARE 0.4
#define Sl_STALLED_FIRST_SHARE 0.6
/* A stream that is stalled while others at its upstream make progress for
 * OTHERS_GAP_SHARE of the objective is moved after ALONE_GAP_SHARE of it. If
 * all are stalled, their engine is busy: then the stream, or the last attempt
 * of a request, is given this many times the objective. */
#define Sl_OTHERS_GAP_SHARE 0.5
#define Sl_ALONE_GAP_SHARE 0.6
#define Sl_ALL_STALLED_GAP_FACTOR 2
#define Sl_LAST_ATTEMPT_GAP_FACTOR 4
/* A call is never given up sooner, unless its upstream is unreachable. A new
 * connection and a short run take a few tens of milliseconds. */
#define Sl_MIN_WAIT_US (300 * Sl_US_PER_MS)
/* Objectives of routes that have none. */
#define Sl_DEFAULT_FIRST_US (2 * Sl_US_PER_S)
#define Sl_DEFAULT_GAP_US (2 * Sl_US_PER_S)
/* How long clients wait, by the operators' documentation: this time, or these
 * multiples of the objectives if they are longer. */
#define Sl_CLIENT_WAIT_US (2 * Sl_US_PER_S)
#define Sl_CLIENT_WAIT_FIRST_FACTOR 4
#define Sl_CLIENT_WAIT_GAP_FACTOR 8
/* Time allowed beyond that for bytes that are on their way. */
#define Sl_CLIENT_WAIT_SLACK_US (500 * Sl_US_PER_MS)
/* Time until the next decision if no event is known to change this one, and
 * the least such time. */
#define Sl_DECIDE_AGAIN_US (300 * Sl_US_PER_MS)
#define Sl_MIN_DECIDE_AGAIN_US (20 * Sl_US_PER_MS)

int64_t
SlStallPolicy_ClientWaitUs(int64_t first_us, int64_t target_gap_us)
{
    int64_t wait_us = Sl_CLIENT_WAIT_US;
    wait_us = MAX(wait_us, Sl_CLIENT_WAIT_FIRST_FACTOR * first_us);
    return MAX(wait_us, Sl_CLIENT_WAIT_GAP_FACTOR * target_gap_us);
}

static int64_t
objective_of(const struct sl_stall_state *state)
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
    int64_t objective_us = objective_of(state);
    if (state->has_head) {
        return share_of(objective_us, Sl_CHECK_GAP_SHARE);
    }
    int64_t wait_us = MAX(share_of(objective_us, Sl_CHECK_FIRST_SHARE),
                          2 * state->expected_us);
    return MAX(wait_us, Sl_MIN_CHECK_US) + state->prefill_backlog_us;
}

/* Returns the silence after which a request without a response is moved. */
static int64_t
first_event_limit_us(const struct sl_stall_state *state)
{
    int64_t objective_us = objective_of(state);
    int64_t wait_us =
        share_of(objective_us, state->is_overtaken ? Sl_OVERTAKEN_FIRST_SHARE
                                                   : Sl_STALLED_FIRST_SHARE);
    wait_us = MAX(wait_us, Sl_LATE_HEAD_FACTOR * state->expected_us);
    if (state->attempts_left <= 1 && state->is_engine &&
        !state->is_overtaken) {
        /* The last attempt is kept until the response is certainly not just
         * slow, or misses its objective in any case. */
        int64_t lost_us = Sl_LOST_HEAD_FACTOR *
                          (state->expected_us + state->prefill_backlog_us);
        wait_us = MAX(wait_us, MIN(lost_us, objective_us));
    }
    return MAX(wait_us, Sl_MIN_WAIT_US) + state->prefill_backlog_us;
}

/* Returns true if other streams of the upstream make progress while this one
 * is stalled. */
static bool
is_alone(const struct sl_stall_state *state)
{
    return state->others_progress_us >=
           share_of(objective_of(state), Sl_OTHERS_GAP_SHARE);
}

/* Returns the silence after which a stream is moved. */
static int64_t
event_gap_limit_us(const struct sl_stall_state *state)
{
    int64_t objective_us = objective_of(state);
    if (is_alone(state)) {
        return MAX(share_of(objective_us, Sl_ALONE_GAP_SHARE), Sl_MIN_WAIT_US);
    }
    double share = state->attempts_left <= 1 ? Sl_LAST_ATTEMPT_GAP_FACTOR
                                             : Sl_ALL_STALLED_GAP_FACTOR;
    return MAX(share_of(objective_us, share), Sl_MIN_WAIT_US) +
           state->prefill_backlog_us;
}

static struct sl_stall_decision
decide(enum sl_stall_action action, const char *why)
{
    return (struct sl_stall_decision){
        .action = action, .check_again_us = Sl_DECIDE_AGAIN_US, .reason = why};
}

static struct sl_stall_decision
wait_for(int64_t us)
{
    struct sl_stall_decision decision = decide(Sl_STALL_WAIT, NULL);
    decision.check_again_us = MAX(us, Sl_MIN_DECIDE_AGAIN_US);
    return decision;
}

/* Decides for a health check if one is due, else to wait until then. */
static struct sl_stall_decision
decide_check(const struct sl_stall_state *state)
{
    int64_t check_again_us =
        share_of(objective_of(state), Sl_CHECK_VALID_SHARE);
    int64_t left_us = check_after_us(state) - state->silent_us;
    if (state->health == Sl_HEALTH_REACHABLE) {
        left_us = MAX(left_us, check_again_us - state->health_age_us);
    }
    else if (state->health == Sl_HEALTH_CHECKING) {
        return wait_for(Sl_DECIDE_AGAIN_US);
    }
    if (left_us > 0) {
        return wait_for(left_us);
    }
    return decide(Sl_STALL_CHECK, NULL);
}

static struct sl_stall_decision
retry_because(const char *why, bool is_unreachable, bool is_corroborated)
{
    struct sl_stall_decision decision = decide(Sl_STALL_RETRY, why);
    decision.is_unreachable = is_unreachable;
    decision.is_corroborated = is_corroborated;
    return decision;
}

static struct sl_stall_decision
decide_by_stall(const struct sl_stall_state *state)
{
    int64_t limit_us = state->has_head ? event_gap_limit_us(state)
                                       : first_event_limit_us(state);
    int64_t left_us = limit_us - state->silent_us;
    if (left_us <= 0) {
        return state->has_head
                   ? retry_because("no event", false, is_alone(state))
                   : retry_because("no answer", false, state->is_overtaken);
    }
    struct sl_stall_decision decision = decide_check(state);
    decision.check_again_us =
        MAX(MIN(decision.check_again_us, left_us), Sl_MIN_DECIDE_AGAIN_US);
    return decision;
}

struct sl_stall_decision
SlStallPolicy_Decide(const struct sl_stall_state *state)
{
    if (state->client_wait_us > 0 &&
        state->silent_us >= state->client_wait_us + Sl_CLIENT_WAIT_SLACK_US) {
        return decide(Sl_STALL_FAIL, "no whole event");
    }
    if (!state->is_retryable || state->attempts_left <= 0) {
        return wait_for(Sl_DECIDE_AGAIN_US);
    }
    if (state->health == Sl_HEALTH_UNREACHABLE) {
        return retry_because("dark", true, true);
    }
    return decide_by_stall(state);
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
    if (!other->is_leaving) {
        return true;
    }
    /* A draining router risks a response that the client has in part only if
     * its upstream has certainly stalled. */
    return (decision->is_corroborated || !state->has_head) &&
           other->first_event_us + other->run_us <= other->time_left_us;
}
