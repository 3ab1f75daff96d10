/* Runtime of the router role: event loop, log, HTTP servers and upstream
 * calls. */
#include "sassafrasd_router_internal.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* ---- limits ---- */

/* Number of file descriptors reserved for files, the store, upstreams and
 * peers. Clients' connections may use half of the rest, at least 16. */
#define Sl_RESERVED_FDS 300
/* Limit of the unsent bytes of one response, for clients that read slowly. */
#define Sl_MAX_UNSENT_BYTES ((size_t)512 * 1024)
/* Idle connections to upstreams are closed after a short time, because an
 * upstream may close them at any time without notice. */
#define Sl_MAX_IDLE_US Sl_US_PER_S
#define Sl_MAX_IDLE_PER_ADDRESS 4
/* Log lines wait in a buffer of this size, so that a slow reader of standard
 * output does not block the process; lines beyond it are dropped. */
#define Sl_LOG_BUFFER_BYTES ((size_t)1024 * 1024)
/* The buffer is flushed this long after its first line, or earlier when it is
 * filled to this share. */
#define Sl_LOG_FLUSH_US (200 * Sl_US_PER_MS)
#define Sl_LOG_FLUSH_FILL 0.02
/* Time for clients to receive the last responses before the process exits.
 * The reducer ends its work early enough in the grace time (from SIGTERM to
 * SIGKILL) to allow for it. */
#define Sl_EXIT_GRACE_US (300 * Sl_US_PER_MS)
/* Interval of the checks whether clients have received them. */
#define Sl_EXIT_POLL_US (20 * Sl_US_PER_MS)
/* Buffered responses may take 1/4 of the process's memory limit. */
#define Sl_RESPONSE_MEMORY_DIVISOR 4
#define Sl_BYTES_PER_MB ((size_t)1024 * 1024)
/* Limits for the load balancer's checks and for metrics: short requests on a
 * few connections. */
static const struct sl_http_server_limits ready_limits = {
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

/* A call or health check of an upstream. */
struct sl_router_call {
    struct sl_router_runtime *runtime;
    uint64_t token;  /* the reducer's id of the call */
    uint64_t handle; /* the HTTP client's id, to cancel the call */
};

/* ---- time ---- */

/* Monotonic time that includes time for which the VM was suspended, so that
 * information from before a suspension counts as old afterwards. */
static int64_t
monotonic_us(void)
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
SlRouterRuntime_LogRequest(struct sl_router_runtime *runtime,
                           enum sl_log_level level, uint64_t request,
                           enum sl_log_request_state request_state,
                           struct sl_str fields)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    if (level < runtime->level) {
        return;
    }
    SlBuf_Clear(&runtime->log_line);
    SlBuf_Printf(&runtime->log_line,
                 "{\"time_ms\":%" G_GINT64_FORMAT
                 ",\"level\":\"%s\",\"vm\":\"%s\",",
                 (gint64)wall_ms(), names[level], runtime->settings.vm.text);
    SlBuf_Append(&runtime->log_line, fields);
    SlBuf_AppendC(&runtime->log_line, "}\n");
    SlLogSampler_Write(runtime->sampler, request, request_state,
                       SlBuf_Str(&runtime->log_line));
    if (SlLogSink_Fill(runtime->sink) > Sl_LOG_FLUSH_FILL) {
        SlLogSink_Flush(runtime->sink);
    }
    else if (!event_pending(runtime->flush_timer, EV_TIMEOUT, NULL)) {
        const struct timeval delay = {0, Sl_LOG_FLUSH_US};
        event_add(runtime->flush_timer, &delay);
    }
}

void
SlRouterRuntime_Log(struct sl_router_runtime *runtime, enum sl_log_level level,
                    struct sl_str fields)
{
    SlRouterRuntime_LogRequest(runtime, level, 0, Sl_LOG_REQUEST_ACTIVE,
                               fields);
}

static void
on_flush_log(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_runtime *runtime = context;
    (void)fd;
    (void)what;
    SlLogSink_Flush(runtime->sink);
}

/* ---- events ---- */

static void perform_effect(struct sl_router_runtime *runtime,
                           const struct sl_router_effect *effect);

