/* Adapter to the platform's log service. */
#include "sl_adapters_internal.h"

/* ---- types ---- */

struct sl_http_log_service {
    struct sl_log_service service;
    struct sl_adapter adapter;
};

/* A pending read or append; only its own callback is set. */
struct sl_log_request {
    sl_log_read_done read_done;
    sl_log_append_done append_done;
    void *context;
};

/* ---- read ---- */

/* Fills in `records`, one for each of `items`. Their values are borrowed. */
static enum sl_errno
parse_records(const json_t *items, struct sl_log_record *records,
              struct sl_error *err)
{
    static const struct sl_json_int_rule offset_rule = {1, INT64_MAX, 0, true};
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)items, i, item)
    {
        int64_t offset = 0;
        Sl_TRY(SlJson_Int(item, "offset", &offset_rule, "log record", &offset,
                          err));
        records[i].offset = (uint64_t)offset;
        records[i].value = json_object_get(item, "value");
        if (records[i].value == NULL) {
            return SlError_Set(err, Sl_ERR_INVALID, "log.read", "log",
                               "record lacks \"value\"");
        }
    }
    return Sl_OK;
}

/* Fills in `page`. Its records are allocated and also stored in `records`;
 * free them with g_free(), also on error. */
static enum sl_errno
parse_page(const json_t *json, struct sl_log_page *page,
           struct sl_log_record **records, struct sl_error *err)
{
    static const struct sl_json_int_rule offset_rule = {1, INT64_MAX, 0, true};
    const json_t *items = json_object_get(json, "records");
    int64_t oldest = 0;
    int64_t head = 0;
    Sl_TRY(SlJson_Int(json, "oldest", &offset_rule, "log page", &oldest, err));
    Sl_TRY(SlJson_Int(json, "head", &offset_rule, "log page", &head, err));
    if (!json_is_array(items)) {
        return SlError_Set(err, Sl_ERR_INVALID, "log.read", "log",
                           "page lacks \"records\"");
    }
    page->oldest = (uint64_t)oldest;
    page->head = (uint64_t)head;
    page->count = json_array_size(items);
    *records = g_new0(struct sl_log_record, page->count + 1);
    page->records = *records;
    return parse_records(items, *records, err);
}

static void
on_read_response(void *context, const struct sl_error *request_err,
                 const struct sl_adapter_response *response)
{
    struct sl_log_request *request = context;
    struct sl_log_page page = {0};
    struct sl_log_record *records = NULL;
    struct sl_error err = {0};
    json_t *json =
        SlAdapter_ParseJson(request_err, response, "log", "log.read", &err);
    if (json != NULL && parse_page(json, &page, &records, &err) == Sl_OK) {
        request->read_done(request->context, NULL, &page);
    }
    else {
        request->read_done(request->context, &err, NULL);
    }
    g_free(records);
    json_decref(json);
    g_free(request);
}

static void
http_read(struct sl_log_service *service, const char *stream, uint64_t from,
          size_t max, sl_log_read_done done, void *context)
{
    struct sl_http_log_service *log = (struct sl_http_log_service *)service;
    struct sl_log_request *request = g_new0(struct sl_log_request, 1);
    request->read_done = done;
    request->context = context;
    char *path =
        g_strdup_printf("/streams/%s?from=%" G_GUINT64_FORMAT "&max=%zu",
                        stream, (guint64)from, max);
    struct sl_adapter_request_options options =
        SlAdapter_MakeRequest(&log->adapter, "log", "log.read", "GET", path);
    options.on_done = on_read_response;
    options.context = request;
    SlAdapterClient_Send(log->adapter.http, &options);
    g_free(path);
}

/* ---- append ---- */

static void
on_append_response(void *context, const struct sl_error *request_err,
                   const struct sl_adapter_response *response)
{
    static const struct sl_json_int_rule offset_rule = {1, INT64_MAX, 0, true};
    struct sl_log_request *request = context;
    struct sl_error err = {0};
    int64_t first_offset = 0;
    json_t *json =
        SlAdapter_ParseJson(request_err, response, "log", "log.append", &err);
    if (json != NULL && SlJson_Int(json, "first", &offset_rule, "log append",
                                   &first_offset, &err) == Sl_OK) {
        request->append_done(request->context, NULL, (uint64_t)first_offset);
    }
    else {
        request->append_done(request->context, &err, 0);
    }
    json_decref(json);
    g_free(request);
}

static void
http_append(struct sl_log_service *service, const char *stream,
            struct sl_str records, sl_log_append_done done, void *context)
{
    struct sl_http_log_service *log = (struct sl_http_log_service *)service;
    struct sl_log_request *request = g_new0(struct sl_log_request, 1);
    struct sl_buf body = {0};
    request->append_done = done;
    request->context = context;
    char *path = g_strdup_printf("/streams/%s", stream);
    SlBuf_AppendC(&body, "{\"records\":");
    SlBuf_Append(&body, records);
    SlBuf_AppendC(&body, "}");
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        &log->adapter, "log", "log.append", "POST", path);
    options.body = SlBuf_Str(&body);
    options.on_done = on_append_response;
    options.context = request;
    SlAdapterClient_Send(log->adapter.http, &options);
    SlBuf_Free(&body);
    g_free(path);
}

/* ---- table and constructor ---- */

static void
http_free(struct sl_log_service *service)
{
    g_free(service);
}

static const struct sl_log_service_ops http_ops = {
    .read = http_read,
    .append = http_append,
    .free = http_free,
};

struct sl_log_service *
SlLogService_NewHttp(const struct sl_adapter_options *options)
{
    struct sl_http_log_service *log = g_new0(struct sl_http_log_service, 1);
    log->service.ops = &http_ops;
    log->adapter = SlAdapter_New(options);
    return &log->service;
}
