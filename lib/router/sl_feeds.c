/*
 * Following the store's topics.
 *
 * A feed starts with a snapshot, the newest record of each key, and goes on
 * with the records behind it. Reads wait at the store for news. When the
 * store no longer has the next record, the feed starts anew. Offsets order
 * everything: a record that is older than what is known changes nothing.
 *
 * Not every router reads the store: a few of the fleet do, each in another
 * failure domain, chosen by hash among those that live. They tell the heads of
 * the other domains of news, which take the records from them, and the others
 * of a domain from each other. The store may refuse one router while it serves
 * the others, and a read that waits may miss the news. Peers say how far they
 * have read: a reader that is behind reads again at once, or, while the store
 * refuses it, takes the records from a peer. A router that hears of no reader
 * reads for itself.
 */
#include "sl_router_internal.h"

/* Pause after a failed read; doubles with each one in a row. The longest is
 * within the time in which news must be in force. */
#define Sl_READ_RETRY_US (200 * Sl_US_PER_MS)
#define Sl_READ_RETRY_MAX_US (800 * Sl_US_PER_MS)
/* Routers would ask a store that is back all at once. */
#define Sl_READ_JITTER 0.25
/* Feeds that waited for the store are read within this time. */
#define Sl_READ_SPREAD_US (100 * Sl_US_PER_MS)

/* Pause between pulls from peers. */
#define Sl_PULL_PAUSE_US (100 * Sl_US_PER_MS)
/* Routers of the fleet that read the store for the others, in as many failure
 * domains: one of them may be turned away, and another one stand still. */
#define Sl_READERS 3
/* A router reads for itself when no reader has had an answer of the store for
 * so long: a read's wait, its answer and a digest. */
#define Sl_READER_AGE_MS 2500
#define Sl_READER_CHECK_US (300 * Sl_US_PER_MS)
/* A store that answered nobody for so long was away. Entries lapse after three
 * heartbeats, which take longer. */
#define Sl_AWAY_US (2500 * Sl_US_PER_MS)
/* News reach routers at times that differ by less than this; in a large domain
 * by as much again for each router that hands them on. */
#define Sl_BEHIND_US (200 * Sl_US_PER_MS)
/* Those of a large domain, of which many are behind at once, take news from
 * other domains so much later. */
#define Sl_BEHIND_ALL_US (600 * Sl_US_PER_MS)
/* A router without live peers hears of missed news from nobody. */
#define Sl_LONE_WAIT_US Sl_US_PER_S

/* What the feeds are read for, and how often. The pause bounds the number of
 * reads of a topic that changes all the time; it adds to the age of news. The
 * operators' feed is the pulse: a read of it that stays without an answer is
 * the first sign that the store is away, so it waits only shortly. */
static const struct sl_feed_rule {
    const char *name;
    int64_t pause_us; /* between the end of a read and the next */
    int64_t wait_us;  /* at the store, for news */
    bool follow;      /* read on behind the snapshot */
} rules[Sl_FEED_COUNT] = {
    [Sl_FEED_OPERATORS] = {"operators", 150 * Sl_US_PER_MS,
                           1500 * Sl_US_PER_MS, true},
    [Sl_FEED_UPSTREAMS] = {"upstreams", 500 * Sl_US_PER_MS, 10 * Sl_US_PER_S,
                           true},
    [Sl_FEED_STATUS] = {"status", 150 * Sl_US_PER_MS, 10 * Sl_US_PER_S, true},
    [Sl_FEED_MEMBERS] = {"members", Sl_US_PER_S, Sl_US_PER_S, false},
};

/* A store that is away is asked for this feed alone. */
#define Sl_PULSE Sl_FEED_OPERATORS

const char *
SlFeed_Name(enum sl_feed feed)
{
    return rules[feed].name;
}

/* ---- reads ---- */

static void
read_waiting(struct sl_router *router, enum sl_feed feed, int64_t wait_us)
{
    struct sl_feed_state *state = &router->feeds[feed];
    struct sl_router_effect *effect = SlRouter_AddEffect(
        router, state->synced ? Sl_RFX_READ_ON : Sl_RFX_READ_NEWEST);
    assert(!state->reading);
    state->reading = true;
    state->read_sent_us = router->now_us;
    effect->u.read.feed = feed;
    effect->u.read.from = state->next;
    effect->u.read.wait_us = wait_us;
}

static void
read_feed(struct sl_router *router, enum sl_feed feed)
{
    int64_t wait_us = rules[feed].wait_us;
    if (SlPeers_FleetSize(router) <= 1) {
        wait_us = MIN(wait_us, Sl_LONE_WAIT_US);
    }
    read_waiting(router, feed, wait_us);
}

