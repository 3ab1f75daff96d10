/* HTTP/1.1 client: calls to upstreams and other processes, over pooled
 * connections that carry one call at a time. */
#include "sl_net_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

/* Largest head of a response; upstreams add only a few headers. */
#define Sl_RESPONSE_HEAD_MAX_BYTES ((size_t)32 * 1024)
/* How long a call whose connect timeout has passed still waits for the event
 * of an established connection, which is already in the event queue. */
#define Sl_CONNECT_EVENT_WAIT_US (10 * Sl_US_PER_MS)
#define Sl_STATUS_SWITCHING_PROTOCOLS 101
/* Limits on what a call skips; beyond them it fails. */
/* Responses to other requests. */
#define Sl_MAX_SKIPPED_RESPONSES 2
/* Body bytes of skipped responses; a late second response may be a whole
 * stream. */
#define Sl_MAX_SKIPPED_BYTES ((size_t)256 * 1024)
/* Interim responses; upstreams send one or two. */
#define Sl_MAX_INTERIM_RESPONSES 8

struct sl_client_conn {
    struct sl_http_client *client;
    struct sl_name address;
    struct bufferevent *bev;
    /* Holds the request until the connection is known to be established. If
     * the request were in the bufferevent's output, the bufferevent would
     * write it before it reports the connection, and a timeout in between
     * would report a sent request as not sent. */
    struct evbuffer *pending_request;
    struct sl_http_reader reader;
    struct event *timer;              /* timeout of the call, or idle time */
    struct sl_http_client_call *call; /* NULL while idle */
    bool connected;
    bool reused;           /* has served an earlier call */
    bool message_complete; /* the reader is at the end of a message */
    bool is_paused;        /* the response is not read for now */
    short ended;           /* events of its end while it was paused; 0: none */
    bool write_failed;     /* the peer takes no more of the request */
    bool keep_alive;       /* the peer keeps the connection open */
    int64_t max_idle_us;   /* from the peer's Keep-Alive header, or 0 */
};

struct sl_http_client_call {
    uint64_t id;
    struct sl_client_conn *conn;
    struct sl_name peer;
    const char *step;
    const char *echo_header;
    struct sl_buf echo_value;
    int64_t inactivity_timeout_us;
    struct sl_http_client_handlers handlers;
    bool connect_only;
    bool answered;              /* the head of the response was received */
    bool skipping_response;     /* interim, or belongs to another request */
    unsigned skipped_responses; /* to other requests */
    size_t skipped_bytes;
    unsigned interim_responses;
};

struct sl_http_client {
    struct sl_http_client_options options;
    GHashTable *calls; /* id -> struct sl_http_client_call, owned */
    /* Address text -> GQueue of struct sl_client_conn, newest first. */
    GHashTable *idle;
    GPtrArray *closed; /* connections to free once their callbacks are done */
    struct event *free_closed_timer;
    uint64_t last_id;
};

/* ---- connections ---- */

static void
free_conn(struct sl_client_conn *conn)
{
    if (conn->bev != NULL) {
        bufferevent_free(conn->bev);
    }
    evbuffer_free(conn->pending_request);
    event_free(conn->timer);
    SlHttpReader_Clear(&conn->reader);
    g_free(conn);
}

static void
on_free_closed(evutil_socket_t fd, short what, void *context)
{
    struct sl_http_client *client = context;
    (void)fd;
    (void)what;
    for (guint i = 0; i < client->closed->len; i++) {
        free_conn(client->closed->pdata[i]);
    }
    g_ptr_array_set_size(client->closed, 0);
}

/* Closes the connection now and frees it later, since the parser may be in
 * one of its callbacks. */
static void
close_conn(struct sl_client_conn *conn)
{
    struct sl_http_client *client = conn->client;
    struct timeval now = {0, 0};
    event_del(conn->timer);
    bufferevent_free(conn->bev);
    conn->bev = NULL;
    conn->call = NULL;
    if (client->closed->len == 0) {
        event_add(client->free_closed_timer, &now);
    }
    g_ptr_array_add(client->closed, conn);
}

static GQueue *
idle_queue(struct sl_http_client *client, const struct sl_name *address)
{
    GQueue *queue = g_hash_table_lookup(client->idle, address->text);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(client->idle, g_strdup(address->text), queue);
    }
    return queue;
}

