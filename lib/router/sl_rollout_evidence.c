/*
 * Is a roll-out's target worse than the versions that it replaces?
 *
 * Answers are counted by route, since some versions are bad on one only, and
 * by the sign of badness that they show or don't, since the usual rates of
 * failed and of slow answers differ. The target's counts fade, so that a
 * version which turns bad late is found.
 */
#include "sl_router_internal.h"

#include <math.h>

/* Half-life of the target's answers as evidence. */
#define Sl_FADE_US (4 * Sl_US_PER_S)
/* Answers of the versions to be left that count at a router. They do not fade
 * with time: what the target is held against must last when it has all
 * traffic. Their share of bad ones is known to 3 points in 100 then. */
#define Sl_BASE_ANSWERS 100.0
/* Bad answers of the target that are needed to judge it, and how unlikely they
 * must be if it were as good as the others, in standard deviations. Some 20
 * independent looks are taken at a roll-out: at 2.6 one good version in 11 is
 * rolled back by chance. Failures ask for more, since they come in twos: a
 * request that fails wherever it goes is sent again by its caller. */
static const struct {
    double bad;
    double sigmas;
} needed[Sl_SYMPTOM_COUNT] = {
    [Sl_SYMPTOM_FAILED] = {4, 3},
    [Sl_SYMPTOM_SLOW] = {2.5, 2.6},
};
/* A version that fails this much more often than the others is bad; less is
 * within what slow or restarting upstreams do to a good one. */
#define Sl_MIN_EXCESS 0.1
/* Weight of the belief that an unseen version fails this often. */
#define Sl_PRIOR_ANSWERS 4.0
#define Sl_PRIOR_BAD 0.1
/* Counts are told in these parts of an answer. */
#define Sl_TOLD_PARTS 10

/* ---- counts ---- */

static void
fade_counts(struct sl_symptom_count *counts, double factor)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        counts[i].answers *= factor;
        counts[i].bad *= factor;
    }
}

void
SlRolloutEvidence_Count(struct sl_symptom_count *counts, bool bad,
                        bool is_base)
{
    if (is_base && counts->answers >= Sl_BASE_ANSWERS) {
        counts->bad *= 1 - 1 / counts->answers;
        counts->answers -= 1;
    }
    counts->answers += 1;
    counts->bad += bad ? 1 : 0;
}

void
SlRolloutEvidence_Decay(struct sl_rollout_evidence *tallies, int64_t now_us)
{
    int64_t age_us = now_us - tallies->at_us;
    double factor = exp2(-(double)age_us / (double)Sl_FADE_US);
    for (size_t i = 0; i < tallies->count; i++) {
        fade_counts(tallies->routes[i].target, factor);
    }
    tallies->at_us = now_us;
}

struct sl_route_tally *
SlRolloutEvidence_ForRoute(struct sl_rollout_evidence *tallies, uint32_t route,
                           int64_t now_us)
{
    SlRolloutEvidence_Decay(tallies, now_us);
    for (size_t i = 0; i < tallies->count; i++) {
        if (tallies->routes[i].route == route) {
            return &tallies->routes[i];
        }
    }
    if (tallies->count == Sl_MAX_ROUTE_TALLIES) {
        return &tallies
                    ->routes[Sl_MAX_ROUTE_TALLIES - 1]; /* the other routes */
    }
    struct sl_route_tally *tally = &tallies->routes[tallies->count++];
    memset(tally, 0, sizeof(*tally));
    tally->route = route;
    return tally;
}

/* ---- peers ---- */

static void
add_told(struct sl_symptom_count *counts, const struct sl_gossip_symptom *told)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        counts[i].answers += (double)told[i].answers / Sl_TOLD_PARTS;
        counts[i].bad += (double)told[i].bad / Sl_TOLD_PARTS;
    }
}

void
SlRolloutEvidence_AddReport(struct sl_rollout_evidence *tallies,
                            const struct sl_gossip_rollout *told,
                            int64_t now_us)
{
    for (size_t i = 0; i < told->tally_count; i++) {
        struct sl_route_tally *tally = SlRolloutEvidence_ForRoute(
            tallies, told->tallies[i].route, now_us);
        add_told(tally->target, told->tallies[i].target);
        add_told(tally->base, told->tallies[i].base);
    }
}

