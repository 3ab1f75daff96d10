#include "sl_backlog.h"

/* A paused stream goes on when its bytes have fallen to this share of what it
 * may hold: one part in this many. */
#define Sl_RESUME_DIVISOR 2

/* While more bytes are held than the pool has, which whole responses may do,
 * clients have stalled after this part of the time: one in this many. */
#define Sl_FULL_STALL_DIVISOR 10

/* The response to one client. */
struct sl_backlog_stream {
    uint64_t conn;
    uint64_t call; /* 0: the response is complete */
    size_t bytes;
    int64_t taken_us; /* when the client last took bytes; if none waited since,
                         when the first was added */
    bool is_paused;
};

struct sl_backlog {
    struct sl_backlog_options options;
    GHashTable *streams; /* conn -> struct sl_backlog_stream, owned */
    GArray *changes;     /* struct sl_backlog_change that were not fetched */
    struct sl_backlog_stats stats;
};

/* ---- pool ---- */

struct sl_backlog *
SlBacklog_New(const struct sl_backlog_options *options)
{
    struct sl_backlog *backlog = g_new0(struct sl_backlog, 1);
    backlog->options = *options;
    backlog->streams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    backlog->changes =
        g_array_new(FALSE, FALSE, sizeof(struct sl_backlog_change));
    return backlog;
}

void
SlBacklog_Free(struct sl_backlog *backlog)
{
    if (backlog != NULL) {
        g_hash_table_destroy(backlog->streams);
        g_array_free(backlog->changes, TRUE);
        g_free(backlog);
    }
}

struct sl_backlog_stats
SlBacklog_Stats(const struct sl_backlog *backlog)
{
    return backlog->stats;
}

/* ---- streams ---- */

static struct sl_backlog_stream *
find_stream(const struct sl_backlog *backlog, uint64_t conn)
{
    return g_hash_table_lookup(backlog->streams, &conn);
}

/* Returns the bytes that a stream may hold. */
static size_t
stream_limit(const struct sl_backlog *backlog)
{
    size_t max = backlog->options.max_bytes;
    size_t left = max - MIN(backlog->stats.bytes, max);
    return MAX(left, backlog->options.min_stream_bytes);
}

static void
set_paused(struct sl_backlog *backlog, struct sl_backlog_stream *stream,
           bool is_paused)
{
    const struct sl_backlog_change change = {stream->call, is_paused};
    if (stream->is_paused != is_paused) {
        stream->is_paused = is_paused;
        backlog->stats.paused += is_paused ? 1 : (size_t)-1;
        g_array_append_val(backlog->changes, change);
    }
}

static void
set_bytes(struct sl_backlog *backlog, struct sl_backlog_stream *stream,
          size_t bytes)
{
    backlog->stats.bytes -= stream->bytes;
    backlog->stats.bytes += bytes;
    stream->bytes = bytes;
}

/* Pauses or resumes the stream's call if that is due. */
static void
update(struct sl_backlog *backlog, struct sl_backlog_stream *stream)
{
    size_t limit = stream_limit(backlog);
    if (stream->call != 0 && stream->bytes > limit) {
        set_paused(backlog, stream, true);
    }
    else if (stream->bytes <= limit / Sl_RESUME_DIVISOR) {
        set_paused(backlog, stream, false);
    }
}

static void
forget(struct sl_backlog *backlog, struct sl_backlog_stream *stream)
{
    set_bytes(backlog, stream, 0);
    backlog->stats.paused -= stream->is_paused ? 1 : 0;
    g_hash_table_remove(backlog->streams, &stream->conn);
}

void
SlBacklog_OnAdded(struct sl_backlog *backlog, uint64_t conn, uint64_t call,
                  size_t bytes, int64_t now_us)
{
    struct sl_backlog_stream *stream = find_stream(backlog, conn);
    if (stream == NULL && bytes == 0) {
        return;
    }
    if (stream == NULL) {
        stream = g_new0(struct sl_backlog_stream, 1);
        stream->conn = conn;
        g_hash_table_insert(backlog->streams, &stream->conn, stream);
    }
    if (stream->call != call) {
        /* The new call is read; there is nothing to resume of the old one. */
        backlog->stats.paused -= stream->is_paused ? 1 : 0;
        stream->is_paused = false;
        stream->call = call;
    }
    if (stream->bytes == 0) {
        stream->taken_us = now_us;
    }
    set_bytes(backlog, stream, bytes);
    if (call == 0 && bytes == 0) {
        forget(backlog, stream);
        return;
    }
    update(backlog, stream);
}

void
SlBacklog_OnTaken(struct sl_backlog *backlog, uint64_t conn, size_t bytes,
                  int64_t now_us)
{
    struct sl_backlog_stream *stream = find_stream(backlog, conn);
    if (stream == NULL) {
        return;
    }
    stream->taken_us = now_us;
    set_bytes(backlog, stream, bytes);
    update(backlog, stream);
    if (bytes == 0 && !stream->is_paused) {
        forget(backlog, stream);
    }
}

void
SlBacklog_OnClosed(struct sl_backlog *backlog, uint64_t conn)
{
    struct sl_backlog_stream *stream = find_stream(backlog, conn);
    if (stream != NULL) {
        forget(backlog, stream);
    }
}

bool
SlBacklog_HasChange(const struct sl_backlog *backlog)
{
    return backlog->changes->len > 0;
}

bool
SlBacklog_NextChange(struct sl_backlog *backlog,
                     struct sl_backlog_change *change)
{
    if (backlog->changes->len == 0) {
        return false;
    }
    *change = g_array_index(backlog->changes, struct sl_backlog_change, 0);
    g_array_remove_index(backlog->changes, 0);
    return true;
}

/* ---- stalls ---- */

uint64_t
SlBacklog_NextStalled(struct sl_backlog *backlog, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    int64_t stall_us = backlog->options.stall_us;
    if (backlog->stats.bytes > backlog->options.max_bytes) {
        stall_us /= Sl_FULL_STALL_DIVISOR;
    }
    g_hash_table_iter_init(&iter, backlog->streams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_backlog_stream *stream = value;
        if (stream->bytes > 0 && now_us - stream->taken_us >= stall_us) {
            uint64_t conn = stream->conn;
            backlog->stats.stalled++;
            forget(backlog, stream);
            return conn;
        }
    }
    return 0;
}
