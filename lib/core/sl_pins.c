/* Session pins at the entry. A pin binds a session to the version that runs
 * its requests.
 *
 * A pin is stored by the agents of two upstreams in different failure domains,
 * the pin's homes, which are chosen by rendezvous hash of the session. (They
 * have nothing to do with the homes of idempotency keys.) A home keeps the
 * first version that is written to it, until that version is withdrawn.
 * Entries cache pins. For a session that is not in the cache, the entry asks
 * both homes (PIN_ASK). Unless both have the same pin, the entry writes a
 * version to both (PIN_PUT): the pin that it found, or a version that it
 * chooses. The version that the first home then has is the session's version.
 * See docs/design/session-pins.md. */
#include "sl_entry_internal.h"

#include <string.h>

/* Number of homes of a pin. */
#define Sl_PIN_HOMES 2
/* Longest wait of a lookup for its homes. If it passes while the pin is being
 * read, the write of a version gets the same time again. */
#define Sl_PIN_TIMEOUT_US (150 * Sl_US_PER_MS)
/* A cached pin in use is written to its homes again when one of them has
 * restarted, and after this interval, which restores the pin at a home that
 * lost it. */
#define Sl_PIN_REFRESH_US (20 * Sl_US_PER_S)
/* A write that a home did not answer is repeated after this interval. */
#define Sl_PIN_RETRY_US Sl_US_PER_S
/* Largest number of pins in the cache; the oldest one is evicted. */
#define Sl_MAX_CACHED_PINS 100000

/* ---- types ---- */

struct sl_cached_pin {
    struct sl_pin_key key;
    struct sl_name version;
    int64_t
        refreshed_us; /* last lookup at the pin's homes, or write to them */
    uint64_t offset;  /* of the configuration when the pin was cached */
    /* hash_homes() at the last lookup; 0: a home did not answer the write. */
    uint64_t homes_hash;
    bool is_confirmed; /* by a home; otherwise this entry alone chose it */
    GList *link;       /* in `order` */
};

/* A lookup in progress; the requests of its session wait for it. It reads the
 * pin from the homes, and then writes a version to them if they do not agree.
 */
struct sl_pin_lookup {
    struct sl_pin_key key;
    bool is_writing;         /* false: still reading */
    bool is_confirmed;       /* `proposed` was confirmed by a home before */
    bool timed_out;          /* a home has not answered the write */
    struct sl_name proposed; /* the version that is written to the homes */
    uint64_t timer;          /* 0: none */
    uint64_t id;             /* for the timer's callback */
    /* Homes that have not answered yet, by connection; 0: not asked, or
     * answered. */
    uint64_t peer_ids[Sl_PIN_HOMES];
    struct sl_name answers[Sl_PIN_HOMES]; /* empty: no answer, or no pin */
    GArray *waiting;                      /* sequence numbers of requests */
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

/* Finds the homes of a session: the upstream with the highest rendezvous
 * weight, and the highest of another failure domain. NULL for a home that does
 * not exist or is not connected. Upstreams marked out of service keep their
 * place, so that pins outlive an outage. */
static void
find_pin_homes(const struct sl_core *core, const struct sl_pin_key *key,
               struct sl_peer **out)
{
    const struct sl_upstream *upstreams[Sl_MAX_HOME_MEMBERS];
    const struct sl_upstream *best[Sl_PIN_HOMES] = {NULL};
    uint64_t weights[Sl_PIN_HOMES] = {0};
    size_t count = SlConfig_ListUpstreams(core->config, &key->service,
                                          upstreams, Sl_MAX_HOME_MEMBERS);
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

/* A value that changes when a home restarts, disconnects or reconnects. */
static uint64_t
hash_homes(struct sl_peer *const *homes)
{
    uint64_t hash = 0;
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        hash = SlHash_Mix(hash ^ (homes[i] == NULL ? 0 : homes[i]->boot));
    }
    return hash;
}

/* Puts the result of a lookup into the cache. */
static void
cache_pin(struct sl_core *core, const struct sl_pin_lookup *lookup,
          const struct sl_name *version, bool is_confirmed)
{
    struct sl_pins *pins = core->entry->pins;
    const struct sl_pin_key *key = &lookup->key;
    struct sl_cached_pin *pin = g_hash_table_lookup(pins->cache, key);
    struct sl_peer *homes[Sl_PIN_HOMES];
    find_pin_homes(core, key, homes);
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
    pin->refreshed_us = core->now_us;
    pin->homes_hash = lookup->timed_out ? 0 : hash_homes(homes);
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

/* Returns true if a session may keep this version. A pin moves only when its
 * version is withdrawn. */
static bool
is_in_service(const struct sl_core *core, const struct sl_name *version)
{
    const struct sl_version *label =
        SlConfig_FindVersion(core->config, version);
    return label != NULL && !label->out_of_service;
}

/* Returns true if the request's selector allows the version. */
static bool
is_allowed(const struct sl_core *core, const struct sl_request *request,
           const struct sl_name *version)
{
    const struct sl_selector *selector =
        SlConfig_FindSelector(core->config, &request->attributes);
    return selector != NULL && SlSelector_Allows(selector, version);
}

/* Binds the request to its session's version and starts its first attempt. If
 * the request's selector does not allow that version, the request gets another
 * one, and the pin stays. */
static void
bind_version(struct sl_core *core, struct sl_request *request,
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

/* Caches the session's version, starts the requests that wait for it, and
 * frees the lookup. */
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
            bind_version(core, request, &chosen);
        }
    }
    free_lookup(lookup);
}

