/*
 * Moving a service's traffic to a version, and back when it proves bad.
 *
 * A small share of the sessions goes first, chosen by hash, so that all
 * routers choose alike; a session goes over only when it has been idle for as
 * long as a session lasts. The share grows to the whole in the second half of
 * the time that the order gives, and not before the exposure that a bad
 * version may have covers all requests until that time is over. The share
 * never shrinks, except to nothing when the answers of the target are worse
 * than those of the versions that it replaces; so no session goes back and
 * forth.
 *
 * Every router judges by its own answers and those that its peers tell it.
 * The answer to the order is one record in the store, written only if nobody
 * has written since it was last read: whoever is first decides for all.
 */
#include "sl_router_internal.h"

#include <string.h>

/* Part of the order's time before which sessions must not change versions. */
#define Sl_RAMP_AT 0.5
/* The share grows to the whole in this part of the time that is left then. */
#define Sl_RAMP_OF_REST 0.25
/* Routers learn of an order at times that differ by less than this. */
#define Sl_SKEW_US (300 * Sl_US_PER_MS)
/* With all traffic at the target, it is watched for so long at least. */
#define Sl_SETTLE_US (1500 * Sl_US_PER_MS)
/* Left of the order's time when it is completed at the latest: a write of the
 * store, and two routers that are first by rank and cannot write. */
#define Sl_RESERVE_US Sl_US_PER_S
/* A peer's evidence is used up to this age. */
#define Sl_EVIDENCE_AGE_US (3 * Sl_US_PER_S)
/* The order is completed on this many recent answers of the target, or when
 * some router has followed the roll-out for so long: routers that have all
 * started anew know nothing of the target. */
#define Sl_LEAST_ANSWERS 5
#define Sl_LONG_WATCH_US (10 * Sl_US_PER_S)
/* Pause between two looks at the evidence. */
#define Sl_CHECK_US (150 * Sl_US_PER_MS)
/* A router that learns of a roll-out so soon after its start was not there
 * when it began. */
#define Sl_STARTING_US (2 * Sl_US_PER_S)
/* ---- state ---- */

struct sl_rollout *
SlRollouts_Find(const struct sl_router *router, const struct sl_name *service)
{
    return g_hash_table_lookup(router->rollouts, service);
}

static bool
is_over(const struct sl_rollout *rollout)
{
    return rollout->has_status && rollout->state != Sl_ROLLOUT_RUNNING;
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
                            const struct sl_upstream *upstream)
{
    const struct sl_rollout *rollout =
        SlRollouts_Find(router, &upstream->reg.service);
    return rollout != NULL && !is_over(rollout) &&
           SlName_Equal(&upstream->reg.version, &rollout->order.version);
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
    SlLogLine_Int(router, "order", (int64_t)rollout->offset);
    SlLogLine_Int(router, "elapsed_ms",
                  SlRollouts_ElapsedUs(router, rollout) / Sl_US_PER_MS);
    SlLogLine_Int(router, "duration_ms",
                  rollout->order.duration_us / Sl_US_PER_MS);
}

/* ---- share ---- */

/* How long the share grows, from a ramp that begins or began `at_us`. */
static int64_t
ramp_length_us(const struct sl_rollout *rollout, int64_t at_us)
{
    int64_t rest_us = rollout->order.duration_us - (at_us - rollout->began_us);
    return MAX((int64_t)(Sl_RAMP_OF_REST * (double)rest_us), Sl_US_PER_MS);
}

double
SlRollouts_TargetShare(const struct sl_router *router,
                       const struct sl_rollout *rollout)
{
    double canary = SlExposure_CanaryShare(&router->options.bounds);
    if (rollout->suspect || SlRollouts_ElapsedUs(router, rollout) <
                                router->options.bounds.session_us) {
        return 0;
    }
    if (rollout->ramped_us == 0) {
        return canary;
    }
    double grown = (double)(router->now_us - rollout->ramped_us) /
                   (double)ramp_length_us(rollout, rollout->ramped_us);
    return CLAMP(grown, canary, 1.0);
}

static size_t
ready_targets(const struct sl_router *router, const struct sl_rollout *rollout,
              size_t *base)
{
    size_t targets = 0;
    GHashTableIter iter;
    gpointer value;
    *base = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_upstream *upstream = value;
        if (!SlUpstreams_TakesWork(upstream) ||
            !SlName_Equal(&upstream->reg.service, &rollout->order.service)) {
            continue;
        }
        if (SlName_Equal(&upstream->reg.version, &rollout->order.version)) {
            targets++;
        }
        else {
            (*base)++;
        }
    }
    return targets;
}

