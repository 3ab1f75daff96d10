/*
 * Shared by the files of sl_router.
 *
 * sl_router.c     dispatcher of events, start, drain, timers
 * sl_dump.c       state as JSON
 * sl_stall.c      after the process did not run
 * sl_feeds.c      following the store's topics
 * sl_first.c      from whom a router that starts has its first records
 * sl_kept.c       the newest records, for peers
 * sl_early.c      requests that come before a configuration
 * sl_digests.c    telling the other routers, and hearing from them
 * sl_tree.c       who hands news on in a large failure domain
 * sl_relay.c      who is told in other failure domains, and handing it on
 * sl_repeats.c    the fleet's budget of repeats
 * sl_models.c     which model answers
 * sl_answers.c    what upstreams answer, and what follows
 * sl_watch.c      calls that fall silent, health checks
 * sl_stall_policy.c    is a silent call to be given up
 * sl_routed_request.c     a request from its arrival to its end
 * sl_waiting.c    routed_requests that wait for an upstream
 * sl_calls.c      sending to upstreams
 * sl_placement.c  which upstream a flight goes to
 * sl_rollouts.c   moving a service's traffic to a version
 * sl_rollout_sessions.c  which sessions go over first
 * sl_rollout_status.c  the answer to a roll-out's order
 * sl_rollout_evidence.c    is a version worse than the others
 * sl_exposure.c   how much traffic a roll-out's target may have
 * sl_cold.c       how much of a cold upstream's allowance is ours
 * sl_peers.c      the other routers
 * sl_upstreams.c  what is believed of upstreams
 * sl_wishes.c     what upstreams ask for in their answers
 * sl_latency_estimate.c       how fast models read prompts
 * sl_events.c     events of a stream, one by one
 * sl_measures.c   counts and times for operators
 * sl_outbox.c     effects
 *
 * Arrows point down this list.
 */
#ifndef Sl_ROUTER_INTERNAL_H
#define Sl_ROUTER_INTERNAL_H

#include "sl_gossip.h"
#include "sl_router.h"
#include "sl_stall_policy.h"

#include <assert.h>
#include <string.h>

/* ---- upstreams ---- */

/* Health checks of an upstream that has fallen silent. */
struct sl_health_check {
    uint64_t token;         /* under way; 0: none */
    int64_t asked_us;       /* when the first of a row was begun */
    unsigned failed;        /* in a row */
    int64_t answered_us;    /* when one was last answered */
    int64_t unreachable_us; /* when it was found dark; 0: not, or it has sent
                        something since */
};

struct sl_upstream {
    struct sl_registration reg;
    uint32_t key;             /* hash of its id, for gossip */
    uint64_t offset;          /* of its newest registration */
    int64_t heard_us;         /* when that was read */
    bool listed;              /* registered; others only finish their work */
    int64_t expire_us;        /* its entry went while the store was away: it is
                                gone at this time unless it is back; else 0 */
    int64_t cold_until_us;    /* 0: warm */
    int64_t cold_sent_us;     /* newest request while cold; 0: none */
    bool was_lost;            /* it failed since it was last heard of */
    int64_t lost_us;          /* when it failed last */
    int64_t ejected_until_us; /* after failures */
    int64_t local_fault_us; /* when this router last found it failing; 0: never
                         since it last answered */
    bool is_replaced;       /* another upstream has its address */
    int64_t restarted_us;   /* when it was last seen to have started anew */
    int64_t left_us;        /* when it said that it leaves; 0: it did not */
    bool leaving_is_local;  /* to this router, not to a peer */
    int64_t
        backoff_until_us;   /* it wants nothing from this router until then */
    unsigned failures;      /* in a row */
    int64_t in_flight;      /* own */
    int64_t last_bytes_us;  /* when it last sent anything, to any call */
    int64_t later_event_us; /* when it last sent an event that was not the
                         first of its stream: those come as prompts are
                         read, while streams stand still */
    int64_t newest_answered_sent_us; /* when the newest call with a head was
                                        sent */
    struct sl_health_check check;
    int64_t load_reported_us; /* when an answer last told its load; 0: never */
    int64_t reported_load;    /* running and waiting, own ones included */
    int64_t sent_since_report; /* own requests sent since that answer */
    int64_t
        prefill_backlog_us; /* own prompts that are not read yet, as time */
    int64_t prefill_started_us; /* when the first of them began to be read */
    int64_t peers_in_flight;
    int64_t peers_prefill_backlog_us;
    GHashTable *parts; /* key -> struct sl_cached_prefix_part, owned */
};

