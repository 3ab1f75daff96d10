/* HTTP/1.1 server: reads the requests of clients and sends the responses. */
#include "sl_net_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

/* Connections that may wait to be accepted; enough for a burst of clients. */
#define Sl_LISTEN_BACKLOG 512
/* Bytes of later requests that are read while the response to a request is not
 * complete. The rest stays in the kernel's socket buffer, so that a client
 * cannot exhaust the memory. */
#define Sl_READ_BUFFER_BYTES ((size_t)64 * 1024)
/* How often connections are checked for timeouts. */
#define Sl_TIMEOUT_CHECK_US (500 * Sl_US_PER_MS)
/* How long to wait for the client to close the connection after the last
 * response. Closing at once would reset a connection with unread bytes, and
 * the client might lose the response that was just written. */
#define Sl_LINGER_US Sl_US_PER_S
/* Retry-After of a request that is rejected because the server stops. */
#define Sl_REJECT_RETRY_US (300 * Sl_US_PER_MS)

enum sl_server_conn_state {
    Sl_CONN_READING,    /* reading a request, or waiting for the next one */
    Sl_CONN_RESPONDING, /* the response to a request is not complete yet */
    Sl_CONN_CLOSING,    /* shut down for writing once all bytes are written */
};

struct sl_server_conn {
    struct sl_http_server *server;
    uint64_t id;
    struct bufferevent *bev;
    struct sl_http_reader reader;
    struct sl_buf body; /* of the request */
    enum sl_server_conn_state state;
    bool keep_alive;     /* the client keeps the connection open */
    bool is_head;        /* the request's method is HEAD */
    bool is_http_10;     /* HTTP/1.0 client, which does not support chunks */
    bool response_begun; /* a response of unknown length is being sent */
    bool feeding;        /* unused */
    int reject_status;   /* if on_head() or on_body() rejected it, else 0 */
    /* When `state` began; if a request is being read, when its first byte was
     * read. Of the monotonic clock. */
    int64_t state_since_us;
    /* Bytes that were not sent at the last check of timeouts. */
    size_t unsent_bytes;
};

struct sl_http_server {
    struct sl_http_server_options options;
    struct evconnlistener *listener;
    struct event *timeout_timer;
    GHashTable *conns; /* id -> struct sl_server_conn, owned */
    uint64_t last_id;
    bool draining;
};

/* ---- helpers ---- */

static int64_t
now_us(void)
{
    return g_get_monotonic_time();
}

static void
free_conn(gpointer data)
{
    struct sl_server_conn *conn = data;
    bufferevent_free(conn->bev);
    SlHttpReader_Clear(&conn->reader);
    SlBuf_Free(&conn->body);
    g_free(conn);
}

static struct sl_server_conn *
find_conn(const struct sl_http_server *server, uint64_t id)
{
    return g_hash_table_lookup(server->conns, &id);
}

static void
set_state(struct sl_server_conn *conn, enum sl_server_conn_state state)
{
    conn->state = state;
    conn->state_since_us = now_us();
}

static size_t
count_unsent(const struct sl_server_conn *conn)
{
    return evbuffer_get_length(bufferevent_get_output(conn->bev));
}

/* Returns true while a request is being read. */
static bool
is_receiving(const struct sl_server_conn *conn)
{
    return conn->state == Sl_CONN_READING && conn->reader.started;
}

/* Reports what still waits for the client. */
static void
report_written(const struct sl_server_conn *conn, size_t unsent)
{
    const struct sl_http_server_options *options = &conn->server->options;
    if (options->on_written != NULL) {
        options->on_written(options->handlers.context, conn->id, unsent);
    }
}

/* Closes and frees the connection. */
static void
close_conn(struct sl_server_conn *conn)
{
    struct sl_http_server *server = conn->server;
    set_state(conn, Sl_CONN_CLOSING);
    report_written(conn, 0);
    g_hash_table_remove(server->conns, &conn->id);
}

/* Stops sending once all bytes are written. The connection is closed when the
 * client closes its side, or after Sl_LINGER_US. */
static void
close_after_write(struct sl_server_conn *conn)
{
    set_state(conn, Sl_CONN_CLOSING);
    if (count_unsent(conn) == 0) {
        (void)shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
    }
}

/* ---- writing ---- */

/* Writes the status line and the headers. `length` is NULL if the length of
 * the body is not known. */