/* Returns true if no connected home's answer is outstanding. */
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

/* The version that takes effect by the homes' answers; NULL if there is none.
 * The first home takes precedence. If the entry's version was confirmed
 * before, only the first home can replace it, so that homes which disagree do
 * not move a session back and forth. */
static const struct sl_name *
effective_version(const struct sl_core *core,
                  const struct sl_pin_lookup *lookup)
{
    size_t count = lookup->is_confirmed ? 1 : Sl_PIN_HOMES;
    for (size_t i = 0; i < count; i++) {
        if (!SlName_IsEmpty(&lookup->answers[i]) &&
            is_in_service(core, &lookup->answers[i])) {
            return &lookup->answers[i];
        }
    }
    return NULL;
}

/* Sends a message to the connected homes, and begins to wait for their
 * answers. `version` is NULL for Sl_MSG_PIN_ASK. */
static void
send_to_homes(struct sl_core *core, struct sl_pin_lookup *lookup,
              enum sl_msg_type type, const struct sl_name *version)
{
    struct sl_peer *homes[Sl_PIN_HOMES];
    find_pin_homes(core, &lookup->key, homes);
    memset(lookup->peer_ids, 0, sizeof(lookup->peer_ids));
    memset(lookup->answers, 0, sizeof(lookup->answers));
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        if (homes[i] != NULL) {
            lookup->peer_ids[i] = homes[i]->id;
            send_pin(core, homes[i], type, &lookup->key, version);
        }
    }
}

/* Returns the first request that still waits for the lookup, or NULL. */
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

/* Called when all homes have answered or the wait for them timed out: writes a
 * version to the homes, or ends the lookup. */
