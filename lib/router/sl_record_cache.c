/*
 * Cache of the newest record of each key of a feed, which is a topic of the
 * store. Holds the values as the store has them. Peers pull records from the
 * cache, and snapshots are compared with it to find the keys that were
 * dropped.
 *
 * A router that has started with a snapshot does not know which keys were
 * dropped before that snapshot was taken. A peer that asks for records from an
 * earlier offset therefore gets all records as a snapshot, and drops the keys
 * that are not in it.
 */
#include "sl_router_internal.h"

static void
free_cached(gpointer data)
{
    struct sl_cached_record *cached = data;
    g_free((char *)cached->key.ptr);
    g_free(cached->value);
    g_free(cached);
}

GHashTable *
SlRecordCache_New(void)
{
    return g_hash_table_new_full(SlStr_TableHash, SlStr_TableEqual, NULL,
                                 free_cached);
}

/* Returns the name of what the record is about; empty if dropping its key has
 * no effect. */
static struct sl_name
dropped_name(const struct sl_record *record)
{
    switch (record->type) {
    case Sl_RECORD_ROLLOUT:
        return record->u.rollout.service;
    case Sl_RECORD_EVACUATION:
        return record->u.evacuated;
    case Sl_RECORD_UPSTREAM:
        return record->u.upstream.id;
    default:
        return SlName_Of("");
    }
}

/* Returns a record that drops the cached one's key. Its offset is not set. */
static struct sl_record
make_drop(const struct sl_cached_record *cached)
{
    struct sl_record drop = {
        .type = cached->type, .key = cached->key, .dropped = true};
    switch (cached->type) {
    case Sl_RECORD_ROLLOUT:
        drop.u.rollout.service = cached->name;
        break;
    case Sl_RECORD_EVACUATION:
        drop.u.evacuated = cached->name;
        break;
    case Sl_RECORD_UPSTREAM:
        drop.u.upstream.id = cached->name;
        break;
    default:
        break;
    }
    return drop;
}

const struct sl_cached_record *
SlRecordCache_Find(const struct sl_router *router, enum sl_feed feed,
                   struct sl_str key)
{
    return g_hash_table_lookup(router->feeds[feed].cache, &key);
}

bool
SlRecordCache_Put(struct sl_router *router, enum sl_feed feed,
                  const struct sl_record *record)
{
    struct sl_feed_state *state = &router->feeds[feed];
    struct sl_cached_record *cached =
        g_hash_table_lookup(state->cache, &record->key);
    if (cached != NULL && cached->offset >= record->offset) {
        return false;
    }
    int64_t start_wall_ms = cached == NULL ? 0 : cached->start_wall_ms;
    uint64_t sequence = cached == NULL ? 0 : cached->sequence;
    bool draining = cached != NULL && cached->draining;
    if (record->type == Sl_RECORD_UPSTREAM && !record->dropped) {
        start_wall_ms = record->u.upstream.start_wall_ms;
        sequence = record->u.upstream.sequence;
        draining = record->u.upstream.draining;
    }
    cached = g_new0(struct sl_cached_record, 1);
    cached->start_wall_ms = start_wall_ms;
    cached->sequence = sequence;
    cached->draining = draining;
    cached->offset = record->offset;
    cached->key = (struct sl_str){g_memdup2(record->key.ptr, record->key.len),
                                  record->key.len};
    cached->value_len = record->dropped ? 0 : record->value.len;
    cached->value = record->dropped
                        ? NULL
                        : g_memdup2(record->value.ptr, record->value.len);
    cached->type = record->type;
    cached->name = dropped_name(record);
    g_hash_table_replace(state->cache, &cached->key, cached);
    return true;
}

/* ---- snapshots ---- */

GArray *
SlRecordCache_FindDropped(const struct sl_router *router,
                          const struct sl_router_event *event)
{
    const struct sl_feed_state *state = &router->feeds[event->u.feed.feed];
    GArray *missing = g_array_new(FALSE, FALSE, sizeof(struct sl_record));
    GHashTable *present = g_hash_table_new(SlStr_TableHash, SlStr_TableEqual);
    GHashTableIter iter;
    gpointer value;
    for (size_t i = 0; i < event->u.feed.count; i++) {
        g_hash_table_add(present, (gpointer)&event->u.feed.records[i].key);
    }
    g_hash_table_iter_init(&iter, state->cache);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_cached_record *cached = value;
        if (cached->value != NULL &&
            cached->offset < event->u.feed.next_offset &&
            !g_hash_table_contains(present, &cached->key)) {
            struct sl_record record = make_drop(cached);
            /* The offset of the drop itself is not known. It lies between the
             * key's last record and the snapshot's end; the latest possible
             * offset is used. */
            record.offset =
                MAX(cached->offset + 1, event->u.feed.next_offset - 1);
            g_array_append_val(missing, record);
        }
    }
    g_hash_table_destroy(present);
    return missing;
}

/* ---- pulls ---- */

void
SlRecordCache_OnPull(struct sl_router *router, uint64_t conn,
                     enum sl_feed feed, uint64_t from_offset)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    GArray *records = g_array_new(FALSE, FALSE, sizeof(struct sl_page_record));
    bool is_snapshot = from_offset < state->complete_from;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, state->cache);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_cached_record *cached = value;
        if (is_snapshot || cached->offset >= from_offset) {
            struct sl_page_record record = {
                .offset = cached->offset,
                .key = cached->key,
                .value = {cached->value, cached->value_len},
            };
            g_array_append_val(records, record);
        }
    }
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_SEND_PAGE);
    effect->u.page.conn = conn;
    /* The peer ignores a page with the offset 0. It is sent as long as this
     * router lacks the newest record of some keys. */
    effect->u.page.page.next_offset =
        state->has_snapshot ? state->next_offset : 0;
    effect->u.page.page.is_snapshot = is_snapshot;
    effect->u.page.page.complete_from = state->complete_from;
    effect->u.page.page.count = records->len;
    effect->u.page.page.records =
        (const struct sl_page_record *)(void *)records->data;
    SlRouter_FreeWithEffects(router, g_array_free(records, FALSE));
}
