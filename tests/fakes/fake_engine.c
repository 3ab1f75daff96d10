/*
 * Stand-in for a model engine: streams an answer of `tokens` tokens, one a
 * timer tick. The first token is "VERSION:", the others are spaces and words
 * of the caller's body in turn. A larger Engine-Priority leaves the queue
 * first.
 *
 * Option: --versions a,b   versions loaded at the start
 * Settings and faults, by GET and POST /faults:
 *   ttft_ms, token_ms      time to the first token and between tokens
 *   tokens                 tokens of an answer
 *   capacity, queue        runs at once; requests that may wait, 503 beyond
 *   cold_capacity          runs that a cold engine bears; more are taken but
 *                          slow all down tenfold and count as `overloads`
 *   warm_ms                time that it takes to get warm
 *   cold                   keeps the engine cold
 *   load_lag_ms            age that /load may reach
 *   fencing                orders with an old fencing number are refused
 *   bad_versions           {version: probability}; such answers say "BAD"
 *   cut_after, stall_after closes, or sends no more, after N tokens; 0 never
 *   crossed                answers carry another request's Engine-Request
 * Control: GET /stats; POST /restart gives a new boot id, cuts all runs and
 * starts cold; POST /cold starts cold without that.
 */
#include "common.h"

#include <event2/buffer.h>
#include <string.h>

#define Sl_ENGINE_COLD_SLOWDOWN 10
#define Sl_ENGINE_QUEUE_POLL_MS 10
#define Sl_ENGINE_TICK_MIN_MS 1
#define Sl_ENGINE_MAX_TOKENS 100000

/* ---- types ---- */

struct sl_fake_engine {
    int64_t ttft_ms;
    int64_t token_ms;
    int64_t tokens;
    int64_t capacity;
    int64_t queue;
    int64_t cold_capacity;
    int64_t warm_ms;
    gboolean cold;
    int64_t load_lag_ms;
    gboolean fencing;
    json_t *bad_versions;
    int64_t cut_after;
    int64_t stall_after;
    gboolean crossed;

    struct sl_fake_server *server;
    char *version_list;
    char *boot;
    json_t *versions;      /* object used as an ordered set */
    int64_t fence;         /* highest seen */
    int64_t cold_since_ms; /* INT64_MAX while kept cold */
    GPtrArray *running;    /* struct sl_fake_run *, borrowed */
    GPtrArray *waiting;    /* the same, first to start first */
    json_t *load;          /* last answer of /load, or NULL */
    int64_t load_at_ms;
    json_t *ran; /* array of entries of /stats */
    int64_t overloads;
    int64_t max_running;
    int64_t refused;
};

/* A request that waits or runs. */
struct sl_fake_run {
    struct sl_fake_engine *engine;
    struct sl_fake_request *request;
    struct event *timer;
    const char *id;      /* in the request's headers */
    const char *version; /* the same */
    int64_t priority;
    char **words;
    guint word_count;
    int64_t tokens;
    int64_t sent;
    bool bad;
    bool lost;     /* runs, but sends nothing */
    json_t *entry; /* borrowed from `ran`; NULL while waiting */
};

/* ---- helpers: warmth ---- */

static double
warmth(const struct sl_fake_engine *engine)
{
    int64_t age_ms = SlFake_NowMs() - engine->cold_since_ms;
    if (engine->cold) {
        return 0;
    }
    if (age_ms >= engine->warm_ms) {
        return 1;
    }
    return (double)age_ms / (double)engine->warm_ms;
}

static bool
is_overloaded(const struct sl_fake_engine *engine)
{
    return engine->running->len > engine->cold_capacity && warmth(engine) < 1;
}

/* ---- helpers: runs ---- */

static struct sl_str
token_text(const struct sl_fake_run *run, struct sl_buf *out)
{
    int64_t index = run->sent;
    SlBuf_Clear(out);
    if (index == 0) {
        SlBuf_Printf(out, "%s:", run->version);
    }
    else if (index == 1 && run->bad) {
        SlBuf_AppendC(out, " BAD ");
    }
    else if (index % 2 == 1 || run->word_count == 0) {
        SlBuf_AppendC(out, " ");
    }
    else {
        SlBuf_AppendC(out, run->words[(index / 2 - 1) % run->word_count]);
    }
    return SlBuf_Str(out);
}

