/* Chooses the upstream for a request: the one with the least estimated time to
 * the first event, where load, prefill backlog, cached prefix parts, cold
 * starts and failures count. */
#include "sl_router_internal.h"

/* Traffic between failure domains is expensive: an upstream in another domain
 * must promise the first event sooner by this share of the route's latency
 * objective. */
#define Sl_OTHER_DOMAIN_SHARE 0.2
/* A plain service slows down when it is nearly full: extra time of a full
 * upstream over an idle one. */
#define Sl_FULL_LOAD_US (100 * Sl_US_PER_MS)
/* Each stream at an engine slows down all others there, from the first to the
 * last event: cost per stream, summed over the run. */
#define Sl_STREAM_COST_US (60 * Sl_US_PER_MS)
/* During prefill, the other streams of the engine make hardly any progress:
 * this part of the prefill time counts for each of them. */
#define Sl_PREFILL_STALL_SHARE 0.1
/* Prefill of an uncached token costs more than its time: the new cache entry
 * takes the memory of others. */
#define Sl_UNCACHED_COST_US_PER_TOKEN 20
/* Largest cost of an upstream by the hash of the session, which spreads
 * prompts that no upstream has cached yet, in the same way at each router. */
#define Sl_AFFINITY_COST_US (100 * Sl_US_PER_MS)
/* Cost of an upstream that the request has tried: it is the last choice. */
#define Sl_TRIED_US (60 * Sl_US_PER_S)
/* An upstream is full with this many times its slots in flight. It queues a
 * few requests itself, which start sooner there than if they waited here. */
#define Sl_FULL_SLOTS_FACTOR 2
/* Least estimated time until a full upstream has room. */
#define Sl_MIN_FREE_SLOT_US Sl_US_PER_MS
/* Slots of an upstream that does not register any. */
#define Sl_DEFAULT_SLOTS 8
/* Latency objective of a route that has none. */
#define Sl_DEFAULT_TARGET_US Sl_US_PER_S

static bool
was_tried(const struct sl_routed_request *request, const struct sl_name *id)
{
    return SlName_IsListed(request->tried, request->tried_count, id);
}

static bool
matches_version_rule(const struct sl_router *router,
                     const struct sl_routed_request *request,
                     const struct sl_router_upstream *upstream,
                     enum sl_version_rule rule)
{
    if (rule == Sl_VERSION_ANY) {
        return true;
    }
    const struct sl_name *target =
        SlRollouts_Target(router, &request->service->name);
    bool is_target = SlName_Equal(&upstream->registration.version, target);
    return is_target == (rule == Sl_VERSION_TARGET);
}

/* Returns true if the list contains the region, or is empty. */
static bool
allows(const struct sl_name *regions, size_t count,
       const struct sl_name *region)
{
    return count == 0 || SlName_IsListed(regions, count, region);
}

/* Returns true if route and team allow the upstream's region. An unknown
 * region is allowed only if all are. */
static bool
is_in_allowed_region(const struct sl_router *router,
                     const struct sl_routed_request *request,
                     const struct sl_router_upstream *upstream)
{
    const struct sl_route *route = request->route;
    const struct sl_team *team = request->team;
    struct sl_name region = SlName_Of("");
    if (route->region_count == 0 &&
        (team == NULL || team->region_count == 0)) {
        return true;
    }
    for (size_t i = 0; i < router->options.domain_count; i++) {
        const struct sl_domain *domain = &router->options.domains[i];
        if (SlName_Equal(&domain->name, &upstream->registration.domain)) {
            region = domain->region;
        }
    }
    return allows(route->regions, route->region_count, &region) &&
           (team == NULL ||
            allows(team->regions, team->region_count, &region));
}

static bool
serves(const struct sl_router *router, const struct sl_routed_request *request,
       const struct sl_router_upstream *upstream, enum sl_version_rule rule)
{
    return SlUpstreams_TakesWork(upstream) &&
           SlName_Equal(&upstream->registration.service,
                        &request->service->name) &&
           !SlUpstreams_IsEvacuated(router, &upstream->registration.domain) &&
           is_in_allowed_region(router, request, upstream) &&
           matches_version_rule(router, request, upstream, rule);
}

static int64_t
slots_of(const struct sl_router_upstream *upstream)
{
    return upstream->registration.slots > 0 ? upstream->registration.slots
                                            : Sl_DEFAULT_SLOTS;
}

/* Returns the earliest time at which the upstream could take another request.
 */