/* What an upstream has asked for in its answers. */
struct sl_upstream_notice {
    struct sl_name id;
    int64_t start_wall_ms;    /* of the start that leaves; 0: not known */
    uint64_t sequence;        /* of its newest registration then */
    int64_t left_us;          /* when it said that it leaves; 0: it did not */
    int64_t left_wall_ms;     /* the same, since the epoch */
    int64_t backoff_until_us; /* it wants nothing until then */
};

/* A prompt part that an upstream read for a model. */
struct sl_cached_prefix_part {
    uint64_t key; /* of part and model */
    int64_t used_us;
};

/* ---- pace ---- */

/* How long a model takes to the first event of an answer. */
struct sl_latency_estimate {
    double base_us;
    double us_per_token; /* of the prompt, where it is not cached */
};

/* ---- repeats ---- */

#define Sl_RETRY_WINDOW_SLOTS 20

/* Requests of a service and their repeats, by slots of the budget's window;
 * one slot more than the window has, for the part of the oldest. */
struct sl_retry_window {
    int64_t slot; /* number of the newest */
    double requests[Sl_RETRY_WINDOW_SLOTS + 1];
    double repeats[Sl_RETRY_WINDOW_SLOTS + 1];
};

/* ---- models ---- */

#define Sl_CONFIDENCE_STEPS 10

/* How much surer one model is than another, by the other's confidence. */
struct sl_confidence_gain {
    double steps[Sl_CONFIDENCE_STEPS];
};

/* ---- peers ---- */

struct sl_router_peer {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address;
    int64_t heard_us;        /* when its newest digest was sent; before the
                                first, when the peer was added */
    int64_t sent_us;         /* when a regular digest was last sent to it */
    bool is_up;              /* as last logged */
    bool is_leader;          /* of its failure domain */
    int64_t relay_due_us;    /* when its digest is to be forwarded; 0: never */
    struct sl_gossip digest; /* the newest; boot 0: none yet */
};

/* Rank of this router and of its failure domain among the live ones. */
struct sl_fleet_position {
    int64_t at_us;         /* when it was computed; 0: not valid */
    size_t domain_count;   /* failure domains with live routers */
    size_t rank_of_domain; /* of the local domain among them; from 0 */
    size_t rank_in_domain; /* of this router; 0: it is the domain leader */
};

/* ---- roll-outs ---- */

/* Answers that could show a sign of badness, and those that did. */
struct sl_symptom_count {
    double answers;
    double bad;
};

/* Answers on one route. */
struct sl_route_tally {
    uint32_t route; /* hash of its name */
    struct sl_symptom_count target[Sl_SYMPTOM_COUNT];
    struct sl_symptom_count base[Sl_SYMPTOM_COUNT];
};

#define Sl_MAX_ROUTE_TALLIES Sl_GOSSIP_MAX_TALLIES

/* Answers by route; those of the target fade with time. */
struct sl_rollout_evidence {
    int64_t at_us; /* to which the target's counts have faded */
    size_t count;
    struct sl_route_tally routes[Sl_MAX_ROUTE_TALLIES];
};

/* What one answer shows. */
struct sl_response_symptoms {
    bool failed;
    bool is_timed; /* it is known how long it usually takes */
    bool slow;
};

/* Is the target worse, and by which counts? */
struct sl_verdict {
    bool is_worse;
    enum sl_symptom sign;
    struct sl_symptom_count target;
    struct sl_symptom_count base;
};

struct sl_rollout {
    struct sl_rollout_order order;
    uint64_t offset;   /* of the order */
    int64_t began_us;  /* when it was first seen by anybody, as far as known */
    int64_t ramped_us; /* when the share began to grow; 0: not yet */
    int64_t full_us;   /* when all traffic went to the target; 0: not yet */
    bool suspect;      /* the evidence says that the target is bad */
    bool has_status;
    enum sl_rollout_state state; /* as the store holds it */
    bool status_ramped;
    enum sl_rollout_state wanted_state;
    int64_t wanted_us; /* since when another status should stand; 0: none */
    uint64_t append_token; /* status being written; 0: none */
    int64_t append_retry_us;
    int64_t base_in_flight;       /* own */
    struct sl_gossip_calls calls; /* own, while the roll-out is under way */
    int64_t counting_since_us;    /* since when they are counted */
    struct sl_rollout_evidence tallies;
    double target_answers; /* recent ones that all routers told */
    GHashTable
        *at_baseline; /* session -> int64_t last time at a base version */
    GArray *told;     /* uint32_t sessions for the next digest */
};

/* Where a flight may go while a roll-out is under way. */
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

/* ---- routed_requests ---- */

/* Upstreams that one flight remembers having tried. */
#define Sl_MAX_TRIED_UPSTREAMS 8

