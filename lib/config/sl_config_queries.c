/* Queries of the current configuration: labels, marks of what is in service,
 * home records, the selector of a request, and whether the request may run. */
#include "sl_config_internal.h"

/* ---- helpers ---- */

static bool
selector_matches(const struct sl_selector *selector,
                 const struct sl_request_attributes *attributes)
{
    if (selector->team_count > 0 &&
        !SlName_IsListed(selector->teams, selector->team_count,
                         &attributes->team)) {
        return false;
    }
    if (selector->kind_count > 0 &&
        !SlName_IsListed(selector->kinds, selector->kind_count,
                         &attributes->kind)) {
        return false;
    }
    return SlStr_StartsWith(SlName_Str(&attributes->session),
                            SlName_Str(&selector->session_prefix));
}

/* ---- public ---- */

const struct sl_selector *
SlConfig_FindSelector(const struct sl_config *config,
                      const struct sl_request_attributes *attributes)
{
    for (size_t i = 0; i < config->selectors->len; i++) {
        const struct sl_config_value *value =
            g_ptr_array_index(config->selectors, i);
        if (selector_matches(&value->u.selector, attributes)) {
            return &value->u.selector;
        }
    }
    return NULL;
}

const struct sl_service *
SlConfig_FindService(const struct sl_config *config,
                     const struct sl_name *name)
{
    const struct sl_config_value *value =
        SlConfigValue_FindLabel(config, name, Sl_VALUE_SERVICE);
    return value == NULL ? NULL : &value->u.service;
}

const struct sl_version *
SlConfig_FindVersion(const struct sl_config *config,
                     const struct sl_name *name)
{
    const struct sl_config_value *value =
        SlConfigValue_FindLabel(config, name, Sl_VALUE_VERSION);
    return value == NULL ? NULL : &value->u.version;
}

const struct sl_upstream *
SlConfig_FindUpstream(const struct sl_config *config,
                      const struct sl_name *name)
{
    const struct sl_config_value *value =
        SlConfigValue_FindLabel(config, name, Sl_VALUE_UPSTREAM);
    return value == NULL ? NULL : &value->u.upstream;
}

bool
SlConfig_IsDomainInService(const struct sl_config *config,
                           const struct sl_name *domain)
{
    char *key = g_strconcat("mark/domain/", domain->text, NULL);
    const struct sl_config_entry *entry = SlConfig_FindEntry(config, key);
    g_free(key);
    return entry == NULL || entry->parsed->u.mark.in_service;
}

bool
SlConfig_IsUpstreamInService(const struct sl_config *config,
                             const struct sl_name *name)
{
    const struct sl_upstream *upstream = SlConfig_FindUpstream(config, name);
    return upstream != NULL && !upstream->out_of_service &&
           SlConfig_IsDomainInService(config, &upstream->domain);
}

size_t
SlConfig_ListUpstreams(const struct sl_config *config,
                       const struct sl_name *service,
                       const struct sl_upstream **out, size_t max)
{
    size_t count = 0;
    GTreeNode *node = g_tree_node_first(config->entries);
    for (; node != NULL && count < max; node = g_tree_node_next(node)) {
        const struct sl_config_entry *entry = g_tree_node_value(node);
        if (entry->parsed->type == Sl_VALUE_UPSTREAM &&
            SlName_Equal(&entry->parsed->u.upstream.service, service)) {
            out[count++] = &entry->parsed->u.upstream;
        }
    }
    return count;
}

/* Lists the versions of a service, or of all services if it is NULL. */
static size_t
list_versions(const struct sl_config *config, const struct sl_name *service,
              const struct sl_version **out, size_t max)
{
    size_t count = 0;
    GTreeNode *node = g_tree_node_first(config->entries);
    for (; node != NULL && count < max; node = g_tree_node_next(node)) {
        const struct sl_config_entry *entry = g_tree_node_value(node);
        const struct sl_version *version = &entry->parsed->u.version;
        if (entry->parsed->type == Sl_VALUE_VERSION &&
            (service == NULL || SlName_Equal(&version->service, service))) {
            out[count++] = version;
        }
    }
    return count;
}

