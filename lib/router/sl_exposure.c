/*
 * How many of a service's requests a roll-out's target may get.
 *
 * Answers versions whose faults no small share of the traffic shows, such as
 * one that fails only under load: until the order's time is over they get no
 * more than the deployment bounds for a bad version, whether or not any answer
 * has told that they are bad. What the bound leaves beside the canary share is
 * kept for the end, when the target has all requests and the versions that it
 * replaces finish theirs.
 */
#include "sl_router_internal.h"

/* Part of the bound that the canary share takes. More finds a bad version
 * sooner; less leaves the last streams at the versions to be left more time
 * to end. */
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
            (double)calls->all * (double)Sl_US_PER_S / (double)for_us;
    }
}

/* Calls that the target has had, as far as the routers that live know, or as
 * many as its share says: routers that started since then have not counted
 * them. */
static double
target_calls(const struct sl_bounds *bounds,
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
    return target_calls(bounds, exposure, elapsed_us) +
               exposure->per_s * rest_s <=
           allowed;
}
