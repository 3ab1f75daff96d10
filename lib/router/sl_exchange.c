/* One call of a flight, and what its answer means. */
#include "sl_router_internal.h"

/* A connection that is not made by then is not made at all: a handshake takes
 * a few milliseconds, a lost opening packet is sent again after a second. */
#define Sl_CONNECT_TIMEOUT_US (400 * Sl_US_PER_MS)
/* Whole answers are kept until they have ended; larger ones are an error. */
#define Sl_MAX_ANSWER_BYTES ((size_t)4 * 1024 * 1024)

/* Answers of smaller models are passed on from this confidence on; chosen by
 * the table in docs/design/cascade-by-confidence.md. */
#define Sl_ACCEPT_CONFIDENCE 65

/* ---- calls ---- */

static struct sl_str
model_of(const struct sl_flight *flight)
{
    if (SlStr_Equal(flight->ask.model, Sl_STR("*")) &&
        flight->route->model_count > 0) {
        return SlName_Str(&flight->route->models[flight->model]);
    }
    return flight->ask.model;
}

void
SlExchange_Send(struct sl_router *router, struct sl_flight *flight,
                struct sl_upstream *upstream)
{
    struct sl_exchange *exchange = &flight->exchange;
    assert(exchange->token == 0);
    exchange->token = ++router->last_token;
    exchange->upstream = upstream;
    exchange->sent_us = router->now_us;
    exchange->last_bytes_us = router->now_us;
    exchange->has_head = false;
    SlBuf_Clear(&exchange->headers);
    SlBuf_Clear(&exchange->body);
    SlEvents_Clear(&exchange->events);
    exchange->events_taken = 0;
    flight->tries++;
    if (flight->tried_count < Sl_MAX_TRIED) {
        flight->tried[flight->tried_count++] = upstream->reg.id;
    }
    if (flight->state == Sl_FLIGHT_WAITING) {
        flight->state = Sl_FLIGHT_CALLING;
    }
    g_hash_table_insert(router->by_token, &exchange->token, flight);
    SlUpstreams_OnSent(router, upstream, flight);

    struct sl_router_effect *effect = SlOutbox_Add(router, Sl_RFX_CALL);
    struct sl_fx_upstream_call *call = &effect->u.call;
    call->token = exchange->token;
    call->upstream = upstream->reg.id;
    call->address = upstream->reg.address;
    call->request_id = flight->ask.id;
    call->method = flight->ask.method;
    call->target = flight->ask.target;
    call->headers = flight->ask.headers;
    call->body = flight->ask.body;
    call->model = model_of(flight);
    call->team = flight->team != NULL ? flight->team->name : SlName_Of("");
    call->deadline_us = flight->deadline_us - router->now_us;
    call->last_event = flight->last_event;
    call->priority = flight->service->is_engine ? flight->priority : -1;
    call->fresh_connection = true;
    call->connect_timeout_us = Sl_CONNECT_TIMEOUT_US;
    SlLine_Begin(router, "sent");
    SlLine_Str(router, "request", flight->ask.id);
    SlLine_Name(router, "upstream", &upstream->reg.id);
    SlLine_Int(router, "try", flight->tries);
    SlLine_Int(router, "runs_before", flight->runs);
    SlLine_Int(router, "load", SlUpstreams_Load(upstream));
    SlLine_Int(router, "load_age_ms",
               upstream->told_us == 0
                   ? -1
                   : (router->now_us - upstream->told_us) / Sl_US_PER_MS);
    SlLine_Str(router, "model", call->model);
    SlLine_Int(router, "waited_ms",
               (router->now_us - flight->arrived_us) / Sl_US_PER_MS);
    SlLine_End(router, Sl_LOG_INFO);
}

/* The call has ended, or is not wanted any more. */
static void
detach(struct sl_router *router, struct sl_flight *flight)
{
    struct sl_exchange *exchange = &flight->exchange;
    g_hash_table_remove(router->by_token, &exchange->token);
    exchange->token = 0;
    SlUpstreams_OnEnded(router, exchange->upstream);
    exchange->upstream = NULL;
}

void
SlExchange_Cancel(struct sl_router *router, struct sl_flight *flight)
{
    if (flight->exchange.token != 0) {
        SlOutbox_Add(router, Sl_RFX_CANCEL)->u.token = flight->exchange.token;
        detach(router, flight);
    }
}

