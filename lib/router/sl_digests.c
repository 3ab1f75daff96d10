/*
 * Telling the other routers what holds here, and hearing from them: those of
 * the own failure domain soon after the load has changed, all of them at a
 * slow beat. A new router announces itself by its first digest.
 */
#include "sl_router_internal.h"

/* Own load changes are collected for so long before the peers of the failure
 * domain are told; the processor time of a digest bounds it from below. */
#define Sl_SOON_US (25 * Sl_US_PER_MS)
/* More peers than this in the failure domain are told of loads less often in
 * proportion, so that a router's digests stay bounded. News of the store are
 * rare, and told as soon as ever. */
#define Sl_SOON_PEERS 10
/* A peer that is silent or has left is told only so often: it may start again
 * while the store is away, and then knows nobody. */
#define Sl_SILENT_BEAT_US (2 * Sl_US_PER_S)
/* Member records are read again this often: routers that started without
 * hearing of each other meet through them. */
#define Sl_MEMBERS_AGAIN_US (60 * Sl_US_PER_S)

/* A router that has asked others for the fleet is written to the store a
 * little later: for those that start while none of these live. */
#define Sl_REGISTER_AFTER_US (500 * Sl_US_PER_MS)
#define Sl_REGISTER_SPREAD_US (2 * Sl_US_PER_S)

/* Has it met others by asking them? */
static bool
has_met_others(const struct sl_router *router)
{
    return router->options.seed_count > 0 && SlPeers_FleetSize(router) > 1;
}

/* ---- digests ---- */

static void
fill_loads(const struct sl_router *router, struct sl_gossip *digest)
{
    GHashTableIter iter;
    gpointer value;
    digest->load_count = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           digest->load_count < Sl_GOSSIP_MAX_LOADS) {
        const struct sl_upstream *upstream = value;
        if (upstream->in_flight == 0) {
            continue;
        }
        struct sl_gossip_load *load = &digest->loads[digest->load_count++];
        load->upstream = upstream->key;
        load->in_flight = (uint32_t)upstream->in_flight;
        load->backlog_ms =
            (uint32_t)(SlUpstreams_OwnUnread(router, upstream) / Sl_US_PER_MS);
    }
}

static void
fill_faults(const struct sl_router *router, struct sl_gossip *digest)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           digest->fault_count < Sl_GOSSIP_MAX_FAULTS) {
        const struct sl_upstream *upstream = value;
        if (!upstream->listed) {
            continue;
        }
        struct sl_gossip_fault fault = {.upstream = upstream->key};
        if (SlWishes_TellsLeaving(router, upstream)) {
            fault.kind = Sl_FAULT_LEAVING;
            fault.age_ms = (uint32_t)((router->now_us - upstream->left_us) /
                                      Sl_US_PER_MS);
        }
        else if (SlUpstreams_IsOwnFault(router, upstream)) {
            fault.kind =
                upstream->is_replaced ? Sl_FAULT_REPLACED : Sl_FAULT_FAILING;
        }
        else {
            continue;
        }
        digest->faults[digest->fault_count++] = fault;
    }
}

static void
fill_digest(struct sl_router *router, struct sl_gossip *digest)
{
    digest->vm = router->options.vm;
    digest->domain = router->options.domain;
    digest->address = router->options.peer_address;
    digest->boot = router->options.boot;
    digest->sequence = ++router->digest_sequence;
    digest->leaving = router->draining;
    for (size_t i = 0; i < Sl_GOSSIP_FEEDS; i++) {
        digest->offsets[i] = router->feeds[i].next;
    }
    digest->news_age_ms = SlFeeds_NewsAgeMs(router);
    fill_loads(router, digest);
    fill_faults(router, digest);
    digest->rollout_count = 0;
    SlRollouts_Tell(router, digest);
}

/* Who is told. */
enum sl_tell {
    Sl_TELL_ALL,
    Sl_TELL_DOMAIN,
    Sl_TELL_NEWS, /* of the store: the domain, and the heads of others */
};

