/* The router's metrics. Their names, labels and help texts also stand in a
 * table for operators, docs/operations/metrics.md; a unit test compares them.
 */
#include "sl_router_internal.h"

/* ---- definitions ---- */

/* Bucket bounds in seconds, from the time between two tokens to the longest
 * deadlines. A 0 ends the array. */
static const double second_bounds[] = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.7, 1, 2.5, 5, 10, 30, 0};
/* Bucket bounds in requests; a 0 ends the array. */
static const double request_bounds[] = {0.5, 1, 2, 4, 8, 16, 32, 64, 0};

/* By enum sl_router_metric. */
static const struct sl_metric_def defs[] = {
    [Sl_ROUTER_METRIC_REQUESTS] = {"sassafrasledge_requests_total",
                                   Sl_METRIC_COUNTER,
                                   "Requests with a route that arrived.",
                                   {"route"},
                                   NULL},
    [Sl_ROUTER_METRIC_RESPONSE_TIME] =
        {"sassafrasledge_answer_seconds",
         Sl_METRIC_HISTOGRAM,
         "From a request's arrival to the end of its "
         "answer; outcome: passed, refused, failed, cut, "
         "caller_gone.",
         {"route", "outcome"},
         second_bounds},
    [Sl_ROUTER_METRIC_FIRST_EVENT] =
        {"sassafrasledge_first_event_seconds",
         Sl_METRIC_HISTOGRAM,
         "From a request's arrival to the first event of "
         "its stream.",
         {"route"},
         second_bounds},
    [Sl_ROUTER_METRIC_EVENT_GAP] =
        {"sassafrasledge_event_gap_seconds",
         Sl_METRIC_HISTOGRAM,
         "Between two events of a stream that were passed on.",
         {"route"},
         second_bounds},
    [Sl_ROUTER_METRIC_QUEUE] = {"sassafrasledge_queue_seconds",
                                Sl_METRIC_HISTOGRAM,
                                "Wait for an upstream before each call.",
                                {"service"},
                                second_bounds},
    [Sl_ROUTER_METRIC_CALLS] = {"sassafrasledge_calls_total",
                                Sl_METRIC_COUNTER,
                                "Calls to upstreams.",
                                {"service"},
                                NULL},
    [Sl_ROUTER_METRIC_CALLS_FAILED] =
        {"sassafrasledge_calls_failed_total",
         Sl_METRIC_COUNTER,
         "Calls that gave no answer for the caller; "
         "reason: unreachable, broken, refused, "
         "replaced, silent, too_large, error.",
         {"service", "reason"},
         NULL},
    [Sl_ROUTER_METRIC_ENGINES_ENDED] =
        {"sassafrasledge_engines_ended_total",
         Sl_METRIC_COUNTER,
         "Engines that ended while this router had calls there.",
         {"service"},
         NULL},
    [Sl_ROUTER_METRIC_PROMPTS_SUSPECTED] =
        {"sassafrasledge_prompts_suspected_total",
         Sl_METRIC_COUNTER,
         "Prompts or parts that two engines may have ended by.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_PROMPT_BLOCKS] =
        {"sassafrasledge_prompt_blocks_total",
         Sl_METRIC_COUNTER,
         "Blocks of prompts or parts; source: local, peer.",
         {"source"},
         NULL},
    [Sl_ROUTER_METRIC_PROMPT_TRIALS] =
        {"sassafrasledge_prompt_trials_total",
         Sl_METRIC_COUNTER,
         "Trials of blocked prompts; outcome: sent, failed.",
         {"outcome"},
         NULL},
    [Sl_ROUTER_METRIC_KEPT_CALLS] =
        {"sassafrasledge_kept_calls_total",
         Sl_METRIC_COUNTER,
         "Prompts with shared parts, sent to engines whose memory is known; "
         "placed: home, held, away.",
         {"service", "placed"},
         NULL},
    [Sl_ROUTER_METRIC_KEPT_TOKENS] =
        {"sassafrasledge_kept_tokens_total",
         Sl_METRIC_COUNTER,
         "Prompt tokens that engines have kept; kind: expected, and of those "
         "whose responses tell, judged and seen.",
         {"service", "kind"},
         NULL},
    [Sl_ROUTER_METRIC_PROMPT_RELEASES] =
        {"sassafrasledge_prompt_releases_total",
         Sl_METRIC_COUNTER,
         "Blocks that ended; reason: begun, expired.",
         {"reason"},
         NULL},
    [Sl_ROUTER_METRIC_PROMPT_REFUSALS] =
        {"sassafrasledge_prompt_refusals_total",
         Sl_METRIC_COUNTER,
         "Requests refused for a blocked prompt.",
         {"service"},
         NULL},
    [Sl_ROUTER_METRIC_PROMPT_BLOCKS_ACTIVE] =
        {"sassafrasledge_prompt_blocks",
         Sl_METRIC_GAUGE,
         "Blocks of prompts or parts that are in force.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_LOW_CONFIDENCE] =
        {"sassafrasledge_answers_doubted_total",
         Sl_METRIC_COUNTER,
         "Answers of smaller models that were not passed "
         "on.",
         {"route", "model"},
         NULL},
    [Sl_ROUTER_METRIC_RETRIES] =
        {"sassafrasledge_repeats_total",
         Sl_METRIC_COUNTER,
         "Calls taken from the budget of repeats; reason: "
         "failure, doubt.",
         {"service", "reason"},
         NULL},
    [Sl_ROUTER_METRIC_RETRIES_DENIED] =
        {"sassafrasledge_repeats_denied_total",
         Sl_METRIC_COUNTER,
         "Repeats that the budget did not allow; "
         "reason: failure, doubt.",
         {"service", "reason"},
         NULL},
    [Sl_ROUTER_METRIC_LOAD_ESTIMATED] =
        {"sassafrasledge_load_believed_total",
         Sl_METRIC_COUNTER,
         "Sum of the loads, in requests, that "
         "upstreams were believed to have when an "
         "answer told it.",
         {"service"},
         NULL},
    [Sl_ROUTER_METRIC_LOAD_REPORTED] =
        {"sassafrasledge_load_told_total",
         Sl_METRIC_COUNTER,
         "Sum of the loads, in requests, that those "
         "answers told.",
         {"service"},
         NULL},
    [Sl_ROUTER_METRIC_LOAD_ERROR] = {"sassafrasledge_load_error_requests",
                                     Sl_METRIC_HISTOGRAM,
                                     "Difference between the load that was "
                                     "believed and the load that was told.",
                                     {"service"},
                                     request_bounds},
    [Sl_ROUTER_METRIC_EVENTS_REPEATED] =
        {"sassafrasledge_events_repeated_total",
         Sl_METRIC_COUNTER,
         "Events that an upstream sent again in a stream that was not "
         "resumed, and that were left out.",
         {"service"},
         NULL},
    [Sl_ROUTER_METRIC_UNREADABLE_RECORDS] =
        {"sassafrasledge_records_unreadable_total",
         Sl_METRIC_COUNTER,
         "Records of the store that could not be used.",
         {"feed"},
         NULL},
    [Sl_ROUTER_METRIC_IN_FLIGHT] = {"sassafrasledge_requests_in_flight",
                                    Sl_METRIC_GAUGE,
                                    "Requests without a whole answer yet.",
                                    {NULL},
                                    NULL},
    [Sl_ROUTER_METRIC_WAITING] = {"sassafrasledge_requests_waiting",
                                  Sl_METRIC_GAUGE,
                                  "Requests that wait for an upstream.",
                                  {NULL},
                                  NULL},
    [Sl_ROUTER_METRIC_UPSTREAMS] =
        {"sassafrasledge_upstreams",
         Sl_METRIC_GAUGE,
         "Registered upstreams; state: usable, shunned, "
         "quiet, cold, limited, draining, leaving, "
         "replaced, evacuated.",
         {"service", "state"},
         NULL},
    [Sl_ROUTER_METRIC_FLEET] =
        {"sassafrasledge_fleet_routers",
         Sl_METRIC_GAUGE,
         "Routers believed to be live, this one included.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_CONFIGURATION] =
        {"sassafrasledge_configuration_version",
         Sl_METRIC_GAUGE,
         "Version of the configuration in force; -1 "
         "before the first.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_CONFIGURATION_REFUSED] =
        {"sassafrasledge_configuration_refused",
         Sl_METRIC_GAUGE,
         "1 while the newest configuration cannot be decoded, so that an "
         "older one is in force, or none.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_STORE_AGE] =
        {"sassafrasledge_store_age_seconds",
         Sl_METRIC_GAUGE,
         "Since the store last answered this process or "
         "one that it reads from; -1 before the first.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_STORE_ERA] =
        {"sassafrasledge_store_era",
         Sl_METRIC_GAUGE,
         "Era of the store's history that this process goes by; it rises when "
         "the store comes back from a copy; -1: none is stated.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_READY] = {"sassafrasledge_ready",
                                Sl_METRIC_GAUGE,
                                "1 while new connections are wanted.",
                                {NULL},
                                NULL},
    [Sl_ROUTER_METRIC_TEAM_QUEUE] =
        {"sassafrasledge_team_queue_seconds",
         Sl_METRIC_HISTOGRAM,
         "Wait for an upstream before each call, where "
         "teams share the upstreams.",
         {"service", "team"},
         second_bounds},
    [Sl_ROUTER_METRIC_TEAM_REFUSALS] =
        {"sassafrasledge_team_refusals_total",
         Sl_METRIC_COUNTER,
         "Requests refused as they could not end in time, or as "
         "their team wanted more than its share.",
         {"service", "team"},
         NULL},
    [Sl_ROUTER_METRIC_TEAM_HELD] =
        {"sassafrasledge_team_held_requests",
         Sl_METRIC_GAUGE,
         "Requests of the team at upstreams, of all routers.",
         {"service", "team"},
         NULL},
    [Sl_ROUTER_METRIC_TEAM_WAITING] =
        {"sassafrasledge_team_waiting_requests",
         Sl_METRIC_GAUGE,
         "Requests of the team that wait, of all routers.",
         {"service", "team"},
         NULL},
    [Sl_ROUTER_METRIC_LOG_DROPPED] =
        {"sassafrasledge_log_lines_left_out_total",
         Sl_METRIC_COUNTER,
         "Log lines not written; reason: sampled, "
         "full.",
         {"reason"},
         NULL},
    [Sl_ROUTER_METRIC_ENGINE_TOKENS] =
        {"sassafrasledge_engine_tokens_held",
         Sl_METRIC_GAUGE,
         "Tokens that requests of all routers may hold at an engine; of the "
         "service's engines: mean, largest.",
         {"service", "of"},
         NULL},
    [Sl_ROUTER_METRIC_UPSTREAM_PACE] =
        {"sassafrasledge_upstream_pace",
         Sl_METRIC_GAUGE,
         "Time that work takes at an upstream over the usual one, as "
         "estimated; of the service's upstreams: mean, largest.",
         {"service", "of"},
         NULL},
    [Sl_ROUTER_METRIC_READERS_BYTES] =
        {"sassafrasledge_client_unread_bytes",
         Sl_METRIC_GAUGE,
         "Bytes of responses that wait for clients to read them.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_READERS_PAUSED] =
        {"sassafrasledge_streams_paused",
         Sl_METRIC_GAUGE,
         "Streams whose upstream is not read, as the client reads slowly.",
         {NULL},
         NULL},
    [Sl_ROUTER_METRIC_READERS_STALLED] =
        {"sassafrasledge_clients_stalled",
         Sl_METRIC_GAUGE,
         "Clients cut off since the start as they read nothing.",
         {NULL},
         NULL},
};

G_STATIC_ASSERT(G_N_ELEMENTS(defs) == Sl_ROUTER_METRIC_COUNT);

const struct sl_metric_def *
SlRouter_Metrics(size_t *count)
{
    *count = G_N_ELEMENTS(defs);
    return defs;
}

/* ---- requests ---- */

static double
to_seconds(int64_t us)
{
    return (double)us / (double)Sl_US_PER_S;
}

void
SlRouterMetrics_OnRequest(struct sl_router *router,
                          const struct sl_route *route)
{
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_REQUESTS, &route->name,
                  NULL, 1);
}

void
SlRouterMetrics_OnEnd(struct sl_router *router, const struct sl_route *route,
                      const char *outcome, int64_t took_us)
{
    struct sl_name none = SlName_Of("none");
    struct sl_name outcome_label = SlName_Of(outcome);
    SlMetrics_Observe(router->metrics, Sl_ROUTER_METRIC_RESPONSE_TIME,
                      route == NULL ? &none : &route->name, &outcome_label,
                      to_seconds(took_us));
}

void
SlRouterMetrics_OnEvent(struct sl_router *router,
                        const struct sl_routed_request *request, bool is_first)
{
    if (is_first) {
        SlMetrics_Observe(router->metrics, Sl_ROUTER_METRIC_FIRST_EVENT,
                          &request->route->name, NULL,
                          to_seconds(router->now_us - request->arrived_us));
    }
    else {
        SlMetrics_Observe(router->metrics, Sl_ROUTER_METRIC_EVENT_GAP,
                          &request->route->name, NULL,
                          to_seconds(router->now_us - request->forwarded_us));
    }
}

/* ---- calls ---- */

void
SlRouterMetrics_OnCall(struct sl_router *router,
                       const struct sl_routed_request *request)
{
    const struct sl_name *service = &request->service->name;
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_CALLS, service, NULL, 1);
    SlMetrics_Observe(router->metrics, Sl_ROUTER_METRIC_QUEUE, service, NULL,
                      to_seconds(router->now_us - request->queued_us));
    if (request->team != NULL && SlAdmissionControl_IsOn(router)) {
        SlMetrics_Observe(router->metrics, Sl_ROUTER_METRIC_TEAM_QUEUE,
                          service, &request->team->name,
                          to_seconds(router->now_us - request->queued_us));
    }
}

void
SlRouterMetrics_OnTeamRefused(struct sl_router *router,
                              const struct sl_routed_request *request)
{
    struct sl_name other_label = SlName_Of("other");
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_TEAM_REFUSALS,
                  &request->service->name,
                  request->team != NULL ? &request->team->name : &other_label,
                  1);
}

void
SlRouterMetrics_OnCallFailed(struct sl_router *router,
                             const struct sl_routed_request *request,
                             const char *reason)
{
    struct sl_name reason_label = SlName_Of(reason);
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_CALLS_FAILED,
                  &request->service->name, &reason_label, 1);
}

void
SlRouterMetrics_OnEngineEnded(struct sl_router *router,
                              const struct sl_name *service)
{
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_ENGINES_ENDED, service,
                  NULL, 1);
}

void
SlRouterMetrics_OnQuarantineChange(struct sl_router *router,
                                   const struct sl_quarantine_change *change)
{
    static const struct {
        enum sl_router_metric metric;
        const char *label; /* NULL: none */
    } metrics[] = {
        [Sl_QUARANTINE_SUSPECTED] = {Sl_ROUTER_METRIC_PROMPTS_SUSPECTED, NULL},
        [Sl_QUARANTINE_BLOCKED] = {Sl_ROUTER_METRIC_PROMPT_BLOCKS, "local"},
        [Sl_QUARANTINE_TRIAL_FAILED] = {Sl_ROUTER_METRIC_PROMPT_TRIALS,
                                        "failed"},
        [Sl_QUARANTINE_RELEASED] = {Sl_ROUTER_METRIC_PROMPT_RELEASES, "begun"},
        [Sl_QUARANTINE_EXPIRED] = {Sl_ROUTER_METRIC_PROMPT_RELEASES,
                                   "expired"},
    };
    const char *text = metrics[change->type].label;
    if (change->type == Sl_QUARANTINE_BLOCKED && change->is_reported) {
        text = "peer";
    }
    struct sl_name label = SlName_Of(text == NULL ? "" : text);
    SlMetrics_Add(router->metrics, metrics[change->type].metric,
                  text == NULL ? NULL : &label, NULL, 1);
}

void
SlRouterMetrics_OnPromptRefused(struct sl_router *router,
                                const struct sl_name *service)
{
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_PROMPT_REFUSALS, service,
                  NULL, 1);
}

void
SlRouterMetrics_OnPromptTrial(struct sl_router *router)
{
    struct sl_name outcome = SlName_Of("sent");
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_PROMPT_TRIALS, &outcome,
                  NULL, 1);
}