/* Restarts the connection's timer; 0 stops it. */
static void
set_timer(struct sl_client_conn *conn, int64_t after_us)
{
    struct timeval after = {after_us / Sl_US_PER_S, after_us % Sl_US_PER_S};
    if (after_us > 0) {
        event_add(conn->timer, &after);
    }
    else {
        event_del(conn->timer);
    }
}

static void
remove_idle(struct sl_client_conn *conn)
{
    GQueue *queue =
        g_hash_table_lookup(conn->client->idle, conn->address.text);
    if (queue != NULL) {
        g_queue_remove(queue, conn);
        if (queue->length == 0) {
            g_hash_table_remove(conn->client->idle, conn->address.text);
        }
    }
}

/* Keeps the connection for another call if it can be reused; else closes
 * it. */
static void
release_conn(struct sl_client_conn *conn)
{
    struct sl_http_client *client = conn->client;
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    int64_t idle_limit_us = client->options.max_idle_us;
    if (conn->max_idle_us > 0 && conn->max_idle_us < idle_limit_us) {
        idle_limit_us = conn->max_idle_us;
    }
    conn->call = NULL;
    /* Bytes after the response belong to no request. */
    if (!conn->keep_alive || evbuffer_get_length(in) > 0 ||
        idle_limit_us <= 0) {
        close_conn(conn);
        return;
    }
    GQueue *queue = idle_queue(client, &conn->address);
    g_queue_push_head(queue, conn);
    set_timer(conn, idle_limit_us);
    if (queue->length > client->options.max_idle_per_address) {
        struct sl_client_conn *oldest = g_queue_peek_tail(queue);
        remove_idle(oldest);
        close_conn(oldest);
    }
}

/* ---- ends of calls ---- */

/* Frees the call, then calls its `on_done`. `err` is NULL if the call
 * succeeded. */
static void
finish_call(struct sl_http_client_call *call, const struct sl_error *err)
{
    struct sl_client_conn *conn = call->conn;
    struct sl_http_client *client = conn->client;
    struct sl_http_client_result result = {
        .connected = conn->connected,
        .has_head = call->answered,
        .reused = conn->reused,
    };
    struct sl_http_client_handlers handlers = call->handlers;
    uint64_t id = call->id;
    if (err == NULL) {
        release_conn(conn);
    }
    else {
        close_conn(conn);
    }
    g_hash_table_remove(client->calls, &id);
    handlers.on_done(handlers.context, id, err, &result);
}

static void
fail_call(struct sl_http_client_call *call, enum sl_errno code,
          const char *text)
{
    struct sl_error err;
    SlError_Set(&err, code, call->step, call->peer.text, "%s", text);
    finish_call(call, &err);
}

/* ---- reading ---- */

/* Returns how long a connection may be kept idle: half of the time that the
 * peer gives in "Keep-Alive: timeout=SECONDS", or 0 if it gives none. */
static int64_t
keep_alive_timeout_us(const struct sl_head *head)
{
    static const char key[] = "timeout=";
    struct sl_str value = SlHead_FindHeader(head, "keep-alive");
    for (size_t i = 0; i + sizeof(key) - 1 < value.len; i++) {
        if (g_ascii_strncasecmp(value.ptr + i, key, sizeof(key) - 1) == 0) {
            int64_t seconds = 0;
            size_t pos = i + sizeof(key) - 1;
            while (pos < value.len && g_ascii_isdigit(value.ptr[pos]) &&
                   seconds < G_MAXINT32) {
                seconds = seconds * 10 + (value.ptr[pos] - '0');
                pos++;
            }
            /* Half, because the peer's idle time began earlier, when it sent
             * the last byte of the response. */
            return seconds * Sl_US_PER_S / 2;
        }
    }
    return 0;
}

