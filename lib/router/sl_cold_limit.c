/*
 * Limits the rate of requests to a cold upstream. While an upstream starts,
 * all routers together must stay within the rate that it can take, without
 * coordination.
 *
 * The rate is split equally among the routers that are known, including those
 * that have fallen silent: a router that is cut off from the others still
 * reaches upstreams. If that would give each router less than one request a
 * second, only as many routers send any as the rate has requests a second.
 * They are chosen by a hash of the upstream. Otherwise one second could
 * contain a request of each router of a large fleet.
 *
 * If the interval between a router's requests does not divide a second, some
 * seconds contain one more request of that router. If these requests, plus
 * those of one unknown router, would exceed the deployment's bound, the
 * interval is lengthened to one that divides a second. If each router knows
 * only half of the routers, all together send up to twice the bound for as
 * long as that lasts.
 */
#include "sl_router_internal.h"

#include <math.h>

int64_t
SlColdLimit_IntervalUs(const struct sl_bounds *bounds, double per_s,
                       size_t fleet, size_t rank)
{
    assert(per_s > 0 && fleet > 0);
    double max_per_s = bounds->cold_overshoot * per_s + bounds->cold_extra;
    size_t sharers = (size_t)MAX(floor(per_s), 1);
    if (fleet <= sharers) {
        sharers = fleet;
    }
    else if (rank >= sharers) {
        return Sl_NEVER_US;
    }
    double router_per_s = per_s / (double)sharers;
    if (router_per_s > 1 &&
        (double)(sharers + 1) * ceil(router_per_s) > max_per_s) {
        router_per_s = floor(router_per_s);
    }
    return (int64_t)ceil((double)Sl_US_PER_S / router_per_s);
}

bool
SlColdLimit_IsCold(const struct sl_router *router,
                   const struct sl_router_upstream *upstream,
                   const struct sl_route_service *service)
{
    return service->cold_requests_per_s > 0 &&
           upstream->cold_until_us > router->now_us;
}

int64_t
SlColdLimit_NextUs(const struct sl_router *router,
                   const struct sl_router_upstream *upstream,
                   const struct sl_route_service *service)
{
    if (!SlColdLimit_IsCold(router, upstream, service)) {
        return router->now_us;
    }
    int64_t interval_us = SlColdLimit_IntervalUs(
        &router->options.bounds, service->cold_requests_per_s,
        SlPeers_AllowanceSharerCount(router),
        SlPeers_Rank(router, SlName_Str(&upstream->registration.id)));
    if (interval_us == Sl_NEVER_US) {
        return upstream->cold_until_us;
    }
    return upstream->cold_sent_us == 0
               ? router->now_us
               : MAX(upstream->cold_sent_us + interval_us, router->now_us);
}
