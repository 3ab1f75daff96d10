/*
 * Fake plain service: an upstream that is not a model engine. It executes
 * every call it receives, also one whose idempotency key was seen before, so
 * that tests can count duplicate executions.
 *
 * Settings: service_ms  duration of a call
 *           capacity    concurrent calls; further calls are rejected with 503
 *           hold        respond to no call until this is set back to false
 * Control requests: GET /ran returns the calls that were executed.
 */
#include "common.h"

#include <string.h>

#define Sl_PLAIN_DEFAULT_CAPACITY 64

/* ---- types ---- */

struct sl_fake_plain {
    int64_t service_ms;
    int64_t capacity;
    gboolean hold;
    GQueue held; /* struct sl_fake_call, whose responses wait for `hold` */
    int64_t running;
    char *boot;
    json_t *run_log; /* array of the entries of /ran */
};

/* A call in progress. */
struct sl_fake_call {
    struct sl_fake_plain *plain;
    struct sl_fake_request *request;
    json_t *response;
};

/* ---- helpers ---- */

static enum sl_errno
open_plain(void *context, struct sl_fake_server *server, struct sl_error *err)
{
    (void)server;
    (void)err;
    struct sl_fake_plain *plain = context;
    plain->boot = SlFake_NewBootId();
    return Sl_OK;
}

static void
finish_call(struct sl_fake_call *call)
{
    call->plain->running--;
    SlFake_Respond(call->request, HTTP_OK, call->response);
    g_free(call);
}

static void
on_call_done(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    struct sl_fake_call *call = arg;
    if (call->plain->hold) {
        g_queue_push_tail(&call->plain->held, call);
    }
    else {
        finish_call(call);
    }
}

static void
on_faults_changed(void *context)
{
    struct sl_fake_plain *plain = context;
    while (!plain->hold && !g_queue_is_empty(&plain->held)) {
        finish_call(g_queue_pop_head(&plain->held));
    }
}

/* The framework frees the requests. */
static void
close_plain(void *context)
{
    struct sl_fake_plain *plain = context;
    struct sl_fake_call *call;
    while ((call = g_queue_pop_head(&plain->held)) != NULL) {
        json_decref(call->response);
        g_free(call);
    }
}

static void
log_run(struct sl_fake_plain *plain, const struct sl_fake_request *request,
        const char *id)
{
    const char *key = SlFake_Header(request, "Idempotency-Key");
    json_t *entry = json_pack("{s:s,s:s?,s:s}", "request", id, "key", key,
                              "body", request->body);
    json_array_append_new(plain->run_log, entry);
}

static void
start_call(struct sl_fake_plain *plain, struct sl_fake_request *request,
           const char *id)
{
    struct sl_fake_call *call = g_new0(struct sl_fake_call, 1);
    log_run(plain, request, id);
    plain->running++;
    call->plain = plain;
    call->request = request;
    call->response = json_pack("{s:b,s:s,s:s,s:I}", "ok", 1, "path",
                               request->path, "echo", request->body, "n",
                               (json_int_t)json_array_size(plain->run_log));
    SlFake_RunAfter(request->server, plain->service_ms, on_call_done, call);
}

static json_t *
load_to_json(const struct sl_fake_plain *plain)
{
    return json_pack("{s:s,s:I,s:i,s:I,s:f}", "boot", plain->boot, "running",
                     (json_int_t)plain->running, "waiting", 0, "capacity",
                     (json_int_t)plain->capacity, "warm", 1.0);
}

static void
serve_call(struct sl_fake_plain *plain, struct sl_fake_request *request)
{
    const char *id = SlFake_Header(request, "Service-Request");
    if (strcmp(request->method, "POST") != 0) {
        SlFake_RespondError(request, HTTP_BADMETHOD, "no such method");
    }
    else if (id == NULL || !g_utf8_validate(request->body, -1, NULL)) {
        SlFake_RespondError(request, HTTP_BADREQUEST,
                            "no Service-Request, or a body not in UTF-8");
    }
    else if (plain->running >= plain->capacity) {
        SlFake_SetHeader(request, "Retry-After", "1");
        SlFake_RespondError(request, HTTP_SERVUNAVAIL, "over capacity");
    }
    else {
        start_call(plain, request, id);
    }
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_plain *plain = context;
    if (SlFake_Matches(request, "GET", "/load")) {
        SlFake_Respond(request, HTTP_OK, load_to_json(plain));
    }
    else if (SlFake_Matches(request, "GET", "/ran")) {
        SlFake_Respond(request, HTTP_OK,
                       json_pack("{s:O}", "ran", plain->run_log));
    }
    else {
        serve_call(plain, request);
    }
}

/* ---- public ---- */

int
main(int argc, char **argv)
{
    struct sl_fake_plain plain = {.capacity = Sl_PLAIN_DEFAULT_CAPACITY};
    const struct sl_fake_setting settings[] = {
        {"service_ms", Sl_FAKE_INT, &plain.service_ms},
        {"capacity", Sl_FAKE_INT, &plain.capacity},
        {"hold", Sl_FAKE_BOOL, &plain.hold},
        {0},
    };
    const char *const control_patterns[] = {"GET /ran", NULL};
    const struct sl_fake_spec spec = {
        .summary = "Fake plain service.",
        .context = &plain,
        .settings = settings,
        .control_patterns = control_patterns,
        .open = open_plain,
        .serve = serve,
        .on_faults_changed = on_faults_changed,
        .close = close_plain,
    };
    plain.run_log = json_array();
    int result = SlFake_RunMain(argc, argv, &spec);
    json_decref(plain.run_log);
    g_free(plain.boot);
    return result;
}
