/* Parsing and validation of configuration values: labels, selectors, marks and
 * homes. Each error names the value and the member that is wrong. */
#include "sl_config_internal.h"

#include <string.h>

/* Limits and defaults of the members of a value, see sl_config.h. */
#define Sl_MAX_COST_MICROS ((int64_t)1000000000000)
#define Sl_MAX_CONCURRENCY 100000 /* of "limit", in requests */
#define Sl_MAX_DEADLINE_MS ((int64_t)24 * 3600 * 1000)
#define Sl_DEFAULT_DEADLINE_MS 30000
#define Sl_MAX_RANK 1000000
#define Sl_DEFAULT_RANK 100
#define Sl_DEFAULT_PRIORITY 5
#define Sl_DEFAULT_LIMIT 16 /* concurrent requests */
#define Sl_DEFAULT_QUALITY 0.5
/* Buffer size for the part of an error message that names the value. */
#define Sl_WHERE_MAX_BYTES (Sl_NAME_MAX_BYTES + 32)

/* ---- helpers ---- */

/* In the errors of this file, `where` names the value that is wrong, such as
 * `label "x"`, and `what` is the type of the label that it refers to, such as
 * "version". */

static enum sl_errno
report_missing_label(const char *where, const struct sl_name *name,
                     const char *what, struct sl_error *err)
{
    return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                       "%s: %s \"%s\" is not a label", where, what,
                       name->text);
}

/* Checks that there is a label of this name and type. */
static enum sl_errno
require_label(const struct sl_config *config, const char *where,
              const struct sl_name *name, enum sl_config_value_type type,
              const char *what, struct sl_error *err)
{
    if (SlConfigValue_FindLabel(config, name, type) == NULL) {
        return report_missing_label(where, name, what, err);
    }
    return Sl_OK;
}

/* Reads a list of at most `max` names, all of them different, into `out`. */
static enum sl_errno
read_distinct_names(const json_t *value, const char *key, size_t max,
                    const char *where, struct sl_name *out, size_t *count,
                    struct sl_error *err)
{
    Sl_TRY(SlJson_Names(value, key, max, where, out, count, err));
    for (size_t i = 1; i < *count; i++) {
        if (SlName_IsListed(out, i, &out[i])) {
            return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                               "%s: \"%s\" lists \"%s\" twice", where, key,
                               out[i].text);
        }
    }
    return Sl_OK;
}

/* Checks that there is a label of this name and type, a version or an
 * upstream, and that it belongs to `service`. */
static enum sl_errno
require_label_of_service(const struct sl_config *config, const char *where,
                         const struct sl_name *name,
                         enum sl_config_value_type type,
                         const struct sl_name *service, struct sl_error *err)
{
    bool is_version = type == Sl_VALUE_VERSION;
    const char *what = is_version ? "version" : "upstream";
    Sl_TRY(require_label(config, where, name, type, what, err));
    const struct sl_config_value *parsed =
        SlConfigValue_FindLabel(config, name, type);
    const struct sl_name *found =
        is_version ? &parsed->u.version.service : &parsed->u.upstream.service;
    if (!SlName_Equal(found, service)) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: %s \"%s\" belongs to service \"%s\", not "
                           "\"%s\"",
                           where, what, name->text, found->text,
                           service->text);
    }
    return Sl_OK;
}

/* ---- labels ---- */

static enum sl_errno
parse_service(const json_t *value, const char *where, struct sl_service *out,
              struct sl_error *err)
{
    static const char *const keys[] = {"type", "adapter", NULL};
    struct sl_name adapter;
    Sl_TRY(SlJson_CheckKeys(value, keys, where, err));
    Sl_TRY(SlJson_Name(value, "adapter", true, where, &adapter, err));
    if (SlStr_Equal(SlName_Str(&adapter), Sl_STR("engine"))) {
        out->type = Sl_SERVICE_ENGINE;
        return Sl_OK;
    }
    if (SlStr_Equal(SlName_Str(&adapter), Sl_STR("plain"))) {
        out->type = Sl_SERVICE_PLAIN;
        return Sl_OK;
    }
    return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                       "%s: \"adapter\" is \"%s\", allowed: engine, plain",
                       where, adapter.text);
}

