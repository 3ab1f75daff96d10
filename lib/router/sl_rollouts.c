/*
 * Roll-outs: move a service's traffic to a new version, the target, and back
 * if it proves bad.
 *
 * An operator orders a roll-out and sets the time in which to complete it.
 * First a small share of the sessions moves, the canary. Sessions are chosen
 * by hash, so that all routers choose the same ones, and a session moves only
 * after it has been idle for so long that it counts as ended. In the second
 * half of the order's time the share grows to the whole, the ramp. It does not
 * begin before the exposure allowed to a bad version covers all requests until
 * the order's time is over. The share never shrinks, except to zero if the
 * target's responses are worse than those of the baseline, the versions that
 * it replaces. So no session moves back and forth.
 *
 * Every router evaluates its own responses and those that its peers report.
 * The result is one record in the store, the status. It is written only if no
 * other router has written since the topic was last read: the first writer
 * decides for all routers.
 */
#include "sl_router_internal.h"

#include <math.h>
#include <string.h>

/* Part of the order's time after which the ramp may begin. Before that, active
 * sessions must not change versions. */
#define Sl_RAMP_START_SHARE 0.5
/* Part of the order's remaining time that the ramp then takes. */
#define Sl_RAMP_REMAINING_SHARE 0.25
/* Largest difference between the times at which routers learn of an order. */
#define Sl_SKEW_US (300 * Sl_US_PER_MS)
/* Least time for which the target is watched once it has all traffic. */
#define Sl_SETTLE_US (1500 * Sl_US_PER_MS)
/* Remaining time of the order at which it is completed although the target was
 * watched for a shorter time, or baseline versions still have calls. It covers
 * a write to the store, and two routers that are first by rank but cannot
 * write. */
#define Sl_RESERVE_US Sl_US_PER_S
/* Age up to which a peer's report counts as evidence. */
#define Sl_MAX_REPORT_AGE_US (3 * Sl_US_PER_S)
/* A roll-out is completed only with this many recent responses of the target.
 * Otherwise routers that have all restarted would complete it without any
 * evidence on the target. */
#define Sl_MIN_RESPONSES 5
/* It is completed with fewer if a router has followed it for this long. */
#define Sl_LONG_WATCH_US (10 * Sl_US_PER_S)
/* Interval between evaluations of the evidence. */
#define Sl_UPDATE_INTERVAL_US (150 * Sl_US_PER_MS)
/* A router that learns of a roll-out within this time after its own start was
 * not running when the roll-out began. */
#define Sl_STARTING_US (2 * Sl_US_PER_S)

/* ---- state ---- */

struct sl_rollout *
SlRollouts_Find(const struct sl_router *router, const struct sl_name *service)
{
    return g_hash_table_lookup(router->rollouts, service);
}

/* Returns true if the store's status says that the roll-out is completed or
 * rolled back. */
static bool
is_over(const struct sl_rollout *rollout)
{
    return rollout->has_stored_status &&
           rollout->stored_state != Sl_ROLLOUT_RUNNING;
}

bool
SlRollouts_IsRunning(const struct sl_router *router,
                     const struct sl_name *service)
{
    const struct sl_rollout *rollout = SlRollouts_Find(router, service);
    return rollout != NULL && !is_over(rollout);
}

bool
SlRollouts_IsBeingRolledOut(const struct sl_router *router,
                            const struct sl_router_upstream *upstream)
{
    const struct sl_rollout *rollout =
        SlRollouts_Find(router, &upstream->registration.service);
    return rollout != NULL && !is_over(rollout) &&
           SlName_Equal(&upstream->registration.version,
                        &rollout->order.version);
}

void
SlRollouts_Free(gpointer data)
{
    struct sl_rollout *rollout = data;
    g_hash_table_destroy(rollout->at_baseline);
    g_array_free(rollout->sessions_to_report, TRUE);
    g_free(rollout);
}

const struct sl_name *
SlRollouts_Target(const struct sl_router *router,
                  const struct sl_name *service)
{
    const struct sl_rollout *rollout = SlRollouts_Find(router, service);
    return rollout == NULL ? NULL : &rollout->order.version;
}

