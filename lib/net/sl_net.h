/*
 * sl_net: HTTP/1.1 server and client, on libevent's bufferevents and the
 * http-parser library.
 *
 * The server takes the requests of clients; the client sends requests to
 * upstreams and to other processes. They do what libevent's evhttp cannot:
 * report that a client disconnected while its request is being processed,
 * forward a response as it arrives, detect bytes after the end of a response,
 * and accept responses whose end is marked by the close of the connection.
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

/* The parsed head of a request or response. Its views are valid during the
 * callback that receives the head. */
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
/* Returns true if a header of `head` must not be forwarded, because it applies
 * to one connection only or frames the body: each connection sets its own. */
bool SlHead_IsHopByHop(const struct sl_head *head,
                       const struct sl_header *header);
/* Returns the standard reason phrase of a status code, "Unknown" for codes
 * that have none. */
const char *SlHttp_ReasonPhrase(int status);

/* ---- 2. Server -------------------------------------------------------- */

struct sl_http_server;

struct sl_http_server_handlers {
    /* A complete request has arrived. `conn` is the handle of its connection,
     * which is never 0 and never used again for another connection. The next
     * request of the connection is reported only after the response to this
     * request is complete. `head` and `body` are valid until the handler
     * returns. */
    void (*on_request)(void *context, uint64_t conn,
                       const struct sl_head *head, struct sl_str body);
    /* The client disconnected before its response was complete; nothing more
     * can be sent on `conn`. */
    void (*on_disconnect)(void *context, uint64_t conn);
    void *context;
};

struct sl_http_server_limits {
    /* Target, header names and header values of a request together. */
    size_t max_header_bytes;
    size_t max_body_bytes;
    /* From the first byte of a request to its last, body included. */
    int64_t header_timeout_us;
    /* Between two requests of a connection, and before the first one. Also the
     * longest time for which a client reads nothing of a complete response. */
    int64_t idle_timeout_us;
    /* Further connections are closed as soon as they are accepted. */
    size_t max_connections;
    /* Bytes of a response that wait for the client to read them. */
    size_t max_unsent_bytes;
};

struct sl_http_server_options {
    struct event_base *base; /* borrowed */
    struct sl_name address;  /* "IP:PORT" */
    struct sl_http_server_handlers handlers;
    struct sl_http_server_limits limits;
    /* If not NULL: the client has taken bytes, so that `unsent_bytes` still
     * wait for it; also called, with 0, when a connection is closed. `context`
     * is that of `handlers`. Connections with unsent bytes do not time out
     * then: the user disconnects clients that take none. Must not call the
     * server. */
    void (*on_written)(void *context, uint64_t conn, size_t unsent_bytes);
};

/* Listens on the address. Returns NULL and fills `err` with Sl_ERR_INVALID if
 * that fails. Free the result with SlHttpServer_Free(). */
struct sl_http_server *
SlHttpServer_New(const struct sl_http_server_options *options,
                 struct sl_error *err);
/* Closes all connections at once, without calling `on_disconnect`, and frees
 * the server, which may be NULL. */
void SlHttpServer_Free(struct sl_http_server *server);
/* Replaces the limits, also for open connections. */
void SlHttpServer_SetLimits(struct sl_http_server *server,
                            const struct sl_http_server_limits *limits);
/* Sends a complete response. `headers` is a block of "Name: value\r\n" lines
 * without Content-Length, Transfer-Encoding and Connection. A response to a
 * HEAD request is sent without its body. All functions that take a `conn`
 * ignore an unknown handle: the client has disconnected. */
void SlHttpServer_Reply(struct sl_http_server *server, uint64_t conn,
                        int status, struct sl_str headers, struct sl_str body);
/* Begins a response of unknown length. SlHttpServer_SendChunk() sends its
 * body; SlHttpServer_EndReply() or SlHttpServer_AbortReply() ends the
 * response. */
void SlHttpServer_BeginReply(struct sl_http_server *server, uint64_t conn,
                             int status, struct sl_str headers);
/* Sends the next bytes of the body, which are copied. If more than
 * `max_unsent_bytes` of the response still wait for the client to read them,
 * drops `bytes` and disconnects the client instead. */
void SlHttpServer_SendChunk(struct sl_http_server *server, uint64_t conn,
                            struct sl_str bytes);
/* Completes a response. The connection stays open if the client keeps it open
 * and the server is not draining. */
void SlHttpServer_EndReply(struct sl_http_server *server, uint64_t conn);
/* Closes the connection without completing the response, so that the client
 * can tell that a response which was begun is incomplete. */
void SlHttpServer_AbortReply(struct sl_http_server *server, uint64_t conn);
/* Returns the number of bytes that wait for the client to read them. */
size_t SlHttpServer_UnsentBytes(const struct sl_http_server *server,
                                uint64_t conn);
/* Closes the connection soon, as if the client had disconnected. */
void SlHttpServer_Disconnect(struct sl_http_server *server, uint64_t conn);
/* From now on sends "Connection: close" with each response, and closes the
 * connection after the response. */
