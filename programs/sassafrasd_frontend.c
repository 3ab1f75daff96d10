/* HTTP server for clients' requests, on libevent's evhttp. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* evhttp itself replies, in HTML, to a request beyond its own limits. Those of
 * this process, Sl_MAX_HEADER_BYTES and Sl_BODY_MAX_BYTES, are lower, so that
 * a client gets a JSON error. */
#define Sl_EVHTTP_MAX_BODY_BYTES ((ev_ssize_t)16 * 1024 * 1024)
#define Sl_EVHTTP_MAX_HEADER_BYTES ((ev_ssize_t)64 * 1024)
#define Sl_MAX_HEADER_BYTES ((size_t)16 * 1024)
#define Sl_HOST_MAX_BYTES 64

/* ---- types ---- */

struct sl_frontend {
    struct sl_runtime *runtime;
    struct evhttp *http;
    struct evhttp_bound_socket *listener; /* NULL once closed */
    GHashTable *requests; /* conn -> struct sl_frontend_request, owned */
    uint64_t last_conn;   /* id of the newest request */
};

/* A client's request, from its arrival to the end of the response. */
struct sl_frontend_request {
    struct sl_frontend *frontend;
    uint64_t conn; /* id in events and effects */
    struct evhttp_request *http_request;
    struct event *close_event; /* the client closed its connection */
    /* The response is complete, but the client has not received all of it. */
    bool is_ended;
};

/* ---- helpers ---- */

static const char *
method_name(struct evhttp_request *http_request)
{
    switch (evhttp_request_get_command(http_request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "POST";
    }
}

/* Returns a header's value, or an empty string if it is absent. */
static struct sl_str
get_header(struct evhttp_request *http_request, const char *name)
{
    const char *value = evhttp_find_header(
        evhttp_request_get_input_headers(http_request), name);
    return value == NULL ? (struct sl_str){"", 0} : SlStr_FromC(value);
}

/* Returns the size of the target and of all names and values of headers. */
static size_t
count_header_bytes(struct evhttp_request *http_request)
{
    size_t size = strlen(evhttp_request_get_uri(http_request));
    const struct evkeyvalq *headers =
        evhttp_request_get_input_headers(http_request);
    for (const struct evkeyval *entry = headers->tqh_first; entry != NULL;
         entry = entry->next.tqe_next) {
        size += strlen(entry->key) + strlen(entry->value);
    }
    return size;
}

static void
free_request(gpointer data)
{
    struct sl_frontend_request *request = data;
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request->http_request);
    if (connection != NULL) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
    event_free(request->close_event);
    g_free(request);
}

/* ---- closed connections ---- */

/* Closes the request's connection without the rest of the response. That also
 * frees the evhttp request. */
static void
drop_request(struct sl_frontend_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request->http_request);
    g_hash_table_remove(request->frontend->requests, &request->conn);
    if (connection != NULL) {
        evhttp_connection_free(connection);
    }
}

static void
dispatch_disconnect(struct sl_runtime *runtime, uint64_t conn)
{
    struct sl_event event = {.type = Sl_EVENT_HTTP_DISCONNECTED};
    event.u.conn = conn;
    SlRuntime_Dispatch(runtime, &event);
}

/* Called when the client has closed or half-closed its connection. evhttp does
 * not notice this, because it does not read while it sends a response. */
static void
on_client_closed(evutil_socket_t fd, short what, void *context)
{
    struct sl_frontend_request *request = context;
    struct sl_runtime *runtime = request->frontend->runtime;
    uint64_t conn = request->conn;
    (void)fd;
    (void)what;
    drop_request(request);
    dispatch_disconnect(runtime, conn);
}

/* Called by evhttp when a write has failed. evhttp frees the connection, but
 * leaves a request without a connection to its user to free. */
static void
on_connection_close(struct evhttp_connection *connection, void *context)
{
    struct sl_frontend_request *request = context;
    struct sl_runtime *runtime = request->frontend->runtime;
    struct evhttp_request *http_request = request->http_request;
    uint64_t conn = request->conn;
    bool is_ended = request->is_ended;
    (void)connection;
    g_hash_table_remove(request->frontend->requests, &conn);
    if (is_ended) {
        return; /* evhttp frees a request that has ended */
    }
    if (evhttp_request_get_connection(http_request) == NULL) {
        evhttp_request_free(http_request);
    }
    dispatch_disconnect(runtime, conn);
}

