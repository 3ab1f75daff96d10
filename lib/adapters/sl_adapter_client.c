/* HTTP client of the adapters: requests with their bodies and responses, on
 * the client of sl_net, whose reader decides which responses are whole. */
#include "sl_adapters.h"

#include "sl_net.h"

#include <assert.h>
#include <event2/event.h>
#include <string.h>

/* Idle connections to one address; further ones are closed. */
#define Sl_MAX_IDLE_PER_ADDRESS 64
/* Time after which an idle connection is closed. */
#define Sl_MAX_IDLE_US (60 * Sl_US_PER_S)
/* Largest body of a response; a larger one fails with Sl_ERR_TOO_LARGE. */
#define Sl_MAX_RESPONSE_BYTES ((size_t)64 * 1024 * 1024)
#define Sl_HTTP_OK 200
#define Sl_HTTP_BAD_REQUEST 400

/* ---- types ---- */

struct sl_adapter_client {
    struct sl_http_client *http;
    GHashTable *pending; /* handle -> struct sl_adapter_call, owned */
};

/* A pending request. */
struct sl_adapter_call {
    struct sl_adapter_client *client;
    uint64_t handle; /* that of the HTTP client */
    struct sl_name peer;
    struct sl_name step;
    sl_adapter_done_fn on_done;
    sl_adapter_head_fn on_head;
    sl_adapter_chunk_fn on_chunk;
    void *context;
    const char *echo_header;             /* static, may be NULL */
    bool has_own_connection;             /* which no other request uses */
    struct sl_adapter_response response; /* its views are of these buffers */
    struct sl_buf content_type;
    struct sl_buf echo;
    struct sl_buf body;
};

/* ---- helpers ---- */

static void
free_call(gpointer data)
{
    struct sl_adapter_call *call = data;
    SlBuf_Free(&call->content_type);
    SlBuf_Free(&call->echo);
    SlBuf_Free(&call->body);
    g_free(call);
}

/* Runs the call's `on_done`, and frees the call. With `code`, the call has
 * failed. */
static void
finish_call(struct sl_adapter_call *call, enum sl_errno code, const char *text)
{
    struct sl_error err;
    g_hash_table_steal(call->client->pending, &call->handle);
    if (code == Sl_OK) {
        call->response.body = SlBuf_Str(&call->body);
        call->on_done(call->context, NULL, &call->response);
    }
    else {
        SlError_Set(&err, code, call->step.text, call->peer.text, "%s", text);
        call->on_done(call->context, &err, NULL);
    }
    free_call(call);
}

/* Returns the value of a Retry-After field in seconds; 0 if it has none. */
static int64_t
retry_after_us(struct sl_str value)
{
    char text[32];
    g_snprintf(text, sizeof(text), "%.*s", (int)MIN(value.len, sizeof(text)),
               value.ptr);
    return (int64_t)(g_ascii_strtod(text, NULL) * Sl_US_PER_S);
}

/* ---- callbacks of the HTTP client ---- */

static void
on_head(void *context, uint64_t handle, const struct sl_head *head)
{
    struct sl_adapter_call *call = context;
    SlBuf_Append(&call->content_type, SlHead_FindHeader(head, "content-type"));
    if (call->echo_header != NULL) {
        SlBuf_Append(&call->echo, SlHead_FindHeader(head, call->echo_header));
    }
    call->response.status = head->status;
    call->response.content_type = SlBuf_Str(&call->content_type);
    call->response.echo = SlBuf_Str(&call->echo);
    call->response.retry_after_us =
        retry_after_us(SlHead_FindHeader(head, "retry-after"));
    /* A faulty peer may send a refusal once more, which a later call for the
     * same request would take for its own. */
    if (call->has_own_connection || head->status >= Sl_HTTP_BAD_REQUEST) {
        SlHttpClient_CloseAfter(call->client->http, handle);
    }
    if (call->on_head != NULL) {
        call->on_head(call->context, &call->response);
    }
}

static void
on_chunk(void *context, uint64_t handle, struct sl_str bytes)
{
    struct sl_adapter_call *call = context;
    if (call->on_chunk != NULL && call->response.status == Sl_HTTP_OK) {
        call->on_chunk(call->context, bytes);
    }
    else if (call->body.len + bytes.len <= Sl_MAX_RESPONSE_BYTES) {
        SlBuf_Append(&call->body, bytes);
    }
    else {
        SlHttpClient_Cancel(call->client->http, handle);
        finish_call(call, Sl_ERR_TOO_LARGE, "response is too large");
    }
}

