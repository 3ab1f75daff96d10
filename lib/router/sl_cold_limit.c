/*
 * How much of a cold upstream's allowance one router may use. Answers the
 * load of upstreams that start, or come back, while callers wait: all routers
 * together must stay within the rate that the upstream bears, and none of
 * them asks another.
 *
 * The allowance is split evenly among the routers that are known, silent ones
 * too: a router that is cut off from the others still reaches upstreams.
 * Where that gives less than one request a second to each, only as many
 * routers as there are requests a second take part, chosen by hash of the
 * upstream; so no second holds one request of each of a large fleet. A pause
 * that does not divide a second lets some seconds hold one request more of
 * each router; where that, and one router that is not known, would be too much
 * for the deployment's bound, the pause is lengthened until it does. When the
 * belief is wrong by half, the sum is twice the bound for as long as that
 * lasts.
 */
#include "sl_router_internal.h"

#include <math.h>

int64_t
SlColdLimit_IntervalUs(const struct sl_bounds *bounds, double per_s,
                       size_t fleet, size_t rank)
{
    assert(per_s > 0 && fleet > 0);
    double most = bounds->cold_overshoot * per_s + bounds->cold_extra;
    size_t sharers = (size_t)MAX(floor(per_s), 1);
    if (fleet <= sharers) {
        sharers = fleet;
    }
    else if (rank >= sharers) {
        return Sl_NEVER_US;
    }
    double each = per_s / (double)sharers;
    if (each > 1 && (double)(sharers + 1) * ceil(each) > most) {
        each = floor(each);
    }
    return (int64_t)ceil((double)Sl_US_PER_S / each);
}

bool
SlColdLimit_IsCold(const struct sl_router *router,
                   const struct sl_upstream *upstream,
                   const struct sl_route_service *service)
{
    return service->cold_per_s > 0 && upstream->cold_until_us > router->now_us;
}

int64_t
SlColdLimit_NextUs(const struct sl_router *router,
                   const struct sl_upstream *upstream,
                   const struct sl_route_service *service)
{
    if (!SlColdLimit_IsCold(router, upstream, service)) {
        return router->now_us;
    }
    int64_t gap = SlColdLimit_IntervalUs(
        &router->options.bounds, service->cold_per_s,
        SlPeers_SharerCount(router),
        SlPeers_Rank(router, SlName_Str(&upstream->reg.id)));
    if (gap == Sl_NEVER_US) {
        return upstream->cold_until_us;
    }
    return upstream->cold_sent_us == 0
               ? router->now_us
               : MAX(upstream->cold_sent_us + gap, router->now_us);
}
