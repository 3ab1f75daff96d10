/*
 * The shell of `sassafrasd --role router`: it turns what happens on sockets
 * into events of the router's reducer, and carries its effects out. It holds
 * no decisions.
 */
#ifndef Sl_SASSAFRASD_ROUTER_H
#define Sl_SASSAFRASD_ROUTER_H

#include "sl_common.h"

/* Reads the platform's settings, serves until it is told to leave, and
 * returns the process's exit code. `level` bounds what is logged. */
int SlRouterShell_Main(enum sl_log_level level);

#endif