const char *
SlRollouts_StateName(enum sl_rollout_state state)
{
    static const char *const names[] = {"running", "completed", "rolled_back"};
    return names[state];
}

int64_t
SlRollouts_ElapsedUs(const struct sl_router *router,
                     const struct sl_rollout *rollout)
{
    return router->now_us - rollout->began_us;
}

void
SlRollouts_BeginLog(struct sl_router *router, const struct sl_rollout *rollout,
                    const char *event)
{
    SlLogLine_Begin(router, event);
    SlLogLine_Name(router, "service", &rollout->order.service);
    SlLogLine_Name(router, "target", &rollout->order.version);
    SlLogLine_Offset(router, "order", rollout->offset);
    SlLogLine_Int(router, "elapsed_ms",
                  SlRollouts_ElapsedUs(router, rollout) / Sl_US_PER_MS);
    SlLogLine_Int(router, "duration_ms",
                  rollout->order.duration_us / Sl_US_PER_MS);
}

/* ---- share ---- */

/* Returns the length of a ramp that begins at `start_us`. */
static int64_t
ramp_length_us(const struct sl_rollout *rollout, int64_t start_us)
{
    int64_t remaining_us =
        rollout->order.duration_us - (start_us - rollout->began_us);
    return MAX((int64_t)(Sl_RAMP_REMAINING_SHARE * (double)remaining_us),
               Sl_US_PER_MS);
}

double
SlRollouts_TargetShare(const struct sl_router *router,
                       const struct sl_rollout *rollout)
{
    double canary = SlExposure_CanaryShare(&router->options.bounds);
    if (rollout->is_suspect || SlRollouts_ElapsedUs(router, rollout) <
                                   router->options.bounds.session_us) {
        return 0;
    }
    if (rollout->ramped_us == 0) {
        return canary;
    }
    double ramp_share = (double)(router->now_us - rollout->ramped_us) /
                        (double)ramp_length_us(rollout, rollout->ramped_us);
    return CLAMP(ramp_share, canary, 1.0);
}

/* Returns the number of upstreams of the target version that take work, and
 * sets `baseline_count` to the number of those of other versions. */
static size_t
count_upstreams(const struct sl_router *router,
                const struct sl_rollout *rollout, size_t *baseline_count)
{
    size_t target_count = 0;
    GHashTableIter iter;
    gpointer value;
    *baseline_count = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        if (!SlUpstreams_AcceptsRequests(upstream) ||
            !SlName_Equal(&upstream->registration.service,
                          &rollout->order.service)) {
            continue;
        }
        if (SlName_Equal(&upstream->registration.version,
                         &rollout->order.version)) {
            target_count++;
        }
        else {
            (*baseline_count)++;
        }
    }
    return target_count;
}

enum sl_version_rule
SlRollouts_VersionRule(struct sl_router *router,
                       const struct sl_routed_request *request)
{
    const struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    size_t baseline_count;
    if (rollout == NULL) {
        return Sl_VERSION_ANY;
    }
    /* The baseline of a completed roll-out is stopped, so that a verdict comes
     * too late. */
    if (is_over(rollout) ? rollout->stored_state == Sl_ROLLOUT_ROLLED_BACK
                         : rollout->is_suspect) {
        return Sl_VERSION_BASELINE;
    }
    if (count_upstreams(router, rollout, &baseline_count) == 0) {
        return Sl_VERSION_ANY;
    }
    if (is_over(rollout)) {
        return Sl_VERSION_TARGET;
    }
    uint32_t key = request->session != 0
                       ? SlRolloutSessions_Key(request)
                       : (uint32_t)SlHash_Bytes(0, request->incoming.id);
    if (SlRolloutSessions_Bucket(rollout, key) >=
        SlRollouts_TargetShare(router, rollout)) {
        return Sl_VERSION_BASELINE;
    }
    if (rollout->ramped_us == 0 && request->session != 0 &&
        SlRolloutSessions_WasAtBaseline(router, rollout, key)) {
        return Sl_VERSION_BASELINE;
    }
    return Sl_VERSION_TARGET;
}