static bool
is_due(const struct sl_router *router, const struct sl_router_peer *peer,
       enum sl_tell tell)
{
    if (tell == Sl_TELL_ALL) {
        return SlPeers_IsLive(router, peer) ||
               router->now_us - peer->sent_us >= Sl_SILENT_BEAT_US;
    }
    return SlPeers_IsLive(router, peer) &&
           (SlName_Equal(&peer->digest.domain, &router->options.domain) ||
            (tell == Sl_TELL_NEWS && peer->is_head));
}

static void
tell_peers(struct sl_router *router, enum sl_tell tell)
{
    guint peers = g_hash_table_size(router->peers);
    const struct sl_name **addresses =
        g_new0(const struct sl_name *, peers + 1);
    struct sl_gossip *digest = g_new0(struct sl_gossip, 1);
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    SlOutbox_Keep(router, addresses);
    SlOutbox_Keep(router, digest);
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        if (is_due(router, peer, tell)) {
            addresses[count++] = &peer->address;
            peer->sent_us = router->now_us;
        }
    }
    if (tell == Sl_TELL_DOMAIN) {
        router->domain_peers = count;
    }
    if (count == 0) {
        return;
    }
    fill_digest(router, digest);
    struct sl_router_effect *effect = SlOutbox_Add(router, Sl_RFX_GOSSIP);
    effect->u.gossip.digest = digest;
    effect->u.gossip.count = count;
    effect->u.gossip.addresses = addresses;
}

/* Sends a digest to one address. */
static void
tell_one(struct sl_router *router, const struct sl_name *address)
{
    struct sl_gossip *digest = g_new0(struct sl_gossip, 1);
    struct sl_name *copy = g_memdup2(address, sizeof(*address));
    const struct sl_name **addresses = g_new0(const struct sl_name *, 1);
    SlOutbox_Keep(router, digest);
    SlOutbox_Keep(router, copy);
    SlOutbox_Keep(router, addresses);
    addresses[0] = copy;
    fill_digest(router, digest);
    struct sl_router_effect *effect = SlOutbox_Add(router, Sl_RFX_GOSSIP);
    effect->u.gossip.digest = digest;
    effect->u.gossip.count = 1;
    effect->u.gossip.addresses = addresses;
}

/* Names others to a peer that has just started. */
static void
introduce(struct sl_router *router, const struct sl_gossip *digest)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct sl_introduced));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (SlPeers_IsLive(router, peer) && peer->digest.boot != 0 &&
            !SlName_Equal(&peer->vm, &digest->vm)) {
            struct sl_introduced member = {peer->vm, peer->address};
            g_array_append_val(members, member);
        }
    }
    /* Others name other ones, so that together they name all. */
    for (guint i = members->len; i > 1; i--) {
        guint j = SlRandom_Below(&router->random, i);
        struct sl_introduced *all = (struct sl_introduced *)members->data;
        struct sl_introduced swapped = all[i - 1];
        all[i - 1] = all[j];
        all[j] = swapped;
    }
    if (members->len > 0) {
        struct sl_router_effect *effect =
            SlOutbox_Add(router, Sl_RFX_INTRODUCE);
        effect->u.introduce.address = digest->address;
        effect->u.introduce.count = MIN(members->len, Sl_MAX_INTRODUCED);
        effect->u.introduce.members =
            (const struct sl_introduced *)members->data;
    }
    SlOutbox_Keep(router, g_array_free(members, FALSE));
}

void
SlDigests_OnIntroduced(struct sl_router *router,
                       const struct sl_introduced *members, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (SlPeers_OnIntroduced(router, &members[i])) {
            tell_one(router, &members[i].address);
        }
    }
}

static void
on_beat(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    SlPeers_Forget(router);
    SlFeeds_NoteDuty(router);
    tell_peers(router, Sl_TELL_ALL);
    SlRollouts_Told(router);
    SlTimers_Subscribe(router->timers, router->now_us + SlPeers_BeatUs(router),
                       on_beat, router, 0);
}

static void
on_soon(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    bool has_news = router->has_news;
    router->gossip_timer = 0;
    router->has_news = false;
    (void)SlPeers_Duties(router);
    tell_peers(router, has_news ? Sl_TELL_NEWS : Sl_TELL_DOMAIN);
}

