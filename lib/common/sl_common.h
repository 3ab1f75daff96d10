/*
 * sl_common: basic types and helpers that all other packages use.
 *
 * Sections, from simple to advanced:
 *   1. Strings      length-counted views, inline names, owned buffers
 *   2. Errors       error values with the failed operation and the peer
 *   3. Hashes       stable 64-bit hashes, rendezvous hashing
 *   4. Random       a seeded pseudo-random generator
 *   5. Timers       callbacks that are due at a given time
 *   6. Counters     named cumulative counters
 *   7. Metrics      counters, gauges and histograms with labels
 *   8. Log          JSON lines, with bounded buffering and sampling
 *   9. JSON         checked access to members, with errors naming the key
 *  10. External     values exchanged with external services
 *  11. Token bucket limits retries to a share of the requests
 *
 * A reducer is code that computes a new state and effects from an event, and
 * gives the same result for the same events, as sl_core does. No function here
 * reads a clock, a socket or a source of randomness, so reducers can use them
 * all, except those of section 8: SlLog_*() and SlLogSink_*() write to files,
 * and are for the programs.
 *
 * Suffixes give the units: _us for microseconds, _ms for milliseconds. A name
 * that ends with now_us or due_us is a time on the caller's monotonic clock,
 * wall_ms is the wall clock since the Unix epoch. SlX_New() allocates an
 * object that the caller frees with SlX_Free(), which accepts NULL.
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

/* A view of bytes that something else owns. It is not NUL-terminated. */
struct sl_str {
    const char *ptr;
    size_t len;
};

/* View of a string literal, without its NUL. */
#define Sl_STR(literal) ((struct sl_str){(literal), sizeof(literal) - 1})

/* Maximum length of an identifier: the name of a team, session, kind of
 * request, version, upstream or VM, or a key. Keys of the platform's store
 * have the same limit, so that any of them is a valid identifier. */
#define Sl_NAME_MAX_BYTES 255

/* An identifier that is stored inline, so that structs which contain one need
 * no destructor. `text` is always NUL-terminated. */
struct sl_name {
    uint8_t len;
    char text[Sl_NAME_MAX_BYTES + 1];
};

/* View of a NUL-terminated string, without its NUL. */
struct sl_str SlStr_FromC(const char *text);
bool SlStr_Equal(struct sl_str a, struct sl_str b);
bool SlStr_StartsWith(struct sl_str text, struct sl_str prefix);
/* Hash and equality functions for a GHashTable with keys of type
 * `struct sl_str *`, which may hold any bytes. */
guint SlStr_TableHash(gconstpointer text);
gboolean SlStr_TableEqual(gconstpointer a, gconstpointer b);
/* Returns true if `text` has a byte that no header or log line may hold as it
 * is: one below 0x20, or 0x7f. */
bool SlStr_HasControlBytes(struct sl_str text);

/* Returns false, and leaves `name` empty, if `text` is longer than
 * Sl_NAME_MAX_BYTES or contains a NUL or control byte. */
bool SlName_Set(struct sl_name *name, struct sl_str text);
/* Returns a name with this text, which must be one that SlName_Set() accepts;
 * this is asserted. */
struct sl_name SlName_Of(const char *text);
/* View of the text in `name`; valid as long as `name` is. */
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
 * buffer; SlBuf_Free() releases the bytes and leaves an empty buffer. */
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
/* View of the bytes, never NULL; valid until the buffer changes. */
struct sl_str SlBuf_Str(const struct sl_buf *buf);
/* Appends `text` as a quoted JSON string. Each invalid UTF-8 byte is replaced
 * by U+FFFD, so that the result is always valid JSON. */
void SlBuf_AppendJson(struct sl_buf *buf, struct sl_str text);

/* ---- 2. Errors -------------------------------------------------------- */

/* Maximum length of an error message; longer ones are truncated. */
#define Sl_ERROR_MAX_BYTES 255

/* The kind of an error. Callers decide by it whether to retry the operation:
 * that is safe if the peer, the process or service that was asked, has not
 * carried it out. */
