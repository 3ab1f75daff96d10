/*
 * Feeds follow the store's topics.
 *
 * A feed starts with a snapshot, which holds the newest record of each key,
 * and continues with the records after it. The store holds a read for which it
 * has no new records until there are some, or the read's wait is over. When
 * the store no longer has the next record, the feed starts again with a
 * snapshot. Offsets order all records: one that is older than the newest of
 * its key is ignored.
 *
 * Only a few routers of the fleet, the readers, read the store. They are
 * chosen by rendezvous hash among the live routers, each in another failure
 * domain if possible. Their digests announce updates to the leaders of the
 * other domains, the routers that rank first there, which pull the records
 * from them. The other routers of a domain pull from each other; in a large
 * domain, down its fan-out tree. In the same way, digests announce proofs:
 * answers of the store which show that the records are current.
 *
 * The store may refuse one router while it serves others, and a read that the
 * store holds may miss an update. Digests therefore carry the offsets that
 * their sender has reached: a reader that is behind reads again at once, or
 * pulls the records from a peer while the store refuses it. A router that
 * hears of no proof for too long reads the store itself.
 */
#include "sl_router_internal.h"

/* Pause after the first failed read; it doubles with each consecutive failure.
 */
#define Sl_READ_RETRY_US (200 * Sl_US_PER_MS)
/* Longest such pause. It is within the time in which an update must be in
 * force. */
#define Sl_READ_RETRY_MAX_US (800 * Sl_US_PER_MS)
/* Part of the pause by which it varies at random. Without that, all routers
 * would read a store that is available again at the same time. */
#define Sl_READ_JITTER 0.25
/* Once the store answers the probe again, the feeds that waited for that are
 * read at random times within this span. */
#define Sl_READ_SPREAD_US (100 * Sl_US_PER_MS)

/* Least time between two pulls of a feed from peers. */
#define Sl_PULL_PAUSE_US (100 * Sl_US_PER_MS)
/* Time after which a feed whose records were pulled, while a read of it was
 * under way, is read again unless the readers keep it current. */
#define Sl_PULLED_CHECK_US (300 * Sl_US_PER_MS)
/* Least time between two checks of how old the newest proof is. */
#define Sl_PROOF_CHECK_US (10 * Sl_US_PER_MS)
/* The times at which an update reaches the routers differ by less than this;
 * in a large domain, by less than this per level of the fan-out tree. A feed
 * that is behind a peer for longer has missed the update. */
#define Sl_BEHIND_US (200 * Sl_US_PER_MS)
/* Further time before a router of a large domain pulls from another domain, as
 * many routers of its domain may be behind at the same time. */
#define Sl_BEHIND_OTHER_DOMAIN_US (600 * Sl_US_PER_MS)
/* Least step by which peers make the time younger at which a feed was current.
 * What a digest tells gets younger by its latency; in smaller steps, routers
 * that tell each other would keep it young without end. */
#define Sl_FRESHNESS_STEP_US (100 * Sl_US_PER_MS)
/* Longest wait of a read by a router without live peers, as there is no peer
 * whose digest could show that the read has missed an update. */
#define Sl_NO_PEERS_WAIT_US Sl_US_PER_S

/* How each feed is read. The pause limits the reads of a topic that changes
 * all the time, but delays its updates. Reads of the operators' feed are the
 * store probe: one that gets no answer is the first sign that the store is
 * unavailable. The first reader, and any other router that lacks a recent
 * proof, lets the store hold them only for a short time. */
static const struct sl_feed_rule {
    const char *name;
    int64_t pause_us; /* between the end of a read and the next read */
    int64_t wait_us;  /* longest time that the store holds a read */
    bool follow;      /* read on after the snapshot */
} rules[Sl_FEED_COUNT] = {
    [Sl_FEED_OPERATORS] = {"operators", Sl_PROBE_PAUSE_US, 10 * Sl_US_PER_S,
                           true},
    [Sl_FEED_UPSTREAMS] = {"upstreams", 500 * Sl_US_PER_MS, 10 * Sl_US_PER_S,
                           true},
    [Sl_FEED_STATUS] = {"status", 150 * Sl_US_PER_MS, 10 * Sl_US_PER_S, true},
    [Sl_FEED_MEMBERS] = {"members", Sl_US_PER_S, Sl_US_PER_S, false},
};

/* The only feed that is read while the store is unavailable. Of the feeds that
 * are followed, it is read most often. */
#define Sl_PROBE_FEED Sl_FEED_OPERATORS

