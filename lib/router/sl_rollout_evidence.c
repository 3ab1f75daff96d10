/*
 * Decides whether a roll-out's target is worse than the versions that it
 * replaces, the baseline.
 *
 * Responses are counted by route, since some versions are bad on one route
 * only. Failed responses are compared by their rate. The times to the head are
 * compared with the usual ones in two ways. The rate of responses that take
 * several times as long shows a version that is slow now and then; the mean
 * pace, the logarithm of the time over the usual one, shows one that is always
 * moderately slower, within the few responses that a canary gets. The target's
 * counts decay, so that a version that turns bad late is found: its newest
 * responses outweigh the earlier, good ones. Its paces do not: a canary's few
 * responses all count.
 */
#include "sl_router_internal.h"

#include <math.h>

/* Half-life of the target's counts. */
#define Sl_HALF_LIFE_US (4 * Sl_US_PER_S)
/* Number of the newest responses that count without decay, per router and
 * route: those of baseline versions, as the reference must last after the
 * target has got all traffic, and all paces. With this many, the rate of bad
 * responses is known to 3 percentage points. */
#define Sl_MAX_NEWEST_RESPONSES 100.0

/* Least figures at which a rate of bad responses counts as higher than the
 * baseline's. A roll-out is evaluated some 20 times on independent counts: at
 * 2.6 standard deviations, one good version in 11 is rolled back by chance.
 * Failures need more, since they come in pairs: a request that fails at every
 * upstream is sent again by its client. */
struct sl_rate_thresholds {
    double min_bad;    /* bad responses of the target */
    double min_sigmas; /* significance of the difference, in standard
                          deviations */
};
static const struct sl_rate_thresholds failed_thresholds = {4, 3};
static const struct sl_rate_thresholds slow_thresholds = {2.5, 2.6};
/* Least difference of the rates of bad responses. Slow or restarting upstreams
 * cause smaller ones for a good version, too. */
#define Sl_MIN_BAD_RATE_EXCESS 0.1
/* Prior of the baseline's rate of bad responses: number of responses that are
 * added to the counted ones, and share of those that are bad. */
#define Sl_PRIOR_RESPONSES 4.0
#define Sl_PRIOR_BAD_SHARE 0.1

/* A response is slow if its head takes longer than SLOW_FACTOR times the usual
 * time plus SLOW_EXTRA. The latter is for short times, which vary by more than
 * the factor. */
#define Sl_SLOW_FACTOR 3
#define Sl_SLOW_EXTRA_US (50 * Sl_US_PER_MS)

/* Least figures at which the target counts as slower: timed responses;
 * significance of the difference of the mean pace, in standard errors; and
 * that difference, the logarithm of 1.3. A roll-out is evaluated some 20 times
 * on independent counts, on several routes. */
#define Sl_MIN_PACES 3
#define Sl_MIN_PACE_SIGMAS 3.5
#define Sl_MIN_PACE_EXCESS 0.26
/* Added to both times of a pace, in which short times vary by more than a
 * factor. */
#define Sl_PACE_OFFSET_US (20 * Sl_US_PER_MS)
/* Range of paces: the logarithms of half and of three times the usual time. A
 * single response that was held up does not outweigh all others. */
#define Sl_MIN_PACE (-0.7)
#define Sl_MAX_PACE 1.1
/* Prior of the baseline's pace: this many responses of mean 0. */
#define Sl_PRIOR_PACES 4.0
#define Sl_PRIOR_PACE_VARIANCE 0.25
/* Least variance of the pace: the few responses of a canary may agree by
 * chance. */
#define Sl_MIN_PACE_VARIANCE 0.04

/* Units of reports: tenths of a response, thousandths of a pace. */
#define Sl_REPORT_UNITS_PER_RESPONSE 10
#define Sl_REPORT_UNITS_PER_PACE 1000

/* ---- counts ---- */

static void
decay_tally(struct sl_response_tally *tally, double factor)
{
    tally->count *= factor;
    tally->failed *= factor;
    tally->timed *= factor;
    tally->slow *= factor;
}

static void
add_tally(struct sl_response_tally *sum, const struct sl_response_tally *tally)
{
    sum->count += tally->count;
    sum->failed += tally->failed;
    sum->timed += tally->timed;
    sum->slow += tally->slow;
    sum->paces += tally->paces;
    sum->pace_sum += tally->pace_sum;
    sum->pace_squares += tally->pace_squares;
}

/* Returns the factor that makes room for one more response. */
static double
factor_for_newest(double responses)
{
    return responses >= Sl_MAX_NEWEST_RESPONSES ? 1 - 1 / responses : 1;
}