static void
write_response_head(struct sl_server_conn *conn, int status,
                    struct sl_str headers, const size_t *length)
{
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        SlHttp_ReasonPhrase(status));
    evbuffer_add(out, headers.ptr, headers.len);
    if (length != NULL) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", *length);
    }
    else if (!conn->is_http_10) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    if (conn->server->draining || (length == NULL && conn->is_http_10)) {
        conn->keep_alive = false;
    }
    if (!conn->keep_alive) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

/* Prepares for the connection's next request, or closes the connection. A
 * request that has already arrived is read later, from the event loop, since
 * this runs within a call of the server's user. */
static void
end_response(struct sl_server_conn *conn)
{
    conn->response_begun = false;
    if (!conn->keep_alive || conn->server->draining) {
        close_after_write(conn);
        return;
    }
    set_state(conn, Sl_CONN_READING);
    SlHttpReader_Reset(&conn->reader);
    SlBuf_Clear(&conn->body);
    if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0) {
        bufferevent_trigger(conn->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

static void
write_response(struct sl_server_conn *conn, int status, struct sl_str headers,
               struct sl_str body)
{
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    write_response_head(conn, status, headers, &body.len);
    if (!conn->is_head) {
        evbuffer_add(out, body.ptr, body.len);
    }
}

/* Sends an error response to a request that `on_request` does not see, and
 * closes the connection. A 503 asks the client to come back soon. */
static void
reject_request(struct sl_server_conn *conn, int status)
{
    struct sl_buf body = {0};
    struct sl_buf headers = {0};
    int64_t retry_after_us =
        status == HTTP_STATUS_SERVICE_UNAVAILABLE ? Sl_REJECT_RETRY_US : 0;
    SlBuf_AppendC(&headers, "Content-Type: application/json\r\n");
    if (retry_after_us > 0) {
        SlBuf_Printf(&headers, "Retry-After: %.3f\r\n",
                     (double)retry_after_us / (double)Sl_US_PER_S);
    }
    SlBuf_Printf(
        &body,
        "{\"outcome\":\"not-run\",\"step\":\"http.read\",\"peer\":"
        "\"\",\"error\":\"%s\",\"retry_after_ms\":%" G_GINT64_FORMAT "}\n",
        SlHttp_ReasonPhrase(status), (gint64)(retry_after_us / Sl_US_PER_MS));
    conn->keep_alive = false;
    write_response(conn, status, SlBuf_Str(&headers), SlBuf_Str(&body));
    SlBuf_Free(&headers);
    SlBuf_Free(&body);
    close_after_write(conn);
}

/* ---- reading ---- */

static bool
on_head(void *context)
{
    struct sl_server_conn *conn = context;
    struct sl_head head;
    SlHttpReader_GetHead(&conn->reader, &head);
    conn->keep_alive = head.keep_alive;
    conn->is_head = SlStr_Equal(head.method, Sl_STR("HEAD"));
    conn->is_http_10 = conn->reader.parser.http_major == 1 &&
                       conn->reader.parser.http_minor == 0;
    if (SlStr_Equal(head.method, Sl_STR("CONNECT"))) {
        conn->reject_status = HTTP_STATUS_NOT_IMPLEMENTED;
        return false;
    }
    uint64_t length = conn->reader.parser.content_length;
    if (length != UINT64_MAX &&
        length > conn->server->options.limits.max_body_bytes) {
        conn->reject_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
        return false;
    }
    struct sl_str expect = SlHead_FindHeader(&head, "expect");
    if (expect.len > 0) {
        static const char continue_response[] =
            "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(conn->bev, continue_response,
                          sizeof(continue_response) - 1);
    }
    return true;
}

static bool
on_body(void *context, struct sl_str bytes)
{
    struct sl_server_conn *conn = context;
    if (conn->body.len + bytes.len >
        conn->server->options.limits.max_body_bytes) {
        conn->reject_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
        return false;
    }
    SlBuf_Append(&conn->body, bytes);
    return true;
}

static void
on_end(void *context)
{
    (void)context; /* read_input() sees that the reader is complete */
}

/* Returns the status for a request at which the reader failed. */
static int
rejection_status(const struct sl_server_conn *conn)
{
    if (conn->reject_status != 0) {
        return conn->reject_status;
    }
    return conn->reader.header_too_large
               ? HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE
               : HTTP_STATUS_BAD_REQUEST;
}

static void
dispatch_request(struct sl_server_conn *conn)
{
    struct sl_head head;
    const struct sl_http_server_handlers *handlers =
        &conn->server->options.handlers;
    SlHttpReader_GetHead(&conn->reader, &head);
    set_state(conn, Sl_CONN_RESPONDING);
    handlers->on_request(handlers->context, conn->id, &head,
                         SlBuf_Str(&conn->body));
}

/* Parses the received bytes up to the end of one request. */
static void
read_input(struct sl_server_conn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    while (conn->state == Sl_CONN_READING && evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec chunk;
        bool ok = true;
        if (!conn->reader.started) {
            conn->state_since_us = now_us();
        }
        evbuffer_peek(in, -1, NULL, &chunk, 1);
        size_t consumed = SlHttpReader_Feed(&conn->reader, chunk.iov_base,
                                            chunk.iov_len, &ok);
        if (!ok) {
            evbuffer_drain(in, evbuffer_get_length(in));
            reject_request(conn, rejection_status(conn));
            return;
        }
        evbuffer_drain(in, consumed);
        if (conn->reader.complete) {
            /* The handler may end the request, which can free `conn`. */
            dispatch_request(conn);
            return;
        }
    }
}

static void
on_read(struct bufferevent *bev, void *context)
{
    struct sl_server_conn *conn = context;
    (void)bev;
    if (conn->state == Sl_CONN_CLOSING) {
        struct evbuffer *in = bufferevent_get_input(conn->bev);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    read_input(conn);
}

/* The output buffer has changed. */
static void
on_output_changed(struct evbuffer *output,
                  const struct evbuffer_cb_info *change, void *context)
{
    if (change->n_deleted > 0) {
        report_written(context, evbuffer_get_length(output));
    }
}

/* All bytes of the output buffer were written. */
static void
on_write_drained(struct bufferevent *bev, void *context)
{
    struct sl_server_conn *conn = context;
    (void)bev;
    if (conn->server->options.on_written != NULL && !is_receiving(conn)) {
        /* The time that the client took to read does not count. */
        conn->state_since_us = now_us();
    }
    if (conn->state == Sl_CONN_CLOSING) {
        set_state(conn, Sl_CONN_CLOSING); /* the client gets Sl_LINGER_US */
        (void)shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
    }
}

/* The client closed the connection, or the connection failed. */
static void
on_event(struct bufferevent *bev, short what, void *context)
{
    struct sl_server_conn *conn = context;
    struct sl_http_server *server = conn->server;
    bool responding = conn->state == Sl_CONN_RESPONDING;
    uint64_t id = conn->id;
    (void)bev;
    (void)what;
    close_conn(conn);
    if (responding) {
        const struct sl_http_server_handlers *handlers =
            &server->options.handlers;
        handlers->on_disconnect(handlers->context, id);
    }
}

/* ---- timeouts ---- */

static bool
has_timed_out(const struct sl_server_conn *conn, int64_t current_us)
{
    const struct sl_http_server_limits *limits = &conn->server->options.limits;
    int64_t age_us = current_us - conn->state_since_us;
    if (conn->server->options.on_written != NULL && count_unsent(conn) > 0 &&
        !is_receiving(conn)) {
        return false; /* the client may be slow */
    }
    switch (conn->state) {
    case Sl_CONN_READING:
        return age_us > (conn->reader.started ? limits->header_timeout_us
                                              : limits->idle_timeout_us);
    case Sl_CONN_CLOSING:
        return age_us > (conn->unsent_bytes > 0 ? limits->idle_timeout_us
                                                : Sl_LINGER_US);
    case Sl_CONN_RESPONDING:
    default:
        return false; /* the server's user sets a deadline for each request */
    }
}

static bool
is_idle(const struct sl_server_conn *conn, int64_t current_us)
{
    (void)current_us;
    return conn->state == Sl_CONN_READING && !conn->reader.started &&
           count_unsent(conn) == 0;
}

/* Returns the connections for which `predicate` is true at the current time;
 * free the array with g_ptr_array_free(). */
static GPtrArray *
collect_conns(const struct sl_http_server *server,
              bool (*predicate)(const struct sl_server_conn *conn,
                                int64_t current_us))
{
    int64_t current_us = now_us();
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, server->conns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (predicate(value, current_us)) {
            g_ptr_array_add(found, value);
        }
    }
    return found;
}

/* While a client reads a complete response, its connection does not time out.
 */
static void
note_progress(struct sl_http_server *server)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, server->conns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_server_conn *conn = value;
        size_t unsent_bytes = count_unsent(conn);
        if (unsent_bytes < conn->unsent_bytes && !is_receiving(conn)) {
            conn->state_since_us = now_us();
        }
        conn->unsent_bytes = unsent_bytes;
    }
}

