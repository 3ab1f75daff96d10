/* A client's request from its arrival to its end: admission, deadline, retries
 * and the error responses of the router itself. */
#include "sl_router_internal.h"

#include <string.h>

/* Retry-After of an error response where no better time is known. */
#define Sl_RETRY_AFTER_US (300 * Sl_US_PER_MS)
/* Deadline of a request if neither it nor its route has one. */
#define Sl_DEFAULT_DEADLINE_US (30 * Sl_US_PER_S)
/* Calls of a request at most, including those that did not run at their
 * upstream. A route's `max_attempts` limits those that ran or may have run. */
#define Sl_MAX_CALLS 6

/* ---- error responses ---- */

/* Sends an error response on a client's connection. */
static void
send_refusal(struct sl_router *router, uint64_t conn,
             const struct sl_router_refusal *refusal)
{
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY);
    effect->u.reply.conn = conn;
    effect->u.reply.status = refusal->status;
    effect->u.reply.is_generated = true;
    effect->u.reply.step = refusal->step;
    effect->u.reply.reason = refusal->reason;
    effect->u.reply.outcome = refusal->may_have_run ? "unknown" : "not-run";
    effect->u.reply.retry_after_us = refusal->retry_after_us;
}

/* Adds the members of an error response to the current log line. */
static void
add_refusal_fields(struct sl_router *router,
                   const struct sl_router_refusal *refusal)
{
    SlLogLine_Int(router, "status", refusal->status);
    SlLogLine_C(router, "step", refusal->step);
    SlLogLine_C(router, "reason", refusal->reason);
    SlLogLine_C(router, "outcome",
                refusal->may_have_run ? "unknown" : "not-run");
    SlLogLine_Int(router, "retry_after_ms",
                  refusal->retry_after_us / Sl_US_PER_MS);
}

/* Logs the end of a request that gets an error response or is cut off. */
static void
log_failure(struct sl_router *router, const struct sl_routed_request *request,
            const struct sl_router_refusal *refusal)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    SlLogLine_BeginLast(router, "answered", request, true);
    add_refusal_fields(router, refusal);
    if (call->token != 0) {
        SlLogLine_Name(router, "waits_for", &call->upstream->registration.id);
        SlLogLine_Int(router, "silent_ms",
                      (router->now_us - call->progress_us) / Sl_US_PER_MS);
    }
    SlLogLine_Int(router, "took_ms",
                  (router->now_us - request->arrived_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "runs", request->possible_runs);
    SlLogLine_Int(router, "tries", request->calls_sent);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_Int(router, "waiting", (int64_t)router->request_queue->length);
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlRoutedRequest_Fail(struct sl_router *router,
                     struct sl_routed_request *request,
                     const struct sl_router_refusal *refusal)
{
    log_failure(router, request, refusal);
    SlUpstreamCall_Cancel(router, request);
    if (request->state == Sl_ROUTED_REQUEST_RESPONDING) {
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_REPLY_ABORT)->u.conn =
            request->conn;
    }
    else {
        send_refusal(router, request->conn, refusal);
    }
    SlRouterMetrics_OnEnd(router, request->route,
                          request->state == Sl_ROUTED_REQUEST_RESPONDING
                              ? "cut"
                          : refusal->may_have_run ? "failed"
                                                  : "refused",
                          router->now_us - request->arrived_us);
    SlRoutedRequest_Finish(router, request);
}

void
SlRoutedRequest_Finish(struct sl_router *router,
                       struct sl_routed_request *request)
{
    SlUpstreamCall_Cancel(router, request);
    SlRequestQueue_Remove(router, request);
    SlTimers_Cancel(router->timers, request->deadline_timer);
    g_hash_table_steal(router->routed_requests, &request->conn);
    /* Effects of the current event may point into the request. */
    SlRouter_FreeLater(router, request);
}

void
SlRoutedRequest_Free(gpointer data)
{
    struct sl_routed_request *request = data;
    SlRouting_Unref(request->routing);
    SlBuf_Free(&request->text);
    SlBuf_Free(&request->last_event);
    SlBuf_Free(&request->upstream_call.headers);
    SlBuf_Free(&request->upstream_call.body);
    SlEventSplitter_Free(&request->upstream_call.events);
    g_free(request);
}

/* ---- attempts ---- */

void
SlRoutedRequest_MarkTried(struct sl_routed_request *request,
                          const struct sl_router_upstream *upstream)
{
    if (request->tried_count < Sl_MAX_TRIED_UPSTREAMS) {
        request->tried[request->tried_count++] = upstream->registration.id;
    }
}

