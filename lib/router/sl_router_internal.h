/*
 * Declarations shared by the files of sl_router.
 *
 * sl_router.c            dispatches events; start, drain and timers
 * sl_dump.c              the state as JSON
 * sl_process_pause.c     recovery after the process was suspended
 * sl_feeds.c             follows the store's topics
 * sl_store_era.c         what holds after the store came back from a copy
 * sl_offset.c            offsets of records
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
 * sl_engine_ends.c       finds out which engines have ended
 * sl_prompt_guard.c      refuses requests whose prompts end engines
 * sl_routed_request.c    a request from its arrival to its end
 * sl_request_queue.c     requests that wait for an upstream
 * sl_admission_control.c fair shares of teams, the estimate of the end
 * sl_upstream_call.c     sends requests to upstreams
 * sl_placement.c         chooses the upstream for a request
 * sl_engine_rooms.c      the memory of engines as room for requests
 * sl_kept_parts.c        which upstreams are likely to have kept a prompt
 * sl_rollouts.c          moves a service's traffic to a version
 * sl_rollout_sessions.c  which sessions a roll-out moves first
 * sl_rollout_status.c    writes the state of a roll-out to the store
 * sl_rollout_evidence.c  compares a version's responses with the baseline's
 * sl_exposure.c          bounds the traffic of a roll-out's target
 * sl_cold_limit.c        this router's share of a cold upstream's rate
 * sl_peers.c             the other routers
 * sl_upstreams.c         state of upstreams
 * sl_upstream_notices.c  announcements that upstreams make in responses
 * sl_upstream_limits.c   limits that they state there on their rate
 * sl_rate_slots.c        splits such a rate among the routers
 * sl_upstream_pace.c     how long work takes at upstreams, as against usual
 * sl_latency_estimate.c  estimates of prefill and run times
 * sl_event_splitter.c    splits a stream into events
 * sl_router_metrics.c    metrics for operators
 * sl_router_effects.c    the list of effects, log lines
 *
 * Files mostly depend on files further down in this list.
 *
 * All times are of the monotonic clock, in microseconds, unless noted
 * otherwise. "Now" is the time of the current event, `router->now_us`.
 */
#ifndef Sl_ROUTER_INTERNAL_H
#define Sl_ROUTER_INTERNAL_H

#include "sl_gossip.h"
#include "sl_kept.h"
#include "sl_quarantine.h"
#include "sl_room.h"
#include "sl_router.h"
#include "sl_sharing.h"
#include "sl_stall_policy.h"

#include <assert.h>
#include <string.h>

/* ---- upstreams ---- */

/* What an upstream has stated about the rate of requests that it takes. */
struct sl_stated_limit {
    /* Requests a second, from all routers together; 0: not limited. */
    double per_s;
    int64_t stated_us; /* when it stated that; 0: never */
};

/* Health checks of an upstream with a stalled call. */
struct sl_health_check {
    uint64_t token;            /* of the check under way; 0: none */
    int64_t series_started_us; /* when the first of a series of checks began */
    unsigned failed_count;     /* failed checks of the series */
    int64_t passed_us;         /* when a check last succeeded */
    /* When the upstream was last found unreachable; 0: never. */
    int64_t unreachable_us;
};

/* An upstream, as this router knows it. */
struct sl_router_upstream {
    struct sl_registration registration; /* the newest */
    uint32_t key; /* hash of its id, for digests of peers */
    struct sl_router_upstream *next_with_key; /* another with the same key */
    uint64_t offset;                          /* of its newest registration */
    int64_t registration_read_us; /* when that registration was read */
    /* The store has the upstream's entry. If not, the upstream is kept only
     * until this router's calls to it have ended. */
    bool is_registered;
    /* The entry expired while the store was unavailable: the upstream is
     * removed at this time unless it registers again. Otherwise 0. */
    int64_t removal_due_us;
    int64_t cold_until_us; /* end of its cold start; 0: warm */
    int64_t cold_sent_us;  /* when a request was last sent to it during a cold
                              start; 0: never */
    bool failed_since_registration; /* no newer registration since it failed */
    int64_t failed_us;        /* when it last failed, here or at a peer */
    int64_t ejected_until_us; /* no requests until then, after failures */
    /* When this router last found the upstream failing or replaced. 0: never,
     * or a response was complete since. */
    int64_t local_fault_us;
    bool is_replaced;     /* another upstream has its address */
    int64_t restarted_us; /* when its last restart was noticed; 0: none */
    /* When it announced that it leaves. 0: it did not. */
    int64_t leave_announced_us;
    bool leaving_is_local;    /* it announced that to this router, not only to
                                 a peer */
    int64_t backoff_until_us; /* it asked for no request until then */
    struct sl_stated_limit limit;
    uint64_t first_unused_slot; /* of the limited rate; see sl_rate_slots.c */
    unsigned failures;          /* consecutive ones, seen by this router */
    int64_t in_flight;          /* calls of this router under way */
    int64_t suspect_calls;      /* those of them that are suspects */
    int64_t last_bytes_us;      /* when any call last got bytes from it */
    /* When any call last got an event that is not the first of its stream.
     * First events may arrive while the other streams are stalled by
     * prefill. */
    int64_t later_event_us;
    /* When the newest call was sent whose response has begun. */
    int64_t newest_answered_sent_us;
    struct sl_health_check health_check;
    int64_t load_reported_us;  /* when a response last reported its load */
    int64_t reported_load;     /* running and waiting, of all routers */
    int64_t sent_since_report; /* requests of this router since that report */
    /* Prefill backlog of this router: estimated prefill time of the prompts
     * that it has sent there and that have no response head yet. */
    int64_t prefill_backlog_us;
    int64_t prefill_started_us; /* when the first of those prefills began */
    int64_t peers_in_flight;    /* calls of the peers, by their digests */
    int64_t peers_prefill_backlog_us; /* prefill backlog of the peers */
    struct sl_room *room;             /* in its memory; NULL: not counted */
    struct sl_pace *pace;             /* owned */
    /* What its prefix cache is expected to hold; owned. */
    struct sl_kept_engine *kept;
};

/* What an upstream has announced in its responses. */
struct sl_upstream_notice {
    struct sl_name id;
    int64_t start_wall_ms; /* of the instance that leaves; 0: not known */
    uint64_t sequence;     /* of the newest registration known then */
    /* When it announced that it leaves. 0: it did not. */
    int64_t leave_announced_us;
    /* `leave_announced_us` by the wall clock. */
    int64_t leave_announced_wall_ms;
    int64_t backoff_until_us; /* it asked for no request until then */
    struct sl_stated_limit limit;
};

/* ---- latency estimates ---- */

/* Estimates of the time that a model takes until its response begins. */
struct sl_latency_estimate {
    double overhead_us;   /* independent of the prompt's length */
    double us_per_token;  /* prefill of prompt tokens that are not cached */
    unsigned token_count; /* observations of `us_per_token`, up to a bound */
    double us_per_pair;   /* attention of each token to each other one, which
                             long prompts need beside that */
    /* Time to the first event as a multiple of what the placement estimated:
     * its mean, the mean deviation from that, and the number of observations,
     * which counts up to a bound. */
    double first_event_ratio;
    double ratio_deviation;
    unsigned ratio_count;
};

/* ---- rate slots ---- */

/* This router's part of the rates of a service's limited upstreams: from
 * `begin` on, of the interval from 0 to 1 that all routers share. */
struct sl_rate_part {
    double begin;
    double size;
};

/* Epochs for which the part is kept: slots can be used for that long. */
#define Sl_RATE_EPOCHS 8

/* The part in the newest epochs of the fleet's clock. A slot counts for the
 * part of the epoch in which it begins: if it counted for the part at the time
 * at which it is used, several routers would own it one after the other. */
struct sl_rate_parts {
    int64_t newest_epoch;                      /* 0: none yet */
    struct sl_rate_part parts[Sl_RATE_EPOCHS]; /* by epoch, a ring */
};

/* A limited rate of one upstream, as this router may use it. */
struct sl_limited_rate {
    double per_s;  /* of all routers */
    uint32_t salt; /* of the upstream; spreads the slots of several */
    const struct sl_rate_parts *parts;
};

/* ---- retry budget ---- */

/* Time slots that a window of the retry budget is divided into. */
#define Sl_RETRY_WINDOW_SLOTS 20

/* Requests to a service and their retries in a sliding window, counted by
 * time slots, in a ring. It has one slot more than the window: the oldest one,
 * which the window covers only in part. */
struct sl_retry_window {
    int64_t slot; /* number of the newest slot, counted from time 0 */
    double requests[Sl_RETRY_WINDOW_SLOTS + 1];
    double retries[Sl_RETRY_WINDOW_SLOTS + 1];
};

/* ---- model cascade ---- */

/* Bins of equal size for confidences, which are 0 to 100. */
#define Sl_CONFIDENCE_BINS 10

/* Expected increase of the confidence when a second model responds, by bins of
 * the first model's confidence. */
struct sl_confidence_gain {
    double bins[Sl_CONFIDENCE_BINS];
};

/* ---- peers ---- */

/* Demand for a service that a peer has reported. */
struct sl_peer_demand {
    uint32_t requests;
    int64_t sent_us; /* when the peer sent the digest with it */
};

/* Another router of the fleet. Routers send each other digests of their
 * state. */
struct sl_router_peer {
    struct sl_name vm;      /* id of its VM, which identifies it */
    struct sl_name domain;  /* its failure domain */
    struct sl_name address; /* "IP:PORT" for digests */
    /* When the peer sent its newest digest; before the first one, when the
     * peer was added. */
    int64_t newest_digest_sent_us;
    int64_t last_sent_to_us;   /* when a regular digest was last sent to it */
    bool was_live_when_logged; /* peer_up was logged last */
    bool is_leader;            /* of its failure domain */
    int64_t relay_due_us; /* when its digest is to be forwarded; 0: never */
    struct sl_gossip_digest digest; /* the newest; boot 0: none yet */
    GHashTable *demands; /* hash of service name -> struct sl_peer_demand,
                            owned */
};

/* Rank of this router and of its failure domain among the live ones. */
struct sl_fleet_position {
    int64_t computed_us;   /* when this was computed; 0: not valid */
    size_t domain_count;   /* failure domains with live routers */
    size_t rank_of_domain; /* of the local domain among them; from 0 */
    size_t rank_in_domain; /* of this router; 0: it is the domain leader */
};

/* ---- roll-outs ---- */

/* How a version shows that it is bad. */
enum sl_symptom {
    Sl_SYMPTOM_FAILED,
    Sl_SYMPTOM_SLOW,
};

/* Responses of one version or of several. Counts that decay are not whole
 * numbers. */
struct sl_response_tally {
    double count;
    double failed;
    double timed; /* responses whose usual time is known */
    double slow;  /* those of them that took several times as long */
    /* Of a bounded number of the newest timed responses, without decay: their
     * number, and the sums of the pace and of its square. */
    double paces;
    double pace_sum;
    double pace_squares;
};

/* Responses on one route. */
struct sl_route_tally {
    uint32_t route; /* hash of its name */
    struct sl_response_tally target;
    struct sl_response_tally baseline;
};

