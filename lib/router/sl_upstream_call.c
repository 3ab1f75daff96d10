/* Upstream calls: sends a request to an upstream, and ends or abandons the
 * call. A request has one call at a time. */
#include "sl_router_internal.h"

/* Timeout of connecting to an upstream. A TCP handshake takes a few
 * milliseconds. If its SYN is lost, TCP sends the SYN again only after a
 * second, so that it is better to call another upstream by then. */
#define Sl_CONNECT_TIMEOUT_US (400 * Sl_US_PER_MS)

/* Logs that a call was sent, with the estimates behind the choice of its
 * upstream, and those of the second best one. */
static void
log_sent(struct sl_router *router, const struct sl_routed_request *request,
         const struct sl_placement *placement)
{
    const struct sl_router_upstream *upstream = placement->upstream;
    const struct sl_upstream_call *call = &request->upstream_call;
    SlLogLine_BeginFor(router, "sent", request);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "cost_ms", placement->cost_us / Sl_US_PER_MS);
    if (placement->second_best != NULL) {
        SlLogLine_Name(router, "second",
                       &placement->second_best->registration.id);
        SlLogLine_Int(router, "second_cost_ms",
                      placement->second_cost_us / Sl_US_PER_MS);
    }
    SlLogLine_Int(router, "serving", placement->serving_count);
    SlLogLine_Int(router, "full", placement->full_count);
    SlLogLine_Int(router, "load", SlUpstreams_Load(router, upstream));
    SlLogLine_Int(router, "load_age_ms",
                  upstream->load_reported_us == 0
                      ? -1
                      : (router->now_us - upstream->load_reported_us) /
                            Sl_US_PER_MS);
    SlLogLine_Int(router, "peers_in_flight", upstream->peers_in_flight);
    SlUpstreamPace_AddToLog(router, upstream);
    SlLogLine_Int(router, "expected_ms", call->expected_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "uncached_tokens", call->uncached_tokens);
    SlKeptParts_Log(router, request, placement);
    SlLogLine_Name(router, "version", &upstream->registration.version);
    SlLogLine_Int(router, "heard_ms",
                  (router->now_us - upstream->registration_read_us) /
                      Sl_US_PER_MS);
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(request));
    SlLogLine_Int(router, "try", request->calls_sent);
    SlLogLine_Int(router, "runs_before", request->possible_runs);
    SlLogLine_EventId(router, "resumes_after",
                      SlBuf_Str(&request->last_event));
    SlLogLine_Int(router, "repeats_left",
                  (int64_t)SlRetryBudget_Remaining(
                      router, &request->service->name, Sl_RETRY_FAILURE));
    /* The same bits as SlRolloutSessions_Key() returns. */
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
    assert(call->token == 0); /* no other call is under way */
    call->token = ++router->last_token;
    call->upstream = upstream;
    call->sent_us = router->now_us;
    call->progress_us = router->now_us;
    call->first_event_us = placement->first_event_us;
    call->next_check_us = 0; /* SlStallMonitor_Watch() sets it */
    call->has_head = false;
    call->is_paused = false;
    call->has_event = false;
    call->has_begun = false;
    SlBuf_Clear(&call->headers);
    SlBuf_Clear(&call->body);
    SlEventSplitter_Clear(&call->events);
    call->processed_bytes = 0;
    request->calls_sent++;
    if (request->state == Sl_ROUTED_REQUEST_WAITING) {
        request->state = Sl_ROUTED_REQUEST_CALLING;
    }
    g_hash_table_insert(router->requests_by_token, &call->token, request);
    SlRollouts_OnCallSent(router, request, upstream);
    call->kept = placement->kept;
    SlUpstreams_OnCallSent(router, upstream, request); /* sets estimates */
    call->sent_load = SlUpstreams_Load(router, upstream);
    SlSharing_OnSent(router->sharing, &request->claim);
    SlStallMonitor_Watch(router, request);

    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_CALL);
    struct sl_router_effect_call *effect_call = &effect->u.call;
    effect_call->token = call->token;
    effect_call->upstream =
        SlRouter_CopyName(router, &upstream->registration.id);
    effect_call->address =
        SlRouter_CopyName(router, &upstream->registration.address);
    effect_call->request_id = request->incoming.id;
    effect_call->method = request->incoming.method;
    effect_call->target = request->incoming.target;
    effect_call->headers = request->incoming.headers;
    effect_call->body = request->incoming.body;
    effect_call->model = SlRoutedRequest_Model(request);
    effect_call->team = request->team != NULL ? &request->team->name : NULL;
    effect_call->deadline_us = request->deadline_us - router->now_us;
    effect_call->last_event = SlBuf_Str(&request->last_event);
    effect_call->priority =
        request->service->is_engine ? request->priority : -1;
    /* The upstream may be closing a connection of an earlier call. A request
     * that is sent on it and never read may seem to have run. */
    effect_call->fresh_connection = true;
    effect_call->connect_timeout_us = Sl_CONNECT_TIMEOUT_US;
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
    SlSharing_OnEnded(router->sharing, &request->claim);
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
