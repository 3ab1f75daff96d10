/*
 * Which sessions go over to a roll-out's target first. Answers sessions whose
 * requests follow each other at different routers: the same ones are chosen
 * everywhere, by hash, and none goes over while it is at a version to be left,
 * here or at a peer.
 */
#include "sl_router_internal.h"

/* Sessions that are remembered; the oldest go first. */
#define Sl_MAX_SESSIONS 20000
/* Routers learn of a request at a peer at times that differ by less than
 * this. */
#define Sl_SESSION_SKEW_US (300 * Sl_US_PER_MS)

uint32_t
SlRolloutSessions_Key(const struct sl_routed_request *request)
{
    return (uint32_t)request->session;
}

double
SlRolloutSessions_Bucket(const struct sl_rollout *rollout, uint32_t key)
{
    uint64_t hash = SlHash_Mix((uint64_t)key << 32 ^ rollout->offset);
    return (double)(hash >> 11) * 0x1.0p-53;
}

bool
SlRolloutSessions_WasAtBaseline(const struct sl_router *router,
                                const struct sl_rollout *rollout, uint32_t key)
{
    const int64_t *at =
        g_hash_table_lookup(rollout->at_baseline, GUINT_TO_POINTER(key));
    return at != NULL &&
           router->now_us - *at <
               router->options.bounds.session_us + Sl_SESSION_SKEW_US;
}

static gboolean
is_old(gpointer key, gpointer value, gpointer data)
{
    const struct sl_router *router = data;
    (void)key;
    return router->now_us - *(const int64_t *)value >
           2 * router->options.bounds.session_us;
}

/* Could the session go over before the ramp? */
static bool
is_candidate(const struct sl_router *router, const struct sl_rollout *rollout,
             uint32_t key)
{
    return key != 0 && SlRolloutSessions_Bucket(rollout, key) <
                           SlExposure_CanaryShare(&router->options.bounds);
}

void
SlRolloutSessions_NoteAtBaseline(struct sl_router *router,
                                 struct sl_rollout *rollout, uint32_t key,
                                 bool tell)
{
    if (!is_candidate(router, rollout, key)) {
        return;
    }
    if (g_hash_table_size(rollout->at_baseline) > Sl_MAX_SESSIONS) {
        g_hash_table_foreach_remove(rollout->at_baseline, is_old, router);
    }
    int64_t *at =
        g_hash_table_lookup(rollout->at_baseline, GUINT_TO_POINTER(key));
    if (at == NULL) {
        at = g_new0(int64_t, 1);
        g_hash_table_insert(rollout->at_baseline, GUINT_TO_POINTER(key), at);
    }
    *at = router->now_us;
    if (tell && rollout->sessions_to_report->len < Sl_GOSSIP_MAX_SESSIONS) {
        g_array_append_val(rollout->sessions_to_report, key);
    }
}

/* Sessions that are at a version to be left for longer than a digest. */
static void
tell_flights(const struct sl_router *router, const struct sl_rollout *rollout,
             struct sl_gossip_rollout *told)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           told->session_count < Sl_GOSSIP_MAX_SESSIONS) {
        const struct sl_routed_request *request = value;
        uint32_t key = SlRolloutSessions_Key(request);
        if (request->upstream_call.at_baseline &&
            is_candidate(router, rollout, key) &&
            SlName_Equal(&request->service->name, &rollout->order.service)) {
            told->sessions[told->session_count++] = key;
        }
    }
}

void
SlRolloutSessions_AddToReport(const struct sl_router *router,
                              const struct sl_rollout *rollout,
                              struct sl_gossip_rollout *told)
{
    tell_flights(router, rollout, told);
    for (size_t i = 0; i < rollout->sessions_to_report->len &&
                       told->session_count < Sl_GOSSIP_MAX_SESSIONS;
         i++) {
        told->sessions[told->session_count++] =
            g_array_index(rollout->sessions_to_report, uint32_t, i);
    }
}
