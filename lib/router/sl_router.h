/*
 * sl_router: the reducer of a router, an entry that calls its upstreams
 * directly.
 *
 * One `struct sl_router` is the state of one process. All input arrives as
 * events through SlRouter_Reduce(), and all output leaves as effects, which
 * the caller carries out. The reducer does no I/O and reads no clock: time,
 * random seeds and results of I/O come with the events, so that the same
 * events always give the same effects.
 *
 * Names ending in `_us` are in microseconds, those in `_ms` in milliseconds.
 * Points in time are monotonic unless the wall clock is mentioned.
 *
 * Sections, from simple to advanced:
 *   1. Router    create, reduce, time of the next timer
 *   2. Records   decoded records of the store
 *   3. Requests  requests of clients and responses of upstreams, decoded
 *   4. Events    input of the reducer
 *   5. Effects   output of the reducer
 *   6. State     readiness, metrics, the state dump
 */
#ifndef Sl_ROUTER_H
#define Sl_ROUTER_H

#include "sl_gossip.h"
#include "sl_routing.h"

/* ---- 1. Router -------------------------------------------------------- */

struct sl_router;
struct sl_router_event;
struct sl_router_effects;

/* Bounds that the deployment sets. Those on numbers of requests apply to all
 * routers of the fleet together. */
struct sl_bounds {
    /* Time after which an upstream that has announced that it leaves gets no
     * new requests. */
    int64_t drain_us;
    /* Time after which a configuration that the store has accepted is in
     * force. */
    int64_t config_apply_us;
    int64_t grace_us; /* from SIGTERM to SIGKILL, for a router */
    /* Retries of a service's requests: at most `retry_ratio` per request, plus
     * `retry_extra`, within any window of `retry_window_us`. */
    double retry_ratio;
    double retry_extra;
    int64_t retry_window_us;
    /* Requests that a bad version may get during its roll-out: this share of
     * the service's requests, plus `exposure_extra`. */
    double exposure_share;
    double exposure_extra;
    /* Time from sufficient evidence that a version is bad to the last request
     * that the version gets. */
    int64_t rollback_us;
    /* Requests that a cold upstream may get within one second: this factor
     * times the rate that its service sets, plus `cold_extra`. */
    double cold_overshoot;
    double cold_extra;
    int64_t session_us;   /* idle time after which a session has ended */
    int64_t reuse_us;     /* until another upstream may get an address */
    int64_t heartbeat_us; /* between two registrations of an upstream */
    int64_t contact_us;   /* silence after which a peer is out of contact */
};

/* Failure domains whose regions a router is configured with. */
#define Sl_MAX_DOMAINS 64

struct sl_domain {
    struct sl_name name;
    struct sl_name region;
};

/* Seeds: routers that a starting one asks for a list of its peers. */
#define Sl_MAX_SEEDS 3

struct sl_router_options {
    struct sl_name vm;     /* id of this router's VM, and of the router */
    struct sl_name domain; /* failure domain of this router */
    struct sl_name region;
    size_t domain_count;
    struct sl_domain domains[Sl_MAX_DOMAINS];
    struct sl_name peer_address; /* "IP:PORT" at which peers reach this one */
    size_t seed_count;
    struct sl_name seeds[Sl_MAX_SEEDS]; /* peer addresses of other routers */
    /* The whole fleet starts for the first time: waiting for other routers
     * does no harm. */
    bool is_first_start;
    /* The tokens that requests hold at engines are counted as room, so that no
     * engine ends for lack of memory. */
    bool guards_memory;
    struct sl_bounds bounds;
    /* Largest sum of the response bytes that are held in memory; 0: no
     * bound. */
    size_t max_buffered_bytes;
    uint64_t boot; /* random, never 0; differs at every start */
    uint64_t seed; /* of the random generator */
    int64_t now_us;
};

/* Returns a new router, which the caller frees with SlRouter_Free(). */
struct sl_router *SlRouter_New(const struct sl_router_options *options);
/* Frees the router; NULL is allowed. */
void SlRouter_Free(struct sl_router *router);
/* Handles `event` and appends the resulting effects to `effects`. Timers that
 * are due at the event's time run first. Views in effects stay valid until the
 * next call. */
void SlRouter_Reduce(struct sl_router *router,
                     const struct sl_router_event *event,
                     struct sl_router_effects *effects);
