/*
 * Decides whether chance explains that a key is a suspect of several ends.
 *
 * A sound key is a suspect of an end if a call with it happens to be among
 * those that had not begun there. The share of the calls that hold the key
 * tells how often that happens; the number of such ends among all of the same
 * time is then binomial. A key that calls usually hold would also have begun
 * in the meantime.
 */
#include "sl_quarantine_internal.h"

#include <math.h>

/* Calls that have not begun when an engine ends, of all routers, and those of
 * them that have started. */
#define Sl_UNBEGUN_CALLS_PER_END 8
#define Sl_STARTED_CALLS_PER_END 2
/* Least ends by calls that had started at which a key is blocked, and largest
 * probability of these by chance. */
#define Sl_MIN_ENDS 3
#define Sl_MAX_CHANCE 1e-3
/* The same for a whole prompt that is a suspect of all ends of its time. Its
 * block concerns hardly any other requests. */
#define Sl_MIN_WHOLE_ENDS 2
#define Sl_MAX_WHOLE_CHANCE 0.02
/* The same for ends whatever the state of the calls, for a part. Engines that
 * end at once, for a reason of their own, have many calls that wait. */
#define Sl_MIN_WAITING_ENDS 4
#define Sl_MAX_WAITING_CHANCE 1e-4
#define Sl_MIN_WAITING_SPREAD_US Sl_US_PER_S
/* Calls with the key that are added to those counted, for its share: a key
 * that has not begun yet may do so. */
#define Sl_PRIOR_CALLS 0.5
/* Least recent calls that have begun: if hardly any do, the fault may be
 * that of the engines. */
#define Sl_MIN_BEGUN_CALLS 5
/* Largest share that counts, so that probabilities stay below 1. */
#define Sl_MAX_SHARE 0.9

/* Returns the probability of `least` successes or more in so many trials. */
static double
binomial_tail(unsigned least, unsigned trials, double success)
{
    double probability = pow(1 - success, trials); /* of i successes */
    double sum = 0;
    for (unsigned i = 0; i <= trials; i++) {
        sum += i >= least ? probability : 0;
        probability *=
            (double)(trials - i) / (i + 1) * success / (1 - success);
    }
    return sum;
}

/* Returns the probability that a sound key is a suspect of so many ends, if an
 * end has `calls` suspected calls. */
static double
sound_chance(const struct sl_blame *blame, unsigned ends, double calls)
{
    double share = blame->begun_share + Sl_PRIOR_CALLS / (blame->calls + 1);
    double per_end = 1 - pow(1 - MIN(share, Sl_MAX_SHARE), calls);
    return binomial_tail(ends, blame->ends_total, per_end) *
           pow(1 - blame->begun_share, blame->begun_since);
}

double
SlBlame_SoundChance(const struct sl_blame *blame)
{
    return sound_chance(blame, blame->ends, Sl_UNBEGUN_CALLS_PER_END);
}

double
SlBlame_SoundStartedChance(const struct sl_blame *blame)
{
    return sound_chance(blame, blame->started_ends, Sl_STARTED_CALLS_PER_END);
}

bool
SlBlame_IsGuilty(const struct sl_blame *blame)
{
    double started_chance = SlBlame_SoundStartedChance(blame);
    if (blame->calls < Sl_MIN_BEGUN_CALLS) {
        return false;
    }
    if (blame->started_ends >= Sl_MIN_ENDS &&
        started_chance <= Sl_MAX_CHANCE) {
        return true;
    }
    if (blame->is_whole) {
        return blame->started_ends >= Sl_MIN_WHOLE_ENDS &&
               blame->started_ends == blame->ends_total &&
               started_chance <= Sl_MAX_WHOLE_CHANCE;
    }
    return blame->ends >= Sl_MIN_WAITING_ENDS &&
           blame->spread_us >= Sl_MIN_WAITING_SPREAD_US &&
           SlBlame_SoundChance(blame) <= Sl_MAX_WAITING_CHANCE;
}
