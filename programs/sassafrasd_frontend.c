/* HTTP towards callers, over evhttp. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* evhttp answers past these bounds itself; ours are lower, so that a caller
 * gets a JSON error. */
#define Sl_EVHTTP_MAX_BODY_BYTES ((ev_ssize_t)16 * 1024 * 1024)
#define Sl_EVHTTP_MAX_HEADERS_BYTES ((ev_ssize_t)64 * 1024)
#define Sl_HEADERS_MAX_BYTES ((size_t)16 * 1024)
#define Sl_HOST_MAX_BYTES 64

/* ---- types ---- */

struct sl_frontend {
    struct sl_runtime *shell;
    struct evhttp *http;
    struct evhttp_bound_socket *listener; /* NULL once closed */
    GHashTable *callers; /* conn -> struct sl_frontend_request, owned */
    uint64_t last_conn;
};

/* One request of a caller, from its arrival to the end of its answer. */
struct sl_frontend_request {
    struct sl_frontend *callers;
    uint64_t conn;
    struct evhttp_request *request;
    struct event *closed; /* the caller closed its connection */
};

/* ---- helpers ---- */

static const char *
method_name(struct evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
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

static struct sl_str
header(struct evhttp_request *request, const char *name)
{
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == NULL ? (struct sl_str){"", 0} : SlStr_FromC(value);
}

static size_t
headers_size(struct evhttp_request *request)
{
    size_t size = strlen(evhttp_request_get_uri(request));
    const struct evkeyvalq *headers =
        evhttp_request_get_input_headers(request);
    for (const struct evkeyval *at = headers->tqh_first; at != NULL;
         at = at->next.tqe_next) {
        size += strlen(at->key) + strlen(at->value);
    }
    return size;
}

static void
free_caller(gpointer data)
{
    struct sl_frontend_request *caller = data;
    struct evhttp_connection *connection =
        evhttp_request_get_connection(caller->request);
    if (connection != NULL) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
    event_free(caller->closed);
    g_free(caller);
}

/* ---- the caller goes ---- */

/* Forgets the caller and closes its connection, which frees its request. */
static void
drop_caller(struct sl_frontend_request *caller)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(caller->request);
    g_hash_table_remove(caller->callers->callers, &caller->conn);
    if (connection != NULL) {
        evhttp_connection_free(connection);
    }
}

static void
tell_gone(struct sl_runtime *shell, uint64_t conn)
{
    struct sl_event event = {.type = Sl_EV_HTTP_DISCONNECTED};
    event.u.conn = conn;
    SlRuntime_Dispatch(shell, &event);
}

/* Seen as a half closed socket: evhttp does not read while it answers. */
static void
on_closed(evutil_socket_t fd, short what, void *context)
{
    struct sl_frontend_request *caller = context;
    struct sl_runtime *shell = caller->callers->shell;
    uint64_t conn = caller->conn;
    (void)fd;
    (void)what;
    drop_caller(caller);
    tell_gone(shell, conn);
}

/* Seen by evhttp when a write fails; it frees the connection itself, but
 * leaves a request without one to its user. */
static void
on_connection_close(struct evhttp_connection *connection, void *context)
{
    struct sl_frontend_request *caller = context;
    struct sl_runtime *shell = caller->callers->shell;
    struct evhttp_request *request = caller->request;
    uint64_t conn = caller->conn;
    (void)connection;
    g_hash_table_remove(caller->callers->callers, &conn);
    if (evhttp_request_get_connection(request) == NULL) {
        evhttp_request_free(request);
    }
    tell_gone(shell, conn);
}

/* ---- requests ---- */

static struct sl_frontend_request *
new_caller(struct sl_frontend *callers, struct evhttp_request *request)
{
    struct sl_frontend_request *caller = g_new0(struct sl_frontend_request, 1);
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    caller->callers = callers;
    caller->conn = ++callers->last_conn;
    caller->request = request;
    evutil_socket_t fd = bufferevent_getfd(bev);
    int on = 1;
    /* Each piece of a stream leaves at once. */
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    caller->closed =
        event_new(callers->shell->base, fd, EV_CLOSED, on_closed, caller);
    event_add(caller->closed, NULL);
    evhttp_connection_set_closecb(connection, on_connection_close, caller);
    g_hash_table_insert(callers->callers, &caller->conn, caller);
    return caller;
}

static void
refuse_size(struct evhttp_request *request, int status, const char *what)
{
    struct evbuffer *body = evbuffer_new();
    evbuffer_add_printf(body,
                        "{\"outcome\":\"not-run\",\"step\":\"entry.accept\","
                        "\"peer\":\"\",\"error\":\"%s\",\"retry_after_ms\":0}"
                        "\n",
                        what);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Sassafras-Outcome", "not-run");
    evhttp_send_reply(request, status, NULL, body);
    evbuffer_free(body);
}