static int64_t
free_at(const struct sl_router *router,
        const struct sl_routed_request *request,
        const struct sl_router_upstream *upstream)
{
    int64_t at = SlColdLimit_NextUs(router, upstream, request->service);
    at = MAX(at, upstream->ejected_until_us);
    at = MAX(at, upstream->backoff_until_us);
    if (SlUpstreams_Load(router, upstream) >=
        Sl_FULL_SLOTS_FACTOR * slots_of(upstream)) {
        /* Estimated time until one of its requests ends. */
        int64_t until_end_us =
            SlLatency_MeanRunUs(router, &request->service->name) /
            slots_of(upstream);
        return MAX(at,
                   router->now_us + MAX(until_end_us, Sl_MIN_FREE_SLOT_US));
    }
    return at;
}

static int64_t
uncached_of(const struct sl_routed_request *request,
            const struct sl_router_upstream *upstream)
{
    return request->service->is_engine
               ? SlUpstreams_UncachedTokens(request, upstream)
               : 0;
}

/* Returns the estimated time to the first event. Engines interleave prefill
 * with the tokens of other streams, which delays it. */
static int64_t
first_event_us(const struct sl_router *router,
               const struct sl_routed_request *request,
               const struct sl_router_upstream *upstream)
{
    int64_t load = SlUpstreams_Load(router, upstream);
    if (!request->service->is_engine) {
        return Sl_FULL_LOAD_US * load / slots_of(upstream);
    }
    struct sl_name model = {0};
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    int64_t prefill_us =
        SlLatency_PrefillUs(router, &model, uncached_of(request, upstream));
    return SlUpstreams_PrefillBacklogUs(router, upstream) + prefill_us +
           (int64_t)(Sl_PREFILL_STALL_SHARE * (double)(prefill_us * load));
}

/* Returns that time plus the other costs of the choice, converted to time.
 */
static int64_t
cost_of(const struct sl_router *router,
        const struct sl_routed_request *request,
        const struct sl_router_upstream *upstream)
{
    const struct sl_route *route = request->route;
    int64_t target = route->target_latency_us > 0 ? route->target_latency_us
                                                  : Sl_DEFAULT_TARGET_US;
    int64_t cost = first_event_us(router, request, upstream);
    if (request->service->is_engine) {
        cost +=
            Sl_UNCACHED_COST_US_PER_TOKEN * uncached_of(request, upstream) +
            Sl_STREAM_COST_US * SlUpstreams_Load(router, upstream);
    }
    if (!SlName_Equal(&upstream->registration.domain,
                      &router->options.domain)) {
        cost += (int64_t)(Sl_OTHER_DOMAIN_SHARE * (double)target);
    }
    if (request->session != 0) {
        uint64_t weight = SlHash_Bytes(request->session,
                                       SlName_Str(&upstream->registration.id));
        cost += (int64_t)((double)Sl_AFFINITY_COST_US *
                          (double)(weight >> 11) * 0x1.0p-53);
    }
    if (was_tried(request, &upstream->registration.id) ||
        upstream == request->upstream_call.upstream) {
        cost += Sl_TRIED_US;
    }
    return cost;
}

static void
consider(struct sl_placement *placement, struct sl_router_upstream *upstream,
         int64_t cost)
{
    if (placement->upstream == NULL || cost < placement->cost_us) {
        placement->second_best = placement->upstream;
        placement->second_cost_us = placement->cost_us;
        placement->upstream = upstream;
        placement->cost_us = cost;
    }
    else if (placement->second_best == NULL ||
             cost < placement->second_cost_us) {
        placement->second_best = upstream;
        placement->second_cost_us = cost;
    }
}

struct sl_placement
SlPlacement_Choose(struct sl_router *router,
                   const struct sl_routed_request *request)
{
    struct sl_placement placement = {.wait_us = Sl_NEVER_US};
    GHashTableIter iter;
    gpointer value;
    enum sl_version_rule rule = SlRollouts_VersionRule(router, request);
    unsigned backing_off = 0;
    SlPeers_SumLoads(router);
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_upstream *upstream = value;
        if (!serves(router, request, upstream, rule)) {
            continue;
        }
        placement.serving_count++;
        int64_t at = free_at(router, request, upstream);
        if (at > router->now_us) {
            placement.full_count++;
            backing_off +=
                SlUpstreamNotices_IsBackingOff(router, upstream) ? 1 : 0;
            placement.wait_us = MIN(placement.wait_us, at - router->now_us);
            continue;
        }
        consider(&placement, upstream, cost_of(router, request, upstream));
    }
    placement.all_backing_off =
        backing_off > 0 && backing_off == placement.serving_count;
    if (placement.upstream != NULL) {
        placement.first_event_us =
            first_event_us(router, request, placement.upstream);
    }
    return placement;
}
