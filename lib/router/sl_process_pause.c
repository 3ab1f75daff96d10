/*
 * Recovery after the process was paused: its VM was suspended, a signal
 * stopped it, or it got no processor time. Meanwhile upstreams may have
 * drained, and responses wait unread in the sockets.
 *
 * After a pause, requests wait for a refresh: until the store, or a peer that
 * records are pulled from, has sent the current state, which takes a few
 * milliseconds. Digests do not end this wait, as they may have queued up in
 * the socket during the pause as well. Calls under way are not cancelled
 * before the bytes that arrived for them are read, and peers do not count as
 * dead for their silence during the pause.
 */
#include "sl_router_internal.h"

/* A timer that runs this late shows a pause. After a shorter pause, the state
 * from before it is still within the bounds for leaving upstreams. */
#define Sl_PAUSE_US Sl_US_PER_S
/* Longest time that requests wait for the refresh. If the store is
 * unavailable, the state from before the pause is all there is. */
#define Sl_REFRESH_WAIT_US (300 * Sl_US_PER_MS)
/* Time in which the bytes that arrived during a pause are read. */
#define Sl_CATCH_UP_US (300 * Sl_US_PER_MS)
/* A timer that runs this late, but not late enough for a pause, shows that a
 * call may seem stalled only because this process did not read its bytes. */
#define Sl_LATE_US (50 * Sl_US_PER_MS)
/* Time in which such bytes are read from the sockets, before the stall monitor
 * decides on calls. */
#define Sl_LATE_CATCH_UP_US (100 * Sl_US_PER_MS)

/* Moves the times at which peers were last heard by the length of the pause,
 * in which no peer could be heard. */
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
    SlSharing_OnPause(router->sharing, paused_us);
}

/* Puts off the stall checks of all calls under way to `until_us`, as responses
 * that have arrived meanwhile are still to be read and forwarded. With
 * `extend_deadlines`, extends the deadlines of their requests to then as
 * well. */
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
