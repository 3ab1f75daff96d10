/*
 * Initial sync: where a router that starts gets its first records from.
 *
 * One router, a failure domain or the whole fleet may restart at once, and a
 * snapshot takes a while on the link of a small VM. So only a few routers, the
 * readers, read the store; few bytes pass between domains; and no router
 * serves its snapshot to all others.
 *
 * A router learns of the others from its seeds: routers, named in its
 * settings, which send it a list of its peers. Their digests tell who has
 * records. The router pulls the snapshot from its parent in the fan-out tree
 * of its domain; the domain leader pulls it from another domain. When no
 * router has records, the readers read the store and the others wait for them.
 * Each of these waits is limited: after it the router pulls from any peer, and
 * finally reads the store. A router whose seeds do not answer looks for its
 * peers in the store's member records, which are small, before it reads the
 * rest of the store.
 */
#include "sl_router_internal.h"

/* Time after which a router reads the store when the whole fleet starts for
 * the first time. The seeds start without delay. Nothing depends on a fleet
 * that has just been set up, so the delay does no harm. */
#define Sl_FIRST_START_DELAY_US Sl_US_PER_S

/* The next three count from the time when a peer first offered records. Until
 * the first is over, once for each level of the fan-out tree above this
 * router, only the parent may transfer them, as each level takes a while. */
#define Sl_PARENT_WAIT_US (300 * Sl_US_PER_MS)
/* Then any peer of the domain may transfer them for this time, and after that
 * any peer of the fleet. */
#define Sl_DOMAIN_WAIT_US (500 * Sl_US_PER_MS)
/* If they have not arrived after this time, the store is read. */
#define Sl_OFFER_WAIT_US (3 * Sl_US_PER_S)

/* Time from the start for which a router waits for the readers if no peer has
 * records. */
#define Sl_READERS_WAIT_US (1500 * Sl_US_PER_MS)
/* Added to that for each rank of the router in its domain. */
#define Sl_READERS_RANK_WAIT_US (200 * Sl_US_PER_MS)
/* Bound of the sum. */
#define Sl_READERS_MAX_WAIT_US (3 * Sl_US_PER_S)

/* Time from the start for which a router waits for the seeds to answer. */
#define Sl_SEEDS_WAIT_US (200 * Sl_US_PER_MS)
/* A random time up to this is added, as all routers may start at once. */
#define Sl_SEEDS_SPREAD_US (200 * Sl_US_PER_MS)
/* Longest wait for the read of the member records after that. */
#define Sl_MEMBERS_WAIT_US (800 * Sl_US_PER_MS)
/* Routers found in member records are sent a digest. They answer within this
 * time. */
#define Sl_MEMBERS_RESPONSE_TIMEOUT_US (500 * Sl_US_PER_MS)

/* Records of a peer are fresh if they were current less than this time ago. */
#define Sl_FRESH_MS 2500

/* Returns true if this router is one of its own seeds. */
static bool
is_seed(const struct sl_router *router)
{
    const struct sl_router_options *options = &router->options;
    return SlName_IsListed(options->seeds, options->seed_count,
                           &options->peer_address);
}

static bool
has_other_seeds(const struct sl_router *router)
{
    return router->options.seed_count > (is_seed(router) ? 1 : 0);
}

int64_t
SlInitialSync_StartDelayUs(const struct sl_router *router)
{
    if (!has_other_seeds(router)) {
        return 0; /* there is no router to wait for */
    }
    if (router->options.is_first_start) {
        return is_seed(router) ? 0 : Sl_FIRST_START_DELAY_US;
    }
    return Sl_INITIAL_SYNC_CHECK_US;
}

/* ---- records of peers ---- */

/* Returns true if the peer is live and has sent a digest. */
static bool
has_live_digest(const struct sl_router *router,
                const struct sl_router_peer *peer)
{
    return peer->digest.boot != 0 && SlPeers_IsLive(router, peer);
}

