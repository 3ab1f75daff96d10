/*
 * Fake model engine: streams a response of `tokens` tokens, one per timer
 * tick. The first token is "VERSION:"; after it, spaces and words of the
 * request body alternate. Requests with a larger Engine-Priority leave the
 * queue first. A run is the execution of one request.
 *
 * Option: --versions a,b   versions loaded at start
 * Settings:
 *   ttft_ms, token_ms      time to the first token and between tokens
 *   tokens                 tokens of a response
 *   capacity               concurrent runs
 *   queue                  queued requests; beyond it, 503
 *   cold_capacity          concurrent runs that a cold engine serves at full
 *                          speed; a further run is accepted, makes all runs
 *                          ten times slower and is counted in `overloads`
 *   warm_ms                time from start until the engine is warm
 *   cold                   keeps the engine cold
 *   load_lag_ms            maximum age of the cached response of /load
 *   fencing                rejects orders whose fencing number is too low
 *   bad_versions           {version: probability} that the text of a response
 *                          contains "BAD"
 *   cut_after              closes the connection after N tokens; 0 never
 *   stall_after            keeps it open but sends nothing after N tokens; 0
 *                          never
 *   crossed                responses carry a wrong Engine-Request id
 * Control requests: GET /stats; POST /restart changes the boot id, aborts all
 * runs and makes the engine cold; POST /cold only makes it cold.
 */
#include "common.h"

#include <event2/buffer.h>
#include <string.h>

#define Sl_ENGINE_COLD_SLOWDOWN 10 /* factor on the time per token */
/* Interval at which a queued request checks whether its client has left. */
#define Sl_ENGINE_QUEUE_POLL_MS 10
#define Sl_ENGINE_TICK_MIN_MS 1
#define Sl_ENGINE_TOKENS_MAX 100000

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
    int64_t highest_fence; /* highest fencing number of an order so far */
    int64_t cold_since_ms; /* INT64_MAX while `cold` is set */
    GPtrArray *running;    /* struct sl_fake_run *, borrowed */
    GPtrArray *waiting;    /* the same, in the order of their start */
    json_t *cached_load;   /* last response of /load, or NULL */
    int64_t load_cached_ms;
    json_t *run_log; /* array of the run entries of /stats */
    int64_t overloads;
    int64_t max_running;
    int64_t refused;
};

/* A request that is queued or running. */
struct sl_fake_run {
    struct sl_fake_engine *engine;
    struct sl_fake_request *request;
    struct event *timer;
    const char *id;      /* owned by the request's headers */
    const char *version; /* the same */
    int64_t priority;
    char **words;
    guint word_count;
    int64_t tokens;
    int64_t tokens_sent;
    bool has_bad_output;
    bool is_response_lost; /* executed without a response */
    json_t *stats_entry;   /* in `run_log`, borrowed; NULL while queued */
};

/* ---- helpers: warm-up ---- */

/* From 0 (cold) to 1 (warm), linear in the time since the engine got cold. */
static double
warm_fraction(const struct sl_fake_engine *engine)
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
    return engine->running->len > engine->cold_capacity &&
           warm_fraction(engine) < 1;
}

/* ---- helpers: runs ---- */