const char *
SlFeed_Name(enum sl_feed feed)
{
    return rules[feed].name;
}

/* ---- proofs ---- */

/* Returns the time of the newest proof, of the store or of peers, that all
 * feeds here are current; 0 if there is none of some feed. */
static int64_t
proven_us(const struct sl_router *router)
{
    int64_t oldest_us = INT64_MAX;
    for (int i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        const struct sl_feed_state *state = &router->feeds[i];
        oldest_us = MIN(oldest_us, MAX(state->current_per_store_us,
                                       state->current_per_peers_us));
    }
    return oldest_us;
}

/* Returns the time at which this router no longer relies on a proof of that
 * time. */
static int64_t
proof_expires_us(struct sl_router *router, int64_t at_us)
{
    return at_us + SlStoreReaders_PatienceUs(router);
}

/* Announces the newest proof if the fleet has waited for it: `before_us` is
 * the time of the one before. Of the routers that read the store, the first
 * one announces each of its proofs. Peers' proofs are passed on by domain
 * leaders and within fan-out trees. */
static void
announce_proof(struct sl_router *router, int64_t before_us, bool is_own)
{
    int64_t interval_us = SlStoreReaders_ProofIntervalUs(router);
    bool is_passed_on = SlFanoutTree_IsUsed(router) ||
                        SlPeers_FleetPosition(router)->rank_in_domain == 0;
    bool is_regular = is_own ? SlStoreReaders_IsFirst(router) : is_passed_on;
    int64_t step_us = proven_us(router) - before_us;
    if (is_regular ? step_us >= interval_us / 2
                   : is_own && step_us > interval_us) {
        SlDigests_ScheduleProof(router, is_own);
    }
}

/* ---- reads ---- */

/* Sends a read, which the store may hold for up to `wait_us`. */
static void
send_read(struct sl_router *router, enum sl_feed feed, int64_t wait_us)
{
    struct sl_feed_state *state = &router->feeds[feed];
    bool can_continue =
        state->has_snapshot && !SlStoreEra_MustReadAgain(router, feed);
    struct sl_router_effect *effect = SlRouter_AddEffect(
        router, can_continue ? Sl_ROUTER_EFFECT_READ_FROM
                             : Sl_ROUTER_EFFECT_READ_SNAPSHOT);
    assert(!state->is_reading);
    state->is_reading = true;
    state->is_followed = true;
    state->read_sent_us = router->now_us;
    state->read_held_until_us = router->now_us + wait_us;
    state->read_sent_event = router->event_number;
    effect->u.read.feed = feed;
    effect->u.read.from = state->next_offset;
    effect->u.read.wait_us = wait_us;
}

/* Returns true if the answer to the next read of the feed should come soon,
 * as it is to prove that the records are current. */
static bool
needs_proof(struct sl_router *router, enum sl_feed feed)
{
    return feed == Sl_PROBE_FEED &&
           (SlStoreReaders_IsFirst(router) ||
            router->feeds[feed].failures > 0 ||
            router->now_us >= proof_expires_us(router, proven_us(router)));
}

/* Sends a read with the wait that is due. */
static void
read_feed(struct sl_router *router, enum sl_feed feed)
{
    int64_t wait_us = rules[feed].wait_us;
    if (SlPeers_FleetSize(router) <= 1) {
        wait_us = MIN(wait_us, Sl_NO_PEERS_WAIT_US);
    }
    else if (needs_proof(router, feed)) {
        wait_us = SlStoreReaders_ShortWaitUs(router);
    }
    send_read(router, feed, wait_us);
}

/* Cancels the read that is under way or planned. */
static void
cancel_read(struct sl_router *router, enum sl_feed feed)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->is_reading) {
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_CANCEL_READ)->u.read.feed =
            feed;
        state->is_reading = false;
    }
    SlTimers_Cancel(router->timers, state->timer);
    state->timer = 0;
    state->is_followed = false;
    state->waits_for_probe = false;
}

static void read_after(struct sl_router *router, enum sl_feed feed,
                       int64_t delay_us);
static void read_after_proof(struct sl_router *router, enum sl_feed feed);

/* Returns the time since `at_us`; UINT32_MAX if `at_us` is 0, which stands for
 * never. */
static uint32_t
age_ms(const struct sl_router *router, int64_t at_us)
{
    if (at_us == 0) {
        return UINT32_MAX;
    }
    int64_t age_us = router->now_us - at_us;
    return (uint32_t)MIN(age_us / Sl_US_PER_MS, (int64_t)UINT32_MAX - 1);
}

