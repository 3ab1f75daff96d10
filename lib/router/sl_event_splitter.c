/* Splits a stream of server-sent events at the empty lines that end them. */
#include "sl_router_internal.h"

#include <string.h>

/* Last bytes of the stream that may be the beginning of an event's end: the
 * longest end is "\n\r\n", and its last byte is missing. */
#define Sl_PARTIAL_END_BYTES 2

void
SlEventSplitter_Append(struct sl_event_splitter *splitter, struct sl_str bytes)
{
    SlBuf_Append(&splitter->pending, bytes);
}

/* Returns `text` without the spaces and carriage returns around it. */
static struct sl_str
trim(struct sl_str text)
{
    while (text.len > 0 && text.ptr[0] == ' ') {
        text.ptr++;
        text.len--;
    }
    while (text.len > 0 &&
           (text.ptr[text.len - 1] == ' ' || text.ptr[text.len - 1] == '\r')) {
        text.len--;
    }
    return text;
}

/* Returns the value of the event's first "id:" line; empty if there is no such
 * line, or nothing in it. */
static struct sl_str
event_id(struct sl_str event)
{
    size_t offset = 0;
    while (offset < event.len) {
        const char *line = event.ptr + offset;
        const char *end = memchr(line, '\n', event.len - offset);
        size_t len = end == NULL ? event.len - offset : (size_t)(end - line);
        if (len > 3 && memcmp(line, "id:", 3) == 0) {
            return trim((struct sl_str){line + 3, len - 3});
        }
        offset += len + 1;
    }
    return Sl_STR("");
}

/* Returns the length of the first event, its empty line included; 0 if the
 * event is not whole. Searches for the empty line from the offset `from` on;
 * the caller has searched the bytes before. */
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
                     struct sl_str *event, struct sl_str *id)
{
    struct sl_str rest = {splitter->pending.ptr + *offset,
                          splitter->pending.len - *offset};
    size_t from = MAX(splitter->scanned_bytes, *offset) - *offset;
    size_t len = rest.len == 0 ? 0 : event_length(rest, from);
    if (len == 0) {
        /* The last bytes are searched again: an event's end may begin there.
         */
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
