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
    bool needs_keys;
    struct sl_client_limits limits;
    GPtrArray *services; /* struct sl_route_service, owned */
    GPtrArray *routes;   /* struct sl_route, owned */
    GPtrArray *teams;    /* struct sl_team, owned */
    /* Indexes of the arrays above. */
    GHashTable *by_name;   /* service name -> struct sl_route_service */
    GHashTable *by_team;   /* team name -> struct sl_team */
    GHashTable *by_prefix; /* host and prefix of a route -> the route itself */
    GArray *prefix_lens;   /* size_t, lengths of the prefixes, longest first */
    GHashTable *by_key;    /* API key -> struct sl_team */
};

/* ---- build ---- */

static void
free_service(gpointer data)
{
    struct sl_route_service *service = data;
    g_free(service->models);
    g_free(service);
}

static void
free_route(gpointer data)
{
    struct sl_route *route = data;
    g_free((char *)route->host.ptr);
    g_free((char *)route->prefix.ptr);
    g_free(route->models);
    g_free(route->targets);
    g_free(route->regions.names);
    g_free(route);
}

static void
free_team(gpointer data)
{
    struct sl_team *team = data;
    g_free(team->regions.names);
    g_free(team);
}

/* Hash of a route's host, without case, and prefix. */
static guint
hash_prefix(gconstpointer data)
{
    const struct sl_route *route = data;
    guint hash = 0;
    for (size_t i = 0; i < route->host.len; i++) {
        hash = hash * 31 + (guint)g_ascii_tolower(route->host.ptr[i]);
    }
    return hash * 31 + (guint)SlHash_Bytes(0, route->prefix);
}

static gboolean
equal_prefix(gconstpointer a, gconstpointer b)
{
    const struct sl_route *route = a;
    const struct sl_route *other = b;
    return SlStr_Equal(route->prefix, other->prefix) &&
           route->host.len == other->host.len &&
           g_ascii_strncasecmp(route->host.ptr, other->host.ptr,
                               route->host.len) == 0;
}

struct sl_routing *
SlRouting_New(int64_t version)
{
    struct sl_routing *routing = g_new0(struct sl_routing, 1);
    routing->references = 1;
    routing->version = version;
    routing->limits = default_limits;
    routing->services = g_ptr_array_new_with_free_func(free_service);
    routing->routes = g_ptr_array_new_with_free_func(free_route);
    routing->teams = g_ptr_array_new_with_free_func(free_team);
    routing->by_name = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    routing->by_team = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    routing->by_prefix = g_hash_table_new(hash_prefix, equal_prefix);
    routing->prefix_lens = g_array_new(FALSE, FALSE, sizeof(size_t));
    routing->by_key =
        g_hash_table_new_full(SlStr_TableHash, SlStr_TableEqual, g_free, NULL);
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
    g_array_free(routing->prefix_lens, TRUE);
    g_hash_table_destroy(routing->by_team);
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
    copy->models = g_memdup2(service->models,
                             service->model_count * sizeof(*service->models));
    g_ptr_array_add(routing->services, copy);
    g_hash_table_insert(routing->by_name, &copy->name, copy);
    return Sl_OK;
}

static struct sl_str
copy_str(struct sl_str text)
{
    return (struct sl_str){g_memdup2(text.ptr, text.len), text.len};
}

static struct sl_region_list
copy_region_list(const struct sl_region_list *list)
{
    struct sl_region_list copy = *list;
    copy.names = g_memdup2(list->names, list->count * sizeof(*list->names));
    return copy;
}

/* Adds the length to the table's list unless it is there. */
static void
add_prefix_len(struct sl_routing *routing, size_t len)
{
    GArray *lens = routing->prefix_lens;
    guint place = 0;
    while (place < lens->len && g_array_index(lens, size_t, place) > len) {
        place++;
    }
    if (place == lens->len || g_array_index(lens, size_t, place) != len) {
        g_array_insert_val(lens, place, len);
    }
}

enum sl_errno
SlRouting_AddRoute(struct sl_routing *routing, const struct sl_route *route,
                   struct sl_error *err)
{
    if (g_hash_table_contains(routing->by_prefix, route)) {
        return report_duplicate(err, "route", route->name.text);
    }
    struct sl_route *copy = g_memdup2(route, sizeof(*route));
    copy->host = copy_str(route->host);
    copy->prefix = copy_str(route->prefix);
    copy->models =
        g_memdup2(route->models, route->model_count * sizeof(*route->models));
    copy->targets = g_memdup2(route->targets,
                              route->target_count * sizeof(*route->targets));
    copy->regions = copy_region_list(&route->regions);
    g_ptr_array_add(routing->routes, copy);
    g_hash_table_add(routing->by_prefix, copy);
    add_prefix_len(routing, copy->prefix.len);
    return Sl_OK;
}

