/* Choice of an upstream: the rule in use and the baselines beside it. */
#include "sl_policy.h"

#include <math.h>

/* Added to the expected finish time of another failure domain: a round trip
 * at about a millisecond one way. */
#define Sl_CROSS_DOMAIN_US 2000
/* Added when the version has to be loaded first. */
#define Sl_VERSION_LOAD_US (30 * Sl_US_PER_S)
/* A request in a full batch takes longer than alone by this share. */
#define Sl_BATCH_SLOWDOWN 0.5
/* Used while no candidate has finished a request. */
#define Sl_UNKNOWN_SERVICE_US Sl_US_PER_S
/* A mean time per request within this factor of the set's mean counts as that
 * mean: requests differ in size, so most of the difference is chance. */
#define Sl_SERVICE_NOISE 1.5
/* Candidates compared per choice. Entries that hold the same report differ
 * in the sample, so they don't all pick the same upstream. */
#define Sl_SAMPLES 2
/* Candidates beyond this number are not looked at. */
#define Sl_MAX_CANDIDATES 128

/* ---- helpers ---- */

/* What the whole candidate set says, for filling in what one lacks. */
struct sl_outlook {
    double utilisation; /* work as a share of limits */
    double service_us;
};

static double
limit_of(const struct sl_candidate *candidate)
{
    return (double)MAX(candidate->limit, 1);
}

static struct sl_outlook
outlook_of(const struct sl_candidate *candidates, size_t count)
{
    double work = 0;
    double limits = 0;
    double service_us = 0;
    size_t known = 0;
    for (size_t i = 0; i < count; i++) {
        work += (double)candidates[i].reported;
        limits += limit_of(&candidates[i]);
        if (candidates[i].service_time_us > 0) {
            service_us += (double)candidates[i].service_time_us;
            known++;
        }
    }
    return (struct sl_outlook){.utilisation = limits > 0 ? work / limits : 0,
                               .service_us = known > 0
                                                 ? service_us / (double)known
                                                 : Sl_UNKNOWN_SERVICE_US};
}

static double
service_of(const struct sl_candidate *candidate,
           const struct sl_outlook *outlook)
{
    double own_us = (double)candidate->service_time_us;
    bool differs = own_us > outlook->service_us * Sl_SERVICE_NOISE ||
                   own_us < outlook->service_us / Sl_SERVICE_NOISE;
    return own_us > 0 && differs ? own_us : outlook->service_us;
}

/* Requests expected at the upstream now. A report loses its worth as the
 * requests that it counted finish, and what replaces them is the average. */
static double
expected_work(const struct sl_candidate *candidate,
              const struct sl_outlook *outlook)
{
    double age_us = (double)MAX(candidate->report_age_us, 0);
    double worth = exp(-age_us / service_of(candidate, outlook));
    double average = outlook->utilisation * limit_of(candidate);
    double others =
        worth * (double)candidate->reported + (1 - worth) * average;
    double own = (double)candidate->local_in_flight;
    return MAX(others + (double)candidate->local_since_report, own);
}

static double
expected_finish(const struct sl_candidate *candidate,
                const struct sl_outlook *outlook)
{
    double limit = limit_of(candidate);
    double work = expected_work(candidate, outlook);
    double batch = Sl_BATCH_SLOWDOWN * MIN(work, limit) / limit;
    double wait = MAX(work + 1 - limit, 0) / limit;
    double finish = service_of(candidate, outlook) * (1 + batch + wait);
    finish += candidate->same_domain ? 0 : Sl_CROSS_DOMAIN_US;
    finish += candidate->loaded ? 0 : (double)Sl_VERSION_LOAD_US;
    return finish;
}

/* A cold upstream that bears no more is left alone while others can do. One
 * that is known to be idle is not: with a limit of 1, the share that an old
 * report is filled up with would keep it out for good. */
static bool
is_full_and_cold(const struct sl_candidate *candidate,
                 const struct sl_outlook *outlook)
{
    uint64_t known = candidate->reported + candidate->local_since_report +
                     candidate->local_in_flight;
    return candidate->warm < 1 && known > 0 &&
           expected_work(candidate, outlook) + 1 > limit_of(candidate);
}

/* An index drawn by weight; Sl_NO_CHOICE when all weights are 0. */
static size_t
draw(const double *weights, size_t count, struct sl_random *random)
{
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += weights[i];
    }
    double left = SlRandom_Unit(random) * sum;
    size_t last = Sl_NO_CHOICE;
    for (size_t i = 0; i < count; i++) {
        if (weights[i] <= 0) {
            continue;
        }
        last = i;
        left -= weights[i];
        if (left < 0) {
            return i;
        }
    }
    return last;
}

