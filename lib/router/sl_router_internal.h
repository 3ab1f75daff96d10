/*
 * Declarations shared by the files of sl_router.
 *
 * sl_router.c            dispatches events; start, drain and timers
 * sl_dump.c              the state as JSON
 * sl_process_pause.c     recovery after the process was suspended
 * sl_feeds.c             follows the store's topics
 * sl_initial_sync.c      source of a starting router's first records
 * sl_record_cache.c      the newest records, which peers may pull
 * sl_startup_queue.c     requests held until a configuration is known
 * sl_digests.c           exchange of digests with the other routers
 * sl_fanout_tree.c       distribution of updates in a large failure domain
 * sl_relay.c             distribution of digests to other failure domains
 * sl_retry_budget.c      the fleet's retry budget
 * sl_model_cascade.c     choice of the model that answers a request
 * sl_responses.c         handles the responses of upstreams
 * sl_stall_monitor.c     checks calls for progress; health checks
 * sl_stall_policy.c      decides whether to give up a stalled call
 * sl_routed_request.c    a request from its arrival to its end
 * sl_request_queue.c     requests that wait for an upstream
 * sl_upstream_call.c     sends requests to upstreams
 * sl_placement.c         chooses the upstream for a request
 * sl_rollouts.c          moves a service's traffic to a version
 * sl_rollout_sessions.c  which sessions a roll-out moves first
 * sl_rollout_status.c    writes the state of a roll-out to the store
 * sl_rollout_evidence.c  compares a version's responses with the baseline's
 * sl_exposure.c          bounds the traffic of a roll-out's target
 * sl_cold_limit.c        this router's share of a cold upstream's rate
 * sl_peers.c             the other routers
 * sl_upstreams.c         state of upstreams
 * sl_upstream_notices.c  announcements that upstreams make in responses
 * sl_latency_estimate.c  estimates of prefill and run times
 * sl_event_splitter.c    splits a stream into events
 * sl_router_metrics.c    metrics for operators
 * sl_router_effects.c    the list of effects, log lines
 *
 * Files mostly depend on files further down in this list.
 */
#ifndef Sl_ROUTER_INTERNAL_H
#define Sl_ROUTER_INTERNAL_H

#include "sl_gossip.h"
#include "sl_router.h"
#include "sl_stall_policy.h"

#include <assert.h>
#include <string.h>

/* ---- upstreams ---- */

/* Health checks of an upstream with a stalled call. */
struct sl_health_check {
    uint64_t token;            /* of the check under way; 0: none */
    int64_t series_started_us; /* when the first of a series of checks began */
    unsigned failed;           /* failed checks of the series */
    int64_t answered_us;       /* when a check last succeeded */
    /* When it was found unreachable. 0: not, or it has sent bytes since. */
    int64_t unreachable_us;
};

struct sl_router_upstream {
    struct sl_registration registration;
    uint32_t key;                 /* hash of its id, for gossip */
    uint64_t offset;              /* of its newest registration */
    int64_t registration_read_us; /* when that registration was read */
    bool is_registered; /* registered; one that is not only finishes its calls
                         */
    /* Its entry expired while the store was unavailable: it is removed at this
     * time unless it registers again. Else 0. */
    int64_t removal_due_us;
    int64_t cold_until_us; /* 0: warm */
    int64_t cold_sent_us;  /* newest request sent while it was cold; 0: none */
    bool failed_since_registration; /* no newer registration since it failed */
    int64_t failed_us;              /* time of its last failure */
    int64_t ejected_until_us;       /* outlier ejection after failures */
    /* When this router last found it failing. 0: it has responded since, or it
     * never failed. */
    int64_t local_fault_us;
    bool is_replaced;         /* another upstream has its address */
    int64_t restarted_us;     /* when its last restart was noticed; 0: none */
    int64_t left_us;          /* when it announced that it leaves; 0: not */
    bool leaving_is_local;    /* announced to this router, not to a peer */
    int64_t backoff_until_us; /* it asked for no request until then */
    unsigned failures;        /* without a success in between */
    int64_t in_flight;        /* calls of this router */
    int64_t last_bytes_us;    /* when bytes of it last arrived on any call */
    /* When it last sent an event other than the first one of a stream. First
     * events arrive during prefill, while the other streams are stalled. */
    int64_t later_event_us;
    /* When the newest call that has a response head was sent. */
    int64_t newest_answered_sent_us;
    struct sl_health_check health_check;
    int64_t load_reported_us;  /* when a response last reported its load */
    int64_t reported_load;     /* running and waiting, of all routers */
    int64_t sent_since_report; /* requests of this router since then */
    /* Estimated prefill time of this router's prompts there, and when the
     * prefill of the first of them began. */
    int64_t prefill_backlog_us;
    int64_t prefill_started_us;
    int64_t peers_in_flight;
    int64_t peers_prefill_backlog_us;
    /* Prefix cache: key -> struct sl_cached_prefix_part, owned. */
    GHashTable *cached_prefix_parts;
};

/* What an upstream has announced in its responses. */
struct sl_upstream_notice {
    struct sl_name id;
    int64_t start_wall_ms;    /* of the instance that leaves; 0: not known */
    uint64_t sequence;        /* of the newest registration known then */
    int64_t left_us;          /* when it announced that it leaves; 0: not */
    int64_t left_wall_ms;     /* the same, since the epoch */
    int64_t backoff_until_us; /* no request until then */
};

/* A prompt part that an upstream is expected to have in its prefix cache. */
struct sl_cached_prefix_part {
    uint64_t key; /* hash of the part's id and the model */
    int64_t used_us;
};

/* ---- latency estimates ---- */

/* Time that a model takes to the first event of a response. */
struct sl_latency_estimate {
    double overhead_us;  /* independent of the prompt's length */
    double us_per_token; /* prefill of prompt tokens that are not cached */
};

/* ---- retry budget ---- */

#define Sl_RETRY_WINDOW_SLOTS 20

/* Requests to a service and their retries in a sliding window, counted by
 * time slots. The extra slot is the oldest one, which the window covers only
 * in part. */
struct sl_retry_window {
    int64_t slot; /* number of the newest slot */
    double requests[Sl_RETRY_WINDOW_SLOTS + 1];
    double retries[Sl_RETRY_WINDOW_SLOTS + 1];
};

/* ---- model cascade ---- */

#define Sl_CONFIDENCE_BINS 10

/* Expected increase of the confidence when a second model answers, by bins of
 * the first model's confidence. */
struct sl_confidence_gain {
    double bins[Sl_CONFIDENCE_BINS];
};

/* ---- peers ---- */

struct sl_router_peer {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address;
    int64_t newest_digest_sent_us; /* when its newest digest was sent; before
                         the first, when the peer was added */
    int64_t last_sent_to_us; /* when a regular digest was last sent to it */
    bool is_up;              /* as last logged */
    bool is_leader;          /* of its failure domain */
    int64_t relay_due_us;    /* when its digest is to be forwarded; 0: never */
    struct sl_gossip_digest digest; /* the newest; boot 0: none yet */
};

