/*
 * sl_core: the reducers of the two roles, entry and agent.
 *
 * An entry accepts clients' requests and sends each one to an agent. An agent
 * runs on the VM of an upstream, and all requests to that upstream go through
 * it. Both follow the configuration, a stream of records in the log service.
 *
 * Each process has one `struct sl_core`. All input reaches it as events,
 * through SlCore_Reduce(); all output is a list of effects, which the runtime
 * carries out. The core does no I/O and reads no clock: time, random seeds and
 * the results of I/O are part of the events, so that the same sequence of
 * events always gives the same effects.
 *
 * Sections, from simple to advanced:
 *   1. Core      create, reduce, time of the next timer
 *   2. Events    input of a process
 *   3. Effects   output of a process
 *   4. State     readiness, counters, the state dump
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
    struct sl_name vm;       /* the VM that this process runs on */
    struct sl_name domain;   /* the VM's failure domain */
    struct sl_name upstream; /* agents only: the upstream on the same VM */
    bool has_rating_service; /* entries only: a rating service is available */
    int64_t drain_grace_us;  /* entries only: see Sl_EVENT_DRAIN */
    /* Random number other than 0, new at every start: tells this process from
     * former ones on the same VM. */
    uint64_t boot;
    uint64_t seed;   /* of the random generator */
    int64_t now_us;  /* monotonic clock */
    int64_t wall_ms; /* wall clock, since the epoch */
    /* Entries only; NULL for the default policies. Benchmarks set simpler
     * policies here, to compare the default ones with them. */
    const struct sl_balancer *balancer;
    const struct sl_cascade_policy *cascade;
};

/* Creates the state of a process. The caller frees the result with
 * SlCore_Free(). The effects of the start are returned by the first
 * SlCore_Reduce(). */
struct sl_core *SlCore_New(const struct sl_core_options *options);
/* Accepts NULL. */
void SlCore_Free(struct sl_core *core);
/* Handles `event` and appends the resulting effects to `effects`. Timers that
 * are due at the event's time run first; `event->now_us` must not be earlier
 * than that of the previous event. What the core keeps of the event is copied.
 * Pointers in the effects stay valid until the next call, or until the memory
 * of `event` is freed if that is sooner. */
void SlCore_Reduce(struct sl_core *core, const struct sl_event *event,
                   struct sl_effects *effects);
/* Monotonic time at which the next timer is due and the runtime must send an
 * Sl_EVENT_TICK; Sl_NEVER_US when no timer is set. */
int64_t SlCore_NextDueUs(const struct sl_core *core);

/* ---- 2. Events -------------------------------------------------------- */

/* Streams of the log service that a core reads or appends to. */
enum sl_stream {
    Sl_STREAM_CONFIG,    /* records that make up the configuration */
    Sl_STREAM_SNAPSHOTS, /* the whole configuration at an offset */
    Sl_STREAM_BILLS,     /* bills of the requests that ran */
};

/* Name of the stream in the log service. */
const char *SlStream_Name(enum sl_stream stream);

enum sl_event_type {
    Sl_EVENT_TICK, /* no input; only runs due timers */
    /* Shut down gracefully: report not ready and finish the work in progress.
     * An entry accepts requests for `drain_grace_us` more, because the load
     * balancer in front of it notices the change of readiness late. */
    Sl_EVENT_DRAIN,
    Sl_EVENT_PEER_UP,           /* connected, and the peer's hello received */
    Sl_EVENT_PEER_DOWN,         /* a connection closed, or connecting failed */
    Sl_EVENT_MESSAGE,           /* a message from a connected peer */
    Sl_EVENT_HTTP_REQUEST,      /* a client's complete request */
    Sl_EVENT_HTTP_DISCONNECTED, /* a client closed before its response ended */
    Sl_EVENT_LOG_READ,          /* result of Sl_EFFECT_LOG_READ */
    Sl_EVENT_LOG_APPENDED,      /* result of Sl_EFFECT_LOG_APPEND */
    Sl_EVENT_VMS,               /* result of Sl_EFFECT_VMS_READ */
    Sl_EVENT_CALL_HEAD,  /* status and headers of Sl_EFFECT_CALL's response */
    Sl_EVENT_CALL_CHUNK, /* next bytes of that response's body */
    Sl_EVENT_CALL_DONE,  /* the call is complete, or failed */
    Sl_EVENT_LOAD,       /* result of Sl_EFFECT_LOAD_READ */
    Sl_EVENT_ORDER_DONE, /* result of Sl_EFFECT_ORDER */
    Sl_EVENT_RATED,      /* result of Sl_EFFECT_RATE */
};

