/*
 * sl_common: the base that every other package stands on.
 *
 * Sections, from simple to advanced:
 *   1. Strings      length-counted views, inline names, owned buffers
 *   2. Errors       a value that carries step and peer, and its macros
 *   3. Hashes       stable 64-bit hashes and rendezvous choice
 *   4. Random       a seeded generator, part of a reducer's state
 *   5. Timers       a service that parts subscribe to
 *   6. Counters     named cumulative counters
 *   7. Metrics      counters, gauges and histograms with labels
 *   8. Log          JSON lines
 *   9. JSON         checked access to members, with errors naming the key
 *  10. Outside      values that outside systems give and take
 *  11. Budget       retries as a share of traffic
 *
 * Nothing here reads a clock, a socket or a random source, but for SlLog_*,
 * which is used by the programs only.
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

/* A borrowed view of bytes. Not terminated; never freed through the view. */
struct sl_str {
    const char *ptr;
    size_t len;
};

#define Sl_STR(literal) ((struct sl_str){(literal), sizeof(literal) - 1})

/* Longest identifier: team, session, kind, version, upstream, VM, key. */
#define Sl_NAME_MAX_BYTES 63

/* An identifier stored inline, so that values which hold one need no free.
 * `text` is always terminated, which makes it printable as it is. */
struct sl_name {
    uint8_t len;
    char text[Sl_NAME_MAX_BYTES + 1];
};

struct sl_str SlStr_FromC(const char *text);
bool SlStr_Equal(struct sl_str a, struct sl_str b);
bool SlStr_StartsWith(struct sl_str text, struct sl_str prefix);

/* Returns false, and leaves `name` empty, when `text` is longer than
 * Sl_NAME_MAX_BYTES or holds a NUL or control byte. */
bool SlName_Set(struct sl_name *name, struct sl_str text);
/* As SlName_Set() for text known to fit; asserts that it does. */
struct sl_name SlName_Of(const char *text);
struct sl_str SlName_Str(const struct sl_name *name);
bool SlName_Equal(const struct sl_name *a, const struct sl_name *b);
bool SlName_IsEmpty(const struct sl_name *name);
/* True when `name` is one of the first `count` of `names`. */
bool SlName_IsListed(const struct sl_name *names, size_t count,
                     const struct sl_name *name);
/* Hash and equality for GHashTable keys of `struct sl_name *`. */
guint SlName_TableHash(gconstpointer name);
gboolean SlName_TableEqual(gconstpointer a, gconstpointer b);

/* Owned bytes. A zeroed struct is a valid empty buffer. */
struct sl_buf {
    char *ptr;
    size_t len;
    size_t capacity;
};

