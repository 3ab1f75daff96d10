/*
 * sl_router: the reducer of a router, an entry that calls its upstreams
 * itself.
 *
 * One `struct sl_router` is one process. Everything that happens to it comes
 * as an event through SlRouter_Reduce(); everything it does leaves as
 * effects, which the caller carries out. Time, seeds and results of I/O are
 * part of events, so that equal events give equal effects.
 *
 * Sections, from simple to advanced:
 *   1. Router    create, reduce, ask when the next timer is due
 *   2. Records   what the store holds, decoded
 *   3. Requests  what callers ask, and what upstreams answer
 *   4. Events    what can happen
 *   5. Effects   what a process does
 *   6. State     ready, measures, the state dump
 */
#ifndef Sl_ROUTER_H
#define Sl_ROUTER_H

#include "sl_gossip.h"
#include "sl_routing.h"

/* ---- 1. Router -------------------------------------------------------- */

struct sl_router;
struct sl_router_event;
struct sl_router_effects;

/* Bounds that the deployment sets; they bind the fleet as a whole. */
struct sl_bounds {
    int64_t drain_us;   /* no new work after a leaving mark */
    int64_t grace_us;   /* from SIGTERM to SIGKILL */
    double retry_ratio; /* repeats a request, over the window */
    double retry_extra; /* and this many more */
    int64_t retry_window_us;
    double exposure_share; /* of a service's requests, to a bad version */
    double exposure_extra;
    int64_t rollback_us;   /* from the evidence to the last request */
    double cold_overshoot; /* times the cold rate, in one second */
    double cold_extra;
    int64_t session_us;   /* a session ends after so long */
    int64_t reuse_us;     /* an address may serve another after so long */
    int64_t heartbeat_us; /* between an upstream's registrations */
    int64_t contact_us;   /* silence after which a peer is out of touch */
};

/* Failure domains of one deployment that a router knows the regions of. */
#define Sl_MAX_DOMAINS 32

struct sl_domain {
    struct sl_name name;
    struct sl_name region;
};

/* Routers that a new one asks for the others. */
#define Sl_MAX_SEEDS 3

struct sl_router_options {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name region;
    size_t domain_count;
    struct sl_domain domains[Sl_MAX_DOMAINS];
    struct sl_name peer_address; /* "IP:PORT" at which peers reach us */
    size_t seed_count;
    struct sl_name seeds[Sl_MAX_SEEDS]; /* the same of some others */
    bool is_first_start; /* all routers start: there is time to wait */
    struct sl_bounds bounds;
    size_t max_buffered_bytes; /* of answers in hand; 0: no bound */
    uint64_t boot;             /* random, never 0; differs at every start */
    uint64_t seed;             /* of the random generator */
    int64_t now_us;
};

struct sl_router *SlRouter_New(const struct sl_router_options *options);
void SlRouter_Free(struct sl_router *router);
/* Appends to `effects` what the process does about `event`. Timers that are
 * due at the event's time run first. Views in effects stay valid until the
 * next call. */
void SlRouter_Reduce(struct sl_router *router,
                     const struct sl_router_event *event,
                     struct sl_router_effects *effects);
/* Time at which a Sl_REV_TICK is wanted, or Sl_NEVER_US. */
int64_t SlRouter_NextDue(const struct sl_router *router);

/* ---- 2. Records ------------------------------------------------------- */

/* Topics of the store that a router follows. Each holds one newest record
 * for a key; offsets order all its changes. */
enum sl_feed {
    Sl_FEED_OPERATORS, /* configuration, orders */
    Sl_FEED_UPSTREAMS, /* registrations */
    Sl_FEED_STATUS,    /* our answers to orders */
    Sl_FEED_MEMBERS,   /* routers of the fleet */
    Sl_FEED_COUNT,
};

const char *SlFeed_Name(enum sl_feed feed);

enum sl_record_type {
    Sl_RECORD_OTHER,      /* of no use to a router */
    Sl_RECORD_UNREADABLE, /* cannot be read; the reason stands in `err` */
    Sl_RECORD_ROUTING,
    Sl_RECORD_ROLLOUT,
    Sl_RECORD_EVACUATION,
    Sl_RECORD_UPSTREAM,
    Sl_RECORD_STATUS,
    Sl_RECORD_MEMBER,
};

/* What an upstream says of itself. */
struct sl_registration {
    struct sl_name id; /* of this start, mostly */
    struct sl_name service;
    struct sl_name address;
    struct sl_name domain;
    struct sl_name version; /* of its software */
    int64_t slots;
    int64_t cold_us;       /* it stays cold for so long from now; 0: warm */
    int64_t start_wall_ms; /* wall clock of its start; 0: not given */
    uint64_t sequence;     /* grows with each heartbeat */
    bool draining;
};

/* An order to move a service's traffic to a version. */
struct sl_rollout_order {
    struct sl_name service;
    struct sl_name version;
    int64_t duration_us; /* to be done in this time */
};

