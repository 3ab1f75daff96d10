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
    uint64_t dropped;
    uint64_t dropped_reported; /* part of them that a written line counts */
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
        sink->dropped++;
        return false;
    }
    SlBuf_Append(&sink->pending, line);
    return true;
}

/* Writes how many lines were dropped, once there is room again. */
static void
report_dropped(struct sl_log_sink *sink)
{
    uint64_t unreported = sink->dropped - sink->dropped_reported;
    if (unreported > 0 && sink->pending.len < sink->options.max_bytes / 2) {
        SlBuf_Printf(&sink->pending,
                     "{\"event\":\"log_lines_left_out\",\"count\":%" //
                     G_GUINT64_FORMAT "}\n",
                     (guint64)unreported);
        sink->dropped_reported = sink->dropped;
    }
}

/* Returns the size of the whole lines, at least one, that are written next
 * from position `done` on. A pipe takes up to PIPE_BUF bytes at once or none,
 * so its reader never sees a part of a line of that length. */
static size_t
next_write_size(const struct sl_log_sink *sink, size_t done)
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
                          next_write_size(sink, done));
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            break; /* full or closed: the lines stay in the buffer */
        }
        done += (size_t)n;
    }
    if (done > 0) {
        memmove(sink->pending.ptr, sink->pending.ptr + done,
                sink->pending.len - done);
        sink->pending.len -= done;
    }
    report_dropped(sink);
}

double
SlLogSink_Fill(const struct sl_log_sink *sink)
{
    return (double)sink->pending.len / (double)sink->options.max_bytes;
}

uint64_t
SlLogSink_DroppedLines(const struct sl_log_sink *sink)
{
    return sink->dropped;
}
