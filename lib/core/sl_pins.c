/* Session pins at the entry: the version that a session keeps.
 *
 * A pin is held, first write wins, by the agents of two upstreams in different
 * failure domains, chosen by rendezvous on the session, and cached here. A
 * session without a pin is looked up at both homes (ask), and when neither
 * holds one, the version chosen here is offered to both (put); what the first
 * home then holds is the session's version. See
 * docs/design/session-pins.md. */
#include "sl_entry_internal.h"

#include <string.h>

#define Sl_PIN_HOMES 2
#define Sl_PIN_TIMEOUT_US (150 * Sl_US_PER_MS)
/* A cached pin is offered to its homes again when one of them has restarted,
 * and at this interval of use, which repairs a home that lost its memory. */
#define Sl_PIN_REPAIR_US (20 * Sl_US_PER_S)
/* A pin that a home has not answered for is offered again after this. */
#define Sl_PIN_AGAIN_US Sl_US_PER_S
#define Sl_MAX_CACHED_PINS 100000

/* ---- types ---- */

struct sl_cached_pin {
    struct sl_pin_key key;
    struct sl_name version;
    int64_t offered_us;
    uint64_t offset;     /* of the configuration when it was cached */
    uint64_t offered_to; /* the homes' starts; see hash_homes(). 0: some home
                            did not answer */
    bool is_confirmed;   /* by a home; else it was chosen here alone */
    GList *link;         /* in `order` */
};

/* A lookup that is under way; requests of its session wait for it. */
struct sl_pin_lookup {
    struct sl_pin_key key;
    bool putting;
    bool is_confirmed;    /* the offer is what a home held before */
    bool timed_out;       /* some home has not answered what was put */
    struct sl_name offer; /* what is put */
    uint64_t timer;
    uint64_t id;
    uint64_t peer_ids[Sl_PIN_HOMES]; /* 0: not asked or answered */
    struct sl_name answers[Sl_PIN_HOMES];
    GArray *waiting; /* seq */
};

struct sl_pins {
    GHashTable *cache;   /* key -> struct sl_cached_pin, owned */
    GQueue *order;       /* struct sl_cached_pin, oldest first */
    GHashTable *lookups; /* key -> struct sl_pin_lookup, owned */
    uint64_t last_id;
};

/* ---- helpers ---- */

static void
free_lookup(gpointer data)
{
    struct sl_pin_lookup *lookup = data;
    g_array_free(lookup->waiting, TRUE);
    g_free(lookup);
}

/* The homes of a session: the best by weight, and the best of another failure
 * domain; NULL for one that is not connected. Marks do not move homes, so that
 * pins outlive an outage. */
static void
homes_of(const struct sl_core *core, const struct sl_pin_key *key,
         struct sl_peer **out)
{
    const struct sl_upstream *upstreams[Sl_MAX_MEMBERS];
    const struct sl_upstream *best[Sl_PIN_HOMES] = {NULL};
    uint64_t weights[Sl_PIN_HOMES] = {0};
    size_t count = SlConfig_UpstreamsOf(core->config, &key->service, upstreams,
                                        Sl_MAX_MEMBERS);
    for (size_t rank = 0; rank < Sl_PIN_HOMES; rank++) {
        for (size_t i = 0; i < count; i++) {
            uint64_t weight = SlHash_Rendezvous(
                SlName_Str(&key->session), SlName_Str(&upstreams[i]->name));
            bool other = rank == 0 || !SlName_Equal(&upstreams[i]->domain,
                                                    &best[0]->domain);
            if (other && (best[rank] == NULL || weight > weights[rank])) {
                best[rank] = upstreams[i];
                weights[rank] = weight;
            }
        }
    }
    for (size_t rank = 0; rank < Sl_PIN_HOMES; rank++) {
        struct sl_peer *peer =
            best[rank] == NULL
                ? NULL
                : SlMembership_PeerByUpstream(core, &best[rank]->name);
        out[rank] = peer != NULL && SlPeer_IsUp(peer) ? peer : NULL;
    }
}

