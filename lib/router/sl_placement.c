/* Which upstream a flight goes to. Answers loads that differ between
 * upstreams, long prompts that others would wait for, prompts whose parts
 * some upstreams hold already, and upstreams that are cold or failing. */
#include "sl_router_internal.h"

/* Bytes between failure domains are dear: another domain must promise the
 * first event sooner by this share of the route's latency objective. */
#define Sl_OTHER_DOMAIN_SHARE 0.2
/* A plain service slows down when it is nearly full: the time of a full
 * upstream, beside that of an empty one. */
#define Sl_FULL_LOAD_US (100 * Sl_US_PER_MS)
/* At an engine each stream slows every other one, from the first to the last
 * event: by so much in sum for each that runs there. */
#define Sl_STREAM_BESIDE_US (60 * Sl_US_PER_MS)
/* While a prompt is read, the streams beside it stand nearly still: this part
 * of the reading counts for each of them. */
#define Sl_READ_BESIDE 0.1
/* Reading a part again costs more than its time: memory that others hold. */
#define Sl_READ_AGAIN_US_PER_TOKEN 20
/* Spreads prompts that no upstream holds yet, the same way at each router. */
#define Sl_NOT_HOME_US (100 * Sl_US_PER_MS)
/* An upstream that this request was at before is the last choice. */
#define Sl_TRIED_US (60 * Sl_US_PER_S)
/* An upstream is full with this many times its slots under way: it queues a
 * few itself, where they are nearer to its next free slot than here. */
#define Sl_FULL_SLOTS 2
/* A full upstream has room after this at the soonest. */
#define Sl_LEAST_STEP_US Sl_US_PER_MS
/* Slots of an upstream that does not say. */
#define Sl_DEFAULT_SLOTS 8
/* Latency objective of a route that names none. */
#define Sl_DEFAULT_TARGET_US Sl_US_PER_S

static bool
was_tried(const struct sl_routed_request *request, const struct sl_name *id)
{
    return SlName_IsListed(request->tried, request->tried_count, id);
}

static bool
keeps_rule(const struct sl_router *router,
           const struct sl_routed_request *request,
           const struct sl_upstream *upstream, enum sl_version_rule rule)
{
    if (rule == Sl_VERSION_ANY) {
        return true;
    }
    const struct sl_name *target =
        SlRollouts_Target(router, &request->service->name);
    bool is_target = SlName_Equal(&upstream->reg.version, target);
    return is_target == (rule == Sl_VERSION_TARGET);
}

/* Does the list name the region? An empty list allows all. */
static bool
allows(const struct sl_name *regions, size_t count,
       const struct sl_name *region)
{
    return count == 0 || SlName_IsListed(regions, count, region);
}

/* A domain whose region is not known is allowed only where all are. */
static bool
keeps_regions(const struct sl_router *router,
              const struct sl_routed_request *request,
              const struct sl_upstream *upstream)
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
        if (SlName_Equal(&domain->name, &upstream->reg.domain)) {
            region = domain->region;
        }
    }
    return allows(route->regions, route->region_count, &region) &&
           (team == NULL ||
            allows(team->regions, team->region_count, &region));
}

static bool
serves(const struct sl_router *router, const struct sl_routed_request *request,
       const struct sl_upstream *upstream, enum sl_version_rule rule)
{
    return SlUpstreams_TakesWork(upstream) &&
           SlName_Equal(&upstream->reg.service, &request->service->name) &&
           !SlUpstreams_IsEvacuated(router, &upstream->reg.domain) &&
           keeps_regions(router, request, upstream) &&
           keeps_rule(router, request, upstream, rule);
}

static int64_t
slots_of(const struct sl_upstream *upstream)
{
    return upstream->reg.slots > 0 ? upstream->reg.slots : Sl_DEFAULT_SLOTS;
}