/* Gives up the read that is under way or planned. */
static void
cancel_read(struct sl_router *router, enum sl_feed feed)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->reading) {
        SlRouter_AddEffect(router, Sl_RFX_READ_CANCEL)->u.read.feed = feed;
        state->reading = false;
    }
    SlTimers_Cancel(router->timers, state->timer);
    state->timer = 0;
    state->waits_for_probe = false;
}

static void read_after(struct sl_router *router, enum sl_feed feed,
                       int64_t after_us);

/* UINT32_MAX when it has never been. */
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

/* When the store last answered a router whose news this one has, as far as
 * peers have told; 0: never. */
static int64_t
peers_as_of_us(const struct sl_router *router)
{
    int64_t oldest_us = INT64_MAX;
    for (int i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        oldest_us = MIN(oldest_us, router->feeds[i].peers_as_of_us);
    }
    return oldest_us;
}

uint32_t
SlFeeds_StalenessMs(const struct sl_router *router)
{
    return age_ms(router,
                  MAX(router->store_answered_us, peers_as_of_us(router)));
}

void
SlFeeds_LogStoreAge(struct sl_router *router)
{
    uint32_t age = SlFeeds_StoreAgeMs(router);
    SlLogLine_Int(router, "store_age_ms",
                  age == UINT32_MAX ? -1 : (int64_t)age);
}

bool
SlFeeds_IsReader(struct sl_router *router)
{
    const struct sl_fleet_position *fleet_position =
        SlPeers_FleetPosition(router);
    size_t each = (Sl_READERS + fleet_position->domain_count - 1) /
                  fleet_position->domain_count;
    return fleet_position->rank_of_domain < Sl_READERS &&
           fleet_position->rank_in_domain < each;
}

/* Do others read the store for this router? */
static bool
is_handed_news(struct sl_router *router)
{
    return !SlFeeds_IsReader(router) &&
           age_ms(router, peers_as_of_us(router)) < Sl_READER_AGE_MS;
}

static bool
is_feed_handed(struct sl_router *router, enum sl_feed feed)
{
    return !SlFeeds_IsReader(router) &&
           age_ms(router, router->feeds[feed].peers_as_of_us) <
               Sl_READER_AGE_MS;
}

void
SlFeeds_LogReaderChange(struct sl_router *router)
{
    bool reads = !is_handed_news(router);
    if (reads == router->reads_store) {
        return;
    }
    const struct sl_fleet_position *fleet_position =
        SlPeers_FleetPosition(router);
    router->reads_store = reads;
    SlLogLine_Begin(router,
                    reads ? "store_reading_taken" : "store_reading_left");
    SlLogLine_Int(router, "rank", (int64_t)fleet_position->rank_in_domain);
    SlLogLine_Int(router, "domains", (int64_t)fleet_position->domain_count);
    SlLogLine_Int(router, "fleet", (int64_t)SlPeers_FleetSize(router));
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Is the store away, by the feed that is asked most often? Then only that one
 * asks on. */
static bool
waits_for_probe(const struct sl_router *router, enum sl_feed feed)
{
    return feed != Sl_PULSE && router->feeds[feed].failures > 0 &&
           router->feeds[Sl_PULSE].failures > 0;
}

static void
on_read_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)now_us;
    router->feeds[id].timer = 0;
    if (waits_for_probe(router, (enum sl_feed)id)) {
        router->feeds[id].waits_for_probe = true;
    }
    else if (!router->feeds[id].synced &&
             SlInitialSync_WaitsForPeers(router, (enum sl_feed)id)) {
        read_after(router, (enum sl_feed)id, Sl_INITIAL_SYNC_CHECK_US);
    }
    else if (router->feeds[id].synced &&
             is_feed_handed(router, (enum sl_feed)id)) {
        read_after(router, (enum sl_feed)id, Sl_READER_CHECK_US);
    }
    else {
        read_feed(router, (enum sl_feed)id);
    }
}

static void
read_after(struct sl_router *router, enum sl_feed feed, int64_t after_us)
{
    struct sl_feed_state *state = &router->feeds[feed];
    assert(state->timer == 0);
    state->timer =
        SlTimers_Subscribe(router->timers, router->now_us + after_us,
                           on_read_due, router, (uint64_t)feed);
}