enum sl_version_rule
SlRollouts_VersionRule(struct sl_router *router,
                       const struct sl_routed_request *request)
{
    const struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    size_t base;
    if (rollout == NULL) {
        return Sl_VERSION_ANY;
    }
    if (rollout->suspect ||
        (rollout->has_status && rollout->state == Sl_ROLLOUT_ROLLED_BACK)) {
        return Sl_VERSION_BASELINE;
    }
    if (ready_targets(router, rollout, &base) == 0) {
        return Sl_VERSION_ANY;
    }
    if (is_over(rollout)) {
        return Sl_VERSION_TARGET;
    }
    uint32_t key = request->session != 0
                       ? SlRolloutSessions_Key(request)
                       : (uint32_t)SlHash_Bytes(0, request->ask.id);
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

static void
note_call_at_base(struct sl_router *router, struct sl_rollout *rollout,
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
                      const struct sl_upstream *upstream)
{
    struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    request->upstream_call.at_baseline = false;
    if (rollout == NULL) {
        return;
    }
    bool is_target =
        SlName_Equal(&upstream->reg.version, &rollout->order.version);
    rollout->calls.all++;
    rollout->calls.target += is_target ? 1 : 0;
    if (!is_target) {
        note_call_at_base(router, rollout, request);
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
                      const struct sl_response_symptoms *signs)
{
    struct sl_rollout *rollout =
        SlRollouts_Find(router, &request->service->name);
    if (rollout == NULL || is_over(rollout)) {
        return;
    }
    uint32_t route =
        (uint32_t)SlHash_Bytes(0, SlName_Str(&request->route->name));
    struct sl_route_tally *tally =
        SlRolloutEvidence_ForRoute(&rollout->evidence, route, router->now_us);
    bool at_baseline = request->upstream_call.at_baseline;
    struct sl_symptom_count *counts =
        at_baseline ? tally->baseline : tally->target;
    /* Some requests fail wherever they are sent, and are sent again. */
    if (!request->is_counted) {
        SlRolloutEvidence_Count(&counts[Sl_SYMPTOM_FAILED], signs->failed,
                                at_baseline);
    }
    request->is_counted = true;
    if (signs->is_timed) {
        SlRolloutEvidence_Count(&counts[Sl_SYMPTOM_SLOW], signs->slow,
                                at_baseline);
    }
}

/* What the peer's newest digest says of the roll-out, or NULL. */
static const struct sl_gossip_rollout *
last_told_by(const struct sl_router_peer *peer,
             const struct sl_rollout *rollout)
{
    for (size_t i = 0; i < peer->digest.rollout_count; i++) {
        if (peer->digest.rollouts[i].order == rollout->offset) {
            return &peer->digest.rollouts[i];
        }
    }
    return NULL;
}

/* The same, unless it is too old to be evidence. */
static const struct sl_gossip_rollout *
told_by(const struct sl_router *router, const struct sl_router_peer *peer,
        const struct sl_rollout *rollout)
{
    bool is_fresh = router->now_us - peer->heard_us < Sl_EVIDENCE_AGE_US;
    return is_fresh ? last_told_by(peer, rollout) : NULL;
}

/* The target is bad: it gets nothing new. Begins a log line. */
static void
suspect(struct sl_router *router, struct sl_rollout *rollout)
{
    rollout->suspect = true;
    router->capacity_changed = true;
    SlRollouts_BeginLog(router, rollout, "rollout_suspect");
}

static void
judge(struct sl_router *router, struct sl_rollout *rollout)
{
    struct sl_rollout_evidence all = rollout->evidence;
    GHashTableIter iter;
    gpointer value;
    SlRolloutEvidence_Decay(&all, router->now_us);
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *told = told_by(router, value, rollout);
        if (told != NULL) {
            SlRolloutEvidence_AddReport(&all, told, router->now_us);
        }
    }
    rollout->target_answers = SlRolloutEvidence_TargetAnswers(&all);
    struct sl_rollout_verdict verdict = SlRolloutEvidence_Evaluate(&all);
    if (!verdict.is_worse) {
        return;
    }
    suspect(router, rollout);
    SlLogLine_C(router, "sign",
                verdict.symptom == Sl_SYMPTOM_SLOW ? "slow" : "failed");
    SlLogLine_Int(router, "target_answers", (int64_t)verdict.target.answers);
    SlLogLine_Int(router, "target_bad", (int64_t)verdict.target.bad);
    SlLogLine_Int(router, "base_answers", (int64_t)verdict.baseline.answers);
    SlLogLine_Int(router, "base_bad", (int64_t)verdict.baseline.bad);
    SlLogLine_End(router, Sl_LOG_WARN);
}

/* ---- progress ---- */

static int64_t
fleet_base_in_flight(const struct sl_router *router,
                     const struct sl_rollout *rollout)
{
    int64_t sum = rollout->baseline_in_flight;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *told = told_by(router, value, rollout);
        sum += told == NULL ? 0 : told->base_in_flight;
    }
    return sum;
}