static void
on_timeout_check(evutil_socket_t fd, short what, void *context)
{
    struct sl_http_server *server = context;
    note_progress(server);
    GPtrArray *timed_out = collect_conns(server, has_timed_out);
    (void)fd;
    (void)what;
    for (guint i = 0; i < timed_out->len; i++) {
        struct sl_server_conn *conn = timed_out->pdata[i];
        if (conn->state == Sl_CONN_READING && conn->reader.started) {
            reject_request(conn, HTTP_STATUS_REQUEST_TIMEOUT);
        }
        else {
            close_conn(conn);
        }
    }
    g_ptr_array_free(timed_out, TRUE);
}

/* ---- connections ---- */

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *context)
{
    static const struct sl_http_reader_handlers no_handlers;
    struct sl_http_server *server = context;
    (void)listener;
    (void)address;
    (void)len;
    if (g_hash_table_size(server->conns) >=
        server->options.limits.max_connections) {
        evutil_closesocket(fd);
        return;
    }
    SlSocket_SetOptions(fd);
    struct sl_server_conn *conn = g_new0(struct sl_server_conn, 1);
    conn->server = server;
    conn->id = ++server->last_id;
    conn->state_since_us = now_us();
    struct sl_http_reader_handlers handlers = no_handlers;
    handlers.on_head = on_head;
    handlers.on_body = on_body;
    handlers.on_end = on_end;
    handlers.context = conn;
    SlHttpReader_Init(&conn->reader, HTTP_REQUEST,
                      server->options.limits.max_header_bytes, &handlers);
    conn->bev = bufferevent_socket_new(server->options.base, fd,
                                       BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->bev, on_read, on_write_drained, on_event, conn);
    bufferevent_setwatermark(conn->bev, EV_READ, 0, Sl_READ_BUFFER_BYTES);
    if (server->options.on_written != NULL) {
        (void)evbuffer_add_cb(bufferevent_get_output(conn->bev),
                              on_output_changed, conn);
    }
    bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    g_hash_table_insert(server->conns, &conn->id, conn);
}

