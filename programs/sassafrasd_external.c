/* The platform's systems and the upstream: effects become calls of the
 * adapters, and their answers become events. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <string.h>

#define Sl_LOG_TIMEOUT_US (3 * Sl_US_PER_S)
#define Sl_VMS_TIMEOUT_US (2 * Sl_US_PER_S)
#define Sl_RATING_TIMEOUT_US (2 * Sl_US_PER_S)
#define Sl_UPSTREAM_TIMEOUT_US (2 * Sl_US_PER_S)

/* ---- types ---- */

struct sl_external_services {
    struct sl_runtime *shell;
    struct sl_http *http;
    struct sl_log_service *log_service;
    struct sl_vm_list *vm_list;
    struct sl_rating *rating;         /* entries only, may be NULL */
    struct sl_upstream_api *upstream; /* agents only */
    GHashTable *calls; /* token -> struct sl_external_call, owned */
};

/* An answer that is awaited. */
struct sl_external_call {
    struct sl_external_services *outside;
    enum sl_stream stream;
    uint64_t token;
    uint64_t call; /* the adapter's handle of a call */
};

/* ---- helpers ---- */

static struct sl_external_call *
new_pending(struct sl_external_services *outside, uint64_t token)
{
    struct sl_external_call *pending = g_new0(struct sl_external_call, 1);
    pending->outside = outside;
    pending->token = token;
    return pending;
}

/* ---- log service ---- */

static void
on_read(void *context, const struct sl_error *err,
        const struct sl_log_page *page)
{
    struct sl_external_call *pending = context;
    struct sl_event event = {.type = Sl_EV_LOG_READ, .err = err};
    event.u.read.stream = pending->stream;
    event.u.read.page = page;
    SlRuntime_Dispatch(pending->outside->shell, &event);
    g_free(pending);
}

static void
on_appended(void *context, const struct sl_error *err, uint64_t first)
{
    struct sl_external_call *pending = context;
    struct sl_event event = {.type = Sl_EV_LOG_APPENDED, .err = err};
    event.u.appended.token = pending->token;
    event.u.appended.first = first;
    SlRuntime_Dispatch(pending->outside->shell, &event);
    g_free(pending);
}

static void
read_log(struct sl_external_services *outside, const struct sl_effect *effect)
{
    struct sl_external_call *pending = new_pending(outside, 0);
    pending->stream = effect->u.read.stream;
    outside->log_service->ops->read(
        outside->log_service, SlStream_Name(effect->u.read.stream),
        effect->u.read.from, effect->u.read.max, on_read, pending);
}

static void
append_log(struct sl_external_services *outside,
           const struct sl_effect *effect)
{
    outside->log_service->ops->append(
        outside->log_service, SlStream_Name(effect->u.append.stream),
        effect->u.append.records, on_appended,
        new_pending(outside, effect->u.append.token));
}

/* ---- VM list and rating ---- */

static void
on_vms(void *context, const struct sl_error *err, const struct sl_vm *vms,
       size_t count)
{
    struct sl_external_services *outside = context;
    struct sl_event event = {.type = Sl_EV_VMS, .err = err};
    event.u.vms.vms = vms;
    event.u.vms.count = count;
    SlRuntime_Dispatch(outside->shell, &event);
}

static void
on_rated(void *context, const struct sl_error *err, double score)
{
    struct sl_external_call *pending = context;
    struct sl_event event = {.type = Sl_EV_RATED, .err = err};
    event.u.rated.token = pending->token;
    event.u.rated.score = score;
    SlRuntime_Dispatch(pending->outside->shell, &event);
    g_free(pending);
}

/* ---- upstream ---- */

static void
on_call_head(void *context, int status, struct sl_str content_type)
{
    struct sl_external_call *pending = context;
    struct sl_event event = {.type = Sl_EV_CALL_HEAD};
    event.u.call.token = pending->token;
    event.u.call.status = (uint64_t)status;
    event.u.call.content_type = content_type;
    SlRuntime_Dispatch(pending->outside->shell, &event);
}

static void
on_call_piece(void *context, struct sl_str bytes)
{
    struct sl_external_call *pending = context;
    struct sl_event event = {.type = Sl_EV_CALL_CHUNK};
    event.u.call.token = pending->token;
    event.u.call.bytes = bytes;
    SlRuntime_Dispatch(pending->outside->shell, &event);
}

static void
on_call_done(void *context, const struct sl_error *err, uint64_t tokens,
             int64_t retry_after_us)
{
    struct sl_external_call *pending = context;
    struct sl_external_services *outside = pending->outside;
    struct sl_event event = {.type = Sl_EV_CALL_DONE, .err = err};
    event.u.call.token = pending->token;
    event.u.call.tokens = tokens;
    event.u.call.retry_after_us = retry_after_us;
    g_hash_table_remove(outside->calls, &pending->token);
    SlRuntime_Dispatch(outside->shell, &event);
}

