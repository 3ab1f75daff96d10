/*
 * Requests that come before the router knows a configuration and the
 * upstreams. Answers the load after a restart, when callers are back before
 * the first reads of the store: a request waits for these, for a second or so,
 * instead of being refused, which would cost its caller a repeat.
 */
#include "sl_router_internal.h"

/* The first reads take some tens of milliseconds; with the store away there is
 * nothing to wait for. */
#define Sl_EARLY_WAIT_US (1500 * Sl_US_PER_MS)
/* More than this many are refused at once. */
#define Sl_MAX_EARLY 256

struct sl_early {
    struct sl_incoming_request ask;
    struct sl_buf text;
    int64_t arrived_us;
};

void
SlStartupQueue_FreeEntry(gpointer data)
{
    struct sl_early *early = data;
    SlBuf_Free(&early->text);
    g_free(early);
}

static void
on_wait_end(void *context, uint64_t id, int64_t now_us)
{
    (void)context; /* SlStartupQueue_Release() follows every event */
    (void)id;
    (void)now_us;
}

bool
SlStartupQueue_IsNeeded(const struct sl_router *router)
{
    return router->routing == NULL || !router->feeds[Sl_FEED_UPSTREAMS].synced;
}

bool
SlStartupQueue_Add(struct sl_router *router,
                   const struct sl_incoming_request *ask)
{
    if (router->now_us - router->started_us >= Sl_EARLY_WAIT_US ||
        router->early->length >= Sl_MAX_EARLY) {
        return false;
    }
    struct sl_early *early = g_new0(struct sl_early, 1);
    early->ask = *ask;
    SlIncomingRequest_CopyViews(&early->ask, &early->text);
    early->arrived_us = router->now_us;
    g_queue_push_tail(router->early, early);
    if (router->early->length == 1) {
        /* So that the wait ends when nothing else happens. */
        SlTimers_Subscribe(router->timers,
                           router->started_us + Sl_EARLY_WAIT_US, on_wait_end,
                           router, 0);
    }
    return true;
}

void
SlStartupQueue_OnClientGone(struct sl_router *router, uint64_t conn)
{
    for (GList *at = router->early->head; at != NULL; at = at->next) {
        struct sl_early *early = at->data;
        if (early->ask.conn == conn) {
            SlStartupQueue_FreeEntry(early);
            g_queue_delete_link(router->early, at);
            return;
        }
    }
}

void
SlStartupQueue_Release(struct sl_router *router)
{
    bool is_over = router->now_us - router->started_us >= Sl_EARLY_WAIT_US;
    if (router->early->length == 0 ||
        (SlStartupQueue_IsNeeded(router) && !is_over)) {
        return;
    }
    struct sl_early *early;
    while ((early = g_queue_pop_head(router->early)) != NULL) {
        int64_t waited_us = router->now_us - early->arrived_us;
        if (early->ask.deadline_us > 0) {
            early->ask.deadline_us =
                MAX(early->ask.deadline_us - waited_us, Sl_US_PER_MS);
        }
        SlRoutedRequest_Start(router, &early->ask);
        SlStartupQueue_FreeEntry(early);
    }
}