static enum sl_errno
parse_version(const struct sl_config *config, const json_t *value,
              const char *where, struct sl_version *out, struct sl_error *err)
{
    static const char *const keys[] = {"type",        "service", "model",
                                       "cost_micros", "quality", NULL};
    static const struct sl_json_int_rule cost = {0, Sl_MAX_COST_MICROS, 0,
                                                 true};
    Sl_TRY(SlJson_CheckKeys(value, keys, where, err));
    Sl_TRY(SlJson_Name(value, "service", true, where, &out->service, err));
    Sl_TRY(SlJson_Name(value, "model", true, where, &out->model, err));
    Sl_TRY(SlJson_Int(value, "cost_micros", &cost, where, &out->cost_micros,
                      err));
    Sl_TRY(SlJson_Real(value, "quality", 0, 1, Sl_DEFAULT_QUALITY, where,
                       &out->quality, err));
    Sl_TRY(require_label(config, where, &out->service, Sl_VALUE_SERVICE,
                         "service", err));
    const struct sl_config_value *service =
        SlConfigValue_FindLabel(config, &out->service, Sl_VALUE_SERVICE);
    if (service->u.service.type != Sl_SERVICE_ENGINE) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: \"service\" is \"%s\", a plain service, "
                           "which has no versions",
                           where, out->service.text);
    }
    return Sl_OK;
}

static enum sl_errno
parse_upstream(const struct sl_config *config, const json_t *value,
               const char *where, struct sl_upstream *out,
               struct sl_error *err)
{
    static const char *const keys[] = {"type",     "service",    "domain",
                                       "limit",    "cold_limit", "fencing",
                                       "versions", NULL};
    struct sl_json_int_rule limit = {1, Sl_MAX_CONCURRENCY, Sl_DEFAULT_LIMIT,
                                     false};
    Sl_TRY(SlJson_CheckKeys(value, keys, where, err));
    Sl_TRY(SlJson_Name(value, "service", true, where, &out->service, err));
    Sl_TRY(SlJson_Name(value, "domain", true, where, &out->domain, err));
    Sl_TRY(SlJson_Int(value, "limit", &limit, where, &out->limit, err));
    limit.max = out->limit;
    limit.fallback = out->limit;
    Sl_TRY(
        SlJson_Int(value, "cold_limit", &limit, where, &out->cold_limit, err));
    Sl_TRY(SlJson_Bool(value, "fencing", false, where, &out->fencing, err));
    Sl_TRY(read_distinct_names(value, "versions", Sl_MAX_UPSTREAM_VERSIONS,
                               where, out->versions, &out->version_count,
                               err));
    Sl_TRY(require_label(config, where, &out->service, Sl_VALUE_SERVICE,
                         "service", err));
    for (size_t i = 0; i < out->version_count; i++) {
        Sl_TRY(require_label_of_service(config, where, &out->versions[i],
                                        Sl_VALUE_VERSION, &out->service, err));
    }
    return Sl_OK;
}

static enum sl_errno
parse_label(const struct sl_config *config, const struct sl_name *name,
            const json_t *value, struct sl_config_value *parsed,
            struct sl_error *err)
{
    char where[Sl_WHERE_MAX_BYTES];
    struct sl_name type;
    snprintf(where, sizeof(where), "label \"%s\"", name->text);
    Sl_TRY(SlJson_Name(value, "type", true, where, &type, err));
    if (SlStr_Equal(SlName_Str(&type), Sl_STR("service"))) {
        parsed->type = Sl_VALUE_SERVICE;
        parsed->u.service.name = *name;
        return parse_service(value, where, &parsed->u.service, err);
    }
    if (SlStr_Equal(SlName_Str(&type), Sl_STR("version"))) {
        parsed->type = Sl_VALUE_VERSION;
        parsed->u.version.name = *name;
        return parse_version(config, value, where, &parsed->u.version, err);
    }
    if (SlStr_Equal(SlName_Str(&type), Sl_STR("upstream"))) {
        parsed->type = Sl_VALUE_UPSTREAM;
        parsed->u.upstream.name = *name;
        return parse_upstream(config, value, where, &parsed->u.upstream, err);
    }
    return SlError_Set(
        err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
        "%s: \"type\" is \"%s\", allowed: service, version, upstream", where,
        type.text);
}