/* Returns true if the peer's records are fresh. */
static bool
is_fresh(const struct sl_router *router, const struct sl_router_peer *peer)
{
    uint32_t staleness_ms = peer->digest.staleness_ms;
    return staleness_ms != UINT32_MAX &&
           staleness_ms + (router->now_us - peer->newest_digest_sent_us) /
                              Sl_US_PER_MS <
               Sl_FRESH_MS;
}

/* Returns true if the store has come back from a copy since some peer has read
 * it: peers may have records that it has lost. */
static bool
may_store_lack_records(const struct sl_router *router)
{
    return router->has_carrying_peer ||
           (router->lowest_peer_offset != 0 &&
            SlOffset_Era(router->lowest_peer_offset) < router->store_era);
}

/* Returns true if the peer has records of the feed that this router may use.
 * Stale records are used only if the store refuses this router or has lost
 * records: otherwise it has newer ones. */
static bool
has_usable_records(const struct sl_router *router, enum sl_feed feed,
                   const struct sl_router_peer *peer)
{
    return has_live_digest(router, peer) && peer->digest.offsets[feed] > 0 &&
           (is_fresh(router, peer) || may_store_lack_records(router) ||
            router->feeds[feed].failing_since_us != 0);
}

/* Returns true if some peers have records, but none has fresh ones, as the
 * store has been unavailable to all of them. */
static bool
is_fleet_stale(const struct sl_router *router)
{
    bool has_records = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        bool has_any = false;
        for (int i = 0;
             has_live_digest(router, peer) && i < Sl_GOSSIP_FEED_COUNT; i++) {
            has_any = has_any || peer->digest.offsets[i] > 0;
        }
        if (has_any && is_fresh(router, peer)) {
            return false;
        }
        has_records = has_records || has_any;
    }
    return has_records;
}

static bool
has_any_usable(const struct sl_router *router, enum sl_feed feed)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (has_usable_records(router, feed, value)) {
            return true;
        }
    }
    return false;
}

/* ---- choice of a peer ---- */

/* Returns true if the feed's records may be pulled from that peer by now. */
static bool
may_pull_from(struct sl_router *router, enum sl_feed feed,
              const struct sl_router_peer *peer)
{
    int64_t parent_wait_us =
        (int64_t)SlFanoutTree_Depth(router) * Sl_PARENT_WAIT_US;
    int64_t waited_us =
        router->now_us - router->feeds[feed].first_peer_records_us;
    if (parent_wait_us == 0) {
        return true; /* this router is the domain leader */
    }
    if (!SlName_Equal(&peer->domain, &router->options.domain)) {
        return waited_us >= parent_wait_us + Sl_DOMAIN_WAIT_US;
    }
    return waited_us >= parent_wait_us ||
           SlFanoutTree_IsParent(router, &peer->vm);
}

/* Returns a random one of the peers that the feed's records may be pulled
 * from, of the local domain if there is one; NULL if there is none at all. */