enum sl_routed_request_state {
    Sl_ROUTED_REQUEST_WAITING,    /* for an upstream */
    Sl_ROUTED_REQUEST_CALLING,    /* nothing was sent to the caller yet */
    Sl_ROUTED_REQUEST_RESPONDING, /* the caller has part of the answer */
};

struct sl_upstream_call {
    uint64_t token; /* 0: no call is under way */
    struct sl_upstream *upstream;
    int64_t sent_us;
    int64_t progress_us;   /* when it was sent, its head or its last whole
                              event came */
    int64_t next_check_us; /* it is not given up sooner; 0: no matter */
    int64_t expected_us;   /* to its head, as guessed when it was sent */
    int64_t uncached;      /* prompt tokens that had to be read, as guessed */
    bool is_prefilling;    /* the prompt is not read yet */
    bool was_idle;         /* nothing else was to be read there before it */
    bool was_cold;         /* when it was sent */
    bool at_baseline;      /* at a version that a roll-out leaves */
    bool has_head;
    bool has_event; /* of a stream */
    struct sl_response_head head;
    struct sl_buf headers; /* to be passed on */
    struct sl_buf body;    /* whole answers */
    struct sl_event_splitter events;
    size_t events_taken;   /* bytes of `events` that were passed on */
    size_t buffered_bytes; /* of the answer, as counted in the router */
};

struct sl_routed_request {
    uint64_t conn; /* the caller's connection, and the flight's key */
    struct sl_routing *routing;
    const struct sl_route *route;
    const struct sl_route_service *service;
    const struct sl_team *team; /* NULL: none */
    enum sl_routed_request_state state;
    struct sl_buf text; /* what the views of `ask` point to */
    struct sl_incoming_request ask;
    uint64_t order;    /* of arrivals */
    int64_t queued_us; /* when it began to wait */
    int64_t arrived_us;
    int64_t deadline_us; /* the caller leaves, or the route's time is over */
    int64_t priority;
    uint64_t session;
    uint64_t subject;         /* what its prompt begins with */
    size_t model;             /* index in the route's models */
    size_t escalated_model;   /* whose answer was not passed on */
    int escalated_confidence; /* in that answer; -1: there was none */
    int64_t runs;             /* attempts that ran or may have run */
    int64_t tries;            /* attempts that were sent or tried */
    bool reached_upstream;    /* at some upstream: another call is a repeat */
    bool is_counted;          /* an answer to it counted for a version */
    bool is_retryable;
    int64_t last_event;   /* the newest one the caller has; -1: none */
    int64_t forwarded_us; /* when that was passed on */
    size_t tried_count;
    struct sl_name tried[Sl_MAX_TRIED_UPSTREAMS];
    struct sl_upstream_call upstream_call;
    uint64_t timer;
    GList *waiting; /* its link in the queue */
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
    bool reading;             /* a read of the store is under way */
    int64_t read_sent_us;     /* when the newest read was sent */
    bool pulling;             /* a pull from a peer is under way */
    int64_t pull_as_of_us;    /* that peer's records were current then; 0: not
                                 known */
    int64_t peers_as_of_us;   /* according to peers, the records were
                                  current then; 0: not known */
    int64_t next_pull_us;     /* earliest next pull */
    int64_t first_offer_us;   /* when a peer first offered records; 0: none
                                 has */
    int64_t behind_since_us;  /* when a peer was first seen to be ahead; 0:
                                 none is */
    bool synced;              /* a snapshot was read */
    uint64_t complete_from;   /* drops of keys are known from this offset on */
    bool refreshing;          /* not confirmed to be current since the process
                                 was paused */
    uint64_t next;            /* offset of the next record */
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
    int64_t seeds_until_us;  /* the seeds are waited for; 0: not yet */
    bool introduced;         /* a peer has named others */
    bool members_asked;      /* as no seed answered */
    int64_t members_read_us; /* they have been read; 0: not yet */
    int64_t now_us;
    int64_t wall_ms;
    struct sl_random random;
    struct sl_timers *timers;
    struct sl_metrics *metrics;   /* by enum sl_router_metric */
    struct sl_router_effects *fx; /* of the event in hand */
    uint64_t last_token;
    uint64_t last_order;
    struct sl_buf line; /* the log line in hand, and whose it is */
    uint64_t line_request;
    enum sl_log_end line_end;

    struct sl_feed_state feeds[Sl_FEED_COUNT];
    int64_t store_answered_us; /* when it last answered; 0: never */
    int64_t answered_us;       /* when it last answered any router; 0: never */
    int64_t store_back_us; /* when it last came back for the fleet; 0: it was
                              never away */
    bool reads_store;      /* for its failure domain, as last logged */
    int64_t refresh_until_us; /* a refresh of feeds is waited for until then */
    struct sl_routing *routing; /* NULL until one is known */
    uint64_t routing_offset;
    int64_t routing_us;    /* when it was taken */
    GHashTable *evacuated; /* domain name -> itself, owned */

