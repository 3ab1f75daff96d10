/*
 * What holds after the store came back from a copy of itself.
 *
 * The store has lost its newest records then, and gives their offsets out
 * again. It states a higher era; offsets hold the era, so that those of the
 * later history are greater wherever offsets are compared. A router that
 * learns of the era, from the store or from a peer, reads the topics again.
 *
 * What the copy lacks was in force, and its writers write it again. Until they
 * do, and for Sl_CARRIED_US at most, it stays in force: orders of the
 * operators are not withdrawn as they are missing in the copy, and an order, a
 * configuration or a registration in it does not replace a later one. Later is
 * what its own version says: that of a configuration, or the start and the
 * sequence number of an upstream. For what has none, each record in the copy
 * counts as the earlier one. Upstreams that the copy lacks are kept for as
 * long as after any absence of the store.
 *
 * What routers have written, they write again: the status of a roll-out by the
 * router that ranks first, each router its member record.
 */
#include "sl_router_internal.h"

/* Time after which what the store has counts, also if it is older. */
#define Sl_CARRIED_US (30 * Sl_US_PER_S)
/* A random time up to this is added. */
#define Sl_CARRIED_SPREAD_US (5 * Sl_US_PER_S)

/* ---- the era ---- */

static void
on_carried_end(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    if (router->carried_until_us != 0 && now_us >= router->carried_until_us) {
        router->carried_until_us = 0;
        router->feeds[Sl_FEED_OPERATORS].must_read_again = true;
        SlFeeds_ReadAgain(router, Sl_FEED_OPERATORS);
    }
}

int64_t
SlStoreEra_Stated(const struct sl_router *router)
{
    return (int64_t)router->store_era - 1;
}

static bool
has_records(const struct sl_router *router)
{
    for (int i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        if (router->feeds[i].has_snapshot) {
            return true;
        }
    }
    return false;
}

/* Begins to carry what is in force over into the era of the store. */
static void
begin_carrying(struct sl_router *router, int64_t before)
{
    SlLogLine_Begin(router, "store_era");
    SlLogLine_Int(router, "era", SlStoreEra_Stated(router));
    SlLogLine_Int(router, "before", before);
    SlLogLine_End(router, Sl_LOG_WARN);
    router->store_back_us = router->now_us;
    /* All routers read the store at that time. */
    router->carried_until_us =
        router->now_us + Sl_CARRIED_US +
        SlRandom_Below(&router->random, (uint32_t)Sl_CARRIED_SPREAD_US);
    SlTimers_Add(router->timers, router->carried_until_us, on_carried_end,
                 router, 0);
    SlRollouts_OnStoreEra(router);
    SlDigests_RegisterAgain(router);
}

bool
SlStoreEra_Note(struct sl_router *router, uint64_t era)
{
    if (era <= router->store_era) {
        return false;
    }
    int64_t before = SlStoreEra_Stated(router);
    router->store_era = era;
    if (!has_records(router)) {
        return false;
    }
    begin_carrying(router, before);
    return true;
}

void
SlStoreEra_OnPulled(struct sl_router *router, enum sl_feed feed)
{
    uint64_t era = SlOffset_Era(router->feeds[feed].next_offset);
    if (era < router->store_era && router->carried_until_us == 0) {
        begin_carrying(router, (int64_t)era - 1);
    }
}

bool
SlStoreEra_MustReadAgain(const struct sl_router *router, enum sl_feed feed)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    return state->must_read_again ||
           SlOffset_Era(state->next_offset) < router->store_era;
}

bool
SlStoreEra_MayWrite(const struct sl_router *router,
                    const struct sl_rollout *rollout)
{
    return SlOffset_Era(router->feeds[Sl_FEED_STATUS].next_offset) ==
               router->store_era &&
           (!rollout->is_status_lost ||
            SlOffset_Era(rollout->offset) == router->store_era);
}

/* ---- records ---- */

/* Returns true if the event has the records of the store's copy: they are read
 * for the first time in an era, and some of them may be older than those that
 * are known. */
static bool
is_copy(const struct sl_router *router, const struct sl_router_event *event)
{
    const struct sl_feed_state *state = &router->feeds[event->u.feed.feed];
    return event->type == Sl_ROUTER_EVENT_FEED_READ &&
           event->u.feed.is_snapshot && state->has_snapshot &&
           router->carried_until_us != 0 &&
           SlOffset_Era(event->u.feed.next_offset) >
               SlOffset_Era(state->next_offset);
}

bool
SlStoreEra_IsCarried(const struct sl_router *router,
                     const struct sl_router_event *event,
                     const struct sl_record *drop)
{
    return is_copy(router, event) && (drop->type == Sl_RECORD_ROUTING ||
                                      drop->type == Sl_RECORD_ROLLOUT ||
                                      drop->type == Sl_RECORD_EVACUATION);
}

bool
SlStoreEra_IsOlderCopy(const struct sl_router *router,
                       const struct sl_router_event *event,
                       const struct sl_record *record)
{
    const struct sl_cached_record *known =
        SlRecordCache_Find(router, event->u.feed.feed, record->key);
    if (!is_copy(router, event) || known == NULL) {
        return false;
    }
    bool is_order = record->type == Sl_RECORD_ROLLOUT ||
                    record->type == Sl_RECORD_EVACUATION;
    bool is_same = known->value != NULL &&
                   SlStr_Equal((struct sl_str){known->value, known->value_len},
                               record->value);
    return is_order && !is_same;
}

/* Returns true if the registration is older than the known one, or the same
 * one while its upstream has been removed since. An upstream that drains does
 * so until its end. */
static bool
is_older_registration(const struct sl_cached_record *known,
                      const struct sl_registration *reg)
{
    if (known->start_wall_ms != reg->start_wall_ms) {
        return reg->start_wall_ms < known->start_wall_ms;
    }
    if (known->draining && !reg->draining) {
        return true;
    }
    return known->value == NULL ? reg->sequence <= known->sequence
                                : reg->sequence < known->sequence;
}

bool
SlStoreEra_IsOutdated(const struct sl_router *router, enum sl_feed feed,
                      const struct sl_record *record)
{
    const struct sl_cached_record *known =
        SlRecordCache_Find(router, feed, record->key);
    if (router->carried_until_us == 0 || known == NULL || record->dropped ||
        SlOffset_Era(known->offset) >= SlOffset_Era(record->offset)) {
        return false;
    }
    if (record->type == Sl_RECORD_ROUTING) {
        return router->routing != NULL &&
               SlRouting_Version(record->u.routing) <
                   SlRouting_Version(router->routing);
    }
    return record->type == Sl_RECORD_UPSTREAM &&
           is_older_registration(known, &record->u.upstream);
}
