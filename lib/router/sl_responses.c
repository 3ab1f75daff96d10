/* Handles the responses of upstreams: forwards them to clients, updates
 * estimates and roll-out evidence, escalates to a larger model, or retries at
 * another upstream. */
#include "sl_router_internal.h"

/* Largest body of a response that is no stream. Such a response is buffered
 * until its end. */
#define Sl_MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)
/* Largest event of a stream. An event holds a few tokens; one that exceeds
 * this bound would never end. */
#define Sl_MAX_EVENT_BYTES ((size_t)256 * 1024)

/* Returns the request of the call; NULL if the call is over. */
static struct sl_routed_request *
request_of(const struct sl_router *router, uint64_t token)
{
    return g_hash_table_lookup(router->requests_by_token, &token);
}

/* ---- heads ---- */

static bool
is_stream(const struct sl_routed_request *request)
{
    return request->route->kind == Sl_ROUTE_STREAM;
}

/* Returns true for a success response that the upstream itself has produced,
 * as its stamp shows. */
static bool
is_success(const struct sl_response_head *head)
{
    return head->status >= 200 && head->status < 300 && head->is_stamped;
}

/* Returns true for a success response without the upstream's stamp: something
 * else has produced it, such as a proxy. */
static bool
is_unstamped_success(const struct sl_response_head *head)
{
    return head->status >= 200 && head->status < 300 && !head->is_stamped;
}

/* Returns true if the response of the request's call is a success that may go
 * to the client: a stream that has begun goes on with events only. */
static bool
is_usable_success(const struct sl_routed_request *request)
{
    const struct sl_response_head *head = &request->upstream_call.head;
    return is_success(head) &&
           (request->state != Sl_ROUTED_REQUEST_RESPONDING ||
            !request->began_with_events || head->is_events);
}

/* Records that bytes of the response have arrived. */
static void
note_bytes(struct sl_router *router, struct sl_upstream_call *call)
{
    call->upstream->last_bytes_us = router->now_us;
    router->last_bytes_us = router->now_us;
}

/* Records progress of the response: its head, a whole event, or bytes of a
 * body that is no stream. */
static void
note_progress(struct sl_router *router, struct sl_upstream_call *call)
{
    call->progress_us = router->now_us;
}

/* Time after its head for which a response must go on to count as begun. */
#define Sl_BEGUN_AFTER_US (250 * Sl_US_PER_MS)

/* Records that the prompt does not end its engine, once the response has gone
 * on for long enough or is complete. */
static void
note_begun(struct sl_router *router, struct sl_routed_request *request,
           bool is_complete)
{
    struct sl_upstream_call *call = &request->upstream_call;
    if (!call->has_begun && is_success(&call->head) &&
        (is_complete || router->now_us - call->head_us >= Sl_BEGUN_AFTER_US)) {
        call->has_begun = true;
        request->is_suspect = false;
        SlUpstreams_OnCallCleared(call->upstream, call);
        SlPromptGuard_OnBegun(router, request);
    }
}

/* Returns the usual time to the head of the response. Returns 0 if it is not
 * known, or if the upstream's load or cold start influences this response. */
static int64_t
usual_time_us(const struct sl_router *router,
              const struct sl_routed_request *request)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (request->service->is_engine) {
        return call->was_idle ? call->expected_us : 0;
    }
    return call->was_cold
               ? 0
               : SlLatency_RouteHeadUs(router, &request->route->name);
}

static void
log_head(struct sl_router *router, const struct sl_routed_request *request,
         int64_t usual_us)
{
    const struct sl_response_head *head = &request->upstream_call.head;
    SlLogLine_BeginFor(router, "head", request);
    SlLogLine_Name(router, "upstream",
                   &request->upstream_call.upstream->registration.id);
    SlLogLine_Int(router, "status", head->status);
    SlLogLine_Int(router, "confidence", head->confidence);
    SlLogLine_Int(router, "not_executed", head->not_executed);
    SlLogLine_Int(router, "stamped", head->is_stamped);
    SlLogLine_Int(router, "running", head->has_load ? head->running : -1);
    SlLogLine_Int(router, "waiting", head->has_load ? head->waiting : -1);
    SlLogLine_Int(router, "after_ms",
                  (router->now_us - request->upstream_call.sent_us) /
                      Sl_US_PER_MS);
    SlLogLine_Int(router, "usual_ms",
                  usual_us > 0 ? usual_us / Sl_US_PER_MS : -1);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Updates the usual time to the head of responses: of the model if the
 * upstream is an engine, else of the route. During a roll-out, only baseline
 * versions count: a slower target would pass as usual. */
static void
learn_usual_time(struct sl_router *router,
                 const struct sl_routed_request *request, int64_t took_us)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    int64_t usual_us = SlUpstreamPace_UsualUs(call, took_us);
    if (!call->at_baseline &&
        SlRollouts_IsRunning(router, &request->service->name)) {
        return;
    }
    if (request->service->is_engine && call->was_idle) {
        struct sl_name model = {0};
        (void)SlName_Set(&model, SlRoutedRequest_Model(request));
        SlLatency_LearnPrefill(router, &model, call->uncached_tokens,
                               usual_us);
        SlKeptParts_OnBegun(router, request, usual_us);
    }
    if (!request->service->is_engine && !call->was_cold) {
        SlLatency_LearnRouteHead(router, &request->route->name, usual_us);
    }
}