enum sl_errno
SlRouting_AddTeam(struct sl_routing *routing, const struct sl_team *team,
                  struct sl_error *err)
{
    if (SlRouting_FindTeam(routing, &team->name) != NULL) {
        return report_duplicate(err, "team", team->name.text);
    }
    struct sl_team *copy = g_memdup2(team, sizeof(*team));
    copy->regions = copy_region_list(&team->regions);
    routing->needs_keys = true;
    g_ptr_array_add(routing->teams, copy);
    g_hash_table_insert(routing->by_team, &copy->name, copy);
    return Sl_OK;
}

void
SlRouting_RequireKeys(struct sl_routing *routing)
{
    routing->needs_keys = true;
}

enum sl_errno
SlRouting_AddKey(struct sl_routing *routing, struct sl_str key,
                 const struct sl_name *team, struct sl_error *err)
{
    struct sl_team *key_team = g_hash_table_lookup(routing->by_team, team);
    assert(key_team != NULL);
    if (g_hash_table_contains(routing->by_key, &key)) {
        return report_duplicate(err, "a key of team", team->text);
    }
    /* The key's bytes are behind the view of them. */
    struct sl_str *copy = g_malloc(sizeof(*copy) + key.len);
    *copy = (struct sl_str){(char *)(copy + 1), key.len};
    memcpy(copy + 1, key.ptr, key.len);
    g_hash_table_insert(routing->by_key, copy, key_team);
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
    const char *colon = memchr(host.ptr, ':', host.len);
    const char *query = memchr(target.ptr, '?', target.len);
    if (colon != NULL) {
        host.len = (size_t)(colon - host.ptr);
    }
    if (query != NULL) {
        target.len = (size_t)(query - target.ptr);
    }
    /* Only lengths that prefixes have are tried: a path with many slashes
     * costs no more than another one. */
    for (guint i = 0; i < routing->prefix_lens->len; i++) {
        size_t len = g_array_index(routing->prefix_lens, size_t, i);
        if (len == 0 || len > target.len || target.ptr[len - 1] != '/') {
            continue;
        }
        const struct sl_route wanted = {
            .host = host,
            .prefix = {target.ptr, len},
        };
        const struct sl_route *route =
            g_hash_table_lookup(routing->by_prefix, &wanted);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

bool
SlRegionList_Allows(const struct sl_region_list *list,
                    const struct sl_name *region)
{
    return !list->is_set || SlName_IsListed(list->names, list->count, region);
}

const struct sl_team *
SlRouting_TeamOfKey(const struct sl_routing *routing, struct sl_str key)
{
    return g_hash_table_lookup(routing->by_key, &key);
}

bool
SlRouting_NeedsKeys(const struct sl_routing *routing)
{
    return routing->needs_keys;
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

const struct sl_route *
SlRouting_Route(const struct sl_routing *routing, size_t index)
{
    return routing->routes->pdata[index];
}

const struct sl_route *
SlRouting_FindRoute(const struct sl_routing *routing, struct sl_str host,
                    struct sl_str prefix)
{
    const struct sl_route wanted = {.host = host, .prefix = prefix};
    return g_hash_table_lookup(routing->by_prefix, &wanted);
}

size_t
SlRouting_TeamCount(const struct sl_routing *routing)
{
    return routing->teams->len;
}

const struct sl_team *
SlRouting_Team(const struct sl_routing *routing, size_t index)
{
    return routing->teams->pdata[index];
}

const struct sl_team *
SlRouting_FindTeam(const struct sl_routing *routing,
                   const struct sl_name *name)
{
    return g_hash_table_lookup(routing->by_team, name);
}

void
SlRouting_VisitKeys(const struct sl_routing *routing,
                    void (*visit)(void *context, struct sl_str key,
                                  const struct sl_team *team),
                    void *context)
{
    GHashTableIter iter;
    gpointer key;
    gpointer team;
    g_hash_table_iter_init(&iter, routing->by_key);
    while (g_hash_table_iter_next(&iter, &key, &team)) {
        visit(context, *(const struct sl_str *)key, team);
    }
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
    /* The hash as a number from 0 to the sum of the weights. */
    double position = SlHash_Fraction(SlHash_Mix(hash)) * weight_sum;
    for (size_t i = 0; i + 1 < route->target_count; i++) {
        position -= route->targets[i].weight;
        if (position < 0) {
            return &route->targets[i].service;
        }
    }
    return &route->targets[route->target_count - 1].service;
}
