/* Session pins that an agent stores for entries; the first write wins. A pin
 * is replaced only if its version is out of service, or has been since the pin
 * was written: its session may have moved to another version meanwhile. See
 * sl_pins.c for how entries use them. */
#include "sl_agent_internal.h"

/* Largest number of pins; the least recently used one is evicted. */
#define Sl_MAX_STORED_PINS 100000

/* ---- types ---- */

struct sl_stored_pin {
    struct sl_msg_pin pin;
    uint64_t offset; /* of the configuration when the pin was written */
    GList *link;     /* in `order` */
};

struct sl_pin_store {
    GHashTable *pins; /* struct sl_pin_key -> struct sl_stored_pin, owned */
    GQueue *order;    /* struct sl_stored_pin, least recently used first */
};

/* ---- helpers ---- */

static bool
is_replaceable(const struct sl_core *core, const struct sl_stored_pin *stored)
{
    const struct sl_version *version =
        SlConfig_FindVersion(core->config, &stored->pin.version);
    return version == NULL || version->out_of_service ||
           SlLogFollower_WithdrawnAtOffset(core, &stored->pin.version) >
               stored->offset;
}

/* Returns the stored pin of a session, or NULL, and marks the pin as recently
 * used. */
static struct sl_stored_pin *
use_pin(struct sl_core *core, const struct sl_msg_pin *pin)
{
    struct sl_pin_store *store = core->agent->pins;
    struct sl_stored_pin *stored = g_hash_table_lookup(store->pins, pin);
    if (stored != NULL) {
        g_queue_unlink(store->order, stored->link);
        g_queue_push_tail_link(store->order, stored->link);
    }
    return stored;
}

static void
add_pin(struct sl_core *core, const struct sl_msg_pin *pin)
{
    struct sl_pin_store *store = core->agent->pins;
    struct sl_stored_pin *stored = g_new0(struct sl_stored_pin, 1);
    stored->pin = *pin;
    stored->offset = SlConfig_Offset(core->config);
    g_queue_push_tail(store->order, stored);
    stored->link = store->order->tail;
    g_hash_table_insert(store->pins, &stored->pin, stored);
    if (store->order->length > Sl_MAX_STORED_PINS) {
        struct sl_stored_pin *evicted = g_queue_pop_head(store->order);
        g_hash_table_remove(store->pins, &evicted->pin);
    }
}

static void
send_pin(struct sl_core *core, const struct sl_peer *peer,
         const struct sl_msg_pin *pin)
{
    struct sl_msg msg = {.type = Sl_MSG_PIN};
    msg.u.pin = *pin;
    SlCore_Send(core, peer, &msg);
}

/* ---- internal API ---- */

void
SlPinStore_Start(struct sl_core *core)
{
    struct sl_pin_store *store = g_new0(struct sl_pin_store, 1);
    store->pins =
        g_hash_table_new_full(SlPinKey_Hash, SlPinKey_Equal, NULL, g_free);
    store->order = g_queue_new();
    core->agent->pins = store;
}

void
SlPinStore_Free(struct sl_core *core)
{
    g_queue_free(core->agent->pins->order);
    g_hash_table_destroy(core->agent->pins->pins);
    g_free(core->agent->pins);
}

size_t
SlPinStore_Count(const struct sl_core *core)
{
    return core->agent->pins->order->length;
}

void
SlPinStore_OnAsk(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_pin *pin)
{
    const struct sl_stored_pin *stored = use_pin(core, pin);
    if (stored != NULL && !is_replaceable(core, stored)) {
        send_pin(core, peer, &stored->pin);
        return;
    }
    struct sl_msg_pin none = *pin;
    none.version = (struct sl_name){0};
    send_pin(core, peer, &none);
}

void
SlPinStore_OnPut(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_pin *pin)
{
    struct sl_stored_pin *stored = use_pin(core, pin);
    if (stored == NULL) {
        add_pin(core, pin);
        send_pin(core, peer, pin);
        return;
    }
    if (is_replaceable(core, stored)) {
        stored->pin.version = pin->version;
        stored->offset = SlConfig_Offset(core->config);
    }
    send_pin(core, peer, &stored->pin);
}