void SlHttpServer_Drain(struct sl_http_server *server);
/* Closes the listener; open connections stay. */
void SlHttpServer_StopAccepting(struct sl_http_server *server);
/* Answers requests that are being read, their bodies included, with a 503 and
 * a Retry-After, and closes their connections once that is written. */
void SlHttpServer_RejectUnread(struct sl_http_server *server);
/* Closes the connections that have neither an incomplete request, nor a
 * request without a complete response, nor unsent bytes. */
void SlHttpServer_CloseIdle(struct sl_http_server *server);
/* Returns true if bytes of responses wait for their clients to read them. */
bool SlHttpServer_HasUnsent(const struct sl_http_server *server);
/* Returns the number of open connections. */
size_t SlHttpServer_ConnectionCount(const struct sl_http_server *server);

/* ---- 3. Client -------------------------------------------------------- */

struct sl_http_client;

/* How far a call had come when it ended. */
struct sl_http_client_result {
    /* If false, no byte of the request was sent: the peer cannot have run
     * it. */
    bool connected;
    bool has_head; /* the head of the response was received */
    bool reused;   /* the connection had served an earlier call */
};

/* `call` is the handle that SlHttpClient_Call() returned. */
struct sl_http_client_handlers {
    /* The head of the response has arrived. Interim responses, with a status
     * below 200, are skipped. */
    void (*on_head)(void *context, uint64_t call, const struct sl_head *head);
    /* The next bytes of the body; they are valid until the handler returns. */
    void (*on_chunk)(void *context, uint64_t call, struct sl_str bytes);
    /* Called last and once. `err` is NULL if the response is complete. Else
     * its code is Sl_ERR_UNREACHABLE (not connected), Sl_ERR_LOST (the
     * connection was closed, or the response is malformed) or Sl_ERR_TIMEOUT
     * (no byte was received for `inactivity_timeout_us`). */
    void (*on_done)(void *context, uint64_t call, const struct sl_error *err,
                    const struct sl_http_client_result *result);
    void *context;
};

struct sl_http_client_call_options {
    struct sl_str address; /* "IP:PORT" */
    const char *peer;      /* `peer` of errors; copied, may be NULL */
    const char *step;      /* `step` of errors; static */
    struct sl_str head; /* request line and headers, no blank line; copied */
    struct sl_str body; /* copied */
    /* Opens a new connection instead of using an idle one. The peer may be
     * closing an idle connection: a request that is written to it then counts
     * as sent, although the peer never reads it. */
    bool fresh_connection;
    /* Ends the call as soon as the connection is established, and closes the
     * connection; `head` and `body` are ignored. */
    bool connect_only;
    int64_t connect_timeout_us;    /* to open a connection; 0: no limit */
    int64_t inactivity_timeout_us; /* without a received byte; 0: no limit */
    /* If not NULL, a response that has this header with a value other than
     * `echo_value` belongs to another request and is skipped. Static. No
     * response is skipped if `echo_value` is not a valid `sl_name`. */
    const char *echo_header;
    struct sl_str echo_value; /* copied */
    struct sl_http_client_handlers handlers;
};

struct sl_http_client_options {
    struct event_base *base; /* borrowed */
    struct sl_str local_ip;  /* source address, or empty; borrowed */
    int64_t max_idle_us;     /* idle connections are closed after this time */
    /* If there are more idle connections, the oldest one is closed. */
    size_t max_idle_per_address;
};

/* Free the result with SlHttpClient_Free(). */
struct sl_http_client *
SlHttpClient_New(const struct sl_http_client_options *options);
/* Closes all connections without calling any handlers, and frees the client,
 * which may be NULL. */
void SlHttpClient_Free(struct sl_http_client *client);
/* Starts a call and returns its handle, which is never 0. No handler runs
 * before this function returns: all errors are reported by `on_done`. */
uint64_t SlHttpClient_Call(struct sl_http_client *client,
                           const struct sl_http_client_call_options *options);
/* Stop and go on to read the call's response. Bytes that the peer sends
 * meanwhile fill its connection, so that it has to wait; the time without
 * received bytes does not count. Unknown handles are ignored. May be called by
 * the call's handlers. */
void SlHttpClient_Pause(struct sl_http_client *client, uint64_t call);
void SlHttpClient_Resume(struct sl_http_client *client, uint64_t call);
/* Closes the call's connection at the end of the call, instead of keeping it
 * for another one. To be called once the head of the response has arrived; its
 * handler may do so. Unknown handles are ignored. */
void SlHttpClient_CloseAfter(struct sl_http_client *client, uint64_t call);
/* Returns true if calls can be sent to the address: it is "IP:PORT" with an
 * IPv4 address. */
bool SlHttpClient_IsAddress(struct sl_str address);
/* Closes the call's connection. None of the call's handlers runs after this.
 * Unknown handles are ignored. */
void SlHttpClient_Cancel(struct sl_http_client *client, uint64_t call);

#endif
