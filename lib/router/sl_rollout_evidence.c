/*
 * Decides whether a roll-out's target is worse than the versions that it
 * replaces, the baseline.
 *
 * Responses are counted by route, since some versions are bad on one route
 * only, and by symptom, since the usual rates of failed and of slow responses
 * differ. The target's counts decay, so that a version that turns bad late is
 * found: its newest responses outweigh the earlier, good ones.
 */
#include "sl_router_internal.h"

#include <math.h>

/* Half-life of the target's counts. */
#define Sl_HALF_LIFE_US (4 * Sl_US_PER_S)
/* Number of the newest responses of baseline versions that count, per router,
 * route and symptom. They do not decay: the reference must last after the
 * target has got all traffic. With this many, the rate of bad responses is
 * known to 3 percentage points. */
#define Sl_MAX_BASELINE_RESPONSES 100.0
/* Least figures at which the target counts as worse. A roll-out is evaluated
 * some 20 times on independent counts: at 2.6 standard deviations, one good
 * version in 11 is rolled back by chance. Failures need more, since they come
 * in pairs: a request that fails at every upstream is sent again by its
 * client. */
static const struct {
    double min_bad;    /* bad responses of the target */
    double min_sigmas; /* significance of the difference from the baseline, in
                          standard deviations */
} thresholds[Sl_SYMPTOM_COUNT] = {
    [Sl_SYMPTOM_FAILED] = {4, 3},
    [Sl_SYMPTOM_SLOW] = {2.5, 2.6},
};
/* Least difference of the rates of bad responses. Slow or restarting upstreams
 * cause smaller ones for a good version, too. */
#define Sl_MIN_BAD_RATE_EXCESS 0.1
/* Prior of the baseline's rate of bad responses: number of responses that are
 * added to the counted ones. */
#define Sl_PRIOR_RESPONSES 4.0
/* Share of those that are bad. */
#define Sl_PRIOR_BAD_SHARE 0.1
/* Counts in reports are in tenths of a response. */
#define Sl_REPORT_UNITS_PER_RESPONSE 10

/* ---- counts ---- */

static void
decay_counts(struct sl_symptom_count *counts, double factor)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        counts[i].responses *= factor;
        counts[i].bad *= factor;
    }
}

void
SlRolloutEvidence_CountResponse(struct sl_symptom_count *counts, bool bad,
                                bool is_baseline)
{
    /* Removes one average response before the newest is added. */
    if (is_baseline && counts->responses >= Sl_MAX_BASELINE_RESPONSES) {
        counts->bad *= 1 - 1 / counts->responses;
        counts->responses -= 1;
    }
    counts->responses += 1;
    counts->bad += bad ? 1 : 0;
}

void
SlRolloutEvidence_Decay(struct sl_rollout_evidence *evidence, int64_t now_us)
{
    int64_t age_us = now_us - evidence->decayed_until_us;
    double factor = exp2(-(double)age_us / (double)Sl_HALF_LIFE_US);
    for (size_t i = 0; i < evidence->count; i++) {
        decay_counts(evidence->routes[i].target, factor);
    }
    evidence->decayed_until_us = now_us;
}

struct sl_route_tally *
SlRolloutEvidence_FindOrAddRoute(struct sl_rollout_evidence *evidence,
                                 uint32_t route, int64_t now_us)
{
    SlRolloutEvidence_Decay(evidence, now_us);
    for (size_t i = 0; i < evidence->count; i++) {
        if (evidence->routes[i].route == route) {
            return &evidence->routes[i];
        }
    }
    if (evidence->count == Sl_MAX_ROUTE_TALLIES) {
        /* All further routes share the last entry. */
        return &evidence->routes[Sl_MAX_ROUTE_TALLIES - 1];
    }
    struct sl_route_tally *tally = &evidence->routes[evidence->count++];
    memset(tally, 0, sizeof(*tally));
    tally->route = route;
    return tally;
}

/* ---- peers ---- */

/* Adds the counts of a report to `counts`. */
static void
add_reported_counts(struct sl_symptom_count *counts,
                    const struct sl_gossip_symptom *report)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        counts[i].responses +=
            (double)report[i].responses / Sl_REPORT_UNITS_PER_RESPONSE;
        counts[i].bad += (double)report[i].bad / Sl_REPORT_UNITS_PER_RESPONSE;
    }
}

void
SlRolloutEvidence_AddReport(struct sl_rollout_evidence *evidence,
                            const struct sl_gossip_rollout *report,
                            int64_t now_us)
{
    for (size_t i = 0; i < report->tally_count; i++) {
        struct sl_route_tally *tally = SlRolloutEvidence_FindOrAddRoute(
            evidence, report->tallies[i].route, now_us);
        add_reported_counts(tally->target, report->tallies[i].target);
        add_reported_counts(tally->baseline, report->tallies[i].baseline);
    }
}

