/* A request from its arrival to its end: what it may do, how long it has, and
 * what its caller gets when nothing else is possible. */
#include "sl_router_internal.h"

#include <string.h>

/* When a caller may come back after a refusal that knows no better time. */
#define Sl_RETRY_AFTER_US (300 * Sl_US_PER_MS)
/* Until a configuration is known, which takes a few store reads. */
#define Sl_RETRY_AFTER_START_US (500 * Sl_US_PER_MS)
/* Longest wait of a request without a deadline on a route without one. */
#define Sl_DEFAULT_DEADLINE_US (30 * Sl_US_PER_S)
/* Upstreams that are tried when none of them runs the request. */
#define Sl_MAX_TRIES 6

/* ---- answers of our own ---- */

static void
refuse(struct sl_router *router, uint64_t conn,
       const struct sl_refusal *refusal)
{
    struct sl_router_effect *effect = SlRouter_AddEffect(router, Sl_RFX_REPLY);
    effect->u.reply.conn = conn;
    effect->u.reply.status = refusal->status;
    effect->u.reply.is_own = true;
    effect->u.reply.step = refusal->step;
    effect->u.reply.reason = refusal->reason;
    effect->u.reply.outcome = refusal->ran ? "unknown" : "not-run";
    effect->u.reply.retry_after_us = refusal->retry_after_us;
}

static void
add_refusal(struct sl_router *router, const struct sl_refusal *refusal)
{
    SlLogLine_Int(router, "status", refusal->status);
    SlLogLine_C(router, "step", refusal->step);
    SlLogLine_C(router, "reason", refusal->reason);
    SlLogLine_C(router, "outcome", refusal->ran ? "unknown" : "not-run");
    SlLogLine_Int(router, "retry_after_ms",
                  refusal->retry_after_us / Sl_US_PER_MS);
}

