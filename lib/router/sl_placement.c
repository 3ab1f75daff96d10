/*
 * Chooses the upstream for a request: the one with the least cost. The cost is
 * the estimated time to the first event, which depends on load, prefill
 * backlog and cached prefix parts, plus other costs converted to time.
 * Upstreams that are full, in a cold start, at their limit, ejected or in
 * back-off are left out until they can take a request.
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
/* Share of the extra run time at a slow upstream of a plain service that
 * counts. With all of it, the slots there stay free until the others have long
 * queues, and the service breaks down with less load. */
#define Sl_PACE_RUN_SHARE 0.5
/* Cost of each stream at an engine, which slows down all other streams there
 * from the first to the last event: the sum over a run. */
#define Sl_STREAM_COST_US (60 * Sl_US_PER_MS)
/* Share of a prompt's prefill time that counts for each other stream at the
 * engine: they make hardly any progress meanwhile. */
#define Sl_PREFILL_STALL_SHARE 0.1
/* Cost of an uncached token beyond its prefill time: the new cache entry takes
 * the memory of others. */
#define Sl_UNCACHED_COST_US_PER_TOKEN 20
/* Cost of reading shared parts of a prompt away from their home, as a number
 * of reads: the next prompts with them are sent to the home, and one engine's
 * memory is enough for them. */
#define Sl_STRAY_READS 4
/* Largest such cost, as a share of the time that would be left until the
 * route's latency objective: who is about to be late doesn't wait. It is less
 * in proportion for a prompt of which less is shared than its own: that needs
 * an engine with room above all. */