/* Routes on which responses are counted at most, per roll-out. */
#define Sl_MAX_ROUTE_TALLIES Sl_GOSSIP_MAX_TALLIES

/* Responses by route. The target's counts decay exponentially with time, but
 * for its paces. */
struct sl_rollout_evidence {
    int64_t decayed_until_us; /* time up to which the target's counts have
                                 decayed */
    size_t count;
    struct sl_route_tally routes[Sl_MAX_ROUTE_TALLIES];
};

/* What one response tells of its version. */
struct sl_response_evidence {
    bool failed;
    int64_t took_us;  /* from the request to the head */
    int64_t usual_us; /* that time as usual; 0: not known */
};

/* Whether the target is worse than the baseline. If so, also the symptom that
 * shows this, and the responses. */
struct sl_rollout_verdict {
    bool is_worse;
    enum sl_symptom symptom;
    struct sl_response_tally target;
    struct sl_response_tally baseline;
};

struct sl_rollout {
    struct sl_rollout_order order;
    uint64_t offset;   /* of the order */
    int64_t began_us;  /* when a router first saw the order, as far as known */
    int64_t ramped_us; /* when the target's share began to grow; 0: not yet */
    int64_t full_share_us;  /* when the target's share became the whole; 0: not
                               yet */
    bool is_suspect;        /* the evidence shows that the target is bad */
    uint32_t session_seed;  /* orders the sessions; see SlRolloutSessions */
    bool has_stored_status; /* the store has a status of this roll-out */
    bool is_status_lost;    /* it has lost it, or has an older one */
    enum sl_rollout_state stored_state; /* `state` of that status */
    bool stored_status_ramped;          /* `ramped` of that status */
    enum sl_rollout_state wanted_state; /* the state that it should have */
    /* Since when the store should hold another status. 0: it need not. */
    int64_t wanted_since_us;
    uint64_t append_token;      /* of the write under way; 0: none */
    int64_t append_retry_us;    /* no further write until then */
    int64_t baseline_in_flight; /* calls of this router at baseline versions */
    struct sl_gossip_calls calls; /* of this router, during the roll-out */
    int64_t counting_since_us;    /* when the count in `calls` began */
    struct sl_rollout_evidence evidence;
    double target_responses; /* recent ones of the target, at all routers */
    /* Session -> int64_t, the time when it last used a baseline version.
     * Owned. */
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
    struct sl_buf pending; /* appended and not consumed yet */
    size_t scanned_bytes;  /* first bytes of `pending` that were searched for
                              the end of an event */
};

/* Appends bytes of the stream. Then call SlEventSplitter_Next() until it
 * returns false. */
void SlEventSplitter_Append(struct sl_event_splitter *splitter,
                            struct sl_str bytes);
/* Sets `event` to the next whole event, its empty line included, and `id` to
 * its id as the upstream wrote it; empty: it has none. Returns false if there
 * is no whole event. `event` and `id` are valid until bytes are appended or
 * consumed. `offset` is kept by the caller: it starts at 0 and is advanced to
 * the end of the event. */
bool SlEventSplitter_Next(struct sl_event_splitter *splitter, size_t *offset,
                          struct sl_str *event, struct sl_str *id);
/* Removes the first `offset` bytes. The caller sets its offset to 0 then. */
void SlEventSplitter_Consume(struct sl_event_splitter *splitter,
                             size_t offset);
/* Removes all bytes, so that another stream can be split. */
void SlEventSplitter_Clear(struct sl_event_splitter *splitter);
void SlEventSplitter_Free(struct sl_event_splitter *splitter);

/* Returns true if an event with this id is not after the event `other`. Ids
 * that are decimal numbers, of any length, are compared by value; any others
 * have no order and are only compared for equality. */
bool SlEventId_IsAtMost(struct sl_str id, struct sl_str other);
/* Returns true if a Last-Event-Id header can hold the id, so that the stream
 * can be resumed after this event. */
bool SlEventId_IsSendable(struct sl_str id);

/* ---- requests ---- */

/* Upstreams that are recorded as tried, per request at most. */
#define Sl_MAX_TRIED_UPSTREAMS 8

enum sl_routed_request_state {
    Sl_ROUTED_REQUEST_WAITING, /* for an upstream; no call was sent yet */
    /* A call was sent, or a retry waits for an upstream. Nothing was sent to
     * the client yet. */
    Sl_ROUTED_REQUEST_CALLING,
    Sl_ROUTED_REQUEST_RESPONDING, /* the client has part of the response */
};

/* One attempt of a request at an upstream. */
struct sl_upstream_call {
    uint64_t token; /* 0: no call is under way */
    struct sl_router_upstream *upstream;
    int64_t sent_us;
    int64_t sent_load;      /* requests at the upstream then, with this one */
    int64_t progress_us;    /* when it was sent, or its response last made
                               progress: head, whole event, bytes of a body */
    int64_t next_check_us;  /* next time to check it for a stall; 0: at once */
    int64_t expected_us;    /* estimated time to its head, when it was sent */
    int64_t first_event_us; /* that time, by the placement: with the load */
    struct sl_kept_estimate kept; /* of its prompt, if it is an engine */
    int64_t uncached_tokens; /* prompt tokens that the upstream is estimated
                                not to have in its prefix cache */
    int64_t held_tokens;     /* that it may come to hold in the upstream's
                                memory; 0: not counted */
    bool is_prefilling;      /* its prompt counts in the prefill backlog */
    bool was_idle; /* the upstream had no prefill backlog when it was sent */
    bool was_cold; /* the upstream was cold when it was sent */
    /* At most half of the upstream's slots were in use when it was sent. */
    bool was_lightly_loaded;
    bool is_suspect;  /* its request is a suspect, and it has not begun */
    bool at_baseline; /* at a version that a roll-out replaces */
    bool has_head;    /* its response has begun */
    bool is_paused;   /* its response is not read, as the client is slow */
    bool has_event;   /* its response, a stream, has sent an event */
    int64_t head_us;  /* when its response began */
    /* Its response has gone on for a while after its head, or is complete: the
     * prompt does not end its engine. */
    bool has_begun;
    struct sl_response_head head;
    struct sl_buf headers; /* of `head`, to forward */
    struct sl_buf body;    /* of a response that is not forwarded as it
                              arrives */
    struct sl_event_splitter events; /* of a stream */
    size_t processed_bytes; /* bytes of `events` whose events were forwarded,
                               or the client had already */
    size_t buffered_bytes;  /* its part of the router's `buffered_bytes` */
};

/* A call that broke at an engine, which may have ended. */
struct sl_broken_call {
    struct sl_name upstream;
    struct sl_name service;
    struct sl_prompt_keys prompt;
    int64_t broken_us;
    bool has_head;  /* `has_head` of the call */
    bool has_begun; /* `has_begun` of the call */
    /* When the upstream's health checks failed; 0: they did not, or have to be
     * repeated. */
    int64_t unreachable_us;
    bool is_replaced; /* the upstream was found replaced or restarted */
};

/* A client's request, from its arrival to its end. */
struct sl_routed_request {
    uint64_t conn; /* the client's connection; key in the router's table */
    struct sl_routing *routing; /* the configuration at its arrival, a ref;
                                   route, service and team are part of it */
    const struct sl_route *route;
    const struct sl_route_service *service;
    const struct sl_team *team; /* NULL: none */
    enum sl_routed_request_state state;
    struct sl_buf text; /* memory that the views of `incoming` point to */
    struct sl_incoming_request incoming;
    uint64_t arrival_number; /* grows from one request to the next */
    int64_t queued_us;       /* when it last began to wait for an upstream */
    int64_t arrived_us;
    int64_t deadline_us;           /* when the request must have ended */
    int64_t priority;              /* 0 is the most urgent */
    uint64_t session;              /* hash of the session; 0: none */
    struct sl_sharing_claim claim; /* whom it counts for in the shares */
    int64_t tried_us; /* for how long its client has tried before; 0: this is
                         the first attempt */
    uint64_t prompt_prefix; /* equal if prompts begin alike; 0: no prompt */
    size_t model;           /* index in the route's models */
    size_t escalated_model; /* index of the model whose response was discarded
                               for low confidence */
    int escalated_confidence; /* of that response; -1: none was discarded */
    int64_t possible_runs;    /* attempts that ran or may have run */
    int64_t calls_sent;       /* attempts that were sent */
    bool reached_upstream;    /* a call was connected: each further one takes a
                                 retry from the budget */
    bool counted_as_evidence; /* a response counted as evidence on a version */
    bool is_retryable;        /* it may run more than once */
    /* Id of the newest event that the client has; empty: none. */
    struct sl_buf last_event;
    bool began_with_events; /* the response that has begun is of the type
                               text/event-stream */
    bool repeat_logged;   /* an event that the upstream repeated was logged */
    int64_t forwarded_us; /* when an event was last forwarded */
    size_t tried_count;
    struct sl_name tried[Sl_MAX_TRIED_UPSTREAMS]; /* ids of upstreams */
    struct sl_upstream_call upstream_call; /* the current or the last one */
    struct sl_prompt_keys prompt; /* only set if the service is an engine */
    /* Its last call broke after the head of the response and before it had
     * begun: its prompt may end engines. */
    bool is_suspect;
    /* Its call is a trial: it tests whether a blocked prompt still ends
     * engines. */
    bool is_trial;
    /* After its call broke, it waits until then at most, while it is not known
     * whether the upstream has ended; 0: it does not wait. */
    int64_t end_known_by_us;
    struct sl_name broken_at; /* that upstream */
    uint64_t deadline_timer;
    GList *queue_link; /* in the queue of waiting requests; NULL: not there */
};

/* ---- feeds ---- */

/* The newest record of a key, as stored; served to peers. */
struct sl_cached_record {
    uint64_t offset;
    struct sl_str key; /* owned */
    char *value;       /* NULL: the key was dropped */
    size_t value_len;
    enum sl_record_type type;
    struct sl_name name; /* of what it is about, if a drop has an effect */
    /* Of an upstream's registration, or the last one before the drop. */
    int64_t start_wall_ms;
    uint64_t sequence;
    bool draining;
};

/* What the next digest to the routers that get their updates from this one
 * announces. A proof of a peer needs no mark: it is announced to the routers
 * that get any news. */
struct sl_pending_news {
    bool has_records;   /* records are there to be pulled */
    bool has_own_proof; /* the store has answered this router */
};

/* How far this router follows a feed, a topic of the store. It gets records
 * by reading them from the store, or by pulling them from a peer. */
