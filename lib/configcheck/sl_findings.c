/* Entries that can never match, and limits that contradict each other. */
#include "sl_configcheck.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

/* Sums of shares that operators mean as the whole. */
#define Sl_WHOLE 1.0
#define Sl_WHOLE_PERCENT 100.0
/* By which a sum of rounded shares may differ, relative to the whole. */
#define Sl_SHARE_TOLERANCE 0.001

struct sl_config_findings {
    GArray *list; /* struct sl_config_finding */
};

/* A run of the rules. */
struct sl_check {
    const struct sl_routing *routing;
    const struct sl_config_site *site;
    GArray *list;
    enum sl_config_entry entry; /* the one that is looked at */
    size_t index;
};

/* ---- helpers ---- */

static void report(struct sl_check *check, const char *rule, const char *field,
                   const char *format, ...) G_GNUC_PRINTF(4, 5);

static void
report(struct sl_check *check, const char *rule, const char *field,
       const char *format, ...)
{
    struct sl_config_finding finding = {
        .rule = rule,
        .entry = check->entry,
        .index = check->index,
        .field = field,
    };
    va_list args;
    va_start(args, format);
    finding.text = g_strdup_vprintf(format, args);
    va_end(args);
    g_array_append_val(check->list, finding);
}

static int64_t
to_ms(int64_t us)
{
    return us / Sl_US_PER_MS;
}

static bool
contains(struct sl_str text, char byte)
{
    return memchr(text.ptr, byte, text.len) != NULL;
}

/* ---- entries that can never match ---- */

/* Returns why no request has this prefix, or why no request has this host. */
static const char *
unmatchable_reason(const struct sl_route *route)
{
    if (contains(route->host, ':')) {
        return "ports are left out when hosts are compared; allowed: a host "
               "without a port";
    }
    if (contains(route->prefix, '?')) {
        return "queries are left out when paths are compared; allowed: a path";
    }
    return "prefixes are compared up to a slash; allowed: a path that ends "
           "with a slash";
}

static void
check_matchable(struct sl_check *check, const struct sl_route *route)
{
    /* A route that does not get the request that is its own prefix does not
     * get any. */
    if (SlRouting_Match(check->routing, route->host, route->prefix) != route) {
        bool is_host = contains(route->host, ':');
        struct sl_str found = is_host ? route->host : route->prefix;
        report(check, "route.unmatchable", is_host ? "host" : "prefix",
               "no request matches route \"%s\": found \"%.*s\", but %s",
               route->name.text, (int)found.len, found.ptr,
               unmatchable_reason(route));
    }
    else if (route->prefix.ptr[0] != '/' &&
             g_strstr_len(route->prefix.ptr, (gssize)route->prefix.len,
                          "://") == NULL) {
        report(check, "route.unmatchable", "prefix",
               "no request matches route \"%s\": found \"%.*s\"; allowed: a "
               "path, which begins with a slash",
               route->name.text, (int)route->prefix.len, route->prefix.ptr);
    }
}

static void
check_used(struct sl_check *check, const struct sl_route_service *service,
           GHashTable *used)
{
    if (!g_hash_table_contains(used, &service->name)) {
        report(check, "service.unused", "name",
               "no route sends requests to service \"%s\"",
               service->name.text);
    }
}

/* Checks that a failure domain lies in one of the regions, at least, and
 * reports each in which none does. */
static void
check_regions(struct sl_check *check, const char *what,
              const struct sl_name *name, const struct sl_region_list *list)
{
    const struct sl_config_site *site = check->site;
    if (list->is_set && list->count == 0) {
        report(check, "region.none", "regions",
               "%s \"%s\" allows no region: its requests get 503", what,
               name->text);
    }
    for (size_t i = 0; i < list->count && site->region_count > 0; i++) {
        if (!SlName_IsListed(site->regions, site->region_count,
                             &list->names[i])) {
            report(check, "region.empty", "regions",
                   "no failure domain lies in region \"%s\" of %s \"%s\"",
                   list->names[i].text, what, name->text);
        }
    }
}

/* Returns true if the service is no engine, lists no models, or lists this
 * one. */
static bool
may_have_model(const struct sl_route_service *service,
               const struct sl_name *model)
{
    for (size_t i = 0; i < service->model_count; i++) {
        if (SlName_Equal(&service->models[i].name, model)) {
            return true;
        }
    }
    return service->is_engine && service->model_count == 0;
}

static void
check_models(struct sl_check *check, const struct sl_route *route)
{
    for (size_t i = 0; i < route->target_count; i++) {
        const struct sl_route_service *service =
            SlRouting_FindService(check->routing, &route->targets[i].service);
        for (size_t j = 0; j < route->model_count; j++) {
            if (!may_have_model(service, &route->models[j])) {
                report(check, "route.model_unknown", "models",
                       "model \"%s\" of route \"%s\" is none of service "
                       "\"%s\"",
                       route->models[j].text, route->name.text,
                       service->name.text);
            }
        }
    }
}

