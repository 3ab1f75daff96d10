/* Adapters to upstreams: model engines and plain services.
 *
 * Both adapters send a request over HTTP. They differ in the headers and in
 * how they recognize a complete response, and only engines accept orders. */
#include "sl_adapters_internal.h"

#include <string.h>

#define Sl_HTTP_OK 200
#define Sl_HTTP_CONFLICT 409
#define Sl_HTTP_TOO_MANY_REQUESTS 429
#define Sl_HTTP_UNAVAILABLE 503
/* The last event of an engine's stream. */
#define Sl_END_MARKER "data: [DONE]\n\n"
/* The beginning of every event. */
#define Sl_EVENT_PREFIX "data: "
/* Header with the request's identifier, which the engine's response echoes. */
#define Sl_ENGINE_REQUEST "Engine-Request"
/* Longest path that fits a usual request line. Not enforced here. */
#define Sl_PATH_MAX_BYTES 2048

/* ---- types ---- */

struct sl_http_upstream {
    struct sl_upstream_api api;
    struct sl_adapter adapter;
    bool is_engine;    /* false: a plain service */
    GHashTable *calls; /* handle -> struct sl_http_upstream_call */
};

struct sl_http_upstream_call {
    struct sl_http_upstream *upstream;
    uint64_t handle;
    struct sl_upstream_request_handlers handlers;
    struct sl_name request; /* identifier of the request */
    int status;             /* of the response */
    uint64_t event_count;   /* of an engine's stream, with the end marker */
    /* The last bytes of the response, which are compared to the end marker. */
    char tail[sizeof(Sl_END_MARKER) - 1];
    size_t tail_len;
    bool at_line_start; /* the next byte begins a line */
};

struct sl_order_request {
    sl_order_done done;
    void *context;
};

/* ---- response of a call ---- */

/* Counts the events of a stream, however it is split into chunks. Each line
 * that starts with the first byte of Sl_EVENT_PREFIX counts as an event. */
static void
count_events(struct sl_http_upstream_call *call, struct sl_str bytes)
{
    for (size_t i = 0; i < bytes.len; i++) {
        if (call->at_line_start && bytes.ptr[i] == Sl_EVENT_PREFIX[0]) {
            call->event_count++;
        }
        call->at_line_start = bytes.ptr[i] == '\n';
    }
}

/* Appends received bytes to `tail`, which keeps the last ones. */
static void
append_tail(struct sl_http_upstream_call *call, struct sl_str bytes)
{
    size_t size = sizeof(call->tail);
    if (bytes.len >= size) {
        memcpy(call->tail, bytes.ptr + bytes.len - size, size);
        call->tail_len = size;
        return;
    }
    size_t kept = MIN(call->tail_len, size - bytes.len);
    memmove(call->tail, call->tail + call->tail_len - kept, kept);
    memcpy(call->tail + kept, bytes.ptr, bytes.len);
    call->tail_len = kept + bytes.len;
}

static bool
has_end_marker(const struct sl_http_upstream_call *call)
{
    return call->tail_len == sizeof(call->tail) &&
           memcmp(call->tail, Sl_END_MARKER, sizeof(call->tail)) == 0;
}

/* Reports whether an upstream that responds with this status has not run the
 * request. */
static bool
proves_not_run(int status)
{
    return status == Sl_HTTP_UNAVAILABLE || status == Sl_HTTP_CONFLICT ||
           status == Sl_HTTP_TOO_MANY_REQUESTS;
}

/* Sets `err` if the upstream refused the request (Sl_ERR_REFUSED), or if the
 * stream of an engine is incomplete (Sl_ERR_LOST). */
static void
check_response(const struct sl_http_upstream_call *call,
               const struct sl_adapter_response *response,
               struct sl_error *err)
{
    const char *step = "upstream.call";
    if (proves_not_run(response->status)) {
        SlError_Set(err, Sl_ERR_REFUSED, step, "upstream", "status %d",
                    response->status);
        return;
    }
    if (call->upstream->is_engine && response->status == Sl_HTTP_OK &&
        !has_end_marker(call)) {
        SlError_Set(err, Sl_ERR_LOST, step, "upstream",
                    "the stream ended without its end marker");
    }
}

/* Reports whether the response echoes the identifier of another request. */
static bool
is_for_other_request(const struct sl_http_upstream_call *call,
                     const struct sl_adapter_response *response)
{
    return response->echo.len > 0 &&
           !SlStr_Equal(response->echo, SlName_Str(&call->request));
}