struct sl_feed_state {
    GHashTable *cache;    /* key -> struct sl_cached_record, owned */
    bool is_reading;      /* a read of the store is under way */
    int64_t read_sent_us; /* when the newest read was sent */
    /* When the store answers that read at the latest, if it answers. */
    int64_t read_held_until_us;
    uint64_t read_sent_event; /* number of the event in which it was sent */
    bool is_followed; /* a read is under way, or planned after one that was
                         answered */
    /* When the records here were current, according to the store; 0: not
     * known. */
    int64_t current_per_store_us;
    bool is_pulling; /* a pull from a peer is under way */
    /* When the records of the peer that is pulled from were current; 0: not
     * known. */
    int64_t pulled_records_current_us;
    /* When the records here were current, according to peers; 0: not known. */
    int64_t current_per_peers_us;
    int64_t next_pull_us; /* earliest next pull */
    /* When a peer first offered records; 0: none has. */
    int64_t first_peer_records_us;
    int64_t behind_since_us;  /* when a peer was first seen to be ahead; 0:
                                 none is */
    bool has_snapshot;        /* the newest record of every key was read */
    bool must_read_again;     /* the next read is of all keys, though the
                                 records stay in use until then */
    uint64_t complete_from;   /* drops of keys are known from this offset on */
    bool is_refreshing;       /* not confirmed to be current since the process
                              was paused */
    uint64_t next_offset;     /* offset of the next record */
    int64_t failing_since_us; /* 0: the last read succeeded */
    unsigned failures;        /* consecutive reads that failed */
    bool waits_for_probe;     /* the next read waits until the store answers
                                 the probe, a read of one feed */
    uint64_t timer;           /* of the next read; 0: none */
};

/* ---- the router ---- */

struct sl_router {
    uint64_t event_number; /* of the current event, from 1 on */
    struct sl_router_options options;
    int64_t started_us;
    int64_t seeds_until_us;   /* end of the wait for an answer of the seeds,
                                 which know other routers; 0: not begun */
    bool has_peer_list;       /* a peer has sent its list of peers */
    bool member_read_started; /* the list of members is read from the store, as
                                 no seed has answered */
    int64_t members_read_us;  /* when that list was read; 0: not yet */
    int64_t now_us;           /* time of the current event */
    int64_t wall_ms;          /* the same by the wall clock */
    int64_t fleet_clock_ahead_us; /* of the clock that routers share, the wall
                                     clock at the start, over `now_us` */
    struct sl_random random;
    struct sl_timers *timers;
    struct sl_metrics *metrics;        /* by enum sl_router_metric */
    struct sl_router_effects *effects; /* of the current event */
    uint64_t last_token;          /* of calls, health checks and appends */
    uint64_t last_arrival_number; /* of requests */
    struct sl_buf line;           /* the log line that is being written */
    uint64_t line_request;        /* number of its request; 0: none */
    enum sl_log_request_state line_request_state;

    struct sl_feed_state feeds[Sl_FEED_COUNT];
    /* Records that the store has lost stay in force until then at most. */
    int64_t carried_until_us;
    uint64_t store_era;          /* the newest that the store has stated */
    bool has_carrying_peer;      /* some peer's digest has said that it carries
                                    records, while this router had none */
    uint64_t lowest_peer_offset; /* that peers have told while this router had
                                    no records; 0: none */
    int64_t store_answered_us; /* when the store last answered this router; 0:
                                  never */
    int64_t fleet_store_answered_us; /* when it last answered any router; 0:
                                        never */
    /* When the store last became available again for the fleet. 0: it was
     * never unavailable. */
    int64_t store_back_us;
    bool reads_store; /* this router reads the store itself, as last logged */
    int64_t refresh_until_us;   /* after a process pause, requests wait until
                                   then at most for feeds to be read again */
    struct sl_routing *routing; /* the configuration; NULL until one is
                                   known */
    uint64_t routing_offset;    /* of its record */
    /* One more than the offset of the newest configuration that could not be
     * decoded; 0: none. */
    uint64_t refused_routing_offset;
    int64_t routing_us;    /* when it was applied */
    GHashTable *evacuated; /* domain name -> itself, owned */

    GHashTable *upstreams;        /* id -> struct sl_router_upstream, owned */
    size_t expiring_count;        /* upstreams with a `removal_due_us` */
    GHashTable *upstream_notices; /* id -> struct sl_upstream_notice, owned */
    GHashTable *rate_parts; /* service name -> struct sl_rate_parts, owned */
    /* Model name -> struct sl_latency_estimate, owned. */
    GHashTable *latency_estimates;
    GHashTable
        *mean_run_us; /* service name -> double, mean run time in us, owned */
    GHashTable *light_run_us; /* the same at lightly loaded upstreams, at the
                                 usual pace */
    GHashTable *mean_route_head_us; /* route name -> double, mean us to a head,
                                       owned */
    /* "model model" -> struct sl_confidence_gain, owned. */
    GHashTable *confidence_gains;
    /* Service name -> int64_t, the time from which on no upstream has served
     * its requests, owned. */
    GHashTable *unserved_since_us;
    GHashTable
        *retry_windows;   /* service name -> struct sl_retry_window, owned */
    GHashTable *rollouts; /* service name -> struct sl_rollout, owned */
    GHashTable *peers;    /* vm name -> struct sl_router_peer, owned */
    struct sl_fleet_position fleet_position;
    uint64_t gossip_rounds; /* digests sent to all peers so far */
    uint64_t relay_timer;   /* for digests to be relayed */
    /* `peers_in_flight` and `peers_prefill_backlog_us` of the upstreams are
     * out of date. */
    bool peers_changed;
    GHashTable *upstreams_by_key; /* key -> struct sl_router_upstream */
    uint64_t member_token;        /* append of this router's member record */
    uint64_t rollout_timer;       /* for the next update of the roll-outs */
    GHashTable
        *rollout_statuses; /* service name -> struct sl_rollout_status */
    bool loads_changed;    /* loads to report to the failure domain */
    /* There are new records to announce to the routers that get their updates
     * from this one. */
    bool has_store_updates;
    uint64_t gossip_timer; /* for the next digest with loads */
    struct sl_pending_news pending_news;
    uint64_t news_timer; /* for the digest that announces them; 0: none */
    size_t domain_recipient_count; /* recipients of the last digest to the
                                      domain */
    uint64_t digest_sequence;
    GHashTable *routed_requests; /* conn -> struct sl_routed_request, owned */
    GHashTable *requests_by_token; /* call token -> struct sl_routed_request */
    size_t buffered_bytes;         /* of responses, not forwarded yet */
    GQueue *startup_queue;         /* struct sl_held_request, owned */
    GQueue *request_queue; /* waiting struct sl_routed_request, most urgent
                              first */
    int64_t last_bytes_us; /* when any upstream or peer last sent anything */
    GHashTable *health_checks; /* token -> id of the upstream, both owned */
    GArray *broken_calls;      /* struct sl_broken_call, oldest first */
    struct sl_quarantine *quarantine;
    struct sl_engine_rooms *rooms; /* NULL: memory is not counted */
    struct sl_kept *kept;          /* parts of prompts that engines keep */
    struct sl_sharing *sharing;
    bool has_local_evidence;    /* its announcement also goes to the leaders */
    uint64_t evidence_timer;    /* for the next digest about evidence */
    int64_t stall_check_due_us; /* next time to check a call for a stall */
    int64_t stall_check_timer_us; /* when the timer for that check is due */
    uint64_t stall_check_timer;   /* 0: none */
    uint64_t queue_timer;  /* for the next dispatch of the queue; 0: none */
    bool capacity_changed; /* waiting requests may find an upstream now */

    bool draining; /* the router is shutting down */
    int64_t drain_started_us;
    uint64_t exit_timer;    /* for the end of the drain */
    bool started;           /* the first event was handled */
    bool stopped_accepting; /* client connections */
    bool exited;            /* the process was told to exit */
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
    Sl_ROUTER_METRIC_ENGINES_ENDED,
    Sl_ROUTER_METRIC_PROMPTS_SUSPECTED,
    Sl_ROUTER_METRIC_PROMPT_BLOCKS,
    Sl_ROUTER_METRIC_PROMPT_TRIALS,
    Sl_ROUTER_METRIC_KEPT_CALLS,
    Sl_ROUTER_METRIC_KEPT_TOKENS,
    Sl_ROUTER_METRIC_PROMPT_RELEASES,
    Sl_ROUTER_METRIC_PROMPT_REFUSALS,
    Sl_ROUTER_METRIC_PROMPT_BLOCKS_ACTIVE,
    Sl_ROUTER_METRIC_LOW_CONFIDENCE,
    Sl_ROUTER_METRIC_RETRIES,
    Sl_ROUTER_METRIC_RETRIES_DENIED,
    Sl_ROUTER_METRIC_LOAD_ESTIMATED,
    Sl_ROUTER_METRIC_LOAD_REPORTED,
    Sl_ROUTER_METRIC_LOAD_ERROR,
    Sl_ROUTER_METRIC_UNREADABLE_RECORDS,
    Sl_ROUTER_METRIC_EVENTS_REPEATED,
    Sl_ROUTER_METRIC_IN_FLIGHT,
    Sl_ROUTER_METRIC_WAITING,
    Sl_ROUTER_METRIC_UPSTREAMS,
    Sl_ROUTER_METRIC_FLEET,
    Sl_ROUTER_METRIC_CONFIGURATION,
    Sl_ROUTER_METRIC_CONFIGURATION_REFUSED,
    Sl_ROUTER_METRIC_STORE_AGE,
    Sl_ROUTER_METRIC_STORE_ERA,
    Sl_ROUTER_METRIC_READY,
    Sl_ROUTER_METRIC_TEAM_QUEUE,
    Sl_ROUTER_METRIC_TEAM_REFUSALS,
    Sl_ROUTER_METRIC_TEAM_HELD,
    Sl_ROUTER_METRIC_TEAM_WAITING,
    Sl_ROUTER_METRIC_LOG_DROPPED,
    Sl_ROUTER_METRIC_ENGINE_TOKENS,
    Sl_ROUTER_METRIC_UPSTREAM_PACE,
    Sl_ROUTER_METRIC_READERS_BYTES,
    Sl_ROUTER_METRIC_READERS_PAUSED,
    Sl_ROUTER_METRIC_READERS_STALLED,
    Sl_ROUTER_METRIC_COUNT,
};

enum sl_retry_reason {
    Sl_RETRY_FAILURE, /* an attempt failed */
    /* Escalation: a larger model is to respond, as the confidence of the
     * response was too low. */
    Sl_RETRY_LOW_CONFIDENCE,
};

/* Counts a request that was admitted on the route. */
void SlRouterMetrics_OnRequest(struct sl_router *router,
                               const struct sl_route *route);
/* Records the response time of a request that has ended. `route` is NULL if
 * none matched the request. `outcome` is the value of a label. */
void SlRouterMetrics_OnEnd(struct sl_router *router,
                           const struct sl_route *route, const char *outcome,
                           int64_t took_us);
/* Records the time to the first event of a stream, or between two events. To
 * be called before `forwarded_us` is set for the event. */
void SlRouterMetrics_OnEvent(struct sl_router *router,
                             const struct sl_routed_request *request,
                             bool is_first);
/* Counts a call that is sent, and records how long its request has waited for
 * an upstream. */
void SlRouterMetrics_OnCall(struct sl_router *router,
                            const struct sl_routed_request *request);
/* Counts a request that admission control refuses. */
void SlRouterMetrics_OnTeamRefused(struct sl_router *router,
                                   const struct sl_routed_request *request);
/* Counts a call that has failed; `reason` is the value of a label. */
void SlRouterMetrics_OnCallFailed(struct sl_router *router,
                                  const struct sl_routed_request *request,
                                  const char *reason);
/* Counts the end of an engine of the service. */
void SlRouterMetrics_OnEngineEnded(struct sl_router *router,
                                   const struct sl_name *service);