    GHashTable *upstreams;         /* id -> struct sl_upstream, owned */
    size_t expiring;               /* of them, those with a `expire_us` */
    GHashTable *upstream_notices;  /* id -> struct sl_upstream_notice, owned */
    GHashTable *latency_estimates; /* model name -> struct sl_latency_estimate,
                                      owned */
    GHashTable *runs;    /* service name -> double, length in us, owned */
    GHashTable *answers; /* route name -> double, us to a head, owned */
    GHashTable *confidence_gains; /* "model model" -> struct
                                     sl_confidence_gain, owned */
    GHashTable *gone;     /* service name -> int64_t, since when requests find
                             no upstream that serves them, owned */
    GHashTable *repeats;  /* service name -> struct sl_retry_window, owned */
    GHashTable *rollouts; /* service name -> struct sl_rollout, owned */
    GHashTable *peers;    /* vm name -> struct sl_router_peer, owned */
    struct sl_fleet_position fleet_position;
    uint64_t gossip_rounds; /* digests to all so far */
    uint64_t relay_timer;   /* of digests to be handed on */
    bool peers_changed;     /* the sums at upstreams are out of date */
    GHashTable *by_key;     /* key -> struct sl_upstream */
    uint64_t member_token;  /* append of the own member record */
    uint64_t rollout_timer;
    GHashTable *statuses;   /* service name -> struct sl_rollout_status */
    bool loads_changed;     /* peers of the failure domain are told soon */
    bool has_store_updates; /* of the store, that they were not told yet */
    uint64_t gossip_timer;  /* to peers of the own failure domain, soon */
    uint64_t updates_timer;
    size_t domain_peers; /* that the last digest to the domain went to */
    uint64_t digest_sequence;
    GHashTable *routed_requests; /* conn -> struct sl_routed_request, owned */
    GHashTable *requests_by_token; /* call token -> struct sl_routed_request */
    size_t buffered_bytes;         /* of answers that are not passed on yet */
    GQueue *early;                 /* struct sl_early, owned */
    GQueue *queue;         /* waiting routed_requests, most urgent first */
    int64_t last_bytes_us; /* when any upstream or peer last sent anything */
    GHashTable *checks;    /* token -> id of the upstream, both owned */
    int64_t stall_check_due_us; /* when a call under way may count as silent */
    int64_t stall_check_timer_us;
    uint64_t stall_check_timer;
    uint64_t queue_timer;  /* to look at the queue again */
    bool capacity_changed; /* waiting routed_requests may find a place now */

    bool draining;
    int64_t drain_us;
    bool started;
    bool stopped_accepting;
    bool exited;
    GPtrArray *garbage; /* freed at the next event: effects point to it */
};

/* ---- metrics ---- */

