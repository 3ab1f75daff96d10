/*
 * Relay of digests between failure domains. In a large fleet few bytes may
 * pass between domains, so a digest is sent to two routers of each other
 * domain, the relays, different ones at each gossip interval. The first relay
 * forwards the digest to the routers of its domain at once. The second relay
 * does so a little later, unless it has received the first one's copy by then:
 * the first may hang or have crashed.
 */
#include "sl_router_internal.h"

/* Time that the second relay waits for the first. */
#define Sl_SECOND_RELAY_DELAY_US (200 * Sl_US_PER_MS)
/* A domain with no more live routers than this has no relays: all of them get
 * the digests directly. */
#define Sl_MAX_DIRECT (Sl_RELAYS_PER_DOMAIN + 1)
/* Interval of digests to a peer that is silent or has left. Such a peer may
 * start again while the store is unavailable, and then knows no router. */
#define Sl_SILENT_INTERVAL_US (2 * Sl_US_PER_S)
/* Most peers of a silent domain that get a digest at the same time. */
#define Sl_SILENT_RECIPIENTS 4

/* ---- choice of recipients ---- */

/* The peers of one of the other failure domains: struct sl_router_peer, not
 * owned. */
struct sl_peer_group {
    struct sl_name domain;
    GPtrArray *live;       /* live peers that have sent a digest */
    GPtrArray *silent_due; /* others, if they are due to get a digest */
};

/* Returns the group of the domain; adds it if it is missing. */
static struct sl_peer_group *
find_or_add_group(GArray *groups, const struct sl_name *domain)
{
    for (guint i = 0; i < groups->len; i++) {
        struct sl_peer_group *group =
            &g_array_index(groups, struct sl_peer_group, i);
        if (SlName_Equal(&group->domain, domain)) {
            return group;
        }
    }
    struct sl_peer_group group = {*domain, g_ptr_array_new(),
                                  g_ptr_array_new()};
    g_array_append_val(groups, group);
    return &g_array_index(groups, struct sl_peer_group, groups->len - 1);
}

static void
clear_group(gpointer data)
{
    struct sl_peer_group *group = data;
    g_ptr_array_free(group->live, TRUE);
    g_ptr_array_free(group->silent_due, TRUE);
}

/* Returns true if a peer that is not live is due to get a digest. */
static bool
is_silent_due(const struct sl_router *router,
              const struct sl_router_peer *peer)
{
    return router->now_us - peer->last_sent_to_us >= Sl_SILENT_INTERVAL_US;
}

static void
add_recipient(struct sl_router *router, GPtrArray *recipients,
              struct sl_router_peer *peer)
{
    peer->last_sent_to_us = router->now_us;
    g_ptr_array_add(recipients, &peer->address);
}

/* Orders peers by the time of the last digest sent to them, oldest first. */
static gint
compare_last_sent(gconstpointer left, gconstpointer right)
{
    const struct sl_router_peer *a = *(struct sl_router_peer *const *)left;
    const struct sl_router_peer *b = *(struct sl_router_peer *const *)right;
    return a->last_sent_to_us < b->last_sent_to_us
               ? -1
               : a->last_sent_to_us > b->last_sent_to_us;
}

/* Chooses the silent peers to which no digest was sent for the longest time.
 * Each is asked to forward the digest, in case it is live again. */
static void
choose_silent(struct sl_router *router, struct sl_peer_group *group,
              struct sl_recipients *recipients)
{
    g_ptr_array_sort(group->silent_due, compare_last_sent);
    for (guint i = 0; i < MIN(group->silent_due->len, Sl_SILENT_RECIPIENTS);
         i++) {
        add_recipient(router, recipients->relays[0],
                      g_ptr_array_index(group->silent_due, i));
    }
}

/* Chooses the live peers of the group that rank first by a rendezvous hash
 * which includes the number of the round. The relays thus differ at each
 * gossip interval: if one cannot be reached from this router, its domain
 * misses only the digest of that interval. */
static void
choose_relays(struct sl_router *router, const struct sl_peer_group *group,
              struct sl_recipients *recipients)
{
    struct sl_router_peer *best[Sl_RELAYS_PER_DOMAIN] = {NULL};
    uint64_t weights[Sl_RELAYS_PER_DOMAIN] = {0};
    char key[Sl_NAME_MAX_BYTES + 32];
    int len =
        g_snprintf(key, sizeof(key), "%s/%" G_GUINT64_FORMAT,
                   router->options.vm.text, (guint64)router->gossip_rounds);
    for (guint i = 0; i < group->live->len; i++) {
        struct sl_router_peer *peer = g_ptr_array_index(group->live, i);
        uint64_t weight = SlHash_Rendezvous((struct sl_str){key, (size_t)len},
                                            SlName_Str(&peer->vm));
        /* Inserts the peer into `best`, which is ordered by weight. */
        for (size_t place = 0; place < Sl_RELAYS_PER_DOMAIN && peer != NULL;
             place++) {
            if (best[place] == NULL || weight > weights[place]) {
                struct sl_router_peer *displaced = best[place];
                uint64_t displaced_weight = weights[place];
                best[place] = peer;
                weights[place] = weight;
                peer = displaced;
                weight = displaced_weight;
            }
        }
    }
    for (size_t place = 0; place < Sl_RELAYS_PER_DOMAIN && best[place] != NULL;
         place++) {
        add_recipient(router, recipients->relays[place], best[place]);
    }
}