static void
add_kept_tokens(struct sl_router *router, const struct sl_name *service,
                const char *kind, int64_t tokens)
{
    struct sl_name label = SlName_Of(kind);
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_KEPT_TOKENS, service,
                  &label, (double)tokens);
}

void
SlRouterMetrics_OnKept(struct sl_router *router, const struct sl_name *service,
                       const char *placed, int64_t expected_tokens)
{
    struct sl_name label = SlName_Of(placed);
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_KEPT_CALLS, service,
                  &label, 1);
    add_kept_tokens(router, service, "expected", expected_tokens);
}

void
SlRouterMetrics_OnKeptSeen(struct sl_router *router,
                           const struct sl_name *service,
                           int64_t judged_tokens, int64_t seen_tokens)
{
    add_kept_tokens(router, service, "judged", judged_tokens);
    add_kept_tokens(router, service, "seen", seen_tokens);
}

void
SlRouterMetrics_OnLowConfidence(struct sl_router *router,
                                const struct sl_routed_request *request)
{
    struct sl_name model = {0};
    (void)SlName_Set(&model, SlRoutedRequest_Model(request));
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_LOW_CONFIDENCE,
                  &request->route->name, &model, 1);
}

void
SlRouterMetrics_OnRetry(struct sl_router *router,
                        const struct sl_name *service,
                        enum sl_retry_reason reason, bool allowed)
{
    struct sl_name reason_label =
        SlName_Of(reason == Sl_RETRY_LOW_CONFIDENCE ? "doubt" : "failure");
    SlMetrics_Add(router->metrics,
                  allowed ? Sl_ROUTER_METRIC_RETRIES
                          : Sl_ROUTER_METRIC_RETRIES_DENIED,
                  service, &reason_label, 1);
}