/* A client's request as received. Absent headers are empty strings. */
struct sl_http_request {
    uint64_t conn; /* client connection, numbered by the runtime; not 0 */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str team;     /* Sassafras-Team */
    struct sl_str session;  /* Sassafras-Session */
    struct sl_str kind;     /* Sassafras-Kind */
    struct sl_str key;      /* Idempotency-Key */
    struct sl_str issued;   /* Sassafras-Issued, ms since the epoch */
    struct sl_str deadline; /* Sassafras-Deadline-Ms, ms from now */
    struct sl_str body;
};

struct sl_event {
    enum sl_event_type type;
    int64_t now_us;  /* monotonic clock */
    int64_t wall_ms; /* wall clock, since the epoch */
    /* NULL on success. Set only for PEER_DOWN, LOG_*, VMS, CALL_DONE, LOAD,
     * ORDER_DONE and RATED. */
    const struct sl_error *err;
    /* Each `token` is that of the effect whose result this is. */
    union {
        /* PEER_UP, PEER_DOWN, MESSAGE */
        struct {
            uint64_t peer;            /* connection id; see connect below */
            const struct sl_msg *msg; /* PEER_UP: the hello; MESSAGE */
        } peer;
        struct sl_http_request http; /* HTTP_REQUEST */
        uint64_t conn;               /* HTTP_DISCONNECTED */
        /* LOG_READ */
        struct {
            enum sl_stream stream;
            const struct sl_log_page *page;
        } read;
        /* LOG_APPENDED */
        struct {
            uint64_t token;
            uint64_t first_offset; /* offset of the first appended record */
        } appended;
        /* VMS */
        struct {
            const struct sl_vm *vms;
            size_t count;
        } vms;
        /* CALL_HEAD, CALL_CHUNK, CALL_DONE */
        struct {
            uint64_t token;
            uint64_t status;            /* CALL_HEAD */
            struct sl_str content_type; /* CALL_HEAD */
            struct sl_str bytes;        /* CALL_CHUNK */
            uint64_t tokens;            /* CALL_DONE: as the upstream counts */
            int64_t retry_after_us;     /* CALL_DONE; 0 without Retry-After */
        } call;
        const struct sl_load_report *load; /* LOAD */
        /* RATED */
        struct {
            uint64_t token;
            double score; /* 0 to 1, compared with the target quality */
        } rated;
    } u;
};

/* ---- 3. Effects ------------------------------------------------------- */

enum sl_effect_type {
    Sl_EFFECT_CONNECT,    /* u.connect; PEER_UP or PEER_DOWN follows */
    Sl_EFFECT_DISCONNECT, /* u.peer; no PEER_DOWN follows */
    Sl_EFFECT_SEND,       /* u.send: a message to a peer */
    Sl_EFFECT_HTTP_HEAD,  /* u.head: status line and headers to a client */
    Sl_EFFECT_HTTP_BODY,  /* u.body: next bytes of the response */
    Sl_EFFECT_HTTP_END,   /* u.conn: the response is complete */
    /* u.conn: close the connection in mid-response, so that the client
     * detects that the response is truncated. */
    Sl_EFFECT_HTTP_ABORT,
    Sl_EFFECT_HTTP_STOP_ACCEPTING, /* accept no more client connections */
    Sl_EFFECT_LOG_READ,            /* u.read: read records of a stream */
    Sl_EFFECT_LOG_APPEND,          /* u.append: append records to a stream */
    Sl_EFFECT_VMS_READ,            /* read the list of VMs */
    Sl_EFFECT_CALL,                /* u.call: request to the upstream */
    Sl_EFFECT_CALL_CANCEL,         /* u.token; no event of that call follows */
    Sl_EFFECT_LOAD_READ,           /* read the upstream's load report */
    Sl_EFFECT_ORDER,               /* u.order: load or unload a version */
    Sl_EFFECT_RATE,                /* u.rate: have an answer rated */
    Sl_EFFECT_LOG_LINE,            /* u.line: write to the process's log */
    Sl_EFFECT_EXIT,                /* all work is finished; exit the process */
};

