/*
 * Limits that upstreams state in their responses: the requests a second that
 * an upstream takes from all routers together, for as long as its responses
 * say so.
 *
 * Digests report a limit, so that it also binds routers that have got no
 * response with it, and that it has ended. The newest statement counts.
 *
 * The routers split the rate in proportion to the demand for the service,
 * where it differs by more than chance: digests report how many requests
 * clients have sent to each router lately.
 */
#include "sl_router_internal.h"

/* Least limit that is kept. A lower one would keep away even the requests
 * whose responses show that it has ended. */
#define Sl_MIN_LIMIT_PER_S 0.25
/* Change of a limit, as a share of it, that counts. Routers that followed each
 * smaller one would number the slots apart. */
#define Sl_NEWS_CHANGE_SHARE 0.1
/* Unit of limits in digests: requests in so many seconds. */
#define Sl_REPORT_UNIT_S 1000
/* Time for which digests report that an upstream is no longer limited. */
#define Sl_REPORT_UNLIMITED_US (60 * Sl_US_PER_S)
/* A report that confirms the known limit counts if it is that much newer.
 * Reports get younger by their latency: in smaller steps, routers that report
 * to each other would keep a limit young without end. */
#define Sl_CONFIRMED_STEP_US Sl_US_PER_S
/* Part of a rate that is split equally, whatever the demand: a router to which
 * clients have just moved needs some at once. */
#define Sl_EQUAL_PART 0.1

/* ---- this router's part ---- */

static uint32_t
key_of(const struct sl_name *name)
{
    return (uint32_t)SlHash_Bytes(0, SlName_Str(name));
}

/* A router's claim to the rates of a service. */
struct sl_rate_claim {
    uint64_t place;    /* orders the routers */
    double weight;     /* 0 to 1; see SlPeers_AllowanceWeight() */
    double demand;     /* requests of its clients, times `weight` */
    bool has_reported; /* `demand` is known */
};

static struct sl_rate_claim
claim_of_peer(const struct sl_router *router,
              const struct sl_router_peer *peer, const struct sl_name *service)
{
    struct sl_rate_claim claim = {
        .place = SlHash_Bytes(0, SlName_Str(&peer->vm)),
        .weight = SlPeers_AllowanceWeight(router, peer),
    };
    const struct sl_peer_demand *demand =
        g_hash_table_lookup(peer->demands, GUINT_TO_POINTER(key_of(service)));
    /* A digest holds the demands for some services only. */
    if (demand != NULL && peer->newest_digest_sent_us - demand->sent_us <=
                              router->options.bounds.retry_window_us) {
        claim.demand = claim.weight * (double)demand->requests;
        claim.has_reported = true;
    }
    return claim;
}

/* Returns the claims of all routers, struct sl_rate_claim, this router's
 * first; the caller frees the array. */
static GArray *
collect_claims(struct sl_router *router, const struct sl_name *service)
{
    GArray *claims = g_array_new(FALSE, FALSE, sizeof(struct sl_rate_claim));
    struct sl_rate_claim own = {
        .place = SlHash_Bytes(0, SlName_Str(&router->options.vm)),
        .weight = 1,
        .demand = SlRetryBudget_Requests(router, service),
        .has_reported = true,
    };
    GHashTableIter iter;
    gpointer value;
    g_array_append_val(claims, own);
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rate_claim claim = claim_of_peer(router, value, service);
        if (claim.weight > 0) {
            g_array_append_val(claims, claim);
        }
    }
    return claims;
}

/* Gives the routers whose demand is not known the mean of the others. */
static void
assume_mean_demand(GArray *claims)
{
    double weights = 0;
    double demand = 0;
    for (guint i = 0; i < claims->len; i++) {
        const struct sl_rate_claim *claim =
            &g_array_index(claims, struct sl_rate_claim, i);
        weights += claim->has_reported ? claim->weight : 0;
        demand += claim->demand;
    }
    for (guint i = 0; i < claims->len; i++) {
        struct sl_rate_claim *claim =
            &g_array_index(claims, struct sl_rate_claim, i);
        if (!claim->has_reported) {
            claim->demand = claim->weight * demand / weights;
        }
    }
}

/* Discounts the differences in demand that chance alone makes: requests that
 * come at random vary by as much as their mean number. Followed as they are,
 * they would move most slots from one router to another each second. */
