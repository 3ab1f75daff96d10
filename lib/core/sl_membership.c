/* The other processes of the system: reads the platform's list of VMs,
 * connects to the processes that the role needs, and tracks which peers are
 * up. A process that connects to this one is a peer of its own (`incoming`),
 * apart from the peer that this process connects to on the same VM. */
#include "sl_core_internal.h"

#include <string.h>

/* Time between two reads of the list of VMs. */
#define Sl_VMS_INTERVAL_US (Sl_US_PER_S)
/* Time between two checks for peers to connect to or to disconnect. */
#define Sl_CONNECT_INTERVAL_US (200 * Sl_US_PER_MS)
/* First and longest back-off between attempts to connect, before jitter. */
#define Sl_BACKOFF_MIN_US (200 * Sl_US_PER_MS)
#define Sl_BACKOFF_MAX_US (3 * Sl_US_PER_S)
/* A connection without any message for this long is closed. Each side normally
 * receives a pull or its answer every second. */
#define Sl_PEER_INACTIVITY_TIMEOUT_US (5 * Sl_US_PER_S)

/* ---- helpers ---- */

static struct sl_peer *
new_peer(struct sl_core *core, const struct sl_name *vm, bool incoming)
{
    struct sl_peer *peer = g_new0(struct sl_peer, 1);
    peer->vm.name = *vm;
    peer->incoming = incoming;
    peer->backoff_us = Sl_BACKOFF_MIN_US;
    peer->down_since_us = core->now_us;
    g_ptr_array_add(core->peers, peer);
    return peer;
}

/* Returns the peer on a VM that this process connects to, or NULL. */
static struct sl_peer *
find_outgoing(const struct sl_core *core, const struct sl_name *vm)
{
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (!peer->incoming && SlName_Equal(&peer->vm.name, vm)) {
            return peer;
        }
    }
    return NULL;
}

/* Removes a peer and frees it at the next event. */
static void
forget_peer(struct sl_core *core, struct sl_peer *peer)
{
    g_ptr_array_remove(core->peers, peer);
    SlCore_FreeLater(core, peer);
}

/* Sets the time of the next attempt to connect and doubles the back-off.
 * Jitter keeps processes from reconnecting all at once. */
static void
back_off(struct sl_core *core, struct sl_peer *peer)
{
    double jitter = 0.5 + SlRandom_Unit(&core->random);
    peer->connect_retry_us =
        core->now_us + (int64_t)((double)peer->backoff_us * jitter);
    peer->backoff_us = MIN(peer->backoff_us * 2, Sl_BACKOFF_MAX_US);
}

/* Clears the state that belongs to the closed connection. */
static void
reset_connection(struct sl_peer *peer)
{
    peer->state = Sl_PEER_IDLE;
    peer->id = 0;
    peer->pull_asked_us = 0;
    peer->pull_confirmed_us = 0;
    peer->probe_nonce = 0;
    peer->has_status = false;
    peer->local_in_flight = 0;
    memset(&peer->home_report, 0, sizeof(peer->home_report));
}

/* Handles that the connection to a peer is closed, or could not be opened:
 * notifies the role and sets the back-off. Forgets the peer if it connected to
 * this process or is not in the list of VMs. */
static void
on_disconnected(struct sl_core *core, struct sl_peer *peer)
{
    bool was_up = peer->state == Sl_PEER_UP;
    g_hash_table_remove(core->peer_by_id, &peer->id);
    if (was_up) {
        SlCore_Increment(core, "peers.down");
        core->ops->on_peer_down(core, peer);
    }
    reset_connection(peer);
    if (was_up) {
        peer->down_since_us = core->now_us;
    }
    back_off(core, peer);
    if (peer->incoming || !peer->listed) {
        forget_peer(core, peer);
    }
}

/* Closes the connection to a peer. */
static void
disconnect(struct sl_core *core, struct sl_peer *peer)
{
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_DISCONNECT);
    effect->u.peer = peer->id;
    on_disconnected(core, peer);
}

/* Opens a connection to a peer; Sl_EVENT_PEER_UP or PEER_DOWN follows. */
static void
connect_to(struct sl_core *core, struct sl_peer *peer)
{
    struct sl_effect *effect = SlEffects_Add(core->effects, Sl_EFFECT_CONNECT);
    /* Ids of outgoing connections are even; the runtime assigns odd ones to
     * incoming connections. */
    core->last_peer_id += 2;
    peer->id = core->last_peer_id;
    peer->state = Sl_PEER_CONNECTING;
    effect->u.connect.peer = peer->id;
    effect->u.connect.address = peer->vm.address;
    g_hash_table_insert(core->peer_by_id, &peer->id, peer);
}

/* ---- timers ---- */

static void
on_vms_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    if (!core->is_reading_vms) {
        core->is_reading_vms = true;
        SlEffects_Add(core->effects, Sl_EFFECT_VMS_READ);
    }
    SlCore_SetTimer(core, Sl_VMS_INTERVAL_US, on_vms_due, id);
}

static void
disconnect_inactive(struct sl_core *core)
{
    for (guint i = core->peers->len; i > 0; i--) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i - 1);
        if (peer->state == Sl_PEER_UP && core->now_us - peer->last_message_us >
                                             Sl_PEER_INACTIVITY_TIMEOUT_US) {
            SlCore_Increment(core, "peers.silent");
            disconnect(core, peer);
        }
    }
}

static void
on_connect_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    disconnect_inactive(core);
    SlMembership_Connect(core);
    SlCore_SetTimer(core, Sl_CONNECT_INTERVAL_US, on_connect_due, id);
}

