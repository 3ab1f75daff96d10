/* Shared by the files of the router's shell. */
#ifndef Sl_SASSAFRASD_ROUTER_INTERNAL_H
#define Sl_SASSAFRASD_ROUTER_INTERNAL_H

#include "sassafrasd_router.h"
#include "sl_platform.h"

#include <event2/event.h>

struct sl_router_peers;

struct sl_router_runtime {
    struct sl_platform_settings settings;
    struct event_base *base;
    struct sl_log_sink *sink;
    struct sl_log_sampler *sampler;
    uint64_t sampled_counted; /* left out lines that metrics know of */
    uint64_t full_counted;
    enum sl_log_level level;
    struct sl_router *router;
    struct sl_router_effects *effects;
    struct sl_client *client;
    struct sl_store *store;
    struct sl_server *callers;
    struct sl_server *checks;
    int metrics_port;
    struct sl_server *metrics; /* NULL: not wanted */
    struct event *timer;
    struct event *flush;
    struct sl_router_peers *peers;
    GHashTable *calls; /* token -> struct sl_router_call, owned */
    struct sl_buf relay;
    struct sl_buf line;
    bool busy; /* an event is in hand */
    int64_t leave_by_us;
};

/* Hands one event to the reducer and carries out its effects. The caller
 * fills `type` and the part that belongs to it; the time is set here. */
void SlRouterRuntime_Dispatch(struct sl_router_runtime *shell,
                              struct sl_router_event *event);
/* Writes a log line; `fields` are JSON members. */
void SlRouterRuntime_LogRequest(struct sl_router_runtime *shell,
                                enum sl_log_level level, uint64_t request,
                                enum sl_log_end end, struct sl_str fields);
/* As SlRouterRuntime_LogRequest(), for a line that concerns no request. */
void SlRouterRuntime_Log(struct sl_router_runtime *shell,
                         enum sl_log_level level, struct sl_str fields);

/* ---- peers: sassafrasd_router_peers.c ---- */

/* Listens at the first port for the system's own processes, for datagrams and
 * for connections. NULL with the reason in `err`. */
struct sl_router_peers *SlRouterPeers_New(struct sl_router_runtime *shell,
                                          struct sl_error *err);
void SlRouterPeers_Free(struct sl_router_peers *peers);
/* "IP:PORT" at which peers reach this process. */
struct sl_name SlRouterPeers_Address(const struct sl_router_runtime *shell);
/* Carries out GOSSIP, PULL and PAGE. */
void SlRouterPeers_Perform(struct sl_router_peers *peers,
                           const struct sl_router_effect *effect);

#endif
