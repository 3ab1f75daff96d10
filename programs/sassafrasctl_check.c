/* `check`: validates settings and configuration files. */
#include "sassafrasctl.h"
#include "settings.h"

/* ---- helpers ---- */

/* Applies one item of a configuration file to `config`, as if it had been
 * published. Does nothing if its value is in force already. */
static enum sl_errno
apply_item(struct sl_config *config, const json_t *item, size_t index,
           struct sl_error *err)
{
    static const char *const keys[] = {"key", "value", NULL};
    char where[32];
    snprintf(where, sizeof(where), "item %zu", index);
    Sl_TRY(SlJson_CheckKeys(item, keys, where, err));
    const char *key = json_string_value(json_object_get(item, "key"));
    json_t *value = json_object_get(item, "value");
    if (key == NULL || value == NULL) {
        return SlError_Set(err, Sl_ERR_INVALID, "config.check", NULL,
                           "%s: \"key\" (string) and \"value\" (object or "
                           "null) must be given",
                           where);
    }
    if (SlCtl_IsInForce(config, key, value)) {
        return Sl_OK;
    }
    char id[32];
    uint64_t offset = SlConfig_Offset(config) + 1;
    snprintf(id, sizeof(id), "check-%" G_GUINT64_FORMAT, (guint64)offset);
    json_t *record =
        json_pack("{s:s, s:s, s:I, s:O}", "key", key, "id", id, "base",
                  (json_int_t)SlConfig_Revision(config, key), "value", value);
    struct sl_error reason = {0};
    enum sl_apply_result apply_result =
        SlConfig_Apply(config, offset, record, &reason);
    json_decref(record);
    if (apply_result == Sl_APPLY_ACCEPTED) {
        return Sl_OK;
    }
    /* The key is cut at 77 bytes, the value of Sl_KEY_MAX_BYTES. */
    return SlError_Set(err, Sl_ERR_INVALID, reason.step.text, NULL,
                       "item %zu, \"%.77s\": %s", index, key, reason.text);
}

/* Checks a list of configuration items, or the settings of a process. */
static enum sl_errno
check_file(const char *path, struct sl_error *err)
{
    struct sl_settings settings;
    json_t *json = SlSettings_ReadJson(path, err);
    if (json == NULL) {
        return Sl_ERR_INVALID;
    }
    enum sl_errno code = Sl_OK;
    if (json_is_array(json)) {
        struct sl_config *config = SlConfig_New();
        code = SlCtl_ApplyItems(config, json, err);
        SlConfig_Free(config);
    }
    else {
        code = SlSettings_Parse(json, &settings, err);
    }
    json_decref(json);
    return code;
}

/* ---- public ---- */

bool
SlCtl_IsInForce(const struct sl_config *config, const char *key,
                const json_t *value)
{
    const json_t *current_value = SlConfig_Value(config, key);
    if (current_value == NULL) {
        return json_is_null(value);
    }
    return json_equal(current_value, value);
}

enum sl_errno
SlCtl_ApplyItems(struct sl_config *config, const json_t *items,
                 struct sl_error *err)
{
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)items, i, item)
    {
        Sl_TRY(apply_item(config, item, i, err));
    }
    return Sl_OK;
}

enum sl_ctl_exit
SlCtl_Check(struct sl_ctl *ctl, char **paths)
{
    enum sl_ctl_exit result = Sl_EXIT_OK;
    for (; *paths != NULL; paths++) {
        struct sl_error err = {0};
        bool valid = check_file(*paths, &err) == Sl_OK;
        SlCtl_Print(ctl, "%s: %s", *paths, valid ? "valid" : err.text);
        json_t *item = json_pack("{s:s, s:b}", "file", *paths, "valid", valid);
        if (!valid) {
            json_object_set_new(item, "error", json_string(err.text));
            result = Sl_EXIT_INVALID;
        }
        SlCtl_AddToList(ctl, "files", item);
    }
    return result;
}
