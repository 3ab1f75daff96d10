/*
 * Watches calls for progress: passes the state of each call to the decision in
 * sl_stall_policy.h, and carries the decision out. An upstream with stalled
 * calls gets health checks, one at a time for all of these calls.
 */
#include "sl_router_internal.h"

/* Time in which a health check must connect. Round trips take a few
 * milliseconds. */
#define Sl_CHECK_TIMEOUT_US (150 * Sl_US_PER_MS)
/* Failed checks after which an upstream counts as unreachable: the SYN of one
 * may be lost. They form a series, in which each check follows at once. */
#define Sl_CHECKS_TO_UNREACHABLE 2
/* Least time between the starts of two series of checks of an upstream. */
#define Sl_CHECK_INTERVAL_US (250 * Sl_US_PER_MS)
/* Time for which an upstream counts as unreachable after such a series. Its
 * calls are moved in this time. */
#define Sl_UNREACHABLE_US (2 * Sl_US_PER_S)

/* ---- health checks ---- */

/* Begins a health check, the first of a series or a further one. */
static void
begin_check(struct sl_router *router, struct sl_router_upstream *upstream)
{
    struct sl_health_check *check = &upstream->health_check;
    uint64_t *token = g_new0(uint64_t, 1);
    *token = ++router->last_token;
    if (check->failed_count == 0) {
        check->series_started_us = router->now_us;
    }
    check->token = *token;
    g_hash_table_insert(router->health_checks, token,
                        g_memdup2(&upstream->registration.id,
                                  sizeof(upstream->registration.id)));
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_HEALTH_CHECK);
    effect->u.health_check.token = *token;
    effect->u.health_check.upstream =
        SlRouter_CopyName(router, &upstream->registration.id);
    effect->u.health_check.address =
        SlRouter_CopyName(router, &upstream->registration.address);
    effect->u.health_check.timeout_us = Sl_CHECK_TIMEOUT_US;
}

void
SlStallMonitor_CheckUpstream(struct sl_router *router,
                             struct sl_router_upstream *upstream)
{
    if (upstream->health_check.token == 0 &&
        !SlUpstreamNotices_IsBackingOff(router, upstream)) {
        upstream->health_check.failed_count = 0;
        begin_check(router, upstream);
    }
}

/* Returns true if the upstream has sent bytes on any call since `since_us`. */
static bool
has_sent_since(const struct sl_router_upstream *upstream, int64_t since_us)
{
    return upstream->last_bytes_us > since_us;
}

/* Returns true if the upstream was found unreachable lately, and has not sent
 * bytes since. */
static bool
is_unreachable(const struct sl_router *router,
               const struct sl_router_upstream *upstream)
{
    int64_t unreachable_us = upstream->health_check.unreachable_us;
    return unreachable_us != 0 && !has_sent_since(upstream, unreachable_us) &&
           router->now_us - unreachable_us < Sl_UNREACHABLE_US;
}