bool
SlRoutedRequest_Retry(struct sl_router *router,
                      struct sl_routed_request *request, bool may_have_run)
{
    if (may_have_run) {
        request->possible_runs++;
    }
    bool allowed = (request->is_retryable || request->possible_runs == 0) &&
                   request->possible_runs < request->route->max_attempts &&
                   request->calls_sent < Sl_MAX_CALLS;
    if (!allowed) {
        return false;
    }
    if (request->reached_upstream &&
        !SlRetryBudget_Take(router, &request->service->name,
                            Sl_RETRY_FAILURE)) {
        SlLogLine_BeginFor(router, "repeat_denied", request);
        SlLogLine_Int(router, "runs", request->possible_runs);
        SlLogLine_Int(router, "fleet", (int64_t)SlPeers_FleetSize(router));
        SlLogLine_End(router, Sl_LOG_INFO);
        return false;
    }
    SlRequestQueue_Add(router, request);
    return true;
}

void
SlRoutedRequest_RetryOrFail(struct sl_router *router,
                            struct sl_routed_request *request,
                            bool may_have_run, const char *step,
                            const char *reason)
{
    if (!SlRoutedRequest_Retry(router, request, may_have_run)) {
        /* The response is about all attempts: an earlier one may have run
         * although the last one did not. */
        bool any_may_have_run = request->possible_runs > 0;
        const struct sl_router_refusal refusal = {
            .status = any_may_have_run ? 502 : 503,
            .step = step,
            .reason = reason,
            .may_have_run = any_may_have_run,
            .retry_after_us = any_may_have_run ? 0 : Sl_RETRY_AFTER_US,
        };
        SlRoutedRequest_Fail(router, request, &refusal);
    }
}

static gint
compare_arrival(gconstpointer a, gconstpointer b)
{
    const struct sl_routed_request *x =
        *(const struct sl_routed_request *const *)a;
    const struct sl_routed_request *y =
        *(const struct sl_routed_request *const *)b;
    return x->arrival_number < y->arrival_number ? -1 : 1;
}

/* Fails a request that has not ended. The response has status `run_status` if
 * the request may have run. */
static void
fail_unfinished(struct sl_router *router, struct sl_routed_request *request,
                int run_status, const char *step, const char *reason)
{
    bool may_have_run =
        request->possible_runs > 0 || request->upstream_call.token != 0;
    const struct sl_router_refusal refusal = {
        .status = may_have_run ? run_status : 503,
        .step = step,
        .reason = reason,
        .may_have_run = may_have_run,
        .retry_after_us = may_have_run ? 0 : Sl_RETRY_AFTER_US,
    };
    SlRoutedRequest_Fail(router, request, &refusal);
}

void
SlRoutedRequest_FailAll(struct sl_router *router)
{
    GPtrArray *requests = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(requests, value);
    }
    g_ptr_array_sort(requests, compare_arrival);
    for (guint i = 0; i < requests->len; i++) {
        fail_unfinished(router, requests->pdata[i], 502, "drain",
                        "the router was stopped");
    }
    g_ptr_array_free(requests, TRUE);
}

static void
on_deadline(void *context, uint64_t conn, int64_t now_us)
{
    struct sl_router *router = context;
    struct sl_routed_request *request =
        g_hash_table_lookup(router->routed_requests, &conn);
    (void)now_us;
    if (request == NULL) {
        return;
    }
    request->deadline_timer = 0;
    fail_unfinished(router, request, 504, "deadline",
                    "the deadline of the request or of its route has passed");
}

void
SlRoutedRequest_ExtendDeadline(struct sl_router *router,
                               struct sl_routed_request *request,
                               int64_t until_us)
{
    if (request->deadline_us < until_us) {
        request->deadline_us = until_us;
        SlTimers_Cancel(router->timers, request->deadline_timer);
        request->deadline_timer = SlTimers_Add(
            router->timers, until_us, on_deadline, router, request->conn);
    }
}

/* ---- admission ---- */

void
SlIncomingRequest_CopyViews(struct sl_incoming_request *incoming,
                            struct sl_buf *text)
{
    struct sl_str *const views[] = {
        &incoming->id,         &incoming->method,  &incoming->target,
        &incoming->host,       &incoming->api_key, &incoming->model,
        &incoming->session,    &incoming->headers, &incoming->body,
        &incoming->last_event,
    };
    size_t offsets[G_N_ELEMENTS(views)];
    for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
        offsets[i] = text->len;
        SlBuf_Append(text, *views[i]);
    }
    /* The views are set after the last append, which may move the buffer. */
    for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
        if (views[i]->len > 0) {
            views[i]->ptr = text->ptr + offsets[i];
        }
    }
}