/* ---- requests ---- */

static struct sl_frontend_request *
new_request(struct sl_frontend *frontend, struct evhttp_request *http_request)
{
    struct sl_frontend_request *request =
        g_new0(struct sl_frontend_request, 1);
    struct evhttp_connection *connection =
        evhttp_request_get_connection(http_request);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    request->frontend = frontend;
    request->conn = ++frontend->last_conn;
    request->http_request = http_request;
    evutil_socket_t fd = bufferevent_getfd(bev);
    int enabled = 1;
    /* Chunks of a stream must be sent without delay. */
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    request->close_event = event_new(frontend->runtime->base, fd, EV_CLOSED,
                                     on_client_closed, request);
    event_add(request->close_event, NULL);
    evhttp_connection_set_closecb(connection, on_connection_close, request);
    g_hash_table_insert(frontend->requests, &request->conn, request);
    return request;
}

/* Replies with an error in the same form as the core's reducer does. */
static void
reject_request(struct evhttp_request *http_request, int status,
               const char *what)
{
    struct evbuffer *body = evbuffer_new();
    evbuffer_add_printf(body,
                        "{\"outcome\":\"not-run\",\"step\":\"entry.accept\","
                        "\"peer\":\"\",\"error\":\"%s\",\"retry_after_ms\":0}"
                        "\n",
                        what);
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(http_request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Sassafras-Outcome", "not-run");
    evhttp_send_reply(http_request, status, NULL, body);
    evbuffer_free(body);
}

static void
on_request(struct evhttp_request *http_request, void *context)
{
    struct sl_frontend *frontend = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(http_request);
    size_t body_size = evbuffer_get_length(input);
    if (count_header_bytes(http_request) > Sl_MAX_HEADER_BYTES) {
        reject_request(http_request, 431,
                       "the headers are larger than 16 KiB");
        return;
    }
    if (body_size > Sl_BODY_MAX_BYTES) {
        reject_request(http_request, 413, "the body is larger than 4 MiB");
        return;
    }
    const struct sl_frontend_request *request =
        new_request(frontend, http_request);
    struct sl_event event = {.type = Sl_EVENT_HTTP_REQUEST};
    event.u.http = (struct sl_http_request){
        .conn = request->conn,
        .method = SlStr_FromC(method_name(http_request)),
        .path = SlStr_FromC(evhttp_request_get_uri(http_request)),
        .content_type = get_header(http_request, "Content-Type"),
        .team = get_header(http_request, "Sassafras-Team"),
        .session = get_header(http_request, "Sassafras-Session"),
        .kind = get_header(http_request, "Sassafras-Kind"),
        .key = get_header(http_request, "Idempotency-Key"),
        .issued = get_header(http_request, "Sassafras-Issued"),
        .deadline = get_header(http_request, "Sassafras-Deadline-Ms"),
        .body = {(const char *)evbuffer_pullup(input, -1), body_size},
    };
    SlRuntime_Dispatch(frontend->runtime, &event);
}

/* ---- effects ---- */

static void
add_header(struct evkeyvalq *headers, const char *name, struct sl_str value)
{
    char *text = g_strndup(value.ptr, value.len);
    if (value.len > 0) {
        evhttp_add_header(headers, name, text);
    }
    g_free(text);
}

static void
start_response(const struct sl_frontend_request *request,
               const struct sl_effect_http_head *head)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(request->http_request);
    add_header(headers, "Content-Type", head->content_type);
    add_header(headers, "Sassafras-Request", SlName_Str(&head->request));
    add_header(headers, "Sassafras-Version", SlName_Str(&head->version));
    evhttp_add_header(headers, "Sassafras-Outcome",
                      SlOutcome_Name(head->outcome));
    if (head->retry_after_us > 0) {
        char seconds[24];
        int64_t rounded_s =
            (head->retry_after_us + Sl_US_PER_S - 1) / Sl_US_PER_S;
        snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
                 (gint64)rounded_s);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    if (request->frontend->listener == NULL) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_send_reply_start(request->http_request, (int)head->status, NULL);
}