static bool
on_head(void *context)
{
    struct sl_client_conn *conn = context;
    struct sl_http_client_call *call = conn->call;
    struct sl_head head;
    SlHttpReader_GetHead(&conn->reader, &head);
    if (head.status == Sl_STATUS_SWITCHING_PROTOCOLS) {
        return false; /* nothing has asked for that */
    }
    if (head.status < 200) {
        call->skipping_response = true; /* an interim response */
        call->interim_responses++;
        return call->interim_responses <= Sl_MAX_INTERIM_RESPONSES;
    }
    conn->keep_alive = head.keep_alive;
    conn->max_idle_us = keep_alive_timeout_us(&head);
    if (call->echo_header != NULL) {
        struct sl_str echoed = SlHead_FindHeader(&head, call->echo_header);
        if (echoed.len > 0 &&
            !SlStr_Equal(echoed, SlBuf_Str(&call->echo_value))) {
            call->skipping_response = true;
            call->skipped_responses++;
            return call->skipped_responses <= Sl_MAX_SKIPPED_RESPONSES;
        }
    }
    call->answered = true;
    call->handlers.on_head(call->handlers.context, call->id, &head);
    return conn->call != NULL; /* false if the handler cancelled the call */
}

static bool
on_body(void *context, struct sl_str bytes)
{
    struct sl_client_conn *conn = context;
    struct sl_http_client_call *call = conn->call;
    if (call->skipping_response) {
        call->skipped_bytes += bytes.len;
        return call->skipped_bytes <= Sl_MAX_SKIPPED_BYTES;
    }
    call->handlers.on_chunk(call->handlers.context, call->id, bytes);
    return conn->call != NULL;
}

static void
on_end(void *context)
{
    struct sl_client_conn *conn = context;
    conn->message_complete = true;
}

/* Handles the end of a message: prepares for the next one if this one is
 * skipped, else ends the call. Returns false if the call has ended. */
static bool
finish_message(struct sl_client_conn *conn)
{
    struct sl_http_client_call *call = conn->call;
    conn->message_complete = false;
    if (call->skipping_response) {
        call->skipping_response = false;
        SlHttpReader_Reset(&conn->reader);
        return true;
    }
    /* If the response arrived before the whole request was sent, the peer
     * still expects the rest of the body, so that the connection can't be
     * reused. */
    if (evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0) {
        conn->keep_alive = false;
    }
    finish_call(call, NULL);
    return false;
}

/* Parses the received bytes until the call ends. */
static void
read_input(struct sl_client_conn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    while (conn->call != NULL && !conn->is_paused &&
           evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec chunk;
        bool ok = true;
        evbuffer_peek(in, -1, NULL, &chunk, 1);
        size_t consumed = SlHttpReader_Feed(&conn->reader, chunk.iov_base,
                                            chunk.iov_len, &ok);
        if (conn->call == NULL) {
            return; /* cancelled by a handler */
        }
        evbuffer_drain(in, consumed);
        if (!ok) {
            fail_call(conn->call, Sl_ERR_LOST,
                      "malformed or unexpected HTTP response");
            return;
        }
        if (conn->message_complete && !finish_message(conn)) {
            return;
        }
    }
}

/* Handles that the peer has closed the connection, or that it failed, for
 * reading or for writing. Ends the call unless the response may still be
 * read. */
static void
on_conn_ended(struct sl_client_conn *conn, short what)
{
    conn->keep_alive = false;
    conn->write_failed |= (what & BEV_EVENT_WRITING) != 0;
    if (conn->write_failed && (what & BEV_EVENT_READING) == 0) {
        return; /* the peer may have responded before */
    }
    /* A failed write takes the error of a reset, so that the next read reports
     * an orderly end. */
    bool is_orderly = (what & BEV_EVENT_EOF) != 0 &&
                      (what & BEV_EVENT_ERROR) == 0 && !conn->write_failed;
    if (is_orderly && SlHttpReader_EndOfInput(&conn->reader) &&
        !finish_message(conn)) {
        return;
    }
    if (conn->call != NULL) {
        fail_call(
            conn->call, conn->connected ? Sl_ERR_LOST : Sl_ERR_UNREACHABLE,
            conn->connected ? "the connection was closed" : "cannot connect");
    }
}

