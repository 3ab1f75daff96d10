/* Cascades: which step of a request runs first, and which answer is accepted.
 *
 * The pass rate of a step, the share of its answers that are accepted, is the
 * mean of a beta distribution whose counts decay. It is estimated per team and
 * kind of request; its prior is the version's rate over all teams and kinds,
 * whose own prior is the quality in the version's label. A chain is a sequence
 * of steps, each of which is run if the answer of the step before was not
 * accepted; a plan is the expected result of a chain. There are at most
 * 2^Sl_MAX_CASCADE_STEPS chains, and all are compared. */
#include "sl_policy.h"

#include <assert.h>
#include <math.h>

/* Weight of a prior, as a number of answers. */
#define Sl_PRIOR_WEIGHT 10.0
/* Number of later answers after which an answer has lost most of its weight,
 * so that the rate follows a version that changed. */
#define Sl_RATE_DECAY_ANSWERS 200.0
/* Number of rates stored; the least recently updated one is dropped first. */
#define Sl_CASCADE_MAX_RATES 4096
/* Share of requests that start at a random step that is not suspect, so that
 * the rates of all steps stay known. */
#define Sl_EXPLORE_SHARE 0.02
/* Share of requests that may start at a suspect version, if there are others.
 * Their answers show when the version is good again. */
#define Sl_SUSPECT_SHARE 0.005
/* Standard deviation of the logarithm of a step's duration. */
#define Sl_DURATION_LOG_DEVIATION 0.4
/* Chains with a step that finishes by the deadline with a lower probability
 * than this are not considered. */
#define Sl_MIN_IN_TIME_PROBABILITY 0.02
/* Time that must be left for a random step, as a multiple of the expected
 * time. */
#define Sl_EXPLORE_HEADROOM 2
/* Tolerance of the comparison with the target quality, for rounding errors. */
#define Sl_QUALITY_TOLERANCE 1e-9

/* ---- types ---- */

/* Identifies a rate. An empty team and kind stand for all teams and kinds. */
struct sl_rate_key {
    struct sl_name team;
    struct sl_name kind;
    struct sl_name version;
};

/* Counts of answers, decayed by later ones; see Sl_RATE_DECAY_ANSWERS. */
struct sl_rate {
    struct sl_rate_key key;
    double accepted;
    double total;
    GList *link; /* in `by_update` */
};

struct sl_cascade {
    GHashTable *rates; /* struct sl_rate_key -> struct sl_rate, owned */
    GQueue by_update;  /* struct sl_rate, last updated at the tail */
};

/* Expected result of a chain of steps. */
struct sl_plan {
    double pass; /* probability of an accepted answer by the deadline */
    double cost; /* expected, in millionths of the billing currency */
};

/* ---- helpers: rates ---- */

static guint
key_hash(gconstpointer data)
{
    const struct sl_rate_key *key = data;
    uint64_t hash = SlHash_Bytes(0, SlName_Str(&key->team));
    hash = SlHash_Bytes(hash, SlName_Str(&key->kind));
    return (guint)SlHash_Bytes(hash, SlName_Str(&key->version));
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    const struct sl_rate_key *left = a;
    const struct sl_rate_key *right = b;
    return SlName_Equal(&left->team, &right->team) &&
           SlName_Equal(&left->kind, &right->kind) &&
           SlName_Equal(&left->version, &right->version);
}

/* Returns the rate, which becomes the last updated one. */
static struct sl_rate *
find_or_add_rate(struct sl_cascade *cascade, const struct sl_rate_key *key)
{
    struct sl_rate *rate = g_hash_table_lookup(cascade->rates, key);
    if (rate != NULL) {
        g_queue_unlink(&cascade->by_update, rate->link);
        g_queue_push_tail_link(&cascade->by_update, rate->link);
        return rate;
    }
    if (g_hash_table_size(cascade->rates) >= Sl_CASCADE_MAX_RATES) {
        struct sl_rate *oldest = g_queue_pop_head(&cascade->by_update);
        g_hash_table_remove(cascade->rates, &oldest->key);
    }
    rate = g_new0(struct sl_rate, 1);
    rate->key = *key;
    g_queue_push_tail(&cascade->by_update, rate);
    rate->link = g_queue_peek_tail_link(&cascade->by_update);
    g_hash_table_insert(cascade->rates, &rate->key, rate);
    return rate;
}

/* Counts an answer, after all earlier ones have lost a share of their
 * weight. */
static void
count_answer(struct sl_rate *rate, bool accepted)
{
    double weight = 1 - 1 / Sl_RATE_DECAY_ANSWERS;
    rate->accepted = rate->accepted * weight + (accepted ? 1 : 0);
    rate->total = rate->total * weight + 1;
}