uint32_t
SlFeeds_StoreAgeMs(const struct sl_router *router)
{
    return age_ms(router, router->store_answered_us);
}

/* Returns the latest time at which, according to peers, all feeds of this
 * router were current; 0 if that is not known of some feed. */
static int64_t
oldest_current_per_peers_us(const struct sl_router *router)
{
    int64_t oldest_us = INT64_MAX;
    for (int i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        oldest_us = MIN(oldest_us, router->feeds[i].current_per_peers_us);
    }
    return oldest_us;
}

uint32_t
SlFeeds_StalenessMs(const struct sl_router *router)
{
    return age_ms(router, proven_us(router));
}

void
SlFeeds_LogStoreAge(struct sl_router *router)
{
    uint32_t age = SlFeeds_StoreAgeMs(router);
    SlLogLine_Int(router, "store_age_ms",
                  age == UINT32_MAX ? -1 : (int64_t)age);
}

/* Returns true if the readers keep all feeds of this router current, so that
 * it need not read the store. */
static bool
is_served_by_readers(struct sl_router *router)
{
    return !SlStoreReaders_IsReader(router) &&
           router->now_us <
               proof_expires_us(router, oldest_current_per_peers_us(router));
}

/* Returns the same for one feed. */
static bool
is_feed_served_by_readers(struct sl_router *router, enum sl_feed feed)
{
    return !SlStoreReaders_IsReader(router) &&
           router->now_us <
               proof_expires_us(router,
                                router->feeds[feed].current_per_peers_us);
}

void
SlFeeds_LogReaderChange(struct sl_router *router)
{
    bool reads_store = !is_served_by_readers(router);
    if (reads_store == router->reads_store) {
        return;
    }
    const struct sl_fleet_position *position = SlPeers_FleetPosition(router);
    router->reads_store = reads_store;
    SlLogLine_Begin(router, reads_store ? "store_reading_taken"
                                        : "store_reading_left");
    SlLogLine_Int(router, "rank", (int64_t)position->rank_in_domain);
    SlLogLine_Int(router, "domains", (int64_t)position->domain_count);
    SlLogLine_Int(router, "fleet", (int64_t)SlPeers_FleetSize(router));
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Returns true if the last reads of the feed and of the probe feed have
 * failed: while the store is unavailable, only the probe feed is read. */
static bool
must_wait_for_probe(const struct sl_router *router, enum sl_feed feed)
{
    return feed != Sl_PROBE_FEED && router->feeds[feed].failures > 0 &&
           router->feeds[Sl_PROBE_FEED].failures > 0;
}

/* Reads the feed, or waits on for peers or for the store probe. */
static void
on_read_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)now_us;
    router->feeds[id].timer = 0;
    if (must_wait_for_probe(router, (enum sl_feed)id)) {
        router->feeds[id].waits_for_probe = true;
    }
    else if (!router->feeds[id].has_snapshot &&
             SlInitialSync_TryPeers(router, (enum sl_feed)id)) {
        read_after(router, (enum sl_feed)id, Sl_INITIAL_SYNC_CHECK_US);
    }
    else if (router->feeds[id].has_snapshot &&
             is_feed_served_by_readers(router, (enum sl_feed)id)) {
        router->feeds[id].is_followed = false;
        read_after_proof(router, (enum sl_feed)id);
    }
    else {
        SlFeeds_LogReaderChange(router);
        read_feed(router, (enum sl_feed)id);
    }
}

/* Plans a read of the feed in `delay_us`. */
static void
read_after(struct sl_router *router, enum sl_feed feed, int64_t delay_us)
{
    struct sl_feed_state *state = &router->feeds[feed];
    assert(state->timer == 0);
    state->timer = SlTimers_Add(router->timers, router->now_us + delay_us,
                                on_read_due, router, (uint64_t)feed);
}

/* Plans a read of the feed, which the readers keep current, for when the proof
 * of that expires. */
static void
read_after_proof(struct sl_router *router, enum sl_feed feed)
{
    int64_t expires_us =
        proof_expires_us(router, router->feeds[feed].current_per_peers_us);
    read_after(router, feed,
               MAX(expires_us - router->now_us, Sl_PROOF_CHECK_US));
}

/* Sends the probe again if the store may hold it for long, and the newest
 * proof has expired meanwhile: the routers that should prove that the records
 * are current are lost. */