static void
call(struct sl_external_services *outside, const struct sl_fx_call *wanted)
{
    struct sl_external_call *pending = new_pending(outside, wanted->token);
    struct sl_call_handlers handlers = {
        .on_head = on_call_head,
        .on_piece = on_call_piece,
        .on_done = on_call_done,
        .context = pending,
    };
    struct sl_call request = {
        .request = wanted->request,
        .version = wanted->version,
        .key = wanted->key,
        .method = wanted->method,
        .path = wanted->path,
        .content_type = wanted->content_type,
        .body = wanted->body,
        .priority = wanted->priority,
        .timeout_us = wanted->timeout_us,
        .idempotent = wanted->idempotent,
    };
    g_hash_table_insert(outside->calls, &pending->token, pending);
    pending->call =
        outside->upstream->ops->call(outside->upstream, &request, &handlers);
}

static void
cancel_call(struct sl_external_services *outside, uint64_t token)
{
    const struct sl_external_call *pending =
        g_hash_table_lookup(outside->calls, &token);
    if (pending != NULL) {
        outside->upstream->ops->cancel(outside->upstream, pending->call);
        g_hash_table_remove(outside->calls, &token);
    }
}

static void
on_load(void *context, const struct sl_error *err,
        const struct sl_load_report *report)
{
    struct sl_external_services *outside = context;
    struct sl_event event = {.type = Sl_EV_LOAD, .err = err};
    event.u.load = report;
    SlRuntime_Dispatch(outside->shell, &event);
}

static void
on_order(void *context, const struct sl_error *err)
{
    struct sl_external_services *outside = context;
    struct sl_event event = {.type = Sl_EV_ORDER_DONE, .err = err};
    SlRuntime_Dispatch(outside->shell, &event);
}

/* ---- public ---- */

static struct sl_adapter_options
adapter_options(const struct sl_external_services *outside,
                const struct sl_name *address, int64_t timeout_us)
{
    return (struct sl_adapter_options){
        .http = outside->http,
        .address = SlName_Str(address),
        .timeout_us = timeout_us,
    };
}

static struct sl_upstream_api *
new_upstream(const struct sl_external_services *outside)
{
    const struct sl_settings *settings = outside->shell->settings;
    struct sl_adapter_options options = adapter_options(
        outside, &settings->upstream_address, Sl_UPSTREAM_TIMEOUT_US);
    if (settings->role != Sl_ROLE_AGENT) {
        return NULL;
    }
    return settings->upstream_is_engine ? SlEngine_NewHttp(&options)
                                        : SlPlain_NewHttp(&options);
}

struct sl_external_services *
SlExternalServices_New(struct sl_runtime *shell)
{
    struct sl_external_services *outside =
        g_new0(struct sl_external_services, 1);
    const struct sl_settings *settings = shell->settings;
    outside->shell = shell;
    outside->http = SlHttp_New(shell->base);
    outside->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    struct sl_adapter_options log =
        adapter_options(outside, &settings->log_service, Sl_LOG_TIMEOUT_US);
    struct sl_adapter_options vms =
        adapter_options(outside, &settings->vm_list, Sl_VMS_TIMEOUT_US);
    struct sl_adapter_options rating = adapter_options(
        outside, &settings->rating_service, Sl_RATING_TIMEOUT_US);
    outside->log_service = SlLogService_NewHttp(&log);
    outside->vm_list = SlVmList_NewHttp(&vms);
    if (!SlName_IsEmpty(&settings->rating_service)) {
        outside->rating = SlRating_NewHttp(&rating);
    }
    outside->upstream = new_upstream(outside);
    return outside;
}

void
SlExternalServices_Free(struct sl_external_services *outside)
{
    SlHttp_Free(outside->http);
    outside->log_service->ops->free(outside->log_service);
    outside->vm_list->ops->free(outside->vm_list);
    if (outside->rating != NULL) {
        outside->rating->ops->free(outside->rating);
    }
    if (outside->upstream != NULL) {
        outside->upstream->ops->free(outside->upstream);
    }
    g_hash_table_destroy(outside->calls);
    g_free(outside);
}

void
SlExternalServices_Perform(struct sl_external_services *outside,
                           const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_FX_LOG_READ:
        read_log(outside, effect);
        break;
    case Sl_FX_LOG_APPEND:
        append_log(outside, effect);
        break;
    case Sl_FX_VMS_READ:
        outside->vm_list->ops->read(outside->vm_list, on_vms, outside);
        break;
    case Sl_FX_CALL:
        call(outside, &effect->u.call);
        break;
    case Sl_FX_CALL_CANCEL:
        cancel_call(outside, effect->u.token);
        break;
    case Sl_FX_LOAD_READ:
        outside->upstream->ops->load(outside->upstream, on_load, outside);
        break;
    case Sl_FX_ORDER:
        outside->upstream->ops->order(outside->upstream, &effect->u.order,
                                      on_order, outside);
        break;
    case Sl_FX_RATE:
        outside->rating->ops->rate(outside->rating, &effect->u.rate.version,
                                   &effect->u.rate.kind, effect->u.rate.answer,
                                   on_rated,
                                   new_pending(outside, effect->u.rate.token));
        break;
    default:
        assert(false);
    }
}
