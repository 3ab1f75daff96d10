/* Event loop of the entry and agent roles: events in, effects out. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <event2/util.h>
#include <string.h>
#include <time.h>

/* Time for the last responses to be sent before the process exits. */
#define Sl_EXIT_DELAY_US (200 * Sl_US_PER_MS)
/* The same, while clients still read them. */
#define Sl_MAX_EXIT_DELAY_US (30 * Sl_US_PER_S)
/* Interval of the checks whether clients have read them. */
#define Sl_EXIT_POLL_US (20 * Sl_US_PER_MS)

/* ---- helpers ---- */

static uint64_t
random_nonzero(void)
{
    uint64_t number = 0;
    while (number == 0) {
        evutil_secure_rng_get_bytes(&number, sizeof(number));
    }
    return number;
}

/* Ends the event loop once the last responses are sent, or after
 * Sl_MAX_EXIT_DELAY_US. Until then it runs again every Sl_EXIT_POLL_US. */
static void
exit_when_sent(evutil_socket_t fd, short what, void *context)
{
    static const struct timeval poll_interval = {0, Sl_EXIT_POLL_US};
    struct sl_runtime *runtime = context;
    int64_t waited_us = SlRuntime_NowUs() - runtime->exit_us;
    bool has_unsent =
        runtime->frontend != NULL && SlFrontend_HasUnsent(runtime->frontend);
    (void)fd;
    (void)what;
    if (waited_us < Sl_EXIT_DELAY_US ||
        (has_unsent && waited_us < Sl_MAX_EXIT_DELAY_US)) {
        event_base_once(runtime->base, -1, EV_TIMEOUT, exit_when_sent, runtime,
                        &poll_interval);
    }
    else {
        event_base_loopexit(runtime->base, NULL);
    }
}

static void
schedule_exit(struct sl_runtime *runtime)
{
    runtime->exit_us = SlRuntime_NowUs();
    exit_when_sent(-1, 0, runtime);
}

static void
write_log_line(struct sl_runtime *runtime, const struct sl_effect *effect)
{
    SlLog_Write(runtime->log, effect->u.line.level, g_get_real_time() / 1000,
                effect->u.line.request, effect->u.line.err,
                effect->u.line.text);
}

static void
perform_effect(struct sl_runtime *runtime, const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_EFFECT_CONNECT:
    case Sl_EFFECT_DISCONNECT:
    case Sl_EFFECT_SEND:
        SlPeerTransport_Perform(runtime->peers, effect);
        break;
    case Sl_EFFECT_HTTP_HEAD:
    case Sl_EFFECT_HTTP_BODY:
    case Sl_EFFECT_HTTP_END:
    case Sl_EFFECT_HTTP_ABORT:
    case Sl_EFFECT_HTTP_STOP_ACCEPTING:
        SlFrontend_Perform(runtime->frontend, effect);
        break;
    case Sl_EFFECT_LOG_READ:
    case Sl_EFFECT_LOG_APPEND:
    case Sl_EFFECT_VMS_READ:
    case Sl_EFFECT_CALL:
    case Sl_EFFECT_CALL_CANCEL:
    case Sl_EFFECT_LOAD_READ:
    case Sl_EFFECT_ORDER:
    case Sl_EFFECT_RATE:
        SlExternalServices_Perform(runtime->external, effect);
        break;
    case Sl_EFFECT_LOG_LINE:
        write_log_line(runtime, effect);
        break;
    case Sl_EFFECT_EXIT:
        schedule_exit(runtime);
        break;
    }
}

/* Sets the timer to the core's next due time. */
static void
set_timer(struct sl_runtime *runtime)
{
    int64_t due_us = SlCore_NextDueUs(runtime->core);
    if (due_us == Sl_NEVER_US) {
        evtimer_del(runtime->timer);
        return;
    }
    int64_t after_us = MAX(due_us - SlRuntime_NowUs(), 0);
    struct timeval delay = {after_us / Sl_US_PER_S, after_us % Sl_US_PER_S};
    evtimer_add(runtime->timer, &delay);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sl_event event = {.type = Sl_EVENT_TICK};
    (void)fd;
    (void)what;
    SlRuntime_Dispatch(context, &event);
}