/* Sets the timer to the reducer's next due time. */
static void
set_timer(struct sl_router_runtime *runtime)
{
    int64_t due_us = SlRouter_NextDueUs(runtime->router);
    if (due_us == Sl_NEVER_US) {
        event_del(runtime->timer);
        return;
    }
    int64_t wait_us = MAX(due_us - monotonic_us(), 0);
    struct timeval wait = {wait_us / Sl_US_PER_S, wait_us % Sl_US_PER_S};
    event_add(runtime->timer, &wait);
}

void
SlRouterRuntime_Dispatch(struct sl_router_runtime *runtime,
                         struct sl_router_event *event)
{
    event->now_us = monotonic_us();
    event->wall_ms = wall_ms();
    g_assert(!runtime->is_dispatching);
    runtime->is_dispatching = true;
    SlRouterEffects_Clear(runtime->effects);
    SlRouter_Reduce(runtime->router, event, runtime->effects);
    for (size_t i = 0; i < SlRouterEffects_Count(runtime->effects); i++) {
        perform_effect(runtime, SlRouterEffects_At(runtime->effects, i));
    }
    runtime->is_dispatching = false;
    set_timer(runtime);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_TICK};
    (void)fd;
    (void)what;
    SlRouterRuntime_Dispatch(context, &event);
}

/* Handles SIGTERM and SIGINT. */
static void
on_terminate(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_DRAIN};
    (void)fd;
    (void)what;
    SlRouterRuntime_Dispatch(context, &event);
}

static bool load_settings(struct sl_platform_settings *settings);

/* Handles SIGHUP: reads the settings again. Only the bounds (limits that the
 * deployment sets for the fleet) take effect; addresses cannot change while
 * the process runs. */
static void
on_reload(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_runtime *runtime = context;
    struct sl_platform_settings settings;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_BOUNDS};
    (void)fd;
    (void)what;
    if (!load_settings(&settings)) {
        SlRouterRuntime_Log(runtime, Sl_LOG_ERROR,
                            Sl_STR("\"event\":\"reload_failed\""));
        return;
    }
    event.u.bounds = settings.bounds;
    SlRouterRuntime_Dispatch(runtime, &event);
}

/* ---- HTTP servers ---- */

static void
on_request(void *context, uint64_t conn, const struct sl_head *head,
           struct sl_str body)
{
    struct sl_router_runtime *runtime = context;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_REQUEST};
    SlBuf_Clear(&runtime->forwarded);
    SlPlatform_DecodeRequest(head, body, &runtime->forwarded,
                             &event.u.request);
    event.u.request.conn = conn;
    SlRouterRuntime_Dispatch(runtime, &event);
}

static void
on_client_disconnected(void *context, uint64_t conn)
{
    struct sl_router_runtime *runtime = context;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_CLIENT_GONE};
    SlRouterReaders_OnClosed(runtime->readers, conn);
    event.u.conn = conn;
    SlRouterRuntime_Dispatch(runtime, &event);
}

/* Adds the log lines that were left out since the last call to the metrics. */
static void
count_omitted_lines(struct sl_router_runtime *runtime)
{
    uint64_t sampled_lines = SlLogSampler_DroppedLines(runtime->sampler);
    uint64_t full_lines = SlLogSink_DroppedLines(runtime->sink);
    SlRouter_CountOmittedLogLines(runtime->router, "sampled",
                                  sampled_lines - runtime->counted_sampled);
    SlRouter_CountOmittedLogLines(runtime->router, "full",
                                  full_lines - runtime->counted_full);
    runtime->counted_sampled = sampled_lines;
    runtime->counted_full = full_lines;
}

/* Serves the load balancer's readiness check. */
static void
on_ready_check(void *context, uint64_t conn, const struct sl_head *head,
               struct sl_str body)
{
    struct sl_router_runtime *runtime = context;
    bool is_known_path =
        SlStr_Equal(head->target, Sl_STR(Sl_PLATFORM_READY_PATH));
    int status = !is_known_path                      ? 404
                 : SlRouter_IsReady(runtime->router) ? 200
                                                     : 503;
    (void)body;
    SlHttpServer_Reply(runtime->ready_server, conn, status, Sl_STR(""),
                       Sl_STR(""));
}

