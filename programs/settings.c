/* Reads and checks the settings of a sassafrasd process. */
#include "settings.h"

#include <arpa/inet.h>
#include <string.h>

#define Sl_DEFAULT_DRAIN_GRACE_MS 3000
#define Sl_MAX_DRAIN_GRACE_MS 60000
#define Sl_ERROR_STEP "settings.check"
#define Sl_TOP_LEVEL "settings"
#define Sl_PORT_MAX_DIGITS 5
#define Sl_PORT_MAX 65535
/* Bytes of an invalid value that an error shows. */
#define Sl_MAX_SHOWN_BYTES 60
#define Sl_ALLOWED_ADDRESS                                                    \
    "\"IP:PORT\" with an IPv4 address and a port from 1 to 65535"

/* ---- helpers ---- */

/* Sets an error that names the object (`where`), the key, the value found
 * (NULL: none) and what is allowed. Returns Sl_ERR_INVALID. */
static enum sl_errno
set_invalid_value(const char *where, const char *key, const json_t *value,
                  const char *allowed, struct sl_error *err)
{
    if (value == NULL) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_ERROR_STEP, NULL,
                           "%s: \"%s\" is missing, allowed: %s", where, key,
                           allowed);
    }
    char *shown = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    SlError_Set(err, Sl_ERR_INVALID, Sl_ERROR_STEP, NULL,
                "%s: \"%s\" is %.*s, allowed: %s", where, key,
                Sl_MAX_SHOWN_BYTES, shown == NULL ? "unreadable" : shown,
                allowed);
    free(shown);
    return Sl_ERR_INVALID;
}

/* Returns true for 1 to 65535 in decimal, without leading zeros. */
static bool
is_port(const char *text)
{
    size_t len = strlen(text);
    if (len == 0 || len > Sl_PORT_MAX_DIGITS || text[0] == '0' ||
        strspn(text, "0123456789") != len) {
        return false;
    }
    return strtol(text, NULL, 10) <= Sl_PORT_MAX;
}

static enum sl_errno
read_name(const json_t *json, const char *where, const char *key,
          struct sl_name *out, struct sl_error *err)
{
    struct sl_error ignored;
    if (SlJson_Name(json, key, true, where, out, &ignored) != Sl_OK) {
        return set_invalid_value(where, key, json_object_get(json, key),
                                 "a string of 1 to 255 bytes", err);
    }
    return Sl_OK;
}

static enum sl_errno
read_address(const json_t *json, const char *where, const char *key,
             struct sl_name *out, struct sl_error *err)
{
    struct sl_error ignored;
    if (SlJson_Name(json, key, true, where, out, &ignored) != Sl_OK ||
        !SlSettings_IsAddress(out->text)) {
        return set_invalid_value(where, key, json_object_get(json, key),
                                 Sl_ALLOWED_ADDRESS, err);
    }
    return Sl_OK;
}

/* Fails if one of the NULL-terminated `keys`, which belong to the other role,
 * is present. */
static enum sl_errno
reject_keys(const json_t *json, const char *const *keys, enum sl_role role,
            struct sl_error *err)
{
    char allowed[64];
    snprintf(allowed, sizeof(allowed), "nothing when \"role\" is \"%s\"",
             SlRole_Name(role));
    for (; *keys != NULL; keys++) {
        const json_t *value = json_object_get(json, *keys);
        if (value != NULL) {
            return set_invalid_value(Sl_TOP_LEVEL, *keys, value, allowed, err);
        }
    }
    return Sl_OK;
}

static enum sl_errno
read_role(const json_t *json, struct sl_settings *settings,
          struct sl_error *err)
{
    const json_t *value = json_object_get(json, "role");
    const char *text = json_string_value(value);
    if (text == NULL || !SlRole_Parse(SlStr_FromC(text), &settings->role)) {
        return set_invalid_value(Sl_TOP_LEVEL, "role", value,
                                 "\"entry\" or \"agent\"", err);
    }
    return Sl_OK;
}

static enum sl_errno
read_log_level(const json_t *json, struct sl_settings *settings,
               struct sl_error *err)
{
    const json_t *value = json_object_get(json, "log_level");
    settings->log_level = Sl_LOG_INFO;
    if (value == NULL) {
        return Sl_OK;
    }
    const char *text = json_string_value(value);
    if (text == NULL || !SlLog_ParseLevel(text, &settings->log_level)) {
        return set_invalid_value(Sl_TOP_LEVEL, "log_level", value,
                                 "\"debug\", \"info\", \"warn\" or \"error\"",
                                 err);
    }
    return Sl_OK;
}