void
SlRolloutEvidence_CountResponse(struct sl_response_tally *tally, bool failed,
                                bool is_baseline)
{
    double factor = is_baseline ? factor_for_newest(tally->count) : 1;
    tally->count = tally->count * factor + 1;
    tally->failed = tally->failed * factor + (failed ? 1 : 0);
}

static double
pace_of(int64_t took_us, int64_t usual_us)
{
    double ratio = (double)(took_us + Sl_PACE_OFFSET_US) /
                   (double)(usual_us + Sl_PACE_OFFSET_US);
    return CLAMP(log(ratio), Sl_MIN_PACE, Sl_MAX_PACE);
}

void
SlRolloutEvidence_CountTime(struct sl_response_tally *tally, int64_t took_us,
                            int64_t usual_us, bool is_baseline)
{
    double factor = is_baseline ? factor_for_newest(tally->timed) : 1;
    double pace = pace_of(took_us, usual_us);
    bool is_slow = took_us > Sl_SLOW_FACTOR * usual_us + Sl_SLOW_EXTRA_US;
    tally->timed = tally->timed * factor + 1;
    tally->slow = tally->slow * factor + (is_slow ? 1 : 0);
    factor = factor_for_newest(tally->paces);
    tally->paces = tally->paces * factor + 1;
    tally->pace_sum = tally->pace_sum * factor + pace;
    tally->pace_squares = tally->pace_squares * factor + pace * pace;
}

