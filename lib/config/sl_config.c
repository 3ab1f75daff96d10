/* The fold of the configuration stream. */
#include "sl_config_internal.h"

#include <assert.h>
#include <string.h>

/* Ids remembered against a second append of the same record. */
#define Sl_RECENT_IDS_MAX 4096

/* ---- helpers ---- */

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return strcmp(a, b);
}

static void
free_record(gpointer data)
{
    struct sl_config_entry *record = data;
    g_free(record->key);
    json_decref(record->value);
    g_free(record->part);
    g_free(record);
}

struct sl_config_entry *
SlConfig_FindEntry(const struct sl_config *config, const char *key)
{
    return g_tree_lookup(config->records, key);
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

/* Puts the mark on its label, which may be gone. */
static void
apply_mark(struct sl_config *config, const struct sl_mark *mark, bool in)
{
    struct sl_config_value *part =
        g_hash_table_lookup(config->parts, &mark->name);
    if (part == NULL) {
        return;
    }
    if (mark->target == Sl_MARK_VERSION && part->type == Sl_VALUE_VERSION) {
        part->u.version.out = !in;
    }
    if (mark->target == Sl_MARK_UPSTREAM && part->type == Sl_VALUE_UPSTREAM) {
        part->u.upstream.out = !in;
    }
}

/* True when a mark of that kind says so; without one, all is in service. */
static bool
is_marked_out(const struct sl_config *config, const char *prefix,
              const struct sl_name *name)
{
    char *key = g_strconcat(prefix, name->text, NULL);
    const struct sl_config_entry *record = SlConfig_FindEntry(config, key);
    g_free(key);
    return record != NULL && !record->part->u.mark.in;
}

/* Adds a record to what is derived from the records: index of the labels,
 * marks on them, order of the selectors. */
static void
link_record(struct sl_config *config, struct sl_config_entry *record)
{
    struct sl_config_value *part = record->part;
    switch (part->type) {
    case Sl_VALUE_SERVICE:
        break;
    case Sl_VALUE_VERSION:
        part->u.version.out =
            is_marked_out(config, "mark/version/", &part->u.version.name);
        break;
    case Sl_VALUE_UPSTREAM:
        part->u.upstream.out =
            is_marked_out(config, "mark/upstream/", &part->u.upstream.name);
        break;
    case Sl_VALUE_SELECTOR:
        g_ptr_array_add(config->selectors, part);
        g_ptr_array_sort(config->selectors, compare_selectors);
        break;
    case Sl_VALUE_MARK:
        apply_mark(config, &part->u.mark, part->u.mark.in);
        break;
    case Sl_VALUE_HOME:
        part->u.home.revision = record->revision;
        break;
    }
    if (SlConfigValue_LabelName(part) != NULL) {
        SlConfigValue_Index(config, SlConfigValue_LabelName(part), part);
    }
}

/* Takes a record that is about to go out of what link_record() derived. */
static void
unlink_record(struct sl_config *config, struct sl_config_entry *record)
{
    struct sl_config_value *part = record->part;
    if (SlConfigValue_LabelName(part) != NULL) {
        SlConfigValue_Index(config, SlConfigValue_LabelName(part), NULL);
    }
    if (part->type == Sl_VALUE_SELECTOR) {
        g_ptr_array_remove(config->selectors, part);
    }
    if (part->type == Sl_VALUE_MARK) {
        apply_mark(config, &part->u.mark, true);
    }
}

static bool
seen_before(struct sl_config *config, const char *id)
{
    return g_hash_table_contains(config->ids_seen, id);
}

static void
remember_id(struct sl_config *config, const char *id)
{
    char *kept = g_strdup(id);
    g_queue_push_tail(config->recent_ids, kept);
    g_hash_table_add(config->ids_seen, kept);
    if (config->recent_ids->length > Sl_RECENT_IDS_MAX) {
        char *oldest = g_queue_pop_head(config->recent_ids);
        g_hash_table_remove(config->ids_seen, oldest);
        g_free(oldest);
    }
}

static void
remove_record(struct sl_config *config, const char *key)
{
    struct sl_config_entry *record = SlConfig_FindEntry(config, key);
    if (record != NULL) {
        unlink_record(config, record);
        g_tree_remove(config->records, key);
    }
}

static void
set_record(struct sl_config *config, const char *key, uint64_t revision,
           json_t *value, struct sl_config_value *part)
{
    struct sl_config_entry *record = g_new0(struct sl_config_entry, 1);
    remove_record(config, key);
    record->key = g_strdup(key);
    record->revision = revision;
    record->value = json_incref(value);
    record->part = part;
    g_tree_insert(config->records, record->key, record);
    link_record(config, record);
}

/* Reads a text without NUL bytes and up to `max` bytes; NULL otherwise. */
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

/* Reads the members that every record has. */
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

/* Parses a value, unless it is null, and checks it against the records that
 * it refers to and those that refer to it. */
static enum sl_errno
check_value(const struct sl_config *config, const char *key,
            const json_t *value, struct sl_config_value **part,
            struct sl_error *err)
{
    *part = NULL;
    if (!json_is_null(value)) {
        Sl_TRY(SlConfigValue_Parse(config, key, value, part, err));
    }
    bool is_home = *part != NULL && (*part)->type == Sl_VALUE_HOME;
    if (SlConfigValue_CheckReferences(config, key, *part, err) == Sl_OK &&
        (!is_home || SlConfigValue_CheckPrevious(config, &(*part)->u.home,
                                                 err) == Sl_OK)) {
        return Sl_OK;
    }
    g_free(*part);
    *part = NULL;
    return Sl_ERR_INVALID;
}

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
    struct sl_config_value *part = NULL;
    if (check_value(config, key, value, &part, err) != Sl_OK) {
        return Sl_APPLY_INVALID;
    }
    if (part == NULL) {
        remove_record(config, key);
    }
    else {
        set_record(config, key, config->offset, value, part);
    }
    return Sl_APPLY_ACCEPTED;
}

