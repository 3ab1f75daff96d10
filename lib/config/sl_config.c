/* Applies records of the configuration stream; snapshots. */
#include "sl_config_internal.h"

#include <assert.h>
#include <string.h>

/* Ids remembered to detect records that were appended twice. */
#define Sl_RECENT_IDS_MAX 4096

/* ---- helpers ---- */

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return strcmp(a, b);
}

static void
free_entry(gpointer data)
{
    struct sl_config_entry *entry = data;
    g_free(entry->key);
    json_decref(entry->value);
    g_free(entry->parsed);
    g_free(entry);
}

struct sl_config_entry *
SlConfig_FindEntry(const struct sl_config *config, const char *key)
{
    return g_tree_lookup(config->entries, key);
}

static gint
compare_selectors(gconstpointer a, gconstpointer b)
{
    const struct sl_config_value *left = *(struct sl_config_value *const *)a;
    const struct sl_config_value *right = *(struct sl_config_value *const *)b;
    if (left->u.selector.rank != right->u.selector.rank) {
        return left->u.selector.rank < right->u.selector.rank ? -1 : 1;
    }
    return strcmp(left->u.selector.name.text, right->u.selector.name.text);
}

/* Sets whether the version or upstream that the mark names is in service, if
 * its label exists. Does nothing for a mark of a failure domain: queries look
 * that up. */
static void
set_in_service(struct sl_config *config, const struct sl_mark *mark,
               bool in_service)
{
    struct sl_config_value *parsed =
        g_hash_table_lookup(config->labels, &mark->name);
    if (parsed == NULL) {
        return;
    }
    if (mark->target == Sl_MARK_VERSION && parsed->type == Sl_VALUE_VERSION) {
        parsed->u.version.out_of_service = !in_service;
    }
    if (mark->target == Sl_MARK_UPSTREAM &&
        parsed->type == Sl_VALUE_UPSTREAM) {
        parsed->u.upstream.out_of_service = !in_service;
    }
}

/* Returns true if there is a mark under `prefix` and `name` that says "out of
 * service". What has no mark is in service. */
static bool
is_marked_out(const struct sl_config *config, const char *prefix,
              const struct sl_name *name)
{
    char *key = g_strconcat(prefix, name->text, NULL);
    const struct sl_config_entry *entry = SlConfig_FindEntry(config, key);
    g_free(key);
    return entry != NULL && !entry->parsed->u.mark.in_service;
}

/* Adds an entry to the state that is derived from the entries: the index of
 * labels, the marks on them, and the sorted selectors. */
static void
index_entry(struct sl_config *config, struct sl_config_entry *entry)
{
    struct sl_config_value *parsed = entry->parsed;
    switch (parsed->type) {
    case Sl_VALUE_SERVICE:
        break;
    case Sl_VALUE_VERSION:
        parsed->u.version.out_of_service =
            is_marked_out(config, "mark/version/", &parsed->u.version.name);
        break;
    case Sl_VALUE_UPSTREAM:
        parsed->u.upstream.out_of_service =
            is_marked_out(config, "mark/upstream/", &parsed->u.upstream.name);
        break;
    case Sl_VALUE_SELECTOR:
        g_ptr_array_add(config->selectors, parsed);
        g_ptr_array_sort(config->selectors, compare_selectors);
        break;
    case Sl_VALUE_MARK:
        set_in_service(config, &parsed->u.mark, parsed->u.mark.in_service);
        break;
    case Sl_VALUE_HOME:
        parsed->u.home.revision = entry->revision;
        break;
    }
    if (SlConfigValue_LabelName(parsed) != NULL) {
        SlConfigValue_Index(config, SlConfigValue_LabelName(parsed), parsed);
    }
}

/* Reverts index_entry() before the entry is removed. */
static void
unindex_entry(struct sl_config *config, struct sl_config_entry *entry)
{
    struct sl_config_value *parsed = entry->parsed;
    if (SlConfigValue_LabelName(parsed) != NULL) {
        SlConfigValue_Index(config, SlConfigValue_LabelName(parsed), NULL);
    }
    if (parsed->type == Sl_VALUE_SELECTOR) {
        g_ptr_array_remove(config->selectors, parsed);
    }
    if (parsed->type == Sl_VALUE_MARK) {
        set_in_service(config, &parsed->u.mark, true);
    }
}

static bool
is_known_id(struct sl_config *config, const char *id)
{
    return g_hash_table_contains(config->ids_seen, id);
}

