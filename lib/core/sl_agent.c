/* The agent role: all requests to an upstream go through the agent on the
 * upstream's VM. This file dispatches the events of the role to the files that
 * handle them. */
#include "sl_agent_internal.h"

/* If the last load report is older than this, the upstream gets no new work.
 */
#define Sl_LOAD_MAX_AGE_US (3 * Sl_US_PER_S)
/* Largest number of runs in the queue. */
#define Sl_MAX_QUEUED_RUNS 1000

/* ---- state of the agent ---- */

const struct sl_upstream *
SlAgent_Upstream(const struct sl_core *core)
{
    return SlConfig_FindUpstream(core->config, &core->options.upstream);
}

bool
SlAgent_HasFreshLoad(const struct sl_core *core)
{
    const struct sl_agent *agent = core->agent;
    return agent->has_load &&
           core->now_us - agent->load_us <= Sl_LOAD_MAX_AGE_US;
}

bool
SlAgent_HasLoaded(const struct sl_agent *agent, const struct sl_name *version)
{
    return SlName_IsListed(agent->load.versions, agent->load.version_count,
                           version);
}

struct sl_version_counts *
SlAgent_VersionCounts(struct sl_agent *agent, const struct sl_name *version)
{
    struct sl_version_counts *counts =
        g_hash_table_lookup(agent->versions, version);
    if (counts == NULL) {
        counts = g_new0(struct sl_version_counts, 1);
        counts->version = *version;
        g_hash_table_insert(agent->versions, &counts->version, counts);
    }
    return counts;
}

bool
SlAgent_HasRunsOf(const struct sl_core *core, const struct sl_name *version)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->agent->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_run *run = value;
        if (SlName_Equal(&run->msg.version, version)) {
            return true;
        }
    }
    return false;
}

/* ---- role ---- */

static void
on_event(struct sl_core *core, const struct sl_event *event)
{
    switch (event->type) {
    case Sl_EVENT_CALL_HEAD:
        SlRun_OnCallHead(core, event);
        break;
    case Sl_EVENT_CALL_CHUNK:
        SlRun_OnCallChunk(core, event);
        break;
    case Sl_EVENT_CALL_DONE:
        SlRun_OnCallDone(core, event);
        break;
    case Sl_EVENT_LOAD:
        SlStatus_OnLoad(core, event);
        break;
    case Sl_EVENT_ORDER_DONE:
        SlOrders_OnDone(core, event);
        break;
    case Sl_EVENT_LOG_APPENDED:
        SlHomeMoves_OnAppended(core, event);
        break;
    case Sl_EVENT_DRAIN:
        SlRun_RefuseQueued(core);
        SlStatus_SendAll(core);
        break;
    default:
        break;
    }
}

static void
on_message(struct sl_core *core, struct sl_peer *peer,
           const struct sl_msg *msg)
{
    switch (msg->type) {
    case Sl_MSG_RUN:
        SlRun_OnRun(core, peer, &msg->u.run);
        break;
    case Sl_MSG_CANCEL:
        SlRun_OnCancel(core, &msg->u.cancel);
        break;
    case Sl_MSG_BILLED:
        SlReceipts_OnBilled(core, &msg->u.billed.bill);
        break;
    case Sl_MSG_RATED:
        SlStatus_OnRated(core, &msg->u.rated);
        break;
    case Sl_MSG_PIN_ASK:
        SlPinStore_OnAsk(core, peer, &msg->u.pin);
        break;
    case Sl_MSG_PIN_PUT:
        SlPinStore_OnPut(core, peer, &msg->u.pin);
        break;
    case Sl_MSG_PROBE:
        SlHomeMoves_OnProbe(core, peer, &msg->u.probe);
        break;
    case Sl_MSG_PROOF:
        SlHomeMoves_OnProof(core, peer, &msg->u.proof);
        break;
    default:
        SlCore_Increment(core, "messages.unexpected");
        break;
    }
}