static void
on_read(struct bufferevent *bev, void *context)
{
    struct sl_client_conn *conn = context;
    (void)bev;
    if (conn->call == NULL) {
        /* Bytes on an idle connection belong to no request. */
        remove_idle(conn);
        close_conn(conn);
        return;
    }
    if (conn->is_paused) {
        return;
    }
    set_timer(conn, conn->call->inactivity_timeout_us);
    read_input(conn);
    if (conn->call != NULL && !conn->is_paused && conn->ended != 0) {
        short ended = conn->ended;
        conn->ended = 0;
        on_conn_ended(conn, ended);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    struct sl_client_conn *conn = context;
    (void)bev;
    if (conn->call == NULL) {
        remove_idle(conn);
        close_conn(conn);
        return;
    }
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        conn->connected = true;
        if (conn->call->connect_only) {
            conn->keep_alive = false;
            finish_call(conn->call, NULL);
            return;
        }
        SlSocket_SetOptions(bufferevent_getfd(conn->bev));
        bufferevent_write_buffer(conn->bev, conn->pending_request);
        set_timer(conn, conn->call->inactivity_timeout_us);
        return;
    }
    if (conn->is_paused) {
        conn->ended = (short)(conn->ended | what); /* after what has arrived */
        return;
    }
    on_conn_ended(conn, what);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sl_client_conn *conn = context;
    (void)fd;
    (void)what;
    if (conn->call == NULL) {
        remove_idle(conn);
        close_conn(conn);
    }
    else if (!conn->connected &&
             SlSocket_IsConnected(bufferevent_getfd(conn->bev))) {
        /* The connection is established, but its event is queued behind this
         * timer's. */
        set_timer(conn, Sl_CONNECT_EVENT_WAIT_US);
    }
    else if (!conn->connected) {
        fail_call(conn->call, Sl_ERR_UNREACHABLE,
                  "connection attempt timed out");
    }
    else {
        fail_call(conn->call, Sl_ERR_TIMEOUT,
                  "no data received within the timeout");
    }
}

/* ---- calls ---- */

/* Takes the connection that became idle last, which the peer is least likely
 * to have closed. Returns NULL if there is none. */
static struct sl_client_conn *
take_idle_conn(struct sl_http_client *client, const struct sl_name *address)
{
    GQueue *queue = g_hash_table_lookup(client->idle, address->text);
    if (queue == NULL) {
        return NULL;
    }
    struct sl_client_conn *conn = g_queue_peek_head(queue);
    remove_idle(conn);
    event_del(conn->timer);
    conn->reused = true;
    conn->message_complete = false;
    SlHttpReader_Reset(&conn->reader);
    return conn;
}

/* Starts to connect. Errors are reported later, as an event of the
 * bufferevent. */
static struct sl_client_conn *
open_conn(struct sl_http_client *client, const struct sl_name *address)
{
    struct sockaddr_in remote;
    struct sockaddr_in local;
    struct sl_http_reader_handlers handlers = {on_head, on_body, on_end, NULL};
    struct sl_client_conn *conn = g_new0(struct sl_client_conn, 1);
    conn->client = client;
    conn->address = *address;
    handlers.context = conn;
    SlHttpReader_Init(&conn->reader, HTTP_RESPONSE, Sl_RESPONSE_HEAD_MAX_BYTES,
                      &handlers);
    conn->timer = event_new(client->options.base, -1, 0, on_timer, conn);
    conn->pending_request = evbuffer_new();
    evutil_socket_t fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd >= 0) {
        evutil_make_socket_nonblocking(fd);
        evutil_make_socket_closeonexec(fd);
    }
    if (fd >= 0 && client->options.local_ip.len > 0) {
        /* Port 1 only completes the "IP:PORT" form; the kernel chooses the
         * port. */
        char text[Sl_NAME_MAX_BYTES + 1];
        g_snprintf(text, sizeof(text), "%.*s:1",
                   (int)client->options.local_ip.len,
                   client->options.local_ip.ptr);
        if (SlSocket_ParseAddress(SlStr_FromC(text), &local)) {
            local.sin_port = 0;
            (void)bind(fd, (struct sockaddr *)&local, sizeof(local));
        }
    }
    conn->bev = bufferevent_socket_new(client->options.base, fd,
                                       BEV_OPT_CLOSE_ON_FREE |
                                           BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
    bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    if (fd < 0 || !SlSocket_ParseAddress(SlName_Str(address), &remote) ||
        bufferevent_socket_connect(conn->bev, (struct sockaddr *)&remote,
                                   sizeof(remote)) != 0) {
        bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    }
    return conn;
}

static void
write_request(struct sl_client_conn *conn,
              const struct sl_http_client_call_options *options)
{
    struct evbuffer *out = conn->connected ? bufferevent_get_output(conn->bev)
                                           : conn->pending_request;
    evbuffer_add(out, options->head.ptr, options->head.len);
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add(out, options->body.ptr, options->body.len);
}