/* Rank of this router and of its failure domain among the live ones. */
struct sl_fleet_position {
    int64_t computed_us;   /* when it was computed; 0: not valid */
    size_t domain_count;   /* failure domains with live routers */
    size_t rank_of_domain; /* of the local domain among them; from 0 */
    size_t rank_in_domain; /* of this router; 0: it is the domain leader */
};

/* ---- roll-outs ---- */

/* Responses that could show a symptom of a bad version, and those that did. */
struct sl_symptom_count {
    double responses;
    double bad;
};

/* Responses on one route. */
struct sl_route_tally {
    uint32_t route; /* hash of its name */
    struct sl_symptom_count target[Sl_SYMPTOM_COUNT];
    struct sl_symptom_count baseline[Sl_SYMPTOM_COUNT];
};

#define Sl_MAX_ROUTE_TALLIES Sl_GOSSIP_MAX_TALLIES

/* Responses by route. The target's counts decay exponentially with time. */
struct sl_rollout_evidence {
    int64_t decayed_until_us; /* time up to which the target's counts have
                                 decayed */
    size_t count;
    struct sl_route_tally routes[Sl_MAX_ROUTE_TALLIES];
};

/* Symptoms of a bad version in one response. */
struct sl_response_symptoms {
    bool failed;
    bool is_timed; /* its usual time is known, so that `slow` has a meaning */
    bool slow;
};

/* Whether the target is worse than the baseline, and by which counts. */
struct sl_rollout_verdict {
    bool is_worse;
    enum sl_symptom symptom;
    struct sl_symptom_count target;
    struct sl_symptom_count baseline;
};

struct sl_rollout {
    struct sl_rollout_order order;
    uint64_t offset;   /* of the order */
    int64_t began_us;  /* when a router first saw the order, as far as known */
    int64_t ramped_us; /* when the share began to grow; 0: not yet */
    int64_t
        full_share_us; /* when all traffic went to the target; 0: not yet */
    bool is_suspect;   /* the evidence shows that the target is bad */
    bool has_stored_status;
    enum sl_rollout_state stored_state; /* as the store holds it */
    bool stored_status_ramped;
    enum sl_rollout_state wanted_state;
    /* Since when the store should hold another status. 0: it need not. */
    int64_t wanted_since_us;
    uint64_t append_token; /* of the write under way; 0: none */
    int64_t append_retry_us;
    int64_t baseline_in_flight; /* calls of this router at baseline versions */
    struct sl_gossip_calls calls; /* of this router, during the roll-out */
    int64_t counting_since_us;    /* since when `calls` are counted */
    struct sl_rollout_evidence evidence;
    double target_responses; /* recent ones of the target, at all routers */
    /* Session -> int64_t, when it was last at a baseline version. Owned. */
    GHashTable *at_baseline;
    GArray *sessions_to_report; /* uint32_t sessions for the next digest */
};

/* Versions that may serve a request while a roll-out is under way. */
enum sl_version_rule {
    Sl_VERSION_ANY,
    Sl_VERSION_TARGET,
    Sl_VERSION_BASELINE, /* any but the target */
};

/* ---- event streams ---- */

/* Splits a stream of server-sent events at the empty lines that end them. */
struct sl_event_splitter {
    struct sl_buf pending; /* bytes that were not consumed yet */
    size_t scanned;        /* no event ends within so many of their first
                              bytes */
};

/* Appends bytes of the stream. Afterwards call SlEventSplitter_Next() until it
 * returns false. */
void SlEventSplitter_Append(struct sl_event_splitter *splitter,
                            struct sl_str bytes);
/* Returns the next whole event, with its empty line, or false if there is
 * none. `event` is valid until bytes are appended or consumed. `id` is -1 for
 * an event without a numeric id. `offset` is kept by the caller: it starts at
 * 0 and is advanced to the end of the event. */
bool SlEventSplitter_Next(struct sl_event_splitter *splitter, size_t *offset,
                          struct sl_str *event, int64_t *id);
/* Removes the first `offset` bytes; the caller then starts at 0 again. */
void SlEventSplitter_Consume(struct sl_event_splitter *splitter,
                             size_t offset);
void SlEventSplitter_Clear(struct sl_event_splitter *splitter);
void SlEventSplitter_Free(struct sl_event_splitter *splitter);

/* ---- requests ---- */

/* Upstreams that a request remembers having tried. */
#define Sl_MAX_TRIED_UPSTREAMS 8

enum sl_routed_request_state {
    Sl_ROUTED_REQUEST_WAITING,    /* for an upstream */
    Sl_ROUTED_REQUEST_CALLING,    /* nothing was sent to the client yet */
    Sl_ROUTED_REQUEST_RESPONDING, /* the client has part of the response */
};

/* One attempt of a request at an upstream. */
struct sl_upstream_call {
    uint64_t token; /* 0: no call is under way */
    struct sl_router_upstream *upstream;
    int64_t sent_us;
    int64_t progress_us;   /* of sending, the head or the last event */
    int64_t next_check_us; /* next time to check it for a stall; 0: at once */
    int64_t expected_us;   /* estimated time to its head, when it was sent */
    int64_t
        uncached_tokens; /* estimated prompt tokens without a cache entry */
    bool is_prefilling;  /* its prompt counts in the prefill backlog */
    bool was_idle;       /* there was no prefill backlog when it was sent */
    bool was_cold;       /* the upstream was cold when it was sent */
    bool at_baseline;    /* at a version that a roll-out replaces */
    bool has_head;
    bool has_event; /* of a stream, after the head */
    struct sl_response_head head;
    struct sl_buf headers; /* of `head`, to forward */
    struct sl_buf body;    /* of responses that are no stream */
    struct sl_event_splitter events;
    size_t events_taken;   /* bytes of `events` that were forwarded */
    size_t buffered_bytes; /* its part in the router's sum of that name */
};