/* Status line and headers of a response to a client. */
struct sl_effect_http_head {
    uint64_t conn;
    uint64_t status;
    struct sl_str content_type;
    enum sl_outcome outcome;
    struct sl_name request; /* id; empty if the request was not accepted */
    struct sl_name version; /* empty when no version ran */
    int64_t retry_after_us; /* 0: no Retry-After */
};

/* A request to the upstream. */
struct sl_effect_call {
    uint64_t token;
    struct sl_name request; /* id */
    struct sl_name version; /* empty for plain services */
    struct sl_name key;     /* the client's Idempotency-Key, or empty */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str body;
    int64_t priority;   /* 0 to Sl_PRIORITY_MAX; higher is more urgent */
    int64_t timeout_us; /* without any bytes from the upstream */
    bool idempotent;
};

struct sl_effect {
    enum sl_effect_type type;
    union {
        struct {
            /* Connection id, assigned by the core for connections that it
             * asks for, and by the runtime for incoming ones. */
            uint64_t peer;
            struct sl_name address; /* "IP:PORT" */
        } connect;
        uint64_t peer;
        struct {
            uint64_t peer;
            const struct sl_msg *msg;
        } send;
        struct sl_effect_http_head head;
        struct {
            uint64_t conn;
            struct sl_str bytes;
        } body;
        uint64_t conn;
        struct {
            enum sl_stream stream;
            uint64_t from;      /* offset of the first record */
            size_t max_records; /* number of records */
        } read;
        struct {
            enum sl_stream stream;
            uint64_t token;
            struct sl_str records; /* JSON array of objects */
        } append;
        struct sl_effect_call call;
        uint64_t token;
        struct sl_order order;
        struct {
            uint64_t token;
            struct sl_name version;
            struct sl_name kind;
            struct sl_str answer; /* body of the response to rate */
        } rate;
        struct {
            enum sl_log_level level;
            uint64_t request;           /* sequence number; 0 for no request */
            const struct sl_error *err; /* may be NULL */
            const char *text;
        } line;
    } u;
};

/* Creates a list of effects together with the memory that they point to. The
 * caller frees it with SlEffects_Free(). */
struct sl_effects *SlEffects_New(void);
void SlEffects_Free(struct sl_effects *effects);
/* Removes all effects and frees what they point to. */
void SlEffects_Clear(struct sl_effects *effects);
size_t SlEffects_Count(const struct sl_effects *effects);
/* The effect is valid until the next change of the list. */
const struct sl_effect *SlEffects_At(const struct sl_effects *effects,
                                     size_t index);
/* Appends the effect as text for scripted tests, such as "send 2 run". */
void SlEffect_Print(const struct sl_effect *effect, struct sl_buf *out);

/* ---- 4. State --------------------------------------------------------- */

/* Returns true if the process accepts work. If not, sets `reason`, which must
 * not be NULL. `now_us` is not used: the time is that of the last event. */
bool SlCore_IsReady(const struct sl_core *core, int64_t now_us,
                    struct sl_error *reason);
/* Counters of what the process did; owned by the core. */
struct sl_counters *SlCore_Counters(struct sl_core *core);
/* Appends the state as one JSON object. `now_us` is not used, as for
 * SlCore_IsReady(). */
void SlCore_Dump(const struct sl_core *core, int64_t now_us,
                 struct sl_buf *out);
/* The configuration at the offset that the process has reached; owned by the
 * core. */
const struct sl_config *SlCore_Config(const struct sl_core *core);
/* `boot` of the options. */
uint64_t SlCore_Boot(const struct sl_core *core);

#endif
