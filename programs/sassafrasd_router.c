/* The shell of `sassafrasd --role router`. */
#include "sassafrasd_router_internal.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* ---- limits ---- */

/* Descriptors kept for files, the store, upstreams and peers; callers get the
 * rest, at most half. */
#define Sl_RESERVED_FDS 300
/* Unsent bytes of one answer whose caller does not read. */
#define Sl_MAX_UNSENT_BYTES ((size_t)512 * 1024)
/* Idle connections to upstreams: kept shortly, as upstreams may close them
 * without notice. */
#define Sl_MAX_IDLE_US Sl_US_PER_S
#define Sl_MAX_IDLE_PER_ADDRESS 4
/* Log lines that wait for the reader of standard output. */
#define Sl_LOG_BUFFER_BYTES ((size_t)1024 * 1024)
#define Sl_LOG_FLUSH_US (200 * Sl_US_PER_MS)
#define Sl_LOG_FLUSH_FILL 0.02
/* Time for callers to take the last answers when the process leaves; a part
 * of what the reducer leaves of the grace time. */
#define Sl_LAST_WRITES_US (300 * Sl_US_PER_MS)
#define Sl_LEAVE_CHECK_US (20 * Sl_US_PER_MS)
/* One in so many bytes of the process's memory may be answers in hand. */
#define Sl_KEPT_PART 4
#define Sl_BYTES_PER_MB ((size_t)1024 * 1024)
/* The balancer's checks: short requests on a few connections. */
static const struct sl_server_limits ready_limits = {
    .max_header_bytes = 8192,
    .max_body_bytes = 8192,
    .header_timeout_us = 3 * Sl_US_PER_S,
    .idle_timeout_us = 30 * Sl_US_PER_S,
    .max_connections = 32,
    .max_unsent_bytes = Sl_MAX_UNSENT_BYTES,
};

enum sl_exit {
    Sl_EXIT_OK = 0,
    Sl_EXIT_SETTINGS = 1,
    Sl_EXIT_START = 3,
};

/* A call to an upstream: its token, by the client's handle and back. */
struct sl_router_call {
    struct sl_router_runtime *shell;
    uint64_t token;
    uint64_t handle;
};

/* ---- time ---- */

/* Goes on while the VM is suspended: what was believed before it must look
 * old afterwards. */
static int64_t
steady_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * Sl_US_PER_S + now.tv_nsec / 1000;
}

static int64_t
wall_ms(void)
{
    return g_get_real_time() / 1000;
}

/* ---- log ---- */

void
SlRouterRuntime_LogRequest(struct sl_router_runtime *shell,
                           enum sl_log_level level, uint64_t request,
                           enum sl_log_end end, struct sl_str fields)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    if (level < shell->level) {
        return;
    }
    SlBuf_Clear(&shell->line);
    SlBuf_Printf(&shell->line,
                 "{\"time_ms\":%" G_GINT64_FORMAT
                 ",\"level\":\"%s\",\"vm\":\"%s\",",
                 (gint64)wall_ms(), names[level], shell->settings.vm.text);
    SlBuf_Append(&shell->line, fields);
    SlBuf_AppendC(&shell->line, "}\n");
    SlLogSampler_Write(shell->sampler, request, end, SlBuf_Str(&shell->line));
    if (SlLogSink_Fill(shell->sink) > Sl_LOG_FLUSH_FILL) {
        SlLogSink_Flush(shell->sink);
    }
    else if (!event_pending(shell->flush, EV_TIMEOUT, NULL)) {
        const struct timeval after = {0, Sl_LOG_FLUSH_US};
        event_add(shell->flush, &after);
    }
}

void
SlRouterRuntime_Log(struct sl_router_runtime *shell, enum sl_log_level level,
                    struct sl_str fields)
{
    SlRouterRuntime_LogRequest(shell, level, 0, Sl_LOG_GOES_ON, fields);
}

static void
on_flush(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_runtime *shell = context;
    (void)fd;
    (void)what;
    SlLogSink_Flush(shell->sink);
}

/* ---- events ---- */

static void perform(struct sl_router_runtime *shell,
                    const struct sl_router_effect *effect);

static void
arm_timer(struct sl_router_runtime *shell)
{
    int64_t due = SlRouter_NextDue(shell->router);
    if (due == Sl_NEVER_US) {
        event_del(shell->timer);
        return;
    }
    int64_t after = MAX(due - steady_us(), 0);
    struct timeval wait = {after / Sl_US_PER_S, after % Sl_US_PER_S};
    event_add(shell->timer, &wait);
}

