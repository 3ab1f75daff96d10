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
was_tried(const struct sl_flight *flight, const struct sl_name *id)
{
    return SlName_IsListed(flight->tried, flight->tried_count, id);
}

static bool
keeps_rule(const struct sl_router *router, const struct sl_flight *flight,
           const struct sl_upstream *upstream, enum sl_version_rule rule)
{
    if (rule == Sl_VERSION_ANY) {
        return true;
    }
    const struct sl_name *target =
        SlRollouts_Target(router, &flight->service->name);
    bool is_target = SlName_Equal(&upstream->reg.version, target);
    return is_target == (rule == Sl_VERSION_TARGET);
}

static bool
serves(const struct sl_router *router, const struct sl_flight *flight,
       const struct sl_upstream *upstream, enum sl_version_rule rule)
{
    return upstream->listed && !upstream->reg.draining &&
           !upstream->is_replaced &&
           SlName_Equal(&upstream->reg.service, &flight->service->name) &&
           !SlUpstreams_IsEvacuated(router, &upstream->reg.domain) &&
           keeps_rule(router, flight, upstream, rule);
}

static int64_t
slots_of(const struct sl_upstream *upstream)
{
    return upstream->reg.slots > 0 ? upstream->reg.slots : Sl_DEFAULT_SLOTS;
}

/* Earliest time at which the upstream could take one more request. */
static int64_t
free_at(const struct sl_router *router, const struct sl_flight *flight,
        const struct sl_upstream *upstream)
{
    int64_t at = SlCold_NextUs(router, upstream, flight->service);
    at = MAX(at, upstream->shun_until_us);
    if (SlUpstreams_Load(router, upstream) >=
        Sl_FULL_SLOTS * slots_of(upstream)) {
        /* When one of its requests ends. */
        int64_t step_us =
            SlPace_RunUs(router, &flight->service->name) / slots_of(upstream);
        return MAX(at, router->now_us + MAX(step_us, Sl_LEAST_STEP_US));
    }
    return at;
}

/* Guess of the time to the first event, with what else the choice costs
 * expressed as time. */
static int64_t
cost_of(const struct sl_router *router, const struct sl_flight *flight,
        const struct sl_upstream *upstream)
{
    const struct sl_route *route = flight->route;
    int64_t target =
        route->target_us > 0 ? route->target_us : Sl_DEFAULT_TARGET_US;
    int64_t load = SlUpstreams_Load(router, upstream);
    int64_t cost = 0;
    if (!flight->service->is_engine) {
        cost += Sl_FULL_LOAD_US * load / slots_of(upstream);
    }
    else {
        struct sl_name model = {0};
        int64_t uncached = SlUpstreams_Uncached(flight, upstream);
        (void)SlName_Set(&model, SlFlight_Model(flight));
        int64_t read_us = SlPace_Expect(router, &model, uncached);
        cost += SlUpstreams_Unread(router, upstream) + read_us +
                Sl_READ_AGAIN_US_PER_TOKEN * uncached +
                Sl_STREAM_BESIDE_US * load +
                (int64_t)(Sl_READ_BESIDE * (double)(read_us * load));
    }
    if (!SlName_Equal(&upstream->reg.domain, &router->options.domain)) {
        cost += (int64_t)(Sl_OTHER_DOMAIN_SHARE * (double)target);
    }
    if (flight->session != 0) {
        uint64_t weight =
            SlHash_Bytes(flight->session, SlName_Str(&upstream->reg.id));
        cost += (int64_t)((double)Sl_NOT_HOME_US * (double)(weight >> 11) *
                          0x1.0p-53);
    }
    if (was_tried(flight, &upstream->reg.id) ||
        upstream == flight->exchange.upstream) {
        cost += Sl_TRIED_US;
    }
    return cost;
}

struct sl_upstream *
SlPlacement_Choose(struct sl_router *router, const struct sl_flight *flight,
                   int64_t *wait_us)
{
    struct sl_upstream *best = NULL;
    int64_t best_cost = 0;
    GHashTableIter iter;
    gpointer value;
    enum sl_version_rule rule = SlRollouts_RuleFor(router, flight);
    *wait_us = Sl_NEVER_US;
    SlPeers_SumLoads(router);
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_upstream *upstream = value;
        if (!serves(router, flight, upstream, rule)) {
            continue;
        }
        int64_t at = free_at(router, flight, upstream);
        if (at > router->now_us) {
            *wait_us = MIN(*wait_us, at - router->now_us);
            continue;
        }
        int64_t cost = cost_of(router, flight, upstream);
        if (best == NULL || cost < best_cost) {
            best = upstream;
            best_cost = cost;
        }
    }
    return best;
}
