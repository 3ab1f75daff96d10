/* Counts the calls that have begun, by the keys of their prompts. The keys
 * that were used last are kept. */
#include "sl_quarantine_internal.h"

#include <math.h>

/* Keys that are kept at most. */
#define Sl_MAX_BEGUN_KEYS 2048
/* Half-life of the counts. */
#define Sl_HALF_LIFE_US (10 * Sl_US_PER_S)

/* A count that decays. */
struct sl_decaying {
    double count;
    int64_t at_us; /* time up to which it has decayed */
};

struct sl_begun_key {
    uint32_t key;
    int64_t last_us; /* when a call with the key last began, at any router */
    struct sl_decaying calls; /* of this router */
    uint64_t total;           /* of this router */
    GList *link;              /* in `by_use` */
};

struct sl_begun_table {
    GHashTable *keys; /* key -> struct sl_begun_key, owned */
    GQueue by_use;    /* struct sl_begun_key, last used at the tail */
};

/* ---- counts ---- */

static double
decayed(const struct sl_decaying *value, int64_t now_us)
{
    return value->count *
           exp2(-(double)(now_us - value->at_us) / (double)Sl_HALF_LIFE_US);
}

static void
add_one(struct sl_decaying *value, int64_t now_us)
{
    value->count = decayed(value, now_us) + 1;
    value->at_us = now_us;
}

/* ---- the table ---- */

struct sl_begun_table *
SlBegunTable_New(void)
{
    struct sl_begun_table *table = g_new0(struct sl_begun_table, 1);
    table->keys = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_queue_init(&table->by_use);
    return table;
}

void
SlBegunTable_Free(struct sl_begun_table *table)
{
    g_queue_clear(&table->by_use);
    g_hash_table_destroy(table->keys);
    g_free(table);
}

static struct sl_begun_key *
find(const struct sl_begun_table *table, uint32_t key)
{
    return g_hash_table_lookup(table->keys, GUINT_TO_POINTER(key));
}

static struct sl_begun_key *
find_or_add(struct sl_begun_table *table, uint32_t key)
{
    struct sl_begun_key *begun = find(table, key);
    if (begun != NULL) {
        g_queue_unlink(&table->by_use, begun->link);
        g_queue_push_tail_link(&table->by_use, begun->link);
        return begun;
    }
    if (table->by_use.length == Sl_MAX_BEGUN_KEYS) {
        const struct sl_begun_key *oldest = g_queue_pop_head(&table->by_use);
        g_hash_table_remove(table->keys, GUINT_TO_POINTER(oldest->key));
    }
    begun = g_new0(struct sl_begun_key, 1);
    begun->key = key;
    begun->last_us = INT64_MIN;
    g_queue_push_tail(&table->by_use, begun);
    begun->link = g_queue_peek_tail_link(&table->by_use);
    g_hash_table_insert(table->keys, GUINT_TO_POINTER(key), begun);
    return begun;
}

void
SlBegunTable_CountKey(struct sl_begun_table *table, int64_t now_us,
                      uint32_t key)
{
    struct sl_begun_key *begun = find_or_add(table, key);
    begun->last_us = MAX(begun->last_us, now_us);
    add_one(&begun->calls, now_us);
    begun->total++;
}

void
SlBegunTable_NoteKey(struct sl_begun_table *table, int64_t begun_us,
                     uint32_t key)
{
    struct sl_begun_key *begun = find_or_add(table, key);
    begun->last_us = MAX(begun->last_us, begun_us);
}

int64_t
SlBegunTable_LastUs(const struct sl_begun_table *table, uint32_t key)
{
    const struct sl_begun_key *begun = find(table, key);
    return begun == NULL ? INT64_MIN : begun->last_us;
}

double
SlBegunTable_Share(const struct sl_begun_table *table, int64_t now_us,
                   uint32_t service, uint32_t key)
{
    double calls = SlBegunTable_Calls(table, now_us, service);
    return calls == 0 ? 0
                      : MIN(SlBegunTable_Calls(table, now_us, key) / calls, 1);
}

double
SlBegunTable_Calls(const struct sl_begun_table *table, int64_t now_us,
                   uint32_t key)
{
    const struct sl_begun_key *begun = find(table, key);
    return begun == NULL ? 0 : decayed(&begun->calls, now_us);
}

uint64_t
SlBegunTable_Total(const struct sl_begun_table *table, uint32_t key)
{
    const struct sl_begun_key *begun = find(table, key);
    return begun == NULL ? 0 : begun->total;
}