void
SlRouterRuntime_Dispatch(struct sl_router_runtime *shell,
                         struct sl_router_event *event)
{
    event->now_us = steady_us();
    event->wall_ms = wall_ms();
    g_assert(!shell->busy);
    shell->busy = true;
    SlRouterEffects_Clear(shell->effects);
    SlRouter_Reduce(shell->router, event, shell->effects);
    for (size_t i = 0; i < SlRouterEffects_Count(shell->effects); i++) {
        perform(shell, SlRouterEffects_At(shell->effects, i));
    }
    shell->busy = false;
    arm_timer(shell);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_event event = {.type = Sl_REV_TICK};
    (void)fd;
    (void)what;
    SlRouterRuntime_Dispatch(context, &event);
}

static void
on_terminate(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_event event = {.type = Sl_REV_DRAIN};
    (void)fd;
    (void)what;
    SlRouterRuntime_Dispatch(context, &event);
}

static bool load_settings(struct sl_platform_settings *settings);

/* Bounds may change while the process runs; addresses may not. */
static void
on_reload(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_runtime *shell = context;
    struct sl_platform_settings settings;
    struct sl_router_event event = {.type = Sl_REV_BOUNDS};
    (void)fd;
    (void)what;
    if (!load_settings(&settings)) {
        SlRouterRuntime_Log(shell, Sl_LOG_ERROR,
                            Sl_STR("\"event\":\"reload_failed\""));
        return;
    }
    event.u.bounds = settings.bounds;
    SlRouterRuntime_Dispatch(shell, &event);
}

/* ---- callers ---- */

static void
on_request(void *context, uint64_t conn, const struct sl_head *head,
           struct sl_str body)
{
    struct sl_router_runtime *shell = context;
    struct sl_router_event event = {.type = Sl_REV_REQUEST};
    SlBuf_Clear(&shell->relay);
    SlPlatform_DecodeRequest(head, body, &shell->relay, &event.u.ask);
    event.u.ask.conn = conn;
    SlRouterRuntime_Dispatch(shell, &event);
}

static void
on_caller_gone(void *context, uint64_t conn)
{
    struct sl_router_event event = {.type = Sl_REV_CALLER_GONE};
    event.u.conn = conn;
    SlRouterRuntime_Dispatch(context, &event);
}

static void
count_left_out(struct sl_router_runtime *shell)
{
    uint64_t sampled = SlLogSampler_LeftOut(shell->sampler);
    uint64_t full = SlLogSink_LeftOut(shell->sink);
    SlRouter_CountLeftOut(shell->router, "sampled",
                          sampled - shell->sampled_counted);
    SlRouter_CountLeftOut(shell->router, "full", full - shell->full_counted);
    shell->sampled_counted = sampled;
    shell->full_counted = full;
}

static void
on_check(void *context, uint64_t conn, const struct sl_head *head,
         struct sl_str body)
{
    struct sl_router_runtime *shell = context;
    bool known = SlStr_Equal(head->target, Sl_STR(Sl_PLATFORM_READY_PATH));
    int status = !known ? 404 : SlRouter_IsReady(shell->router) ? 200 : 503;
    (void)body;
    SlServer_Reply(shell->checks, conn, status, Sl_STR(""), Sl_STR(""));
}

/* Metrics, and the state in short. */
static void
on_metrics(void *context, uint64_t conn, const struct sl_head *head,
           struct sl_str body)
{
    struct sl_router_runtime *shell = context;
    struct sl_buf text = {0};
    struct sl_str type = Sl_STR("Content-Type: text/plain; version=0.0.4\r\n");
    int status = 200;
    (void)body;
    if (SlStr_Equal(head->target, Sl_STR("/metrics"))) {
        count_left_out(shell);
        SlRouter_MetricsText(shell->router, &text);
    }
    else if (SlStr_Equal(head->target, Sl_STR("/state"))) {
        type = Sl_STR("Content-Type: application/json\r\n");
        SlRouter_Dump(shell->router, &text);
    }
    else {
        status = 404;
    }
    SlServer_Reply(shell->metrics, conn, status, type, SlBuf_Str(&text));
    SlBuf_Free(&text);
}

static void
on_check_gone(void *context, uint64_t conn)
{
    (void)context;
    (void)conn;
}