static struct sl_flight *
flight_of(const struct sl_router *router, uint64_t token)
{
    return g_hash_table_lookup(router->by_token, &token);
}

/* ---- answers ---- */

static bool
is_stream(const struct sl_flight *flight)
{
    return flight->route->kind == Sl_ROUTE_STREAM;
}

/* An answer that runs and is the caller's: only with the upstream's stamp. */
static bool
is_success(const struct sl_answer_head *head)
{
    return head->status >= 200 && head->status < 300 && head->is_stamped;
}

/* A success without the stamp is not the upstream's own. */
static bool
is_garbled(const struct sl_answer_head *head)
{
    return head->status >= 200 && head->status < 300 && !head->is_stamped;
}

static void
log_head(struct sl_router *router, const struct sl_flight *flight)
{
    const struct sl_answer_head *head = &flight->exchange.head;
    SlLine_Begin(router, "head");
    SlLine_Str(router, "request", flight->ask.id);
    SlLine_Name(router, "upstream", &flight->exchange.upstream->reg.id);
    SlLine_Int(router, "status", head->status);
    SlLine_Int(router, "confidence", head->confidence);
    SlLine_Int(router, "not_executed", head->not_executed);
    SlLine_Int(router, "after_ms",
               (router->now_us - flight->exchange.sent_us) / Sl_US_PER_MS);
    SlLine_End(router, Sl_LOG_INFO);
}

/* Is the answer of a small model too doubtful to be passed on? */
static bool
wants_larger_model(const struct sl_flight *flight)
{
    const struct sl_answer_head *head = &flight->exchange.head;
    return SlStr_Equal(flight->ask.model, Sl_STR("*")) && is_success(head) &&
           flight->state != Sl_FLIGHT_PASSING &&
           flight->model + 1 < flight->route->model_count &&
           head->confidence >= 0 && head->confidence < Sl_ACCEPT_CONFIDENCE &&
           flight->runs + 1 < flight->route->max_attempts;
}

void
SlExchange_OnHead(struct sl_router *router, uint64_t token,
                  const struct sl_answer_head *head)
{
    struct sl_flight *flight = flight_of(router, token);
    if (flight == NULL) {
        return;
    }
    struct sl_exchange *exchange = &flight->exchange;
    exchange->has_head = true;
    exchange->last_bytes_us = router->now_us;
    exchange->head = *head;
    SlBuf_Clear(&exchange->headers);
    SlBuf_Append(&exchange->headers, head->headers);
    exchange->head.headers = SlBuf_Str(&exchange->headers);
    SlUpstreams_OnLoad(router, exchange->upstream, head);
    log_head(router, flight);
    if (wants_larger_model(flight)) {
        SlExchange_Cancel(router, flight);
        flight->runs++;
        flight->model = flight->route->model_count - 1;
        SlWaiting_Add(router, flight);
    }
}

/* Passes the stream's whole events on. */
static void
pass_events(struct sl_router *router, struct sl_flight *flight)
{
    struct sl_exchange *exchange = &flight->exchange;
    struct sl_str event;
    int64_t id;
    size_t offset = 0;
    while (SlEvents_Next(&exchange->events, &offset, &event, &id)) {
        if (id >= 0 && id <= flight->last_event) {
            continue; /* the caller has it */
        }
        if (flight->state != Sl_FLIGHT_PASSING) {
            flight->state = Sl_FLIGHT_PASSING;
            struct sl_router_effect *begin =
                SlOutbox_Add(router, Sl_RFX_BEGIN);
            begin->u.reply.conn = flight->conn;
            begin->u.reply.status = exchange->head.status;
            begin->u.reply.headers = exchange->head.headers;
        }
        struct sl_router_effect *send = SlOutbox_Add(router, Sl_RFX_SEND);
        send->u.send.conn = flight->conn;
        send->u.send.bytes = event;
        if (id >= 0) {
            flight->last_event = id;
        }
    }
    exchange->events_taken = offset;
}

