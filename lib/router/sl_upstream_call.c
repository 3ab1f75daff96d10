/* Calls to upstreams: sending a request, ending and abandoning the call. */
#include "sl_router_internal.h"

/* Time to establish a connection. A handshake takes a few milliseconds, and a
 * lost SYN is sent again only after a second, which is too late. */
#define Sl_CONNECT_TIMEOUT_US (400 * Sl_US_PER_MS)

/* Logs the call, and why its upstream was preferred to the next best. */
static void
log_sent(struct sl_router *router, const struct sl_routed_request *request,
         const struct sl_placement *placement)
{
    const struct sl_router_upstream *upstream = placement->upstream;
    const struct sl_upstream_call *call = &request->upstream_call;
    SlLogLine_BeginFor(router, "sent", request);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "cost_ms", placement->cost_us / Sl_US_PER_MS);
    if (placement->second != NULL) {
        SlLogLine_Name(router, "second", &placement->second->registration.id);
        SlLogLine_Int(router, "second_cost_ms",
                      placement->second_cost_us / Sl_US_PER_MS);
    }
    SlLogLine_Int(router, "serving", placement->serving);
    SlLogLine_Int(router, "full", placement->full);
    SlLogLine_Int(router, "load", SlUpstreams_Load(router, upstream));
    SlLogLine_Int(router, "load_age_ms",
                  upstream->load_reported_us == 0
                      ? -1
                      : (router->now_us - upstream->load_reported_us) /
                            Sl_US_PER_MS);
    SlLogLine_Int(router, "peers_in_flight", upstream->peers_in_flight);
    SlLogLine_Int(router, "expected_ms", call->expected_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "uncached_tokens", call->uncached_tokens);
    SlLogLine_Name(router, "version", &upstream->registration.version);
    SlLogLine_Int(router, "heard_ms",
                  (router->now_us - upstream->registration_read_us) /
                      Sl_US_PER_MS);
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(request));
    SlLogLine_Int(router, "try", request->calls_sent);
    SlLogLine_Int(router, "runs_before", request->possible_runs);
    SlLogLine_Int(router, "resumes_after", request->last_event);
    SlLogLine_Int(router, "repeats_left",
                  (int64_t)SlRetryBudget_Remaining(
                      router, &request->service->name, Sl_RETRY_FAILURE));
    SlLogLine_Int(router, "session", (int64_t)(uint32_t)request->session);
    SlLogLine_Int(router, "waited_ms",
                  (router->now_us - request->queued_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlUpstreamCall_Send(struct sl_router *router,
                    struct sl_routed_request *request,
                    const struct sl_placement *placement)
{
    struct sl_upstream_call *call = &request->upstream_call;
    struct sl_router_upstream *upstream = placement->upstream;
    assert(call->token == 0);
    call->token = ++router->last_token;
    call->upstream = upstream;
    call->sent_us = router->now_us;
    call->progress_us = router->now_us;
    call->next_check_us = 0;
    call->has_head = false;
    call->has_event = false;
    SlBuf_Clear(&call->headers);
    SlBuf_Clear(&call->body);
    SlEventSplitter_Clear(&call->events);
    call->events_taken = 0;
    request->calls_sent++;
    if (request->state == Sl_ROUTED_REQUEST_WAITING) {
        request->state = Sl_ROUTED_REQUEST_CALLING;
    }
    g_hash_table_insert(router->requests_by_token, &call->token, request);
    SlRollouts_OnCallSent(router, request, upstream);
    SlUpstreams_OnCallSent(router, upstream, request);
    SlStallMonitor_Watch(router, request);

    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_CALL);
    struct sl_router_effect_call *out = &effect->u.call;
    out->token = call->token;
    out->upstream = upstream->registration.id;
    out->address = upstream->registration.address;
    out->request_id = request->incoming.id;
    out->method = request->incoming.method;
    out->target = request->incoming.target;
    out->headers = request->incoming.headers;
    out->body = request->incoming.body;
    out->model = SlRoutedRequest_Model(request);
    out->team = request->team != NULL ? request->team->name : SlName_Of("");
    out->deadline_us = request->deadline_us - router->now_us;
    out->last_event = request->last_event;
    out->priority = request->service->is_engine ? request->priority : -1;
    out->fresh_connection = true;
    out->connect_timeout_us = Sl_CONNECT_TIMEOUT_US;
    log_sent(router, request, placement);
    SlRouterMetrics_OnCall(router, request);
}

void
SlUpstreamCall_Detach(struct sl_router *router,
                      struct sl_routed_request *request)
{
    struct sl_upstream_call *call = &request->upstream_call;
    g_hash_table_remove(router->requests_by_token, &call->token);
    call->token = 0;
    router->buffered_bytes -= call->buffered_bytes;
    call->buffered_bytes = 0;
    SlRollouts_OnCallEnded(router, request);
    SlUpstreams_OnCallEnded(router, call->upstream, call);
    call->upstream = NULL;
}

void
SlUpstreamCall_Cancel(struct sl_router *router,
                      struct sl_routed_request *request)
{
    if (request->upstream_call.token != 0) {
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_CANCEL_CALL)->u.token =
            request->upstream_call.token;
        SlUpstreamCall_Detach(router, request);
    }
}