static struct sl_str
next_token(const struct sl_fake_run *run, struct sl_buf *out)
{
    int64_t index = run->tokens_sent;
    SlBuf_Clear(out);
    if (index == 0) {
        SlBuf_Printf(out, "%s:", run->version);
    }
    else if (index == 1 && run->has_bad_output) {
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
send_chunk(const struct sl_fake_run *run, const struct sl_buf *line)
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
    SlBuf_AppendJson(&line, next_token(run, &text));
    SlBuf_AppendC(&line, "}\n\n");
    if (!run->is_response_lost) {
        send_chunk(run, &line);
    }
    run->tokens_sent++;
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
set_stats_flag(const struct sl_fake_run *run, const char *key)
{
    if (run->stats_entry != NULL) {
        json_object_set_new(run->stats_entry, key, json_true());
    }
}

static void start_waiting_runs(struct sl_fake_engine *engine);

static void
end_run(struct sl_fake_run *run)
{
    struct sl_fake_engine *engine = run->engine;
    g_ptr_array_remove(engine->running, run);
    g_ptr_array_remove(engine->waiting, run);
    free_run(run);
    start_waiting_runs(engine);
}

/* Ends a run without the end of its response. */
static void
abort_run(struct sl_fake_run *run)
{
    SlFake_Drop(run->request);
    end_run(run);
}

static void
complete_run(struct sl_fake_run *run)
{
    struct sl_buf line = {0};
    set_stats_flag(run, "done");
    if (run->is_response_lost) {
        abort_run(run);
        return;
    }
    SlBuf_AppendC(&line, "data: [DONE]\n\n");
    send_chunk(run, &line);
    SlBuf_Free(&line);
    evhttp_send_reply_end(run->request->http);
    SlFake_FreeRequest(run->request);
    end_run(run);
}

static void
schedule_tick(struct sl_fake_run *run, int64_t ms)
{
    struct timeval wait = SlFake_MsToTimeval(MAX(ms, Sl_ENGINE_TICK_MIN_MS));
    event_add(run->timer, &wait);
}

/* True after `limit` tokens; never for a limit of 0. */
static bool
has_sent_tokens(int64_t limit, const struct sl_fake_run *run)
{
    return limit != 0 && run->tokens_sent >= limit;
}

static void
advance_run(struct sl_fake_run *run)
{
    const struct sl_fake_engine *engine = run->engine;
    int64_t slowdown = is_overloaded(engine) ? Sl_ENGINE_COLD_SLOWDOWN : 1;
    if (has_sent_tokens(engine->cut_after, run)) {
        abort_run(run);
        return;
    }
    bool is_stalled = has_sent_tokens(engine->stall_after, run);
    if (!is_stalled && run->tokens_sent < run->tokens) {
        send_token(run);
    }
    bool is_held = is_stalled || has_sent_tokens(engine->cut_after, run) ||
                   has_sent_tokens(engine->stall_after, run);
    if (!is_held && run->tokens_sent >= run->tokens) {
        complete_run(run);
        return;
    }
    schedule_tick(run, engine->token_ms * slowdown);
}

/* Checks for a disconnected client; sends the next token of a run. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    struct sl_fake_run *run = arg;
    if (SlFake_IsDisconnected(run->request)) {
        set_stats_flag(run, "cancelled");
        abort_run(run);
    }
    else if (run->stats_entry == NULL) {
        schedule_tick(run, Sl_ENGINE_QUEUE_POLL_MS);
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
    run->stats_entry =
        json_pack("{s:s,s:s,s:b,s:b}", "request", run->id, "version",
                  run->version, "done", 0, "cancelled", 0);
    json_array_append_new(engine->run_log, run->stats_entry);
    g_ptr_array_add(engine->running, run);
    engine->max_running = MAX(engine->max_running, engine->running->len);
    if (is_overloaded(engine)) {
        engine->overloads++;
    }
    run->is_response_lost = SlFake_ConsumeLostResponse(run->request);
    if (!run->is_response_lost) {
        send_start(run);
    }
    int64_t slowdown = is_overloaded(engine) ? Sl_ENGINE_COLD_SLOWDOWN : 1;
    schedule_tick(run,
                  engine->ttft_ms * slowdown + SlFake_DelayMs(engine->server));
}

static void
start_waiting_runs(struct sl_fake_engine *engine)
{
    while (engine->waiting->len > 0 &&
           engine->running->len < engine->capacity) {
        struct sl_fake_run *run = g_ptr_array_steal_index(engine->waiting, 0);
        start_run(run);
    }
}

static void
enqueue_run(struct sl_fake_run *run)
{
    GPtrArray *waiting = run->engine->waiting;
    gint position = 0;
    while (position < (gint)waiting->len) {
        const struct sl_fake_run *other = waiting->pdata[position];
        if (other->priority < run->priority) {
            break;
        }
        position++;
    }
    g_ptr_array_insert(waiting, position, run);
    schedule_tick(run, Sl_ENGINE_QUEUE_POLL_MS);
}

/* The random number is a hash of the id, so that reruns of a test agree. */
static bool
draw_bad_output(const struct sl_fake_engine *engine, const char *id,
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
    run->timer = evtimer_new(SlFake_EventBase(engine->server), on_tick, run);
    run->id = SlFake_Header(request, "Engine-Request");
    run->version = SlFake_Header(request, "Engine-Version");
    run->priority = priority == NULL ? 0 : g_ascii_strtoll(priority, NULL, 10);
    run->words = g_strsplit_set(g_strstrip(request->body), " \t\r\n", -1);
    run->word_count = g_strv_length(run->words);
    run->tokens = MIN(engine->tokens, Sl_ENGINE_TOKENS_MAX);
    run->has_bad_output = draw_bad_output(engine, run->id, run->version);
    return run;
}

/* ---- helpers: requests ---- */

static void
serve_run(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    const char *version = SlFake_Header(request, "Engine-Version");
    if (SlFake_Header(request, "Engine-Request") == NULL || version == NULL) {
        SlFake_RespondError(request, HTTP_BADREQUEST,
                            "no Engine-Request or no Engine-Version");
    }
    else if (json_object_get(engine->versions, version) == NULL) {
        SlFake_RespondError(request, 409, "version not loaded");
    }
    else if (engine->running->len < engine->capacity) {
        start_run(new_run(engine, request));
    }
    else if (engine->waiting->len < engine->queue) {
        enqueue_run(new_run(engine, request));
    }
    else {
        engine->refused++;
        SlFake_SetHeader(request, "Retry-After", "1");
        SlFake_RespondError(request, HTTP_SERVUNAVAIL, "over capacity");
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
    const json_t *body = SlFake_ParseJson(request);
    if (body == NULL) {
        return;
    }
    const char *id = json_string_value(json_object_get(body, "request"));
    if (id == NULL) {
        SlFake_RespondError(request, HTTP_BADREQUEST,
                            "request must be a string");
        return;
    }
    struct sl_fake_run *run = find_run(engine->running, id);
    if (run == NULL) {
        run = find_run(engine->waiting, id);
    }
    bool found = run != NULL;
    if (found) {
        set_stats_flag(run, "cancelled");
        abort_run(run);
    }
    SlFake_Respond(request, HTTP_OK, json_pack("{s:b}", "cancelled", found));
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
load_to_json(struct sl_fake_engine *engine)
{
    int64_t now_ms = SlFake_NowMs();
    if (engine->cached_load == NULL ||
        now_ms - engine->load_cached_ms >= engine->load_lag_ms) {
        json_decref(engine->cached_load);
        engine->load_cached_ms = now_ms;
        engine->cached_load =
            json_pack("{s:s,s:I,s:I,s:I,s:f,s:o,s:I}", "boot", engine->boot,
                      "running", (json_int_t)engine->running->len, "waiting",
                      (json_int_t)engine->waiting->len, "capacity",
                      (json_int_t)engine->capacity, "warm",
                      warm_fraction(engine), "versions", list_versions(engine),
                      "fence", (json_int_t)engine->highest_fence);
    }
    return json_incref(engine->cached_load);
}

static enum sl_errno
parse_order(const json_t *order, struct sl_name *op, struct sl_name *version,
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
    const json_t *order = SlFake_ParseJson(request);
    if (order == NULL) {
        return;
    }
    if (parse_order(order, &op, &version, &fence, &err) != Sl_OK) {
        SlFake_RespondError(request, HTTP_BADREQUEST, "%s", err.text);
        return;
    }
    if (engine->fencing && fence < engine->highest_fence) {
        SlFake_RespondError(request, 412, "fence is below %" G_GINT64_FORMAT,
                            (gint64)engine->highest_fence);
        return;
    }
    engine->highest_fence = MAX(engine->highest_fence, fence);
    if (strcmp(op.text, "load") == 0) {
        json_object_set_new(engine->versions, version.text, json_true());
    }
    else {
        json_object_del(engine->versions, version.text);
    }
    SlFake_Respond(
        request, HTTP_OK,
        json_pack("{s:I}", "fence", (json_int_t)engine->highest_fence));
}

static json_t *
stats_to_json(const struct sl_fake_engine *engine)
{
    return json_pack("{s:O,s:I,s:I,s:I,s:I,s:I}", "ran", engine->run_log,
                     "overloads", (json_int_t)engine->overloads, "max_running",
                     (json_int_t)engine->max_running, "refused",
                     (json_int_t)engine->refused, "running",
                     (json_int_t)engine->running->len, "waiting",
                     (json_int_t)engine->waiting->len);
}

static void
restart_warm_up(struct sl_fake_engine *engine)
{
    engine->cold_since_ms = engine->cold ? INT64_MAX : SlFake_NowMs();
}

static void
abort_runs(GPtrArray *runs)
{
    while (runs->len > 0) {
        abort_run(g_ptr_array_steal_index(runs, 0));
    }
}

static void
restart(struct sl_fake_engine *engine)
{
    g_free(engine->boot);
    engine->boot = SlFake_NewBootId();
    restart_warm_up(engine);
    abort_runs(engine->waiting);
    abort_runs(engine->running);
}

static void
serve_control(struct sl_fake_engine *engine, struct sl_fake_request *request)
{
    if (SlFake_Matches(request, "POST", "/restart")) {
        restart(engine);
    }
    else if (SlFake_Matches(request, "POST", "/cold")) {
        restart_warm_up(engine);
    }
    SlFake_Respond(request, HTTP_OK, stats_to_json(engine));
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_engine *engine = context;
    if (request->is_control) {
        serve_control(engine, request);
    }
    else if (SlFake_Matches(request, "GET", "/load")) {
        SlFake_Respond(request, HTTP_OK, load_to_json(engine));
    }
    else if (strcmp(request->method, "POST") != 0) {
        SlFake_RespondError(request, HTTP_NOTFOUND, "no such path");
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

/* Starts the warm-up when `cold` was cleared; uses added capacity. */
static void
on_changed(void *context)
{
    struct sl_fake_engine *engine = context;
    if (engine->cold || engine->cold_since_ms == INT64_MAX) {
        restart_warm_up(engine);
    }
    start_waiting_runs(engine);
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
    engine->boot = SlFake_NewBootId();
    restart_warm_up(engine);
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
    const struct sl_fake_setting settings[] = {
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
                                     "Versions loaded at start", "V,..."},
                                    {0}};
    const char *const control_patterns[] = {"GET /stats", "POST /restart",
                                            "POST /cold", NULL};
    const struct sl_fake_spec spec = {
        .summary = "Fake model engine.",
        .context = engine,
        .settings = settings,
        .options = options,
        .control_patterns = control_patterns,
        .open = open_engine,
        .serve = serve,
        .on_faults_changed = on_changed,
        .close = close_engine,
    };
    return SlFake_RunMain(argc, argv, &spec);
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
        .run_log = json_array(),
    };
    int result = run_engine(argc, argv, &engine);
    json_decref(engine.bad_versions);
    json_decref(engine.versions);
    json_decref(engine.cached_load);
    json_decref(engine.run_log);
    g_free(engine.version_list);
    g_free(engine.boot);
    return result;
}