static void
on_proof_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    const struct sl_feed_state *state = &router->feeds[Sl_PROBE_FEED];
    int64_t wait_us = SlStoreReaders_ShortWaitUs(router);
    int64_t due_us = proof_expires_us(router, proven_us(router));
    if (now_us >= due_us) {
        due_us = now_us + SlStoreReaders_ProofIntervalUs(router);
        int64_t usual_us =
            SlPeers_FleetSize(router) <= 1 ? Sl_NO_PEERS_WAIT_US : wait_us;
        if (state->is_reading && state->has_snapshot &&
            state->read_held_until_us > now_us + usual_us) {
            SlLogLine_Begin(router, "probe_sent_again");
            SlLogLine_Int(router, "staleness_ms",
                          (int64_t)SlFeeds_StalenessMs(router));
            SlLogLine_End(router, Sl_LOG_INFO);
            cancel_read(router, Sl_PROBE_FEED);
            send_read(router, Sl_PROBE_FEED, wait_us);
        }
    }
    SlTimers_Add(router->timers, MAX(due_us, now_us + Sl_PROOF_CHECK_US),
                 on_proof_due, router, id);
}

void
SlFeeds_ReadAgain(struct sl_router *router, enum sl_feed feed)
{
    cancel_read(router, feed);
    read_feed(router, feed);
}

void
SlFeeds_Read(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    if (!state->is_reading && state->timer == 0 && !state->waits_for_probe) {
        read_feed(router, feed);
    }
}

void
SlFeeds_Free(struct sl_router *router)
{
    for (int feed = 0; feed < Sl_FEED_COUNT; feed++) {
        if (router->feeds[feed].cache != NULL) {
            g_hash_table_destroy(router->feeds[feed].cache);
        }
    }
}

void
SlFeeds_Start(struct sl_router *router)
{
    int64_t delay_us = SlInitialSync_StartDelayUs(router);
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        enum sl_feed feed = (enum sl_feed)i;
        router->feeds[i].cache = SlRecordCache_New();
        if (rules[feed].follow && delay_us == 0) {
            read_feed(router, feed);
        }
        else if (rules[feed].follow) {
            read_after(router, feed, delay_us);
        }
    }
    SlTimers_Add(router->timers,
                 router->now_us + SlStoreReaders_ProofIntervalUs(router),
                 on_proof_due, router, 0);
}

/* ---- refresh ---- */

/* Feeds that the choice of an upstream depends on. They are read again after
 * the process was paused. */
static const enum sl_feed refreshed[] = {Sl_FEED_OPERATORS, Sl_FEED_UPSTREAMS};

void
SlFeeds_Refresh(struct sl_router *router, int64_t until_us)
{
    router->refresh_until_us = until_us;
    for (size_t i = 0; i < G_N_ELEMENTS(refreshed); i++) {
        cancel_read(router, refreshed[i]);
        router->feeds[refreshed[i]].is_refreshing = true;
        send_read(router, refreshed[i], 0);
    }
}

bool
SlFeeds_IsRefreshing(const struct sl_router *router)
{
    if (router->now_us >= router->refresh_until_us) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(refreshed); i++) {
        if (router->feeds[refreshed[i]].is_refreshing) {
            return true;
        }
    }
    return false;
}

/* Notes that the feed is current again, so that requests that waited for the
 * refresh are sent. */
static void
end_refresh(struct sl_router *router, enum sl_feed feed)
{
    if (router->feeds[feed].is_refreshing) {
        router->feeds[feed].is_refreshing = false;
        router->capacity_changed = true;
    }
}

/* ---- records ---- */

static void
log_unreadable(struct sl_router *router, enum sl_feed feed,
               const struct sl_record *record)
{
    SlLogLine_Begin(router, "record_unreadable");
    SlLogLine_C(router, "feed", SlFeed_Name(feed));
    SlLogLine_Str(router, "key", record->key);
    SlLogLine_Offset(router, "offset", record->offset);
    SlLogLine_Error(router, &record->u.err);
    if (record->key_type == Sl_RECORD_ROUTING) {
        /* An older configuration stays in force, or none. */
        router->refused_routing_offset =
            MAX(router->refused_routing_offset, record->offset + 1);
        SlLogLine_Int(
            router, "config_in_force",
            router->routing == NULL ? -1 : SlRouting_Version(router->routing));
        SlLogLine_End(router, Sl_LOG_ERROR);
    }
    else {
        SlLogLine_End(router, Sl_LOG_WARN);
    }
    SlRouterMetrics_OnUnreadableRecord(router, feed);
}

