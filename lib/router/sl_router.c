/* The reducer: creates the state, handles events and timers, and drains the
 * router. */
#include "sl_router_internal.h"

/* Time after the start of a drain in which new connections are still accepted.
 * The load balancer stops sending them after two readiness checks a second
 * apart; this leaves a second to spare. */
#define Sl_DRAIN_ACCEPT_US (3 * Sl_US_PER_S)
static void
free_request(gpointer data)
{
    SlRoutedRequest_Free(data);
}

struct sl_router *
SlRouter_New(const struct sl_router_options *options)
{
    struct sl_router *router = g_new0(struct sl_router, 1);
    assert(options->boot != 0);
    router->options = *options;
    router->now_us = options->now_us;
    router->random.state = options->seed;
    router->timers = SlTimers_New();
    size_t metric_count;
    const struct sl_metric_def *defs = SlRouter_Metrics(&metric_count);
    router->metrics = SlMetrics_New(defs, metric_count);
    router->evacuated = g_hash_table_new_full(SlName_TableHash,
                                              SlName_TableEqual, NULL, g_free);
    router->upstreams = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, SlUpstreams_Free);
    router->rate_parts = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->upstream_notices = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, g_free);
    router->routed_requests = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, NULL, SlRoutedRequest_Free);
    router->requests_by_token = g_hash_table_new(g_int64_hash, g_int64_equal);
    router->request_queue = g_queue_new();
    router->startup_queue = g_queue_new();
    router->upstreams_by_key = g_hash_table_new(NULL, NULL);
    router->latency_estimates = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->mean_run_us = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->light_run_us = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->mean_route_head_us = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->confidence_gains =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    router->unserved_since_us = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->retry_windows = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    router->rollouts = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, SlRollouts_Free);
    router->rollout_statuses = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, g_free);
    router->peers = g_hash_table_new_full(SlName_TableHash, SlName_TableEqual,
                                          NULL, SlPeers_Free);
    router->started_us = options->now_us;
    router->stall_check_due_us = Sl_NEVER_US;
    router->health_checks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    router->broken_calls =
        g_array_new(FALSE, FALSE, sizeof(struct sl_broken_call));
    router->quarantine = SlQuarantine_New();
    router->rooms = options->guards_memory ? SlEngineRooms_New() : NULL;
    router->kept = SlKept_New();
    router->sharing = SlSharing_New();
    router->deferred_frees = g_ptr_array_new_with_free_func(free_request);
    return router;
}

void
SlRouter_Free(struct sl_router *router)
{
    if (router == NULL) {
        return;
    }
    SlFeeds_Free(router);
    g_queue_free(router->request_queue);
    g_queue_free_full(router->startup_queue, SlStartupQueue_FreeEntry);
    g_hash_table_destroy(router->peers);
    g_hash_table_destroy(router->rollout_statuses);
    g_hash_table_destroy(router->rollouts);
    g_hash_table_destroy(router->retry_windows);
    g_hash_table_destroy(router->unserved_since_us);
    g_hash_table_destroy(router->confidence_gains);
    g_hash_table_destroy(router->mean_run_us);
    g_hash_table_destroy(router->light_run_us);
    g_hash_table_destroy(router->mean_route_head_us);
    g_hash_table_destroy(router->latency_estimates);
    g_hash_table_destroy(router->upstreams_by_key);
    g_hash_table_destroy(router->health_checks);
    g_array_free(router->broken_calls, TRUE);
    SlQuarantine_Free(router->quarantine);
    SlEngineRooms_Free(router->rooms);
    SlKept_Free(router->kept);
    SlSharing_Free(router->sharing);
    g_hash_table_destroy(router->requests_by_token);
    g_hash_table_destroy(router->routed_requests);
    g_ptr_array_free(router->deferred_frees, TRUE);
    g_hash_table_destroy(router->upstreams);
    g_hash_table_destroy(router->upstream_notices);
    g_hash_table_destroy(router->rate_parts);
    g_hash_table_destroy(router->evacuated);
    SlRouting_Unref(router->routing);
    SlMetrics_Free(router->metrics);
    SlTimers_Free(router->timers);
    SlBuf_Free(&router->line);
    g_free(router);
}

