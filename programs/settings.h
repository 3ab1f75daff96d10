/*
 * Settings of an entry or agent: one JSON object, which is checked completely
 * before the process listens or connects anywhere. Addresses are "IP:PORT",
 * names have 1 to 255 bytes.
 *
 * | key | role | meaning |
 * |---|---|---|
 * | vm, domain | both | this VM's name and failure domain |
 * | role | both | "entry" or "agent" |
 * | listen | entry | address for clients |
 * | peer_listen | agent | address for other sassafrasd processes |
 * | admin_listen | both | address for /state, /counters, /ready, /live |
 * | log_service, vm_list | both | addresses of the platform's services |
 * | rating_service | entry | address; optional |
 * | drain_grace_ms | entry | milliseconds after SIGTERM for which requests are
 *   still accepted, so that the load balancer can notice that /ready fails;
 *   0 to 60000, optional, 3000 |
 * | upstream | agent | {"name", "adapter": "engine"\|"plain", "address"} |
 * | log_level | both | debug, info, warn, error; optional, "info" |
 */
#ifndef Sl_SETTINGS_H
#define Sl_SETTINGS_H

#include "sl_common.h"

struct sl_settings {
    struct sl_name vm;
    struct sl_name domain;
    enum sl_role role;
    struct sl_name listen;
    struct sl_name peer_listen;
    struct sl_name admin_listen;
    struct sl_name log_service;
    struct sl_name vm_list;
    struct sl_name rating_service;
    int64_t drain_grace_ms;
    struct sl_name upstream;
    struct sl_name upstream_address;
    bool upstream_is_engine; /* adapter "engine"; if not, "plain" */
    enum sl_log_level log_level;
};

/* Returns true for "IP:PORT" with an IPv4 address and a port from 1 to 65535,
 * without leading zeros. */
bool SlSettings_IsAddress(const char *text);
/* Reads a JSON file. Returns NULL with the reason in `err` if it cannot be
 * read, is not JSON or has a duplicate key. The caller owns the result. */
json_t *SlSettings_ReadJson(const char *path, struct sl_error *err);
/* Checks `json` and fills `settings`, which keeps no reference to `json`.
 * Returns Sl_ERR_INVALID if a value is not allowed; `err` then names the key,
 * the value found and what is allowed. */
enum sl_errno SlSettings_Parse(const json_t *json,
                               struct sl_settings *settings,
                               struct sl_error *err);
/* Reads a file and parses it with SlSettings_Parse(). Returns Sl_ERR_INVALID
 * if that fails. */
enum sl_errno SlSettings_Load(const char *path, struct sl_settings *settings,
                              struct sl_error *err);

#endif
