/*
 * Runtime of the entry and agent roles of sassafrasd: it turns I/O into events
 * of the core's reducer and carries out the effects that the reducer returns.
 * It makes no decisions itself.
 *
 * sassafrasd.c           options, settings, signals
 * sassafrasd_runtime.c   event loop: events in, effects out
 * sassafrasd_peers.c     connections to other sassafrasd processes
 * sassafrasd_frontend.c  HTTP server for clients
 * sassafrasd_external.c  the platform's services and the upstream
 * sassafrasd_admin.c     HTTP server for operators
 */
#ifndef Sl_SASSAFRASD_RUNTIME_H
#define Sl_SASSAFRASD_RUNTIME_H

#include "settings.h"
#include "sl_adapters.h"
#include "sl_core.h"

#include <event2/event.h>

struct sl_peer_transport;
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
    bool is_dispatching; /* an event is being processed */
    bool is_closing;     /* events are ignored */
    struct sl_peer_transport *peers;
    struct sl_frontend *frontend; /* entries only */
    struct sl_external_services *external;
    struct sl_admin *admin;
    int64_t exit_us; /* when the core asked for the exit */
};

/* Listens on every address of the settings and starts the reducer. `settings`,
 * `base` and `log` are borrowed. Returns NULL with the reason in `err` if an
 * address cannot be listened on. */
struct sl_runtime *SlRuntime_New(const struct sl_settings *settings,
                                 struct event_base *base, struct sl_log *log,
                                 struct sl_error *err);
void SlRuntime_Free(struct sl_runtime *runtime);
/* Passes one event to the core and carries out the effects that it returns.
 * The caller sets `type` and the members that belong to it; the time is set
 * here. Must not be called while an event is being processed. */
void SlRuntime_Dispatch(struct sl_runtime *runtime, struct sl_event *event);
/* Writes the core's state to the log, as JSON. */
void SlRuntime_LogState(struct sl_runtime *runtime);

/* Monotonic time in microseconds. It includes time for which the VM was
 * suspended, because confirmations by a quorum must age in that time too. */
int64_t SlRuntime_NowUs(void);

/* ---- parts of the runtime ---- */

/* *_New() returns NULL with the reason in `err` if the part cannot listen on
 * its address. *_Perform() carries out one effect of the part's own types. */

/* Connections to other sassafrasd processes. */
struct sl_peer_transport *SlPeerTransport_New(struct sl_runtime *runtime,
                                              struct sl_error *err);
void SlPeerTransport_Free(struct sl_peer_transport *peers);
void SlPeerTransport_Perform(struct sl_peer_transport *peers,
                             const struct sl_effect *effect);

/* HTTP server for clients. */
struct sl_frontend *SlFrontend_New(struct sl_runtime *runtime,
                                   struct sl_error *err);
void SlFrontend_Free(struct sl_frontend *frontend);
/* Returns true if clients have not received all of their responses. */
bool SlFrontend_HasUnsent(const struct sl_frontend *frontend);
void SlFrontend_Perform(struct sl_frontend *frontend,
                        const struct sl_effect *effect);

/* The platform's services and the upstream; listens on no address. */
struct sl_external_services *
SlExternalServices_New(struct sl_runtime *runtime);
void SlExternalServices_Free(struct sl_external_services *external);
void SlExternalServices_Perform(struct sl_external_services *external,
                                const struct sl_effect *effect);

/* HTTP server for operators. */
struct sl_admin *SlAdmin_New(struct sl_runtime *runtime, struct sl_error *err);
void SlAdmin_Free(struct sl_admin *admin);

/* Splits "IP:PORT", which must be valid, as addresses of checked settings
 * are. */
void SlRuntime_SplitAddress(const struct sl_name *address, char *host,
                            size_t host_size, uint16_t *port);

#endif
