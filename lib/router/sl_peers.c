/*
 * Peers, the other routers of the fleet: which of them are live, and how much
 * load each puts on the upstreams. A router learns of its peers from the
 * store's member records, from peer lists and from their digests.
 *
 * A peer is live if its newest digest was sent a few gossip intervals ago at
 * most. One that is known but has sent no digest yet counts as live for as
 * long after it became known.
 */
#include "sl_router_internal.h"

/* Gossip interval, the time between two digests to the whole fleet. */
#define Sl_GOSSIP_INTERVAL_US (500 * Sl_US_PER_MS)
/* In a fleet with more peers than this the interval grows in proportion, so
 * that the number of digests that each router sends stays bounded. */
#define Sl_MAX_FULL_RATE_PEERS 32
/* Gossip intervals without a digest after which a peer is no longer live. */
#define Sl_PEER_SILENT_INTERVALS 5
/* Time without a digest after which a peer is removed. Until then it keeps its
 * part of the fleet's allowances, as it may be up but cut off from this
 * router. */
#define Sl_EXPIRE_US (60 * Sl_US_PER_S)

/* ---- live peers ---- */

int64_t
SlPeers_GossipIntervalUs(const struct sl_router *router)
{
    int64_t peers = (int64_t)g_hash_table_size(router->peers);
    return Sl_GOSSIP_INTERVAL_US * MAX(peers, Sl_MAX_FULL_RATE_PEERS) /
           Sl_MAX_FULL_RATE_PEERS;
}

int64_t
SlPeers_SilentUs(const struct sl_router *router)
{
    return Sl_PEER_SILENT_INTERVALS * SlPeers_GossipIntervalUs(router);
}

bool
SlPeers_IsLive(const struct sl_router *router,
               const struct sl_router_peer *peer)
{
    return !peer->digest.is_leaving &&
           router->now_us - peer->newest_digest_sent_us <
               SlPeers_SilentUs(router);
}

bool
SlPeers_HasLiveDigest(const struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (peer->digest.boot != 0 && SlPeers_IsLive(router, peer)) {
            return true;
        }
    }
    return false;
}

size_t
SlPeers_FleetSize(const struct sl_router *router)
{
    size_t live = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        live += SlPeers_IsLive(router, value) ? 1 : 0;
    }
    return live;
}

size_t
SlPeers_CountDomain(const struct sl_router *router,
                    const struct sl_name *domain)
{
    size_t live = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        live +=
            SlPeers_IsLive(router, peer) && SlName_Equal(&peer->domain, domain)
                ? 1
                : 0;
    }
    return live;
}

size_t
SlPeers_AllowanceSharerCount(const struct sl_router *router)
{
    size_t sharers = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        bool may_be_up = peer->digest.boot != 0 && !peer->digest.is_leaving;
        sharers += may_be_up || SlPeers_IsLive(router, peer) ? 1 : 0;
    }
    return sharers;
}

/* Weight of a silent peer, which may have ended, or be cut off from this
 * router alone. If a fleet is cut in halves, both together then use four
 * thirds of an allowance; and two thirds while half of the routers have ended.
 */
#define Sl_SILENT_WEIGHT 0.5

double
SlPeers_AllowanceWeight(const struct sl_router *router,
                        const struct sl_router_peer *peer)
{
    if (SlPeers_IsLive(router, peer)) {
        return 1;
    }
    return peer->digest.boot != 0 && !peer->digest.is_leaving
               ? Sl_SILENT_WEIGHT
               : 0;
}

/* Returns the rank of the router `vm` among the live ones by rendezvous hash
 * with `key`, from 0; with `in_domain`, among those of the local failure
 * domain. */
static size_t
rank_of(const struct sl_router *router, const struct sl_name *vm,
        struct sl_str key, bool in_domain)
{
    uint64_t weight = SlHash_Rendezvous(key, SlName_Str(vm));
    uint64_t local_weight =
        SlHash_Rendezvous(key, SlName_Str(&router->options.vm));
    size_t rank = local_weight > weight ? 1 : 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (!SlPeers_IsLive(router, peer) ||
            (in_domain &&
             !SlName_Equal(&peer->domain, &router->options.domain))) {
            continue;
        }
        if (SlHash_Rendezvous(key, SlName_Str(&peer->vm)) > weight) {
            rank++;
        }
    }
    return rank;
}

size_t
SlPeers_Rank(const struct sl_router *router, struct sl_str key)
{
    return rank_of(router, &router->options.vm, key, false);
}

/* ---- position in the fleet ---- */

/* Age after which the position is computed again, as peers cease to be live
 * with time. */
#define Sl_MAX_POSITION_AGE_US (100 * Sl_US_PER_MS)
/* Key of the rendezvous hash that ranks domains, and routers in a domain. */
#define Sl_RANK_KEY Sl_STR("readers")

