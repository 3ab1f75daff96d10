/*
 * Calls that fall silent: what is known of each is put before the decision in
 * sl_stall_policy.h, and what it says is done. Upstreams with silent calls are
 * checked, one check at a time whatever the number of their calls.
 */
#include "sl_router_internal.h"

/* A health check that has not connected by then has failed: round trips take
 * a few milliseconds, and a second check is made at once, as one opening
 * packet may be lost. */
#define Sl_CHECK_TIMEOUT_US (150 * Sl_US_PER_MS)
#define Sl_CHECKS_TO_DARK 2
#define Sl_CHECK_PAUSE_US (250 * Sl_US_PER_MS)
/* An upstream that was found dark is so for the calls that it has; they are
 * moved within this time. */
#define Sl_DARK_US (2 * Sl_US_PER_S)

/* ---- health checks ---- */

static void
begin_check(struct sl_router *router, struct sl_upstream *upstream)
{
    struct sl_health_check *check = &upstream->check;
    uint64_t *token = g_new0(uint64_t, 1);
    *token = ++router->last_token;
    if (check->failed == 0) {
        check->asked_us = router->now_us;
    }
    check->token = *token;
    g_hash_table_insert(
        router->checks, token,
        g_memdup2(&upstream->reg.id, sizeof(upstream->reg.id)));
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_RFX_HEALTH_CHECK);
    effect->u.check.token = *token;
    effect->u.check.upstream = upstream->reg.id;
    effect->u.check.address = upstream->reg.address;
    effect->u.check.timeout_us = Sl_CHECK_TIMEOUT_US;
}

static bool
has_sent_since(const struct sl_upstream *upstream, int64_t at_us)
{
    return upstream->last_bytes_us > at_us;
}

static bool
is_unreachable(const struct sl_router *router,
               const struct sl_upstream *upstream)
{
    int64_t unreachable_us = upstream->check.unreachable_us;
    return unreachable_us != 0 && !has_sent_since(upstream, unreachable_us) &&
           router->now_us - unreachable_us < Sl_DARK_US;
}