/* A client's request, from its arrival to its end. */
struct sl_routed_request {
    uint64_t conn; /* the client's connection; key in the router's table */
    struct sl_routing *routing;
    const struct sl_route *route;
    const struct sl_route_service *service;
    const struct sl_team *team; /* NULL: none */
    enum sl_routed_request_state state;
    struct sl_buf text; /* memory that the views of `incoming` point to */
    struct sl_incoming_request incoming;
    uint64_t arrival_number; /* number of its arrival */
    int64_t queued_us;       /* when it began to wait */
    int64_t arrived_us;
    int64_t deadline_us; /* of the client or of the route, the earlier one */
    int64_t priority;    /* 0 is the most urgent */
    uint64_t session;    /* hash of the session; 0: none */
    uint64_t prompt_prefix;   /* equal if prompts begin alike; 0: no prompt */
    size_t model;             /* index in the route's models */
    size_t escalated_model;   /* model whose response was discarded */
    int escalated_confidence; /* of that response; -1: there was none */
    int64_t possible_runs;    /* attempts that ran or may have run */
    int64_t calls_sent;       /* attempts that were sent */
    bool reached_upstream;    /* further calls come from the retry budget */
    bool is_counted;          /* a response counted as evidence on a version */
    bool is_retryable;        /* it may run more than once */
    int64_t last_event;       /* the newest one the client has; -1: none */
    int64_t forwarded_us;     /* when that event was forwarded */
    size_t tried_count;
    struct sl_name tried[Sl_MAX_TRIED_UPSTREAMS];
    struct sl_upstream_call upstream_call;
    uint64_t timer;
    GList *queue_link; /* in the queue of waiting requests; NULL: not there */
};

/* ---- feeds ---- */

/* The newest record of a key, as stored; served to peers. */
struct sl_cached_record {
    uint64_t offset;
    char *key;
    char *value; /* NULL: the key was dropped */
    size_t value_len;
    struct sl_record drop; /* record that would drop the key; its key and
                              offset are not set */
};

struct sl_feed_state {
    GHashTable *cache;        /* key -> struct sl_cached_record, owned */
    bool is_reading;          /* a read of the store is under way */
    int64_t read_sent_us;     /* when the newest read was sent */
    bool is_pulling;          /* a pull from a peer is under way */
    int64_t pull_as_of_us;    /* that peer's records were current then; 0: not
                                 known */
    int64_t peers_as_of_us;   /* according to peers, the records were
                                  current then; 0: not known */
    int64_t next_pull_us;     /* earliest next pull */
    int64_t first_offer_us;   /* when a peer first offered records; 0: none
                                 has */
    int64_t behind_since_us;  /* when a peer was first seen to be ahead; 0:
                                 none is */
    bool has_snapshot;        /* a snapshot was read */
    uint64_t complete_from;   /* drops of keys are known from this offset on */
    bool is_refreshing;       /* not confirmed to be current since the process
                              was paused */
    uint64_t next_offset;     /* offset of the next record */
    int64_t failing_since_us; /* 0: the last read succeeded */
    unsigned failures;        /* consecutive reads that failed */
    bool waits_for_probe;     /* it is read again once the store probe is
                                 answered */
    uint64_t timer;           /* of the next read; 0: none */
};

/* ---- the router ---- */

struct sl_router {
    struct sl_router_options options;
    int64_t started_us;
    int64_t seeds_until_us;   /* end of the wait for the seeds; 0: not begun */
    bool has_peer_list;       /* a peer has sent its list of peers */
    bool member_read_started; /* the members are read, as no seed answered */
    int64_t members_read_us;  /* when the members were read; 0: not yet */
    int64_t now_us;
    int64_t wall_ms;
    struct sl_random random;
    struct sl_timers *timers;
    struct sl_metrics *metrics;        /* by enum sl_router_metric */
    struct sl_router_effects *effects; /* of the current event */
    uint64_t last_token;
    uint64_t last_order;
    struct sl_buf line;    /* the log line that is being written */
    uint64_t line_request; /* number of its request; 0: none */
    enum sl_log_request_state line_request_state;

    struct sl_feed_state feeds[Sl_FEED_COUNT];
    int64_t store_answered_us; /* when the store last answered; 0: never */
    int64_t fleet_store_answered_us; /* when it last answered any router; 0:
                                        never */
    /* When it was last available again for the fleet. 0: it was never
     * unavailable. */
    int64_t store_back_us;
    bool reads_store;           /* for its failure domain, as last logged */
    int64_t refresh_until_us;   /* requests wait until then for a refresh */
    struct sl_routing *routing; /* NULL until one is known */
    uint64_t routing_offset;
    int64_t routing_us;    /* when it was applied */
    GHashTable *evacuated; /* domain name -> itself, owned */

    GHashTable *upstreams;        /* id -> struct sl_router_upstream, owned */
    size_t expiring_count;        /* upstreams with a `removal_due_us` */
    GHashTable *upstream_notices; /* id -> struct sl_upstream_notice, owned */
    /* Model name -> struct sl_latency_estimate, owned. */
    GHashTable *latency_estimates;
    GHashTable
        *mean_run_us; /* service name -> double, mean run time in us, owned */
    GHashTable *mean_route_head_us; /* route name -> double, mean us to a head,
                                       owned */
    /* "model model" -> struct sl_confidence_gain, owned. */
    GHashTable *confidence_gains;
    /* Service name -> int64_t, since when no upstream serves its requests,
     * owned. */
    GHashTable *unserved_since;
    GHashTable
        *retry_windows;   /* service name -> struct sl_retry_window, owned */
    GHashTable *rollouts; /* service name -> struct sl_rollout, owned */
    GHashTable *peers;    /* vm name -> struct sl_router_peer, owned */
    struct sl_fleet_position fleet_position;
    uint64_t gossip_rounds; /* digests sent to all peers so far */
    uint64_t relay_timer;   /* for digests to be relayed */
    bool peers_changed;     /* the peers' sums at upstreams are out of date */
    GHashTable *upstreams_by_key; /* key -> struct sl_router_upstream */
    uint64_t member_token;        /* append of this router's member record */
    uint64_t rollout_timer;
    GHashTable
        *rollout_statuses;  /* service name -> struct sl_rollout_status */
    bool loads_changed;     /* loads to report to the failure domain */
    bool has_store_updates; /* new records to report to the failure domain */
    uint64_t gossip_timer;  /* for the next digest with loads */
    uint64_t updates_timer; /* for the next digest about new records */
    size_t domain_recipient_count; /* recipients of the last digest to the
                                      domain */
    uint64_t digest_sequence;
    GHashTable *routed_requests; /* conn -> struct sl_routed_request, owned */
    GHashTable *requests_by_token; /* call token -> struct sl_routed_request */
    size_t buffered_bytes;         /* of responses, not forwarded yet */
    GQueue *startup_queue; /* startup queue: struct sl_held_request, owned */
    GQueue *request_queue; /* waiting requests, most urgent first */
    int64_t last_bytes_us; /* when any upstream or peer last sent anything */
    GHashTable *health_checks;    /* token -> id of the upstream, both owned */
    int64_t stall_check_due_us;   /* next time to check a call for a stall */
    int64_t stall_check_timer_us; /* when the timer for that is due */
    uint64_t stall_check_timer;
    uint64_t queue_timer;  /* for the next dispatch of the queue */
    bool capacity_changed; /* waiting requests may find an upstream now */

    bool draining;
    int64_t drain_started_us;
    bool started;
    bool stopped_accepting;
    bool exited;
    GPtrArray
        *deferred_frees; /* effects point to it: freed at the next event */
};

/* ---- metrics ---- */

