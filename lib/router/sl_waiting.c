/* Flights that wait for an upstream, most urgent first. Answers bursts that
 * no upstream has room for at once. */
#include "sl_router_internal.h"

/* A request that no upstream can take is looked at again after so long, when
 * nothing else gives a time: another router's work may have ended. */
#define Sl_LOOK_AGAIN_US (50 * Sl_US_PER_MS)

static gint
compare_urgency(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct sl_flight *x = a;
    const struct sl_flight *y = b;
    (void)data;
    if (x->priority != y->priority) {
        return x->priority < y->priority ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order ? 1 : 0;
}

void
SlWaiting_Add(struct sl_router *router, struct sl_flight *flight)
{
    assert(flight->waiting == NULL);
    g_queue_insert_sorted(router->queue, flight, compare_urgency, NULL);
    flight->waiting = g_queue_find(router->queue, flight);
    router->capacity_changed = true;
}

void
SlWaiting_Remove(struct sl_router *router, struct sl_flight *flight)
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
    router->look_timer = 0;
    router->capacity_changed = true;
}

static void
look_again_after(struct sl_router *router, int64_t wait_us)
{
    int64_t due = router->now_us + MIN(wait_us, Sl_LOOK_AGAIN_US);
    SlTimers_Cancel(router->timers, router->look_timer);
    router->look_timer =
        SlTimers_Subscribe(router->timers, due, on_look_again, router, 0);
}

void
SlWaiting_Run(struct sl_router *router)
{
    int64_t soonest = Sl_NEVER_US;
    GList *at = router->queue->head;
    router->capacity_changed = false;
    while (at != NULL) {
        struct sl_flight *flight = at->data;
        int64_t wait_us;
        struct sl_upstream *upstream =
            SlPlacement_Choose(router, flight, &wait_us);
        at = at->next;
        if (upstream == NULL) {
            soonest = MIN(soonest, wait_us);
            continue;
        }
        SlWaiting_Remove(router, flight);
        SlCalls_Send(router, flight, upstream);
    }
    if (router->queue->length > 0) {
        look_again_after(router, soonest);
    }
}
