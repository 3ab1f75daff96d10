/* Shared by the files of sl_net: the message reader and socket options. */
#ifndef Sl_NET_INTERNAL_H
#define Sl_NET_INTERNAL_H

#include "sl_net.h"

#include <http_parser.h>
#include <netinet/in.h>

/* ---- message reader ---- */

struct sl_http_reader;

/* `on_head` and `on_body` return false to reject the message: no more of it is
 * read. */
struct sl_http_reader_handlers {
    bool (*on_head)(void *context); /* the head is complete */
    bool (*on_body)(void *context, struct sl_str bytes);
    void (*on_end)(void *context); /* the message is complete */
    void *context;
};

/* A part of the reader's `head_text`, given by its offset and not by a
 * pointer, since appending may move the text. */
struct sl_span {
    size_t offset;
    size_t len;
};

/* Parses a connection's messages one after the other with http-parser. Reports
 * a head once all of it has arrived. Stops after each message until
 * SlHttpReader_Reset(). */
struct sl_http_reader {
    http_parser parser;
    struct sl_http_reader_handlers handlers;
    struct sl_buf head_text; /* target, header names and values, joined */
    struct sl_span target;
    struct sl_span names[Sl_HEAD_MAX_HEADERS];
    struct sl_span values[Sl_HEAD_MAX_HEADERS];
    size_t header_count;
    size_t max_header_bytes; /* of `head_text` */
    bool in_header_value;    /* the last header text was part of a value */
    bool head_complete;
    bool keep_alive; /* the sender keeps the connection open */
    bool header_too_large;
    /* The message has no body, as a response to HEAD. Nothing sets it yet. */
    bool skip_body;
    bool started;  /* a byte of the message has arrived */
    bool complete; /* the message is complete */
};

/* Copies `handlers`. */
void SlHttpReader_Init(struct sl_http_reader *reader,
                       enum http_parser_type type, size_t max_header_bytes,
                       const struct sl_http_reader_handlers *handlers);
/* Frees the reader's memory. */
void SlHttpReader_Clear(struct sl_http_reader *reader);
/* Parses received bytes. Returns how many were consumed: fewer than `len` if
 * the message ends within them or is rejected, and 0 if the message was
 * complete before. Sets `ok` to false if the message is malformed or a handler
 * rejected it. */
size_t SlHttpReader_Feed(struct sl_http_reader *reader, const char *bytes,
                         size_t len, bool *ok);
/* Tells the reader that the peer closed the connection in an orderly way,
 * which ends a response without a length. Returns true, after `on_end`, if
 * this completed the message; false if the message is incomplete, was complete
 * before or has not started. */
bool SlHttpReader_EndOfInput(struct sl_http_reader *reader);
/* Prepares the reader for the next message. */
void SlHttpReader_Reset(struct sl_http_reader *reader);
/* Fills in the head of the message. Its views are valid from `on_head` until
 * SlHttpReader_Reset(). */
void SlHttpReader_GetHead(const struct sl_http_reader *reader,
                          struct sl_head *head);

/* ---- sockets ---- */

/* Parses "IP:PORT" with an IPv4 address. Returns false if `text` is not of
 * this form. */
bool SlSocket_ParseAddress(struct sl_str text, struct sockaddr_in *address);
/* Disables Nagle's algorithm, and enables keep-alive probes and a limit on
 * how long sent bytes may stay unacknowledged, so that a lost peer is
 * detected. Errors are ignored: a socket works without the options, but a lost
 * peer is detected later. */
void SlSocket_SetOptions(evutil_socket_t fd);
/* Reports whether the socket's connection is established. */
bool SlSocket_IsConnected(evutil_socket_t fd);

#endif
