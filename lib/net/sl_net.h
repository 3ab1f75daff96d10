/*
 * sl_net: HTTP/1.1 server and client, on libevent's bufferevents and the
 * http-parser library.
 *
 * The server takes the requests of clients; the client sends requests to
 * upstreams and to other processes. They do what libevent's evhttp cannot:
 * report that a client disconnected while its request is being processed,
 * forward a response as it arrives, detect bytes after the end of a response,
 * and accept responses that end when the connection is closed.
 *
 * This package makes no routing decisions: http-parser parses messages, and
 * the user of the package decides what happens to a request.
 *
 * Sections, from simple to advanced:
 *   1. Heads    request or status line with headers
 *   2. Server   connections of clients
 *   3. Client   calls to upstreams and other processes
 *
 * No function blocks. Everything runs on the event base's thread.
 */
#ifndef Sl_NET_H
#define Sl_NET_H

#include "sl_common.h"

#include <event2/event.h>

/* ---- 1. Heads --------------------------------------------------------- */

/* A message with more headers is rejected. Proxies in front of a client add
 * only a few. */
#define Sl_HEAD_MAX_HEADERS 64

struct sl_header {
    struct sl_str name;
    struct sl_str value;
};

/* The parsed head of a request or response. Views are valid during the
 * callback that receives it. */
struct sl_head {
    struct sl_str method; /* of requests */
    struct sl_str target; /* of requests: path and query */
    int status;           /* of responses */
    bool keep_alive;      /* the sender keeps the connection open */
    size_t header_count;
    struct sl_header headers[Sl_HEAD_MAX_HEADERS];
};

/* Returns the value of the first header called `name`, ignoring case, or an
 * empty view if there is none. */
struct sl_str SlHead_FindHeader(const struct sl_head *head, const char *name);
/* Reports whether the header is called `name`, ignoring case. */
bool SlHeader_HasName(const struct sl_header *header, const char *name);
/* Returns true if the header applies to one connection only or frames the
 * body, and so must not be forwarded: the next connection sets its own. */
bool SlHead_IsHopByHop(const struct sl_head *head,
                       const struct sl_header *header);
/* Returns the standard reason phrase of a status code, "Unknown" for codes
 * that have none. */
const char *SlHttp_ReasonPhrase(int status);

/* ---- 2. Server -------------------------------------------------------- */

struct sl_http_server;

struct sl_http_server_handlers {
    /* A complete request has arrived. The next request of the same connection
     * is reported only after the response to this one is complete. `head` and
     * `body` are valid until the handler returns. */
    void (*on_request)(void *context, uint64_t conn,
                       const struct sl_head *head, struct sl_str body);
    /* The client disconnected before its response was complete; nothing more
     * can be sent on `conn`. */
    void (*on_disconnect)(void *context, uint64_t conn);
    void *context;
};

struct sl_http_server_limits {
    size_t max_header_bytes;
    size_t max_body_bytes;
    int64_t header_timeout_us; /* to read a request, its body included */
    int64_t idle_timeout_us;   /* between two requests of a connection */
    size_t max_connections;
    size_t
        max_unsent_bytes; /* of one response that the client does not read */
};

struct sl_http_server_options {
    struct event_base *base; /* borrowed */
    struct sl_name address;  /* "IP:PORT" */
    struct sl_http_server_handlers handlers;
    struct sl_http_server_limits limits;
};

/* Listens on the address. Returns NULL and fills `err` if that fails. */
struct sl_http_server *
SlHttpServer_New(const struct sl_http_server_options *options,
                 struct sl_error *err);
/* Closes all connections at once, without calling `on_disconnect`. */
void SlHttpServer_Free(struct sl_http_server *server);
/* Replaces the limits, also for open connections. */
void SlHttpServer_SetLimits(struct sl_http_server *server,
                            const struct sl_http_server_limits *limits);
/* Sends a complete response. `headers` is a block of "Name: value\r\n" lines
 * without Content-Length, Transfer-Encoding and Connection. This function and
 * those that follow ignore an unknown `conn`: its client has disconnected. */
