/*
 * The shell of sassafrasd: it turns what happens on sockets into events of
 * the core, and carries the core's effects out. It holds no decisions.
 *
 * sassafrasd.c           options, settings, signals
 * sassafrasd_runtime.c     events in, effects out
 * sassafrasd_peers.c     frames between the system's own processes
 * sassafrasd_callers.c   HTTP towards callers
 * sassafrasd_outside.c   the platform's systems and the upstream
 * sassafrasd_admin.c     HTTP for operators
 */
#ifndef Sl_SASSAFRASD_RUNTIME_H
#define Sl_SASSAFRASD_RUNTIME_H

#include "settings.h"
#include "sl_adapters.h"
#include "sl_core.h"

#include <event2/event.h>

struct sl_peers;
struct sl_frontend;
struct sl_external_services;
struct sl_admin;

struct sl_runtime {
    const struct sl_settings *settings;
    struct event_base *base;
    struct sl_log *log;
    struct sl_core *core;
    struct sl_effects *effects;
    struct event *timer;
    bool busy; /* an event is in hand */
    struct sl_peers *peers;
    struct sl_frontend *callers; /* entries only */
    struct sl_external_services *outside;
    struct sl_admin *admin;
};

/* Listens on every address of the settings. `settings`, `base` and `log` are
 * borrowed. Returns NULL with the reason in `err`. */
struct sl_runtime *SlRuntime_New(const struct sl_settings *settings,
                                 struct event_base *base, struct sl_log *log,
                                 struct sl_error *err);
void SlRuntime_Free(struct sl_runtime *shell);
/* Hands one event to the core and carries out its effects. The caller fills
 * `type` and the part that belongs to it; the time is set here. */
void SlRuntime_Dispatch(struct sl_runtime *shell, struct sl_event *event);
/* Writes the state dump to the log. */
void SlRuntime_LogState(struct sl_runtime *shell);

/* Monotonic time that goes on while the VM is suspended: evidence must age in
 * that time too. */
int64_t SlRuntime_Now(void);

/* ---- parts; each effect goes to the part that owns it ---- */

struct sl_peers *SlPeers_New(struct sl_runtime *shell, struct sl_error *err);
void SlPeers_Free(struct sl_peers *peers);
void SlPeers_Perform(struct sl_peers *peers, const struct sl_effect *effect);

struct sl_frontend *SlFrontend_New(struct sl_runtime *shell,
                                   struct sl_error *err);
void SlFrontend_Free(struct sl_frontend *callers);
void SlFrontend_Perform(struct sl_frontend *callers,
                        const struct sl_effect *effect);

struct sl_external_services *SlExternalServices_New(struct sl_runtime *shell);
void SlExternalServices_Free(struct sl_external_services *outside);
void SlExternalServices_Perform(struct sl_external_services *outside,
                                const struct sl_effect *effect);

struct sl_admin *SlAdmin_New(struct sl_runtime *shell, struct sl_error *err);
void SlAdmin_Free(struct sl_admin *admin);

/* Splits "IP:PORT"; the settings were checked before. */
void SlRuntime_SplitAddress(const struct sl_name *address, char *host,
                            size_t host_size, uint16_t *port);

#endif