/* ---- public ---- */

struct sl_http_server *
SlHttpServer_New(const struct sl_http_server_options *options,
                 struct sl_error *err)
{
    struct sockaddr_in address;
    if (!SlSocket_ParseAddress(SlName_Str(&options->address), &address)) {
        SlError_Set(err, Sl_ERR_INVALID, "http.listen", options->address.text,
                    "not an address of the form IP:PORT");
        return NULL;
    }
    struct sl_http_server *server = g_new0(struct sl_http_server, 1);
    server->options = *options;
    server->conns =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_conn);
    server->listener = evconnlistener_new_bind(
        options->base, on_accept, server,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, Sl_LISTEN_BACKLOG,
        (struct sockaddr *)&address, sizeof(address));
    if (server->listener == NULL) {
        SlError_Set(err, Sl_ERR_INVALID, "http.listen", options->address.text,
                    "cannot listen: %s",
                    evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
        SlHttpServer_Free(server);
        return NULL;
    }
    struct timeval interval = {Sl_TIMEOUT_CHECK_US / Sl_US_PER_S,
                               Sl_TIMEOUT_CHECK_US % Sl_US_PER_S};
    server->timeout_timer =
        event_new(options->base, -1, EV_PERSIST, on_timeout_check, server);
    event_add(server->timeout_timer, &interval);
    return server;
}

void
SlHttpServer_Free(struct sl_http_server *server)
{
    if (server == NULL) {
        return;
    }
    if (server->timeout_timer != NULL) {
        event_free(server->timeout_timer);
    }
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    g_hash_table_destroy(server->conns);
    g_free(server);
}

void
SlHttpServer_SetLimits(struct sl_http_server *server,
                       const struct sl_http_server_limits *limits)
{
    GHashTableIter iter;
    gpointer value;
    server->options.limits = *limits;
    g_hash_table_iter_init(&iter, server->conns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_server_conn *conn = value;
        conn->reader.max_header_bytes = limits->max_header_bytes;
    }
}

