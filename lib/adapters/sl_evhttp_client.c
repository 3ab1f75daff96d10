/* HTTP client: one request a connection at a time, idle ones are pooled. */
#include "sl_adapters.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <strings.h>

#define Sl_MAX_IDLE_PER_ADDRESS 64
#define Sl_MAX_ANSWER_BYTES ((ev_ssize_t)64 * 1024 * 1024)
#define Sl_ADDRESS_MAX_BYTES 63
#define Sl_HTTP_OK 200

/* ---- types ---- */

struct sl_evhttp_client {
    struct event_base *base;
    GHashTable *idle;    /* address -> GQueue of evhttp_connection */
    GHashTable *pending; /* handle -> struct sl_evhttp_call */
    uint64_t last_handle;
};

struct sl_evhttp_call {
    struct sl_evhttp_client *http;
    uint64_t handle;
    char address[Sl_ADDRESS_MAX_BYTES + 1];
    struct sl_name peer;
    struct sl_name step;
    struct evhttp_connection *connection;
    sl_evhttp_done_fn on_done;
    sl_evhttp_head_fn on_head;
    sl_evhttp_chunk_fn on_chunk;
    void *context;
    const char *echo_header; /* static, may be NULL */
    struct event *deferred;  /* answers a call that failed at once */
    bool cancelled;          /* no callback may run any more */
    struct sl_error err;
};

/* ---- helpers ---- */

static enum evhttp_cmd_type
command_of(const char *method)
{
    if (strcmp(method, "POST") == 0) {
        return EVHTTP_REQ_POST;
    }
    if (strcmp(method, "PUT") == 0) {
        return EVHTTP_REQ_PUT;
    }
    if (strcmp(method, "DELETE") == 0) {
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

static void
free_call(gpointer data)
{
    struct sl_evhttp_call *call = data;
    if (call->deferred != NULL) {
        event_free(call->deferred);
    }
    g_free(call);
}

static void
free_idle(gpointer data)
{
    GQueue *queue = data;
    struct evhttp_connection *connection;
    while ((connection = g_queue_pop_tail(queue)) != NULL) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
        evhttp_connection_free(connection);
    }
    g_queue_free(queue);
}

static void
set_error(struct sl_evhttp_call *call, enum sl_errno code, const char *text)
{
    SlError_Set(&call->err, code, call->step.text, call->peer.text, "%s",
                text);
}

static void
discard_later(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    evhttp_connection_free(context);
}

/* Frees a connection from the loop: evhttp still uses it in callbacks. */
static void
discard(struct sl_evhttp_client *http, struct evhttp_connection *connection)
{
    const struct timeval now = {0, 0};
    event_base_once(http->base, -1, EV_TIMEOUT, discard_later, connection,
                    &now);
}

static void
on_idle_close(struct evhttp_connection *connection, void *context)
{
    GQueue *queue = context;
    if (g_queue_remove(queue, connection)) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
        evhttp_connection_free_on_completion(connection);
    }
}

static GQueue *
idle_of(struct sl_evhttp_client *http, const char *address)
{
    GQueue *queue = g_hash_table_lookup(http->idle, address);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(http->idle, g_strdup(address), queue);
    }
    return queue;
}

static void
keep(struct sl_evhttp_client *http, const char *address,
     struct evhttp_connection *connection)
{
    GQueue *queue = idle_of(http, address);
    if (queue->length >= Sl_MAX_IDLE_PER_ADDRESS) {
        discard(http, connection);
        return;
    }
    g_queue_push_tail(queue, connection);
    evhttp_connection_set_closecb(connection, on_idle_close, queue);
}

static struct evhttp_connection *
connect_to(struct sl_evhttp_client *http, const char *address)
{
    char host[Sl_ADDRESS_MAX_BYTES + 1];
    const char *colon = strrchr(address, ':');
    if (colon == NULL) {
        return NULL;
    }
    size_t len = (size_t)(colon - address);
    memcpy(host, address, len);
    host[len] = '\0';
    guint64 port = g_ascii_strtoull(colon + 1, NULL, 10);
    struct evhttp_connection *connection = evhttp_connection_base_new(
        http->base, NULL, host, (unsigned short)port);
    if (connection != NULL) {
        evhttp_connection_set_max_body_size(connection, Sl_MAX_ANSWER_BYTES);
    }
    return connection;
}