/* ---- selectors ---- */

/* Checks the selector's service, cascade and canary against the labels. */
static enum sl_errno
check_targets(const struct sl_config *config, const char *where,
              const struct sl_selector *selector, struct sl_error *err)
{
    Sl_TRY(require_label(config, where, &selector->service, Sl_VALUE_SERVICE,
                         "service", err));
    const struct sl_config_value *service =
        SlConfigValue_FindLabel(config, &selector->service, Sl_VALUE_SERVICE);
    bool engine = service->u.service.type == Sl_SERVICE_ENGINE;
    if (engine != (selector->cascade_count > 0)) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: \"cascade\" must %s for service \"%s\"", where,
                           engine ? "name a version" : "be absent",
                           selector->service.text);
    }
    if (engine && !selector->idempotent && selector->cascade_count > 1) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: a cascade of %zu versions runs a request more "
                           "than once, so \"idempotent\" must be true",
                           where, selector->cascade_count);
    }
    for (size_t i = 0; i < selector->cascade_count; i++) {
        Sl_TRY(require_label_of_service(config, where, &selector->cascade[i],
                                        Sl_VALUE_VERSION, &selector->service,
                                        err));
    }
    if (!SlName_IsEmpty(&selector->canary)) {
        return require_label_of_service(config, where, &selector->canary,
                                        Sl_VALUE_VERSION, &selector->service,
                                        err);
    }
    if (selector->canary_share > 0) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: \"canary_share\" is %g, allowed without "
                           "\"canary\": 0",
                           where, selector->canary_share);
    }
    return Sl_OK;
}

/* Reads the members of a selector that are numbers or booleans. */
static enum sl_errno
parse_scalars(const json_t *value, const char *where, struct sl_selector *out,
              struct sl_error *err)
{
    static const struct sl_json_int_rule rank = {0, Sl_MAX_RANK,
                                                 Sl_DEFAULT_RANK, false};
    static const struct sl_json_int_rule priority = {
        0, Sl_PRIORITY_MAX, Sl_DEFAULT_PRIORITY, false};
    static const struct sl_json_int_rule deadline = {
        1, Sl_MAX_DEADLINE_MS, Sl_DEFAULT_DEADLINE_MS, false};
    Sl_TRY(SlJson_Int(value, "rank", &rank, where, &out->rank, err));
    Sl_TRY(SlJson_Real(value, "canary_share", 0, 1, 0, where,
                       &out->canary_share, err));
    Sl_TRY(SlJson_Real(value, "quality", 0, 1, 0, where, &out->quality, err));
    Sl_TRY(
        SlJson_Bool(value, "idempotent", false, where, &out->idempotent, err));
    Sl_TRY(SlJson_Bool(value, "may_wait", false, where, &out->may_wait, err));
    Sl_TRY(
        SlJson_Int(value, "priority", &priority, where, &out->priority, err));
    return SlJson_Int(value, "deadline_ms", &deadline, where,
                      &out->deadline_ms, err);
}