static void
on_done(void *context, uint64_t handle, const struct sl_error *err,
        const struct sl_http_client_result *result)
{
    struct sl_adapter_call *call = context;
    (void)handle;
    (void)result;
    enum sl_errno code = err == NULL ? Sl_OK : err->code;
    switch (code) {
    case Sl_OK:
        finish_call(call, Sl_OK, "");
        break;
    case Sl_ERR_TIMEOUT:
        finish_call(call, code, "no response within the timeout");
        break;
    case Sl_ERR_UNREACHABLE:
        finish_call(call, code, "connection refused");
        break;
    default:
        finish_call(call, code,
                    "connection closed before the response was complete");
        break;
    }
}

/* ---- building a request ---- */

static void
append_head(struct sl_buf *out,
            const struct sl_adapter_request_options *options)
{
    SlBuf_Printf(out, "%s %s HTTP/1.1\r\nHost: %.*s\r\n", options->method,
                 options->path, (int)options->address.len,
                 options->address.ptr);
    if (options->body.len > 0) {
        SlBuf_Printf(out, "Content-Type: %s\r\n",
                     options->content_type == NULL ? "application/json"
                                                   : options->content_type);
    }
    if (options->body.len > 0 || strcmp(options->method, "GET") != 0) {
        SlBuf_Printf(out, "Content-Length: %zu\r\n", options->body.len);
    }
    for (size_t i = 0; i < Sl_ADAPTER_REQUEST_MAX_HEADERS; i++) {
        const struct sl_adapter_header *header = &options->headers[i];
        if (header->name != NULL) {
            SlBuf_Printf(out, "%s: %s\r\n", header->name, header->value);
        }
    }
}

/* ---- public ---- */

struct sl_adapter_client *
SlAdapterClient_New(struct event_base *base)
{
    struct sl_adapter_client *client = g_new0(struct sl_adapter_client, 1);
    const struct sl_http_client_options options = {
        .base = base,
        .max_idle_us = Sl_MAX_IDLE_US,
        .max_idle_per_address = Sl_MAX_IDLE_PER_ADDRESS,
    };
    client->http = SlHttpClient_New(&options);
    client->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return client;
}

void
SlAdapterClient_Free(struct sl_adapter_client *client)
{
    if (client == NULL) {
        return;
    }
    GList *calls = g_hash_table_get_values(client->pending);
    for (const GList *link = calls; link != NULL; link = link->next) {
        finish_call(link->data, Sl_ERR_LOST, "the client is closed");
    }
    g_list_free(calls);
    g_hash_table_destroy(client->pending);
    SlHttpClient_Free(client->http);
    g_free(client);
}

uint64_t
SlAdapterClient_Send(struct sl_adapter_client *client,
                     const struct sl_adapter_request_options *options)
{
    struct sl_adapter_call *call = g_new0(struct sl_adapter_call, 1);
    struct sl_buf head = {0};
    assert(options->address.len <= Sl_NAME_MAX_BYTES);
    call->client = client;
    call->peer = SlName_Of(options->peer);
    call->step = SlName_Of(options->step);
    call->on_done = options->on_done;
    call->on_head = options->on_head;
    call->on_chunk = options->on_chunk;
    call->context = options->context;
    call->echo_header = options->echo_header;
    call->has_own_connection = options->fresh_connection;
    append_head(&head, options);
    const struct sl_http_client_call_options http_options = {
        .address = options->address,
        .peer = options->peer,
        .step = "adapter.call",
        .head = SlBuf_Str(&head),
        .body = options->body,
        .fresh_connection = options->fresh_connection,
        .connect_timeout_us = options->timeout_us,
        .inactivity_timeout_us = options->timeout_us,
        .handlers = {on_head, on_chunk, on_done, call},
    };
    call->handle = SlHttpClient_Call(client->http, &http_options);
    g_hash_table_insert(client->pending, &call->handle, call);
    SlBuf_Free(&head);
    return call->handle;
}

void
SlAdapterClient_Cancel(struct sl_adapter_client *client, uint64_t handle)
{
    SlHttpClient_Cancel(client->http, handle);
    g_hash_table_remove(client->pending, &handle);
}