/* Returns true if each team has a priority of its own. */
static bool
have_all_priorities(const struct sl_routing *routing)
{
    for (size_t i = 0; i < SlRouting_TeamCount(routing); i++) {
        if (SlRouting_Team(routing, i)->priority < 0) {
            return false;
        }
    }
    return SlRouting_TeamCount(routing) > 0;
}

static void
check_priority(struct sl_check *check, const struct sl_route *route,
               bool is_hidden)
{
    if (is_hidden && !route->is_public && route->priority != 0) {
        report(check, "route.priority_hidden", "priority",
               "priority %" G_GINT64_FORMAT " of route \"%s\" is never used: "
               "each team has its own, which goes first",
               (gint64)route->priority, route->name.text);
    }
}

/* ---- limits that contradict each other ---- */

static void
check_times(struct sl_check *check, const struct sl_route *route)
{
    int64_t deadline_us = check->site->client_deadline_us;
    if (route->timeout_us > 0 &&
        route->target_latency_us > route->timeout_us) {
        report(check, "route.target_over_timeout", "target_latency",
               "the target of %" G_GINT64_FORMAT " ms of route \"%s\" is over "
               "its timeout; allowed: up to %" G_GINT64_FORMAT " ms",
               (gint64)to_ms(route->target_latency_us), route->name.text,
               (gint64)to_ms(route->timeout_us));
    }
    if (route->timeout_us > 0 && route->target_gap_us > route->timeout_us) {
        report(check, "route.target_over_timeout", "target_gap",
               "the pause of %" G_GINT64_FORMAT " ms of route \"%s\" is over "
               "its timeout; allowed: up to %" G_GINT64_FORMAT " ms",
               (gint64)to_ms(route->target_gap_us), route->name.text,
               (gint64)to_ms(route->timeout_us));
    }
    if (deadline_us > 0 && route->timeout_us > deadline_us) {
        report(check, "route.timeout_over_deadline", "timeout",
               "the timeout of %" G_GINT64_FORMAT " ms of route \"%s\" never "
               "ends a request: clients wait for up to %" G_GINT64_FORMAT
               " ms",
               (gint64)to_ms(route->timeout_us), route->name.text,
               (gint64)to_ms(deadline_us));
    }
}

static void
check_attempts(struct sl_check *check, const struct sl_route *route)
{
    bool runs_once = route->kind == Sl_ROUTE_AT_MOST_ONCE ||
                     (route->kind == Sl_ROUTE_STREAM && !route->resumable);
    if (runs_once && route->max_attempts > 1) {
        report(check, "route.attempts_unused", "max_attempts",
               "%" G_GINT64_FORMAT " attempts of route \"%s\", whose requests "
               "run once at most; allowed: 1",
               (gint64)route->max_attempts, route->name.text);
    }
}

static void
check_shares(struct sl_check *check, const struct sl_route *route)
{
    double sum = 0;
    for (size_t i = 0; i < route->target_count; i++) {
        sum += route->targets[i].weight;
    }
    if (route->target_count > 1 &&
        fabs(sum - Sl_WHOLE) > Sl_SHARE_TOLERANCE * Sl_WHOLE &&
        fabs(sum - Sl_WHOLE_PERCENT) > Sl_SHARE_TOLERANCE * Sl_WHOLE_PERCENT) {
        report(check, "route.share_sum", "targets",
               "the shares of route \"%s\" sum to %g, and count relative to "
               "that; expected: 1 or 100",
               route->name.text, sum);
    }
}

static void
check_engine(struct sl_check *check, const struct sl_route_service *service)
{
    if (!service->is_engine) {
        return;
    }
    if (service->memory_tokens > 0 &&
        service->memory_tokens < service->slots) {
        report(check, "service.memory_too_small", "memory_tokens",
               "%" G_GINT64_FORMAT " tokens of memory of engine \"%s\" are "
               "less than one for each of its %" G_GINT64_FORMAT " slots",
               (gint64)service->memory_tokens, service->name.text,
               (gint64)service->slots);
    }
    for (size_t i = 1; i < service->model_count; i++) {
        if (service->models[i].cost < service->models[i - 1].cost) {
            report(check, "service.models_unordered", "models",
                   "model \"%s\" of engine \"%s\" costs less than \"%s\" "
                   "before it; expected: smallest first",
                   service->models[i].name.text, service->name.text,
                   service->models[i - 1].name.text);
        }
    }
}

static void
check_cold_start(struct sl_check *check,
                 const struct sl_route_service *service)
{
    if (service->cold_start_us > 0 && !(service->cold_requests_per_s > 0)) {
        report(check, "service.cold_rate", "cold_requests_per_s",
               "the cold start of service \"%s\" has no effect without a "
               "rate that cold upstreams take; allowed: more than 0",
               service->name.text);
    }
}