enum sl_errno {
    Sl_OK = 0,
    Sl_ERR_INVALID,     /* the input breaks a rule, so a retry fails again */
    Sl_ERR_CONFLICT,    /* another writer changed the value first */
    Sl_ERR_UNREACHABLE, /* the peer did not get the request: not carried out */
    Sl_ERR_LOST,        /* sent, but no response: may have been carried out */
    Sl_ERR_REFUSED,     /* the peer refused the request: not carried out */
    Sl_ERR_TIMEOUT,     /* not finished in the allowed time */
    Sl_ERR_TOO_LARGE,   /* longer than the limit on its size */
    Sl_ERR_INTERNAL,    /* any other error */
};

/* Details of an error. A function with an `err` parameter fills it in if it
 * fails, unless the pointer is NULL; after success the contents mean
 * nothing. */
struct sl_error {
    enum sl_errno code;
    struct sl_name step; /* operation that failed, such as "wire.decode" */
    struct sl_name peer; /* VM, file or service involved; empty if none */
    char text[Sl_ERROR_MAX_BYTES + 1]; /* message, NUL-terminated */
};

/* Fills in `err`, unless it is NULL, and returns `code`. `step` has at most
 * Sl_NAME_MAX_BYTES, which is asserted; `peer` is truncated to that length and
 * may be NULL. */
enum sl_errno SlError_Set(struct sl_error *err, enum sl_errno code,
                          const char *step, const char *peer,
                          const char *format, ...) G_GNUC_PRINTF(5, 6);
/* Stable lower-case name for logs and JSON, such as "conflict". */
const char *SlError_Name(enum sl_errno code);

/* Evaluates `call`, which returns an enum sl_errno. If it failed, returns its
 * code from the current function, which must also return an enum sl_errno. */
#define Sl_TRY(call)                                                          \
    do {                                                                      \
        enum sl_errno sl_try_code = (call);                                   \
        if (sl_try_code != Sl_OK) {                                           \
            return sl_try_code;                                               \
        }                                                                     \
    } while (0)

/* ---- 3. Hashes -------------------------------------------------------- */

/* FNV-1a with a final mix; the same in every process and on every machine. To
 * hash several strings, pass the hash of the first as the seed of the next. */
uint64_t SlHash_Bytes(uint64_t seed, struct sl_str bytes);
/* The finalizer of splitmix64: a bijection that spreads similar values. */
uint64_t SlHash_Mix(uint64_t value);
/* Weight of `member` for `key` in rendezvous hashing: the member with the
 * highest weight owns the key. */
uint64_t SlHash_Rendezvous(struct sl_str key, struct sl_str member);
/* Returns the hash as a fraction, from 0 to less than 1. */
double SlHash_Fraction(uint64_t hash);

/* ---- 4. Random -------------------------------------------------------- */

/* State of a splitmix64 generator. Any value is a valid seed; equal seeds give
 * equal sequences. Not for secrets. */
struct sl_random {
    uint64_t state;
};

/* Uniform over all 64-bit values. */
uint64_t SlRandom_Next(struct sl_random *random);
/* Uniform in [0, 1). */
double SlRandom_Unit(struct sl_random *random);
/* Uniform in [0, bound). `bound` must be positive. */
uint32_t SlRandom_Below(struct sl_random *random, uint32_t bound);

/* ---- 5. Timers -------------------------------------------------------- */

#define Sl_US_PER_MS ((int64_t)1000)
#define Sl_US_PER_S ((int64_t)1000000)
/* A time later than all others. */
#define Sl_NEVER_US INT64_MAX

/* Called when a timer is due, with `context` and `id` as they were given to
 * SlTimers_Add(), and with the `now_us` of SlTimers_Run(). May add and cancel
 * timers. */
typedef void (*sl_timer_callback)(void *context, uint64_t id, int64_t now_us);

/* A set of one-shot timers. Nothing runs until SlTimers_Run() is called. */
struct sl_timers;

struct sl_timers *SlTimers_New(void);
void SlTimers_Free(struct sl_timers *timers);
/* Adds a timer that calls `callback` once, in the first SlTimers_Run() at
 * `due_us` or later. Returns a handle for SlTimers_Cancel(), never 0. Timers
 * with the same due time run in the order in which they were added. */
