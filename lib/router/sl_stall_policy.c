#include "sl_stall_policy.h"

/* Parts of an objective after which an upstream is checked: a stream whose
 * events fail to come, and a request whose answer does. */
#define Sl_CHECK_GAP 0.35
#define Sl_CHECK_FIRST 0.2
/* Order services have objectives of 100 ms and a few slots, of which each new
 * connection takes one for a moment. */
#define Sl_LEAST_CHECK_US (250 * Sl_US_PER_MS)
/* Of an upstream that a peer found failing; a stream's events are tens of
 * milliseconds apart. */
#define Sl_CHECK_SUSPECTED_US (100 * Sl_US_PER_MS)
/* An answered check says nothing of later than this part of an objective. */
#define Sl_CHECK_AGAIN 0.5
/* A head may take this many times as long as guessed. */
#define Sl_LATE_FACTOR 3
/* One that takes so many times as long, and what is read before it, too, is
 * not on its way. */
#define Sl_SURE_FACTOR 8
/* Parts of the objective after which a request without an answer is moved:
 * when one that was sent later was answered, and when none was. What is left
 * is for another upstream to read the prompt. */
#define Sl_OVERTAKEN_FIRST 0.4
#define Sl_SILENT_FIRST 0.6
/* A stream that stands still while others at its upstream go on for this part
 * of the longest pause is moved in time; when all stand still, their engine
 * is busy, and it is given several times the pause. */
#define Sl_OTHERS_GAP 0.5
#define Sl_ALONE_GAP 0.6
#define Sl_SILENT_GAP 2
#define Sl_LAST_ATTEMPT_GAP 4
/* A call is never given up sooner, unless its upstream is dark; a fresh
 * connection and a short run take a few tens of milliseconds. */
#define Sl_LEAST_WAIT_US (300 * Sl_US_PER_MS)
/* Objectives of routes that name none. */
#define Sl_DEFAULT_FIRST_US (2 * Sl_US_PER_S)
#define Sl_DEFAULT_GAP_US (2 * Sl_US_PER_S)
/* Callers' patience, by the operators' pages. */
#define Sl_PATIENCE_US (2 * Sl_US_PER_S)
#define Sl_PATIENCE_FIRST 4
#define Sl_PATIENCE_GAP 8
/* Beyond that, for what is on its way. */
#define Sl_PATIENCE_SLACK_US (500 * Sl_US_PER_MS)
/* Pause between two looks when no time is known to change the verdict. */
#define Sl_LOOK_AGAIN_US (300 * Sl_US_PER_MS)
#define Sl_LEAST_LOOK_US (20 * Sl_US_PER_MS)

int64_t
SlStallPolicy_ClientWaitUs(int64_t first_us, int64_t gap_us)
{
    int64_t patience = Sl_PATIENCE_US;
    patience = MAX(patience, Sl_PATIENCE_FIRST * first_us);
    return MAX(patience, Sl_PATIENCE_GAP * gap_us);
}

static int64_t
objective_of(const struct sl_stall_state *silence)
{
    if (silence->objective_us > 0) {
        return silence->objective_us;
    }
    return silence->has_head ? Sl_DEFAULT_GAP_US : Sl_DEFAULT_FIRST_US;
}

static int64_t
part_of(int64_t objective_us, double part)
{
    return (int64_t)(part * (double)objective_us);
}

/* Silence after which the upstream is checked. */
static int64_t
check_after_us(const struct sl_stall_state *silence)
{
    if (silence->is_suspected) {
        return Sl_CHECK_SUSPECTED_US;
    }
    int64_t objective_us = objective_of(silence);
    if (silence->has_head) {
        return part_of(objective_us, Sl_CHECK_GAP);
    }
    int64_t wait_us =
        MAX(part_of(objective_us, Sl_CHECK_FIRST), 2 * silence->expected_us);
    return MAX(wait_us, Sl_LEAST_CHECK_US) + silence->prefill_backlog_us;
}

/* Silence after which a request without an answer is moved. */
static int64_t
first_patience_us(const struct sl_stall_state *silence)
{
    int64_t objective_us = objective_of(silence);
    int64_t wait_us =
        part_of(objective_us,
                silence->is_overtaken ? Sl_OVERTAKEN_FIRST : Sl_SILENT_FIRST);
    wait_us = MAX(wait_us, Sl_LATE_FACTOR * silence->expected_us);
    if (silence->attempts_left <= 1 && silence->is_engine &&
        !silence->is_overtaken) {
        /* The last attempt is kept until this is no slow answer, or is late
         * in any case. */
        int64_t sure_us = Sl_SURE_FACTOR *
                          (silence->expected_us + silence->prefill_backlog_us);
        wait_us = MAX(wait_us, MIN(sure_us, objective_us));
    }
    return MAX(wait_us, Sl_LEAST_WAIT_US) + silence->prefill_backlog_us;
}