/* Counts the request's call as one at a baseline version. */
static void
note_call_at_baseline(struct sl_router *router, struct sl_rollout *rollout,
                      struct sl_routed_request *request)
{
    request->upstream_call.at_baseline = true;
    rollout->baseline_in_flight++;
    SlRolloutSessions_NoteAtBaseline(router, rollout,
                                     SlRolloutSessions_Key(request), true);
}

void
SlRollouts_OnCallSent(struct sl_router *router,
                      struct sl_routed_request *request,
                      const struct sl_router_upstream *upstream)
{
    struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    request->upstream_call.at_baseline = false;
    if (rollout == NULL) {
        return;
    }
    bool is_target =
        SlName_Equal(&upstream->registration.version, &rollout->order.version);
    rollout->calls.total++;
    rollout->calls.target += is_target ? 1 : 0;
    if (!is_target) {
        note_call_at_baseline(router, rollout, request);
    }
}

void
SlRollouts_OnCallEnded(struct sl_router *router,
                       struct sl_routed_request *request)
{
    struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    if (!request->upstream_call.at_baseline || rollout == NULL) {
        return;
    }
    request->upstream_call.at_baseline = false;
    rollout->baseline_in_flight--;
    SlRolloutSessions_NoteAtBaseline(router, rollout,
                                     SlRolloutSessions_Key(request), true);
}

/* ---- evidence ---- */

void
SlRollouts_OnResponse(struct sl_router *router,
                      struct sl_routed_request *request,
                      const struct sl_response_evidence *response)
{
    struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    if (rollout == NULL || is_over(rollout)) {
        return;
    }
    uint32_t route =
        (uint32_t)SlHash_Bytes(0, SlName_Str(&request->route->name));
    struct sl_route_tally *tally = SlRolloutEvidence_FindOrAddRoute(
        &rollout->evidence, route, router->now_us);
    bool at_baseline = request->upstream_call.at_baseline;
    struct sl_response_tally *side =
        at_baseline ? &tally->baseline : &tally->target;
    /* A request that fails at every upstream counts once, not per attempt. */
    if (!request->counted_as_evidence) {
        SlRolloutEvidence_CountResponse(side, response->failed, at_baseline);
    }
    request->counted_as_evidence = true;
    if (response->usual_us > 0 && !response->failed) {
        SlRolloutEvidence_CountTime(side, response->took_us,
                                    response->usual_us, at_baseline);
    }
}

/* Returns the report on the roll-out in the peer's newest digest, or NULL. */
static const struct sl_gossip_rollout *
newest_report_of(const struct sl_router_peer *peer,
                 const struct sl_rollout *rollout)
{
    for (size_t i = 0; i < peer->digest.rollout_count; i++) {
        if (peer->digest.rollouts[i].order_offset == rollout->offset) {
            return &peer->digest.rollouts[i];
        }
    }
    return NULL;
}

/* Returns that report, or NULL if it is too old to count as evidence. */
static const struct sl_gossip_rollout *
recent_report_of(const struct sl_router *router,
                 const struct sl_router_peer *peer,
                 const struct sl_rollout *rollout)
{
    bool is_fresh =
        router->now_us - peer->newest_digest_sent_us < Sl_MAX_REPORT_AGE_US;
    return is_fresh ? newest_report_of(peer, rollout) : NULL;
}

/* Marks the target as bad, so that it gets no more requests, and tells peers
 * at once: one that does not know may complete the roll-out. Begins a log
 * line, which the caller ends. */
static void
set_suspect(struct sl_router *router, struct sl_rollout *rollout,
            bool is_own_finding)
{
    rollout->is_suspect = true;
    router->capacity_changed = true;
    SlDigests_ScheduleEvidence(router, is_own_finding);
    SlRollouts_BeginLog(router, rollout, "rollout_suspect");
}

/* Returns the time to the head of the responses in percent of the usual one,
 * as a geometric mean; 100 without a timed one. */
static int64_t
pace_percent(const struct sl_response_tally *tally)
{
    return lround(
        100 * (tally->paces > 0 ? exp(tally->pace_sum / tally->paces) : 1));
}

