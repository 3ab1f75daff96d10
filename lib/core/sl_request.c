/* Responses to clients (errors, complete and streamed responses), and what
 * is done when a request ends: it is billed, and its memory is freed. */
#include "sl_entry_internal.h"

/* ---- responses to clients ---- */

void
SlRequest_SendBytes(struct sl_core *core, uint64_t conn, struct sl_str bytes)
{
    if (bytes.len == 0) {
        return;
    }
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_HTTP_BODY);
    effect->u.body.conn = conn;
    effect->u.body.bytes = bytes;
}

void
SlRequest_SendEnd(struct sl_core *core, uint64_t conn)
{
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_HTTP_END);
    effect->u.conn = conn;
}

void
SlRequest_Refuse(struct sl_core *core, uint64_t conn,
                 const struct sl_refusal *refusal, const struct sl_error *err)
{
    struct sl_buf body = {0};
    SlBuf_Printf(&body, "{\"outcome\":\"%s\",\"step\":",
                 SlOutcome_Name(refusal->outcome));
    SlBuf_AppendJson(&body, SlName_Str(&err->step));
    SlBuf_AppendC(&body, ",\"peer\":");
    SlBuf_AppendJson(&body, SlName_Str(&err->peer));
    SlBuf_AppendC(&body, ",\"error\":");
    SlBuf_AppendJson(&body, SlStr_FromC(err->text));
    SlBuf_Printf(&body, ",\"retry_after_ms\":%" G_GINT64_FORMAT "}\n",
                 (gint64)(refusal->retry_after_us / Sl_US_PER_MS));
    struct sl_effect *head = SlEffects_Add(core->effects, Sl_EFFECT_HTTP_HEAD);
    head->u.head = (struct sl_effect_http_head){
        .conn = conn,
        .status = refusal->status,
        .content_type = Sl_STR("application/json"),
        .outcome = refusal->outcome,
        .request = refusal->request,
        .version = refusal->version,
        .retry_after_us = refusal->retry_after_us,
    };
    SlRequest_SendBytes(core, conn,
                        SlEffects_CopyBytes(core->effects, SlBuf_Str(&body)));
    SlRequest_SendEnd(core, conn);
    SlBuf_Free(&body);
}

struct sl_name
SlRequest_Name(const struct sl_core *core, const struct sl_request *request)
{
    struct sl_request_id id = {core->options.boot, request->seq};
    return SlRequestId_Name(id);
}

void
SlRequest_SendHead(struct sl_core *core, struct sl_request *request,
                   uint64_t status, struct sl_str content_type,
                   const struct sl_name *version)
{
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_HTTP_HEAD);
    effect->u.head = (struct sl_effect_http_head){
        .conn = request->conn,
        .status = status,
        .content_type = SlEffects_CopyBytes(core->effects, content_type),
        .outcome = Sl_OUTCOME_RAN,
        .request = SlRequest_Name(core, request),
        .version = *version,
    };
    request->head_sent = true;
}

/* ---- ending a request ---- */

static void
free_response(struct sl_upstream_response *response)
{
    SlBuf_Free(&response->body);
}

void
SlRequest_Free(gpointer data)
{
    struct sl_request *request = data;
    SlBuf_Free(&request->method);
    SlBuf_Free(&request->path);
    SlBuf_Free(&request->content_type);
    SlBuf_Free(&request->body);
    free_response(&request->response);
    free_response(&request->fallback);
    g_free(request);
}

/* Adds the bill of the request's steps that ran. */
static void
add_bill(struct sl_core *core, const struct sl_request *request)
{
    struct sl_msg_receipt receipt = {
        .bill = request->bill,
        .team = request->attributes.team,
        .kind = request->attributes.kind,
        .version = request->billed_version,
        .upstream = request->billed_upstream,
        .tokens = request->tokens,
        .cost_micros = request->cost_micros,
    };
    SlBills_Add(core, &receipt, request->holders, request->holder_count);
}

void
SlRequest_ReleasePeer(struct sl_core *core, struct sl_request *request)
{
    struct sl_peer *peer = SlMembership_PeerById(core, request->peer_id);
    if (peer != NULL && peer->local_in_flight > 0) {
        peer->local_in_flight--;
    }
    request->peer_id = 0;
}

void
SlRequest_DetachClient(struct sl_core *core, struct sl_request *request)
{
    if (request->conn != 0) {
        g_hash_table_remove(core->entry->request_by_conn, &request->conn);
        request->conn = 0;
    }
}