/* Returns the time at which the next timer is due, or Sl_NEVER_US if there is
 * none. The caller sends a Sl_ROUTER_EVENT_TICK event then, unless another
 * event comes first. */
int64_t SlRouter_NextDueUs(const struct sl_router *router);

/* ---- 2. Records ------------------------------------------------------- */

/* Offsets number the records of a topic. The store may come back from a copy
 * of itself: it then has lost the newest records, gives their numbers out
 * again, and its era grows. The upper bits of an offset are the era, so that
 * offsets of a later era are greater: one more than the store states, or 0 if
 * it states none. */
uint64_t SlOffset_Of(uint64_t era, uint64_t number);
uint64_t SlOffset_Era(uint64_t offset);
uint64_t SlOffset_Number(uint64_t offset);

/* Feeds: the topics of the store that a router follows. A topic keeps the
 * newest record of each key. Each change has an offset, which grows. */
enum sl_feed {
    Sl_FEED_OPERATORS, /* configuration and orders of the operators */
    Sl_FEED_UPSTREAMS, /* registrations of upstreams */
    Sl_FEED_STATUS,    /* states of roll-outs, written by routers */
    Sl_FEED_MEMBERS,   /* routers of the fleet */
    Sl_FEED_COUNT,
};

/* Returns the feed's name for log lines and metrics, in static memory. */
const char *SlFeed_Name(enum sl_feed feed);

enum sl_record_type {
    Sl_RECORD_OTHER, /* not used by routers */
    /* Cannot be decoded; `err` has the reason, and `key_type` the type that
     * its key stands for. */
    Sl_RECORD_UNREADABLE,
    Sl_RECORD_ROUTING,
    Sl_RECORD_ROLLOUT,
    Sl_RECORD_EVACUATION,
    Sl_RECORD_UPSTREAM,
    Sl_RECORD_STATUS,
    Sl_RECORD_MEMBER,
};

/* An upstream's registration, which it writes to the store itself. */
struct sl_registration {
    struct sl_name id; /* usually new at each start of the upstream */
    struct sl_name service;
    struct sl_name address;
    struct sl_name domain;
    struct sl_name version; /* of its software */
    int64_t slots;          /* requests that it runs at once; 0: not given */
    int64_t cold_us;        /* remaining time of its cold start; 0: warm */
    int64_t start_wall_ms;  /* wall clock at its start; 0: not given */
    uint64_t sequence;      /* grows with each heartbeat */
    bool draining;
};

/* An operator's order of a roll-out: to move a service's traffic to a version,
 * the target. The other versions are the baseline. */
struct sl_rollout_order {
    struct sl_name service;
    struct sl_name version;
    int64_t duration_us; /* time in which to complete the roll-out */
};

enum sl_rollout_state {
    Sl_ROLLOUT_RUNNING,
    Sl_ROLLOUT_COMPLETED,
    Sl_ROLLOUT_ROLLED_BACK,
};

/* State of a roll-out, which routers write to the store. */
struct sl_rollout_status {
    struct sl_name service;
    struct sl_name version;
    enum sl_rollout_state state;
    uint64_t order;   /* offset of its order */
    bool ramped;      /* the target's share has begun to grow to the whole */
    int64_t began_ms; /* wall clock at which a router first saw the order */
};

/* One record of a feed. */
struct sl_record {
    uint64_t offset;
    struct sl_str key;
    struct sl_str value; /* as stored; empty when the key was dropped */
    bool dropped;        /* the key no longer has a record */
    enum sl_record_type type;
    enum sl_record_type key_type; /* of an unreadable record */
    union {
        struct sl_routing *routing; /* the event's; the router adds a ref */
        struct sl_rollout_order rollout;
        struct sl_name evacuated; /* failure domain that gets no requests */
        struct sl_registration upstream;
        struct sl_rollout_status status;
        struct sl_member member;
        struct sl_error err;
    } u;
};

/* ---- 3. Requests ------------------------------------------------------ */

/* Prompt parts kept of a request. Further ones are dropped: their tokens count
 * only through `prompt_tokens`, and never as cached. */
#define Sl_MAX_PROMPT_PARTS 16

struct sl_prompt_part {
    uint64_t id;
    int64_t tokens;
};