/* A failure domain with live routers. */
struct sl_live_domain {
    struct sl_name name;
    uint64_t weight;               /* of the domain; the largest has rank 0 */
    uint64_t leader_weight;        /* the largest of its routers so far */
    struct sl_router_peer *leader; /* NULL: this router, or none found yet */
};

/* Returns the domain's entry; adds it if it is missing. */
static struct sl_live_domain *
find_or_add_domain(GArray *domains, const struct sl_name *name)
{
    for (guint i = 0; i < domains->len; i++) {
        struct sl_live_domain *domain =
            &g_array_index(domains, struct sl_live_domain, i);
        if (SlName_Equal(&domain->name, name)) {
            return domain;
        }
    }
    struct sl_live_domain domain = {
        .name = *name,
        .weight = SlHash_Rendezvous(Sl_RANK_KEY, SlName_Str(name)),
    };
    g_array_append_val(domains, domain);
    return &g_array_index(domains, struct sl_live_domain, domains->len - 1);
}

/* Sets `is_leader` of the peers. Returns the domains, struct sl_live_domain,
 * the local one first; the caller frees the array. */
static GArray *
mark_leaders(struct sl_router *router)
{
    GArray *domains = g_array_new(FALSE, FALSE, sizeof(struct sl_live_domain));
    struct sl_live_domain *local =
        find_or_add_domain(domains, &router->options.domain);
    GHashTableIter iter;
    gpointer value;
    local->leader_weight =
        SlHash_Rendezvous(Sl_RANK_KEY, SlName_Str(&router->options.vm));
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        peer->is_leader = false;
        if (!SlPeers_IsLive(router, peer) || peer->digest.boot == 0) {
            continue;
        }
        struct sl_live_domain *domain =
            find_or_add_domain(domains, &peer->domain);
        uint64_t weight =
            SlHash_Rendezvous(Sl_RANK_KEY, SlName_Str(&peer->vm));
        if (weight > domain->leader_weight) {
            domain->leader_weight = weight;
            domain->leader = peer;
        }
    }
    for (guint i = 0; i < domains->len; i++) {
        struct sl_router_peer *leader =
            g_array_index(domains, struct sl_live_domain, i).leader;
        if (leader != NULL) {
            leader->is_leader = true;
        }
    }
    return domains;
}

size_t
SlPeers_DomainRank(const struct sl_router *router, const struct sl_name *vm)
{
    return rank_of(router, vm, Sl_RANK_KEY, true);
}

/* Orders peers by their rank in the domain. */
static gint
compare_rank(gconstpointer left, gconstpointer right)
{
    const struct sl_router_peer *a = *(struct sl_router_peer *const *)left;
    const struct sl_router_peer *b = *(struct sl_router_peer *const *)right;
    uint64_t a_weight = SlHash_Rendezvous(Sl_RANK_KEY, SlName_Str(&a->vm));
    uint64_t b_weight = SlHash_Rendezvous(Sl_RANK_KEY, SlName_Str(&b->vm));
    return a_weight > b_weight ? -1 : a_weight < b_weight;
}

GPtrArray *
SlPeers_ByDomainRank(const struct sl_router *router)
{
    GPtrArray *peers = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (SlPeers_IsLive(router, peer) &&
            SlName_Equal(&peer->domain, &router->options.domain)) {
            g_ptr_array_add(peers, value);
        }
    }
    g_ptr_array_sort(peers, compare_rank);
    return peers;
}

/* Computes the position again if it is too old or not valid. */
static void
update_position(struct sl_router *router)
{
    struct sl_fleet_position *position = &router->fleet_position;
    if (position->computed_us != 0 &&
        router->now_us - position->computed_us < Sl_MAX_POSITION_AGE_US) {
        return;
    }
    GArray *domains = mark_leaders(router);
    const struct sl_live_domain *local =
        &g_array_index(domains, struct sl_live_domain, 0);
    position->computed_us = router->now_us;
    position->domain_count = domains->len;
    position->rank_of_domain = 0;
    for (guint i = 1; i < domains->len; i++) {
        position->rank_of_domain +=
            g_array_index(domains, struct sl_live_domain, i).weight >
                    local->weight
                ? 1
                : 0;
    }
    position->rank_in_domain = SlPeers_DomainRank(router, &router->options.vm);
    g_array_free(domains, TRUE);
}

const struct sl_fleet_position *
SlPeers_FleetPosition(struct sl_router *router)
{
    update_position(router);
    return &router->fleet_position;
}

void
SlPeers_Free(void *data)
{
    struct sl_router_peer *peer = data;
    g_hash_table_destroy(peer->demands);
    g_free(peer);
}

/* Returns the peer with its domain and address updated; adds it if it is
 * missing. */