bool
SlFeeds_IsConfigurationRefused(const struct sl_router *router)
{
    return router->refused_routing_offset > router->routing_offset;
}

static void
apply_routing(struct sl_router *router, const struct sl_record *record)
{
    struct sl_routing *routing = record->u.routing;
    if (router->routing != NULL && record->offset <= router->routing_offset) {
        return;
    }
    SlRouting_Unref(router->routing);
    router->routing = SlRouting_Ref(routing);
    router->routing_offset = record->offset;
    router->routing_us = router->now_us;
    router->capacity_changed = true;
    SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_CLIENT_LIMITS)->u.limits =
        *SlRouting_Limits(routing);
    SlLogLine_Begin(router, "configuration");
    SlLogLine_Int(router, "version", SlRouting_Version(routing));
    SlLogLine_Offset(router, "offset", record->offset);
    SlLogLine_Int(router, "routes", (int64_t)SlRouting_RouteCount(routing));
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
apply_evacuation(struct sl_router *router, const struct sl_record *record)
{
    const struct sl_name *domain = &record->u.evacuated;
    bool is_evacuated = SlUpstreams_IsEvacuated(router, domain);
    if (is_evacuated != record->dropped) {
        return; /* no change */
    }
    if (record->dropped) {
        g_hash_table_remove(router->evacuated, domain);
    }
    else {
        struct sl_name *copy = g_memdup2(domain, sizeof(*domain));
        g_hash_table_insert(router->evacuated, copy, copy);
    }
    router->capacity_changed = true;
    SlLogLine_Begin(router, record->dropped ? "domain_back" : "domain_out");
    SlLogLine_Name(router, "domain", domain);
    SlLogLine_Offset(router, "offset", record->offset);
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
apply_upstream(struct sl_router *router, const struct sl_record *record)
{
    if (record->dropped) {
        SlUpstreams_OnRemoved(router, &record->u.upstream.id);
    }
    else {
        SlUpstreams_OnRegistered(router, record->offset, &record->u.upstream);
    }
}

/* Applies a record, unless a newer one of its key is known. */
static void
apply_record(struct sl_router *router, enum sl_feed feed,
             const struct sl_record *record)
{
    if (SlStoreEra_IsOutdated(router, feed, record) ||
        !SlRecordCache_Put(router, feed, record)) {
        return;
    }
    switch (record->type) {
    case Sl_RECORD_UNREADABLE:
        log_unreadable(router, feed, record);
        break;
    case Sl_RECORD_ROUTING:
        if (!record->dropped) {
            apply_routing(router, record);
        }
        break;
    case Sl_RECORD_EVACUATION:
        apply_evacuation(router, record);
        break;
    case Sl_RECORD_UPSTREAM:
        apply_upstream(router, record);
        break;
    case Sl_RECORD_ROLLOUT:
        SlRollouts_OnOrder(router, record);
        break;
    case Sl_RECORD_STATUS:
        SlRollouts_OnStatus(router, record);
        break;
    case Sl_RECORD_MEMBER:
        if (!record->dropped) {
            SlPeers_OnMember(router, &record->u.member);
        }
        break;
    case Sl_RECORD_OTHER:
    default:
        break;
    }
}

/* Drops the keys that the snapshot in `event` does not hold. */
static void
drop_missing(struct sl_router *router, const struct sl_router_event *event)
{
    enum sl_feed feed = event->u.feed.feed;
    GArray *missing = SlRecordCache_FindDropped(router, event);
    for (guint i = 0; i < missing->len; i++) {
        const struct sl_record *drop =
            &g_array_index(missing, struct sl_record, i);
        if (!SlStoreEra_IsCarried(router, event, drop)) {
            apply_record(router, feed, drop);
        }
    }
    g_array_free(missing, TRUE);
}

/* Applies records that were read from the store or pulled from a peer. */
static void
apply_records(struct sl_router *router, const struct sl_router_event *event)
{
    enum sl_feed feed = event->u.feed.feed;
    struct sl_feed_state *state = &router->feeds[feed];
    if (event->u.feed.is_snapshot) {
        drop_missing(router, event);
        /* The store's snapshots do not show which keys were dropped before
         * their end. */
        state->complete_from =
            event->type == Sl_ROUTER_EVENT_PULLED
                ? MIN(event->u.feed.complete_from, event->u.feed.next_offset)
                : event->u.feed.next_offset;
    }
    for (size_t i = 0; i < event->u.feed.count; i++) {
        const struct sl_record *record = &event->u.feed.records[i];
        if (!SlStoreEra_IsOlderCopy(router, event, record)) {
            apply_record(router, feed, record);
        }
    }
    if (event->u.feed.next_offset > state->next_offset &&
        (event->type == Sl_ROUTER_EVENT_FEED_READ ||
         SlFanoutTree_IsUsed(router) ||
         SlPeers_FleetPosition(router)->rank_in_domain == 0)) {
        /* Other routers get these records from this one, so it announces them.
         * It need not if it has pulled them from a peer of a small domain: the
         * peer has announced them to the whole domain. */
        router->has_store_updates = true;
    }
    state->has_snapshot = true;
    state->must_read_again = false;
    state->behind_since_us = 0;
    state->next_offset = MAX(state->next_offset, event->u.feed.next_offset);
    end_refresh(router, feed);
}

/* ---- answers of the store ---- */

/* Returns a random time between (1 - jitter) and (1 + jitter) times `us`. */
static int64_t
jittered_us(struct sl_router *router, int64_t us, double jitter)
{
    double draw = SlRandom_Unit(&router->random);
    return (int64_t)((double)us * (1 - jitter + 2 * jitter * draw));
}

/* Returns the pause before the next read after a failure. Readers retry more
 * often than other routers, which can get the updates from the readers. */
static int64_t
retry_pause_us(struct sl_router *router, const struct sl_feed_state *state)
{
    int64_t pause_us = Sl_READ_RETRY_US;
    for (unsigned i = 1;
         i < state->failures && pause_us < Sl_READ_RETRY_MAX_US; i++) {
        pause_us *= 2;
    }
    const struct sl_fleet_position *position = SlPeers_FleetPosition(router);
    size_t extra_pauses =
        SlStoreReaders_IsReader(router) ? 0 : 1 + position->rank_in_domain;
    return jittered_us(router, pause_us * (int64_t)(1 + extra_pauses),
                       Sl_READ_JITTER);
}

static void
on_read_failed(struct sl_router *router, enum sl_feed feed,
               const struct sl_error *err)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->failing_since_us == 0) {
        state->failing_since_us = router->now_us;
        SlLogLine_Begin(router, "store_lost");
        SlLogLine_C(router, "feed", SlFeed_Name(feed));
        SlLogLine_Error(router, err);
        SlLogLine_End(router, Sl_LOG_WARN);
    }
    state->failures++;
    state->is_followed = false;
    if (must_wait_for_probe(router, feed)) {
        state->waits_for_probe = true;
    }
    else {
        read_after(router, feed, retry_pause_us(router, state));
    }
}