static void
discount_chance(GArray *claims)
{
    double weights = 0;
    double mean = 0;
    double variance = 0;
    for (guint i = 0; i < claims->len; i++) {
        const struct sl_rate_claim *claim =
            &g_array_index(claims, struct sl_rate_claim, i);
        weights += claim->weight;
        mean += claim->demand;
    }
    mean /= weights;
    for (guint i = 0; i < claims->len; i++) {
        const struct sl_rate_claim *claim =
            &g_array_index(claims, struct sl_rate_claim, i);
        double difference = claim->demand / claim->weight - mean;
        variance += claim->weight * difference * difference / weights;
    }
    double kept = variance > mean ? 1 - mean / variance : 0;
    for (guint i = 0; i < claims->len; i++) {
        struct sl_rate_claim *claim =
            &g_array_index(claims, struct sl_rate_claim, i);
        claim->demand =
            kept * claim->demand + (1 - kept) * claim->weight * mean;
    }
}

static struct sl_rate_part
compute_part(struct sl_router *router, const struct sl_name *service)
{
    GArray *claims = collect_claims(router, service);
    double weights = 0;
    double demand = 0;
    struct sl_rate_part part = {0, 0};
    assume_mean_demand(claims);
    discount_chance(claims);
    for (guint i = 0; i < claims->len; i++) {
        weights += g_array_index(claims, struct sl_rate_claim, i).weight;
        demand += g_array_index(claims, struct sl_rate_claim, i).demand;
    }
    double equal_part = demand > 0 ? Sl_EQUAL_PART : 1;
    uint64_t own_place = g_array_index(claims, struct sl_rate_claim, 0).place;
    for (guint i = 0; i < claims->len; i++) {
        const struct sl_rate_claim *claim =
            &g_array_index(claims, struct sl_rate_claim, i);
        double size = equal_part * claim->weight / weights;
        size += demand > 0 ? (1 - equal_part) * claim->demand / demand : 0;
        part.begin += claim->place < own_place ? size : 0;
        part.size = i == 0 ? size : part.size;
    }
    g_array_free(claims, TRUE);
    return part;
}

static int64_t
fleet_clock_us(const struct sl_router *router)
{
    return router->now_us + router->fleet_clock_ahead_us;
}

/* Returns this router's parts of the service's rates, up to the present. */
static const struct sl_rate_parts *
parts_of(struct sl_router *router, const struct sl_name *service)
{
    struct sl_rate_parts *parts =
        g_hash_table_lookup(router->rate_parts, service);
    int64_t epoch = SlRateSlots_Epoch(fleet_clock_us(router));
    if (parts == NULL) {
        parts = g_new0(struct sl_rate_parts, 1);
        g_hash_table_insert(router->rate_parts,
                            g_memdup2(service, sizeof(*service)), parts);
    }
    if (parts->newest_epoch < epoch) {
        SlRateSlots_SetPart(parts, epoch, compute_part(router, service));
    }
    return parts;
}

static struct sl_limited_rate
rate_of(struct sl_router *router, const struct sl_router_upstream *upstream)
{
    return (struct sl_limited_rate){
        .per_s = upstream->limit.per_s,
        .salt = upstream->key,
        .parts = parts_of(router, &upstream->registration.service),
    };
}

bool
SlUpstreamLimits_IsLimited(const struct sl_router_upstream *upstream)
{
    return upstream->limit.per_s > 0;
}

double
SlUpstreamLimits_PerS(struct sl_router *router,
                      const struct sl_router_upstream *upstream)
{
    struct sl_limited_rate rate = rate_of(router, upstream);
    return rate.per_s * SlRateSlots_Part(rate.parts).size;
}

int64_t
SlUpstreamLimits_NextUs(struct sl_router *router,
                        const struct sl_router_upstream *upstream)
{
    if (!SlUpstreamLimits_IsLimited(upstream)) {
        return router->now_us;
    }
    struct sl_limited_rate rate = rate_of(router, upstream);
    int64_t clock_us = fleet_clock_us(router);
    uint64_t slot =
        SlRateSlots_Next(&rate, clock_us, upstream->first_unused_slot);
    int64_t wait_us = SlRateSlots_BeginUs(&rate, slot) - clock_us;
    return router->now_us + MAX(wait_us, 0);
}

void
SlUpstreamLimits_OnSent(struct sl_router *router,
                        struct sl_router_upstream *upstream)
{
    if (SlUpstreamLimits_IsLimited(upstream)) {
        struct sl_limited_rate rate = rate_of(router, upstream);
        upstream->first_unused_slot =
            SlRateSlots_Next(&rate, fleet_clock_us(router),
                             upstream->first_unused_slot) +
            1;
    }
}

/* ---- statements ---- */

static uint32_t
to_reported(double per_s)
{
    return (uint32_t)MIN(per_s * Sl_REPORT_UNIT_S + 0.5, (double)UINT32_MAX);
}

static double
from_reported(uint32_t per_1000_s)
{
    return (double)per_1000_s / Sl_REPORT_UNIT_S;
}