static struct sl_router_peer *
update_or_add(struct sl_router *router, const struct sl_name *vm,
              const struct sl_name *domain, const struct sl_name *address)
{
    struct sl_router_peer *peer = g_hash_table_lookup(router->peers, vm);
    if (peer == NULL) {
        peer = g_new0(struct sl_router_peer, 1);
        peer->vm = *vm;
        peer->newest_digest_sent_us = router->now_us;
        peer->demands = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        g_hash_table_insert(router->peers, &peer->vm, peer);
        SlLogLine_Begin(router, "peer_known");
        SlLogLine_Name(router, "peer", vm);
        SlLogLine_Name(router, "address", address);
        SlLogLine_End(router, Sl_LOG_INFO);
    }
    peer->domain = *domain;
    peer->address = *address;
    return peer;
}

/* Callback of g_hash_table_foreach_remove(). */
static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    const struct sl_router *router = data;
    const struct sl_router_peer *peer = value;
    (void)key;
    return router->now_us - peer->newest_digest_sent_us > Sl_EXPIRE_US;
}

static void
log_peer(struct sl_router *router, const struct sl_router_peer *peer,
         const char *event)
{
    SlLogLine_Begin(router, event);
    SlLogLine_Name(router, "peer", &peer->vm);
    SlLogLine_Int(router, "silent_ms",
                  (router->now_us - peer->newest_digest_sent_us) /
                      Sl_US_PER_MS);
    SlLogLine_Int(router, "fleet", (int64_t)SlPeers_FleetSize(router));
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Logs the peers that are not live any more. */
static void
log_down_peers(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        if (peer->was_live_when_logged && !SlPeers_IsLive(router, peer)) {
            peer->was_live_when_logged = false;
            log_peer(router, peer, "peer_down");
        }
    }
}

void
SlPeers_ExpireSilent(struct sl_router *router)
{
    log_down_peers(router);
    g_hash_table_foreach_remove(router->peers, is_expired, router);
    router->peers_changed = true;
}

/* ---- updates of peers ---- */

void
SlPeers_OnMember(struct sl_router *router, const struct sl_member *member)
{
    if (!SlName_Equal(&member->vm, &router->options.vm)) {
        (void)update_or_add(router, &member->vm, &member->domain,
                            &member->address);
    }
}

enum sl_digest_result
SlPeers_OnDigest(struct sl_router *router,
                 const struct sl_gossip_digest *digest)
{
    if (SlName_Equal(&digest->vm, &router->options.vm)) {
        return Sl_DIGEST_IGNORED;
    }
    struct sl_router_peer *peer =
        update_or_add(router, &digest->vm, &digest->domain, &digest->address);
    bool was_live = SlPeers_IsLive(router, peer) && peer->digest.boot != 0;
    if (peer->digest.boot == digest->boot &&
        digest->sequence <= peer->digest.sequence) {
        return Sl_DIGEST_IGNORED; /* late */
    }
    bool has_started = peer->digest.boot != digest->boot;
    if (has_started) {
        g_hash_table_remove_all(peer->demands);
    }
    if (has_started || digest->is_leaving != peer->digest.is_leaving) {
        router->fleet_position.computed_us = 0;
    }
    peer->digest = *digest;
    peer->newest_digest_sent_us =
        router->now_us - digest->age_ms * Sl_US_PER_MS;
    router->peers_changed = true;
    if (digest->is_leaving ? peer->was_live_when_logged : !was_live) {
        peer->was_live_when_logged = !digest->is_leaving;
        log_peer(router, peer,
                 digest->is_leaving ? "peer_leaving" : "peer_up");
    }
    return has_started && !digest->is_leaving ? Sl_DIGEST_FIRST
                                              : Sl_DIGEST_ACCEPTED;
}

bool
SlPeers_AddListed(struct sl_router *router, const struct sl_member *member)
{
    if (SlName_Equal(&member->vm, &router->options.vm) ||
        g_hash_table_contains(router->peers, &member->vm)) {
        return false;
    }
    (void)update_or_add(router, &member->vm, &member->domain,
                        &member->address);
    router->fleet_position.computed_us = 0;
    return true;
}

void
SlPeers_SumLoads(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    if (!router->peers_changed) {
        return;
    }
    router->peers_changed = false;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_upstream *upstream = value;
        upstream->peers_in_flight = 0;
        upstream->peers_prefill_backlog_us = 0;
        SlEngineRooms_ClearPeers(upstream);
    }
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (!SlPeers_IsLive(router, peer)) {
            continue;
        }
        int64_t age_us = router->now_us - peer->newest_digest_sent_us;
        for (size_t i = 0; i < peer->digest.load_count; i++) {
            const struct sl_gossip_load *load = &peer->digest.loads[i];
            /* A load that may be of several upstreams counts for each. */
            for (struct sl_router_upstream *upstream =
                     SlUpstreams_FirstWithKey(router, load->upstream);
                 upstream != NULL; upstream = upstream->next_with_key) {
                int64_t prefill_backlog_us =
                    load->backlog_ms * Sl_US_PER_MS - age_us;
                upstream->peers_in_flight += load->in_flight;
                upstream->peers_prefill_backlog_us +=
                    MAX(prefill_backlog_us, 0);
                SlEngineRooms_AddPeer(upstream, load->held_tokens);
            }
        }
    }
}