/* A client's request, decoded. Absent fields are empty or 0. */
struct sl_incoming_request {
    uint64_t conn;    /* number of the client's connection */
    struct sl_str id; /* differs between attempts of the client */
    struct sl_str method;
    struct sl_str target; /* path and query */
    struct sl_str host;
    struct sl_str api_key; /* API key of a team */
    struct sl_str model;   /* "*": the router chooses one of the route's */
    struct sl_str session; /* id that the client gives related requests */
    int64_t deadline_us;   /* from its arrival; 0: none */
    struct sl_str
        last_event; /* resume after this event; empty: from the start */
    int64_t prompt_tokens;
    int64_t output_tokens;
    int64_t expected_output_tokens; /* the client's estimate */
    size_t part_count;
    struct sl_prompt_part parts[Sl_MAX_PROMPT_PARTS];
    struct sl_str headers; /* to forward, as "Name: value\r\n" lines */
    struct sl_str body;
};

/* The head of an upstream's response, decoded. */
struct sl_response_head {
    int status;
    bool is_stamped;     /* it has the stamp that only upstreams add */
    bool not_executed;   /* the upstream states that the request did not run */
    bool wrong_instance; /* another upstream has this address */
    bool is_events;      /* the body is a stream of server-sent events */
    bool has_load;       /* `running`, `waiting` and `slots` are given */
    int64_t running;     /* requests that run at the upstream */
    int64_t waiting;     /* requests that the upstream has queued */
    int64_t slots;       /* requests that the upstream runs at once */
    int64_t pace_percent; /* how long work takes there now, in per cent of the
                             usual time; 0: not given */
    int confidence;       /* 0 to 100; -1: not given */
    bool is_leaving;      /* the upstream will soon refuse requests */
    /* The upstream limits the requests a second that it takes from all routers
     * together, to `limit_per_s`. */
    bool has_limit;
    double limit_per_s;
    bool limit_is_invalid;       /* a limit was given, but is unusable */
    int64_t retry_after_us;      /* 0: not given */
    bool retry_after_is_invalid; /* Retry-After was given, but is unusable */
    int64_t cold_us; /* remaining time of the cold start; 0: warm; -1: not
                        given */
    struct sl_str headers; /* to forward, as "Name: value\r\n" lines */
};

/* ---- 4. Events -------------------------------------------------------- */

enum sl_router_event_type {
    Sl_ROUTER_EVENT_TICK,    /* only time has passed */
    Sl_ROUTER_EVENT_DRAIN,   /* SIGTERM: become unready, finish all requests */
    Sl_ROUTER_EVENT_BOUNDS,  /* u.bounds: the settings were read again */
    Sl_ROUTER_EVENT_REQUEST, /* u.request: a client's request */
    Sl_ROUTER_EVENT_CLIENT_GONE, /* u.conn: the client closed its connection */
    Sl_ROUTER_EVENT_RESPONSE_HEAD,  /* u.response: a response begins */
    Sl_ROUTER_EVENT_RESPONSE_CHUNK, /* u.response: next bytes of its body */
    Sl_ROUTER_EVENT_RESPONSE_DONE,  /* u.response: a call has ended; `err` is
                                       NULL if its response is complete */
    /* u.response: the call's response is read no further, or again, as its
     * client reads slowly */
    Sl_ROUTER_EVENT_RESPONSE_PAUSED,
    Sl_ROUTER_EVENT_HEALTH_CHECKED, /* u.health_check: a check has ended */
    Sl_ROUTER_EVENT_FEED_READ,      /* u.feed: result of a read, or `err` */
    Sl_ROUTER_EVENT_APPENDED,  /* u.appended: result of an append, or `err` */
    Sl_ROUTER_EVENT_DIGEST,    /* u.digest: a peer's digest, its state */
    Sl_ROUTER_EVENT_PEER_LIST, /* u.peer_list: a peer lists other routers */
    Sl_ROUTER_EVENT_PULL,      /* u.pull: a peer asks for records */
    Sl_ROUTER_EVENT_PULLED,    /* u.feed: a peer's reply to a pull, or `err` */
};