static void
reply_own(struct sl_router_runtime *shell, const struct sl_fx_reply *reply)
{
    struct sl_buf headers = {0};
    struct sl_buf body = {0};
    SlBuf_AppendC(&headers, "Content-Type: application/json\r\n");
    if (reply->retry_after_us > 0) {
        char seconds[G_ASCII_DTOSTR_BUF_SIZE];
        g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
                        (double)reply->retry_after_us / (double)Sl_US_PER_S);
        SlBuf_Printf(&headers, "Retry-After: %s\r\n", seconds);
    }
    SlBuf_Printf(&body,
                 "{\"outcome\":\"%s\",\"step\":\"%s\",\"peer\":\"%s\","
                 "\"error\":\"%s\",\"retry_after_ms\":%" G_GINT64_FORMAT "}\n",
                 reply->outcome, reply->step, shell->settings.vm.text,
                 reply->reason,
                 (gint64)(reply->retry_after_us / Sl_US_PER_MS));
    SlServer_Reply(shell->callers, reply->conn, reply->status,
                   SlBuf_Str(&headers), SlBuf_Str(&body));
    SlBuf_Free(&headers);
    SlBuf_Free(&body);
}

static struct sl_server_limits
caller_limits(const struct sl_router_runtime *shell,
              const struct sl_caller_limits *limits)
{
    int64_t fds = shell->settings.max_fds - Sl_RESERVED_FDS;
    struct sl_server_limits out = {
        .max_header_bytes = (size_t)limits->max_header_bytes,
        .max_body_bytes = (size_t)limits->max_body_bytes,
        .header_timeout_us = limits->header_timeout_us,
        .idle_timeout_us = limits->idle_timeout_us,
        .max_connections = (size_t)MAX(fds / 2, 16),
        .max_unsent_bytes = Sl_MAX_UNSENT_BYTES,
    };
    return out;
}

/* ---- upstreams ---- */

static void
on_answer_head(void *context, uint64_t handle, const struct sl_head *head)
{
    struct sl_router_call *call = context;
    struct sl_answer_head answer;
    struct sl_router_event event = {.type = Sl_REV_ANSWER_HEAD};
    (void)handle;
    SlBuf_Clear(&call->shell->relay);
    SlPlatform_DecodeResponse(head, &call->shell->relay, &answer);
    event.u.answer.token = call->token;
    event.u.answer.head = &answer;
    SlRouterRuntime_Dispatch(call->shell, &event);
}

static void
on_answer_piece(void *context, uint64_t handle, struct sl_str bytes)
{
    struct sl_router_call *call = context;
    struct sl_router_event event = {.type = Sl_REV_ANSWER_PIECE};
    (void)handle;
    event.u.answer.token = call->token;
    event.u.answer.bytes = bytes;
    SlRouterRuntime_Dispatch(call->shell, &event);
}

static void
on_answer_done(void *context, uint64_t handle, const struct sl_error *err,
               const struct sl_client_end *end)
{
    struct sl_router_call *call = context;
    struct sl_router_runtime *shell = call->shell;
    struct sl_router_event event = {.type = Sl_REV_ANSWER_DONE, .err = err};
    (void)handle;
    event.u.answer.token = call->token;
    event.u.answer.connected = end->connected;
    g_hash_table_remove(shell->calls, &call->token);
    SlRouterRuntime_Dispatch(shell, &event);
}

static void
start_call(struct sl_router_runtime *shell,
           const struct sl_fx_upstream_call *call)
{
    struct sl_router_call *kept = g_new0(struct sl_router_call, 1);
    struct sl_buf head = {0};
    SlPlatform_EncodeUpstreamRequest(call, &head);
    struct sl_client_call_options options = {
        .address = SlName_Str(&call->address),
        .peer = call->upstream.text,
        .step = "upstream.call",
        .head = SlBuf_Str(&head),
        .body = call->body,
        .fresh_connection = call->fresh_connection,
        .connect_timeout_us = call->connect_timeout_us,
        .echo_header = SlPlatform_RequestIdHeader,
        .echo_value = call->request_id,
        .handlers = {on_answer_head, on_answer_piece, on_answer_done, kept},
    };
    kept->shell = shell;
    kept->token = call->token;
    kept->handle = SlClient_Call(shell->client, &options);
    g_hash_table_insert(shell->calls, &kept->token, kept);
    SlBuf_Free(&head);
}

