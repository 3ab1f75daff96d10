/*
 * Whether a request is refused. One that could not end in time is: its client
 * learns at once that it did not run, and when to come back.
 *
 * While more requests come than the service can run, waiting longer makes all
 * of them late. So when the service has been contended for as long as the
 * objective, requests that would be late are refused, of the teams that want
 * more than their fair share: the others are served in time.
 */
#include "sl_sharing_internal.h"

/* Least Retry-After: below it, a refusal costs more than it spares. */
#define Sl_MIN_RETRY_AFTER_US (100 * Sl_US_PER_MS)
/* Largest Retry-After of a client with a long deadline. */
#define Sl_MAX_RETRY_AFTER_US (5 * Sl_US_PER_S)
/* Part of the time that a client has left for which it waits at most before
 * it comes back. */
#define Sl_CLIENT_WAIT_PARTS 3
/* Part of a run's mean time that a request needs at least, if it may run again
 * elsewhere when it is cut. */
#define Sl_REPEATABLE_RUN_PARTS 2

int64_t
SlAdmission_BacklogUs(int64_t backlog, int64_t run_us, int64_t usable_slots)
{
    return usable_slots > 0 ? backlog * run_us / usable_slots : 0;
}

/* Returns the expected time until an upstream takes the request. */
static int64_t
wait_here_us(const struct sl_admission_state *state)
{
    if (state->has_room) {
        return 0;
    }
    if (state->usable_slots == 0) {
        /* No upstream takes requests now: `free_us` is the interval at which
         * one will. */
        return state->free_us * (state->ahead + 1);
    }
    return MAX(state->free_us + state->limited_interval_us * state->ahead,
               state->interval_us * (state->ahead + 1));
}

/* Returns the Retry-After: clients come back over the second half of the time
 * in which the backlog clears, or of the longest time that they wait. */
static int64_t
retry_after_us(const struct sl_admission_state *state, int64_t wait_us)
{
    int64_t clear_us =
        MAX(wait_us, SlAdmission_BacklogUs(state->backlog, state->run_us,
                                           state->usable_slots));
    int64_t longest_us = MIN(state->client_left_us / Sl_CLIENT_WAIT_PARTS,
                             Sl_MAX_RETRY_AFTER_US);
    int64_t window_us =
        MAX(MIN(clear_us, longest_us), 2 * Sl_MIN_RETRY_AFTER_US);
    int64_t half_us = window_us / 2;
    double part = (double)state->spread / (double)UINT32_MAX;
    return half_us + (int64_t)(part * (double)half_us);
}

/* Returns the time that a run needs at least to be of use. */
static int64_t
needed_us(const struct sl_admission_state *state)
{
    if (state->is_stream) {
        return state->has_room ? state->begin_us
                               : state->run_us / Sl_REPEATABLE_RUN_PARTS;
    }
    return state->runs_once ? state->run_us
                            : state->run_us / Sl_REPEATABLE_RUN_PARTS;
}

struct sl_admission_decision
SlAdmission_Decide(const struct sl_admission_state *state)
{
    struct sl_admission_decision admission = {.action = Sl_ADMISSION_ADMIT};
    admission.wait_us = wait_here_us(state) + state->upstream_wait_us;
    admission.end_us = admission.wait_us + state->run_us;
    if (admission.wait_us + needed_us(state) > state->time_left_us) {
        admission.reason = state->has_room
                               ? "too little time is left to run the request"
                               : "the request would wait too long";
    }
    else if (!state->has_room && state->is_overload_lasting &&
             state->is_above_share &&
             admission.wait_us + state->begin_us > state->objective_left_us) {
        admission.reason = "the team has more than its share of the service";
    }
    if (admission.reason != NULL) {
        admission.action = Sl_ADMISSION_REFUSE;
        admission.retry_after_us = retry_after_us(state, admission.wait_us);
    }
    return admission;
}