struct sl_router_event {
    enum sl_router_event_type type;
    int64_t now_us;  /* monotonic; includes time spent suspended */
    int64_t wall_ms; /* since the epoch; may jump */
    const struct sl_error *err;
    union {
        struct sl_bounds bounds;
        struct sl_incoming_request request;
        uint64_t conn;
        struct {
            uint64_t token;                      /* of the call's effect */
            const struct sl_response_head *head; /* HEAD */
            struct sl_str bytes;                 /* CHUNK */
            bool connected; /* DONE: if false, nothing was sent */
            bool is_paused; /* PAUSED */
        } response;
        struct {
            uint64_t token;
            bool is_reached; /* a connection to the upstream was made */
        } health_check;
        struct {
            enum sl_feed feed;
            bool is_snapshot; /* the newest record of every key */
            /* PULLED: the peer knows all drops of keys from this offset. */
            uint64_t complete_from;
            /* The store no longer has some of the records from the requested
             * offset on, or is in a later era. */
            bool is_truncated;
            uint64_t next_offset; /* offset of the next record */
            uint64_t era;         /* READ: of the store, as in offsets */
            size_t count;
            const struct sl_record *records;
        } feed;
        struct {
            uint64_t token; /* of the append's effect */
            bool conflict;  /* not appended: the topic no longer ended at
                               `expected_next_offset` */
            uint64_t next_offset;
        } appended;
        const struct sl_gossip_digest *digest;
        struct {
            size_t count;
            const struct sl_member *members;
        } peer_list;
        struct {
            uint64_t conn; /* of the peer */
            enum sl_feed feed;
            uint64_t from; /* offset of the first record */
        } pull;
    } u;
};

/* ---- 5. Effects ------------------------------------------------------- */

enum sl_router_effect_type {
    /* u.call: a request to an upstream; events: RESPONSE_* */
    Sl_ROUTER_EFFECT_CALL,
    /* u.token: abandon a call; it causes no further event */
    Sl_ROUTER_EFFECT_CANCEL_CALL,
    /* u.health_check: connect to an upstream and close; event:
     * HEALTH_CHECKED */
    Sl_ROUTER_EFFECT_HEALTH_CHECK,
    /* u.reply: a complete response to a client */
    Sl_ROUTER_EFFECT_REPLY,
    /* u.reply: the head of a response of unknown length */
    Sl_ROUTER_EFFECT_REPLY_BEGIN,
    /* u.chunk: next bytes of that response */
    Sl_ROUTER_EFFECT_REPLY_CHUNK,
    /* u.conn: the response is complete */
    Sl_ROUTER_EFFECT_REPLY_END,
    /* u.conn: close, so that the client sees that the response is cut */
    Sl_ROUTER_EFFECT_REPLY_ABORT,
    /* u.limits: limits on requests of clients */
    Sl_ROUTER_EFFECT_CLIENT_LIMITS,
    /* u.read: read the newest record of every key; event: FEED_READ */
    Sl_ROUTER_EFFECT_READ_SNAPSHOT,
    /* u.read: read the records from `from` on; event: FEED_READ */
    Sl_ROUTER_EFFECT_READ_FROM,
    /* u.read.feed: abandon the read; it causes no further event */
    Sl_ROUTER_EFFECT_CANCEL_READ,
    /* u.append: write a record to the store; event: APPENDED */
    Sl_ROUTER_EFFECT_APPEND,
    /* u.send_digest: send a digest to several peers */
    Sl_ROUTER_EFFECT_SEND_DIGEST,
    /* u.peer_list: send a list of routers to a peer */
    Sl_ROUTER_EFFECT_SEND_PEER_LIST,
    /* u.pull: ask a peer for records; event: PULLED */
    Sl_ROUTER_EFFECT_PULL,
    /* u.page: reply to a peer's pull */
    Sl_ROUTER_EFFECT_SEND_PAGE,
    /* u.line: write a log line */
    Sl_ROUTER_EFFECT_LOG,
    /* close client connections after their next response */
    Sl_ROUTER_EFFECT_CLOSE_CONNS,
    /* accept no more client connections */
    Sl_ROUTER_EFFECT_STOP_ACCEPTING,
    /* u.drain_end_us: all work is finished: exit the process. Clients may
     * receive the last responses until the drain ends. */
    Sl_ROUTER_EFFECT_EXIT,
};

struct sl_router_effect_call {
    uint64_t token; /* identifies the call in later events */
    const struct sl_name
        *upstream; /* the only instance that may run the request */
    const struct sl_name *address;
    struct sl_str request_id;
    struct sl_str method;
    struct sl_str target;
    struct sl_str headers; /* of the client's request */
    struct sl_str body;
    struct sl_str model;        /* empty: none */
    const struct sl_name *team; /* NULL: none */
    int64_t deadline_us;        /* from now */
    struct sl_str
        last_event;        /* resume after this event; empty: from the start */
    int64_t priority;      /* for engines; 0 is the most urgent, -1: none */
    bool fresh_connection; /* use no connection of an earlier call */
    int64_t connect_timeout_us;
};