enum sl_router_metric {
    Sl_ROUTER_METRIC_REQUESTS,
    Sl_ROUTER_METRIC_RESPONSE_TIME,
    Sl_ROUTER_METRIC_FIRST_EVENT,
    Sl_ROUTER_METRIC_EVENT_GAP,
    Sl_ROUTER_METRIC_QUEUE,
    Sl_ROUTER_METRIC_CALLS,
    Sl_ROUTER_METRIC_CALLS_FAILED,
    Sl_ROUTER_METRIC_LOW_CONFIDENCE,
    Sl_ROUTER_METRIC_RETRIES,
    Sl_ROUTER_METRIC_RETRIES_DENIED,
    Sl_ROUTER_METRIC_LOAD_ESTIMATED,
    Sl_ROUTER_METRIC_LOAD_REPORTED,
    Sl_ROUTER_METRIC_LOAD_ERROR,
    Sl_ROUTER_METRIC_UNREADABLE_RECORDS,
    Sl_ROUTER_METRIC_IN_FLIGHT,
    Sl_ROUTER_METRIC_WAITING,
    Sl_ROUTER_METRIC_UPSTREAMS,
    Sl_ROUTER_METRIC_FLEET,
    Sl_ROUTER_METRIC_CONFIGURATION,
    Sl_ROUTER_METRIC_STORE_AGE,
    Sl_ROUTER_METRIC_READY,
    Sl_ROUTER_METRIC_LOG_DROPPED,
    Sl_ROUTER_METRIC_COUNT,
};

enum sl_retry_reason {
    Sl_RETRY_FAILURE,        /* an attempt failed */
    Sl_RETRY_LOW_CONFIDENCE, /* escalation to a larger model */
};

void SlRouterMetrics_OnRequest(struct sl_router *router,
                               const struct sl_route *route);
/* `route` is NULL if none matched the request. */
void SlRouterMetrics_OnEnd(struct sl_router *router,
                           const struct sl_route *route, const char *outcome,
                           int64_t took_us);
/* To be called before an event of a stream is forwarded to the client. */
void SlRouterMetrics_OnEvent(struct sl_router *router,
                             const struct sl_routed_request *request,
                             bool is_first);
void SlRouterMetrics_OnCall(struct sl_router *router,
                            const struct sl_routed_request *request);
void SlRouterMetrics_OnCallFailed(struct sl_router *router,
                                  const struct sl_routed_request *request,
                                  const char *reason);
void SlRouterMetrics_OnLowConfidence(struct sl_router *router,
                                     const struct sl_routed_request *request);
void SlRouterMetrics_OnRetry(struct sl_router *router,
                             const struct sl_name *service,
                             enum sl_retry_reason reason, bool allowed);
/* An upstream has reported its load, in requests; `estimated` is what this
 * router took it to be. */
void SlRouterMetrics_OnLoad(struct sl_router *router,
                            const struct sl_name *service, int64_t estimated,
                            int64_t reported);
void SlRouterMetrics_OnUnreadableRecord(struct sl_router *router,
                                        enum sl_feed feed);

/* ---- effects and log lines ---- */

/* Appends an effect to those of the current event; all of it but the type is
 * zero. It is valid until the next one is added. */
struct sl_router_effect *SlRouter_AddEffect(struct sl_router *router,
                                            enum sl_router_effect_type type);
/* Hands over memory that an effect points to; it is freed with the effects. */
void SlRouter_FreeWithEffects(struct sl_router *router, gpointer memory);
/* A log line is begun, gets its members one by one, and is ended with its
 * level. There is one at a time. */
void SlLogLine_Begin(struct sl_router *router, const char *event);
/* Begins a line about a request. */
void SlLogLine_BeginFor(struct sl_router *router, const char *event,
                        const struct sl_routed_request *request);
/* Begins the last line about a request. */
void SlLogLine_BeginLast(struct sl_router *router, const char *event,
                         const struct sl_routed_request *request, bool failed);
void SlLogLine_Str(struct sl_router *router, const char *key,
                   struct sl_str value);
void SlLogLine_Name(struct sl_router *router, const char *key,
                    const struct sl_name *value);
void SlLogLine_C(struct sl_router *router, const char *key, const char *value);
void SlLogLine_Int(struct sl_router *router, const char *key, int64_t value);
void SlLogLine_Error(struct sl_router *router, const struct sl_error *err);
void SlLogLine_End(struct sl_router *router, enum sl_log_level level);
/* Frees a request at the next event, as effects of the current one point into
 * it. */
void SlRouter_FreeLater(struct sl_router *router,
                        struct sl_routed_request *request);

/* ---- upstreams ---- */

/* Takes over a registration that was read. */
void SlUpstreams_OnRegistered(struct sl_router *router, uint64_t offset,
                              const struct sl_registration *reg);
/* Handles the removal of an upstream's entry from the store. */
void SlUpstreams_OnRemoved(struct sl_router *router, const struct sl_name *id);
/* Removes upstreams whose entry expired while the store was unavailable, and
 * that have not registered since. */
void SlUpstreams_Expire(struct sl_router *router);
void SlUpstreams_Free(gpointer upstream);
/* Returns true if the failure domain must get no requests. */
bool SlUpstreams_IsEvacuated(const struct sl_router *router,
                             const struct sl_name *domain);
/* Counts a call that begins, and sets its estimates. */
void SlUpstreams_OnCallSent(struct sl_router *router,
                            struct sl_router_upstream *upstream,
                            struct sl_routed_request *request);
void SlUpstreams_OnCallEnded(struct sl_router *router,
                             struct sl_router_upstream *upstream,
                             struct sl_upstream_call *call);
void SlUpstreams_OnReportedLoad(struct sl_router *router,
                                struct sl_router_upstream *upstream,
                                const struct sl_response_head *head);
/* Handles a complete response. An upstream that had failed may have restarted:
 * it counts as cold for `cold_start_us`, or until its next registration. */
void SlUpstreams_OnSuccess(struct sl_router *router,
                           struct sl_router_upstream *upstream,
                           int64_t cold_start_us);
/* Returns true if it is registered, and neither leaving nor replaced. */
bool SlUpstreams_TakesWork(const struct sl_router_upstream *upstream);
/* Returns its state as text, for metrics and the dump: "usable", "shunned"
 * (ejected after failures), "quiet" (it asked for back-off), "cold",
 * "draining", "leaving", "replaced" or "evacuated". */
const char *SlUpstreams_State(const struct sl_router *router,
                              const struct sl_router_upstream *upstream);
/* Ejects an upstream for a while that could not be reached, or that broke off
 * a call. */
void SlUpstreams_OnFailure(struct sl_router *router,
                           struct sl_router_upstream *upstream);
/* Handles that another upstream has its address: it gets no more requests
 * unless it registers again. */
void SlUpstreams_OnReplaced(struct sl_router *router,
                            struct sl_router_upstream *upstream);