void
SlFeeds_Read(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    if (!state->reading && state->timer == 0 && !state->waits_for_probe) {
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
    int64_t wait_us = SlInitialSync_StartDelayUs(router);
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        enum sl_feed feed = (enum sl_feed)i;
        router->feeds[i].cache = SlRecordCache_New();
        if (rules[feed].follow && wait_us == 0) {
            read_feed(router, feed);
        }
        else if (rules[feed].follow) {
            read_after(router, feed, wait_us);
        }
    }
}

/* ---- refresh ---- */

/* What a choice of an upstream goes by. */
static const enum sl_feed refreshed[] = {Sl_FEED_OPERATORS, Sl_FEED_UPSTREAMS};

void
SlFeeds_Refresh(struct sl_router *router, int64_t until_us)
{
    router->refresh_until_us = until_us;
    for (size_t i = 0; i < G_N_ELEMENTS(refreshed); i++) {
        cancel_read(router, refreshed[i]);
        router->feeds[refreshed[i]].refreshing = true;
        read_waiting(router, refreshed[i], 0);
    }
}

bool
SlFeeds_IsRefreshing(const struct sl_router *router)
{
    if (router->now_us >= router->refresh_until_us) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(refreshed); i++) {
        if (router->feeds[refreshed[i]].refreshing) {
            return true;
        }
    }
    return false;
}

/* The feed is up to date. */
static void
end_refresh(struct sl_router *router, enum sl_feed feed)
{
    if (router->feeds[feed].refreshing) {
        router->feeds[feed].refreshing = false;
        router->capacity_changed = true;
    }
}

/* ---- records ---- */

static void
log_broken(struct sl_router *router, enum sl_feed feed,
           const struct sl_record *record)
{
    SlLogLine_Begin(router, "record_unreadable");
    SlLogLine_C(router, "feed", SlFeed_Name(feed));
    SlLogLine_Str(router, "key", record->key);
    SlLogLine_Int(router, "offset", (int64_t)record->offset);
    SlLogLine_Error(router, &record->u.err);
    SlLogLine_End(router, Sl_LOG_WARN);
    SlRouterMetrics_OnUnreadableRecord(router, feed);
}