static struct sl_core *
new_core(const struct sl_settings *settings)
{
    struct sl_core_options options = {
        .role = settings->role,
        .vm = settings->vm,
        .domain = settings->domain,
        .upstream = settings->upstream,
        .has_rating_service = !SlName_IsEmpty(&settings->rating_service),
        .drain_grace_us = settings->drain_grace_ms * Sl_US_PER_MS,
        .boot = random_nonzero(),
        .seed = random_nonzero(),
        .now_us = SlRuntime_NowUs(),
        .wall_ms = g_get_real_time() / 1000,
    };
    return SlCore_New(&options);
}

/* ---- public ---- */

struct sl_runtime *
SlRuntime_New(const struct sl_settings *settings, struct event_base *base,
              struct sl_log *log, struct sl_error *err)
{
    struct sl_runtime *runtime = g_new0(struct sl_runtime, 1);
    runtime->settings = settings;
    runtime->base = base;
    runtime->log = log;
    runtime->core = new_core(settings);
    runtime->effects = SlEffects_New();
    runtime->timer = evtimer_new(base, on_timer, runtime);
    runtime->external = SlExternalServices_New(runtime);
    runtime->peers = SlPeerTransport_New(runtime, err);
    runtime->admin = SlAdmin_New(runtime, err);
    bool is_entry = settings->role == Sl_ROLE_ENTRY;
    runtime->frontend = is_entry ? SlFrontend_New(runtime, err) : NULL;
    if (runtime->peers == NULL || runtime->admin == NULL ||
        (is_entry && runtime->frontend == NULL)) {
        SlRuntime_Free(runtime);
        return NULL;
    }
    struct sl_event start = {.type = Sl_EVENT_TICK};
    SlRuntime_Dispatch(runtime, &start);
    return runtime;
}

void
SlRuntime_Free(struct sl_runtime *runtime)
{
    runtime->is_closing = true;
    SlFrontend_Free(runtime->frontend);
    SlAdmin_Free(runtime->admin);
    SlPeerTransport_Free(runtime->peers);
    SlExternalServices_Free(runtime->external);
    event_free(runtime->timer);
    SlEffects_Free(runtime->effects);
    SlCore_Free(runtime->core);
    g_free(runtime);
}

void
SlRuntime_Dispatch(struct sl_runtime *runtime, struct sl_event *event)
{
    assert(!runtime->is_dispatching);
    if (runtime->is_closing) {
        return;
    }
    runtime->is_dispatching = true;
    event->now_us = SlRuntime_NowUs();
    event->wall_ms = g_get_real_time() / 1000;
    SlCore_Reduce(runtime->core, event, runtime->effects);
    for (size_t i = 0; i < SlEffects_Count(runtime->effects); i++) {
        perform_effect(runtime, SlEffects_At(runtime->effects, i));
    }
    SlEffects_Clear(runtime->effects);
    runtime->is_dispatching = false;
    set_timer(runtime);
}

void
SlRuntime_LogState(struct sl_runtime *runtime)
{
    struct sl_buf state = {0};
    SlCore_Dump(runtime->core, SlRuntime_NowUs(), &state);
    SlBuf_Append(&state, (struct sl_str){"", 1}); /* terminating NUL */
    SlLog_Write(runtime->log, Sl_LOG_INFO, g_get_real_time() / 1000, 0, NULL,
                state.ptr);
    SlBuf_Free(&state);
}

int64_t
SlRuntime_NowUs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * Sl_US_PER_S + now.tv_nsec / 1000;
}

void
SlRuntime_SplitAddress(const struct sl_name *address, char *host,
                       size_t host_size, uint16_t *port)
{
    const char *colon = strrchr(address->text, ':');
    assert(colon != NULL);
    size_t len = MIN((size_t)(colon - address->text), host_size - 1);
    memcpy(host, address->text, len);
    host[len] = '\0';
    *port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
}