/* Earliest time at which the upstream could take one more request. */
static int64_t
free_at(const struct sl_router *router,
        const struct sl_routed_request *request,
        const struct sl_upstream *upstream)
{
    int64_t at = SlColdLimit_NextUs(router, upstream, request->service);
    at = MAX(at, upstream->ejected_until_us);
    at = MAX(at, upstream->backoff_until_us);
    if (SlUpstreams_Load(router, upstream) >=
        Sl_FULL_SLOTS * slots_of(upstream)) {
        /* When one of its requests ends. */
        int64_t step_us = SlLatency_RunUs(router, &request->service->name) /
                          slots_of(upstream);
        return MAX(at, router->now_us + MAX(step_us, Sl_LEAST_STEP_US));
    }
    return at;
}

static int64_t
uncached_of(const struct sl_routed_request *request,
            const struct sl_upstream *upstream)
{
    return request->service->is_engine
               ? SlUpstreams_UncachedTokens(request, upstream)
               : 0;
}

/* Guess of the time to the first event; prompts are read between the tokens of
 * other streams. */
static int64_t
first_event_us(const struct sl_router *router,
               const struct sl_routed_request *request,
               const struct sl_upstream *upstream)
{
    int64_t load = SlUpstreams_Load(router, upstream);
    if (!request->service->is_engine) {
        return Sl_FULL_LOAD_US * load / slots_of(upstream);
    }
    struct sl_name model = {0};
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    int64_t read_us =
        SlLatency_PrefillUs(router, &model, uncached_of(request, upstream));
    return SlUpstreams_PrefillBacklogUs(router, upstream) + read_us +
           (int64_t)(Sl_READ_BESIDE * (double)(read_us * load));
}

/* That time, with what else the choice costs expressed as time. */
static int64_t
cost_of(const struct sl_router *router,
        const struct sl_routed_request *request,
        const struct sl_upstream *upstream)
{
    const struct sl_route *route = request->route;
    int64_t target =
        route->target_us > 0 ? route->target_us : Sl_DEFAULT_TARGET_US;
    int64_t cost = first_event_us(router, request, upstream);
    if (request->service->is_engine) {
        cost += Sl_READ_AGAIN_US_PER_TOKEN * uncached_of(request, upstream) +
                Sl_STREAM_BESIDE_US * SlUpstreams_Load(router, upstream);
    }
    if (!SlName_Equal(&upstream->reg.domain, &router->options.domain)) {
        cost += (int64_t)(Sl_OTHER_DOMAIN_SHARE * (double)target);
    }
    if (request->session != 0) {
        uint64_t weight =
            SlHash_Bytes(request->session, SlName_Str(&upstream->reg.id));
        cost += (int64_t)((double)Sl_NOT_HOME_US * (double)(weight >> 11) *
                          0x1.0p-53);
    }
    if (was_tried(request, &upstream->reg.id) ||
        upstream == request->upstream_call.upstream) {
        cost += Sl_TRIED_US;
    }
    return cost;
}

static void
weigh(struct sl_placement *choice, struct sl_upstream *upstream, int64_t cost)
{
    if (choice->upstream == NULL || cost < choice->cost_us) {
        choice->second = choice->upstream;
        choice->second_cost_us = choice->cost_us;
        choice->upstream = upstream;
        choice->cost_us = cost;
    }
    else if (choice->second == NULL || cost < choice->second_cost_us) {
        choice->second = upstream;
        choice->second_cost_us = cost;
    }
}

struct sl_placement
SlPlacement_Choose(struct sl_router *router,
                   const struct sl_routed_request *request)
{
    struct sl_placement choice = {.wait_us = Sl_NEVER_US};
    GHashTableIter iter;
    gpointer value;
    enum sl_version_rule rule = SlRollouts_VersionRule(router, request);
    unsigned quiet = 0;
    SlPeers_SumLoads(router);
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_upstream *upstream = value;
        if (!serves(router, request, upstream, rule)) {
            continue;
        }
        choice.serving++;
        int64_t at = free_at(router, request, upstream);
        if (at > router->now_us) {
            choice.full++;
            quiet += SlUpstreamNotices_IsBackingOff(router, upstream) ? 1 : 0;
            choice.wait_us = MIN(choice.wait_us, at - router->now_us);
            continue;
        }
        weigh(&choice, upstream, cost_of(router, request, upstream));
    }
    choice.all_backing_off = quiet > 0 && quiet == choice.serving;
    if (choice.upstream != NULL) {
        choice.first_us = first_event_us(router, request, choice.upstream);
    }
    return choice;
}