static void
on_request(struct evhttp_request *request, void *context)
{
    struct sl_frontend *callers = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t body_size = evbuffer_get_length(input);
    if (headers_size(request) > Sl_HEADERS_MAX_BYTES) {
        refuse_size(request, 431, "the headers are larger than 16 KiB");
        return;
    }
    if (body_size > Sl_BODY_MAX_BYTES) {
        refuse_size(request, 413, "the body is larger than 4 MiB");
        return;
    }
    const struct sl_frontend_request *caller = new_caller(callers, request);
    struct sl_event event = {.type = Sl_EV_HTTP_REQUEST};
    event.u.http = (struct sl_http_request){
        .conn = caller->conn,
        .method = SlStr_FromC(method_name(request)),
        .path = SlStr_FromC(evhttp_request_get_uri(request)),
        .content_type = header(request, "Content-Type"),
        .team = header(request, "Sassafras-Team"),
        .session = header(request, "Sassafras-Session"),
        .kind = header(request, "Sassafras-Kind"),
        .key = header(request, "Idempotency-Key"),
        .issued = header(request, "Sassafras-Issued"),
        .deadline = header(request, "Sassafras-Deadline-Ms"),
        .body = {(const char *)evbuffer_pullup(input, -1), body_size},
    };
    SlRuntime_Dispatch(callers->shell, &event);
}

/* ---- effects ---- */

static void
add_text(struct evkeyvalq *headers, const char *name, struct sl_str value)
{
    char *text = g_strndup(value.ptr, value.len);
    if (value.len > 0) {
        evhttp_add_header(headers, name, text);
    }
    g_free(text);
}

static void
start_answer(const struct sl_frontend_request *caller,
             const struct sl_fx_head *head)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(caller->request);
    add_text(headers, "Content-Type", head->content_type);
    add_text(headers, "Sassafras-Request", SlName_Str(&head->request));
    add_text(headers, "Sassafras-Version", SlName_Str(&head->version));
    evhttp_add_header(headers, "Sassafras-Outcome",
                      SlOutcome_Name(head->outcome));
    if (head->retry_after_us > 0) {
        char seconds[24];
        int64_t rounded =
            (head->retry_after_us + Sl_US_PER_S - 1) / Sl_US_PER_S;
        snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
                 (gint64)rounded);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    if (caller->callers->listener == NULL) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_send_reply_start(caller->request, (int)head->status, NULL);
}

static void
send_piece(const struct sl_frontend_request *caller, struct sl_str bytes)
{
    struct evbuffer *piece = evbuffer_new();
    evbuffer_add(piece, bytes.ptr, bytes.len);
    evhttp_send_reply_chunk(caller->request, piece);
    evbuffer_free(piece);
}

static void
end_answer(struct sl_frontend_request *caller)
{
    struct evhttp_request *request = caller->request;
    g_hash_table_remove(caller->callers->callers, &caller->conn);
    evhttp_send_reply_end(request);
}

static struct sl_frontend_request *
find(struct sl_frontend *callers, uint64_t conn)
{
    return g_hash_table_lookup(callers->callers, &conn);
}

void
SlFrontend_Perform(struct sl_frontend *callers, const struct sl_effect *effect)
{
    struct sl_frontend_request *caller = NULL;
    switch (effect->type) {
    case Sl_FX_HTTP_HEAD:
        caller = find(callers, effect->u.head.conn);
        if (caller != NULL) {
            start_answer(caller, &effect->u.head);
        }
        break;
    case Sl_FX_HTTP_BODY:
        caller = find(callers, effect->u.body.conn);
        if (caller != NULL) {
            send_piece(caller, effect->u.body.bytes);
        }
        break;
    case Sl_FX_HTTP_END:
        caller = find(callers, effect->u.conn);
        if (caller != NULL) {
            end_answer(caller);
        }
        break;
    case Sl_FX_HTTP_STOP_ACCEPTING:
        if (callers->listener != NULL) {
            evhttp_del_accept_socket(callers->http, callers->listener);
            callers->listener = NULL;
        }
        break;
    case Sl_FX_HTTP_ABORT:
        caller = find(callers, effect->u.conn);
        if (caller != NULL) {
            drop_caller(caller);
        }
        break;
    default:
        assert(false);
    }
}

/* ---- public ---- */

struct sl_frontend *
SlFrontend_New(struct sl_runtime *shell, struct sl_error *err)
{
    struct sl_frontend *callers = g_new0(struct sl_frontend, 1);
    char host[Sl_HOST_MAX_BYTES];
    uint16_t port = 0;
    callers->shell = shell;
    callers->callers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_caller);
    callers->http = evhttp_new(shell->base);
    evhttp_set_max_body_size(callers->http, Sl_EVHTTP_MAX_BODY_BYTES);
    evhttp_set_max_headers_size(callers->http, Sl_EVHTTP_MAX_HEADERS_BYTES);
    evhttp_set_allowed_methods(
        callers->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                           EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(callers->http, on_request, callers);
    SlRuntime_SplitAddress(&shell->settings->listen, host, sizeof(host),
                           &port);
    callers->listener =
        evhttp_bind_socket_with_handle(callers->http, host, port);
    if (callers->listener == NULL) {
        SlError_Set(err, Sl_ERR_UNREACHABLE, "callers.listen", host,
                    "cannot listen on \"listen\" %s",
                    shell->settings->listen.text);
        SlFrontend_Free(callers);
        return NULL;
    }
    return callers;
}

void
SlFrontend_Free(struct sl_frontend *callers)
{
    if (callers == NULL) {
        return;
    }
    g_hash_table_destroy(callers->callers);
    evhttp_free(callers->http);
    g_free(callers);
}