/* Cancels a call whose response belongs to another request, and ends it with
 * Sl_ERR_LOST. */
static void
fail_mismatched_call(struct sl_http_upstream_call *call)
{
    struct sl_upstream_request_handlers handlers = call->handlers;
    struct sl_http_upstream *upstream = call->upstream;
    struct sl_error err;
    SlError_Set(&err, Sl_ERR_LOST, "upstream.call", "upstream",
                "the response belongs to another request");
    SlAdapterClient_Cancel(upstream->adapter.http, call->handle);
    g_hash_table_remove(upstream->calls, &call->handle);
    handlers.on_done(handlers.context, &err, 0, 0);
}

static void
on_head(void *context, const struct sl_adapter_response *head)
{
    struct sl_http_upstream_call *call = context;
    if (is_for_other_request(call, head)) {
        fail_mismatched_call(call);
        return;
    }
    call->status = head->status;
    if (!proves_not_run(head->status)) {
        call->handlers.on_head(call->handlers.context, head->status,
                               head->content_type);
    }
}

static void
forward_chunk(struct sl_http_upstream_call *call, struct sl_str bytes)
{
    if (call->upstream->is_engine) {
        count_events(call, bytes);
        append_tail(call, bytes);
    }
    call->handlers.on_chunk(call->handlers.context, bytes);
}

static void
on_chunk(void *context, struct sl_str bytes)
{
    forward_chunk(context, bytes);
}

static void
on_done(void *context, const struct sl_error *request_err,
        const struct sl_adapter_response *response)
{
    struct sl_http_upstream_call *call = context;
    struct sl_error err = {0};
    int64_t retry_after_us = 0;
    if (request_err != NULL) {
        err = *request_err;
    }
    else {
        /* Only the body of a 200 response has arrived in chunks before. */
        if (response->body.len > 0 && !proves_not_run(response->status)) {
            forward_chunk(call, response->body);
        }
        check_response(call, response, &err);
        retry_after_us = response->retry_after_us;
    }
    /* The end marker is an event of the stream, but not a token. */
    uint64_t tokens = call->event_count > 0 ? call->event_count - 1 : 0;
    struct sl_upstream_request_handlers handlers = call->handlers;
    g_hash_table_remove(call->upstream->calls, &call->handle);
    handlers.on_done(handlers.context, err.code == Sl_OK ? NULL : &err, tokens,
                     retry_after_us);
}

/* ---- calls ---- */

/* Adds a header to the `*count` that the request has; both texts are
 * borrowed. */
static void
add_header(struct sl_adapter_request_options *options, size_t *count,
           const char *name, const char *value)
{
    options->headers[*count] = (struct sl_adapter_header){name, value};
    *count += 1;
}

static uint64_t
http_call(struct sl_upstream_api *api,
          const struct sl_upstream_request *request,
          const struct sl_upstream_request_handlers *handlers)
{
    struct sl_http_upstream *self = (struct sl_http_upstream *)api;
    struct sl_http_upstream_call *call =
        g_new0(struct sl_http_upstream_call, 1);
    char priority[24];
    size_t header_count = 0;
    char *path = g_strndup(request->path.ptr, request->path.len);
    char *type =
        g_strndup(request->content_type.ptr, request->content_type.len);
    char *method = g_strndup(request->method.ptr, request->method.len);
    call->upstream = self;
    call->handlers = *handlers;
    call->request = request->request;
    call->at_line_start = true;
    snprintf(priority, sizeof(priority), "%d", (int)request->priority);
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        &self->adapter, "upstream", "upstream.call", method, path);
    options.content_type = request->content_type.len > 0 ? type : NULL;
    options.body = request->body;
    options.timeout_us = request->timeout_us;
    /* A plain service does not say which request it answers. */
    options.fresh_connection = !request->idempotent || !self->is_engine;
    options.on_done = on_done;
    options.on_head = on_head;
    options.on_chunk = on_chunk;
    options.context = call;
    if (self->is_engine) {
        options.echo_header = Sl_ENGINE_REQUEST;
        add_header(&options, &header_count, Sl_ENGINE_REQUEST,
                   request->request.text);
        add_header(&options, &header_count, "Engine-Version",
                   request->version.text);
        add_header(&options, &header_count, "Engine-Priority", priority);
    }
    else {
        add_header(&options, &header_count, "Service-Request",
                   request->request.text);
        if (!SlName_IsEmpty(&request->key)) {
            add_header(&options, &header_count, "Idempotency-Key",
                       request->key.text);
        }
    }
    call->handle = SlAdapterClient_Send(self->adapter.http, &options);
    g_hash_table_insert(self->calls, &call->handle, call);
    g_free(method);
    g_free(type);
    g_free(path);
    return call->handle;
}

