/* Adapter to the service that rates the answers of model versions. */
#include "sl_adapters_internal.h"

/* ---- types ---- */

struct sl_http_rating_service {
    struct sl_rating_service rating;
    struct sl_adapter adapter;
};

struct sl_rate_request {
    sl_rate_done done;
    void *context;
};

/* ---- helpers ---- */

static void
on_rate_response(void *context, const struct sl_error *request_err,
                 const struct sl_adapter_response *response)
{
    struct sl_rate_request *request = context;
    struct sl_error err = {0};
    double score = 0;
    json_t *json = SlAdapter_ParseJson(request_err, response, "rating",
                                       "rating.rate", &err);
    if (json != NULL) {
        SlJson_Real(json, "score", 0, 1, 0, "rating", &score, &err);
    }
    request->done(request->context, err.code == Sl_OK ? NULL : &err, score);
    json_decref(json);
    g_free(request);
}

static void
http_rate(struct sl_rating_service *rating, const struct sl_name *version,
          const struct sl_name *kind, struct sl_str answer, sl_rate_done done,
          void *context)
{
    struct sl_http_rating_service *self =
        (struct sl_http_rating_service *)rating;
    struct sl_rate_request *request = g_new0(struct sl_rate_request, 1);
    struct sl_buf body = {0};
    request->done = done;
    request->context = context;
    SlBuf_AppendC(&body, "{\"version\":");
    SlBuf_AppendJson(&body, SlName_Str(version));
    SlBuf_AppendC(&body, ",\"kind\":");
    SlBuf_AppendJson(&body, SlName_Str(kind));
    SlBuf_AppendC(&body, ",\"answer\":");
    SlBuf_AppendJson(&body, answer);
    SlBuf_AppendC(&body, "}");
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        &self->adapter, "rating", "rating.rate", "POST", "/rate");
    options.body = SlBuf_Str(&body);
    options.on_done = on_rate_response;
    options.context = request;
    SlAdapterClient_Send(self->adapter.http, &options);
    SlBuf_Free(&body);
}

static void
http_free(struct sl_rating_service *rating)
{
    g_free(rating);
}

static const struct sl_rating_service_ops http_ops = {
    .rate = http_rate,
    .free = http_free,
};

/* ---- public ---- */

struct sl_rating_service *
SlRatingService_NewHttp(const struct sl_adapter_options *options)
{
    struct sl_http_rating_service *self =
        g_new0(struct sl_http_rating_service, 1);
    self->rating.ops = &http_ops;
    self->adapter = SlAdapter_New(options);
    return &self->rating;
}