void
SlRouterMetrics_OnLoad(struct sl_router *router, const struct sl_name *service,
                       int64_t estimated, int64_t reported)
{
    double error = estimated > reported ? (double)(estimated - reported)
                                        : (double)(reported - estimated);
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_LOAD_ESTIMATED, service,
                  NULL, (double)MAX(estimated, 0));
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_LOAD_REPORTED, service,
                  NULL, (double)MAX(reported, 0));
    SlMetrics_Observe(router->metrics, Sl_ROUTER_METRIC_LOAD_ERROR, service,
                      NULL, error);
}

void
SlRouterMetrics_OnEventRepeated(struct sl_router *router,
                                const struct sl_name *service)
{
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_EVENTS_REPEATED, service,
                  NULL, 1);
}

void
SlRouterMetrics_OnUnreadableRecord(struct sl_router *router, enum sl_feed feed)
{
    struct sl_name name = SlName_Of(SlFeed_Name(feed));
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_UNREADABLE_RECORDS, &name,
                  NULL, 1);
}

/* ---- state ---- */

/* Sets the numbers of registered upstreams by service and state. */
static void
set_upstreams(struct sl_router *router)
{
    static const char *const states[] = {"usable",  "shunned",  "quiet",
                                         "cold",    "limited",  "draining",
                                         "leaving", "replaced", "evacuated"};
    GHashTableIter iter;
    gpointer value;
    /* Sets all states of each service to 0 first: some have no upstream. */
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
            struct sl_name state = SlName_Of(states[i]);
            SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_UPSTREAMS,
                          &upstream->registration.service, &state, 0);
        }
    }
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        struct sl_name state = SlName_Of(SlUpstreams_State(router, upstream));
        if (upstream->is_registered) {
            double count =
                SlMetrics_Value(router->metrics, Sl_ROUTER_METRIC_UPSTREAMS,
                                &upstream->registration.service, &state);
            SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_UPSTREAMS,
                          &upstream->registration.service, &state, count + 1);
        }
    }
}

