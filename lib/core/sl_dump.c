/* Readiness, and the state dump in JSON. */
#include "sl_core_internal.h"
#include "sl_entry_internal.h"

/* Appends the versions that the agent's last status lists as loaded. */
static void
dump_loaded_versions(const struct sl_peer *peer, struct sl_buf *out)
{
    const char *separator = "";
    SlBuf_AppendC(out, ",\"loaded\":[");
    for (size_t i = 0; i < peer->status.version_count; i++) {
        if (peer->versions[i].loaded) {
            SlBuf_AppendC(out, separator);
            SlBuf_AppendJson(out, SlName_Str(&peer->versions[i].version));
            separator = ",";
        }
    }
    SlBuf_AppendC(out, "]");
}

static void
dump_peer(const struct sl_core *core, const struct sl_peer *peer,
          struct sl_buf *out)
{
    static const char *const states[] = {"idle", "connecting", "up"};
    SlBuf_AppendC(out, "{\"vm\":");
    SlBuf_AppendJson(out, SlName_Str(&peer->vm.name));
    SlBuf_AppendC(out, ",\"upstream\":");
    SlBuf_AppendJson(out, SlName_Str(&peer->vm.upstream));
    SlBuf_AppendC(out, ",\"domain\":");
    SlBuf_AppendJson(out, SlName_Str(&peer->vm.domain));
    SlBuf_Printf(out,
                 ",\"state\":\"%s\",\"incoming\":%s,\"leaving\":%s,"
                 "\"takes_work\":%s,\"own_in_flight\":%" G_GUINT64_FORMAT,
                 states[peer->state], peer->incoming ? "true" : "false",
                 peer->vm.leaving ? "true" : "false",
                 SlPeer_AcceptsWork(core, peer) ? "true" : "false",
                 (guint64)peer->local_in_flight);
    if (peer->has_status) {
        SlBuf_Printf(
            out,
            ",\"limit\":%" G_GUINT64_FORMAT ",\"in_flight\":%" G_GUINT64_FORMAT
            ",\"queued\":%" G_GUINT64_FORMAT,
            (guint64)peer->status.limit, (guint64)peer->status.in_flight,
            (guint64)peer->status.queued);
        dump_loaded_versions(peer, out);
    }
    SlBuf_AppendC(out, "}");
}

static void
dump_config(const struct sl_core *core, struct sl_buf *out)
{
    const struct sl_log_follower *follower = &core->follower;
    int64_t age_us = SlLogFollower_ProofAgeUs(core);
    /* -1: there was no proof since the start. */
    int64_t age_ms = age_us == Sl_NEVER_US ? -1 : age_us / Sl_US_PER_MS;
    SlBuf_Printf(
        out,
        ",\"config\":{\"offset\":%" G_GUINT64_FORMAT
        ",\"proof_age_ms\":%" G_GINT64_FORMAT
        ",\"has_state\":%s,\"read_head\":%s,\"truncated\":%s,"
        "\"log_oldest\":%" G_GUINT64_FORMAT ",\"log_head\":%" G_GUINT64_FORMAT
        ",\"snapshot_offset\":%" G_GUINT64_FORMAT "}",
        (guint64)SlConfig_Offset(core->config), (gint64)age_ms,
        follower->has_state ? "true" : "false",
        follower->read_head ? "true" : "false",
        follower->truncated ? "true" : "false", (guint64)follower->log_oldest,
        (guint64)follower->log_head, (guint64)follower->snapshot_offset);
}

enum sl_errno
SlCore_CheckAccepting(const struct sl_core *core, struct sl_error *reason)
{
    Sl_TRY(SlLogFollower_CheckFresh(core, reason));
    if (!core->has_vms) {
        return SlError_Set(reason, Sl_ERR_REFUSED, "core.ready", "vms",
                           "the list of VMs was not read yet");
    }
    if (core->entry != NULL && SlBills_IsFull(core)) {
        return SlError_Set(reason, Sl_ERR_REFUSED, "core.ready", "log",
                           "too many bills wait for the log");
    }
    return Sl_OK;
}

bool
SlCore_IsReady(const struct sl_core *core, int64_t now_us,
               struct sl_error *reason)
{
    (void)now_us;
    if (core->draining) {
        SlError_Set(reason, Sl_ERR_REFUSED, "core.ready", NULL, "draining");
        return false;
    }
    return SlCore_CheckAccepting(core, reason) == Sl_OK;
}

void
SlCore_Dump(const struct sl_core *core, int64_t now_us, struct sl_buf *out)
{
    struct sl_error reason = {0};
    bool ready = SlCore_IsReady(core, now_us, &reason);
    SlBuf_AppendC(out, "{\"vm\":");
    SlBuf_AppendJson(out, SlName_Str(&core->options.vm));
    SlBuf_Printf(
        out, ",\"role\":\"%s\",\"domain\":", SlRole_Name(core->options.role));
    SlBuf_AppendJson(out, SlName_Str(&core->options.domain));
    SlBuf_Printf(out,
                 ",\"boot\":\"%016" G_GINT64_MODIFIER
                 "x\",\"ready\":%s,\"reason\":",
                 (guint64)core->options.boot, ready ? "true" : "false");
    SlBuf_AppendJson(out, SlStr_FromC(reason.text));
    SlBuf_Printf(out, ",\"draining\":%s,\"leaving\":%s",
                 core->draining ? "true" : "false",
                 core->leaving ? "true" : "false");
    dump_config(core, out);
    core->ops->dump(core, out);
    SlBuf_AppendC(out, ",\"peers\":[");
    for (guint i = 0; i < core->peers->len; i++) {
        SlBuf_AppendC(out, i == 0 ? "" : ",");
        dump_peer(core, g_ptr_array_index(core->peers, i), out);
    }
    SlBuf_AppendC(out, "]}");
}