/* Expected share of accepted answers. `rate` is NULL if there were none. */
static double
posterior_mean(const struct sl_rate *rate, double prior)
{
    if (rate == NULL) {
        return prior;
    }
    return (rate->accepted + Sl_PRIOR_WEIGHT * prior) /
           (rate->total + Sl_PRIOR_WEIGHT);
}

/* ---- helpers: plans ---- */

/* Returns true if plan `a` is better than plan `b`: if only `a` meets the
 * target, if both meet it and `a` is cheaper, or if neither meets it and the
 * answers of `a` are accepted more often. */
static bool
is_better(struct sl_plan a, struct sl_plan b, double quality)
{
    bool a_meets = a.pass + Sl_QUALITY_TOLERANCE >= quality;
    bool b_meets = b.pass + Sl_QUALITY_TOLERANCE >= quality;
    if (a_meets != b_meets) {
        return a_meets;
    }
    if (!a_meets && a.pass != b.pass) {
        return a.pass > b.pass;
    }
    return a.cost < b.cost;
}

/* Returns the probability that a step finishes within `time_left_us`, if its
 * duration follows a log-normal distribution. */
static double
in_time_probability(const struct sl_cascade_step *step, int64_t time_left_us)
{
    if (time_left_us <= 0) {
        return 0;
    }
    double expected = (double)MAX(step->expected_us, 1);
    double deviations =
        log((double)time_left_us / expected) / Sl_DURATION_LOG_DEVIATION;
    return 0.5 * erfc(-deviations / sqrt(2));
}

/* Finds the best chain among the steps from `first` on and sets `*start` to
 * its first step, or to Sl_NO_CHOICE if no step can finish in time. `quality`
 * is the share of the requests reaching this chain whose answers must be
 * accepted to meet the target. A late answer counts as not accepted. */
static struct sl_plan
best_chain(const struct sl_cascade_request *request, const double *pass,
           size_t first, int64_t time_left_us, double quality, size_t *start)
{
    struct sl_plan best = {0, 0};
    *start = Sl_NO_CHOICE;
    for (size_t i = first; i < request->count; i++) {
        const struct sl_cascade_step *step = &request->steps[i];
        double in_time = in_time_probability(step, time_left_us);
        if (in_time < Sl_MIN_IN_TIME_PROBABILITY) {
            continue;
        }
        struct sl_plan plan = {pass[i] * in_time, (double)step->cost_micros};
        if (!request->ratings_unavailable && pass[i] < 1) {
            size_t next;
            double needed = (quality - pass[i]) / (1 - pass[i]);
            struct sl_plan tail =
                best_chain(request, pass, i + 1,
                           time_left_us - step->expected_us, needed, &next);
            plan.pass += (1 - pass[i]) * tail.pass;
            plan.cost += (1 - pass[i]) * tail.cost;
        }
        if (*start == Sl_NO_CHOICE || is_better(plan, best, quality)) {
            best = plan;
            *start = i;
        }
    }
    return best;
}

/* Returns the step with the shortest expected duration, for a request that no
 * step is expected to finish in time. */
static size_t
fastest_step(const struct sl_cascade_request *request)
{
    size_t best = 0;
    for (size_t i = 1; i < request->count; i++) {
        if (request->steps[i].expected_us < request->steps[best].expected_us) {
            best = i;
        }
    }
    return best;
}

/* Writes the indices of the steps whose `suspect` is as given, and returns
 * their number. */
static size_t
select_steps(const struct sl_cascade_request *request, bool suspect,
             size_t *indices)
{
    size_t count = 0;
    for (size_t i = 0; i < request->count; i++) {
        if (request->steps[i].suspect == suspect) {
            indices[count++] = i;
        }
    }
    return count;
}

/* Returns the first step of the best chain among the steps with these
 * indices. */
static size_t
plan_steps(const struct sl_cascade_request *request, const double *pass,
           const size_t *indices, size_t count)
{
    struct sl_cascade_step steps[Sl_MAX_CASCADE_STEPS] = {0};
    double rates[Sl_MAX_CASCADE_STEPS] = {0};
    assert(count > 0);
    for (size_t i = 0; i < count; i++) {
        steps[i] = request->steps[indices[i]];
        rates[i] = pass[indices[i]];
    }
    struct sl_cascade_request subset = *request;
    subset.steps = steps;
    subset.count = count;
    size_t start;
    best_chain(&subset, rates, 0, request->time_left_us, request->quality,
               &start);
    return indices[start == Sl_NO_CHOICE ? fastest_step(&subset) : start];
}

/* Returns one of the steps with these indices at random, if there is time for
 * this step and for the planned step after it, otherwise `planned`. */