/* Teams with series of their own, of all services together; the others of a
 * service have one. */
#define Sl_MAX_TEAM_SERIES 96

/* Sets what a team, or those without a series of their own, have. */
static void
set_team(struct sl_router *router, const struct sl_name *service,
         const struct sl_name *team, const struct sl_sharing_holding *holding)
{
    SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_TEAM_HELD, service, team,
                  (double)holding->held);
    SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_TEAM_WAITING, service,
                  team, (double)holding->waiting);
}

/* Sets what the teams of the configuration have of the service. */
static void
set_teams_of(struct sl_router *router, const struct sl_name *service,
             size_t series)
{
    uint32_t key = SlSharing_Key(SlName_Str(service));
    size_t count = SlRouting_TeamCount(router->routing);
    struct sl_sharing_holding others = SlSharing_Service(router->sharing, key);
    struct sl_name other_label = SlName_Of("other");
    for (size_t i = 0; i < MIN(count, series); i++) {
        const struct sl_name *team = &SlRouting_Team(router->routing, i)->name;
        struct sl_sharing_holding holding = SlSharing_Team(
            router->sharing, key, SlSharing_Key(SlName_Str(team)));
        set_team(router, service, team, &holding);
        others.held -= holding.held;
        others.waiting -= holding.waiting;
    }
    set_team(router, service, &other_label, &others);
}

