/* Orders to the engine: an order loads or unloads one version. The agent sends
 * one order at a time, until the engine has the versions that the
 * configuration asks for. The load reports show which versions it has.
 *
 * Each order carries a fencing number, the configuration offset from which the
 * order follows. The agent on the engine's VM is the only one that sends the
 * engine orders. An agent whose configuration is not proven fresh sends none:
 * after a pause it may be behind, and not every engine refuses an old fencing
 * number.
 *
 * The store from which engines load weights is rate limited for the whole
 * fleet. Time is divided into slots of Sl_LOAD_SLOT_MS that belong to the
 * upstreams of a service in turn, and an agent orders a load only in a slot of
 * its upstream. This keeps agents below the rate without messages between
 * them. */
#include "sl_agent_internal.h"

#include <string.h>

/* Length of a slot, by the wall clock. */
#define Sl_LOAD_SLOT_MS ((int64_t)200)
/* Time between two checks whether an order is needed; several fall into each
 * slot. */
#define Sl_RECONCILE_INTERVAL_US (50 * Sl_US_PER_MS)
/* After a start, the agent waits until it has read all records that the log
 * had at the start, but not longer than this. The limit covers the lag of the
 * log's head and two polls of the log. */
#define Sl_START_WAIT_US (Sl_LOG_HEAD_LAG_US + Sl_US_PER_S)
/* Wait after an order that failed. */
#define Sl_ORDER_RETRY_US (2 * Sl_US_PER_S)

/* ---- types ---- */

struct sl_orders {
    bool is_outstanding;
    int64_t last_answered_us; /* when the last order was answered */
    int64_t retry_us;         /* no order before this time */
};

/* ---- helpers ---- */

/* Returns true if the current slot belongs to this agent's upstream. */
static bool
owns_slot(const struct sl_core *core, const struct sl_upstream *self)
{
    const struct sl_upstream *upstreams[Sl_MAX_HOME_MEMBERS];
    size_t count = SlConfig_ListUpstreams(core->config, &self->service,
                                          upstreams, Sl_MAX_HOME_MEMBERS);
    for (size_t i = 0; i < count; i++) {
        if (SlName_Equal(&upstreams[i]->name, &self->name)) {
            return core->wall_ms / Sl_LOAD_SLOT_MS % (int64_t)count ==
                   (int64_t)i;
        }
    }
    return false;
}

static void
send_order(struct sl_core *core, const struct sl_name *version, bool load)
{
    struct sl_effect *effect = SlEffects_Add(core->effects, Sl_EFFECT_ORDER);
    effect->u.order.load = load;
    effect->u.order.version = *version;
    effect->u.order.fence = SlConfig_Offset(core->config);
    core->agent->orders->is_outstanding = true;
    SlCore_Increment(core, load ? "orders.load" : "orders.unload");
}

/* Orders the engine to load the first version that it lacks, if the current
 * slot is this upstream's. Returns true if an order was sent. */
static bool
load_missing_version(struct sl_core *core, const struct sl_upstream *self)
{
    const struct sl_version *versions[Sl_MAX_UPSTREAM_VERSIONS];
    size_t count = SlConfig_ListVersions(core->config, &self->service,
                                         versions, Sl_MAX_UPSTREAM_VERSIONS);
    for (size_t i = 0; i < count; i++) {
        if (SlOrders_IsWanted(core, versions[i]) &&
            !SlAgent_HasLoaded(core->agent, &versions[i]->name)) {
            if (!owns_slot(core, self)) {
                return false;
            }
            send_order(core, &versions[i]->name, true);
            return true;
        }
    }
    return false;
}

/* Orders the engine to unload the first version that it should not have and
 * that no run needs. */
static void
unload_unwanted_version(struct sl_core *core)
{
    const struct sl_agent *agent = core->agent;
    for (size_t i = 0; i < agent->load.version_count; i++) {
        const struct sl_name *name = &agent->load.versions[i];
        const struct sl_version *version =
            SlConfig_FindVersion(core->config, name);
        bool wanted = version != NULL && SlOrders_IsWanted(core, version);
        if (!wanted && !SlAgent_HasRunsOf(core, name)) {
            send_order(core, name, false);
            return;
        }
    }
}

static void
on_reconcile_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    SlOrders_Reconcile(core);
    SlCore_SetTimer(core, Sl_RECONCILE_INTERVAL_US, on_reconcile_due, id);
}

/* ---- internal API ---- */

void
SlOrders_Start(struct sl_core *core)
{
    core->agent->orders = g_new0(struct sl_orders, 1);
    SlCore_SetTimer(core, Sl_RECONCILE_INTERVAL_US, on_reconcile_due, 0);
}

void
SlOrders_Free(struct sl_core *core)
{
    g_free(core->agent->orders);
}

bool
SlOrders_IsWanted(const struct sl_core *core, const struct sl_version *version)
{
    const struct sl_upstream *self = SlAgent_Upstream(core);
    if (self == NULL || version->out_of_service ||
        !SlName_Equal(&version->service, &self->service)) {
        return false;
    }
    return SlUpstream_Serves(self, &version->name);
}

/* Returns true while a started agent waits for the log; see Sl_START_WAIT_US.
 */
static bool
waits_for_log(const struct sl_core *core)
{
    int64_t started_us = core->options.now_us;
    return !SlLogFollower_HasReadUntil(core, started_us) &&
           core->now_us - started_us < Sl_START_WAIT_US;
}

void
SlOrders_Reconcile(struct sl_core *core)
{
    struct sl_orders *orders = core->agent->orders;
    const struct sl_upstream *self = SlAgent_Upstream(core);
    if (self == NULL || orders->is_outstanding || core->draining ||
        waits_for_log(core) || core->now_us < orders->retry_us ||
        !SlAgent_HasFreshLoad(core)) {
        return;
    }
    /* Only a load report requested after the last order shows its effect. */
    if (core->agent->load_us <= orders->last_answered_us) {
        return;
    }
    const struct sl_service *service =
        SlConfig_FindService(core->config, &self->service);
    if (service->type != Sl_SERVICE_ENGINE ||
        SlLogFollower_CheckFresh(core, NULL) != Sl_OK) {
        return;
    }
    if (!load_missing_version(core, self)) {
        unload_unwanted_version(core);
    }
}

void
SlOrders_OnDone(struct sl_core *core, const struct sl_event *event)
{
    struct sl_orders *orders = core->agent->orders;
    orders->is_outstanding = false;
    orders->last_answered_us = core->now_us;
    if (event->err == NULL) {
        return;
    }
    SlCore_Increment(core, "orders.failed");
    SlCore_Log(core, Sl_LOG_WARN, 0, event->err, "order to the engine failed");
    orders->retry_us = core->now_us + Sl_ORDER_RETRY_US;
}