/* Changes when a home restarts, goes or comes back. */
static uint64_t
hash_homes(struct sl_peer *const *homes)
{
    uint64_t hash = 0;
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        hash = SlHash_Mix(hash ^ (homes[i] == NULL ? 0 : homes[i]->boot));
    }
    return hash;
}

static void
cache_pin(struct sl_core *core, const struct sl_pin_lookup *lookup,
          const struct sl_name *version, bool is_confirmed)
{
    struct sl_pins *pins = core->entry->pins;
    const struct sl_pin_key *key = &lookup->key;
    struct sl_cached_pin *pin = g_hash_table_lookup(pins->cache, key);
    struct sl_peer *homes[Sl_PIN_HOMES];
    homes_of(core, key, homes);
    if (pin == NULL) {
        pin = g_new0(struct sl_cached_pin, 1);
        pin->key = *key;
        g_queue_push_tail(pins->order, pin);
        pin->link = pins->order->tail;
        g_hash_table_insert(pins->cache, &pin->key, pin);
    }
    pin->is_confirmed = is_confirmed || (pin->is_confirmed &&
                                         SlName_Equal(&pin->version, version));
    pin->version = *version;
    pin->offset = SlConfig_Offset(core->config);
    pin->offered_us = core->now_us;
    pin->offered_to = lookup->timed_out ? 0 : hash_homes(homes);
    if (pins->order->length > Sl_MAX_CACHED_PINS) {
        struct sl_cached_pin *oldest = g_queue_pop_head(pins->order);
        g_hash_table_remove(pins->cache, &oldest->key);
    }
}

static void
send_pin(struct sl_core *core, const struct sl_peer *peer,
         enum sl_msg_type type, const struct sl_pin_key *key,
         const struct sl_name *version)
{
    struct sl_msg msg = {.type = type};
    msg.u.pin.key = *key;
    if (version != NULL) {
        msg.u.pin.version = *version;
    }
    SlCore_Send(core, peer, &msg);
}

/* May the session go on with this version? A pin moves only when its version
 * was withdrawn. */
static bool
still_serves(const struct sl_core *core, const struct sl_name *version)
{
    const struct sl_version *label = SlConfig_Version(core->config, version);
    return label != NULL && !label->out;
}

static bool
is_allowed(const struct sl_core *core, const struct sl_request *request,
           const struct sl_name *version)
{
    const struct sl_selector *selector =
        SlConfig_Select(core->config, &request->facets);
    return selector != NULL && SlSelector_Allows(selector, version);
}

/* Binds the request to a version of its session and sends it on. A version
 * that its selector does not allow leaves the pin alone. */
static void
bind(struct sl_core *core, struct sl_request *request,
     const struct sl_name *version)
{
    struct sl_name chosen = *version;
    if (!is_allowed(core, request, version)) {
        chosen = SlPlan_VersionForSession(core, request);
        SlCore_Increment(core, "pins.not_allowed");
    }
    request->steps[0] = chosen;
    request->step_count = 1;
    request->step = 0;
    request->pinned = true;
    SlAttempt_Start(core, request);
}

/* ---- lookups ---- */

static void
finish_lookup(struct sl_core *core, struct sl_pin_lookup *lookup,
              const struct sl_name *version, bool is_confirmed)
{
    struct sl_name chosen = *version;
    SlTimers_Cancel(core->timers, lookup->timer);
    cache_pin(core, lookup, &chosen, is_confirmed);
    g_hash_table_steal(core->entry->pins->lookups, &lookup->key);
    for (guint i = 0; i < lookup->waiting->len; i++) {
        struct sl_request *request =
            SlEntry_Find(core, g_array_index(lookup->waiting, uint64_t, i));
        if (request != NULL && request->state == Sl_REQUEST_PINNING) {
            bind(core, request, &chosen);
        }
    }
    free_lookup(lookup);
}

static bool
all_answered(const struct sl_pin_lookup *lookup)
{
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        if (lookup->peer_ids[i] != 0) {
            return false;
        }
    }
    return true;
}

