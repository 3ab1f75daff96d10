/* Load balancing: the default algorithm and the baselines that the benchmarks
 * compare it with. */
#include "sl_policy.h"

#include <math.h>

/* Added to the expected finish time of a candidate in another failure domain:
 * a round trip, at about 1 ms one way. */
#define Sl_CROSS_DOMAIN_US 2000
/* Added to the expected finish time of a candidate that must load the version
 * first. */
#define Sl_VERSION_LOAD_US (30 * Sl_US_PER_S)
/* A request in a full batch takes this share longer than one alone. */
#define Sl_BATCH_SLOWDOWN 0.5
/* Service time assumed while no candidate has finished a request. */
#define Sl_UNKNOWN_SERVICE_US Sl_US_PER_S
/* A candidate whose service time is within this factor of the mean of all
 * candidates is given the mean: requests differ in size, so most of such a
 * difference is chance. */
#define Sl_SERVICE_NOISE 1.5
/* Candidates sampled and compared per choice. Entries that hold the same
 * report draw different samples, so they don't all pick one upstream. */
#define Sl_SAMPLED_CANDIDATES 2
/* Candidates beyond this number are ignored. */
#define Sl_MAX_CANDIDATES 128

/* ---- helpers ---- */

/* Averages over all candidates, used where a candidate lacks a value. */
struct sl_candidate_averages {
    double utilisation; /* reported requests as a share of the limits */
    double service_us;  /* time of one request */
};

/* The candidate's concurrency limit; at least 1, so that it can be divided
 * by. */
static double
limit_of(const struct sl_candidate *candidate)
{
    return (double)MAX(candidate->limit, 1);
}

static struct sl_candidate_averages
averages_of(const struct sl_candidate *candidates, size_t count)
{
    double reported_sum = 0;
    double limit_sum = 0;
    double service_sum_us = 0;
    size_t known_count = 0;
    for (size_t i = 0; i < count; i++) {
        reported_sum += (double)candidates[i].reported;
        limit_sum += limit_of(&candidates[i]);
        if (candidates[i].service_time_us > 0) {
            service_sum_us += (double)candidates[i].service_time_us;
            known_count++;
        }
    }
    return (struct sl_candidate_averages){
        .utilisation = limit_sum > 0 ? reported_sum / limit_sum : 0,
        .service_us = known_count > 0 ? service_sum_us / (double)known_count
                                      : Sl_UNKNOWN_SERVICE_US};
}

/* The candidate's service time if it clearly differs from the mean, otherwise
 * the mean; see Sl_SERVICE_NOISE. */
static double
service_us_of(const struct sl_candidate *candidate,
              const struct sl_candidate_averages *averages)
{
    double reported_us = (double)candidate->service_time_us;
    bool differs = reported_us > averages->service_us * Sl_SERVICE_NOISE ||
                   reported_us < averages->service_us / Sl_SERVICE_NOISE;
    return reported_us > 0 && differs ? reported_us : averages->service_us;
}

/* Estimates the number of requests at the upstream now. The weight of a report
 * decays as the requests that it counted finish; the average utilisation takes
 * the place of what is lost. */
static double
expected_requests(const struct sl_candidate *candidate,
                  const struct sl_candidate_averages *averages)
{
    double age_us = (double)MAX(candidate->report_age_us, 0);
    double weight = exp(-age_us / service_us_of(candidate, averages));
    double average = averages->utilisation * limit_of(candidate);
    double at_report =
        weight * (double)candidate->reported + (1 - weight) * average;
    double own = (double)candidate->local_in_flight;
    return MAX(at_report + (double)candidate->local_since_report, own);
}

/* Estimates the time in microseconds until the upstream would finish the
 * request. */
static double
expected_finish_us(const struct sl_candidate *candidate,
                   const struct sl_candidate_averages *averages)
{
    double limit = limit_of(candidate);
    double requests = expected_requests(candidate, averages);
    /* Slowdown by the batch and wait for a slot, in service times. */
    double batch = Sl_BATCH_SLOWDOWN * MIN(requests, limit) / limit;
    double wait = MAX(requests + 1 - limit, 0) / limit;
    double finish_us = service_us_of(candidate, averages) * (1 + batch + wait);
    finish_us += candidate->same_domain ? 0 : Sl_CROSS_DOMAIN_US;
    finish_us += candidate->loaded ? 0 : (double)Sl_VERSION_LOAD_US;
    return finish_us;
}

/* Returns true for a cold upstream that is at its limit: it gets no requests
 * while others can take them. An upstream without known requests never counts
 * as full: with a limit of 1, the average that replaces an old report would
 * keep requests away from it for good. */
static bool
is_full_and_cold(const struct sl_candidate *candidate,
                 const struct sl_candidate_averages *averages)
{
    uint64_t known_count = candidate->reported +
                           candidate->local_since_report +
                           candidate->local_in_flight;
    return candidate->warm < 1 && known_count > 0 &&
           expected_requests(candidate, averages) + 1 > limit_of(candidate);
}