static void
remember_id(struct sl_config *config, const char *id)
{
    char *copy = g_strdup(id);
    g_queue_push_tail(config->recent_ids, copy);
    g_hash_table_add(config->ids_seen, copy);
    if (config->recent_ids->length > Sl_RECENT_IDS_MAX) {
        char *oldest = g_queue_pop_head(config->recent_ids);
        g_hash_table_remove(config->ids_seen, oldest);
        g_free(oldest);
    }
}

static void
remove_entry(struct sl_config *config, const char *key)
{
    struct sl_config_entry *entry = SlConfig_FindEntry(config, key);
    if (entry != NULL) {
        unindex_entry(config, entry);
        g_tree_remove(config->entries, key);
    }
}

static void
set_entry(struct sl_config *config, const char *key, uint64_t revision,
          json_t *value, struct sl_config_value *parsed)
{
    struct sl_config_entry *entry = g_new0(struct sl_config_entry, 1);
    remove_entry(config, key);
    entry->key = g_strdup(key);
    entry->revision = revision;
    entry->value = json_incref(value);
    entry->parsed = parsed;
    g_tree_insert(config->entries, entry->key, entry);
    index_entry(config, entry);
}

/* Returns the member `name` if it is a string of 1 to `max` bytes without NUL,
 * otherwise NULL. */
static const char *
read_text(const json_t *record, const char *name, size_t max)
{
    const json_t *value = json_object_get(record, name);
    const char *text = json_string_value(value);
    if (text == NULL || *text == '\0' || strlen(text) > max ||
        strlen(text) != json_string_length(value)) {
        return NULL;
    }
    return text;
}

/* Reads the members of a record and checks all but the value. */
static enum sl_errno
read_envelope(const json_t *record, const char **key, const char **id,
              uint64_t *base, json_t **value, struct sl_error *err)
{
    static const char *const keys[] = {"key",  "id",    "by",
                                       "base", "value", NULL};
    static const struct sl_json_int_rule rule = {0, INT64_MAX, 0, true};
    struct sl_name by;
    int64_t number = 0;
    Sl_TRY(SlJson_CheckKeys(record, keys, "record", err));
    Sl_TRY(SlJson_Int(record, "base", &rule, "record", &number, err));
    Sl_TRY(SlJson_Name(record, "by", false, "record", &by, err));
    *key = read_text(record, "key", Sl_KEY_MAX_BYTES);
    *id = read_text(record, "id", Sl_NAME_MAX_BYTES);
    *value = json_object_get(record, "value");
    *base = (uint64_t)number;
    if (*key == NULL || *id == NULL || *value == NULL) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_CONFIG_STEP, NULL,
                           "record: \"key\" (1 to %d bytes), \"id\" (1 to %d "
                           "bytes) and \"value\" must be given",
                           Sl_KEY_MAX_BYTES, Sl_NAME_MAX_BYTES);
    }
    return Sl_OK;
}

/* Parses a value, unless it is null, and checks its references to other
 * entries and the references of other entries to it. On error `*parsed` is
 * NULL. */
static enum sl_errno
check_value(const struct sl_config *config, const char *key,
            const json_t *value, struct sl_config_value **parsed,
            struct sl_error *err)
{
    *parsed = NULL;
    if (!json_is_null(value)) {
        Sl_TRY(SlConfigValue_Parse(config, key, value, parsed, err));
    }
    bool is_home = *parsed != NULL && (*parsed)->type == Sl_VALUE_HOME;
    if (SlConfigValue_CheckReferences(config, key, *parsed, err) == Sl_OK &&
        (!is_home || SlConfigValue_CheckPrevious(config, &(*parsed)->u.home,
                                                 err) == Sl_OK)) {
        return Sl_OK;
    }
    g_free(*parsed);
    *parsed = NULL;
    return Sl_ERR_INVALID;
}

/* Sets or removes a key, if `base` is its current revision and the change is
 * valid. */
static enum sl_apply_result
change_key(struct sl_config *config, const char *key, uint64_t base,
           json_t *value, struct sl_error *err)
{
    uint64_t revision = SlConfig_Revision(config, key);
    if (revision != base) {
        SlError_Set(err, Sl_ERR_CONFLICT, Sl_CONFIG_STEP, NULL,
                    "key \"%.80s\": base %" G_GUINT64_FORMAT
                    " is stale, the revision is %" G_GUINT64_FORMAT,
                    key, (guint64)base, (guint64)revision);
        return Sl_APPLY_STALE;
    }
    struct sl_config_value *parsed = NULL;
    if (check_value(config, key, value, &parsed, err) != Sl_OK) {
        return Sl_APPLY_INVALID;
    }
    if (parsed == NULL) {
        remove_entry(config, key);
    }
    else {
        set_entry(config, key, config->offset, value, parsed);
    }
    return Sl_APPLY_ACCEPTED;
}

