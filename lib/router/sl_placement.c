/*
 * Chooses the upstream for a request: the one with the least cost. The cost is
 * the estimated time to the first event, which depends on load, prefill
 * backlog and cached prefix parts, plus other costs converted to time.
 * Upstreams that are full, in a cold start, ejected or in back-off are left
 * out until they can take a request.
 */
#include "sl_router_internal.h"

/* Cost of an upstream in another failure domain, as a share of the route's
 * latency objective. Traffic between failure domains is expensive, so such an
 * upstream must promise the first event that much sooner. */
#define Sl_OTHER_DOMAIN_COST_SHARE 0.2
/* Extra time to the first event at an upstream of a plain service whose slots
 * are all in use, over an idle one. It slows down as it fills: with less load,
 * the extra time is less in proportion. */
#define Sl_FULL_LOAD_US (100 * Sl_US_PER_MS)
/* Cost of each stream at an engine, which slows down all other streams there
 * from the first to the last event: the sum over a run. */
#define Sl_STREAM_COST_US (60 * Sl_US_PER_MS)
/* Share of a prompt's prefill time that counts for each other stream at the
 * engine: they make hardly any progress meanwhile. */
#define Sl_PREFILL_STALL_SHARE 0.1
/* Cost of an uncached token beyond its prefill time: the new cache entry takes
 * the memory of others. */
#define Sl_UNCACHED_COST_US_PER_TOKEN 20
/* Largest cost of an upstream by the hash of the session. This cost spreads
 * prompts that no upstream has cached yet, in the same way at each router. */
#define Sl_AFFINITY_COST_US (100 * Sl_US_PER_MS)
/* Cost of each call there that may end the upstream, so that suspects are kept
 * apart from each other and from other requests. */
#define Sl_SUSPECT_COST_US (2 * Sl_US_PER_S)
/* Largest cost of an upstream by the hash of a suspect, which spreads the
 * suspects of several routers. */
#define Sl_SUSPECT_SPREAD_US Sl_US_PER_S
/* Cost of an upstream that the request has tried: it is the last choice. */
#define Sl_TRIED_COST_US (60 * Sl_US_PER_S)
/* An upstream is full with this many times as many requests as it has slots.
 * It queues those above its slots itself; they start sooner there than if they
 * waited here. */
#define Sl_FULL_SLOTS_FACTOR 2
/* Least estimated time until a full upstream has room. */
#define Sl_MIN_FREE_SLOT_US Sl_US_PER_MS
/* Slots of an upstream whose registration gives none. */
#define Sl_DEFAULT_SLOTS 8
/* Latency objective of a route that has none. */
#define Sl_DEFAULT_LATENCY_US Sl_US_PER_S

static bool
was_tried(const struct sl_routed_request *request, const struct sl_name *id)
{
    return SlName_IsListed(request->tried, request->tried_count, id);
}

/* Returns true if a roll-out lets the upstream's version serve the request. */
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
allows_region(const struct sl_name *regions, size_t count,
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
    return allows_region(route->regions, route->region_count, &region) &&
           (team == NULL ||
            allows_region(team->regions, team->region_count, &region));
}

/* Returns true if the upstream may serve the request, even if it cannot take
 * it now. */
static bool
may_serve(const struct sl_router *router,
          const struct sl_routed_request *request,
          const struct sl_router_upstream *upstream, enum sl_version_rule rule)
{
    return SlUpstreams_AcceptsRequests(upstream) &&
           SlName_Equal(&upstream->registration.service,
                        &request->service->name) &&
           !SlUpstreams_IsEvacuated(router, &upstream->registration.domain) &&
           is_in_allowed_region(router, request, upstream) &&
           matches_version_rule(router, request, upstream, rule);
}

int64_t
SlPlacement_Slots(const struct sl_router_upstream *upstream)
{
    return upstream->registration.slots > 0 ? upstream->registration.slots
                                            : Sl_DEFAULT_SLOTS;
}

/* Returns the earliest time at which the upstream takes requests, whatever its
 * load; at most now if it does now. */
static int64_t
usable_from_us(const struct sl_router *router,
               const struct sl_routed_request *request,
               const struct sl_router_upstream *upstream)
{
    int64_t earliest_us =
        SlColdLimit_NextUs(router, upstream, request->service);
    earliest_us = MAX(earliest_us, upstream->ejected_until_us);
    return MAX(earliest_us, upstream->backoff_until_us);
}

/* Returns the earliest time at which the upstream can take another request; at
 * most now if it can take one now. */
static int64_t
earliest_send_us(const struct sl_router *router,
                 const struct sl_routed_request *request,
                 const struct sl_router_upstream *upstream)
{
    int64_t earliest_us = usable_from_us(router, request, upstream);
    if (SlUpstreams_Load(router, upstream) >=
        Sl_FULL_SLOTS_FACTOR * SlPlacement_Slots(upstream)) {
        /* Estimated time until one of its requests ends. */
        int64_t until_end_us =
            SlLatency_MeanRunUs(router, &request->service->name) /
            SlPlacement_Slots(upstream);
        return MAX(earliest_us,
                   router->now_us + MAX(until_end_us, Sl_MIN_FREE_SLOT_US));
    }
    return earliest_us;
}

/* Returns the number of prompt tokens that the upstream is estimated not to
 * have in its prefix cache; 0 if it is no engine. */