static void
send_line(const struct sl_fake_run *run, const struct sl_buf *line)
{
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, line->ptr, line->len);
    evhttp_send_reply_chunk(run->request->http, out);
    evbuffer_free(out);
}

static void
send_token(struct sl_fake_run *run)
{
    struct sl_buf text = {0};
    struct sl_buf line = {0};
    SlBuf_AppendC(&line, "data: {\"token\": ");
    SlBuf_AppendJson(&line, token_text(run, &text));
    SlBuf_AppendC(&line, "}\n\n");
    if (!run->lost) {
        send_line(run, &line);
    }
    run->sent++;
    SlBuf_Free(&text);
    SlBuf_Free(&line);
}

static void
free_run(struct sl_fake_run *run)
{
    event_free(run->timer);
    g_strfreev(run->words);
    g_free(run);
}

static void
mark(const struct sl_fake_run *run, const char *key)
{
    if (run->entry != NULL) {
        json_object_set_new(run->entry, key, json_true());
    }
}

static void start_waiting(struct sl_fake_engine *engine);

static void
end_run(struct sl_fake_run *run)
{
    struct sl_fake_engine *engine = run->engine;
    g_ptr_array_remove(engine->running, run);
    g_ptr_array_remove(engine->waiting, run);
    free_run(run);
    start_waiting(engine);
}

/* Closes the connection; what was sent is not a whole answer. */
static void
cut_run(struct sl_fake_run *run)
{
    SlFake_Drop(run->request);
    end_run(run);
}

static void
complete_run(struct sl_fake_run *run)
{
    struct sl_buf line = {0};
    mark(run, "done");
    if (run->lost) {
        cut_run(run);
        return;
    }
    SlBuf_AppendC(&line, "data: [DONE]\n\n");
    send_line(run, &line);
    SlBuf_Free(&line);
    evhttp_send_reply_end(run->request->http);
    SlFake_Done(run->request);
    end_run(run);
}

static void
arm(struct sl_fake_run *run, int64_t ms)
{
    struct timeval wait = SlFake_Timeval(MAX(ms, Sl_ENGINE_TICK_MIN_MS));
    event_add(run->timer, &wait);
}

static bool
is_reached(int64_t limit, const struct sl_fake_run *run)
{
    return limit != 0 && run->sent >= limit;
}

static void
advance_run(struct sl_fake_run *run)
{
    const struct sl_fake_engine *engine = run->engine;
    int64_t slowdown = is_overloaded(engine) ? Sl_ENGINE_COLD_SLOWDOWN : 1;
    if (is_reached(engine->cut_after, run)) {
        cut_run(run);
        return;
    }
    bool stalled = is_reached(engine->stall_after, run);
    if (!stalled && run->sent < run->tokens) {
        send_token(run);
    }
    bool held = stalled || is_reached(engine->cut_after, run) ||
                is_reached(engine->stall_after, run);
    if (!held && run->sent >= run->tokens) {
        complete_run(run);
        return;
    }
    arm(run, engine->token_ms * slowdown);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    struct sl_fake_run *run = arg;
    if (SlFake_IsGone(run->request)) {
        mark(run, "cancelled");
        cut_run(run);
    }
    else if (run->entry == NULL) {
        arm(run, Sl_ENGINE_QUEUE_POLL_MS);
    }
    else {
        advance_run(run);
    }
}

static void
send_start(const struct sl_fake_run *run)
{
    struct sl_fake_request *request = run->request;
    const struct sl_fake_engine *engine = run->engine;
    char *id = g_strconcat(engine->crossed ? "crossed-" : "", run->id, NULL);
    SlFake_SetHeader(request, "Content-Type", "text/event-stream");
    SlFake_SetHeader(request, "Engine-Boot", engine->boot);
    SlFake_SetHeader(request, "Engine-Request", id);
    evhttp_send_reply_start(request->http, HTTP_OK, "OK");
    g_free(id);
}