/* Counts a change of the quarantine. */
void
SlRouterMetrics_OnQuarantineChange(struct sl_router *router,
                                   const struct sl_quarantine_change *change);
/* Counts a blocked request that is refused, or let through as a trial. */
void SlRouterMetrics_OnPromptRefused(struct sl_router *router,
                                     const struct sl_name *service);
void SlRouterMetrics_OnPromptTrial(struct sl_router *router);
/* Counts a prompt that is sent to an engine whose memory is known: "home",
 * "held" or "away", and the tokens that are expected to be kept. */
void SlRouterMetrics_OnKept(struct sl_router *router,
                            const struct sl_name *service, const char *placed,
                            int64_t expected_tokens);
/* Counts tokens that were taken to be kept, and those of them that seem to
 * have been. */
void SlRouterMetrics_OnKeptSeen(struct sl_router *router,
                                const struct sl_name *service,
                                int64_t judged_tokens, int64_t seen_tokens);
/* Counts a response that is discarded for low confidence. */
void SlRouterMetrics_OnLowConfidence(struct sl_router *router,
                                     const struct sl_routed_request *request);
/* Counts a retry that the budget allows or denies. */
void SlRouterMetrics_OnRetry(struct sl_router *router,
                             const struct sl_name *service,
                             enum sl_retry_reason reason, bool allowed);
/* Records the load that an upstream has reported, in requests, and the load
 * that this router had estimated. */
void SlRouterMetrics_OnLoad(struct sl_router *router,
                            const struct sl_name *service, int64_t estimated,
                            int64_t reported);
/* Counts a record of the feed that cannot be decoded. */
void SlRouterMetrics_OnEventRepeated(struct sl_router *router,
                                     const struct sl_name *service);
void SlRouterMetrics_OnUnreadableRecord(struct sl_router *router,
                                        enum sl_feed feed);

/* ---- effects and log lines ---- */

/* Appends an effect to those of the current event, with all members but the
 * type zero. The pointer is valid until the next effect is added. */
struct sl_router_effect *SlRouter_AddEffect(struct sl_router *router,
                                            enum sl_router_effect_type type);
/* Returns a copy of a name for an effect to point to. */
const struct sl_name *SlRouter_CopyName(struct sl_router *router,
                                        const struct sl_name *name);
/* Takes ownership of memory that an effect points to: it is freed, by
 * g_free(), when the effects are cleared. */
void SlRouter_FreeWithEffects(struct sl_router *router, gpointer memory);
/* Begins a log line. Its JSON members are added one by one, and
 * SlLogLine_End() completes it. There is one line at a time. */
void SlLogLine_Begin(struct sl_router *router, const char *event);
/* Begins a line about a request. */
void SlLogLine_BeginFor(struct sl_router *router, const char *event,
                        const struct sl_routed_request *request);
/* Begins the last line about a request. */
void SlLogLine_BeginLast(struct sl_router *router, const char *event,
                         const struct sl_routed_request *request, bool failed);
/* Add one member to the current line. */
void SlLogLine_Str(struct sl_router *router, const char *key,
                   struct sl_str value);
void SlLogLine_Name(struct sl_router *router, const char *key,
                    const struct sl_name *value);
void SlLogLine_C(struct sl_router *router, const char *key, const char *value);
void SlLogLine_Int(struct sl_router *router, const char *key, int64_t value);
/* Adds the number of an offset, without its era. */
void SlLogLine_Offset(struct sl_router *router, const char *key,
                      uint64_t offset);
/* Adds a number, given as decimal digits without leading zeros. */
void SlLogLine_Number(struct sl_router *router, const char *key,
                      struct sl_str digits);
/* Adds an event's id: a number if it is one of at most 64 bits, -1 if it is
 * empty, else text. */
void SlLogLine_EventId(struct sl_router *router, const char *key,
                       struct sl_str id);
/* Adds the members that describe the error. */
void SlLogLine_Error(struct sl_router *router, const struct sl_error *err);
/* Completes the line and appends it to the effects. */
void SlLogLine_End(struct sl_router *router, enum sl_log_level level);
/* Part of the grace time, from SIGTERM to SIGKILL, that is reserved for
 * exiting: requests that have not ended by then get an error response. */
#define Sl_DRAIN_RESERVE_US (500 * Sl_US_PER_MS)
/* Returns when a router that drains ends its last requests; Sl_NEVER_US if it
 * does not drain. */
int64_t SlRouter_DrainEndUs(const struct sl_router *router);
/* Frees a request at the next event, as effects of the current one point into
 * it. */
void SlRouter_FreeLater(struct sl_router *router,
                        struct sl_routed_request *request);

/* ---- upstreams ---- */

/* Handles a registration that was read: adds its upstream or updates it,
 * unless a newer registration is known. */
void SlUpstreams_OnRegistered(struct sl_router *router, uint64_t offset,
                              const struct sl_registration *reg);
/* Handles the removal of an upstream's entry from the store: it has expired,
 * or the upstream has removed it. */
void SlUpstreams_OnRemoved(struct sl_router *router, const struct sl_name *id);
/* Removes upstreams whose entry expired while the store was unavailable, and
 * that have not registered since. */
void SlUpstreams_Expire(struct sl_router *router);
void SlUpstreams_Free(gpointer upstream);
/* Returns true if the failure domain must get no requests. */
bool SlUpstreams_IsEvacuated(const struct sl_router *router,
                             const struct sl_name *domain);
/* Counts a call that is sent to the upstream, and sets the call's
 * estimates. */
void SlUpstreams_OnCallSent(struct sl_router *router,
                            struct sl_router_upstream *upstream,
                            struct sl_routed_request *request);
/* Handles that the call is no suspect any more, if it was one. */
void SlUpstreams_OnCallCleared(struct sl_router_upstream *upstream,
                               struct sl_upstream_call *call);
/* Handles that a call has ended or was abandoned. Frees the upstream if the
 * store no longer has its entry, and no other call is under way there. */
void SlUpstreams_OnCallEnded(struct sl_router *router,
                             struct sl_router_upstream *upstream,
                             struct sl_upstream_call *call);
/* Stores the load and the remaining cold start that a response head reports,
 * if it does. */
void SlUpstreams_OnReportedLoad(struct sl_router *router,
                                struct sl_router_upstream *upstream,
                                const struct sl_response_head *head);
/* Handles a complete response. An upstream that had failed may have restarted:
 * it counts as cold for `cold_start_us`, the time that its service's upstreams
 * need, or until its next registration. */
void SlUpstreams_OnSuccess(struct sl_router *router,
                           struct sl_router_upstream *upstream,
                           int64_t cold_start_us);
/* Returns true if the upstream is registered, and neither draining, leaving
 * nor replaced. */
bool SlUpstreams_AcceptsRequests(const struct sl_router_upstream *upstream);
/* Returns its state as text, for metrics and the dump: "usable", "shunned"
 * (ejected after failures), "quiet" (it asked for back-off), "cold",
 * "draining", "leaving", "replaced" or "evacuated". */
const char *SlUpstreams_State(const struct sl_router *router,
                              const struct sl_router_upstream *upstream);
/* Ejects an upstream that has failed: it gets no requests for a while. It
 * could not be reached, broke off a call, or sent a response that was too
 * large. */
void SlUpstreams_OnFailure(struct sl_router *router,
                           struct sl_router_upstream *upstream);
/* Handles that another upstream has its address: it gets no more requests
 * unless it registers again. */
void SlUpstreams_OnReplaced(struct sl_router *router,
                            struct sl_router_upstream *upstream);
/* Returns an upstream with this key in digests, or NULL; others follow as
 * `next_with_key`. */
struct sl_router_upstream *
SlUpstreams_FirstWithKey(const struct sl_router *router, uint32_t key);
/* Handles a peer's report of a faulty upstream: ejects one that fails or was
 * replaced, unless it has just sent bytes to this router. */
void SlUpstreams_OnReportedFault(struct sl_router *router,
                                 const struct sl_name *reporter,
                                 const struct sl_gossip_fault *fault);
/* Returns true if this router itself has found the upstream failing recently,
 * so that its digests report that to the peers. */
bool SlUpstreams_IsLocalFault(const struct sl_router *router,
                              const struct sl_router_upstream *upstream);
/* Handles a refusal: the upstream is full. */
void SlUpstreams_OnRefused(struct sl_router *router,
                           struct sl_router_upstream *upstream);
/* Returns the number of requests that run or wait at the upstream, as far as
 * known. */
int64_t SlUpstreams_Load(const struct sl_router *router,
                         const struct sl_router_upstream *upstream);

/* Return the upstream's prefill backlog, the estimated time of prefills that
 * are not done: for prompts of this router, and of all routers. */
int64_t
SlUpstreams_LocalPrefillBacklogUs(const struct sl_router *router,
                                  const struct sl_router_upstream *upstream);
int64_t
SlUpstreams_PrefillBacklogUs(const struct sl_router *router,
                             const struct sl_router_upstream *upstream);
/* Handles the end of a call's prefill: the head of its response has arrived,
 * or the call has ended without one. */
void SlUpstreams_OnPrefillDone(struct sl_router *router,
                               struct sl_router_upstream *upstream,
                               struct sl_upstream_call *call);
/* Removes kept parts and notices that are too old to matter. */
void SlUpstreams_Sweep(struct sl_router *router);

/* ---- notices of upstreams ---- */

/* Handles announcements in the head of an upstream's response. */
void SlUpstreamNotices_OnHead(struct sl_router *router,
                              struct sl_router_upstream *upstream,
                              const struct sl_response_head *head);
/* Returns the notice of the upstream; adds an empty one if there is none. */
struct sl_upstream_notice *
SlUpstreamNotices_GetOrAdd(struct sl_router *router,
                           const struct sl_router_upstream *upstream);
/* Handles the report of the peer `reporter` that the upstream announced,
 * `age_us` ago, that it leaves. */
void SlUpstreamNotices_OnReportedLeaving(struct sl_router *router,
                                         const struct sl_name *reporter,
                                         struct sl_router_upstream *upstream,
                                         int64_t age_us);
/* Returns true if an announcement made `age_us` ago is older than the present
 * instance of the upstream. This router may have started later than both. */
bool SlUpstreamNotices_IsOfEarlierInstance(
    const struct sl_router *router, const struct sl_router_upstream *upstream,
    int64_t age_us);
/* Returns true if this router's digests report that the upstream leaves. */
bool SlUpstreamNotices_ShouldReportLeaving(
    const struct sl_router *router, const struct sl_router_upstream *upstream);
/* Returns true while the upstream must get no requests, as it has asked for
 * back-off. */
bool SlUpstreamNotices_IsBackingOff(const struct sl_router *router,
                                    const struct sl_router_upstream *upstream);
/* Applies the known notices to an upstream that is new to this router, or has
 * restarted. */
void SlUpstreamNotices_OnUpstreamStart(struct sl_router *router,
                                       struct sl_router_upstream *upstream);
/* Removes notices of upstreams that are long gone. */
void SlUpstreamNotices_Sweep(struct sl_router *router);

/* ---- limits of upstreams ---- */

/* Handles the head of the call's response, in which the upstream may state a
 * limit. */
void SlUpstreamLimits_OnHead(struct sl_router *router,
                             const struct sl_upstream_call *call,
                             const struct sl_response_head *head);
