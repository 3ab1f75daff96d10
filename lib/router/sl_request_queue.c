/*
 * Flights that wait for an upstream, most urgent first, and those that are
 * refused because waiting cannot help. Answers bursts that no upstream has
 * room for at once, and services whose upstreams are gone: who cannot be
 * served in time is told at once, and when to come back.
 */
#include "sl_router_internal.h"

/* A request that no upstream can take is looked at again after so long, when
 * nothing else gives a time: another router's work may have ended. */
#define Sl_LOOK_AGAIN_US (50 * Sl_US_PER_MS)

/* A service that had an upstream so lately may have one again soon, as news of
 * it may be on their way: its requests wait. */
#define Sl_GONE_US (400 * Sl_US_PER_MS)
/* Least and largest time after which a refused caller may come back. */
#define Sl_LEAST_RETRY_US (100 * Sl_US_PER_MS)
#define Sl_MOST_RETRY_US (3 * Sl_US_PER_S)
/* The same where all upstreams have named a time. */
#define Sl_MOST_QUIET_RETRY_US (60 * Sl_US_PER_S)

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
    return x->order < y->order ? -1 : x->order > y->order ? 1 : 0;
}

void
SlRequestQueue_Add(struct sl_router *router, struct sl_routed_request *flight)
{
    assert(flight->waiting == NULL);
    flight->queued_us = router->now_us;
    g_queue_insert_sorted(router->queue, flight, compare_urgency, NULL);
    flight->waiting = g_queue_find(router->queue, flight);
    router->capacity_changed = true;
}

void
SlRequestQueue_Remove(struct sl_router *router,
                      struct sl_routed_request *flight)
{
    if (flight->waiting != NULL) {
        g_queue_delete_link(router->queue, flight->waiting);
        flight->waiting = NULL;
    }
}

static void
on_look_again(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->queue_timer = 0;
    router->capacity_changed = true;
}

static void
look_again_after(struct sl_router *router, int64_t wait_us)
{
    int64_t due = router->now_us + MIN(wait_us, Sl_LOOK_AGAIN_US);
    SlTimers_Cancel(router->timers, router->queue_timer);
    router->queue_timer =
        SlTimers_Subscribe(router->timers, due, on_look_again, router, 0);
}

/* Has the service had no upstream for some time? */
static bool
is_gone(struct sl_router *router, const struct sl_name *service)
{
    int64_t *since_us = g_hash_table_lookup(router->gone, service);
    if (since_us == NULL) {
        since_us = g_new0(int64_t, 1);
        *since_us = router->now_us;
        g_hash_table_insert(router->gone, g_memdup2(service, sizeof(*service)),
                            since_us);
    }
    return router->now_us - *since_us >= Sl_GONE_US;
}

/* Can the flight not be served any more, when an upstream may take it after
 * `wait_us` and `ahead` others for the same service go first? */
static bool
is_hopeless(struct sl_router *router, const struct sl_routed_request *flight,
            int64_t wait_us, size_t ahead)
{
    int64_t left_us = flight->deadline_us - router->now_us;
    if (wait_us == Sl_NEVER_US) {
        return is_gone(router, &flight->service->name);
    }
    int64_t run_us = SlLatency_RunUs(router, &flight->service->name);
    return wait_us * (int64_t)(ahead + 1) + run_us / 2 > left_us;
}

/* Why a flight has no upstream. */
static void
log_choice(struct sl_router *router, const struct sl_routed_request *flight,
           const struct sl_placement *choice, const char *event)
{
    SlLogLine_BeginFor(router, event, flight);
    SlLogLine_Int(router, "serving", choice->serving);
    SlLogLine_Int(router, "full", choice->full);
    SlLogLine_Int(
        router, "expected_wait_ms",
        choice->wait_us == Sl_NEVER_US ? -1 : choice->wait_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "left_ms",
                  (flight->deadline_us - router->now_us) / Sl_US_PER_MS);
    SlLogLine_Int(router, "waiting", (int64_t)router->queue->length);
    SlLogLine_End(router, Sl_LOG_INFO);
}

static void
refuse(struct sl_router *router, struct sl_routed_request *flight,
       const struct sl_placement *choice)
{
    int64_t wait_us = choice->wait_us;
    int64_t left_us = flight->deadline_us - router->now_us;
    int64_t retry_us = wait_us == Sl_NEVER_US ? left_us / 3 : wait_us;
    retry_us =
        CLAMP(retry_us, Sl_LEAST_RETRY_US,
              choice->is_quiet ? Sl_MOST_QUIET_RETRY_US : Sl_MOST_RETRY_US);
    bool ran = flight->runs > 0;
    const struct sl_refusal refusal = {
        .status = ran ? 502 : 503,
        .step = "placement",
        .reason = wait_us == Sl_NEVER_US ? "no upstream can take the request"
                  : choice->is_quiet     ? "the upstreams ask for quiet"
                                         : "the request would wait too long",
        .ran = ran,
        .retry_after_us = ran ? 0 : retry_us,
    };
    log_choice(router, flight, choice, "unplaced");
    SlRoutedRequest_Fail(router, flight, &refusal);
}

void
SlRequestQueue_Dispatch(struct sl_router *router)
{
    int64_t soonest = Sl_NEVER_US;
    router->capacity_changed = false;
    if (SlFeeds_IsRefreshing(router)) {
        look_again_after(router, router->refresh_until_us - router->now_us);
        return;
    }
    GPtrArray *waiting = g_ptr_array_new();
    GHashTable *ahead = g_hash_table_new(NULL, NULL); /* service -> count */
    for (GList *at = router->queue->head; at != NULL; at = at->next) {
        g_ptr_array_add(waiting, at->data);
    }
    for (guint i = 0; i < waiting->len; i++) {
        struct sl_routed_request *flight = waiting->pdata[i];
        gpointer key = (gpointer)flight->service;
        size_t count = GPOINTER_TO_SIZE(g_hash_table_lookup(ahead, key));
        struct sl_placement choice = SlPlacement_Choose(router, flight);
        if (choice.serving > 0) {
            g_hash_table_remove(router->gone, &flight->service->name);
        }
        if (choice.upstream != NULL) {
            SlRequestQueue_Remove(router, flight);
            SlUpstreamCall_Send(router, flight, &choice);
        }
        else if (is_hopeless(router, flight, choice.wait_us, count)) {
            refuse(router, flight, &choice);
        }
        else {
            if (flight->queued_us == router->now_us) {
                log_choice(router, flight, &choice, "queued");
            }
            soonest = MIN(soonest, choice.wait_us);
            g_hash_table_insert(ahead, key, GSIZE_TO_POINTER(count + 1));
        }
    }
    g_hash_table_destroy(ahead);
    g_ptr_array_free(waiting, TRUE);
    if (router->queue->length > 0) {
        look_again_after(router, soonest);
    }
}
