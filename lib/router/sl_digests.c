/*
 * Sends this router's digests and handles those of its peers. Peers of the
 * local failure domain get a digest soon after the load has changed; the whole
 * fleet gets one at each gossip interval, which is longer. A router that has
 * started becomes known by its first digest, which it sends to its seeds, the
 * routers named for that in its settings.
 */
#include "sl_router_internal.h"

/* Changes of this router's load are collected for this time before the peers
 * of the failure domain get a digest. A shorter time would cost too much
 * processor time for digests. */
#define Sl_SEND_DELAY_US (25 * Sl_US_PER_MS)
/* In a failure domain with more peers than this, load digests are sent less
 * often in proportion, so that their cost stays bounded. Updates of the store
 * are rare and announced without further delay. */
#define Sl_MAX_FULL_RATE_PEERS 10
/* Interval at which member records are read again: routers that have started
 * without knowing each other find each other in them. */
#define Sl_MEMBERS_INTERVAL_US (60 * Sl_US_PER_S)

/* Time after which a router that has contacted seeds writes its member record.
 * It need not be early: the record is for routers that start while none of
 * their seeds is live. */
#define Sl_REGISTER_DELAY_US (500 * Sl_US_PER_MS)
/* A random time up to this is added, as all routers may start at once. */
#define Sl_REGISTER_SPREAD_US (2 * Sl_US_PER_S)

/* Interval at which digests are sent again until a peer has answered: to the
 * seeds, which may just be starting themselves, and to some routers of the
 * member records. */
#define Sl_CONTACT_INTERVAL_US (100 * Sl_US_PER_MS)
/* Time from the start after which that interval doubles each time. */
#define Sl_CONTACT_BACKOFF_AFTER_US Sl_US_PER_S
#define Sl_CONTACT_MAX_INTERVAL_US (2 * Sl_US_PER_S)
/* Mean number of the routers of the member records that get a digest. */
#define Sl_CONTACTED_MEMBERS 8

/* Returns true if this router has seeds and knows live peers, so that it need
 * not look for peers in the store. */
static bool
has_found_peers(const struct sl_router *router)
{
    return router->options.seed_count > 0 && SlPeers_FleetSize(router) > 1;
}

/* ---- digests ---- */

/* Adds this router's load at each upstream to the digest. */
static void
fill_loads(const struct sl_router *router, struct sl_gossip_digest *digest)
{
    GHashTableIter iter;
    gpointer value;
    digest->load_count = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           digest->load_count < Sl_GOSSIP_MAX_LOADS) {
        const struct sl_router_upstream *upstream = value;
        uint32_t held_tokens = SlEngineRooms_LocalTokens(upstream);
        if (upstream->in_flight == 0 && held_tokens == 0) {
            continue;
        }
        struct sl_gossip_load *load = &digest->loads[digest->load_count++];
        load->upstream = upstream->key;
        load->in_flight = (uint32_t)upstream->in_flight;
        load->backlog_ms =
            (uint32_t)(SlUpstreams_LocalPrefillBacklogUs(router, upstream) /
                       Sl_US_PER_MS);
        load->held_tokens = held_tokens;
    }
}

/* Adds the upstreams that this router has found unfit to the digest. */
static void
fill_faults(const struct sl_router *router, struct sl_gossip_digest *digest)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           digest->fault_count < Sl_GOSSIP_MAX_FAULTS) {
        const struct sl_router_upstream *upstream = value;
        if (!upstream->is_registered) {
            continue;
        }
        struct sl_gossip_fault fault = {.upstream = upstream->key};
        if (SlUpstreamNotices_ShouldReportLeaving(router, upstream)) {
            fault.kind = Sl_FAULT_LEAVING;
            fault.age_ms =
                (uint32_t)((router->now_us - upstream->leave_announced_us) /
                           Sl_US_PER_MS);
        }
        else if (SlUpstreams_IsLocalFault(router, upstream)) {
            fault.kind =
                upstream->is_replaced ? Sl_FAULT_REPLACED : Sl_FAULT_FAILING;
        }
        else {
            continue;
        }
        digest->faults[digest->fault_count++] = fault;
    }
}