static void
cancel_call(struct sl_router_runtime *shell, uint64_t token)
{
    const struct sl_router_call *call =
        g_hash_table_lookup(shell->calls, &token);
    if (call != NULL) {
        SlClient_Cancel(shell->client, call->handle);
        g_hash_table_remove(shell->calls, &token);
    }
}

/* ---- health checks ---- */

static void
on_check_head(void *context, uint64_t handle, const struct sl_head *head)
{
    (void)context; /* a check asks nothing */
    (void)handle;
    (void)head;
}

static void
on_check_piece(void *context, uint64_t handle, struct sl_str bytes)
{
    (void)context;
    (void)handle;
    (void)bytes;
}

static void
on_check_done(void *context, uint64_t handle, const struct sl_error *err,
              const struct sl_client_end *end)
{
    struct sl_router_call *call = context;
    struct sl_router_runtime *shell = call->shell;
    struct sl_router_event event = {.type = Sl_REV_CHECKED};
    (void)handle;
    (void)err;
    event.u.checked.token = call->token;
    event.u.checked.is_reached = end->connected;
    g_hash_table_remove(shell->calls, &call->token);
    SlRouterRuntime_Dispatch(shell, &event);
}

static void
start_check(struct sl_router_runtime *shell,
            const struct sl_router_effect *effect)
{
    struct sl_router_call *kept = g_new0(struct sl_router_call, 1);
    struct sl_client_call_options options = {
        .address = SlName_Str(&effect->u.check.address),
        .peer = effect->u.check.upstream.text,
        .step = "upstream.check",
        .connect_only = true,
        .connect_timeout_us = effect->u.check.timeout_us,
        .handlers = {on_check_head, on_check_piece, on_check_done, kept},
    };
    kept->shell = shell;
    kept->token = effect->u.check.token;
    kept->handle = SlClient_Call(shell->client, &options);
    g_hash_table_insert(shell->calls, &kept->token, kept);
}

/* ---- store ---- */

static void
on_store_read(void *context, enum sl_feed feed, const struct sl_error *err,
              const struct sl_store_page *page)
{
    struct sl_router_event event = {.type = Sl_REV_FEED, .err = err};
    event.u.feed.feed = feed;
    if (page != NULL) {
        event.u.feed.snapshot = page->snapshot;
        event.u.feed.truncated = page->truncated;
        event.u.feed.end = page->end;
        event.u.feed.count = page->count;
        event.u.feed.records = page->records;
    }
    SlRouterRuntime_Dispatch(context, &event);
}

static void
on_store_appended(void *context, uint64_t token, const struct sl_error *err,
                  bool conflict, uint64_t end)
{
    struct sl_router_event event = {.type = Sl_REV_APPENDED, .err = err};
    event.u.appended.token = token;
    event.u.appended.conflict = conflict;
    event.u.appended.end = end;
    SlRouterRuntime_Dispatch(context, &event);
}

/* ---- end ---- */

/* Leaves when the last answers were taken by their callers. */
static void
on_leaving(evutil_socket_t fd, short what, void *context)
{
    static const struct timeval soon = {0, Sl_LEAVE_CHECK_US};
    struct sl_router_runtime *shell = context;
    (void)fd;
    (void)what;
    SlServer_CloseIdle(shell->callers);
    if (SlServer_Open(shell->callers) == 0 ||
        steady_us() >= shell->leave_by_us) {
        event_base_loopexit(shell->base, NULL);
    }
    else {
        event_base_once(shell->base, -1, EV_TIMEOUT, on_leaving, shell, &soon);
    }
}

/* ---- effects ---- */