static void
log_verdict(struct sl_router *router, const struct sl_rollout_verdict *verdict)
{
    const struct sl_response_tally *target = &verdict->target;
    const struct sl_response_tally *baseline = &verdict->baseline;
    if (verdict->symptom == Sl_SYMPTOM_FAILED) {
        SlLogLine_C(router, "sign", "failed");
        SlLogLine_Int(router, "target_answers", (int64_t)target->count);
        SlLogLine_Int(router, "target_bad", (int64_t)target->failed);
        SlLogLine_Int(router, "base_answers", (int64_t)baseline->count);
        SlLogLine_Int(router, "base_bad", (int64_t)baseline->failed);
        return;
    }
    SlLogLine_C(router, "sign", "slow");
    SlLogLine_Int(router, "target_answers", (int64_t)target->timed);
    SlLogLine_Int(router, "target_bad", (int64_t)target->slow);
    SlLogLine_Int(router, "target_pace_percent", pace_percent(target));
    SlLogLine_Int(router, "base_answers", (int64_t)baseline->timed);
    SlLogLine_Int(router, "base_bad", (int64_t)baseline->slow);
    SlLogLine_Int(router, "base_pace_percent", pace_percent(baseline));
}

/* Compares the target with the baseline by the responses at all routers, and
 * marks the target as bad if it is worse. */
static void
evaluate_target(struct sl_router *router, struct sl_rollout *rollout)
{
    struct sl_rollout_evidence all = rollout->evidence;
    GHashTableIter iter;
    gpointer value;
    SlRolloutEvidence_Decay(&all, router->now_us);
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *report =
            recent_report_of(router, value, rollout);
        if (report != NULL) {
            SlRolloutEvidence_AddReport(&all, report, router->now_us);
        }
    }
    rollout->target_responses = SlRolloutEvidence_TargetResponses(&all);
    struct sl_rollout_verdict verdict = SlRolloutEvidence_Evaluate(&all);
    if (!verdict.is_worse) {
        return;
    }
    set_suspect(router, rollout, true);
    log_verdict(router, &verdict);
    SlLogLine_End(router, Sl_LOG_WARN);
}

/* ---- progress ---- */

/* Returns the number of calls of all routers at baseline versions. */
static int64_t
fleet_baseline_in_flight(const struct sl_router *router,
                         const struct sl_rollout *rollout)
{
    int64_t sum = rollout->baseline_in_flight;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *report =
            recent_report_of(router, value, rollout);
        sum += report == NULL ? 0 : report->baseline_in_flight;
    }
    return sum;
}

/* Sums up the calls of all routers since the order. Peers without a recent
 * report do not add to the rate, but the calls that they reported count. */
static struct sl_exposure
fleet_exposure(const struct sl_router *router,
               const struct sl_rollout *rollout)
{
    struct sl_exposure sum = {0};
    GHashTableIter iter;
    gpointer value;
    SlExposure_Add(&sum, &rollout->calls,
                   router->now_us - rollout->counting_since_us, true);
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *report =
            newest_report_of(value, rollout);
        if (report != NULL) {
            SlExposure_Add(&sum, &report->calls,
                           report->counted_ms * Sl_US_PER_MS,
                           recent_report_of(router, value, rollout) != NULL);
        }
    }
    return sum;
}

/* Returns true if the ramp may begin: it is time, the target has at least half
 * as many upstreams as the baseline, and the exposure allows it. */
static bool
may_ramp(const struct sl_router *router, const struct sl_rollout *rollout,
         const struct sl_exposure *exposure)
{
    int64_t elapsed_us = SlRollouts_ElapsedUs(router, rollout);
    int64_t duration_us = rollout->order.duration_us;
    size_t baseline_count;
    return elapsed_us >= (int64_t)(Sl_RAMP_START_SHARE * (double)duration_us) +
                             Sl_SKEW_US &&
           2 * count_upstreams(router, rollout, &baseline_count) >=
               baseline_count &&
           SlExposure_AllowsFullShare(&router->options.bounds, exposure,
                                      elapsed_us, duration_us);
}

