/* Which log lines are left out when their reader is slow. Lines of a request
 * are held back under pressure until its end is known: all of a request that
 * failed are written, and those of one in a few that went well. */
#include "sl_common.h"

#include <assert.h>

/* Of the sink's buffer in use: from here on lines are held back. The rest is
 * left for requests that fail. */
#define Sl_PRESSURE_FILL 0.25
/* Of the requests that go well under pressure, one in so many is written. */
#define Sl_KEEP_ONE_IN 16
/* Held lines of one request, and of all of them; beyond, lines are written
 * as if there were no pressure. A request has about ten lines of 300 bytes. */
#define Sl_MAX_HELD_BYTES ((size_t)16 * 1024)
#define Sl_MAX_ALL_HELD_BYTES ((size_t)4 * 1024 * 1024)

struct sl_held_lines {
    uint64_t request;
    struct sl_buf text;
    uint64_t count;
};

struct sl_log_sampler {
    struct sl_log_sink *sink; /* borrowed */
    GHashTable *held;         /* request -> struct sl_held_lines, owned */
    size_t held_bytes;
    uint64_t left_out;
    uint64_t left_out_told;
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
        /* How they would have ended is not known: they are written. */
        const struct sl_held_lines *held = value;
        (void)SlLogSink_Write(sampler->sink, SlBuf_Str(&held->text));
    }
    g_hash_table_destroy(sampler->held);
    g_free(sampler);
}

static bool
is_held_back(const struct sl_log_sampler *sampler, uint64_t request,
             struct sl_str line)
{
    return SlLogSink_Fill(sampler->sink) >= Sl_PRESSURE_FILL &&
           SlHash_Mix(request) % Sl_KEEP_ONE_IN != 0 &&
           sampler->held_bytes + line.len <= Sl_MAX_ALL_HELD_BYTES;
}

static void
hold(struct sl_log_sampler *sampler, struct sl_held_lines *held,
     struct sl_str line)
{
    SlBuf_Append(&held->text, line);
    held->count++;
    sampler->held_bytes += line.len;
}

static void
end_request(struct sl_log_sampler *sampler, struct sl_held_lines *held,
            bool keep)
{
    sampler->held_bytes -= held->text.len;
    if (keep) {
        (void)SlLogSink_Write(sampler->sink, SlBuf_Str(&held->text));
    }
    else {
        sampler->left_out += held->count;
    }
    g_hash_table_remove(sampler->held, &held->request);
}

/* Said once there is room for lines again. */
static void
tell_left_out(struct sl_log_sampler *sampler)
{
    struct sl_buf line = {0};
    uint64_t news = sampler->left_out - sampler->left_out_told;
    if (news == 0 || SlLogSink_Fill(sampler->sink) >= Sl_PRESSURE_FILL) {
        return;
    }
    SlBuf_Printf(&line,
                 "{\"event\":\"log_lines_sampled_out\",\"count\":%" //
                 G_GUINT64_FORMAT ",\"kept_one_in\":%d}\n",
                 (guint64)news, Sl_KEEP_ONE_IN);
    if (SlLogSink_Write(sampler->sink, SlBuf_Str(&line))) {
        sampler->left_out_told = sampler->left_out;
    }
    SlBuf_Free(&line);
}

void
SlLogSampler_Write(struct sl_log_sampler *sampler, uint64_t request,
                   enum sl_log_request_state end, struct sl_str line)
{
    tell_left_out(sampler);
    if (request == 0) {
        (void)SlLogSink_Write(sampler->sink, line);
        return;
    }
    struct sl_held_lines *held = g_hash_table_lookup(sampler->held, &request);
    if (held == NULL && end != Sl_LOG_REQUEST_FAILED &&
        is_held_back(sampler, request, line)) {
        held = g_new0(struct sl_held_lines, 1);
        held->request = request;
        g_hash_table_insert(sampler->held, &held->request, held);
    }
    if (held == NULL) {
        (void)SlLogSink_Write(sampler->sink, line);
        return;
    }
    hold(sampler, held, line);
    if (end != Sl_LOG_REQUEST_ACTIVE) {
        end_request(sampler, held, end == Sl_LOG_REQUEST_FAILED);
    }
    else if (held->text.len > Sl_MAX_HELD_BYTES) {
        end_request(sampler, held, true);
    }
}

uint64_t
SlLogSampler_DroppedLines(const struct sl_log_sampler *sampler)
{
    return sampler->left_out;
}