static struct evhttp_connection *
take_connection(struct sl_evhttp_client *http, struct sl_evhttp_call *call,
                bool fresh)
{
    GQueue *queue = idle_of(http, call->address);
    struct evhttp_connection *connection =
        fresh ? NULL : g_queue_pop_tail(queue);
    if (connection == NULL) {
        return connect_to(http, call->address);
    }
    evhttp_connection_set_closecb(connection, NULL, NULL);
    return connection;
}

/* Ends the call: its callback runs, then its memory goes. */
static void
finish(struct sl_evhttp_call *call, const struct sl_evhttp_response *reply)
{
    struct sl_evhttp_client *http = call->http;
    struct sl_evhttp_call copy = *call;
    call->deferred = NULL;
    g_hash_table_steal(http->pending, &call->handle);
    g_free(call);
    if (copy.deferred != NULL) {
        event_free(copy.deferred);
    }
    copy.on_done(copy.context, reply == NULL ? &copy.err : NULL, reply);
}

static void
read_reply(const struct sl_evhttp_call *call, struct evhttp_request *request,
           struct sl_evhttp_response *reply)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const char *type = evhttp_find_header(headers, "Content-Type");
    const char *retry = evhttp_find_header(headers, "Retry-After");
    memset(reply, 0, sizeof(*reply));
    reply->status = evhttp_request_get_response_code(request);
    if (type != NULL) {
        reply->content_type = SlStr_FromC(type);
    }
    if (retry != NULL) {
        reply->retry_after_us =
            (int64_t)(g_ascii_strtod(retry, NULL) * Sl_US_PER_S);
    }
    if (call->echo_header != NULL) {
        const char *echo = evhttp_find_header(headers, call->echo_header);
        reply->echo = SlStr_FromC(echo == NULL ? "" : echo);
    }
}

/* ---- evhttp callbacks ---- */

static void
on_request_error(enum evhttp_request_error error, void *context)
{
    struct sl_evhttp_call *call = context;
    if (error == EVREQ_HTTP_TIMEOUT) {
        set_error(call, Sl_ERR_TIMEOUT, "no answer in time");
        return;
    }
    if (error == EVREQ_HTTP_DATA_TOO_LONG) {
        set_error(call, Sl_ERR_TOO_LARGE, "answer is too large");
        return;
    }
    set_error(call, Sl_ERR_LOST, "connection closed before the answer ended");
}

static int
on_header(struct evhttp_request *request, void *context)
{
    struct sl_evhttp_call *call = context;
    struct sl_evhttp_response head;
    if (call->on_head != NULL && !call->cancelled) {
        read_reply(call, request, &head);
        call->on_head(call->context, &head);
    }
    return 0;
}

static void
on_body_data(struct evhttp_request *request, void *context)
{
    struct sl_evhttp_call *call = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t len = evbuffer_get_length(input);
    if (call->cancelled || len == 0 ||
        evhttp_request_get_response_code(request) != Sl_HTTP_OK) {
        return;
    }
    const char *bytes = (const char *)evbuffer_pullup(input, -1);
    call->on_chunk(call->context, (struct sl_str){bytes, len});
}

static bool
is_persistent(struct evhttp_request *request)
{
    const char *value = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Connection");
    return value == NULL || strcasecmp(value, "close") != 0;
}

static void
on_answer(struct evhttp_request *request, void *context)
{
    struct sl_evhttp_call *call = context;
    struct sl_evhttp_client *http = call->http;
    struct evhttp_connection *connection = call->connection;
    if (call->cancelled) {
        call->connection = NULL;
        discard(http, connection);
        return;
    }
    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        if (call->err.code == Sl_OK) {
            set_error(call, Sl_ERR_UNREACHABLE, "connection refused");
        }
        discard(http, connection);
        finish(call, NULL);
        return;
    }
    struct sl_evhttp_response reply;
    read_reply(call, request, &reply);
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    reply.body.len = evbuffer_get_length(input);
    reply.body.ptr = (const char *)evbuffer_pullup(input, -1);
    if (is_persistent(request)) {
        keep(http, call->address, connection);
    }
    else {
        discard(http, connection);
    }
    finish(call, &reply);
}

static void
on_deferred(evutil_socket_t fd, short what, void *context)
{
    struct sl_evhttp_call *call = context;
    (void)fd;
    (void)what;
    finish(call, NULL);
}

