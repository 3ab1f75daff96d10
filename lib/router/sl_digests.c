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
/* Member records are read again this often: routers that started without
 * hearing of each other meet through them. */
#define Sl_MEMBERS_AGAIN_US (60 * Sl_US_PER_S)

/* A router that has asked others for the fleet is written to the store a
 * little later: for those that start while none of these live. */
#define Sl_REGISTER_AFTER_US (500 * Sl_US_PER_MS)
#define Sl_REGISTER_SPREAD_US (2 * Sl_US_PER_S)

/* Seeds may just be starting themselves. While nobody has been heard they are
 * greeted again, and with them some of the members that the store names: soon
 * at first, and then at longer pauses. */
#define Sl_GREET_US (100 * Sl_US_PER_MS)
#define Sl_GREET_SOON_US Sl_US_PER_S
#define Sl_GREET_MAX_US (2 * Sl_US_PER_S)
#define Sl_GREETED_MEMBERS 8

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
    digest->known =
        (uint32_t)SlPeers_CountDomain(router, &router->options.domain);
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        digest->offsets[i] = router->feeds[i].next;
    }
    digest->staleness_ms = SlFeeds_StalenessMs(router);
    fill_loads(router, digest);
    fill_faults(router, digest);
    digest->rollout_count = 0;
    SlRollouts_Tell(router, digest);
}

void
SlDigests_Send(struct sl_router *router, const struct sl_gossip *digest,
               GPtrArray *recipients)
{
    guint count = recipients->len;
    gpointer *addresses = g_ptr_array_free(recipients, FALSE);
    SlRouter_FreeWithEffects(router, addresses);
    if (count > 0) {
        struct sl_router_effect *effect =
            SlRouter_AddEffect(router, Sl_RFX_GOSSIP);
        struct sl_gossip *copy = g_memdup2(digest, sizeof(*digest));
        SlRouter_FreeWithEffects(router, copy);
        effect->u.gossip.digest = copy;
        effect->u.gossip.count = count;
        effect->u.gossip.addresses = (const struct sl_name **)addresses;
    }
}

static void
tell_all(struct sl_router *router)
{
    struct sl_recipients recipients;
    struct sl_gossip digest = {0};
    SlRelay_ChooseRecipients(router, &recipients);
    fill_digest(router, &digest);
    SlDigests_Send(router, &digest, recipients.direct);
    for (size_t place = 0; place < Sl_RELAYS_PER_DOMAIN; place++) {
        digest.relay = (uint8_t)(place + 1);
        SlDigests_Send(router, &digest, recipients.relays[place]);
    }
}

static void
add_domain(struct sl_router *router, GPtrArray *recipients)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        if (SlPeers_IsLive(router, peer) &&
            SlName_Equal(&peer->domain, &router->options.domain)) {
            g_ptr_array_add(recipients, &peer->address);
        }
    }
}

/* Heads of the other failure domains, by the fleet_position of now. */
static void
add_heads(struct sl_router *router, GPtrArray *recipients)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        if (peer->is_leader && SlPeers_IsLive(router, peer) &&
            !SlName_Equal(&peer->domain, &router->options.domain)) {
            g_ptr_array_add(recipients, &peer->address);
        }
    }
}

static void
tell(struct sl_router *router, GPtrArray *recipients)
{
    struct sl_gossip digest = {0};
    if (recipients->len > 0) {
        fill_digest(router, &digest);
    }
    SlDigests_Send(router, &digest, recipients);
}

static void
tell_domain(struct sl_router *router)
{
    GPtrArray *recipients = g_ptr_array_new();
    add_domain(router, recipients);
    router->domain_peers = recipients->len;
    tell(router, recipients);
}

