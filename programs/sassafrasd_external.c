/* External services, which are the platform's services and the upstream:
 * effects become calls of their adapters, and the results become events. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <string.h>

#define Sl_LOG_TIMEOUT_US (3 * Sl_US_PER_S)
#define Sl_VMS_TIMEOUT_US (2 * Sl_US_PER_S)
#define Sl_RATING_TIMEOUT_US (2 * Sl_US_PER_S)
#define Sl_UPSTREAM_TIMEOUT_US (2 * Sl_US_PER_S)

/* ---- types ---- */

struct sl_external_services {
    struct sl_runtime *runtime;
    struct sl_adapter_client *http;
    struct sl_log_service *log_service;
    struct sl_vm_list *vm_list;
    struct sl_rating_service *rating; /* entries only, may be NULL */
    struct sl_upstream_api *upstream; /* agents only */
    /* Calls of the upstream: token -> struct sl_external_call, owned. */
    GHashTable *calls;
};

/* A call of an adapter that has not ended. */
struct sl_external_call {
    struct sl_external_services *external;
    enum sl_stream stream; /* of a read of the log */
    uint64_t token;        /* the core's id of the call */
    uint64_t handle;       /* of the upstream's adapter, to cancel the call */
};

/* ---- helpers ---- */

static struct sl_external_call *
new_call(struct sl_external_services *external, uint64_t token)
{
    struct sl_external_call *call = g_new0(struct sl_external_call, 1);
    call->external = external;
    call->token = token;
    return call;
}

/* ---- log service ---- */

static void
on_read(void *context, const struct sl_error *err,
        const struct sl_log_page *page)
{
    struct sl_external_call *call = context;
    struct sl_event event = {.type = Sl_EVENT_LOG_READ, .err = err};
    event.u.read.stream = call->stream;
    event.u.read.page = page;
    SlRuntime_Dispatch(call->external->runtime, &event);
    g_free(call);
}

static void
on_appended(void *context, const struct sl_error *err, uint64_t first)
{
    struct sl_external_call *call = context;
    struct sl_event event = {.type = Sl_EVENT_LOG_APPENDED, .err = err};
    event.u.appended.token = call->token;
    event.u.appended.first_offset = first;
    SlRuntime_Dispatch(call->external->runtime, &event);
    g_free(call);
}

static void
read_log(struct sl_external_services *external, const struct sl_effect *effect)
{
    struct sl_external_call *call = new_call(external, 0);
    call->stream = effect->u.read.stream;
    external->log_service->ops->read(
        external->log_service, SlStream_Name(effect->u.read.stream),
        effect->u.read.from, effect->u.read.max_records, on_read, call);
}

static void
append_log(struct sl_external_services *external,
           const struct sl_effect *effect)
{
    external->log_service->ops->append(
        external->log_service, SlStream_Name(effect->u.append.stream),
        effect->u.append.records, on_appended,
        new_call(external, effect->u.append.token));
}

/* ---- VM list and rating ---- */

static void
on_vms(void *context, const struct sl_error *err, const struct sl_vm *vms,
       size_t count)
{
    struct sl_external_services *external = context;
    struct sl_event event = {.type = Sl_EVENT_VMS, .err = err};
    event.u.vms.vms = vms;
    event.u.vms.count = count;
    SlRuntime_Dispatch(external->runtime, &event);
}

static void
on_rated(void *context, const struct sl_error *err, double score)
{
    struct sl_external_call *call = context;
    struct sl_event event = {.type = Sl_EVENT_RATED, .err = err};
    event.u.rated.token = call->token;
    event.u.rated.score = score;
    SlRuntime_Dispatch(call->external->runtime, &event);
    g_free(call);
}

/* ---- upstream ---- */

static void
on_call_head(void *context, int status, struct sl_str content_type)
{
    struct sl_external_call *call = context;
    struct sl_event event = {.type = Sl_EVENT_CALL_HEAD};
    event.u.call.token = call->token;
    event.u.call.status = (uint64_t)status;
    event.u.call.content_type = content_type;
    SlRuntime_Dispatch(call->external->runtime, &event);
}

static void
on_call_chunk(void *context, struct sl_str bytes)
{
    struct sl_external_call *call = context;
    struct sl_event event = {.type = Sl_EVENT_CALL_CHUNK};
    event.u.call.token = call->token;
    event.u.call.bytes = bytes;
    SlRuntime_Dispatch(call->external->runtime, &event);
}

static void
on_call_done(void *context, const struct sl_error *err, uint64_t tokens,
             int64_t retry_after_us)
{
    struct sl_external_call *call = context;
    struct sl_external_services *external = call->external;
    struct sl_event event = {.type = Sl_EVENT_CALL_DONE, .err = err};
    event.u.call.token = call->token;
    event.u.call.tokens = tokens;
    event.u.call.retry_after_us = retry_after_us;
    g_hash_table_remove(external->calls, &call->token);
    SlRuntime_Dispatch(external->runtime, &event);
}