/* Ejects an upstream for a while that a peer has found failing. */
void SlUpstreams_OnReportedFault(struct sl_router *router,
                                 const struct sl_name *reporter,
                                 const struct sl_gossip_fault *fault);
/* Returns true if this router itself found it failing recently, so that peers
 * are told. */
bool SlUpstreams_IsLocalFault(const struct sl_router *router,
                              const struct sl_router_upstream *upstream);
/* Handles a refusal: the upstream is full. */
void SlUpstreams_OnRefused(struct sl_router *router,
                           struct sl_router_upstream *upstream);
/* Returns the number of requests that run or wait there, as far as known. */
int64_t SlUpstreams_Load(const struct sl_router *router,
                         const struct sl_router_upstream *upstream);

/* Return the estimated prefill time of prompts that wait there: those of this
 * router, and those of all routers. */
int64_t
SlUpstreams_LocalPrefillBacklogUs(const struct sl_router *router,
                                  const struct sl_router_upstream *upstream);
int64_t
SlUpstreams_PrefillBacklogUs(const struct sl_router *router,
                             const struct sl_router_upstream *upstream);
/* Returns the number of prompt tokens that are not in the upstream's prefix
 * cache, as far as known. */
int64_t SlUpstreams_UncachedTokens(const struct sl_routed_request *request,
                                   const struct sl_router_upstream *upstream);
/* Handles the end of a call's prefill, which the head of its response shows.
 */
void SlUpstreams_OnPrefillDone(struct sl_router *router,
                               struct sl_router_upstream *upstream,
                               struct sl_upstream_call *call);
/* Forgets cached prefix parts and notices that are too old to matter. */
void SlUpstreams_Sweep(struct sl_router *router);

/* ---- notices of upstreams ---- */

/* Handles announcements in the head of an upstream's response. */
void SlUpstreamNotices_OnHead(struct sl_router *router,
                              struct sl_router_upstream *upstream,
                              const struct sl_response_head *head);
/* Handles a peer's report that the upstream announced, `age_us` ago, that it
 * leaves. */
void SlUpstreamNotices_OnReportedLeaving(struct sl_router *router,
                                         const struct sl_name *reporter,
                                         struct sl_router_upstream *upstream,
                                         int64_t age_us);
/* Returns true if this router's digests report that it leaves. */
bool SlUpstreamNotices_ShouldReportLeaving(
    const struct sl_router *router, const struct sl_router_upstream *upstream);
/* Returns true while it must get no requests, as it has asked for. */
bool SlUpstreamNotices_IsBackingOff(const struct sl_router *router,
                                    const struct sl_router_upstream *upstream);
/* Applies what is known to an upstream that is new here, or has restarted. */
void SlUpstreamNotices_OnUpstreamStart(struct sl_router *router,
                                       struct sl_router_upstream *upstream);
/* Forgets notices of upstreams that are long gone. */
void SlUpstreamNotices_Sweep(struct sl_router *router);

/* ---- cold upstreams ---- */

/* Returns the interval between requests of this router to a cold upstream,
 * which can take `per_s` requests a second from all routers. `fleet` is the
 * number of routers, and `rank` this router's place among them. Returns
 * Sl_NEVER_US if this router must not send any. */
int64_t SlColdLimit_IntervalUs(const struct sl_bounds *bounds, double per_s,
                               size_t fleet, size_t rank);
/* Returns true while the upstream is cold and its service limits the rate of
 * requests to cold upstreams. */
bool SlColdLimit_IsCold(const struct sl_router *router,
                        const struct sl_router_upstream *upstream,
                        const struct sl_route_service *service);
/* Returns the earliest time at which this router may send a request to the
 * upstream, which is now or later. */
int64_t SlColdLimit_NextUs(const struct sl_router *router,
                           const struct sl_router_upstream *upstream,
                           const struct sl_route_service *service);

/* ---- latency estimates ---- */

/* Returns the estimated time from sending to the head of the response, for a
 * prompt with `uncached` tokens that the upstream has no cache entry for. */
int64_t SlLatency_PrefillUs(const struct sl_router *router,
                            const struct sl_name *model, int64_t uncached);
/* Updates that estimate with an observation at an idle upstream. */
void SlLatency_LearnPrefill(struct sl_router *router,
                            const struct sl_name *model, int64_t uncached,
                            int64_t took_us);
/* Returns the moving average of the run time of the service's requests. */
int64_t SlLatency_MeanRunUs(const struct sl_router *router,
                            const struct sl_name *service);
/* Returns the moving average of the time to the head of a response on a route
 * of a service that is no engine; 0 if there was none yet. */
int64_t SlLatency_RouteHeadUs(const struct sl_router *router,
                              const struct sl_name *route);
void SlLatency_LearnRouteHead(struct sl_router *router,
                              const struct sl_name *route, int64_t took_us);
void SlLatency_LearnRun(struct sl_router *router,
                        const struct sl_name *service, int64_t took_us);

/* ---- peers ---- */

/* Adds or updates the peer of a member record. */
void SlPeers_OnMember(struct sl_router *router,
                      const struct sl_member *member);

enum sl_digest_result {
    Sl_DIGEST_IGNORED, /* late, or this router's */
    Sl_DIGEST_ACCEPTED,
    Sl_DIGEST_FIRST, /* the first one since the peer has started */
};

/* Stores a peer's digest unless it is late. */
enum sl_digest_result SlPeers_OnDigest(struct sl_router *router,
                                       const struct sl_gossip_digest *digest);
/* Adds a router from a peer list; returns false if it was known before or is
 * this router. */
bool SlPeers_AddListed(struct sl_router *router,
                       const struct sl_member *member);
/* Returns true if a live peer has sent a digest; others are known only from
 * member records or peer lists. */
bool SlPeers_HasLiveDigest(const struct sl_router *router);
/* Number of routers that are believed to be live, this one included. */
size_t SlPeers_FleetSize(const struct sl_router *router);
/* Number of peers in the failure domain that are believed to be live. */
size_t SlPeers_CountDomain(const struct sl_router *router,
                           const struct sl_name *domain);
/* Number of routers among which the fleet's allowances are split, this one
 * included. Peers that have fallen silent lately count as well: they may be
 * cut off from this router alone. */
size_t SlPeers_AllowanceSharerCount(const struct sl_router *router);
/* This router's rank among the live ones, by rendezvous hash with `key`; rank
 * 0 is the first to act. */
size_t SlPeers_Rank(const struct sl_router *router, struct sl_str key);
/* Rank of a router within the local failure domain; 0 is its leader. */
size_t SlPeers_DomainRank(const struct sl_router *router,
                          const struct sl_name *vm);
/* The live peers of the local failure domain, ordered by that rank. The caller
 * frees the array. */
GPtrArray *SlPeers_ByDomainRank(const struct sl_router *router);
/* Position of this router in the fleet, at most 100 ms old. Also sets
 * `is_leader` of the peers. */
