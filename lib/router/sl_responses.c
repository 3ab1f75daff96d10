/* What upstreams answer, and what follows from it for the caller. */
#include "sl_router_internal.h"

/* Whole answers are kept until they have ended; larger ones are an error. */
#define Sl_MAX_ANSWER_BYTES ((size_t)4 * 1024 * 1024)
/* An event holds some tokens; one that does not end by then never does. */
#define Sl_MAX_EVENT_BYTES ((size_t)256 * 1024)

static struct sl_routed_request *
flight_of(const struct sl_router *router, uint64_t token)
{
    return g_hash_table_lookup(router->requests_by_token, &token);
}

/* ---- answers ---- */

static bool
is_stream(const struct sl_routed_request *flight)
{
    return flight->route->kind == Sl_ROUTE_STREAM;
}

/* An answer that runs and is the caller's: only with the upstream's stamp. */
static bool
is_success(const struct sl_response_head *head)
{
    return head->status >= 200 && head->status < 300 && head->is_stamped;
}

/* A success without the stamp is not the upstream's own. */
static bool
is_garbled(const struct sl_response_head *head)
{
    return head->status >= 200 && head->status < 300 && !head->is_stamped;
}

static void
note_bytes(struct sl_router *router, struct sl_upstream_call *upstream_call)
{
    upstream_call->upstream->last_bytes_us = router->now_us;
    router->last_bytes_us = router->now_us;
}

/* The answer goes on: its head, a whole event, or bytes of a whole answer have
 * come. */
static void
note_progress(struct sl_router *router, struct sl_upstream_call *upstream_call)
{
    upstream_call->progress_us = router->now_us;
}

/* An answer that took several times as long as it should counts as bad for
 * its version; short ones vary by more. */
#define Sl_SLOW_FACTOR 3
#define Sl_SLOW_EXTRA_US (50 * Sl_US_PER_MS)

/* How long until the head, as far as the load of the upstream does not count;
 * 0: not known. */
static int64_t
usual_time(const struct sl_router *router,
           const struct sl_routed_request *flight)
{
    const struct sl_upstream_call *upstream_call = &flight->upstream_call;
    if (flight->service->is_engine) {
        return upstream_call->was_idle ? upstream_call->expected_us : 0;
    }
    return upstream_call->was_cold
               ? 0
               : SlLatency_RouteHeadUs(router, &flight->route->name);
}