static void
ignore_response(void *context, const struct sl_error *err,
                const struct sl_adapter_response *response)
{
    (void)context;
    (void)err;
    (void)response;
}

/* Asks an engine to cancel the run of a request, and ignores the response.
 * Closing the call's connection cancels the run too, but an engine may not
 * notice that the connection was closed. */
static void
send_cancel(struct sl_http_upstream *self, const struct sl_name *request)
{
    struct sl_buf body = {0};
    SlBuf_AppendC(&body, "{\"request\":");
    SlBuf_AppendJson(&body, SlName_Str(request));
    SlBuf_AppendC(&body, "}");
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        &self->adapter, "upstream", "upstream.cancel", "POST", "/cancel");
    options.body = SlBuf_Str(&body);
    options.on_done = ignore_response;
    SlAdapterClient_Send(self->adapter.http, &options);
    SlBuf_Free(&body);
}

static void
http_cancel(struct sl_upstream_api *api, uint64_t handle)
{
    struct sl_http_upstream *self = (struct sl_http_upstream *)api;
    struct sl_http_upstream_call *call =
        g_hash_table_lookup(self->calls, &handle);
    if (call == NULL) {
        return;
    }
    SlAdapterClient_Cancel(self->adapter.http, handle);
    if (self->is_engine) {
        send_cancel(self, &call->request);
    }
    g_hash_table_remove(self->calls, &handle);
}

/* ---- load and orders ---- */

static void
http_load(struct sl_upstream_api *api, sl_load_done done, void *context)
{
    struct sl_http_upstream *self = (struct sl_http_upstream *)api;
    SlAdapter_ReadLoad(&self->adapter, done, context);
}

static void
on_order_response(void *context, const struct sl_error *request_err,
                  const struct sl_adapter_response *response)
{
    struct sl_order_request *request = context;
    struct sl_error err = {0};
    json_t *json = SlAdapter_ParseJson(request_err, response, "upstream",
                                       "upstream.order", &err);
    request->done(request->context, json == NULL ? &err : NULL);
    json_decref(json);
    g_free(request);
}

static void
engine_order(struct sl_upstream_api *api, const struct sl_order *order,
             sl_order_done done, void *context)
{
    struct sl_http_upstream *self = (struct sl_http_upstream *)api;
    struct sl_order_request *request = g_new0(struct sl_order_request, 1);
    struct sl_buf body = {0};
    request->done = done;
    request->context = context;
    SlBuf_Printf(
        &body, "{\"op\":\"%s\",\"version\":", order->load ? "load" : "unload");
    SlBuf_AppendJson(&body, SlName_Str(&order->version));
    SlBuf_Printf(&body, ",\"fence\":%" G_GUINT64_FORMAT "}",
                 (guint64)order->fence);
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        &self->adapter, "upstream", "upstream.order", "POST", "/orders");
    options.body = SlBuf_Str(&body);
    options.on_done = on_order_response;
    options.context = request;
    SlAdapterClient_Send(self->adapter.http, &options);
    SlBuf_Free(&body);
}

static void
http_free(struct sl_upstream_api *api)
{
    struct sl_http_upstream *self = (struct sl_http_upstream *)api;
    g_hash_table_destroy(self->calls);
    g_free(self);
}

/* ---- public ---- */

static const struct sl_upstream_ops engine_ops = {
    .call = http_call,
    .cancel = http_cancel,
    .load = http_load,
    .order = engine_order,
    .free = http_free,
};

static const struct sl_upstream_ops plain_ops = {
    .call = http_call,
    .cancel = http_cancel,
    .load = http_load,
    .order = NULL,
    .free = http_free,
};

static struct sl_upstream_api *
new_upstream(const struct sl_adapter_options *options,
             const struct sl_upstream_ops *ops, bool is_engine)
{
    struct sl_http_upstream *self = g_new0(struct sl_http_upstream, 1);
    self->api.ops = ops;
    self->adapter = SlAdapter_New(options);
    self->is_engine = is_engine;
    self->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return &self->api;
}

struct sl_upstream_api *
SlEngine_NewHttp(const struct sl_adapter_options *options)
{
    return new_upstream(options, &engine_ops, true);
}

struct sl_upstream_api *
SlPlainService_NewHttp(const struct sl_adapter_options *options)
{
    return new_upstream(options, &plain_ops, false);
}
