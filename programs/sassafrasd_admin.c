/* HTTP server for operators: /live, /ready, /state, /counters, /config. */
#include "sassafrasd_runtime.h"

#include <event2/buffer.h>
#include <event2/http.h>

#define Sl_HOST_MAX_BYTES 64
#define Sl_HTTP_OK 200
#define Sl_HTTP_UNAVAILABLE 503

/* ---- types ---- */

struct sl_admin {
    struct sl_runtime *runtime;
    struct evhttp *http;
};

/* ---- responses ---- */

/* Sends `json` and frees it. */
static void
reply(struct evhttp_request *request, int status, struct sl_buf *json)
{
    struct evbuffer *body = evbuffer_new();
    SlBuf_AppendC(json, "\n");
    evbuffer_add(body, json->ptr, json->len);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evhttp_send_reply(request, status, NULL, body);
    evbuffer_free(body);
    SlBuf_Free(json);
}

static void
on_live(struct evhttp_request *request, void *context)
{
    struct sl_buf json = {0};
    (void)context;
    SlBuf_AppendC(&json, "{\"live\":true}");
    reply(request, Sl_HTTP_OK, &json);
}

static void
on_ready(struct evhttp_request *request, void *context)
{
    const struct sl_admin *admin = context;
    struct sl_buf json = {0};
    struct sl_error reason = {0};
    bool ready =
        SlCore_IsReady(admin->runtime->core, SlRuntime_NowUs(), &reason);
    SlBuf_Printf(&json, "{\"ready\":%s,\"reason\":", ready ? "true" : "false");
    SlBuf_AppendJson(&json, SlStr_FromC(reason.text));
    SlBuf_AppendC(&json, "}");
    reply(request, ready ? Sl_HTTP_OK : Sl_HTTP_UNAVAILABLE, &json);
}

static void
on_state(struct evhttp_request *request, void *context)
{
    const struct sl_admin *admin = context;
    struct sl_buf json = {0};
    SlCore_Dump(admin->runtime->core, SlRuntime_NowUs(), &json);
    reply(request, Sl_HTTP_OK, &json);
}

static void
on_counters(struct evhttp_request *request, void *context)
{
    const struct sl_admin *admin = context;
    struct sl_buf json = {0};
    SlCounters_Dump(SlCore_Counters(admin->runtime->core), &json);
    reply(request, Sl_HTTP_OK, &json);
}

static void
on_config(struct evhttp_request *request, void *context)
{
    const struct sl_admin *admin = context;
    struct sl_buf json = {0};
    SlConfig_Snapshot(SlCore_Config(admin->runtime->core), &json);
    reply(request, Sl_HTTP_OK, &json);
}

/* ---- public ---- */

struct sl_admin *
SlAdmin_New(struct sl_runtime *runtime, struct sl_error *err)
{
    struct sl_admin *admin = g_new0(struct sl_admin, 1);
    char host[Sl_HOST_MAX_BYTES];
    uint16_t port = 0;
    admin->runtime = runtime;
    admin->http = evhttp_new(runtime->base);
    evhttp_set_cb(admin->http, "/live", on_live, admin);
    evhttp_set_cb(admin->http, "/ready", on_ready, admin);
    evhttp_set_cb(admin->http, "/state", on_state, admin);
    evhttp_set_cb(admin->http, "/counters", on_counters, admin);
    evhttp_set_cb(admin->http, "/config", on_config, admin);
    SlRuntime_SplitAddress(&runtime->settings->admin_listen, host,
                           sizeof(host), &port);
    if (evhttp_bind_socket(admin->http, host, port) != 0) {
        SlError_Set(err, Sl_ERR_UNREACHABLE, "admin.listen", host,
                    "cannot listen on \"admin_listen\" %s",
                    runtime->settings->admin_listen.text);
        SlAdmin_Free(admin);
        return NULL;
    }
    return admin;
}

void
SlAdmin_Free(struct sl_admin *admin)
{
    if (admin == NULL) {
        return;
    }
    evhttp_free(admin->http);
    g_free(admin);
}