static void
log_head(struct sl_router *router, const struct sl_routed_request *flight,
         int64_t usual_us)
{
    const struct sl_response_head *head = &flight->upstream_call.head;
    SlLogLine_BeginFor(router, "head", flight);
    SlLogLine_Name(router, "upstream",
                   &flight->upstream_call.upstream->reg.id);
    SlLogLine_Int(router, "status", head->status);
    SlLogLine_Int(router, "confidence", head->confidence);
    SlLogLine_Int(router, "not_executed", head->not_executed);
    SlLogLine_Int(router, "stamped", head->is_stamped);
    SlLogLine_Int(router, "running", head->has_load ? head->running : -1);
    SlLogLine_Int(router, "waiting", head->has_load ? head->waiting : -1);
    SlLogLine_Int(router, "after_ms",
                  (router->now_us - flight->upstream_call.sent_us) /
                      Sl_US_PER_MS);
    SlLogLine_Int(router, "usual_ms",
                  usual_us > 0 ? usual_us / Sl_US_PER_MS : -1);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* What answers of a plain service usually take, by those of versions that a
 * roll-out leaves, while there is one. */
static void
learn_usual(struct sl_router *router, const struct sl_routed_request *flight,
            int64_t took_us)
{
    if (!flight->upstream_call.was_cold &&
        (flight->upstream_call.at_baseline ||
         !SlRollouts_IsRunning(router, &flight->service->name))) {
        SlLatency_LearnRouteHead(router, &flight->route->name, took_us);
    }
}

/* What the answer's head says of models and versions. */
static void
learn(struct sl_router *router, struct sl_routed_request *flight,
      int64_t usual_us)
{
    const struct sl_upstream_call *upstream_call = &flight->upstream_call;
    int64_t took_us = router->now_us - upstream_call->sent_us;
    if (upstream_call->head.not_executed ||
        upstream_call->head.wrong_instance ||
        !upstream_call->head.is_stamped) {
        return;
    }
    bool failed = upstream_call->head.status >= 500;
    struct sl_response_symptoms signs = {
        .failed = failed,
        .is_timed = usual_us > 0 && !failed,
        .slow = took_us > Sl_SLOW_FACTOR * usual_us + Sl_SLOW_EXTRA_US,
    };
    SlRollouts_OnResponse(router, flight, &signs);
    if (!flight->service->is_engine && !failed) {
        learn_usual(router, flight, took_us);
    }
    if (flight->service->is_engine && upstream_call->was_idle && !failed) {
        struct sl_name model = {0};
        (void)SlName_Set(&model, SlRoutedRequest_Model(flight));
        SlLatency_LearnPrefill(router, &model, upstream_call->uncached,
                               took_us);
    }
}

/* Is the answer of a small model too doubtful to be passed on? */
static bool
wants_larger_model(struct sl_router *router,
                   const struct sl_routed_request *flight)
{
    const struct sl_response_head *head = &flight->upstream_call.head;
    return SlStr_Equal(flight->ask.model, Sl_STR("*")) && is_success(head) &&
           flight->state != Sl_ROUTED_REQUEST_RESPONDING &&
           flight->model + 1 < flight->route->model_count &&
           !SlModelCascade_Accepts(router, flight, head->confidence) &&
           flight->runs + 1 < flight->route->max_attempts &&
           SlRetryBudget_Take(router, &flight->service->name,
                              Sl_RETRY_LOW_CONFIDENCE);
}

static void
ask_larger_model(struct sl_router *router, struct sl_routed_request *flight)
{
    int confidence = flight->upstream_call.head.confidence;
    size_t next = SlModelCascade_Next(router, flight, confidence);
    SlRouterMetrics_OnLowConfidence(router, flight);
    SlLogLine_BeginFor(router, "answer_doubted", flight);
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(flight));
    SlLogLine_Int(router, "confidence", confidence);
    SlLogLine_Name(router, "next_model", &flight->route->models[next]);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlUpstreamCall_Cancel(router, flight);
    flight->runs++;
    flight->escalated_model = flight->model;
    flight->escalated_confidence = confidence;
    flight->model = next;
    SlRequestQueue_Add(router, flight);
}

void
SlResponses_OnHead(struct sl_router *router, uint64_t token,
                   const struct sl_response_head *head)
{
    struct sl_routed_request *flight = flight_of(router, token);
    if (flight == NULL) {
        return;
    }
    struct sl_upstream_call *upstream_call = &flight->upstream_call;
    upstream_call->has_head = true;
    flight->reached_upstream = true;
    note_bytes(router, upstream_call);
    note_progress(router, upstream_call);
    upstream_call->upstream->newest_answered_sent_us =
        MAX(upstream_call->upstream->newest_answered_sent_us,
            upstream_call->sent_us);
    upstream_call->head = *head;
    SlBuf_Clear(&upstream_call->headers);
    SlBuf_Append(&upstream_call->headers, head->headers);
    upstream_call->head.headers = SlBuf_Str(&upstream_call->headers);
    SlUpstreams_OnReportedLoad(router, upstream_call->upstream, head);
    SlUpstreamNotices_OnHead(router, upstream_call->upstream, head);
    SlUpstreams_OnPrefillDone(router, upstream_call->upstream, upstream_call);
    int64_t usual_us = usual_time(router, flight);
    log_head(router, flight, usual_us);
    learn(router, flight, usual_us);
    SlModelCascade_Learn(router, flight, head->confidence);
    if (wants_larger_model(router, flight)) {
        ask_larger_model(router, flight);
    }
}

/* Passes the stream's whole events on. */
static void
pass_events(struct sl_router *router, struct sl_routed_request *flight)
{
    struct sl_upstream_call *upstream_call = &flight->upstream_call;
    struct sl_str event;
    int64_t id;
    size_t offset = 0;
    while (
        SlEventSplitter_Next(&upstream_call->events, &offset, &event, &id)) {
        note_progress(router, upstream_call);
        if (upstream_call->has_event) {
            upstream_call->upstream->later_event_us = router->now_us;
        }
        upstream_call->has_event = true;
        if (id >= 0 && id <= flight->last_event) {
            continue; /* the caller has it */
        }
        SlRouterMetrics_OnEvent(router, flight,
                                flight->state != Sl_ROUTED_REQUEST_RESPONDING);
        flight->forwarded_us = router->now_us;
        if (flight->state != Sl_ROUTED_REQUEST_RESPONDING) {
            flight->state = Sl_ROUTED_REQUEST_RESPONDING;
            struct sl_router_effect *begin =
                SlRouter_AddEffect(router, Sl_RFX_REPLY_BEGIN);
            begin->u.reply.conn = flight->conn;
            begin->u.reply.status = upstream_call->head.status;
            begin->u.reply.headers = upstream_call->head.headers;
        }
        struct sl_router_effect *send =
            SlRouter_AddEffect(router, Sl_RFX_REPLY_CHUNK);
        send->u.send.conn = flight->conn;
        send->u.send.bytes = event;
        if (id >= 0) {
            flight->last_event = id;
        }
    }
    upstream_call->events_taken = offset;
}