/* Handles a peer's digest, which may report limits. */
void SlUpstreamLimits_OnDigest(struct sl_router *router,
                               const struct sl_gossip_digest *digest);
/* Adds the known limits, and the demand for their services, to a digest. */
void SlUpstreamLimits_AddToDigest(struct sl_router *router,
                                  struct sl_gossip_digest *digest);
/* Handles that another instance has the upstream's id. */
void SlUpstreamLimits_OnReplaced(struct sl_router *router,
                                 struct sl_router_upstream *upstream);
/* Returns true while the upstream limits the rate of its requests. */
bool SlUpstreamLimits_IsLimited(const struct sl_router_upstream *upstream);
/* Returns the earliest time at which this router may send a request to the
 * upstream, which is now or later. */
int64_t SlUpstreamLimits_NextUs(struct sl_router *router,
                                const struct sl_router_upstream *upstream);
/* Returns the requests a second that this router may send to the upstream,
 * which is limited. */
double SlUpstreamLimits_PerS(struct sl_router *router,
                             const struct sl_router_upstream *upstream);
/* Handles that a request is sent to the upstream. */
void SlUpstreamLimits_OnSent(struct sl_router *router,
                             struct sl_router_upstream *upstream);

/* ---- rate slots ---- */

/* Returns the epoch of the fleet's clock at `clock_us`. */
int64_t SlRateSlots_Epoch(int64_t clock_us);
/* Sets the part from the epoch after the newest one on, up to `epoch`. */
void SlRateSlots_SetPart(struct sl_rate_parts *parts, int64_t epoch,
                         struct sl_rate_part part);
/* Returns the part in the newest epoch. */
struct sl_rate_part SlRateSlots_Part(const struct sl_rate_parts *parts);
/* Returns the number of the slot that has begun last at `clock_us`. */
uint64_t SlRateSlots_At(const struct sl_limited_rate *rate, int64_t clock_us);
/* Returns the first of this router's slots from `first` on that has not
 * expired at `clock_us`. If it has none for long, returns the last one that
 * was looked at. */
uint64_t SlRateSlots_Next(const struct sl_limited_rate *rate, int64_t clock_us,
                          uint64_t first);
/* Returns the time at which the slot begins. */
int64_t SlRateSlots_BeginUs(const struct sl_limited_rate *rate, uint64_t slot);

/* ---- cold upstreams ---- */

/* A cold upstream has just started, and can take fewer requests than later.
 *
 * Returns the interval in us between requests of this router to a cold
 * upstream, which can take `per_s` requests a second from all routers. `fleet`
 * is the number of routers, and `rank` this router's place among them, from 0.
 * Returns Sl_NEVER_US if this router must not send any. */
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

/* Returns the estimated time in us from sending a prompt to the head of its
 * response, at an idle upstream whose prefix cache lacks `uncached_tokens` of
 * the prompt's tokens. */
int64_t SlLatency_PrefillUs(const struct sl_router *router,
                            const struct sl_name *model,
                            int64_t uncached_tokens);
/* Updates that estimate with an observation at an idle upstream of the usual
 * pace. */
void SlLatency_LearnPrefill(struct sl_router *router,
                            const struct sl_name *model,
                            int64_t uncached_tokens, int64_t took_us);
/* Compares a placement's estimate of the time to the first event with the time
 * that the call took. */
void SlLatency_LearnFirstEvent(struct sl_router *router,
                               const struct sl_name *model,
                               int64_t uncached_tokens, int64_t estimated_us,
                               int64_t took_us);
/* Returns a placement's estimate of the time to the first event, corrected by
 * what earlier ones were worth. Sets `margin_us` to the time by which it may
 * be longer; Sl_NEVER_US while little is known. */
int64_t SlLatency_FirstEventUs(const struct sl_router *router,
                               const struct sl_name *model,
                               int64_t estimated_us, int64_t *margin_us);
/* Returns the moving average, in us, of the run time of the service's
 * requests; a default if there was none yet. */
int64_t SlLatency_MeanRunUs(const struct sl_router *router,
                            const struct sl_name *service);
/* The same for a request that does not wait at its upstream, at the usual
 * pace. */
int64_t SlLatency_LightRunUs(const struct sl_router *router,
                             const struct sl_name *service);
/* Returns the moving average, in us, of the time to the head of a response on
 * a route of a service that is no engine; 0 if there was none yet. */
int64_t SlLatency_RouteHeadUs(const struct sl_router *router,
                              const struct sl_name *route);
/* Update these averages with an observation. */
void SlLatency_LearnRouteHead(struct sl_router *router,
                              const struct sl_name *route, int64_t took_us);
void SlLatency_LearnRun(struct sl_router *router,
                        const struct sl_name *service, int64_t took_us);
void SlLatency_LearnLightRun(struct sl_router *router,
                             const struct sl_name *service, int64_t took_us);

/* ---- pace of upstreams ---- */

/* Returns the time that work takes at the upstream now, relative to the usual.
 * 1 if nothing is known. */
double SlUpstreamPace_Factor(const struct sl_router *router,
                             const struct sl_router_upstream *upstream);
/* Handles the head of a response, in which the upstream may state its pace. */
void SlUpstreamPace_OnHead(struct sl_router *router,
                           struct sl_router_upstream *upstream,
                           const struct sl_response_head *head);
/* Returns true if the upstream is known to have at most half of its slots in
 * use, so that its load does not influence the time of a response much. */
bool SlUpstreamPace_IsLightlyLoaded(const struct sl_router *router,
                                    const struct sl_router_upstream *upstream);
/* Returns the time that the call, which took `took_us`, would have taken at
 * the usual pace. Only a stated pace counts: a learned one is relative to the
 * usual time, which this is for. */
int64_t SlUpstreamPace_UsualUs(const struct sl_upstream_call *call,
                               int64_t took_us);
/* Updates the service's run time with a call that took `took_us`. */
void SlUpstreamPace_LearnRun(struct sl_router *router,
                             const struct sl_routed_request *request,
                             int64_t took_us);
/* Handles a successful call that took `took_us` until its head, and usually
 * would have taken `usual_us`, 0 if that is not known. */
void SlUpstreamPace_OnMeasured(struct sl_router *router,
                               const struct sl_upstream_call *call,
                               int64_t usual_us, int64_t took_us);
/* Adds the upstream's pace to the log line that is being written, unless it is
 * the usual one. */
void SlUpstreamPace_AddToLog(struct sl_router *router,
                             const struct sl_router_upstream *upstream);
/* Sets the metric on the pace. */
void SlUpstreamPace_SetMetrics(struct sl_router *router);
/* Appends the upstream's pace to its JSON object, if anything is known. */
void SlUpstreamPace_Dump(const struct sl_router *router,
                         const struct sl_router_upstream *upstream,
                         struct sl_buf *out);
/* Adds what this router has learned lately to a digest. */
void SlUpstreamPace_AddToDigest(const struct sl_router *router,
                                struct sl_gossip_digest *digest);
/* Handles what a peer has learned. */
void SlUpstreamPace_OnDigest(struct sl_router *router,
                             const struct sl_gossip_digest *digest);

/* ---- peers ---- */

/* Adds or updates the peer that a member record of the store is about. */
void SlPeers_OnMember(struct sl_router *router,
                      const struct sl_member *member);

/* What became of a digest that was received. */
enum sl_digest_result {
    Sl_DIGEST_IGNORED, /* it was late, or this router's own */
    Sl_DIGEST_ACCEPTED,
    Sl_DIGEST_FIRST, /* the first one since the peer has started */
};

/* Stores a peer's digest unless it is older than the one already stored. */
enum sl_digest_result SlPeers_OnDigest(struct sl_router *router,
                                       const struct sl_gossip_digest *digest);
/* Adds a router from a peer list. Returns false if the router was known before
 * or is this one. */
bool SlPeers_AddListed(struct sl_router *router,
                       const struct sl_member *member);
/* Returns true if any live peer has sent a digest. Other peers are known only
 * from member records or peer lists. */
bool SlPeers_HasLiveDigest(const struct sl_router *router);
/* Returns the number of routers that are believed to be live, this one
 * included. */
size_t SlPeers_FleetSize(const struct sl_router *router);
/* Frees a peer, struct sl_router_peer. */
void SlPeers_Free(void *peer);
/* Returns the number of peers in the failure domain that are believed to be
 * live. */
size_t SlPeers_CountDomain(const struct sl_router *router,
                           const struct sl_name *domain);
/* Returns the number of routers among which the fleet's allowances, such as
 * the retry budget, are split, this one included. Peers that have recently
 * fallen silent count as well: they may be cut off from this router alone. */
size_t SlPeers_AllowanceSharerCount(const struct sl_router *router);
/* Returns the weight of the peer in a split of the fleet's allowances by the
 * demand for a service: 1 if it is live, 0 if it is gone. One that has
 * recently fallen silent counts in part. */
double SlPeers_AllowanceWeight(const struct sl_router *router,
                               const struct sl_router_peer *peer);
/* Returns this router's rank among the live ones, by rendezvous hash with
 * `key`. The router with rank 0 is the first to act. */
size_t SlPeers_Rank(const struct sl_router *router, struct sl_str key);
/* Returns the rank of a router within the local failure domain. The router
 * with rank 0 is the domain leader. */
size_t SlPeers_DomainRank(const struct sl_router *router,
                          const struct sl_name *vm);
/* Returns the live peers of the local failure domain, ordered by that rank.
 * The caller frees the array, but not the peers. */
GPtrArray *SlPeers_ByDomainRank(const struct sl_router *router);
/* Returns the position of this router in the fleet, computed 100 ms ago or
 * later. Also sets `is_leader` of the peers. */
const struct sl_fleet_position *
SlPeers_FleetPosition(struct sl_router *router);
/* Returns true if the peer is believed to be live: its newest digest was sent
 * less than five gossip intervals ago, and does not say that it leaves. A peer
 * that has sent no digest yet counts as live for as long after it was added.
 */
bool SlPeers_IsLive(const struct sl_router *router,
                    const struct sl_router_peer *peer);
/* Updates the sums of the peers' loads at each upstream, if any has changed.
 */
void SlPeers_SumLoads(struct sl_router *router);
/* Returns the time in us between two digests to the whole fleet. */
int64_t SlPeers_GossipIntervalUs(const struct sl_router *router);
/* Returns the time without a digest after which a peer is no longer live. */
int64_t SlPeers_SilentUs(const struct sl_router *router);
/* Logs the peers that are no longer live, and removes those that have been
 * silent for more than 60 s. */
void SlPeers_ExpireSilent(struct sl_router *router);

/* ---- roll-outs ---- */

/* A roll-out moves a service's traffic from the baseline versions to a target
 * version, session by session, and back again if the target is worse.
 *
 * Handles an operator's order of a roll-out, or its removal. */
void SlRollouts_OnOrder(struct sl_router *router,
                        const struct sl_record *record);
/* Handles that the store is in a later era: it may have lost statuses, which
 * are written again. */
void SlRollouts_OnStoreEra(struct sl_router *router);
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
/* Handles that a digest was sent to all peers: the next one does not report
 * the same sessions again. */
