/* Functions that the HTTP adapters share. */
#include "sl_adapters_internal.h"

#define Sl_HTTP_OK 200
/* At most this many bytes of an error response's body are quoted in the
 * error. */
#define Sl_ERROR_BODY_BYTES 120

/* ---- types ---- */

struct sl_load_request {
    sl_load_done done;
    void *context;
};

/* ---- helpers ---- */

static enum sl_errno
parse_load(const json_t *json, struct sl_load_report *report,
           struct sl_error *err)
{
    static const struct sl_json_int_rule count_rule = {0, INT32_MAX, 0, false};
    static const struct sl_json_int_rule fence_rule = {0, INT64_MAX, 0, false};
    int64_t fence = 0;
    Sl_TRY(SlJson_Name(json, "boot", true, "load", &report->boot, err));
    Sl_TRY(SlJson_Int(json, "running", &count_rule, "load", &report->running,
                      err));
    Sl_TRY(SlJson_Int(json, "waiting", &count_rule, "load", &report->waiting,
                      err));
    Sl_TRY(SlJson_Int(json, "capacity", &count_rule, "load", &report->capacity,
                      err));
    Sl_TRY(SlJson_Real(json, "warm", 0, 1, 1, "load", &report->warm, err));
    Sl_TRY(SlJson_Int(json, "fence", &fence_rule, "load", &fence, err));
    report->fence = (uint64_t)fence;
    return SlJson_Names(json, "versions", Sl_LOAD_MAX_VERSIONS, "load",
                        report->versions, &report->version_count, err);
}

static void
on_load_response(void *context, const struct sl_error *request_err,
                 const struct sl_adapter_response *response)
{
    struct sl_load_request *request = context;
    struct sl_load_report report = {0};
    struct sl_error err = {0};
    json_t *json = SlAdapter_ParseJson(request_err, response, "upstream",
                                       "upstream.load", &err);
    if (json != NULL && parse_load(json, &report, &err) == Sl_OK) {
        request->done(request->context, NULL, &report);
    }
    else {
        request->done(request->context, &err, NULL);
    }
    json_decref(json);
    g_free(request);
}

/* ---- functions for the adapters ---- */

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

struct sl_adapter_request_options
SlAdapter_MakeRequest(const struct sl_adapter *adapter, const char *peer,
                      const char *step, const char *method, const char *path)
{
    return (struct sl_adapter_request_options){
        .peer = peer,
        .step = step,
        .address = SlName_Str(&adapter->address),
        .method = method,
        .path = path,
        .timeout_us = adapter->timeout_us,
    };
}

json_t *
SlAdapter_ParseJson(const struct sl_error *request_err,
                    const struct sl_adapter_response *response,
                    const char *peer, const char *step, struct sl_error *err)
{
    if (request_err != NULL) {
        *err = *request_err;
        return NULL;
    }
    if (response->status != Sl_HTTP_OK) {
        SlError_Set(err, Sl_ERR_REFUSED, step, peer, "status %d: %.*s",
                    response->status,
                    (int)MIN(response->body.len, Sl_ERROR_BODY_BYTES),
                    response->body.len == 0 ? "" : response->body.ptr);
        return NULL;
    }
    json_error_t json_err;
    json_t *json =
        json_loadb(response->body.ptr, response->body.len, 0, &json_err);
    if (!json_is_object(json)) {
        SlError_Set(err, Sl_ERR_INVALID, step, peer,
                    "response is not a JSON object: %s", json_err.text);
        json_decref(json);
        return NULL;
    }
    return json;
}

void
SlAdapter_ReadLoad(const struct sl_adapter *adapter, sl_load_done done,
                   void *context)
{
    struct sl_load_request *request = g_new0(struct sl_load_request, 1);
    request->done = done;
    request->context = context;
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        adapter, "upstream", "upstream.load", "GET", "/load");
    options.on_done = on_load_response;
    options.context = request;
    SlAdapterClient_Send(adapter->http, &options);
}
