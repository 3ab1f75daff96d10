/*
 * Two things are kept of an upstream. If it states its pace, the newest figure
 * counts in full at once and fades within the time that such a figure usually
 * holds; a measured one is too uncertain for that. The mean of all figures,
 * which decays slowly, tells upstreams that are slow for good from those that
 * were slow for a moment; it counts as far as its standard error allows. Peers
 * hear of the newest figure, and add it to a mean of their own: means that the
 * routers exchanged would confirm each other.
 */
#include "sl_pace.h"

#include <math.h>

/* Half-life of the newest figure, and time after which it counts for nothing.
 * Other work on the upstream's machine comes and goes within this time. */
#define Sl_FRESH_HALF_LIFE_US (200 * Sl_US_PER_MS)
#define Sl_FRESH_US (600 * Sl_US_PER_MS)
/* Half-life of the evidence on the mean. */
#define Sl_MEAN_HALF_LIFE_US (10 * Sl_US_PER_S)
/* Age beyond which the evidence counts for nothing. */
#define Sl_MEAN_LIFETIME_US (6 * Sl_MEAN_HALF_LIFE_US)
/* Figures that are closer to each other than this are likely to be of the same
 * spell, and count in proportion. */
#define Sl_INDEPENDENT_US (300 * Sl_US_PER_MS)
/* Standard deviation of a single figure that is assumed before any is known,
 * and the number of figures that this assumption counts as. */
#define Sl_ASSUMED_DEVIATION 1.0
#define Sl_ASSUMED_FIGURES 4.0
/* Standard errors by which the mean must differ from the usual pace to count
 * at all. */
#define Sl_MEAN_ERRORS 2.0
/* Stated figures outside of this range are errors of their senders. */
#define Sl_MIN_STATED_PERCENT 10
#define Sl_MAX_STATED_PERCENT 2000

/* Weighted figures; their weights decay with time. */
struct sl_pace_mean {
    double weight;
    double mean;
    double squares; /* weighted sum of squared differences from the mean */
    int64_t at_us;  /* when the newest figure was learned */
};

/* The newest figure. */
struct sl_fresh_pace {
    double factor; /* 0: none */
    int64_t at_us;
};

struct sl_pace {
    struct sl_pace_mean own;      /* of this router */
    struct sl_pace_mean reported; /* by peers */
    struct sl_fresh_pace newest;  /* of this router, stated or measured */
    struct sl_fresh_pace heard;   /* from a peer */
    int64_t stated_us; /* when the upstream last stated its pace; 0: never */
};

static double
bounded(double factor)
{
    return CLAMP(factor, Sl_PACE_MIN, Sl_PACE_MAX);
}

/* ---- means ---- */

/* Returns the part of a weight that is left after `age_us`. */
static double
decay(int64_t age_us, int64_t half_life_us)
{
    return exp2(-(double)MAX(age_us, 0) / (double)half_life_us);
}

static bool
has_evidence(const struct sl_pace_mean *mean, int64_t now_us)
{
    return mean->weight > 0 && now_us - mean->at_us < Sl_MEAN_LIFETIME_US;
}

static void
add_figure(struct sl_pace_mean *mean, int64_t at_us, double factor)
{
    double weight = 1;
    if (has_evidence(mean, at_us)) {
        int64_t pause_us = at_us - mean->at_us;
        double left = decay(pause_us, Sl_MEAN_HALF_LIFE_US);
        mean->weight *= left;
        mean->squares *= left;
        weight = MIN((double)pause_us / (double)Sl_INDEPENDENT_US, 1);
    }
    else {
        *mean = (struct sl_pace_mean){0};
    }
    double total = mean->weight + weight;
    mean->at_us = at_us;
    if (weight > 0) {
        double difference = factor - mean->mean;
        mean->mean += difference * weight / total;
        mean->squares += weight * difference * (factor - mean->mean);
        mean->weight = total;
    }
}

/* Returns the mean as its evidence counts now. */
static struct sl_pace_mean
decayed(const struct sl_pace_mean *mean, int64_t now_us)
{
    struct sl_pace_mean result = {0};
    if (has_evidence(mean, now_us)) {
        double left = decay(now_us - mean->at_us, Sl_MEAN_HALF_LIFE_US);
        result = *mean;
        result.weight *= left;
        result.squares *= left;
    }
    return result;
}

/* Returns the evidence of both. */
static struct sl_pace_mean
merge(const struct sl_pace_mean *a, const struct sl_pace_mean *b)
{
    double weight = a->weight + b->weight;
    if (a->weight == 0 || b->weight == 0) {
        return a->weight == 0 ? *b : *a;
    }
    double difference = b->mean - a->mean;
    return (struct sl_pace_mean){
        .weight = weight,
        .mean = a->mean + difference * b->weight / weight,
        .squares = a->squares + b->squares +
                   difference * difference * a->weight * b->weight / weight,
        .at_us = MAX(a->at_us, b->at_us),
    };
}

/* Returns the standard error of a mean with evidence. */
static double
error_of(const struct sl_pace_mean *mean)
{
    double variance =
        (mean->squares +
         Sl_ASSUMED_FIGURES * Sl_ASSUMED_DEVIATION * Sl_ASSUMED_DEVIATION) /
        (mean->weight + Sl_ASSUMED_FIGURES);
    return sqrt(variance / mean->weight);
}

