/* Handles the responses of upstreams: forwards them to clients, learns from
 * them, escalates to a larger model, or tries another upstream. */
#include "sl_router_internal.h"

/* Largest body of a response that is no stream: it is buffered until its end.
 */
#define Sl_MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)
/* Largest event of a stream. An event holds some tokens; a longer one has no
 * end. */
#define Sl_MAX_EVENT_BYTES ((size_t)256 * 1024)

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

/* Returns true for a success response of the upstream. Without its stamp, it
 * was not produced by the upstream. */
static bool
is_success(const struct sl_response_head *head)
{
    return head->status >= 200 && head->status < 300 && head->is_stamped;
}

/* Returns true for a success response that lacks the upstream's stamp. */
static bool
is_unstamped_success(const struct sl_response_head *head)
{
    return head->status >= 200 && head->status < 300 && !head->is_stamped;
}

static void
note_bytes(struct sl_router *router, struct sl_upstream_call *call)
{
    call->upstream->last_bytes_us = router->now_us;
    router->last_bytes_us = router->now_us;
}

/* Notes progress of the response: its head, a complete event, or bytes of a
 * body that is no stream. */
static void
note_progress(struct sl_router *router, struct sl_upstream_call *call)
{
    call->progress_us = router->now_us;
}

/* A response slower than this factor on its usual time, plus the extra time,
 * counts as slow for its version. Short times vary by more than the factor. */
#define Sl_SLOW_FACTOR 3
#define Sl_SLOW_EXTRA_US (50 * Sl_US_PER_MS)

/* Returns the usual time to the head if the upstream's load has no influence
 * on it; 0 if it is not known. */
static int64_t
usual_time(const struct sl_router *router,
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

/* Learns the usual time of responses of a plain service. During a roll-out,
 * only baseline versions count. */
static void
learn_usual_time(struct sl_router *router,
                 const struct sl_routed_request *request, int64_t took_us)
{
    if (!request->upstream_call.was_cold &&
        (request->upstream_call.at_baseline ||
         !SlRollouts_IsRunning(router, &request->service->name))) {
        SlLatency_LearnRouteHead(router, &request->route->name, took_us);
    }
}

/* Learns from the head of a response about models and versions. */
static void
learn(struct sl_router *router, struct sl_routed_request *request,
      int64_t usual_us)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    int64_t took_us = router->now_us - call->sent_us;
    if (call->head.not_executed || call->head.wrong_instance ||
        !call->head.is_stamped) {
        return;
    }
    bool failed = call->head.status >= 500;
    struct sl_response_symptoms symptoms = {
        .failed = failed,
        .is_timed = usual_us > 0 && !failed,
        .slow = took_us > Sl_SLOW_FACTOR * usual_us + Sl_SLOW_EXTRA_US,
    };
    SlRollouts_OnResponse(router, request, &symptoms);
    if (!request->service->is_engine && !failed) {
        learn_usual_time(router, request, took_us);
    }
    if (request->service->is_engine && call->was_idle && !failed) {
        struct sl_name model = {0};
        (void)SlName_Set(&model, SlRoutedRequest_Model(request));
        SlLatency_LearnPrefill(router, &model, call->uncached_tokens, took_us);
    }
}

/* Returns true if the response must be discarded, as a larger model should
 * answer instead. Takes a retry from the budget then. */
static bool
must_escalate(struct sl_router *router,
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
    SlUpstreams_OnPrefillDone(router, call->upstream, call);
    int64_t usual_us = usual_time(router, request);
    log_head(router, request, usual_us);
    learn(router, request, usual_us);
    SlModelCascade_Learn(router, request, head->confidence);
    if (must_escalate(router, request)) {
        escalate(router, request);
    }
}