void
SlRequest_Finish(struct sl_core *core, struct sl_request *request)
{
    if (request->has_run) {
        add_bill(core, request);
    }
    if (request->peer_id != 0) {
        SlRequest_ReleasePeer(core, request);
    }
    SlTimers_Cancel(core->timers, request->deadline_timer);
    SlTimers_Cancel(core->timers, request->retry_timer);
    SlRequest_DetachClient(core, request);
    /* A later request with the same key may have taken the place in this
     * table. */
    if (g_hash_table_lookup(core->entry->request_by_bill, &request->bill) ==
        request) {
        g_hash_table_remove(core->entry->request_by_bill, &request->bill);
    }
    /* Effects of this event may point to the request's buffers, so the request
     * is removed from the table without SlRequest_Free(), and freed at the
     * next event. */
    g_hash_table_steal(core->entry->requests, &request->seq);
    SlCore_FreeLater(core, request->method.ptr);
    SlCore_FreeLater(core, request->path.ptr);
    SlCore_FreeLater(core, request->content_type.ptr);
    SlCore_FreeLater(core, request->body.ptr);
    SlCore_FreeLater(core, request->response.body.ptr);
    SlCore_FreeLater(core, request->fallback.body.ptr);
    SlCore_FreeLater(core, request);
}

void
SlRequest_RespondError(struct sl_core *core, struct sl_request *request,
                       uint64_t status, enum sl_outcome outcome,
                       int64_t retry_after_us, const struct sl_error *err)
{
    if (request->conn == 0) {
        return;
    }
    /* A response whose head was sent can no longer become an error response.
     * The client detects the truncation when the connection closes. */
    if (request->head_sent) {
        struct sl_effect *abort =
            SlEffects_Add(core->effects, Sl_EFFECT_HTTP_ABORT);
        abort->u.conn = request->conn;
        SlCore_Increment(core, "answers.cut");
        SlRequest_DetachClient(core, request);
        return;
    }
    /* `outcome` is that of the last attempt. If an earlier attempt ran, or may
     * have run, the outcome of the whole request is not "not run". */
    if (request->may_have_run || request->has_run) {
        outcome = Sl_OUTCOME_UNKNOWN;
    }
    struct sl_refusal refusal = {
        .status = status,
        .outcome = outcome,
        .retry_after_us = retry_after_us,
        .request = SlRequest_Name(core, request),
    };
    SlRequest_Refuse(core, request->conn, &refusal, err);
    SlCore_Increment(core, outcome == Sl_OUTCOME_NOT_RUN ? "answers.not_run"
                                                         : "answers.unknown");
    SlCore_Log(core, Sl_LOG_INFO, request->seq, err, "request not answered");
    SlRequest_DetachClient(core, request);
}

void
SlRequest_RespondWhole(struct sl_core *core, struct sl_request *request,
                       const struct sl_upstream_response *response)
{
    if (request->conn != 0) {
        SlRequest_SendHead(core, request, response->status,
                           SlName_Str(&response->content_type),
                           &response->version);
        SlRequest_SendBytes(core, request->conn, SlBuf_Str(&response->body));
        SlRequest_SendEnd(core, request->conn);
        SlCore_Increment(core, "answers.ran");
    }
    SlRequest_Finish(core, request);
}

bool
SlRequest_IsKeyed(const struct sl_request *request)
{
    return !request->idempotent && !SlName_IsEmpty(&request->key);
}

void
SlRequest_GiveUp(struct sl_core *core, struct sl_request *request,
                 uint64_t status, enum sl_outcome outcome,
                 int64_t retry_after_us, const struct sl_error *err)
{
    /* A client may submit the same key several times. That this submission did
     * not run proves nothing about the others, which may have run or may run
     * later; only the agent that is the key's home knows. So the outcome "not
     * run" needs that agent's confirmation. */
    if (SlRequest_IsKeyed(request) && !request->key_not_run) {
        outcome = Sl_OUTCOME_UNKNOWN;
    }
    /* A rejected response is better for the client than an error. */
    if (request->has_fallback && !request->head_sent) {
        SlCore_Increment(core, "cascade.fallback");
        SlRequest_RespondWhole(core, request, &request->fallback);
        return;
    }
    SlRequest_RespondError(core, request, status, outcome, retry_after_us,
                           err);
    SlRequest_Finish(core, request);
}

int64_t
SlRequest_TimeLeftUs(const struct sl_core *core,
                     const struct sl_request *request)
{
    return request->deadline_us - core->now_us;
}
