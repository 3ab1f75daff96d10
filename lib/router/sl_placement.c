/* Which upstream a flight goes to. Answers loads that differ between
 * upstreams, prompts whose parts some upstreams hold already, and upstreams
 * that are cold or failing. */
#include "sl_router_internal.h"

/* Costs, in places of an upstream's slots: one unit is a full upstream. */
#define Sl_COST_LOAD 1.0
/* Reading a whole prompt again weighs as much as this share of the load. */
#define Sl_COST_UNCACHED 0.25
/* Bytes between failure domains are dear; load moves requests all the same. */
#define Sl_COST_OTHER_DOMAIN 0.2
/* Spreads parts that no upstream holds yet, the same way at each router. */
#define Sl_COST_NOT_HOME 0.1
/* Slots of an upstream that does not say. */
#define Sl_DEFAULT_SLOTS 8

static bool
was_tried(const struct sl_flight *flight, const struct sl_name *id)
{
    return SlName_IsListed(flight->tried, flight->tried_count, id);
}

static bool
serves(const struct sl_router *router, const struct sl_flight *flight,
       const struct sl_upstream *upstream)
{
    return upstream->listed && !upstream->reg.draining &&
           SlName_Equal(&upstream->reg.service, &flight->service->name) &&
           !SlUpstreams_IsEvacuated(router, &upstream->reg.domain);
}

static int64_t
slots_of(const struct sl_upstream *upstream)
{
    return upstream->reg.slots > 0 ? upstream->reg.slots : Sl_DEFAULT_SLOTS;
}

/* Earliest time at which the upstream could take one more request. */
static int64_t
free_at(const struct sl_router *router, const struct sl_upstream *upstream)
{
    int64_t at = MAX(upstream->shun_until_us, router->now_us);
    if (upstream->cold_until_us > router->now_us) {
        at = MAX(at, upstream->cold_next_us);
    }
    if (SlUpstreams_Load(upstream) >= slots_of(upstream)) {
        return Sl_NEVER_US; /* when one of its requests ends */
    }
    return at;
}

/* The share of the prompt that the upstream would have to read. Parts count
 * only behind parts that it holds. */
static double
uncached_share(const struct sl_flight *flight,
               const struct sl_upstream *upstream)
{
    int64_t held = 0;
    if (flight->ask.prompt_tokens <= 0) {
        return 0;
    }
    for (size_t i = 0; i < flight->ask.part_count; i++) {
        uint64_t id = flight->ask.parts[i].id;
        if (!g_hash_table_contains(upstream->parts, &id)) {
            break;
        }
        held += flight->ask.parts[i].tokens;
    }
    return 1.0 - (double)MIN(held, flight->ask.prompt_tokens) /
                     (double)flight->ask.prompt_tokens;
}

static double
cost_of(const struct sl_router *router, const struct sl_flight *flight,
        const struct sl_upstream *upstream)
{
    double cost = Sl_COST_LOAD * (double)SlUpstreams_Load(upstream) /
                  (double)slots_of(upstream);
    cost += Sl_COST_UNCACHED * uncached_share(flight, upstream);
    if (!SlName_Equal(&upstream->reg.domain, &router->options.domain)) {
        cost += Sl_COST_OTHER_DOMAIN;
    }
    if (flight->session != 0) {
        uint64_t weight =
            SlHash_Bytes(flight->session, SlName_Str(&upstream->reg.id));
        cost += Sl_COST_NOT_HOME * (double)(weight >> 11) * 0x1.0p-53;
    }
    return cost;
}

struct sl_upstream *
SlPlacement_Choose(struct sl_router *router, const struct sl_flight *flight,
                   int64_t *wait_us)
{
    struct sl_upstream *best = NULL;
    double best_cost = 0;
    GHashTableIter iter;
    gpointer value;
    *wait_us = Sl_NEVER_US;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_upstream *upstream = value;
        if (!serves(router, flight, upstream)) {
            continue;
        }
        int64_t at = free_at(router, upstream);
        if (at > router->now_us) {
            *wait_us = MIN(*wait_us, at == Sl_NEVER_US ? Sl_NEVER_US
                                                       : at - router->now_us);
            continue;
        }
        double cost = cost_of(router, flight, upstream) +
                      (was_tried(flight, &upstream->reg.id) ? 10.0 : 0.0);
        if (best == NULL || cost < best_cost) {
            best = upstream;
            best_cost = cost;
        }
    }
    return best;
}