/* Returns the mean, moved towards the usual pace by what chance explains. */
static double
shrunk(const struct sl_pace_mean *mean)
{
    if (mean->weight <= 0) {
        return 1;
    }
    double difference = mean->mean - 1;
    double chance = Sl_MEAN_ERRORS * error_of(mean);
    if (fabs(difference) <= chance) {
        return 1;
    }
    double counted = 1 - chance * chance / (difference * difference);
    return bounded(1 + difference * counted);
}

/* ---- the newest figure ---- */

/* Returns how much of the figure counts, 0 to 1. */
static double
freshness(const struct sl_fresh_pace *fresh, int64_t now_us)
{
    int64_t age_us = now_us - fresh->at_us;
    return fresh->factor == 0 || age_us >= Sl_FRESH_US
               ? 0
               : decay(age_us, Sl_FRESH_HALF_LIFE_US);
}

static const struct sl_fresh_pace *
newest_of(const struct sl_pace *pace)
{
    return pace->heard.at_us > pace->newest.at_us ? &pace->heard
                                                  : &pace->newest;
}

/* Returns true if the upstream states its pace, as far as this router knows.
 */
static bool
states_pace(const struct sl_pace *pace, int64_t now_us)
{
    return pace->stated_us != 0 &&
           now_us - pace->stated_us < Sl_MEAN_LIFETIME_US;
}

/* Handles a figure of this router. */
static void
add_own(struct sl_pace *pace, int64_t now_us, double factor)
{
    pace->newest = (struct sl_fresh_pace){bounded(factor), now_us};
    add_figure(&pace->own, now_us, pace->newest.factor);
}

/* ---- public ---- */

struct sl_pace *
SlPace_New(void)
{
    return g_new0(struct sl_pace, 1);
}

void
SlPace_Free(struct sl_pace *pace)
{
    g_free(pace);
}

void
SlPace_Reset(struct sl_pace *pace)
{
    *pace = (struct sl_pace){0};
}

void
SlPace_OnStated(struct sl_pace *pace, int64_t now_us, int64_t percent)
{
    if (percent < Sl_MIN_STATED_PERCENT || percent > Sl_MAX_STATED_PERCENT) {
        return;
    }
    if (!states_pace(pace, now_us)) {
        /* Measured times of before would count beside what is stated. */
        pace->own = (struct sl_pace_mean){0};
    }
    pace->stated_us = now_us;
    add_own(pace, now_us, (double)percent / 100);
}

void
SlPace_OnMeasured(struct sl_pace *pace, int64_t now_us, int64_t expected_us,
                  int64_t took_us)
{
    if (expected_us <= 0 || took_us < 0 || states_pace(pace, now_us)) {
        return;
    }
    add_own(pace, now_us, (double)took_us / (double)expected_us);
}

void
SlPace_OnReport(struct sl_pace *pace, int64_t now_us,
                const struct sl_gossip_pace *report)
{
    int64_t at_us = now_us - (int64_t)report->age_ms * Sl_US_PER_MS;
    if (report->percent < Sl_MIN_STATED_PERCENT ||
        report->percent > Sl_MAX_STATED_PERCENT ||
        now_us - at_us >= Sl_MEAN_LIFETIME_US ||
        (has_evidence(&pace->own, now_us) && at_us <= pace->own.at_us) ||
        (has_evidence(&pace->reported, now_us) &&
         at_us <= pace->reported.at_us)) {
        return;
    }
    pace->heard.factor = bounded(report->percent / 100.0);
    pace->heard.at_us = at_us;
    add_figure(&pace->reported, at_us, pace->heard.factor);
}

static enum sl_pace_source
source_of(const struct sl_pace *pace, const struct sl_pace_mean *newest,
          int64_t now_us)
{
    if (newest->weight <= 0) {
        return Sl_PACE_UNKNOWN;
    }
    if (has_evidence(&pace->reported, now_us) &&
        pace->reported.at_us == newest->at_us) {
        return Sl_PACE_REPORTED;
    }
    return states_pace(pace, now_us) ? Sl_PACE_STATED : Sl_PACE_MEASURED;
}

struct sl_upstream_pace
SlPace_Estimate(const struct sl_pace *pace, int64_t now_us)
{
    struct sl_pace_mean own = decayed(&pace->own, now_us);
    struct sl_pace_mean reported = decayed(&pace->reported, now_us);
    struct sl_pace_mean mean = merge(&own, &reported);
    struct sl_upstream_pace estimate = {
        .factor = shrunk(&mean),
        .source = source_of(pace, &mean, now_us),
    };
    if (estimate.source == Sl_PACE_UNKNOWN) {
        return estimate;
    }
    const struct sl_fresh_pace *fresh = newest_of(pace);
    double excess = fresh->factor - estimate.factor;
    if (excess > 0 && states_pace(pace, now_us)) {
        estimate.factor += excess * freshness(fresh, now_us);
    }
    estimate.doubt = error_of(&mean);
    estimate.age_us = now_us - mean.at_us;
    return estimate;
}

bool
SlPace_FillReport(const struct sl_pace *pace, int64_t now_us,
                  struct sl_gossip_pace *report)
{
    int64_t age_us = now_us - pace->newest.at_us;
    if (pace->newest.factor == 0 || age_us >= Sl_FRESH_US) {
        return false;
    }
    report->percent = (uint16_t)lround(100 * pace->newest.factor);
    report->age_ms = (uint32_t)(age_us / Sl_US_PER_MS);
    return true;
}
