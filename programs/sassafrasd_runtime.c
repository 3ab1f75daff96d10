/* Events in, effects out. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <event2/util.h>
#include <string.h>
#include <time.h>

/* Time for the last answers to leave before the process exits. */
#define Sl_EXIT_DELAY_MS 200

/* ---- helpers ---- */

static uint64_t
random_number(void)
{
    uint64_t number = 0;
    while (number == 0) {
        evutil_secure_rng_get_bytes(&number, sizeof(number));
    }
    return number;
}

static void
exit_soon(struct sl_runtime *shell)
{
    struct timeval delay = {0, (suseconds_t)Sl_EXIT_DELAY_MS * 1000};
    event_base_loopexit(shell->base, &delay);
}

static void
write_line(struct sl_runtime *shell, const struct sl_effect *effect)
{
    SlLog_Write(shell->log, effect->u.line.level, g_get_real_time() / 1000,
                effect->u.line.request, effect->u.line.err,
                effect->u.line.text);
}

static void
perform(struct sl_runtime *shell, const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_FX_CONNECT:
    case Sl_FX_DISCONNECT:
    case Sl_FX_SEND:
        SlPeers_Perform(shell->peers, effect);
        break;
    case Sl_FX_HTTP_HEAD:
    case Sl_FX_HTTP_BODY:
    case Sl_FX_HTTP_END:
    case Sl_FX_HTTP_ABORT:
    case Sl_FX_HTTP_STOP_ACCEPTING:
        SlFrontend_Perform(shell->callers, effect);
        break;
    case Sl_FX_LOG_READ:
    case Sl_FX_LOG_APPEND:
    case Sl_FX_VMS_READ:
    case Sl_FX_CALL:
    case Sl_FX_CALL_CANCEL:
    case Sl_FX_LOAD_READ:
    case Sl_FX_ORDER:
    case Sl_FX_RATE:
        SlExternalServices_Perform(shell->outside, effect);
        break;
    case Sl_FX_LOG_LINE:
        write_line(shell, effect);
        break;
    case Sl_FX_EXIT:
        exit_soon(shell);
        break;
    }
}

static void
set_timer(struct sl_runtime *shell)
{
    int64_t due_us = SlCore_NextDue(shell->core);
    if (due_us == Sl_NEVER_US) {
        evtimer_del(shell->timer);
        return;
    }
    int64_t after_us = MAX(due_us - SlRuntime_Now(), 0);
    struct timeval delay = {after_us / Sl_US_PER_S, after_us % Sl_US_PER_S};
    evtimer_add(shell->timer, &delay);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sl_event event = {.type = Sl_EV_TICK};
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
        .rates = !SlName_IsEmpty(&settings->rating_service),
        .drain_grace_us = settings->drain_grace_ms * Sl_US_PER_MS,
        .boot = random_number(),
        .seed = random_number(),
        .now_us = SlRuntime_Now(),
        .wall_ms = g_get_real_time() / 1000,
    };
    return SlCore_New(&options);
}

/* ---- public ---- */

struct sl_runtime *
SlRuntime_New(const struct sl_settings *settings, struct event_base *base,
              struct sl_log *log, struct sl_error *err)
{
    struct sl_runtime *shell = g_new0(struct sl_runtime, 1);
    shell->settings = settings;
    shell->base = base;
    shell->log = log;
    shell->core = new_core(settings);
    shell->effects = SlEffects_New();
    shell->timer = evtimer_new(base, on_timer, shell);
    shell->outside = SlExternalServices_New(shell);
    shell->peers = SlPeers_New(shell, err);
    shell->admin = SlAdmin_New(shell, err);
    bool entry = settings->role == Sl_ROLE_ENTRY;
    shell->callers = entry ? SlFrontend_New(shell, err) : NULL;
    if (shell->peers == NULL || shell->admin == NULL ||
        (entry && shell->callers == NULL)) {
        SlRuntime_Free(shell);
        return NULL;
    }
    struct sl_event start = {.type = Sl_EV_TICK};
    SlRuntime_Dispatch(shell, &start);
    return shell;
}

void
SlRuntime_Free(struct sl_runtime *shell)
{
    SlFrontend_Free(shell->callers);
    SlAdmin_Free(shell->admin);
    SlPeers_Free(shell->peers);
    SlExternalServices_Free(shell->outside);
    event_free(shell->timer);
    SlEffects_Free(shell->effects);
    SlCore_Free(shell->core);
    g_free(shell);
}

void
SlRuntime_Dispatch(struct sl_runtime *shell, struct sl_event *event)
{
    assert(!shell->busy);
    shell->busy = true;
    event->now_us = SlRuntime_Now();
    event->wall_ms = g_get_real_time() / 1000;
    SlCore_Reduce(shell->core, event, shell->effects);
    for (size_t i = 0; i < SlEffects_Count(shell->effects); i++) {
        perform(shell, SlEffects_At(shell->effects, i));
    }
    SlEffects_Clear(shell->effects);
    shell->busy = false;
    set_timer(shell);
}

void
SlRuntime_LogState(struct sl_runtime *shell)
{
    struct sl_buf state = {0};
    SlCore_Dump(shell->core, SlRuntime_Now(), &state);
    SlBuf_Append(&state, (struct sl_str){"", 1});
    SlLog_Write(shell->log, Sl_LOG_INFO, g_get_real_time() / 1000, 0, NULL,
                state.ptr);
    SlBuf_Free(&state);
}

int64_t
SlRuntime_Now(void)
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
