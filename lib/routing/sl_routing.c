/* Routing tables: built once, then immutable. */
#include "sl_routing.h"

#include <assert.h>
#include <string.h>

/* Limits of a table for which none are set. */
static const struct sl_client_limits default_limits = {
    .max_header_bytes = (int64_t)16 * 1024,
    .max_body_bytes = (int64_t)4 * 1024 * 1024,
    .header_timeout_us = 3 * Sl_US_PER_S,
    .idle_timeout_us = 15 * Sl_US_PER_S,
};

struct sl_routing {
    unsigned references;
    int64_t version;
    struct sl_client_limits limits;
    GPtrArray *services; /* struct sl_route_service, owned */
    GPtrArray *routes;   /* struct sl_route, owned */
    GPtrArray *teams;    /* struct sl_team, owned */
    /* Indexes of the arrays above. */
    GHashTable *by_name;   /* service name -> struct sl_route_service */
    GHashTable *by_prefix; /* "host\nprefix" -> struct sl_route */
    GHashTable *by_key;    /* API key -> struct sl_team */
};

/* ---- build ---- */

struct sl_routing *
SlRouting_New(int64_t version)
{
    struct sl_routing *routing = g_new0(struct sl_routing, 1);
    routing->references = 1;
    routing->version = version;
    routing->limits = default_limits;
    routing->services = g_ptr_array_new_with_free_func(g_free);
    routing->routes = g_ptr_array_new_with_free_func(g_free);
    routing->teams = g_ptr_array_new_with_free_func(g_free);
    routing->by_name = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    routing->by_prefix =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    routing->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return routing;
}

struct sl_routing *
SlRouting_Ref(struct sl_routing *routing)
{
    routing->references++;
    return routing;
}

void
SlRouting_Unref(struct sl_routing *routing)
{
    if (routing == NULL || --routing->references > 0) {
        return;
    }
    g_hash_table_destroy(routing->by_key);
    g_hash_table_destroy(routing->by_prefix);
    g_hash_table_destroy(routing->by_name);
    g_ptr_array_free(routing->teams, TRUE);
    g_ptr_array_free(routing->routes, TRUE);
    g_ptr_array_free(routing->services, TRUE);
    g_free(routing);
}

void
SlRouting_SetLimits(struct sl_routing *routing,
                    const struct sl_client_limits *limits)
{
    routing->limits = *limits;
}

static enum sl_errno
report_duplicate(struct sl_error *err, const char *what, const char *name)
{
    return SlError_Set(err, Sl_ERR_INVALID, "routing.build", "",
                       "%s \"%s\" is defined twice", what, name);
}

enum sl_errno
SlRouting_AddService(struct sl_routing *routing,
                     const struct sl_route_service *service,
                     struct sl_error *err)
{
    if (SlRouting_FindService(routing, &service->name) != NULL) {
        return report_duplicate(err, "service", service->name.text);
    }
    struct sl_route_service *copy = g_memdup2(service, sizeof(*service));
    g_ptr_array_add(routing->services, copy);
    g_hash_table_insert(routing->by_name, &copy->name, copy);
    return Sl_OK;
}

/* Size of the longest key "host\nprefix", with its terminating NUL. */
#define Sl_PREFIX_KEY_BYTES (2 * Sl_NAME_MAX_BYTES + 2)

/* Writes the key of a route in `by_prefix`, NUL-terminated, to `key`, which
 * has room for Sl_PREFIX_KEY_BYTES. */
static void
format_prefix_key(char *key, struct sl_str host, struct sl_str prefix)
{
    assert(host.len + prefix.len + 2 <= Sl_PREFIX_KEY_BYTES);
    for (size_t i = 0; i < host.len; i++) {
        key[i] = g_ascii_tolower(host.ptr[i]);
    }
    key[host.len] = '\n';
    memcpy(key + host.len + 1, prefix.ptr, prefix.len);
    key[host.len + 1 + prefix.len] = '\0';
}

enum sl_errno
SlRouting_AddRoute(struct sl_routing *routing, const struct sl_route *route,
                   struct sl_error *err)
{
    char key[Sl_PREFIX_KEY_BYTES];
    format_prefix_key(key, SlName_Str(&route->host),
                      SlName_Str(&route->prefix));
    if (g_hash_table_contains(routing->by_prefix, key)) {
        return report_duplicate(err, "route", route->name.text);
    }
    struct sl_route *copy = g_memdup2(route, sizeof(*route));
    g_ptr_array_add(routing->routes, copy);
    g_hash_table_insert(routing->by_prefix, g_strdup(key), copy);
    return Sl_OK;
}