enum sl_router_metric {
    Sl_ROUTER_METRIC_REQUESTS,
    Sl_ROUTER_METRIC_ANSWER,
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

/* A registration was read. */
void SlUpstreams_Put(struct sl_router *router, uint64_t offset,
                     const struct sl_registration *reg);
/* Its entry went. */
void SlUpstreams_Drop(struct sl_router *router, const struct sl_name *id);
/* Time passes: entries that lapsed with the store. */
void SlUpstreams_Expire(struct sl_router *router);
void SlUpstreams_Free(gpointer upstream);
bool SlUpstreams_IsEvacuated(const struct sl_router *router,
                             const struct sl_name *domain);
void SlUpstreams_OnCallSent(struct sl_router *router,
                            struct sl_upstream *upstream,
                            struct sl_routed_request *flight);
void SlUpstreams_OnCallEnded(struct sl_router *router,
                             struct sl_upstream *upstream,
                             struct sl_upstream_call *upstream_call);
void SlUpstreams_OnReportedLoad(struct sl_router *router,
                                struct sl_upstream *upstream,
                                const struct sl_response_head *head);
/* An answer came. An upstream that had failed may have started anew: it
 * counts as cold until it is heard of, or for `cold_start_us`. */
void SlUpstreams_OnSuccess(struct sl_router *router,
                           struct sl_upstream *upstream,
                           int64_t cold_start_us);
/* Is it registered, and neither leaving nor replaced? */
bool SlUpstreams_TakesWork(const struct sl_upstream *upstream);
/* "usable", "shunned", "quiet", "cold", "draining", "leaving", "replaced" or
 * "evacuated". */
const char *SlUpstreams_State(const struct sl_router *router,
                              const struct sl_upstream *upstream);
/* It could not be reached, or broke off: it is shunned for a while. */
void SlUpstreams_OnFailure(struct sl_router *router,
                           struct sl_upstream *upstream);
/* Another upstream answers at its address: it is gone for good, unless it
 * registers anew. */
void SlUpstreams_OnReplaced(struct sl_router *router,
                            struct sl_upstream *upstream);
/* A peer has found an upstream failing. */
void SlUpstreams_OnReportedFault(struct sl_router *router,
                                 const struct sl_name *teller,
                                 const struct sl_gossip_fault *fault);
/* Did this router itself find it failing, lately? */
bool SlUpstreams_IsLocalFault(const struct sl_router *router,
                              const struct sl_upstream *upstream);
/* It refused: it is full. */
void SlUpstreams_OnRefused(struct sl_router *router,
                           struct sl_upstream *upstream);
/* Requests that run or wait there, as far as is known. */
int64_t SlUpstreams_Load(const struct sl_router *router,
                         const struct sl_upstream *upstream);

/* Own prompts that wait to be read there, and peers', as time. */
int64_t SlUpstreams_LocalPrefillBacklogUs(const struct sl_router *router,
                                          const struct sl_upstream *upstream);
int64_t SlUpstreams_PrefillBacklogUs(const struct sl_router *router,
                                     const struct sl_upstream *upstream);
/* Prompt tokens that the upstream would have to read. */
int64_t SlUpstreams_UncachedTokens(const struct sl_routed_request *flight,
                                   const struct sl_upstream *upstream);
/* The head of an upstream_call's answer came: its prompt was read. */
void SlUpstreams_OnPrefillDone(struct sl_router *router,
                               struct sl_upstream *upstream,
                               struct sl_upstream_call *upstream_call);
/* Forgets parts that were not used for long. */
void SlUpstreams_Sweep(struct sl_router *router);

/* ---- what upstreams ask for ---- */

/* Takes what the head of an upstream's answer asks for. */
void SlUpstreamNotices_OnHead(struct sl_router *router,
                              struct sl_upstream *upstream,
                              const struct sl_response_head *head);
/* A peer had an answer that says that the upstream leaves. */
void SlUpstreamNotices_OnReportedLeaving(struct sl_router *router,
                                         const struct sl_name *teller,
                                         struct sl_upstream *upstream,
                                         int64_t age_us);
/* Are peers to be told that it leaves? */
bool SlUpstreamNotices_ShouldReportLeaving(const struct sl_router *router,
                                           const struct sl_upstream *upstream);
/* Does it want nothing from this router now? */
bool SlUpstreamNotices_IsBackingOff(const struct sl_router *router,
                                    const struct sl_upstream *upstream);
/* The upstream was heard of for the first time, or has started anew. */
void SlUpstreamNotices_OnUpstreamStart(struct sl_router *router,
                                       struct sl_upstream *upstream);
/* Forgets those that went long ago. */
void SlUpstreamNotices_Sweep(struct sl_router *router);

/* ---- cold upstreams ---- */

/* Pause between the requests of one router to a cold upstream that bears
 * `per_s` in all; Sl_NEVER_US when this router takes no part. */
int64_t SlColdLimit_IntervalUs(const struct sl_bounds *bounds, double per_s,
                               size_t fleet, size_t rank);
bool SlColdLimit_IsCold(const struct sl_router *router,
                        const struct sl_upstream *upstream,
                        const struct sl_route_service *service);
/* Earliest time of the next request to the upstream, now or later. */
int64_t SlColdLimit_NextUs(const struct sl_router *router,
                           const struct sl_upstream *upstream,
                           const struct sl_route_service *service);

/* ---- pace ---- */

/* Guess of the time from sending to the head of the answer. */
int64_t SlLatency_PrefillUs(const struct sl_router *router,
                            const struct sl_name *model, int64_t uncached);
void SlLatency_LearnPrefill(struct sl_router *router,
                            const struct sl_name *model, int64_t uncached,
                            int64_t took_us);
/* Length of the service's runs, smoothed. */
int64_t SlLatency_RunUs(const struct sl_router *router,
                        const struct sl_name *service);
/* Mean time to the head of answers on a route of a plain service; 0: none was
 * seen. */
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
                                       const struct sl_gossip *digest);
/* Adds a router from a peer list; returns false if it was known before or is
 * this router. */
bool SlPeers_AddListed(struct sl_router *router,
                       const struct sl_member *member);
/* Returns true if a live peer has sent a digest; others are known only from
 * member records or peer lists. */
bool SlPeers_HasHeard(const struct sl_router *router);
/* Number of routers that are believed to be live, this one included. */
size_t SlPeers_FleetSize(const struct sl_router *router);
/* Number of peers in the failure domain that are believed to be live. */
size_t SlPeers_CountDomain(const struct sl_router *router,
                           const struct sl_name *domain);