/* Calls of all routers. Those that are silent send no more, but what they
 * sent counts. */
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
        const struct sl_gossip_rollout *told = last_told_by(value, rollout);
        if (told != NULL) {
            SlExposure_Add(&sum, &told->calls, told->counted_ms * Sl_US_PER_MS,
                           told_by(router, value, rollout) != NULL);
        }
    }
    return sum;
}

static bool
may_ramp(const struct sl_router *router, const struct sl_rollout *rollout,
         const struct sl_exposure *exposure)
{
    int64_t elapsed = SlRollouts_ElapsedUs(router, rollout);
    int64_t duration = rollout->order.duration_us;
    size_t base;
    return elapsed >= (int64_t)(Sl_RAMP_AT * (double)duration) + Sl_SKEW_US &&
           2 * ready_targets(router, rollout, &base) >= base &&
           SlExposure_AllowsFullShare(&router->options.bounds, exposure,
                                      elapsed, duration);
}

static void
advance(struct sl_router *router, struct sl_rollout *rollout)
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
    if (rollout->ramped_us != 0 && rollout->full_us == 0 &&
        SlRollouts_TargetShare(router, rollout) >= 1) {
        rollout->full_us = router->now_us;
        SlRollouts_BeginLog(router, rollout, "rollout_full");
        SlLogLine_End(router, Sl_LOG_INFO);
    }
}

/* Has it followed the roll-out for long enough to have heard each peer? */
static bool
has_heard_all(const struct sl_router *router, const struct sl_rollout *rollout)
{
    return router->now_us - rollout->counting_since_us >=
           2 * SlPeers_GossipIntervalUs(router);
}

static bool
is_watched(const struct sl_router *router, const struct sl_rollout *rollout)
{
    int64_t longest_us = router->now_us - rollout->counting_since_us;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_gossip_rollout *told = told_by(router, value, rollout);
        if (told != NULL) {
            longest_us = MAX(longest_us, told->counted_ms * Sl_US_PER_MS);
        }
    }
    return rollout->target_answers >= Sl_LEAST_ANSWERS ||
           longest_us >= Sl_LONG_WATCH_US;
}

static bool
may_complete(const struct sl_router *router, const struct sl_rollout *rollout)
{
    if (rollout->full_us == 0 || !has_heard_all(router, rollout) ||
        !is_watched(router, rollout)) {
        return false;
    }
    int64_t watched = router->now_us - rollout->full_us;
    if (watched >= Sl_SETTLE_US + Sl_SKEW_US &&
        fleet_base_in_flight(router, rollout) == 0) {
        return true;
    }
    /* There is no hurry when its time is over. */
    int64_t left =
        rollout->order.duration_us - SlRollouts_ElapsedUs(router, rollout);
    return left > 0 && left <= Sl_RESERVE_US;
}

static enum sl_rollout_state
wanted_state(const struct sl_router *router, const struct sl_rollout *rollout)
{
    if (rollout->suspect) {
        return Sl_ROLLOUT_ROLLED_BACK;
    }
    return may_complete(router, rollout) ? Sl_ROLLOUT_COMPLETED
                                         : Sl_ROLLOUT_RUNNING;
}

static void
on_check(void *context, uint64_t id, int64_t now_us)
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
    bool active = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        if (is_over(rollout)) {
            continue;
        }
        active = true;
        if (!rollout->suspect) {
            judge(router, rollout);
            advance(router, rollout);
        }
        SlRolloutStatus_Update(router, rollout, wanted_state(router, rollout));
    }
    if (active && router->rollout_timer == 0) {
        router->rollout_timer = SlTimers_Subscribe(
            router->timers, router->now_us + Sl_CHECK_US, on_check, router, 0);
    }
}

/* ---- news ---- */

static void
note_flights(struct sl_router *router, struct sl_rollout *rollout)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->routed_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *request = value;
        const struct sl_upstream_call *call = &request->upstream_call;
        if (call->token != 0 &&
            SlName_Equal(&request->service->name, &rollout->order.service) &&
            !SlName_Equal(&call->upstream->reg.version,
                          &rollout->order.version)) {
            note_call_at_base(router, rollout, request);
        }
    }
}

/* Goes by the wall clock, for want of anything better, when this router
 * started after the roll-out had begun. */
