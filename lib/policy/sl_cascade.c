/* Cascades: where to start, and what answer is good enough.
 *
 * A step's pass rate is the mean of a beta distribution whose counts decay.
 * Its prior is the rate of the version over all teams and kinds, whose own
 * prior is the label's quality. A plan is a chain of steps, each tried when
 * the one before did not pass; there are at most 2^Sl_MAX_CASCADE_STEPS
 * chains. */
#include "sl_policy.h"

#include <assert.h>
#include <math.h>

/* Answers that the next level's rate weighs, as pseudo-observations. */
#define Sl_PRIOR_ANSWERS 10.0
/* Answers after which one has lost most of its weight, so that a version
 * that changed is learned again. */
#define Sl_RATE_MEMORY 200.0
/* Rates remembered; past it the one unused for longest is forgotten. */
#define Sl_CASCADE_MAX_RATES 4096
/* Share of requests that start elsewhere, so that all rates stay known. */
#define Sl_EXPLORE_SHARE 0.02
/* Share of requests that may start at a suspect version. */
#define Sl_TRICKLE_SHARE 0.005
/* Spread of a step's time: the standard deviation of its logarithm. */
#define Sl_TIME_SPREAD 0.4
/* A step whose chance to end in time is below this is not started. */
#define Sl_MIN_IN_TIME 0.02
/* Time wanted for an exploring chain, as a multiple of the expected time. */
#define Sl_EXPLORE_HEADROOM 2
/* A plan meets the target when it misses by no more than this. */
#define Sl_QUALITY_SLACK 1e-9

/* ---- types ---- */

/* Empty team and kind: the version's rate over all of them. */
struct sl_rate_key {
    struct sl_name team;
    struct sl_name kind;
    struct sl_name version;
};

struct sl_rate {
    struct sl_rate_key key;
    double accepted;
    double tried;
    GList *use; /* its link in `by_use` */
};

struct sl_cascade {
    GHashTable *rates; /* struct sl_rate_key -> struct sl_rate, owned */
    GQueue by_use;     /* struct sl_rate, last learned at the tail */
};