/* Number of routers among which the fleet's allowances are split, this one
 * included. Peers that have fallen silent lately count as well: they may be
 * cut off from this router alone. */
size_t SlPeers_SharerCount(const struct sl_router *router);
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

void SlRollouts_OnOrder(struct sl_router *router,
                        const struct sl_record *record);
void SlRollouts_OnStatus(struct sl_router *router,
                         const struct sl_record *record);
void SlRollouts_OnReport(struct sl_router *router,
                         const struct sl_name *teller,
                         const struct sl_gossip_rollout *digest);
/* Acts on what time and evidence say. */
void SlRollouts_Update(struct sl_router *router);
/* Adds what peers should know to the digest. */
void SlRollouts_AddToDigest(struct sl_router *router,
                            struct sl_gossip *digest);
/* All peers were told. */
void SlRollouts_OnDigestSent(struct sl_router *router);
enum sl_version_rule
SlRollouts_VersionRule(struct sl_router *router,
                       const struct sl_routed_request *flight);
/* The version that the service's roll-out brings in, or NULL. */
const struct sl_name *SlRollouts_Target(const struct sl_router *router,
                                        const struct sl_name *service);
void SlRollouts_OnCallSent(struct sl_router *router,
                           struct sl_routed_request *flight,
                           const struct sl_upstream *upstream);
void SlRollouts_OnCallEnded(struct sl_router *router,
                            struct sl_routed_request *flight);
/* An answer of the upstream's own. */
void SlRollouts_OnResponse(struct sl_router *router,
                           struct sl_routed_request *flight,
                           const struct sl_response_symptoms *signs);
void SlRollouts_Free(gpointer rollout);
/* Is a roll-out of the service under way? */
bool SlRollouts_IsRunning(const struct sl_router *router,
                          const struct sl_name *service);
/* Is the upstream of the version that a roll-out under way brings in? */
bool SlRollouts_IsBeingRolledOut(const struct sl_router *router,
                                 const struct sl_upstream *upstream);
/* "running", "completed" or "rolled_back". */
const char *SlRollouts_StateName(enum sl_rollout_state state);
/* Share of the sessions that the target may have now, 0 to 1. */
double SlRollouts_TargetShare(const struct sl_router *router,
                              const struct sl_rollout *rollout);

/* NULL when the service has none. */
struct sl_rollout *SlRollouts_Find(const struct sl_router *router,
                                   const struct sl_name *service);
/* Since the order was first seen by anybody. */
int64_t SlRollouts_ElapsedUs(const struct sl_router *router,
                             const struct sl_rollout *rollout);
/* Begins a log line about a roll-out. */
void SlRollouts_BeginLog(struct sl_router *router,
                         const struct sl_rollout *rollout, const char *event);

/* ---- sessions of roll-outs ---- */

/* 0: none. */
uint32_t SlRolloutSessions_Key(const struct sl_routed_request *flight);
/* Where the session stands among those that go over, 0 to 1. */
double SlRolloutSessions_Bucket(const struct sl_rollout *rollout,
                                uint32_t key);
/* Was it at a version to be left less than a session's time ago? */
bool SlRolloutSessions_WasAtBaseline(const struct sl_router *router,
                                     const struct sl_rollout *rollout,
                                     uint32_t key);
/* It is, now; `tell`: peers should know. */
void SlRolloutSessions_NoteAtBaseline(struct sl_router *router,
                                      struct sl_rollout *rollout, uint32_t key,
                                      bool tell);
void SlRolloutSessions_AddToReport(const struct sl_router *router,
                                   const struct sl_rollout *rollout,
                                   struct sl_gossip_rollout *told);

/* ---- status of roll-outs ---- */

/* The order should be answered with this state: writes it, when it is this
 * router's turn, unless it stands already. */
void SlRolloutStatus_Update(struct sl_router *router,
                            struct sl_rollout *rollout,
                            enum sl_rollout_state state);
void SlRolloutStatus_OnAppended(struct sl_router *router,
                                const struct sl_router_event *event);

/* ---- exposure to roll-outs ---- */

/* Calls to a service of all routers since the order of its roll-out. */
struct sl_exposure {
    double per_s;
    double target_calls;
};

/* Share of the sessions that the target has until its share grows. */
double SlExposure_CanaryShare(const struct sl_bounds *bounds);
/* Adds a router's calls, counted for `for_us`; they count for the rate only
 * while the router is live. */
void SlExposure_Add(struct sl_exposure *sum,
                    const struct sl_gossip_calls *calls, int64_t for_us,
                    bool is_live);
/* May the target get all requests from now until the order's time is over,
 * should it be bad? */
bool SlExposure_AllowsFullShare(const struct sl_bounds *bounds,
                                const struct sl_exposure *exposure,
                                int64_t elapsed_us, int64_t duration_us);

