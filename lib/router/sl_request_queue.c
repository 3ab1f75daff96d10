/*
 * Requests that wait for an upstream, most urgent first. Requests wait during
 * bursts that exceed the capacity of the upstreams, and while a service has no
 * upstream. A request that would miss its deadline by waiting is refused at
 * once, with a Retry-After.
 */
#include "sl_router_internal.h"

/* The queue is dispatched again at least this often: the work of another
 * router may have ended, which this one does not see. */
#define Sl_REDISPATCH_US (50 * Sl_US_PER_MS)

/* Requests wait this long for a service that has lost its last upstream: the
 * registration of a new one may not have arrived yet. */
#define Sl_UNSERVED_WAIT_US (400 * Sl_US_PER_MS)
/* Bounds of the Retry-After of refused requests. */
#define Sl_MIN_RETRY_AFTER_US (100 * Sl_US_PER_MS)
#define Sl_MAX_RETRY_AFTER_US (3 * Sl_US_PER_S)
/* The upper bound if all upstreams have asked for back-off themselves. */
#define Sl_MAX_BACKOFF_RETRY_AFTER_US (60 * Sl_US_PER_S)

/* ---- the queue ---- */

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
    router->capacity_changed = true;
}

void
SlRequestQueue_Remove(struct sl_router *router,
                      struct sl_routed_request *request)
{
    if (request->queue_link != NULL) {
        g_queue_delete_link(router->request_queue, request->queue_link);
        request->queue_link = NULL;
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

static void
redispatch_after(struct sl_router *router, int64_t wait_us)
{
    int64_t due = router->now_us + MIN(wait_us, Sl_REDISPATCH_US);
    SlTimers_Cancel(router->timers, router->queue_timer);
    router->queue_timer =
        SlTimers_Subscribe(router->timers, due, on_redispatch, router, 0);
}

/* Returns true if the service has had no upstream for Sl_UNSERVED_WAIT_US.
 * Starts that time on the first call. */
static bool
is_unserved(struct sl_router *router, const struct sl_name *service)
{
    int64_t *since_us = g_hash_table_lookup(router->unserved_since, service);
    if (since_us == NULL) {
        since_us = g_new0(int64_t, 1);
        *since_us = router->now_us;
        g_hash_table_insert(router->unserved_since,
                            g_memdup2(service, sizeof(*service)), since_us);
    }
    return router->now_us - *since_us >= Sl_UNSERVED_WAIT_US;
}

/* Returns true if the request cannot meet its deadline when an upstream can
 * take one request per `wait_us`, and `ahead` others for the same service go
 * first. If no upstream serves it (Sl_NEVER_US), returns true once the wait
 * for a new one is over. */
static bool
will_miss_deadline(struct sl_router *router,
                   const struct sl_routed_request *request, int64_t wait_us,
                   size_t ahead)
{
    int64_t left_us = request->deadline_us - router->now_us;
    if (wait_us == Sl_NEVER_US) {
        return is_unserved(router, &request->service->name);
    }
    int64_t run_us = SlLatency_MeanRunUs(router, &request->service->name);
    return wait_us * (int64_t)(ahead + 1) + run_us / 2 > left_us;
}

/* Logs why a request has no upstream. */
static void
log_no_upstream(struct sl_router *router,
                const struct sl_routed_request *request,
                const struct sl_placement *placement, const char *event)
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
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
refuse(struct sl_router *router, struct sl_routed_request *request,
       const struct sl_placement *placement)
{
    int64_t wait_us = placement->wait_us;
    int64_t left_us = request->deadline_us - router->now_us;
    int64_t retry_us = wait_us == Sl_NEVER_US ? left_us / 3 : wait_us;
    retry_us = CLAMP(retry_us, Sl_MIN_RETRY_AFTER_US,
                     placement->all_backing_off ? Sl_MAX_BACKOFF_RETRY_AFTER_US
                                                : Sl_MAX_RETRY_AFTER_US);
    bool ran = request->possible_runs > 0;
    const struct sl_router_refusal refusal = {
        .status = ran ? 502 : 503,
        .step = "placement",
        .reason = wait_us == Sl_NEVER_US ? "no upstream can take the request"
                  : placement->all_backing_off
                      ? "the upstreams asked for back-off"
                      : "the request would wait too long",
        .may_have_run = ran,
        .retry_after_us = ran ? 0 : retry_us,
    };
    log_no_upstream(router, request, placement, "unplaced");
    SlRoutedRequest_Fail(router, request, &refusal);
}

void
SlRequestQueue_Dispatch(struct sl_router *router)
{
    int64_t soonest = Sl_NEVER_US;
    router->capacity_changed = false;
    if (SlFeeds_IsRefreshing(router)) {
        redispatch_after(router, router->refresh_until_us - router->now_us);
        return;
    }
    GPtrArray *waiting = g_ptr_array_new();
    GHashTable *ahead = g_hash_table_new(NULL, NULL); /* service -> count */
    for (GList *at = router->request_queue->head; at != NULL; at = at->next) {
        g_ptr_array_add(waiting, at->data);
    }
    for (guint i = 0; i < waiting->len; i++) {
        struct sl_routed_request *request = waiting->pdata[i];
        gpointer key = (gpointer)request->service;
        size_t count = GPOINTER_TO_SIZE(g_hash_table_lookup(ahead, key));
        struct sl_placement placement = SlPlacement_Choose(router, request);
        if (placement.serving_count > 0) {
            g_hash_table_remove(router->unserved_since,
                                &request->service->name);
        }
        if (placement.upstream != NULL) {
            SlRequestQueue_Remove(router, request);
            SlUpstreamCall_Send(router, request, &placement);
        }
        else if (will_miss_deadline(router, request, placement.wait_us,
                                    count)) {
            refuse(router, request, &placement);
        }
        else {
            if (request->queued_us == router->now_us) {
                log_no_upstream(router, request, &placement, "queued");
            }
            soonest = MIN(soonest, placement.wait_us);
            g_hash_table_insert(ahead, key, GSIZE_TO_POINTER(count + 1));
        }
    }
    g_hash_table_destroy(ahead);
    g_ptr_array_free(waiting, TRUE);
    if (router->request_queue->length > 0) {
        redispatch_after(router, soonest);
    }
}
