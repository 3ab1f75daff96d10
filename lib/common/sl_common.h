/*
 * sl_common: basic types and helpers that all other packages use.
 *
 * Sections, from simple to advanced:
 *   1. Strings      length-counted views, inline names, owned buffers
 *   2. Errors       error values with the step and peer at fault
 *   3. Hashes       stable 64-bit hashes, rendezvous hashing
 *   4. Random       a seeded generator, part of a reducer's state
 *   5. Timers       callbacks that are due at a given time
 *   6. Counters     named cumulative counters
 *   7. Metrics      counters, gauges and histograms with labels
 *   8. Log          JSON lines, with bounded buffering and sampling
 *   9. JSON         checked access to members, with errors naming the key
 *  10. External     values exchanged with external services
 *  11. Token bucket limits retries to a share of the requests
 *
 * Nothing here reads a clock, a socket or a source of randomness. Only the
 * logs do I/O, so reducers don't use them; SlLog_* is for the programs.
 */
#ifndef Sl_COMMON_H
#define Sl_COMMON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* ---- 1. Strings ------------------------------------------------------- */

/* A borrowed view of bytes, without a terminating NUL. Does not own them. */
struct sl_str {
    const char *ptr;
    size_t len;
};

#define Sl_STR(literal) ((struct sl_str){(literal), sizeof(literal) - 1})

/* Maximum length of identifiers: team, session, kind of request, version,
 * upstream, VM, key. */
#define Sl_NAME_MAX_BYTES 63

/* An identifier that is stored inline, so that structs which contain one need
 * no destructor. `text` is always NUL-terminated. */
struct sl_name {
    uint8_t len;
    char text[Sl_NAME_MAX_BYTES + 1];
};

struct sl_str SlStr_FromC(const char *text);
bool SlStr_Equal(struct sl_str a, struct sl_str b);
bool SlStr_StartsWith(struct sl_str text, struct sl_str prefix);

/* Returns false, and leaves `name` empty, if `text` is longer than
 * Sl_NAME_MAX_BYTES or contains a NUL or control byte. */
bool SlName_Set(struct sl_name *name, struct sl_str text);
/* Like SlName_Set() for text that is known to be valid, which is asserted. */
struct sl_name SlName_Of(const char *text);
struct sl_str SlName_Str(const struct sl_name *name);
bool SlName_Equal(const struct sl_name *a, const struct sl_name *b);
bool SlName_IsEmpty(const struct sl_name *name);
/* Returns true if `name` is among the `count` elements of `names`. */
bool SlName_IsListed(const struct sl_name *names, size_t count,
                     const struct sl_name *name);
/* Hash and equality functions for a GHashTable with keys of type
 * `struct sl_name *`. */
guint SlName_TableHash(gconstpointer name);
gboolean SlName_TableEqual(gconstpointer a, gconstpointer b);

/* A growing buffer that owns its bytes. A zeroed struct is a valid empty
 * buffer. */
struct sl_buf {
    char *ptr;
    size_t len;
    size_t capacity;
};

