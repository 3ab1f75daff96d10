/*
 * From whom a router that starts has its first records. Answers restarts of
 * one router, of a failure domain and of all at once, with snapshots that
 * take a link of a small VM a while: the store is asked by few, few
 * bytes pass between domains, and no router hands its snapshot to all others.
 *
 * A router takes the snapshot from its own domain. There routers are in the
 * order of the heads, as a tree: each takes it from its parent. The domain's
 * head takes it from another domain.
 * When nobody has records, the readers ask the store and the others wait for
 * them. Each of these waits ends, and then any peer will do, and at last the
 * store. A router whose seeds do not answer looks for the others in the
 * store's entries of members, which are small, before it reads the rest.
 */
#include "sl_router_internal.h"

/* When all routers start for the first time, there is no hurry. */
#define Sl_FIRST_WAIT_US Sl_US_PER_S
/* Waits since a peer first offered records: then any peer of the domain, and
 * then any other one, may hand them over. The first is for each router that
 * stands above in the tree: each takes a while. */
#define Sl_PARENT_WAIT_US (300 * Sl_US_PER_MS)
#define Sl_ELSEWHERE_WAIT_US (500 * Sl_US_PER_MS)
/* The store is asked although peers have offered records that did not come. */
#define Sl_OFFER_WAIT_US (3 * Sl_US_PER_S)
/* Nobody has records: how long the readers are waited for, and how much longer
 * by each router that stands before this one in its domain. */
#define Sl_READERS_WAIT_US (1500 * Sl_US_PER_MS)
#define Sl_READERS_STEP_US (200 * Sl_US_PER_MS)
#define Sl_READERS_MAX_WAIT_US (3 * Sl_US_PER_S)
/* How long the seeds are waited for, and then the entries of members. All
 * routers may start at once: some of them a little longer than others. */
#define Sl_SEEDS_WAIT_US (200 * Sl_US_PER_MS)
#define Sl_SEEDS_SPREAD_US (200 * Sl_US_PER_MS)
#define Sl_MEMBERS_WAIT_US (800 * Sl_US_PER_MS)
/* Those that are found so are greeted, and answer within this time. */
#define Sl_GREETED_WAIT_US (500 * Sl_US_PER_MS)
/* Records are news while the store has answered somebody so lately. */
#define Sl_FRESH_MS 2500

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
        return 0; /* nobody is asked */
    }
    if (router->options.is_first_start) {
        return is_seed(router) ? 0 : Sl_FIRST_WAIT_US;
    }
    return Sl_INITIAL_SYNC_CHECK_US;
}

/* ---- offers ---- */

static bool
is_heard(const struct sl_router *router, const struct sl_router_peer *peer)
{
    return peer->digest.boot != 0 && SlPeers_IsLive(router, peer);
}

static bool
is_fresh(const struct sl_router *router, const struct sl_router_peer *peer)
{
    uint32_t age_ms = peer->digest.staleness_ms;
    return age_ms != UINT32_MAX &&
           age_ms + (router->now_us - peer->heard_us) / Sl_US_PER_MS <
               Sl_FRESH_MS;
}

/* Does the peer have records that this router should take? Where the store
 * answers, it knows better than who was cut off from it. */
static bool
offers(const struct sl_router *router, enum sl_feed feed,
       const struct sl_router_peer *peer)
{
    return is_heard(router, peer) && peer->digest.offsets[feed] > 0 &&
           (is_fresh(router, peer) ||
            router->feeds[feed].failing_since_us != 0);
}

/* Do those peers that have records of any feed know no more than they knew
 * when the store left them? */
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
        for (int i = 0; is_heard(router, peer) && i < Sl_GOSSIP_FEED_COUNT;
             i++) {
            has_any = has_any || peer->digest.offsets[i] > 0;
        }
        if (has_any && is_fresh(router, peer)) {
            return false;
        }
        has_records = has_records || has_any;
    }
    return has_records;
}

/* ---- whom to take them from ---- */

