/* Runs: attempts of requests at this agent, from admission to the response.
 *
 * The agent checks every run against its own configuration and does not rely
 * on the entry's checks. A failure is reported as "not run" only if nothing
 * was sent to the upstream, or if the upstream proved that it did not run the
 * request; any other failure is "unknown". */
#include "sl_agent_internal.h"

#include <string.h>

/* A queued run whose deadline is closer than this may run ahead of runs with a
 * higher priority. */
#define Sl_URGENT_WINDOW_US (2 * Sl_US_PER_S)
/* Weight of the newest call in the smoothed service time. */
#define Sl_SMOOTHING_WEIGHT 0.1
/* A call without any bytes from the upstream for this long fails. */
#define Sl_CALL_STALL_TIMEOUT_US (120 * Sl_US_PER_S)
#define Sl_HTTP_BAD_REQUEST 400
/* `step` of the errors of admission. */
#define Sl_STEP_ADMIT "agent.admit"

/* ---- tables ---- */

guint
SlRun_Hash(gconstpointer data)
{
    const struct sl_msg_run *run = data;
    return (guint)SlHash_Mix(run->id.boot ^ (run->id.seq * 31) ^ run->attempt);
}

gboolean
SlRun_Equal(gconstpointer a, gconstpointer b)
{
    const struct sl_msg_run *left = a;
    const struct sl_msg_run *right = b;
    return SlRequestId_Equal(left->id, right->id) &&
           left->attempt == right->attempt;
}

void
SlRun_Free(gpointer data)
{
    struct sl_run *run = data;
    SlBuf_Free(&run->method);
    SlBuf_Free(&run->path);
    SlBuf_Free(&run->content_type);
    SlBuf_Free(&run->body);
    SlBuf_Free(&run->response_body);
    g_free(run);
}

static struct sl_run *
find_run(const struct sl_core *core, uint64_t token)
{
    return g_hash_table_lookup(core->agent->runs, &token);
}

/* Creates a run from an entry's message, whose strings it copies. */
static struct sl_run *
new_run(struct sl_core *core, const struct sl_peer *peer,
        const struct sl_msg_run *msg)
{
    struct sl_run *run = g_new0(struct sl_run, 1);
    run->token = SlCore_NextToken(core);
    run->peer_id = peer->id;
    run->entry_boot = peer->boot;
    run->msg = *msg;
    SlBuf_Append(&run->method, msg->method);
    SlBuf_Append(&run->path, msg->path);
    SlBuf_Append(&run->content_type, msg->content_type);
    SlBuf_Append(&run->body, msg->body);
    run->msg.method = SlBuf_Str(&run->method);
    run->msg.path = SlBuf_Str(&run->path);
    run->msg.content_type = SlBuf_Str(&run->content_type);
    run->msg.body = SlBuf_Str(&run->body);
    run->deadline_us = core->now_us + msg->time_left_us;
    return run;
}

static void
add_run(struct sl_core *core, struct sl_run *run)
{
    g_hash_table_insert(core->agent->runs, &run->token, run);
    g_hash_table_insert(core->agent->run_by_attempt, &run->msg, run);
}

/* Removes a run from the tables and frees it at the next event. */
static void
remove_run(struct sl_core *core, struct sl_run *run)
{
    g_hash_table_remove(core->agent->run_by_attempt, &run->msg);
    /* Effects of this event may point to the run's buffers, so the run is
     * removed without SlRun_Free(). */
    g_hash_table_steal(core->agent->runs, &run->token);
    SlCore_FreeLater(core, run->method.ptr);
    SlCore_FreeLater(core, run->path.ptr);
    SlCore_FreeLater(core, run->content_type.ptr);
    SlCore_FreeLater(core, run->body.ptr);
    SlCore_FreeLater(core, run->response_body.ptr);
    SlCore_FreeLater(core, run);
}

/* ---- messages to the entry ---- */

/* Returns the entry that sent the run, or NULL if its connection is closed. */
static struct sl_peer *
find_entry(const struct sl_core *core, const struct sl_run *run)
{
    struct sl_peer *peer =
        run->peer_id == 0 ? NULL : SlMembership_PeerById(core, run->peer_id);
    return peer != NULL && SlPeer_IsUp(peer) ? peer : NULL;
}