/* ---- public: records ---- */

struct sl_config *
SlConfig_New(void)
{
    struct sl_config *config = g_new0(struct sl_config, 1);
    config->entries = g_tree_new_full(compare_keys, NULL, NULL, free_entry);
    config->labels = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    config->selectors = g_ptr_array_new();
    config->recent_ids = g_queue_new();
    config->ids_seen = g_hash_table_new(g_str_hash, g_str_equal);
    return config;
}

void
SlConfig_Free(struct sl_config *config)
{
    if (config == NULL) {
        return;
    }
    g_ptr_array_free(config->selectors, TRUE);
    g_hash_table_destroy(config->labels);
    g_tree_destroy(config->entries);
    g_hash_table_destroy(config->ids_seen);
    g_queue_free_full(config->recent_ids, g_free);
    g_free(config);
}

const char *
SlApplyResult_Name(enum sl_apply_result result)
{
    static const char *const names[] = {"accepted", "stale", "invalid",
                                        "repeated"};
    return names[result];
}

enum sl_apply_result
SlConfig_Apply(struct sl_config *config, uint64_t offset, const json_t *record,
               struct sl_error *err)
{
    const char *key = NULL;
    const char *id = NULL;
    uint64_t base = 0;
    json_t *value = NULL;
    assert(offset == config->offset + 1);
    config->offset = offset;
    if (read_envelope(record, &key, &id, &base, &value, err) != Sl_OK) {
        return Sl_APPLY_INVALID;
    }
    if (is_known_id(config, id)) {
        SlError_Set(err, Sl_ERR_CONFLICT, Sl_CONFIG_STEP, NULL,
                    "record \"%.80s\" was applied before", id);
        return Sl_APPLY_DUPLICATE;
    }
    remember_id(config, id);
    return change_key(config, key, base, value, err);
}

enum sl_errno
SlConfig_Check(const struct sl_config *config, const char *key,
               const json_t *value, struct sl_error *err)
{
    struct sl_config_value *parsed = NULL;
    Sl_TRY(check_value(config, key, value, &parsed, err));
    g_free(parsed);
    return Sl_OK;
}

uint64_t
SlConfig_Offset(const struct sl_config *config)
{
    return config->offset;
}

uint64_t
SlConfig_Revision(const struct sl_config *config, const char *key)
{
    const struct sl_config_entry *entry = SlConfig_FindEntry(config, key);
    return entry == NULL ? 0 : entry->revision;
}

const json_t *
SlConfig_Value(const struct sl_config *config, const char *key)
{
    const struct sl_config_entry *entry = SlConfig_FindEntry(config, key);
    return entry == NULL ? NULL : entry->value;
}

char **
SlConfig_Keys(const struct sl_config *config)
{
    char **keys = g_new0(char *, g_tree_nnodes(config->entries) + 1);
    size_t count = 0;
    GTreeNode *at = g_tree_node_first(config->entries);
    for (; at != NULL; at = g_tree_node_next(at)) {
        keys[count++] = g_strdup(g_tree_node_key(at));
    }
    return keys;
}

/* ---- public: snapshots ---- */

void
SlConfig_Snapshot(const struct sl_config *config, struct sl_buf *out)
{
    const char *separator = "";
    SlBuf_Printf(out, "{\"offset\":%" G_GUINT64_FORMAT ",\"keys\":{",
                 (guint64)config->offset);
    GTreeNode *at = g_tree_node_first(config->entries);
    for (; at != NULL; at = g_tree_node_next(at)) {
        const struct sl_config_entry *entry = g_tree_node_value(at);
        char *value = json_dumps(entry->value, JSON_COMPACT | JSON_SORT_KEYS);
        SlBuf_AppendC(out, separator);
        SlBuf_AppendJson(out, SlStr_FromC(entry->key));
        SlBuf_Printf(out, ":{\"revision\":%" G_GUINT64_FORMAT ",\"value\":",
                     (guint64)entry->revision);
        SlBuf_AppendC(out, value);
        SlBuf_AppendC(out, "}");
        free(value);
        separator = ",";
    }
    SlBuf_AppendC(out, "},\"ids\":[");
    separator = "";
    for (GList *id = config->recent_ids->head; id != NULL; id = id->next) {
        SlBuf_AppendC(out, separator);
        SlBuf_AppendJson(out, SlStr_FromC(id->data));
        separator = ",";
    }
    SlBuf_AppendC(out, "]}");
}