/* Fills in this router's state, with the next sequence number. */
static void
fill_digest(struct sl_router *router, struct sl_gossip_digest *digest)
{
    digest->vm = router->options.vm;
    digest->domain = router->options.domain;
    digest->address = router->options.peer_address;
    digest->boot = router->options.boot;
    digest->sequence = ++router->digest_sequence;
    digest->is_leaving = router->draining;
    digest->is_carrying = router->carried_until_us != 0;
    digest->live_domain_peers =
        (uint32_t)SlPeers_CountDomain(router, &router->options.domain);
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        digest->offsets[i] = router->feeds[i].next_offset;
    }
    digest->staleness_ms = SlFeeds_StalenessMs(router);
    fill_loads(router, digest);
    fill_faults(router, digest);
    SlUpstreamLimits_AddToDigest(router, digest);
    SlUpstreamPace_AddToDigest(router, digest);
    digest->rollout_count = 0;
    SlRollouts_AddToDigest(router, digest);
    SlQuarantine_FillReport(router->quarantine, router->now_us,
                            &digest->quarantine);
    SlAdmissionControl_AddToDigest(router, digest);
}

void
SlDigests_Send(struct sl_router *router, const struct sl_gossip_digest *digest,
               GPtrArray *recipients)
{
    guint count = recipients->len;
    gpointer *addresses = g_ptr_array_free(recipients, FALSE);
    SlRouter_FreeWithEffects(router, addresses);
    if (count > 0) {
        struct sl_router_effect *effect =
            SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_SEND_DIGEST);
        struct sl_gossip_digest *copy = g_memdup2(digest, sizeof(*digest));
        SlRouter_FreeWithEffects(router, copy);
        effect->u.send_digest.digest = copy;
        effect->u.send_digest.count = count;
        effect->u.send_digest.addresses = (const struct sl_name **)addresses;
    }
}

/* Sends a digest to the whole fleet, in part through relays. */
static void
send_to_fleet(struct sl_router *router)
{
    struct sl_recipients recipients;
    struct sl_gossip_digest digest = {0};
    SlRelay_ChooseRecipients(router, &recipients);
    fill_digest(router, &digest);
    SlDigests_Send(router, &digest, recipients.direct);
    for (size_t place = 0; place < Sl_RELAYS_PER_DOMAIN; place++) {
        digest.relay = (uint8_t)(place + 1);
        SlDigests_Send(router, &digest, recipients.relays[place]);
    }
}

static void
add_domain_peers(struct sl_router *router, GPtrArray *recipients)
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

/* Adds the leaders of the other failure domains, as marked by
 * SlPeers_FleetPosition(). */
static void
add_leaders(struct sl_router *router, GPtrArray *recipients)
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

/* Sends a digest to the recipients' addresses; takes ownership of the array.
 */
static void
send_to_recipients(struct sl_router *router, GPtrArray *recipients)
{
    struct sl_gossip_digest digest = {0};
    if (recipients->len > 0) {
        fill_digest(router, &digest);
    }
    SlDigests_Send(router, &digest, recipients);
}

static void
send_to_domain(struct sl_router *router)
{
    GPtrArray *recipients = g_ptr_array_new();
    struct sl_gossip_digest digest = {0};
    add_domain_peers(router, recipients);
    router->domain_recipient_count = recipients->len;
    if (recipients->len > 0) {
        fill_digest(router, &digest);
        /* Routers of other domains hardly ever send to the same upstreams. */
        digest.kept_part_count =
            SlKept_FillReport(router->kept, router->now_us, digest.kept_parts,
                              Sl_GOSSIP_MAX_KEPT_PARTS);
    }
    SlDigests_Send(router, &digest, recipients);
}

/* Returns true if the leaders of the other domains are to get the news from
 * this router. */
static bool
must_tell_leaders(struct sl_router *router)
{
    if (router->pending_news.has_own_proof) {
        return true;
    }
    return router->pending_news.has_records &&
           (!SlFanoutTree_IsUsed(router) ||
            SlPeers_FleetPosition(router)->rank_in_domain == 0 ||
            SlStoreReaders_IsReader(router));
}