size_t
SlConfig_ListVersions(const struct sl_config *config,
                      const struct sl_name *service,
                      const struct sl_version **out, size_t max)
{
    return list_versions(config, service, out, max);
}

size_t
SlConfig_ListAllVersions(const struct sl_config *config,
                         const struct sl_version **out, size_t max)
{
    return list_versions(config, NULL, out, max);
}

bool
SlUpstream_Serves(const struct sl_upstream *upstream,
                  const struct sl_name *version)
{
    return upstream->version_count == 0 ||
           SlName_IsListed(upstream->versions, upstream->version_count,
                           version);
}

bool
SlSelector_Allows(const struct sl_selector *selector,
                  const struct sl_name *version)
{
    return SlName_IsListed(selector->cascade, selector->cascade_count,
                           version) ||
           (!SlName_IsEmpty(&selector->canary) &&
            SlName_Equal(&selector->canary, version));
}

/* Checks that the selector allows the version and that it is in service. */
static enum sl_errno
check_version(const struct sl_config *config,
              const struct sl_selector *selector,
              const struct sl_name *version,
              const struct sl_request_attributes *attributes,
              struct sl_error *err)
{
    const char *step = "config.admit";
    /* A plain service has no versions, and its selectors no cascade. */
    if (selector->cascade_count == 0 && SlName_IsEmpty(version)) {
        return Sl_OK;
    }
    if (!SlSelector_Allows(selector, version)) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "selector \"%s\": version \"%s\" is not allowed to "
                           "team \"%s\"",
                           selector->name.text, version->text,
                           attributes->team.text);
    }
    const struct sl_version *label = SlConfig_FindVersion(config, version);
    if (label == NULL || label->out_of_service) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "version \"%s\" is out of service", version->text);
    }
    return Sl_OK;
}

enum sl_errno
SlConfig_CheckAdmission(const struct sl_config *config,
                        const struct sl_request_attributes *attributes,
                        const struct sl_name *version,
                        const struct sl_name *upstream, struct sl_error *err)
{
    const char *step = "config.admit";
    const struct sl_selector *selector =
        SlConfig_FindSelector(config, attributes);
    if (selector == NULL) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "no selector for team \"%s\", kind \"%s\"",
                           attributes->team.text, attributes->kind.text);
    }
    Sl_TRY(check_version(config, selector, version, attributes, err));
    const struct sl_upstream *target = SlConfig_FindUpstream(config, upstream);
    if (target == NULL ||
        !SlName_Equal(&target->service, &selector->service)) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "upstream \"%s\" does not serve \"%s\"",
                           upstream->text, selector->service.text);
    }
    if (!SlUpstream_Serves(target, version)) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "upstream \"%s\" does not serve version \"%s\"",
                           upstream->text, version->text);
    }
    if (target->out_of_service) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "upstream \"%s\" is out of service",
                           upstream->text);
    }
    if (!SlConfig_IsDomainInService(config, &target->domain)) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "failure domain \"%s\" is out of service",
                           target->domain.text);
    }
    return Sl_OK;
}

bool
SlConfig_NeedsHomes(const struct sl_config *config,
                    const struct sl_name *service)
{
    for (size_t i = 0; i < config->selectors->len; i++) {
        const struct sl_config_value *value =
            g_ptr_array_index(config->selectors, i);
        const struct sl_selector *selector = &value->u.selector;
        if (!selector->idempotent &&
            SlName_Equal(&selector->service, service)) {
            return true;
        }
    }
    return false;
}

const struct sl_home *
SlConfig_FindHome(const struct sl_config *config,
                  const struct sl_name *service)
{
    char *key = g_strconcat("home/", service->text, NULL);
    const struct sl_config_entry *entry = SlConfig_FindEntry(config, key);
    g_free(key);
    return entry == NULL ? NULL : &entry->parsed->u.home;
}

const struct sl_name *
SlHome_MemberForKey(const struct sl_home *home, const struct sl_name *key)
{
    const struct sl_name *best = NULL;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < home->member_count; i++) {
        uint64_t weight =
            SlHash_Rendezvous(SlName_Str(key), SlName_Str(&home->members[i]));
        if (best == NULL || weight > best_weight) {
            best = &home->members[i];
            best_weight = weight;
        }
    }
    return best;
}
