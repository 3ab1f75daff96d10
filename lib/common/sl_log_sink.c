/* A bounded buffer of log lines in front of a non-blocking descriptor. */
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
    uint64_t dropped_reported; /* of these, the number that was logged */
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
SlLogSink_Write(struct sl_log_sink *sink, struct sl_str lines)
{
    if (sink->pending.len + lines.len > sink->options.max_bytes) {
        sink->dropped++;
        return false;
    }
    SlBuf_Append(&sink->pending, lines);
    return true;
}

/* Buffers a line with the number of lines that were dropped since the last
 * such line, once the buffer is less than half full. */
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

/* Returns the number of bytes to pass to the next write(), from position
 * `start` of the buffer on: as many whole lines as fit in PIPE_BUF bytes, but
 * at least one line. A pipe accepts a write of up to PIPE_BUF bytes completely
 * or not at all, so its reader never sees a part of a line that fits. */
static size_t
next_write_size(const struct sl_log_sink *sink, size_t start)
{
    size_t size = 0;
    while (start + size < sink->pending.len) {
        const char *line = sink->pending.ptr + start + size;
        size_t rest_len = sink->pending.len - start - size;
        const char *newline = memchr(line, '\n', rest_len);
        size_t line_len =
            newline == NULL ? rest_len : (size_t)(newline - line) + 1;
        if (size > 0 && size + line_len > PIPE_BUF) {
            break;
        }
        size += line_len;
    }
    return size;
}

void
SlLogSink_Flush(struct sl_log_sink *sink)
{
    size_t written = 0;
    while (written < sink->pending.len) {
        ssize_t n = write(sink->options.fd, sink->pending.ptr + written,
                          next_write_size(sink, written));
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            break; /* the pipe is full or closed: the lines stay buffered */
        }
        written += (size_t)n;
    }
    if (written > 0) {
        memmove(sink->pending.ptr, sink->pending.ptr + written,
                sink->pending.len - written);
        sink->pending.len -= written;
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
