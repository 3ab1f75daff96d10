/*
 * The status of a roll-out: one record in the store, which all routers and the
 * operator read. Each router decides by its evidence on the state that the
 * status should have. The router of rank 0 writes it at once, and each further
 * one a little later if it is not written by then. A write succeeds only if
 * there was none since the topic was last read, so that the first writer
 * decides for all routers.
 */
#include "sl_router_internal.h"

/* Delay before a router writes the status, times its rank. */
#define Sl_RANK_DELAY_US (300 * Sl_US_PER_MS)
/* Least time from the end of a write to the next one for the same roll-out, so
 * that the status feed shows first what the store holds now. */
#define Sl_APPEND_RETRY_US (400 * Sl_US_PER_MS)

static struct sl_rollout_status
make_status(const struct sl_router *router, const struct sl_rollout *rollout,
            enum sl_rollout_state state)
{
    return (struct sl_rollout_status){
        .service = rollout->order.service,
        .version = rollout->order.version,
        .state = state,
        .order = rollout->offset,
        .ramped = rollout->ramped_us != 0,
        .began_ms = router->wall_ms -
                    SlRollouts_ElapsedUs(router, rollout) / Sl_US_PER_MS,
    };
}

/* Returns true if the store's status has the same state already. */
static bool
is_stored(const struct sl_rollout *rollout,
          const struct sl_rollout_status *status)
{
    return rollout->has_stored_status && !rollout->is_status_lost &&
           status->state == rollout->stored_state &&
           status->ramped == rollout->stored_status_ramped;
}

static void
write_status(struct sl_router *router, struct sl_rollout *rollout,
             const struct sl_rollout_status *status)
{
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_APPEND);
    struct sl_record *record = g_new0(struct sl_record, 1);
    SlRouter_FreeWithEffects(router, record);
    rollout->append_token = ++router->last_token;
    effect->u.append.feed = Sl_FEED_STATUS;
    effect->u.append.token = rollout->append_token;
    effect->u.append.conditional = true;
    effect->u.append.expected_next_offset =
        router->feeds[Sl_FEED_STATUS].next_offset;
    effect->u.append.record = record;
    record->type = Sl_RECORD_STATUS;
    record->u.status = *status;
    SlRollouts_BeginLog(router, rollout, "rollout_write");
    SlLogLine_C(router, "state", SlRollouts_StateName(status->state));
    SlLogLine_Offset(router, "at", effect->u.append.expected_next_offset);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlRolloutStatus_Update(struct sl_router *router, struct sl_rollout *rollout,
                       enum sl_rollout_state state)
{
    struct sl_rollout_status status = make_status(router, rollout, state);
    if (is_stored(rollout, &status)) {
        rollout->wanted_since_us = 0;
        return;
    }
    if (rollout->wanted_since_us == 0 ||
        rollout->wanted_state != status.state) {
        rollout->wanted_since_us = router->now_us;
        rollout->wanted_state = status.state;
    }
    size_t rank = SlPeers_Rank(router, SlName_Str(&rollout->order.service));
    if (rollout->append_token == 0 &&
        router->feeds[Sl_FEED_STATUS].has_snapshot &&
        SlStoreEra_MayWrite(router, rollout) &&
        router->now_us >= rollout->append_retry_us &&
        router->now_us - rollout->wanted_since_us >=
            (int64_t)rank * Sl_RANK_DELAY_US) {
        write_status(router, rollout, &status);
    }
}

void
SlRolloutStatus_OnAppended(struct sl_router *router,
                           const struct sl_router_event *event)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        if (rollout->append_token != event->u.appended.token) {
            continue;
        }
        rollout->append_token = 0;
        rollout->append_retry_us = router->now_us + Sl_APPEND_RETRY_US;
        if (event->err != NULL || event->u.appended.conflict) {
            SlRollouts_BeginLog(router, rollout, "rollout_write_failed");
            SlLogLine_Int(router, "conflict", event->u.appended.conflict);
            if (event->err != NULL) {
                SlLogLine_Error(router, event->err);
            }
            SlLogLine_End(router, Sl_LOG_WARN);
        }
    }
}