static enum sl_errno
parse_selector(const struct sl_config *config, const struct sl_name *name,
               const json_t *value, struct sl_selector *out,
               struct sl_error *err)
{
    static const char *const keys[] = {
        "rank",        "teams",      "kinds",    "session_prefix",
        "service",     "cascade",    "canary",   "canary_share",
        "quality",     "idempotent", "may_wait", "priority",
        "deadline_ms", NULL};
    char where[Sl_WHERE_MAX_BYTES];
    snprintf(where, sizeof(where), "selector \"%s\"", name->text);
    out->name = *name;
    Sl_TRY(SlJson_CheckKeys(value, keys, where, err));
    Sl_TRY(read_distinct_names(value, "teams", Sl_MAX_TEAMS, where, out->teams,
                               &out->team_count, err));
    Sl_TRY(read_distinct_names(value, "kinds", Sl_MAX_KINDS, where, out->kinds,
                               &out->kind_count, err));
    Sl_TRY(SlJson_Name(value, "session_prefix", false, where,
                       &out->session_prefix, err));
    Sl_TRY(SlJson_Name(value, "service", true, where, &out->service, err));
    Sl_TRY(read_distinct_names(value, "cascade", Sl_MAX_CASCADE_STEPS, where,
                               out->cascade, &out->cascade_count, err));
    Sl_TRY(SlJson_Name(value, "canary", false, where, &out->canary, err));
    Sl_TRY(parse_scalars(value, where, out, err));
    return check_targets(config, where, out, err);
}

/* ---- marks and homes ---- */

/* Parses the value of the key "mark/" followed by `path`. */
static enum sl_errno
parse_mark(const struct sl_config *config, const char *path,
           const json_t *value, struct sl_mark *out, struct sl_error *err)
{
    static const char *const keys[] = {"in", NULL};
    char where[Sl_WHERE_MAX_BYTES];
    snprintf(where, sizeof(where), "mark \"%.80s\"", path);
    const char *slash = strchr(path, '/');
    if (slash == NULL || !SlName_Set(&out->name, SlStr_FromC(slash + 1)) ||
        SlName_IsEmpty(&out->name)) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: not version/NAME, upstream/NAME or "
                           "domain/NAME",
                           where);
    }
    struct sl_str target = {path, (size_t)(slash - path)};
    Sl_TRY(SlJson_CheckKeys(value, keys, where, err));
    if (json_object_get(value, "in") == NULL) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: \"in\" is missing, allowed: true or false",
                           where);
    }
    Sl_TRY(SlJson_Bool(value, "in", true, where, &out->in_service, err));
    if (SlStr_Equal(target, Sl_STR("version"))) {
        out->target = Sl_MARK_VERSION;
        return require_label(config, where, &out->name, Sl_VALUE_VERSION,
                             "version", err);
    }
    if (SlStr_Equal(target, Sl_STR("upstream"))) {
        out->target = Sl_MARK_UPSTREAM;
        return require_label(config, where, &out->name, Sl_VALUE_UPSTREAM,
                             "upstream", err);
    }
    if (SlStr_Equal(target, Sl_STR("domain"))) {
        out->target = Sl_MARK_DOMAIN;
        return Sl_OK;
    }
    return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                       "%s: not a version, upstream or domain", where);
}

static enum sl_errno
parse_home(const struct sl_config *config, const struct sl_name *name,
           const json_t *value, struct sl_home *out, struct sl_error *err)
{
    static const char *const keys[] = {"members", "previous", NULL};
    char where[Sl_WHERE_MAX_BYTES];
    snprintf(where, sizeof(where), "home \"%s\"", name->text);
    out->service = *name;
    Sl_TRY(SlJson_CheckKeys(value, keys, where, err));
    Sl_TRY(read_distinct_names(value, "members", Sl_MAX_HOME_MEMBERS, where,
                               out->members, &out->member_count, err));
    if (out->member_count == 0) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "%s: \"members\" is missing or empty, allowed: a "
                           "list of 1 to %d upstreams",
                           where, Sl_MAX_HOME_MEMBERS);
    }
    Sl_TRY(
        require_label(config, where, name, Sl_VALUE_SERVICE, "service", err));
    for (size_t i = 0; i < out->member_count; i++) {
        Sl_TRY(require_label_of_service(config, where, &out->members[i],
                                        Sl_VALUE_UPSTREAM, name, err));
    }
    /* Former members need no labels: these may have been removed since. */
    return read_distinct_names(value, "previous", Sl_MAX_HOME_MEMBERS, where,
                               out->previous, &out->previous_count, err);
}