#define Sl_MAX_STRAY_COST_SHARE 0.1
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
    if (!route->regions.is_set && (team == NULL || !team->regions.is_set)) {
        return true;
    }
    for (size_t i = 0; i < router->options.domain_count; i++) {
        const struct sl_domain *domain = &router->options.domains[i];
        if (SlName_Equal(&domain->name, &upstream->registration.domain)) {
            region = domain->region;
        }
    }
    return SlRegionList_Allows(&route->regions, &region) &&
           (team == NULL || SlRegionList_Allows(&team->regions, &region));
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
 * load and its limit; at most now if it does now. */
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
earliest_send_us(struct sl_router *router,
                 const struct sl_routed_request *request,
                 const struct sl_router_upstream *upstream)
{
    int64_t earliest_us = MAX(usable_from_us(router, request, upstream),
                              SlUpstreamLimits_NextUs(router, upstream));
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

/* Returns the estimated time to the first event. Engines interleave prefill
 * with the tokens of other streams, so that prefill takes longer under load.
 * At a plain service, where all upstreams need the same time for a request at
 * the usual pace, only what differs between them counts. */
static int64_t
first_event_us(const struct sl_router *router,
               const struct sl_routed_request *request,
               const struct sl_router_upstream *upstream,
               const struct sl_kept_estimate *kept)
{
    int64_t load = SlUpstreams_Load(router, upstream);
    double pace = SlUpstreamPace_Factor(router, upstream);
    if (!request->service->is_engine) {
        int64_t extra_us =
            Sl_FULL_LOAD_US * load / SlPlacement_Slots(upstream);
        int64_t run_us = SlLatency_LightRunUs(router, &request->service->name);
        return (int64_t)(pace * (double)extra_us +
                         Sl_PACE_RUN_SHARE * (pace - 1) * (double)run_us);
    }
    struct sl_name model = {0};
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    int64_t prefill_us = SlLatency_PrefillUs(router, &model,
                                             request->incoming.prompt_tokens -
                                                 kept->expected_tokens);
    int64_t usual_us =
        SlUpstreams_PrefillBacklogUs(router, upstream) + prefill_us +
        (int64_t)(Sl_PREFILL_STALL_SHARE * (double)(prefill_us * load));
    return (int64_t)(pace * (double)usual_us);
}

/* Returns a part of `largest_us` that depends on the hash and the upstream. */
static int64_t
hashed_cost_us(int64_t largest_us, uint64_t hash,
               const struct sl_router_upstream *upstream)
{
    uint64_t weight =
        SlHash_Bytes(hash, SlName_Str(&upstream->registration.id));
    return (int64_t)((double)largest_us * SlHash_Fraction(weight));
}

/* Returns the cost of reading the prompt's shared parts away from their home;
 * 0 if there is none, or if the upstream is one. `left_us` would be left until
 * the latency objective. */
static int64_t
stray_cost_us(const struct sl_router *router,
              const struct sl_routed_request *request,
              const struct sl_kept_choice *choice,
              const struct sl_kept_estimate *kept, int64_t left_us)
{
    int64_t tokens = SlKept_StrayTokens(choice, kept);
    struct sl_name model = {0};
    if (tokens == 0) {
        return 0;
    }
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    int64_t read_us = SlLatency_PrefillUs(router, &model, tokens) -
                      SlLatency_PrefillUs(router, &model, 0);
    int64_t shared_tokens = SlKeptPrompt_SharedTokens(&choice->prompt);
    int64_t own_tokens = request->incoming.prompt_tokens - shared_tokens;
    double shared_to_own =
        MIN((double)shared_tokens / (double)MAX(own_tokens, 1), 1);
    return MIN(Sl_STRAY_READS * read_us,
               (int64_t)(Sl_MAX_STRAY_COST_SHARE * shared_to_own *
                         (double)MAX(left_us, 0)));
}

/* Returns the estimated time to the first event plus the other costs of the
 * upstream. */
static int64_t
cost_us_of(const struct sl_router *router,
           const struct sl_routed_request *request,
           const struct sl_router_upstream *upstream,
           const struct sl_kept_choice *choice,
           const struct sl_kept_estimate *kept)
{
    const struct sl_route *route = request->route;
    if (request->is_trial) {
        /* The upstream may end: the fewest other requests are to be there. */
        return SlUpstreams_Load(router, upstream) * Sl_TRIED_COST_US;
    }
    int64_t objective_us = route->target_latency_us > 0
                               ? route->target_latency_us
                               : Sl_DEFAULT_LATENCY_US;
    int64_t cost_us = first_event_us(router, request, upstream, kept);
    if (request->service->is_engine) {
        cost_us +=
            Sl_UNCACHED_COST_US_PER_TOKEN *
                (request->incoming.prompt_tokens - kept->expected_tokens) +
            Sl_STREAM_COST_US * SlUpstreams_Load(router, upstream) +
            Sl_SUSPECT_COST_US * upstream->suspect_calls +
            stray_cost_us(router, request, choice, kept,
                          request->arrived_us + objective_us - router->now_us -
                              cost_us);
    }
    if (!SlName_Equal(&upstream->registration.domain,
                      &router->options.domain)) {
        cost_us +=
            (int64_t)(Sl_OTHER_DOMAIN_COST_SHARE * (double)objective_us);
    }
    if (request->session != 0 && !choice->has_homes) {
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

/* Returns the slots of the upstream that are in use while it gets all requests
 * that it takes. */
static int64_t
usable_slots(const struct sl_router *router,
             const struct sl_router_upstream *upstream)
{
    int64_t slots = SlPlacement_Slots(upstream);
    if (!SlUpstreamLimits_IsLimited(upstream)) {
        return slots;
    }
    int64_t run_us =
        SlLatency_MeanRunUs(router, &upstream->registration.service);
    double used = upstream->limit.per_s * (double)run_us / (double)Sl_US_PER_S;
    return MIN(slots, (int64_t)used + 1);
}

/* Counts the slots of an upstream that takes requests. */
static void
add_usable(const struct sl_router *router, struct sl_placement *placement,
           const struct sl_router_upstream *upstream)
{
    int64_t slots = usable_slots(router, upstream);
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

/* Makes the candidate with the least cost the placement. */
static void
choose_among(struct sl_router *router, const struct sl_routed_request *request,
             const GPtrArray *candidates, struct sl_placement *placement)
{
    struct sl_kept_choice choice = {0};
    SlKeptParts_Prepare(router, request, candidates, &choice);
    for (guint i = 0; i < candidates->len; i++) {
        struct sl_router_upstream *upstream = candidates->pdata[i];
        struct sl_kept_estimate kept =
            SlKeptParts_Estimate(router, &choice, upstream);
        int64_t cost_us =
            cost_us_of(router, request, upstream, &choice, &kept);
        update_best(placement, upstream, cost_us);
        if (placement->upstream == upstream) {
            placement->kept = kept;
        }
        if (kept.is_home) {
            placement->home_cost_us = MIN(placement->home_cost_us, cost_us);
        }
    }
    if (placement->upstream != NULL) {
        placement->first_event_us = first_event_us(
            router, request, placement->upstream, &placement->kept);
    }
}

struct sl_placement
SlPlacement_Choose(struct sl_router *router,
                   const struct sl_routed_request *request)
{
    struct sl_placement placement = {.wait_us = Sl_NEVER_US,
                                     .home_cost_us = Sl_NEVER_US};
    GPtrArray *candidates = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    enum sl_version_rule rule = SlRollouts_VersionRule(router, request);
    unsigned backing_off_count = 0;
    unsigned limited_count = 0;
    double limited_per_s = 0;
    SlPeers_SumLoads(router);
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_upstream *upstream = value;
        if (!may_serve(router, request, upstream, rule)) {
            continue;
        }
        placement.serving_count++;
        if (SlUpstreamLimits_IsLimited(upstream)) {
            limited_count++;
            limited_per_s += SlUpstreamLimits_PerS(router, upstream);
        }
        if (usable_from_us(router, request, upstream) <= router->now_us) {
            add_usable(router, &placement, upstream);
        }
        int64_t earliest_us = earliest_send_us(router, request, upstream);
        int64_t room_us = SlEngineRooms_WaitUs(router, request, upstream);
        if (room_us > 0) {
            SlEngineRooms_NoteFull(router, &placement, upstream, room_us);
            earliest_us = room_us == Sl_NEVER_US
                              ? Sl_NEVER_US
                              : MAX(earliest_us, router->now_us + room_us);
        }
        if (earliest_us > router->now_us) {
            placement.full_count++;
            backing_off_count +=
                SlUpstreamNotices_IsBackingOff(router, upstream) ? 1 : 0;
            if (earliest_us != Sl_NEVER_US) {
                placement.wait_us =
                    MIN(placement.wait_us, earliest_us - router->now_us);
            }
            continue;
        }
        g_ptr_array_add(candidates, upstream);
    }
    if (limited_count > 0 && limited_count == placement.serving_count) {
        placement.limited_interval_us =
            (int64_t)((double)Sl_US_PER_S / limited_per_s);
    }
    placement.all_backing_off =
        backing_off_count > 0 && backing_off_count == placement.serving_count;
    choose_among(router, request, candidates, &placement);
    g_ptr_array_free(candidates, TRUE);
    return placement;
}