static size_t
explore_step(const struct sl_cascade_request *request, size_t planned,
             const size_t *indices, size_t count, struct sl_random *random)
{
    size_t other = indices[SlRandom_Below(random, (uint32_t)count)];
    int64_t needed_us = request->steps[other].expected_us;
    if (other != planned) {
        needed_us += request->steps[planned].expected_us;
    }
    bool fits = needed_us * Sl_EXPLORE_HEADROOM <= request->time_left_us;
    return fits ? other : planned;
}

/* ---- algorithms ---- */

static size_t
start_at_expected_cost(const struct sl_cascade *cascade,
                       const struct sl_cascade_request *request,
                       struct sl_random *random)
{
    double pass[Sl_MAX_CASCADE_STEPS];
    size_t good[Sl_MAX_CASCADE_STEPS] = {0};
    size_t suspect[Sl_MAX_CASCADE_STEPS] = {0};
    assert(request->count > 0 && request->count <= Sl_MAX_CASCADE_STEPS);
    size_t good_count = select_steps(request, false, good);
    size_t suspect_count = select_steps(request, true, suspect);
    for (size_t i = 0; i < request->count; i++) {
        pass[i] = SlCascade_PassRate(cascade, request, i);
    }
    if (good_count == 0) {
        return plan_steps(request, pass, suspect, suspect_count);
    }
    size_t planned = plan_steps(request, pass, good, good_count);
    double draw = SlRandom_Unit(random);
    if (request->ratings_unavailable) {
        return planned;
    }
    if (suspect_count > 0 && draw < Sl_SUSPECT_SHARE) {
        return explore_step(request, planned, suspect, suspect_count, random);
    }
    if (draw >= 1 - Sl_EXPLORE_SHARE) {
        return explore_step(request, planned, good, good_count, random);
    }
    return planned;
}

static size_t
start_at_cheapest(const struct sl_cascade *cascade,
                  const struct sl_cascade_request *request,
                  struct sl_random *random)
{
    (void)cascade;
    (void)request;
    (void)random;
    return 0;
}

static size_t
start_at_dearest(const struct sl_cascade *cascade,
                 const struct sl_cascade_request *request,
                 struct sl_random *random)
{
    (void)cascade;
    (void)random;
    return request->count - 1;
}

/* ---- public ---- */

const struct sl_cascade_policy SlCascade_ExpectedCost = {
    "expected", start_at_expected_cost};

const struct sl_cascade_policy *const SlCascade_All[] = {
    &SlCascade_ExpectedCost,
    &(const struct sl_cascade_policy){"always-cheap-first", start_at_cheapest},
    &(const struct sl_cascade_policy){"always-dear", start_at_dearest}, NULL};

struct sl_cascade *
SlCascade_New(void)
{
    struct sl_cascade *cascade = g_new0(struct sl_cascade, 1);
    cascade->rates = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    g_queue_init(&cascade->by_update);
    return cascade;
}

void
SlCascade_Free(struct sl_cascade *cascade)
{
    if (cascade == NULL) {
        return;
    }
    g_queue_clear(&cascade->by_update);
    g_hash_table_destroy(cascade->rates);
    g_free(cascade);
}

void
SlCascade_Learn(struct sl_cascade *cascade, const struct sl_name *team,
                const struct sl_name *kind, const struct sl_name *version,
                bool accepted)
{
    struct sl_rate_key key = {*team, *kind, *version};
    struct sl_rate_key overall = {.version = *version};
    count_answer(find_or_add_rate(cascade, &key), accepted);
    count_answer(find_or_add_rate(cascade, &overall), accepted);
}

double
SlCascade_PassRate(const struct sl_cascade *cascade,
                   const struct sl_cascade_request *request, size_t step)
{
    struct sl_rate_key key = {request->team, request->kind,
                              request->steps[step].version};
    struct sl_rate_key overall = {.version = request->steps[step].version};
    double prior =
        posterior_mean(g_hash_table_lookup(cascade->rates, &overall),
                       request->steps[step].quality);
    return posterior_mean(g_hash_table_lookup(cascade->rates, &key), prior);
}

size_t
SlCascade_FirstStep(const struct sl_cascade_request *request,
                    const double *pass)
{
    size_t all[Sl_MAX_CASCADE_STEPS] = {0};
    for (size_t i = 0; i < request->count; i++) {
        all[i] = i;
    }
    return plan_steps(request, pass, all, request->count);
}

size_t
SlCascade_RateCount(const struct sl_cascade *cascade)
{
    return g_hash_table_size(cascade->rates);
}

bool
SlCascade_Accepts(double score, double quality)
{
    return score >= quality;
}