/* Begins the ramp when it may begin, and notes when it has ended. */
static void
update_ramp(struct sl_router *router, struct sl_rollout *rollout)
{
    if (rollout->ramped_us == 0) {
        struct sl_exposure exposure = fleet_exposure(router, rollout);
        if (may_ramp(router, rollout, &exposure)) {
            rollout->ramped_us = router->now_us;
            SlRollouts_BeginLog(router, rollout, "rollout_ramp");
            SlLogLine_Int(router, "target_calls",
                          (int64_t)exposure.target_calls);
            SlLogLine_Int(router, "calls_per_s", (int64_t)exposure.per_s);
            SlLogLine_End(router, Sl_LOG_INFO);
        }
    }
    if (rollout->ramped_us != 0 && rollout->full_share_us == 0 &&
        SlRollouts_TargetShare(router, rollout) >= 1) {
        rollout->full_share_us = router->now_us;
        SlRollouts_BeginLog(router, rollout, "rollout_full");
        SlLogLine_End(router, Sl_LOG_INFO);
    }
}

/* Returns true if this router has followed the roll-out for long enough to
 * have received a report of each peer. */
static bool
has_heard_all_peers(const struct sl_router *router,
                    const struct sl_rollout *rollout)
{
    return router->now_us - rollout->counting_since_us >=
           2 * SlPeers_GossipIntervalUs(router);
}

/* Returns true if there is enough evidence on the target to complete. */
static bool
has_enough_evidence(const struct sl_router *router,
                    const struct sl_rollout *rollout)
{
    int64_t longest_watch_us = router->now_us - rollout->counting_since_us;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *report =
            recent_report_of(router, value, rollout);
        if (report != NULL) {
            longest_watch_us =
                MAX(longest_watch_us, report->counted_ms * Sl_US_PER_MS);
        }
    }
    return rollout->target_responses >= Sl_MIN_RESPONSES ||
           longest_watch_us >= Sl_LONG_WATCH_US;
}

static bool
may_complete(const struct sl_router *router, const struct sl_rollout *rollout)
{
    if (rollout->full_share_us == 0 || !has_heard_all_peers(router, rollout) ||
        !has_enough_evidence(router, rollout)) {
        return false;
    }
    int64_t watched_us = router->now_us - rollout->full_share_us;
    if (watched_us >= Sl_SETTLE_US + Sl_SKEW_US &&
        fleet_baseline_in_flight(router, rollout) == 0) {
        return true;
    }
    /* Shortly before the order's time ends, the roll-out is completed without
     * these two conditions, so as to be in time. Once the time is over, there
     * is no reason for that any more. */
    int64_t remaining_us =
        rollout->order.duration_us - SlRollouts_ElapsedUs(router, rollout);
    return remaining_us > 0 && remaining_us <= Sl_RESERVE_US;
}

static enum sl_rollout_state
wanted_state(const struct sl_router *router, const struct sl_rollout *rollout)
{
    if (rollout->is_suspect) {
        return Sl_ROLLOUT_ROLLED_BACK;
    }
    return may_complete(router, rollout) ? Sl_ROLLOUT_COMPLETED
                                         : Sl_ROLLOUT_RUNNING;
}

static void
on_update_timer(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->rollout_timer = 0;
    SlRollouts_Update(router);
}

void
SlRollouts_Update(struct sl_router *router)
{
    bool has_running = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        if (is_over(rollout) && !rollout->is_status_lost) {
            continue;
        }
        has_running = true;
        if (is_over(rollout)) {
            SlRolloutStatus_Update(router, rollout, rollout->stored_state);
            continue;
        }
        if (!rollout->is_suspect) {
            evaluate_target(router, rollout);
            update_ramp(router, rollout);
        }
        SlRolloutStatus_Update(router, rollout, wanted_state(router, rollout));
    }
    if (has_running && router->rollout_timer == 0) {
        router->rollout_timer = SlTimers_Add(
            router->timers, router->now_us + Sl_UPDATE_INTERVAL_US,
            on_update_timer, router, 0);
    }
}

/* ---- orders, status and reports ---- */

/* Counts the calls at baseline versions that are under way when an order
 * arrives. */