static void
send_chunk(const struct sl_frontend_request *request, struct sl_str bytes)
{
    struct evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.ptr, bytes.len);
    evhttp_send_reply_chunk(request->http_request, chunk);
    evbuffer_free(chunk);
}

/* Called by evhttp when the last byte of a response is written. */
static void
on_written(struct evhttp_request *http_request, void *context)
{
    struct sl_frontend_request *request = context;
    (void)http_request;
    g_hash_table_remove(request->frontend->requests, &request->conn);
}

static void
end_response(struct sl_frontend_request *request)
{
    request->is_ended = true;
    event_del(request->close_event);
    evhttp_request_set_on_complete_cb(request->http_request, on_written,
                                      request);
    evhttp_send_reply_end(request->http_request);
}

/* Returns the request whose response is not complete, or NULL. */
static struct sl_frontend_request *
find_request(struct sl_frontend *frontend, uint64_t conn)
{
    struct sl_frontend_request *request =
        g_hash_table_lookup(frontend->requests, &conn);
    return request == NULL || request->is_ended ? NULL : request;
}

void
SlFrontend_Perform(struct sl_frontend *frontend,
                   const struct sl_effect *effect)
{
    struct sl_frontend_request *request = NULL;
    switch (effect->type) {
    case Sl_EFFECT_HTTP_HEAD:
        request = find_request(frontend, effect->u.head.conn);
        if (request != NULL) {
            start_response(request, &effect->u.head);
        }
        break;
    case Sl_EFFECT_HTTP_BODY:
        request = find_request(frontend, effect->u.body.conn);
        if (request != NULL) {
            send_chunk(request, effect->u.body.bytes);
        }
        break;
    case Sl_EFFECT_HTTP_END:
        request = find_request(frontend, effect->u.conn);
        if (request != NULL) {
            end_response(request);
        }
        break;
    case Sl_EFFECT_HTTP_STOP_ACCEPTING:
        if (frontend->listener != NULL) {
            evhttp_del_accept_socket(frontend->http, frontend->listener);
            frontend->listener = NULL;
        }
        break;
    case Sl_EFFECT_HTTP_ABORT:
        request = find_request(frontend, effect->u.conn);
        if (request != NULL) {
            drop_request(request);
        }
        break;
    default:
        assert(false);
    }
}

/* ---- public ---- */

bool
SlFrontend_HasUnsent(const struct sl_frontend *frontend)
{
    return g_hash_table_size(frontend->requests) > 0;
}

struct sl_frontend *
SlFrontend_New(struct sl_runtime *runtime, struct sl_error *err)
{
    struct sl_frontend *frontend = g_new0(struct sl_frontend, 1);
    char host[Sl_HOST_MAX_BYTES];
    uint16_t port = 0;
    frontend->runtime = runtime;
    frontend->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    frontend->http = evhttp_new(runtime->base);
    evhttp_set_max_body_size(frontend->http, Sl_EVHTTP_MAX_BODY_BYTES);
    evhttp_set_max_headers_size(frontend->http, Sl_EVHTTP_MAX_HEADER_BYTES);
    evhttp_set_allowed_methods(
        frontend->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(frontend->http, on_request, frontend);
    SlRuntime_SplitAddress(&runtime->settings->listen, host, sizeof(host),
                           &port);
    frontend->listener =
        evhttp_bind_socket_with_handle(frontend->http, host, port);
    if (frontend->listener == NULL) {
        SlError_Set(err, Sl_ERR_UNREACHABLE, "callers.listen", host,
                    "cannot listen on \"listen\" %s",
                    runtime->settings->listen.text);
        SlFrontend_Free(frontend);
        return NULL;
    }
    return frontend;
}

void
SlFrontend_Free(struct sl_frontend *frontend)
{
    if (frontend == NULL) {
        return;
    }
    g_hash_table_destroy(frontend->requests);
    evhttp_free(frontend->http);
    g_free(frontend);
}
