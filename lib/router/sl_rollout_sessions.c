/*
 * Which sessions a roll-out moves to its target first. The requests of a
 * session may arrive at different routers, so all routers choose the same
 * sessions, by hash, and none moves a session that was recently at a baseline
 * version, through any of them.
 */
#include "sl_router_internal.h"

/* When more sessions than this are remembered, old ones are removed. */
#define Sl_MAX_SESSIONS 20000
/* Longest time until a router learns of a session's request at a peer. */
#define Sl_SESSION_SKEW_US (300 * Sl_US_PER_MS)

uint32_t
SlRolloutSessions_Key(const struct sl_routed_request *request)
{
    return (uint32_t)request->session;
}

double
SlRolloutSessions_Bucket(const struct sl_rollout *rollout, uint32_t key)
{
    return SlHash_Fraction(
        SlHash_Mix((uint64_t)key << 32 ^ rollout->session_seed));
}

bool
SlRolloutSessions_WasAtBaseline(const struct sl_router *router,
                                const struct sl_rollout *rollout, uint32_t key)
{
    const int64_t *last_us =
        g_hash_table_lookup(rollout->at_baseline, GUINT_TO_POINTER(key));
    return last_us != NULL &&
           router->now_us - *last_us <
               router->options.bounds.session_us + Sl_SESSION_SKEW_US;
}

/* Callback of g_hash_table_foreach_remove(): true if the session ended so long
 * ago that it need not be remembered. */
static gboolean
is_old(gpointer key, gpointer value, gpointer data)
{
    const struct sl_router *router = data;
    (void)key;
    return router->now_us - *(const int64_t *)value >
           2 * router->options.bounds.session_us;
}

/* Returns true if the session is in the canary share, so that it may move
 * before the ramp. */
static bool
is_in_canary(const struct sl_router *router, const struct sl_rollout *rollout,
             uint32_t key)
{
    return key != 0 && SlRolloutSessions_Bucket(rollout, key) <
                           SlExposure_CanaryShare(&router->options.bounds);
}

void
SlRolloutSessions_NoteAtBaseline(struct sl_router *router,
                                 struct sl_rollout *rollout, uint32_t key,
                                 bool report)
{
    if (!is_in_canary(router, rollout, key)) {
        return;
    }
    if (g_hash_table_size(rollout->at_baseline) > Sl_MAX_SESSIONS) {
        g_hash_table_foreach_remove(rollout->at_baseline, is_old, router);
    }
    int64_t *last_us =
        g_hash_table_lookup(rollout->at_baseline, GUINT_TO_POINTER(key));
    if (last_us == NULL) {
        last_us = g_new0(int64_t, 1);
        g_hash_table_insert(rollout->at_baseline, GUINT_TO_POINTER(key),
                            last_us);
    }
    *last_us = router->now_us;
    if (report && rollout->sessions_to_report->len < Sl_GOSSIP_MAX_SESSIONS) {
        g_array_append_val(rollout->sessions_to_report, key);
    }
}

/* Adds the sessions with a call under way at a baseline version: such a call
 * may last longer than the interval between digests. */
static void
report_active_sessions(const struct sl_router *router,
                       const struct sl_rollout *rollout,
                       struct sl_gossip_rollout *report)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           report->session_count < Sl_GOSSIP_MAX_SESSIONS) {
        const struct sl_routed_request *request = value;
        uint32_t key = SlRolloutSessions_Key(request);
        if (request->upstream_call.at_baseline &&
            is_in_canary(router, rollout, key) &&
            SlName_Equal(&request->service->name, &rollout->order.service)) {
            report->sessions[report->session_count++] = key;
        }
    }
}

void
SlRolloutSessions_AddToReport(const struct sl_router *router,
                              const struct sl_rollout *rollout,
                              struct sl_gossip_rollout *report)
{
    report_active_sessions(router, rollout, report);
    for (size_t i = 0; i < rollout->sessions_to_report->len &&
                       report->session_count < Sl_GOSSIP_MAX_SESSIONS;
         i++) {
        report->sessions[report->session_count++] =
            g_array_index(rollout->sessions_to_report, uint32_t, i);
    }
}