/* Draws an index with probabilities proportional to the weights. Returns
 * Sl_NO_CHOICE if all weights are 0. */
static size_t
draw(const double *weights, size_t count, struct sl_random *random)
{
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += weights[i];
    }
    double remainder = SlRandom_Unit(random) * sum;
    size_t last = Sl_NO_CHOICE;
    for (size_t i = 0; i < count; i++) {
        if (weights[i] <= 0) {
            continue;
        }
        last = i;
        remainder -= weights[i];
        if (remainder < 0) {
            return i;
        }
    }
    return last; /* all weights are 0, or a rounding error left a remainder */
}

/* Sets each weight to the candidate's limit, or to 0 if it is cold and full.
 * If all are cold and full, all get their limits. */
static void
set_weights(const struct sl_candidate *candidates, size_t count,
            const struct sl_candidate_averages *averages, double *weights)
{
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        bool excluded = is_full_and_cold(&candidates[i], averages);
        weights[i] = excluded ? 0 : limit_of(&candidates[i]);
        sum += weights[i];
    }
    for (size_t i = 0; i < count && sum <= 0; i++) {
        weights[i] = limit_of(&candidates[i]);
    }
}

/* Returns the index of the candidate with the lowest `key`; ties are broken at
 * random. */
static size_t
least_by_key(const struct sl_candidate *candidates, size_t count,
             struct sl_random *random,
             double (*key)(const struct sl_candidate *))
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
known_requests(const struct sl_candidate *candidate)
{
    return (double)MAX(candidate->local_in_flight, candidate->reported);
}

static double
local_requests(const struct sl_candidate *candidate)
{
    return (double)candidate->local_in_flight;
}

static double
local_requests_sent(const struct sl_candidate *candidate)
{
    return (double)candidate->local_sent;
}

/* Estimated time in microseconds of all pending requests at the candidate:
 * this entry's estimates for the requests that it sent, the mean service time
 * for all others. */
static double
pending_cost_us(const struct sl_candidate *candidate)
{
    uint64_t own = candidate->local_in_flight;
    uint64_t others =
        candidate->reported > own ? candidate->reported - own : 0;
    return (double)candidate->local_cost_us +
           (double)others * (double)candidate->service_time_us;
}

/* ---- algorithms ---- */

static size_t
choose_expected_finish(const struct sl_candidate *candidates, size_t count,
                       struct sl_random *random)
{
    double weights[Sl_MAX_CANDIDATES];
    count = MIN(count, Sl_MAX_CANDIDATES);
    struct sl_candidate_averages averages = averages_of(candidates, count);
    set_weights(candidates, count, &averages, weights);
    size_t best = Sl_NO_CHOICE;
    double best_finish_us = 0;
    for (size_t i = 0; i < Sl_SAMPLED_CANDIDATES; i++) {
        size_t next = draw(weights, count, random);
        if (next == Sl_NO_CHOICE) {
            break;
        }
        weights[next] = 0;
        double finish_us = expected_finish_us(&candidates[next], &averages);
        if (best == Sl_NO_CHOICE || finish_us < best_finish_us) {
            best = next;
            best_finish_us = finish_us;
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
    return least_by_key(candidates, count, random, local_requests_sent);
}

static size_t
choose_least_requests(const struct sl_candidate *candidates, size_t count,
                      struct sl_random *random)
{
    return least_by_key(candidates, count, random, local_requests);
}

static size_t
choose_two_random(const struct sl_candidate *candidates, size_t count,
                  struct sl_random *random)
{
    if (count < 2) {
        return count == 1 ? 0 : Sl_NO_CHOICE;
    }
    size_t first = SlRandom_Below(random, (uint32_t)count);
    size_t second = SlRandom_Below(random, (uint32_t)count - 1);
    second += second >= first;
    return known_requests(&candidates[first]) <=
                   known_requests(&candidates[second])
               ? first
               : second;
}

static size_t
choose_least_cost(const struct sl_candidate *candidates, size_t count,
                  struct sl_random *random)
{
    return least_by_key(candidates, count, random, pending_cost_us);
}

/* ---- public ---- */

const struct sl_balancer SlBalancer_ExpectedFinish = {"finish",
                                                      choose_expected_finish};

const struct sl_balancer *const SlBalancer_All[] = {
    &SlBalancer_ExpectedFinish,
    &(const struct sl_balancer){"random", choose_random},
    &(const struct sl_balancer){"round-robin", choose_round_robin},
    &(const struct sl_balancer){"least-requests", choose_least_requests},
    &(const struct sl_balancer){"two-choices", choose_two_random},
    &(const struct sl_balancer){"least-cost", choose_least_cost},
    NULL};
