/* Splits a stream of server-sent events at its empty lines. */
#include "sl_router_internal.h"

#include <string.h>

/* Bytes at the end of the stream that may begin an event's end: all but the
 * last of "\n\r\n". */
#define Sl_PARTIAL_END_BYTES 2

void
SlEventSplitter_Append(struct sl_event_splitter *splitter, struct sl_str bytes)
{
    SlBuf_Append(&splitter->pending, bytes);
}

/* The number in the event's first "id:" line, or -1. */
static int64_t
event_id(struct sl_str event)
{
    size_t at = 0;
    while (at < event.len) {
        const char *line = event.ptr + at;
        const char *end = memchr(line, '\n', event.len - at);
        size_t len = end == NULL ? event.len - at : (size_t)(end - line);
        if (len > 3 && memcmp(line, "id:", 3) == 0) {
            int64_t id = 0;
            size_t digit = line[3] == ' ' ? 4 : 3;
            if (digit >= len || !g_ascii_isdigit(line[digit])) {
                return -1;
            }
            for (; digit < len && g_ascii_isdigit(line[digit]) &&
                   id < G_MAXINT32;
                 digit++) {
                id = id * 10 + (line[digit] - '0');
            }
            return id;
        }
        at += len + 1;
    }
    return -1;
}

/* Length of the first event, its empty line included; 0 if it is not whole. No
 * event ends within the first `from` bytes. */
static size_t
event_length(struct sl_str bytes, size_t from)
{
    for (size_t i = from; i + 1 < bytes.len; i++) {
        if (bytes.ptr[i] != '\n') {
            continue;
        }
        if (bytes.ptr[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < bytes.len && bytes.ptr[i + 1] == '\r' &&
            bytes.ptr[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

bool
SlEventSplitter_Next(struct sl_event_splitter *splitter, size_t *offset,
                     struct sl_str *event, int64_t *id)
{
    struct sl_str rest = {splitter->pending.ptr + *offset,
                          splitter->pending.len - *offset};
    size_t from = MAX(splitter->scanned_bytes, *offset) - *offset;
    size_t len = rest.len == 0 ? 0 : event_length(rest, from);
    if (len == 0) {
        /* An event's end may begin in the last two bytes. */
        splitter->scanned_bytes =
            *offset + (rest.len > Sl_PARTIAL_END_BYTES
                           ? rest.len - Sl_PARTIAL_END_BYTES
                           : 0);
        return false;
    }
    *event = (struct sl_str){rest.ptr, len};
    *id = event_id(*event);
    *offset += len;
    return true;
}

void
SlEventSplitter_Consume(struct sl_event_splitter *splitter, size_t offset)
{
    size_t rest = splitter->pending.len - offset;
    if (offset > 0) {
        memmove(splitter->pending.ptr, splitter->pending.ptr + offset, rest);
        splitter->pending.len = rest;
        splitter->scanned_bytes -= MIN(splitter->scanned_bytes, offset);
    }
}

void
SlEventSplitter_Clear(struct sl_event_splitter *splitter)
{
    SlBuf_Clear(&splitter->pending);
    splitter->scanned_bytes = 0;
}

void
SlEventSplitter_Free(struct sl_event_splitter *splitter)
{
    SlBuf_Free(&splitter->pending);
}