void SlHttpServer_Reply(struct sl_http_server *server, uint64_t conn,
                        int status, struct sl_str headers, struct sl_str body);
/* Begins a response of unknown length. SlHttpServer_SendChunk() sends its
 * body; SlHttpServer_EndReply() or SlHttpServer_AbortReply() ends it. */
void SlHttpServer_BeginReply(struct sl_http_server *server, uint64_t conn,
                             int status, struct sl_str headers);
/* Disconnects a client that has more than `max_unsent_bytes` left to read. */
void SlHttpServer_SendChunk(struct sl_http_server *server, uint64_t conn,
                            struct sl_str bytes);
/* Completes a response. The connection stays open if the client asked for
 * that and the server is not draining. */
void SlHttpServer_EndReply(struct sl_http_server *server, uint64_t conn);
/* Closes the connection, so that the client can tell that a response which
 * was begun is incomplete. */
void SlHttpServer_AbortReply(struct sl_http_server *server, uint64_t conn);
/* From now on sends "Connection: close" with each response and closes its
 * connection. */
void SlHttpServer_Drain(struct sl_http_server *server);
/* Closes the listener; open connections stay. */
void SlHttpServer_StopAccepting(struct sl_http_server *server);
/* Closes connections that have neither a request nor unsent bytes. */
void SlHttpServer_CloseIdle(struct sl_http_server *server);
/* Returns the number of open connections. */
size_t SlHttpServer_ConnectionCount(const struct sl_http_server *server);

/* ---- 3. Client -------------------------------------------------------- */

struct sl_http_client;

/* How far a call had come when it ended. */
struct sl_http_client_result {
    bool connected; /* if false, nothing was sent and nothing can have run */
    bool has_head;  /* the head of the response was received */
    bool reused;    /* the connection had served an earlier call */
};

struct sl_http_client_handlers {
    void (*on_head)(void *context, uint64_t call, const struct sl_head *head);
    void (*on_chunk)(void *context, uint64_t call, struct sl_str bytes);
    /* Called last and once. `err` is NULL if the response is complete. */
    void (*on_done)(void *context, uint64_t call, const struct sl_error *err,
                    const struct sl_http_client_result *result);
    void *context;
};

struct sl_http_client_call_options {
    struct sl_str address; /* "IP:PORT" */
    const char *peer;      /* name for errors; copied */
    const char *step;      /* step for errors; static */
    struct sl_str head;    /* request line and headers, no blank line */
    struct sl_str body;
    /* Uses a new connection. The peer may be closing one that has served
     * earlier calls, and then a request that it never read looks sent. */
    bool fresh_connection;
    /* Ends the call as soon as the connection is established, and closes the
     * connection; `head` and `body` are ignored. */
    bool connect_only;
    int64_t connect_timeout_us;
    int64_t inactivity_timeout_us; /* without a received byte; 0: no limit */
    /* If not NULL, a response that has this header with a value other than
     * `echo_value` belongs to another request and is skipped. */
    const char *echo_header;
    struct sl_str echo_value;
    struct sl_http_client_handlers handlers;
};

struct sl_http_client_options {
    struct event_base *base; /* borrowed */
    struct sl_str local_ip;  /* source address, or empty; borrowed */
    int64_t max_idle_us;     /* idle connections are closed after this time */
    size_t max_idle_per_address;
};

struct sl_http_client *
SlHttpClient_New(const struct sl_http_client_options *options);
/* Closes all connections without calling any handlers. */
void SlHttpClient_Free(struct sl_http_client *client);
/* Starts a call and returns its handle, which is never 0. No handler runs
 * before this function returns. */
uint64_t SlHttpClient_Call(struct sl_http_client *client,
                           const struct sl_http_client_call_options *options);
/* Closes the call's connection. None of the call's handlers runs after this.
 * Unknown handles are ignored. */
void SlHttpClient_Cancel(struct sl_http_client *client, uint64_t call);

#endif