/* Compares the time to the head of the response with the one that the
 * placement expected. */
static void
learn_first_event(struct sl_router *router,
                  const struct sl_routed_request *request, int64_t took_us)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (request->service->is_engine && call->was_idle && !call->was_cold) {
        struct sl_name model = {0};
        (void)SlName_Set(&model, SlRoutedRequest_Model(request));
        SlLatency_LearnFirstEvent(router, &model, call->uncached_tokens,
                                  call->first_event_us, took_us);
    }
}

/* Updates latency estimates and roll-out evidence with the head of a response,
 * unless the upstream did not produce it by running the request. */
static void
learn_from_head(struct sl_router *router, struct sl_routed_request *request,
                int64_t usual_us)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    int64_t took_us = router->now_us - call->sent_us;
    if (call->head.not_executed || call->head.wrong_instance ||
        !call->head.is_stamped) {
        return;
    }
    bool failed = call->head.status >= 500;
    /* A version is not to blame for the machines that it runs on. */
    struct sl_response_evidence response = {
        failed, SlUpstreamPace_UsualUs(call, took_us), usual_us};
    SlRollouts_OnResponse(router, request, &response);
    if (!failed) {
        learn_usual_time(router, request, took_us);
    }
    if (is_success(&call->head)) {
        learn_first_event(router, request, took_us);
        SlUpstreamPace_OnMeasured(router, call, usual_us, took_us);
    }
}

/* Decides whether to discard the response, so that a larger model responds
 * instead. If so, takes a retry from the budget and returns true. */
static bool
decide_escalation(struct sl_router *router,
                  const struct sl_routed_request *request)
{
    const struct sl_response_head *head = &request->upstream_call.head;
    return SlStr_Equal(request->incoming.model, Sl_STR("*")) &&
           is_success(head) &&
           request->state != Sl_ROUTED_REQUEST_RESPONDING &&
           request->model + 1 < request->route->model_count &&
           !SlModelCascade_Accepts(router, request, head->confidence) &&
           request->possible_runs + 1 < request->route->max_attempts &&
           SlRetryBudget_Take(router, &request->service->name,
                              Sl_RETRY_LOW_CONFIDENCE);
}

/* Abandons the call, and queues the request for a larger model. */
static void
escalate(struct sl_router *router, struct sl_routed_request *request)
{
    int confidence = request->upstream_call.head.confidence;
    size_t next = SlModelCascade_Next(router, request, confidence);
    SlRouterMetrics_OnLowConfidence(router, request);
    SlLogLine_BeginFor(router, "answer_doubted", request);
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(request));
    SlLogLine_Int(router, "confidence", confidence);
    SlLogLine_Name(router, "next_model", &request->route->models[next]);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlUpstreamCall_Cancel(router, request);
    request->possible_runs++;
    request->escalated_model = request->model;
    request->escalated_confidence = confidence;
    request->model = next;
    SlRequestQueue_Add(router, request);
}

