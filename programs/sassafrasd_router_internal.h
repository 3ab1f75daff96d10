/* Shared by the files of the router's runtime. */
#ifndef Sl_SASSAFRASD_ROUTER_INTERNAL_H
#define Sl_SASSAFRASD_ROUTER_INTERNAL_H

#include "sassafrasd_router.h"
#include "sl_platform.h"

#include <event2/event.h>

struct sl_router_peer_transport;
struct sl_router_reader_watch;

struct sl_router_runtime {
    struct sl_platform_settings settings;
    struct event_base *base;
    struct sl_log_sink *sink;
    struct sl_log_sampler *sampler;
    /* Lines dropped by the sampler and by the full sink that the metrics
     * already count. */
    uint64_t counted_sampled;
    uint64_t counted_full;
    enum sl_log_level level;
    struct sl_router *router;
    struct sl_router_effects *effects;
    struct sl_http_client *client;
    struct sl_store *store;
    struct sl_http_server *frontend;     /* clients' requests */
    struct sl_http_server *ready_server; /* the load balancer's checks */
    int metrics_port;
    struct sl_http_server *metrics_server; /* NULL without --metrics-port */
    struct event *timer;       /* earliest due time of the reducer */
    struct event *flush_timer; /* flushes the log sink */
    struct sl_router_peer_transport *peers;
    struct sl_router_reader_watch *readers; /* NULL: memory is not guarded */
    /* Calls and health checks of upstreams: token -> struct
     * sl_router_call, owned. */
    GHashTable *calls;
    struct sl_buf forwarded; /* headers that are being decoded */
    struct sl_buf log_line;  /* reused for encoding */
    bool is_dispatching;     /* an event is being processed */
    int64_t exit_us;         /* when the reducer asked for the exit */
    int64_t drain_end_us;    /* as it told then */
};

/* Passes one event to the reducer and carries out the effects that it
 * returns. The caller sets `type` and the members that belong to it; the time
 * is set here. Must not be called while an event is being processed. */
void SlRouterRuntime_Dispatch(struct sl_router_runtime *runtime,
                              struct sl_router_event *event);
/* Logs a line about the request of that number, 0 for none; the sampler may
 * leave it out. `fields` are the line's JSON members after time, level and VM.
 * Lines below the log level are ignored. */
void SlRouterRuntime_LogRequest(struct sl_router_runtime *runtime,
                                enum sl_log_level level, uint64_t request,
                                enum sl_log_request_state request_state,
                                struct sl_str fields);
/* As SlRouterRuntime_LogRequest(), for a line that belongs to no request. */
void SlRouterRuntime_Log(struct sl_router_runtime *runtime,
                         enum sl_log_level level, struct sl_str fields);

/* Stops to read the response of the call, or goes on. */
void SlRouterRuntime_PauseCall(struct sl_router_runtime *runtime,
                               uint64_t token, bool is_paused);

/* ---- slow clients: sassafrasd_router_readers.c ---- */

struct sl_router_reader_watch *
SlRouterReaders_New(struct sl_router_runtime *runtime);
/* Frees the watch; like the functions below, it allows NULL. */
void SlRouterReaders_Free(struct sl_router_reader_watch *watch);
/* Bytes were sent to the client, from the call with that token; 0: the
 * response is complete. */
void SlRouterReaders_OnSent(struct sl_router_reader_watch *watch,
                            uint64_t conn, uint64_t token);
/* Handler of the server for clients, `on_written`; `context` is the runtime,
 * whose watch is not NULL. */
void SlRouterReaders_OnWritten(void *context, uint64_t conn,
                               size_t unsent_bytes);
void SlRouterReaders_OnClosed(struct sl_router_reader_watch *watch,
                              uint64_t conn);
void SlRouterReaders_SetMetrics(const struct sl_router_reader_watch *watch);

/* ---- peers: sassafrasd_router_peers.c ---- */

/* Listens on the first internal port, for datagrams and for connections.
 * Returns NULL with the reason in `err` if that fails. */
struct sl_router_peer_transport *
SlRouterPeerTransport_New(struct sl_router_runtime *runtime,
                          struct sl_error *err);
void SlRouterPeerTransport_Free(struct sl_router_peer_transport *peers);
/* Returns the "IP:PORT" at which peers reach this router. */
struct sl_name
SlRouterPeerTransport_Address(const struct sl_router_runtime *runtime);
/* Carries out an effect of type SEND_DIGEST, SEND_PEER_LIST, PULL or
 * SEND_PAGE. */
void SlRouterPeerTransport_Perform(struct sl_router_peer_transport *peers,
                                   const struct sl_router_effect *effect);

#endif