/* Do other streams at the upstream go on while this one stands still? */
static bool
is_alone(const struct sl_stall_state *silence)
{
    return silence->others_progress_us >=
           part_of(objective_of(silence), Sl_OTHERS_GAP);
}

/* Silence after which a stream is moved. */
static int64_t
gap_patience_us(const struct sl_stall_state *silence)
{
    int64_t objective_us = objective_of(silence);
    if (is_alone(silence)) {
        return MAX(part_of(objective_us, Sl_ALONE_GAP), Sl_LEAST_WAIT_US);
    }
    double part =
        silence->attempts_left <= 1 ? Sl_LAST_ATTEMPT_GAP : Sl_SILENT_GAP;
    return MAX(part_of(objective_us, part), Sl_LEAST_WAIT_US) +
           silence->prefill_backlog_us;
}

static struct sl_stall_decision
step_to(enum sl_stall_action verdict, const char *why)
{
    return (struct sl_stall_decision){
        .verdict = verdict, .check_again_us = Sl_LOOK_AGAIN_US, .why = why};
}

static struct sl_stall_decision
wait_for(int64_t us)
{
    struct sl_stall_decision step = step_to(Sl_STALL_WAIT, NULL);
    step.check_again_us = MAX(us, Sl_LEAST_LOOK_US);
    return step;
}

/* Is a health check due, or how long until then? */
static struct sl_stall_decision
check(const struct sl_stall_state *silence)
{
    int64_t check_again_us = part_of(objective_of(silence), Sl_CHECK_AGAIN);
    int64_t left_us = check_after_us(silence) - silence->silent_us;
    if (silence->health == Sl_HEALTH_REACHABLE) {
        left_us = MAX(left_us, check_again_us - silence->health_age_us);
    }
    else if (silence->health == Sl_HEALTH_CHECKING) {
        return wait_for(Sl_LOOK_AGAIN_US);
    }
    if (left_us > 0) {
        return wait_for(left_us);
    }
    return step_to(Sl_STALL_CHECK, NULL);
}

static struct sl_stall_decision
move_for(const char *why, bool is_unreachable, bool is_corroborated)
{
    struct sl_stall_decision step = step_to(Sl_STALL_RETRY, why);
    step.is_unreachable = is_unreachable;
    step.is_corroborated = is_corroborated;
    return step;
}

static struct sl_stall_decision
judge_patience(const struct sl_stall_state *silence)
{
    int64_t patience_us = silence->has_head ? gap_patience_us(silence)
                                            : first_patience_us(silence);
    int64_t left_us = patience_us - silence->silent_us;
    if (left_us <= 0) {
        return silence->has_head
                   ? move_for("no event", false, is_alone(silence))
                   : move_for("no answer", false, silence->is_overtaken);
    }
    struct sl_stall_decision step = check(silence);
    step.check_again_us =
        MAX(MIN(step.check_again_us, left_us), Sl_LEAST_LOOK_US);
    return step;
}

struct sl_stall_decision
SlStallPolicy_Decide(const struct sl_stall_state *silence)
{
    if (silence->client_wait_us > 0 &&
        silence->silent_us >= silence->client_wait_us + Sl_PATIENCE_SLACK_US) {
        return step_to(Sl_STALL_FAIL, "no whole event");
    }
    if (!silence->is_retryable || silence->attempts_left <= 0) {
        return wait_for(Sl_LOOK_AGAIN_US);
    }
    if (silence->health == Sl_HEALTH_UNREACHABLE) {
        return move_for("dark", true, true);
    }
    return judge_patience(silence);
}

bool
SlStallPolicy_MayRetry(const struct sl_stall_state *silence,
                       const struct sl_stall_decision *step,
                       const struct sl_stall_alternative *other)
{
    if (!other->exists || !other->has_budget) {
        return false;
    }
    if (step->is_unreachable) {
        return true;
    }
    if (other->is_unproven) {
        return false;
    }
    if (!other->is_leaving) {
        return true;
    }
    /* What the caller has of it is not put at risk. */
    return (step->is_corroborated || !silence->has_head) &&
           other->first_us + other->run_us <= other->left_us;
}
