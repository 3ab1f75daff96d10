/*
 * The other routers: who lives, and what they have under way. A router finds
 * the others in the store's member records and by their own digests.
 */
#include "sl_router_internal.h"

/* Beat of digests to all peers. */
#define Sl_BEAT_US (500 * Sl_US_PER_MS)
/* A fleet of more than this many routers beats slower in proportion, so that
 * a router's digests stay bounded. */
#define Sl_FULL_BEAT_PEERS 32
/* Beats without a digest after which a peer is taken for dead. */
#define Sl_SILENT_BEATS 5
/* A silent peer may live behind a cut: it keeps its part of what the fleet
 * shares for so long. */
#define Sl_FORGET_US (60 * Sl_US_PER_S)

/* ---- who lives ---- */

int64_t
SlPeers_GossipIntervalUs(const struct sl_router *router)
{
    int64_t peers = (int64_t)g_hash_table_size(router->peers);
    return Sl_BEAT_US * MAX(peers, Sl_FULL_BEAT_PEERS) / Sl_FULL_BEAT_PEERS;
}

bool
SlPeers_IsLive(const struct sl_router *router,
               const struct sl_router_peer *peer)
{
    return !peer->digest.leaving &&
           router->now_us - peer->heard_us <
               Sl_SILENT_BEATS * SlPeers_GossipIntervalUs(router);
}

bool
SlPeers_HasHeard(const struct sl_router *router)
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
SlPeers_SharerCount(const struct sl_router *router)
{
    size_t known = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        bool was_heard = peer->digest.boot != 0 && !peer->digest.leaving;
        known += was_heard || SlPeers_IsLive(router, peer) ? 1 : 0;
    }
    return known;
}

/* The place of a router among those that live. */
static size_t
rank_of(const struct sl_router *router, const struct sl_name *vm,
        struct sl_str key, bool in_domain)
{
    uint64_t weight = SlHash_Rendezvous(key, SlName_Str(vm));
    uint64_t own = SlHash_Rendezvous(key, SlName_Str(&router->options.vm));
    size_t rank = own > weight ? 1 : 0;
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

/* ---- fleet_position ---- */

/* Duties are worked out again this often: peers lapse as time passes. */
#define Sl_DUTY_AGE_US (100 * Sl_US_PER_MS)
/* Key of the order in which a domain's routers are its head. */
#define Sl_HEAD_KEY Sl_STR("readers")

/* A failure domain with routers that live. */
struct sl_live_domain {
    struct sl_name name;
    uint64_t weight; /* of the domain among the others */
    uint64_t head_weight;
    struct sl_router_peer *head; /* NULL: this router, or none yet */
};

static struct sl_live_domain *
domain_of(GArray *domains, const struct sl_name *name)
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
        .weight = SlHash_Rendezvous(Sl_HEAD_KEY, SlName_Str(name)),
    };
    g_array_append_val(domains, domain);
    return &g_array_index(domains, struct sl_live_domain, domains->len - 1);
}

/* Marks each domain's head among the peers, and gives the domains. */
static GArray *
find_heads(struct sl_router *router)
{
    GArray *domains = g_array_new(FALSE, FALSE, sizeof(struct sl_live_domain));
    struct sl_live_domain *own = domain_of(domains, &router->options.domain);
    GHashTableIter iter;
    gpointer value;
    own->head_weight =
        SlHash_Rendezvous(Sl_HEAD_KEY, SlName_Str(&router->options.vm));
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        peer->is_leader = false;
        if (!SlPeers_IsLive(router, peer) || peer->digest.boot == 0) {
            continue;
        }
        struct sl_live_domain *domain = domain_of(domains, &peer->domain);
        uint64_t weight =
            SlHash_Rendezvous(Sl_HEAD_KEY, SlName_Str(&peer->vm));
        if (weight > domain->head_weight) {
            domain->head_weight = weight;
            domain->head = peer;
        }
    }
    for (guint i = 0; i < domains->len; i++) {
        struct sl_router_peer *head =
            g_array_index(domains, struct sl_live_domain, i).head;
        if (head != NULL) {
            head->is_leader = true;
        }
    }
    return domains;
}

size_t
SlPeers_DomainRank(const struct sl_router *router, const struct sl_name *vm)
{
    return rank_of(router, vm, Sl_HEAD_KEY, true);
}

static gint
by_place(gconstpointer left, gconstpointer right)
{
    const struct sl_router_peer *a = *(struct sl_router_peer *const *)left;
    const struct sl_router_peer *b = *(struct sl_router_peer *const *)right;
    uint64_t first = SlHash_Rendezvous(Sl_HEAD_KEY, SlName_Str(&a->vm));
    uint64_t second = SlHash_Rendezvous(Sl_HEAD_KEY, SlName_Str(&b->vm));
    return first > second ? -1 : first < second;
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
    g_ptr_array_sort(peers, by_place);
    return peers;
}

