/*
 * sl_pace: how long work takes at an upstream, relative to the usual.
 *
 * Upstreams of one service differ: their machines do, and they share these
 * with others. Some state their pace in each response. It changes many times
 * a second, so that a stated pace is used only while it is fresh. That of the
 * others is learned from the times of their responses, at all routers.
 *
 * A pace only shifts the choice between upstreams; it never ejects one. It is
 * bounded, and returns to the usual when nothing is heard. An upstream that is
 * slow at this moment is avoided at once, by all; one that is fast at this
 * moment attracts nothing until it has been fast for long, so that the routers
 * do not all choose the same one.
 *
 * One `struct sl_pace` is of one upstream. Nothing here has a clock or a
 * network. Times are in microseconds on the caller's monotonic clock.
 *
 * Sections, from simple to advanced:
 *   1. Pace       create, free
 *   2. Evidence   stated, measured, and reported by peers
 *   3. Estimates  the factor, its doubt and its source
 */
#ifndef Sl_PACE_H
#define Sl_PACE_H

#include "sl_gossip.h"

/* ---- 1. Pace ---------------------------------------------------------- */

/* Bounds of a factor. */
#define Sl_PACE_MIN 0.5
#define Sl_PACE_MAX 4.0

struct sl_pace;

/* Returns the pace of an upstream of which nothing is known; the caller frees
 * it. */
struct sl_pace *SlPace_New(void);
void SlPace_Free(struct sl_pace *pace);
/* Forgets all evidence: another process has taken the upstream's place. */
void SlPace_Reset(struct sl_pace *pace);

/* ---- 2. Evidence ------------------------------------------------------ */

/* Handles a response in which the upstream has stated its pace: `percent` of
 * the usual time, 100 for the usual. Figures that no machine would state are
 * ignored. */
void SlPace_OnStated(struct sl_pace *pace, int64_t now_us, int64_t percent);
/* Handles a response that took `took_us` and would usually have taken
 * `expected_us`, load and prompt considered. Ignored while the upstream states
 * its pace. */
void SlPace_OnMeasured(struct sl_pace *pace, int64_t now_us,
                       int64_t expected_us, int64_t took_us);
/* Handles a peer's report, `report->age_ms` old. One that is not newer than
 * what is known is ignored, so that what several peers repeat counts once. */
void SlPace_OnReport(struct sl_pace *pace, int64_t now_us,
                     const struct sl_gossip_pace *report);

/* ---- 3. Estimates ----------------------------------------------------- */

enum sl_pace_source {
    Sl_PACE_UNKNOWN, /* the usual pace is assumed */
    Sl_PACE_STATED,
    Sl_PACE_MEASURED,
    Sl_PACE_REPORTED, /* by a peer */
};

struct sl_upstream_pace {
    double factor;  /* of the usual time; 1: as usual */
    double doubt;   /* standard deviation of the factor, of the evidence */
    int64_t age_us; /* of the newest evidence; 0 if the source is UNKNOWN */
    enum sl_pace_source source;
};

struct sl_upstream_pace SlPace_Estimate(const struct sl_pace *pace,
                                        int64_t now_us);
/* Fills in the newest figure of this router, but for the upstream. Returns
 * false if there is none, or it is too old to be of use to the peers. */
bool SlPace_FillReport(const struct sl_pace *pace, int64_t now_us,
                       struct sl_gossip_pace *report);

#endif
