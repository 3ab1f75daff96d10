/* Samples log lines while the reader of the log is slow. While the sink's
 * buffer is filled above a threshold, the lines of a request are held back
 * until the request ends. If it failed, its lines are written, otherwise they
 * are dropped. A fixed share of the requests is excepted: their lines are
 * always written at once. */
#include "sl_common.h"

#include <assert.h>

/* When at least this share of the sink's buffer is in use, lines are held
 * back. The rest of the buffer is reserved for failed requests. */
#define Sl_PRESSURE_FILL 0.25
/* One in this many requests, chosen by a hash of its number, is excepted from
 * sampling. */
#define Sl_KEEP_ONE_IN 16
/* Once the held lines of a request exceed this, they are written. A request
 * has about ten lines of 300 bytes. */
#define Sl_MAX_HELD_BYTES ((size_t)16 * 1024)
/* While the held lines of all requests use this much memory, the lines of
 * further requests are written at once. */
#define Sl_MAX_TOTAL_HELD_BYTES ((size_t)4 * 1024 * 1024)

/* The lines of a request that are held back. */
struct sl_held_lines {
    uint64_t request;
    struct sl_buf text; /* the lines, one after the other */
    uint64_t count;
};

struct sl_log_sampler {
    struct sl_log_sink *sink; /* borrowed */
    GHashTable *held;         /* request -> struct sl_held_lines, owned */
    size_t held_bytes;        /* of all requests */
    uint64_t dropped;
    uint64_t dropped_reported; /* of these, the number that was logged */
};

static void
free_held(gpointer data)
{
    struct sl_held_lines *held = data;
    SlBuf_Free(&held->text);
    g_free(held);
}

struct sl_log_sampler *
SlLogSampler_New(struct sl_log_sink *sink)
{
    struct sl_log_sampler *sampler = g_new0(struct sl_log_sampler, 1);
    sampler->sink = sink;
    sampler->held =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_held);
    return sampler;
}

void
SlLogSampler_Free(struct sl_log_sampler *sampler)
{
    if (sampler == NULL) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sampler->held);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        /* The request has not ended and may fail, so its lines are written. */
        const struct sl_held_lines *held = value;
        (void)SlLogSink_Write(sampler->sink, SlBuf_Str(&held->text));
    }
    g_hash_table_destroy(sampler->held);
    g_free(sampler);
}

/* Returns true if a line of a request that has no held lines is to be held. */
static bool
must_be_held(const struct sl_log_sampler *sampler, uint64_t request,
             struct sl_str line)
{
    return SlLogSink_Fill(sampler->sink) >= Sl_PRESSURE_FILL &&
           SlHash_Mix(request) % Sl_KEEP_ONE_IN != 0 &&
           sampler->held_bytes + line.len <= Sl_MAX_TOTAL_HELD_BYTES;
}

static void
hold(struct sl_log_sampler *sampler, struct sl_held_lines *held,
     struct sl_str line)
{
    SlBuf_Append(&held->text, line);
    held->count++;
    sampler->held_bytes += line.len;
}

/* Writes the held lines of a request if `write` is set, otherwise drops them.
 * Frees `held`. */
static void
release(struct sl_log_sampler *sampler, struct sl_held_lines *held, bool write)
{
    sampler->held_bytes -= held->text.len;
    if (write) {
        (void)SlLogSink_Write(sampler->sink, SlBuf_Str(&held->text));
    }
    else {
        sampler->dropped += held->count;
    }
    g_hash_table_remove(sampler->held, &held->request);
}

/* Writes a line with the number of lines that were dropped since the last such
 * line, unless the sink's buffer is too full. */
static void
report_dropped(struct sl_log_sampler *sampler)
{
    struct sl_buf line = {0};
    uint64_t unreported = sampler->dropped - sampler->dropped_reported;
    if (unreported == 0 || SlLogSink_Fill(sampler->sink) >= Sl_PRESSURE_FILL) {
        return;
    }
    SlBuf_Printf(&line,
                 "{\"event\":\"log_lines_sampled_out\",\"count\":%" //
                 G_GUINT64_FORMAT ",\"kept_one_in\":%d}\n",
                 (guint64)unreported, Sl_KEEP_ONE_IN);
    if (SlLogSink_Write(sampler->sink, SlBuf_Str(&line))) {
        sampler->dropped_reported = sampler->dropped;
    }
    SlBuf_Free(&line);
}

void
SlLogSampler_Write(struct sl_log_sampler *sampler, uint64_t request,
                   enum sl_log_request_state state, struct sl_str line)
{
    report_dropped(sampler);
    if (request == 0) {
        (void)SlLogSink_Write(sampler->sink, line);
        return;
    }
    struct sl_held_lines *held = g_hash_table_lookup(sampler->held, &request);
    if (held == NULL && state != Sl_LOG_REQUEST_FAILED &&
        must_be_held(sampler, request, line)) {
        held = g_new0(struct sl_held_lines, 1);
        held->request = request;
        g_hash_table_insert(sampler->held, &held->request, held);
    }
    if (held == NULL) {
        (void)SlLogSink_Write(sampler->sink, line);
        return;
    }
    hold(sampler, held, line);
    if (state != Sl_LOG_REQUEST_ACTIVE) {
        release(sampler, held, state == Sl_LOG_REQUEST_FAILED);
    }
    else if (held->text.len > Sl_MAX_HELD_BYTES) {
        release(sampler, held, true);
    }
}

uint64_t
SlLogSampler_DroppedLines(const struct sl_log_sampler *sampler)
{
    return sampler->dropped;
}
