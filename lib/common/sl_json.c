/* Checked access to JSON members. Each error names the key. */
#include "sl_common.h"

#include <string.h>

/* Step in the errors of this file. */
#define Sl_JSON_STEP "json.check"
/* Buffer size for the part of an error message that gives the allowed
 * values. */
#define Sl_ALLOWED_MAX_BYTES 200
#define Sl_ALLOWED_NAME "a text of 1 to 255 bytes"

/* ---- helpers ---- */

static enum sl_errno
report_missing(const char *where, const char *key, const char *allowed,
               struct sl_error *err)
{
    return SlError_Set(err, Sl_ERR_INVALID, Sl_JSON_STEP, NULL,
                       "%s: \"%s\" is missing, allowed: %s", where, key,
                       allowed);
}

static enum sl_errno
report_wrong_value(const char *where, const char *key, const json_t *value,
                   const char *allowed, struct sl_error *err)
{
    char *found = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    SlError_Set(err, Sl_ERR_INVALID, Sl_JSON_STEP, NULL,
                "%s: \"%s\" is %.60s, allowed: %s", where, key,
                found == NULL ? "unreadable" : found, allowed);
    free(found);
    return Sl_ERR_INVALID;
}

/* Reports a key that is not in `keys`, which NULL terminates. */
static enum sl_errno
report_unknown_key(const char *where, const char *key, const json_t *value,
                   const char *const *keys, struct sl_error *err)
{
    char *allowed = g_strjoinv(", ", (char **)keys);
    char *found = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    SlError_Set(err, Sl_ERR_INVALID, Sl_JSON_STEP, NULL,
                "%s: unknown key \"%.40s\" is %.20s, allowed keys: %s", where,
                key, found == NULL ? "unreadable" : found, allowed);
    free(found);
    g_free(allowed);
    return Sl_ERR_INVALID;
}

static bool
read_name(const json_t *value, struct sl_name *out)
{
    if (!json_is_string(value)) {
        return false;
    }
    struct sl_str text = {json_string_value(value), json_string_length(value)};
    return SlName_Set(out, text) && !SlName_IsEmpty(out);
}

/* ---- public ---- */

enum sl_errno
SlJson_Int(const json_t *object, const char *key,
           const struct sl_json_int_rule *rule, const char *where,
           int64_t *out, struct sl_error *err)
{
    const json_t *value = json_object_get(object, key);
    char allowed[Sl_ALLOWED_MAX_BYTES];
    snprintf(allowed, sizeof(allowed),
             "a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
             (gint64)rule->min, (gint64)rule->max);
    if (value == NULL) {
        *out = rule->fallback;
        return rule->required ? report_missing(where, key, allowed, err)
                              : Sl_OK;
    }
    int64_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < rule->min || number > rule->max) {
        return report_wrong_value(where, key, value, allowed, err);
    }
    *out = number;
    return Sl_OK;
}

enum sl_errno
SlJson_Real(const json_t *object, const char *key, double min, double max,
            double fallback, const char *where, double *out,
            struct sl_error *err)
{
    const json_t *value = json_object_get(object, key);
    if (value == NULL) {
        *out = fallback;
        return Sl_OK;
    }
    double number = json_number_value(value);
    if (!json_is_number(value) || number < min || number > max) {
        char allowed[Sl_ALLOWED_MAX_BYTES];
        snprintf(allowed, sizeof(allowed), "a number from %g to %g", min, max);
        return report_wrong_value(where, key, value, allowed, err);
    }
    *out = number;
    return Sl_OK;
}

enum sl_errno
SlJson_Bool(const json_t *object, const char *key, bool fallback,
            const char *where, bool *out, struct sl_error *err)
{
    const json_t *value = json_object_get(object, key);
    if (value == NULL) {
        *out = fallback;
        return Sl_OK;
    }
    if (!json_is_boolean(value)) {
        return report_wrong_value(where, key, value, "true or false", err);
    }
    *out = json_is_true(value);
    return Sl_OK;
}

enum sl_errno
SlJson_Name(const json_t *object, const char *key, bool required,
            const char *where, struct sl_name *out, struct sl_error *err)
{
    const json_t *value = json_object_get(object, key);
    memset(out, 0, sizeof(*out));
    if (value == NULL) {
        return required ? report_missing(where, key, Sl_ALLOWED_NAME, err)
                        : Sl_OK;
    }
    if (!read_name(value, out)) {
        return report_wrong_value(where, key, value, Sl_ALLOWED_NAME, err);
    }
    return Sl_OK;
}

enum sl_errno
SlJson_Names(const json_t *object, const char *key, size_t max,
             const char *where, struct sl_name *out, size_t *count,
             struct sl_error *err)
{
    const json_t *value = json_object_get(object, key);
    *count = 0;
    if (value == NULL) {
        return Sl_OK;
    }
    char allowed[Sl_ALLOWED_MAX_BYTES];
    snprintf(allowed, sizeof(allowed), "a list of up to %zu names", max);
    if (!json_is_array(value) || json_array_size(value) > max) {
        return report_wrong_value(where, key, value, allowed, err);
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        if (!read_name(json_array_get(value, i), &out[i])) {
            return report_wrong_value(where, key, value, allowed, err);
        }
    }
    *count = json_array_size(value);
    return Sl_OK;
}

enum sl_errno
SlJson_CheckKeys(const json_t *object, const char *const *keys,
                 const char *where, struct sl_error *err)
{
    const char *key;
    json_t *value;
    if (!json_is_object(object)) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_JSON_STEP, NULL,
                           "%s: not a JSON object", where);
    }
    json_object_foreach((json_t *)object, key, value)
    {
        const char *const *allowed_key = keys;
        while (*allowed_key != NULL && strcmp(*allowed_key, key) != 0) {
            allowed_key++;
        }
        if (*allowed_key == NULL) {
            return report_unknown_key(where, key, value, keys, err);
        }
    }
    return Sl_OK;
}