static void
on_cancel(evutil_socket_t fd, short what, void *context)
{
    struct sl_evhttp_call *call = context;
    struct evhttp_connection *connection = call->connection;
    (void)fd;
    (void)what;
    g_hash_table_remove(call->http->pending, &call->handle);
    if (connection != NULL) {
        evhttp_connection_free(connection);
    }
}

/* ---- building a request ---- */

static struct evhttp_request *
build(struct sl_evhttp_call *call,
      const struct sl_evhttp_request_options *options)
{
    struct evhttp_request *request = evhttp_request_new(on_answer, call);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_request_set_error_cb(request, on_request_error);
    evhttp_request_set_header_cb(request, on_header);
    if (options->on_chunk != NULL) {
        evhttp_request_set_chunked_cb(request, on_body_data);
    }
    evhttp_add_header(headers, "Host", call->address);
    if (options->body.len > 0) {
        evhttp_add_header(headers, "Content-Type",
                          options->content_type == NULL
                              ? "application/json"
                              : options->content_type);
        evbuffer_add(evhttp_request_get_output_buffer(request),
                     options->body.ptr, options->body.len);
    }
    for (size_t i = 0; i < Sl_EVHTTP_REQUEST_MAX_HEADERS; i++) {
        if (options->headers[i].name != NULL) {
            evhttp_add_header(headers, options->headers[i].name,
                              options->headers[i].value);
        }
    }
    return request;
}

static struct sl_evhttp_call *
new_call(struct sl_evhttp_client *http,
         const struct sl_evhttp_request_options *options)
{
    struct sl_evhttp_call *call = g_new0(struct sl_evhttp_call, 1);
    assert(options->address.len <= Sl_ADDRESS_MAX_BYTES);
    call->http = http;
    call->handle = ++http->last_handle;
    memcpy(call->address, options->address.ptr, options->address.len);
    call->peer = SlName_Of(options->peer);
    call->step = SlName_Of(options->step);
    call->on_done = options->on_done;
    call->on_head = options->on_head;
    call->echo_header = options->echo_header;
    call->on_chunk = options->on_chunk;
    call->context = options->context;
    g_hash_table_insert(http->pending, &call->handle, call);
    return call;
}

static void
defer(struct sl_evhttp_call *call, event_callback_fn callback)
{
    const struct timeval now = {0, 0};
    if (call->deferred != NULL) {
        event_free(call->deferred);
    }
    call->deferred = evtimer_new(call->http->base, callback, call);
    evtimer_add(call->deferred, &now);
}

static void
fail_later(struct sl_evhttp_call *call)
{
    set_error(call, Sl_ERR_UNREACHABLE, "no connection");
    defer(call, on_deferred);
}

/* ---- public ---- */

struct sl_evhttp_client *
SlEvhttpClient_New(struct event_base *base)
{
    struct sl_evhttp_client *http = g_new0(struct sl_evhttp_client, 1);
    http->base = base;
    http->idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_idle);
    http->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return http;
}

void
SlEvhttpClient_Free(struct sl_evhttp_client *http)
{
    if (http == NULL) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, http->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_evhttp_call *call = value;
        if (call->connection != NULL) {
            evhttp_connection_free(call->connection);
        }
    }
    g_hash_table_destroy(http->pending);
    g_hash_table_destroy(http->idle);
    g_free(http);
}

uint64_t
SlEvhttpClient_Send(struct sl_evhttp_client *http,
                    const struct sl_evhttp_request_options *options)
{
    struct sl_evhttp_call *call = new_call(http, options);
    struct timeval timeout = {
        .tv_sec = options->timeout_us / Sl_US_PER_S,
        .tv_usec = options->timeout_us % Sl_US_PER_S,
    };
    call->connection = take_connection(http, call, options->fresh_connection);
    if (call->connection == NULL) {
        fail_later(call);
        return call->handle;
    }
    uint64_t handle = call->handle;
    evhttp_connection_set_timeout_tv(call->connection, &timeout);
    struct evhttp_request *request = build(call, options);
    if (evhttp_make_request(call->connection, request,
                            command_of(options->method), options->path) != 0) {
        discard(http, call->connection);
        call->connection = NULL;
        fail_later(call);
    }
    return handle;
}

void
SlEvhttpClient_Cancel(struct sl_evhttp_client *http, uint64_t handle)
{
    struct sl_evhttp_call *call = g_hash_table_lookup(http->pending, &handle);
    if (call == NULL) {
        return;
    }
    call->cancelled = true;
    defer(call, on_cancel);
}