/* ---- evidence of roll-outs ---- */

/* The route's counts, as of now; added when it has none. */
struct sl_route_tally *
SlRolloutEvidence_ForRoute(struct sl_rollout_evidence *tallies, uint32_t route,
                           int64_t now_us);
void SlRolloutEvidence_Decay(struct sl_rollout_evidence *tallies,
                             int64_t now_us);
/* Counts one answer; those of the versions to be left are bounded in number,
 * the newest ones count. */
void SlRolloutEvidence_Count(struct sl_symptom_count *counts, bool bad,
                             bool is_base);
/* Adds what a peer tells. */
void SlRolloutEvidence_AddReport(struct sl_rollout_evidence *tallies,
                                 const struct sl_gossip_rollout *told,
                                 int64_t now_us);
void SlRolloutEvidence_AddToReport(struct sl_rollout_evidence *tallies,
                                   struct sl_gossip_rollout *told,
                                   int64_t now_us);
struct sl_verdict
SlRolloutEvidence_Evaluate(const struct sl_rollout_evidence *tallies);
/* Answers of the target that are left of those counted. */
double
SlRolloutEvidence_TargetAnswers(const struct sl_rollout_evidence *tallies);

/* ---- placement ---- */

/* What a choice of an upstream weighed. Costs are times to the first event
 * with what else the choice costs, as time. */
struct sl_placement {
    struct sl_upstream *upstream; /* NULL: none can run the flight now */
    int64_t cost_us;
    int64_t first_us;                 /* time to the first event alone */
    const struct sl_upstream *second; /* the next best; NULL: none */
    int64_t second_cost_us;
    unsigned serving; /* upstreams that serve it, */
    unsigned full;    /* and those of them that cannot take it now */
    int64_t wait_us;  /* a guess of when one of those may; Sl_NEVER_US when
                         there is none */
    bool is_quiet;    /* all of them have asked for quiet: it is no guess */
};

/* The upstream that should run the flight now. */
struct sl_placement SlPlacement_Choose(struct sl_router *router,
                                       const struct sl_routed_request *flight);

/* ---- early requests ---- */

/* Is there no configuration, or no list of upstreams yet? */
bool SlStartupQueue_IsNeeded(const struct sl_router *router);
/* Keeps a request until there is; false when it must be refused. */
bool SlStartupQueue_Add(struct sl_router *router,
                        const struct sl_incoming_request *ask);
void SlStartupQueue_OnClientGone(struct sl_router *router, uint64_t conn);
/* Starts what was kept, once it can be, or is refused. */
void SlStartupQueue_Release(struct sl_router *router);
void SlStartupQueue_FreeEntry(gpointer early);

/* ---- routed_requests ---- */

/* Copies what the views of `ask` point to into `text`, which they point to
 * from then on. */
void SlIncomingRequest_CopyViews(struct sl_incoming_request *ask,
                                 struct sl_buf *text);
void SlRoutedRequest_Start(struct sl_router *router,
                           const struct sl_incoming_request *ask);
void SlRoutedRequest_OnClientGone(struct sl_router *router, uint64_t conn);
void SlRoutedRequest_Free(gpointer flight);
/* Its deadline is no sooner than that. */
void SlRoutedRequest_ExtendDeadline(struct sl_router *router,
                                    struct sl_routed_request *flight,
                                    int64_t until_us);
/* Waits for an upstream, or goes at once. */
void SlRequestQueue_Add(struct sl_router *router,
                        struct sl_routed_request *flight);
void SlRequestQueue_Remove(struct sl_router *router,
                           struct sl_routed_request *flight);
/* Sends what can go now, and refuses what cannot be served in time. */
void SlRequestQueue_Dispatch(struct sl_router *router);

/* ---- repeats ---- */

/* A request for the service has come. */
void SlRetryBudget_OnRequest(struct sl_router *router,
                             const struct sl_name *service);
/* May a request be sent to the service once more? Takes it from the budget. */
bool SlRetryBudget_Take(struct sl_router *router,
                        const struct sl_name *service,
                        enum sl_retry_reason reason);
double SlRetryBudget_Left(struct sl_router *router,
                          const struct sl_name *service,
                          enum sl_retry_reason reason);

/* ---- models ---- */

struct sl_confidence_gain *SlModelCascade_NewGain(void);
/* Is an answer of this confidence (-1: none told) passed on? */
bool SlModelCascade_Accepts(struct sl_router *router,
                            const struct sl_routed_request *flight,
                            int confidence);
/* The model to ask after an answer that was not. */
size_t SlModelCascade_Next(struct sl_router *router,
                           const struct sl_routed_request *flight,
                           int confidence);
