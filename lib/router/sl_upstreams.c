/* State of upstreams: registration, load, prefix cache, failures, cold start.
 * An upstream that has failed is ejected: it gets no requests for a time. */
#include "sl_pace.h"
#include "sl_router_internal.h"

/* Time after the store is available again during which an upstream is kept
 * although its entry in the store has expired. The operators state that
 * upstreams register again within about two seconds. */
#define Sl_EXPIRY_GRACE_US (2 * Sl_US_PER_S)
/* Ejection time after the first failure. It doubles with each further one in a
 * row. */
#define Sl_EJECTION_FIRST_US (250 * Sl_US_PER_MS)
/* Longest ejection time. */
#define Sl_EJECTION_MAX_US (2 * Sl_US_PER_S)
/* Time for which this router's digests report an upstream that it has found
 * failing. */
#define Sl_REPORT_FAULT_US Sl_US_PER_S
/* Ejection time after a peer's report of a failing upstream. */
#define Sl_REPORTED_EJECTION_US (600 * Sl_US_PER_MS)
/* Ejection time after a refusal; a Retry-After may ask for longer back-off. */
#define Sl_REFUSAL_EJECTION_US (100 * Sl_US_PER_MS)
/* Time for which a reported load is used. It soon becomes outdated, and an
 * upstream that counts as full gets no request whose response would update
 * the load. */
#define Sl_REPORTED_LOAD_LIFETIME_US (100 * Sl_US_PER_MS)
/* Age that a registration may have when it is read, in addition to the
 * interval between two registrations. */
#define Sl_REGISTRATION_LAG_US Sl_US_PER_S
/* Least share of the estimated prefill backlog that counts when the prefill
 * takes longer than estimated. */
#define Sl_MIN_BACKLOG_SHARE 0.3

void
SlUpstreams_Free(gpointer data)
{
    struct sl_router_upstream *upstream = data;
    SlPace_Free(upstream->pace);
    SlRoom_Free(upstream->room);
    SlKeptEngine_Free(upstream->kept);
    g_free(upstream);
}

