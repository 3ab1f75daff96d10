/* Calls of routed_requests to upstreams: sending, ending, giving up. */
#include "sl_router_internal.h"

/* A connection that is not made by then is not made at all: a handshake takes
 * a few milliseconds, a lost opening packet is sent again after a second. */
#define Sl_CONNECT_TIMEOUT_US (400 * Sl_US_PER_MS)
/* ---- calls ---- */

/* The call, and what told its upstream from the next best. */
static void
log_sent(struct sl_router *router, const struct sl_routed_request *flight,
         const struct sl_placement *choice)
{
    const struct sl_upstream *upstream = choice->upstream;
    const struct sl_upstream_call *upstream_call = &flight->upstream_call;
    SlLogLine_BeginFor(router, "sent", flight);
    SlLogLine_Name(router, "upstream", &upstream->reg.id);
    SlLogLine_Int(router, "cost_ms", choice->cost_us / Sl_US_PER_MS);
    if (choice->second != NULL) {
        SlLogLine_Name(router, "second", &choice->second->reg.id);
        SlLogLine_Int(router, "second_cost_ms",
                      choice->second_cost_us / Sl_US_PER_MS);
    }
    SlLogLine_Int(router, "serving", choice->serving);
    SlLogLine_Int(router, "full", choice->full);
    SlLogLine_Int(router, "load", SlUpstreams_Load(router, upstream));
    SlLogLine_Int(router, "load_age_ms",
                  upstream->load_reported_us == 0
                      ? -1
                      : (router->now_us - upstream->load_reported_us) /
                            Sl_US_PER_MS);
    SlLogLine_Int(router, "peers_in_flight", upstream->peers_in_flight);
    SlLogLine_Int(router, "expected_ms",
                  upstream_call->expected_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "uncached_tokens", upstream_call->uncached);
    SlLogLine_Name(router, "version", &upstream->reg.version);
    SlLogLine_Int(router, "heard_ms",
                  (router->now_us - upstream->heard_us) / Sl_US_PER_MS);
    SlLogLine_Str(router, "model", SlRoutedRequest_Model(flight));
    SlLogLine_Int(router, "try", flight->tries);
    SlLogLine_Int(router, "runs_before", flight->runs);
    SlLogLine_Int(router, "resumes_after", flight->last_event);
    SlLogLine_Int(router, "repeats_left",
                  (int64_t)SlRetryBudget_Left(router, &flight->service->name,
                                              Sl_RETRY_FAILURE));
    SlLogLine_Int(router, "session", (int64_t)(uint32_t)flight->session);
    SlLogLine_Int(router, "waited_ms",
                  (router->now_us - flight->queued_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlUpstreamCall_Send(struct sl_router *router, struct sl_routed_request *flight,
                    const struct sl_placement *choice)
{
    struct sl_upstream_call *upstream_call = &flight->upstream_call;
    struct sl_upstream *upstream = choice->upstream;
    assert(upstream_call->token == 0);
    upstream_call->token = ++router->last_token;
    upstream_call->upstream = upstream;
    upstream_call->sent_us = router->now_us;
    upstream_call->progress_us = router->now_us;
    upstream_call->next_check_us = 0;
    upstream_call->has_head = false;
    upstream_call->has_event = false;
    SlBuf_Clear(&upstream_call->headers);
    SlBuf_Clear(&upstream_call->body);
    SlEventSplitter_Clear(&upstream_call->events);
    upstream_call->events_taken = 0;
    flight->tries++;
    if (flight->state == Sl_ROUTED_REQUEST_WAITING) {
        flight->state = Sl_ROUTED_REQUEST_CALLING;
    }
    g_hash_table_insert(router->requests_by_token, &upstream_call->token,
                        flight);
    SlRollouts_OnCallSent(router, flight, upstream);
    SlUpstreams_OnCallSent(router, upstream, flight);
    SlStallMonitor_Watch(router, flight);

    struct sl_router_effect *effect = SlRouter_AddEffect(router, Sl_RFX_CALL);
    struct sl_fx_upstream_call *call = &effect->u.call;
    call->token = upstream_call->token;
    call->upstream = upstream->reg.id;
    call->address = upstream->reg.address;
    call->request_id = flight->ask.id;
    call->method = flight->ask.method;
    call->target = flight->ask.target;
    call->headers = flight->ask.headers;
    call->body = flight->ask.body;
    call->model = SlRoutedRequest_Model(flight);
    call->team = flight->team != NULL ? flight->team->name : SlName_Of("");
    call->deadline_us = flight->deadline_us - router->now_us;
    call->last_event = flight->last_event;
    call->priority = flight->service->is_engine ? flight->priority : -1;
    call->fresh_connection = true;
    call->connect_timeout_us = Sl_CONNECT_TIMEOUT_US;
    log_sent(router, flight, choice);
    SlRouterMetrics_OnCall(router, flight);
}

void
SlUpstreamCall_Detach(struct sl_router *router,
                      struct sl_routed_request *flight)
{
    struct sl_upstream_call *upstream_call = &flight->upstream_call;
    g_hash_table_remove(router->requests_by_token, &upstream_call->token);
    upstream_call->token = 0;
    router->buffered_bytes -= upstream_call->buffered_bytes;
    upstream_call->buffered_bytes = 0;
    SlRollouts_OnCallEnded(router, flight);
    SlUpstreams_OnCallEnded(router, upstream_call->upstream, upstream_call);
    upstream_call->upstream = NULL;
}

void
SlUpstreamCall_Cancel(struct sl_router *router,
                      struct sl_routed_request *flight)
{
    if (flight->upstream_call.token != 0) {
        SlRouter_AddEffect(router, Sl_RFX_CANCEL_CALL)->u.token =
            flight->upstream_call.token;
        SlUpstreamCall_Detach(router, flight);
    }
}