/* Sends a digest to the routers that get their updates from this one. */
static void
announce_news(struct sl_router *router)
{
    static const struct sl_pending_news no_news;
    GPtrArray *recipients = g_ptr_array_new();
    if (SlFanoutTree_IsUsed(router)) {
        SlFanoutTree_AddChildren(router, recipients);
        if (router->reads_store || router->pending_news.has_own_proof) {
            /* If this router reads the store although it is not a reader, the
             * leader may hear of no reader either. */
            SlFanoutTree_AddLeader(router, recipients);
        }
    }
    else {
        add_domain_peers(router, recipients);
    }
    if (must_tell_leaders(router)) {
        add_leaders(router, recipients);
    }
    router->pending_news = no_news;
    send_to_recipients(router, recipients);
}

/* Sends a digest that spreads new evidence. Routers of a large failure domain
 * pass it on along the fan-out tree; the one that has found it also tells the
 * root, and the leaders of the other domains. */
static void
announce_evidence(struct sl_router *router)
{
    GPtrArray *recipients = g_ptr_array_new();
    const struct sl_fleet_position *position = SlPeers_FleetPosition(router);
    if (SlFanoutTree_IsUsed(router)) {
        SlFanoutTree_AddChildren(router, recipients);
        if (router->has_local_evidence) {
            SlFanoutTree_AddLeader(router, recipients);
        }
    }
    else {
        add_domain_peers(router, recipients);
    }
    if (router->has_local_evidence || position->rank_in_domain == 0) {
        add_leaders(router, recipients);
    }
    router->has_local_evidence = false;
    send_to_recipients(router, recipients);
}

static void
send_to_address(struct sl_router *router, const struct sl_name *address)
{
    struct sl_name *copy = g_memdup2(address, sizeof(*address));
    GPtrArray *recipients = g_ptr_array_new();
    struct sl_gossip_digest digest = {0};
    SlRouter_FreeWithEffects(router, copy);
    g_ptr_array_add(recipients, copy);
    fill_digest(router, &digest);
    SlDigests_Send(router, &digest, recipients);
}

/* ---- peer lists ---- */

/* Most members in a peer list from each failure domain other than the
 * receiver's. Two are enough, as they forward digests within their domain. */
#define Sl_LISTED_PER_OTHER_DOMAIN 2

/* Returns the live peers that have sent a digest, in random order, so that
 * routers list different ones. The caller frees the array. */
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
        gpointer last = peers->pdata[i - 1];
        peers->pdata[i - 1] = peers->pdata[j];
        peers->pdata[j] = last;
    }
    return peers;
}

static size_t
count_in_domain(const GArray *members, const struct sl_name *domain)
{
    size_t count = 0;
    for (guint i = 0; i < members->len; i++) {
        const struct sl_member *member =
            &g_array_index(members, struct sl_member, i);
        count += SlName_Equal(&member->domain, domain) ? 1 : 0;
    }
    return count;
}

/* Sends the digest's sender a list of the peers in its failure domain and of
 * some in each other one. */
static void
send_peer_list(struct sl_router *router, const struct sl_gossip_digest *digest)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct sl_member));
    GPtrArray *peers = shuffled_peers(router);
    for (guint i = 0; i < peers->len; i++) {
        const struct sl_router_peer *peer = g_ptr_array_index(peers, i);
        if (!SlName_Equal(&peer->vm, &digest->vm) &&
            (SlName_Equal(&peer->domain, &digest->domain) ||
             count_in_domain(members, &peer->domain) <
                 Sl_LISTED_PER_OTHER_DOMAIN)) {
            struct sl_member member = {peer->vm, peer->domain, peer->address};
            g_array_append_val(members, member);
        }
    }
    if (members->len > 0) {
        struct sl_router_effect *effect =
            SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_SEND_PEER_LIST);
        effect->u.peer_list.address =
            SlRouter_CopyName(router, &digest->address);
        effect->u.peer_list.count = members->len;
        effect->u.peer_list.members = (const struct sl_member *)members->data;
    }
    g_ptr_array_free(peers, TRUE);
    SlRouter_FreeWithEffects(router, g_array_free(members, FALSE));
}

/* Returns true if the digest's sender should get a peer list: if it knows no
 * peer of its failure domain, and this is its first digest or its domain has
 * other routers. It gets a list for each such digest, as the list before may
 * have been lost. */
static bool
needs_peer_list(const struct sl_router *router,
                const struct sl_gossip_digest *digest,
                enum sl_digest_result result)
{
    /* SlPeers_CountDomain() includes the sender, hence more than one. */
    return digest->live_domain_peers == 0 && digest->age_ms == 0 &&
           !digest->is_leaving &&
           (result == Sl_DIGEST_FIRST ||
            SlPeers_CountDomain(router, &digest->domain) > 1);
}