static void
start_run(struct sl_fake_run *run)
{
    struct sl_fake_engine *engine = run->engine;
    run->entry = json_pack("{s:s,s:s,s:b,s:b}", "request", run->id, "version",
                           run->version, "done", 0, "cancelled", 0);
    json_array_append_new(engine->ran, run->entry);
    g_ptr_array_add(engine->running, run);
    engine->max_running = MAX(engine->max_running, engine->running->len);
    if (is_overloaded(engine)) {
        engine->overloads++;
    }
    run->lost = SlFake_TakeLost(run->request);
    if (!run->lost) {
        send_start(run);
    }
    int64_t slowdown = is_overloaded(engine) ? Sl_ENGINE_COLD_SLOWDOWN : 1;
    arm(run, engine->ttft_ms * slowdown + SlFake_DelayMs(engine->server));
}

static void
start_waiting(struct sl_fake_engine *engine)
{
    while (engine->waiting->len > 0 &&
           engine->running->len < engine->capacity) {
        struct sl_fake_run *run = g_ptr_array_steal_index(engine->waiting, 0);
        start_run(run);
    }
}

static void
put_in_queue(struct sl_fake_run *run)
{
    GPtrArray *waiting = run->engine->waiting;
    gint at = 0;
    while (at < (gint)waiting->len) {
        const struct sl_fake_run *other = waiting->pdata[at];
        if (other->priority < run->priority) {
            break;
        }
        at++;
    }
    g_ptr_array_insert(waiting, at, run);
    arm(run, Sl_ENGINE_QUEUE_POLL_MS);
}

static bool
is_bad(const struct sl_fake_engine *engine, const char *id,
       const char *version)
{
    const json_t *probability = json_object_get(engine->bad_versions, version);
    struct sl_random random = {SlHash_Bytes(0, SlStr_FromC(id))};
    return SlRandom_Unit(&random) < json_number_value(probability);
}

static struct sl_fake_run *
new_run(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    struct sl_fake_run *run = g_new0(struct sl_fake_run, 1);
    const char *priority = SlFake_Header(request, "Engine-Priority");
    run->engine = engine;
    run->request = request;
    run->timer = evtimer_new(SlFake_Base(engine->server), on_tick, run);
    run->id = SlFake_Header(request, "Engine-Request");
    run->version = SlFake_Header(request, "Engine-Version");
    run->priority = priority == NULL ? 0 : g_ascii_strtoll(priority, NULL, 10);
    run->words = g_strsplit_set(g_strstrip(request->body), " \t\r\n", -1);
    run->word_count = g_strv_length(run->words);
    run->tokens = MIN(engine->tokens, Sl_ENGINE_MAX_TOKENS);
    run->bad = is_bad(engine, run->id, run->version);
    return run;
}

/* ---- helpers: requests ---- */

static void
serve_run(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    const char *version = SlFake_Header(request, "Engine-Version");
    if (SlFake_Header(request, "Engine-Request") == NULL || version == NULL) {
        SlFake_AnswerError(request, HTTP_BADREQUEST,
                           "no Engine-Request or no Engine-Version");
    }
    else if (json_object_get(engine->versions, version) == NULL) {
        SlFake_AnswerError(request, 409, "version not loaded");
    }
    else if (engine->running->len < engine->capacity) {
        start_run(new_run(engine, request));
    }
    else if (engine->waiting->len < engine->queue) {
        put_in_queue(new_run(engine, request));
    }
    else {
        engine->refused++;
        SlFake_SetHeader(request, "Retry-After", "1");
        SlFake_AnswerError(request, HTTP_SERVUNAVAIL, "over capacity");
    }
}

static struct sl_fake_run *
find_run(const GPtrArray *runs, const char *id)
{
    for (guint i = 0; i < runs->len; i++) {
        struct sl_fake_run *run = runs->pdata[i];
        if (strcmp(run->id, id) == 0) {
            return run;
        }
    }
    return NULL;
}

static void
serve_cancel(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    const json_t *body = SlFake_Json(request);
    if (body == NULL) {
        return;
    }
    const char *id = json_string_value(json_object_get(body, "request"));
    if (id == NULL) {
        SlFake_AnswerError(request, HTTP_BADREQUEST,
                           "request must be a string");
        return;
    }
    struct sl_fake_run *run = find_run(engine->running, id);
    if (run == NULL) {
        run = find_run(engine->waiting, id);
    }
    bool found = run != NULL;
    if (found) {
        mark(run, "cancelled");
        cut_run(run);
    }
    SlFake_Answer(request, HTTP_OK, json_pack("{s:b}", "cancelled", found));
}