/* The version in force among the answers: the first home's goes first. A
 * version that a home has confirmed gives way to that one only, so that homes
 * which disagree do not move a session to and fro. */
static const struct sl_name *
held_version(const struct sl_core *core, const struct sl_pin_lookup *lookup)
{
    size_t count = lookup->is_confirmed ? 1 : Sl_PIN_HOMES;
    for (size_t i = 0; i < count; i++) {
        if (!SlName_IsEmpty(&lookup->answers[i]) &&
            still_serves(core, &lookup->answers[i])) {
            return &lookup->answers[i];
        }
    }
    return NULL;
}

static void
send_to_homes(struct sl_core *core, struct sl_pin_lookup *lookup,
              enum sl_msg_type type, const struct sl_name *version)
{
    struct sl_peer *homes[Sl_PIN_HOMES];
    homes_of(core, &lookup->key, homes);
    memset(lookup->peer_ids, 0, sizeof(lookup->peer_ids));
    memset(lookup->answers, 0, sizeof(lookup->answers));
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        if (homes[i] != NULL) {
            lookup->peer_ids[i] = homes[i]->id;
            send_pin(core, homes[i], type, &lookup->key, version);
        }
    }
}

static struct sl_request *
first_waiting(const struct sl_core *core, const struct sl_pin_lookup *lookup)
{
    for (guint i = 0; i < lookup->waiting->len; i++) {
        struct sl_request *request =
            SlEntry_Find(core, g_array_index(lookup->waiting, uint64_t, i));
        if (request != NULL && request->state == Sl_REQUEST_PINNING) {
            return request;
        }
    }
    return NULL;
}

/* All homes have answered, or the time for it is over. */
static void
conclude(struct sl_core *core, struct sl_pin_lookup *lookup)
{
    const struct sl_name *held = held_version(core, lookup);
    const struct sl_request *request = first_waiting(core, lookup);
    if (request == NULL) {
        SlTimers_Cancel(core->timers, lookup->timer);
        g_hash_table_remove(core->entry->pins->lookups, &lookup->key);
        return;
    }
    if (lookup->putting) {
        finish_lookup(core, lookup, held != NULL ? held : &lookup->offer,
                      held != NULL);
        return;
    }
    lookup->putting = true;
    lookup->offer =
        held != NULL ? *held : SlPlan_VersionForSession(core, request);
    bool agreed =
        held != NULL && SlName_Equal(&lookup->answers[0], &lookup->answers[1]);
    if (agreed) {
        finish_lookup(core, lookup, &lookup->offer, true);
        return;
    }
    /* None is held, or one home lacks it: put it at both. */
    send_to_homes(core, lookup, Sl_MSG_PIN_PUT, &lookup->offer);
    if (all_answered(lookup)) {
        finish_lookup(core, lookup, &lookup->offer, held != NULL);
    }
}

static gboolean
has_id(gpointer key, gpointer value, gpointer id)
{
    const struct sl_pin_lookup *lookup = value;
    (void)key;
    return lookup->id == *(const uint64_t *)id;
}

static void
on_timeout(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    struct sl_pin_lookup *lookup =
        g_hash_table_find(core->entry->pins->lookups, has_id, &id);
    (void)now_us;
    if (lookup == NULL) {
        return;
    }
    SlCore_Increment(core, "pins.timeout");
    lookup->timer = 0;
    memset(lookup->peer_ids, 0, sizeof(lookup->peer_ids));
    lookup->timed_out = lookup->putting;
    if (!lookup->putting) {
        lookup->timer =
            SlCore_SetTimer(core, Sl_PIN_TIMEOUT_US, on_timeout, id);
    }
    conclude(core, lookup);
}