static void
perform(struct sl_router_runtime *shell, const struct sl_router_effect *effect)
{
    switch (effect->type) {
    case Sl_RFX_CALL:
        start_call(shell, &effect->u.call);
        break;
    case Sl_RFX_CANCEL:
        cancel_call(shell, effect->u.token);
        break;
    case Sl_RFX_CHECK:
        start_check(shell, effect);
        break;
    case Sl_RFX_REPLY:
        if (effect->u.reply.is_own) {
            reply_own(shell, &effect->u.reply);
        }
        else {
            SlServer_Reply(shell->callers, effect->u.reply.conn,
                           effect->u.reply.status, effect->u.reply.headers,
                           effect->u.reply.body);
        }
        break;
    case Sl_RFX_BEGIN:
        SlServer_Begin(shell->callers, effect->u.reply.conn,
                       effect->u.reply.status, effect->u.reply.headers);
        break;
    case Sl_RFX_SEND:
        SlServer_Send(shell->callers, effect->u.send.conn,
                      effect->u.send.bytes);
        break;
    case Sl_RFX_FINISH:
        SlServer_Finish(shell->callers, effect->u.conn);
        break;
    case Sl_RFX_ABORT:
        SlServer_Abort(shell->callers, effect->u.conn);
        break;
    case Sl_RFX_LIMITS: {
        struct sl_server_limits limits =
            caller_limits(shell, &effect->u.limits);
        SlServer_SetLimits(shell->callers, &limits);
        break;
    }
    case Sl_RFX_READ_NEWEST:
        SlStore_ReadNewest(shell->store, effect->u.read.feed);
        break;
    case Sl_RFX_READ_ON:
        SlStore_ReadFrom(shell->store, effect->u.read.feed,
                         effect->u.read.from, effect->u.read.wait_us);
        break;
    case Sl_RFX_READ_CANCEL:
        SlStore_CancelReads(shell->store, effect->u.read.feed);
        break;
    case Sl_RFX_APPEND:
        SlStore_Append(shell->store, effect->u.append.feed,
                       effect->u.append.token, &effect->u.append.record,
                       effect->u.append.conditional ? &effect->u.append.at
                                                    : NULL);
        break;
    case Sl_RFX_GOSSIP:
    case Sl_RFX_INTRODUCE:
    case Sl_RFX_PULL:
    case Sl_RFX_PAGE:
        SlRouterPeers_Perform(shell->peers, effect);
        break;
    case Sl_RFX_LOG:
        SlRouterRuntime_LogRequest(shell, effect->u.line.level,
                                   effect->u.line.request, effect->u.line.end,
                                   effect->u.line.fields);
        break;
    case Sl_RFX_CLOSE_CONNS:
        SlServer_Drain(shell->callers);
        break;
    case Sl_RFX_STOP_ACCEPTING:
        SlServer_StopAccepting(shell->callers);
        SlServer_CloseIdle(shell->callers);
        break;
    case Sl_RFX_EXIT:
        shell->leave_by_us = steady_us() + Sl_LAST_WRITES_US;
        on_leaving(-1, 0, shell);
        break;
    default:
        g_assert_not_reached();
    }
}

/* ---- start ---- */

static uint64_t
random_number(void)
{
    uint64_t value = 0;
    evutil_secure_rng_get_bytes(&value, sizeof(value));
    return value;
}

static void
start_router(struct sl_router_runtime *shell)
{
    const struct sl_platform_settings *settings = &shell->settings;
    struct sl_router_options options = {
        .vm = settings->vm,
        .domain = settings->domain,
        .region = settings->region,
        .peer_address = SlRouterPeers_Address(shell),
        .bounds = settings->bounds,
        .max_kept_bytes =
            (size_t)settings->memory_mb * Sl_BYTES_PER_MB / Sl_KEPT_PART,
        .seed_count = settings->seed_count,
        .is_first_start = settings->is_first_start,
        .boot = random_number() | 1,
        .seed = random_number(),
        .now_us = steady_us(),
    };
    options.domain_count = settings->domain_count;
    memcpy(options.domains, settings->domains, sizeof(options.domains));
    memcpy(options.seeds, settings->seeds, sizeof(options.seeds));
    shell->router = SlRouter_New(&options);
    shell->effects = SlRouterEffects_New();
}

static bool
start_metrics(struct sl_router_runtime *shell, struct sl_error *err)
{
    struct sl_buf address = {0};
    if (shell->metrics_port == 0) {
        return true; /* not wanted */
    }
    SlBuf_Printf(&address, "%s:%d", shell->settings.ip.text,
                 shell->metrics_port);
    struct sl_server_options metrics = {
        .base = shell->base,
        .handlers = {on_metrics, on_check_gone, shell},
        .limits = ready_limits,
    };
    (void)SlName_Set(&metrics.address, SlBuf_Str(&address));
    SlBuf_Free(&address);
    shell->metrics = SlServer_New(&metrics, err);
    return shell->metrics != NULL;
}