void
SlDigests_OnPeerList(struct sl_router *router, const struct sl_member *members,
                     size_t count)
{
    router->has_peer_list = true;
    for (size_t i = 0; i < count; i++) {
        if (SlPeers_AddListed(router, &members[i])) {
            send_to_address(router, &members[i].address);
        }
    }
}

static void
on_gossip_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    SlPeers_ExpireSilent(router);
    SlFeeds_LogReaderChange(router);
    send_to_fleet(router);
    SlRollouts_OnDigestSent(router);
    SlEngineRooms_OnDigestSent(router);
    SlTimers_Add(router->timers,
                 router->now_us + SlPeers_GossipIntervalUs(router),
                 on_gossip_due, router, 0);
}

static void
on_loads_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->gossip_timer = 0;
    send_to_domain(router);
}

void
SlDigests_ScheduleLoads(struct sl_router *router)
{
    int64_t peers =
        (int64_t)MAX(router->domain_recipient_count, Sl_MAX_FULL_RATE_PEERS);
    if (router->gossip_timer == 0) {
        router->gossip_timer = SlTimers_Add(
            router->timers,
            router->now_us + Sl_SEND_DELAY_US * peers / Sl_MAX_FULL_RATE_PEERS,
            on_loads_due, router, 0);
    }
}

static void
on_news_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->news_timer = 0;
    announce_news(router);
}

static void
on_evidence_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->evidence_timer = 0;
    announce_evidence(router);
}

void
SlDigests_ScheduleEvidence(struct sl_router *router, bool is_local)
{
    /* In a small domain, the router that has found it tells all others. */
    if (!is_local && SlPeers_FleetPosition(router)->rank_in_domain > 0 &&
        !SlFanoutTree_IsUsed(router)) {
        return;
    }
    router->has_local_evidence = router->has_local_evidence || is_local;
    if (router->evidence_timer == 0) {
        router->evidence_timer =
            SlTimers_Add(router->timers, router->now_us + Sl_SEND_DELAY_US,
                         on_evidence_due, router, 0);
    }
}

static void
schedule_news(struct sl_router *router)
{
    if (router->news_timer == 0) {
        router->news_timer =
            SlTimers_Add(router->timers, router->now_us + Sl_SEND_DELAY_US,
                         on_news_due, router, 0);
    }
}

void
SlDigests_ScheduleUpdates(struct sl_router *router)
{
    router->pending_news.has_records = true;
    schedule_news(router);
}

void
SlDigests_ScheduleProof(struct sl_router *router, bool is_own)
{
    router->pending_news.has_own_proof |= is_own;
    schedule_news(router);
}

void
SlDigests_AnnounceLeaving(struct sl_router *router)
{
    send_to_fleet(router);
}

void
SlDigests_OnDigest(struct sl_router *router,
                   const struct sl_gossip_digest *digest)
{
    enum sl_digest_result result = SlPeers_OnDigest(router, digest);
    if (result == Sl_DIGEST_IGNORED) {
        SlRelay_OnStaleDigest(router, digest);
        return;
    }
    SlRelay_OnDigest(router, digest);
    if (needs_peer_list(router, digest, result)) {
        /* Sent before this router's digest, so that the peer knows the fleet
         * when it chooses whom to pull its records from. */
        send_peer_list(router, digest);
    }
    if (result == Sl_DIGEST_FIRST && digest->age_ms == 0) {
        send_to_address(router, &digest->address);
    }
    router->last_bytes_us = router->now_us;
    SlFeeds_OnDigest(router, digest);
    for (size_t i = 0; i < digest->fault_count; i++) {
        SlUpstreams_OnReportedFault(router, &digest->vm, &digest->faults[i]);
    }
    SlUpstreamLimits_OnDigest(router, digest);
    SlUpstreamPace_OnDigest(router, digest);
    for (size_t i = 0; i < digest->rollout_count; i++) {
        SlRollouts_OnReport(router, &digest->vm, &digest->rollouts[i]);
    }
    SlPromptGuard_OnReport(router, &digest->quarantine);
    SlKeptParts_OnReport(router, digest);
    SlAdmissionControl_OnDigest(router, digest);
}

/* ---- members ---- */