static void
tell_news(struct sl_router *router)
{
    GPtrArray *recipients = g_ptr_array_new();
    const struct sl_fleet_position *position = SlPeers_FleetPosition(router);
    bool has_tree = SlFanoutTree_IsUsed(router);
    if (has_tree) {
        SlFanoutTree_AddChildren(router, recipients);
        if (router->reads_store) {
            SlFanoutTree_AddLeader(router,
                                   recipients); /* whose readers are silent */
        }
    }
    else {
        add_domain(router, recipients);
    }
    if (!has_tree || position->rank_in_domain == 0 ||
        SlFeeds_IsReader(router)) {
        add_heads(router, recipients);
    }
    tell(router, recipients);
}

/* Sends a digest to one address. */
static void
tell_one(struct sl_router *router, const struct sl_name *address)
{
    struct sl_name *copy = g_memdup2(address, sizeof(*address));
    GPtrArray *recipients = g_ptr_array_new();
    struct sl_gossip digest = {0};
    SlRouter_FreeWithEffects(router, copy);
    g_ptr_array_add(recipients, copy);
    fill_digest(router, &digest);
    SlDigests_Send(router, &digest, recipients);
}

/* ---- introductions ---- */

/* Of each failure domain but that of who is told, so many are named: these
 * hand on what they hear. */
#define Sl_NAMED_ELSEWHERE 2

/* The peers that live, in an order by chance: others name other ones. */
static GPtrArray *
shuffled_peers(struct sl_router *router)
{
    GPtrArray *peers = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (SlPeers_IsLive(router, peer) && peer->digest.boot != 0) {
            g_ptr_array_add(peers, value);
        }
    }
    for (guint i = peers->len; i > 1; i--) {
        guint j = SlRandom_Below(&router->random, i);
        gpointer swapped = peers->pdata[i - 1];
        peers->pdata[i - 1] = peers->pdata[j];
        peers->pdata[j] = swapped;
    }
    return peers;
}

static size_t
count_of(const GArray *members, const struct sl_name *domain)
{
    size_t count = 0;
    for (guint i = 0; i < members->len; i++) {
        const struct sl_member *member =
            &g_array_index(members, struct sl_member, i);
        count += SlName_Equal(&member->domain, domain) ? 1 : 0;
    }
    return count;
}

/* Names to a peer its failure domain, and some of each other one. */
static void
introduce(struct sl_router *router, const struct sl_gossip *digest)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct sl_member));
    GPtrArray *peers = shuffled_peers(router);
    for (guint i = 0; i < peers->len; i++) {
        const struct sl_router_peer *peer = g_ptr_array_index(peers, i);
        if (!SlName_Equal(&peer->vm, &digest->vm) &&
            (SlName_Equal(&peer->domain, &digest->domain) ||
             count_of(members, &peer->domain) < Sl_NAMED_ELSEWHERE)) {
            struct sl_member member = {peer->vm, peer->domain, peer->address};
            g_array_append_val(members, member);
        }
    }
    if (members->len > 0) {
        struct sl_router_effect *effect =
            SlRouter_AddEffect(router, Sl_RFX_INTRODUCE);
        effect->u.introduce.address = digest->address;
        effect->u.introduce.count = members->len;
        effect->u.introduce.members = (const struct sl_member *)members->data;
    }
    g_ptr_array_free(peers, TRUE);
    SlRouter_FreeWithEffects(router, g_array_free(members, FALSE));
}

/* Is it to be told of others? One that knows nobody in its failure domain is,
 * until it does: the first introduction may have been lost. */
static bool
lacks_others(const struct sl_router *router, const struct sl_gossip *digest,
             enum sl_digest_result taken)
{
    /* Of that domain the peer itself is known here. */
    return digest->known == 0 && digest->age_ms == 0 && !digest->leaving &&
           (taken == Sl_DIGEST_FIRST ||
            SlPeers_CountDomain(router, &digest->domain) > 1);
}