/* A model has answered a request that another one doubted. */
void SlModelCascade_Learn(struct sl_router *router,
                          const struct sl_routed_request *flight,
                          int confidence);

/* ---- calls ---- */

void SlUpstreamCall_Send(struct sl_router *router,
                         struct sl_routed_request *flight,
                         const struct sl_placement *choice);
/* The call has ended, or is not wanted any more. */
void SlUpstreamCall_Detach(struct sl_router *router,
                           struct sl_routed_request *flight);
/* Stops the call that is under way, if any. */
void SlUpstreamCall_Cancel(struct sl_router *router,
                           struct sl_routed_request *flight);

/* ---- process pauses ---- */

/* Advances the router's time to `now_us`. If a late timer shows that the
 * process was paused, extends the timeouts that passed meanwhile and has the
 * feeds read again. */
void SlProcessPause_Check(struct sl_router *router, int64_t now_us);

/* ---- silent calls ---- */

/* The call under way is watched from now on. */
void SlStallMonitor_Watch(struct sl_router *router,
                          struct sl_routed_request *flight);
/* A health check has ended. */
void SlStallMonitor_OnHealthChecked(struct sl_router *router, uint64_t token,
                                    bool is_reached);
/* Sees to it that silent calls are found when they are due. */
void SlStallMonitor_ArmTimer(struct sl_router *router);

/* ---- answers ---- */

void SlResponses_OnHead(struct sl_router *router, uint64_t token,
                        const struct sl_response_head *head);
void SlResponses_OnChunk(struct sl_router *router, uint64_t token,
                         struct sl_str bytes);
void SlResponses_OnDone(struct sl_router *router, uint64_t token,
                        const struct sl_error *err, bool connected);

/* ---- ends of routed_requests ---- */

/* An answer of our own. Texts are static. */
struct sl_refusal {
    int status;
    const char *step;
    const char *reason;
    bool ran;               /* or may have; false only on proof */
    int64_t retry_after_us; /* 0: no time is named */
};

/* The model that the flight asks for now; empty: none. */
struct sl_str SlRoutedRequest_Model(const struct sl_routed_request *flight);
/* Ends with an answer of our own. */
void SlRoutedRequest_Fail(struct sl_router *router,
                          struct sl_routed_request *flight,
                          const struct sl_refusal *refusal);
/* Removes a flight whose answer has ended. */
void SlRoutedRequest_Finish(struct sl_router *router,
                            struct sl_routed_request *flight);
/* The upstream is the last choice for the flight's next attempt. */
void SlRoutedRequest_MarkTried(struct sl_routed_request *flight,
                               const struct sl_upstream *upstream);
/* Sends the flight to another upstream, if it may and the budget of repeats
 * allows. */
bool SlRoutedRequest_Retry(struct sl_router *router,
                           struct sl_routed_request *flight,
                           bool may_have_run);
/* Tries another upstream, or fails with what is known. */
void SlRoutedRequest_RetryOrFail(struct sl_router *router,
                                 struct sl_routed_request *flight,
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
                        const struct sl_gossip *digest);

/* Sends the digest to the addresses in `recipients`, struct sl_name, which are
 * not owned; takes ownership of the array. */
void SlDigests_Send(struct sl_router *router, const struct sl_gossip *digest,
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
                      const struct sl_gossip *digest);
/* A digest that was not newer than the last: if it is a copy that the other
 * relay has forwarded, this router need not forward it. */
void SlRelay_OnStaleDigest(struct sl_router *router,
                           const struct sl_gossip *digest);

/* ---- initial sync ---- */

/* Interval of checks while a router waits for its initial records. */
#define Sl_INITIAL_SYNC_CHECK_US (80 * Sl_US_PER_MS)

/* Time that a router that starts waits for peers before its first check; 0: it
 * reads the store at once. */
int64_t SlInitialSync_StartDelayUs(const struct sl_router *router);
/* Returns true while the feed's initial records are expected from peers; may
 * begin to pull them from one. */
bool SlInitialSync_WaitsForPeers(struct sl_router *router, enum sl_feed feed);
/* A peer's digest says what the peer has; this router has no records of that
 * feed yet. */
void SlInitialSync_OnDigest(struct sl_router *router, enum sl_feed feed,
                            const struct sl_gossip *digest);

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
                  const struct sl_gossip *digest);
/* The store has answered a read, or the read failed. */
void SlFeeds_OnRead(struct sl_router *router,
                    const struct sl_router_event *event);
/* A peer has answered a pull, or the pull failed. */
void SlFeeds_OnPulled(struct sl_router *router,
                      const struct sl_router_event *event);
/* A peer's digest says how far its records go. */
void SlFeeds_OnDigest(struct sl_router *router,
                      const struct sl_gossip *digest);

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