/* Bytes of the answer that wait to be passed on. */
static size_t
kept_of(const struct sl_upstream_call *upstream_call)
{
    return upstream_call->body.len + upstream_call->events.pending.len -
           upstream_call->events_taken;
}

static void
count_kept(struct sl_router *router, struct sl_upstream_call *upstream_call)
{
    router->buffered_bytes -= upstream_call->buffered_bytes;
    upstream_call->buffered_bytes = kept_of(upstream_call);
    router->buffered_bytes += upstream_call->buffered_bytes;
}

/* The flight that keeps most. */
static struct sl_routed_request *
largest(const struct sl_router *router, struct sl_routed_request *flight)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *other = value;
        if (other->upstream_call.buffered_bytes >
            flight->upstream_call.buffered_bytes) {
            flight = other;
        }
    }
    return flight;
}

/* What comes has no end that could be passed on. */
static void
on_too_large(struct sl_router *router, struct sl_routed_request *flight)
{
    struct sl_upstream *upstream = flight->upstream_call.upstream;
    SlLogLine_BeginFor(router, "answer_too_large", flight);
    SlLogLine_Name(router, "upstream", &upstream->reg.id);
    SlLogLine_Int(router, "bytes",
                  (int64_t)flight->upstream_call.buffered_bytes);
    SlLogLine_Int(router, "all_bytes", (int64_t)router->buffered_bytes);
    SlLogLine_Int(router, "last_event", flight->last_event);
    SlLogLine_End(router, Sl_LOG_WARN);
    SlRouterMetrics_OnCallFailed(router, flight, "too_large");
    SlUpstreams_OnFailure(router, upstream);
    SlRoutedRequest_MarkTried(flight, upstream);
    SlUpstreamCall_Cancel(router, flight);
    SlRoutedRequest_RetryOrFail(router, flight, true, "upstream.answer",
                                "the answer is too large");
}

void
SlResponses_OnChunk(struct sl_router *router, uint64_t token,
                    struct sl_str bytes)
{
    struct sl_routed_request *flight = flight_of(router, token);
    if (flight == NULL) {
        return;
    }
    struct sl_upstream_call *upstream_call = &flight->upstream_call;
    note_bytes(router, upstream_call);
    bool passes = is_stream(flight) && is_success(&upstream_call->head);
    if (passes) {
        /* What was given out the last time is not needed any more. */
        SlEventSplitter_Consume(&upstream_call->events,
                                upstream_call->events_taken);
        upstream_call->events_taken = 0;
        SlEventSplitter_Append(&upstream_call->events, bytes);
        pass_events(router, flight);
    }
    else {
        note_progress(router, upstream_call);
        SlBuf_Append(&upstream_call->body, bytes);
    }
    count_kept(router, upstream_call);
    size_t all = router->options.max_buffered_bytes;
    if (upstream_call->buffered_bytes >
        (passes ? Sl_MAX_EVENT_BYTES : Sl_MAX_ANSWER_BYTES)) {
        on_too_large(router, flight);
    }
    else if (all > 0 && router->buffered_bytes > all) {
        on_too_large(router, largest(router, flight));
    }
}

