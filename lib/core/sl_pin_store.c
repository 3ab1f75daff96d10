/* Session pins that an agent holds for entries: first write wins. A pin gives
 * way only when its version is out of service, or was since it was put: its
 * session may have moved to another version meanwhile. */
#include "sl_agent_internal.h"

#define Sl_MAX_HELD_PINS 100000

/* ---- types ---- */

struct sl_stored_pin {
    struct sl_msg_pin pin;
    uint64_t offset; /* of the configuration when it was put */
    GList *link;     /* in `order` */
};

struct sl_pin_store {
    GHashTable *pins; /* struct sl_stored_pin, owned, as its own key */
    GQueue *order;    /* least recently used first */
};

/* ---- helpers ---- */

static bool
is_replaceable(const struct sl_core *core, const struct sl_stored_pin *held)
{
    const struct sl_version *version =
        SlConfig_Version(core->config, &held->pin.version);
    return version == NULL || version->out ||
           SlLogFollower_WithdrawnAt(core, &held->pin.version) > held->offset;
}

static struct sl_stored_pin *
find_pin(struct sl_core *core, const struct sl_msg_pin *pin)
{
    struct sl_pin_store *held = core->agent->pins;
    struct sl_stored_pin *found = g_hash_table_lookup(held->pins, pin);
    if (found != NULL) {
        g_queue_unlink(held->order, found->link);
        g_queue_push_tail_link(held->order, found->link);
    }
    return found;
}

static void
add_pin(struct sl_core *core, const struct sl_msg_pin *pin)
{
    struct sl_pin_store *held = core->agent->pins;
    struct sl_stored_pin *added = g_new0(struct sl_stored_pin, 1);
    added->pin = *pin;
    added->offset = SlConfig_Offset(core->config);
    g_queue_push_tail(held->order, added);
    added->link = held->order->tail;
    g_hash_table_insert(held->pins, &added->pin, added);
    if (held->order->length > Sl_MAX_HELD_PINS) {
        struct sl_stored_pin *oldest = g_queue_pop_head(held->order);
        g_hash_table_remove(held->pins, &oldest->pin);
    }
}

static void
answer(struct sl_core *core, const struct sl_peer *peer,
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
    struct sl_pin_store *held = g_new0(struct sl_pin_store, 1);
    held->pins =
        g_hash_table_new_full(SlPinKey_Hash, SlPinKey_Equal, NULL, g_free);
    held->order = g_queue_new();
    core->agent->pins = held;
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
    const struct sl_stored_pin *held = find_pin(core, pin);
    if (held != NULL && !is_replaceable(core, held)) {
        answer(core, peer, &held->pin);
        return;
    }
    struct sl_msg_pin none = *pin;
    none.version = (struct sl_name){0};
    answer(core, peer, &none);
}

void
SlPinStore_OnPut(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_pin *pin)
{
    struct sl_stored_pin *held = find_pin(core, pin);
    if (held == NULL) {
        add_pin(core, pin);
        answer(core, peer, pin);
        return;
    }
    if (is_replaceable(core, held)) {
        held->pin.version = pin->version;
        held->offset = SlConfig_Offset(core->config);
    }
    answer(core, peer, &held->pin);
}