static void
check_limits(struct sl_check *check)
{
    const struct sl_client_limits *limits = SlRouting_Limits(check->routing);
    int64_t memory_bytes = check->site->memory_bytes;
    check->entry = Sl_CONFIG_ENTRY_LIMITS;
    check->index = 0;
    if (limits->max_header_bytes <= 0) {
        report(check, "limits.headers", "max_header_bytes",
               "%" G_GINT64_FORMAT " bytes of headers; allowed: 1 or more",
               (gint64)limits->max_header_bytes);
    }
    if (limits->max_body_bytes < 0) {
        report(check, "limits.bodies", "max_body_bytes",
               "%" G_GINT64_FORMAT " bytes of a body; allowed: 0 or more",
               (gint64)limits->max_body_bytes);
    }
    else if (memory_bytes > 0 && limits->max_body_bytes > memory_bytes) {
        report(check, "limits.bodies_over_memory", "max_body_bytes",
               "a body of %" G_GINT64_FORMAT " bytes is over a router's "
               "memory; allowed: up to %" G_GINT64_FORMAT,
               (gint64)limits->max_body_bytes, (gint64)memory_bytes);
    }
}

/* ---- teams ---- */

static void
count_key(void *context, struct sl_str key, const struct sl_team *team)
{
    GHashTable *teams = context;
    (void)key;
    g_hash_table_add(teams, (gpointer)team);
}

static void
check_teams(struct sl_check *check)
{
    GHashTable *with_keys = g_hash_table_new(NULL, NULL);
    SlRouting_VisitKeys(check->routing, count_key, with_keys);
    check->entry = Sl_CONFIG_ENTRY_TEAM;
    for (size_t i = 0; i < SlRouting_TeamCount(check->routing); i++) {
        const struct sl_team *team = SlRouting_Team(check->routing, i);
        check->index = i;
        if (!g_hash_table_contains(with_keys, team)) {
            report(check, "team.no_key", "keys",
                   "team \"%s\" has no API key, so that it sends no request",
                   team->name.text);
        }
        check_regions(check, "team", &team->name, &team->regions);
    }
    g_hash_table_destroy(with_keys);
}

/* ---- public ---- */

static void
check_services(struct sl_check *check, GHashTable *used)
{
    check->entry = Sl_CONFIG_ENTRY_SERVICE;
    for (size_t i = 0; i < SlRouting_ServiceCount(check->routing); i++) {
        const struct sl_route_service *service =
            SlRouting_Service(check->routing, i);
        check->index = i;
        check_used(check, service, used);
        check_engine(check, service);
        check_cold_start(check, service);
    }
}

/* Adds the services that the routes use to `used`. */
static void
check_routes(struct sl_check *check, GHashTable *used)
{
    bool is_priority_hidden = have_all_priorities(check->routing);
    check->entry = Sl_CONFIG_ENTRY_ROUTE;
    for (size_t i = 0; i < SlRouting_RouteCount(check->routing); i++) {
        const struct sl_route *route = SlRouting_Route(check->routing, i);
        check->index = i;
        for (size_t j = 0; j < route->target_count; j++) {
            g_hash_table_add(used, (gpointer)&route->targets[j].service);
        }
        check_matchable(check, route);
        check_regions(check, "route", &route->name, &route->regions);
        check_models(check, route);
        check_priority(check, route, is_priority_hidden);
        check_times(check, route);
        check_attempts(check, route);
        check_shares(check, route);
    }
}

struct sl_config_findings *
SlConfigCheck_Run(const struct sl_routing *routing,
                  const struct sl_config_site *site)
{
    static const struct sl_config_site unknown_site;
    struct sl_config_findings *findings = g_new0(struct sl_config_findings, 1);
    GHashTable *used = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    findings->list =
        g_array_new(FALSE, FALSE, sizeof(struct sl_config_finding));
    struct sl_check check = {
        .routing = routing,
        .site = site == NULL ? &unknown_site : site,
        .list = findings->list,
    };
    check_routes(&check, used);
    check_services(&check, used);
    check_teams(&check);
    check_limits(&check);
    g_hash_table_destroy(used);
    return findings;
}

size_t
SlConfigFindings_Count(const struct sl_config_findings *findings)
{
    return findings->list->len;
}

const struct sl_config_finding *
SlConfigFindings_At(const struct sl_config_findings *findings, size_t index)
{
    return &g_array_index(findings->list, struct sl_config_finding, index);
}

void
SlConfigFindings_Free(struct sl_config_findings *findings)
{
    for (guint i = 0; i < findings->list->len; i++) {
        g_free(
            g_array_index(findings->list, struct sl_config_finding, i).text);
    }
    g_array_free(findings->list, TRUE);
    g_free(findings);
}