void SlBuf_Append(struct sl_buf *buf, struct sl_str bytes);
void SlBuf_AppendC(struct sl_buf *buf, const char *text);
void SlBuf_Printf(struct sl_buf *buf, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Empties the buffer and keeps its memory for reuse. */
void SlBuf_Clear(struct sl_buf *buf);
void SlBuf_Free(struct sl_buf *buf);
struct sl_str SlBuf_Str(const struct sl_buf *buf);
/* Appends `text` as a JSON string with its quotes. Invalid UTF-8 bytes are
 * replaced by U+FFFD, so that the result is always valid JSON. */
void SlBuf_AppendJson(struct sl_buf *buf, struct sl_str text);

/* ---- 2. Errors -------------------------------------------------------- */

#define Sl_ERROR_MAX_BYTES 255

/* The kind of an error, for code that reacts to it. */
enum sl_errno {
    Sl_OK = 0,
    Sl_ERR_INVALID,     /* input breaks a rule; retrying cannot help */
    Sl_ERR_CONFLICT,    /* another writer came first */
    Sl_ERR_UNREACHABLE, /* the peer was not reached; nothing was done */
    Sl_ERR_LOST,        /* sent, but no answer: the effect is unknown */
    Sl_ERR_REFUSED,     /* the peer answered and did nothing */
    Sl_ERR_TIMEOUT,
    Sl_ERR_TOO_LARGE,
    Sl_ERR_INTERNAL,
};

/* Passed down by callers that want the reason; carries where it arose. */
struct sl_error {
    enum sl_errno code;
    struct sl_name step; /* "config.fold", "wire.decode", "engine.call" */
    struct sl_name peer; /* VM, file or service; empty when local */
    char text[Sl_ERROR_MAX_BYTES + 1];
};

/* Fills `err` (may be NULL) and returns `code`. */
enum sl_errno SlError_Set(struct sl_error *err, enum sl_errno code,
                          const char *step, const char *peer,
                          const char *format, ...) G_GNUC_PRINTF(5, 6);
/* Stable lower-case word for logs and JSON, such as "conflict". */
const char *SlError_Name(enum sl_errno code);

/* Forwards a failed call's code; the callee has filled the error. */
#define Sl_TRY(call)                                                          \
    do {                                                                      \
        enum sl_errno sl_try_code = (call);                                   \
        if (sl_try_code != Sl_OK) {                                           \
            return sl_try_code;                                               \
        }                                                                     \
    } while (0)

/* ---- 3. Hashes -------------------------------------------------------- */

/* FNV-1a with a final mix: the same on every process and machine. */
uint64_t SlHash_Bytes(uint64_t seed, struct sl_str bytes);
uint64_t SlHash_Mix(uint64_t value);
/* The weight of `member` for `key`; the highest weight is the home. */
uint64_t SlHash_Rendezvous(struct sl_str key, struct sl_str member);

/* ---- 4. Random -------------------------------------------------------- */

struct sl_random {
    uint64_t state;
};

uint64_t SlRandom_Next(struct sl_random *random);
/* Uniform in [0, 1). */
double SlRandom_Unit(struct sl_random *random);
/* Uniform in [0, bound); `bound` must be positive. */
uint32_t SlRandom_Below(struct sl_random *random, uint32_t bound);

/* ---- 5. Timers -------------------------------------------------------- */

#define Sl_US_PER_MS ((int64_t)1000)
#define Sl_US_PER_S ((int64_t)1000000)
#define Sl_NEVER_US INT64_MAX

/* Called when a subscription falls due. `id` is the subscriber's own, such
 * as a request id. May subscribe and cancel. */
typedef void (*sl_timer_callback)(void *context, uint64_t id, int64_t now_us);

struct sl_timers;

struct sl_timers *SlTimers_New(void);
void SlTimers_Free(struct sl_timers *timers);
/* Returns a handle for SlTimers_Cancel(), never 0. Due in order of time,
 * then of subscription. */
uint64_t SlTimers_Subscribe(struct sl_timers *timers, int64_t due_us,
                            sl_timer_callback callback, void *context,
                            uint64_t id);
/* Cancelling 0 or a handle that has fired is allowed and does nothing. */
void SlTimers_Cancel(struct sl_timers *timers, uint64_t handle);
/* Time of the earliest subscription, or Sl_NEVER_US. */
int64_t SlTimers_NextDue(const struct sl_timers *timers);
/* Runs all that is due at `now_us`. Returns how many ran. */
size_t SlTimers_Run(struct sl_timers *timers, int64_t now_us);

/* ---- 6. Counters ------------------------------------------------------ */

struct sl_counters;

struct sl_counters *SlCounters_New(void);
void SlCounters_Free(struct sl_counters *counters);
/* Adds to the counter `name`, a string literal that outlives the set. */
void SlCounters_Add(struct sl_counters *counters, const char *name,
                    uint64_t amount);
uint64_t SlCounters_Get(const struct sl_counters *counters, const char *name);
/* Appends a JSON object, keys in order of name. */
void SlCounters_Dump(const struct sl_counters *counters, struct sl_buf *out);

/* ---- 7. Metrics ------------------------------------------------------- */

enum sl_metric_type {
    Sl_METRIC_COUNTER,
    Sl_METRIC_GAUGE,
    Sl_METRIC_HISTOGRAM,
};

#define Sl_METRIC_MAX_LABELS 2

struct sl_metric_def {
    const char *name; /* ends with its unit; a counter's with "_total" */
    enum sl_metric_type type;
    const char *help;
    const char *labels[Sl_METRIC_MAX_LABELS]; /* names; NULL: none */
    const double *bounds; /* of a histogram: ascending, 0 at the end */
};

struct sl_metrics;

/* `defs` are borrowed for the life of the set; functions below name a metric
 * by its index, with as many label values as it has labels, NULL for the
 * others. */
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
/* Of a counter or gauge, 0 when it was never touched; of a histogram, the
 * sum of what was observed. */
double SlMetrics_Value(const struct sl_metrics *metrics, size_t metric,
                       const struct sl_name *first,
                       const struct sl_name *second);
/* "counter", "gauge" or "histogram". */
const char *SlMetrics_TypeName(enum sl_metric_type type);
/* Appends everything as Prometheus text. */
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
/* Writes one JSON line. `request` may be 0 and `err` NULL. */
void SlLog_Write(struct sl_log *log, enum sl_log_level level, int64_t wall_ms,
                 uint64_t request, const struct sl_error *err,
                 const char *text);
/* Returns false when `text` names no level. */
bool SlLog_ParseLevel(const char *text, enum sl_log_level *level);

/* A bounded buffer of whole lines before a descriptor that may not take them
 * at once. Nothing here blocks: lines that do not fit are left out and
 * counted, and the count is written when there is room again. */
struct sl_log_sink;

struct sl_log_sink_options {
    int fd; /* borrowed; made non-blocking */
    size_t max_bytes;
};

struct sl_log_sink *SlLogSink_New(const struct sl_log_sink_options *options);
/* Writes what the descriptor takes, and forgets the rest. */
void SlLogSink_Free(struct sl_log_sink *sink);
/* Takes a line with its end. False when it was left out. */
bool SlLogSink_Write(struct sl_log_sink *sink, struct sl_str line);
/* Writes what the descriptor takes now. */
void SlLogSink_Flush(struct sl_log_sink *sink);
/* Share of the buffer that is in use, 0 to 1. */
double SlLogSink_Fill(const struct sl_log_sink *sink);
uint64_t SlLogSink_DroppedLines(const struct sl_log_sink *sink);

/* What a line says of the request that it belongs to. */
enum sl_log_request_state {
    Sl_LOG_REQUEST_ACTIVE,
    Sl_LOG_REQUEST_SUCCEEDED, /* its last line */
    Sl_LOG_REQUEST_FAILED,    /* its last line */
};

/* Decides which lines of requests go to a sink. While the sink has room, all
 * do. Else lines of a request wait for its end: those of one that failed are
 * written, those of one in 16 that went well, and the others are counted; a
 * line says how many when there is room again. */
struct sl_log_sampler;

struct sl_log_sampler *SlLogSampler_New(struct sl_log_sink *sink);
/* Writes what is held. */
void SlLogSampler_Free(struct sl_log_sampler *sampler);
/* Takes a line with its end; `request` is 0 for one that concerns none. */
void SlLogSampler_Write(struct sl_log_sampler *sampler, uint64_t request,
                        enum sl_log_request_state end, struct sl_str line);
uint64_t SlLogSampler_DroppedLines(const struct sl_log_sampler *sampler);

/* ---- 9. JSON ---------------------------------------------------------- */

/* What a member must be. Bounds are inclusive. */
struct sl_json_int_rule {
    int64_t min;
    int64_t max;
    int64_t fallback; /* taken when the member is absent and optional */
    bool required;
};

/* Each reader names `where` and the key in its error, with the value found
 * and what is allowed. `where` reads like `selector "x"`. */
enum sl_errno SlJson_Int(const json_t *object, const char *key,
                         const struct sl_json_int_rule *rule,
                         const char *where, int64_t *out,
                         struct sl_error *err);
enum sl_errno SlJson_Real(const json_t *object, const char *key, double min,
                          double max, double fallback, const char *where,
                          double *out, struct sl_error *err);
enum sl_errno SlJson_Bool(const json_t *object, const char *key, bool fallback,
                          const char *where, bool *out, struct sl_error *err);
/* An absent optional name gives an empty one. */
enum sl_errno SlJson_Name(const json_t *object, const char *key, bool required,
                          const char *where, struct sl_name *out,
                          struct sl_error *err);
/* Reads an array of names into `out`; at most `max`, in order. */
enum sl_errno SlJson_Names(const json_t *object, const char *key, size_t max,
                           const char *where, struct sl_name *out,
                           size_t *count, struct sl_error *err);
/* Fails on the first key of `object` that is not in the NULL-ended `keys`. */
enum sl_errno SlJson_CheckKeys(const json_t *object, const char *const *keys,
                               const char *where, struct sl_error *err);

/* ---- 10. Outside ------------------------------------------------------ */

enum sl_role {
    Sl_ROLE_ENTRY,
    Sl_ROLE_AGENT,
};

/* One entry of the platform's lagging list of live and leaving VMs. */
struct sl_vm {
    struct sl_name name;
    enum sl_role role;
    struct sl_name domain;
    struct sl_name upstream; /* agents only */
    struct sl_name address;  /* "IP:PORT" of its peer listener */
    bool leaving;
};

/* "entry" or "agent". */
const char *SlRole_Name(enum sl_role role);
bool SlRole_Parse(struct sl_str text, enum sl_role *role);

/* Records and pages of the platform's log service. */
struct sl_log_record {
    uint64_t offset;
    const json_t *value;
};

struct sl_log_page {
    uint64_t oldest; /* smallest offset still kept */
    uint64_t head;   /* offset of the next record */
    size_t count;
    const struct sl_log_record *records;
};

/* What an upstream last said of its load; it lags. */
#define Sl_LOAD_MAX_VERSIONS 32

struct sl_load_report {
    struct sl_name boot; /* changes when the upstream restarts */
    int64_t running;
    int64_t waiting;
    int64_t capacity;
    double warm;
    uint64_t fence; /* highest fencing number seen; 0 when not kept */
    size_t version_count;
    struct sl_name versions[Sl_LOAD_MAX_VERSIONS];
};

/* An order to a model engine. */
struct sl_order {
    bool load; /* false: unload */
    struct sl_name version;
    uint64_t fence; /* fencing number */
};

/* ---- 11. Budget ------------------------------------------------------- */

/* A token bucket: each first attempt adds `share`, each retry takes 1. In any
 * span of time there are at most `share` retries a first attempt, and
 * `max_tokens` more. */
struct sl_token_bucket {
    double tokens;
    double share;
    double max_tokens;
};

struct sl_token_bucket SlTokenBucket_New(double share, double max_tokens);
void SlTokenBucket_Refill(struct sl_token_bucket *budget);
/* Takes a token; false when there is none left. */
bool SlTokenBucket_Take(struct sl_token_bucket *budget);

#endif
