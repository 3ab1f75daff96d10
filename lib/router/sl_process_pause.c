/*
 * Recovery after the process was paused: its VM was suspended, a signal
 * stopped it, or it got no processor time. Meanwhile upstreams may have
 * drained, and responses wait unread in the sockets.
 *
 * Requests wait until the store, or a peer that records are pulled from, has
 * sent the current state, which takes a few milliseconds. Digests do not end
 * this wait, as they may have queued up in the socket as well. Calls under way
 * are not cancelled before the bytes that came for them are read, and peers
 * are not taken for dead.
 */
#include "sl_router_internal.h"

/* A timer that runs this late shows a pause. After a shorter one, the state
 * from before it is still within the bounds for leaving upstreams. */
#define Sl_PAUSE_US Sl_US_PER_S
/* Longest time that requests wait for the refresh. If the store is
 * unavailable, the state from before the pause is all there is. */
#define Sl_REFRESH_WAIT_US (300 * Sl_US_PER_MS)
/* Time in which bytes that came during a pause are read. */
#define Sl_CATCH_UP_US (300 * Sl_US_PER_MS)
/* After a timer that was late by this, a call may seem stalled only because
 * this process did not read its bytes: what waits in the sockets is read
 * before the stall monitor decides about calls. */
#define Sl_LATE_US (50 * Sl_US_PER_MS)
#define Sl_LATE_CATCH_UP_US (100 * Sl_US_PER_MS)

/* Peers could not be heard during the pause: it does not count as silence. */
static void
extend_peer_timeouts(struct sl_router *router, int64_t paused_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_peer *peer = value;
        peer->newest_digest_sent_us += paused_us;
    }
}

/* Responses that came meanwhile are still to be read and forwarded: no call
 * under way is taken for stalled before `until_us`. With `extend_deadlines`,
 * no request's deadline ends before then either. */
static void
extend_call_timeouts(struct sl_router *router, int64_t until_us,
                     bool extend_deadlines)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *request = value;
        if (request->upstream_call.token != 0) {
            request->upstream_call.next_check_us =
                MAX(request->upstream_call.next_check_us, until_us);
            if (extend_deadlines) {
                SlRoutedRequest_ExtendDeadline(router, request, until_us);
            }
        }
    }
}

void
SlProcessPause_Check(struct sl_router *router, int64_t now_us)
{
    int64_t paused_us = now_us - router->now_us;
    int64_t late_us = now_us - SlTimers_NextDueUs(router->timers);
    router->now_us = MAX(router->now_us, now_us);
    if (late_us >= Sl_LATE_US && late_us < Sl_PAUSE_US) {
        extend_call_timeouts(router, router->now_us + Sl_LATE_CATCH_UP_US,
                             false);
    }
    if (late_us < Sl_PAUSE_US) {
        return;
    }
    SlLogLine_Begin(router, "stalled");
    SlLogLine_Int(router, "for_ms", paused_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "in_flight",
                  (int64_t)g_hash_table_size(router->routed_requests));
    SlFeeds_LogStoreAge(router);
    SlLogLine_End(router, Sl_LOG_WARN);
    extend_peer_timeouts(router, paused_us);
    extend_call_timeouts(router, router->now_us + Sl_CATCH_UP_US, true);
    SlFeeds_Refresh(router, router->now_us + Sl_REFRESH_WAIT_US);
}