static void
note_calls_under_way(struct sl_router *router, struct sl_rollout *rollout)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *request = value;
        const struct sl_upstream_call *call = &request->upstream_call;
        if (call->token != 0 &&
            SlName_Equal(&request->service->name, &rollout->order.service) &&
            !SlName_Equal(&call->upstream->registration.version,
                          &rollout->order.version)) {
            note_call_at_baseline(router, rollout, request);
        }
    }
}

/* If this router started after the roll-out had begun, sets the beginning by
 * the wall-clock time in the status, as there is no better source. */
static void
set_beginning(struct sl_router *router, struct sl_rollout *rollout,
              const struct sl_rollout_status *status)
{
    int64_t age_us = (router->wall_ms - status->began_ms) * Sl_US_PER_MS;
    if (status->began_ms > 0 && age_us > 0 &&
        age_us < 2 * rollout->order.duration_us &&
        router->now_us - router->started_us < Sl_STARTING_US) {
        rollout->began_us = MIN(rollout->began_us, router->now_us - age_us);
    }
}

/* Returns true if the status is of the roll-out. It may name the order by the
 * offset of an earlier era: a copy of the store that has the status has the
 * order as well, with the same number. */
static bool
is_status_of(const struct sl_rollout_status *status,
             const struct sl_rollout *rollout)
{
    return SlName_Equal(&status->version, &rollout->order.version) &&
           SlOffset_Number(status->order) ==
               SlOffset_Number(rollout->offset) &&
           SlOffset_Era(status->order) <= SlOffset_Era(rollout->offset);
}

/* Applies a status from the store to its roll-out, if the order is known. */
static void
apply_status(struct sl_router *router, const struct sl_rollout_status *status)
{
    struct sl_rollout *rollout = SlRollouts_Find(router, &status->service);
    if (rollout == NULL || !is_status_of(status, rollout)) {
        return;
    }
    if (is_over(rollout) && status->state == Sl_ROLLOUT_RUNNING) {
        return; /* of an earlier time, from a copy of the store */
    }
    if (!rollout->has_stored_status) {
        set_beginning(router, rollout, status);
    }
    rollout->has_stored_status = true;
    rollout->is_status_lost = false;
    rollout->stored_state = status->state;
    rollout->stored_status_ramped = status->ramped;
    if (status->ramped && rollout->ramped_us == 0) {
        rollout->ramped_us = router->now_us;
        if (router->now_us - router->started_us < Sl_STARTING_US) {
            /* The ramp of other routers may have ended already, and sessions
             * must not move back: takes the ramp as ended. */
            rollout->ramped_us -= ramp_length_us(rollout, router->now_us);
        }
    }
    router->capacity_changed = true;
    SlRollouts_BeginLog(router, rollout, "rollout_status");
    SlLogLine_C(router, "state", SlRollouts_StateName(status->state));
    SlLogLine_Int(router, "ramped", status->ramped);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Adopts a peer's finding that the target is bad. A router that has just
 * started has no evidence of its own, and that of its peers has decayed since
 * they stopped using the target. */
static void
adopt_verdict(struct sl_router *router, struct sl_rollout *rollout,
              const struct sl_name *reporter)
{
    set_suspect(router, rollout, false);
    SlLogLine_Name(router, "told_by", reporter);
    SlLogLine_End(router, Sl_LOG_WARN);
}

void
SlRollouts_OnReport(struct sl_router *router, const struct sl_name *reporter,
                    const struct sl_gossip_rollout *report)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        if (rollout->offset != report->order_offset) {
            continue;
        }
        int64_t began_us = router->now_us - report->elapsed_ms * Sl_US_PER_MS;
        rollout->began_us = MIN(rollout->began_us, began_us);
        if (report->is_suspect && !rollout->is_suspect && !is_over(rollout)) {
            adopt_verdict(router, rollout, reporter);
        }
        for (size_t i = 0; i < report->session_count; i++) {
            SlRolloutSessions_NoteAtBaseline(router, rollout,
                                             report->sessions[i], false);
        }
    }
}