void SlBuf_Append(struct sl_buf *buf, struct sl_str bytes);
void SlBuf_AppendC(struct sl_buf *buf, const char *text);
void SlBuf_Printf(struct sl_buf *buf, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Empties the buffer but keeps its memory for reuse. */
void SlBuf_Clear(struct sl_buf *buf);
void SlBuf_Free(struct sl_buf *buf);
struct sl_str SlBuf_Str(const struct sl_buf *buf);
/* Appends `text` as a quoted JSON string. Invalid UTF-8 bytes are replaced by
 * U+FFFD, so that the result is always valid JSON. */
void SlBuf_AppendJson(struct sl_buf *buf, struct sl_str text);

/* ---- 2. Errors -------------------------------------------------------- */

#define Sl_ERROR_MAX_BYTES 255

/* The kind of an error. Callers decide by it what may be retried. */
enum sl_errno {
    Sl_OK = 0,
    Sl_ERR_INVALID,     /* input breaks a rule; a retry cannot help */
    Sl_ERR_CONFLICT,    /* another writer was first */
    Sl_ERR_UNREACHABLE, /* the peer was not reached: no effect */
    Sl_ERR_LOST,        /* sent, but no response: the effect is unknown */
    Sl_ERR_REFUSED,     /* the peer refused: no effect */
    Sl_ERR_TIMEOUT,
    Sl_ERR_TOO_LARGE,
    Sl_ERR_INTERNAL,
};

/* Details of an error. Callers that want them pass a pointer, others NULL. */
struct sl_error {
    enum sl_errno code;
    struct sl_name step; /* operation that failed, such as "wire.decode" */
    struct sl_name peer; /* VM, file or service; empty if local */
    char text[Sl_ERROR_MAX_BYTES + 1];
};

/* Fills in `err` and returns `code`. `err` and `peer` may be NULL. */
enum sl_errno SlError_Set(struct sl_error *err, enum sl_errno code,
                          const char *step, const char *peer,
                          const char *format, ...) G_GNUC_PRINTF(5, 6);
/* Stable lower-case name for logs and JSON, such as "conflict". */
const char *SlError_Name(enum sl_errno code);

/* Returns from the current function with the error code of a call that failed.
 * The callee has filled in the error. */
#define Sl_TRY(call)                                                          \
    do {                                                                      \
        enum sl_errno sl_try_code = (call);                                   \
        if (sl_try_code != Sl_OK) {                                           \
            return sl_try_code;                                               \
        }                                                                     \
    } while (0)

/* ---- 3. Hashes -------------------------------------------------------- */

/* FNV-1a with a final mix; the same in every process and on every machine. */
uint64_t SlHash_Bytes(uint64_t seed, struct sl_str bytes);
/* The finalizer of splitmix64: a bijection that spreads similar values. */
uint64_t SlHash_Mix(uint64_t value);
/* Weight of `member` for `key` in rendezvous hashing: the member with the
 * highest weight owns the key. */
uint64_t SlHash_Rendezvous(struct sl_str key, struct sl_str member);

/* ---- 4. Random -------------------------------------------------------- */

struct sl_random {
    uint64_t state;
};

uint64_t SlRandom_Next(struct sl_random *random);
/* Uniform in [0, 1). */
double SlRandom_Unit(struct sl_random *random);
/* Uniform in [0, bound). `bound` must be positive. */
uint32_t SlRandom_Below(struct sl_random *random, uint32_t bound);

/* ---- 5. Timers -------------------------------------------------------- */

#define Sl_US_PER_MS ((int64_t)1000)
#define Sl_US_PER_S ((int64_t)1000000)
#define Sl_NEVER_US INT64_MAX

/* Called when a timer is due, with the arguments of SlTimers_Subscribe(). May
 * subscribe and cancel timers. */
typedef void (*sl_timer_callback)(void *context, uint64_t id, int64_t now_us);

struct sl_timers;

struct sl_timers *SlTimers_New(void);
void SlTimers_Free(struct sl_timers *timers);
/* Calls `callback` once at `due_us`; passes `context` and `id` through to it.
 * Returns a handle for SlTimers_Cancel(), never 0. Timers with the same due
 * time run in the order in which they were subscribed. */
uint64_t SlTimers_Subscribe(struct sl_timers *timers, int64_t due_us,
                            sl_timer_callback callback, void *context,
                            uint64_t id);
/* Does nothing if `handle` is 0 or its timer has run. */
void SlTimers_Cancel(struct sl_timers *timers, uint64_t handle);
/* Due time of the earliest timer, or Sl_NEVER_US. */
int64_t SlTimers_NextDueUs(const struct sl_timers *timers);
/* Runs the timers that are due at `now_us`. Returns how many ran. */
size_t SlTimers_Run(struct sl_timers *timers, int64_t now_us);

/* ---- 6. Counters ------------------------------------------------------ */

struct sl_counters;

struct sl_counters *SlCounters_New(void);
void SlCounters_Free(struct sl_counters *counters);
/* Adds to the counter `name`, which must outlive the set. */
void SlCounters_Add(struct sl_counters *counters, const char *name,
                    uint64_t amount);
uint64_t SlCounters_Get(const struct sl_counters *counters, const char *name);
/* Appends a JSON object with the counters sorted by name. */
void SlCounters_Dump(const struct sl_counters *counters, struct sl_buf *out);

/* ---- 7. Metrics ------------------------------------------------------- */

enum sl_metric_type {
    Sl_METRIC_COUNTER,
    Sl_METRIC_GAUGE,
    Sl_METRIC_HISTOGRAM,
};

#define Sl_METRIC_MAX_LABELS 2

struct sl_metric_def {
    const char *name; /* ends with the unit, or with "_total" if a counter */
    enum sl_metric_type type;
    const char *help;
    const char *labels[Sl_METRIC_MAX_LABELS]; /* names; NULL: none */
    /* Upper bounds of a histogram's buckets, ascending; 0 terminates. */
    const double *bounds;
};

struct sl_metrics;

/* `defs` must outlive the metrics. The functions below take the index of a
 * metric in it, and as many label values as the metric has labels; the other
 * label values are NULL. */
struct sl_metrics *SlMetrics_New(const struct sl_metric_def *defs,
                                 size_t count);
void SlMetrics_Free(struct sl_metrics *metrics);
/* Adds to a counter. */
void SlMetrics_Add(struct sl_metrics *metrics, size_t metric,
                   const struct sl_name *first, const struct sl_name *second,
                   double amount);
/* Sets a gauge. */
void SlMetrics_Set(struct sl_metrics *metrics, size_t metric,
                   const struct sl_name *first, const struct sl_name *second,
                   double value);
/* Adds an observation to a histogram. */
void SlMetrics_Observe(struct sl_metrics *metrics, size_t metric,
                       const struct sl_name *first,
                       const struct sl_name *second, double value);
/* Value of a counter or gauge, or the sum of a histogram's observations; 0 if
 * nothing was recorded. */
double SlMetrics_Value(const struct sl_metrics *metrics, size_t metric,
                       const struct sl_name *first,
                       const struct sl_name *second);
/* "counter", "gauge" or "histogram". */
const char *SlMetrics_TypeName(enum sl_metric_type type);
/* Appends all metrics in the Prometheus text format. */
void SlMetrics_AppendText(const struct sl_metrics *metrics,
                          struct sl_buf *out);

/* ---- 8. Log ----------------------------------------------------------- */

enum sl_log_level {
    Sl_LOG_DEBUG,
    Sl_LOG_INFO,
    Sl_LOG_WARN,
    Sl_LOG_ERROR,
};

struct sl_log_options {
    FILE *out; /* borrowed */
    enum sl_log_level level;
    const char *role; /* borrowed */
    const char *vm;   /* borrowed */
};

struct sl_log;

struct sl_log *SlLog_New(const struct sl_log_options *options);
void SlLog_Free(struct sl_log *log);
/* Writes a JSON line. `request` is 0 if the line belongs to no request; `err`
 * may be NULL. */
void SlLog_Write(struct sl_log *log, enum sl_log_level level, int64_t wall_ms,
                 uint64_t request, const struct sl_error *err,
                 const char *text);
/* Returns false if `text` is not the name of a level. */
bool SlLog_ParseLevel(const char *text, enum sl_log_level *level);

/* A bounded, non-blocking buffer of whole lines in front of a file descriptor.
 * Lines that don't fit are dropped and counted, and a line with their number
 * is written when there is room again. */
struct sl_log_sink;

struct sl_log_sink_options {
    int fd; /* borrowed; made non-blocking */
    size_t max_bytes;
};

struct sl_log_sink *SlLogSink_New(const struct sl_log_sink_options *options);
/* Writes what the descriptor accepts, and drops the rest. */
void SlLogSink_Free(struct sl_log_sink *sink);
/* Buffers a line, which ends with a newline. Returns false if it was
 * dropped. */
bool SlLogSink_Write(struct sl_log_sink *sink, struct sl_str line);
/* Writes as many buffered lines as the descriptor accepts now. */
void SlLogSink_Flush(struct sl_log_sink *sink);
/* Share of the buffer that is in use, 0 to 1. */
double SlLogSink_Fill(const struct sl_log_sink *sink);
uint64_t SlLogSink_DroppedLines(const struct sl_log_sink *sink);

/* State of a request after one of its log lines. */
enum sl_log_request_state {
    Sl_LOG_REQUEST_ACTIVE,
    Sl_LOG_REQUEST_SUCCEEDED, /* this was its last line */
    Sl_LOG_REQUEST_FAILED,    /* this was its last line */
};

/* Samples the log lines of requests. While the sink has room, all lines are
 * written. Otherwise the lines of a request are held until its end: those of a
 * failed request are written, and those of one in 16 successful ones. The
 * others are dropped and counted, and a line with their number is written when
 * there is room again. */
struct sl_log_sampler;

struct sl_log_sampler *SlLogSampler_New(struct sl_log_sink *sink);
/* Writes the lines that are held. */
void SlLogSampler_Free(struct sl_log_sampler *sampler);
/* Writes, holds or drops a line, which ends with a newline. `request` is 0 if
 * the line belongs to no request; it is then never sampled. */
void SlLogSampler_Write(struct sl_log_sampler *sampler, uint64_t request,
                        enum sl_log_request_state state, struct sl_str line);
uint64_t SlLogSampler_DroppedLines(const struct sl_log_sampler *sampler);

/* ---- 9. JSON ---------------------------------------------------------- */

/* Constraints on an integer member. Bounds are inclusive. */
struct sl_json_int_rule {
    int64_t min;
    int64_t max;
    int64_t fallback; /* value if the member is absent and optional */
    bool required;
};

/* These read a member of an object. Their errors give `where`, such as
 * `selector "x"`, the key, the value found and the allowed values. */
enum sl_errno SlJson_Int(const json_t *object, const char *key,
                         const struct sl_json_int_rule *rule,
                         const char *where, int64_t *out,
                         struct sl_error *err);
enum sl_errno SlJson_Real(const json_t *object, const char *key, double min,
                          double max, double fallback, const char *where,
                          double *out, struct sl_error *err);
enum sl_errno SlJson_Bool(const json_t *object, const char *key, bool fallback,
                          const char *where, bool *out, struct sl_error *err);
/* Sets `out` to an empty name if the member is absent and optional. */
enum sl_errno SlJson_Name(const json_t *object, const char *key, bool required,
                          const char *where, struct sl_name *out,
                          struct sl_error *err);
/* Reads an array of at most `max` names. */
enum sl_errno SlJson_Names(const json_t *object, const char *key, size_t max,
                           const char *where, struct sl_name *out,
                           size_t *count, struct sl_error *err);
/* Fails if `object` has a key that is not in `keys`, which NULL terminates. */
enum sl_errno SlJson_CheckKeys(const json_t *object, const char *const *keys,
                               const char *where, struct sl_error *err);

/* ---- 10. External services -------------------------------------------- */

/* Role of a process. */
enum sl_role {
    Sl_ROLE_ENTRY, /* accepts clients' requests */
    Sl_ROLE_AGENT, /* runs requests on the upstream next to it */
};

/* A VM in the platform's list of live and leaving VMs, which lags behind. */
struct sl_vm {
    struct sl_name name;
    enum sl_role role;
    struct sl_name domain;
    struct sl_name upstream; /* agents only */
    struct sl_name address;  /* "IP:PORT" of its listener for peers */
    bool leaving;
};

/* "entry" or "agent". */
const char *SlRole_Name(enum sl_role role);
bool SlRole_Parse(struct sl_str text, enum sl_role *role);

/* A record in the platform's log service. */
struct sl_log_record {
    uint64_t offset;
    const json_t *value;
};

/* Response of the log service to a read. */
struct sl_log_page {
    uint64_t oldest; /* lowest offset that the service retains */
    uint64_t head;   /* offset that the next record will get */
    size_t count;
    const struct sl_log_record *records;
};

#define Sl_LOAD_MAX_VERSIONS 32

/* Load that an upstream last reported; it lags behind. */
struct sl_load_report {
    struct sl_name boot; /* changes when the upstream restarts */
    int64_t running;
    int64_t waiting;
    int64_t capacity;
    double warm;    /* 0 cold to 1 warm */
    uint64_t fence; /* highest fencing number seen; 0 if not tracked */
    size_t version_count;
    struct sl_name versions[Sl_LOAD_MAX_VERSIONS];
};

/* An order to a model engine to load or unload a version. */
struct sl_order {
    bool load; /* false: unload */
    struct sl_name version;
    uint64_t fence; /* fencing number */
};

/* ---- 11. Token bucket ------------------------------------------------- */

/* A token bucket that limits retries: each first attempt adds `share` tokens,
 * each retry takes one. In any period there are at most `share` retries per
 * first attempt, and `max_tokens` more. */
struct sl_token_bucket {
    double tokens;
    double share;
    double max_tokens;
};

struct sl_token_bucket SlTokenBucket_New(double share, double max_tokens);
/* Adds the tokens of a first attempt. */
void SlTokenBucket_Refill(struct sl_token_bucket *bucket);
/* Takes a token. Returns false if there is none. */
bool SlTokenBucket_Take(struct sl_token_bucket *bucket);

#endif