/* ---- the list of VMs ---- */

/* Adds a VM of the list as a peer, or updates the peer. */
static void
update_peer_of_vm(struct sl_core *core, const struct sl_vm *vm)
{
    if (SlName_Equal(&vm->name, &core->options.vm)) {
        core->leaving = vm->leaving;
        return;
    }
    struct sl_peer *peer = find_outgoing(core, &vm->name);
    if (peer == NULL) {
        peer = new_peer(core, &vm->name, false);
    }
    bool address_changed = !SlName_Equal(&peer->vm.address, &vm->address);
    peer->vm = *vm;
    peer->listed = true;
    if (address_changed && peer->state != Sl_PEER_IDLE) {
        disconnect(core, peer);
        peer->connect_retry_us = 0;
    }
}

/* ---- internal API ---- */

void
SlMembership_Start(struct sl_core *core)
{
    core->peers = g_ptr_array_new();
    core->peer_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    on_vms_due(core, 0, core->now_us);
    SlCore_SetTimer(core, Sl_CONNECT_INTERVAL_US, on_connect_due, 0);
}

void
SlMembership_Free(struct sl_core *core)
{
    for (guint i = 0; i < core->peers->len; i++) {
        g_free(g_ptr_array_index(core->peers, i));
    }
    g_ptr_array_free(core->peers, TRUE);
    g_hash_table_destroy(core->peer_by_id);
}

void
SlMembership_OnVms(struct sl_core *core, const struct sl_event *event)
{
    core->is_reading_vms = false;
    if (event->err != NULL) {
        SlCore_Increment(core, "vms.read_failed");
        return;
    }
    core->has_vms = true;
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        peer->listed = false;
    }
    for (size_t i = 0; i < event->u.vms.count; i++) {
        update_peer_of_vm(core, &event->u.vms.vms[i]);
    }
    /* A VM that is no longer listed keeps its connection: the list lags, and
     * an open connection shows that the process is running. */
    for (guint i = core->peers->len; i > 0; i--) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i - 1);
        if (!peer->listed && peer->state == Sl_PEER_IDLE) {
            forget_peer(core, peer);
        }
    }
    SlMembership_Connect(core);
}

void
SlMembership_Connect(struct sl_core *core)
{
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (peer->state == Sl_PEER_IDLE && peer->listed &&
            core->now_us >= peer->connect_retry_us &&
            core->ops->should_connect(core, &peer->vm)) {
            connect_to(core, peer);
        }
    }
}

void
SlMembership_OnPeerUp(struct sl_core *core, const struct sl_event *event)
{
    const struct sl_msg_hello *hello = &event->u.peer.msg->u.hello;
    uint64_t id = event->u.peer.peer;
    struct sl_peer *peer = SlMembership_PeerById(core, id);
    /* An unknown id is that of an incoming connection. */
    if (peer == NULL) {
        peer = new_peer(core, &hello->vm, true);
        peer->id = id;
        peer->vm.domain = hello->domain;
        peer->vm.upstream = hello->upstream;
        SlRole_Parse(SlName_Str(&hello->role), &peer->vm.role);
        g_hash_table_insert(core->peer_by_id, &peer->id, peer);
    }
    else if (!SlName_Equal(&peer->vm.name, &hello->vm) ||
             !SlName_Equal(&peer->vm.upstream, &hello->upstream)) {
        /* The list is out of date: another VM has this address now. */
        SlCore_Increment(core, "peers.mistaken");
        disconnect(core, peer);
        return;
    }
    peer->state = Sl_PEER_UP;
    peer->boot = hello->boot;
    peer->last_message_us = core->now_us;
    peer->backoff_us = Sl_BACKOFF_MIN_US;
    SlCore_Increment(core, "peers.up");
    SlLogFollower_OnEnvelope(core, peer, event->u.peer.msg);
    core->ops->on_peer_up(core, peer);
}

void
SlMembership_OnPeerDown(struct sl_core *core, const struct sl_event *event)
{
    struct sl_peer *peer = SlMembership_PeerById(core, event->u.peer.peer);
    if (peer != NULL) {
        on_disconnected(core, peer);
    }
}

struct sl_peer *
SlMembership_PeerById(const struct sl_core *core, uint64_t id)
{
    return g_hash_table_lookup(core->peer_by_id, &id);
}

struct sl_peer *
SlMembership_PeerByUpstream(const struct sl_core *core,
                            const struct sl_name *upstream)
{
    struct sl_peer *found = NULL;
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (peer->incoming || !SlName_Equal(&peer->vm.upstream, upstream)) {
            continue;
        }
        /* A replaced VM and its successor may both be listed; prefer the one
         * that is connected. */
        if (found == NULL || SlPeer_IsUp(peer)) {
            found = peer;
        }
    }
    return found;
}

size_t
SlMembership_CountEntries(const struct sl_core *core)
{
    size_t count = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        const struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        count += peer->listed && peer->vm.role == Sl_ROLE_ENTRY;
    }
    return count;
}

bool
SlPeer_IsUp(const struct sl_peer *peer)
{
    return peer->state == Sl_PEER_UP;
}

bool
SlPeer_AcceptsWork(const struct sl_core *core, const struct sl_peer *peer)
{
    return !peer->incoming && SlPeer_IsUp(peer) && peer->has_status &&
           !peer->status.draining && peer->status.limit > 0 &&
           !peer->vm.leaving &&
           SlConfig_IsUpstreamInService(core->config, &peer->vm.upstream);
}