const struct sl_fleet_position *
SlPeers_FleetPosition(struct sl_router *router);
bool SlPeers_IsLive(const struct sl_router *router,
                    const struct sl_router_peer *peer);
/* Updates the peers' total load at each upstream. */
void SlPeers_SumLoads(struct sl_router *router);
/* Time between two digests to the whole fleet. */
int64_t SlPeers_GossipIntervalUs(const struct sl_router *router);
/* Logs peers that are down and removes those that were silent for long. */
void SlPeers_ExpireSilent(struct sl_router *router);

/* ---- roll-outs ---- */

/* Handles an operator's order, or its removal. */
void SlRollouts_OnOrder(struct sl_router *router,
                        const struct sl_record *record);
/* Handles a status that a router has written to the store. */
void SlRollouts_OnStatus(struct sl_router *router,
                         const struct sl_record *record);
/* Handles a peer's report on a roll-out, which came in its digest. */
void SlRollouts_OnReport(struct sl_router *router,
                         const struct sl_name *reporter,
                         const struct sl_gossip_rollout *report);
/* Evaluates the evidence of all roll-outs and advances them. */
void SlRollouts_Update(struct sl_router *router);
/* Adds this router's reports on roll-outs to a digest. */
void SlRollouts_AddToDigest(struct sl_router *router,
                            struct sl_gossip_digest *digest);
/* Handles that a digest was sent to all peers. */
void SlRollouts_OnDigestSent(struct sl_router *router);
/* Returns which versions may serve the request. */
enum sl_version_rule
SlRollouts_VersionRule(struct sl_router *router,
                       const struct sl_routed_request *request);
/* Returns the version that the service's roll-out moves traffic to, or NULL.
 */
const struct sl_name *SlRollouts_Target(const struct sl_router *router,
                                        const struct sl_name *service);
void SlRollouts_OnCallSent(struct sl_router *router,
                           struct sl_routed_request *request,
                           const struct sl_router_upstream *upstream);
void SlRollouts_OnCallEnded(struct sl_router *router,
                            struct sl_routed_request *request);
/* Counts a response that the upstream itself has produced as evidence. */
void SlRollouts_OnResponse(struct sl_router *router,
                           struct sl_routed_request *request,
                           const struct sl_response_symptoms *symptoms);
void SlRollouts_Free(gpointer rollout);
/* Returns true while a roll-out of the service is under way. */
bool SlRollouts_IsRunning(const struct sl_router *router,
                          const struct sl_name *service);
/* Returns true if the upstream has the target version of a roll-out that is
 * under way. */
bool SlRollouts_IsBeingRolledOut(const struct sl_router *router,
                                 const struct sl_router_upstream *upstream);
/* Returns "running", "completed" or "rolled_back". */
const char *SlRollouts_StateName(enum sl_rollout_state state);
/* Returns the share of sessions that the target may have now, 0 to 1. */
double SlRollouts_TargetShare(const struct sl_router *router,
                              const struct sl_rollout *rollout);

/* Returns the service's roll-out, also one that is over; NULL if none. */
struct sl_rollout *SlRollouts_Find(const struct sl_router *router,
                                   const struct sl_name *service);
/* Returns the time since any router first saw the order. */
int64_t SlRollouts_ElapsedUs(const struct sl_router *router,
                             const struct sl_rollout *rollout);
/* Begins a log line about a roll-out, which the caller ends. */
void SlRollouts_BeginLog(struct sl_router *router,
                         const struct sl_rollout *rollout, const char *event);

/* ---- sessions of roll-outs ---- */

/* Returns the hash of the request's session; 0 if it has none. */
uint32_t SlRolloutSessions_Key(const struct sl_routed_request *request);
/* Returns the session's place in the order in which sessions move to the
 * target, 0 to 1. */
double SlRolloutSessions_Bucket(const struct sl_rollout *rollout,
                                uint32_t key);
/* Returns true if the session was at a baseline version less than a session's
 * time ago. */
bool SlRolloutSessions_WasAtBaseline(const struct sl_router *router,
                                     const struct sl_rollout *rollout,
                                     uint32_t key);
/* Notes that the session is at a baseline version now. With `report`, the next
 * digest tells the peers. */
void SlRolloutSessions_NoteAtBaseline(struct sl_router *router,
                                      struct sl_rollout *rollout, uint32_t key,
                                      bool report);
void SlRolloutSessions_AddToReport(const struct sl_router *router,
                                   const struct sl_rollout *rollout,
                                   struct sl_gossip_rollout *report);

/* ---- status of roll-outs ---- */

/* Writes the state to the store, when it is this router's turn, unless the
 * store has it already. */
void SlRolloutStatus_Update(struct sl_router *router,
                            struct sl_rollout *rollout,
                            enum sl_rollout_state state);
void SlRolloutStatus_OnAppended(struct sl_router *router,
                                const struct sl_router_event *event);

/* ---- exposure to roll-outs ---- */

/* Calls of all routers to a service since the order of its roll-out. */
struct sl_exposure {
    double per_s;        /* to any version */
    double target_calls; /* number of calls to the target */
};

/* Returns the share of sessions that the target has until its share grows. */
double SlExposure_CanaryShare(const struct sl_bounds *bounds);
/* Adds the calls of one router, counted over `for_us`. They contribute to the
 * rate only if the router is live. */
void SlExposure_Add(struct sl_exposure *sum,
                    const struct sl_gossip_calls *calls, int64_t for_us,
                    bool is_live);
/* Returns true if the target may get all requests from now until the order's
 * time is over, even if it is bad. */
bool SlExposure_AllowsFullShare(const struct sl_bounds *bounds,
                                const struct sl_exposure *exposure,
                                int64_t elapsed_us, int64_t duration_us);

/* ---- evidence of roll-outs ---- */

/* Returns the counts of a route, decayed up to now; adds them if missing. */
struct sl_route_tally *
SlRolloutEvidence_ForRoute(struct sl_rollout_evidence *evidence,
                           uint32_t route, int64_t now_us);
void SlRolloutEvidence_Decay(struct sl_rollout_evidence *evidence,
                             int64_t now_us);
/* Counts one response. At a baseline version, the newest ones count, in a
 * bounded number. */
void SlRolloutEvidence_CountResponse(struct sl_symptom_count *counts, bool bad,
                                     bool is_baseline);
/* Adds the counts in a peer's report. */
void SlRolloutEvidence_AddReport(struct sl_rollout_evidence *evidence,
                                 const struct sl_gossip_rollout *report,
                                 int64_t now_us);
/* Writes the counts to this router's report. */
void SlRolloutEvidence_AddToReport(struct sl_rollout_evidence *evidence,
                                   struct sl_gossip_rollout *report,
                                   int64_t now_us);
