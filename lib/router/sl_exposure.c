/*
 * Bounds the number of requests that a roll-out's target gets.
 *
 * Some faults do not show in a small share of the traffic, such as failures
 * under load. So until the order's time is over, the target gets no more
 * requests than the deployment allows to a bad version, whether or not any
 * response has shown that it is bad. What the bound leaves beside the canary
 * share is kept for the end, when the target gets all requests and the
 * versions that it replaces finish theirs.
 */
#include "sl_router_internal.h"

/* Part of the bound that the canary share takes. A larger one finds a bad
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

/* Returns the number of calls to the target: those that live routers have
 * counted, or as many as the canary share gives if that is more. Routers that
 * have restarted since do not know of earlier calls. */
static double
count_target_calls(const struct sl_bounds *bounds,
                   const struct sl_exposure *exposure, int64_t elapsed_us)
{
    double open_s =
        (double)MAX(elapsed_us - bounds->session_us, 0) / (double)Sl_US_PER_S;
    return MAX(exposure->target_calls,
               SlExposure_CanaryShare(bounds) * exposure->per_s * open_s);
}

bool
SlExposure_AllowsFullShare(const struct sl_bounds *bounds,
                           const struct sl_exposure *exposure,
                           int64_t elapsed_us, int64_t duration_us)
{
    double rest_s =
        (double)MAX(duration_us - elapsed_us, 0) / (double)Sl_US_PER_S;
    double all = exposure->per_s * (double)duration_us / (double)Sl_US_PER_S;
    double allowed = bounds->exposure_share * all + bounds->exposure_extra;
    return count_target_calls(bounds, exposure, elapsed_us) +
               exposure->per_s * rest_s <=
           allowed;
}
