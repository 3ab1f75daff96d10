/*
 * Bounds the number of requests that a roll-out's target version gets, its
 * exposure.
 *
 * Some faults do not show in a small share of the traffic, such as failures
 * under load. So until the order's time is over, the target gets no more
 * requests than the deployment allows to a bad version, whether or not any
 * response has shown that it is bad. At first it gets the canary share of the
 * sessions. The rest of the bound is kept for the end, when the target gets
 * all requests, and the versions that it replaces finish those they have.
 */
#include "sl_router_internal.h"

/* Canary share, as a share of `exposure_share`. A larger one finds a bad
 * version sooner; a smaller one leaves the last streams at the replaced
 * versions more time to end. */
#define Sl_CANARY_OF_EXPOSURE 0.55

double
SlExposure_CanaryShare(const struct sl_bounds *bounds)
{
    return Sl_CANARY_OF_EXPOSURE * bounds->exposure_share;
}

void
SlExposure_Add(struct sl_exposure *sum, const struct sl_gossip_calls *calls,
               int64_t for_us, bool is_live)
{
    sum->target_calls += calls->target;
    if (is_live && for_us > 0) {
        sum->per_s +=
            (double)calls->total * (double)Sl_US_PER_S / (double)for_us;
    }
}

/* Returns the estimated number of calls to the target: those that routers have
 * counted, or the number to expect from the canary share if that is more. A
 * router that has restarted since the order does not know of its earlier
 * calls. */
static double
estimate_target_calls(const struct sl_bounds *bounds,
                      const struct sl_exposure *exposure, int64_t elapsed_us)
{
    /* Time for which the target has got sessions. */
    double canary_s =
        (double)MAX(elapsed_us - bounds->session_us, 0) / (double)Sl_US_PER_S;
    return MAX(exposure->target_calls,
               SlExposure_CanaryShare(bounds) * exposure->per_s * canary_s);
}

bool
SlExposure_AllowsFullShare(const struct sl_bounds *bounds,
                           const struct sl_exposure *exposure,
                           int64_t elapsed_us, int64_t duration_us)
{
    double remaining_s =
        (double)MAX(duration_us - elapsed_us, 0) / (double)Sl_US_PER_S;
    double total_calls =
        exposure->per_s * (double)duration_us / (double)Sl_US_PER_S;
    double allowed_calls =
        bounds->exposure_share * total_calls + bounds->exposure_extra;
    return estimate_target_calls(bounds, exposure, elapsed_us) +
               exposure->per_s * remaining_s <=
           allowed_calls;
}