static void
finish(struct sl_router *router, struct sl_routed_request *flight)
{
    struct sl_upstream_call *upstream_call = &flight->upstream_call;
    SlLogLine_BeginLast(router, "answered", flight,
                        upstream_call->head.status >= 400);
    SlLogLine_Int(router, "status", upstream_call->head.status);
    SlLogLine_C(router, "outcome", "ran");
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(flight));
    SlLogLine_Int(router, "confidence", upstream_call->head.confidence);
    SlLogLine_Int(router, "runs", flight->runs + 1);
    SlLogLine_Int(router, "took_ms",
                  (router->now_us - flight->arrived_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "last_event", flight->last_event);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnEnd(router, flight->route, "passed",
                          router->now_us - flight->arrived_us);
    if (flight->state == Sl_ROUTED_REQUEST_RESPONDING) {
        SlRouter_AddEffect(router, Sl_RFX_REPLY_END)->u.conn = flight->conn;
    }
    else {
        struct sl_router_effect *effect =
            SlRouter_AddEffect(router, Sl_RFX_REPLY);
        effect->u.reply.conn = flight->conn;
        effect->u.reply.status = upstream_call->head.status;
        effect->u.reply.headers = upstream_call->head.headers;
        effect->u.reply.body = SlBuf_Str(&upstream_call->body);
    }
    SlRoutedRequest_Finish(router, flight);
}

static void
log_end(struct sl_router *router, const struct sl_routed_request *flight,
        const struct sl_upstream *upstream, const struct sl_error *err)
{
    SlLogLine_BeginFor(router, "attempt_failed", flight);
    SlLogLine_Name(router, "upstream", &upstream->reg.id);
    SlLogLine_Error(router, err);
    SlLogLine_Int(router, "after_ms",
                  (router->now_us - flight->upstream_call.sent_us) /
                      Sl_US_PER_MS);
    SlLogLine_Int(router, "last_event", flight->last_event);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* The call broke off. */
static void
on_broken(struct sl_router *router, struct sl_routed_request *flight,
          const struct sl_error *err, bool connected)
{
    struct sl_upstream *upstream = flight->upstream_call.upstream;
    log_end(router, flight, upstream, err);
    SlRouterMetrics_OnCallFailed(router, flight,
                                 connected ? "broken" : "unreachable");
    flight->reached_upstream = flight->reached_upstream || connected;
    SlUpstreams_OnFailure(router, upstream);
    SlRoutedRequest_MarkTried(flight, upstream);
    SlUpstreamCall_Detach(router, flight);
    SlRoutedRequest_RetryOrFail(router, flight, connected, "upstream.call",
                                connected ? "the upstream broke off"
                                          : "the upstream cannot be reached");
}

/* The upstream says that it did not run the request. */
static void
on_refused(struct sl_router *router, struct sl_routed_request *flight)
{
    struct sl_upstream *upstream = flight->upstream_call.upstream;
    bool is_replaced = flight->upstream_call.head.wrong_instance;
    SlRouterMetrics_OnCallFailed(router, flight,
                                 is_replaced ? "replaced" : "refused");
    if (is_replaced) {
        SlUpstreams_OnReplaced(router, upstream);
    }
    else {
        SlUpstreams_OnRefused(router, upstream);
    }
    SlRoutedRequest_MarkTried(flight, upstream);
    SlUpstreamCall_Detach(router, flight);
    SlRoutedRequest_RetryOrFail(router, flight, false, "upstream.call",
                                "the upstreams are full");
}

void
SlResponses_OnDone(struct sl_router *router, uint64_t token,
                   const struct sl_error *err, bool connected)
{
    struct sl_routed_request *flight = flight_of(router, token);
    if (flight == NULL) {
        return;
    }
    const struct sl_response_head *head = &flight->upstream_call.head;
    if (err != NULL) {
        on_broken(router, flight, err, connected);
        return;
    }
    if (head->not_executed || head->wrong_instance) {
        on_refused(router, flight);
        return;
    }
    if (is_success(head) || (!is_garbled(head) && head->status < 500 &&
                             flight->state != Sl_ROUTED_REQUEST_RESPONDING)) {
        SlUpstreams_OnSuccess(router, flight->upstream_call.upstream,
                              flight->service->cold_start_us);
        SlLatency_LearnRun(router, &flight->service->name,
                           router->now_us - flight->upstream_call.sent_us);
        SlUpstreamCall_Detach(router, flight);
        finish(router, flight);
        return;
    }
    /* A failure of the upstream's own: it ran. */
    SlRouterMetrics_OnCallFailed(router, flight, "error");
    SlRoutedRequest_MarkTried(flight, flight->upstream_call.upstream);
    SlUpstreamCall_Detach(router, flight);
    if (is_garbled(head) || flight->state == Sl_ROUTED_REQUEST_RESPONDING) {
        SlRoutedRequest_RetryOrFail(router, flight, true, "upstream.call",
                                    "the upstream failed");
    }
    else if (!SlRoutedRequest_Retry(router, flight, true)) {
        finish(router, flight); /* with the upstream's own words */
    }
}