/* ---- references ---- */

/* Returns true if the value refers to the label `name`. */
static bool
refers_to(const struct sl_config_value *parsed, const struct sl_name *name)
{
    switch (parsed->type) {
    case Sl_VALUE_SERVICE:
        return false;
    case Sl_VALUE_VERSION:
        return SlName_Equal(&parsed->u.version.service, name);
    case Sl_VALUE_UPSTREAM:
        return SlName_Equal(&parsed->u.upstream.service, name) ||
               SlName_IsListed(parsed->u.upstream.versions,
                               parsed->u.upstream.version_count, name);
    case Sl_VALUE_SELECTOR:
        return SlName_Equal(&parsed->u.selector.service, name) ||
               SlSelector_Allows(&parsed->u.selector, name);
    case Sl_VALUE_MARK:
        return parsed->u.mark.target != Sl_MARK_DOMAIN &&
               SlName_Equal(&parsed->u.mark.name, name);
    case Sl_VALUE_HOME:
        return SlName_Equal(&parsed->u.home.service, name) ||
               SlName_IsListed(parsed->u.home.members,
                               parsed->u.home.member_count, name);
    }
    return false;
}

/* Fails if an entry refers to the label `name` and is not valid with the
 * labels that are indexed now. */
static enum sl_errno
check_references(const struct sl_config *config, const struct sl_name *name,
                 struct sl_error *err)
{
    struct sl_error reason;
    GTreeNode *at = g_tree_node_first(config->entries);
    for (; at != NULL; at = g_tree_node_next(at)) {
        const struct sl_config_entry *entry = g_tree_node_value(at);
        struct sl_config_value *parsed = NULL;
        if (!refers_to(entry->parsed, name)) {
            continue;
        }
        if (SlConfigValue_Parse(config, entry->key, entry->value, &parsed,
                                &reason) != Sl_OK) {
            return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                               "label \"%s\" is used by \"%.80s\", which "
                               "would break: %s",
                               name->text, entry->key, reason.text);
        }
        g_free(parsed);
    }
    return Sl_OK;
}

/* Returns the size in bytes of a value of this type: only as much of the union
 * as the type needs, since most types are far smaller than the largest. */
static size_t
value_size(const struct sl_config_value *value)
{
    switch (value->type) {
    case Sl_VALUE_SERVICE:
        return offsetof(struct sl_config_value, u) + sizeof(struct sl_service);
    case Sl_VALUE_VERSION:
        return offsetof(struct sl_config_value, u) + sizeof(struct sl_version);
    case Sl_VALUE_UPSTREAM:
        return offsetof(struct sl_config_value, u) +
               offsetof(struct sl_upstream, versions) +
               value->u.upstream.version_count * sizeof(struct sl_name);
    case Sl_VALUE_SELECTOR:
        return offsetof(struct sl_config_value, u) +
               sizeof(struct sl_selector);
    case Sl_VALUE_MARK:
        return offsetof(struct sl_config_value, u) + sizeof(struct sl_mark);
    case Sl_VALUE_HOME:
        break;
    }
    return sizeof(struct sl_config_value);
}

/* ---- public within the package ---- */