static void
set_teams(struct sl_router *router)
{
    /* Teams that the configuration no longer has keep their series. */
    SlMetrics_ZeroAll(router->metrics, Sl_ROUTER_METRIC_TEAM_HELD);
    SlMetrics_ZeroAll(router->metrics, Sl_ROUTER_METRIC_TEAM_WAITING);
    if (!SlAdmissionControl_IsOn(router)) {
        return;
    }
    SlSharing_Expire(router->sharing, router->now_us,
                     SlPeers_SilentUs(router));
    size_t services = SlRouting_ServiceCount(router->routing);
    for (size_t i = 0; i < services; i++) {
        set_teams_of(router, &SlRouting_Service(router->routing, i)->name,
                     Sl_MAX_TEAM_SERIES / services);
    }
}

static void
set_gauge(struct sl_router *router, enum sl_router_metric metric, double value)
{
    SlMetrics_Set(router->metrics, metric, NULL, NULL, value);
}

void
SlRouter_MetricsText(struct sl_router *router, struct sl_buf *out)
{
    uint32_t age_ms = SlFeeds_StoreAgeMs(router);
    set_gauge(router, Sl_ROUTER_METRIC_IN_FLIGHT,
              g_hash_table_size(router->routed_requests));
    set_gauge(router, Sl_ROUTER_METRIC_WAITING, router->request_queue->length);
    size_t block_count;
    (void)SlQuarantine_Blocks(router->quarantine, &block_count);
    set_gauge(router, Sl_ROUTER_METRIC_PROMPT_BLOCKS_ACTIVE,
              (double)block_count);
    set_gauge(router, Sl_ROUTER_METRIC_FLEET,
              (double)SlPeers_FleetSize(router));
    set_gauge(router, Sl_ROUTER_METRIC_CONFIGURATION,
              router->routing == NULL
                  ? -1
                  : (double)SlRouting_Version(router->routing));
    set_gauge(router, Sl_ROUTER_METRIC_CONFIGURATION_REFUSED,
              SlFeeds_IsConfigurationRefused(router) ? 1 : 0);
    set_gauge(router, Sl_ROUTER_METRIC_STORE_AGE,
              age_ms == UINT32_MAX
                  ? -1
                  : to_seconds((int64_t)age_ms * Sl_US_PER_MS));
    set_gauge(router, Sl_ROUTER_METRIC_STORE_ERA,
              (double)SlStoreEra_Stated(router));
    set_gauge(router, Sl_ROUTER_METRIC_READY,
              SlRouter_IsReady(router) ? 1 : 0);
    set_upstreams(router);
    SlEngineRooms_SetMetrics(router);
    SlUpstreamPace_SetMetrics(router);
    set_teams(router);
    SlMetrics_AppendText(router->metrics, out);
}

void
SlRouter_SetReaders(struct sl_router *router,
                    const struct sl_router_readers *readers)
{
    set_gauge(router, Sl_ROUTER_METRIC_READERS_BYTES,
              (double)readers->held_bytes);
    set_gauge(router, Sl_ROUTER_METRIC_READERS_PAUSED,
              (double)readers->paused);
    set_gauge(router, Sl_ROUTER_METRIC_READERS_STALLED,
              (double)readers->stalled);
}

void
SlRouter_CountOmittedLogLines(struct sl_router *router, const char *reason,
                              uint64_t lines)
{
    struct sl_name reason_label = SlName_Of(reason);
    SlMetrics_Add(router->metrics, Sl_ROUTER_METRIC_LOG_DROPPED, &reason_label,
                  NULL, (double)lines);
}