/* Reports to the entry that a run failed. `covers_key` is true if no
 * submission of the run's key has run, and none that was accepted before now
 * will. */
static void
send_fail(struct sl_core *core, const struct sl_run *run,
          enum sl_outcome outcome, bool covers_key, const struct sl_error *err,
          int64_t retry_after_us)
{
    struct sl_peer *peer = find_entry(core, run);
    SlCore_Increment(core, outcome == Sl_OUTCOME_NOT_RUN ? "runs.not_run"
                                                         : "runs.unknown");
    if (peer == NULL) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_FAIL};
    msg.u.fail.covers_key = covers_key;
    msg.u.fail.id = run->msg.id;
    msg.u.fail.attempt = run->msg.attempt;
    msg.u.fail.outcome = outcome;
    msg.u.fail.code = err->code;
    msg.u.fail.step = err->step;
    msg.u.fail.text =
        SlEffects_CopyBytes(core->effects, SlStr_FromC(err->text));
    msg.u.fail.retry_after_us = retry_after_us;
    SlCore_Send(core, peer, &msg);
}

/* Reports to the entry that a run has not run, and marks its key as refused if
 * possible. */
static void
refuse(struct sl_core *core, const struct sl_run *run,
       const struct sl_error *err, int64_t retry_after_us)
{
    bool covers_key = run->keyed && SlKeyedRuns_Refuse(core, run);
    send_fail(core, run, Sl_OUTCOME_NOT_RUN, covers_key, err,
              MAX(retry_after_us, Sl_RETRY_AFTER_US));
}

static void
send_head(struct sl_core *core, const struct sl_run *run, uint64_t status,
          struct sl_str content_type)
{
    struct sl_peer *peer = find_entry(core, run);
    if (peer == NULL) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_HEAD};
    msg.u.head.id = run->msg.id;
    msg.u.head.attempt = run->msg.attempt;
    msg.u.head.status = status;
    msg.u.head.content_type = SlEffects_CopyBytes(core->effects, content_type);
    SlCore_Send(core, peer, &msg);
}

static void
send_chunk(struct sl_core *core, const struct sl_run *run, uint64_t position,
           struct sl_str bytes)
{
    struct sl_peer *peer = find_entry(core, run);
    if (peer == NULL) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_CHUNK};
    msg.u.chunk.id = run->msg.id;
    msg.u.chunk.attempt = run->msg.attempt;
    msg.u.chunk.position = position;
    msg.u.chunk.bytes = bytes;
    SlCore_Send(core, peer, &msg);
}

static void
send_end(struct sl_core *core, const struct sl_run *run, uint64_t length,
         uint64_t tokens, bool replayed)
{
    struct sl_peer *peer = find_entry(core, run);
    if (peer == NULL) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_END};
    msg.u.end.id = run->msg.id;
    msg.u.end.attempt = run->msg.attempt;
    msg.u.end.length = length;
    msg.u.end.tokens = tokens;
    msg.u.end.replayed = replayed;
    SlCore_Send(core, peer, &msg);
}

/* Answers a run with the stored response of its key. */
static void
replay(struct sl_core *core, const struct sl_run *run,
       const struct sl_key_response *response)
{
    SlCore_Increment(core, "runs.replayed");
    send_head(core, run, response->status,
              SlName_Str(&response->content_type));
    if (response->body.len > 0) {
        send_chunk(core, run, 0, response->body);
    }
    send_end(core, run, response->body.len, response->tokens, true);
}

/* ---- admission ---- */

/* Checks that the agent may run requests at all. */
static enum sl_errno
check_agent(const struct sl_core *core, struct sl_error *err)
{
    if (core->draining || core->leaving) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_ADMIT, NULL,
                           "the upstream is leaving");
    }
    Sl_TRY(SlLogFollower_CheckFresh(core, err));
    if (SlReceipts_IsFull(core)) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_ADMIT, NULL,
                           "too many receipts wait to be billed");
    }
    if (!SlAgent_HasFreshLoad(core)) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_ADMIT, NULL,
                           "the upstream does not report its load");
    }
    return Sl_OK;
}

/* Checks that this run may be sent to the upstream. Called when it arrives,
 * and again when it leaves the queue. */