enum sl_errno
SlConfigValue_Parse(const struct sl_config *config, const char *key,
                    const json_t *value, struct sl_config_value **out,
                    struct sl_error *err)
{
    struct sl_config_value parsed = {0};
    struct sl_name name = {0};
    const char *slash = strchr(key, '/');
    struct sl_str kind = {key, slash == NULL ? 0 : (size_t)(slash - key)};
    /* The name of a mark follows a second slash. */
    bool is_mark = SlStr_Equal(kind, Sl_STR("mark"));
    if (slash == NULL ||
        (!is_mark && (!SlName_Set(&name, SlStr_FromC(slash + 1)) ||
                      SlName_IsEmpty(&name)))) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "key \"%.80s\" is not KIND/NAME with a name of up "
                           "to %d bytes",
                           key, Sl_NAME_MAX_BYTES);
    }
    if (!json_is_object(value)) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "key \"%.80s\": the value is not a JSON object",
                           key);
    }
    if (SlStr_Equal(kind, Sl_STR("label"))) {
        Sl_TRY(parse_label(config, &name, value, &parsed, err));
    }
    else if (SlStr_Equal(kind, Sl_STR("selector"))) {
        parsed.type = Sl_VALUE_SELECTOR;
        Sl_TRY(parse_selector(config, &name, value, &parsed.u.selector, err));
    }
    else if (is_mark) {
        parsed.type = Sl_VALUE_MARK;
        Sl_TRY(parse_mark(config, slash + 1, value, &parsed.u.mark, err));
    }
    else if (SlStr_Equal(kind, Sl_STR("home"))) {
        parsed.type = Sl_VALUE_HOME;
        Sl_TRY(parse_home(config, &name, value, &parsed.u.home, err));
    }
    else {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "key \"%.80s\": allowed kinds are label, "
                           "selector, mark, home",
                           key);
    }
    *out = g_memdup2(&parsed, value_size(&parsed));
    return Sl_OK;
}

enum sl_errno
SlConfigValue_CheckPrevious(const struct sl_config *config,
                            const struct sl_home *home, struct sl_error *err)
{
    const struct sl_home *current = SlConfig_FindHome(config, &home->service);
    size_t count = current == NULL ? 0 : current->member_count;
    bool is_equal = home->previous_count == count;
    for (size_t i = 0; is_equal && i < count; i++) {
        is_equal = SlName_Equal(&home->previous[i], &current->members[i]);
    }
    if (!is_equal) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "home \"%s\": \"previous\" must list the %zu "
                           "members in force",
                           home->service.text, count);
    }
    return Sl_OK;
}

enum sl_errno
SlConfigValue_CheckReferences(const struct sl_config *config, const char *key,
                              struct sl_config_value *parsed,
                              struct sl_error *err)
{
    struct sl_name name;
    if (!g_str_has_prefix(key, "label/") ||
        !SlName_Set(&name, SlStr_FromC(key + strlen("label/")))) {
        return Sl_OK;
    }
    struct sl_config_value *current =
        g_hash_table_lookup(config->labels, &name);
    if (current == NULL) { /* the label is new: no entry refers to it */
        return Sl_OK;
    }
    if (parsed != NULL && current->type != parsed->type) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "label \"%s\": \"type\" cannot change; remove the "
                           "label first",
                           name.text);
    }
    SlConfigValue_Index(config, &name, parsed);
    enum sl_errno code = check_references(config, &name, err);
    SlConfigValue_Index(config, &name, current);
    return code;
}

struct sl_name *
SlConfigValue_LabelName(struct sl_config_value *parsed)
{
    switch (parsed->type) {
    case Sl_VALUE_SERVICE:
        return &parsed->u.service.name;
    case Sl_VALUE_VERSION:
        return &parsed->u.version.name;
    case Sl_VALUE_UPSTREAM:
        return &parsed->u.upstream.name;
    default:
        return NULL;
    }
}

void
SlConfigValue_Index(const struct sl_config *config, const struct sl_name *name,
                    struct sl_config_value *parsed)
{
    if (parsed == NULL) {
        g_hash_table_remove(config->labels, name);
    }
    else {
        g_hash_table_replace(config->labels, SlConfigValue_LabelName(parsed),
                             parsed);
    }
}

const struct sl_config_value *
SlConfigValue_FindLabel(const struct sl_config *config,
                        const struct sl_name *name,
                        enum sl_config_value_type type)
{
    const struct sl_config_value *parsed =
        g_hash_table_lookup(config->labels, name);
    return parsed != NULL && parsed->type == type ? parsed : NULL;
}