enum sl_rollout_state {
    Sl_ROLLOUT_RUNNING,
    Sl_ROLLOUT_COMPLETED,
    Sl_ROLLOUT_ROLLED_BACK,
};

struct sl_rollout_status {
    struct sl_name service;
    struct sl_name version;
    enum sl_rollout_state state;
    uint64_t order;   /* offset of the order that it answers */
    bool ramped;      /* the share of the target grows, or is whole */
    int64_t began_ms; /* wall clock at which it was first seen */
};

/* A router of the fleet. */
struct sl_record {
    uint64_t offset;
    struct sl_str key;
    struct sl_str value; /* as stored; empty when the key was dropped */
    bool dropped;
    enum sl_record_type type;
    union {
        struct sl_routing *routing; /* borrowed */
        struct sl_rollout_order rollout;
        struct sl_name evacuated; /* failure domain */
        struct sl_registration upstream;
        struct sl_rollout_status status;
        struct sl_member member;
        struct sl_error err;
    } u;
};

/* ---- 3. Requests ------------------------------------------------------ */

/* Parts of one prompt that are told apart; the rest counts as one. */
#define Sl_MAX_PROMPT_PARTS 16

struct sl_prompt_part {
    uint64_t id;
    int64_t tokens;
};

/* A caller's request, decoded. Absent fields are empty or 0. */
struct sl_incoming_request {
    uint64_t conn;
    struct sl_str id; /* of the caller's attempt */
    struct sl_str method;
    struct sl_str target;
    struct sl_str host;
    struct sl_str key;
    struct sl_str model;
    struct sl_str session;
    int64_t deadline_us; /* from its arrival; 0: none */
    int64_t last_event;  /* resumes after this event; -1: from the start */
    int64_t prompt_tokens;
    int64_t output_tokens;
    int64_t expected_output_tokens; /* the caller's estimate */
    size_t part_count;
    struct sl_prompt_part parts[Sl_MAX_PROMPT_PARTS];
    struct sl_str headers; /* to be passed on, as "Name: value\r\n" lines */
    struct sl_str body;
};

/* The head of an upstream's answer, decoded. */
struct sl_response_head {
    int status;
    bool is_stamped;     /* it bears the upstream's signature */
    bool not_executed;   /* the upstream says that it did not run */
    bool wrong_instance; /* another upstream has this address */
    bool is_events;
    bool has_load;
    int64_t running;
    int64_t waiting;
    int64_t slots;
    int confidence;              /* 0 to 100; -1: not given */
    bool is_leaving;             /* the upstream takes nothing new soon */
    int64_t retry_after_us;      /* 0: not given */
    bool retry_after_is_invalid; /* it was given, and cannot be used */
    int64_t cold_us;             /* -1: not given */
    struct sl_str headers; /* to be passed on, as "Name: value\r\n" lines */
};

/* ---- 4. Events -------------------------------------------------------- */

enum sl_router_event_type {
    Sl_REV_TICK,          /* only time has passed */
    Sl_REV_DRAIN,         /* leave: say so in readiness, finish the work */
    Sl_REV_BOUNDS,        /* u.bounds: the settings were read again */
    Sl_REV_REQUEST,       /* u.ask */
    Sl_REV_CLIENT_GONE,   /* u.conn */
    Sl_REV_RESPONSE_HEAD, /* u.answer */
    Sl_REV_RESPONSE_CHUNK,
    Sl_REV_RESPONSE_DONE,  /* `err` is NULL when the answer is whole */
    Sl_REV_HEALTH_CHECKED, /* u.checked: a health check has ended */
    Sl_REV_FEED_READ,      /* u.feed: answer to a read, or `err` */
    Sl_REV_APPENDED,       /* u.appended, or `err` */
    Sl_REV_GOSSIP,         /* u.gossip: a peer's digest */
    Sl_REV_PEER_LIST,      /* u.introduced: a peer names others */
    Sl_REV_PULL,           /* u.pull: a peer asks for records */
    Sl_REV_PULLED,         /* u.feed: a peer's answer to a pull, or `err` */
};

struct sl_router_event {
    enum sl_router_event_type type;
    int64_t now_us;  /* steady, counts time spent suspended */
    int64_t wall_ms; /* since the epoch; may jump */
    const struct sl_error *err;
    union {
        struct sl_bounds bounds;
        struct sl_incoming_request ask;
        uint64_t conn;
        struct {
            uint64_t token;
            const struct sl_response_head *head;
            struct sl_str bytes;
            bool connected; /* DONE: false proves that nothing was sent */
        } answer;
        struct {
            uint64_t token;
            bool is_reached; /* a connection to the upstream was made */
        } checked;
        struct {
            enum sl_feed feed;
            bool snapshot; /* the newest of each key; all of them */
            /* PULLED: the peer knows of drops of keys from there on. */
            uint64_t complete_from;
            bool truncated; /* records from `from` on are gone */
            uint64_t end;   /* offset of the next record */
            size_t count;
            const struct sl_record *records;
        } feed;
        struct {
            uint64_t token;
            bool conflict; /* the topic had grown */
            uint64_t end;
        } appended;
        const struct sl_gossip *gossip;
        struct {
            size_t count;
            const struct sl_member *members;
        } introduced;
        struct {
            uint64_t conn; /* of the peer */
            enum sl_feed feed;
            uint64_t from;
        } pull;
    } u;
};

