/*
 * The newest record of each key of the store's topics, as stored: what peers
 * may pull, and what a snapshot is held against.
 *
 * A router that began with a snapshot does not know which keys were dropped
 * before it. A peer that is further behind than that gets all records as a
 * snapshot, so that it drops what it holds and they do not.
 */
#include "sl_router_internal.h"

static void
free_kept(gpointer data)
{
    struct sl_cached_record *kept = data;
    g_free(kept->key);
    g_free(kept->value);
    g_free(kept);
}

GHashTable *
SlRecordCache_New(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_kept);
}

/* What is needed to drop it later: its type, and what it is about. */
static struct sl_record
about(const struct sl_record *record)
{
    struct sl_record about = {.type = record->type, .dropped = true};
    switch (record->type) {
    case Sl_RECORD_ROLLOUT:
        about.u.rollout.service = record->u.rollout.service;
        break;
    case Sl_RECORD_EVACUATION:
        about.u.evacuated = record->u.evacuated;
        break;
    case Sl_RECORD_UPSTREAM:
        about.u.upstream.id = record->u.upstream.id;
        break;
    default:
        break;
    }
    return about;
}

bool
SlRecordCache_Put(struct sl_router *router, enum sl_feed feed,
                  const struct sl_record *record)
{
    struct sl_feed_state *state = &router->feeds[feed];
    char *key = g_strndup(record->key.ptr, record->key.len);
    struct sl_cached_record *kept = g_hash_table_lookup(state->cache, key);
    if (kept != NULL && kept->offset >= record->offset) {
        g_free(key);
        return false;
    }
    kept = g_new0(struct sl_cached_record, 1);
    kept->offset = record->offset;
    kept->key = key;
    kept->value_len = record->dropped ? 0 : record->value.len;
    kept->value = record->dropped
                      ? NULL
                      : g_memdup2(record->value.ptr, record->value.len);
    kept->about = about(record);
    g_hash_table_replace(state->cache, kept->key, kept);
    return true;
}

/* ---- snapshots ---- */

GArray *
SlRecordCache_FindDropped(const struct sl_router *router,
                          const struct sl_router_event *event)
{
    const struct sl_feed_state *state = &router->feeds[event->u.feed.feed];
    GArray *missing = g_array_new(FALSE, FALSE, sizeof(struct sl_record));
    GHashTable *present =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer value;
    for (size_t i = 0; i < event->u.feed.count; i++) {
        struct sl_str key = event->u.feed.records[i].key;
        g_hash_table_add(present, g_strndup(key.ptr, key.len));
    }
    g_hash_table_iter_init(&iter, state->cache);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_cached_record *kept = value;
        if (kept->value != NULL && kept->offset < event->u.feed.end &&
            !g_hash_table_contains(present, kept->key)) {
            struct sl_record record = kept->about;
            record.key = SlStr_FromC(kept->key);
            /* Somewhere between its last record and the snapshot's end. */
            record.offset = MAX(kept->offset + 1, event->u.feed.end - 1);
            g_array_append_val(missing, record);
        }
    }
    g_hash_table_destroy(present);
    return missing;
}

/* ---- pulls ---- */

void
SlRecordCache_OnPull(struct sl_router *router, uint64_t conn,
                     enum sl_feed feed, uint64_t from)
{
    const struct sl_feed_state *state = &router->feeds[feed];
    GArray *records = g_array_new(FALSE, FALSE, sizeof(struct sl_page_record));
    bool is_snapshot = from < state->complete_from;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, state->cache);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_cached_record *kept = value;
        if (is_snapshot || kept->offset >= from) {
            struct sl_page_record record = {
                .offset = kept->offset,
                .key = SlStr_FromC(kept->key),
                .value = {kept->value, kept->value_len},
            };
            g_array_append_val(records, record);
        }
    }
    struct sl_router_effect *effect = SlRouter_AddEffect(router, Sl_RFX_PAGE);
    effect->u.page.conn = conn;
    effect->u.page.page.end = state->synced ? state->next : 0;
    effect->u.page.page.is_snapshot = is_snapshot;
    effect->u.page.page.complete_from = state->complete_from;
    effect->u.page.page.count = records->len;
    effect->u.page.page.records =
        (const struct sl_page_record *)(void *)records->data;
    SlRouter_FreeWithEffects(router, g_array_free(records, FALSE));
}
