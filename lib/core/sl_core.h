/*
 * sl_core: the reducers of the two roles, entry and agent.
 *
 * A process of the system is one `struct sl_core`. Everything that happens to
 * it arrives as an event, through SlCore_Reduce(); everything it does leaves
 * as effects, which the caller carries out. Time, random seeds and the
 * results of I/O are part of events, so that equal events give equal effects.
 *
 * Sections, from simple to advanced:
 *   1. Core      create, reduce, ask when the next timer is due
 *   2. Events    what can happen
 *   3. Effects   what a process does
 *   4. State     ready, counters, the state dump
 */
#ifndef Sl_CORE_H
#define Sl_CORE_H

#include "sl_policy.h"
#include "sl_wire.h"

/* ---- 1. Core ---------------------------------------------------------- */

struct sl_core;
struct sl_event;
struct sl_effects;

struct sl_core_options {
    enum sl_role role;
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name upstream; /* agents only: the upstream beside it */
    bool rates;              /* entries only: there is a rating service */
    int64_t drain_grace_us;  /* entries only: see Sl_EV_DRAIN */
    uint64_t boot;           /* random, never 0; differs at every start */
    uint64_t seed;           /* of the random generator */
    int64_t now_us;          /* monotonic */
    int64_t wall_ms;         /* since the epoch */
    /* NULL: the rules in use. Baselines are set by benches. */
    const struct sl_chooser *chooser;
    const struct sl_cascade_rule *cascade;
};

struct sl_core *SlCore_New(const struct sl_core_options *options);
void SlCore_Free(struct sl_core *core);
/* Appends to `effects` what the process does about `event`. Timers that are
 * due at the event's time run first. Views in effects stay valid until the
 * next call, and as long as the event's own memory. */
void SlCore_Reduce(struct sl_core *core, const struct sl_event *event,
                   struct sl_effects *effects);
/* Time at which a Sl_EV_TICK is wanted, or Sl_NEVER_US. */
int64_t SlCore_NextDue(const struct sl_core *core);

/* ---- 2. Events -------------------------------------------------------- */

enum sl_stream {
    Sl_STREAM_CONFIG,
    Sl_STREAM_SNAPSHOTS,
    Sl_STREAM_BILLS,
};

/* Name of the stream in the log service. */
const char *SlStream_Name(enum sl_stream stream);

enum sl_event_type {
    Sl_EV_TICK, /* only time has passed */
    /* Leave: say so in readiness, finish the work. An entry takes requests
     * for `drain_grace_us` more, until the balancer has seen it. */
    Sl_EV_DRAIN,
    Sl_EV_PEER_UP,           /* a connection is up and its hello has come */
    Sl_EV_PEER_DOWN,         /* a connection closed or could not be made */
    Sl_EV_MESSAGE,           /* a message of a peer that is up */
    Sl_EV_HTTP_REQUEST,      /* a caller's whole request */
    Sl_EV_HTTP_DISCONNECTED, /* a caller closed before its answer ended */
    Sl_EV_LOG_READ,          /* the answer to Sl_FX_LOG_READ */
    Sl_EV_LOG_APPENDED,      /* the answer to Sl_FX_LOG_APPEND */
    Sl_EV_VMS,               /* the answer to Sl_FX_VMS_READ */
    Sl_EV_CALL_HEAD,         /* the upstream's answer to a call begins */
    Sl_EV_CALL_CHUNK,        /* next bytes of it */
    Sl_EV_CALL_DONE,         /* it is whole, or failed */
    Sl_EV_LOAD,              /* the answer to Sl_FX_LOAD_READ */
    Sl_EV_ORDER_DONE,        /* the answer to Sl_FX_ORDER */
    Sl_EV_RATED,             /* the answer to Sl_FX_RATE */
};

/* A caller's request as it came; absent headers are empty. */
struct sl_http_request {
    uint64_t conn; /* caller's connection, chosen by the shell */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str team;     /* Sassafras-Team */
    struct sl_str session;  /* Sassafras-Session */
    struct sl_str kind;     /* Sassafras-Kind */
    struct sl_str key;      /* Idempotency-Key */
    struct sl_str issued;   /* Sassafras-Issued, ms since the epoch */
    struct sl_str deadline; /* Sassafras-Deadline-Ms */
    struct sl_str body;
};

