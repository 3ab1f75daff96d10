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

/* Bounds that the deployment sets. They apply to the fleet as a whole. */
struct sl_bounds {
    int64_t drain_us; /* after this, a leaving upstream gets no new request */
    int64_t grace_us; /* from SIGTERM to SIGKILL */
    double retry_ratio; /* retries per request, over the window */
    double retry_extra; /* retries allowed beyond that ratio */
    int64_t retry_window_us;
    double exposure_share; /* of a service's requests, to a bad version */
    double exposure_extra; /* requests allowed beyond that share */
    int64_t rollback_us;   /* from sufficient evidence to the last request */
    double cold_overshoot; /* factor on the cold rate, within one second */
    double cold_extra;     /* requests allowed beyond that */
    int64_t session_us;    /* idle time after which a session has ended */
    int64_t reuse_us;      /* until another upstream may get an address */
    int64_t heartbeat_us;  /* between an upstream's registrations */
    int64_t contact_us;    /* silence after which a peer is out of touch */
};

/* Failure domains whose regions a router is configured with. */
#define Sl_MAX_DOMAINS 32

struct sl_domain {
    struct sl_name name;
    struct sl_name region;
};

/* Routers that a starting one asks for the list of its peers. */
#define Sl_MAX_SEEDS 3

struct sl_router_options {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name region;
    size_t domain_count;
    struct sl_domain domains[Sl_MAX_DOMAINS];
    struct sl_name peer_address; /* "IP:PORT" at which peers reach this one */
    size_t seed_count;
    struct sl_name seeds[Sl_MAX_SEEDS]; /* peer addresses of other routers */
    bool is_first_start; /* the whole fleet starts: waiting does no harm */
    struct sl_bounds bounds;
    size_t max_buffered_bytes; /* of responses under way; 0: no bound */
    uint64_t boot;             /* random, never 0; differs at every start */
    uint64_t seed;             /* of the random generator */
    int64_t now_us;
};

/* Returns a new router, which the caller frees with SlRouter_Free(). */
struct sl_router *SlRouter_New(const struct sl_router_options *options);
void SlRouter_Free(struct sl_router *router);
/* Handles `event` and appends the resulting effects to `effects`. Timers that
 * are due at the event's time run first. Views in effects stay valid until the
 * next call. */
void SlRouter_Reduce(struct sl_router *router,
                     const struct sl_router_event *event,
                     struct sl_router_effects *effects);
/* Returns the time at which the router needs a Sl_ROUTER_EVENT_TICK event, or
 * Sl_NEVER_US. */
int64_t SlRouter_NextDueUs(const struct sl_router *router);

/* ---- 2. Records ------------------------------------------------------- */

/* Topics of the store that a router follows. A topic keeps the newest record
 * of each key; offsets order all its changes. */
enum sl_feed {
    Sl_FEED_OPERATORS, /* configuration and orders of the operators */
    Sl_FEED_UPSTREAMS, /* registrations */
    Sl_FEED_STATUS,    /* state of orders, written by routers */
    Sl_FEED_MEMBERS,   /* routers of the fleet */
    Sl_FEED_COUNT,
};

const char *SlFeed_Name(enum sl_feed feed);

enum sl_record_type {
    Sl_RECORD_OTHER,      /* not used by routers */
    Sl_RECORD_UNREADABLE, /* cannot be decoded; `err` has the reason */
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
    int64_t slots;
    int64_t cold_us;       /* remaining time of its cold start; 0: warm */
    int64_t start_wall_ms; /* wall clock at its start; 0: not given */
    uint64_t sequence;     /* grows with each heartbeat */
    bool draining;
};

/* An operator's order to move a service's traffic to a version. */
struct sl_rollout_order {
    struct sl_name service;
    struct sl_name version;
    int64_t duration_us; /* time in which to complete it */
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
    bool dropped;
    enum sl_record_type type;
    union {
        struct sl_routing *routing; /* borrowed */
        struct sl_rollout_order rollout;
        struct sl_name evacuated; /* failure domain that gets no requests */
        struct sl_registration upstream;
        struct sl_rollout_status status;
        struct sl_member member;
        struct sl_error err;
    } u;
};

/* ---- 3. Requests ------------------------------------------------------ */

/* Prompt parts kept of a request; all further ones count as a single part. */
#define Sl_MAX_PROMPT_PARTS 16

struct sl_prompt_part {
    uint64_t id;
    int64_t tokens;
};