int64_t
SlRouter_NextDueUs(const struct sl_router *router)
{
    return SlTimers_NextDueUs(router->timers);
}

/* Interval at which cached prefix parts that are no longer used, and old
 * notices of upstreams, are removed. */
#define Sl_SWEEP_US (5 * Sl_US_PER_S)

static void
on_sweep(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    SlUpstreams_Sweep(router);
    SlTimers_Add(router->timers, router->now_us + Sl_SWEEP_US, on_sweep,
                 router, 0);
}

/* Runs at the first event. */
static void
start(struct sl_router *router)
{
    router->started = true;
    router->fleet_clock_ahead_us =
        router->wall_ms * Sl_US_PER_MS - router->now_us;
    SlFeeds_Start(router);
    SlDigests_Start(router);
    on_sweep(router, 0, router->now_us);
}

/* ---- drain ---- */

/* Requests the exit of the process, once. Requests that have not ended get an
 * error response first. */
static void
request_exit(struct sl_router *router)
{
    if (!router->exited) {
        router->exited = true;
        SlLogLine_Begin(router, "stopped");
        SlLogLine_Int(router, "unfinished",
                      (int64_t)g_hash_table_size(router->routed_requests) +
                          router->startup_queue->length);
        SlLogLine_End(router, Sl_LOG_INFO);
        SlStartupQueue_RefuseAll(router);
        SlRoutedRequest_FailAll(router);
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_EXIT)->u.drain_end_us =
            SlRouter_DrainEndUs(router);
    }
}

static void
on_stop_accepting(void *context, uint64_t id, int64_t now_us)
{
    struct sl_router *router = context;
    (void)id;
    (void)now_us;
    router->stopped_accepting = true;
    SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_STOP_ACCEPTING);
}

static void
on_grace_end(void *context, uint64_t id, int64_t now_us)
{
    (void)id;
    (void)now_us;
    request_exit(context);
}

/* Sets the timer for the exit of a router that drains. */
static void
set_exit_timer(struct sl_router *router)
{
    SlTimers_Cancel(router->timers, router->exit_timer);
    router->exit_timer = SlTimers_Add(
        router->timers, SlRouter_DrainEndUs(router), on_grace_end, router, 0);
}

int64_t
SlRouter_DrainEndUs(const struct sl_router *router)
{
    return router->draining
               ? router->drain_started_us + router->options.bounds.grace_us -
                     Sl_DRAIN_RESERVE_US
               : Sl_NEVER_US;
}

/* Begins to shut down: the load balancer and the peers learn that this router
 * leaves, requests under way are finished, and new connections are refused
 * after a while. */
static void
start_drain(struct sl_router *router)
{
    if (router->draining) {
        return;
    }
    router->draining = true;
    router->drain_started_us = router->now_us;
    SlLogLine_Begin(router, "draining");
    SlLogLine_Int(router, "in_flight",
                  (int64_t)g_hash_table_size(router->routed_requests));
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_CLOSE_CONNS);
    SlDigests_AnnounceLeaving(router);
    SlTimers_Add(router->timers, router->now_us + Sl_DRAIN_ACCEPT_US,
                 on_stop_accepting, router, 0);
    set_exit_timer(router);
    router->capacity_changed = true; /* queued ones may outlast the drain */
}

/* ---- events ---- */