struct sl_rollout_verdict
SlRolloutEvidence_Evaluate(const struct sl_rollout_evidence *evidence);
/* Returns the target's number of responses after decay. */
double
SlRolloutEvidence_TargetResponses(const struct sl_rollout_evidence *evidence);

/* ---- placement ---- */

/* The choice of an upstream for a request. Costs are estimated times to the
 * first event, plus other costs converted to time. */
struct sl_placement {
    struct sl_router_upstream
        *upstream; /* NULL: none can run the request now */
    int64_t cost_us;
    int64_t first_event_us; /* time to the first event alone */
    const struct sl_router_upstream *second; /* the next best; NULL: none */
    int64_t second_cost_us;
    unsigned serving; /* upstreams that serve the request */
    unsigned full;    /* those of them that cannot take it now */
    int64_t wait_us;  /* estimated time until one of those can; Sl_NEVER_US if
                         none serves it */
    bool all_backing_off; /* all have asked for back-off, so that `wait_us` is
                             certain */
};

/* Returns the upstream that should run the request now. */
struct sl_placement
SlPlacement_Choose(struct sl_router *router,
                   const struct sl_routed_request *request);

/* ---- startup queue ---- */

/* Returns true while the router has no configuration, or has not read the list
 * of upstreams yet. */
bool SlStartupQueue_IsNeeded(const struct sl_router *router);
/* Holds a request until both are known. Returns false if the queue is full, or
 * the time for that is over. */
bool SlStartupQueue_Add(struct sl_router *router,
                        const struct sl_incoming_request *incoming);
void SlStartupQueue_OnClientGone(struct sl_router *router, uint64_t conn);
/* Starts the held requests once both are known, or the wait is over. */
void SlStartupQueue_Release(struct sl_router *router);
void SlStartupQueue_FreeEntry(gpointer early);

/* ---- requests ---- */

/* Copies the bytes that the views of `incoming` point to into `text`, and
 * makes them point there. */
void SlIncomingRequest_CopyViews(struct sl_incoming_request *incoming,
                                 struct sl_buf *text);
/* Admits a request and queues it, or refuses it. */
void SlRoutedRequest_Start(struct sl_router *router,
                           const struct sl_incoming_request *incoming);
void SlRoutedRequest_OnClientGone(struct sl_router *router, uint64_t conn);
void SlRoutedRequest_Free(gpointer request);
/* Moves the request's deadline to `until_us` if it is earlier. */
void SlRoutedRequest_ExtendDeadline(struct sl_router *router,
                                    struct sl_routed_request *request,
                                    int64_t until_us);
/* Queues the request for an upstream; it is sent at the end of the current
 * event if one can take it. */
void SlRequestQueue_Add(struct sl_router *router,
                        struct sl_routed_request *request);
void SlRequestQueue_Remove(struct sl_router *router,
                           struct sl_routed_request *request);
/* Sends the waiting requests that an upstream can take, and refuses those that
 * cannot meet their deadline. */
void SlRequestQueue_Dispatch(struct sl_router *router);

/* ---- retry budget ---- */

/* Counts a client's request to the service. */
void SlRetryBudget_OnRequest(struct sl_router *router,
                             const struct sl_name *service);
/* Takes one retry from the service's budget. Returns false if it is used up.
 */
bool SlRetryBudget_Take(struct sl_router *router,
                        const struct sl_name *service,
                        enum sl_retry_reason reason);
/* Returns the number of retries that the budget still allows. */
double SlRetryBudget_Remaining(struct sl_router *router,
                               const struct sl_name *service,
                               enum sl_retry_reason reason);

/* ---- model cascade ---- */

struct sl_confidence_gain *SlModelCascade_NewGain(void);
/* Returns true if a response with this confidence (-1: not given) is good
 * enough for the client. */
bool SlModelCascade_Accepts(struct sl_router *router,
                            const struct sl_routed_request *request,
                            int confidence);
/* Returns the index of the model to escalate to after a response that was not.
 */
size_t SlModelCascade_Next(struct sl_router *router,
                           const struct sl_routed_request *request,
                           int confidence);
/* Learns from a response to a request that was escalated from another model.
 */
void SlModelCascade_Learn(struct sl_router *router,
                          const struct sl_routed_request *request,
                          int confidence);

/* ---- calls ---- */

void SlUpstreamCall_Send(struct sl_router *router,
                         struct sl_routed_request *request,
                         const struct sl_placement *choice);
/* Ends the bookkeeping of a call that is over or abandoned. */
void SlUpstreamCall_Detach(struct sl_router *router,
                           struct sl_routed_request *request);
/* Abandons the call that is under way, if any. */
void SlUpstreamCall_Cancel(struct sl_router *router,
                           struct sl_routed_request *request);

/* ---- process pauses ---- */

/* Advances the router's time to `now_us`. If a late timer shows that the
 * process was paused, extends the timeouts that passed meanwhile and has the
 * feeds read again. */
void SlProcessPause_Check(struct sl_router *router, int64_t now_us);

/* ---- stalled calls ---- */

/* Schedules the first stall check of the request's call. */
void SlStallMonitor_Watch(struct sl_router *router,
                          struct sl_routed_request *request);
/* Handles the end of a health check. */
void SlStallMonitor_OnHealthChecked(struct sl_router *router, uint64_t token,
                                    bool is_reached);
/* Sets the timer for the next stall check that is due. */
void SlStallMonitor_ArmTimer(struct sl_router *router);

/* ---- responses ---- */

void SlResponses_OnHead(struct sl_router *router, uint64_t token,
                        const struct sl_response_head *head);
void SlResponses_OnChunk(struct sl_router *router, uint64_t token,
                         struct sl_str bytes);
void SlResponses_OnDone(struct sl_router *router, uint64_t token,
                        const struct sl_error *err, bool connected);

/* ---- ends of requests ---- */

/* An error response of the router itself. Texts are static. */
struct sl_router_refusal {
    int status;
    const char *step;
    const char *reason;
    bool may_have_run;      /* false only if it certainly did not run */
    int64_t retry_after_us; /* 0: no Retry-After */
};

/* Returns the model that the request goes to now; empty: none. */
struct sl_str SlRoutedRequest_Model(const struct sl_routed_request *request);
/* Ends the request with an error response. If the client already has part of a
 * response, cuts that off instead. */
void SlRoutedRequest_Fail(struct sl_router *router,
                          struct sl_routed_request *request,
                          const struct sl_router_refusal *refusal);
/* Removes a request whose response has ended. */
void SlRoutedRequest_Finish(struct sl_router *router,
                            struct sl_routed_request *request);
/* Makes the upstream the last choice for the request's next attempts. */
void SlRoutedRequest_MarkTried(struct sl_routed_request *request,
                               const struct sl_router_upstream *upstream);
/* Queues the request for another attempt. Returns false if it may not be
 * retried, or the retry budget is used up. */
bool SlRoutedRequest_Retry(struct sl_router *router,
                           struct sl_routed_request *request,
                           bool may_have_run);