void SlRollouts_OnDigestSent(struct sl_router *router);
/* Returns which versions may serve the request. */
enum sl_version_rule
SlRollouts_VersionRule(struct sl_router *router,
                       const struct sl_routed_request *request);
/* Returns the version that the service's roll-out moves traffic to, or NULL.
 */
const struct sl_name *SlRollouts_Target(const struct sl_router *router,
                                        const struct sl_name *service);
/* Counts a call that is sent, for the service's roll-out if there is one. */
void SlRollouts_OnCallSent(struct sl_router *router,
                           struct sl_routed_request *request,
                           const struct sl_router_upstream *upstream);
/* Handles that a call has ended or was abandoned. */
void SlRollouts_OnCallEnded(struct sl_router *router,
                            struct sl_routed_request *request);
/* Counts a response that the upstream itself has produced as evidence. */
void SlRollouts_OnResponse(struct sl_router *router,
                           struct sl_routed_request *request,
                           const struct sl_response_evidence *response);
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
/* Returns the share of sessions that may be at the target now, 0 to 1. */
double SlRollouts_TargetShare(const struct sl_router *router,
                              const struct sl_rollout *rollout);

/* Returns the service's roll-out, even if it is over; NULL if none. */
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
/* Returns true if the session has used a baseline version so recently that it
 * may not have ended since; see `session_us` of struct sl_bounds. */
bool SlRolloutSessions_WasAtBaseline(const struct sl_router *router,
                                     const struct sl_rollout *rollout,
                                     uint32_t key);
/* Records that the session uses a baseline version now. With `report`, the
 * next digest reports it to the peers. */
void SlRolloutSessions_NoteAtBaseline(struct sl_router *router,
                                      struct sl_rollout *rollout, uint32_t key,
                                      bool report);
/* Adds the sessions to report to this router's report on the roll-out. */
void SlRolloutSessions_AddToReport(const struct sl_router *router,
                                   const struct sl_rollout *rollout,
                                   struct sl_gossip_rollout *report);

/* ---- status of roll-outs ---- */

/* Writes the state to the store, when it is this router's turn by rank, unless
 * the store has it already. */
void SlRolloutStatus_Update(struct sl_router *router,
                            struct sl_rollout *rollout,
                            enum sl_rollout_state state);
/* Handles the result of that write. */
void SlRolloutStatus_OnAppended(struct sl_router *router,
                                const struct sl_router_event *event);

/* ---- exposure to roll-outs ---- */

/* Calls of all routers to a service since the order of its roll-out. */
struct sl_exposure {
    double per_s;        /* to any version */
    double target_calls; /* number of calls to the target */
};

/* Returns the canary share: the share of sessions that the target has before
 * its share grows to the whole. 0 to 1. */
double SlExposure_CanaryShare(const struct sl_bounds *bounds);
/* Adds the calls of one router, counted over `for_us`, to `sum`. They
 * contribute to the rate only if the router is live. */
void SlExposure_Add(struct sl_exposure *sum,
                    const struct sl_gossip_calls *calls, int64_t for_us,
                    bool is_live);
/* Returns true if the target may get all requests from now on, even if it is
 * bad, without exceeding the exposure bounds until the order's time is over.
 * `elapsed_us` is the time since the order, `duration_us` that time. */
bool SlExposure_AllowsFullShare(const struct sl_bounds *bounds,
                                const struct sl_exposure *exposure,
                                int64_t elapsed_us, int64_t duration_us);

/* ---- evidence of roll-outs ---- */

/* Returns the counts of a route, decayed up to `now_us`; adds them if they are
 * missing. */
struct sl_route_tally *
SlRolloutEvidence_FindOrAddRoute(struct sl_rollout_evidence *evidence,
                                 uint32_t route, int64_t now_us);
void SlRolloutEvidence_Decay(struct sl_rollout_evidence *evidence,
                             int64_t now_us);
/* Counts one response. Of baseline versions, only a bounded number of the
 * newest responses count. */
void SlRolloutEvidence_CountResponse(struct sl_response_tally *tally,
                                     bool failed, bool is_baseline);
/* Counts the time to its head, compared with the usual one. */
void SlRolloutEvidence_CountTime(struct sl_response_tally *tally,
                                 int64_t took_us, int64_t usual_us,
                                 bool is_baseline);
/* Adds the counts in a peer's report. */
void SlRolloutEvidence_AddReport(struct sl_rollout_evidence *evidence,
                                 const struct sl_gossip_rollout *report,
                                 int64_t now_us);
/* Writes the counts to this router's report. */
void SlRolloutEvidence_AddToReport(struct sl_rollout_evidence *evidence,
                                   struct sl_gossip_rollout *report,
                                   int64_t now_us);
/* Returns whether the target is worse than the baseline, on any route or on
 * all routes together. */
struct sl_rollout_verdict
SlRolloutEvidence_Evaluate(const struct sl_rollout_evidence *evidence);
/* Returns the number of the target's responses, after decay. */
double
SlRolloutEvidence_TargetResponses(const struct sl_rollout_evidence *evidence);

/* ---- placement ---- */

/* The choice of an upstream for a request. Costs are estimated times to the
 * first event, plus other costs converted to time. */
struct sl_placement {
    struct sl_router_upstream
        *upstream; /* NULL: none can run the request now */
    int64_t cost_us;
    int64_t first_event_us; /* estimated time to the first event, without the
                               other costs */
    const struct sl_router_upstream *second_best; /* NULL: none */
    int64_t second_cost_us;
    unsigned serving_count; /* upstreams that may serve the request */
    unsigned full_count;    /* those of them that cannot take it now */
    int64_t wait_us; /* estimated time until one of the full ones can take the
                        request; Sl_NEVER_US if there is none */
    /* The engine with the least tokens held, of those without room in their
     * memory at which it is this router's turn; NULL: none. */
    struct sl_router_upstream *roomiest;
    bool exceeds_memory; /* the request is larger than the memory of all
                            engines that may serve it */
    struct sl_kept_estimate kept; /* of the prompt at `upstream` */
    /* Least cost of a home of the prompt; Sl_NEVER_US if there is none. */
    int64_t home_cost_us;
    /* Slots of those that do not refuse for another reason than their load,
     * as far as their limits let them be used; and the least queue of one, in
     * its slots. */
    int64_t usable_slots;
    double least_queue;
    /* Mean time between two requests that this router may send to all of them
     * together; 0 unless each limits its rate. */
    int64_t limited_interval_us;
    /* What a request that has just arrived may have to wait beyond that. */
    int64_t limited_margin_us;
    bool all_backing_off; /* all upstreams that may serve the request have
                             asked for back-off, so that `wait_us` is
                             certain */
};

/* Chooses the upstream that should run the request now: the one with the least
 * cost. */
struct sl_placement
SlPlacement_Choose(struct sl_router *router,
                   const struct sl_routed_request *request);

/* Returns the slots of the upstream. */
int64_t SlPlacement_Slots(const struct sl_router_upstream *upstream);

/* ---- memory of engines ---- */

/* The memory of engines is room for requests, in tokens, if the options say
 * that it is guarded. A long request that has waited for room gets an engine
 * that is kept free for it. */

struct sl_engine_rooms *SlEngineRooms_New(void);
void SlEngineRooms_Free(struct sl_engine_rooms *rooms);
/* Count a call that is sent to the upstream, or has ended there. */
void SlEngineRooms_OnCallSent(struct sl_router_upstream *upstream,
                              struct sl_routed_request *request);
void SlEngineRooms_OnCallEnded(struct sl_router_upstream *upstream,
                               struct sl_upstream_call *call);
/* Handles that another process has taken the upstream's place: the calls to
 * the former one hold nothing there. */
void SlEngineRooms_OnReplaced(struct sl_router *router,
                              struct sl_router_upstream *upstream);
/* Handles that a digest was sent to the whole fleet. */
void SlEngineRooms_OnDigestSent(struct sl_router *router);
/* Returns what this router's calls hold in the upstream's memory, and what is
 * kept free there; 0 if memory is not counted. */
uint32_t SlEngineRooms_LocalTokens(const struct sl_router_upstream *upstream);
/* Sum what the calls of the peers hold: from 0, peer by peer. */
void SlEngineRooms_ClearPeers(struct sl_router_upstream *upstream);
void SlEngineRooms_AddPeer(struct sl_router_upstream *upstream,
                           int64_t tokens);
/* Returns the estimated time in us until the upstream has room for the
 * request: 0 if it has now, Sl_NEVER_US if the request exceeds its memory. */
int64_t SlEngineRooms_WaitUs(struct sl_router *router,
                             const struct sl_routed_request *request,
                             const struct sl_router_upstream *upstream);
/* Records in the placement that the upstream lacks room for `wait_us`. */
void SlEngineRooms_NoteFull(const struct sl_router *router,
                            struct sl_placement *placement,
                            struct sl_router_upstream *upstream,
                            int64_t wait_us);
/* Handles that a request goes on waiting: if it has waited for room for long,
 * keeps an engine free for it. */
void SlEngineRooms_OnWaiting(struct sl_router *router,
                             const struct sl_routed_request *request,
                             const struct sl_placement *placement);
/* Sets the metrics on the memory of engines. */
void SlEngineRooms_SetMetrics(struct sl_router *router);
/* Handles that a request has left the queue. */
void SlEngineRooms_OnLeft(struct sl_router *router,
                          const struct sl_routed_request *request);

/* ---- kept parts of prompts ---- */

/* Sets the choice of a request to an engine. `upstreams` are those that can
 * take it now, struct sl_router_upstream. */
void SlKeptParts_Prepare(const struct sl_router *router,
                         const struct sl_routed_request *request,
                         const GPtrArray *upstreams,
                         struct sl_kept_choice *choice);
/* Returns what the engine is expected to have kept of the prompt. */
struct sl_kept_estimate
SlKeptParts_Estimate(const struct sl_router *router,
                     const struct sl_kept_choice *choice,
                     const struct sl_router_upstream *upstream);
/* Records that the engine will have kept the prompt, and counts what is
 * expected. */
void SlKeptParts_OnCallSent(struct sl_router *router,
                            struct sl_router_upstream *upstream,
                            const struct sl_routed_request *request);
/* Handles the head of a response that took `took_us` at an engine that read no
 * other prompt. */
void SlKeptParts_OnBegun(struct sl_router *router,
                         const struct sl_routed_request *request,
                         int64_t took_us);
/* Handles that the engine has ended. */
void SlKeptParts_OnEnded(struct sl_router *router, const struct sl_name *id);
/* Handles a peer's report. */
void SlKeptParts_OnReport(struct sl_router *router,
                          const struct sl_gossip_digest *digest);
/* Adds members about the kept parts to the log line of a call that is sent, if
 * its engine's memory is known. */
void SlKeptParts_Log(struct sl_router *router,
                     const struct sl_routed_request *request,
                     const struct sl_placement *placement);

/* ---- admission control ---- */

/* Decides about the requests that wait, in one dispatch of the queue. */
struct sl_admission_pass;

/* Returns true if the configuration has teams, which share the upstreams. */
bool SlAdmissionControl_IsOn(const struct sl_router *router);
/* Sets whom the request counts for. */
void SlAdmissionControl_OnArrival(struct sl_router *router,
                                  struct sl_routed_request *request);