/* Applies reports that peers sent before the order was known here. */
static void
apply_earlier_reports(struct sl_router *router,
                      const struct sl_rollout *rollout)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        const struct sl_gossip_rollout *report =
            newest_report_of(peer, rollout);
        if (report != NULL) {
            SlRollouts_OnReport(router, &peer->vm, report);
        }
    }
}

/* Returns true if the record is the order of the roll-out in a later era of
 * the store: the operator has written it again, or it was not lost. */
static bool
is_written_again(const struct sl_rollout *rollout,
                 const struct sl_record *record)
{
    return SlOffset_Era(record->offset) > SlOffset_Era(rollout->offset) &&
           SlName_Equal(&record->u.rollout.version, &rollout->order.version);
}

void
SlRollouts_OnStoreEra(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        rollout->is_status_lost = rollout->has_stored_status;
    }
    SlRollouts_Update(router);
}

void
SlRollouts_OnOrder(struct sl_router *router, const struct sl_record *record)
{
    const struct sl_rollout_order *order = &record->u.rollout;
    struct sl_rollout *rollout = SlRollouts_Find(router, &order->service);
    if (rollout != NULL && record->offset <= rollout->offset) {
        return;
    }
    if (record->dropped) {
        if (rollout != NULL) {
            SlRollouts_BeginLog(router, rollout, "rollout_withdrawn");
            SlLogLine_End(router, Sl_LOG_INFO);
            g_hash_table_remove(router->rollouts, &order->service);
        }
        return;
    }
    if (rollout != NULL && is_written_again(rollout, record)) {
        rollout->offset = record->offset;
        rollout->is_status_lost = true; /* it names another order */
        SlRollouts_Update(router);
        return;
    }
    rollout = g_new0(struct sl_rollout, 1);
    rollout->order = *order;
    rollout->offset = record->offset;
    rollout->session_seed = (uint32_t)record->offset;
    rollout->began_us = router->now_us;
    rollout->counting_since_us = router->now_us;
    rollout->at_baseline = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    rollout->sessions_to_report = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_replace(router->rollouts, &rollout->order.service, rollout);
    SlRollouts_BeginLog(router, rollout, "rollout_order");
    SlLogLine_End(router, Sl_LOG_INFO);
    note_calls_under_way(router, rollout);
    const struct sl_rollout_status *status =
        g_hash_table_lookup(router->rollout_statuses, &order->service);
    if (status != NULL) {
        apply_status(router, status);
    }
    apply_earlier_reports(router, rollout);
    SlRollouts_Update(router);
}

void
SlRollouts_OnStatus(struct sl_router *router, const struct sl_record *record)
{
    if (!record->dropped) {
        struct sl_rollout_status *status =
            g_memdup2(&record->u.status, sizeof(*status));
        g_hash_table_replace(router->rollout_statuses, &status->service,
                             status);
        apply_status(router, status);
        SlRollouts_Update(router);
    }
}

void
SlRollouts_AddToDigest(struct sl_router *router,
                       struct sl_gossip_digest *digest)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           digest->rollout_count < Sl_GOSSIP_MAX_ROLLOUTS) {
        struct sl_rollout *rollout = value;
        if (is_over(rollout)) {
            continue;
        }
        struct sl_gossip_rollout *report =
            &digest->rollouts[digest->rollout_count++];
        memset(report, 0, sizeof(*report));
        report->order_offset = rollout->offset;
        report->elapsed_ms =
            (uint32_t)(SlRollouts_ElapsedUs(router, rollout) / Sl_US_PER_MS);
        report->baseline_in_flight = (uint32_t)rollout->baseline_in_flight;
        report->is_suspect = rollout->is_suspect;
        report->calls = rollout->calls;
        report->counted_ms =
            (uint32_t)((router->now_us - rollout->counting_since_us) /
                       Sl_US_PER_MS);
        SlRolloutEvidence_AddToReport(&rollout->evidence, report,
                                      router->now_us);
        SlRolloutSessions_AddToReport(router, rollout, report);
    }
}

void
SlRollouts_OnDigestSent(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        g_array_set_size(rollout->sessions_to_report, 0);
    }
}