/* Forwards the stream's complete events to the client. */
static void
forward_events(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_upstream_call *call = &request->upstream_call;
    struct sl_str event;
    int64_t id;
    size_t offset = 0;
    while (SlEventSplitter_Next(&call->events, &offset, &event, &id)) {
        note_progress(router, call);
        if (call->has_event) {
            call->upstream->later_event_us = router->now_us;
        }
        call->has_event = true;
        if (id >= 0 && id <= request->last_event) {
            continue; /* the client has it from an earlier attempt */
        }
        SlRouterMetrics_OnEvent(
            router, request, request->state != Sl_ROUTED_REQUEST_RESPONDING);
        request->forwarded_us = router->now_us;
        if (request->state != Sl_ROUTED_REQUEST_RESPONDING) {
            request->state = Sl_ROUTED_REQUEST_RESPONDING;
            struct sl_router_effect *begin =
                SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY_BEGIN);
            begin->u.reply.conn = request->conn;
            begin->u.reply.status = call->head.status;
            begin->u.reply.headers = call->head.headers;
        }
        struct sl_router_effect *send =
            SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY_CHUNK);
        send->u.chunk.conn = request->conn;
        send->u.chunk.bytes = event;
        if (id >= 0) {
            request->last_event = id;
        }
    }
    call->processed_bytes = offset;
}

/* Returns the number of buffered bytes of the response. */
static size_t
count_buffered(const struct sl_upstream_call *call)
{
    return call->body.len + call->events.pending.len - call->processed_bytes;
}

/* Updates the call's part in the sum of buffered bytes. */
static void
update_buffered(struct sl_router *router, struct sl_upstream_call *call)
{
    router->buffered_bytes -= call->buffered_bytes;
    call->buffered_bytes = count_buffered(call);
    router->buffered_bytes += call->buffered_bytes;
}

/* Returns the request with the most buffered bytes. */
static struct sl_routed_request *
find_largest(const struct sl_router *router, struct sl_routed_request *request)
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

/* Ends a call whose response exceeds a bound, and retries the request if it
 * may be retried. */
static void
on_too_large(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_router_upstream *upstream = request->upstream_call.upstream;
    SlLogLine_BeginFor(router, "answer_too_large", request);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "bytes",
                  (int64_t)request->upstream_call.buffered_bytes);
    SlLogLine_Int(router, "all_bytes", (int64_t)router->buffered_bytes);
    SlLogLine_Int(router, "last_event", request->last_event);
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
    bool is_forwarded = is_stream(request) && is_success(&call->head);
    if (is_forwarded) {
        /* The events that the last effects point to are not needed any more.
         */
        SlEventSplitter_Consume(&call->events, call->processed_bytes);
        call->processed_bytes = 0;
        SlEventSplitter_Append(&call->events, bytes);
        forward_events(router, request);
    }
    else {
        note_progress(router, call);
        SlBuf_Append(&call->body, bytes);
    }
    update_buffered(router, call);
    size_t all = router->options.max_buffered_bytes;
    if (call->buffered_bytes >
        (is_forwarded ? Sl_MAX_EVENT_BYTES : Sl_MAX_BODY_BYTES)) {
        on_too_large(router, request);
    }
    else if (all > 0 && router->buffered_bytes > all) {
        on_too_large(router, find_largest(router, request));
    }
}

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
    SlLogLine_Int(router, "last_event", request->last_event);
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
    SlLogLine_Int(router, "last_event", request->last_event);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Handles a call that failed before its response was complete. */
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
    SlRoutedRequest_MarkTried(request, upstream);
    SlUpstreamCall_Detach(router, request);
    SlRoutedRequest_RetryOrFail(router, request, connected, "upstream.call",
                                connected
                                    ? "the connection to the upstream broke"
                                    : "the upstream cannot be reached");
}

/* Handles a response that states that the request did not run. */
static void
on_refused(struct sl_router *router, struct sl_routed_request *request)
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

void
SlResponses_OnDone(struct sl_router *router, uint64_t token,
                   const struct sl_error *err, bool connected)
{
    struct sl_routed_request *request = request_of(router, token);
    if (request == NULL) {
        return;
    }
    const struct sl_response_head *head = &request->upstream_call.head;
    if (err != NULL) {
        on_failed(router, request, err, connected);
        return;
    }
    if (head->not_executed || head->wrong_instance) {
        on_refused(router, request);
        return;
    }
    if (is_success(head) ||
        (!is_unstamped_success(head) && head->status < 500 &&
         request->state != Sl_ROUTED_REQUEST_RESPONDING)) {
        SlUpstreams_OnSuccess(router, request->upstream_call.upstream,
                              request->service->cold_start_us);
        SlLatency_LearnRun(router, &request->service->name,
                           router->now_us - request->upstream_call.sent_us);
        SlUpstreamCall_Detach(router, request);
        finish(router, request);
        return;
    }
    /* The upstream itself failed: the request ran. */
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