static bool
start_servers(struct sl_router_runtime *shell, struct sl_error *err)
{
    struct sl_routing *unknown = SlRouting_New(0);
    struct sl_server_options callers = {
        .base = shell->base,
        .address = shell->settings.client_listen,
        .handlers = {on_request, on_caller_gone, shell},
        .limits = caller_limits(shell, SlRouting_Limits(unknown)),
    };
    struct sl_server_options checks = {
        .base = shell->base,
        .address = shell->settings.ready_listen,
        .handlers = {on_check, on_check_gone, shell},
        .limits = ready_limits,
    };
    SlRouting_Unref(unknown);
    shell->callers = SlServer_New(&callers, err);
    if (shell->callers == NULL) {
        return false;
    }
    shell->checks = SlServer_New(&checks, err);
    return shell->checks != NULL && start_metrics(shell, err);
}

static bool
start(struct sl_router_runtime *shell, struct sl_error *err)
{
    struct sl_log_sink_options sink = {STDOUT_FILENO, Sl_LOG_BUFFER_BYTES};
    struct sl_client_options client = {
        .base = shell->base,
        .local_ip = SlName_Str(&shell->settings.ip),
        .max_idle_us = Sl_MAX_IDLE_US,
        .max_idle_per_address = Sl_MAX_IDLE_PER_ADDRESS,
    };
    shell->sink = SlLogSink_New(&sink);
    shell->sampler = SlLogSampler_New(shell->sink);
    shell->timer = event_new(shell->base, -1, 0, on_timer, shell);
    shell->flush = event_new(shell->base, -1, 0, on_flush, shell);
    shell->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    shell->client = SlClient_New(&client);
    struct sl_store_options store = {
        .client = shell->client,
        .address = shell->settings.store_address,
        .on_read = on_store_read,
        .on_appended = on_store_appended,
        .context = shell,
    };
    shell->store = SlStore_New(&store);
    start_router(shell);
    shell->peers = SlRouterPeers_New(shell, err);
    return shell->peers != NULL && start_servers(shell, err);
}

static void
stop(struct sl_router_runtime *shell)
{
    SlRouterPeers_Free(shell->peers);
    SlServer_Free(shell->metrics);
    SlServer_Free(shell->checks);
    SlServer_Free(shell->callers);
    SlStore_Free(shell->store);
    SlClient_Free(shell->client);
    SlRouterEffects_Free(shell->effects);
    SlRouter_Free(shell->router);
    g_hash_table_destroy(shell->calls);
    event_free(shell->flush);
    event_free(shell->timer);
    SlLogSampler_Free(shell->sampler);
    SlLogSink_Free(shell->sink);
    SlBuf_Free(&shell->relay);
    SlBuf_Free(&shell->line);
}

static bool
load_settings(struct sl_platform_settings *settings)
{
    struct sl_error err;
    const char *path = getenv(Sl_PLATFORM_SETTINGS_ENV);
    if (path == NULL) {
        fprintf(stderr, "sassafrasd: %s is not set\n",
                Sl_PLATFORM_SETTINGS_ENV);
        return false;
    }
    if (SlPlatform_LoadSettings(path, settings, &err) != Sl_OK) {
        fprintf(stderr, "sassafrasd: %s: %s\n", path, err.text);
        return false;
    }
    return true;
}

int
SlRouterRuntime_Main(const struct sl_router_runtime_options *options)
{
    struct sl_router_runtime shell = {
        .level = options->level,
        .metrics_port = options->metrics_port,
    };
    struct sl_error err;
    int code = Sl_EXIT_START;
    if (!load_settings(&shell.settings)) {
        return Sl_EXIT_SETTINGS;
    }
    shell.base = event_base_new();
    if (start(&shell, &err)) {
        struct event *terminate =
            evsignal_new(shell.base, SIGTERM, on_terminate, &shell);
        struct event *interrupt =
            evsignal_new(shell.base, SIGINT, on_terminate, &shell);
        struct event *reload =
            evsignal_new(shell.base, SIGHUP, on_reload, &shell);
        event_add(terminate, NULL);
        event_add(interrupt, NULL);
        event_add(reload, NULL);
        SlRouterRuntime_Log(&shell, Sl_LOG_INFO,
                            Sl_STR("\"event\":\"started\""));
        on_timer(-1, 0, &shell);
        event_base_dispatch(shell.base);
        event_free(reload);
        event_free(interrupt);
        event_free(terminate);
        code = Sl_EXIT_OK;
    }
    else {
        fprintf(stderr, "sassafrasd: %s: %s\n", err.peer.text, err.text);
    }
    stop(&shell);
    event_base_free(shell.base);
    return code;
}