static enum sl_errno
check_run(const struct sl_core *core, const struct sl_run *run,
          struct sl_error *err)
{
    struct sl_request_attributes attributes = {run->msg.team, run->msg.session,
                                               run->msg.kind};
    Sl_TRY(check_agent(core, err));
    Sl_TRY(SlConfig_CheckAdmission(core->config, &attributes,
                                   &run->msg.version, &core->options.upstream,
                                   err));
    if (!SlName_IsEmpty(&run->msg.version) &&
        !SlAgent_HasLoaded(core->agent, &run->msg.version)) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_ADMIT, NULL,
                           "version \"%s\" is not loaded",
                           run->msg.version.text);
    }
    if (core->now_us >= run->deadline_us) {
        return SlError_Set(err, Sl_ERR_TIMEOUT, Sl_STEP_ADMIT, NULL,
                           "the deadline has passed");
    }
    return Sl_OK;
}

/* Copies the settings of the run's selector to the run. */
static void
copy_selector(const struct sl_core *core, struct sl_run *run)
{
    struct sl_request_attributes attributes = {run->msg.team, run->msg.session,
                                               run->msg.kind};
    const struct sl_selector *selector =
        SlConfig_FindSelector(core->config, &attributes);
    if (selector == NULL) {
        return;
    }
    run->priority = selector->priority;
    run->idempotent = selector->idempotent;
    run->keyed = !selector->idempotent && !SlName_IsEmpty(&run->msg.key);
}

/* ---- running ---- */

/* Sends a run to the upstream. */
static void
call_upstream(struct sl_core *core, struct sl_run *run)
{
    int64_t time_left_us = run->deadline_us - core->now_us;
    /* The agent waits for a run that is not idempotent past the run's
     * deadline, so that its outcome becomes known and is billed. */
    int64_t timeout_us = run->idempotent
                             ? MIN(time_left_us, Sl_CALL_STALL_TIMEOUT_US)
                             : Sl_CALL_STALL_TIMEOUT_US;
    struct sl_effect *effect = SlEffects_Add(core->effects, Sl_EFFECT_CALL);
    effect->u.call = (struct sl_effect_call){
        .token = run->token,
        .request = SlRequestId_Name(run->msg.id),
        .version = run->msg.version,
        .key = run->msg.key,
        .method = run->msg.method,
        .path = run->msg.path,
        .content_type = run->msg.content_type,
        .body = run->msg.body,
        .priority = Sl_PRIORITY_MAX - run->priority,
        .timeout_us = timeout_us,
        .idempotent = run->idempotent,
    };
    run->call_sent_us = core->now_us;
    core->agent->calls_in_flight++;
    SlCore_Increment(core, "runs.started");
}

/* Sends a run to the upstream after the last checks. If these fail, refuses
 * and removes the run, and returns false. */
static bool
begin_run(struct sl_core *core, struct sl_run *run)
{
    struct sl_error err = {0};
    enum sl_errno code = check_run(core, run, &err);
    run->queued = false;
    if (code == Sl_OK && run->keyed) {
        code = SlKeyedRuns_Begin(core, run, &err);
    }
    if (code != Sl_OK) {
        refuse(core, run, &err, 0);
        remove_run(core, run);
        return false;
    }
    call_upstream(core, run);
    return true;
}

void
SlRun_StartQueued(struct sl_core *core)
{
    struct sl_agent *agent = core->agent;
    struct sl_queue_item item;
    while (agent->calls_in_flight < SlLimit_Current(&agent->limit) &&
           SlQueue_PopUrgentFirst(agent->queue, core->now_us,
                                  Sl_URGENT_WINDOW_US, &item)) {
        struct sl_run *run = find_run(core, item.id);
        assert(run != NULL && run->queued);
        begin_run(core, run);
    }
}

static void
on_queue_deadline(void *context, uint64_t token, int64_t now_us)
{
    struct sl_core *core = context;
    struct sl_run *run = find_run(core, token);
    struct sl_error err;
    (void)now_us;
    if (run == NULL || !run->queued) {
        return;
    }
    SlQueue_Remove(core->agent->queue, token);
    SlError_Set(&err, Sl_ERR_TIMEOUT, "agent.queue", NULL,
                "the deadline passed in the queue");
    refuse(core, run, &err, 0);
    remove_run(core, run);
}

