/* Shared by the files of sl_net: the message reader and socket options. */
#ifndef Sl_NET_INTERNAL_H
#define Sl_NET_INTERNAL_H

#include "sl_net.h"

#include <http_parser.h>
#include <netinet/in.h>

/* ---- grammar ---- */

enum sl_grammar_state {
    Sl_GRAMMAR_START,
    Sl_GRAMMAR_FIRST_LINE, /* request line or status line */
    /* Field lines, of the head or of the trailer. */
    Sl_GRAMMAR_LINE_START,
    Sl_GRAMMAR_NAME,
    Sl_GRAMMAR_VALUE,
    Sl_GRAMMAR_LINE_LF, /* the LF of a line */
    Sl_GRAMMAR_END_LF,  /* the LF of the empty line after the last field */
    Sl_GRAMMAR_CHUNK_SIZE,
    Sl_GRAMMAR_CHUNK_EXTENSION,
    Sl_GRAMMAR_CHUNK_SIZE_LF,
    Sl_GRAMMAR_CHUNK_DATA,
    Sl_GRAMMAR_CHUNK_DATA_CR,
    Sl_GRAMMAR_CHUNK_DATA_LF,
    Sl_GRAMMAR_BODY,    /* that is not in chunks: any bytes */
    Sl_GRAMMAR_END,     /* of the head, or of a message in chunks */
    Sl_GRAMMAR_INVALID, /* the message is malformed */
};

/* Follows the grammar of a message, one byte after the other. */
struct sl_http_grammar {
    enum sl_grammar_state state;
    bool is_response;
    size_t position;     /* in the status line, or digits of a chunk's size */
    uint64_t chunk_left; /* bytes of the chunk's data that are to come */
};

void SlHttpGrammar_Init(struct sl_http_grammar *grammar, bool is_response);
/* Checks the next bytes. Returns how many: all, or those up to the end of the
 * head or of a message in chunks, or to a byte that is wrong there. */
size_t SlHttpGrammar_Scan(struct sl_http_grammar *grammar, const char *bytes,
                          size_t len);
/* Goes on to the body, after the end of the head. */
void SlHttpGrammar_BeginBody(struct sl_http_grammar *grammar, bool is_chunked);

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

/* Parses a connection's messages one after the other with http-parser, which
 * gets the bytes that the grammar allows. Reports a head once all of it has
 * arrived. Stops after each message until SlHttpReader_Reset(). */
struct sl_http_reader {
    struct sl_http_grammar grammar;
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
