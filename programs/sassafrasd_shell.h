/*
 * The shell of sassafrasd: it turns what happens on sockets into events of
 * the core, and carries the core's effects out. It holds no decisions.
 *
 * sassafrasd.c           options, settings, signals
 * sassafrasd_shell.c     events in, effects out
 * sassafrasd_peers.c     frames between the system's own processes
 * sassafrasd_callers.c   HTTP towards callers
 * sassafrasd_outside.c   the platform's systems and the upstream
 * sassafrasd_admin.c     HTTP for operators
 */
#ifndef Sl_SASSAFRASD_SHELL_H
#define Sl_SASSAFRASD_SHELL_H

#include "settings.h"
#include "sl_adapters.h"
#include "sl_core.h"

#include <event2/event.h>

struct sl_peers;
struct sl_callers;
struct sl_outside;
struct sl_admin;

struct sl_shell {
    const struct sl_settings *settings;
    struct event_base *base;
    struct sl_log *log;
    struct sl_core *core;
    struct sl_effects *effects;
    struct event *timer;
    bool busy; /* an event is in hand */
    struct sl_peers *peers;
    struct sl_callers *callers; /* entries only */
    struct sl_outside *outside;
    struct sl_admin *admin;
};

/* Listens on every address of the settings. `settings`, `base` and `log` are
 * borrowed. Returns NULL with the reason in `err`. */
struct sl_shell *SlShell_New(const struct sl_settings *settings,
                             struct event_base *base, struct sl_log *log,
                             struct sl_error *err);
void SlShell_Free(struct sl_shell *shell);
/* Hands one event to the core and carries out its effects. The caller fills
 * `type` and the part that belongs to it; the time is set here. */
void SlShell_Dispatch(struct sl_shell *shell, struct sl_event *event);
/* Writes the state dump to the log. */
void SlShell_LogState(struct sl_shell *shell);

/* Monotonic time that goes on while the VM is suspended: evidence must age in
 * that time too. */
int64_t SlShell_Now(void);

/* ---- parts; each effect goes to the part that owns it ---- */

struct sl_peers *SlPeers_New(struct sl_shell *shell, struct sl_error *err);
void SlPeers_Free(struct sl_peers *peers);
void SlPeers_Perform(struct sl_peers *peers, const struct sl_effect *effect);

struct sl_callers *SlCallers_New(struct sl_shell *shell, struct sl_error *err);
void SlCallers_Free(struct sl_callers *callers);
void SlCallers_Perform(struct sl_callers *callers,
                       const struct sl_effect *effect);

struct sl_outside *SlOutside_New(struct sl_shell *shell);
void SlOutside_Free(struct sl_outside *outside);
void SlOutside_Perform(struct sl_outside *outside,
                       const struct sl_effect *effect);

struct sl_admin *SlAdmin_New(struct sl_shell *shell, struct sl_error *err);
void SlAdmin_Free(struct sl_admin *admin);

/* Splits "IP:PORT"; the settings were checked before. */
void SlShell_SplitAddress(const struct sl_name *address, char *host,
                          size_t host_size, uint16_t *port);

#endif
