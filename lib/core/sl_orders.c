/* Orders to the engine: the versions that it should have, loaded one at a
 * time, each order with a fencing number.
 *
 * The fencing number is the configuration offset that the order follows, and
 * the agent beside the engine is its only writer. An agent that cannot prove
 * its configuration fresh orders nothing: after a pause it may be behind, and
 * not every engine refuses an old number. What the engine has is read back
 * with its load.
 *
 * The weight store is rate limited for the whole fleet. Time is divided into
 * slots, each upstream of a service owns one in turn, and a load starts only
 * in an own slot, so that agents need no messages to stay under the rate. */
#include "sl_agent_internal.h"

#include <string.h>

#define Sl_LOAD_SLOT_MS ((int64_t)200)
#define Sl_RECONCILE_INTERVAL_US (50 * Sl_US_PER_MS)
/* How long a process that starts waits for the log to tell it what the log had
 * when it started; then it goes by what it knows. Beyond the lag of a head and
 * two polls of the log. */
#define Sl_START_WAIT_US (Sl_LOG_HEAD_LAG_US + Sl_US_PER_S)
#define Sl_ORDER_RETRY_US (2 * Sl_US_PER_S)

/* ---- types ---- */

struct sl_orders {
    bool outstanding;
    int64_t done_us; /* when the last order was answered */
    int64_t retry_us;
};

/* ---- helpers ---- */

static bool
owns_slot(const struct sl_core *core, const struct sl_upstream *self)
{
    const struct sl_upstream *all[Sl_MAX_MEMBERS];
    size_t count = SlConfig_UpstreamsOf(core->config, &self->service, all,
                                        Sl_MAX_MEMBERS);
    for (size_t i = 0; i < count; i++) {
        if (SlName_Equal(&all[i]->name, &self->name)) {
            return core->wall_ms / Sl_LOAD_SLOT_MS % (int64_t)count ==
                   (int64_t)i;
        }
    }
    return false;
}

static void
order(struct sl_core *core, const struct sl_name *version, bool load)
{
    struct sl_effect *effect = SlEffects_Add(core->fx, Sl_FX_ORDER);
    effect->u.order.load = load;
    effect->u.order.version = *version;
    effect->u.order.fence = SlConfig_Offset(core->config);
    core->agent->orders->outstanding = true;
    SlCore_Increment(core, load ? "orders.load" : "orders.unload");
}

static bool
order_missing(struct sl_core *core, const struct sl_upstream *self)
{
    const struct sl_version *versions[Sl_MAX_UPSTREAM_VERSIONS];
    size_t count = SlConfig_VersionsOf(core->config, &self->service, versions,
                                       Sl_MAX_UPSTREAM_VERSIONS);
    for (size_t i = 0; i < count; i++) {
        if (SlOrders_IsWanted(core, versions[i]) &&
            !SlAgent_HasLoaded(core->agent, &versions[i]->name)) {
            if (!owns_slot(core, self)) {
                return false;
            }
            order(core, &versions[i]->name, true);
            return true;
        }
    }
    return false;
}

static void
order_surplus(struct sl_core *core)
{
    const struct sl_agent *agent = core->agent;
    for (size_t i = 0; i < agent->load.version_count; i++) {
        const struct sl_name *name = &agent->load.versions[i];
        const struct sl_version *version =
            SlConfig_Version(core->config, name);
        bool wanted = version != NULL && SlOrders_IsWanted(core, version);
        if (!wanted && !SlAgent_HasRunsOf(core, name)) {
            order(core, name, false);
            return;
        }
    }
}

static void
on_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    SlOrders_Reconcile(core);
    SlCore_SetTimer(core, Sl_RECONCILE_INTERVAL_US, on_due, id);
}

/* ---- internal API ---- */

void
SlOrders_Start(struct sl_core *core)
{
    core->agent->orders = g_new0(struct sl_orders, 1);
    SlCore_SetTimer(core, Sl_RECONCILE_INTERVAL_US, on_due, 0);
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
    if (self == NULL || version->out ||
        !SlName_Equal(&version->service, &self->service)) {
        return false;
    }
    return SlUpstream_Serves(self, &version->name);
}

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
    if (self == NULL || orders->outstanding || core->draining ||
        waits_for_log(core) || core->now_us < orders->retry_us ||
        !SlAgent_HasFreshLoad(core)) {
        return;
    }
    /* What the last order changed shows only in a report asked for later. */
    if (core->agent->load_us <= orders->done_us) {
        return;
    }
    const struct sl_service *service =
        SlConfig_Service(core->config, &self->service);
    if (service->type != Sl_SERVICE_ENGINE ||
        SlLogFollower_CheckFresh(core, NULL) != Sl_OK) {
        return;
    }
    if (!order_missing(core, self)) {
        order_surplus(core);
    }
}

void
SlOrders_OnDone(struct sl_core *core, const struct sl_event *event)
{
    struct sl_orders *orders = core->agent->orders;
    orders->outstanding = false;
    orders->done_us = core->now_us;
    if (event->err == NULL) {
        return;
    }
    SlCore_Increment(core, "orders.failed");
    SlCore_Log(core, Sl_LOG_WARN, 0, event->err, "order to the engine failed");
    orders->retry_us = core->now_us + Sl_ORDER_RETRY_US;
}
