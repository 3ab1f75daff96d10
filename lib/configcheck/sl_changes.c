/* What differs between two versions of the configuration. */
#include "sl_configcheck.h"

#include <string.h>

/* Hashes by which the share of sessions that move is estimated. */
#define Sl_SAMPLED_SESSIONS 1000
#define Sl_PERCENT 100

struct sl_config_changes {
    GArray *list; /* struct sl_config_change */
};

/* A field of an entry: its name, and how its value is written. */
struct sl_field {
    const char *name;
    void (*format)(const void *entry, struct sl_buf *out);
};

/* ---- helpers ---- */

static struct sl_config_change *
add_change(GArray *list, enum sl_config_change_type type,
           enum sl_config_entry entry, const char *name)
{
    struct sl_config_change change = {
        .type = type,
        .entry = entry,
        .name = g_strdup(name),
    };
    g_array_append_val(list, change);
    return &g_array_index(list, struct sl_config_change, list->len - 1);
}

static char *
to_text(const struct sl_buf *buf)
{
    return g_strndup(SlBuf_Str(buf).ptr, buf->len);
}

/* Adds a change for each field that is written differently. Returns the number
 * of changes. */
static size_t
compare_fields(GArray *list, enum sl_config_entry entry, const char *name,
               const struct sl_field *fields, size_t count, const void *older,
               const void *newer)
{
    struct sl_buf old_value = {0};
    struct sl_buf new_value = {0};
    size_t changed = 0;
    for (size_t i = 0; i < count; i++) {
        SlBuf_Clear(&old_value);
        SlBuf_Clear(&new_value);
        fields[i].format(older, &old_value);
        fields[i].format(newer, &new_value);
        if (!SlStr_Equal(SlBuf_Str(&old_value), SlBuf_Str(&new_value))) {
            struct sl_config_change *change =
                add_change(list, Sl_CONFIG_CHANGED, entry, name);
            change->field = fields[i].name;
            change->old_value = to_text(&old_value);
            change->new_value = to_text(&new_value);
            changed++;
        }
    }
    SlBuf_Free(&old_value);
    SlBuf_Free(&new_value);
    return changed;
}

/* ---- writing fields ---- */

static void
append_int(struct sl_buf *out, int64_t value)
{
    SlBuf_Printf(out, "%" G_GINT64_FORMAT, (gint64)value);
}

static void
append_ms(struct sl_buf *out, int64_t us)
{
    SlBuf_Printf(out, "%" G_GINT64_FORMAT " ms", (gint64)(us / Sl_US_PER_MS));
}

static void
append_bool(struct sl_buf *out, bool value)
{
    SlBuf_AppendC(out, value ? "yes" : "no");
}

static void
append_names(struct sl_buf *out, const struct sl_name *names, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        SlBuf_Printf(out, "%s%s", i > 0 ? ", " : "", names[i].text);
    }
}