/* Sorts the waiting requests by fair shares. Returns NULL, and does nothing,
 * if it is off. The caller ends the pass with SlAdmissionControl_End(), which
 * accepts NULL. */
struct sl_admission_pass *SlAdmissionControl_Begin(struct sl_router *router,
                                                   GPtrArray *waiting);
void SlAdmissionControl_End(struct sl_admission_pass *pass);
/* Chooses the upstream for the waiting request of this index. */
struct sl_placement SlAdmissionControl_Place(struct sl_admission_pass *pass,
                                             size_t index);
/* Decides whether that request is refused; if not, it is sent or waits on. */
struct sl_admission_decision
SlAdmissionControl_Decide(struct sl_admission_pass *pass, size_t index,
                          const struct sl_placement *placement);
/* Handles that the request waits on: it goes before those that follow. */
void SlAdmissionControl_OnKept(struct sl_admission_pass *pass, size_t index);
/* Adds what decided about the request to the current log line. */
void SlAdmissionControl_Log(struct sl_router *router,
                            const struct sl_routed_request *request,
                            const struct sl_admission_decision *admission);
/* Handles that the request's call has run to its end. */
void SlAdmissionControl_OnRan(struct sl_router *router,
                              const struct sl_routed_request *request);
/* Adds what the teams have through this router to the digest. */
void SlAdmissionControl_AddToDigest(const struct sl_router *router,
                                    struct sl_gossip_digest *digest);
/* Handles a peer's digest. */
void SlAdmissionControl_OnDigest(struct sl_router *router,
                                 const struct sl_gossip_digest *digest);

/* ---- startup queue ---- */

/* Returns true while requests have to be held: the router has no
 * configuration, or has not read the list of upstreams yet. */
bool SlStartupQueue_IsNeeded(const struct sl_router *router);
/* Holds a request until both are known. Returns false if the queue is full, or
 * the time in which requests are held is over. */
bool SlStartupQueue_Add(struct sl_router *router,
                        const struct sl_incoming_request *incoming);
/* Drops the held request of a client that has closed its connection. */
void SlStartupQueue_OnClientGone(struct sl_router *router, uint64_t conn);
/* Starts the held requests once both are known, or that time is over. */
void SlStartupQueue_Release(struct sl_router *router);
/* Refuses all held requests, when the process exits. */
void SlStartupQueue_RefuseAll(struct sl_router *router);
/* Returns the Retry-After of a request that is refused because no
 * configuration is known. */
int64_t
SlStartupQueue_RetryAfterUs(const struct sl_router *router,
                            const struct sl_incoming_request *incoming);
/* Frees a struct sl_held_request. */
void SlStartupQueue_FreeEntry(gpointer held);

/* ---- requests ---- */

/* Copies the bytes that the views in `incoming` point to into `text`, and
 * makes the views point to the copies. */
void SlIncomingRequest_CopyViews(struct sl_incoming_request *incoming,
                                 struct sl_buf *text);
/* Admits a request and queues it, or refuses it. */
void SlRoutedRequest_Start(struct sl_router *router,
                           const struct sl_incoming_request *incoming);
/* Abandons the request of a client that has closed its connection. */
void SlRoutedRequest_OnClientGone(struct sl_router *router, uint64_t conn);
/* Frees a struct sl_routed_request. */
void SlRoutedRequest_Free(gpointer request);
/* Moves the request's deadline to `until_us` if it is earlier than that. */
/* Ends all requests with an error response or cuts off their streams, oldest
 * first, when the process exits. */
void SlRoutedRequest_FailAll(struct sl_router *router);
void SlRoutedRequest_ExtendDeadline(struct sl_router *router,
                                    struct sl_routed_request *request,
                                    int64_t until_us);
/* Queues the request for an upstream. If an upstream can take the request, it
 * is sent at the end of the current event. */
void SlRequestQueue_Add(struct sl_router *router,
                        struct sl_routed_request *request);
/* Removes the request from the queue if it is there. */
void SlRequestQueue_Remove(struct sl_router *router,
                           struct sl_routed_request *request);
/* Sends the waiting requests that an upstream can take, and refuses those that
 * cannot meet their deadline. */
void SlRequestQueue_Dispatch(struct sl_router *router);

/* ---- retry budget ---- */

/* Counts a client's request to the service. */
void SlRetryBudget_OnRequest(struct sl_router *router,
                             const struct sl_name *service);
/* Takes one retry from the service's budget. Returns false if the budget is
 * used up. */
bool SlRetryBudget_Take(struct sl_router *router,
                        const struct sl_name *service,
                        enum sl_retry_reason reason);
/* Returns the clients' requests to the service in the last window. */
double SlRetryBudget_Requests(struct sl_router *router,
                              const struct sl_name *service);
/* Returns the number of retries that this router's part of the budget still
 * allows; negative if it is exceeded. */
double SlRetryBudget_Remaining(struct sl_router *router,
                               const struct sl_name *service,
                               enum sl_retry_reason reason);

/* ---- model cascade ---- */

/* Returns the gain that is expected until one is learned; the caller frees it
 * with g_free(). */
struct sl_confidence_gain *SlModelCascade_NewGain(void);
/* Returns true if a response with this confidence (-1: not given) may go to
 * the client: it is good enough, or a larger model would be too late. */
bool SlModelCascade_Accepts(struct sl_router *router,
                            const struct sl_routed_request *request,
                            int confidence);
/* Returns the index of the model to escalate to after a response that was not
 * accepted. */
size_t SlModelCascade_Next(struct sl_router *router,
                           const struct sl_routed_request *request,
                           int confidence);
/* Updates the expected gain with the confidence of a response, if its request
 * was escalated from another model. */
void SlModelCascade_Learn(struct sl_router *router,
                          const struct sl_routed_request *request,
                          int confidence);

/* ---- calls ---- */

/* Sends the request to the upstream in `placement`. The request has no other
 * call under way. */
void SlUpstreamCall_Send(struct sl_router *router,
                         struct sl_routed_request *request,
                         const struct sl_placement *placement);
/* Removes a call that has ended or is abandoned from the router's tables and
 * counts. Its response stays in the request. */
void SlUpstreamCall_Detach(struct sl_router *router,
                           struct sl_routed_request *request);
/* Abandons the request's call, if one is under way. */
void SlUpstreamCall_Cancel(struct sl_router *router,
                           struct sl_routed_request *request);

/* ---- process pauses ---- */

/* Advances the router's time to `now_us`. If a late timer shows that the
 * process was paused, extends the timeouts that ended in the pause, and has
 * the feeds read again. */
void SlProcessPause_Check(struct sl_router *router, int64_t now_us);

/* ---- stalled calls ---- */

/* Schedules the first stall check of the request's call. */
void SlStallMonitor_Watch(struct sl_router *router,
                          struct sl_routed_request *request);
/* Begins a health check of an upstream at which a call broke, unless one is
 * under way. */
void SlStallMonitor_CheckUpstream(struct sl_router *router,
                                  struct sl_router_upstream *upstream);
/* Handles the end of a health check; `is_reached` is false if it failed. */
void SlStallMonitor_OnHealthChecked(struct sl_router *router, uint64_t token,
                                    bool is_reached);
/* Sets the timer for the next stall check that is due. */
void SlStallMonitor_ArmTimer(struct sl_router *router);

/* ---- ends of engines ---- */

/* Handles that the connection of the request's call broke. */
void SlEngineEnds_OnCallBroken(struct sl_router *router,
                               const struct sl_routed_request *request);
/* Handles that the health checks of the upstream failed. */
void SlEngineEnds_OnUnreachable(struct sl_router *router,
                                const struct sl_router_upstream *upstream);
/* Handles that the upstream was found replaced by another one or by a new
 * instance. */
void SlEngineEnds_OnReplaced(struct sl_router *router,
                             const struct sl_router_upstream *upstream);
/* Handles the ends of engines that are certain by now. */
void SlEngineEnds_Update(struct sl_router *router);
/* Returns true while it is not known whether the upstream, at which a call
 * broke, has ended. */
bool SlEngineEnds_IsUndecided(const struct sl_router *router,
                              const struct sl_name *upstream);

/* ---- prompts that end engines ---- */

/* What becomes of a waiting request. */
enum sl_prompt_decision {
    Sl_PROMPT_ADMITTED,
    Sl_PROMPT_HELD, /* it is not known yet whether its prompt ends engines */
    Sl_PROMPT_REFUSED, /* the request has ended */
};

/* Sets the keys of the request's prompt. */
void SlPromptGuard_SetKeys(struct sl_routed_request *request);
/* Decides whether a waiting request may be sent to an upstream. */
enum sl_prompt_decision
SlPromptGuard_Decide(struct sl_router *router,
                     struct sl_routed_request *request);
/* Handles that the request's call has begun. */
void SlPromptGuard_OnBegun(struct sl_router *router,
                           const struct sl_routed_request *request);
/* Handles that the request's call broke, before the request is retried. */
void SlPromptGuard_OnCallBroken(struct sl_router *router,
                                struct sl_routed_request *request);
/* Handles the end of an engine, at which the calls had not begun. */
void SlPromptGuard_OnEnd(struct sl_router *router,
                         const struct sl_name *upstream,
                         const struct sl_name *service, int64_t at_us,
                         const struct sl_unbegun_call *calls, size_t count);
/* Handles a peer's report. */
void SlPromptGuard_OnReport(struct sl_router *router,
                            const struct sl_gossip_quarantine *report);
/* Appends the block's keys as text, separated by commas. */
void SlPromptGuard_AppendKeys(const struct sl_quarantine_block *block,
                              struct sl_buf *out);
/* Logs what has changed, and abandons calls whose prompts are blocked now. */
void SlPromptGuard_Update(struct sl_router *router);

/* ---- responses ---- */

/* Handle the head of a response, bytes of its body, and its end. `token` is of
 * the call; tokens of calls that are over are ignored. */
void SlResponses_OnHead(struct sl_router *router, uint64_t token,
                        const struct sl_response_head *head);
void SlResponses_OnChunk(struct sl_router *router, uint64_t token,
                         struct sl_str bytes);
/* Handles that the response is read no further, or again, as its client reads
 * slowly: the call does not count as stalled meanwhile. */
void SlResponses_OnPaused(struct sl_router *router, uint64_t token,
                          bool is_paused);
/* `err` is NULL if the response is complete. `connected` is false if the
 * upstream could not be reached, so that nothing was sent. */
void SlResponses_OnDone(struct sl_router *router, uint64_t token,
                        const struct sl_error *err, bool connected);

/* ---- ends of requests ---- */

/* An error response of the router itself. Texts are static. */
struct sl_router_refusal {
    int status;
    const char *step;       /* part of the processing that failed */
    const char *reason;     /* a sentence for people */
    bool may_have_run;      /* false: the request certainly did not run */
    int64_t retry_after_us; /* 0: no Retry-After */
};

/* Returns the model that the request goes to now; empty: none. */
struct sl_str SlRoutedRequest_Model(const struct sl_routed_request *request);
/* Ends the request with an error response. If the client already has part of a
 * response, cuts that off instead. */
void SlRoutedRequest_Fail(struct sl_router *router,
                          struct sl_routed_request *request,
                          const struct sl_router_refusal *refusal);