/* Logs the limit. `reporter` is the peer that has reported it; NULL: the
 * upstream has stated it to this router. */
static void
log_limit(struct sl_router *router, const struct sl_router_upstream *upstream,
          const struct sl_name *reporter, double per_s)
{
    SlLogLine_Begin(router,
                    per_s > 0 ? "upstream_limited" : "upstream_unlimited");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Name(router, "service", &upstream->registration.service);
    if (reporter != NULL) {
        SlLogLine_Name(router, "told_by", reporter);
    }
    if (per_s > 0) {
        SlLogLine_Int(router, "per_1000_s", to_reported(per_s));
    }
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Returns true if the limit differs from the known one by so much that it
 * replaces it. */
static bool
is_news(const struct sl_router_upstream *upstream, double per_s)
{
    double known = upstream->limit.per_s;
    return MAX(per_s - known, known - per_s) > Sl_NEWS_CHANGE_SHARE * known;
}

/* Replaces the upstream's limit. */
static void
set_limit(struct sl_router *router, struct sl_router_upstream *upstream,
          const struct sl_name *reporter, struct sl_stated_limit limit)
{
    bool spreads = is_news(upstream, limit.per_s);
    upstream->limit = limit;
    SlUpstreamNotices_GetOrAdd(router, upstream)->limit = limit;
    if (limit.per_s > 0) {
        /* Slots are numbered anew. Those of the past are not made up for. */
        struct sl_limited_rate rate = rate_of(router, upstream);
        upstream->first_unused_slot =
            SlRateSlots_At(&rate, fleet_clock_us(router)) + 1;
    }
    if (spreads) {
        log_limit(router, upstream, reporter, limit.per_s);
        SlDigests_ScheduleEvidence(router, reporter == NULL);
        router->capacity_changed = true;
    }
}

/* Returns when the present instance of the upstream has started; the present
 * time if that is not known. */
static int64_t
start_us_of(const struct sl_router *router,
            const struct sl_router_upstream *upstream)
{
    int64_t start_wall_ms = upstream->registration.start_wall_ms;
    if (start_wall_ms == 0) {
        return router->now_us;
    }
    return router->now_us -
           MAX(router->wall_ms - start_wall_ms, 0) * Sl_US_PER_MS;
}

void
SlUpstreamLimits_OnReplaced(struct sl_router *router,
                            struct sl_router_upstream *upstream)
{
    /* The new instance may have stated its limit before its registration was
     * read. */
    int64_t age_us = router->now_us - upstream->limit.stated_us;
    if (SlUpstreamLimits_IsLimited(upstream) &&
        SlUpstreamNotices_IsOfEarlierInstance(router, upstream, age_us)) {
        set_limit(router, upstream, NULL,
                  (struct sl_stated_limit){0, start_us_of(router, upstream)});
    }
}

static void
log_invalid_limit(struct sl_router *router,
                  const struct sl_router_upstream *upstream)
{
    SlLogLine_Begin(router, "limit_odd");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_End(router, Sl_LOG_WARN);
}

void
SlUpstreamLimits_OnHead(struct sl_router *router,
                        const struct sl_upstream_call *call,
                        const struct sl_response_head *head)
{
    struct sl_router_upstream *upstream = call->upstream;
    bool is_own = head->is_stamped || head->not_executed;
    if (head->wrong_instance) {
        return; /* the response is of another upstream */
    }
    if (head->limit_is_invalid) {
        log_invalid_limit(router, upstream);
    }
    else if (head->has_limit) {
        /* As reports give it: routers that differ number the slots apart. */
        double per_s = from_reported(
            to_reported(MAX(head->limit_per_s, Sl_MIN_LIMIT_PER_S)));
        if (is_news(upstream, per_s)) {
            set_limit(router, upstream, NULL,
                      (struct sl_stated_limit){per_s, router->now_us});
        }
        upstream->limit.stated_us = router->now_us;
        SlUpstreamNotices_GetOrAdd(router, upstream)->limit = upstream->limit;
    }
    else if (is_own && SlUpstreamLimits_IsLimited(upstream) &&
             call->sent_us > upstream->limit.stated_us) {
        /* The response may have waited for long before it was read. */
        set_limit(router, upstream, NULL,
                  (struct sl_stated_limit){0, call->sent_us});
    }
}

/* ---- reports ---- */

/* Adds the service, a struct sl_name, unless the array has it. */
static void
add_service(GPtrArray *services, const struct sl_name *service)
{
    for (guint i = 0; i < services->len; i++) {
        if (SlName_Equal(services->pdata[i], service)) {
            return;
        }
    }
    g_ptr_array_add(services, (gpointer)service);
}

/* Adds the demand for the services; if there are more than a digest holds, for
 * some of them. They start at random, as peers don't get every digest. */
static void
add_demands(struct sl_router *router, const GPtrArray *services,
            struct sl_gossip_digest *digest)
{
    guint count = MIN(services->len, Sl_GOSSIP_MAX_DEMANDS);
    guint first = services->len > count
                      ? SlRandom_Below(&router->random, services->len)
                      : 0;
    for (guint i = 0; i < count; i++) {
        const struct sl_name *service =
            services->pdata[(first + i) % services->len];
        digest->demands[i] = (struct sl_gossip_demand){
            key_of(service),
            (uint32_t)SlRetryBudget_Requests(router, service)};
    }
    digest->demand_count = count;
}

/* Returns true if digests report what the upstream has stated. */
static bool
is_reported(const struct sl_router *router,
            const struct sl_stated_limit *limit)
{
    return limit->stated_us != 0 &&
           (limit->per_s > 0 ||
            router->now_us - limit->stated_us < Sl_REPORT_UNLIMITED_US);
}

void
SlUpstreamLimits_AddToDigest(struct sl_router *router,
                             struct sl_gossip_digest *digest)
{
    GPtrArray *reported = g_ptr_array_new();
    GPtrArray *services = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    digest->limit_count = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        if (is_reported(router, &upstream->limit)) {
            g_ptr_array_add(reported, value);
        }
        if (SlUpstreamLimits_IsLimited(upstream)) {
            add_service(services, &upstream->registration.service);
        }
    }
    add_demands(router, services, digest);
    g_ptr_array_free(services, TRUE);
    /* If there are more than a digest holds, the next one goes on. */
    uint64_t first = digest->sequence * Sl_GOSSIP_MAX_LIMITS;
    while (digest->limit_count < MIN(reported->len, Sl_GOSSIP_MAX_LIMITS)) {
        const struct sl_router_upstream *upstream =
            reported->pdata[(first + digest->limit_count) % reported->len];
        int64_t age_ms =
            (router->now_us - upstream->limit.stated_us) / Sl_US_PER_MS;
        digest->limits[digest->limit_count++] = (struct sl_gossip_limit){
            .upstream = upstream->key,
            .per_1000_s = to_reported(upstream->limit.per_s),
            .age_ms = (uint32_t)MIN(age_ms, (int64_t)UINT32_MAX),
        };
    }
    g_ptr_array_free(reported, TRUE);
}