static void
take_routing(struct sl_router *router, const struct sl_record *record)
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
    SlRouter_AddEffect(router, Sl_RFX_LIMITS)->u.limits =
        *SlRouting_Limits(routing);
    SlLogLine_Begin(router, "configuration");
    SlLogLine_Int(router, "version", SlRouting_Version(routing));
    SlLogLine_Int(router, "offset", (int64_t)record->offset);
    SlLogLine_Int(router, "routes", (int64_t)SlRouting_RouteCount(routing));
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
take_evacuation(struct sl_router *router, const struct sl_record *record)
{
    const struct sl_name *domain = &record->u.evacuated;
    bool known = SlUpstreams_IsEvacuated(router, domain);
    if (known != record->dropped) {
        return;
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
    SlLogLine_Int(router, "offset", (int64_t)record->offset);
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
take_upstream(struct sl_router *router, const struct sl_record *record)
{
    if (record->dropped) {
        SlUpstreams_Drop(router, &record->u.upstream.id);
    }
    else {
        SlUpstreams_Put(router, record->offset, &record->u.upstream);
    }
}

static void
take_record(struct sl_router *router, enum sl_feed feed,
            const struct sl_record *record)
{
    if (!SlRecordCache_Put(router, feed, record)) {
        return;
    }
    switch (record->type) {
    case Sl_RECORD_BROKEN:
        log_broken(router, feed, record);
        break;
    case Sl_RECORD_ROUTING:
        if (!record->dropped) {
            take_routing(router, record);
        }
        break;
    case Sl_RECORD_EVACUATION:
        take_evacuation(router, record);
        break;
    case Sl_RECORD_UPSTREAM:
        take_upstream(router, record);
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

/* What a snapshot does not hold is gone. */
static void
drop_missing(struct sl_router *router, const struct sl_router_event *event)
{
    enum sl_feed feed = event->u.feed.feed;
    GArray *missing = SlRecordCache_FindDropped(router, event);
    for (guint i = 0; i < missing->len; i++) {
        take_record(router, feed,
                    &g_array_index(missing, struct sl_record, i));
    }
    g_array_free(missing, TRUE);
}

static void
take_page(struct sl_router *router, const struct sl_router_event *event)
{
    enum sl_feed feed = event->u.feed.feed;
    struct sl_feed_state *state = &router->feeds[feed];
    if (event->u.feed.snapshot) {
        drop_missing(router, event);
        /* A snapshot of the store tells of no drops before its end. */
        state->complete_from =
            event->type == Sl_REV_PULLED
                ? MIN(event->u.feed.complete_from, event->u.feed.end)
                : event->u.feed.end;
    }
    for (size_t i = 0; i < event->u.feed.count; i++) {
        take_record(router, feed, &event->u.feed.records[i]);
    }
    if (event->u.feed.end > state->next &&
        (event->type == Sl_REV_FEED || SlFanoutTree_IsUsed(router) ||
         SlPeers_FleetPosition(router)->rank_in_domain == 0)) {
        /* Others wait for it. In a small domain, who took it from a peer there
         * has nothing to tell that the domain does not know. */
        router->has_news = true;
    }
    state->synced = true;
    state->behind_since_us = 0;
    state->next = MAX(state->next, event->u.feed.end);
    end_refresh(router, feed);
}

/* ---- answers ---- */

/* A time between (1 - part) and (1 + part) of `us`. */
static int64_t
jittered_us(struct sl_router *router, int64_t us, double part)
{
    double draw = SlRandom_Unit(&router->random);
    return (int64_t)((double)us * (1 - part + 2 * part * draw));
}

/* Pause before the next try. Those that read the store for their failure
 * domain ask more often than the others, which would take their news. */
static int64_t
retry_pause_us(struct sl_router *router, const struct sl_feed_state *state)
{
    int64_t pause_us = Sl_READ_RETRY_US;
    for (unsigned i = 1;
         i < state->failures && pause_us < Sl_READ_RETRY_MAX_US; i++) {
        pause_us *= 2;
    }
    const struct sl_fleet_position *fleet_position =
        SlPeers_FleetPosition(router);
    size_t turn =
        SlFeeds_IsReader(router) ? 0 : 1 + fleet_position->rank_in_domain;
    return jittered_us(router, pause_us * (int64_t)(1 + turn), Sl_READ_JITTER);
}

static void
on_failed(struct sl_router *router, enum sl_feed feed,
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
    if (waits_for_probe(router, feed)) {
        state->waits_for_probe = true;
    }
    else {
        read_after(router, feed, retry_pause_us(router, state));
    }
}

/* Reads that were under way while the store was away may never be answered:
 * they are given up and asked anew. */
static void
read_others_anew(struct sl_router *router, enum sl_feed back)
{
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        enum sl_feed feed = (enum sl_feed)i;
        if (feed != back && router->feeds[feed].reading) {
            cancel_read(router, feed);
            read_feed(router, feed);
        }
    }
}

/* The store answers again: what waited for that is read. */
static void
end_waits(struct sl_router *router)
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

/* The store has answered some router at that time. After a while in which it
 * answered nobody, entries may have lapsed with it. */
static void
note_answered(struct sl_router *router, int64_t at_us)
{
    if (at_us - router->answered_us >= Sl_AWAY_US &&
        router->answered_us != 0) {
        router->store_back_us = router->now_us;
    }
    router->answered_us = MAX(router->answered_us, at_us);
}

static void
on_back(struct sl_router *router, enum sl_feed feed)
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
        read_others_anew(router, feed);
    }
    if (feed == Sl_PULSE) {
        end_waits(router);
    }
}

void
SlFeeds_OnRead(struct sl_router *router, const struct sl_router_event *event)
{
    enum sl_feed feed = event->u.feed.feed;
    struct sl_feed_state *state = &router->feeds[feed];
    state->reading = false;
    if (event->err != NULL) {
        on_failed(router, feed, event->err);
        return;
    }
    router->store_answered_us = router->now_us;
    note_answered(router, router->now_us);
    on_back(router, feed);
    if (event->u.feed.truncated) {
        SlLogLine_Begin(router, "feed_restarted");
        SlLogLine_C(router, "feed", SlFeed_Name(feed));
        SlLogLine_Int(router, "offset", (int64_t)state->next);
        SlLogLine_End(router, Sl_LOG_WARN);
        state->synced = false;
        read_feed(router, feed);
        return;
    }
    take_page(router, event);
    if (rules[feed].follow) {
        read_after(router, feed, rules[feed].pause_us);
    }
}

/* ---- peers ---- */

void
SlFeeds_OnPulled(struct sl_router *router, const struct sl_router_event *event)
{
    struct sl_feed_state *state = &router->feeds[event->u.feed.feed];
    state->pulling = false;
    if (event->err == NULL && event->u.feed.end <= state->next) {
        return; /* nothing new */
    }
    enum sl_log_level level = event->err == NULL ? Sl_LOG_DEBUG : Sl_LOG_INFO;
    SlLogLine_Begin(router, event->err == NULL ? "pulled" : "pull_failed");
    SlLogLine_C(router, "feed", SlFeed_Name(event->u.feed.feed));
    if (event->err != NULL) {
        SlLogLine_Error(router, event->err);
    }
    else {
        SlLogLine_Int(router, "records", (int64_t)event->u.feed.count);
        SlLogLine_Int(router, "end", (int64_t)event->u.feed.end);
    }
    SlLogLine_End(router, level);
    if (event->err == NULL) {
        if (!state->synced && state->reading) {
            /* A peer was faster than the store. */
            cancel_read(router, event->u.feed.feed);
            read_after(router, event->u.feed.feed, Sl_READER_CHECK_US);
        }
        take_page(router, event);
        state->peers_as_of_us =
            MAX(state->peers_as_of_us, state->pull_as_of_us);
    }
}

void
SlFeeds_Pull(struct sl_router *router, enum sl_feed feed,
             const struct sl_gossip *digest)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->pulling || router->now_us < state->next_pull_us) {
        return;
    }
    struct sl_router_effect *effect = SlRouter_AddEffect(router, Sl_RFX_PULL);
    effect->u.pull.address = digest->address;
    effect->u.pull.feed = feed;
    effect->u.pull.from = state->synced ? state->next : 0;
    state->pulling = true;
    state->pull_as_of_us =
        digest->staleness_ms == UINT32_MAX
            ? 0
            : router->now_us - digest->staleness_ms * Sl_US_PER_MS;
    state->next_pull_us = router->now_us + Sl_PULL_PAUSE_US;
}

