/* Shared by the files of sl_net: the message reader and socket options. */
#ifndef Sl_NET_INTERNAL_H
#define Sl_NET_INTERNAL_H

#include "sl_net.h"

#include <http_parser.h>
#include <netinet/in.h>

/* ---- message reader ---- */

struct sl_http_reader;

/* `on_head` and `on_body` return false to stop reading: the message is then
 * rejected. */
struct sl_http_reader_handlers {
    bool (*on_head)(void *context);
    bool (*on_body)(void *context, struct sl_str bytes);
    void (*on_end)(void *context);
    void *context;
};

/* A part of the reader's `head_text`. Offsets are stored since appending may
 * move the text. */
struct sl_span {
    size_t offset;
    size_t len;
};

/* Reads one message after the other with http-parser and reports a head once
 * all of it has arrived. Stops after each message until it is reset. */
struct sl_http_reader {
    http_parser parser;
    struct sl_http_reader_handlers handlers;
    struct sl_buf head_text; /* target, header names and values, joined */
    struct sl_span target;
    struct sl_span names[Sl_HEAD_MAX_HEADERS];
    struct sl_span values[Sl_HEAD_MAX_HEADERS];
    size_t header_count;
    size_t max_header_bytes;
    bool in_header_value; /* the last header text was part of a value */
    bool head_complete;
    bool keep_alive;
    bool header_too_large;
    bool skip_body; /* the message has no body, as a response to HEAD */
    bool started;   /* a byte of the message has arrived */
    bool complete;  /* the message is complete */
};

void SlHttpReader_Init(struct sl_http_reader *reader,
                       enum http_parser_type type, size_t max_header_bytes,
                       const struct sl_http_reader_handlers *handlers);
/* Frees the reader's memory. */
void SlHttpReader_Clear(struct sl_http_reader *reader);
/* Returns how many bytes were consumed: fewer than `len` if the message ends
 * before, 0 if it had ended. Sets `ok` to false on a protocol error, or if a
 * handler stopped reading. */
size_t SlHttpReader_Feed(struct sl_http_reader *reader, const char *bytes,
                         size_t len, bool *ok);
/* The peer closed the connection in an orderly way, which ends a response
 * without a length. Returns false if the message is incomplete. */
bool SlHttpReader_EndOfInput(struct sl_http_reader *reader);
/* Prepares the reader for the next message. */
void SlHttpReader_Reset(struct sl_http_reader *reader);
/* Gives the head of the message. Valid from `on_head` until
 * SlHttpReader_Reset(). */
void SlHttpReader_GetHead(const struct sl_http_reader *reader,
                          struct sl_head *head);

/* ---- sockets ---- */

/* Parses "IP:PORT" with an IPv4 address. Returns false if `text` is not of
 * this form. */
bool SlSocket_ParseAddress(struct sl_str text, struct sockaddr_in *address);
/* Disables Nagle's algorithm, and enables keep-alive probes and a limit on
 * how long sent bytes may stay unacknowledged, so that a lost peer is
 * detected. Errors are ignored: without the options a socket still works, and
 * a lost peer is detected later. */
void SlSocket_SetOptions(evutil_socket_t fd);
/* Reports whether the socket's connection is established. */
bool SlSocket_IsConnected(evutil_socket_t fd);

#endif
