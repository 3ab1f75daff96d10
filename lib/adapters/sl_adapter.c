/* What the HTTP adapters have in common. */
#include "sl_adapters_internal.h"

#define Sl_HTTP_OK 200

/* ---- types ---- */

struct sl_load_call {
    sl_load_done done;
    void *context;
};

/* ---- helpers ---- */

static enum sl_errno
read_load(const json_t *json, struct sl_load_report *report,
          struct sl_error *err)
{
    static const struct sl_json_int count = {0, INT32_MAX, 0, false};
    static const struct sl_json_int fence_rule = {0, INT64_MAX, 0, false};
    int64_t fence = 0;
    Sl_TRY(SlJson_Name(json, "boot", true, "load", &report->boot, err));
    Sl_TRY(SlJson_Int(json, "running", &count, "load", &report->running, err));
    Sl_TRY(SlJson_Int(json, "waiting", &count, "load", &report->waiting, err));
    Sl_TRY(
        SlJson_Int(json, "capacity", &count, "load", &report->capacity, err));
    Sl_TRY(SlJson_Real(json, "warm", 0, 1, 1, "load", &report->warm, err));
    Sl_TRY(SlJson_Int(json, "fence", &fence_rule, "load", &fence, err));
    report->fence = (uint64_t)fence;
    return SlJson_Names(json, "versions", Sl_LOAD_MAX_VERSIONS, "load",
                        report->versions, &report->version_count, err);
}

static void
on_load(void *context, const struct sl_error *failed,
        const struct sl_evhttp_response *reply)
{
    struct sl_load_call *call = context;
    struct sl_load_report report = {0};
    struct sl_error err = {0};
    json_t *json =
        SlAdapter_ParseJson(failed, reply, "upstream", "upstream.load", &err);
    if (json != NULL && read_load(json, &report, &err) == Sl_OK) {
        call->done(call->context, NULL, &report);
    }
    else {
        call->done(call->context, &err, NULL);
    }
    json_decref(json);
    g_free(call);
}

/* ---- public within the package ---- */

struct sl_adapter
SlAdapter_New(const struct sl_adapter_options *options)
{
    struct sl_adapter adapter = {
        .http = options->http,
        .timeout_us = options->timeout_us,
    };
    SlName_Set(&adapter.address, options->address);
    return adapter;
}

struct sl_evhttp_request_options
SlAdapter_MakeRequest(const struct sl_adapter *adapter, const char *peer,
                      const char *step, const char *method, const char *path)
{
    return (struct sl_evhttp_request_options){
        .peer = peer,
        .step = step,
        .address = SlName_Str(&adapter->address),
        .method = method,
        .path = path,
        .timeout_us = adapter->timeout_us,
    };
}

json_t *
SlAdapter_ParseJson(const struct sl_error *failed,
                    const struct sl_evhttp_response *reply, const char *peer,
                    const char *step, struct sl_error *err)
{
    if (failed != NULL) {
        *err = *failed;
        return NULL;
    }
    if (reply->status != Sl_HTTP_OK) {
        SlError_Set(err, Sl_ERR_REFUSED, step, peer, "status %d: %.*s",
                    reply->status, (int)MIN(reply->body.len, 120),
                    reply->body.len == 0 ? "" : reply->body.ptr);
        return NULL;
    }
    json_error_t where;
    json_t *json = json_loadb(reply->body.ptr, reply->body.len, 0, &where);
    if (!json_is_object(json)) {
        SlError_Set(err, Sl_ERR_INVALID, step, peer,
                    "answer is not a JSON object: %s", where.text);
        json_decref(json);
        return NULL;
    }
    return json;
}

void
SlAdapter_ReadLoad(const struct sl_adapter *adapter, sl_load_done done,
                   void *context)
{
    struct sl_load_call *call = g_new0(struct sl_load_call, 1);
    call->done = done;
    call->context = context;
    struct sl_evhttp_request_options options = SlAdapter_MakeRequest(
        adapter, "upstream", "upstream.load", "GET", "/load");
    options.on_done = on_load;
    options.context = call;
    SlEvhttpClient_Send(adapter->http, &options);
}