static enum sl_errno
read_upstream(const json_t *json, struct sl_settings *settings,
              struct sl_error *err)
{
    static const char *const keys[] = {"name", "adapter", "address", NULL};
    static const char *const where = "settings, \"upstream\"";
    const json_t *upstream = json_object_get(json, "upstream");
    if (!json_is_object(upstream)) {
        return set_invalid_value(
            Sl_TOP_LEVEL, "upstream", upstream,
            "an object with \"name\", \"adapter\" and \"address\"", err);
    }
    Sl_TRY(SlJson_CheckKeys(upstream, keys, where, err));
    Sl_TRY(read_name(upstream, where, "name", &settings->upstream, err));
    const json_t *adapter = json_object_get(upstream, "adapter");
    const char *text = json_string_value(adapter);
    settings->upstream_is_engine = g_strcmp0(text, "engine") == 0;
    if (!settings->upstream_is_engine && g_strcmp0(text, "plain") != 0) {
        return set_invalid_value(where, "adapter", adapter,
                                 "\"engine\" or \"plain\"", err);
    }
    return read_address(upstream, where, "address",
                        &settings->upstream_address, err);
}

static enum sl_errno
read_entry(const json_t *json, struct sl_settings *settings,
           struct sl_error *err)
{
    static const char *const other_role_keys[] = {"peer_listen", "upstream",
                                                  NULL};
    static const struct sl_json_int_rule drain_grace_rule = {
        0, Sl_MAX_DRAIN_GRACE_MS, Sl_DEFAULT_DRAIN_GRACE_MS, false};
    const char *where = Sl_TOP_LEVEL;
    Sl_TRY(reject_keys(json, other_role_keys, Sl_ROLE_ENTRY, err));
    Sl_TRY(read_address(json, where, "listen", &settings->listen, err));
    Sl_TRY(SlJson_Int(json, "drain_grace_ms", &drain_grace_rule, where,
                      &settings->drain_grace_ms, err));
    if (json_object_get(json, "rating_service") == NULL) {
        return Sl_OK;
    }
    return read_address(json, where, "rating_service",
                        &settings->rating_service, err);
}

static enum sl_errno
read_agent(const json_t *json, struct sl_settings *settings,
           struct sl_error *err)
{
    static const char *const other_role_keys[] = {"listen", "rating_service",
                                                  "drain_grace_ms", NULL};
    Sl_TRY(reject_keys(json, other_role_keys, Sl_ROLE_AGENT, err));
    Sl_TRY(read_address(json, Sl_TOP_LEVEL, "peer_listen",
                        &settings->peer_listen, err));
    return read_upstream(json, settings, err);
}

static enum sl_errno
read_settings(const json_t *json, struct sl_settings *settings,
              struct sl_error *err)
{
    static const char *const keys[] = {
        "vm",          "domain",         "role",        "listen",
        "peer_listen", "admin_listen",   "log_service", "vm_list",
        "upstream",    "rating_service", "log_level",   "drain_grace_ms",
        NULL};
    const char *where = Sl_TOP_LEVEL;
    Sl_TRY(SlJson_CheckKeys(json, keys, where, err));
    Sl_TRY(read_name(json, where, "vm", &settings->vm, err));
    Sl_TRY(read_name(json, where, "domain", &settings->domain, err));
    Sl_TRY(read_role(json, settings, err));
    Sl_TRY(read_address(json, where, "admin_listen", &settings->admin_listen,
                        err));
    Sl_TRY(
        read_address(json, where, "log_service", &settings->log_service, err));
    Sl_TRY(read_address(json, where, "vm_list", &settings->vm_list, err));
    Sl_TRY(read_log_level(json, settings, err));
    if (settings->role == Sl_ROLE_ENTRY) {
        return read_entry(json, settings, err);
    }
    return read_agent(json, settings, err);
}

/* ---- public ---- */

bool
SlSettings_IsAddress(const char *text)
{
    char ip[INET_ADDRSTRLEN];
    struct in_addr ip_address;
    const char *colon = strchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    size_t len = (size_t)(colon - text);
    memcpy(ip, text, len);
    ip[len] = '\0';
    return inet_pton(AF_INET, ip, &ip_address) == 1 && is_port(colon + 1);
}

enum sl_errno
SlSettings_Parse(const json_t *json, struct sl_settings *settings,
                 struct sl_error *err)
{
    memset(settings, 0, sizeof(*settings));
    return read_settings(json, settings, err);
}

json_t *
SlSettings_ReadJson(const char *path, struct sl_error *err)
{
    json_error_t where;
    json_t *json = json_load_file(path, JSON_REJECT_DUPLICATES, &where);
    if (json != NULL) {
        return json;
    }
    if (json_error_code(&where) == json_error_cannot_open_file) {
        SlError_Set(err, Sl_ERR_INVALID, "file.read", NULL, "%s", where.text);
    }
    else {
        SlError_Set(err, Sl_ERR_INVALID, "file.read", NULL,
                    "line %d, column %d: %s", where.line, where.column,
                    where.text);
    }
    return NULL;
}

enum sl_errno
SlSettings_Load(const char *path, struct sl_settings *settings,
                struct sl_error *err)
{
    json_t *json = SlSettings_ReadJson(path, err);
    if (json == NULL) {
        return Sl_ERR_INVALID;
    }
    enum sl_errno code = SlSettings_Parse(json, settings, err);
    json_decref(json);
    return code;
}