struct sl_router_effect_reply {
    uint64_t conn;
    int status;
    struct sl_str headers;
    struct sl_str body;
    /* Error responses of the router itself, which leave `headers` and `body`
     * empty and are described by the following fields. Texts are static. */
    bool is_generated;
    const char *step;       /* part of the processing that failed */
    const char *reason;     /* a sentence for people */
    const char *outcome;    /* "not-run" or "unknown" */
    int64_t retry_after_us; /* 0: no Retry-After */
};

/* Pointers are valid until the list of effects changes. */
struct sl_router_effect {
    enum sl_router_effect_type type;
    union {
        struct sl_router_effect_call call;
        uint64_t token;
        struct {
            uint64_t token;
            const struct sl_name *upstream;
            const struct sl_name *address;
            int64_t timeout_us;
        } health_check;
        struct sl_router_effect_reply reply;
        struct {
            uint64_t conn;
            uint64_t token; /* of the call that the bytes are from */
            struct sl_str bytes;
        } chunk;
        uint64_t conn;
        struct sl_client_limits limits;
        int64_t drain_end_us; /* monotonic */
        struct {
            enum sl_feed feed;
            uint64_t from;   /* READ_FROM: offset of the first record */
            int64_t wait_us; /* READ_FROM: the store may wait this long for a
                                first record */
        } read;
        struct {
            enum sl_feed feed;
            uint64_t token;
            bool conditional; /* append only if the topic ends at
                                 `expected_next_offset` */
            uint64_t expected_next_offset;
            const struct sl_record *record; /* STATUS or MEMBER; no key */
        } append;
        struct {
            const struct sl_gossip_digest *digest;
            size_t count;
            const struct sl_name *const *addresses;
        } send_digest;
        struct {
            const struct sl_name *address;
            size_t count;
            const struct sl_member *members; /* most important first */
        } peer_list;
        struct {
            const struct sl_name *address;
            enum sl_feed feed;
            uint64_t from;
        } pull;
        struct {
            uint64_t conn;
            struct sl_page page;
        } page;
        struct {
            enum sl_log_level level;
            uint64_t request; /* number of the request; 0: none */
            enum sl_log_request_state request_state;
            struct sl_str fields; /* JSON members: "event":"sent",... */
        } line;
    } u;
};

/* Returns an empty list of effects, which the caller frees. */
struct sl_router_effects *SlRouterEffects_New(void);
void SlRouterEffects_Free(struct sl_router_effects *effects);
/* Removes all effects, and frees the memory that they alone point to. */
void SlRouterEffects_Clear(struct sl_router_effects *effects);
size_t SlRouterEffects_Count(const struct sl_router_effects *effects);
/* Returns the effect at `index`, which is less than the count. Valid until the
 * list changes. */
const struct sl_router_effect *
SlRouterEffects_At(const struct sl_router_effects *effects, size_t index);

/* ---- 6. State --------------------------------------------------------- */

/* Returns true if the process should get new connections of clients: it knows
 * its configuration and the upstreams, and does not drain. */
bool SlRouter_IsReady(const struct sl_router *router);
/* Returns the definitions of all metrics, in static memory. */
const struct sl_metric_def *SlRouter_Metrics(size_t *count);
/* Appends the metrics in the Prometheus text format. */
void SlRouter_MetricsText(struct sl_router *router, struct sl_buf *out);
/* Bytes that wait for slow clients, streams whose upstream is not read for
 * that reason, and clients that took nothing for too long, in all. */
struct sl_router_readers {
    size_t held_bytes;
    size_t paused;
    uint64_t stalled;
};

/* Sets the metrics on clients that read slowly. */
void SlRouter_SetReaders(struct sl_router *router,
                         const struct sl_router_readers *readers);
/* Adds to the count of log lines that the runtime has left out: "sampled"
 * ones, or those that came while its buffer was "full". */
void SlRouter_CountOmittedLogLines(struct sl_router *router,
                                   const char *reason, uint64_t lines);
/* Appends the state as one JSON object: configuration, queues by service,
 * upstreams, roll-outs and peers. */
void SlRouter_Dump(struct sl_router *router, struct sl_buf *out);

#endif