/* Defines a function that writes a member of an entry. */
#define Sl_FORMAT(name, type, append)                                         \
    static void format_##type##_##name(const void *entry, struct sl_buf *out) \
    {                                                                         \
        append(out, ((const struct sl_##type *)entry)->name);                 \
    }

Sl_FORMAT(is_public, route, append_bool) Sl_FORMAT(resumable, route,
                                                   append_bool)
    Sl_FORMAT(has_prompt, route, append_bool) Sl_FORMAT(timeout_us, route,
                                                        append_ms)
        Sl_FORMAT(target_latency_us, route,
                  append_ms) Sl_FORMAT(target_gap_us, route, append_ms)
            Sl_FORMAT(priority, route, append_int) Sl_FORMAT(max_attempts,
                                                             route, append_int)
                Sl_FORMAT(max_connections, route_service,
                          append_int) Sl_FORMAT(cold_start_us, route_service,
                                                append_ms)
                    Sl_FORMAT(is_engine, route_service,
                              append_bool) Sl_FORMAT(slots, route_service,
                                                     append_int)
                        Sl_FORMAT(memory_tokens, route_service, append_int)
                            Sl_FORMAT(tokens_per_event, route_service,
                                      append_int) Sl_FORMAT(priority, team,
                                                            append_int)
                                Sl_FORMAT(max_header_bytes, client_limits,
                                          append_int)
                                    Sl_FORMAT(max_body_bytes, client_limits,
                                              append_int)
                                        Sl_FORMAT(header_timeout_us,
                                                  client_limits, append_ms)
                                            Sl_FORMAT(idle_timeout_us,
                                                      client_limits, append_ms)

                                                static void format_route_name(
                                                    const void *entry,
                                                    struct sl_buf *out)
{
    SlBuf_AppendC(out, ((const struct sl_route *)entry)->name.text);
}

static void
format_route_kind(const void *entry, struct sl_buf *out)
{
    static const char *const kinds[] = {
        [Sl_ROUTE_IDEMPOTENT] = "idempotent",
        [Sl_ROUTE_AT_MOST_ONCE] = "once at most",
        [Sl_ROUTE_STREAM] = "stream",
    };
    SlBuf_AppendC(out, kinds[((const struct sl_route *)entry)->kind]);
}

static void
format_route_targets(const void *entry, struct sl_buf *out)
{
    const struct sl_route *route = entry;
    for (size_t i = 0; i < route->target_count; i++) {
        SlBuf_Printf(out, "%s%s", i > 0 ? ", " : "",
                     route->targets[i].service.text);
        if (route->target_count > 1) {
            SlBuf_Printf(out, " %g", route->targets[i].weight);
        }
    }
}

static void
format_route_models(const void *entry, struct sl_buf *out)
{
    const struct sl_route *route = entry;
    append_names(out, route->models, route->model_count);
}

/* An absent list and one without names differ. */
static void
append_regions(struct sl_buf *out, const struct sl_region_list *list)
{
    if (list->is_set && list->count == 0) {
        SlBuf_AppendC(out, "none");
    }
    append_names(out, list->names, list->count);
}

static void
format_route_regions(const void *entry, struct sl_buf *out)
{
    append_regions(out, &((const struct sl_route *)entry)->regions);
}

static void
format_team_regions(const void *entry, struct sl_buf *out)
{
    append_regions(out, &((const struct sl_team *)entry)->regions);
}

static void
format_service_health_path(const void *entry, struct sl_buf *out)
{
    SlBuf_AppendC(out,
                  ((const struct sl_route_service *)entry)->health_path.text);
}

static void
format_service_cold_rate(const void *entry, struct sl_buf *out)
{
    SlBuf_Printf(
        out, "%g",
        ((const struct sl_route_service *)entry)->cold_requests_per_s);
}

static void
format_service_models(const void *entry, struct sl_buf *out)
{
    const struct sl_route_service *service = entry;
    for (size_t i = 0; i < service->model_count; i++) {
        SlBuf_Printf(out, "%s%s %g", i > 0 ? ", " : "",
                     service->models[i].name.text, service->models[i].cost);
    }
}

static const struct sl_field route_fields[] = {
    {"name", format_route_name},
    {"kind", format_route_kind},
    {"targets", format_route_targets},
    {"is_public", format_route_is_public},
    {"resumable", format_route_resumable},
    {"has_prompt", format_route_has_prompt},
    {"timeout", format_route_timeout_us},
    {"target_latency", format_route_target_latency_us},
    {"target_gap", format_route_target_gap_us},
    {"priority", format_route_priority},
    {"max_attempts", format_route_max_attempts},
    {"models", format_route_models},
    {"regions", format_route_regions},
};

static const struct sl_field service_fields[] = {
    {"health_path", format_service_health_path},
    {"max_connections", format_route_service_max_connections},
    {"cold_start", format_route_service_cold_start_us},
    {"cold_requests_per_s", format_service_cold_rate},
    {"is_engine", format_route_service_is_engine},
    {"slots", format_route_service_slots},
    {"memory_tokens", format_route_service_memory_tokens},
    {"tokens_per_event", format_route_service_tokens_per_event},
    {"models", format_service_models},
};

static const struct sl_field team_fields[] = {
    {"priority", format_team_priority},
    {"regions", format_team_regions},
};

static const struct sl_field limit_fields[] = {
    {"max_header_bytes", format_client_limits_max_header_bytes},
    {"max_body_bytes", format_client_limits_max_body_bytes},
    {"header_timeout", format_client_limits_header_timeout_us},
    {"idle_timeout", format_client_limits_idle_timeout_us},
};

/* ---- routes ---- */

static char *
route_label(const struct sl_route *route)
{
    return g_strdup_printf("%.*s %.*s", (int)route->host.len, route->host.ptr,
                           (int)route->prefix.len, route->prefix.ptr);
}

/* Returns the share of sessions, in percent, whose service differs. */
static unsigned
moved_sessions(const struct sl_route *older, const struct sl_route *newer)
{
    unsigned moved = 0;
    for (uint64_t i = 0; i < Sl_SAMPLED_SESSIONS; i++) {
        uint64_t hash = SlHash_Mix(i + 1);
        moved += SlName_Equal(SlRoute_SelectService(older, hash),
                              SlRoute_SelectService(newer, hash))
                     ? 0
                     : 1;
    }
    return moved * Sl_PERCENT / Sl_SAMPLED_SESSIONS;
}

/* Sets what clients see of a changed field of the route. */
static void
set_route_consequence(struct sl_config_change *change,
                      const struct sl_routing *routing,
                      const struct sl_route *older,
                      const struct sl_route *newer)
{
    if (strcmp(change->field, "is_public") == 0) {
        change->consequence = g_strdup(
            newer->is_public               ? "needs no key from now on"
            : SlRouting_NeedsKeys(routing) ? "requests without a key get 401"
                                           : "nothing: there are no teams");
    }
    else if (strcmp(change->field, "targets") == 0) {
        unsigned percent = moved_sessions(older, newer);
        if (percent > 0) {
            change->consequence = g_strdup_printf(
                "about %u %% of its sessions change to another service",
                percent);
        }
    }
}

static void
add_route_change(GArray *list, enum sl_config_change_type type,
                 const struct sl_route *route,
                 const struct sl_routing *without)
{
    char *label = route_label(route);
    struct sl_config_change *change =
        add_change(list, type, Sl_CONFIG_ENTRY_ROUTE, label);
    const struct sl_route *other =
        SlRouting_Match(without, route->host, route->prefix);
    bool is_added = type == Sl_CONFIG_ADDED;
    if (other != NULL) {
        change->consequence =
            g_strdup_printf(is_added ? "takes requests of route \"%s\""
                                     : "its requests go to route \"%s\"",
                            other->name.text);
    }
    else if (!is_added) {
        change->consequence = g_strdup("its requests get 404");
    }
    g_free(label);
}

static void
compare_routes(GArray *list, const struct sl_routing *older,
               const struct sl_routing *newer)
{
    for (size_t i = 0; i < SlRouting_RouteCount(older); i++) {
        const struct sl_route *route = SlRouting_Route(older, i);
        if (SlRouting_FindRoute(newer, route->host, route->prefix) == NULL) {
            add_route_change(list, Sl_CONFIG_REMOVED, route, newer);
        }
    }
    for (size_t i = 0; i < SlRouting_RouteCount(newer); i++) {
        const struct sl_route *route = SlRouting_Route(newer, i);
        const struct sl_route *before =
            SlRouting_FindRoute(older, route->host, route->prefix);
        if (before == NULL) {
            add_route_change(list, Sl_CONFIG_ADDED, route, older);
            continue;
        }
        char *label = route_label(route);
        size_t changed =
            compare_fields(list, Sl_CONFIG_ENTRY_ROUTE, label, route_fields,
                           G_N_ELEMENTS(route_fields), before, route);
        for (size_t j = list->len - changed; j < list->len; j++) {
            set_route_consequence(
                &g_array_index(list, struct sl_config_change, j), newer,
                before, route);
        }
        g_free(label);
    }
}

/* ---- services and limits ---- */

static void
compare_services(GArray *list, const struct sl_routing *older,
                 const struct sl_routing *newer)
{
    for (size_t i = 0; i < SlRouting_ServiceCount(older); i++) {
        const struct sl_name *name = &SlRouting_Service(older, i)->name;
        if (SlRouting_FindService(newer, name) == NULL) {
            add_change(list, Sl_CONFIG_REMOVED, Sl_CONFIG_ENTRY_SERVICE,
                       name->text);
        }
    }
    for (size_t i = 0; i < SlRouting_ServiceCount(newer); i++) {
        const struct sl_route_service *service = SlRouting_Service(newer, i);
        const struct sl_route_service *before =
            SlRouting_FindService(older, &service->name);
        if (before == NULL) {
            add_change(list, Sl_CONFIG_ADDED, Sl_CONFIG_ENTRY_SERVICE,
                       service->name.text);
        }
        else {
            compare_fields(list, Sl_CONFIG_ENTRY_SERVICE, service->name.text,
                           service_fields, G_N_ELEMENTS(service_fields),
                           before, service);
        }
    }
}

/* ---- teams ---- */

void
SlConfig_Fingerprint(struct sl_str key, char *fingerprint)
{
    char *digest = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, (const guchar *)key.ptr, key.len);
    g_strlcpy(fingerprint, digest, Sl_FINGERPRINT_BYTES);
    g_free(digest);
}

/* Compares the keys of one table with another's. */
struct sl_key_visit {
    GArray *list;
    const struct sl_routing *other;
    bool is_older; /* the keys are of the older table */
};

static void
compare_key(void *context, struct sl_str key, const struct sl_team *team)
{
    const struct sl_key_visit *visit = context;
    const struct sl_team *other = SlRouting_TeamOfKey(visit->other, key);
    char fingerprint[Sl_FINGERPRINT_BYTES];
    if (other != NULL &&
        (!visit->is_older || SlName_Equal(&other->name, &team->name))) {
        return;
    }
    SlConfig_Fingerprint(key, fingerprint);
    struct sl_config_change *change = add_change(
        visit->list, Sl_CONFIG_CHANGED, Sl_CONFIG_ENTRY_TEAM, team->name.text);
    change->field = "key";
    if (!visit->is_older) {
        change->new_value = g_strdup(fingerprint);
        return;
    }
    change->old_value = g_strdup(fingerprint);
    change->consequence =
        other != NULL
            ? g_strdup_printf("the key is of team \"%s\"", other->name.text)
        : SlRouting_NeedsKeys(visit->other)
            ? g_strdup("requests with this key get 401")
            : NULL;
}

/* Orders changes of keys, which are visited in no order. */
static gint
compare_changes(gconstpointer a, gconstpointer b)
{
    const struct sl_config_change *x = a;
    const struct sl_config_change *y = b;
    int order = strcmp(x->name, y->name);
    if (order == 0) {
        order = g_strcmp0(x->old_value, y->old_value);
    }
    return order != 0 ? order : g_strcmp0(x->new_value, y->new_value);
}

static void
compare_keys(GArray *list, const struct sl_routing *older,
             const struct sl_routing *newer)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct sl_config_change));
    struct sl_key_visit of_older = {found, newer, true};
    struct sl_key_visit of_newer = {found, older, false};
    SlRouting_VisitKeys(older, compare_key, &of_older);
    SlRouting_VisitKeys(newer, compare_key, &of_newer);
    g_array_sort(found, compare_changes);
    if (found->len > 0) {
        g_array_append_vals(list, found->data, found->len);
    }
    g_array_free(found, TRUE);
}