/* Makes room in a full queue: refuses a queued run of lower priority than
 * `item`, with the expected wait as its Retry-After. Returns false if there is
 * no such run. */
static bool
displace_queued_run(struct sl_core *core, const struct sl_queue_item *item,
                    const struct sl_admission_context *context)
{
    struct sl_queue *queue = core->agent->queue;
    struct sl_queue_item displaced;
    struct sl_error err;
    if (!SlQueue_Displace(queue, item, &displaced)) {
        return false;
    }
    struct sl_run *run = find_run(core, displaced.id);
    assert(run != NULL && run->queued);
    SlError_Set(&err, Sl_ERR_REFUSED, "agent.queue", NULL,
                "displaced from the queue by a higher priority");
    SlCore_Increment(core, "runs.displaced");
    refuse(core, run, &err,
           SlQueue_DecideAdmission(queue, &displaced, context).wait_us);
    remove_run(core, run);
    return true;
}

/* Queues the run if it is expected to finish by its deadline. Otherwise, or if
 * the queue is full, returns an error, with the Retry-After of the refusal in
 * `retry_after_us`. */
static enum sl_errno
enqueue(struct sl_core *core, struct sl_run *run, int64_t *retry_after_us,
        struct sl_error *err)
{
    const struct sl_agent *agent = core->agent;
    struct sl_queue_item item = {
        .id = run->token,
        .team = run->msg.team,
        .priority = run->priority,
        .deadline_us = run->deadline_us,
    };
    struct sl_admission_context context = {
        .now_us = core->now_us,
        .in_flight = agent->calls_in_flight,
        .limit = SlLimit_Current(&agent->limit),
        .service_time_us = agent->service_time_us,
    };
    struct sl_admission admission =
        SlQueue_DecideAdmission(agent->queue, &item, &context);
    *retry_after_us = admission.retry_after_us;
    if (!admission.admit) {
        return SlError_Set(err, Sl_ERR_REFUSED, "agent.queue", NULL,
                           "the deadline cannot be met: %" G_GINT64_FORMAT
                           " ms to wait",
                           (gint64)(admission.wait_us / Sl_US_PER_MS));
    }
    if (!SlQueue_Push(agent->queue, &item) &&
        !(displace_queued_run(core, &item, &context) &&
          SlQueue_Push(agent->queue, &item))) {
        return SlError_Set(err, Sl_ERR_REFUSED, "agent.queue", NULL,
                           "the queue is full");
    }
    run->queued = true;
    SlTimers_Add(core->timers, run->deadline_us, on_queue_deadline, core,
                 run->token);
    return Sl_OK;
}

/* Starts, queues or refuses a run that passed the checks. Takes ownership of
 * it. */
static void
admit_run(struct sl_core *core, struct sl_run *run)
{
    struct sl_agent *agent = core->agent;
    struct sl_error err = {0};
    int64_t retry_after_us = 0;
    if (agent->calls_in_flight < SlLimit_Current(&agent->limit) &&
        SlQueue_Length(agent->queue) == 0) {
        add_run(core, run);
        begin_run(core, run);
        return;
    }
    if (enqueue(core, run, &retry_after_us, &err) == Sl_OK) {
        add_run(core, run);
        SlCore_Increment(core, "runs.queued");
        return;
    }
    refuse(core, run, &err, retry_after_us);
    SlRun_Free(run);
}

/* Returns true if a keyed run may run here. Otherwise answers the entry by the
 * state of the run's key, frees the run, and returns false. */
static bool
check_key_or_answer(struct sl_core *core, struct sl_run *run)
{
    struct sl_key_response response;
    struct sl_error err = {0};
    switch (SlKeyedRuns_Check(core, run, &response, &err)) {
    case Sl_KEYED_RUN_ALLOWED:
        return true;
    case Sl_KEYED_RUN_DONE:
        replay(core, run, &response);
        break;
    case Sl_KEYED_RUN_INELIGIBLE:
        send_fail(core, run, Sl_OUTCOME_NOT_RUN, false, &err,
                  Sl_RETRY_AFTER_US);
        break;
    case Sl_KEYED_RUN_REFUSED:
        /* The key is marked as refused again, so that the refusal covers all
         * submissions accepted before now. */
        refuse(core, run, &err, 0);
        break;
    case Sl_KEYED_RUN_UNKNOWN:
        send_fail(core, run, Sl_OUTCOME_UNKNOWN, false, &err,
                  Sl_RETRY_AFTER_US);
        break;
    }
    SlRun_Free(run);
    return false;
}