/* Weights are limits; a cold and full upstream has none, unless all are. */
static void
weigh(const struct sl_candidate *candidates, size_t count,
      const struct sl_outlook *outlook, double *weights)
{
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        bool left_alone = is_full_and_cold(&candidates[i], outlook);
        weights[i] = left_alone ? 0 : limit_of(&candidates[i]);
        sum += weights[i];
    }
    for (size_t i = 0; i < count && sum <= 0; i++) {
        weights[i] = limit_of(&candidates[i]);
    }
}

/* The index with the least `key`, ties broken at random. */
static size_t
least(const struct sl_candidate *candidates, size_t count,
      struct sl_random *random, double (*key)(const struct sl_candidate *))
{
    size_t best = Sl_NO_CHOICE;
    double best_key = 0;
    uint32_t ties = 0;
    for (size_t i = 0; i < count; i++) {
        double value = key(&candidates[i]);
        if (best == Sl_NO_CHOICE || value < best_key) {
            best = i;
            best_key = value;
            ties = 1;
        }
        else if (value == best_key) {
            ties++;
            best = SlRandom_Below(random, ties) == 0 ? i : best;
        }
    }
    return best;
}

static double
requests_key(const struct sl_candidate *candidate)
{
    return (double)MAX(candidate->local_in_flight, candidate->reported);
}

static double
own_key(const struct sl_candidate *candidate)
{
    return (double)candidate->local_in_flight;
}

static double
sent_key(const struct sl_candidate *candidate)
{
    return (double)candidate->local_sent;
}

/* Sum of the estimated costs of pending requests: the sender's own estimate
 * for its own, the mean for those that only the report knows. */
static double
cost_key(const struct sl_candidate *candidate)
{
    uint64_t own = candidate->local_in_flight;
    uint64_t others =
        candidate->reported > own ? candidate->reported - own : 0;
    return (double)candidate->local_cost_us +
           (double)others * (double)candidate->service_time_us;
}

/* ---- rules ---- */

static size_t
choose_finish(const struct sl_candidate *candidates, size_t count,
              struct sl_random *random)
{
    double weights[Sl_MAX_CANDIDATES];
    count = MIN(count, Sl_MAX_CANDIDATES);
    struct sl_outlook outlook = outlook_of(candidates, count);
    weigh(candidates, count, &outlook, weights);
    size_t best = Sl_NO_CHOICE;
    double best_finish = 0;
    for (size_t i = 0; i < Sl_SAMPLES; i++) {
        size_t next = draw(weights, count, random);
        if (next == Sl_NO_CHOICE) {
            break;
        }
        weights[next] = 0;
        double finish = expected_finish(&candidates[next], &outlook);
        if (best == Sl_NO_CHOICE || finish < best_finish) {
            best = next;
            best_finish = finish;
        }
    }
    return best;
}

static size_t
choose_random(const struct sl_candidate *candidates, size_t count,
              struct sl_random *random)
{
    (void)candidates;
    return count > 0 ? SlRandom_Below(random, (uint32_t)count) : Sl_NO_CHOICE;
}

static size_t
choose_round_robin(const struct sl_candidate *candidates, size_t count,
                   struct sl_random *random)
{
    return least(candidates, count, random, sent_key);
}

static size_t
choose_least_requests(const struct sl_candidate *candidates, size_t count,
                      struct sl_random *random)
{
    return least(candidates, count, random, own_key);
}

static size_t
choose_two(const struct sl_candidate *candidates, size_t count,
           struct sl_random *random)
{
    if (count < 2) {
        return count == 1 ? 0 : Sl_NO_CHOICE;
    }
    size_t first = SlRandom_Below(random, (uint32_t)count);
    size_t second = SlRandom_Below(random, (uint32_t)count - 1);
    second += second >= first;
    return requests_key(&candidates[first]) <=
                   requests_key(&candidates[second])
               ? first
               : second;
}

static size_t
choose_least_cost(const struct sl_candidate *candidates, size_t count,
                  struct sl_random *random)
{
    return least(candidates, count, random, cost_key);
}

/* ---- public ---- */

const struct sl_balancer SlBalancer_ExpectedFinish = {"finish", choose_finish};

const struct sl_balancer *const SlBalancer_All[] = {
    &SlBalancer_ExpectedFinish,
    &(const struct sl_balancer){"random", choose_random},
    &(const struct sl_balancer){"round-robin", choose_round_robin},
    &(const struct sl_balancer){"least-requests", choose_least_requests},
    &(const struct sl_balancer){"two-choices", choose_two},
    &(const struct sl_balancer){"least-cost", choose_least_cost},
    NULL};