/* Asks the homes, or puts `offer` at them when there is one. */
static struct sl_pin_lookup *
start_lookup(struct sl_core *core, const struct sl_pin_key *key,
             const struct sl_cached_pin *offer)
{
    struct sl_pins *pins = core->entry->pins;
    struct sl_pin_lookup *lookup = g_new0(struct sl_pin_lookup, 1);
    lookup->key = *key;
    lookup->id = ++pins->last_id;
    lookup->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    lookup->timer =
        SlCore_SetTimer(core, Sl_PIN_TIMEOUT_US, on_timeout, lookup->id);
    g_hash_table_insert(pins->lookups, &lookup->key, lookup);
    if (offer != NULL) {
        lookup->putting = true;
        lookup->is_confirmed = offer->is_confirmed;
        lookup->offer = offer->version;
    }
    send_to_homes(core, lookup,
                  offer != NULL ? Sl_MSG_PIN_PUT : Sl_MSG_PIN_ASK,
                  offer != NULL ? &offer->version : NULL);
    return lookup;
}

/* Offers a pin that is in use again. True when a home has changed since the
 * last offer, or has not answered it: what the homes hold then goes before the
 * cached version. */
static bool
repair(struct sl_core *core, struct sl_cached_pin *pin)
{
    struct sl_peer *homes[Sl_PIN_HOMES];
    homes_of(core, &pin->key, homes);
    if (hash_homes(homes) != pin->offered_to) {
        return pin->offered_to != 0 ||
               core->now_us - pin->offered_us >= Sl_PIN_AGAIN_US;
    }
    if (core->now_us - pin->offered_us < Sl_PIN_REPAIR_US) {
        return false;
    }
    pin->offered_us = core->now_us;
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        if (homes[i] != NULL) {
            send_pin(core, homes[i], Sl_MSG_PIN_PUT, &pin->key, &pin->version);
        }
    }
    return false;
}

/* ---- public within the package ---- */

void
SlPins_Start(struct sl_core *core)
{
    struct sl_pins *pins = g_new0(struct sl_pins, 1);
    pins->cache =
        g_hash_table_new_full(SlPinKey_Hash, SlPinKey_Equal, NULL, g_free);
    pins->order = g_queue_new();
    pins->lookups = g_hash_table_new_full(SlPinKey_Hash, SlPinKey_Equal, NULL,
                                          free_lookup);
    core->entry->pins = pins;
}

void
SlPins_Free(struct sl_core *core)
{
    struct sl_pins *pins = core->entry->pins;
    g_hash_table_destroy(pins->lookups);
    g_queue_free(pins->order);
    g_hash_table_destroy(pins->cache);
    g_free(pins);
}

void
SlPins_Resolve(struct sl_core *core, struct sl_request *request)
{
    struct sl_pins *pins = core->entry->pins;
    struct sl_pin_key key = {request->facets.team, request->facets.session,
                             request->service};
    const struct sl_cached_pin *offer = NULL;
    struct sl_cached_pin *pin = g_hash_table_lookup(pins->cache, &key);
    if (pin != NULL && still_serves(core, &pin->version) &&
        SlLogFollower_WithdrawnAt(core, &pin->version) <= pin->offset) {
        if (!repair(core, pin)) {
            bind(core, request, &pin->version);
            return;
        }
        offer = pin;
    }
    request->state = Sl_REQUEST_PINNING;
    struct sl_pin_lookup *lookup = g_hash_table_lookup(pins->lookups, &key);
    if (lookup != NULL) {
        g_array_append_val(lookup->waiting, request->seq);
        return;
    }
    lookup = start_lookup(core, &key, offer);
    g_array_append_val(lookup->waiting, request->seq);
    if (all_answered(lookup)) {
        conclude(core, lookup);
    }
}

void
SlPins_OnPin(struct sl_core *core, const struct sl_peer *peer,
             const struct sl_msg_pin *pin)
{
    struct sl_pin_lookup *lookup =
        g_hash_table_lookup(core->entry->pins->lookups, &pin->key);
    if (lookup == NULL) {
        return;
    }
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        if (lookup->peer_ids[i] == peer->id) {
            lookup->peer_ids[i] = 0;
            lookup->answers[i] = pin->version;
        }
    }
    if (all_answered(lookup)) {
        conclude(core, lookup);
    }
}

size_t
SlPins_Count(const struct sl_core *core)
{
    return g_hash_table_size(core->entry->pins->cache);
}