static void
compare_teams(GArray *list, const struct sl_routing *older,
              const struct sl_routing *newer)
{
    if (SlRouting_NeedsKeys(older) != SlRouting_NeedsKeys(newer)) {
        bool needs = SlRouting_NeedsKeys(newer);
        struct sl_config_change *change =
            add_change(list, Sl_CONFIG_CHANGED, Sl_CONFIG_ENTRY_WHOLE, "");
        change->field = "needs_keys";
        change->old_value = g_strdup(needs ? "no" : "yes");
        change->new_value = g_strdup(needs ? "yes" : "no");
        change->consequence = g_strdup(
            needs ? "routes that are not public need a key from now on"
                  : "all routes are open to clients without a key");
    }
    for (size_t i = 0; i < SlRouting_TeamCount(older); i++) {
        const struct sl_name *name = &SlRouting_Team(older, i)->name;
        if (SlRouting_FindTeam(newer, name) == NULL) {
            add_change(list, Sl_CONFIG_REMOVED, Sl_CONFIG_ENTRY_TEAM,
                       name->text);
        }
    }
    for (size_t i = 0; i < SlRouting_TeamCount(newer); i++) {
        const struct sl_team *team = SlRouting_Team(newer, i);
        const struct sl_team *before = SlRouting_FindTeam(older, &team->name);
        if (before == NULL) {
            add_change(list, Sl_CONFIG_ADDED, Sl_CONFIG_ENTRY_TEAM,
                       team->name.text);
        }
        else {
            compare_fields(list, Sl_CONFIG_ENTRY_TEAM, team->name.text,
                           team_fields, G_N_ELEMENTS(team_fields), before,
                           team);
        }
    }
    compare_keys(list, older, newer);
}

