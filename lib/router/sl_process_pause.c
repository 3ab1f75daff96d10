/*
 * A process that did not run: its VM was suspended, a signal stopped it, or it
 * got no processor. Answers what had piled up meanwhile: upstreams may have
 * drained, and answers wait unread in the sockets.
 *
 * Requests wait until the store, or a peer that was asked, has said what
 * holds; that takes a few milliseconds. Digests do not end the wait: they may
 * have piled up, too. Calls under way are not given up before the bytes that
 * came for them are read, and peers are not taken for dead.
 */
#include "sl_router_internal.h"

/* A timer that runs so late tells of a stall. What was believed before a
 * shorter one is still within the bounds for leaving upstreams. */
#define Sl_STALL_US Sl_US_PER_S
/* Requests wait for a refresh for so long at most: with the store away, what
 * was believed is all there is. */
#define Sl_REFRESH_WAIT_US (300 * Sl_US_PER_MS)
/* Bytes that piled up are read within this time. */
#define Sl_CATCH_UP_US (300 * Sl_US_PER_MS)
/* After a timer that was late by this, a silence may be this process's own:
 * what waits in the sockets is read before calls are judged by it. */
#define Sl_LATE_US (50 * Sl_US_PER_MS)
#define Sl_LATE_CATCH_UP_US (100 * Sl_US_PER_MS)

/* Nobody was heard in a time in which nobody listened. */
static void
forgive_peers(struct sl_router *router, int64_t stalled_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        peer->heard_us += stalled_us;
    }
}

/* Answers that came meanwhile are still to be read, and are passed on. */
static void
forgive_calls(struct sl_router *router, int64_t until_us, bool postpone)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->flights);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_flight *flight = value;
        if (flight->exchange.token != 0) {
            flight->exchange.watch_after_us =
                MAX(flight->exchange.watch_after_us, until_us);
            if (postpone) {
                SlFlight_Postpone(router, flight, until_us);
            }
        }
    }
}

void
SlProcessPause_Check(struct sl_router *router, int64_t now_us)
{
    int64_t stalled_us = now_us - router->now_us;
    int64_t late_us = now_us - SlTimers_NextDue(router->timers);
    router->now_us = MAX(router->now_us, now_us);
    if (late_us >= Sl_LATE_US && late_us < Sl_STALL_US) {
        forgive_calls(router, router->now_us + Sl_LATE_CATCH_UP_US, false);
    }
    if (late_us < Sl_STALL_US) {
        return;
    }
    SlLogLine_Begin(router, "stalled");
    SlLogLine_Int(router, "for_ms", stalled_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "in_flight",
                  (int64_t)g_hash_table_size(router->flights));
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_WARN);
    forgive_peers(router, stalled_us);
    forgive_calls(router, router->now_us + Sl_CATCH_UP_US, true);
    SlFeeds_Refresh(router, router->now_us + Sl_REFRESH_WAIT_US);
}