void
SlDigests_Soon(struct sl_router *router)
{
    int64_t peers = (int64_t)MAX(router->domain_peers, Sl_SOON_PEERS);
    int64_t pause_us =
        router->has_news ? Sl_SOON_US : Sl_SOON_US * peers / Sl_SOON_PEERS;
    int64_t due_us = router->now_us + pause_us;
    if (router->gossip_timer != 0 && router->gossip_due_us <= due_us) {
        return;
    }
    if (router->gossip_timer != 0) {
        SlTimers_Cancel(router->timers, router->gossip_timer);
    }
    router->gossip_due_us = due_us;
    router->gossip_timer =
        SlTimers_Subscribe(router->timers, due_us, on_soon, router, 0);
}

void
SlDigests_Leave(struct sl_router *router)
{
    tell_peers(router, Sl_TELL_ALL);
}

void
SlDigests_OnDigest(struct sl_router *router, const struct sl_gossip *digest)
{
    enum sl_taken taken = SlPeers_Take(router, digest);
    if (taken == Sl_TAKEN_NOT) {
        return;
    }
    if (taken == Sl_TAKEN_START) {
        tell_one(router, &digest->address);
        introduce(router, digest);
    }
    router->bytes_us = router->now_us;
    SlFeeds_OnDigest(router, digest);
    for (size_t i = 0; i < digest->fault_count; i++) {
        SlUpstreams_OnToldFault(router, &digest->vm, &digest->faults[i]);
    }
    for (size_t i = 0; i < digest->rollout_count; i++) {
        SlRollouts_OnGossip(router, &digest->vm, &digest->rollouts[i]);
    }
}

/* ---- members ---- */

static void
on_members_again(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    if (!has_met_others(router) || SlPeers_Duties(router)->own_rank == 0) {
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
    SlTimers_Subscribe(router->timers, router->now_us + Sl_MEMBERS_AGAIN_US,
                       on_members_again, router, 0);
}

static void
register_member(struct sl_router *router)
{
    struct sl_router_effect *effect = SlOutbox_Add(router, Sl_RFX_APPEND);
    struct sl_record *record = &effect->u.append.record;
    effect->u.append.feed = Sl_FEED_MEMBERS;
    effect->u.append.token = router->member_token = ++router->last_token;
    effect->u.append.conditional = false;
    record->type = Sl_RECORD_MEMBER;
    record->u.member.vm = router->options.vm;
    record->u.member.domain = router->options.domain;
    record->u.member.address = router->options.peer_address;
}

static void
on_register(void *context, uint64_t id, int64_t now_us)
{
    (void)id;
    (void)now_us;
    register_member(context);
}

/* Asks some routers for the others; returns how many. */
static size_t
greet_seeds(struct sl_router *router)
{
    const struct sl_router_options *options = &router->options;
    size_t greeted = 0;
    for (size_t i = 0; i < options->seed_count; i++) {
        if (!SlName_Equal(&options->seeds[i], &options->peer_address)) {
            tell_one(router, &options->seeds[i]);
            greeted++;
        }
    }
    return greeted;
}

void
SlDigests_Start(struct sl_router *router)
{
    if (greet_seeds(router) == 0) {
        register_member(router);
    }
    else {
        int64_t after_us = SlRandom_Below(
            &router->random, (uint32_t)(Sl_REGISTER_SPREAD_US / Sl_US_PER_MS));
        SlTimers_Subscribe(router->timers,
                           router->now_us + Sl_REGISTER_AFTER_US +
                               after_us * Sl_US_PER_MS,
                           on_register, router, 0);
    }
    SlTimers_Subscribe(router->timers, router->now_us + SlPeers_BeatUs(router),
                       on_beat, router, 0);
    SlTimers_Subscribe(router->timers, router->now_us + Sl_MEMBERS_AGAIN_US,
                       on_members_again, router, 0);
}

void
SlDigests_OnRegistered(struct sl_router *router, const struct sl_error *err)
{
    if (err != NULL) {
        SlLine_Begin(router, "register_failed");
        SlLine_Error(router, err);
        SlLine_End(router, Sl_LOG_WARN);
    }
    /* After the own record is there: of two routers that start at once, at
     * least one then finds the other. */
    if (!has_met_others(router)) {
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
}