/* What a chain of steps brings. */
struct sl_plan {
    double pass; /* probability of an accepted answer in time */
    double cost; /* expected, in millionths of the currency */
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

static struct sl_rate *
rate_of(struct sl_cascade *cascade, const struct sl_rate_key *key)
{
    struct sl_rate *rate = g_hash_table_lookup(cascade->rates, key);
    if (rate != NULL) {
        g_queue_unlink(&cascade->by_use, rate->use);
        g_queue_push_tail_link(&cascade->by_use, rate->use);
        return rate;
    }
    if (g_hash_table_size(cascade->rates) >= Sl_CASCADE_MAX_RATES) {
        struct sl_rate *oldest = g_queue_pop_head(&cascade->by_use);
        g_hash_table_remove(cascade->rates, &oldest->key);
    }
    rate = g_new0(struct sl_rate, 1);
    rate->key = *key;
    g_queue_push_tail(&cascade->by_use, rate);
    rate->use = g_queue_peek_tail_link(&cascade->by_use);
    g_hash_table_insert(cascade->rates, &rate->key, rate);
    return rate;
}

static void
learn(struct sl_rate *rate, bool accepted)
{
    double keep = 1 - 1 / Sl_RATE_MEMORY;
    rate->accepted = rate->accepted * keep + (accepted ? 1 : 0);
    rate->tried = rate->tried * keep + 1;
}

static double
posterior(const struct sl_rate *rate, double prior)
{
    if (rate == NULL) {
        return prior;
    }
    return (rate->accepted + Sl_PRIOR_ANSWERS * prior) /
           (rate->tried + Sl_PRIOR_ANSWERS);
}

/* ---- helpers: plans ---- */

/* True when `a` is the better plan for this target. */
static bool
is_better(struct sl_plan a, struct sl_plan b, double quality)
{
    bool a_meets = a.pass + Sl_QUALITY_SLACK >= quality;
    bool b_meets = b.pass + Sl_QUALITY_SLACK >= quality;
    if (a_meets != b_meets) {
        return a_meets;
    }
    if (!a_meets && a.pass != b.pass) {
        return a.pass > b.pass;
    }
    return a.cost < b.cost;
}

/* The chance that a step ends in time, for log-normal times. */
static double
in_time(const struct sl_cascade_step *step, int64_t time_left_us)
{
    if (time_left_us <= 0) {
        return 0;
    }
    double expected = (double)MAX(step->expected_us, 1);
    double deviations = log((double)time_left_us / expected) / Sl_TIME_SPREAD;
    return 0.5 * erfc(-deviations / sqrt(2));
}

/* The best chain among the steps from `first` on, started with `time_left_us`
 * left, after which the target still asks for `quality` of what comes here.
 * An answer that comes too late passes nothing. */
static struct sl_plan
best_chain(const struct sl_cascade_request *ask, const double *pass,
           size_t first, int64_t time_left_us, double quality, size_t *start)
{
    struct sl_plan best = {0, 0};
    *start = Sl_NO_CHOICE;
    for (size_t i = first; i < ask->count; i++) {
        const struct sl_cascade_step *step = &ask->steps[i];
        double timely = in_time(step, time_left_us);
        if (timely < Sl_MIN_IN_TIME) {
            continue;
        }
        struct sl_plan plan = {pass[i] * timely, (double)step->cost_micros};
        if (!ask->ratings_unavailable && pass[i] < 1) {
            size_t next;
            double rest = (quality - pass[i]) / (1 - pass[i]);
            struct sl_plan tail =
                best_chain(ask, pass, i + 1, time_left_us - step->expected_us,
                           rest, &next);
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

/* The quickest step, for a request that no step is expected to finish. */
static size_t
quickest(const struct sl_cascade_request *ask)
{
    size_t best = 0;
    for (size_t i = 1; i < ask->count; i++) {
        if (ask->steps[i].expected_us < ask->steps[best].expected_us) {
            best = i;
        }
    }
    return best;
}

/* Indices of the steps whose `suspect` is as given. */
static size_t
pick_steps(const struct sl_cascade_request *ask, bool suspect, size_t *indices)
{
    size_t count = 0;
    for (size_t i = 0; i < ask->count; i++) {
        if (ask->steps[i].suspect == suspect) {
            indices[count++] = i;
        }
    }
    return count;
}

/* The best start among the steps with these indices. */
static size_t
plan_among(const struct sl_cascade_request *ask, const double *pass,
           const size_t *indices, size_t count)
{
    struct sl_cascade_step steps[Sl_MAX_CASCADE_STEPS] = {0};
    double rates[Sl_MAX_CASCADE_STEPS] = {0};
    assert(count > 0);
    for (size_t i = 0; i < count; i++) {
        steps[i] = ask->steps[indices[i]];
        rates[i] = pass[indices[i]];
    }
    struct sl_cascade_request kept = *ask;
    kept.steps = steps;
    kept.count = count;
    size_t start;
    best_chain(&kept, rates, 0, ask->time_left_us, ask->quality, &start);
    return indices[start == Sl_NO_CHOICE ? quickest(&kept) : start];
}

/* One of the steps with these indices when the request still ends in time
 * after it, otherwise `planned`. */
static size_t
try_other(const struct sl_cascade_request *ask, size_t planned,
          const size_t *indices, size_t count, struct sl_random *random)
{
    size_t other = indices[SlRandom_Below(random, (uint32_t)count)];
    int64_t needed_us = ask->steps[other].expected_us;
    if (other != planned) {
        needed_us += ask->steps[planned].expected_us;
    }
    bool fits = needed_us * Sl_EXPLORE_HEADROOM <= ask->time_left_us;
    return fits ? other : planned;
}

/* ---- rules ---- */

static size_t
start_expected(const struct sl_cascade *cascade,
               const struct sl_cascade_request *ask, struct sl_random *random)
{
    double pass[Sl_MAX_CASCADE_STEPS];
    size_t good[Sl_MAX_CASCADE_STEPS] = {0};
    size_t suspect[Sl_MAX_CASCADE_STEPS] = {0};
    assert(ask->count > 0 && ask->count <= Sl_MAX_CASCADE_STEPS);
    size_t good_count = pick_steps(ask, false, good);
    size_t suspect_count = pick_steps(ask, true, suspect);
    for (size_t i = 0; i < ask->count; i++) {
        pass[i] = SlCascade_PassRate(cascade, ask, i);
    }
    if (good_count == 0) {
        return plan_among(ask, pass, suspect, suspect_count);
    }
    size_t planned = plan_among(ask, pass, good, good_count);
    double draw = SlRandom_Unit(random);
    if (ask->ratings_unavailable) {
        return planned;
    }
    if (suspect_count > 0 && draw < Sl_TRICKLE_SHARE) {
        return try_other(ask, planned, suspect, suspect_count, random);
    }
    if (draw >= 1 - Sl_EXPLORE_SHARE) {
        return try_other(ask, planned, good, good_count, random);
    }
    return planned;
}

static size_t
start_cheap(const struct sl_cascade *cascade,
            const struct sl_cascade_request *ask, struct sl_random *random)
{
    (void)cascade;
    (void)ask;
    (void)random;
    return 0;
}

static size_t
start_dear(const struct sl_cascade *cascade,
           const struct sl_cascade_request *ask, struct sl_random *random)
{
    (void)cascade;
    (void)random;
    return ask->count - 1;
}

/* ---- public ---- */

const struct sl_cascade_policy SlCascade_ExpectedCost = {"expected",
                                                         start_expected};

const struct sl_cascade_policy *const SlCascade_All[] = {
    &SlCascade_ExpectedCost,
    &(const struct sl_cascade_policy){"always-cheap-first", start_cheap},
    &(const struct sl_cascade_policy){"always-dear", start_dear}, NULL};

struct sl_cascade *
SlCascade_New(void)
{
    struct sl_cascade *cascade = g_new0(struct sl_cascade, 1);
    cascade->rates = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    g_queue_init(&cascade->by_use);
    return cascade;
}

void
SlCascade_Free(struct sl_cascade *cascade)
{
    if (cascade == NULL) {
        return;
    }
    g_queue_clear(&cascade->by_use);
    g_hash_table_destroy(cascade->rates);
    g_free(cascade);
}

void
SlCascade_Learn(struct sl_cascade *cascade, const struct sl_name *team,
                const struct sl_name *kind, const struct sl_name *version,
                bool accepted)
{
    struct sl_rate_key key = {*team, *kind, *version};
    struct sl_rate_key whole = {.version = *version};
    learn(rate_of(cascade, &key), accepted);
    learn(rate_of(cascade, &whole), accepted);
}

double
SlCascade_PassRate(const struct sl_cascade *cascade,
                   const struct sl_cascade_request *ask, size_t step)
{
    struct sl_rate_key key = {ask->team, ask->kind, ask->steps[step].version};
    struct sl_rate_key whole = {.version = ask->steps[step].version};
    double prior = posterior(g_hash_table_lookup(cascade->rates, &whole),
                             ask->steps[step].quality);
    return posterior(g_hash_table_lookup(cascade->rates, &key), prior);
}

size_t
SlCascade_Plan(const struct sl_cascade_request *ask, const double *pass)
{
    size_t all[Sl_MAX_CASCADE_STEPS] = {0};
    for (size_t i = 0; i < ask->count; i++) {
        all[i] = i;
    }
    return plan_among(ask, pass, all, ask->count);
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