static int64_t
uncached_tokens_of(const struct sl_routed_request *request,
                   const struct sl_router_upstream *upstream)
{
    return request->service->is_engine
               ? SlUpstreams_UncachedTokens(request, upstream)
               : 0;
}

/* Returns the estimated time to the first event. Engines interleave prefill
 * with the tokens of other streams, so that prefill takes longer under load.
 */
static int64_t
first_event_us(const struct sl_router *router,
               const struct sl_routed_request *request,
               const struct sl_router_upstream *upstream)
{
    int64_t load = SlUpstreams_Load(router, upstream);
    if (!request->service->is_engine) {
        return Sl_FULL_LOAD_US * load / SlPlacement_Slots(upstream);
    }
    struct sl_name model = {0};
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    int64_t prefill_us = SlLatency_PrefillUs(
        router, &model, uncached_tokens_of(request, upstream));
    return SlUpstreams_PrefillBacklogUs(router, upstream) + prefill_us +
           (int64_t)(Sl_PREFILL_STALL_SHARE * (double)(prefill_us * load));
}

/* Returns a part of `largest_us` that depends on the hash and the upstream. */
static int64_t
hashed_cost_us(int64_t largest_us, uint64_t hash,
               const struct sl_router_upstream *upstream)
{
    uint64_t weight =
        SlHash_Bytes(hash, SlName_Str(&upstream->registration.id));
    /* The hash as a fraction, 0 to 1. */
    return (int64_t)((double)largest_us * (double)(weight >> 11) * 0x1.0p-53);
}

/* Returns the estimated time to the first event plus the other costs of the
 * upstream. */
static int64_t
cost_us_of(const struct sl_router *router,
           const struct sl_routed_request *request,
           const struct sl_router_upstream *upstream)
{
    const struct sl_route *route = request->route;
    if (request->is_trial) {
        /* The upstream may end: the fewest other requests are to be there. */
        return SlUpstreams_Load(router, upstream) * Sl_TRIED_COST_US;
    }
    int64_t objective_us = route->target_latency_us > 0
                               ? route->target_latency_us
                               : Sl_DEFAULT_LATENCY_US;
    int64_t cost_us = first_event_us(router, request, upstream);
    if (request->service->is_engine) {
        cost_us += Sl_UNCACHED_COST_US_PER_TOKEN *
                       uncached_tokens_of(request, upstream) +
                   Sl_STREAM_COST_US * SlUpstreams_Load(router, upstream) +
                   Sl_SUSPECT_COST_US * upstream->suspect_calls;
    }
    if (!SlName_Equal(&upstream->registration.domain,
                      &router->options.domain)) {
        cost_us +=
            (int64_t)(Sl_OTHER_DOMAIN_COST_SHARE * (double)objective_us);
    }
    if (request->session != 0) {
        cost_us +=
            hashed_cost_us(Sl_AFFINITY_COST_US, request->session, upstream);
    }
    if (request->is_suspect) {
        cost_us +=
            hashed_cost_us(Sl_SUSPECT_SPREAD_US,
                           SlHash_Bytes(0, request->incoming.id), upstream);
    }
    if (was_tried(request, &upstream->registration.id) ||
        upstream == request->upstream_call.upstream) {
        cost_us += Sl_TRIED_COST_US;
    }
    return cost_us;
}

/* Counts the slots of an upstream that takes requests. */
static void
add_usable(const struct sl_router *router, struct sl_placement *placement,
           const struct sl_router_upstream *upstream)
{
    int64_t slots = SlPlacement_Slots(upstream);
    int64_t queued = SlUpstreams_Load(router, upstream) - slots;
    double queue = (double)MAX(queued, 0) / (double)slots;
    placement->least_queue = placement->usable_slots == 0
                                 ? queue
                                 : MIN(placement->least_queue, queue);
    placement->usable_slots += slots;
}

/* Makes the upstream the best or second best one, if its cost is less. */
static void
update_best(struct sl_placement *placement,
            struct sl_router_upstream *upstream, int64_t cost_us)
{
    if (placement->upstream == NULL || cost_us < placement->cost_us) {
        placement->second_best = placement->upstream;
        placement->second_cost_us = placement->cost_us;
        placement->upstream = upstream;
        placement->cost_us = cost_us;
    }
    else if (placement->second_best == NULL ||
             cost_us < placement->second_cost_us) {
        placement->second_best = upstream;
        placement->second_cost_us = cost_us;
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
    unsigned backing_off_count = 0;
    SlPeers_SumLoads(router);
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_upstream *upstream = value;
        if (!may_serve(router, request, upstream, rule)) {
            continue;
        }
        placement.serving_count++;
        if (usable_from_us(router, request, upstream) <= router->now_us) {
            add_usable(router, &placement, upstream);
        }
        int64_t earliest_us = earliest_send_us(router, request, upstream);
        if (earliest_us > router->now_us) {
            placement.full_count++;
            backing_off_count +=
                SlUpstreamNotices_IsBackingOff(router, upstream) ? 1 : 0;
            placement.wait_us =
                MIN(placement.wait_us, earliest_us - router->now_us);
            continue;
        }
        update_best(&placement, upstream,
                    cost_us_of(router, request, upstream));
    }
    placement.all_backing_off =
        backing_off_count > 0 && backing_off_count == placement.serving_count;
    if (placement.upstream != NULL) {
        placement.first_event_us =
            first_event_us(router, request, placement.upstream);
    }
    return placement;
}
