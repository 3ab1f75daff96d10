/*
 * Runtime of the router role of sassafrasd: it turns I/O into events of the
 * router's reducer and carries out the effects that the reducer returns. It
 * makes no decisions itself.
 */
#ifndef Sl_SASSAFRASD_ROUTER_H
#define Sl_SASSAFRASD_ROUTER_H

#include "sl_common.h"

struct sl_router_runtime_options {
    enum sl_log_level level; /* least level that is logged */
    int metrics_port;        /* port of /metrics and /state; 0: not served */
};

/* Reads the platform's settings and serves until the process has drained.
 * Returns the process's exit code. */
int SlRouterRuntime_Main(const struct sl_router_runtime_options *options);

#endif
