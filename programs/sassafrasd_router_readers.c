/* Clients that read slowly: tells the backlog what waits for them, and carries
 * out what it decides. */
#include "sassafrasd_router_internal.h"

#include "sl_backlog.h"
#include "sl_net.h"

/* Unread bytes may take 1/8 of the process's memory limit. */
#define Sl_UNREAD_MEMORY_DIVISOR 8
#define Sl_BYTES_PER_MB ((size_t)1024 * 1024)
/* Bytes that wait for one client in any case. */
#define Sl_MIN_STREAM_BYTES ((size_t)16 * 1024)
/* A client that reads 1 KB/s may take bytes only every few seconds, when its
 * window opens again. */
#define Sl_STALL_US (30 * Sl_US_PER_S)
/* Interval of the checks for stalled clients, while bytes wait. */
static const struct timeval stall_check_interval = {1, 0};

struct sl_router_reader_watch {
    struct sl_router_runtime *runtime;
    struct sl_backlog *backlog;
    struct event *changed;     /* calls are to be paused or resumed */
    struct event *stall_timer; /* the next check */
};

static int64_t
now_us(void)
{
    return g_get_monotonic_time();
}

/* ---- decisions ---- */

/* Pauses and resumes calls. Runs from the event loop, as bytes are counted
 * while the server works on a connection, or an event is processed. */
static void
on_changed(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_reader_watch *watch = context;
    struct sl_backlog_change change;
    (void)fd;
    (void)what;
    while (SlBacklog_NextChange(watch->backlog, &change)) {
        struct sl_router_event event = {.type =
                                            Sl_ROUTER_EVENT_RESPONSE_PAUSED};
        event.u.response.token = change.call;
        event.u.response.is_paused = change.is_paused;
        SlRouterRuntime_PauseCall(watch->runtime, change.call,
                                  change.is_paused);
        SlRouterRuntime_Dispatch(watch->runtime, &event);
    }
}

static void
schedule_changes(struct sl_router_reader_watch *watch)
{
    if (SlBacklog_HasChange(watch->backlog)) {
        event_active(watch->changed, EV_TIMEOUT, 0);
    }
}

static void
on_stall_check(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_reader_watch *watch = context;
    uint64_t conn;
    (void)fd;
    (void)what;
    while ((conn = SlBacklog_NextStalled(watch->backlog, now_us())) != 0) {
        struct sl_buf line = {0};
        SlBuf_Printf(&line,
                     "\"event\":\"client_stalled\",\"conn\":%" G_GUINT64_FORMAT
                     ",\"unread_bytes\":%zu",
                     (guint64)conn,
                     SlHttpServer_UnsentBytes(watch->runtime->frontend, conn));
        SlRouterRuntime_Log(watch->runtime, Sl_LOG_WARN, SlBuf_Str(&line));
        SlBuf_Free(&line);
        SlHttpServer_Disconnect(watch->runtime->frontend, conn);
    }
    if (SlBacklog_Stats(watch->backlog).bytes > 0) {
        event_add(watch->stall_timer, &stall_check_interval);
    }
}

/* ---- public ---- */

struct sl_router_reader_watch *
SlRouterReaders_New(struct sl_router_runtime *runtime)
{
    struct sl_router_reader_watch *watch =
        g_new0(struct sl_router_reader_watch, 1);
    const struct sl_backlog_options options = {
        .max_bytes = (size_t)runtime->settings.memory_mb * Sl_BYTES_PER_MB /
                     Sl_UNREAD_MEMORY_DIVISOR,
        .min_stream_bytes = Sl_MIN_STREAM_BYTES,
        .stall_us = Sl_STALL_US,
    };
    watch->runtime = runtime;
    watch->backlog = SlBacklog_New(&options);
    watch->changed = event_new(runtime->base, -1, 0, on_changed, watch);
    watch->stall_timer =
        event_new(runtime->base, -1, 0, on_stall_check, watch);
    return watch;
}

void
SlRouterReaders_Free(struct sl_router_reader_watch *watch)
{
    if (watch != NULL) {
        event_free(watch->changed);
        event_free(watch->stall_timer);
        SlBacklog_Free(watch->backlog);
        g_free(watch);
    }
}

void
SlRouterReaders_OnSent(struct sl_router_reader_watch *watch, uint64_t conn,
                       uint64_t token)
{
    if (watch == NULL) {
        return;
    }
    SlBacklog_OnAdded(watch->backlog, conn, token,
                      SlHttpServer_UnsentBytes(watch->runtime->frontend, conn),
                      now_us());
    schedule_changes(watch);
    if (!event_pending(watch->stall_timer, EV_TIMEOUT, NULL)) {
        event_add(watch->stall_timer, &stall_check_interval);
    }
}

void
SlRouterReaders_OnWritten(void *context, uint64_t conn, size_t unsent_bytes)
{
    struct sl_router_runtime *runtime = context;
    SlBacklog_OnTaken(runtime->readers->backlog, conn, unsent_bytes, now_us());
    schedule_changes(runtime->readers);
}

void
SlRouterReaders_OnClosed(struct sl_router_reader_watch *watch, uint64_t conn)
{
    if (watch != NULL) {
        SlBacklog_OnClosed(watch->backlog, conn);
    }
}

void
SlRouterReaders_SetMetrics(const struct sl_router_reader_watch *watch)
{
    if (watch != NULL) {
        struct sl_backlog_stats stats = SlBacklog_Stats(watch->backlog);
        const struct sl_router_readers readers = {
            .held_bytes = stats.bytes,
            .paused = stats.paused,
            .stalled = stats.stalled,
        };
        SlRouter_SetReaders(watch->runtime->router, &readers);
    }
}
