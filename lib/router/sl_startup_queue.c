/*
 * Startup queue: requests that arrive before the router knows its
 * configuration and the upstreams. After a restart, clients are back before
 * the first reads of the store have ended. Their requests are held until then,
 * for up to Sl_HOLD_US, instead of being refused, which would cost each client
 * a retry.
 */
#include "sl_router_internal.h"

/* Time after the router's start in which requests are held. The first reads
 * take some tens of milliseconds; if they take this long, the store is
 * unavailable. */
#define Sl_HOLD_US (1500 * Sl_US_PER_MS)
/* Requests held at most; further ones are refused at once. */
#define Sl_MAX_HELD 256
/* Least and largest Retry-After of requests that are refused because no
 * configuration is known. */
#define Sl_MIN_RETRY_AFTER_US (500 * Sl_US_PER_MS)
#define Sl_MAX_RETRY_AFTER_US (6 * Sl_US_PER_S)
/* Share of Retry-After that is added at most, so that the clients of all
 * routers do not return at once. */
#define Sl_RETRY_SPREAD_SHARE 0.25

struct sl_held_request {
    struct sl_incoming_request incoming;
    struct sl_buf text; /* memory that the views of `incoming` point to */
    int64_t arrived_us;
};

void
SlStartupQueue_FreeEntry(gpointer data)
{
    struct sl_held_request *held = data;
    SlBuf_Free(&held->text);
    g_free(held);
}

/* A timer that does nothing itself: it causes an event, and
 * SlStartupQueue_Release() runs after every event. */
static void
on_hold_end(void *context, uint64_t id, int64_t now_us)
{
    (void)context;
    (void)id;
    (void)now_us;
}

bool
SlStartupQueue_IsNeeded(const struct sl_router *router)
{
    return router->routing == NULL ||
           !router->feeds[Sl_FEED_UPSTREAMS].has_snapshot;
}

bool
SlStartupQueue_Add(struct sl_router *router,
                   const struct sl_incoming_request *incoming)
{
    if (router->exited || router->now_us - router->started_us >= Sl_HOLD_US ||
        router->startup_queue->length >= Sl_MAX_HELD) {
        return false;
    }
    struct sl_held_request *held = g_new0(struct sl_held_request, 1);
    held->incoming = *incoming;
    SlIncomingRequest_CopyViews(&held->incoming, &held->text);
    held->arrived_us = router->now_us;
    g_queue_push_tail(router->startup_queue, held);
    if (router->startup_queue->length == 1) {
        /* Ends the hold even if no other event arrives. */
        SlTimers_Add(router->timers, router->started_us + Sl_HOLD_US,
                     on_hold_end, router, 0);
    }
    return true;
}

void
SlStartupQueue_OnClientGone(struct sl_router *router, uint64_t conn)
{
    for (GList *at = router->startup_queue->head; at != NULL; at = at->next) {
        struct sl_held_request *held = at->data;
        if (held->incoming.conn == conn) {
            SlStartupQueue_FreeEntry(held);
            g_queue_delete_link(router->startup_queue, at);
            return;
        }
    }
}

/* Hands all held requests on; the router admits or refuses them. */
static void
start_all(struct sl_router *router)
{
    struct sl_held_request *held;
    while ((held = g_queue_pop_head(router->startup_queue)) != NULL) {
        int64_t waited_us = router->now_us - held->arrived_us;
        if (held->incoming.deadline_us > 0) {
            /* The deadline counts from the arrival. */
            held->incoming.deadline_us =
                MAX(held->incoming.deadline_us - waited_us, Sl_US_PER_MS);
        }
        SlRoutedRequest_Start(router, &held->incoming);
        SlStartupQueue_FreeEntry(held);
    }
}

/* An outage of the store is expected to last as long as it has lasted so far.
 * Most clients return once: a shorter time has them refused again. */
int64_t
SlStartupQueue_RetryAfterUs(const struct sl_router *router,
                            const struct sl_incoming_request *incoming)
{
    int64_t wait_us = CLAMP(router->now_us - router->started_us,
                            Sl_MIN_RETRY_AFTER_US, Sl_MAX_RETRY_AFTER_US);
    double share = SlHash_Fraction(SlHash_Bytes(0, incoming->id));
    return wait_us +
           (int64_t)(Sl_RETRY_SPREAD_SHARE * share * (double)wait_us);
}

void
SlStartupQueue_RefuseAll(struct sl_router *router)
{
    assert(router->exited); /* none is admitted any more */
    start_all(router);
}

void
SlStartupQueue_Release(struct sl_router *router)
{
    bool is_hold_over = router->now_us - router->started_us >= Sl_HOLD_US;
    if (router->startup_queue->length == 0 ||
        (SlStartupQueue_IsNeeded(router) && !is_hold_over)) {
        return;
    }
    start_all(router);
}