static uint16_t
to_report_units(double count)
{
    return (uint16_t)CLAMP(count * Sl_REPORT_UNITS_PER_RESPONSE + 0.5, 0,
                           UINT16_MAX);
}

/* Writes `counts` to a report. */
static void
set_reported_counts(const struct sl_symptom_count *counts,
                    struct sl_gossip_symptom *report)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        report[i].responses = to_report_units(counts[i].responses);
        report[i].bad = to_report_units(counts[i].bad);
    }
}

void
SlRolloutEvidence_AddToReport(struct sl_rollout_evidence *evidence,
                              struct sl_gossip_rollout *report, int64_t now_us)
{
    SlRolloutEvidence_Decay(evidence, now_us);
    report->tally_count = evidence->count;
    for (size_t i = 0; i < evidence->count; i++) {
        report->tallies[i].route = evidence->routes[i].route;
        set_reported_counts(evidence->routes[i].target,
                            report->tallies[i].target);
        set_reported_counts(evidence->routes[i].baseline,
                            report->tallies[i].baseline);
    }
}

/* ---- verdict ---- */

/* Returns the term of the log-likelihood ratio for `observed` responses where
 * `expected` are expected. */
static double
likelihood_term(double observed, double expected)
{
    return observed > 0 ? observed * log(observed / expected) : 0;
}

/* Returns true if the target shows the symptom significantly more often than
 * the baseline, by a likelihood-ratio test. Unlike a comparison by standard
 * errors, that test is valid for a handful of responses, too. */
static bool
is_worse(const struct sl_route_tally *tally, enum sl_symptom symptom)
{
    const struct sl_symptom_count *target = &tally->target[symptom];
    const struct sl_symptom_count *baseline = &tally->baseline[symptom];
    double baseline_samples = baseline->responses + Sl_PRIOR_RESPONSES;
    double baseline_bad =
        baseline->bad + Sl_PRIOR_RESPONSES * Sl_PRIOR_BAD_SHARE;
    if (target->bad < thresholds[symptom].min_bad ||
        target->bad / target->responses - baseline_bad / baseline_samples <
            Sl_MIN_BAD_RATE_EXCESS) {
        return false;
    }
    double bad_rate = /* of both together */
        (target->bad + baseline_bad) / (target->responses + baseline_samples);
    double log_ratio =
        likelihood_term(target->bad, target->responses * bad_rate) +
        likelihood_term(target->responses - target->bad,
                        target->responses * (1 - bad_rate)) +
        likelihood_term(baseline_bad, baseline_samples * bad_rate) +
        likelihood_term(baseline_samples - baseline_bad,
                        baseline_samples * (1 - bad_rate));
    return sqrt(2 * log_ratio) >= thresholds[symptom].min_sigmas;
}

/* Returns true if the target is worse by some symptom, and then fills in
 * `verdict`. */
static bool
evaluate_tally(const struct sl_route_tally *tally,
               struct sl_rollout_verdict *verdict)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        if (is_worse(tally, (enum sl_symptom)i)) {
            verdict->is_worse = true;
            verdict->symptom = (enum sl_symptom)i;
            verdict->target = tally->target[i];
            verdict->baseline = tally->baseline[i];
            return true;
        }
    }
    return false;
}

static void
add_counts(struct sl_symptom_count *sum, const struct sl_symptom_count *counts)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        sum[i].responses += counts[i].responses;
        sum[i].bad += counts[i].bad;
    }
}

struct sl_rollout_verdict
SlRolloutEvidence_Evaluate(const struct sl_rollout_evidence *evidence)
{
    struct sl_rollout_verdict verdict = {.is_worse = false};
    struct sl_route_tally all = {0}; /* sums over the routes */
    for (size_t i = 0; i < evidence->count; i++) {
        if (evaluate_tally(&evidence->routes[i], &verdict)) {
            return verdict;
        }
        add_counts(all.target, evidence->routes[i].target);
        add_counts(all.baseline, evidence->routes[i].baseline);
    }
    (void)evaluate_tally(&all, &verdict);
    return verdict;
}

double
SlRolloutEvidence_TargetResponses(const struct sl_rollout_evidence *evidence)
{
    double sum = 0;
    for (size_t i = 0; i < evidence->count; i++) {
        sum += evidence->routes[i].target[Sl_SYMPTOM_FAILED].responses;
    }
    return sum;
}