uint64_t SlTimers_Add(struct sl_timers *timers, int64_t due_us,
                      sl_timer_callback callback, void *context, uint64_t id);
/* Removes a timer. Does nothing if `handle` is 0, or if the timer has run or
 * was cancelled. */
void SlTimers_Cancel(struct sl_timers *timers, uint64_t handle);
/* Due time of the earliest timer, or Sl_NEVER_US. */
int64_t SlTimers_NextDueUs(const struct sl_timers *timers);
/* Calls the callbacks of all timers that are due at `now_us` or earlier, and
 * removes these timers. Timers that the callbacks add wait for the next call.
 * Returns the number of callbacks. */
size_t SlTimers_Run(struct sl_timers *timers, int64_t now_us);

/* ---- 6. Counters ------------------------------------------------------ */

/* A set of counters. A counter exists from the first addition to it. */
struct sl_counters;

struct sl_counters *SlCounters_New(void);
void SlCounters_Free(struct sl_counters *counters);
/* Adds `amount` to a counter. `name` is not copied: it must stay valid as long
 * as the set, as a string literal does. */
void SlCounters_Add(struct sl_counters *counters, const char *name,
                    uint64_t amount);
/* Value of a counter; 0 if nothing was added to it. */
uint64_t SlCounters_Get(const struct sl_counters *counters, const char *name);
/* Appends a JSON object that maps names to values, sorted by name. */
void SlCounters_Dump(const struct sl_counters *counters, struct sl_buf *out);

/* ---- 7. Metrics ------------------------------------------------------- */

enum sl_metric_type {
    Sl_METRIC_COUNTER,
    Sl_METRIC_GAUGE,
    Sl_METRIC_HISTOGRAM,
};

#define Sl_METRIC_MAX_LABELS 2

/* Definition of a metric. A metric with labels has one series, that is, one
 * value or histogram, for each combination of label values. */
struct sl_metric_def {
    const char *name; /* ends with the unit, or with "_total" if a counter */
    enum sl_metric_type type;
    const char *help; /* one line, for the people who read the metric */
    const char *labels[Sl_METRIC_MAX_LABELS]; /* names; NULL: none */
    /* Upper bounds of a histogram's buckets, inclusive, positive, ascending; 0
     * ends the list. NULL for counters and gauges. */
    const double *bounds;
};

struct sl_metrics;

/* `defs` is not copied: it must stay valid as long as the metrics. In the
 * functions below, `metric` is an index in `defs`; `label1` and `label2` are
 * the values of the metric's labels, and NULL for a label that the metric does
 * not have. A metric has a bounded number of series; all further label values
 * share one more series, whose labels have the value "other". */
struct sl_metrics *SlMetrics_New(const struct sl_metric_def *defs,
                                 size_t count);
void SlMetrics_Free(struct sl_metrics *metrics);
/* Adds `amount`, 0 or more, to a counter. */
void SlMetrics_Add(struct sl_metrics *metrics, size_t metric,
                   const struct sl_name *label1, const struct sl_name *label2,
                   double amount);
/* Sets a gauge to `value`. */
void SlMetrics_Set(struct sl_metrics *metrics, size_t metric,
                   const struct sl_name *label1, const struct sl_name *label2,
                   double value);
/* Sets all series of a gauge to 0. */
void SlMetrics_ZeroAll(struct sl_metrics *metrics, size_t metric);
/* Adds an observation to a histogram. */
void SlMetrics_Observe(struct sl_metrics *metrics, size_t metric,
                       const struct sl_name *label1,
                       const struct sl_name *label2, double value);
/* Value of the series of a counter or gauge, or the sum of the observations of
 * a histogram's series; 0 if there is no series with these label values. */
double SlMetrics_Value(const struct sl_metrics *metrics, size_t metric,
                       const struct sl_name *label1,
                       const struct sl_name *label2);
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

/* The pointers are borrowed: they must stay valid as long as the log. */
struct sl_log_options {
    FILE *out;
    enum sl_log_level level; /* lowest level that is written */
    const char *role;        /* role of the process, in every line */
    const char *vm;          /* name of the VM, in every line */
};

/* A log that writes each line at once, and blocks while the file does. */
struct sl_log;