static void
log_upstream(struct sl_router *router,
             const struct sl_router_upstream *upstream, const char *event)
{
    SlLogLine_Begin(router, event);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Name(router, "service", &upstream->registration.service);
    SlLogLine_Name(router, "address", &upstream->registration.address);
    SlLogLine_Name(router, "domain", &upstream->registration.domain);
    SlLogLine_Name(router, "version", &upstream->registration.version);
    SlLogLine_Offset(router, "offset", upstream->offset);
    SlLogLine_Int(router, "cold_ms",
                  upstream->registration.cold_us / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* ---- keys in digests ---- */

/* Digests name an upstream by a hash of its id. Upstreams with the same key
 * form a list, linked by `next_with_key`. */

static void
link_key(struct sl_router *router, struct sl_router_upstream *upstream)
{
    gpointer key = GUINT_TO_POINTER(upstream->key);
    upstream->next_with_key =
        g_hash_table_lookup(router->upstreams_by_key, key);
    g_hash_table_insert(router->upstreams_by_key, key, upstream);
}

static void
unlink_key(struct sl_router *router, const struct sl_router_upstream *upstream)
{
    gpointer key = GUINT_TO_POINTER(upstream->key);
    struct sl_router_upstream *at =
        g_hash_table_lookup(router->upstreams_by_key, key);
    if (at == upstream && upstream->next_with_key == NULL) {
        g_hash_table_remove(router->upstreams_by_key, key);
    }
    else if (at == upstream) {
        g_hash_table_insert(router->upstreams_by_key, key,
                            upstream->next_with_key);
    }
    else {
        while (at->next_with_key != upstream) {
            at = at->next_with_key;
        }
        at->next_with_key = upstream->next_with_key;
    }
}

struct sl_router_upstream *
SlUpstreams_FirstWithKey(const struct sl_router *router, uint32_t key)
{
    return g_hash_table_lookup(router->upstreams_by_key,
                               GUINT_TO_POINTER(key));
}

static struct sl_router_upstream *
add_upstream(struct sl_router *router, const struct sl_registration *reg)
{
    struct sl_router_upstream *upstream = g_new0(struct sl_router_upstream, 1);
    upstream->registration = *reg;
    upstream->pace = SlPace_New();
    upstream->key = (uint32_t)SlHash_Bytes(0, SlName_Str(&reg->id));
    upstream->room = router->rooms != NULL ? SlRoom_New() : NULL;
    upstream->kept = SlKeptEngine_New(upstream->key);
    g_hash_table_insert(router->upstreams, &upstream->registration.id,
                        upstream);
    link_key(router, upstream);
    /* The peers may have reported a load of the new upstream already. */
    router->peers_changed = true;
    SlUpstreamNotices_OnUpstreamStart(router, upstream);
    return upstream;
}

/* Sets when the upstream is removed unless it registers again; 0: never. */
static void
set_removal_due(struct sl_router *router, struct sl_router_upstream *upstream,
                int64_t due_us)
{
    router->expiring_count -= upstream->removal_due_us != 0 ? 1 : 0;
    router->expiring_count += due_us != 0 ? 1 : 0;
    upstream->removal_due_us = due_us;
}

/* Returns true if the registration is of a new instance with the upstream's
 * id, whose caches are empty. If a start time is missing, a lower sequence
 * number shows it: within an instance, the number grows with each
 * registration. */
static bool
has_restarted(const struct sl_router_upstream *upstream,
              const struct sl_registration *reg)
{
    if (reg->start_wall_ms != 0 && upstream->registration.start_wall_ms != 0) {
        return reg->start_wall_ms != upstream->registration.start_wall_ms;
    }
    return reg->sequence < upstream->registration.sequence;
}

/* Resets what is known of the previous instance of the upstream. */
static void
reset_instance(struct sl_router *router, struct sl_router_upstream *upstream)
{
    SlPace_Reset(upstream->pace);
    SlKeptEngine_Reset(upstream->kept);
    upstream->restarted_us = router->now_us;
    upstream->failures = 0;
    upstream->ejected_until_us = 0;
    SlEngineRooms_OnReplaced(router, upstream);
    SlEngineEnds_OnReplaced(router, upstream);
    SlUpstreamLimits_OnReplaced(router, upstream);
    SlUpstreamNotices_OnUpstreamStart(router, upstream);
}

void
SlUpstreams_OnRegistered(struct sl_router *router, uint64_t offset,
                         const struct sl_registration *reg)
{
    struct sl_router_upstream *upstream =
        g_hash_table_lookup(router->upstreams, &reg->id);
    bool appeared = upstream == NULL || !upstream->is_registered;
    bool starts_drain = reg->draining;
    if (upstream == NULL) {
        upstream = add_upstream(router, reg);
    }
    else if (offset < upstream->offset) {
        return; /* older than the known registration */
    }
    else {
        starts_drain = reg->draining && !upstream->registration.draining;
        bool is_new_instance = has_restarted(upstream, reg);
        upstream->registration = *reg;
        if (is_new_instance) {
            reset_instance(router, upstream);
        }
    }
    upstream->offset = offset;
    upstream->registration_read_us = router->now_us;
    upstream->is_registered = true;
    upstream->is_replaced = false;
    /* A registration that may be older than the last failure does not show
     * that the upstream works again. */
    if (router->now_us - upstream->failed_us >
        router->options.bounds.heartbeat_us + Sl_REGISTRATION_LAG_US) {
        upstream->failed_since_registration = false;
    }
    set_removal_due(router, upstream, 0);
    upstream->cold_until_us =
        reg->cold_us > 0 ? router->now_us + reg->cold_us : 0;
    if (appeared) {
        g_hash_table_remove(router->unserved_since_us, &reg->service);
        log_upstream(router, upstream, "upstream_up");
    }
    if (starts_drain) {
        log_upstream(router, upstream, "upstream_draining");
    }
    router->capacity_changed = true;
}

static void
free_upstream(struct sl_router *router, struct sl_router_upstream *upstream)
{
    unlink_key(router, upstream);
    g_hash_table_remove(router->upstreams, &upstream->registration.id);
}

/* Marks the upstream as not registered, and frees it if it has no calls. */
static void
remove_upstream(struct sl_router *router, struct sl_router_upstream *upstream)
{
    upstream->is_registered = false;
    set_removal_due(router, upstream, 0);
    log_upstream(router, upstream, "upstream_gone");
    if (upstream->in_flight == 0) {
        free_upstream(router, upstream);
    }
}

void
SlUpstreams_OnRemoved(struct sl_router *router, const struct sl_name *id)
{
    struct sl_router_upstream *upstream =
        g_hash_table_lookup(router->upstreams, id);
    if (upstream == NULL || !upstream->is_registered) {
        return;
    }
    int64_t grace_end_us = router->store_back_us + Sl_EXPIRY_GRACE_US;
    if (router->store_back_us != 0 && router->now_us < grace_end_us &&
        !upstream->registration.draining) {
        set_removal_due(router, upstream, grace_end_us);
        log_upstream(router, upstream, "upstream_lapsed");
        return;
    }
    remove_upstream(router, upstream);
}

void
SlUpstreams_Expire(struct sl_router *router)
{
    if (router->expiring_count == 0) {
        return;
    }
    GList *all = g_hash_table_get_values(router->upstreams);
    for (const GList *link = all; link != NULL; link = link->next) {
        struct sl_router_upstream *upstream = link->data;
        if (upstream->removal_due_us != 0 &&
            upstream->removal_due_us <= router->now_us) {
            remove_upstream(router, upstream);
        }
    }
    g_list_free(all);
}

bool
SlUpstreams_IsEvacuated(const struct sl_router *router,
                        const struct sl_name *domain)
{
    return g_hash_table_contains(router->evacuated, domain);
}

bool
SlUpstreams_AcceptsRequests(const struct sl_router_upstream *upstream)
{
    return upstream->is_registered && !upstream->registration.draining &&
           upstream->leave_announced_us == 0 && !upstream->is_replaced;
}

const char *
SlUpstreams_State(const struct sl_router *router,
                  const struct sl_router_upstream *upstream)
{
    if (upstream->is_replaced) {
        return "replaced";
    }
    if (upstream->registration.draining) {
        return "draining";
    }
    if (SlUpstreams_IsEvacuated(router, &upstream->registration.domain)) {
        return "evacuated";
    }
    if (upstream->leave_announced_us != 0) {
        return "leaving";
    }
    if (SlUpstreamNotices_IsBackingOff(router, upstream)) {
        return "quiet";
    }
    if (upstream->ejected_until_us > router->now_us) {
        return "shunned";
    }
    if (upstream->cold_until_us > router->now_us) {
        return "cold";
    }
    return upstream->limit.per_s > 0 ? "limited" : "usable";
}

/* ---- load ---- */

int64_t
SlUpstreams_Load(const struct sl_router *router,
                 const struct sl_router_upstream *upstream)
{
    int64_t fleet_in_flight = upstream->in_flight + upstream->peers_in_flight;
    if (router->now_us - upstream->load_reported_us >
        Sl_REPORTED_LOAD_LIFETIME_US) {
        return fleet_in_flight;
    }
    return MAX(upstream->reported_load + upstream->sent_since_report,
               fleet_in_flight);
}

int64_t
SlUpstreams_LocalPrefillBacklogUs(const struct sl_router *router,
                                  const struct sl_router_upstream *upstream)
{
    if (upstream->prefill_backlog_us == 0) {
        return 0;
    }
    int64_t remaining_us = upstream->prefill_backlog_us -
                           (router->now_us - upstream->prefill_started_us);
    return MAX(remaining_us, (int64_t)(Sl_MIN_BACKLOG_SHARE *
                                       (double)upstream->prefill_backlog_us));
}

int64_t
SlUpstreams_PrefillBacklogUs(const struct sl_router *router,
                             const struct sl_router_upstream *upstream)
{
    return SlUpstreams_LocalPrefillBacklogUs(router, upstream) +
           upstream->peers_prefill_backlog_us;
}

void
SlUpstreams_Sweep(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_router_upstream *upstream = value;
        SlKeptEngine_Expire(upstream->kept, router->now_us);
    }
    SlUpstreamNotices_Sweep(router);
}

void
SlUpstreams_OnCallSent(struct sl_router *router,
                       struct sl_router_upstream *upstream,
                       struct sl_routed_request *request)
{
    struct sl_upstream_call *call = &request->upstream_call;
    struct sl_name model = {0};
    call->was_idle = SlUpstreams_PrefillBacklogUs(router, upstream) == 0;
    call->was_cold = SlColdLimit_IsCold(router, upstream, request->service);
    call->was_lightly_loaded =
        SlUpstreamPace_IsLightlyLoaded(router, upstream);
    if (call->was_cold) {
        upstream->cold_sent_us = router->now_us;
    }
    SlUpstreamLimits_OnSent(router, upstream);
    upstream->in_flight++;
    call->is_suspect = request->is_suspect;
    upstream->suspect_calls += call->is_suspect ? 1 : 0;
    upstream->sent_since_report++;
    router->loads_changed = true;
    if (!request->service->is_engine) {
        return;
    }
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    call->uncached_tokens =
        request->incoming.prompt_tokens - call->kept.expected_tokens;
    call->expected_us =
        SlLatency_PrefillUs(router, &model, call->uncached_tokens);
    call->is_prefilling = true;
    if (upstream->prefill_backlog_us == 0) {
        upstream->prefill_started_us = router->now_us;
    }
    upstream->prefill_backlog_us += call->expected_us;
    SlEngineRooms_OnCallSent(upstream, request);
    SlKeptParts_OnCallSent(router, upstream, request);
}

void
SlUpstreams_OnPrefillDone(struct sl_router *router,
                          struct sl_router_upstream *upstream,
                          struct sl_upstream_call *call)
{
    if (call->is_prefilling) {
        call->is_prefilling = false;
        upstream->prefill_backlog_us -= call->expected_us;
        upstream->prefill_started_us = router->now_us;
        router->loads_changed = true;
    }
}

void
SlUpstreams_OnCallCleared(struct sl_router_upstream *upstream,
                          struct sl_upstream_call *call)
{
    upstream->suspect_calls -= call->is_suspect ? 1 : 0;
    call->is_suspect = false;
}

void
SlUpstreams_OnCallEnded(struct sl_router *router,
                        struct sl_router_upstream *upstream,
                        struct sl_upstream_call *call)
{
    assert(upstream->in_flight > 0);
    SlUpstreams_OnPrefillDone(router, upstream, call);
    SlUpstreams_OnCallCleared(upstream, call);
    SlEngineRooms_OnCallEnded(upstream, call);
    upstream->in_flight--;
    if (upstream->reported_load > 0) {
        upstream->reported_load--;
    }
    router->capacity_changed = true;
    router->loads_changed = true;
    if (upstream->in_flight == 0 && !upstream->is_registered) {
        free_upstream(router, upstream);
    }
}

void
SlUpstreams_OnReportedLoad(struct sl_router *router,
                           struct sl_router_upstream *upstream,
                           const struct sl_response_head *head)
{
    if (head->has_load) {
        SlRouterMetrics_OnLoad(router, &upstream->registration.service,
                               SlUpstreams_Load(router, upstream),
                               head->running + head->waiting);
        upstream->load_reported_us = router->now_us;
        upstream->reported_load = head->running + head->waiting;
        upstream->sent_since_report = 0;
    }
    SlUpstreamPace_OnHead(router, upstream, head);
    if (head->cold_us >= 0) {
        if (head->cold_us > 0 && upstream->cold_until_us <= router->now_us) {
            SlLogLine_Begin(router, "upstream_cold");
            SlLogLine_Name(router, "upstream", &upstream->registration.id);
            SlLogLine_Int(router, "cold_ms", head->cold_us / Sl_US_PER_MS);
            SlLogLine_End(router, Sl_LOG_INFO);
        }
        upstream->cold_until_us =
            head->cold_us > 0 ? router->now_us + head->cold_us : 0;
    }
}

/* ---- failures ---- */

void
SlUpstreams_OnSuccess(struct sl_router *router,
                      struct sl_router_upstream *upstream,
                      int64_t cold_start_us)
{
    if (upstream->failures > 0) {
        log_upstream(router, upstream, "upstream_recovered");
    }
    upstream->failures = 0;
    upstream->local_fault_us = 0;
    /* The upstream may have restarted when it failed. */
    if (upstream->failed_since_registration) {
        upstream->failed_since_registration = false;
        upstream->cold_until_us =
            MAX(upstream->cold_until_us, router->now_us + cold_start_us);
    }
}

/* Ejects the upstream for `for_us`, or longer if it is ejected for longer. */
static void
eject(struct sl_router *router, struct sl_router_upstream *upstream,
      int64_t for_us)
{
    upstream->ejected_until_us =
        MAX(upstream->ejected_until_us, router->now_us + for_us);
}

void
SlUpstreams_OnFailure(struct sl_router *router,
                      struct sl_router_upstream *upstream)
{
    int64_t ejection_us = Sl_EJECTION_FIRST_US;
    for (unsigned i = 0;
         i < upstream->failures && ejection_us < Sl_EJECTION_MAX_US; i++) {
        ejection_us *= 2;
    }
    upstream->failures++;
    upstream->failed_since_registration = true;
    upstream->failed_us = router->now_us;
    upstream->local_fault_us = router->now_us;
    router->loads_changed = true;
    eject(router, upstream, MIN(ejection_us, Sl_EJECTION_MAX_US));
    SlLogLine_Begin(router, "upstream_suspected");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "failures", upstream->failures);
    SlLogLine_Int(router, "pause_ms", ejection_us / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
}

void
SlUpstreams_OnReplaced(struct sl_router *router,
                       struct sl_router_upstream *upstream)
{
    upstream->is_replaced = true;
    SlPace_Reset(upstream->pace);
    upstream->local_fault_us = router->now_us;
    router->loads_changed = true;
    SlEngineEnds_OnReplaced(router, upstream);
    log_upstream(router, upstream, "upstream_replaced");
}

bool
SlUpstreams_IsLocalFault(const struct sl_router *router,
                         const struct sl_router_upstream *upstream)
{
    return upstream->local_fault_us != 0 &&
           router->now_us - upstream->local_fault_us < Sl_REPORT_FAULT_US;
}

void
SlUpstreams_OnReportedFault(struct sl_router *router,
                            const struct sl_name *reporter,
                            const struct sl_gossip_fault *fault)
{
    struct sl_router_upstream *upstream =
        SlUpstreams_FirstWithKey(router, fault->upstream);
    if (upstream != NULL && upstream->next_with_key != NULL) {
        return; /* it is not known which of them has the fault */
    }
    if (upstream != NULL && fault->kind == Sl_FAULT_LEAVING) {
        SlUpstreamNotices_OnReportedLeaving(router, reporter, upstream,
                                            fault->age_ms * Sl_US_PER_MS);
        return;
    }
    if (upstream == NULL ||
        router->now_us - upstream->last_bytes_us < Sl_REPORTED_EJECTION_US) {
        return; /* unknown here, or it has just sent bytes to this router */
    }
    if (upstream->ejected_until_us <= router->now_us) {
        SlLogLine_Begin(router, "upstream_suspected");
        SlLogLine_Name(router, "upstream", &upstream->registration.id);
        SlLogLine_Name(router, "told_by", reporter);
        SlLogLine_Int(router, "pause_ms",
                      Sl_REPORTED_EJECTION_US / Sl_US_PER_MS);
        SlLogLine_End(router, Sl_LOG_INFO);
    }
    upstream->failed_since_registration = true;
    upstream->failed_us = router->now_us;
    eject(router, upstream, Sl_REPORTED_EJECTION_US);
    if (fault->kind == Sl_FAULT_REPLACED && !upstream->is_replaced) {
        upstream->is_replaced = true;
        log_upstream(router, upstream, "upstream_replaced");
    }
}

void
SlUpstreams_OnRefused(struct sl_router *router,
                      struct sl_router_upstream *upstream)
{
    eject(router, upstream, Sl_REFUSAL_EJECTION_US);
}