/* ---- public: fold ---- */

struct sl_config *
SlConfig_New(void)
{
    struct sl_config *config = g_new0(struct sl_config, 1);
    config->records = g_tree_new_full(compare_keys, NULL, NULL, free_record);
    config->parts = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
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
    g_hash_table_destroy(config->parts);
    g_tree_destroy(config->records);
    g_hash_table_destroy(config->ids_seen);
    g_queue_free_full(config->recent_ids, g_free);
    g_free(config);
}

const char *
SlApplyResult_Name(enum sl_apply_result verdict)
{
    static const char *const names[] = {"accepted", "stale", "invalid",
                                        "repeated"};
    return names[verdict];
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
    if (seen_before(config, id)) {
        SlError_Set(err, Sl_ERR_CONFLICT, Sl_CONFIG_STEP, NULL,
                    "record \"%.80s\" was folded before", id);
        return Sl_APPLY_DUPLICATE;
    }
    remember_id(config, id);
    return change_key(config, key, base, value, err);
}

enum sl_errno
SlConfig_Check(const struct sl_config *config, const char *key,
               const json_t *value, struct sl_error *err)
{
    struct sl_config_value *part = NULL;
    Sl_TRY(check_value(config, key, value, &part, err));
    g_free(part);
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
    const struct sl_config_entry *record = SlConfig_FindEntry(config, key);
    return record == NULL ? 0 : record->revision;
}

const json_t *
SlConfig_Value(const struct sl_config *config, const char *key)
{
    const struct sl_config_entry *record = SlConfig_FindEntry(config, key);
    return record == NULL ? NULL : record->value;
}

char **
SlConfig_Keys(const struct sl_config *config)
{
    char **keys = g_new0(char *, g_tree_nnodes(config->records) + 1);
    size_t count = 0;
    GTreeNode *at = g_tree_node_first(config->records);
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
    GTreeNode *at = g_tree_node_first(config->records);
    for (; at != NULL; at = g_tree_node_next(at)) {
        const struct sl_config_entry *record = g_tree_node_value(at);
        char *value = json_dumps(record->value, JSON_COMPACT | JSON_SORT_KEYS);
        SlBuf_AppendC(out, separator);
        SlBuf_AppendJson(out, SlStr_FromC(record->key));
        SlBuf_Printf(out, ":{\"revision\":%" G_GUINT64_FORMAT ",\"value\":",
                     (guint64)record->revision);
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

/* Adds the keys of a snapshot in passes: a value may refer to labels that
 * come later in the order of keys. Returns how many could not be added. */
static size_t
restore_pass(struct sl_config *fresh, json_t *keys, struct sl_error *err)
{
    const char *key;
    json_t *item;
    size_t left = 0;
    json_object_foreach(keys, key, item)
    {
        struct sl_config_value *part = NULL;
        json_t *value = json_object_get(item, "value");
        if (SlConfig_FindEntry(fresh, key) != NULL) {
            continue;
        }
        if (SlConfigValue_Parse(fresh, key, value, &part, err) != Sl_OK) {
            left++;
            continue;
        }
        json_int_t revision =
            json_integer_value(json_object_get(item, "revision"));
        set_record(fresh, key, (uint64_t)revision, value, part);
    }
    return left;
}

static enum sl_errno
restore_keys(struct sl_config *fresh, json_t *keys, struct sl_error *err)
{
    size_t left = json_object_size(keys);
    size_t before = left + 1;
    while (left > 0 && left < before) {
        before = left;
        left = restore_pass(fresh, keys, err);
    }
    return left == 0 ? Sl_OK : Sl_ERR_INVALID;
}

/* Checks the form of a snapshot; its values are checked as they are added. */
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
                               "snapshot: an id is not a text");
        }
    }
    return Sl_OK;
}

static void
swap_states(struct sl_config *a, struct sl_config *b)
{
    struct sl_config kept = *a;
    *a = *b;
    *b = kept;
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