struct sl_log *SlLog_New(const struct sl_log_options *options);
void SlLog_Free(struct sl_log *log);
/* Writes a JSON line. `wall_ms` is the time of the event, `request` the number
 * of the request that it belongs to or 0, `err` the error to add or NULL. */
void SlLog_Write(struct sl_log *log, enum sl_log_level level, int64_t wall_ms,
                 uint64_t request, const struct sl_error *err,
                 const char *text);
/* Parses "debug", "info", "warn" or "error". Returns false, and leaves `level`
 * unchanged, for any other text. */
bool SlLog_ParseLevel(const char *text, enum sl_log_level *level);

/* A bounded buffer of log lines in front of a file descriptor, so that the
 * process does not block when the reader of its log is slow. Lines that don't
 * fit are dropped and counted; when there is room again, a line that gives
 * their number is written. */
struct sl_log_sink;

struct sl_log_sink_options {
    int fd; /* made non-blocking; stays open when the sink is freed */
    size_t max_bytes; /* size of the buffer */
};

struct sl_log_sink *SlLogSink_New(const struct sl_log_sink_options *options);
/* Flushes the buffer, drops the lines that the descriptor did not accept, and
 * frees the sink. */
void SlLogSink_Free(struct sl_log_sink *sink);
/* Copies one or more lines, each ending with a newline, to the buffer; does
 * not write to the descriptor. Returns false if they did not fit; they then
 * count as one dropped line. */
bool SlLogSink_Write(struct sl_log_sink *sink, struct sl_str lines);
/* Writes as many buffered lines as the descriptor accepts now. */
void SlLogSink_Flush(struct sl_log_sink *sink);
/* Share of the buffer that is in use, 0 to 1. */
double SlLogSink_Fill(const struct sl_log_sink *sink);
/* Number of lines dropped since the sink was created. */
uint64_t SlLogSink_DroppedLines(const struct sl_log_sink *sink);

/* State of a request after a log line that belongs to it. */
enum sl_log_request_state {
    Sl_LOG_REQUEST_ACTIVE,    /* more lines may follow */
    Sl_LOG_REQUEST_SUCCEEDED, /* the line is the request's last one */
    Sl_LOG_REQUEST_FAILED,    /* the line is the request's last one */
};

/* Samples the log lines of requests while the sink's buffer fills up. Under
 * this pressure, the lines of a request are held back until the request ends.
 * Then the lines of a failed request are written, and those of one in 16
 * successful requests; the others are dropped and counted, and a line that
 * gives their number is written when there is room again. Without pressure all
 * lines are written at once. */
struct sl_log_sampler;

/* The sampler borrows `sink`. */
struct sl_log_sampler *SlLogSampler_New(struct sl_log_sink *sink);
/* Writes the lines that are held back to the sink and frees the sampler. */
void SlLogSampler_Free(struct sl_log_sampler *sampler);
/* Writes, holds back or drops a line, which ends with a newline. `request` is
 * the number of the request that it belongs to; a line with the number 0
 * belongs to none and is written at once. */
void SlLogSampler_Write(struct sl_log_sampler *sampler, uint64_t request,
                        enum sl_log_request_state state, struct sl_str line);
/* Number of lines that were dropped by sampling, without those that the sink
 * dropped. */
uint64_t SlLogSampler_DroppedLines(const struct sl_log_sampler *sampler);

/* ---- 9. JSON ---------------------------------------------------------- */

/* Constraints on an integer member of an object. The bounds are inclusive. */
struct sl_json_int_rule {
    int64_t min;
    int64_t max;
    int64_t fallback; /* value of an absent member that is not required */
    bool required;
};

/* The following functions read the member `key` of `object` into `out`. They
 * fail with Sl_ERR_INVALID if the member is required but absent, has another
 * type or is out of bounds; an absent member that is not required gets its
 * default, `fallback`. Bounds are inclusive. The error message begins with
 * `where`, which names the object, such as `selector "x"`, and gives the key,
 * the value found and the allowed values. */
enum sl_errno SlJson_Int(const json_t *object, const char *key,
                         const struct sl_json_int_rule *rule,
                         const char *where, int64_t *out,
                         struct sl_error *err);