static void
log_failure(struct sl_router *router, const struct sl_routed_request *flight,
            const struct sl_refusal *refusal)
{
    const struct sl_upstream_call *upstream_call = &flight->upstream_call;
    SlLogLine_BeginLast(router, "answered", flight, true);
    add_refusal(router, refusal);
    if (upstream_call->token != 0) {
        SlLogLine_Name(router, "waits_for", &upstream_call->upstream->reg.id);
        SlLogLine_Int(router, "silent_ms",
                      (router->now_us - upstream_call->progress_us) /
                          Sl_US_PER_MS);
    }
    SlLogLine_Int(router, "took_ms",
                  (router->now_us - flight->arrived_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "runs", flight->runs);
    SlLogLine_Int(router, "tries", flight->tries);
    SlLogLine_Int(router, "last_event", flight->last_event);
    SlLogLine_Int(router, "waiting", (int64_t)router->queue->length);
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlRoutedRequest_Fail(struct sl_router *router,
                     struct sl_routed_request *flight,
                     const struct sl_refusal *refusal)
{
    log_failure(router, flight, refusal);
    SlUpstreamCall_Cancel(router, flight);
    if (flight->state == Sl_ROUTED_REQUEST_RESPONDING) {
        SlRouter_AddEffect(router, Sl_RFX_REPLY_ABORT)->u.conn = flight->conn;
    }
    else {
        refuse(router, flight->conn, refusal);
    }
    SlRouterMetrics_OnEnd(router, flight->route,
                          flight->state == Sl_ROUTED_REQUEST_RESPONDING ? "cut"
                          : refusal->ran ? "failed"
                                         : "refused",
                          router->now_us - flight->arrived_us);
    SlRoutedRequest_Finish(router, flight);
}

void
SlRoutedRequest_Finish(struct sl_router *router,
                       struct sl_routed_request *flight)
{
    SlUpstreamCall_Cancel(router, flight);
    SlRequestQueue_Remove(router, flight);
    SlTimers_Cancel(router->timers, flight->timer);
    g_hash_table_steal(router->routed_requests, &flight->conn);
    /* Effects of this event point into it. */
    SlRouter_FreeLater(router, flight);
}

void
SlRoutedRequest_Free(gpointer data)
{
    struct sl_routed_request *flight = data;
    SlRouting_Unref(flight->routing);
    SlBuf_Free(&flight->text);
    SlBuf_Free(&flight->upstream_call.headers);
    SlBuf_Free(&flight->upstream_call.body);
    SlEventSplitter_Free(&flight->upstream_call.events);
    g_free(flight);
}

/* ---- attempts ---- */

void
SlRoutedRequest_MarkTried(struct sl_routed_request *flight,
                          const struct sl_upstream *upstream)
{
    if (flight->tried_count < Sl_MAX_TRIED_UPSTREAMS) {
        flight->tried[flight->tried_count++] = upstream->reg.id;
    }
}

bool
SlRoutedRequest_Retry(struct sl_router *router,
                      struct sl_routed_request *flight, bool may_have_run)
{
    if (may_have_run) {
        flight->runs++;
    }
    bool allowed = (flight->is_retryable || flight->runs == 0) &&
                   flight->runs < flight->route->max_attempts &&
                   flight->tries < Sl_MAX_TRIES;
    if (!allowed) {
        return false;
    }
    if (flight->reached_upstream &&
        !SlRetryBudget_Take(router, &flight->service->name,
                            Sl_RETRY_FAILURE)) {
        SlLogLine_BeginFor(router, "repeat_denied", flight);
        SlLogLine_Int(router, "runs", flight->runs);
        SlLogLine_Int(router, "fleet", (int64_t)SlPeers_FleetSize(router));
        SlLogLine_End(router, Sl_LOG_INFO);
        return false;
    }
    SlRequestQueue_Add(router, flight);
    return true;
}

void
SlRoutedRequest_RetryOrFail(struct sl_router *router,
                            struct sl_routed_request *flight,
                            bool may_have_run, const char *step,
                            const char *reason)
{
    if (!SlRoutedRequest_Retry(router, flight, may_have_run)) {
        bool ran = flight->runs > 0;
        const struct sl_refusal refusal = {
            .status = ran ? 502 : 503,
            .step = step,
            .reason = reason,
            .ran = ran,
            .retry_after_us = ran ? 0 : Sl_RETRY_AFTER_US,
        };
        SlRoutedRequest_Fail(router, flight, &refusal);
    }
}

static void
on_deadline(void *context, uint64_t conn, int64_t now_us)
{
    struct sl_router *router = context;
    struct sl_routed_request *flight =
        g_hash_table_lookup(router->routed_requests, &conn);
    (void)now_us;
    if (flight == NULL) {
        return;
    }
    flight->timer = 0;
    bool ran = flight->runs > 0 || flight->upstream_call.token != 0;
    const struct sl_refusal refusal = {
        .status = ran ? 504 : 503,
        .step = "deadline",
        .reason = "the deadline of the request or of its route has passed",
        .ran = ran,
        .retry_after_us = ran ? 0 : Sl_RETRY_AFTER_US,
    };
    SlRoutedRequest_Fail(router, flight, &refusal);
}

void
SlRoutedRequest_ExtendDeadline(struct sl_router *router,
                               struct sl_routed_request *flight,
                               int64_t until_us)
{
    if (flight->deadline_us < until_us) {
        flight->deadline_us = until_us;
        SlTimers_Cancel(router->timers, flight->timer);
        flight->timer = SlTimers_Subscribe(router->timers, until_us,
                                           on_deadline, router, flight->conn);
    }
}

/* ---- arrival ---- */

void
SlIncomingRequest_CopyViews(struct sl_incoming_request *ask,
                            struct sl_buf *text)
{
    struct sl_str *const views[] = {
        &ask->id,    &ask->method,  &ask->target,  &ask->host, &ask->key,
        &ask->model, &ask->session, &ask->headers, &ask->body,
    };
    size_t starts[G_N_ELEMENTS(views)];
    for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
        starts[i] = text->len;
        SlBuf_Append(text, *views[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
        if (views[i]->len > 0) {
            views[i]->ptr = text->ptr + starts[i];
        }
    }
}

/* Requests of one session give the same number; 0: it has none. */
static uint64_t
session_of(const struct sl_incoming_request *ask)
{
    return ask->session.len > 0 ? SlHash_Bytes(1, ask->session) : 0;
}

/* Requests whose prompts begin alike give the same number; 0: no prompt. The
 * last part is the request's own, so it does not count. */
static uint64_t
subject_of(const struct sl_incoming_request *ask)
{
    if (ask->part_count == 0) {
        return 0;
    }
    size_t shared = ask->part_count > 1 ? ask->part_count - 2 : 0;
    return SlHash_Mix(ask->parts[shared].id);
}

static bool
wants_any_model(const struct sl_incoming_request *ask)
{
    return SlStr_Equal(ask->model, Sl_STR("*"));
}

struct sl_str
SlRoutedRequest_Model(const struct sl_routed_request *flight)
{
    if (wants_any_model(&flight->ask) && flight->route->model_count > 0) {
        return SlName_Str(&flight->route->models[flight->model]);
    }
    return flight->ask.model;
}

static bool
model_is_known(const struct sl_incoming_request *ask,
               const struct sl_route *route)
{
    return route->model_count == 0 || wants_any_model(ask) ||
           ask->model.len > 0;
}

static void
refuse_ask(struct sl_router *router, const struct sl_incoming_request *ask,
           int status, const char *step, const char *reason,
           int64_t retry_after_us)
{
    const struct sl_refusal refusal = {
        .status = status,
        .step = step,
        .reason = reason,
        .retry_after_us = retry_after_us,
    };
    SlLogLine_Begin(router, "answered");
    SlLogLine_Str(router, "request", ask->id);
    SlLogLine_Str(router, "host", ask->host);
    SlLogLine_Str(router, "target", ask->target);
    add_refusal(router, &refusal);
    SlLogLine_Int(
        router, "config",
        router->routing == NULL ? -1 : SlRouting_Version(router->routing));
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_INFO);
    refuse(router, ask->conn, &refusal);
    SlRouterMetrics_OnEnd(router, NULL, "refused", 0);
}

/* The route and team of a request; NULL when it was refused. */
static const struct sl_route *
admit(struct sl_router *router, const struct sl_incoming_request *ask,
      const struct sl_team **team)
{
    *team = NULL;
    if (router->stopped_accepting) {
        refuse_ask(router, ask, 503, "drain", "the process is leaving",
                   Sl_RETRY_AFTER_US);
        return NULL;
    }
    if (router->routing == NULL) {
        refuse_ask(router, ask, 503, "configuration",
                   "no configuration is known yet", Sl_RETRY_AFTER_START_US);
        return NULL;
    }
    const struct sl_route *route =
        SlRouting_Match(router->routing, ask->host, ask->target);
    if (route == NULL) {
        refuse_ask(router, ask, 404, "route",
                   "no route has this host and path", 0);
        return NULL;
    }
    if (SlRouting_NeedsKeys(router->routing) && !route->is_public) {
        *team = SlRouting_TeamOfKey(router->routing, ask->key);
        if (*team == NULL) {
            refuse_ask(router, ask, 401, "key", "no team holds this key", 0);
            return NULL;
        }
    }
    if (!model_is_known(ask, route)) {
        refuse_ask(router, ask, 400, "model", "the request names no model", 0);
        return NULL;
    }
    return route;
}

static int64_t
deadline_of(const struct sl_router *router,
            const struct sl_incoming_request *ask,
            const struct sl_route *route)
{
    int64_t left = Sl_DEFAULT_DEADLINE_US;
    if (route->timeout_us > 0) {
        left = route->timeout_us;
    }
    if (ask->deadline_us > 0) {
        left = MIN(left, ask->deadline_us);
    }
    return router->now_us + left;
}

static void
log_arrival(struct sl_router *router, const struct sl_routed_request *flight)
{
    SlLogLine_BeginFor(router, "request", flight);
    SlLogLine_Name(router, "route", &flight->route->name);
    SlLogLine_Name(router, "service", &flight->service->name);
    SlLogLine_Int(router, "config", SlRouting_Version(router->routing));
    SlLogLine_Int(router, "config_age_ms",
                  (router->now_us - router->routing_us) / Sl_US_PER_MS);
    SlFeeds_LogStoreAge(router);
    SlLogLine_Int(router, "priority", flight->priority);
    if (flight->team != NULL) {
        SlLogLine_Name(router, "team", &flight->team->name);
    }
    SlLogLine_Int(router, "deadline_ms",
                  (flight->deadline_us - router->now_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "prompt_tokens", flight->ask.prompt_tokens);
    SlLogLine_Int(router, "last_event", flight->ask.last_event);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlRoutedRequest_Start(struct sl_router *router,
                      const struct sl_incoming_request *ask)
{
    const struct sl_team *team;
    const struct sl_route *route = admit(router, ask, &team);
    if (route == NULL) {
        return;
    }
    SlRouterMetrics_OnRequest(router, route);
    uint64_t session = session_of(ask);
    uint64_t hash = session != 0 ? session : SlHash_Bytes(0, ask->id);
    const struct sl_route_service *service =
        SlRouting_FindService(router->routing, SlRoute_Target(route, hash));
    assert(service != NULL);
    struct sl_routed_request *flight = g_new0(struct sl_routed_request, 1);
    flight->conn = ask->conn;
    flight->routing = SlRouting_Ref(router->routing);
    flight->route = route;
    flight->service = service;
    flight->team = team;
    flight->session = session;
    flight->subject = subject_of(ask);
    flight->ask = *ask;
    SlIncomingRequest_CopyViews(&flight->ask, &flight->text);
    flight->order = ++router->last_order;
    flight->arrived_us = router->now_us;
    flight->deadline_us = deadline_of(router, ask, route);
    flight->priority =
        team != NULL && team->priority >= 0 ? team->priority : route->priority;
    flight->is_retryable =
        route->kind == Sl_ROUTE_IDEMPOTENT ||
        (route->kind == Sl_ROUTE_STREAM && route->resumable);
    flight->last_event = ask->last_event;
    flight->escalated_confidence = -1;
    g_hash_table_insert(router->routed_requests, &flight->conn, flight);
    flight->timer = SlTimers_Subscribe(router->timers, flight->deadline_us,
                                       on_deadline, router, flight->conn);
    SlRetryBudget_OnRequest(router, &service->name);
    log_arrival(router, flight);
    SlRequestQueue_Add(router, flight);
}

static const char *
state_name(enum sl_routed_request_state state)
{
    static const char *const names[] = {"waiting", "calling", "passing"};
    return names[state];
}

void
SlRoutedRequest_OnClientGone(struct sl_router *router, uint64_t conn)
{
    struct sl_routed_request *flight =
        g_hash_table_lookup(router->routed_requests, &conn);
    if (flight == NULL) {
        return;
    }
    SlLogLine_BeginLast(router, "caller_gone", flight, true);
    SlLogLine_Int(router, "after_ms",
                  (router->now_us - flight->arrived_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "last_event", flight->last_event);
    SlLogLine_C(router, "state", state_name(flight->state));
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnEnd(router, flight->route, "caller_gone",
                          router->now_us - flight->arrived_us);
    SlRoutedRequest_Finish(router, flight);
}
