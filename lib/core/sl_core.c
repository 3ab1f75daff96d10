/* The reducer: dispatches each event to the file that handles it, or to the
 * role. */
#include "sl_core_internal.h"

#include <string.h>

/* ---- helpers ---- */

static void
on_message(struct sl_core *core, const struct sl_event *event)
{
    struct sl_peer *peer = SlMembership_PeerById(core, event->u.peer.peer);
    const struct sl_msg *msg = event->u.peer.msg;
    if (peer == NULL || peer->state != Sl_PEER_UP) {
        SlCore_Increment(core, "messages.of_unknown_peer");
        return;
    }
    peer->last_message_us = core->now_us;
    SlLogFollower_OnEnvelope(core, peer, msg);
    switch (msg->type) {
    case Sl_MSG_PULL:
        SlLogFollower_OnPull(core, peer, &msg->u.pull);
        break;
    case Sl_MSG_RECORDS:
        SlLogFollower_OnRecords(core, peer, msg);
        break;
    default:
        core->ops->on_message(core, peer, msg);
        break;
    }
}

static void
on_drain(struct sl_core *core)
{
    if (!core->draining) {
        core->draining = true;
        SlCore_Log(core, Sl_LOG_INFO, 0, NULL, "draining");
    }
}

static void
dispatch(struct sl_core *core, const struct sl_event *event)
{
    switch (event->type) {
    case Sl_EVENT_TICK:
        break;
    case Sl_EVENT_DRAIN:
        on_drain(core);
        core->ops->on_event(core, event);
        break;
    case Sl_EVENT_PEER_UP:
        SlMembership_OnPeerUp(core, event);
        break;
    case Sl_EVENT_PEER_DOWN:
        SlMembership_OnPeerDown(core, event);
        break;
    case Sl_EVENT_MESSAGE:
        on_message(core, event);
        break;
    case Sl_EVENT_VMS:
        SlMembership_OnVms(core, event);
        break;
    case Sl_EVENT_LOG_READ:
        if (event->u.read.stream == Sl_STREAM_BILLS) {
            core->ops->on_event(core, event);
        }
        else {
            SlLogFollower_OnRead(core, event);
        }
        break;
    case Sl_EVENT_LOG_APPENDED:
        if (!SlLogFollower_OnAppended(core, event)) {
            core->ops->on_event(core, event);
        }
        break;
    default:
        core->ops->on_event(core, event);
        break;
    }
}

/* Returns Sl_EFFECT_EXIT once a draining process has no work left. */
static void
exit_when_idle(struct sl_core *core)
{
    if (core->draining && !core->exited && core->ops->is_idle(core)) {
        core->exited = true;
        SlCore_Log(core, Sl_LOG_INFO, 0, NULL, "drained");
        SlEffects_Add(core->effects, Sl_EFFECT_EXIT);
    }
}

/* ---- internal API ---- */

void
SlCore_FreeLater(struct sl_core *core, void *memory)
{
    g_ptr_array_add(core->deferred_frees, memory);
}

uint64_t
SlCore_NextToken(struct sl_core *core)
{
    return ++core->last_token;
}

uint64_t
SlCore_SetTimer(struct sl_core *core, int64_t after_us,
                sl_timer_callback callback, uint64_t id)
{
    return SlTimers_Add(core->timers, core->now_us + after_us, callback, core,
                        id);
}

void
SlCore_Increment(struct sl_core *core, const char *counter)
{
    SlCounters_Add(core->counters, counter, 1);
}

gint
SlCore_CompareIds(gconstpointer a, gconstpointer b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right;
}

/* ---- public API ---- */

struct sl_core *
SlCore_New(const struct sl_core_options *options)
{
    assert(options->boot != 0);
    struct sl_core *core = g_new0(struct sl_core, 1);
    core->options = *options;
    core->ops = options->role == Sl_ROLE_ENTRY ? &SlEntry_Ops : &SlAgent_Ops;
    core->now_us = options->now_us;
    core->wall_ms = options->wall_ms;
    core->random.state = options->seed;
    core->timers = SlTimers_New();
    core->counters = SlCounters_New();
    core->config = SlConfig_New();
    core->deferred_frees = g_ptr_array_new_with_free_func(g_free);
    /* The first SlCore_Reduce() returns the effects of the start. */
    core->effects = SlEffects_New();
    SlMembership_Start(core);
    SlWitnesses_Start(core);
    SlLogFollower_Start(core);
    core->ops->start(core);
    return core;
}

void
SlCore_Free(struct sl_core *core)
{
    if (core == NULL) {
        return;
    }
    core->ops->free(core);
    SlLogFollower_Free(core);
    SlWitnesses_Free(core);
    SlMembership_Free(core);
    g_ptr_array_free(core->deferred_frees, TRUE);
    SlConfig_Free(core->config);
    SlCounters_Free(core->counters);
    SlTimers_Free(core->timers);
    SlEffects_Free(core->effects);
    g_free(core);
}

void
SlCore_Reduce(struct sl_core *core, const struct sl_event *event,
              struct sl_effects *effects)
{
    /* Until the first event, this list has the effects of the start. */
    struct sl_effects *start_effects = core->effects;
    assert(event->now_us >= core->now_us);
    core->now_us = event->now_us;
    core->wall_ms = event->wall_ms;
    g_ptr_array_set_size(core->deferred_frees, 0);
    SlEffects_MoveTo(start_effects, effects);
    core->effects = effects;
    SlTimers_Run(core->timers, core->now_us);
    dispatch(core, event);
    exit_when_idle(core);
    core->effects = start_effects;
}

int64_t
SlCore_NextDueUs(const struct sl_core *core)
{
    return SlTimers_NextDueUs(core->timers);
}

struct sl_counters *
SlCore_Counters(struct sl_core *core)
{
    return core->counters;
}

const struct sl_config *
SlCore_Config(const struct sl_core *core)
{
    return core->config;
}

uint64_t
SlCore_Boot(const struct sl_core *core)
{
    return core->options.boot;
}
