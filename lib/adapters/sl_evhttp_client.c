/* HTTP client on libevent's evhttp. Connections carry one request at a time;
 * idle ones are pooled. */
#include "sl_adapters.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <strings.h>

/* Idle connections to one address; further ones are closed. */
#define Sl_MAX_IDLE_PER_ADDRESS 64
/* Largest body of a response; a larger one fails with Sl_ERR_TOO_LARGE. */
#define Sl_MAX_RESPONSE_BYTES ((ev_ssize_t)64 * 1024 * 1024)
/* Largest head of a response, and largest trailer. */
#define Sl_MAX_RESPONSE_HEAD_BYTES ((ev_ssize_t)64 * 1024)
/* Largest number of received bytes that evhttp has not parsed. It waits for
 * the end of the line that gives a chunk's size, and has no limit of its own
 * for that line. */
#define Sl_MAX_UNPARSED_BYTES ((size_t)2 * Sl_MAX_RESPONSE_HEAD_BYTES)
#define Sl_HTTP_OK 200

/* ---- types ---- */

struct sl_evhttp_client {
    struct event_base *base;
    GHashTable *idle;    /* address -> GQueue of struct evhttp_connection */
    GHashTable *pending; /* handle -> struct sl_evhttp_call */
    uint64_t last_handle;
};

/* A pending request. */
struct sl_evhttp_call {
    struct sl_evhttp_client *client;
    uint64_t handle;
    char address[Sl_NAME_MAX_BYTES + 1];
    struct sl_name peer;
    struct sl_name step;
    struct evhttp_connection *connection; /* may be NULL */
    sl_evhttp_done_fn on_done;
    sl_evhttp_head_fn on_head;
    sl_evhttp_chunk_fn on_chunk;
    void *context;
    const char *echo_header; /* static, may be NULL */
    bool has_own_connection; /* which no other request uses */
    struct event *deferred;  /* ends a failed call, or frees a cancelled one */
    bool cancelled;          /* none of its callbacks may run */
    struct sl_error err;     /* why the call failed */
};

/* ---- helpers ---- */

/* Returns the command for a method; GET for an unknown one. */
static enum evhttp_cmd_type
evhttp_command(const char *method)
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
free_idle_queue(gpointer data)
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
on_free_connection(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    evhttp_connection_free(context);
}

/* Frees a connection from the event loop, since evhttp still uses it while one
 * of its callbacks runs. */
static void
free_connection_later(struct evhttp_connection *connection)
{
    const struct timeval now = {0, 0};
    event_base_once(evhttp_connection_get_base(connection), -1, EV_TIMEOUT,
                    on_free_connection, connection, &now);
}

/* evhttp has closed an idle connection, as the peer closed it or sent bytes
 * that belong to no request. */
static void
on_idle_closed(struct evhttp_connection *connection, void *context)
{
    GQueue *queue = context;
    if (g_queue_remove(queue, connection)) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
        free_connection_later(connection);
    }
}

static GQueue *
idle_queue(struct sl_evhttp_client *client, const char *address)
{
    GQueue *queue = g_hash_table_lookup(client->idle, address);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(client->idle, g_strdup(address), queue);
    }
    return queue;
}

/* Keeps the connection for another request, or closes it if there are enough
 * idle ones. */
static void
keep_idle(struct sl_evhttp_client *client, const char *address,
          struct evhttp_connection *connection)
{
    GQueue *queue = idle_queue(client, address);
    if (queue->length >= Sl_MAX_IDLE_PER_ADDRESS) {
        free_connection_later(connection);
        return;
    }
    g_queue_push_tail(queue, connection);
    evhttp_connection_set_closecb(connection, on_idle_closed, queue);
}

/* Returns a connection that evhttp establishes with the first request, or NULL
 * if the address is invalid. */
static struct evhttp_connection *
open_connection(struct sl_evhttp_client *client, const char *address)
{
    char host[Sl_NAME_MAX_BYTES + 1];
    const char *colon = strrchr(address, ':');
    if (colon == NULL) {
        return NULL;
    }
    size_t len = (size_t)(colon - address);
    memcpy(host, address, len);
    host[len] = '\0';
    guint64 port = g_ascii_strtoull(colon + 1, NULL, 10);
    struct evhttp_connection *connection = evhttp_connection_base_new(
        client->base, NULL, host, (unsigned short)port);
    if (connection != NULL) {
        evhttp_connection_set_max_body_size(connection, Sl_MAX_RESPONSE_BYTES);
        evhttp_connection_set_max_headers_size(connection,
                                               Sl_MAX_RESPONSE_HEAD_BYTES);
    }
    return connection;
}

/* Takes an idle connection to the call's address, or opens one if there is
 * none or `fresh` is true. */
static struct evhttp_connection *
take_connection(struct sl_evhttp_client *client, struct sl_evhttp_call *call,
                bool fresh)
{
    GQueue *queue = idle_queue(client, call->address);
    struct evhttp_connection *connection =
        fresh ? NULL : g_queue_pop_tail(queue);
    if (connection == NULL) {
        return open_connection(client, call->address);
    }
    evhttp_connection_set_closecb(connection, NULL, NULL);
    return connection;
}