/* May that peer be asked by now? */
static bool
may_ask(struct sl_router *router, enum sl_feed feed,
        const struct sl_router_peer *peer)
{
    int64_t wait_us = (int64_t)SlFanoutTree_Depth(router) * Sl_PARENT_WAIT_US;
    int64_t waited_us = router->now_us - router->feeds[feed].first_offer_us;
    if (wait_us == 0) {
        return true; /* the head of its domain */
    }
    if (!SlName_Equal(&peer->domain, &router->options.domain)) {
        return waited_us >= wait_us + Sl_ELSEWHERE_WAIT_US;
    }
    return waited_us >= wait_us || SlFanoutTree_IsParent(router, &peer->vm);
}

/* One of those that may be asked, by chance, the own domain first. */
static const struct sl_router_peer *
choose_source(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_router_peer *chosen = NULL;
    uint32_t seen = 0;
    bool found_near = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (!offers(router, feed, peer) || !may_ask(router, feed, peer)) {
            continue;
        }
        bool is_near = SlName_Equal(&peer->domain, &router->options.domain);
        if (is_near && !found_near) {
            found_near = true;
            seen = 0;
        }
        if (is_near == found_near &&
            SlRandom_Below(&router->random, ++seen) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

static void
ask_peer(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_router_peer *peer = choose_source(router, feed);
    if (peer != NULL) {
        SlFeeds_Pull(router, feed, &peer->digest);
    }
}

/* ---- waits ---- */

/* Has a router been heard that knows the others? One that starts may have
 * heard only of some that start, too. */
static bool
has_met_fleet(const struct sl_router *router)
{
    const struct sl_router_options *options = &router->options;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        if (is_heard(router, peer) &&
            SlName_IsListed(options->seeds, options->seed_count,
                            &peer->address)) {
            return true;
        }
    }
    return router->introduced;
}

/* Is it too soon to say who the others are? */
static bool
looks_for_others(struct sl_router *router, enum sl_feed feed)
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
    if (!router->members_asked) {
        router->members_asked = true;
        SlFeeds_Read(router, Sl_FEED_MEMBERS);
    }
    if (members->reading) {
        return router->now_us - router->seeds_until_us < Sl_MEMBERS_WAIT_US;
    }
    if (router->members_read_us == 0) {
        router->members_read_us = router->now_us;
    }
    return SlPeers_FleetSize(router) > 1 && !SlPeers_HasHeard(router) &&
           router->now_us - router->members_read_us < Sl_GREETED_WAIT_US;
}

/* Do the readers of the store come first? */
static bool
waits_for_readers(struct sl_router *router)
{
    if (is_fleet_stale(router) || SlFeeds_IsReader(router)) {
        return false;
    }
    int64_t wait_us = Sl_READERS_WAIT_US +
                      (int64_t)SlPeers_FleetPosition(router)->rank_in_domain *
                          Sl_READERS_STEP_US;
    return router->now_us - router->started_us <
           MIN(wait_us, Sl_READERS_MAX_WAIT_US);
}

bool
SlInitialSync_WaitsForPeers(struct sl_router *router, enum sl_feed feed)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    if (state->failing_since_us != 0) {
        return state->pulling;
    }
    if (state->first_offer_us != 0) {
        if (!state->pulling) {
            ask_peer(router, feed);
        }
        return router->now_us - state->first_offer_us < Sl_OFFER_WAIT_US;
    }
    if (!has_met_fleet(router) && looks_for_others(router, feed)) {
        return true;
    }
    return SlPeers_HasHeard(router) && waits_for_readers(router);
}

/* ---- events ---- */

void
SlInitialSync_OnDigest(struct sl_router *router, enum sl_feed feed,
                       const struct sl_gossip *digest)
{
    struct sl_feed_state *state = &router->feeds[feed];
    const struct sl_router_peer *peer =
        g_hash_table_lookup(router->peers, &digest->vm);
    if (offers(router, feed, peer)) {
        if (state->first_offer_us == 0) {
            state->first_offer_us = router->now_us;
        }
        if (may_ask(router, feed, peer)) {
            SlFeeds_Pull(router, feed, digest);
        }
    }
    else if (digest->offsets[feed] == 0 && is_fresh(router, peer) &&
             digest->offsets[Sl_FEED_UPSTREAMS] > 0) {
        state->synced = true; /* nothing was ever written to it */
        state->peers_as_of_us =
            router->now_us - digest->staleness_ms * Sl_US_PER_MS;
    }
}