/* Serves /metrics and /state. */
static void
on_metrics_request(void *context, uint64_t conn, const struct sl_head *head,
                   struct sl_str body)
{
    struct sl_router_runtime *runtime = context;
    struct sl_buf text = {0};
    struct sl_str type = Sl_STR("Content-Type: text/plain; version=0.0.4\r\n");
    int status = 200;
    (void)body;
    if (SlStr_Equal(head->target, Sl_STR("/metrics"))) {
        count_omitted_lines(runtime);
        SlRouterReaders_SetMetrics(runtime->readers);
        SlRouter_MetricsText(runtime->router, &text);
    }
    else if (SlStr_Equal(head->target, Sl_STR("/state"))) {
        type = Sl_STR("Content-Type: application/json\r\n");
        SlRouter_Dump(runtime->router, &text);
    }
    else {
        status = 404;
    }
    SlHttpServer_Reply(runtime->metrics_server, conn, status, type,
                       SlBuf_Str(&text));
    SlBuf_Free(&text);
}

/* For servers whose responses are complete when a request's callback ends. */
static void
on_disconnect_ignored(void *context, uint64_t conn)
{
    (void)context;
    (void)conn;
}

/* Sends a response that the router generates itself, as JSON. */
static void
send_generated_reply(struct sl_router_runtime *runtime,
                     const struct sl_router_effect_reply *reply)
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
                 reply->outcome, reply->step, runtime->settings.vm.text,
                 reply->reason,
                 (gint64)(reply->retry_after_us / Sl_US_PER_MS));
    SlHttpServer_Reply(runtime->frontend, reply->conn, reply->status,
                       SlBuf_Str(&headers), SlBuf_Str(&body));
    SlBuf_Free(&headers);
    SlBuf_Free(&body);
}

/* Limits of the server for clients: those of the configuration, and the number
 * of connections that the file descriptors allow. */
static struct sl_http_server_limits
client_limits(const struct sl_router_runtime *runtime,
              const struct sl_client_limits *limits)
{
    int64_t available_fds = runtime->settings.max_fds - Sl_RESERVED_FDS;
    struct sl_http_server_limits server_limits = {
        .max_header_bytes = (size_t)limits->max_header_bytes,
        .max_body_bytes = (size_t)limits->max_body_bytes,
        .header_timeout_us = limits->header_timeout_us,
        .idle_timeout_us = limits->idle_timeout_us,
        .max_connections = (size_t)MAX(available_fds / 2, 16),
        .max_unsent_bytes =
            runtime->readers != NULL ? SIZE_MAX : Sl_MAX_UNSENT_BYTES,
    };
    return server_limits;
}

/* ---- upstreams ---- */

static void
on_response_head(void *context, uint64_t handle, const struct sl_head *head)
{
    struct sl_router_call *call = context;
    struct sl_response_head response;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_RESPONSE_HEAD};
    (void)handle;
    SlBuf_Clear(&call->runtime->forwarded);
    SlPlatform_DecodeResponse(head, &call->runtime->forwarded, &response);
    event.u.response.token = call->token;
    event.u.response.head = &response;
    SlRouterRuntime_Dispatch(call->runtime, &event);
}

static void
on_response_chunk(void *context, uint64_t handle, struct sl_str bytes)
{
    struct sl_router_call *call = context;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_RESPONSE_CHUNK};
    (void)handle;
    event.u.response.token = call->token;
    event.u.response.bytes = bytes;
    SlRouterRuntime_Dispatch(call->runtime, &event);
}

static void
on_response_done(void *context, uint64_t handle, const struct sl_error *err,
                 const struct sl_http_client_result *result)
{
    struct sl_router_call *call = context;
    struct sl_router_runtime *runtime = call->runtime;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_RESPONSE_DONE,
                                    .err = err};
    (void)handle;
    event.u.response.token = call->token;
    event.u.response.connected = result->connected;
    g_hash_table_remove(runtime->calls, &call->token);
    SlRouterRuntime_Dispatch(runtime, &event);
}

