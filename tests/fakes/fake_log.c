/*
 * Fake log service: append-only streams whose records are numbered by offsets
 * from 1. A stream is created by its first request.
 *
 * Settings: retain     newest records kept in each stream; 0 keeps all
 *           head_back  reads report the head (the offset after the newest
 *                      record) N records too low and omit these records
 * Control requests: GET /streams returns the range of each stream.
 */
#include "common.h"

#include <string.h>

#define Sl_LOG_READ_MAX_RECORDS 1000
#define Sl_LOG_STREAM_PATH_PREFIX "/streams/"
#define Sl_LOG_US_PER_MS 1000

/* ---- types ---- */

struct sl_fake_stream {
    int64_t oldest_offset;
    /* json_t *, in the form of responses; the first is at oldest_offset */
    GPtrArray *records;
};

struct sl_fake_log {
    int64_t retain;
    int64_t head_back;
    GHashTable *streams; /* name -> struct sl_fake_stream */
};

/* ---- helpers ---- */

static void
free_record(gpointer record)
{
    json_decref(record);
}

static void
free_stream(gpointer data)
{
    struct sl_fake_stream *stream = data;
    g_ptr_array_unref(stream->records);
    g_free(stream);
}

static struct sl_fake_stream *
get_stream(struct sl_fake_log *log, const char *name)
{
    struct sl_fake_stream *stream = g_hash_table_lookup(log->streams, name);
    if (stream == NULL) {
        stream = g_new0(struct sl_fake_stream, 1);
        stream->oldest_offset = 1;
        stream->records = g_ptr_array_new_with_free_func(free_record);
        g_hash_table_insert(log->streams, g_strdup(name), stream);
    }
    return stream;
}

static int64_t
stream_head(const struct sl_fake_stream *stream)
{
    return stream->oldest_offset + stream->records->len;
}

/* Deletes the oldest records of a stream until `retain` are left. */
static void
apply_retention(const struct sl_fake_log *log, struct sl_fake_stream *stream)
{
    int64_t len = stream->records->len;
    if (log->retain != 0 && len > log->retain) {
        int64_t surplus = len - log->retain;
        g_ptr_array_remove_range(stream->records, 0, (guint)surplus);
        stream->oldest_offset += surplus;
    }
}

/* True for a list of at least one object that has only objects. */
static bool
is_object_list(const json_t *records)
{
    for (size_t i = 0; i < json_array_size(records); i++) {
        if (!json_is_object(json_array_get(records, i))) {
            return false;
        }
    }
    return json_array_size(records) > 0;
}

static void
append_records(struct sl_fake_log *log, struct sl_fake_request *request,
               const char *name)
{
    const json_t *body = SlFake_ParseJson(request);
    if (body == NULL) {
        return;
    }
    const json_t *records = json_object_get(body, "records");
    if (!is_object_list(records)) {
        SlFake_RespondError(request, HTTP_BADREQUEST,
                            "records must be a list of objects");
        return;
    }
    struct sl_fake_stream *stream = get_stream(log, name);
    int64_t first = stream_head(stream);
    int64_t at_ms = g_get_real_time() / Sl_LOG_US_PER_MS;
    for (size_t i = 0; i < json_array_size(records); i++) {
        json_t *record = json_pack(
            "{s:I,s:I,s:O}", "offset", (json_int_t)stream_head(stream),
            "at_ms", (json_int_t)at_ms, "value", json_array_get(records, i));
        g_ptr_array_add(stream->records, record);
    }
    apply_retention(log, stream);
    SlFake_Respond(request, HTTP_OK,
                   json_pack("{s:I}", "first", (json_int_t)first));
}

static void
read_stream(struct sl_fake_log *log, struct sl_fake_request *request,
            const char *name)
{
    struct sl_fake_stream *stream = get_stream(log, name);
    apply_retention(log, stream);
    int64_t head = MAX(stream_head(stream) - log->head_back, 1);
    int64_t oldest = MIN(stream->oldest_offset, head);
    int64_t from = SlFake_QueryInt(request, "from", oldest);
    int64_t max = SlFake_QueryInt(request, "max", Sl_LOG_READ_MAX_RECORDS);
    json_t *records = json_array();
    from = MAX(from, stream->oldest_offset);
    max = MIN(max, Sl_LOG_READ_MAX_RECORDS);
    for (int64_t offset = from; offset < head && offset - from < max;
         offset++) {
        json_t *record =
            stream->records->pdata[offset - stream->oldest_offset];
        json_array_append(records, record);
    }
    SlFake_Respond(request, HTTP_OK,
                   json_pack("{s:I,s:I,s:o}", "oldest", (json_int_t)oldest,
                             "head", (json_int_t)head, "records", records));
}

static json_t *
list_streams(struct sl_fake_log *log)
{
    json_t *list = json_object();
    GHashTableIter iter;
    gpointer name;
    gpointer stream;
    g_hash_table_iter_init(&iter, log->streams);
    while (g_hash_table_iter_next(&iter, &name, &stream)) {
        apply_retention(log, stream);
        const struct sl_fake_stream *shown = stream;
        json_object_set_new(list, name,
                            json_pack("{s:I,s:I}", "oldest",
                                      (json_int_t)shown->oldest_offset, "head",
                                      (json_int_t)stream_head(shown)));
    }
    return list;
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_log *log = context;
    const char *name = request->path + strlen(Sl_LOG_STREAM_PATH_PREFIX);
    if (SlFake_Matches(request, "GET", "/streams")) {
        SlFake_Respond(request, HTTP_OK, list_streams(log));
    }
    else if (!g_str_has_prefix(request->path, Sl_LOG_STREAM_PATH_PREFIX) ||
             *name == '\0') {
        SlFake_RespondError(request, HTTP_NOTFOUND, "no such path");
    }
    else if (strcmp(request->method, "POST") == 0) {
        append_records(log, request, name);
    }
    else if (strcmp(request->method, "GET") == 0) {
        read_stream(log, request, name);
    }
    else {
        SlFake_RespondError(request, HTTP_BADMETHOD, "no such method");
    }
}

/* ---- public ---- */

int
main(int argc, char **argv)
{
    struct sl_fake_log log = {0};
    const struct sl_fake_setting settings[] = {
        {"retain", Sl_FAKE_INT, &log.retain},
        {"head_back", Sl_FAKE_INT, &log.head_back},
        {0},
    };
    const char *const control_patterns[] = {"GET /streams", NULL};
    const struct sl_fake_spec spec = {
        .summary = "Fake log service.",
        .context = &log,
        .settings = settings,
        .control_patterns = control_patterns,
        .serve = serve,
    };
    log.streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
    int result = SlFake_RunMain(argc, argv, &spec);
    g_hash_table_destroy(log.streams);
    return result;
}