/* Cancels reads of feeds other than `answered` and sends them again: those
 * sent while the store was unavailable may never be answered. */
static void
resend_reads(struct sl_router *router, enum sl_feed answered)
{
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        enum sl_feed feed = (enum sl_feed)i;
        if (feed != answered && router->feeds[feed].is_reading) {
            cancel_read(router, feed);
            read_feed(router, feed);
        }
    }
}

/* Plans reads of the feeds that waited for the store to answer the probe. */
static void
on_probe_answered(struct sl_router *router)
{
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        struct sl_feed_state *state = &router->feeds[i];
        if (state->waits_for_probe) {
            state->waits_for_probe = false;
            read_after(router, (enum sl_feed)i,
                       jittered_us(router, Sl_READ_SPREAD_US / 2, 1));
        }
    }
}

/* Handles that the store has answered this router or a peer at `at_us`. If the
 * store was unavailable before, notes that it is back: registrations may have
 * expired meanwhile. */
static void
note_store_answered(struct sl_router *router, int64_t at_us)
{
    if (at_us - router->fleet_store_answered_us >= Sl_STORE_UNAVAILABLE_US &&
        router->fleet_store_answered_us != 0) {
        router->store_back_us = router->now_us;
    }
    router->fleet_store_answered_us =
        MAX(router->fleet_store_answered_us, at_us);
}

/* Handles that the store has answered a read. It would have answered the other
 * reads that are under way if it had newer records; it has said nothing about
 * feeds that are left to the readers. */
static void
note_followed_current(struct sl_router *router)
{
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        struct sl_feed_state *state = &router->feeds[i];
        if (state->is_followed && state->has_snapshot &&
            !SlStoreEra_MustReadAgain(router, (enum sl_feed)i)) {
            state->current_per_store_us = router->now_us;
        }
    }
}

