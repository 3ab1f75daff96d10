/* Adaptive concurrency limit of an upstream, with a cold and a warm state. The
 * time of a request, which tells the states apart, is its duration in
 * microseconds. */
#include "sl_policy.h"

#include <math.h>

/* Growth per success while the limit is fully used. The limit grows by this
 * share of itself each time that as many requests as it allows finish. */
#define Sl_LIMIT_GROWTH 0.25
/* A failure multiplies the limit by this factor. */
#define Sl_LIMIT_BACKOFF 0.7
/* Number of failures, without a success between them, after which the upstream
 * counts as cold. */
#define Sl_LIMIT_COLD_FAILURES 3
/* Number of successes, as a multiple of the cold limit, that end the cold
 * state if their time is near the warm baseline, or if there is no baseline
 * yet. */
#define Sl_LIMIT_COLD_ROUNDS 4
/* Number of successes, as a multiple of the cold limit, that end the cold
 * state whatever their time, which then becomes the baseline. */
#define Sl_LIMIT_RELEARN_ROUNDS 40
/* The recent time is near the baseline up to this multiple of it. */
#define Sl_LIMIT_NEAR 1.5
/* The upstream counts as cold when the recent time is above this multiple of
 * the baseline. */
#define Sl_LIMIT_JUMP 2.5
/* Number of samples that the baseline needs before recent times are compared
 * with it. Short requests finish first, so the earliest samples say little. */
#define Sl_LIMIT_BASELINE_SAMPLES 128
/* Weight of one sample in the recent time. */
#define Sl_LIMIT_RECENT_WEIGHT (1.0 / 16)
/* Weight of one sample in the baseline, after the first samples. */
#define Sl_LIMIT_BASELINE_WEIGHT (1.0 / Sl_LIMIT_BASELINE_SAMPLES)

/* ---- helpers ---- */

static double
cold_limit_of(const struct sl_limit *limit)
{
    return (double)MIN(limit->options.cold_limit, limit->options.warm_limit);
}

/* Returns `value`, but at least 1 and at most the bound of the current
 * state. */
static double
clamp_to_state(const struct sl_limit *limit, double value)
{
    double bound =
        limit->cold ? cold_limit_of(limit) : (double)limit->options.warm_limit;
    return MAX(MIN(value, bound), 1);
}

/* Adds a value to a moving geometric mean. The mean is geometric because the
 * sizes of requests differ by factors, and a single long answer must not look
 * like a slow upstream. */
static void
update_mean(double *mean, double value, double weight)
{
    value = MAX(value, 1);
    *mean = *mean > 0 ? *mean * pow(value / *mean, weight) : value;
}

/* Adds a sample to the baseline: the first ones have equal weights, later ones
 * displace the weight of older ones. */
static void
update_baseline(struct sl_limit *limit, double took_us)
{
    limit->baseline_samples++;
    double equal_weight = 1.0 / (double)limit->baseline_samples;
    update_mean(&limit->baseline_us, took_us,
                MAX(equal_weight, Sl_LIMIT_BASELINE_WEIGHT));
}

static bool
is_far_above_baseline(const struct sl_limit *limit)
{
    return limit->baseline_samples >= Sl_LIMIT_BASELINE_SAMPLES &&
           limit->recent_us > Sl_LIMIT_JUMP * limit->baseline_us;
}

/* Ends the cold state after enough successes, but not while the upstream
 * reports that it is cold. */
static void
end_cold_if_warmed_up(struct sl_limit *limit)
{
    if (limit->reported_cold) {
        return;
    }
    double rounds =
        (double)limit->consecutive_successes / cold_limit_of(limit);
    bool is_near = limit->baseline_samples < Sl_LIMIT_BASELINE_SAMPLES ||
                   limit->recent_us <= Sl_LIMIT_NEAR * limit->baseline_us;
    if (rounds >= Sl_LIMIT_RELEARN_ROUNDS) {
        limit->baseline_us = limit->recent_us;
        limit->cold = false;
    }
    else if (rounds >= Sl_LIMIT_COLD_ROUNDS && is_near) {
        limit->cold = false;
    }
}

/* ---- public ---- */

struct sl_limit
SlLimit_New(const struct sl_limit_options *options)
{
    struct sl_limit limit = {.options = *options, .cold = true};
    limit.current = clamp_to_state(&limit, cold_limit_of(&limit));
    return limit;
}

void
SlLimit_Configure(struct sl_limit *limit,
                  const struct sl_limit_options *options)
{
    limit->options = *options;
    limit->current = clamp_to_state(limit, limit->current);
}

void
SlLimit_EnterCold(struct sl_limit *limit)
{
    limit->cold = true;
    limit->consecutive_successes = 0;
    limit->consecutive_failures = 0;
    limit->recent_us = 0;
    limit->current = clamp_to_state(limit, limit->current);
}

void
SlLimit_OnReport(struct sl_limit *limit, bool is_cold)
{
    limit->reported_cold = is_cold;
    if (is_cold) {
        SlLimit_EnterCold(limit);
    }
}

void
SlLimit_OnSuccess(struct sl_limit *limit, int64_t took_us, uint64_t in_flight)
{
    limit->consecutive_successes++;
    limit->consecutive_failures = 0;
    update_mean(&limit->recent_us, (double)took_us, Sl_LIMIT_RECENT_WEIGHT);
    if (limit->cold) {
        end_cold_if_warmed_up(limit);
    }
    else if (is_far_above_baseline(limit)) {
        SlLimit_EnterCold(limit);
        return;
    }
    else {
        update_baseline(limit, (double)took_us);
    }
    if (in_flight + 1 >= SlLimit_Current(limit)) {
        limit->current =
            clamp_to_state(limit, limit->current + Sl_LIMIT_GROWTH);
    }
}

void
SlLimit_OnFailure(struct sl_limit *limit)
{
    limit->consecutive_successes = 0;
    limit->consecutive_failures++;
    limit->current = clamp_to_state(limit, limit->current * Sl_LIMIT_BACKOFF);
    if (limit->consecutive_failures >= Sl_LIMIT_COLD_FAILURES) {
        SlLimit_EnterCold(limit);
    }
}

uint64_t
SlLimit_Current(const struct sl_limit *limit)
{
    return (uint64_t)limit->current;
}

double
SlLimit_Warmth(const struct sl_limit *limit)
{
    double span = (double)limit->options.warm_limit - cold_limit_of(limit);
    if (limit->cold) {
        return 0;
    }
    if (span <= 0) {
        return 1;
    }
    return CLAMP((limit->current - cold_limit_of(limit)) / span, 0, 1);
}