static void
refresh_duties(struct sl_router *router)
{
    struct sl_fleet_position *fleet_position = &router->fleet_position;
    if (fleet_position->at_us != 0 &&
        router->now_us - fleet_position->at_us < Sl_DUTY_AGE_US) {
        return;
    }
    GArray *domains = find_heads(router);
    const struct sl_live_domain *own =
        &g_array_index(domains, struct sl_live_domain, 0);
    fleet_position->at_us = router->now_us;
    fleet_position->domain_count = domains->len;
    fleet_position->rank_of_domain = 0;
    for (guint i = 1; i < domains->len; i++) {
        fleet_position->rank_of_domain +=
            g_array_index(domains, struct sl_live_domain, i).weight >
                    own->weight
                ? 1
                : 0;
    }
    fleet_position->rank_in_domain =
        SlPeers_DomainRank(router, &router->options.vm);
    g_array_free(domains, TRUE);
}

const struct sl_fleet_position *
SlPeers_FleetPosition(struct sl_router *router)
{
    refresh_duties(router);
    return &router->fleet_position;
}

static struct sl_router_peer *
find_or_add(struct sl_router *router, const struct sl_name *vm,
            const struct sl_name *domain, const struct sl_name *address)
{
    struct sl_router_peer *peer = g_hash_table_lookup(router->peers, vm);
    if (peer == NULL) {
        peer = g_new0(struct sl_router_peer, 1);
        peer->vm = *vm;
        peer->heard_us = router->now_us;
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

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const struct sl_router *router = data;
    const struct sl_router_peer *peer = value;
    (void)key;
    return router->now_us - peer->heard_us > Sl_FORGET_US;
}

static void
log_peer(struct sl_router *router, const struct sl_router_peer *peer,
         const char *event)
{
    SlLogLine_Begin(router, event);
    SlLogLine_Name(router, "peer", &peer->vm);
    SlLogLine_Int(router, "silent_ms",
                  (router->now_us - peer->heard_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "fleet", (int64_t)SlPeers_FleetSize(router));
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
note_silent(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        if (peer->is_up && !SlPeers_IsLive(router, peer)) {
            peer->is_up = false;
            log_peer(router, peer, "peer_down");
        }
    }
}

void
SlPeers_ExpireSilent(struct sl_router *router)
{
    note_silent(router);
    g_hash_table_foreach_remove(router->peers, is_forgotten, router);
    router->peers_changed = true;
}

/* ---- news ---- */

void
SlPeers_OnMember(struct sl_router *router, const struct sl_member *member)
{
    if (!SlName_Equal(&member->vm, &router->options.vm)) {
        (void)find_or_add(router, &member->vm, &member->domain,
                          &member->address);
    }
}

enum sl_digest_result
SlPeers_OnDigest(struct sl_router *router, const struct sl_gossip *digest)
{
    if (SlName_Equal(&digest->vm, &router->options.vm)) {
        return Sl_DIGEST_IGNORED;
    }
    struct sl_router_peer *peer =
        find_or_add(router, &digest->vm, &digest->domain, &digest->address);
    bool was_live = SlPeers_IsLive(router, peer) && peer->digest.boot != 0;
    if (peer->digest.boot == digest->boot &&
        digest->sequence <= peer->digest.sequence) {
        return Sl_DIGEST_IGNORED; /* late */
    }
    bool is_new = peer->digest.boot != digest->boot;
    if (is_new || digest->leaving != peer->digest.leaving) {
        router->fleet_position.at_us = 0;
    }
    peer->digest = *digest;
    peer->heard_us = router->now_us - digest->age_ms * Sl_US_PER_MS;
    router->peers_changed = true;
    if (digest->leaving ? peer->is_up : !was_live) {
        peer->is_up = !digest->leaving;
        log_peer(router, peer, digest->leaving ? "peer_leaving" : "peer_up");
    }
    return is_new && !digest->leaving ? Sl_DIGEST_FIRST : Sl_DIGEST_ACCEPTED;
}

bool
SlPeers_AddListed(struct sl_router *router, const struct sl_member *member)
{
    if (SlName_Equal(&member->vm, &router->options.vm) ||
        g_hash_table_contains(router->peers, &member->vm)) {
        return false;
    }
    (void)find_or_add(router, &member->vm, &member->domain, &member->address);
    router->fleet_position.at_us = 0;
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
        struct sl_upstream *upstream = value;
        upstream->peers_in_flight = 0;
        upstream->peers_unread_us = 0;
    }
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (!SlPeers_IsLive(router, peer)) {
            continue;
        }
        int64_t age_us = router->now_us - peer->heard_us;
        for (size_t i = 0; i < peer->digest.load_count; i++) {
            const struct sl_gossip_load *load = &peer->digest.loads[i];
            struct sl_upstream *upstream = g_hash_table_lookup(
                router->by_key, GUINT_TO_POINTER(load->upstream));
            if (upstream != NULL) {
                int64_t unread_us = load->backlog_ms * Sl_US_PER_MS - age_us;
                upstream->peers_in_flight += load->in_flight;
                upstream->peers_unread_us += MAX(unread_us, 0);
            }
        }
    }
}