static void
on_peer_up(struct sl_core *core, struct sl_peer *peer)
{
    if (peer->vm.role == Sl_ROLE_ENTRY) {
        SlStatus_Send(core, peer);
    }
}

static void
on_config(struct sl_core *core)
{
    const struct sl_upstream *self = SlAgent_Upstream(core);
    if (self != NULL) {
        struct sl_limit_options options = {self->cold_limit, self->limit};
        SlLimit_Configure(&core->agent->limit, &options);
    }
    SlHomeMoves_OnConfig(core);
    SlMembership_Connect(core);
    SlOrders_Reconcile(core);
    SlRun_StartQueued(core);
}

/* Agents of the same service connect to each other, because they confirm each
 * other's home records and configuration. Entries connect to agents. */
static bool
should_connect(const struct sl_core *core, const struct sl_vm *vm)
{
    const struct sl_upstream *self = SlAgent_Upstream(core);
    const struct sl_upstream *other =
        SlConfig_FindUpstream(core->config, &vm->upstream);
    return vm->role == Sl_ROLE_AGENT && self != NULL && other != NULL &&
           SlName_Equal(&self->service, &other->service);
}

static bool
is_idle(const struct sl_core *core)
{
    return g_hash_table_size(core->agent->runs) == 0 &&
           SlReceipts_Count(core) == 0;
}

static void
start(struct sl_core *core)
{
    /* A limit of one request, cold or warm, until the configuration says which
     * it is. */
    static const struct sl_limit_options initial_limit = {1, 1};
    static const struct sl_queue_options queue_options = {Sl_MAX_QUEUED_RUNS};
    struct sl_agent *agent = g_new0(struct sl_agent, 1);
    core->agent = agent;
    agent->runs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, SlRun_Free);
    agent->run_by_attempt = g_hash_table_new(SlRun_Hash, SlRun_Equal);
    agent->versions = g_hash_table_new_full(SlName_TableHash,
                                            SlName_TableEqual, NULL, g_free);
    agent->queue = SlQueue_New(&queue_options);
    agent->limit = SlLimit_New(&initial_limit);
    SlKeyedRuns_Start(core);
    SlHomeMoves_Start(core);
    SlReceipts_Start(core);
    SlOrders_Start(core);
    SlPinStore_Start(core);
    SlStatus_Start(core);
}

static void
free_agent(struct sl_core *core)
{
    struct sl_agent *agent = core->agent;
    SlPinStore_Free(core);
    SlOrders_Free(core);
    SlReceipts_Free(core);
    SlHomeMoves_Free(core);
    SlKeyedRuns_Free(core);
    SlQueue_Free(agent->queue);
    g_hash_table_destroy(agent->versions);
    g_hash_table_destroy(agent->run_by_attempt);
    g_hash_table_destroy(agent->runs);
    g_free(agent);
}

static void
dump(const struct sl_core *core, struct sl_buf *out)
{
    const struct sl_agent *agent = core->agent;
    SlBuf_Printf(out,
                 ",\"running\":%zu,\"queued\":%zu,\"limit\":%" G_GUINT64_FORMAT
                 ",\"receipts\":%zu,\"pins\":%zu,\"service_time_us\":"
                 "%" G_GINT64_FORMAT ",\"upstream_answers\":%s",
                 agent->calls_in_flight, SlQueue_Length(agent->queue),
                 (guint64)SlLimit_Current(&agent->limit),
                 SlReceipts_Count(core), SlPinStore_Count(core),
                 (gint64)agent->service_time_us,
                 SlAgent_HasFreshLoad(core) ? "true" : "false");
    SlHomeMoves_Dump(core, out);
}

const struct sl_role_ops SlAgent_Ops = {
    .start = start,
    .free = free_agent,
    .on_event = on_event,
    .on_message = on_message,
    .on_peer_up = on_peer_up,
    .on_peer_down = SlRun_OnPeerDown,
    .on_config = on_config,
    .should_connect = should_connect,
    .is_idle = is_idle,
    .dump = dump,
};