static struct sl_team *
find_team(const struct sl_routing *routing, const struct sl_name *name)
{
    for (guint i = 0; i < routing->teams->len; i++) {
        struct sl_team *team = routing->teams->pdata[i];
        if (SlName_Equal(&team->name, name)) {
            return team;
        }
    }
    return NULL;
}

enum sl_errno
SlRouting_AddTeam(struct sl_routing *routing, const struct sl_team *team,
                  struct sl_error *err)
{
    if (find_team(routing, &team->name) != NULL) {
        return report_duplicate(err, "team", team->name.text);
    }
    g_ptr_array_add(routing->teams, g_memdup2(team, sizeof(*team)));
    return Sl_OK;
}

enum sl_errno
SlRouting_AddKey(struct sl_routing *routing, struct sl_str key,
                 const struct sl_name *team, struct sl_error *err)
{
    struct sl_team *key_team = find_team(routing, team);
    assert(key_team != NULL);
    char *text = g_strndup(key.ptr, key.len);
    if (g_hash_table_contains(routing->by_key, text)) {
        g_free(text);
        return report_duplicate(err, "a key of team", team->text);
    }
    g_hash_table_insert(routing->by_key, text, key_team);
    return Sl_OK;
}

/* ---- lookup ---- */

int64_t
SlRouting_Version(const struct sl_routing *routing)
{
    return routing->version;
}

const struct sl_client_limits *
SlRouting_Limits(const struct sl_routing *routing)
{
    return &routing->limits;
}

const struct sl_route *
SlRouting_Match(const struct sl_routing *routing, struct sl_str host,
                struct sl_str target)
{
    char key[Sl_PREFIX_KEY_BYTES];
    const char *colon = memchr(host.ptr, ':', host.len);
    const char *query = memchr(target.ptr, '?', target.len);
    if (colon != NULL) {
        host.len = (size_t)(colon - host.ptr);
    }
    if (query != NULL) {
        target.len = (size_t)(query - target.ptr);
    }
    if (host.len > Sl_NAME_MAX_BYTES) {
        return NULL;
    }
    /* All prefixes end with a slash: try each slash, from the last one. */
    size_t prefix_len = MIN(target.len, (size_t)Sl_NAME_MAX_BYTES);
    for (; prefix_len > 0; prefix_len--) {
        if (target.ptr[prefix_len - 1] != '/') {
            continue;
        }
        format_prefix_key(key, host, (struct sl_str){target.ptr, prefix_len});
        const struct sl_route *route =
            g_hash_table_lookup(routing->by_prefix, key);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

const struct sl_team *
SlRouting_TeamOfKey(const struct sl_routing *routing, struct sl_str key)
{
    char *text = g_strndup(key.ptr, key.len);
    const struct sl_team *team = g_hash_table_lookup(routing->by_key, text);
    g_free(text);
    return team;
}

bool
SlRouting_NeedsKeys(const struct sl_routing *routing)
{
    return routing->teams->len > 0;
}

const struct sl_route_service *
SlRouting_FindService(const struct sl_routing *routing,
                      const struct sl_name *name)
{
    return g_hash_table_lookup(routing->by_name, name);
}

size_t
SlRouting_RouteCount(const struct sl_routing *routing)
{
    return routing->routes->len;
}

size_t
SlRouting_ServiceCount(const struct sl_routing *routing)
{
    return routing->services->len;
}

const struct sl_route_service *
SlRouting_Service(const struct sl_routing *routing, size_t index)
{
    return routing->services->pdata[index];
}

const struct sl_name *
SlRoute_SelectService(const struct sl_route *route, uint64_t hash)
{
    double weight_sum = 0;
    assert(route->target_count > 0);
    for (size_t i = 0; i < route->target_count; i++) {
        weight_sum += route->targets[i].weight;
    }
    /* The hash as a number from 0 to the sum of the weights; 53 is the number
     * of significant bits of a double. */
    double position =
        (double)(SlHash_Mix(hash) >> 11) * 0x1.0p-53 * weight_sum;
    for (size_t i = 0; i + 1 < route->target_count; i++) {
        position -= route->targets[i].weight;
        if (position < 0) {
            return &route->targets[i].service;
        }
    }
    return &route->targets[route->target_count - 1].service;
}