void
SlRun_OnRun(struct sl_core *core, const struct sl_peer *peer,
            const struct sl_msg_run *msg)
{
    struct sl_error err = {0};
    /* The attempt was sent twice; its run is queued or running. */
    if (g_hash_table_lookup(core->agent->run_by_attempt, msg) != NULL) {
        SlCore_Increment(core, "runs.duplicate");
        return;
    }
    struct sl_run *run = new_run(core, peer, msg);
    SlCore_Increment(core, "runs");
    copy_selector(core, run);
    if (run->keyed && !check_key_or_answer(core, run)) {
        return;
    }
    if (check_run(core, run, &err) != Sl_OK) {
        refuse(core, run, &err, 0);
        SlRun_Free(run);
        return;
    }
    admit_run(core, run);
}

/* ---- responses of the upstream ---- */

void
SlRun_OnCallHead(struct sl_core *core, const struct sl_event *event)
{
    struct sl_run *run = find_run(core, event->u.call.token);
    if (run == NULL) {
        return;
    }
    run->head_sent = true;
    run->status = event->u.call.status;
    SlName_Set(&run->response_content_type, event->u.call.content_type);
    send_head(core, run, run->status, event->u.call.content_type);
}

void
SlRun_OnCallChunk(struct sl_core *core, const struct sl_event *event)
{
    struct sl_run *run = find_run(core, event->u.call.token);
    if (run == NULL) {
        return;
    }
    struct sl_str bytes = event->u.call.bytes;
    if (run->keyed &&
        run->response_body.len + bytes.len <= Sl_BODY_MAX_BYTES) {
        SlBuf_Append(&run->response_body, bytes);
    }
    /* The size of a frame is bounded, so larger chunks are split. */
    while (bytes.len > 0) {
        struct sl_str part = {bytes.ptr, MIN(bytes.len, Sl_BODY_MAX_BYTES)};
        send_chunk(core, run, run->response_bytes, part);
        run->response_bytes += part.len;
        bytes.ptr += part.len;
        bytes.len -= part.len;
    }
}

/* Adds the duration of a call to the exponential moving average. */
static void
update_service_time(struct sl_agent *agent, int64_t duration_us)
{
    if (agent->service_time_us == 0) {
        agent->service_time_us = duration_us;
        return;
    }
    double smoothed =
        (1 - Sl_SMOOTHING_WEIGHT) * (double)agent->service_time_us +
        Sl_SMOOTHING_WEIGHT * (double)duration_us;
    agent->service_time_us = (int64_t)smoothed;
}

static void
on_run_done(struct sl_core *core, struct sl_run *run, uint64_t tokens)
{
    struct sl_agent *agent = core->agent;
    int64_t duration_us = core->now_us - run->call_sent_us;
    SlLimit_OnSuccess(&agent->limit, duration_us, agent->calls_in_flight);
    update_service_time(agent, duration_us);
    agent->last_done_us = core->now_us;
    SlCore_Increment(core, "runs.done");
    if (!SlName_IsEmpty(&run->msg.version)) {
        struct sl_version_counts *counts =
            SlAgent_VersionCounts(agent, &run->msg.version);
        counts->done++;
        counts->latency_sum_us += duration_us;
    }
    /* HTTP errors are not billed. */
    if (run->status < Sl_HTTP_BAD_REQUEST) {
        SlReceipts_Add(core, run, tokens);
    }
    if (run->keyed) {
        SlKeyedRuns_OnDone(core, run, tokens);
    }
    send_end(core, run, run->response_bytes, tokens, false);
}

