/*
 * Requests that wait for an upstream, most urgent first. Requests wait during
 * bursts that exceed the capacity of the upstreams, and while a service has no
 * upstream. A request that would miss its deadline by waiting is refused at
 * once, with a Retry-After.
 */
#include "sl_router_internal.h"

#include <math.h>

/* Longest time between two dispatches of a queue that is not empty. An
 * upstream may have room because a request of another router has ended, which
 * causes no event here. */
#define Sl_REDISPATCH_US (50 * Sl_US_PER_MS)

/* Time for which requests to a service without upstreams wait before they are
 * refused: the registration of a new upstream may not have arrived yet. */
#define Sl_UNSERVED_WAIT_US (400 * Sl_US_PER_MS)
/* Least and largest Retry-After of refused requests. */
#define Sl_MIN_RETRY_AFTER_US (100 * Sl_US_PER_MS)
#define Sl_MAX_RETRY_AFTER_US (3 * Sl_US_PER_S)
/* The largest one if all upstreams have asked for back-off: the time until
 * they take requests is certain then. */
#define Sl_MAX_BACKOFF_RETRY_AFTER_US (60 * Sl_US_PER_S)

/* The slots of a limited rate come unevenly, and parts of it move between the
 * routers: of requests that are expected to make it only just, many would be
 * refused late. When one arrives, as many slots as it needs are expected to
 * come at random, by so many standard deviations late; one in twenty comes
 * later. */
#define Sl_LIMITED_DEVIATIONS 1.65
/* Few slots that begin within this time go to another router before that. */
#define Sl_LIMITED_CERTAIN_US (2 * Sl_US_PER_S)

/* ---- the queue ---- */

/* Orders requests by priority, and by arrival within a priority. */
static gint
compare_urgency(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct sl_routed_request *x = a;
    const struct sl_routed_request *y = b;
    (void)data;
    if (x->priority != y->priority) {
        return x->priority < y->priority ? -1 : 1;
    }
    return x->arrival_number < y->arrival_number   ? -1
           : x->arrival_number > y->arrival_number ? 1
                                                   : 0;
}

void
SlRequestQueue_Add(struct sl_router *router, struct sl_routed_request *request)
{
    assert(request->queue_link == NULL);
    request->queued_us = router->now_us;
    g_queue_insert_sorted(router->request_queue, request, compare_urgency,
                          NULL);
    request->queue_link = g_queue_find(router->request_queue, request);
    SlSharing_OnQueued(router->sharing, &request->claim);
    router->capacity_changed = true;
}

void
SlRequestQueue_Remove(struct sl_router *router,
                      struct sl_routed_request *request)
{
    if (request->queue_link != NULL) {
        g_queue_delete_link(router->request_queue, request->queue_link);
        request->queue_link = NULL;
        SlEngineRooms_OnLeft(router, request);
        SlSharing_OnUnqueued(router->sharing, &request->claim);
    }
}

static void
on_redispatch(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->queue_timer = 0;
    router->capacity_changed = true;
}

/* Schedules the next dispatch, after `wait_us` or Sl_REDISPATCH_US if that is
 * less. */
static void
redispatch_after(struct sl_router *router, int64_t wait_us)
{
    int64_t due_us = router->now_us + MIN(wait_us, Sl_REDISPATCH_US);
    SlTimers_Cancel(router->timers, router->queue_timer);
    router->queue_timer =
        SlTimers_Add(router->timers, due_us, on_redispatch, router, 0);
}

/* Records that no upstream serves the service now, unless that is recorded
 * already. Returns true if it has lasted for Sl_UNSERVED_WAIT_US. */
static bool
note_unserved(struct sl_router *router, const struct sl_name *service)
{
    int64_t *since_us =
        g_hash_table_lookup(router->unserved_since_us, service);
    if (since_us == NULL) {
        since_us = g_new0(int64_t, 1);
        *since_us = router->now_us;
        g_hash_table_insert(router->unserved_since_us,
                            g_memdup2(service, sizeof(*service)), since_us);
    }
    return router->now_us - *since_us >= Sl_UNSERVED_WAIT_US;
}

/* Returns the time that the request has left: until its deadline, or until the
 * drain of this router ends. */
static int64_t
time_left_us(const struct sl_router *router,
             const struct sl_routed_request *request)
{
    return MIN(request->deadline_us, SlRouter_DrainEndUs(router)) -
           router->now_us;
}

/* Returns true if the router drains and the request, placed now, would not end
 * before the process does: another router can run it instead. */
static bool
would_be_cut(const struct sl_router *router,
             const struct sl_routed_request *request,
             const struct sl_placement *placement)
{
    int64_t run_us = SlLatency_MeanRunUs(router, &request->service->name);
    return router->draining &&
           MAX(placement->first_event_us, run_us) >
               SlRouter_DrainEndUs(router) - router->now_us;
}