/* ---- 5. Effects ------------------------------------------------------- */

enum sl_router_effect_type {
    Sl_RFX_CALL,           /* u.call; answers: ANSWER_* */
    Sl_RFX_CANCEL_CALL,    /* u.token; no further event of that call */
    Sl_RFX_HEALTH_CHECK,   /* u.check: connect, and close; answer: CHECKED */
    Sl_RFX_REPLY,          /* u.reply: a whole answer */
    Sl_RFX_REPLY_BEGIN,    /* u.reply: an answer of unknown length begins */
    Sl_RFX_REPLY_CHUNK,    /* u.send */
    Sl_RFX_REPLY_END,      /* u.conn: the answer is whole */
    Sl_RFX_REPLY_ABORT,    /* u.conn: close, so that the caller sees a cut */
    Sl_RFX_CLIENT_LIMITS,  /* u.limits: of callers */
    Sl_RFX_READ_SNAPSHOT,  /* u.read: all keys; answer: FEED */
    Sl_RFX_READ_FROM,      /* u.read: records from `from`; answer: FEED */
    Sl_RFX_CANCEL_READ,    /* u.read.feed: no answer to its read any more */
    Sl_RFX_APPEND,         /* u.append; answer: APPENDED */
    Sl_RFX_SEND_DIGEST,    /* u.gossip: a digest to several peers */
    Sl_RFX_SEND_PEER_LIST, /* u.introduce: names others to a peer */
    Sl_RFX_PULL,           /* u.pull: ask a peer for records; answer: PULLED */
    Sl_RFX_SEND_PAGE,      /* u.page: answer to a peer's pull */
    Sl_RFX_LOG,            /* u.line */
    Sl_RFX_CLOSE_CONNS,    /* answers end with their connection from now on */
    Sl_RFX_STOP_ACCEPTING,
    Sl_RFX_EXIT, /* all work is finished; leave */
};

struct sl_fx_upstream_call {
    uint64_t token;
    struct sl_name upstream; /* instance that must answer */
    struct sl_name address;
    struct sl_str request_id;
    struct sl_str method;
    struct sl_str target;
    struct sl_str headers; /* the caller's */
    struct sl_str body;
    struct sl_str model; /* empty: none */
    struct sl_name team; /* empty: none */
    int64_t deadline_us; /* from now */
    int64_t last_event;  /* -1: none */
    int64_t priority;    /* -1: none; 0 is the most urgent */
    bool fresh_connection;
    int64_t connect_timeout_us;
};

struct sl_fx_reply {
    uint64_t conn;
    int status;
    struct sl_str headers;
    struct sl_str body;
    /* Answers of our own, which carry `headers` and `body` of none: */
    bool is_own;
    const char *step;
    const char *reason;
    const char *outcome; /* "not-run" or "unknown" */
    int64_t retry_after_us;
};

struct sl_router_effect {
    enum sl_router_effect_type type;
    union {
        struct sl_fx_upstream_call call;
        uint64_t token;
        struct {
            uint64_t token;
            struct sl_name upstream;
            struct sl_name address;
            int64_t timeout_us;
        } check;
        struct sl_fx_reply reply;
        struct {
            uint64_t conn;
            struct sl_str bytes;
        } send;
        uint64_t conn;
        struct sl_caller_limits limits;
        struct {
            enum sl_feed feed;
            uint64_t from;
            int64_t wait_us;
        } read;
        struct {
            enum sl_feed feed;
            uint64_t token;
            bool conditional; /* only if the topic ends at `at` */
            uint64_t at;
            struct sl_record record; /* STATUS or MEMBER; key not set */
        } append;
        struct {
            const struct sl_gossip *digest;
            size_t count;
            const struct sl_name *const *addresses;
        } gossip;
        struct {
            struct sl_name address;
            size_t count;
            const struct sl_member *members; /* most wanted first */
        } introduce;
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
            uint64_t request; /* differs between requests; 0: of none */
            enum sl_log_end end;
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

/* May it take new connections? */
bool SlRouter_IsReady(const struct sl_router *router);
/* What it measures, a definition each; static. */
const struct sl_metric_def *SlRouter_Metrics(size_t *count);
/* Appends the measures as Prometheus text. */
void SlRouter_MetricsText(struct sl_router *router, struct sl_buf *out);
/* The shell has left out log lines since the last call; `reason` is "sampled"
 * or "full". */
void SlRouter_CountOmittedLogLines(struct sl_router *router,
                                   const char *reason, uint64_t lines);
/* Appends the state as one JSON object: configuration, queues by service,
 * upstreams, roll-outs, peers. */
void SlRouter_Dump(struct sl_router *router, struct sl_buf *out);

#endif