/* Removes a request whose response has ended, or whose client has gone. */
void SlRoutedRequest_Finish(struct sl_router *router,
                            struct sl_routed_request *request);
/* Makes the upstream the last choice for the request's next attempts. */
void SlRoutedRequest_MarkTried(struct sl_routed_request *request,
                               const struct sl_router_upstream *upstream);
/* Queues the request for another attempt. Returns false if it may not be
 * retried, or the retry budget is used up. `may_have_run`: the last attempt
 * may have run. */
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

/* Schedules the first digests, and the record that registers this router as a
 * member of the fleet. */
void SlDigests_Start(struct sl_router *router);
/* Schedules that record again, as the store may have lost it. */
void SlDigests_RegisterAgain(struct sl_router *router);
/* Handles that this router's member record was written, or could not be
 * written, with `err`. */
void SlDigests_OnRegistered(struct sl_router *router,
                            const struct sl_error *err);
/* Schedules a digest to the peers of the failure domain, as this router's load
 * has changed. */
void SlDigests_ScheduleLoads(struct sl_router *router);
/* Handles a peer's list of routers: sends a digest to those that are new. */
void SlDigests_OnPeerList(struct sl_router *router,
                          const struct sl_member *members, size_t count);
/* Sends all peers a digest that says that this router leaves. */
void SlDigests_AnnounceLeaving(struct sl_router *router);
/* Handles a peer's digest. */
void SlDigests_OnDigest(struct sl_router *router,
                        const struct sl_gossip_digest *digest);

/* Sends the digest to the addresses in `recipients`, which are struct sl_name.
 * Takes ownership of the array, but not of the addresses. */
void SlDigests_Send(struct sl_router *router,
                    const struct sl_gossip_digest *digest,
                    GPtrArray *recipients);

/* Schedules a digest that spreads new evidence against prompts, or the finding
 * that a roll-out's target is bad.
 * `is_local`: this router has found it itself. */
void SlDigests_ScheduleEvidence(struct sl_router *router, bool is_local);
/* Schedules a digest to the routers that get updates of the store from this
 * one, as there are such updates. */
void SlDigests_ScheduleUpdates(struct sl_router *router);
/* Schedules a digest to the same routers, as there is a new proof that the
 * records are current. `is_own`: the store has answered this router; the
 * leaders of the other failure domains get such a digest as well. */
void SlDigests_ScheduleProof(struct sl_router *router, bool is_own);

/* ---- fan-out tree ---- */

/* In a large failure domain, updates of the store are passed on along a tree
 * of routers, whose root is the domain leader.
 *
 * Returns the number of routers between this one and the root, the root
 * included; 0 for the root. */
size_t SlFanoutTree_Depth(struct sl_router *router);
/* Returns true if this router gets its updates from the router `vm`. */
bool SlFanoutTree_IsParent(struct sl_router *router, const struct sl_name *vm);
/* Returns true if the local failure domain is so large that updates go down
 * the tree. */
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
    GPtrArray *direct; /* recipients that do not forward it */
    GPtrArray *relays[Sl_RELAYS_PER_DOMAIN]; /* first and second relays, which
                                                forward it in their domains */
};

/* Fills `recipients`; the caller frees the arrays. */
void SlRelay_ChooseRecipients(struct sl_router *router,
                              struct sl_recipients *recipients);
/* Handles a digest that was accepted: forwards it if this router is asked to,
 * at once or later. */
void SlRelay_OnDigest(struct sl_router *router,
                      const struct sl_gossip_digest *digest);
/* Handles a digest that was not newer than the last one of its sender: if it
 * is a copy that the other relay has forwarded, this router need not forward
 * it. */
void SlRelay_OnStaleDigest(struct sl_router *router,
                           const struct sl_gossip_digest *digest);

/* ---- initial sync ---- */

/* Interval of checks while a router waits for its initial records. */
#define Sl_INITIAL_SYNC_CHECK_US (80 * Sl_US_PER_MS)

/* Returns the time in us that a starting router waits for peers before its
 * first check of what they offer; 0: it reads the store at once. */
int64_t SlInitialSync_StartDelayUs(const struct sl_router *router);
/* Returns true while the feed's initial records are expected from peers. May
 * begin to pull the records from a peer, or start the read of the member
 * records, which name the peers. */
bool SlInitialSync_TryPeers(struct sl_router *router, enum sl_feed feed);
/* Returns true if the records that a starting router has read from the store
 * are not to be applied until those of peers are: the store may have lost
 * some that peers have. */
bool SlInitialSync_MustAskPeers(struct sl_router *router, enum sl_feed feed);
/* Handles a peer's digest, which says what records the peer has, while this
 * router has no records of the feed yet. */
void SlInitialSync_OnDigest(struct sl_router *router, enum sl_feed feed,
                            const struct sl_gossip_digest *digest);

/* ---- readers of the store ---- */

/* A store that answered no router for this long was unavailable. Registrations
 * expire after three heartbeats, which take longer. */
#define Sl_STORE_UNAVAILABLE_US (2500 * Sl_US_PER_MS)
/* Pause between the end of a store probe and the next one. */
#define Sl_PROBE_PAUSE_US (150 * Sl_US_PER_MS)

/* Returns true if this router reads the store for others. The first router by
 * rank does, in each of the domains that rank among the first three; with only
 * two domains, the first two routers of each; with one, the first three. */
bool SlStoreReaders_IsReader(struct sl_router *router);
/* Returns true if this router is the reader whose reads prove, at each proof
 * interval, that the fleet's records are current. */
bool SlStoreReaders_IsFirst(struct sl_router *router);
/* Returns the longest time in us that the store may hold a read which is to
 * prove that. */
int64_t SlStoreReaders_ShortWaitUs(const struct sl_router *router);
/* Returns the time in us between two such proofs while nothing is amiss. */
int64_t SlStoreReaders_ProofIntervalUs(const struct sl_router *router);
/* Returns the age in us of the newest proof from which on this router reads
 * the store itself. */
int64_t SlStoreReaders_PatienceUs(struct sl_router *router);

/* ---- feeds ---- */

/* Starts to follow the feeds. */
void SlFeeds_Start(struct sl_router *router);
/* Frees what the feeds have allocated, but not the router. */
void SlFeeds_Free(struct sl_router *router);
/* Reads a feed now, instead of a read that is under way or scheduled. */
void SlFeeds_ReadAgain(struct sl_router *router, enum sl_feed feed);
/* Reads a feed now, unless a read is under way or scheduled. */
void SlFeeds_Read(struct sl_router *router, enum sl_feed feed);
/* Reads the feeds that the choice of an upstream depends on, without waiting
 * at the store for updates. Requests wait for these reads, until `until_us` at
 * most. */
void SlFeeds_Refresh(struct sl_router *router, int64_t until_us);
/* Returns true while requests have to wait for a refresh. */
bool SlFeeds_IsRefreshing(const struct sl_router *router);
/* Adds the member `store_age_ms` to the current log line: the time since the
 * store last answered this router; -1: it never did. */
void SlFeeds_LogStoreAge(struct sl_router *router);
/* Returns true if the newest configuration could not be decoded, so that an
 * older one is in force, or none. */
bool SlFeeds_IsConfigurationRefused(const struct sl_router *router);
/* Logs when this router begins or stops reading the store itself. */
void SlFeeds_LogReaderChange(struct sl_router *router);
/* Returns the time in ms since the store last answered this router; UINT32_MAX
 * if it never did. */
uint32_t SlFeeds_StoreAgeMs(const struct sl_router *router);
/* Returns the time in ms since all feeds of this router were current for
 * certain, by the store's answers or by peers; UINT32_MAX if that is not known
 * of some feed. */
uint32_t SlFeeds_StalenessMs(const struct sl_router *router);
/* Pulls records from the digest's sender, unless a pull is under way or the
 * last one began less than 100 ms ago. */
void SlFeeds_Pull(struct sl_router *router, enum sl_feed feed,
                  const struct sl_gossip_digest *digest);
/* Handles the store's answer to a read, or that the read failed. */
void SlFeeds_OnRead(struct sl_router *router,
                    const struct sl_router_event *event);
/* Handles a peer's answer to a pull, or that the pull failed. */
void SlFeeds_OnPulled(struct sl_router *router,
                      const struct sl_router_event *event);
/* Handles a peer's digest, which says how far the peer's records go. */
void SlFeeds_OnDigest(struct sl_router *router,
                      const struct sl_gossip_digest *digest);

/* ---- era of the store ---- */

/* Handles that the store is in `era`, according to its answer or to a peer; 0:
 * it states none. Returns true if it has come back from a copy: the reads that
 * are under way must be sent again. */
bool SlStoreEra_Note(struct sl_router *router, uint64_t era);
/* Handles that records of the feed were pulled from a peer, which may not know
 * of the newest era yet. */
void SlStoreEra_OnPulled(struct sl_router *router, enum sl_feed feed);
/* Returns true if the feed has to be read as a whole, as its records are of an
 * earlier era. They stay in use until then. */
bool SlStoreEra_MustReadAgain(const struct sl_router *router,
                              enum sl_feed feed);
/* Returns true if the roll-out's status may be written: the router knows what
 * the store has in this era, and an order that the store has lost has been
 * written again. */
bool SlStoreEra_MayWrite(const struct sl_router *router,
                         const struct sl_rollout *rollout);
/* Returns true if what `drop` is about stays in force, although the store's
 * copy in the event lacks its key. */
bool SlStoreEra_IsCarried(const struct sl_router *router,
                          const struct sl_router_event *event,
                          const struct sl_record *drop);
/* Returns true if the record, of the event, is of the store's copy and older
 * than the known one of its key. */
bool SlStoreEra_IsOlderCopy(const struct sl_router *router,
                            const struct sl_router_event *event,
                            const struct sl_record *record);
/* Returns true if the record is of a later era than the known one of its key,
 * but says itself that it is older. */
bool SlStoreEra_IsOutdated(const struct sl_router *router, enum sl_feed feed,
                           const struct sl_record *record);
/* Returns the era as the store states it; -1: it states none. */
int64_t SlStoreEra_Stated(const struct sl_router *router);

/* ---- record cache ---- */

/* Returns an empty cache of a feed: key -> struct sl_cached_record, owned. */
GHashTable *SlRecordCache_New(void);
/* Returns the record of the key; NULL if there is none. */
const struct sl_cached_record *
SlRecordCache_Find(const struct sl_router *router, enum sl_feed feed,
                   struct sl_str key);
/* Stores the record. Returns false if the cache has a record of the same key
 * already that is as new or newer. */
bool SlRecordCache_Put(struct sl_router *router, enum sl_feed feed,
                       const struct sl_record *record);
/* Returns records that drop the cached keys which the snapshot in `event` does
 * not hold, as an array of struct sl_record. The caller frees the array; the
 * cache owns the keys in it. */
GArray *SlRecordCache_FindDropped(const struct sl_router *router,
                                  const struct sl_router_event *event);
/* Answers a peer's pull of the records from `from_offset` on with a page; it
 * is a snapshot if not all drops since that offset are known. */
void SlRecordCache_OnPull(struct sl_router *router, uint64_t conn,
                          enum sl_feed feed, uint64_t from_offset);

#endif