void
SlExchange_OnPiece(struct sl_router *router, uint64_t token,
                   struct sl_str bytes)
{
    struct sl_flight *flight = flight_of(router, token);
    if (flight == NULL) {
        return;
    }
    struct sl_exchange *exchange = &flight->exchange;
    exchange->last_bytes_us = router->now_us;
    if (is_stream(flight) && is_success(&exchange->head)) {
        /* What was given out the last time is not needed any more. */
        SlEvents_Drop(&exchange->events, exchange->events_taken);
        exchange->events_taken = 0;
        SlEvents_Feed(&exchange->events, bytes);
        pass_events(router, flight);
        return;
    }
    SlBuf_Append(&exchange->body, bytes);
    if (exchange->body.len > Sl_MAX_ANSWER_BYTES) {
        SlFlight_Fail(router, flight, 502, "upstream.answer",
                      "the answer is too large", true, 0);
    }
}

static void
finish(struct sl_router *router, struct sl_flight *flight)
{
    struct sl_exchange *exchange = &flight->exchange;
    SlLine_Begin(router, "answered");
    SlLine_Str(router, "request", flight->ask.id);
    SlLine_Int(router, "status", exchange->head.status);
    SlLine_C(router, "outcome", "ran");
    SlLine_Int(router, "took_ms",
               (router->now_us - flight->arrived_us) / Sl_US_PER_MS);
    SlLine_Int(router, "last_event", flight->last_event);
    SlLine_End(router, Sl_LOG_INFO);
    SlRouter_Count(router, "answers_passed");
    if (flight->state == Sl_FLIGHT_PASSING) {
        SlOutbox_Add(router, Sl_RFX_FINISH)->u.conn = flight->conn;
    }
    else {
        struct sl_router_effect *effect = SlOutbox_Add(router, Sl_RFX_REPLY);
        effect->u.reply.conn = flight->conn;
        effect->u.reply.status = exchange->head.status;
        effect->u.reply.headers = exchange->head.headers;
        effect->u.reply.body = SlBuf_Str(&exchange->body);
    }
    SlFlight_End(router, flight);
}

static void
log_end(struct sl_router *router, const struct sl_flight *flight,
        const struct sl_upstream *upstream, const struct sl_error *err)
{
    SlLine_Begin(router, "attempt_failed");
    SlLine_Str(router, "request", flight->ask.id);
    SlLine_Name(router, "upstream", &upstream->reg.id);
    SlLine_Error(router, err);
    SlLine_Int(router, "last_event", flight->last_event);
    SlLine_End(router, Sl_LOG_INFO);
}

/* The call broke off. */
static void
on_broken(struct sl_router *router, struct sl_flight *flight,
          const struct sl_error *err, bool connected)
{
    struct sl_upstream *upstream = flight->exchange.upstream;
    log_end(router, flight, upstream, err);
    SlUpstreams_OnFailure(router, upstream);
    detach(router, flight);
    SlFlight_Again(router, flight, connected, "upstream.call",
                   connected ? "the upstream broke off"
                             : "the upstream cannot be reached");
}

/* The upstream says that it did not run the request. */
static void
on_refused(struct sl_router *router, struct sl_flight *flight)
{
    struct sl_upstream *upstream = flight->exchange.upstream;
    SlUpstreams_OnRefused(router, upstream,
                          flight->exchange.head.retry_after_us);
    detach(router, flight);
    SlFlight_Again(router, flight, false, "upstream.call",
                   "the upstreams are full");
}

void
SlExchange_OnDone(struct sl_router *router, uint64_t token,
                  const struct sl_error *err, bool connected)
{
    struct sl_flight *flight = flight_of(router, token);
    if (flight == NULL) {
        return;
    }
    const struct sl_answer_head *head = &flight->exchange.head;
    if (err != NULL) {
        on_broken(router, flight, err, connected);
        return;
    }
    if (head->not_executed || head->wrong_instance) {
        on_refused(router, flight);
        return;
    }
    if (is_success(head) || (!is_garbled(head) && head->status < 500 &&
                             flight->state != Sl_FLIGHT_PASSING)) {
        SlUpstreams_OnGood(router, flight->exchange.upstream);
        detach(router, flight);
        finish(router, flight);
        return;
    }
    /* A failure of the upstream's own: it ran. */
    bool can_repeat =
        flight->may_repeat && flight->runs + 1 < flight->route->max_attempts;
    detach(router, flight);
    if (can_repeat || is_garbled(head) || flight->state == Sl_FLIGHT_PASSING) {
        SlFlight_Again(router, flight, true, "upstream.call",
                       "the upstream failed");
        return;
    }
    finish(router, flight);
}