/* Frees the call and then runs its `on_done`. `response` is NULL if the call
 * failed, with the call's `err`. */
static void
finish_call(struct sl_evhttp_call *call,
            const struct sl_evhttp_response *response)
{
    struct sl_evhttp_client *client = call->client;
    struct sl_evhttp_call copy = *call;
    call->deferred = NULL;
    g_hash_table_steal(client->pending, &call->handle);
    g_free(call);
    if (copy.deferred != NULL) {
        event_free(copy.deferred);
    }
    copy.on_done(copy.context, response == NULL ? &copy.err : NULL, response);
}

/* Fills in the status and the values of the headers, but not the body. The
 * views are valid as long as `request`. */
static void
read_response_head(const struct sl_evhttp_call *call,
                   struct evhttp_request *request,
                   struct sl_evhttp_response *response)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const char *type = evhttp_find_header(headers, "Content-Type");
    const char *retry_after = evhttp_find_header(headers, "Retry-After");
    memset(response, 0, sizeof(*response));
    response->status = evhttp_request_get_response_code(request);
    if (type != NULL) {
        response->content_type = SlStr_FromC(type);
    }
    if (retry_after != NULL) {
        response->retry_after_us =
            (int64_t)(g_ascii_strtod(retry_after, NULL) * Sl_US_PER_S);
    }
    if (call->echo_header != NULL) {
        const char *echo = evhttp_find_header(headers, call->echo_header);
        response->echo = SlStr_FromC(echo == NULL ? "" : echo);
    }
}

/* Runs `callback` from the event loop, instead of one that was deferred
 * before. */
static void
defer(struct sl_evhttp_call *call, event_callback_fn callback)
{
    const struct timeval now = {0, 0};
    if (call->deferred != NULL) {
        event_free(call->deferred);
    }
    call->deferred = evtimer_new(call->client->base, callback, call);
    evtimer_add(call->deferred, &now);
}

/* ---- callbacks of evhttp ---- */

/* Runs before on_response() if a request fails after connecting. */
static void
on_request_error(enum evhttp_request_error error, void *context)
{
    struct sl_evhttp_call *call = context;
    if (error == EVREQ_HTTP_TIMEOUT) {
        set_error(call, Sl_ERR_TIMEOUT, "no response within the timeout");
        return;
    }
    if (error == EVREQ_HTTP_DATA_TOO_LONG) {
        set_error(call, Sl_ERR_TOO_LARGE, "response is too large");
        return;
    }
    set_error(call, Sl_ERR_LOST,
              "connection closed before the response was complete");
}