static json_t *
list_versions(const struct sl_fake_engine *engine)
{
    json_t *list = json_array();
    const char *version;
    json_t *value;
    json_object_foreach(engine->versions, version, value)
    {
        json_array_append_new(list, json_string(version));
    }
    return list;
}

static json_t *
load_of(struct sl_fake_engine *engine)
{
    int64_t now_ms = SlFake_NowMs();
    if (engine->load == NULL ||
        now_ms - engine->load_at_ms >= engine->load_lag_ms) {
        json_decref(engine->load);
        engine->load_at_ms = now_ms;
        engine->load = json_pack(
            "{s:s,s:I,s:I,s:I,s:f,s:o,s:I}", "boot", engine->boot, "running",
            (json_int_t)engine->running->len, "waiting",
            (json_int_t)engine->waiting->len, "capacity",
            (json_int_t)engine->capacity, "warm", warmth(engine), "versions",
            list_versions(engine), "fence", (json_int_t)engine->fence);
    }
    return json_incref(engine->load);
}

static enum sl_errno
read_order(const json_t *order, struct sl_name *op, struct sl_name *version,
           int64_t *fence, struct sl_error *err)
{
    static const char *const keys[] = {"op", "version", "fence", NULL};
    const struct sl_json_int_rule rule = {0, INT64_MAX, 0, true};
    Sl_TRY(SlJson_CheckKeys(order, keys, "order", err));
    Sl_TRY(SlJson_Name(order, "op", true, "order", op, err));
    Sl_TRY(SlJson_Name(order, "version", true, "order", version, err));
    Sl_TRY(SlJson_Int(order, "fence", &rule, "order", fence, err));
    if (strcmp(op->text, "load") != 0 && strcmp(op->text, "unload") != 0) {
        return SlError_Set(err, Sl_ERR_INVALID, "engine.order", NULL,
                           "order: \"op\" is neither load nor unload");
    }
    return Sl_OK;
}

static void
serve_order(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    struct sl_error err;
    struct sl_name op;
    struct sl_name version;
    int64_t fence;
    const json_t *order = SlFake_Json(request);
    if (order == NULL) {
        return;
    }
    if (read_order(order, &op, &version, &fence, &err) != Sl_OK) {
        SlFake_AnswerError(request, HTTP_BADREQUEST, "%s", err.text);
        return;
    }
    if (engine->fencing && fence < engine->fence) {
        SlFake_AnswerError(request, 412, "fence is below %" G_GINT64_FORMAT,
                           (gint64)engine->fence);
        return;
    }
    engine->fence = MAX(engine->fence, fence);
    if (strcmp(op.text, "load") == 0) {
        json_object_set_new(engine->versions, version.text, json_true());
    }
    else {
        json_object_del(engine->versions, version.text);
    }
    SlFake_Answer(request, HTTP_OK,
                  json_pack("{s:I}", "fence", (json_int_t)engine->fence));
}

static json_t *
stats_of(const struct sl_fake_engine *engine)
{
    return json_pack("{s:O,s:I,s:I,s:I,s:I,s:I}", "ran", engine->ran,
                     "overloads", (json_int_t)engine->overloads, "max_running",
                     (json_int_t)engine->max_running, "refused",
                     (json_int_t)engine->refused, "running",
                     (json_int_t)engine->running->len, "waiting",
                     (json_int_t)engine->waiting->len);
}

static void
start_cold(struct sl_fake_engine *engine)
{
    engine->cold_since_ms = engine->cold ? INT64_MAX : SlFake_NowMs();
}

static void
cut_all(GPtrArray *runs)
{
    while (runs->len > 0) {
        cut_run(g_ptr_array_steal_index(runs, 0));
    }
}

static void
restart(struct sl_fake_engine *engine)
{
    g_free(engine->boot);
    engine->boot = SlFake_NewBoot();
    start_cold(engine);
    cut_all(engine->waiting);
    cut_all(engine->running);
}

static void
serve_control(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    if (SlFake_Is(request, "POST", "/restart")) {
        restart(engine);
    }
    else if (SlFake_Is(request, "POST", "/cold")) {
        start_cold(engine);
    }
    SlFake_Answer(request, HTTP_OK, stats_of(engine));
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_engine *engine = context;
    if (request->control) {
        serve_control(engine, request);
    }
    else if (SlFake_Is(request, "GET", "/load")) {
        SlFake_Answer(request, HTTP_OK, load_of(engine));
    }
    else if (strcmp(request->method, "POST") != 0) {
        SlFake_AnswerError(request, HTTP_NOTFOUND, "no such path");
    }
    else if (strcmp(request->path, "/cancel") == 0) {
        serve_cancel(engine, request);
    }
    else if (strcmp(request->path, "/orders") == 0) {
        serve_order(engine, request);
    }
    else {
        serve_run(engine, request);
    }
}