/* Returns the hash of the request's session; 0 if it has none. */
static uint64_t
hash_session(const struct sl_incoming_request *incoming)
{
    return incoming->session.len > 0 ? SlHash_Bytes(1, incoming->session) : 0;
}

/* Returns a number that is equal for requests whose prompts begin with the
 * same parts; 0 if there is no prompt. It is the hash of one part: of the last
 * but one, as the last part belongs to its request alone, or of the only part.
 */
static uint64_t
hash_prompt_prefix(const struct sl_incoming_request *incoming)
{
    if (incoming->part_count == 0) {
        return 0;
    }
    size_t last_shared =
        incoming->part_count > 1 ? incoming->part_count - 2 : 0;
    return SlHash_Mix(incoming->parts[last_shared].id);
}

static bool
wants_any_model(const struct sl_incoming_request *incoming)
{
    return SlStr_Equal(incoming->model, Sl_STR("*"));
}

struct sl_str
SlRoutedRequest_Model(const struct sl_routed_request *request)
{
    if (wants_any_model(&request->incoming) &&
        request->route->model_count > 0) {
        return SlName_Str(&request->route->models[request->model]);
    }
    return request->incoming.model;
}

/* Returns true if the request names a model or accepts any, or if its route
 * has no list of models. */
static bool
has_needed_model(const struct sl_incoming_request *incoming,
                 const struct sl_route *route)
{
    return route->model_count == 0 || wants_any_model(incoming) ||
           incoming->model.len > 0;
}

/* Sends an error response to a request that is not admitted. */
static void
refuse_incoming(struct sl_router *router,
                const struct sl_incoming_request *incoming, int status,
                const char *step, const char *reason, int64_t retry_after_us)
{
    const struct sl_router_refusal refusal = {
        .status = status,
        .step = step,
        .reason = reason,
        .retry_after_us = retry_after_us,
    };
    SlLogLine_Begin(router, "answered");
    SlLogLine_Str(router, "request", incoming->id);
    SlLogLine_Str(router, "host", incoming->host);
    SlLogLine_Str(router, "target", incoming->target);
    add_refusal_fields(router, &refusal);
    SlLogLine_Int(
        router, "config",
        router->routing == NULL ? -1 : SlRouting_Version(router->routing));
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_INFO);
    send_refusal(router, incoming->conn, &refusal);
    SlRouterMetrics_OnEnd(router, NULL, "refused", 0);
}

/* Returns the route of a request and sets its team. If the request cannot be
 * admitted, sends an error response and returns NULL. */
static const struct sl_route *
admit(struct sl_router *router, const struct sl_incoming_request *incoming,
      const struct sl_team **team)
{
    *team = NULL;
    if (router->stopped_accepting || router->exited) {
        refuse_incoming(router, incoming, 503, "drain",
                        "the router is shutting down", Sl_RETRY_AFTER_US);
        return NULL;
    }
    if (router->routing == NULL) {
        refuse_incoming(router, incoming, 503, "configuration",
                        SlFeeds_IsConfigurationRefused(router)
                            ? "the configuration cannot be decoded"
                            : "no configuration is known yet",
                        SlStartupQueue_RetryAfterUs(router, incoming));
        return NULL;
    }
    const struct sl_route *route =
        SlRouting_Match(router->routing, incoming->host, incoming->target);
    if (route == NULL) {
        refuse_incoming(router, incoming, 404, "route",
                        "no route has this host and path", 0);
        return NULL;
    }
    if (SlRouting_NeedsKeys(router->routing) && !route->is_public) {
        *team = SlRouting_TeamOfKey(router->routing, incoming->api_key);
        if (*team == NULL) {
            refuse_incoming(router, incoming, 401, "key",
                            "no team holds this key", 0);
            return NULL;
        }
    }
    if (!has_needed_model(incoming, route)) {
        refuse_incoming(router, incoming, 400, "model",
                        "the request names no model", 0);
        return NULL;
    }
    return route;
}

/* Returns the time at which the request must have ended. */
static int64_t
effective_deadline(const struct sl_router *router,
                   const struct sl_incoming_request *incoming,
                   const struct sl_route *route)
{
    int64_t time_left_us = Sl_DEFAULT_DEADLINE_US;
    if (route->timeout_us > 0) {
        time_left_us = route->timeout_us;
    }
    if (incoming->deadline_us > 0) {
        time_left_us = MIN(time_left_us, incoming->deadline_us);
    }
    return router->now_us + time_left_us;
}

