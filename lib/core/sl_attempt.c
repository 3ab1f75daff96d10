/* Attempts of a request at agents, one at a time.
 *
 * After a failed attempt, a request is retried only if the agent proved that
 * the attempt did not run, or if the request is idempotent. Otherwise its
 * client gets an error at once. A request with an idempotency key that is not
 * idempotent is never retried here, because only one agent may run it; its
 * client submits the key again. */
#include "sl_entry_internal.h"

#include <string.h>

/* Shortest wait before the next attempt of a request that may wait, when no
 * upstream can take the request now. */
#define Sl_RETRY_WAIT_US (200 * Sl_US_PER_MS)
/* Bytes of a streamed answer that are kept for rating, in whole chunks. */
#define Sl_RATED_MAX_BYTES ((size_t)65536)
#define Sl_HTTP_BAD_REQUEST 400
#define Sl_HTTP_BAD_GATEWAY 502
#define Sl_HTTP_UNAVAILABLE 503
#define Sl_HTTP_GATEWAY_TIMEOUT 504

/* ---- attempts ---- */

/* The version of the current step; empty for plain services. */
static struct sl_name
step_version(const struct sl_request *request)
{
    struct sl_name none = {0};
    return request->step < request->step_count ? request->steps[request->step]
                                               : none;
}

bool
SlAttempt_IsLastStep(const struct sl_request *request)
{
    return request->pinned || request->step + 1 >= request->step_count;
}

/* Sends the current attempt to its agent. */
static void
send_run(struct sl_core *core, struct sl_request *request,
         struct sl_peer *peer)
{
    struct sl_msg msg = {.type = Sl_MSG_RUN};
    msg.u.run = (struct sl_msg_run){
        .id = {core->options.boot, request->seq},
        .attempt = request->attempt,
        .team = request->attributes.team,
        .session = request->attributes.session,
        .kind = request->attributes.kind,
        .version = step_version(request),
        .key = request->key,
        .bill = request->bill,
        .method = SlBuf_Str(&request->method),
        .path = SlBuf_Str(&request->path),
        .content_type = SlBuf_Str(&request->content_type),
        .body = SlBuf_Str(&request->body),
        .issued_ms = request->issued_ms,
        .time_left_us = SlRequest_TimeLeftUs(core, request),
        .accepted_ms = request->accepted_ms,
    };
    SlCore_Send(core, peer, &msg);
}

static void
start_attempt(struct sl_core *core, struct sl_request *request,
              struct sl_peer *peer)
{
    request->attempt++;
    request->state = Sl_REQUEST_RUNNING;
    request->peer_id = peer->id;
    request->upstream = peer->vm.upstream;
    request->received_bytes = 0;
    request->is_streamed = request->engine && SlAttempt_IsLastStep(request);
    SlBuf_Clear(&request->response.body);
    request->response.status = 0;
    request->response.version = step_version(request);
    peer->local_in_flight++;
    peer->local_since_report++;
    SlCore_Increment(core, "attempts");
    send_run(core, request, peer);
}

static void
on_retry_due(void *context, uint64_t seq, int64_t now_us)
{
    struct sl_core *core = context;
    struct sl_request *request = SlEntry_Find(core, seq);
    (void)now_us;
    if (request != NULL && request->state == Sl_REQUEST_WAITING) {
        request->retry_timer = 0;
        /* After a wait, upstreams that failed may be tried again. */
        request->tried_count = 0;
        SlAttempt_Start(core, request);
    }
}

/* Returns true if the request may wait, and if it will still have time for an
 * attempt after that. */
static bool
can_wait(const struct sl_core *core, const struct sl_request *request,
         int64_t wait_us)
{
    return request->may_wait && SlRequest_TimeLeftUs(core, request) > wait_us;
}

/* Starts the next attempt after `wait_us`, lengthened or shortened by up to a
 * quarter, so that waiting requests do not retry all at once. */
static void
wait_before_retry(struct sl_core *core, struct sl_request *request,
                  int64_t wait_us)
{
    double jitter = 0.75 + 0.5 * SlRandom_Unit(&core->random);
    request->state = Sl_REQUEST_WAITING;
    request->retry_timer = SlCore_SetTimer(
        core, (int64_t)((double)wait_us * jitter), on_retry_due, request->seq);
    SlCore_Increment(core, "requests.deferred");
}

void
SlAttempt_Start(struct sl_core *core, struct sl_request *request)
{
    struct sl_error err = {0};
    struct sl_peer *peer = NULL;
    if (SlLogFollower_CheckFresh(core, &err) == Sl_OK) {
        peer = SlPlan_ChooseUpstream(core, request, &err);
    }
    if (peer != NULL) {
        start_attempt(core, request, peer);
        return;
    }
    if (can_wait(core, request, Sl_RETRY_WAIT_US)) {
        wait_before_retry(core, request, Sl_RETRY_WAIT_US);
        return;
    }
    SlRequest_GiveUp(core, request, Sl_HTTP_UNAVAILABLE, Sl_OUTCOME_NOT_RUN,
                     Sl_RETRY_AFTER_US, &err);
}