/* ---- helpers: start and stop ---- */

/* An engine that is no longer kept cold starts to get warm now. */
static void
on_changed(void *context)
{
    struct sl_fake_engine *engine = context;
    if (engine->cold || engine->cold_since_ms == INT64_MAX) {
        start_cold(engine);
    }
    start_waiting(engine);
}

static enum sl_errno
open_engine(void *context, struct sl_fake_server *server, struct sl_error *err)
{
    (void)err;
    struct sl_fake_engine *engine = context;
    const char *list = engine->version_list;
    char **names = g_strsplit(list == NULL ? "" : list, ",", -1);
    for (size_t i = 0; names[i] != NULL; i++) {
        json_object_set_new(engine->versions, names[i], json_true());
    }
    g_strfreev(names);
    engine->server = server;
    engine->boot = SlFake_NewBoot();
    start_cold(engine);
    return Sl_OK;
}

static void
free_runs(GPtrArray *runs)
{
    for (guint i = 0; i < runs->len; i++) {
        free_run(runs->pdata[i]);
    }
    g_ptr_array_unref(runs);
}

static void
close_engine(void *context)
{
    struct sl_fake_engine *engine = context;
    free_runs(engine->running);
    free_runs(engine->waiting);
}

static int
run_engine(int argc, char **argv, struct sl_fake_engine *engine)
{
    const struct sl_fake_field fields[] = {
        {"ttft_ms", Sl_FAKE_INT, &engine->ttft_ms},
        {"token_ms", Sl_FAKE_INT, &engine->token_ms},
        {"tokens", Sl_FAKE_INT, &engine->tokens},
        {"capacity", Sl_FAKE_INT, &engine->capacity},
        {"queue", Sl_FAKE_INT, &engine->queue},
        {"cold_capacity", Sl_FAKE_INT, &engine->cold_capacity},
        {"warm_ms", Sl_FAKE_INT, &engine->warm_ms},
        {"cold", Sl_FAKE_BOOL, &engine->cold},
        {"load_lag_ms", Sl_FAKE_INT, &engine->load_lag_ms},
        {"fencing", Sl_FAKE_BOOL, &engine->fencing},
        {"bad_versions", Sl_FAKE_OBJECT, &engine->bad_versions},
        {"cut_after", Sl_FAKE_INT, &engine->cut_after},
        {"stall_after", Sl_FAKE_INT, &engine->stall_after},
        {"crossed", Sl_FAKE_BOOL, &engine->crossed},
        {0},
    };
    const GOptionEntry options[] = {{"versions", 0, 0, G_OPTION_ARG_STRING,
                                     &engine->version_list,
                                     "Versions loaded at the start", "V,..."},
                                    {0}};
    const char *const control[] = {"GET /stats", "POST /restart", "POST /cold",
                                   NULL};
    const struct sl_fake_spec spec = {
        .summary = "Stand-in for a model engine.",
        .context = engine,
        .fields = fields,
        .options = options,
        .control = control,
        .open = open_engine,
        .serve = serve,
        .changed = on_changed,
        .close = close_engine,
    };
    return SlFake_Main(argc, argv, &spec);
}

/* ---- public ---- */

int
main(int argc, char **argv)
{
    struct sl_fake_engine engine = {
        .ttft_ms = 10,
        .token_ms = 2,
        .tokens = 8,
        .capacity = 16,
        .queue = 16,
        .cold_capacity = 2,
        .bad_versions = json_object(),
        .versions = json_object(),
        .running = g_ptr_array_new(),
        .waiting = g_ptr_array_new(),
        .ran = json_array(),
    };
    int result = run_engine(argc, argv, &engine);
    json_decref(engine.bad_versions);
    json_decref(engine.versions);
    json_decref(engine.load);
    json_decref(engine.ran);
    g_free(engine.version_list);
    g_free(engine.boot);
    return result;
}