/* Handles the success of a read of `feed` by this router. */
static void
on_store_answered(struct sl_router *router, enum sl_feed feed)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->failing_since_us != 0) {
        SlLogLine_Begin(router, "store_back");
        SlLogLine_C(router, "feed", SlFeed_Name(feed));
        SlLogLine_Int(router, "away_ms",
                      (router->now_us - state->failing_since_us) /
                          Sl_US_PER_MS);
        SlLogLine_End(router, Sl_LOG_INFO);
        state->failing_since_us = 0;
        state->failures = 0;
        resend_reads(router, feed);
    }
    if (feed == Sl_PROBE_FEED) {
        on_probe_answered(router);
    }
}

void
SlFeeds_OnRead(struct sl_router *router, const struct sl_router_event *event)
{
    enum sl_feed feed = event->u.feed.feed;
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->is_reading && state->read_sent_event == router->event_number) {
        /* This event has ended a pause of the process, after which the feed is
         * read again: the answer is that of the read before. */
        return;
    }
    state->is_reading = false;
    if (event->err != NULL) {
        on_read_failed(router, feed, event->err);
        return;
    }
    if (event->u.feed.era != 0 && event->u.feed.era < router->store_era) {
        /* The response has waited since before the store came back. */
        read_after(router, feed, Sl_READ_RETRY_US);
        return;
    }
    int64_t proven_before_us = proven_us(router);
    router->store_answered_us = router->now_us;
    note_store_answered(router, router->now_us);
    if (SlStoreEra_Note(router, event->u.feed.era)) {
        resend_reads(router, feed);
    }
    on_store_answered(router, feed);
    if (event->u.feed.is_truncated) {
        SlLogLine_Begin(router, "feed_restarted");
        SlLogLine_C(router, "feed", SlFeed_Name(feed));
        SlLogLine_Offset(router, "offset", state->next_offset);
        SlLogLine_End(router, Sl_LOG_WARN);
        /* Records of an earlier era stay in use until then. */
        state->has_snapshot =
            state->has_snapshot && SlStoreEra_MustReadAgain(router, feed);
        read_feed(router, feed);
        return;
    }
    if (!state->has_snapshot && SlInitialSync_MustAskPeers(router, feed)) {
        read_after(router, feed, Sl_INITIAL_SYNC_CHECK_US);
        return;
    }
    apply_records(router, event);
    note_followed_current(router);
    announce_proof(router, proven_before_us, true);
    if (rules[feed].follow) {
        read_after(router, feed, rules[feed].pause_us);
    }
}

/* ---- peers ---- */

void
SlFeeds_OnPulled(struct sl_router *router, const struct sl_router_event *event)
{
    struct sl_feed_state *state = &router->feeds[event->u.feed.feed];
    state->is_pulling = false;
    if (event->err == NULL &&
        event->u.feed.next_offset <= state->next_offset) {
        return; /* no new records */
    }
    enum sl_log_level level = event->err == NULL ? Sl_LOG_DEBUG : Sl_LOG_INFO;
    SlLogLine_Begin(router, event->err == NULL ? "pulled" : "pull_failed");
    SlLogLine_C(router, "feed", SlFeed_Name(event->u.feed.feed));
    if (event->err != NULL) {
        SlLogLine_Error(router, event->err);
    }
    else {
        SlLogLine_Int(router, "records", (int64_t)event->u.feed.count);
        SlLogLine_Offset(router, "end", event->u.feed.next_offset);
    }
    SlLogLine_End(router, level);
    if (event->err == NULL) {
        if (!state->has_snapshot && state->is_reading) {
            /* The peer has answered before the store: the read of the store is
             * no longer needed. */
            cancel_read(router, event->u.feed.feed);
            read_after(router, event->u.feed.feed, Sl_PULLED_CHECK_US);
        }
        apply_records(router, event);
        SlStoreEra_OnPulled(router, event->u.feed.feed);
        state->current_per_peers_us =
            MAX(state->current_per_peers_us, state->pulled_records_current_us);
    }
}

void
SlFeeds_Pull(struct sl_router *router, enum sl_feed feed,
             const struct sl_gossip_digest *digest)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->is_pulling || router->now_us < state->next_pull_us) {
        return;
    }
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_PULL);
    effect->u.pull.address = SlRouter_CopyName(router, &digest->address);
    effect->u.pull.feed = feed;
    effect->u.pull.from = state->has_snapshot ? state->next_offset : 0;
    state->is_pulling = true;
    state->pulled_records_current_us =
        digest->staleness_ms == UINT32_MAX
            ? 0
            : router->now_us - digest->staleness_ms * Sl_US_PER_MS;
    state->next_pull_us = router->now_us + Sl_PULL_PAUSE_US;
}