/* ---- public ---- */

struct sl_config_changes *
SlConfigDiff_Run(const struct sl_routing *older,
                 const struct sl_routing *newer)
{
    struct sl_config_changes *changes = g_new0(struct sl_config_changes, 1);
    changes->list = g_array_new(FALSE, FALSE, sizeof(struct sl_config_change));
    compare_routes(changes->list, older, newer);
    compare_services(changes->list, older, newer);
    compare_teams(changes->list, older, newer);
    compare_fields(changes->list, Sl_CONFIG_ENTRY_LIMITS, "", limit_fields,
                   G_N_ELEMENTS(limit_fields), SlRouting_Limits(older),
                   SlRouting_Limits(newer));
    return changes;
}

size_t
SlConfigChanges_Count(const struct sl_config_changes *changes)
{
    return changes->list->len;
}

const struct sl_config_change *
SlConfigChanges_At(const struct sl_config_changes *changes, size_t index)
{
    return &g_array_index(changes->list, struct sl_config_change, index);
}

void
SlConfigChanges_Free(struct sl_config_changes *changes)
{
    for (guint i = 0; i < changes->list->len; i++) {
        struct sl_config_change *change =
            &g_array_index(changes->list, struct sl_config_change, i);
        g_free(change->name);
        g_free(change->old_value);
        g_free(change->new_value);
        g_free(change->consequence);
    }
    g_array_free(changes->list, TRUE);
    g_free(changes);
}