static const struct sl_router_peer *
choose_source(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_router_peer *chosen = NULL;
    uint32_t candidates = 0;
    bool found_local = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (!has_usable_records(router, feed, peer) ||
            !may_pull_from(router, feed, peer)) {
            continue;
        }
        bool is_local = SlName_Equal(&peer->domain, &router->options.domain);
        if (is_local && !found_local) {
            found_local = true;
            candidates = 0;
        }
        if (is_local == found_local &&
            SlRandom_Below(&router->random, ++candidates) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

static void
pull_from_peer(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_router_peer *peer = choose_source(router, feed);
    if (peer != NULL) {
        SlFeeds_Pull(router, feed, &peer->digest);
    }
}

/* ---- waits ---- */

/* Returns true if this router has a peer list, or a digest of a seed. Digests
 * of other routers do not show that the fleet is known: their senders may have
 * just started as well. */
static bool
knows_fleet(const struct sl_router *router)
{
    const struct sl_router_options *options = &router->options;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (has_live_digest(router, peer) &&
            SlName_IsListed(options->seeds, options->seed_count,
                            &peer->address)) {
            return true;
        }
    }
    return router->has_peer_list;
}

/* Looks for peers before the feed is read: waits for the seeds, then reads the
 * member records, then waits for the routers found there. Returns true while
 * any of these is under way. */
static bool
try_discover_peers(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_feed_state *members = &router->feeds[Sl_FEED_MEMBERS];
    if (feed == Sl_FEED_MEMBERS || !has_other_seeds(router)) {
        return false;
    }
    if (router->seeds_until_us == 0) {
        router->seeds_until_us =
            router->started_us + Sl_SEEDS_WAIT_US +
            SlRandom_Below(&router->random, Sl_SEEDS_SPREAD_US);
    }
    if (router->now_us < router->seeds_until_us) {
        return true;
    }
    if (!router->member_read_started) {
        router->member_read_started = true;
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
    if (members->is_reading) {
        return router->now_us - router->seeds_until_us < Sl_MEMBERS_WAIT_US;
    }
    if (router->members_read_us == 0) {
        router->members_read_us = router->now_us;
    }
    return SlPeers_FleetSize(router) > 1 && !SlPeers_HasLiveDigest(router) &&
           router->now_us - router->members_read_us <
               Sl_MEMBERS_RESPONSE_TIMEOUT_US;
}

/* Returns true while this router is to wait for the records that the readers
 * read from the store. */
static bool
must_wait_for_readers(struct sl_router *router)
{
    if (is_fleet_stale(router) || SlStoreReaders_IsReader(router)) {
        return false;
    }
    int64_t wait_us = Sl_READERS_WAIT_US +
                      (int64_t)SlPeers_FleetPosition(router)->rank_in_domain *
                          Sl_READERS_RANK_WAIT_US;
    return router->now_us - router->started_us <
           MIN(wait_us, Sl_READERS_MAX_WAIT_US);
}

bool
SlInitialSync_TryPeers(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    if (state->failing_since_us != 0) {
        /* The store has refused a read. From now on records are pulled as the
         * digests of peers arrive, and the store is read in between. */
        return state->is_pulling;
    }
    if (state->first_peer_records_us != 0) {
        if (!state->is_pulling) {
            pull_from_peer(router, feed);
        }
        return router->now_us - state->first_peer_records_us <
               Sl_OFFER_WAIT_US;
    }
    if (!knows_fleet(router) && try_discover_peers(router, feed)) {
        return true;
    }
    return SlPeers_HasLiveDigest(router) && must_wait_for_readers(router);
}

bool
SlInitialSync_MustAskPeers(struct sl_router *router, enum sl_feed feed)
{
    struct sl_feed_state *state = &router->feeds[feed];
    if (feed >= Sl_GOSSIP_FEED_COUNT || !may_store_lack_records(router)) {
        return false;
    }
    if (state->first_peer_records_us == 0 && has_any_usable(router, feed)) {
        state->first_peer_records_us = router->now_us;
    }
    return state->first_peer_records_us != 0 &&
           router->now_us - state->first_peer_records_us < Sl_OFFER_WAIT_US;
}

/* ---- events ---- */

void
SlInitialSync_OnDigest(struct sl_router *router, enum sl_feed feed,
                       const struct sl_gossip_digest *digest)
{
    struct sl_feed_state *state = &router->feeds[feed];
    router->has_carrying_peer =
        router->has_carrying_peer || digest->is_carrying;
    if (digest->offsets[feed] > 0 &&
        (router->lowest_peer_offset == 0 ||
         digest->offsets[feed] < router->lowest_peer_offset)) {
        router->lowest_peer_offset = digest->offsets[feed];
    }
    const struct sl_router_peer *peer =
        g_hash_table_lookup(router->peers, &digest->vm);
    if (has_usable_records(router, feed, peer)) {
        if (state->first_peer_records_us == 0) {
            state->first_peer_records_us = router->now_us;
        }
        if (may_pull_from(router, feed, peer)) {
            SlFeeds_Pull(router, feed, digest);
        }
    }
    else if (digest->offsets[feed] == 0 && is_fresh(router, peer) &&
             digest->offsets[Sl_FEED_UPSTREAMS] > 0) {
        /* A peer that has read the store has no record of this feed: the topic
         * is empty. */
        state->has_snapshot = true;
        state->current_per_peers_us =
            router->now_us - digest->staleness_ms * Sl_US_PER_MS;
    }
}