static void
on_run_failed(struct sl_core *core, struct sl_run *run,
              const struct sl_event *event)
{
    struct sl_agent *agent = core->agent;
    enum sl_errno code = event->err->code;
    /* The upstream was not reached, or refused the request before it began to
     * respond: it proved that it did not run the request. */
    bool not_run = !run->head_sent &&
                   (code == Sl_ERR_REFUSED || code == Sl_ERR_UNREACHABLE);
    if (code == Sl_ERR_LOST || code == Sl_ERR_UNREACHABLE) {
        /* The upstream has probably restarted and is cold. The next load
         * report, which would show that, may be half a second away. */
        SlLimit_EnterCold(&agent->limit);
    }
    else {
        SlLimit_OnFailure(&agent->limit);
    }
    if (!not_run && !SlName_IsEmpty(&run->msg.version)) {
        SlAgent_VersionCounts(agent, &run->msg.version)->failed++;
    }
    if (run->keyed && not_run) {
        SlKeyedRuns_OnNotRun(core, run);
    }
    else if (run->keyed) {
        SlKeyedRuns_OnUnknown(core, run);
    }
    if (not_run) {
        refuse(core, run, event->err, event->u.call.retry_after_us);
        return;
    }
    send_fail(core, run, Sl_OUTCOME_UNKNOWN, false, event->err,
              Sl_RETRY_AFTER_US);
}

void
SlRun_OnCallDone(struct sl_core *core, const struct sl_event *event)
{
    struct sl_run *run = find_run(core, event->u.call.token);
    if (run == NULL) {
        return;
    }
    assert(core->agent->calls_in_flight > 0);
    core->agent->calls_in_flight--;
    if (event->err == NULL) {
        on_run_done(core, run, event->u.call.tokens);
    }
    else {
        on_run_failed(core, run, event);
    }
    remove_run(core, run);
    SlRun_StartQueued(core);
}

/* ---- cancellation ---- */

/* Cancels a run whose response is not needed any more. A run that was sent to
 * the upstream and is not idempotent continues, so that its outcome becomes
 * known; the run's entry, if still connected, gets the result. */
static void
cancel_run(struct sl_core *core, struct sl_run *run)
{
    struct sl_agent *agent = core->agent;
    struct sl_error err;
    if (run->queued) {
        SlQueue_Remove(agent->queue, run->token);
        SlError_Set(&err, Sl_ERR_REFUSED, "agent.queue", NULL,
                    "cancelled before it ran");
        refuse(core, run, &err, 0);
        remove_run(core, run);
        return;
    }
    if (!run->idempotent) {
        return;
    }
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_CALL_CANCEL);
    effect->u.token = run->token;
    agent->calls_in_flight--;
    SlCore_Increment(core, "runs.cancelled");
    remove_run(core, run);
    SlRun_StartQueued(core);
}

void
SlRun_OnCancel(struct sl_core *core, const struct sl_msg_cancel *cancel)
{
    struct sl_msg_run wanted = {.id = cancel->id, .attempt = cancel->attempt};
    struct sl_run *run =
        g_hash_table_lookup(core->agent->run_by_attempt, &wanted);
    if (run != NULL) {
        cancel_run(core, run);
    }
}

void
SlRun_OnPeerDown(struct sl_core *core, struct sl_peer *peer)
{
    GArray *tokens = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->agent->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_run *run = value;
        if (run->peer_id == peer->id) {
            g_array_append_val(tokens, run->token);
        }
    }
    g_array_sort(tokens, SlCore_CompareIds);
    for (guint i = 0; i < tokens->len; i++) {
        struct sl_run *run =
            find_run(core, g_array_index(tokens, uint64_t, i));
        if (run != NULL) {
            run->peer_id = 0;
            cancel_run(core, run);
        }
    }
    g_array_free(tokens, TRUE);
}

/* ---- draining ---- */

/* Queued runs are certain not to have run, so the entry can still retry them
 * at another upstream. */
void
SlRun_RefuseQueued(struct sl_core *core)
{
    struct sl_queue_item item;
    struct sl_error err;
    SlError_Set(&err, Sl_ERR_REFUSED, "agent.drain", NULL,
                "the upstream is leaving");
    while (SlQueue_Pop(core->agent->queue, &item)) {
        struct sl_run *run = find_run(core, item.id);
        refuse(core, run, &err, 0);
        remove_run(core, run);
    }
}