/* Excludes the upstream of the current attempt from the next ones. */
static void
add_tried_upstream(struct sl_request *request)
{
    if (request->tried_count < Sl_MAX_TRIED_UPSTREAMS) {
        request->tried_upstreams[request->tried_count++] = request->upstream;
    }
}

void
SlAttempt_HandleFailure(struct sl_core *core, struct sl_request *request,
                        enum sl_outcome outcome, int64_t retry_after_us,
                        const struct sl_error *err)
{
    bool safe_to_retry = outcome == Sl_OUTCOME_NOT_RUN || request->idempotent;
    SlRequest_ReleasePeer(core, request);
    add_tried_upstream(request);
    request->may_have_run |= outcome != Sl_OUTCOME_NOT_RUN;
    if (request->conn == 0) {
        SlRequest_Finish(core, request);
        return;
    }
    if (!request->head_sent && safe_to_retry && !SlRequest_IsKeyed(request) &&
        SlRequest_TimeLeftUs(core, request) > 0) {
        /* At once at another upstream, if the retry budget allows that. */
        if (request->tried_count < Sl_MAX_TRIED_UPSTREAMS &&
            SlTokenBucket_Take(&core->entry->retry_budget)) {
            SlCore_Increment(core, "retries");
            SlAttempt_Start(core, request);
            return;
        }
        int64_t wait_us = MAX(retry_after_us, Sl_RETRY_WAIT_US);
        if (can_wait(core, request, wait_us)) {
            wait_before_retry(core, request, wait_us);
            return;
        }
    }
    SlRequest_GiveUp(core, request,
                     outcome == Sl_OUTCOME_NOT_RUN ? Sl_HTTP_UNAVAILABLE
                                                   : Sl_HTTP_BAD_GATEWAY,
                     outcome, MAX(retry_after_us, Sl_RETRY_AFTER_US), err);
}

void
SlAttempt_Cancel(struct sl_core *core, struct sl_request *request)
{
    struct sl_peer *peer = SlMembership_PeerById(core, request->peer_id);
    if (peer == NULL || !SlPeer_IsUp(peer)) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_CANCEL};
    msg.u.cancel.id = (struct sl_request_id){core->options.boot, request->seq};
    msg.u.cancel.attempt = request->attempt;
    SlCore_Send(core, peer, &msg);
}

void
SlAttempt_Abandon(struct sl_core *core, struct sl_request *request)
{
    SlRequest_DetachClient(core, request);
    if (request->state == Sl_REQUEST_RUNNING) {
        SlAttempt_Cancel(core, request);
        if (!request->idempotent) {
            return;
        }
    }
    SlRequest_Finish(core, request);
}

void
SlAttempt_OnDeadline(void *context, uint64_t seq, int64_t now_us)
{
    struct sl_core *core = context;
    struct sl_request *request = SlEntry_Find(core, seq);
    struct sl_error err;
    (void)now_us;
    if (request == NULL) {
        return;
    }
    request->deadline_timer = 0;
    bool is_running = request->state == Sl_REQUEST_RUNNING;
    SlError_Set(&err, Sl_ERR_TIMEOUT, "entry.deadline",
                is_running ? request->upstream.text : NULL,
                "the deadline passed before the answer ended");
    SlCore_Increment(core, "requests.deadline");
    /* An answer without a rating is better than none. */
    if (request->state == Sl_REQUEST_RATING) {
        SlRequest_RespondWhole(core, request, &request->response);
        return;
    }
    /* GiveUp sends the fallback, so the error's status is not used. */
    if (request->has_fallback && !request->head_sent && request->conn != 0) {
        SlAttempt_Cancel(core, request);
        SlRequest_GiveUp(core, request, 0, Sl_OUTCOME_UNKNOWN, 0, &err);
        return;
    }
    SlRequest_RespondError(core, request, Sl_HTTP_GATEWAY_TIMEOUT,
                           is_running || SlRequest_IsKeyed(request)
                               ? Sl_OUTCOME_UNKNOWN
                               : Sl_OUTCOME_NOT_RUN,
                           Sl_RETRY_AFTER_US, &err);
    SlAttempt_Abandon(core, request);
}

/* ---- messages of agents ---- */

/* Finds the request whose current attempt an agent's message belongs to.
 * Returns NULL, and counts the message, if it belongs to an earlier attempt,
 * an ended request or another process. */
static struct sl_request *
find_request(struct sl_core *core, const struct sl_peer *peer,
             struct sl_request_id id, uint64_t attempt)
{
    struct sl_request *request =
        id.boot == core->options.boot ? SlEntry_Find(core, id.seq) : NULL;
    if (request == NULL || request->state != Sl_REQUEST_RUNNING ||
        request->attempt != attempt || request->peer_id != peer->id) {
        SlCore_Increment(core, "answers.late_or_crossed");
        return NULL;
    }
    return request;
}