void
SlResponses_OnHead(struct sl_router *router, uint64_t token,
                   const struct sl_response_head *head)
{
    struct sl_routed_request *request = request_of(router, token);
    if (request == NULL) {
        return;
    }
    struct sl_upstream_call *call = &request->upstream_call;
    call->has_head = true;
    call->head_us = router->now_us;
    request->reached_upstream = true;
    note_bytes(router, call);
    note_progress(router, call);
    call->upstream->newest_answered_sent_us =
        MAX(call->upstream->newest_answered_sent_us, call->sent_us);
    call->head = *head;
    SlBuf_Clear(&call->headers);
    SlBuf_Append(&call->headers, head->headers);
    call->head.headers = SlBuf_Str(&call->headers);
    SlUpstreams_OnReportedLoad(router, call->upstream, head);
    SlUpstreamNotices_OnHead(router, call->upstream, head);
    SlUpstreamLimits_OnHead(router, call, head);
    SlUpstreams_OnPrefillDone(router, call->upstream, call);
    int64_t usual_us = usual_time_us(router, request);
    log_head(router, request, usual_us);
    learn_from_head(router, request, usual_us);
    SlModelCascade_Learn(router, request, head->confidence);
    if (decide_escalation(router, request)) {
        escalate(router, request);
    }
}

/* Counts, and logs once for a request, that its upstream sent an event again
 * that the client has, although the stream was not resumed. */
static void
note_repeat(struct sl_router *router, struct sl_routed_request *request,
            struct sl_str id)
{
    if (request->possible_runs > 0 || request->incoming.last_event.len > 0) {
        return;
    }
    SlRouterMetrics_OnEventRepeated(router, &request->service->name);
    if (request->repeat_logged) {
        return;
    }
    request->repeat_logged = true;
    SlLogLine_BeginFor(router, "event_repeated", request);
    SlLogLine_Name(router, "upstream",
                   &request->upstream_call.upstream->registration.id);
    SlLogLine_EventId(router, "id", id);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_End(router, Sl_LOG_WARN);
}

/* Records the id of an event that is forwarded. After an id that cannot be
 * sent in a request, no upstream can resume the stream. */
static void
set_last_event(struct sl_router *router, struct sl_routed_request *request,
               struct sl_str id)
{
    if (SlEventId_IsSendable(id)) {
        SlBuf_Clear(&request->last_event);
        SlBuf_Append(&request->last_event, id);
    }
    else if (request->is_retryable) {
        request->is_retryable = false;
        SlLogLine_BeginFor(router, "event_id_unusable", request);
        SlLogLine_Name(router, "upstream",
                       &request->upstream_call.upstream->registration.id);
        SlLogLine_Int(router, "bytes", (int64_t)id.len);
        SlLogLine_End(router, Sl_LOG_WARN);
    }
}

/* Forwards the stream's whole events to the client, but for those that the
 * client has from an earlier attempt. */
static void
forward_events(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_upstream_call *call = &request->upstream_call;
    struct sl_str event;
    struct sl_str id;
    size_t offset = 0;
    while (SlEventSplitter_Next(&call->events, &offset, &event, &id)) {
        note_progress(router, call);
        note_begun(router, request, false);
        if (call->has_event) {
            call->upstream->later_event_us = router->now_us;
        }
        call->has_event = true;
        if (id.len > 0 && request->last_event.len > 0 &&
            SlEventId_IsAtMost(id, SlBuf_Str(&request->last_event))) {
            note_repeat(router, request, id);
            continue; /* the client has this event already */
        }
        SlRouterMetrics_OnEvent(
            router, request, request->state != Sl_ROUTED_REQUEST_RESPONDING);
        request->forwarded_us = router->now_us;
        if (request->state != Sl_ROUTED_REQUEST_RESPONDING) {
            request->state = Sl_ROUTED_REQUEST_RESPONDING;
            request->began_with_events = call->head.is_events;
            struct sl_router_effect *begin =
                SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY_BEGIN);
            begin->u.reply.conn = request->conn;
            begin->u.reply.status = call->head.status;
            begin->u.reply.headers = call->head.headers;
        }
        struct sl_router_effect *send =
            SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY_CHUNK);
        send->u.chunk.conn = request->conn;
        send->u.chunk.token = call->token;
        send->u.chunk.bytes = event;
        if (id.len > 0) {
            set_last_event(router, request, id);
        }
    }
    call->processed_bytes = offset;
}

/* Returns the number of bytes of the response that were not forwarded yet. */
static size_t
count_buffered(const struct sl_upstream_call *call)
{
    return call->body.len + call->events.pending.len - call->processed_bytes;
}

/* Updates the call's part of the router's sum of buffered bytes. */
static void
update_buffered(struct sl_router *router, struct sl_upstream_call *call)
{
    router->buffered_bytes -= call->buffered_bytes;
    call->buffered_bytes = count_buffered(call);
    router->buffered_bytes += call->buffered_bytes;
}

/* Returns the request with the most buffered bytes; `request` if no other has
 * more. */