/* Notes since when the feed is behind a peer. Returns true if that is so long
 * ago that the router which should transfer the update has failed to. Routers
 * of a large domain wait longer before they pull from another domain. */
static bool
check_overdue(struct sl_router *router, enum sl_feed feed, bool is_same_domain)
{
    struct sl_feed_state *state = &router->feeds[feed];
    int64_t limit_us = Sl_BEHIND_US;
    if (SlFanoutTree_IsUsed(router)) {
        limit_us = Sl_BEHIND_US * (int64_t)SlFanoutTree_Depth(router) +
                   (is_same_domain ? 0 : Sl_BEHIND_OTHER_DOMAIN_US);
    }
    if (state->behind_since_us == 0) {
        state->behind_since_us = router->now_us;
    }
    return router->now_us - state->behind_since_us >= limit_us;
}

/* Returns true if this router may pull from the digest's sender now, and else
 * notes since when the feed is behind. The domain leader pulls from any peer.
 * Other routers prefer peers of the local domain, or their parent in its
 * fan-out tree, so that few bytes pass between domains. */
static bool
check_may_pull(struct sl_router *router, enum sl_feed feed,
               const struct sl_gossip_digest *digest)
{
    bool is_same_domain =
        SlName_Equal(&digest->domain, &router->options.domain);
    if (SlPeers_FleetPosition(router)->rank_in_domain == 0 ||
        (SlFanoutTree_IsUsed(router)
             ? SlFanoutTree_IsParent(router, &digest->vm)
             : is_same_domain)) {
        return true;
    }
    return check_overdue(router, feed, is_same_domain);
}

/* Gets the updates by which the digest's sender is ahead of this router, which
 * reads the store itself: by another read, or from the sender while the store
 * does not answer this router. */
static void
catch_up(struct sl_router *router, enum sl_feed feed,
         const struct sl_gossip_digest *digest)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->failing_since_us != 0) {
        if (check_may_pull(router, feed, digest)) {
            SlFeeds_Pull(router, feed, digest);
        }
        return;
    }
    if (state->behind_since_us == 0) {
        state->behind_since_us = router->now_us;
    }
    if (router->now_us - state->behind_since_us < Sl_BEHIND_US) {
        return; /* the update may be on its way to this router */
    }
    if (state->is_reading && state->read_sent_us < state->behind_since_us) {
        /* The read that the store holds has missed the update. A read that
         * was sent after the peer was found to be ahead is not sent again,
         * however often peers announce the update: otherwise digests that
         * come faster than the store answers would restart it forever. */
        cancel_read(router, feed);
        send_read(router, feed, 0);
    }
}

/* Notes that the feeds of which this router has all records of the digest's
 * sender were current when the sender's were. */
static void
note_freshness(struct sl_router *router, const struct sl_gossip_digest *digest)
{
    if (digest->staleness_ms == UINT32_MAX) {
        return;
    }
    int64_t as_of_us = router->now_us - digest->staleness_ms * Sl_US_PER_MS;
    int64_t proven_before_us = proven_us(router);
    note_store_answered(router, as_of_us);
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        struct sl_feed_state *state = &router->feeds[i];
        if (state->has_snapshot && digest->offsets[i] <= state->next_offset &&
            as_of_us - state->current_per_peers_us >= Sl_FRESHNESS_STEP_US) {
            state->current_per_peers_us = as_of_us;
        }
    }
    announce_proof(router, proven_before_us, false);
}

void
SlFeeds_OnDigest(struct sl_router *router,
                 const struct sl_gossip_digest *digest)
{
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        if (SlStoreEra_Note(router, SlOffset_Era(digest->offsets[i]))) {
            resend_reads(router, Sl_FEED_COUNT);
        }
    }
    note_freshness(router, digest);
    for (int i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        enum sl_feed feed = (enum sl_feed)i;
        if (!router->feeds[i].has_snapshot) {
            SlInitialSync_OnDigest(router, feed, digest);
        }
        if (digest->offsets[i] <= router->feeds[i].next_offset) {
            continue;
        }
        if (!is_served_by_readers(router)) {
            catch_up(router, feed, digest);
        }
        else if (check_may_pull(router, feed, digest)) {
            SlFeeds_Pull(router, feed, digest);
        }
    }
}