static int
on_headers(struct evhttp_request *request, void *context)
{
    struct sl_evhttp_call *call = context;
    struct sl_evhttp_response head;
    if (call->on_head != NULL && !call->cancelled) {
        read_response_head(call, request, &head);
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

static struct evbuffer *
input_of(struct evhttp_connection *connection)
{
    return bufferevent_get_input(
        evhttp_connection_get_bufferevent(connection));
}

static void on_deferred_too_large(evutil_socket_t fd, short what,
                                  void *context);

/* Bytes were added to the connection's input, or evhttp has taken some. */
static void
on_input(struct evbuffer *input, const struct evbuffer_cb_info *info,
         void *context)
{
    struct sl_evhttp_call *call = context;
    (void)info;
    if (evbuffer_get_length(input) > Sl_MAX_UNPARSED_BYTES &&
        !call->cancelled && call->err.code == Sl_OK) {
        set_error(call, Sl_ERR_TOO_LARGE, "response has an endless line");
        defer(call, on_deferred_too_large);
    }
}

/* Reports whether another request may use the connection: the peer keeps it
 * open, and its response was no refusal. A faulty peer may send a refusal once
 * more, which a later call for the same request would take for its own. */
static bool
is_reusable(struct evhttp_request *request)
{
    const char *value = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Connection");
    return evhttp_request_get_response_code(request) < HTTP_BADREQUEST &&
           (value == NULL || strcasecmp(value, "close") != 0);
}

/* The request has ended: with a complete response, or with an error, in which
 * case evhttp passes NULL or a request without a status. */
static void
on_response(struct evhttp_request *request, void *context)
{
    struct sl_evhttp_call *call = context;
    struct sl_evhttp_client *client = call->client;
    struct evhttp_connection *connection = call->connection;
    evbuffer_remove_cb(input_of(connection), on_input, call);
    if (call->cancelled) {
        call->connection = NULL;
        free_connection_later(connection);
        return;
    }
    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        /* on_request_error() has set an error unless connecting failed. */
        if (call->err.code == Sl_OK) {
            set_error(call, Sl_ERR_UNREACHABLE, "connection refused");
        }
        free_connection_later(connection);
        finish_call(call, NULL);
        return;
    }
    struct sl_evhttp_response response;
    read_response_head(call, request, &response);
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    response.body.len = evbuffer_get_length(input);
    response.body.ptr = (const char *)evbuffer_pullup(input, -1);
    if (!call->has_own_connection && is_reusable(request)) {
        keep_idle(client, call->address, connection);
    }
    else {
        free_connection_later(connection);
    }
    finish_call(call, &response);
}

/* ---- deferred ends of calls ---- */

static void
on_deferred_failure(evutil_socket_t fd, short what, void *context)
{
    struct sl_evhttp_call *call = context;
    (void)fd;
    (void)what;
    finish_call(call, NULL);
}

static void
on_deferred_too_large(evutil_socket_t fd, short what, void *context)
{
    struct sl_evhttp_call *call = context;
    (void)fd;
    (void)what;
    evhttp_connection_free(call->connection);
    finish_call(call, NULL);
}

static void
on_deferred_cancel(evutil_socket_t fd, short what, void *context)
{
    struct sl_evhttp_call *call = context;
    struct evhttp_connection *connection = call->connection;
    (void)fd;
    (void)what;
    g_hash_table_remove(call->client->pending, &call->handle);
    if (connection != NULL) {
        evhttp_connection_free(connection);
    }
}

/* ---- building a request ---- */

static struct evhttp_request *
build_request(struct sl_evhttp_call *call,
              const struct sl_evhttp_request_options *options)
{
    struct evhttp_request *request = evhttp_request_new(on_response, call);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_request_set_error_cb(request, on_request_error);
    evhttp_request_set_header_cb(request, on_headers);
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
new_call(struct sl_evhttp_client *client,
         const struct sl_evhttp_request_options *options)
{
    struct sl_evhttp_call *call = g_new0(struct sl_evhttp_call, 1);
    assert(options->address.len <= Sl_NAME_MAX_BYTES);
    call->client = client;
    call->handle = ++client->last_handle;
    memcpy(call->address, options->address.ptr, options->address.len);
    call->peer = SlName_Of(options->peer);
    call->step = SlName_Of(options->step);
    call->on_done = options->on_done;
    call->on_head = options->on_head;
    call->echo_header = options->echo_header;
    call->has_own_connection = options->fresh_connection;
    call->on_chunk = options->on_chunk;
    call->context = options->context;
    g_hash_table_insert(client->pending, &call->handle, call);
    return call;
}

/* Fails a call that was not sent, once SlEvhttpClient_Send() has returned. */
static void
fail_later(struct sl_evhttp_call *call)
{
    set_error(call, Sl_ERR_UNREACHABLE, "cannot open a connection");
    defer(call, on_deferred_failure);
}

/* Closes the call's connection and runs its `on_done`, unless the call was
 * cancelled. */
static void
end_at_close(struct sl_evhttp_call *call)
{
    if (call->connection != NULL) {
        evhttp_connection_free(call->connection);
    }
    if (call->cancelled) {
        g_hash_table_remove(call->client->pending, &call->handle);
        return;
    }
    set_error(call, Sl_ERR_LOST, "the client is closed");
    finish_call(call, NULL);
}

/* ---- public ---- */

struct sl_evhttp_client *
SlEvhttpClient_New(struct event_base *base)
{
    struct sl_evhttp_client *client = g_new0(struct sl_evhttp_client, 1);
    client->base = base;
    client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         free_idle_queue);
    client->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return client;
}

void
SlEvhttpClient_Free(struct sl_evhttp_client *client)
{
    if (client == NULL) {
        return;
    }
    GList *calls = g_hash_table_get_values(client->pending);
    for (const GList *link = calls; link != NULL; link = link->next) {
        end_at_close(link->data);
    }
    g_list_free(calls);
    g_hash_table_destroy(client->pending);
    g_hash_table_destroy(client->idle);
    g_free(client);
}

uint64_t
SlEvhttpClient_Send(struct sl_evhttp_client *client,
                    const struct sl_evhttp_request_options *options)
{
    struct sl_evhttp_call *call = new_call(client, options);
    struct timeval timeout = {
        .tv_sec = options->timeout_us / Sl_US_PER_S,
        .tv_usec = options->timeout_us % Sl_US_PER_S,
    };
    call->connection =
        take_connection(client, call, options->fresh_connection);
    if (call->connection == NULL) {
        fail_later(call);
        return call->handle;
    }
    uint64_t handle = call->handle;
    evhttp_connection_set_timeout_tv(call->connection, &timeout);
    /* Before the request is made, which may fail and free the call. */
    evbuffer_add_cb(input_of(call->connection), on_input, call);
    struct evhttp_request *request = build_request(call, options);
    if (evhttp_make_request(call->connection, request,
                            evhttp_command(options->method),
                            options->path) != 0) {
        evbuffer_remove_cb(input_of(call->connection), on_input, call);
        free_connection_later(call->connection);
        call->connection = NULL;
        fail_later(call);
    }
    return handle;
}

void
SlEvhttpClient_Cancel(struct sl_evhttp_client *client, uint64_t handle)
{
    struct sl_evhttp_call *call =
        g_hash_table_lookup(client->pending, &handle);
    if (call == NULL) {
        return;
    }
    call->cancelled = true;
    defer(call, on_deferred_cancel);
}