static void
start_upstream_call(struct sl_router_runtime *runtime,
                    const struct sl_router_effect_call *request)
{
    struct sl_router_call *call = g_new0(struct sl_router_call, 1);
    struct sl_buf head = {0};
    SlPlatform_EncodeUpstreamRequest(request, &head);
    struct sl_http_client_call_options options = {
        .address = SlName_Str(request->address),
        .peer = request->upstream->text,
        .step = "upstream.call",
        .head = SlBuf_Str(&head),
        .body = request->body,
        .fresh_connection = request->fresh_connection,
        .connect_timeout_us = request->connect_timeout_us,
        .echo_header = SlPlatform_RequestIdHeader,
        .echo_value = request->request_id,
        .handlers = {on_response_head, on_response_chunk, on_response_done,
                     call},
    };
    call->runtime = runtime;
    call->token = request->token;
    call->handle = SlHttpClient_Call(runtime->client, &options);
    g_hash_table_insert(runtime->calls, &call->token, call);
    SlBuf_Free(&head);
}

static void
cancel_upstream_call(struct sl_router_runtime *runtime, uint64_t token)
{
    const struct sl_router_call *call =
        g_hash_table_lookup(runtime->calls, &token);
    if (call != NULL) {
        SlHttpClient_Cancel(runtime->client, call->handle);
        g_hash_table_remove(runtime->calls, &token);
    }
}

void
SlRouterRuntime_PauseCall(struct sl_router_runtime *runtime, uint64_t token,
                          bool is_paused)
{
    const struct sl_router_call *call =
        g_hash_table_lookup(runtime->calls, &token);
    if (call != NULL && is_paused) {
        SlHttpClient_Pause(runtime->client, call->handle);
    }
    else if (call != NULL) {
        SlHttpClient_Resume(runtime->client, call->handle);
    }
}

/* ---- health checks ---- */

static void
on_check_head(void *context, uint64_t handle, const struct sl_head *head)
{
    (void)context; /* a health check sends no request, so gets no response */
    (void)handle;
    (void)head;
}

static void
on_check_chunk(void *context, uint64_t handle, struct sl_str bytes)
{
    (void)context;
    (void)handle;
    (void)bytes;
}

static void
on_check_done(void *context, uint64_t handle, const struct sl_error *err,
              const struct sl_http_client_result *result)
{
    struct sl_router_call *call = context;
    struct sl_router_runtime *runtime = call->runtime;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_HEALTH_CHECKED};
    (void)handle;
    (void)err;
    event.u.health_check.token = call->token;
    event.u.health_check.is_reached = result->connected;
    g_hash_table_remove(runtime->calls, &call->token);
    SlRouterRuntime_Dispatch(runtime, &event);
}

static void
start_check(struct sl_router_runtime *runtime,
            const struct sl_router_effect *effect)
{
    struct sl_router_call *call = g_new0(struct sl_router_call, 1);
    struct sl_http_client_call_options options = {
        .address = SlName_Str(effect->u.health_check.address),
        .peer = effect->u.health_check.upstream->text,
        .step = "upstream.check",
        .connect_only = true,
        .connect_timeout_us = effect->u.health_check.timeout_us,
        .handlers = {on_check_head, on_check_chunk, on_check_done, call},
    };
    call->runtime = runtime;
    call->token = effect->u.health_check.token;
    call->handle = SlHttpClient_Call(runtime->client, &options);
    g_hash_table_insert(runtime->calls, &call->token, call);
}

/* ---- store ---- */

static void
on_store_read(void *context, enum sl_feed feed, const struct sl_error *err,
              const struct sl_store_page *page)
{
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_FEED_READ,
                                    .err = err};
    event.u.feed.feed = feed;
    if (page != NULL) {
        event.u.feed.is_snapshot = page->is_snapshot;
        event.u.feed.is_truncated = page->is_truncated;
        event.u.feed.next_offset = page->next_offset;
        event.u.feed.era = page->era;
        event.u.feed.count = page->count;
        event.u.feed.records = page->records;
    }
    SlRouterRuntime_Dispatch(context, &event);
}

static void
on_store_appended(void *context, uint64_t token, const struct sl_error *err,
                  bool conflict, uint64_t next_offset)
{
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_APPENDED,
                                    .err = err};
    event.u.appended.token = token;
    event.u.appended.conflict = conflict;
    event.u.appended.next_offset = next_offset;
    SlRouterRuntime_Dispatch(context, &event);
}