/* Queues the request for another attempt, or ends it with an error response.
 */
void SlRoutedRequest_RetryOrFail(struct sl_router *router,
                                 struct sl_routed_request *request,
                                 bool may_have_run, const char *step,
                                 const char *reason);

/* ---- digests ---- */

void SlDigests_Start(struct sl_router *router);
/* This router's member record was written, or failed to be with `err`. */
void SlDigests_OnRegistered(struct sl_router *router,
                            const struct sl_error *err);
/* Sends a digest to the peers of the failure domain soon, as this router's
 * load has changed. */
void SlDigests_ScheduleLoads(struct sl_router *router);
/* A peer has listed others; new ones are sent a digest. */
void SlDigests_OnPeerList(struct sl_router *router,
                          const struct sl_member *members, size_t count);
/* Sends all peers a digest that says that this router leaves. */
void SlDigests_AnnounceLeaving(struct sl_router *router);
void SlDigests_OnDigest(struct sl_router *router,
                        const struct sl_gossip_digest *digest);

/* Sends the digest to the addresses in `recipients`, struct sl_name, which are
 * not owned; takes ownership of the array. */
void SlDigests_Send(struct sl_router *router,
                    const struct sl_gossip_digest *digest,
                    GPtrArray *recipients);

/* There are updates of the store: sends a digest shortly to those routers that
 * get their updates from this one. */
void SlDigests_ScheduleUpdates(struct sl_router *router);

/* ---- fan-out tree ---- */

/* Number of routers between this one and the root, the root included; 0 for
 * the root, which is the domain leader. */
size_t SlFanoutTree_Depth(struct sl_router *router);
/* Returns true if this router gets its updates from the router `vm`. */
bool SlFanoutTree_IsParent(struct sl_router *router, const struct sl_name *vm);
/* Returns true if the domain is so large that updates go down the tree. */
bool SlFanoutTree_IsUsed(const struct sl_router *router);
/* Adds the addresses of the routers that get their updates from this one. */
void SlFanoutTree_AddChildren(struct sl_router *router, GPtrArray *recipients);
/* Adds the address of the domain leader, unless that is this router. */
void SlFanoutTree_AddLeader(struct sl_router *router, GPtrArray *recipients);

/* ---- relay ---- */

/* Routers of a failure domain that are asked to forward a digest. */
#define Sl_RELAYS_PER_DOMAIN 2

/* Addresses that the next digest to the fleet is sent to: struct sl_name, not
 * owned. */
struct sl_recipients {
    GPtrArray *direct;                       /* do not forward it */
    GPtrArray *relays[Sl_RELAYS_PER_DOMAIN]; /* first and second relays */
};

/* Fills `recipients`; the caller frees the arrays. */
void SlRelay_ChooseRecipients(struct sl_router *router,
                              struct sl_recipients *recipients);
/* A digest that was accepted: forwards it if this router is asked to. */
void SlRelay_OnDigest(struct sl_router *router,
                      const struct sl_gossip_digest *digest);
/* A digest that was not newer than the last: if it is a copy that the other
 * relay has forwarded, this router need not forward it. */
void SlRelay_OnStaleDigest(struct sl_router *router,
                           const struct sl_gossip_digest *digest);

/* ---- initial sync ---- */

/* Interval of checks while a router waits for its initial records. */
#define Sl_INITIAL_SYNC_CHECK_US (80 * Sl_US_PER_MS)

/* Time that a router that starts waits for peers before its first check; 0: it
 * reads the store at once. */
int64_t SlInitialSync_StartDelayUs(const struct sl_router *router);
/* Returns true while the feed's initial records are expected from peers; may
 * begin to pull them from one. */
bool SlInitialSync_TryPeers(struct sl_router *router, enum sl_feed feed);
/* A peer's digest says what the peer has; this router has no records of that
 * feed yet. */
void SlInitialSync_OnDigest(struct sl_router *router, enum sl_feed feed,
                            const struct sl_gossip_digest *digest);

/* ---- feeds ---- */

void SlFeeds_Start(struct sl_router *router);
void SlFeeds_Free(struct sl_router *router);
/* Reads a feed now, unless a read is under way or planned. */
void SlFeeds_Read(struct sl_router *router, enum sl_feed feed);
/* Reads the feeds that the choice of an upstream depends on, without waiting
 * at the store for updates. Requests wait for them until `until_us`. */
void SlFeeds_Refresh(struct sl_router *router, int64_t until_us);
/* Returns true while requests have to wait for a refresh. */
bool SlFeeds_IsRefreshing(const struct sl_router *router);
/* Adds `store_age_ms`, the time since the store last answered this router, to
 * the current log line; -1: it never did. */
void SlFeeds_LogStoreAge(struct sl_router *router);
/* Logs when this router begins or stops reading the store itself. */
void SlFeeds_LogReaderChange(struct sl_router *router);
/* Time since the store last answered this router; UINT32_MAX: it never did. */
uint32_t SlFeeds_StoreAgeMs(const struct sl_router *router);
/* Time since the store last answered this router or one whose updates this
 * router has, whichever is less; UINT32_MAX: it never did. */
uint32_t SlFeeds_StalenessMs(const struct sl_router *router);
/* Returns true if this router reads the store for others: the first by rank in
 * some failure domains do, or, where there are fewer domains, the first few of
 * each. */
bool SlFeeds_IsReader(struct sl_router *router);
/* Pulls records from the digest's sender, unless a pull is under way or the
 * last one has just begun. */
void SlFeeds_Pull(struct sl_router *router, enum sl_feed feed,
                  const struct sl_gossip_digest *digest);
/* The store has answered a read, or the read failed. */
void SlFeeds_OnRead(struct sl_router *router,
                    const struct sl_router_event *event);
/* A peer has answered a pull, or the pull failed. */
void SlFeeds_OnPulled(struct sl_router *router,
                      const struct sl_router_event *event);
/* A peer's digest says how far its records go. */
void SlFeeds_OnDigest(struct sl_router *router,
                      const struct sl_gossip_digest *digest);

/* ---- record cache ---- */

GHashTable *SlRecordCache_New(void);
/* Stores the record; returns false if one of its key that is as new or newer
 * is there already. */
bool SlRecordCache_Put(struct sl_router *router, enum sl_feed feed,
                       const struct sl_record *record);
/* Records, struct sl_record, that drop the cached keys which the snapshot in
 * `event` does not hold. The caller frees the array; the keys in it stay the
 * cache's. */
GArray *SlRecordCache_FindDropped(const struct sl_router *router,
                                  const struct sl_router_event *event);
/* Answers a peer's pull of the records from offset `from` on with a page; it
 * is a snapshot if not all drops since `from` are known. */
void SlRecordCache_OnPull(struct sl_router *router, uint64_t conn,
                          enum sl_feed feed, uint64_t from);

#endif