static void
found_dark(struct sl_router *router, struct sl_upstream *upstream)
{
    struct sl_health_check *check = &upstream->check;
    SlLogLine_Begin(router, "upstream_dark");
    SlLogLine_Name(router, "upstream", &upstream->reg.id);
    SlLogLine_Int(router, "in_flight", upstream->in_flight);
    SlLogLine_Int(router, "silent_ms",
                  (router->now_us - upstream->last_bytes_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "checked_ms",
                  (router->now_us - check->asked_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    check->unreachable_us = router->now_us;
    SlUpstreams_OnFailure(router, upstream);
}

static void
on_unreached(struct sl_router *router, struct sl_upstream *upstream)
{
    struct sl_health_check *check = &upstream->check;
    /* Without a byte from anybody it may be this VM that is cut off. */
    bool is_heard = router->last_bytes_us > check->asked_us;
    if (has_sent_since(upstream, check->asked_us)) {
        check->failed = 0;
        return;
    }
    check->failed++;
    if (check->failed < Sl_CHECKS_TO_DARK) {
        begin_check(router, upstream);
        return;
    }
    check->failed = 0;
    if (is_heard) {
        found_dark(router, upstream);
    }
}

void
SlStallMonitor_OnHealthChecked(struct sl_router *router, uint64_t token,
                               bool is_reached)
{
    const struct sl_name *id = g_hash_table_lookup(router->checks, &token);
    struct sl_upstream *upstream =
        id == NULL ? NULL : g_hash_table_lookup(router->upstreams, id);
    g_hash_table_remove(router->checks, &token);
    if (upstream == NULL || upstream->check.token != token) {
        return;
    }
    upstream->check.token = 0;
    if (is_reached) {
        upstream->check.failed = 0;
        upstream->check.answered_us = router->now_us;
    }
    else {
        on_unreached(router, upstream);
    }
    router->stall_check_due_us =
        router->now_us; /* its calls are looked at again */
}

/* ---- views ---- */

static enum sl_health
health_of(const struct sl_router *router,
          const struct sl_upstream_call *upstream_call)
{
    const struct sl_upstream *upstream = upstream_call->upstream;
    if (is_unreachable(router, upstream)) {
        return Sl_HEALTH_UNREACHABLE;
    }
    if (upstream->check.token != 0) {
        return Sl_HEALTH_CHECKING;
    }
    return upstream->check.answered_us > upstream_call->progress_us
               ? Sl_HEALTH_REACHABLE
               : Sl_HEALTH_UNKNOWN;
}

static int64_t
attempts_left(const struct sl_routed_request *flight)
{
    return flight->route->max_attempts - flight->runs - 1;
}

static struct sl_stall_state
view_of(const struct sl_router *router, const struct sl_routed_request *flight)
{
    const struct sl_route *route = flight->route;
    const struct sl_upstream_call *upstream_call = &flight->upstream_call;
    const struct sl_upstream *upstream = upstream_call->upstream;
    return (struct sl_stall_state){
        .silent_us = router->now_us - upstream_call->progress_us,
        .has_head = upstream_call->has_head,
        .is_engine = flight->service->is_engine,
        .others_progress_us =
            MAX(upstream->later_event_us - upstream_call->progress_us, 0),
        .is_overtaken =
            upstream->newest_answered_sent_us > upstream_call->sent_us,
        .objective_us =
            upstream_call->has_head ? route->gap_us : route->target_us,
        .expected_us = upstream_call->expected_us,
        .prefill_backlog_us = SlUpstreams_PrefillBacklogUs(router, upstream),
        .health = health_of(router, upstream_call),
        .health_age_us = router->now_us - upstream->check.answered_us,
        .is_suspected = upstream->lost_us > upstream_call->progress_us,
        .is_retryable = flight->is_retryable,
        .attempts_left = attempts_left(flight),
        .client_wait_us =
            route->kind == Sl_ROUTE_STREAM
                ? SlStallPolicy_ClientWaitUs(route->target_us, route->gap_us)
                : 0,
    };
}

/* ---- calls ---- */

static void
look_again(struct sl_router *router, struct sl_routed_request *flight,
           int64_t after_us)
{
    flight->upstream_call.next_check_us = router->now_us + after_us;
    router->stall_check_due_us =
        MIN(router->stall_check_due_us, flight->upstream_call.next_check_us);
}

static void
log_silent(struct sl_router *router, const struct sl_routed_request *flight,
           const struct sl_stall_state *silence, const char *why)
{
    SlLogLine_BeginFor(router, "call_silent", flight);
    SlLogLine_Name(router, "upstream",
                   &flight->upstream_call.upstream->reg.id);
    SlLogLine_C(router, "why", why);
    SlLogLine_Int(router, "silent_ms", silence->silent_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "expected_ms", silence->expected_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "unread_ms",
                  silence->prefill_backlog_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "others_ms",
                  silence->others_progress_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "attempts_left", silence->attempts_left);
    SlLogLine_Int(router, "last_event", flight->last_event);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Where the call could go on. */
static struct sl_stall_alternative
other_of(struct sl_router *router, const struct sl_routed_request *flight)
{
    const struct sl_upstream *upstream = flight->upstream_call.upstream;
    struct sl_placement choice = SlPlacement_Choose(router, flight);
    int64_t end_us = flight->deadline_us;
    if (router->draining) {
        end_us =
            MIN(end_us, router->drain_us + router->options.bounds.grace_us);
    }
    struct sl_stall_alternative other = {
        .exists = choice.upstream != NULL && choice.upstream != upstream,
        .first_us = choice.first_us,
        .run_us = SlLatency_RunUs(router, &flight->service->name),
        .left_us = end_us - router->now_us,
        .has_budget = SlRetryBudget_Left(router, &flight->service->name,
                                         Sl_RETRY_FAILURE) >= 1,
        .is_leaving = router->draining,
    };
    other.is_unproven =
        other.exists &&
        !SlName_Equal(&choice.upstream->reg.version, &upstream->reg.version) &&
        SlRollouts_IsBeingRolledOut(router, choice.upstream);
    return other;
}

/* Gives the silent call up, if the flight can go on elsewhere. */
static void
move(struct sl_router *router, struct sl_routed_request *flight,
     const struct sl_stall_state *silence,
     const struct sl_stall_decision *step)
{
    struct sl_upstream *upstream = flight->upstream_call.upstream;
    struct sl_stall_alternative other = other_of(router, flight);
    if (!SlStallPolicy_MayRetry(silence, step, &other)) {
        look_again(router, flight, step->check_again_us);
        return;
    }
    log_silent(router, flight, silence, step->why);
    SlRouterMetrics_OnCallFailed(router, flight, "silent");
    flight->reached_upstream = true;
    SlRoutedRequest_MarkTried(flight, upstream);
    SlUpstreamCall_Cancel(router, flight);
    SlRoutedRequest_RetryOrFail(router, flight, true, "upstream.call",
                                "the upstream fell silent");
}

static void
end(struct sl_router *router, struct sl_routed_request *flight,
    const struct sl_stall_state *silence, const char *why)
{
    static const struct sl_refusal refusal = {
        .status = 504,
        .step = "upstream.answer",
        .reason = "the stream stands still for longer than callers wait",
        .ran = true,
    };
    log_silent(router, flight, silence, why);
    SlRouterMetrics_OnCallFailed(router, flight, "silent");
    SlRoutedRequest_Fail(router, flight, &refusal);
}

/* Whatever the number of its silent calls, an upstream is checked so often. */
static bool
may_check(const struct sl_router *router, const struct sl_upstream *upstream)
{
    const struct sl_health_check *check = &upstream->check;
    return check->token == 0 &&
           !SlUpstreamNotices_IsBackingOff(router, upstream) &&
           router->now_us - check->asked_us >= Sl_CHECK_PAUSE_US;
}

static void
watch(struct sl_router *router, struct sl_routed_request *flight)
{
    struct sl_stall_state silence = view_of(router, flight);
    struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
    switch (step.verdict) {
    case Sl_STALL_RETRY:
        move(router, flight, &silence, &step);
        break;
    case Sl_STALL_FAIL:
        end(router, flight, &silence, step.why);
        break;
    case Sl_STALL_CHECK:
        if (may_check(router, flight->upstream_call.upstream)) {
            begin_check(router, flight->upstream_call.upstream);
        }
        look_again(router, flight, step.check_again_us);
        break;
    case Sl_STALL_WAIT:
    default:
        look_again(router, flight, step.check_again_us);
        break;
    }
}

/* ---- timer ---- */

static void
on_watch(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    (void)id;
    (void)now_us;
    router->stall_check_timer = 0;
    router->stall_check_due_us = Sl_NEVER_US;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *flight = value;
        if (flight->upstream_call.token == 0) {
            continue;
        }
        const struct sl_upstream_call *upstream_call = &flight->upstream_call;
        if (upstream_call->next_check_us <= router->now_us ||
            is_unreachable(router, upstream_call->upstream)) {
            g_ptr_array_add(due, flight);
        }
        else {
            router->stall_check_due_us =
                MIN(router->stall_check_due_us, upstream_call->next_check_us);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        watch(router, due->pdata[i]);
    }
    g_ptr_array_free(due, TRUE);
}

void
SlStallMonitor_Watch(struct sl_router *router,
                     struct sl_routed_request *flight)
{
    struct sl_stall_state silence = view_of(router, flight);
    struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
    look_again(router, flight, step.check_again_us);
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
    router->stall_check_timer = SlTimers_Subscribe(
        router->timers, router->stall_check_due_us, on_watch, router, 0);
}