static void
set_unreachable(struct sl_router *router, struct sl_router_upstream *upstream)
{
    struct sl_health_check *check = &upstream->health_check;
    SlLogLine_Begin(router, "upstream_dark");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "in_flight", upstream->in_flight);
    SlLogLine_Int(router, "silent_ms",
                  (router->now_us - upstream->last_bytes_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "checked_ms",
                  (router->now_us - check->series_started_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    check->unreachable_us = router->now_us;
    SlUpstreams_OnFailure(router, upstream);
}

static void
on_check_failed(struct sl_router *router, struct sl_router_upstream *upstream)
{
    struct sl_health_check *check = &upstream->health_check;
    /* If no upstream or peer has sent a byte meanwhile, it may be this VM that
     * is cut off. */
    bool is_any_heard = router->last_bytes_us > check->series_started_us;
    if (has_sent_since(upstream, check->series_started_us)) {
        check->failed_count = 0;
        return;
    }
    check->failed_count++;
    if (check->failed_count < Sl_CHECKS_TO_UNREACHABLE) {
        begin_check(router, upstream);
        return;
    }
    check->failed_count = 0;
    SlEngineEnds_OnUnreachable(router, upstream);
    if (is_any_heard) {
        set_unreachable(router, upstream);
    }
}

void
SlStallMonitor_OnHealthChecked(struct sl_router *router, uint64_t token,
                               bool is_reached)
{
    const struct sl_name *id =
        g_hash_table_lookup(router->health_checks, &token);
    struct sl_router_upstream *upstream =
        id == NULL ? NULL : g_hash_table_lookup(router->upstreams, id);
    g_hash_table_remove(router->health_checks, &token);
    if (upstream == NULL || upstream->health_check.token != token) {
        return;
    }
    upstream->health_check.token = 0;
    if (is_reached) {
        upstream->health_check.failed_count = 0;
        upstream->health_check.passed_us = router->now_us;
    }
    else {
        on_check_failed(router, upstream);
    }
    /* The result may change the decision on the upstream's calls, and on
     * requests that wait for it. */
    router->stall_check_due_us = router->now_us;
    router->capacity_changed = true;
}

/* ---- state of calls ---- */

static enum sl_health
health_of(const struct sl_router *router, const struct sl_upstream_call *call)
{
    const struct sl_router_upstream *upstream = call->upstream;
    if (is_unreachable(router, upstream)) {
        return Sl_HEALTH_UNREACHABLE;
    }
    if (upstream->health_check.token != 0) {
        return Sl_HEALTH_CHECKING;
    }
    return upstream->health_check.passed_us > call->progress_us
               ? Sl_HEALTH_REACHABLE
               : Sl_HEALTH_UNKNOWN;
}

/* Returns the number of attempts that may follow the current one. */
static int64_t
attempts_left(const struct sl_routed_request *request)
{
    return request->route->max_attempts - request->possible_runs - 1;
}

/* Returns what the policy needs to know of the request's call. */
static struct sl_stall_state
stall_state_of(const struct sl_router *router,
               const struct sl_routed_request *request)
{
    const struct sl_route *route = request->route;
    const struct sl_upstream_call *call = &request->upstream_call;
    const struct sl_router_upstream *upstream = call->upstream;
    return (struct sl_stall_state){
        .silent_us = call->is_paused ? 0 : router->now_us - call->progress_us,
        .has_head = call->has_head,
        .is_engine = request->service->is_engine,
        .others_progress_us =
            MAX(upstream->later_event_us - call->progress_us, 0),
        .is_overtaken = upstream->newest_answered_sent_us > call->sent_us,
        .objective_us =
            call->has_head ? route->target_gap_us : route->target_latency_us,
        .expected_us = call->expected_us,
        .prefill_backlog_us = SlUpstreams_PrefillBacklogUs(router, upstream),
        .health = health_of(router, call),
        .health_age_us = router->now_us - upstream->health_check.passed_us,
        .is_suspected = upstream->failed_us > call->progress_us,
        .is_retryable = request->is_retryable,
        .attempts_left = attempts_left(request),
        .client_wait_us =
            route->kind == Sl_ROUTE_STREAM
                ? SlStallPolicy_ClientWaitUs(route->target_latency_us,
                                             route->target_gap_us)
                : 0,
    };
}

/* ---- calls ---- */

/* Sets the time of the next decision on the request's call. */
static void
decide_again_after(struct sl_router *router, struct sl_routed_request *request,
                   int64_t after_us)
{
    request->upstream_call.next_check_us = router->now_us + after_us;
    router->stall_check_due_us =
        MIN(router->stall_check_due_us, request->upstream_call.next_check_us);
}

static void
log_stalled(struct sl_router *router, const struct sl_routed_request *request,
            const struct sl_stall_state *state, const char *reason)
{
    SlLogLine_BeginFor(router, "call_silent", request);
    SlLogLine_Name(router, "upstream",
                   &request->upstream_call.upstream->registration.id);
    SlLogLine_C(router, "why", reason);
    SlLogLine_Int(router, "silent_ms", state->silent_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "expected_ms", state->expected_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "unread_ms",
                  state->prefill_backlog_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "others_ms",
                  state->others_progress_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "attempts_left", state->attempts_left);
    SlLogLine_EventId(router, "last_event", SlBuf_Str(&request->last_event));
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Returns the upstream that the request could be moved to, and the limits that
 * apply. */
static struct sl_stall_alternative
find_alternative(struct sl_router *router,
                 const struct sl_routed_request *request)
{
    const struct sl_router_upstream *upstream =
        request->upstream_call.upstream;
    struct sl_placement placement = SlPlacement_Choose(router, request);
    int64_t end_us = MIN(request->deadline_us, SlRouter_DrainEndUs(router));
    struct sl_stall_alternative other = {
        .exists = placement.upstream != NULL && placement.upstream != upstream,
        .first_event_us = placement.first_event_us,
        .run_us = SlLatency_MeanRunUs(router, &request->service->name),
        .time_left_us = end_us - router->now_us,
        .has_budget = SlRetryBudget_Remaining(router, &request->service->name,
                                              Sl_RETRY_FAILURE) >= 1,
        .is_draining = router->draining,
    };
    other.is_unproven =
        other.exists &&
        !SlName_Equal(&placement.upstream->registration.version,
                      &upstream->registration.version) &&
        SlRollouts_IsBeingRolledOut(router, placement.upstream);
    return other;
}

/* Gives up the stalled call if the request may be moved to another upstream;
 * otherwise the call goes on. */
static void
retry_if_allowed(struct sl_router *router, struct sl_routed_request *request,
                 const struct sl_stall_state *state,
                 const struct sl_stall_decision *decision)
{
    struct sl_router_upstream *upstream = request->upstream_call.upstream;
    struct sl_stall_alternative other = find_alternative(router, request);
    if (!SlStallPolicy_MayRetry(state, decision, &other)) {
        decide_again_after(router, request, decision->decide_again_us);
        return;
    }
    log_stalled(router, request, state, decision->reason);
    SlRouterMetrics_OnCallFailed(router, request, "silent");
    request->reached_upstream = true;
    SlRoutedRequest_MarkTried(request, upstream);
    SlUpstreamCall_Cancel(router, request);
    SlRoutedRequest_RetryOrFail(router, request, true, "upstream.call",
                                "the upstream stalled");
}

/* Ends the request with an error response, or cuts off its response. */
static void
fail(struct sl_router *router, struct sl_routed_request *request,
     const struct sl_stall_state *state, const char *reason)
{
    static const struct sl_router_refusal refusal = {
        .status = 504,
        .step = "upstream.answer",
        .reason = "the stream stalled for longer than clients wait",
        .may_have_run = true,
    };
    log_stalled(router, request, state, reason);
    SlRouterMetrics_OnCallFailed(router, request, "silent");
    SlRoutedRequest_Fail(router, request, &refusal);
}

/* Returns true if a health check of the upstream may begin. The interval
 * between checks does not depend on the number of stalled calls. */
static bool
may_check(const struct sl_router *router,
          const struct sl_router_upstream *upstream)
{
    const struct sl_health_check *check = &upstream->health_check;
    return check->token == 0 &&
           !SlUpstreamNotices_IsBackingOff(router, upstream) &&
           router->now_us - check->series_started_us >= Sl_CHECK_INTERVAL_US;
}

/* Decides on the request's call, and carries the decision out. */
static void
check_call(struct sl_router *router, struct sl_routed_request *request)
{
    struct sl_stall_state state = stall_state_of(router, request);
    struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
    switch (decision.action) {
    case Sl_STALL_RETRY:
        retry_if_allowed(router, request, &state, &decision);
        break;
    case Sl_STALL_FAIL:
        fail(router, request, &state, decision.reason);
        break;
    case Sl_STALL_CHECK:
        if (may_check(router, request->upstream_call.upstream)) {
            begin_check(router, request->upstream_call.upstream);
        }
        decide_again_after(router, request, decision.decide_again_us);
        break;
    case Sl_STALL_WAIT:
    default:
        decide_again_after(router, request, decision.decide_again_us);
        break;
    }
}

/* ---- timer ---- */

static void
on_stall_check(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    /* Requests with a call to check: a copy, as checks remove requests. */
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    (void)id;
    (void)now_us;
    router->stall_check_timer = 0;
    router->stall_check_due_us = Sl_NEVER_US;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *request = value;
        if (request->upstream_call.token == 0) {
            continue;
        }
        const struct sl_upstream_call *call = &request->upstream_call;
        if (call->next_check_us <= router->now_us ||
            is_unreachable(router, call->upstream)) {
            g_ptr_array_add(due, request);
        }
        else {
            router->stall_check_due_us =
                MIN(router->stall_check_due_us, call->next_check_us);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        check_call(router, due->pdata[i]);
    }
    g_ptr_array_free(due, TRUE);
}

void
SlStallMonitor_Watch(struct sl_router *router,
                     struct sl_routed_request *request)
{
    struct sl_stall_state state = stall_state_of(router, request);
    struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
    decide_again_after(router, request, decision.decide_again_us);
}

void
SlStallMonitor_ArmTimer(struct sl_router *router)
{
    if (router->stall_check_due_us == Sl_NEVER_US ||
        (router->stall_check_timer != 0 &&
         router->stall_check_timer_us <= router->stall_check_due_us)) {
        return;
    }
    SlTimers_Cancel(router->timers, router->stall_check_timer);
    router->stall_check_timer_us = router->stall_check_due_us;
    router->stall_check_timer = SlTimers_Add(
        router->timers, router->stall_check_due_us, on_stall_check, router, 0);
}
