/* Samples log lines while their reader is slow. Under pressure, the lines of a
 * request are held until its result is known: those of a failed request are
 * always written, those of a successful one only for a fixed share. */
#include "sl_common.h"

#include <assert.h>

/* Share of the sink's buffer in use from which lines are held. The rest of the
 * buffer is reserved for failed requests. */
#define Sl_PRESSURE_FILL 0.25
/* Of the requests that succeed under pressure, one in this many is written. */
#define Sl_KEEP_ONE_IN 16
/* Limits on the held lines of one request and of all requests. Beyond them,
 * lines are written as without pressure. A request has about ten lines of 300
 * bytes. */
#define Sl_MAX_HELD_BYTES ((size_t)16 * 1024)
#define Sl_MAX_TOTAL_HELD_BYTES ((size_t)4 * 1024 * 1024)

struct sl_held_lines {
    uint64_t request;
    struct sl_buf text;
    uint64_t count;
};

struct sl_log_sampler {
    struct sl_log_sink *sink; /* borrowed */
    GHashTable *held;         /* request -> struct sl_held_lines, owned */
    size_t held_bytes;
    uint64_t dropped;
    uint64_t dropped_reported;
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
        /* The result of the request is unknown: the lines are written. */
        const struct sl_held_lines *held = value;
        (void)SlLogSink_Write(sampler->sink, SlBuf_Str(&held->text));
    }
    g_hash_table_destroy(sampler->held);
    g_free(sampler);
}

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

/* Writes the held lines of a request if `keep` is set, else drops them. */
static void
release(struct sl_log_sampler *sampler, struct sl_held_lines *held, bool keep)
{
    sampler->held_bytes -= held->text.len;
    if (keep) {
        (void)SlLogSink_Write(sampler->sink, SlBuf_Str(&held->text));
    }
    else {
        sampler->dropped += held->count;
    }
    g_hash_table_remove(sampler->held, &held->request);
}

/* Writes how many lines were dropped, once there is room again. */
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