static void
on_report(struct sl_router *router, const struct sl_name *reporter,
          const struct sl_gossip_limit *report)
{
    struct sl_router_upstream *upstream =
        SlUpstreams_FirstWithKey(router, report->upstream);
    int64_t age_us = report->age_ms * Sl_US_PER_MS;
    struct sl_stated_limit limit = {
        .per_s = from_reported(report->per_1000_s),
        .stated_us = router->now_us - age_us,
    };
    if (upstream == NULL || upstream->next_with_key != NULL ||
        SlUpstreamNotices_IsOfEarlierInstance(router, upstream, age_us)) {
        return;
    }
    int64_t newer_us = limit.stated_us - upstream->limit.stated_us;
    if (is_news(upstream, limit.per_s)) {
        if (newer_us > 0) {
            set_limit(router, upstream, reporter, limit);
        }
        return;
    }
    if (newer_us >= Sl_CONFIRMED_STEP_US && limit.per_s > 0) {
        upstream->limit.stated_us = limit.stated_us;
    }
    if (limit.per_s < upstream->limit.per_s) {
        /* Of values that pass for the same, all routers take the least. */
        limit.stated_us = upstream->limit.stated_us;
        set_limit(router, upstream, reporter, limit);
    }
}

static void
note_demands(const struct sl_router *router,
             const struct sl_gossip_digest *digest)
{
    const struct sl_router_peer *peer =
        g_hash_table_lookup(router->peers, &digest->vm);
    for (size_t i = 0; i < digest->demand_count; i++) {
        struct sl_peer_demand *demand = g_new0(struct sl_peer_demand, 1);
        demand->requests = digest->demands[i].requests;
        demand->sent_us = peer->newest_digest_sent_us;
        g_hash_table_insert(peer->demands,
                            GUINT_TO_POINTER(digest->demands[i].service),
                            demand);
    }
}

void
SlUpstreamLimits_OnDigest(struct sl_router *router,
                          const struct sl_gossip_digest *digest)
{
    note_demands(router, digest);
    for (size_t i = 0; i < digest->limit_count; i++) {
        on_report(router, &digest->vm, &digest->limits[i]);
    }
}