static uint16_t
in_parts(double count)
{
    return (uint16_t)CLAMP(count * Sl_TOLD_PARTS + 0.5, 0, UINT16_MAX);
}

static void
tell_counts(const struct sl_symptom_count *counts,
            struct sl_gossip_symptom *told)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        told[i].answers = in_parts(counts[i].answers);
        told[i].bad = in_parts(counts[i].bad);
    }
}

void
SlRolloutEvidence_AddToReport(struct sl_rollout_evidence *tallies,
                              struct sl_gossip_rollout *told, int64_t now_us)
{
    SlRolloutEvidence_Decay(tallies, now_us);
    told->tally_count = tallies->count;
    for (size_t i = 0; i < tallies->count; i++) {
        told->tallies[i].route = tallies->routes[i].route;
        tell_counts(tallies->routes[i].target, told->tallies[i].target);
        tell_counts(tallies->routes[i].base, told->tallies[i].base);
    }
}

/* ---- verdict ---- */

/* Part of the log-likelihood ratio of `seen` answers where `expected` are. */
static double
surprise(double seen, double expected)
{
    return seen > 0 ? seen * log(seen / expected) : 0;
}

/* Does the target show the sign more often than the others, beyond chance? A
 * ratio of likelihoods holds for a handful of answers too, where standard
 * errors say little. */
static bool
is_worse(const struct sl_route_tally *tally, enum sl_symptom sign)
{
    const struct sl_symptom_count *target = &tally->target[sign];
    const struct sl_symptom_count *base = &tally->base[sign];
    double base_answers = base->answers + Sl_PRIOR_ANSWERS;
    double base_bad = base->bad + Sl_PRIOR_ANSWERS * Sl_PRIOR_BAD;
    if (target->bad < needed[sign].bad ||
        target->bad / target->answers - base_bad / base_answers <
            Sl_MIN_EXCESS) {
        return false;
    }
    double bad = (target->bad + base_bad) / (target->answers + base_answers);
    double ratio =
        surprise(target->bad, target->answers * bad) +
        surprise(target->answers - target->bad, target->answers * (1 - bad)) +
        surprise(base_bad, base_answers * bad) +
        surprise(base_answers - base_bad, base_answers * (1 - bad));
    return sqrt(2 * ratio) >= needed[sign].sigmas;
}

static bool
judge_tally(const struct sl_route_tally *tally, struct sl_verdict *verdict)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        if (is_worse(tally, (enum sl_symptom)i)) {
            verdict->is_worse = true;
            verdict->sign = (enum sl_symptom)i;
            verdict->target = tally->target[i];
            verdict->base = tally->base[i];
            return true;
        }
    }
    return false;
}

static void
add_counts(struct sl_symptom_count *sum, const struct sl_symptom_count *counts)
{
    for (size_t i = 0; i < Sl_SYMPTOM_COUNT; i++) {
        sum[i].answers += counts[i].answers;
        sum[i].bad += counts[i].bad;
    }
}

struct sl_verdict
SlRolloutEvidence_Evaluate(const struct sl_rollout_evidence *tallies)
{
    struct sl_verdict verdict = {.is_worse = false};
    struct sl_route_tally all = {0};
    for (size_t i = 0; i < tallies->count; i++) {
        if (judge_tally(&tallies->routes[i], &verdict)) {
            return verdict;
        }
        add_counts(all.target, tallies->routes[i].target);
        add_counts(all.base, tallies->routes[i].base);
    }
    (void)judge_tally(&all, &verdict);
    return verdict;
}

double
SlRolloutEvidence_TargetAnswers(const struct sl_rollout_evidence *tallies)
{
    double sum = 0;
    for (size_t i = 0; i < tallies->count; i++) {
        sum += tallies->routes[i].target[Sl_SYMPTOM_FAILED].answers;
    }
    return sum;
}