void
SlAttempt_OnHead(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_head *head)
{
    struct sl_request *request =
        find_request(core, peer, head->id, head->attempt);
    if (request == NULL) {
        return;
    }
    request->response.status = head->status;
    SlName_Set(&request->response.content_type, head->content_type);
}

/* Sends the head of a streamed response, if it was not sent yet. It is sent
 * together with the first bytes of the body: an engine sends its head long
 * before the body, and until something was sent to the client, the request can
 * still be retried at another upstream. */
static void
ensure_head_sent(struct sl_core *core, struct sl_request *request)
{
    if (!request->head_sent) {
        SlRequest_SendHead(core, request, request->response.status,
                           SlName_Str(&request->response.content_type),
                           &request->response.version);
    }
}

/* Cancels an attempt whose answer has a gap, is incomplete or is too large,
 * and handles it as failed; `reason` is the error message. What was received
 * of the answer is not used any more. */
static void
fail_broken_response(struct sl_core *core, struct sl_request *request,
                     const char *reason)
{
    struct sl_error err;
    SlError_Set(&err, Sl_ERR_LOST, "entry.answer", request->upstream.text,
                "%s", reason);
    SlCore_Increment(core, "answers.broken");
    SlAttempt_Cancel(core, request);
    SlAttempt_HandleFailure(core, request, Sl_OUTCOME_UNKNOWN, 0, &err);
}

void
SlAttempt_OnChunk(struct sl_core *core, const struct sl_peer *peer,
                  const struct sl_msg_chunk *chunk)
{
    struct sl_request *request =
        find_request(core, peer, chunk->id, chunk->attempt);
    if (request == NULL) {
        return;
    }
    if (chunk->position != request->received_bytes ||
        request->response.status == 0) {
        fail_broken_response(core, request,
                             "a chunk of the answer is missing");
        return;
    }
    request->received_bytes += chunk->bytes.len;
    if (request->is_streamed && request->conn != 0) {
        ensure_head_sent(core, request);
        SlRequest_SendBytes(core, request->conn, chunk->bytes);
    }
    size_t max_bytes =
        request->is_streamed ? Sl_RATED_MAX_BYTES : Sl_BODY_MAX_BYTES;
    if (request->response.body.len + chunk->bytes.len <= max_bytes) {
        SlBuf_Append(&request->response.body, chunk->bytes);
        return;
    }
    /* Of a streamed answer, only what is rated is kept. */
    if (!request->is_streamed) {
        fail_broken_response(core, request, "the answer is too large");
    }
}

/* Adds a step that ran to completion to the request's bill, unless the step's
 * answer is an HTTP error. */
static void
add_to_bill(struct sl_core *core, struct sl_request *request, uint64_t tokens)
{
    const struct sl_version *version =
        SlConfig_FindVersion(core->config, &request->response.version);
    if (request->response.status >= Sl_HTTP_BAD_REQUEST) {
        return;
    }
    request->has_run = true;
    request->tokens += tokens;
    request->cost_micros += version == NULL ? 0 : version->cost_micros;
    request->billed_version = request->response.version;
    request->billed_upstream = request->upstream;
    if (request->holder_count < Sl_MAX_RECEIPT_HOLDERS) {
        request->holders[request->holder_count++] = request->upstream;
    }
}

void
SlAttempt_OnEnd(struct sl_core *core, const struct sl_peer *peer,
                const struct sl_msg_end *end)
{
    struct sl_request *request =
        find_request(core, peer, end->id, end->attempt);
    if (request == NULL) {
        return;
    }
    if (end->length != request->received_bytes ||
        request->response.status == 0) {
        fail_broken_response(core, request, "the answer is incomplete");
        return;
    }
    add_to_bill(core, request, end->tokens);
    SlRequest_ReleasePeer(core, request);
    if (request->is_streamed) {
        if (request->conn != 0) {
            ensure_head_sent(core, request);
            SlRequest_SendEnd(core, request->conn);
            SlCore_Increment(core, "answers.ran");
        }
        SlRatings_RequestInBackground(core, request);
        SlRequest_Finish(core, request);
        return;
    }
    if (!SlAttempt_IsLastStep(request) &&
        SlRatings_IsPossible(core, request)) {
        request->state = Sl_REQUEST_RATING;
        request->rate_token = SlRatings_Request(core, request);
        return;
    }
    SlRequest_RespondWhole(core, request, &request->response);
}

void
SlAttempt_OnFail(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_fail *fail)
{
    struct sl_request *request =
        find_request(core, peer, fail->id, fail->attempt);
    struct sl_error err;
    if (request == NULL) {
        return;
    }
    SlError_Set(&err, (enum sl_errno)fail->code, fail->step.text,
                peer->vm.upstream.text, "%.*s", (int)fail->text.len,
                fail->text.ptr);
    request->key_not_run = fail->covers_key;
    SlCore_Increment(core, fail->outcome == Sl_OUTCOME_NOT_RUN
                               ? "attempts.not_run"
                               : "attempts.unknown");
    SlAttempt_HandleFailure(core, request, (enum sl_outcome)fail->outcome,
                            fail->retry_after_us, &err);
}
