/* Concurrency limit of an upstream, cold and warm. */
#include "sl_policy.h"

#include <math.h>

/* Growth per good completion at a used limit, so the limit grows by this
 * share of itself each time that all of its requests finish. */
#define Sl_LIMIT_GROWTH 0.25
/* A refusal takes this share of the limit away. */
#define Sl_LIMIT_BACKOFF 0.7
/* Refusals without a completion between them after which it counts as cold. */
#define Sl_LIMIT_COLD_REFUSALS 3
/* Good completions, as multiples of the cold limit, that end the cold state
 * when their time is near the warm baseline, or when none is known. */
#define Sl_LIMIT_COLD_ROUNDS 4
/* As above, after which a slower time is taken as the new baseline. */
#define Sl_LIMIT_RELEARN_ROUNDS 40
/* Near the baseline: at most this multiple. */
#define Sl_LIMIT_NEAR 1.5
/* A jump: the recent time is above this multiple of the baseline. */
#define Sl_LIMIT_JUMP 2.5
/* Answers that a baseline needs before jumps are judged by it: the short
 * ones finish first, so the earliest say little. */
#define Sl_LIMIT_BASELINE_ANSWERS 128
/* Weights of one completion in the recent time and in the baseline. */
#define Sl_LIMIT_RECENT_WEIGHT (1.0 / 16)
#define Sl_LIMIT_BASELINE_WEIGHT (1.0 / Sl_LIMIT_BASELINE_ANSWERS)

/* ---- helpers ---- */

static double
cold_bound(const struct sl_limit *limit)
{
    return (double)MIN(limit->options.cold_limit, limit->options.warm_limit);
}

static double
clamp(const struct sl_limit *limit, double value)
{
    double bound =
        limit->cold ? cold_bound(limit) : (double)limit->options.warm_limit;
    return MAX(MIN(value, bound), 1);
}

/* A geometric mean: requests differ in size by their ratio, and one large
 * answer must not look like a slow upstream. */
static void
smooth(double *mean, double value, double weight)
{
    value = MAX(value, 1);
    *mean = *mean > 0 ? *mean * pow(value / *mean, weight) : value;
}

/* A plain mean at first, then one with decay. */
static void
learn_baseline(struct sl_limit *limit, double value)
{
    limit->baseline_samples++;
    double plain = 1.0 / (double)limit->baseline_samples;
    smooth(&limit->baseline_us, value, MAX(plain, Sl_LIMIT_BASELINE_WEIGHT));
}

static bool
has_jumped(const struct sl_limit *limit)
{
    return limit->baseline_samples >= Sl_LIMIT_BASELINE_ANSWERS &&
           limit->recent_us > Sl_LIMIT_JUMP * limit->baseline_us;
}

/* Ends the cold state once enough requests finished in the usual time. */
static void
warm_up(struct sl_limit *limit)
{
    if (limit->reported_cold) {
        return;
    }
    double rounds = (double)limit->consecutive_successes / cold_bound(limit);
    bool is_near = limit->baseline_samples < Sl_LIMIT_BASELINE_ANSWERS ||
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
    limit.current = clamp(&limit, cold_bound(&limit));
    return limit;
}

void
SlLimit_Configure(struct sl_limit *limit,
                  const struct sl_limit_options *options)
{
    limit->options = *options;
    limit->current = clamp(limit, limit->current);
}

void
SlLimit_OnCold(struct sl_limit *limit)
{
    limit->cold = true;
    limit->consecutive_successes = 0;
    limit->consecutive_failures = 0;
    limit->recent_us = 0;
    limit->current = clamp(limit, limit->current);
}

void
SlLimit_OnReport(struct sl_limit *limit, bool is_cold)
{
    limit->reported_cold = is_cold;
    if (is_cold) {
        SlLimit_OnCold(limit);
    }
}

void
SlLimit_OnSuccess(struct sl_limit *limit, int64_t took_us, uint64_t in_flight)
{
    limit->consecutive_successes++;
    limit->consecutive_failures = 0;
    smooth(&limit->recent_us, (double)took_us, Sl_LIMIT_RECENT_WEIGHT);
    if (limit->cold) {
        warm_up(limit);
    }
    else if (has_jumped(limit)) {
        SlLimit_OnCold(limit);
        return;
    }
    else {
        learn_baseline(limit, (double)took_us);
    }
    if (in_flight + 1 >= SlLimit_Current(limit)) {
        limit->current = clamp(limit, limit->current + Sl_LIMIT_GROWTH);
    }
}

void
SlLimit_OnFailure(struct sl_limit *limit)
{
    limit->consecutive_successes = 0;
    limit->consecutive_failures++;
    limit->current = clamp(limit, limit->current * Sl_LIMIT_BACKOFF);
    if (limit->consecutive_failures >= Sl_LIMIT_COLD_REFUSALS) {
        SlLimit_OnCold(limit);
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
    double room = (double)limit->options.warm_limit - cold_bound(limit);
    if (limit->cold) {
        return 0;
    }
    if (room <= 0) {
        return 1;
    }
    return CLAMP((limit->current - cold_bound(limit)) / room, 0, 1);
}
