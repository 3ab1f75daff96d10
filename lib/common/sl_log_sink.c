/* A bounded, non-blocking buffer of log lines. */
#include "sl_common.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <string.h>
#include <unistd.h>

struct sl_log_sink {
    struct sl_log_sink_options options;
    struct sl_buf pending;
    uint64_t left_out;
    uint64_t left_out_told; /* of them, those that were written about */
};

struct sl_log_sink *
SlLogSink_New(const struct sl_log_sink_options *options)
{
    struct sl_log_sink *sink = g_new0(struct sl_log_sink, 1);
    int flags = fcntl(options->fd, F_GETFL);
    sink->options = *options;
    if (flags >= 0) {
        (void)fcntl(options->fd, F_SETFL, flags | O_NONBLOCK);
    }
    return sink;
}

void
SlLogSink_Free(struct sl_log_sink *sink)
{
    if (sink != NULL) {
        SlLogSink_Flush(sink);
        SlBuf_Free(&sink->pending);
        g_free(sink);
    }
}

bool
SlLogSink_Write(struct sl_log_sink *sink, struct sl_str line)
{
    if (sink->pending.len + line.len > sink->options.max_bytes) {
        sink->left_out++;
        return false;
    }
    SlBuf_Append(&sink->pending, line);
    return true;
}

static void
tell_left_out(struct sl_log_sink *sink)
{
    uint64_t news = sink->left_out - sink->left_out_told;
    if (news > 0 && sink->pending.len < sink->options.max_bytes / 2) {
        SlBuf_Printf(&sink->pending,
                     "{\"event\":\"log_lines_left_out\",\"count\":%" //
                     G_GUINT64_FORMAT "}\n",
                     (guint64)news);
        sink->left_out_told = sink->left_out;
    }
}

/* Whole lines that fit into one write, from `done` on; at least one line. A
 * pipe takes up to PIPE_BUF bytes at once or not at all, so that its reader
 * sees no part of a line. */
static size_t
next_bytes(const struct sl_log_sink *sink, size_t done)
{
    size_t take = 0;
    while (done + take < sink->pending.len) {
        const char *from = sink->pending.ptr + done + take;
        size_t left = sink->pending.len - done - take;
        const char *end = memchr(from, '\n', left);
        size_t line = end == NULL ? left : (size_t)(end - from) + 1;
        if (take > 0 && take + line > PIPE_BUF) {
            break;
        }
        take += line;
    }
    return take;
}

void
SlLogSink_Flush(struct sl_log_sink *sink)
{
    size_t done = 0;
    while (done < sink->pending.len) {
        ssize_t n = write(sink->options.fd, sink->pending.ptr + done,
                          next_bytes(sink, done));
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            break; /* full, or closed: the lines wait, or are left out */
        }
        done += (size_t)n;
    }
    if (done > 0) {
        memmove(sink->pending.ptr, sink->pending.ptr + done,
                sink->pending.len - done);
        sink->pending.len -= done;
    }
    tell_left_out(sink);
}

double
SlLogSink_Fill(const struct sl_log_sink *sink)
{
    return (double)sink->pending.len / (double)sink->options.max_bytes;
}

uint64_t
SlLogSink_DroppedLines(const struct sl_log_sink *sink)
{
    return sink->left_out;
}