void
SlRolloutEvidence_Decay(struct sl_rollout_evidence *evidence, int64_t now_us)
{
    int64_t age_us = now_us - evidence->decayed_until_us;
    double factor = exp2(-(double)age_us / (double)Sl_HALF_LIFE_US);
    for (size_t i = 0; i < evidence->count; i++) {
        decay_tally(&evidence->routes[i].target, factor);
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

static struct sl_response_tally
tally_of_report(const struct sl_gossip_responses *report)
{
    double paces = (double)report->paces / Sl_REPORT_UNITS_PER_RESPONSE;
    double mean_pace = (double)report->mean_pace / Sl_REPORT_UNITS_PER_PACE +
                       Sl_GOSSIP_MIN_PACE;
    double mean_square =
        (double)report->mean_square / Sl_REPORT_UNITS_PER_PACE;
    return (struct sl_response_tally){
        .count = (double)report->count / Sl_REPORT_UNITS_PER_RESPONSE,
        .failed = (double)report->failed / Sl_REPORT_UNITS_PER_RESPONSE,
        .timed = (double)report->timed / Sl_REPORT_UNITS_PER_RESPONSE,
        .slow = (double)report->slow / Sl_REPORT_UNITS_PER_RESPONSE,
        .paces = paces,
        .pace_sum = paces * mean_pace,
        .pace_squares = paces * mean_square,
    };
}

void
SlRolloutEvidence_AddReport(struct sl_rollout_evidence *evidence,
                            const struct sl_gossip_rollout *report,
                            int64_t now_us)
{
    for (size_t i = 0; i < report->tally_count; i++) {
        struct sl_route_tally *tally = SlRolloutEvidence_FindOrAddRoute(
            evidence, report->tallies[i].route, now_us);
        struct sl_response_tally target =
            tally_of_report(&report->tallies[i].target);
        struct sl_response_tally baseline =
            tally_of_report(&report->tallies[i].baseline);
        add_tally(&tally->target, &target);
        add_tally(&tally->baseline, &baseline);
    }
}

static uint16_t
to_report_units(double value, double units)
{
    return (uint16_t)CLAMP(value * units + 0.5, 0, UINT16_MAX);
}

static struct sl_gossip_responses
report_of_tally(const struct sl_response_tally *tally)
{
    struct sl_gossip_responses report = {
        .count = to_report_units(tally->count, Sl_REPORT_UNITS_PER_RESPONSE),
        .failed = to_report_units(tally->failed, Sl_REPORT_UNITS_PER_RESPONSE),
        .timed = to_report_units(tally->timed, Sl_REPORT_UNITS_PER_RESPONSE),
        .slow = to_report_units(tally->slow, Sl_REPORT_UNITS_PER_RESPONSE),
        .paces = to_report_units(tally->paces, Sl_REPORT_UNITS_PER_RESPONSE),
    };
    if (tally->paces > 0) {
        report.mean_pace = to_report_units(tally->pace_sum / tally->paces -
                                               Sl_GOSSIP_MIN_PACE,
                                           Sl_REPORT_UNITS_PER_PACE);
        report.mean_square = to_report_units(
            tally->pace_squares / tally->paces, Sl_REPORT_UNITS_PER_PACE);
    }
    return report;
}

void
SlRolloutEvidence_AddToReport(struct sl_rollout_evidence *evidence,
                              struct sl_gossip_rollout *report, int64_t now_us)
{
    SlRolloutEvidence_Decay(evidence, now_us);
    report->tally_count = evidence->count;
    for (size_t i = 0; i < evidence->count; i++) {
        report->tallies[i].route = evidence->routes[i].route;
        report->tallies[i].target =
            report_of_tally(&evidence->routes[i].target);
        report->tallies[i].baseline =
            report_of_tally(&evidence->routes[i].baseline);
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

/* Responses of one kind, and those of them that are bad. */
struct sl_bad_count {
    double bad;
    double all;
};

/* Returns true if the target has bad responses significantly more often than
 * the baseline, by a likelihood-ratio test. Unlike a comparison by standard
 * errors, that test is valid for a handful of responses, too. */
static bool
is_more_often(struct sl_bad_count target, struct sl_bad_count baseline,
              const struct sl_rate_thresholds *thresholds)
{
    baseline.all += Sl_PRIOR_RESPONSES;
    baseline.bad += Sl_PRIOR_RESPONSES * Sl_PRIOR_BAD_SHARE;
    if (target.bad < thresholds->min_bad ||
        target.bad / target.all - baseline.bad / baseline.all <
            Sl_MIN_BAD_RATE_EXCESS) {
        return false;
    }
    double rate = /* of both together */
        (target.bad + baseline.bad) / (target.all + baseline.all);
    double log_ratio =
        likelihood_term(target.bad, target.all * rate) +
        likelihood_term(target.all - target.bad, target.all * (1 - rate)) +
        likelihood_term(baseline.bad, baseline.all * rate) +
        likelihood_term(baseline.all - baseline.bad,
                        baseline.all * (1 - rate));
    return sqrt(2 * log_ratio) >= thresholds->min_sigmas;
}

static bool
fails_more_often(const struct sl_route_tally *tally)
{
    return is_more_often(
        (struct sl_bad_count){tally->target.failed, tally->target.count},
        (struct sl_bad_count){tally->baseline.failed, tally->baseline.count},
        &failed_thresholds);
}

static bool
is_slow_more_often(const struct sl_route_tally *tally)
{
    return is_more_often(
        (struct sl_bad_count){tally->target.slow, tally->target.timed},
        (struct sl_bad_count){tally->baseline.slow, tally->baseline.timed},
        &slow_thresholds);
}

/* Mean of the pace, and the square of its standard error. */
struct sl_pace_estimate {
    double mean;
    double variance;       /* of one response */
    double error_variance; /* of the mean */
};

static struct sl_pace_estimate
estimate_pace(const struct sl_response_tally *tally, double min_variance)
{
    double mean = tally->pace_sum / tally->paces;
    double variance =
        MAX(tally->pace_squares / tally->paces - mean * mean, min_variance);
    return (struct sl_pace_estimate){mean, variance, variance / tally->paces};
}

/* Returns true if the target's responses take significantly longer than the
 * baseline's, compared with the usual times. */
static bool
has_slower_pace(const struct sl_route_tally *tally)
{
    struct sl_response_tally baseline = tally->baseline;
    baseline.paces += Sl_PRIOR_PACES;
    baseline.pace_squares += Sl_PRIOR_PACES * Sl_PRIOR_PACE_VARIANCE;
    if (tally->target.paces < Sl_MIN_PACES) {
        return false;
    }
    struct sl_pace_estimate usual =
        estimate_pace(&baseline, Sl_MIN_PACE_VARIANCE);
    struct sl_pace_estimate target =
        estimate_pace(&tally->target, usual.variance);
    double excess = target.mean - usual.mean;
    return excess >= Sl_MIN_PACE_EXCESS &&
           excess >= Sl_MIN_PACE_SIGMAS *
                         sqrt(target.error_variance + usual.error_variance);
}

/* Returns true if the target is worse by some symptom, and then fills in
 * `verdict`. */
static bool
evaluate_tally(const struct sl_route_tally *tally,
               struct sl_rollout_verdict *verdict)
{
    bool fails = fails_more_often(tally);
    if (!fails && !is_slow_more_often(tally) && !has_slower_pace(tally)) {
        return false;
    }
    *verdict = (struct sl_rollout_verdict){
        .is_worse = true,
        .symptom = fails ? Sl_SYMPTOM_FAILED : Sl_SYMPTOM_SLOW,
        .target = tally->target,
        .baseline = tally->baseline,
    };
    return true;
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
        add_tally(&all.target, &evidence->routes[i].target);
        add_tally(&all.baseline, &evidence->routes[i].baseline);
    }
    (void)evaluate_tally(&all, &verdict);
    return verdict;
}

double
SlRolloutEvidence_TargetResponses(const struct sl_rollout_evidence *evidence)
{
    double sum = 0;
    for (size_t i = 0; i < evidence->count; i++) {
        sum += evidence->routes[i].target.count;
    }
    return sum;
}