uint64_t
SlHttpClient_Call(struct sl_http_client *client,
                  const struct sl_http_client_call_options *options)
{
    struct sl_http_client_call *call = g_new0(struct sl_http_client_call, 1);
    struct sl_name address;
    struct sl_client_conn *conn = NULL;
    if (!SlName_Set(&address, options->address)) {
        address = SlName_Of("");
    }
    call->id = ++client->last_id;
    call->step = options->step;
    call->peer = SlName_Of("");
    if (options->peer != NULL) {
        (void)SlName_Set(&call->peer, SlStr_FromC(options->peer));
    }
    call->echo_header = options->echo_header;
    SlBuf_Append(&call->echo_value, options->echo_value);
    call->inactivity_timeout_us = options->inactivity_timeout_us;
    call->handlers = options->handlers;
    call->connect_only = options->connect_only;
    g_hash_table_insert(client->calls, &call->id, call);
    if (!options->fresh_connection && !options->connect_only) {
        conn = take_idle_conn(client, &address);
    }
    if (conn != NULL) {
        set_timer(conn, options->inactivity_timeout_us);
    }
    else {
        conn = open_conn(client, &address);
        set_timer(conn, options->connect_timeout_us);
    }
    call->conn = conn;
    conn->call = call;
    if (!options->connect_only) {
        write_request(conn, options);
    }
    return call->id;
}

bool
SlHttpClient_IsAddress(struct sl_str address)
{
    struct sockaddr_in parsed;
    return SlSocket_ParseAddress(address, &parsed);
}

void
SlHttpClient_Cancel(struct sl_http_client *client, uint64_t id)
{
    struct sl_http_client_call *call = g_hash_table_lookup(client->calls, &id);
    if (call != NULL) {
        close_conn(call->conn);
        g_hash_table_remove(client->calls, &id);
    }
}

void
SlHttpClient_CloseAfter(struct sl_http_client *client, uint64_t id)
{
    struct sl_http_client_call *call = g_hash_table_lookup(client->calls, &id);
    if (call != NULL) {
        call->conn->keep_alive = false;
    }
}

void
SlHttpClient_Pause(struct sl_http_client *client, uint64_t id)
{
    struct sl_http_client_call *call = g_hash_table_lookup(client->calls, &id);
    if (call != NULL && call->conn->connected) {
        call->conn->is_paused = true;
        bufferevent_disable(call->conn->bev, EV_READ);
        set_timer(call->conn, 0);
    }
}

void
SlHttpClient_Resume(struct sl_http_client *client, uint64_t id)
{
    struct sl_http_client_call *call = g_hash_table_lookup(client->calls, &id);
    if (call != NULL && call->conn->is_paused) {
        call->conn->is_paused = false;
        bufferevent_enable(call->conn->bev, EV_READ);
        bufferevent_trigger(call->conn->bev, EV_READ,
                            BEV_TRIG_DEFER_CALLBACKS |
                                BEV_TRIG_IGNORE_WATERMARKS);
    }
}

/* ---- public ---- */

static void
free_queue(gpointer data)
{
    g_queue_free(data);
}

static void
free_call(gpointer data)
{
    struct sl_http_client_call *call = data;
    SlBuf_Free(&call->echo_value);
    g_free(call);
}

struct sl_http_client *
SlHttpClient_New(const struct sl_http_client_options *options)
{
    struct sl_http_client *client = g_new0(struct sl_http_client, 1);
    client->options = *options;
    client->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    client->idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_queue);
    client->closed = g_ptr_array_new();
    client->free_closed_timer =
        event_new(options->base, -1, 0, on_free_closed, client);
    return client;
}

void
SlHttpClient_Free(struct sl_http_client *client)
{
    GHashTableIter iter;
    gpointer value;
    if (client == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, client->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        close_conn(((struct sl_http_client_call *)value)->conn);
    }
    g_hash_table_iter_init(&iter, client->idle);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_client_conn *conn;
        while ((conn = g_queue_pop_head(value)) != NULL) {
            close_conn(conn);
        }
    }
    on_free_closed(-1, 0, client);
    event_free(client->free_closed_timer);
    g_ptr_array_free(client->closed, TRUE);
    g_hash_table_destroy(client->calls);
    g_hash_table_destroy(client->idle);
    g_free(client);
}