/* Adds the ids of the prompt's parts to the current log line. */
static void
add_prompt_parts(struct sl_router *router,
                 const struct sl_incoming_request *incoming)
{
    struct sl_buf ids = {0};
    for (size_t i = 0; i < incoming->part_count; i++) {
        SlBuf_Printf(&ids, "%s%" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
                     incoming->parts[i].id);
    }
    if (incoming->part_count > 0) {
        SlLogLine_Str(router, "parts", SlBuf_Str(&ids));
    }
    SlBuf_Free(&ids);
}

static void
log_arrival(struct sl_router *router, const struct sl_routed_request *request)
{
    SlLogLine_BeginFor(router, "request", request);
    SlLogLine_Name(router, "route", &request->route->name);
    SlLogLine_Name(router, "service", &request->service->name);
    SlLogLine_Int(router, "config", SlRouting_Version(router->routing));
    SlLogLine_Int(router, "config_age_ms",
                  (router->now_us - router->routing_us) / Sl_US_PER_MS);
    SlFeeds_LogStoreAge(router);
    SlLogLine_Int(router, "priority", request->priority);
    if (request->team != NULL) {
        SlLogLine_Name(router, "team", &request->team->name);
    }
    SlLogLine_Int(router, "deadline_ms",
                  (request->deadline_us - router->now_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "prompt_tokens", request->incoming.prompt_tokens);
    add_prompt_parts(router, &request->incoming);
    SlLogLine_EventId(router, "last_event", request->incoming.last_event);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlRoutedRequest_Start(struct sl_router *router,
                      const struct sl_incoming_request *incoming)
{
    const struct sl_team *team;
    const struct sl_route *route = admit(router, incoming, &team);
    if (route == NULL) {
        return;
    }
    SlRouterMetrics_OnRequest(router, route);
    uint64_t session = hash_session(incoming);
    /* Selects the service if the route splits its traffic between several: the
     * same one for all requests of a session. */
    uint64_t hash = session != 0 ? session : SlHash_Bytes(0, incoming->id);
    const struct sl_route_service *service = SlRouting_FindService(
        router->routing, SlRoute_SelectService(route, hash));
    assert(service != NULL);
    struct sl_routed_request *request = g_new0(struct sl_routed_request, 1);
    request->conn = incoming->conn;
    request->routing = SlRouting_Ref(router->routing);
    request->route = route;
    request->service = service;
    request->team = team;
    request->session = session;
    request->prompt_prefix = hash_prompt_prefix(incoming);
    request->incoming = *incoming;
    SlIncomingRequest_CopyViews(&request->incoming, &request->text);
    request->arrival_number = ++router->last_arrival_number;
    request->arrived_us = router->now_us;
    request->deadline_us = effective_deadline(router, incoming, route);
    request->priority =
        team != NULL && team->priority >= 0 ? team->priority : route->priority;
    request->is_retryable =
        route->kind == Sl_ROUTE_IDEMPOTENT ||
        (route->kind == Sl_ROUTE_STREAM && route->resumable);
    SlBuf_Append(&request->last_event, incoming->last_event);
    request->escalated_confidence = -1; /* no response was discarded yet */
    SlPromptGuard_SetKeys(request);
    SlAdmissionControl_OnArrival(router, request);
    g_hash_table_insert(router->routed_requests, &request->conn, request);
    request->deadline_timer =
        SlTimers_Add(router->timers, request->deadline_us, on_deadline, router,
                     request->conn);
    SlRetryBudget_OnRequest(router, &service->name);
    log_arrival(router, request);
    SlRequestQueue_Add(router, request);
}

/* Returns the state's name in log lines. */
static const char *
state_name(enum sl_routed_request_state state)
{
    static const char *const names[] = {"waiting", "calling", "passing"};
    return names[state];
}

void
SlRoutedRequest_OnClientGone(struct sl_router *router, uint64_t conn)
{
    struct sl_routed_request *request =
        g_hash_table_lookup(router->routed_requests, &conn);
    if (request == NULL) {
        return;
    }
    SlLogLine_BeginLast(router, "caller_gone", request, true);
    SlLogLine_Int(router, "after_ms",
                  (router->now_us - request->arrived_us) / Sl_US_PER_MS);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_C(router, "state", state_name(request->state));
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnEnd(router, request->route, "caller_gone",
                          router->now_us - request->arrived_us);
    SlRoutedRequest_Finish(router, request);
}