static struct sl_routed_request *
find_most_buffered(const struct sl_router *router,
                   struct sl_routed_request *request)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *other = value;
        if (other->upstream_call.buffered_bytes >
            request->upstream_call.buffered_bytes) {
            request = other;
        }
    }
    return request;
}

/* Abandons a call whose response exceeds a bound. Retries the request, or ends
 * it with an error response. */
static void
on_too_large(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_router_upstream *upstream = request->upstream_call.upstream;
    SlLogLine_BeginFor(router, "answer_too_large", request);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "bytes",
                  (int64_t)request->upstream_call.buffered_bytes);
    SlLogLine_Int(router, "all_bytes", (int64_t)router->buffered_bytes);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_End(router, Sl_LOG_WARN);
    SlRouterMetrics_OnCallFailed(router, request, "too_large");
    SlUpstreams_OnFailure(router, upstream);
    SlRoutedRequest_MarkTried(request, upstream);
    SlUpstreamCall_Cancel(router, request);
    SlRoutedRequest_RetryOrFail(router, request, true, "upstream.answer",
                                "the answer is too large");
}

void
SlResponses_OnChunk(struct sl_router *router, uint64_t token,
                    struct sl_str bytes)
{
    struct sl_routed_request *request = request_of(router, token);
    if (request == NULL) {
        return;
    }
    struct sl_upstream_call *call = &request->upstream_call;
    note_bytes(router, call);
    bool is_forwarded = is_stream(request) && is_usable_success(request);
    if (is_forwarded) {
        /* Effects of earlier events that point to these bytes are done. */
        SlEventSplitter_Consume(&call->events, call->processed_bytes);
        call->processed_bytes = 0;
        SlEventSplitter_Append(&call->events, bytes);
        forward_events(router, request);
    }
    else {
        note_progress(router, call);
        note_begun(router, request, false);
        SlBuf_Append(&call->body, bytes);
    }
    update_buffered(router, call);
    size_t max_bytes = router->options.max_buffered_bytes;
    if (call->buffered_bytes >
        (is_forwarded ? Sl_MAX_EVENT_BYTES : Sl_MAX_BODY_BYTES)) {
        on_too_large(router, request);
    }
    else if (max_bytes > 0 && router->buffered_bytes > max_bytes) {
        on_too_large(router, find_most_buffered(router, request));
    }
}

void
SlResponses_OnPaused(struct sl_router *router, uint64_t token, bool is_paused)
{
    struct sl_routed_request *request = request_of(router, token);
    if (request == NULL) {
        return;
    }
    request->upstream_call.is_paused = is_paused;
    note_progress(router, &request->upstream_call);
    SlLogLine_BeginFor(router, is_paused ? "client_slow" : "client_caught_up",
                       request);
    SlLogLine_Name(router, "upstream",
                   &request->upstream_call.upstream->registration.id);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Ends the request with the response of its last call, which is complete: ends
 * the stream, or sends the buffered response. */
static void
finish(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_upstream_call *call = &request->upstream_call;
    SlLogLine_BeginLast(router, "answered", request, call->head.status >= 400);
    SlLogLine_Int(router, "status", call->head.status);
    SlLogLine_C(router, "outcome", "ran");
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(request));
    SlLogLine_Int(router, "confidence", call->head.confidence);
    SlLogLine_Int(router, "runs", request->possible_runs + 1);
    SlLogLine_Int(router, "took_ms",
                  (router->now_us - request->arrived_us) / Sl_US_PER_MS);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnEnd(router, request->route, "passed",
                          router->now_us - request->arrived_us);
    if (request->state == Sl_ROUTED_REQUEST_RESPONDING) {
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY_END)->u.conn =
            request->conn;
    }
    else {
        struct sl_router_effect *effect =
            SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY);
        effect->u.reply.conn = request->conn;
        effect->u.reply.status = call->head.status;
        effect->u.reply.headers = call->head.headers;
        effect->u.reply.body = SlBuf_Str(&call->body);
    }
    SlRoutedRequest_Finish(router, request);
}