enum sl_errno SlJson_Real(const json_t *object, const char *key, double min,
                          double max, double fallback, const char *where,
                          double *out, struct sl_error *err);
enum sl_errno SlJson_Bool(const json_t *object, const char *key, bool fallback,
                          const char *where, bool *out, struct sl_error *err);
/* Reads a string of 1 to Sl_NAME_MAX_BYTES. The default is an empty name. */
enum sl_errno SlJson_Name(const json_t *object, const char *key, bool required,
                          const char *where, struct sl_name *out,
                          struct sl_error *err);
/* Reads an array of at most `max` such strings into `out`, which has room for
 * `max`, and sets `*count` to their number. The default is an empty array. */
enum sl_errno SlJson_Names(const json_t *object, const char *key, size_t max,
                           const char *where, struct sl_name *out,
                           size_t *count, struct sl_error *err);
/* Fails with Sl_ERR_INVALID if `object` is not a JSON object or has a key that
 * is not in `keys`, a list that ends with NULL. */
enum sl_errno SlJson_CheckKeys(const json_t *object, const char *const *keys,
                               const char *where, struct sl_error *err);

/* ---- 10. External services -------------------------------------------- */

/* Role of a process. */
enum sl_role {
    Sl_ROLE_ENTRY, /* accepts clients' requests */
    Sl_ROLE_AGENT, /* runs requests on the upstream next to it */
};

/* A VM in the platform's list of VMs. The list may be out of date. */
struct sl_vm {
    struct sl_name name;
    enum sl_role role;       /* of the process on the VM */
    struct sl_name domain;   /* failure domain */
    struct sl_name upstream; /* on the same VM; agents only */
    struct sl_name address;  /* "IP:PORT" where the process accepts peers */
    bool leaving;            /* the platform is about to remove the VM */
};

/* "entry" or "agent". */
const char *SlRole_Name(enum sl_role role);
/* Returns false, and leaves `role` unchanged, for any other text. */
bool SlRole_Parse(struct sl_str text, enum sl_role *role);

/* A record in a stream of the platform's log service, which stores streams of
 * records that are only appended. Offsets in a stream count from 1. */
struct sl_log_record {
    uint64_t offset;
    const json_t *value;
};

/* Response of the log service to a read of a stream. */
struct sl_log_page {
    uint64_t oldest; /* lowest offset that the service retains */
    uint64_t head;   /* offset that the next record will get */
    size_t count;
    const struct sl_log_record *records; /* by offset, ascending */
};

/* Maximum number of versions in a load report. */
#define Sl_LOAD_MAX_VERSIONS 32

/* The load of an upstream when it last reported it. */
struct sl_load_report {
    struct sl_name boot; /* changes when the upstream restarts */
    int64_t running;     /* requests that it runs */
    int64_t waiting;     /* requests in its own queue */
    int64_t capacity;    /* requests that it can run at once */
    double warm;         /* 0 cold to 1 warm */
    /* Highest fencing number among the orders that it has received; 0 if it
     * does not report one. */
    uint64_t fence;
    size_t version_count;
    struct sl_name versions[Sl_LOAD_MAX_VERSIONS]; /* that it has loaded */
};

/* An order to a model engine, an upstream that runs versions of models, to
 * load or unload a version. */
struct sl_order {
    bool load; /* false: unload */
    struct sl_name version;
    /* Fencing number; later orders have the same or a higher one. Some engines
     * refuse an order with a lower number than they have received before: it
     * comes from a process whose configuration is out of date. */
    uint64_t fence;
};

/* ---- 11. Token bucket ------------------------------------------------- */

/* A token bucket that limits retries: the first attempt of each request adds
 * `share` tokens, each retry takes one. In any period there are at most
 * `share` retries per first attempt, and `max_tokens` more. */
struct sl_token_bucket {
    double tokens;
    double share;
    double max_tokens;
};

/* Returns a full bucket. It needs no free function. */
struct sl_token_bucket SlTokenBucket_New(double share, double max_tokens);
/* Adds the tokens of a first attempt. */
void SlTokenBucket_Refill(struct sl_token_bucket *bucket);
/* Takes a token. Returns false if there is less than one. */
bool SlTokenBucket_Take(struct sl_token_bucket *bucket);

#endif