/* A client's request, decoded. Absent fields are empty or 0. */
struct sl_incoming_request {
    uint64_t conn;
    struct sl_str id; /* differs between attempts of the client */
    struct sl_str method;
    struct sl_str target;
    struct sl_str host;
    struct sl_str key;
    struct sl_str model;
    struct sl_str session;
    int64_t deadline_us; /* from its arrival; 0: none */
    int64_t last_event;  /* resume after this event; -1: from the start */
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
    bool is_stamped;     /* it has the upstream's signature */
    bool not_executed;   /* the upstream states that the request did not run */
    bool wrong_instance; /* another upstream has this address */
    bool is_events;
    bool has_load;
    int64_t running;
    int64_t waiting;
    int64_t slots;
    int confidence;              /* 0 to 100; -1: not given */
    bool is_leaving;             /* the upstream will soon refuse requests */
    int64_t retry_after_us;      /* 0: not given */
    bool retry_after_is_invalid; /* Retry-After was given, but is unusable */
    int64_t cold_us;             /* remaining cold start; -1: not given */
    struct sl_str headers;       /* to forward, as "Name: value\r\n" lines */
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
    Sl_ROUTER_EVENT_RESPONSE_DONE,  /* u.response; `err` is NULL for a complete
                                       one */
    Sl_ROUTER_EVENT_HEALTH_CHECKED, /* u.health_check: a check has ended */
    Sl_ROUTER_EVENT_FEED_READ,      /* u.feed: result of a read, or `err` */
    Sl_ROUTER_EVENT_APPENDED,  /* u.appended: result of an append, or `err` */
    Sl_ROUTER_EVENT_GOSSIP,    /* u.gossip: a peer's digest */
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
            uint64_t token;
            const struct sl_response_head *head;
            struct sl_str bytes;
            bool connected; /* DONE: if false, nothing was sent */
        } response;
        struct {
            uint64_t token;
            bool is_reached; /* a connection to the upstream was made */
        } health_check;
        struct {
            enum sl_feed feed;
            bool snapshot; /* the newest record of every key */
            /* PULLED: the peer knows all drops of keys from this offset. */
            uint64_t complete_from;
            bool truncated; /* the store has removed records since `from` */
            uint64_t next_offset; /* offset of the next record */
            size_t count;
            const struct sl_record *records;
        } feed;
        struct {
            uint64_t token;
            bool conflict; /* the topic no longer ended at
                              `expected_next_offset` */
            uint64_t next_offset;
        } appended;
        const struct sl_gossip_digest *gossip;
        struct {
            size_t count;
            const struct sl_member *members;
        } peer_list;
        struct {
            uint64_t conn; /* of the peer */
            enum sl_feed feed;
            uint64_t from;
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
    /* u.gossip: send a digest to several peers */
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
    /* all work is finished: exit the process */
    Sl_ROUTER_EFFECT_EXIT,
};

struct sl_router_effect_call {
    uint64_t token;
    struct sl_name upstream; /* the only instance that may run it */
    struct sl_name address;
    struct sl_str request_id;
    struct sl_str method;
    struct sl_str target;
    struct sl_str headers; /* of the client's request */
    struct sl_str body;
    struct sl_str model; /* empty: none */
    struct sl_name team; /* empty: none */
    int64_t deadline_us; /* from now */
    int64_t last_event;  /* -1: none */
    int64_t priority;    /* -1: none; 0 is the most urgent */
    bool fresh_connection;
    int64_t connect_timeout_us;
};

struct sl_router_effect_reply {
    uint64_t conn;
    int status;
    struct sl_str headers;
    struct sl_str body;
    /* Responses of the router itself, which leave `headers` and `body`
     * empty and are described by the following fields. */
    bool is_own;
    const char *step;
    const char *reason;
    const char *outcome; /* "not-run" or "unknown" */
    int64_t retry_after_us;
};

struct sl_router_effect {
    enum sl_router_effect_type type;
    union {
        struct sl_router_effect_call call;
        uint64_t token;
        struct {
            uint64_t token;
            struct sl_name upstream;
            struct sl_name address;
            int64_t timeout_us;
        } health_check;
        struct sl_router_effect_reply reply;
        struct {
            uint64_t conn;
            struct sl_str bytes;
        } chunk;
        uint64_t conn;
        struct sl_client_limits limits;
        struct {
            enum sl_feed feed;
            uint64_t from;
            int64_t wait_us;
        } read;
        struct {
            enum sl_feed feed;
            uint64_t token;
            bool conditional; /* only if the topic ends at
                                 `expected_next_offset` */
            uint64_t expected_next_offset;
            struct sl_record record; /* STATUS or MEMBER; key not set */
        } append;
        struct {
            const struct sl_gossip_digest *digest;
            size_t count;
            const struct sl_name *const *addresses;
        } gossip;
        struct {
            struct sl_name address;
            size_t count;
            const struct sl_member *members; /* most important first */
        } peer_list;
        struct {
            struct sl_name address;
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

struct sl_router_effects *SlRouterEffects_New(void);
void SlRouterEffects_Free(struct sl_router_effects *effects);
void SlRouterEffects_Clear(struct sl_router_effects *effects);
size_t SlRouterEffects_Count(const struct sl_router_effects *effects);
const struct sl_router_effect *
SlRouterEffects_At(const struct sl_router_effects *effects, size_t index);

/* ---- 6. State --------------------------------------------------------- */

/* Returns true if the process may get new connections of clients. */
bool SlRouter_IsReady(const struct sl_router *router);
/* Returns the definitions of all metrics, in static memory. */
const struct sl_metric_def *SlRouter_Metrics(size_t *count);
/* Appends the metrics in the Prometheus text format. */
void SlRouter_MetricsText(struct sl_router *router, struct sl_buf *out);
/* Counts log lines that the runtime has not written since the last call;
 * `reason` is "sampled" or "full". */
void SlRouter_CountOmittedLogLines(struct sl_router *router,
                                   const char *reason, uint64_t lines);
/* Appends the state as one JSON object: configuration, queues by service,
 * upstreams, roll-outs and peers. */
void SlRouter_Dump(struct sl_router *router, struct sl_buf *out);

#endif
