/*
 * sl_net: HTTP/1.1 towards callers and towards upstreams, on libevent's
 * bufferevents and the http-parser library.
 *
 * evhttp serves the product's own interface; this package serves what evhttp
 * cannot: a caller's close seen while its request runs, answers passed on as
 * they arrive, bytes after an answer, and answers that end with their
 * connection. It holds no decisions: parsing is the library's, and what to do
 * about a request is its owner's.
 *
 * Sections, from simple to advanced:
 *   1. Heads    status or request line with headers
 *   2. Server   callers' connections
 *   3. Client   calls to other processes
 *
 * Nothing here blocks. Everything runs on the event base's thread.
 */
#ifndef Sl_NET_H
#define Sl_NET_H

#include "sl_common.h"

#include <event2/event.h>

/* ---- 1. Heads --------------------------------------------------------- */

/* More headers than this are an error; a caller's proxies add a few. */
#define Sl_HEAD_MAX_HEADERS 64

struct sl_header {
    struct sl_str name;
    struct sl_str value;
};

/* A parsed request or answer head. Views are valid during the callback. */
struct sl_head {
    struct sl_str method; /* requests */
    struct sl_str target; /* requests: path and query */
    int status;           /* answers */
    bool keep_alive;      /* the sender keeps the connection open */
    size_t header_count;
    struct sl_header headers[Sl_HEAD_MAX_HEADERS];
};

/* The value of a header, whose name is compared without case; empty when it
 * is absent. */
struct sl_str SlHead_FindHeader(const struct sl_head *head, const char *name);
bool SlHeader_HasName(const struct sl_header *header, const char *name);
/* True for headers that concern one connection only, and for those that
 * frame a body: both are set anew on the next connection. */
bool SlHead_IsHopByHop(const struct sl_head *head,
                       const struct sl_header *header);
/* The standard reason phrase of a status. */
const char *SlHttp_ReasonPhrase(int status);

/* ---- 2. Server -------------------------------------------------------- */

struct sl_http_server;

struct sl_http_server_handlers {
    /* A whole request. No further one of that connection follows until its
     * answer is finished. */
    void (*on_request)(void *context, uint64_t conn,
                       const struct sl_head *head, struct sl_str body);
    /* The caller closed before its answer was finished; nothing more can be
     * sent on `conn`. */
    void (*on_disconnect)(void *context, uint64_t conn);
    void *context;
};

struct sl_http_server_limits {
    size_t max_header_bytes;
    size_t max_body_bytes;
    int64_t header_timeout_us; /* from a request's first byte to its end */
    int64_t idle_timeout_us;   /* between requests */
    size_t max_connections;
    size_t max_unsent_bytes; /* of one answer whose caller does not read */
};

struct sl_http_server_options {
    struct event_base *base; /* borrowed */
    struct sl_name address;  /* "IP:PORT" */
    struct sl_http_server_handlers handlers;
    struct sl_http_server_limits limits;
};

struct sl_http_server *
SlHttpServer_New(const struct sl_http_server_options *options,
                 struct sl_error *err);
/* Closes every connection at once. */
void SlHttpServer_Free(struct sl_http_server *server);
/* Takes effect for the next request of each connection. */
void SlHttpServer_SetLimits(struct sl_http_server *server,
                            const struct sl_http_server_limits *limits);
/* Sends a whole answer. `headers` is a block of "Name: value\r\n" lines
 * without length or connection headers. Unknown connections are ignored by
 * this and the following functions: their callers have gone. */
void SlHttpServer_Reply(struct sl_http_server *server, uint64_t conn,
                        int status, struct sl_str headers, struct sl_str body);
/* Begins an answer whose length is not known. */
void SlHttpServer_BeginReply(struct sl_http_server *server, uint64_t conn,
                             int status, struct sl_str headers);
void SlHttpServer_SendChunk(struct sl_http_server *server, uint64_t conn,
                            struct sl_str bytes);
/* Ends an answer that was begun; the connection stays open. */
void SlHttpServer_EndReply(struct sl_http_server *server, uint64_t conn);
/* Closes, so that an answer that was begun does not look complete. */
void SlHttpServer_AbortReply(struct sl_http_server *server, uint64_t conn);
/* Answers end with "Connection: close" from now on. */
void SlHttpServer_Drain(struct sl_http_server *server);
/* Closes the listener; connections stay. */
void SlHttpServer_StopAccepting(struct sl_http_server *server);
/* Closes connections on which no request has begun. */
void SlHttpServer_CloseIdle(struct sl_http_server *server);
/* Connections that are open. */
size_t SlHttpServer_ConnectionCount(const struct sl_http_server *server);

/* ---- 3. Client -------------------------------------------------------- */

struct sl_http_client;

/* What is known of a call that has ended. */
struct sl_http_client_result {
    bool connected; /* false: nothing was sent, so nothing can have run */
    bool answered;  /* a head had arrived */
    bool reused;    /* it went over a connection that had served before */
};

struct sl_http_client_handlers {
    void (*on_head)(void *context, uint64_t call, const struct sl_head *head);
    void (*on_chunk)(void *context, uint64_t call, struct sl_str bytes);
    /* Last, once. `err` is NULL when the answer is whole. */
    void (*on_done)(void *context, uint64_t call, const struct sl_error *err,
                    const struct sl_http_client_result *end);
    void *context;
};

struct sl_http_client_call_options {
    struct sl_str address; /* "IP:PORT" */
    const char *peer;      /* name for errors; copied */
    const char *step;      /* step for errors; static */
    struct sl_str head;    /* request line and headers, no blank line */
    struct sl_str body;
    /* Never over a connection that has served before: its peer may be
     * closing it, and then a request looks sent that was not read. */
    bool fresh_connection;
    /* Ends as soon as the connection is made, which is closed; `head` and
     * `body` are not used. */
    bool connect_only;
    int64_t connect_timeout_us;
    int64_t inactivity_timeout_us; /* without a byte; 0: none */
    /* When not NULL, an answer that carries this header with another value
     * than `echo_value` belongs to another request and is skipped. */
    const char *echo_header;
    struct sl_str echo_value;
    struct sl_http_client_handlers handlers;
};

struct sl_http_client_options {
    struct event_base *base; /* borrowed */
    struct sl_str local_ip;  /* source address, or empty */
    int64_t max_idle_us;     /* a connection idle for longer is closed */
    size_t max_idle_per_address;
};

struct sl_http_client *
SlHttpClient_New(const struct sl_http_client_options *options);
void SlHttpClient_Free(struct sl_http_client *client);
/* Returns a handle, never 0. No handler runs before this returns. */
uint64_t SlHttpClient_Call(struct sl_http_client *client,
                           const struct sl_http_client_call_options *options);
/* Closes the call's connection; none of its handlers runs any more. */
void SlHttpClient_Cancel(struct sl_http_client *client, uint64_t call);

#endif