static void
advance_lookup(struct sl_core *core, struct sl_pin_lookup *lookup)
{
    const struct sl_name *effective = effective_version(core, lookup);
    const struct sl_request *request = first_waiting(core, lookup);
    /* All requests that waited have ended. */
    if (request == NULL) {
        SlTimers_Cancel(core->timers, lookup->timer);
        g_hash_table_remove(core->entry->pins->lookups, &lookup->key);
        return;
    }
    if (lookup->is_writing) {
        finish_lookup(core, lookup,
                      effective != NULL ? effective : &lookup->proposed,
                      effective != NULL);
        return;
    }
    lookup->is_writing = true;
    lookup->proposed = effective != NULL
                           ? *effective
                           : SlPlan_VersionForSession(core, request);
    bool homes_agree = effective != NULL &&
                       SlName_Equal(&lookup->answers[0], &lookup->answers[1]);
    if (homes_agree) {
        finish_lookup(core, lookup, &lookup->proposed, true);
        return;
    }
    /* The homes have no pin, or do not agree: write a version to both. */
    send_to_homes(core, lookup, Sl_MSG_PIN_PUT, &lookup->proposed);
    /* No home is connected. */
    if (all_answered(lookup)) {
        finish_lookup(core, lookup, &lookup->proposed, effective != NULL);
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
    /* Answers that arrive from now on are ignored. */
    memset(lookup->peer_ids, 0, sizeof(lookup->peer_ids));
    lookup->timed_out = lookup->is_writing;
    if (!lookup->is_writing) {
        lookup->timer =
            SlCore_SetTimer(core, Sl_PIN_TIMEOUT_US, on_timeout, id);
    }
    advance_lookup(core, lookup);
}

/* Starts a lookup: asks the homes for the pin or, if `cached` is not NULL,
 * writes the cached pin to them. */
static struct sl_pin_lookup *
start_lookup(struct sl_core *core, const struct sl_pin_key *key,
             const struct sl_cached_pin *cached)
{
    struct sl_pins *pins = core->entry->pins;
    struct sl_pin_lookup *lookup = g_new0(struct sl_pin_lookup, 1);
    lookup->key = *key;
    lookup->id = ++pins->last_id;
    lookup->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    lookup->timer =
        SlCore_SetTimer(core, Sl_PIN_TIMEOUT_US, on_timeout, lookup->id);
    g_hash_table_insert(pins->lookups, &lookup->key, lookup);
    if (cached != NULL) {
        lookup->is_writing = true;
        lookup->is_confirmed = cached->is_confirmed;
        lookup->proposed = cached->version;
    }
    send_to_homes(core, lookup,
                  cached != NULL ? Sl_MSG_PIN_PUT : Sl_MSG_PIN_ASK,
                  cached != NULL ? &cached->version : NULL);
    return lookup;
}

/* Writes a cached pin in use to its homes again when that is due. Returns true
 * if the caller must wait for the homes' answers, which take precedence over
 * the cached version, because a home restarted or did not answer the last
 * write. */
static bool
refresh_pin(struct sl_core *core, struct sl_cached_pin *pin)
{
    struct sl_peer *homes[Sl_PIN_HOMES];
    find_pin_homes(core, &pin->key, homes);
    if (hash_homes(homes) != pin->homes_hash) {
        return pin->homes_hash != 0 ||
               core->now_us - pin->refreshed_us >= Sl_PIN_RETRY_US;
    }
    if (core->now_us - pin->refreshed_us < Sl_PIN_REFRESH_US) {
        return false;
    }
    pin->refreshed_us = core->now_us;
    for (size_t i = 0; i < Sl_PIN_HOMES; i++) {
        if (homes[i] != NULL) {
            send_pin(core, homes[i], Sl_MSG_PIN_PUT, &pin->key, &pin->version);
        }
    }
    return false;
}

/* ---- internal API ---- */

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
    struct sl_pin_key key = {request->attributes.team,
                             request->attributes.session, request->service};
    const struct sl_cached_pin *cached = NULL;
    struct sl_cached_pin *pin = g_hash_table_lookup(pins->cache, &key);
    /* A cached pin is valid only if its version has been in service since it
     * was cached; the session may have moved otherwise. */
    if (pin != NULL && is_in_service(core, &pin->version) &&
        SlLogFollower_WithdrawnAtOffset(core, &pin->version) <= pin->offset) {
        if (!refresh_pin(core, pin)) {
            bind_version(core, request, &pin->version);
            return;
        }
        cached = pin;
    }
    request->state = Sl_REQUEST_PINNING;
    struct sl_pin_lookup *lookup = g_hash_table_lookup(pins->lookups, &key);
    if (lookup != NULL) {
        g_array_append_val(lookup->waiting, request->seq);
        return;
    }
    lookup = start_lookup(core, &key, cached);
    g_array_append_val(lookup->waiting, request->seq);
    if (all_answered(lookup)) {
        advance_lookup(core, lookup);
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
        advance_lookup(core, lookup);
    }
}

size_t
SlPins_Count(const struct sl_core *core)
{
    return g_hash_table_size(core->entry->pins->cache);
}