void
SlHttpServer_Reply(struct sl_http_server *server, uint64_t id, int status,
                   struct sl_str headers, struct sl_str body)
{
    struct sl_server_conn *conn = find_conn(server, id);
    if (conn == NULL || conn->state != Sl_CONN_RESPONDING) {
        return;
    }
    assert(!conn->response_begun);
    write_response(conn, status, headers, body);
    end_response(conn);
}

void
SlHttpServer_BeginReply(struct sl_http_server *server, uint64_t id, int status,
                        struct sl_str headers)
{
    struct sl_server_conn *conn = find_conn(server, id);
    if (conn == NULL || conn->state != Sl_CONN_RESPONDING) {
        return;
    }
    assert(!conn->response_begun);
    conn->response_begun = true;
    write_response_head(conn, status, headers, NULL);
}

void
SlHttpServer_SendChunk(struct sl_http_server *server, uint64_t id,
                       struct sl_str bytes)
{
    struct sl_server_conn *conn = find_conn(server, id);
    if (conn == NULL || !conn->response_begun || conn->is_head ||
        bytes.len == 0) {
        return;
    }
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    if (evbuffer_get_length(out) > server->options.limits.max_unsent_bytes) {
        conn->response_begun = false;
        bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
        return;
    }
    if (!conn->is_http_10) {
        evbuffer_add_printf(out, "%zx\r\n", bytes.len);
    }
    evbuffer_add(out, bytes.ptr, bytes.len);
    if (!conn->is_http_10) {
        evbuffer_add(out, "\r\n", 2);
    }
}

void
SlHttpServer_EndReply(struct sl_http_server *server, uint64_t id)
{
    struct sl_server_conn *conn = find_conn(server, id);
    if (conn == NULL || !conn->response_begun) {
        return;
    }
    if (!conn->is_http_10 && !conn->is_head) {
        bufferevent_write(conn->bev, "0\r\n\r\n", 5);
    }
    end_response(conn);
}

void
SlHttpServer_AbortReply(struct sl_http_server *server, uint64_t id)
{
    struct sl_server_conn *conn = find_conn(server, id);
    if (conn != NULL && conn->state == Sl_CONN_RESPONDING) {
        /* A chunked response lacks its last chunk, and so the client can tell
         * that it is incomplete; the bytes written so far are still delivered.
         * The end of an HTTP/1.0 response is the close of its connection,
         * which is therefore reset instead. */
        if (conn->is_http_10) {
            const struct linger reset = {.l_onoff = 1, .l_linger = 0};
            (void)setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET,
                             SO_LINGER, &reset, sizeof(reset));
            close_conn(conn);
        }
        else {
            close_after_write(conn);
        }
    }
}

size_t
SlHttpServer_UnsentBytes(const struct sl_http_server *server, uint64_t id)
{
    const struct sl_server_conn *conn = find_conn(server, id);
    return conn == NULL ? 0 : count_unsent(conn);
}

void
SlHttpServer_Disconnect(struct sl_http_server *server, uint64_t id)
{
    struct sl_server_conn *conn = find_conn(server, id);
    if (conn != NULL) {
        bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    }
}

void
SlHttpServer_Drain(struct sl_http_server *server)
{
    server->draining = true;
}

void
SlHttpServer_StopAccepting(struct sl_http_server *server)
{
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
        server->listener = NULL;
    }
}

void
SlHttpServer_CloseIdle(struct sl_http_server *server)
{
    GPtrArray *idle = collect_conns(server, is_idle);
    for (guint i = 0; i < idle->len; i++) {
        close_conn(idle->pdata[i]);
    }
    g_ptr_array_free(idle, TRUE);
}

static bool
is_reading_request(const struct sl_server_conn *conn, int64_t current_us)
{
    (void)current_us;
    return conn->state == Sl_CONN_READING &&
           (conn->reader.started ||
            evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0);
}

void
SlHttpServer_RejectUnread(struct sl_http_server *server)
{
    GPtrArray *reading = collect_conns(server, is_reading_request);
    for (guint i = 0; i < reading->len; i++) {
        reject_request(reading->pdata[i], HTTP_STATUS_SERVICE_UNAVAILABLE);
    }
    g_ptr_array_free(reading, TRUE);
}

bool
SlHttpServer_HasUnsent(const struct sl_http_server *server)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, server->conns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (count_unsent(value) > 0) {
            return true;
        }
    }
    return false;
}

size_t
SlHttpServer_ConnectionCount(const struct sl_http_server *server)
{
    return g_hash_table_size(server->conns);
}
