/*
 * The shell of `sassafrasd --role router`: it turns what happens on sockets
 * into events of the router's reducer, and carries its effects out. It holds
 * no decisions.
 */
#ifndef Sl_SASSAFRASD_ROUTER_H
#define Sl_SASSAFRASD_ROUTER_H

#include "sl_common.h"

struct sl_router_runtime_options {
    enum sl_log_level level; /* what is logged; Sl_LOG_ERROR: nearly nothing */
    int metrics_port;        /* for /metrics and /state; 0: not served */
};

/* Reads the platform's settings, serves until it is told to leave, and
 * returns the process's exit code. */
int SlRouterRuntime_Main(const struct sl_router_runtime_options *options);

#endif