/* Returns true if the request, which no upstream can take now, must be refused
 * instead of waiting. It would miss its deadline or outlast the drain, if the
 * upstreams can take one request each time that the first one has to wait, or
 * as often as their limits allow, and `ahead_count` others for the same
 * service go first. Or no upstream has served it for Sl_UNSERVED_WAIT_US: the
 * placement expects none to. */
static bool
decide_refusal(struct sl_router *router,
               const struct sl_routed_request *request,
               const struct sl_placement *placement, size_t ahead_count)
{
    if (placement->wait_us == Sl_NEVER_US) {
        return note_unserved(router, &request->service->name);
    }
    int64_t interval_us = placement->limited_interval_us > 0
                              ? placement->limited_interval_us
                              : placement->wait_us;
    int64_t run_us = SlLatency_MeanRunUs(router, &request->service->name);
    return placement->wait_us + placement->limited_margin_us +
               interval_us * (int64_t)ahead_count + run_us / 2 >
           time_left_us(router, request);
}

/* Logs why no upstream can take a request now. */
static void
log_no_upstream(struct sl_router *router,
                const struct sl_routed_request *request,
                const struct sl_placement *placement,
                const struct sl_admission_decision *admission,
                const char *event)
{
    SlLogLine_BeginFor(router, event, request);
    SlLogLine_Int(router, "serving", placement->serving_count);
    SlLogLine_Int(router, "full", placement->full_count);
    SlLogLine_Int(router, "expected_wait_ms",
                  placement->wait_us == Sl_NEVER_US
                      ? -1
                      : placement->wait_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "left_ms",
                  (request->deadline_us - router->now_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "waiting", (int64_t)router->request_queue->length);
    if (admission != NULL) {
        SlAdmissionControl_Log(router, request, admission);
    }
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Ends the request with an error response, whose Retry-After is the estimated
 * time until an upstream can take a request; with `admission`, the one that it
 * gives. */
static void
refuse(struct sl_router *router, struct sl_routed_request *request,
       const struct sl_placement *placement,
       const struct sl_admission_decision *admission)
{
    int64_t wait_us = placement->wait_us;
    int64_t retry_after_us =
        placement->upstream != NULL ? 0 /* another router can send it now */
        : wait_us == Sl_NEVER_US ? (request->deadline_us - router->now_us) / 3
                                 : wait_us;
    retry_after_us =
        CLAMP(retry_after_us, Sl_MIN_RETRY_AFTER_US,
              placement->all_backing_off ? Sl_MAX_BACKOFF_RETRY_AFTER_US
                                         : Sl_MAX_RETRY_AFTER_US);
    if (admission != NULL) {
        retry_after_us = admission->retry_after_us;
    }
    bool may_have_run = request->possible_runs > 0;
    const struct sl_router_refusal refusal = {
        .status = may_have_run ? 502 : 503,
        .step = "placement",
        .reason = router->draining ? "the router is shutting down"
                  : placement->exceeds_memory
                      ? "the request exceeds the memory of every upstream"
                  : admission != NULL      ? admission->reason
                  : wait_us == Sl_NEVER_US ? "no upstream can take the request"
                  : placement->all_backing_off
                      ? "the upstreams asked for back-off"
                      : "the request would wait too long",
        .may_have_run = may_have_run,
        .retry_after_us = may_have_run ? 0 : retry_after_us,
    };
    if (admission != NULL) {
        SlRouterMetrics_OnTeamRefused(router, request);
    }
    log_no_upstream(router, request, placement, admission, "unplaced");
    SlRoutedRequest_Fail(router, request, &refusal);
}

/* Lengthens the expected wait of a request that has just arrived while all
 * upstreams are limited, so that it is refused now rather than later. */
static void
expect_uneven_slots(const struct sl_router *router,
                    const struct sl_routed_request *request,
                    struct sl_placement *placement, size_t ahead_count)
{
    if (placement->limited_interval_us == 0 ||
        request->queued_us != router->now_us ||
        (ahead_count == 0 && placement->wait_us <= Sl_LIMITED_CERTAIN_US)) {
        return;
    }
    double slots = (double)ahead_count + 1;
    double late_slots = slots + Sl_LIMITED_DEVIATIONS * sqrt(slots);
    int64_t interval_us = placement->limited_interval_us;
    int64_t expected_us =
        placement->wait_us + interval_us * (int64_t)ahead_count;
    int64_t late_us = (int64_t)((double)interval_us * late_slots);
    placement->limited_margin_us = MAX(late_us - expected_us, 0);
}

/* Waiting requests of one dispatch. */
struct sl_queue_dispatch {
    GPtrArray *waiting; /* a copy of the queue, which changes while requests
                           are sent and refused */
    struct sl_admission_pass *pass; /* NULL: no admission control */
    /* Without `pass`: service -> number of its requests that were seen and
     * still wait. */
    GHashTable *ahead_counts;
    int64_t shortest_wait_us;
};

/* Decides whether the request, which waits, is refused. Sets `admission` and
 * returns true for what admission control decides. */
static bool
decide_admission(struct sl_queue_dispatch *dispatch, size_t index,
                 const struct sl_placement *placement,
                 struct sl_admission_decision *admission)
{
    const struct sl_routed_request *request = dispatch->waiting->pdata[index];
    if (dispatch->pass == NULL || placement->all_backing_off ||
        (placement->upstream == NULL && placement->wait_us == Sl_NEVER_US) ||
        (placement->upstream != NULL && request->possible_runs > 0)) {
        return false;
    }
    *admission = SlAdmissionControl_Decide(dispatch->pass, index, placement);
    return true;
}

/* Handles that the request waits on. */
static void
keep_waiting(struct sl_router *router, struct sl_queue_dispatch *dispatch,
             size_t index, const struct sl_placement *placement,
             const struct sl_admission_decision *admission)
{
    struct sl_routed_request *request = dispatch->waiting->pdata[index];
    gpointer key = (gpointer)request->service;
    size_t ahead_count =
        GPOINTER_TO_SIZE(g_hash_table_lookup(dispatch->ahead_counts, key));
    if (request->queued_us == router->now_us) {
        log_no_upstream(router, request, placement, admission, "queued");
    }
    SlEngineRooms_OnWaiting(router, request, placement);
    dispatch->shortest_wait_us =
        MIN(dispatch->shortest_wait_us, placement->wait_us);
    g_hash_table_insert(dispatch->ahead_counts, key,
                        GSIZE_TO_POINTER(ahead_count + 1));
    if (dispatch->pass != NULL) {
        SlAdmissionControl_OnKept(dispatch->pass, index);
    }
}

/* Sends the request, refuses it or lets it wait on. */
static void
dispatch_request(struct sl_router *router, struct sl_queue_dispatch *dispatch,
                 size_t index)
{
    struct sl_routed_request *request = dispatch->waiting->pdata[index];
    struct sl_placement placement =
        dispatch->pass == NULL
            ? SlPlacement_Choose(router, request)
            : SlAdmissionControl_Place(dispatch->pass, index);
    struct sl_admission_decision admission = {.action = Sl_ADMISSION_ADMIT};
    size_t ahead_count = GPOINTER_TO_SIZE(
        g_hash_table_lookup(dispatch->ahead_counts, request->service));
    expect_uneven_slots(router, request, &placement, ahead_count);
    if (placement.serving_count > 0) {
        g_hash_table_remove(router->unserved_since_us,
                            &request->service->name);
    }
    bool is_decided =
        decide_admission(dispatch, index, &placement, &admission);
    const struct sl_admission_decision *decided =
        is_decided ? &admission : NULL;
    if (placement.upstream != NULL &&
        would_be_cut(router, request, &placement)) {
        refuse(router, request, &placement, NULL);
    }
    else if (admission.action == Sl_ADMISSION_REFUSE) {
        refuse(router, request, &placement, decided);
    }
    else if (placement.upstream != NULL) {
        SlRequestQueue_Remove(router, request);
        SlUpstreamCall_Send(router, request, &placement);
    }
    else if (placement.exceeds_memory ||
             (!is_decided &&
              decide_refusal(router, request, &placement, ahead_count))) {
        refuse(router, request, &placement, NULL);
    }
    else {
        keep_waiting(router, dispatch, index, &placement, decided);
    }
}

void
SlRequestQueue_Dispatch(struct sl_router *router)
{
    router->capacity_changed = false;
    if (SlFeeds_IsRefreshing(router)) {
        redispatch_after(router, router->refresh_until_us - router->now_us);
        return;
    }
    struct sl_queue_dispatch dispatch = {
        .waiting = g_ptr_array_new(),
        .ahead_counts = g_hash_table_new(NULL, NULL),
        .shortest_wait_us = Sl_NEVER_US,
    };
    for (GList *at = router->request_queue->head; at != NULL; at = at->next) {
        g_ptr_array_add(dispatch.waiting, at->data);
    }
    dispatch.pass = SlAdmissionControl_Begin(router, dispatch.waiting);
    for (guint i = 0; i < dispatch.waiting->len; i++) {
        if (SlPromptGuard_Decide(router, dispatch.waiting->pdata[i]) ==
            Sl_PROMPT_ADMITTED) {
            dispatch_request(router, &dispatch, i);
        }
    }
    SlAdmissionControl_End(dispatch.pass);
    g_hash_table_destroy(dispatch.ahead_counts);
    g_ptr_array_free(dispatch.waiting, TRUE);
    if (router->request_queue->length > 0) {
        redispatch_after(router, dispatch.shortest_wait_us);
    }
}