/* ---- exit ---- */

/* Returns true while the exit waits for clients: Sl_EXIT_GRACE_US for them to
 * close their connections, and until that time after the end of the drain for
 * them to receive the last responses. */
static bool
exit_waits(const struct sl_router_runtime *runtime)
{
    int64_t now_us = monotonic_us();
    return now_us < runtime->exit_us + Sl_EXIT_GRACE_US
               ? SlHttpServer_ConnectionCount(runtime->frontend) > 0
               : now_us < runtime->drain_end_us + Sl_EXIT_GRACE_US &&
                     SlHttpServer_HasUnsent(runtime->frontend);
}

/* Ends the event loop once exit_waits() is false. Until then it runs again
 * every Sl_EXIT_POLL_US. */
static void
exit_when_drained(evutil_socket_t fd, short what, void *context)
{
    static const struct timeval poll_interval = {0, Sl_EXIT_POLL_US};
    struct sl_router_runtime *runtime = context;
    (void)fd;
    (void)what;
    SlHttpServer_RejectUnread(runtime->frontend);
    SlHttpServer_CloseIdle(runtime->frontend);
    if (exit_waits(runtime)) {
        event_base_once(runtime->base, -1, EV_TIMEOUT, exit_when_drained,
                        runtime, &poll_interval);
    }
    else {
        event_base_loopexit(runtime->base, NULL);
    }
}

/* ---- effects ---- */