static void
start_call(struct sl_external_services *external,
           const struct sl_effect_call *effect)
{
    struct sl_external_call *call = new_call(external, effect->token);
    struct sl_upstream_request_handlers handlers = {
        .on_head = on_call_head,
        .on_chunk = on_call_chunk,
        .on_done = on_call_done,
        .context = call,
    };
    struct sl_upstream_request request = {
        .request = effect->request,
        .version = effect->version,
        .key = effect->key,
        .method = effect->method,
        .path = effect->path,
        .content_type = effect->content_type,
        .body = effect->body,
        .priority = effect->priority,
        .timeout_us = effect->timeout_us,
        .idempotent = effect->idempotent,
    };
    g_hash_table_insert(external->calls, &call->token, call);
    call->handle =
        external->upstream->ops->call(external->upstream, &request, &handlers);
}

static void
cancel_call(struct sl_external_services *external, uint64_t token)
{
    const struct sl_external_call *call =
        g_hash_table_lookup(external->calls, &token);
    if (call != NULL) {
        external->upstream->ops->cancel(external->upstream, call->handle);
        g_hash_table_remove(external->calls, &token);
    }
}

static void
on_load(void *context, const struct sl_error *err,
        const struct sl_load_report *report)
{
    struct sl_external_services *external = context;
    struct sl_event event = {.type = Sl_EVENT_LOAD, .err = err};
    event.u.load = report;
    SlRuntime_Dispatch(external->runtime, &event);
}

static void
on_order(void *context, const struct sl_error *err)
{
    struct sl_external_services *external = context;
    struct sl_event event = {.type = Sl_EVENT_ORDER_DONE, .err = err};
    SlRuntime_Dispatch(external->runtime, &event);
}

/* ---- public ---- */

static struct sl_adapter_options
adapter_options(const struct sl_external_services *external,
                const struct sl_name *address, int64_t timeout_us)
{
    return (struct sl_adapter_options){
        .http = external->http,
        .address = SlName_Str(address),
        .timeout_us = timeout_us,
    };
}

static struct sl_upstream_api *
new_upstream(const struct sl_external_services *external)
{
    const struct sl_settings *settings = external->runtime->settings;
    struct sl_adapter_options options = adapter_options(
        external, &settings->upstream_address, Sl_UPSTREAM_TIMEOUT_US);
    if (settings->role != Sl_ROLE_AGENT) {
        return NULL;
    }
    return settings->upstream_is_engine ? SlEngine_NewHttp(&options)
                                        : SlPlainService_NewHttp(&options);
}

struct sl_external_services *
SlExternalServices_New(struct sl_runtime *runtime)
{
    struct sl_external_services *external =
        g_new0(struct sl_external_services, 1);
    const struct sl_settings *settings = runtime->settings;
    external->runtime = runtime;
    external->http = SlAdapterClient_New(runtime->base);
    external->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    struct sl_adapter_options log =
        adapter_options(external, &settings->log_service, Sl_LOG_TIMEOUT_US);
    struct sl_adapter_options vms =
        adapter_options(external, &settings->vm_list, Sl_VMS_TIMEOUT_US);
    struct sl_adapter_options rating = adapter_options(
        external, &settings->rating_service, Sl_RATING_TIMEOUT_US);
    external->log_service = SlLogService_NewHttp(&log);
    external->vm_list = SlVmList_NewHttp(&vms);
    if (!SlName_IsEmpty(&settings->rating_service)) {
        external->rating = SlRatingService_NewHttp(&rating);
    }
    external->upstream = new_upstream(external);
    return external;
}

void
SlExternalServices_Free(struct sl_external_services *external)
{
    SlAdapterClient_Free(external->http);
    external->log_service->ops->free(external->log_service);
    external->vm_list->ops->free(external->vm_list);
    if (external->rating != NULL) {
        external->rating->ops->free(external->rating);
    }
    if (external->upstream != NULL) {
        external->upstream->ops->free(external->upstream);
    }
    g_hash_table_destroy(external->calls);
    g_free(external);
}

void
SlExternalServices_Perform(struct sl_external_services *external,
                           const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_EFFECT_LOG_READ:
        read_log(external, effect);
        break;
    case Sl_EFFECT_LOG_APPEND:
        append_log(external, effect);
        break;
    case Sl_EFFECT_VMS_READ:
        external->vm_list->ops->read(external->vm_list, on_vms, external);
        break;
    case Sl_EFFECT_CALL:
        start_call(external, &effect->u.call);
        break;
    case Sl_EFFECT_CALL_CANCEL:
        cancel_call(external, effect->u.token);
        break;
    case Sl_EFFECT_LOAD_READ:
        external->upstream->ops->load(external->upstream, on_load, external);
        break;
    case Sl_EFFECT_ORDER:
        external->upstream->ops->order(external->upstream, &effect->u.order,
                                       on_order, external);
        break;
    case Sl_EFFECT_RATE:
        external->rating->ops->rate(external->rating, &effect->u.rate.version,
                                    &effect->u.rate.kind,
                                    effect->u.rate.answer, on_rated,
                                    new_call(external, effect->u.rate.token));
        break;
    default:
        assert(false);
    }
}