static void
catch_up(struct sl_router *router, enum sl_feed feed,
         const struct sl_gossip *digest)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (state->behind_since_us == 0) {
        state->behind_since_us = router->now_us;
    }
    if (router->now_us - state->behind_since_us < Sl_BEHIND_US) {
        return; /* the news may be on its way here, too */
    }
    if (state->failing_since_us == 0) {
        if (state->reading && state->read_sent_us < state->behind_since_us) {
            /* The read that waits has missed the news. One that was asked
             * after they were told of is on its way, however often they are
             * told again. */
            cancel_read(router, feed);
            read_waiting(router, feed, 0);
        }
        return;
    }
    SlFeeds_Pull(router, feed, digest);
}

/* Has it been behind for so long that those who should hand it the news will
 * not? */
static bool
is_left_behind(struct sl_router *router, enum sl_feed feed, bool is_near)
{
    struct sl_feed_state *state = &router->feeds[feed];
    int64_t limit_us = Sl_BEHIND_US;
    if (SlFanoutTree_IsUsed(router)) {
        limit_us = Sl_BEHIND_US * (int64_t)SlFanoutTree_Depth(router) +
                   (is_near ? 0 : Sl_BEHIND_ALL_US);
    }
    if (state->behind_since_us == 0) {
        state->behind_since_us = router->now_us;
    }
    return router->now_us - state->behind_since_us >= limit_us;
}

/* May the records come from that peer? Its own domain goes first, so that few
 * bytes pass between domains, and in a large one its parent there. */
static bool
may_pull_from(struct sl_router *router, enum sl_feed feed,
              const struct sl_gossip *digest)
{
    bool is_near = SlName_Equal(&digest->domain, &router->options.domain);
    if (SlPeers_FleetPosition(router)->rank_in_domain == 0 ||
        (SlFanoutTree_IsUsed(router)
             ? SlFanoutTree_IsParent(router, &digest->vm)
             : is_near)) {
        return true;
    }
    return is_left_behind(router, feed, is_near);
}

static void
note_freshness(struct sl_router *router, const struct sl_gossip *digest)
{
    if (digest->staleness_ms == UINT32_MAX) {
        return;
    }
    int64_t at_us = router->now_us - digest->staleness_ms * Sl_US_PER_MS;
    note_answered(router, at_us);
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        struct sl_feed_state *state = &router->feeds[i];
        if (state->synced && digest->offsets[i] <= state->next) {
            state->peers_as_of_us = MAX(state->peers_as_of_us, at_us);
        }
    }
}

void
SlFeeds_OnDigest(struct sl_router *router, const struct sl_gossip *digest)
{
    note_freshness(router, digest);
    for (int i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        enum sl_feed feed = (enum sl_feed)i;
        if (!router->feeds[i].synced) {
            SlInitialSync_OnDigest(router, feed, digest);
        }
        if (digest->offsets[i] <= router->feeds[i].next) {
            continue;
        }
        if (!is_handed_news(router)) {
            catch_up(router, feed, digest);
        }
        else if (may_pull_from(router, feed, digest)) {
            SlFeeds_Pull(router, feed, digest);
        }
    }
}