static void
perform_effect(struct sl_router_runtime *runtime,
               const struct sl_router_effect *effect)
{
    switch (effect->type) {
    case Sl_ROUTER_EFFECT_CALL:
        start_upstream_call(runtime, &effect->u.call);
        break;
    case Sl_ROUTER_EFFECT_CANCEL_CALL:
        cancel_upstream_call(runtime, effect->u.token);
        break;
    case Sl_ROUTER_EFFECT_HEALTH_CHECK:
        start_check(runtime, effect);
        break;
    case Sl_ROUTER_EFFECT_REPLY:
        if (effect->u.reply.is_generated) {
            send_generated_reply(runtime, &effect->u.reply);
        }
        else {
            SlHttpServer_Reply(runtime->frontend, effect->u.reply.conn,
                               effect->u.reply.status, effect->u.reply.headers,
                               effect->u.reply.body);
        }
        SlRouterReaders_OnSent(runtime->readers, effect->u.reply.conn, 0);
        break;
    case Sl_ROUTER_EFFECT_REPLY_BEGIN:
        SlHttpServer_BeginReply(runtime->frontend, effect->u.reply.conn,
                                effect->u.reply.status,
                                effect->u.reply.headers);
        break;
    case Sl_ROUTER_EFFECT_REPLY_CHUNK:
        SlHttpServer_SendChunk(runtime->frontend, effect->u.chunk.conn,
                               effect->u.chunk.bytes);
        SlRouterReaders_OnSent(runtime->readers, effect->u.chunk.conn,
                               effect->u.chunk.token);
        break;
    case Sl_ROUTER_EFFECT_REPLY_END:
        SlHttpServer_EndReply(runtime->frontend, effect->u.conn);
        SlRouterReaders_OnSent(runtime->readers, effect->u.conn, 0);
        break;
    case Sl_ROUTER_EFFECT_REPLY_ABORT:
        SlHttpServer_AbortReply(runtime->frontend, effect->u.conn);
        SlRouterReaders_OnSent(runtime->readers, effect->u.conn, 0);
        break;
    case Sl_ROUTER_EFFECT_CLIENT_LIMITS: {
        struct sl_http_server_limits limits =
            client_limits(runtime, &effect->u.limits);
        SlHttpServer_SetLimits(runtime->frontend, &limits);
        break;
    }
    case Sl_ROUTER_EFFECT_READ_SNAPSHOT:
        SlStore_ReadNewest(runtime->store, effect->u.read.feed);
        break;
    case Sl_ROUTER_EFFECT_READ_FROM:
        SlStore_ReadFrom(runtime->store, effect->u.read.feed,
                         effect->u.read.from, effect->u.read.wait_us);
        break;
    case Sl_ROUTER_EFFECT_CANCEL_READ:
        SlStore_CancelReads(runtime->store, effect->u.read.feed);
        break;
    case Sl_ROUTER_EFFECT_APPEND:
        SlStore_Append(runtime->store, effect->u.append.feed,
                       effect->u.append.token, effect->u.append.record,
                       effect->u.append.conditional
                           ? &effect->u.append.expected_next_offset
                           : NULL);
        break;
    case Sl_ROUTER_EFFECT_SEND_DIGEST:
    case Sl_ROUTER_EFFECT_SEND_PEER_LIST:
    case Sl_ROUTER_EFFECT_PULL:
    case Sl_ROUTER_EFFECT_SEND_PAGE:
        SlRouterPeerTransport_Perform(runtime->peers, effect);
        break;
    case Sl_ROUTER_EFFECT_LOG:
        SlRouterRuntime_LogRequest(
            runtime, effect->u.line.level, effect->u.line.request,
            effect->u.line.request_state, effect->u.line.fields);
        break;
    case Sl_ROUTER_EFFECT_CLOSE_CONNS:
        SlHttpServer_Drain(runtime->frontend);
        break;
    case Sl_ROUTER_EFFECT_STOP_ACCEPTING:
        SlHttpServer_StopAccepting(runtime->frontend);
        SlHttpServer_CloseIdle(runtime->frontend);
        break;
    case Sl_ROUTER_EFFECT_EXIT:
        runtime->exit_us = monotonic_us();
        runtime->drain_end_us = effect->u.drain_end_us;
        SlHttpServer_StopAccepting(runtime->frontend);
        exit_when_drained(-1, 0, runtime);
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

/* Creates the reducer. */
static void
start_router(struct sl_router_runtime *runtime)
{
    const struct sl_platform_settings *settings = &runtime->settings;
    struct sl_router_options options = {
        .vm = settings->vm,
        .domain = settings->domain,
        .region = settings->region,
        .peer_address = SlRouterPeerTransport_Address(runtime),
        .bounds = settings->bounds,
        .max_buffered_bytes = (size_t)settings->memory_mb * Sl_BYTES_PER_MB /
                              Sl_RESPONSE_MEMORY_DIVISOR,
        .seed_count = settings->seed_count,
        .is_first_start = settings->is_first_start,
        .guards_memory = settings->guards_memory,
        .boot = random_number() | 1,
        .seed = random_number(),
        .now_us = monotonic_us(),
    };
    options.domain_count = settings->domain_count;
    memcpy(options.domains, settings->domains, sizeof(options.domains));
    memcpy(options.seeds, settings->seeds, sizeof(options.seeds));
    runtime->router = SlRouter_New(&options);
    runtime->effects = SlRouterEffects_New();
}

/* Listens for operators, with --metrics-port only. */
static bool
start_metrics(struct sl_router_runtime *runtime, struct sl_error *err)
{
    struct sl_buf address = {0};
    if (runtime->metrics_port == 0) {
        return true; /* metrics are not served */
    }
    SlBuf_Printf(&address, "%s:%d", runtime->settings.ip.text,
                 runtime->metrics_port);
    struct sl_http_server_options metrics = {
        .base = runtime->base,
        .handlers = {on_metrics_request, on_disconnect_ignored, runtime},
        .limits = ready_limits,
    };
    (void)SlName_Set(&metrics.address, SlBuf_Str(&address));
    SlBuf_Free(&address);
    runtime->metrics_server = SlHttpServer_New(&metrics, err);
    return runtime->metrics_server != NULL;
}

/* Listens for clients, the load balancer and operators. Clients get the
 * default limits until the configuration is known. */
static bool
start_servers(struct sl_router_runtime *runtime, struct sl_error *err)
{
    struct sl_routing *default_routing = SlRouting_New(0);
    struct sl_http_server_options frontend = {
        .base = runtime->base,
        .address = runtime->settings.client_listen,
        .handlers = {on_request, on_client_disconnected, runtime},
        .limits = client_limits(runtime, SlRouting_Limits(default_routing)),
        .on_written =
            runtime->readers != NULL ? SlRouterReaders_OnWritten : NULL,
    };
    struct sl_http_server_options ready_server = {
        .base = runtime->base,
        .address = runtime->settings.ready_listen,
        .handlers = {on_ready_check, on_disconnect_ignored, runtime},
        .limits = ready_limits,
    };
    SlRouting_Unref(default_routing);
    runtime->frontend = SlHttpServer_New(&frontend, err);
    if (runtime->frontend == NULL) {
        return false;
    }
    runtime->ready_server = SlHttpServer_New(&ready_server, err);
    return runtime->ready_server != NULL && start_metrics(runtime, err);
}

static bool
start_runtime(struct sl_router_runtime *runtime, struct sl_error *err)
{
    struct sl_log_sink_options sink = {STDOUT_FILENO, Sl_LOG_BUFFER_BYTES};
    struct sl_http_client_options client = {
        .base = runtime->base,
        .local_ip = SlName_Str(&runtime->settings.ip),
        .max_idle_us = Sl_MAX_IDLE_US,
        .max_idle_per_address = Sl_MAX_IDLE_PER_ADDRESS,
    };
    runtime->sink = SlLogSink_New(&sink);
    runtime->sampler = SlLogSampler_New(runtime->sink);
    runtime->timer = event_new(runtime->base, -1, 0, on_timer, runtime);
    runtime->flush_timer =
        event_new(runtime->base, -1, 0, on_flush_log, runtime);
    runtime->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    runtime->client = SlHttpClient_New(&client);
    struct sl_store_options store = {
        .client = runtime->client,
        .address = runtime->settings.store_address,
        .on_read = on_store_read,
        .on_appended = on_store_appended,
        .context = runtime,
    };
    runtime->store = SlStore_New(&store);
    start_router(runtime);
    if (runtime->settings.guards_memory) {
        runtime->readers = SlRouterReaders_New(runtime);
    }
    runtime->peers = SlRouterPeerTransport_New(runtime, err);
    return runtime->peers != NULL && start_servers(runtime, err);
}

static void
stop_runtime(struct sl_router_runtime *runtime)
{
    SlRouterPeerTransport_Free(runtime->peers);
    SlHttpServer_Free(runtime->metrics_server);
    SlHttpServer_Free(runtime->ready_server);
    SlHttpServer_Free(runtime->frontend);
    SlRouterReaders_Free(runtime->readers);
    SlStore_Free(runtime->store);
    SlHttpClient_Free(runtime->client);
    SlRouterEffects_Free(runtime->effects);
    SlRouter_Free(runtime->router);
    g_hash_table_destroy(runtime->calls);
    event_free(runtime->flush_timer);
    event_free(runtime->timer);
    SlLogSampler_Free(runtime->sampler);
    SlLogSink_Free(runtime->sink);
    SlBuf_Free(&runtime->forwarded);
    SlBuf_Free(&runtime->log_line);
}

/* Reads the file that the environment names; prints an error. */
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
    struct sl_router_runtime runtime = {
        .level = options->level,
        .metrics_port = options->metrics_port,
    };
    struct sl_error err;
    int code = Sl_EXIT_START;
    if (!load_settings(&runtime.settings)) {
        return Sl_EXIT_SETTINGS;
    }
    runtime.base = event_base_new();
    if (start_runtime(&runtime, &err)) {
        struct event *terminate =
            evsignal_new(runtime.base, SIGTERM, on_terminate, &runtime);
        struct event *interrupt =
            evsignal_new(runtime.base, SIGINT, on_terminate, &runtime);
        struct event *reload =
            evsignal_new(runtime.base, SIGHUP, on_reload, &runtime);
        event_add(terminate, NULL);
        event_add(interrupt, NULL);
        event_add(reload, NULL);
        SlRouterRuntime_Log(&runtime, Sl_LOG_INFO,
                            Sl_STR("\"event\":\"started\""));
        on_timer(-1, 0, &runtime);
        event_base_dispatch(runtime.base);
        event_free(reload);
        event_free(interrupt);
        event_free(terminate);
        code = Sl_EXIT_OK;
    }
    else {
        fprintf(stderr, "sassafrasd: %s: %s\n", err.peer.text, err.text);
    }
    stop_runtime(&runtime);
    event_base_free(runtime.base);
    return code;
}