static void
log_failed_call(struct sl_router *router,
                const struct sl_routed_request *request,
                const struct sl_router_upstream *upstream,
                const struct sl_error *err)
{
    SlLogLine_BeginFor(router, "attempt_failed", request);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Error(router, err);
    SlLogLine_Int(router, "after_ms",
                  (router->now_us - request->upstream_call.sent_us) /
                      Sl_US_PER_MS);
    SlLogLine_Int(router, "begun", request->upstream_call.has_begun);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Handles a call that failed before its response was complete. Retries the
 * request, or ends it with an error response. */
static void
on_failed(struct sl_router *router, struct sl_routed_request *request,
          const struct sl_error *err, bool connected)
{
    struct sl_router_upstream *upstream = request->upstream_call.upstream;
    log_failed_call(router, request, upstream, err);
    SlRouterMetrics_OnCallFailed(router, request,
                                 connected ? "broken" : "unreachable");
    request->reached_upstream = request->reached_upstream || connected;
    SlUpstreams_OnFailure(router, upstream);
    if (connected) {
        SlEngineEnds_OnCallBroken(router, request);
        SlPromptGuard_OnCallBroken(router, request);
    }
    SlRoutedRequest_MarkTried(request, upstream);
    SlUpstreamCall_Detach(router, request);
    SlRoutedRequest_RetryOrFail(router, request, connected, "upstream.call",
                                connected
                                    ? "the connection to the upstream broke"
                                    : "the upstream cannot be reached");
}

/* Handles a response that states that the request did not run. Retries the
 * request, or ends it with an error response. */
static void
on_not_executed(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_router_upstream *upstream = request->upstream_call.upstream;
    bool is_replaced = request->upstream_call.head.wrong_instance;
    SlRouterMetrics_OnCallFailed(router, request,
                                 is_replaced ? "replaced" : "refused");
    if (is_replaced) {
        SlUpstreams_OnReplaced(router, upstream);
    }
    else {
        SlUpstreams_OnRefused(router, upstream);
    }
    SlRoutedRequest_MarkTried(request, upstream);
    SlUpstreamCall_Detach(router, request);
    SlRoutedRequest_RetryOrFail(router, request, false, "upstream.call",
                                "the upstreams are full");
}

/* Returns true if the response is a stream that ends inside an event: it has
 * been broken off, although its message is complete. */
static bool
ends_inside_event(const struct sl_routed_request *request)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (!is_stream(request) || !is_usable_success(request)) {
        return false;
    }
    const struct sl_buf *pending = &call->events.pending;
    for (size_t i = call->processed_bytes; i < pending->len; i++) {
        if (pending->ptr[i] != '\n' && pending->ptr[i] != '\r') {
            return true;
        }
    }
    return false;
}

void
SlResponses_OnDone(struct sl_router *router, uint64_t token,
                   const struct sl_error *err, bool connected)
{
    struct sl_routed_request *request = request_of(router, token);
    struct sl_error broken;
    if (request == NULL) {
        return;
    }
    const struct sl_response_head *head = &request->upstream_call.head;
    if (err == NULL && ends_inside_event(request)) {
        (void)SlError_Set(&broken, Sl_ERR_LOST, "upstream.answer", "",
                          "the stream ends inside an event");
        err = &broken;
        connected = true;
    }
    if (err != NULL) {
        on_failed(router, request, err, connected);
        return;
    }
    if (head->not_executed || head->wrong_instance) {
        on_not_executed(router, request);
        return;
    }
    request->is_suspect =
        false; /* the engine has answered, if with an error */
    if (is_usable_success(request) ||
        (!is_unstamped_success(head) && head->status < 500 &&
         request->state != Sl_ROUTED_REQUEST_RESPONDING)) {
        SlUpstreams_OnSuccess(router, request->upstream_call.upstream,
                              request->service->cold_start_us);
        int64_t took_us = router->now_us - request->upstream_call.sent_us;
        SlLatency_LearnRun(router, &request->service->name, took_us);
        SlUpstreamPace_LearnRun(router, request, took_us);
        SlAdmissionControl_OnRan(router, request);
        note_begun(router, request, true);
        SlUpstreamCall_Detach(router, request);
        finish(router, request);
        return;
    }
    /* The upstream failed, or something else has responded in its place: the
     * request may have run. */
    SlRouterMetrics_OnCallFailed(router, request, "error");
    SlRoutedRequest_MarkTried(request, request->upstream_call.upstream);
    SlUpstreamCall_Detach(router, request);
    if (is_unstamped_success(head) ||
        request->state == Sl_ROUTED_REQUEST_RESPONDING) {
        SlRoutedRequest_RetryOrFail(router, request, true, "upstream.call",
                                    "the upstream failed");
    }
    else if (!SlRoutedRequest_Retry(router, request, true)) {
        finish(router, request); /* forwards the upstream's error response */
    }
}