struct sl_event {
    enum sl_event_type type;
    int64_t now_us;  /* monotonic */
    int64_t wall_ms; /* since the epoch */
    /* NULL on success; for PEER_DOWN, LOG_*, VMS, CALL_DONE, LOAD,
     * ORDER_DONE and RATED. */
    const struct sl_error *err;
    union {
        struct {
            uint64_t peer;
            const struct sl_msg *msg; /* PEER_UP: the hello */
        } peer;
        struct sl_http_request http;
        uint64_t conn; /* HTTP_GONE */
        struct {
            enum sl_stream stream;
            const struct sl_log_page *page;
        } read;
        struct {
            uint64_t token;
            uint64_t first; /* offset of the first record */
        } appended;
        struct {
            const struct sl_vm *vms;
            size_t count;
        } vms;
        struct {
            uint64_t token;
            uint64_t status; /* CALL_HEAD */
            struct sl_str content_type;
            struct sl_str bytes;    /* CALL_PIECE */
            uint64_t tokens;        /* CALL_DONE */
            int64_t retry_after_us; /* CALL_DONE, 0 when not given */
        } call;
        const struct sl_load_report *load;
        struct {
            uint64_t token;
            double score;
        } rated;
    } u;
};

/* ---- 3. Effects ------------------------------------------------------- */

enum sl_effect_type {
    Sl_FX_CONNECT,    /* to u.connect.address; answer: PEER_UP or _DOWN */
    Sl_FX_DISCONNECT, /* u.peer; no PEER_DOWN follows */
    Sl_FX_SEND,       /* u.send */
    Sl_FX_HTTP_HEAD,  /* u.head: status line and headers to a caller */
    Sl_FX_HTTP_BODY,  /* u.body: next bytes of the answer */
    Sl_FX_HTTP_END,   /* u.conn: the answer is whole */
    Sl_FX_HTTP_ABORT, /* u.conn: close, so that the caller sees a cut */
    Sl_FX_HTTP_STOP_ACCEPTING, /* accept no more connections of callers */
    Sl_FX_LOG_READ,            /* u.read */
    Sl_FX_LOG_APPEND,          /* u.append */
    Sl_FX_VMS_READ,
    Sl_FX_CALL,        /* u.call: to the upstream */
    Sl_FX_CALL_CANCEL, /* u.token; no further event of that call */
    Sl_FX_LOAD_READ,
    Sl_FX_ORDER,    /* u.order */
    Sl_FX_RATE,     /* u.rate */
    Sl_FX_LOG_LINE, /* u.line */
    Sl_FX_EXIT,     /* all work is finished; leave */
};

struct sl_fx_head {
    uint64_t conn;
    uint64_t status;
    struct sl_str content_type;
    enum sl_outcome outcome;
    struct sl_name request;
    struct sl_name version; /* empty when none ran */
    int64_t retry_after_us; /* 0: no Retry-After */
};

struct sl_fx_call {
    uint64_t token;
    struct sl_name request;
    struct sl_name version;
    struct sl_name key;
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str body;
    int64_t priority;
    int64_t timeout_us;
    bool idempotent;
};

struct sl_effect {
    enum sl_effect_type type;
    union {
        struct {
            uint64_t peer;
            struct sl_name address;
        } connect;
        uint64_t peer;
        struct {
            uint64_t peer;
            const struct sl_msg *msg;
        } send;
        struct sl_fx_head head;
        struct {
            uint64_t conn;
            struct sl_str bytes;
        } body;
        uint64_t conn;
        struct {
            enum sl_stream stream;
            uint64_t from;
            size_t max;
        } read;
        struct {
            enum sl_stream stream;
            uint64_t token;
            struct sl_str records; /* JSON array of objects */
        } append;
        struct sl_fx_call call;
        uint64_t token;
        struct sl_order order;
        struct {
            uint64_t token;
            struct sl_name version;
            struct sl_name kind;
            struct sl_str answer;
        } rate;
        struct {
            enum sl_log_level level;
            uint64_t request; /* sequence number, 0 when there is none */
            const struct sl_error *err; /* may be NULL */
            const char *text;
        } line;
    } u;
};

struct sl_effects *SlEffects_New(void);
void SlEffects_Free(struct sl_effects *effects);
void SlEffects_Clear(struct sl_effects *effects);
size_t SlEffects_Count(const struct sl_effects *effects);
const struct sl_effect *SlEffects_At(const struct sl_effects *effects,
                                     size_t index);
/* One line of text for scripted runs, such as "send 2 run". */
void SlEffect_Print(const struct sl_effect *effect, struct sl_buf *out);

/* ---- 4. State --------------------------------------------------------- */

/* May it take work? When not, `reason` (not NULL) says why. */
bool SlCore_IsReady(const struct sl_core *core, int64_t now_us,
                    struct sl_error *reason);
struct sl_counters *SlCore_Counters(struct sl_core *core);
/* Appends the state as one JSON object. */
void SlCore_Dump(const struct sl_core *core, int64_t now_us,
                 struct sl_buf *out);
const struct sl_config *SlCore_Config(const struct sl_core *core);
/* The random number of this start. */
uint64_t SlCore_Boot(const struct sl_core *core);

#endif