void
SlDigests_OnPeerList(struct sl_router *router, const struct sl_member *members,
                     size_t count)
{
    router->introduced = true;
    for (size_t i = 0; i < count; i++) {
        if (SlPeers_AddListed(router, &members[i])) {
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
    SlPeers_ExpireSilent(router);
    SlFeeds_LogReaderChange(router);
    tell_all(router);
    SlRollouts_Told(router);
    SlTimers_Subscribe(router->timers,
                       router->now_us + SlPeers_GossipIntervalUs(router),
                       on_beat, router, 0);
}

static void
on_soon(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->gossip_timer = 0;
    tell_domain(router);
}

void
SlDigests_ScheduleLoads(struct sl_router *router)
{
    int64_t peers = (int64_t)MAX(router->domain_peers, Sl_SOON_PEERS);
    if (router->gossip_timer == 0) {
        router->gossip_timer = SlTimers_Subscribe(
            router->timers,
            router->now_us + Sl_SOON_US * peers / Sl_SOON_PEERS, on_soon,
            router, 0);
    }
}

static void
on_news(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->news_timer = 0;
    tell_news(router);
}

void
SlDigests_ScheduleUpdates(struct sl_router *router)
{
    if (router->news_timer == 0) {
        router->news_timer = SlTimers_Subscribe(
            router->timers, router->now_us + Sl_SOON_US, on_news, router, 0);
    }
}

void
SlDigests_AnnounceLeaving(struct sl_router *router)
{
    tell_all(router);
}

void
SlDigests_OnDigest(struct sl_router *router, const struct sl_gossip *digest)
{
    enum sl_digest_result taken = SlPeers_OnDigest(router, digest);
    if (taken == Sl_DIGEST_IGNORED) {
        SlRelay_OnStaleDigest(router, digest);
        return;
    }
    SlRelay_OnDigest(router, digest);
    if (lacks_others(router, digest, taken)) {
        /* First: whom it asks for records shows from the fleet. */
        introduce(router, digest);
    }
    if (taken == Sl_DIGEST_FIRST && digest->age_ms == 0) {
        tell_one(router, &digest->address);
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
    if (!has_met_others(router) ||
        SlPeers_FleetPosition(router)->rank_in_domain == 0) {
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
    SlTimers_Subscribe(router->timers, router->now_us + Sl_MEMBERS_AGAIN_US,
                       on_members_again, router, 0);
}

static void
register_member(struct sl_router *router)
{
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_RFX_APPEND);
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

static void
greet_members(struct sl_router *router)
{
    uint32_t known = g_hash_table_size(router->peers);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (SlRandom_Below(&router->random, known) < Sl_GREETED_MEMBERS) {
            tell_one(router, &peer->address);
        }
    }
}

static void
on_greet(void *context, uint64_t pause_us, int64_t now_us)
{
    struct sl_router *router = context;
    if (SlPeers_HasHeard(router)) {
        return;
    }
    (void)greet_seeds(router);
    greet_members(router);
    if (now_us - router->started_us >= Sl_GREET_SOON_US) {
        pause_us = MIN(2 * pause_us, (uint64_t)Sl_GREET_MAX_US);
    }
    SlTimers_Subscribe(router->timers, now_us + (int64_t)pause_us, on_greet,
                       router, pause_us);
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
        SlTimers_Subscribe(router->timers, router->now_us + Sl_GREET_US,
                           on_greet, router, Sl_GREET_US);
        SlTimers_Subscribe(router->timers,
                           router->now_us + Sl_REGISTER_AFTER_US +
                               after_us * Sl_US_PER_MS,
                           on_register, router, 0);
    }
    SlTimers_Subscribe(router->timers,
                       router->now_us + SlPeers_GossipIntervalUs(router),
                       on_beat, router, 0);
    SlTimers_Subscribe(router->timers, router->now_us + Sl_MEMBERS_AGAIN_US,
                       on_members_again, router, 0);
}

void
SlDigests_OnRegistered(struct sl_router *router, const struct sl_error *err)
{
    if (err != NULL) {
        SlLogLine_Begin(router, "register_failed");
        SlLogLine_Error(router, err);
        SlLogLine_End(router, Sl_LOG_WARN);
    }
    /* After the own record is there: of two routers that start at once, at
     * least one then finds the other. */
    if (!has_met_others(router)) {
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
}