static void
dispatch(struct sl_router *router, const struct sl_router_event *event)
{
    switch (event->type) {
    case Sl_ROUTER_EVENT_TICK:
        break; /* timers have run already */
    case Sl_ROUTER_EVENT_DRAIN:
        start_drain(router);
        break;
    case Sl_ROUTER_EVENT_BOUNDS:
        router->options.bounds = event->u.bounds;
        if (router->draining) {
            set_exit_timer(router); /* the grace time may have changed */
        }
        SlLogLine_Begin(router, "reloaded");
        SlLogLine_End(router, Sl_LOG_INFO);
        break;
    case Sl_ROUTER_EVENT_REQUEST:
        if (!SlStartupQueue_IsNeeded(router) ||
            !SlStartupQueue_Add(router, &event->u.request)) {
            SlRoutedRequest_Start(router, &event->u.request);
        }
        break;
    case Sl_ROUTER_EVENT_CLIENT_GONE:
        SlStartupQueue_OnClientGone(router, event->u.conn);
        SlRoutedRequest_OnClientGone(router, event->u.conn);
        break;
    case Sl_ROUTER_EVENT_RESPONSE_HEAD:
        SlResponses_OnHead(router, event->u.response.token,
                           event->u.response.head);
        break;
    case Sl_ROUTER_EVENT_RESPONSE_CHUNK:
        SlResponses_OnChunk(router, event->u.response.token,
                            event->u.response.bytes);
        break;
    case Sl_ROUTER_EVENT_RESPONSE_DONE:
        SlResponses_OnDone(router, event->u.response.token, event->err,
                           event->u.response.connected);
        break;
    case Sl_ROUTER_EVENT_RESPONSE_PAUSED:
        SlResponses_OnPaused(router, event->u.response.token,
                             event->u.response.is_paused);
        break;
    case Sl_ROUTER_EVENT_HEALTH_CHECKED:
        SlStallMonitor_OnHealthChecked(router, event->u.health_check.token,
                                       event->u.health_check.is_reached);
        break;
    case Sl_ROUTER_EVENT_FEED_READ:
        SlFeeds_OnRead(router, event);
        break;
    case Sl_ROUTER_EVENT_APPENDED:
        if (event->u.appended.token == router->member_token) {
            SlDigests_OnRegistered(router, event->err);
        }
        else {
            SlRolloutStatus_OnAppended(router, event);
        }
        break;
    case Sl_ROUTER_EVENT_PULL:
        SlRecordCache_OnPull(router, event->u.pull.conn, event->u.pull.feed,
                             event->u.pull.from);
        break;
    case Sl_ROUTER_EVENT_PULLED:
        SlFeeds_OnPulled(router, event);
        break;
    case Sl_ROUTER_EVENT_PEER_LIST:
        SlDigests_OnPeerList(router, event->u.peer_list.members,
                             event->u.peer_list.count);
        break;
    case Sl_ROUTER_EVENT_DIGEST:
        SlDigests_OnDigest(router, event->u.digest);
        break;
    default:
        break;
    }
}

void
SlRouter_Reduce(struct sl_router *router, const struct sl_router_event *event,
                struct sl_router_effects *effects)
{
    g_ptr_array_set_size(router->deferred_frees, 0);
    router->effects = effects;
    router->event_number++;
    SlProcessPause_Check(router, event->now_us);
    router->wall_ms = event->wall_ms;
    if (!router->started) {
        start(router);
    }
    SlTimers_Run(router->timers, router->now_us);
    dispatch(router, event);
    SlUpstreams_Expire(router);
    SlStartupQueue_Release(router);
    SlEngineEnds_Update(router);
    SlPromptGuard_Update(router);
    if (router->capacity_changed && router->request_queue->length > 0) {
        SlRequestQueue_Dispatch(router);
    }
    SlStallMonitor_ArmTimer(router);
    if (router->loads_changed) {
        router->loads_changed = false;
        SlDigests_ScheduleLoads(router);
    }
    if (router->has_store_updates) {
        router->has_store_updates = false;
        SlDigests_ScheduleUpdates(router);
    }
    if (router->stopped_accepting && router->startup_queue->length == 0 &&
        g_hash_table_size(router->routed_requests) == 0) {
        request_exit(router);
    }
    router->effects = NULL;
}

/* ---- state ---- */

bool
SlRouter_IsReady(const struct sl_router *router)
{
    return router->routing != NULL && !router->draining &&
           router->feeds[Sl_FEED_UPSTREAMS].has_snapshot;
}