/* Adds those keys of a snapshot that are valid with the keys added so far. The
 * others refer to labels that come later in the snapshot and need another
 * pass. Returns the number of keys that were not added. */
static size_t
restore_pass(struct sl_config *fresh, json_t *keys, struct sl_error *err)
{
    const char *key;
    json_t *item;
    size_t missing_count = 0;
    json_object_foreach(keys, key, item)
    {
        struct sl_config_value *parsed = NULL;
        json_t *value = json_object_get(item, "value");
        if (SlConfig_FindEntry(fresh, key) != NULL) {
            continue;
        }
        if (SlConfigValue_Parse(fresh, key, value, &parsed, err) != Sl_OK) {
            missing_count++;
            continue;
        }
        json_int_t revision =
            json_integer_value(json_object_get(item, "revision"));
        set_entry(fresh, key, (uint64_t)revision, value, parsed);
    }
    return missing_count;
}

/* Adds all keys of a snapshot, in passes. Fails if a pass adds none and some
 * are still missing: `err` is then from the last of these. */
static enum sl_errno
restore_keys(struct sl_config *fresh, json_t *keys, struct sl_error *err)
{
    size_t missing_count = json_object_size(keys);
    size_t previous_count = missing_count + 1;
    while (missing_count > 0 && missing_count < previous_count) {
        previous_count = missing_count;
        missing_count = restore_pass(fresh, keys, err);
    }
    return missing_count == 0 ? Sl_OK : Sl_ERR_INVALID;
}

/* Checks the structure of a snapshot; values are checked as they are added. */
static enum sl_errno
check_snapshot(const json_t *snapshot, struct sl_error *err)
{
    const char *step = "config.restore";
    json_t *keys = json_object_get(snapshot, "keys");
    json_t *ids = json_object_get(snapshot, "ids");
    json_int_t offset =
        json_integer_value(json_object_get(snapshot, "offset"));
    if (!json_is_object(keys) || !json_is_array(ids) || offset <= 0) {
        return SlError_Set(err, Sl_ERR_INVALID, step, NULL,
                           "snapshot lacks \"offset\", \"keys\" or \"ids\"");
    }
    const char *key;
    json_t *item;
    json_object_foreach(keys, key, item)
    {
        json_int_t revision =
            json_integer_value(json_object_get(item, "revision"));
        if (revision <= 0 || revision > offset) {
            return SlError_Set(err, Sl_ERR_INVALID, step, NULL,
                               "snapshot: key \"%.80s\" lacks a \"revision\" "
                               "up to its offset",
                               key);
        }
    }
    size_t i;
    json_array_foreach(ids, i, item)
    {
        if (!json_is_string(item)) {
            return SlError_Set(err, Sl_ERR_INVALID, step, NULL,
                               "snapshot: an id is not a string");
        }
    }
    return Sl_OK;
}

static void
swap_states(struct sl_config *a, struct sl_config *b)
{
    struct sl_config previous = *a;
    *a = *b;
    *b = previous;
}

enum sl_errno
SlConfig_Restore(struct sl_config *config, const json_t *snapshot,
                 struct sl_error *err)
{
    Sl_TRY(check_snapshot(snapshot, err));
    uint64_t offset =
        (uint64_t)json_integer_value(json_object_get(snapshot, "offset"));
    if (offset <= config->offset) {
        return SlError_Set(err, Sl_ERR_CONFLICT, "config.restore", NULL,
                           "snapshot is not newer than offset "
                           "%" G_GUINT64_FORMAT,
                           (guint64)config->offset);
    }
    struct sl_config *fresh = SlConfig_New();
    enum sl_errno code =
        restore_keys(fresh, json_object_get(snapshot, "keys"), err);
    if (code == Sl_OK) {
        size_t i;
        json_t *id;
        json_array_foreach(json_object_get(snapshot, "ids"), i, id)
        {
            remember_id(fresh, json_string_value(id));
        }
        fresh->offset = offset;
        swap_states(config, fresh);
    }
    SlConfig_Free(fresh);
    return code;
}