static void
choose_in_group(struct sl_router *router, struct sl_peer_group *group,
                struct sl_recipients *recipients)
{
    if (group->live->len == 0) {
        choose_silent(router, group, recipients);
    }
    else if (group->live->len > Sl_MAX_DIRECT) {
        choose_relays(router, group, recipients);
    }
    else {
        for (guint i = 0; i < group->live->len; i++) {
            add_recipient(router, recipients->direct,
                          g_ptr_array_index(group->live, i));
        }
    }
}

/* Adds a peer of the local domain to the recipients, and any other to the
 * group of its domain. */
static void
add_peer(struct sl_router *router, struct sl_router_peer *peer,
         struct sl_recipients *recipients, GArray *groups)
{
    bool is_live = SlPeers_IsLive(router, peer);
    if (SlName_Equal(&peer->domain, &router->options.domain)) {
        if (is_live || is_silent_due(router, peer)) {
            add_recipient(router, recipients->direct, peer);
        }
        return;
    }
    struct sl_peer_group *group = find_or_add_group(groups, &peer->domain);
    if (is_live && peer->digest.boot != 0) {
        g_ptr_array_add(group->live, peer);
    }
    else if (is_silent_due(router, peer)) {
        g_ptr_array_add(group->silent_due, peer);
    }
}

void
SlRelay_ChooseRecipients(struct sl_router *router,
                         struct sl_recipients *recipients)
{
    GArray *groups = g_array_new(FALSE, FALSE, sizeof(struct sl_peer_group));
    GHashTableIter iter;
    gpointer value;
    g_array_set_clear_func(groups, clear_group);
    recipients->direct = g_ptr_array_new();
    for (size_t place = 0; place < Sl_RELAYS_PER_DOMAIN; place++) {
        recipients->relays[place] = g_ptr_array_new();
    }
    router->gossip_rounds++;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        add_peer(router, value, recipients, groups);
    }
    for (guint i = 0; i < groups->len; i++) {
        choose_in_group(router,
                        &g_array_index(groups, struct sl_peer_group, i),
                        recipients);
    }
    g_array_free(groups, TRUE);
}

/* ---- forwarding ---- */

/* Forwards the peer's newest digest to the live peers of the local domain. */
static void
forward_digest(struct sl_router *router, struct sl_router_peer *peer)
{
    GPtrArray *recipients = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    peer->relay_due_us = 0;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *other = value;
        if (SlPeers_IsLive(router, other) &&
            SlName_Equal(&other->domain, &router->options.domain)) {
            g_ptr_array_add(recipients, &other->address);
        }
    }
    struct sl_gossip_digest digest = peer->digest;
    digest.relay = 0;
    /* A forwarded digest always has an age of at least 1 ms, which tells it
     * from one that its sender has sent directly. */
    SlGossip_AddAge(&digest, MAX(router->now_us - peer->newest_digest_sent_us,
                                 Sl_US_PER_MS));
    SlDigests_Send(router, &digest, recipients);
}

static void on_relay_due(void *context, uint64_t id, int64_t now_us);

/* Sets the timer for the second relay's digests, unless it is set: it then
 * runs earlier, and is set again for those that are not due yet. */
static void
arm_timer(struct sl_router *router, int64_t due_us)
{
    if (router->relay_timer == 0) {
        router->relay_timer =
            SlTimers_Add(router->timers, due_us, on_relay_due, router, 0);
    }
}

static void
on_relay_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    int64_t next_due_us = Sl_NEVER_US;
    GHashTableIter iter;
    gpointer value;
    (void)id;
    router->relay_timer = 0;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        if (peer->relay_due_us != 0 && peer->relay_due_us <= now_us) {
            forward_digest(router, peer);
        }
        else if (peer->relay_due_us != 0) {
            next_due_us = MIN(next_due_us, peer->relay_due_us);
        }
    }
    if (next_due_us != Sl_NEVER_US) {
        arm_timer(router, next_due_us);
    }
}

void
SlRelay_OnDigest(struct sl_router *router,
                 const struct sl_gossip_digest *digest)
{
    struct sl_router_peer *peer =
        g_hash_table_lookup(router->peers, &digest->vm);
    peer->relay_due_us = 0;
    if (digest->relay == 1) {
        forward_digest(router, peer);
    }
    else if (digest->relay != 0) {
        peer->relay_due_us = router->now_us + Sl_SECOND_RELAY_DELAY_US;
        arm_timer(router, peer->relay_due_us);
    }
}

void
SlRelay_OnStaleDigest(struct sl_router *router,
                      const struct sl_gossip_digest *digest)
{
    struct sl_router_peer *peer =
        g_hash_table_lookup(router->peers, &digest->vm);
    if (peer != NULL && digest->age_ms > 0 &&
        digest->boot == peer->digest.boot) {
        peer->relay_due_us = 0;
    }
}
