/* Shared by the files of sl_net: the message reader and socket options. */
#ifndef Sl_NET_INTERNAL_H
#define Sl_NET_INTERNAL_H

#include "sl_net.h"

#include <http_parser.h>
#include <netinet/in.h>

/* ---- message reader ---- */

struct sl_http_reader;

struct sl_http_reader_handlers {
    /* Return false to stop reading: the message is not wanted. */
    bool (*on_head)(void *context);
    bool (*on_body)(void *context, struct sl_str bytes);
    void (*on_end)(void *context);
    void *context;
};

/* Where header text is kept until the head is whole. */
struct sl_span {
    size_t at;
    size_t len;
};

/* Feeds http-parser and gives whole heads. Pauses after each message. */
struct sl_http_reader {
    http_parser parser;
    struct sl_http_reader_handlers handlers;
    struct sl_buf text; /* target, names and values, one after the other */
    struct sl_span target;
    struct sl_span names[Sl_HEAD_MAX_HEADERS];
    struct sl_span values[Sl_HEAD_MAX_HEADERS];
    size_t header_count;
    size_t max_header_bytes;
    bool in_value;
    bool head_done; /* the head is whole */
    bool keep_alive;
    bool header_too_large;
    bool skip_body; /* answers to HEAD */
    bool started;   /* bytes of the message have come */
    bool ended; /* it is whole; SlHttpReader_Reset() makes ready for another */
};

void SlHttpReader_Init(struct sl_http_reader *reader,
                       enum http_parser_type type, size_t max_header_bytes,
                       const struct sl_http_reader_handlers *handlers);
void SlHttpReader_Clear(struct sl_http_reader *reader);
/* Returns how many bytes were taken; false in `ok` on a protocol error. */
size_t SlHttpReader_Feed(struct sl_http_reader *reader, const char *bytes,
                         size_t len, bool *ok);
/* The peer has closed in order: ends an answer that has no length. Returns
 * false when the message is cut. */
bool SlHttpReader_EndOfInput(struct sl_http_reader *reader);
void SlHttpReader_Reset(struct sl_http_reader *reader);
/* The head that has been read, from `on_head` until SlHttpReader_Reset(). */
void SlHttpReader_GetHead(const struct sl_http_reader *reader,
                          struct sl_head *head);

/* ---- sockets ---- */

/* Parses "IP:PORT"; false when it is not one. */
bool SlSocket_ParseAddress(struct sl_str text, struct sockaddr_in *address);
/* No delay, keep-alive probes, and a bound on unacknowledged bytes, so that a
 * peer that has fallen silent is noticed. Errors are ignored: a socket
 * without them works, and times out later. */
void SlSocket_SetOptions(evutil_socket_t fd);
bool SlSocket_IsConnected(evutil_socket_t fd);

#endif