static void
on_members_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    if (!has_found_peers(router) ||
        SlPeers_FleetPosition(router)->rank_in_domain == 0) {
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
    SlTimers_Add(router->timers, router->now_us + Sl_MEMBERS_INTERVAL_US,
                 on_members_due, router, 0);
}

/* Writes this router's member record to the store. */
static void
register_member(struct sl_router *router)
{
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_APPEND);
    struct sl_record *record = g_new0(struct sl_record, 1);
    SlRouter_FreeWithEffects(router, record);
    effect->u.append.record = record;
    effect->u.append.feed = Sl_FEED_MEMBERS;
    effect->u.append.token = router->member_token = ++router->last_token;
    effect->u.append.conditional = false;
    record->type = Sl_RECORD_MEMBER;
    record->u.member.vm = router->options.vm;
    record->u.member.domain = router->options.domain;
    record->u.member.address = router->options.peer_address;
}

static void
on_register_due(void *context, uint64_t id, int64_t now_us)
{
    (void)id;
    (void)now_us;
    register_member(context);
}

void
SlDigests_RegisterAgain(struct sl_router *router)
{
    int64_t spread_ms = SlRandom_Below(
        &router->random, (uint32_t)(Sl_REGISTER_SPREAD_US / Sl_US_PER_MS));
    SlTimers_Add(router->timers, router->now_us + spread_ms * Sl_US_PER_MS,
                 on_register_due, router, 0);
}

/* Sends the seeds a digest, which they answer with a peer list. Returns the
 * number of seeds that are other routers. */
static size_t
contact_seeds(struct sl_router *router)
{
    const struct sl_router_options *options = &router->options;
    size_t contacted = 0;
    for (size_t i = 0; i < options->seed_count; i++) {
        if (!SlName_Equal(&options->seeds[i], &options->peer_address)) {
            send_to_address(router, &options->seeds[i]);
            contacted++;
        }
    }
    return contacted;
}

/* Sends a digest to some of the known routers, usually those of the member
 * records. */
static void
contact_members(struct sl_router *router)
{
    uint32_t peer_count = g_hash_table_size(router->peers);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (SlRandom_Below(&router->random, peer_count) <
            Sl_CONTACTED_MEMBERS) {
            send_to_address(router, &peer->address);
        }
    }
}

static void
on_contact_due(void *context, uint64_t interval_us, int64_t now_us)
{
    struct sl_router *router = context;
    if (SlPeers_HasLiveDigest(router)) {
        return;
    }
    (void)contact_seeds(router);
    contact_members(router);
    if (now_us - router->started_us >= Sl_CONTACT_BACKOFF_AFTER_US) {
        interval_us =
            MIN(2 * interval_us, (uint64_t)Sl_CONTACT_MAX_INTERVAL_US);
    }
    SlTimers_Add(router->timers, now_us + (int64_t)interval_us, on_contact_due,
                 router, interval_us);
}

void
SlDigests_Start(struct sl_router *router)
{
    if (contact_seeds(router) == 0) {
        register_member(router);
    }
    else {
        int64_t spread_ms = SlRandom_Below(
            &router->random, (uint32_t)(Sl_REGISTER_SPREAD_US / Sl_US_PER_MS));
        SlTimers_Add(router->timers, router->now_us + Sl_CONTACT_INTERVAL_US,
                     on_contact_due, router, Sl_CONTACT_INTERVAL_US);
        SlTimers_Add(router->timers,
                     router->now_us + Sl_REGISTER_DELAY_US +
                         spread_ms * Sl_US_PER_MS,
                     on_register_due, router, 0);
    }
    SlTimers_Add(router->timers,
                 router->now_us + SlPeers_GossipIntervalUs(router),
                 on_gossip_due, router, 0);
    SlTimers_Add(router->timers, router->now_us + Sl_MEMBERS_INTERVAL_US,
                 on_members_due, router, 0);
}

void
SlDigests_OnRegistered(struct sl_router *router, const struct sl_error *err)
{
    if (err != NULL) {
        SlLogLine_Begin(router, "register_failed");
        SlLogLine_Error(router, err);
        SlLogLine_End(router, Sl_LOG_WARN);
    }
    /* Read after this router's record is written: of two routers that start at
     * once, at least one then finds the other. */
    if (!has_found_peers(router)) {
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
}
