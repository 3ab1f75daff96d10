/* The table of the idempotency keys whose requests this agent ran or refused,
 * with the responses of those that ran.
 *
 * A key is never evicted before Sl_KEY_LIFETIME_MS is over, because its
 * request could run again then; a full table makes the agent refuse new keys.
 */
#include "sl_agent_internal.h"

/* Largest number of keys. */
#define Sl_MAX_KEYS 50000
/* Largest sum of the responses' sizes. Further responses are not stored. */
#define Sl_MAX_RESPONSE_BYTES ((size_t)32 * 1024 * 1024)

/* ---- types ---- */

struct sl_keys {
    GHashTable *table;     /* struct sl_key_id -> struct sl_key, owned */
    GQueue *order;         /* struct sl_key_id, owned; oldest first */
    size_t response_bytes; /* sum of the sizes of the stored responses */
};

/* ---- helpers ---- */

static guint
hash_key_id(gconstpointer data)
{
    const struct sl_key_id *id = data;
    uint64_t hash = SlHash_Bytes(0, SlName_Str(&id->team));
    return (guint)SlHash_Bytes(hash, SlName_Str(&id->key));
}

static gboolean
equal_key_ids(gconstpointer a, gconstpointer b)
{
    const struct sl_key_id *left = a;
    const struct sl_key_id *right = b;
    return SlName_Equal(&left->team, &right->team) &&
           SlName_Equal(&left->key, &right->key);
}

static void
free_key(gpointer data)
{
    struct sl_key *key = data;
    SlBuf_Free(&key->body);
    g_free(key);
}

static void
remove_key(struct sl_keys *keys, const struct sl_key_id *id)
{
    const struct sl_key *key = g_hash_table_lookup(keys->table, id);
    if (key != NULL) {
        keys->response_bytes -= key->body.len;
        g_hash_table_remove(keys->table, id);
    }
}

/* ---- internal API ---- */

struct sl_keys *
SlKeys_New(void)
{
    struct sl_keys *keys = g_new0(struct sl_keys, 1);
    keys->table =
        g_hash_table_new_full(hash_key_id, equal_key_ids, NULL, free_key);
    keys->order = g_queue_new();
    return keys;
}

void
SlKeys_Free(struct sl_keys *keys)
{
    g_queue_free_full(keys->order, g_free);
    g_hash_table_destroy(keys->table);
    g_free(keys);
}

struct sl_key *
SlKeys_Find(const struct sl_keys *keys, const struct sl_msg_run *run)
{
    struct sl_key_id id = {run->team, run->key};
    return g_hash_table_lookup(keys->table, &id);
}

struct sl_key *
SlKeys_Put(struct sl_keys *keys, const struct sl_msg_run *run,
           enum sl_key_state state, int64_t now_ms)
{
    struct sl_key *key = SlKeys_Find(keys, run);
    if (key == NULL) {
        key = g_new0(struct sl_key, 1);
        key->id = (struct sl_key_id){run->team, run->key};
        g_hash_table_insert(keys->table, &key->id, key);
        g_queue_push_tail(keys->order, g_memdup2(&key->id, sizeof(key->id)));
    }
    key->state = state;
    key->state_changed_ms = now_ms;
    return key;
}

void
SlKeys_StoreResponse(struct sl_keys *keys, struct sl_key *key,
                     struct sl_str response)
{
    key->has_response =
        keys->response_bytes + response.len <= Sl_MAX_RESPONSE_BYTES;
    if (key->has_response) {
        SlBuf_Append(&key->body, response);
        keys->response_bytes += response.len;
    }
}

void
SlKeys_Expire(struct sl_keys *keys, int64_t now_ms)
{
    /* The queue is in the order in which keys were added, so a key whose state
     * changed later may keep older ones behind it in the table for longer. */
    guint remaining = keys->order->length;
    while (remaining-- > 0) {
        struct sl_key_id *id = g_queue_peek_head(keys->order);
        const struct sl_key *key = g_hash_table_lookup(keys->table, id);
        if (key != NULL &&
            now_ms - key->state_changed_ms <= Sl_KEY_LIFETIME_MS) {
            return;
        }
        g_queue_pop_head(keys->order);
        /* A running key stays, whatever its age. */
        if (key != NULL && key->state == Sl_KEY_RUNNING) {
            g_queue_push_tail(keys->order, id);
            continue;
        }
        remove_key(keys, id);
        g_free(id);
    }
}

bool
SlKeys_IsFull(const struct sl_keys *keys)
{
    return g_hash_table_size(keys->table) >= Sl_MAX_KEYS;
}

size_t
SlKeys_Count(const struct sl_keys *keys)
{
    return g_hash_table_size(keys->table);
}
