/* Reads the load that the upstream reports, and reports the agent's status to
 * entries. */
#include "sl_agent_internal.h"

#include <string.h>

/* Time between two reads of the upstream's load report. */
#define Sl_LOAD_INTERVAL_US (500 * Sl_US_PER_MS)
/* Time between two reports of the agent's status. */
#define Sl_STATUS_INTERVAL_US (250 * Sl_US_PER_MS)
/* An upstream that reports less warmth than this, on a scale from 0 to 1, is
 * cold. */
#define Sl_MIN_WARMTH 0.999
/* The service time is reset if nothing runs and no run completed for this
 * long. */
#define Sl_SERVICE_TIME_RESET_US (3 * Sl_US_PER_S)

/* ---- load and status ---- */

static void
on_load_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    struct sl_agent *agent = core->agent;
    (void)now_us;
    if (!agent->is_reading_load) {
        agent->is_reading_load = true;
        agent->load_asked_us = core->now_us;
        SlEffects_Add(core->effects, Sl_EFFECT_LOAD_READ);
    }
    SlCore_SetTimer(core, Sl_LOAD_INTERVAL_US, on_load_due, id);
}

/* Resets the service time of an upstream that has had no work for some time.
 * Otherwise, an upstream that was once slow would get no work while others are
 * faster, and could never show that it is fast again. */
static void
reset_idle_service_time(struct sl_core *core)
{
    struct sl_agent *agent = core->agent;
    if (agent->calls_in_flight == 0 &&
        core->now_us - agent->last_done_us > Sl_SERVICE_TIME_RESET_US) {
        agent->service_time_us = 0;
    }
}

void
SlStatus_OnLoad(struct sl_core *core, const struct sl_event *event)
{
    struct sl_agent *agent = core->agent;
    agent->is_reading_load = false;
    if (event->err != NULL) {
        SlCore_Increment(core, "load.read_failed");
        return;
    }
    bool has_restarted =
        !SlName_Equal(&agent->load.boot, &event->u.load->boot);
    if (has_restarted) {
        SlLimit_EnterCold(&agent->limit);
    }
    SlLimit_OnReport(&agent->limit, event->u.load->warm < Sl_MIN_WARMTH);
    agent->load = *event->u.load;
    agent->load_us = agent->load_asked_us;
    agent->has_load = true;
    reset_idle_service_time(core);
    SlOrders_Reconcile(core);
    SlRun_StartQueued(core);
}

/* Copies the counts of the service's versions to `out`, which holds
 * Sl_STATUS_MAX_VERSIONS. Returns their number. */
static size_t
copy_version_counts(const struct sl_core *core, struct sl_version_counts *out)
{
    const struct sl_upstream *self = SlAgent_Upstream(core);
    const struct sl_version *versions[Sl_STATUS_MAX_VERSIONS];
    size_t count =
        self == NULL ? 0
                     : SlConfig_ListVersions(core->config, &self->service,
                                             versions, Sl_STATUS_MAX_VERSIONS);
    for (size_t i = 0; i < count; i++) {
        out[i] = *SlAgent_VersionCounts(core->agent, &versions[i]->name);
        out[i].loaded = SlAgent_HasLoaded(core->agent, &versions[i]->name);
    }
    return count;
}

void
SlStatus_Send(struct sl_core *core, const struct sl_peer *peer)
{
    const struct sl_agent *agent = core->agent;
    struct sl_version_counts versions[Sl_STATUS_MAX_VERSIONS];
    struct sl_msg msg = {.type = Sl_MSG_STATUS};
    struct sl_msg_status *status = &msg.u.status;
    /* A limit of 0 tells entries to send no work to the upstream. */
    bool has_fresh_load = SlAgent_HasFreshLoad(core);
    status->in_flight = agent->calls_in_flight;
    status->queued = SlQueue_Length(agent->queue);
    status->limit = has_fresh_load ? SlLimit_Current(&agent->limit) : 0;
    status->running = (uint64_t)agent->load.running;
    status->waiting = (uint64_t)agent->load.waiting;
    status->warm = SlLimit_Warmth(&agent->limit);
    status->draining = core->draining || core->leaving;
    status->service_time_us = agent->service_time_us;
    status->version_count = copy_version_counts(core, versions);
    struct sl_str bytes = {(const char *)versions,
                           status->version_count * sizeof(versions[0])};
    status->versions =
        (const void *)SlEffects_CopyBytes(core->effects, bytes).ptr;
    SlCore_Send(core, peer, &msg);
}

void
SlStatus_SendAll(struct sl_core *core)
{
    for (guint i = 0; i < core->peers->len; i++) {
        const struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (SlPeer_IsUp(peer) && peer->vm.role == Sl_ROLE_ENTRY) {
            SlStatus_Send(core, peer);
        }
    }
}

static void
on_status_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    SlStatus_SendAll(core);
    SlCore_SetTimer(core, Sl_STATUS_INTERVAL_US, on_status_due, id);
}

void
SlStatus_OnRated(struct sl_core *core, const struct sl_msg_rated *rated)
{
    struct sl_version_counts *counts =
        SlAgent_VersionCounts(core->agent, &rated->version);
    counts->rated++;
    counts->score_sum += rated->score;
}

void
SlStatus_Start(struct sl_core *core)
{
    on_load_due(core, 0, core->now_us);
    SlCore_SetTimer(core, Sl_STATUS_INTERVAL_US, on_status_due, 0);
}