static void
take_beginning(struct sl_router *router, struct sl_rollout *rollout,
               const struct sl_rollout_status *status)
{
    int64_t age_us = (router->wall_ms - status->began_ms) * Sl_US_PER_MS;
    if (status->began_ms > 0 && age_us > 0 &&
        age_us < 2 * rollout->order.duration_us &&
        router->now_us - router->started_us < Sl_STARTING_US) {
        rollout->began_us = MIN(rollout->began_us, router->now_us - age_us);
    }
}

static void
take_status(struct sl_router *router, const struct sl_rollout_status *status)
{
    struct sl_rollout *rollout = SlRollouts_Find(router, &status->service);
    if (rollout == NULL || status->order != rollout->offset) {
        return;
    }
    if (!rollout->has_status) {
        take_beginning(router, rollout, status);
    }
    rollout->has_status = true;
    rollout->state = status->state;
    rollout->status_ramped = status->ramped;
    if (status->ramped && rollout->ramped_us == 0) {
        rollout->ramped_us = router->now_us;
        if (router->now_us - router->started_us < Sl_STARTING_US) {
            /* The others may be further: sessions must not go back. */
            rollout->ramped_us -= ramp_length_us(rollout, router->now_us);
        }
    }
    router->capacity_changed = true;
    SlRollouts_BeginLog(router, rollout, "rollout_status");
    SlLogLine_C(router, "state", SlRollouts_StateName(status->state));
    SlLogLine_Int(router, "ramped", status->ramped);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* A peer has found the target bad. A router that has just started holds no
 * evidence of its own, and that of its peers has faded since they left the
 * target. */
static void
take_verdict(struct sl_router *router, struct sl_rollout *rollout,
             const struct sl_name *reporter)
{
    suspect(router, rollout);
    SlLogLine_Name(router, "told_by", reporter);
    SlLogLine_End(router, Sl_LOG_WARN);
}

void
SlRollouts_OnReport(struct sl_router *router, const struct sl_name *reporter,
                    const struct sl_gossip_rollout *digest)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_rollout *rollout = value;
        if (rollout->offset != digest->order) {
            continue;
        }
        int64_t began = router->now_us - digest->elapsed_ms * Sl_US_PER_MS;
        rollout->began_us = MIN(rollout->began_us, began);
        if (digest->is_suspect && !rollout->suspect && !is_over(rollout)) {
            take_verdict(router, rollout, reporter);
        }
        for (size_t i = 0; i < digest->session_count; i++) {
            SlRolloutSessions_NoteAtBaseline(router, rollout,
                                             digest->sessions[i], false);
        }
    }
}

/* Peers may have told of the order before it was known here. */
static void
take_digests(struct sl_router *router, const struct sl_rollout *rollout)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_peer *peer = value;
        const struct sl_gossip_rollout *told = last_told_by(peer, rollout);
        if (told != NULL) {
            SlRollouts_OnReport(router, &peer->vm, told);
        }
    }
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
    rollout = g_new0(struct sl_rollout, 1);
    rollout->order = *order;
    rollout->offset = record->offset;
    rollout->began_us = router->now_us;
    rollout->counting_since_us = router->now_us;
    rollout->at_baseline = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    rollout->sessions_to_report = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_replace(router->rollouts, &rollout->order.service, rollout);
    SlRollouts_BeginLog(router, rollout, "rollout_order");
    SlLogLine_End(router, Sl_LOG_INFO);
    note_flights(router, rollout);
    const struct sl_rollout_status *status =
        g_hash_table_lookup(router->statuses, &order->service);
    if (status != NULL) {
        take_status(router, status);
    }
    take_digests(router, rollout);
    SlRollouts_Update(router);
}

void
SlRollouts_OnStatus(struct sl_router *router, const struct sl_record *record)
{
    if (!record->dropped) {
        struct sl_rollout_status *status =
            g_memdup2(&record->u.status, sizeof(*status));
        g_hash_table_replace(router->statuses, &status->service, status);
        take_status(router, status);
        SlRollouts_Update(router);
    }
}

void
SlRollouts_AddToDigest(struct sl_router *router, struct sl_gossip *digest)
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
        struct sl_gossip_rollout *told =
            &digest->rollouts[digest->rollout_count++];
        memset(told, 0, sizeof(*told));
        told->order = rollout->offset;
        told->elapsed_ms =
            (uint32_t)(SlRollouts_ElapsedUs(router, rollout) / Sl_US_PER_MS);
        told->base_in_flight = (uint32_t)rollout->baseline_in_flight;
        told->is_suspect = rollout->suspect;
        told->calls = rollout->calls;
        told->counted_ms =
            (uint32_t)((router->now_us - rollout->counting_since_us) /
                       Sl_US_PER_MS);
        SlRolloutEvidence_AddToReport(&rollout->evidence, told,
                                      router->now_us);
        SlRolloutSessions_AddToReport(router, rollout, told);
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
