/* `publish` and `mark`: append one record for each key that changes, and read
 * it back to learn whether it was accepted. A record names the revision of the
 * key that it is based on, so that it is rejected if another operator has
 * changed the key meanwhile. */
#include "sassafrasctl.h"
#include "settings.h"

#define Sl_MAX_APPENDS 3
/* Interval between reads while the log's reads lag behind its appends. */
#define Sl_READ_BACK_INTERVAL_US (50 * Sl_US_PER_MS)

/* ---- types ---- */

/* A change of one key, published as one record. */
struct sl_change {
    const char *key;
    const json_t *value;
    char *id;      /* identifies the record among all others of the log */
    bool is_found; /* the record was read back; sets the next three members */
    uint64_t offset;
    enum sl_apply_result apply_result;
    struct sl_error reason;
    /* Last accepted change of the key before this record: its operator and
     * its offset. */
    struct sl_name winner;
    uint64_t winner_offset;
};

/* ---- helpers ---- */

/* Notes the result of the change's record, or an earlier change of its key. */
static void
match_record(void *context, uint64_t offset, const json_t *record,
             enum sl_apply_result apply_result, const struct sl_error *err)
{
    struct sl_change *change = context;
    const char *id = json_string_value(json_object_get(record, "id"));
    const char *key = json_string_value(json_object_get(record, "key"));
    const char *by = json_string_value(json_object_get(record, "by"));
    if (g_strcmp0(id, change->id) == 0 && !change->is_found) {
        change->is_found = true;
        change->offset = offset;
        change->apply_result = apply_result;
        change->reason = *err;
        return;
    }
    if (apply_result == Sl_APPLY_ACCEPTED && !change->is_found &&
        g_strcmp0(key, change->key) == 0) {
        SlName_Set(&change->winner, SlStr_FromC(by == NULL ? "" : by));
        change->winner_offset = offset;
    }
}

static char *
encode_record(struct sl_ctl *ctl, const struct sl_change *change,
              uint64_t base)
{
    json_t *records =
        json_pack("[{s:s, s:s, s:s, s:I, s:O}]", "key", change->key, "id",
                  change->id, "by", ctl->options->by, "base", (json_int_t)base,
                  "value", change->value);
    char *text = json_dumps(records, JSON_COMPACT);
    json_decref(records);
    return text;
}

/* Replays the configuration until the record is found or the record at
 * `offset` was applied. An `offset` of 0 replays once. Returns Sl_ERR_TIMEOUT
 * if the record at `offset` cannot be read in time, or the replay's error. */
static enum sl_errno
read_back(struct sl_ctl *ctl, struct sl_change *change, uint64_t offset,
          struct sl_error *err)
{
    const struct sl_ctl_observer observer = {match_record, change, false};
    int64_t deadline_us = g_get_monotonic_time() + ctl->timeout_us;
    for (;;) {
        Sl_TRY(SlCtl_ReplayConfig(ctl, &observer, err));
        if (change->is_found || SlConfig_Offset(ctl->config) >= offset) {
            return Sl_OK;
        }
        if (g_get_monotonic_time() >= deadline_us) {
            return SlError_Set(err, Sl_ERR_TIMEOUT, "config.publish", "log",
                               "record %" G_GUINT64_FORMAT
                               " was appended but cannot be read back yet",
                               (guint64)offset);
        }
        SlCtl_Sleep(ctl, Sl_READ_BACK_INTERVAL_US);
    }
}

/* Appends the record once and reads it back, which sets `change->is_found`.
 * Returns Sl_ERR_TIMEOUT if the append succeeded and the read failed, for any
 * reason, and Sl_ERR_LOST if the append got no response; `change->is_found`
 * then tells whether it took effect. Any other error means that nothing was
 * appended. */
static enum sl_errno
append_once(struct sl_ctl *ctl, struct sl_change *change, const char *text,
            struct sl_error *err)
{
    uint64_t first_offset = 0;
    struct sl_error ignored;
    enum sl_errno code = SlCtl_Append(ctl, Sl_CTL_STREAM_CONFIG,
                                      SlStr_FromC(text), &first_offset, err);
    if (code == Sl_OK) {
        code = read_back(ctl, change, first_offset, err);
        return code == Sl_OK ? Sl_OK : Sl_ERR_TIMEOUT;
    }
    if (code != Sl_ERR_LOST && code != Sl_ERR_TIMEOUT) {
        return code;
    }
    SlCtl_Print(ctl,
                "%s: the log's response was lost (%s); checking whether the "
                "record was appended",
                change->key, err->text);
    /* `err` keeps the append's error, even if this read fails too. */
    read_back(ctl, change, 0, &ignored);
    return Sl_ERR_LOST;
}

/* Sets an error for a record that was not read back. Its text says what the
 * operator can do. `is_appended`: the log has confirmed the append. */
static enum sl_errno
set_unconfirmed_error(const struct sl_change *change, bool is_appended,
                      struct sl_error *err)
{
    char cause[Sl_ERROR_MAX_BYTES + 1];
    g_strlcpy(cause, err->text, sizeof(cause));
    if (is_appended) {
        return SlError_Set(err, Sl_ERR_TIMEOUT, "config.publish", "log",
                           "%s: appended, but not read back (%.60s); check "
                           "it with \"sassafrasctl history %s\"",
                           change->key, cause, change->key);
    }
    return SlError_Set(err, Sl_ERR_LOST, "config.publish", "log",
                       "%s: may or may not be published (%.60s); publish it "
                       "again, values in force are skipped",
                       change->key, cause);
}

/* Appends the record, and appends it again while the outcome is unknown, at
 * most Sl_MAX_APPENDS times in all. All appends have the same id, so that the
 * record is applied once even if an append without a response takes effect
 * later. Returns Sl_OK if the record was read back, accepted or not. */
static enum sl_errno
append_with_retries(struct sl_ctl *ctl, struct sl_change *change,
                    struct sl_error *err)
{
    uint64_t base = SlConfig_Revision(ctl->config, change->key);
    char *text = encode_record(ctl, change, base);
    enum sl_errno code = append_once(ctl, change, text, err);
    bool is_unknown = code == Sl_ERR_LOST;
    for (int i = 1; i < Sl_MAX_APPENDS && code == Sl_ERR_LOST; i++) {
        if (!change->is_found) {
            code = append_once(ctl, change, text, err);
        }
    }
    free(text);
    if (change->is_found) {
        return Sl_OK;
    }
    if (code == Sl_ERR_TIMEOUT || is_unknown) {
        return set_unconfirmed_error(change, code == Sl_ERR_TIMEOUT, err);
    }
    return code;
}

/* Prints the result of a record that was read back. */
static enum sl_ctl_exit
report_change(struct sl_ctl *ctl, const struct sl_change *change)
{
    json_t *item = json_pack("{s:s, s:s, s:I}", "key", change->key, "result",
                             SlApplyResult_Name(change->apply_result),
                             "offset", (json_int_t)change->offset);
    SlCtl_AddToList(ctl, "changes", item);
    if (change->apply_result == Sl_APPLY_ACCEPTED) {
        ctl->revision = change->offset;
        SlCtl_Print(ctl, "%s: accepted at revision %" G_GUINT64_FORMAT,
                    change->key, (guint64)change->offset);
        return Sl_EXIT_OK;
    }
    if (change->apply_result == Sl_APPLY_STALE) {
        const char *winner =
            SlName_IsEmpty(&change->winner) ? "unknown" : change->winner.text;
        json_object_set_new(item, "winner", json_string(winner));
        SlCtl_Print(ctl,
                    "%s: not published: operator \"%s\" changed it first, at "
                    "offset %" G_GUINT64_FORMAT "; check it with "
                    "\"sassafrasctl history %s\" and publish again if your "
                    "change is still valid",
                    change->key, winner, (guint64)change->winner_offset,
                    change->key);
        return Sl_EXIT_CONFLICT;
    }
    json_object_set_new(item, "error", json_string(change->reason.text));
    SlCtl_Print(ctl,
                "%s: not published: the configuration changed meanwhile and "
                "the value became invalid: %s",
                change->key, change->reason.text);
    return Sl_EXIT_INVALID;
}

/* Publishes one value, unless it is in force already. */
static enum sl_ctl_exit
publish_item(struct sl_ctl *ctl, const char *key, const json_t *value)
{
    struct sl_error err = {0};
    if (SlCtl_IsInForce(ctl->config, key, value)) {
        guint64 revision = SlConfig_Revision(ctl->config, key);
        ctl->revision = MAX(ctl->revision, revision);
        SlCtl_Print(ctl, "%s: already in force at revision %" G_GUINT64_FORMAT,
                    key, revision);
        SlCtl_AddToList(ctl, "changes",
                        json_pack("{s:s, s:s, s:I}", "key", key, "result",
                                  "in-force", "offset", (json_int_t)revision));
        return Sl_EXIT_OK;
    }
    struct sl_change change = {
        .key = key,
        .value = value,
        .id = g_uuid_string_random(),
    };
    enum sl_errno code = append_with_retries(ctl, &change, &err);
    enum sl_ctl_exit result = Sl_EXIT_OK;
    if (code == Sl_OK) {
        result = report_change(ctl, &change);
    }
    else {
        SlCtl_ReportError(ctl, &err);
        result = SlCtl_ExitCodeOf(code);
    }
    g_free(change.id);
    return result;
}

/* Applies all items to a copy of the configuration, so that a file with an
 * invalid item publishes nothing. */
static enum sl_errno
check_items(const struct sl_config *config, const json_t *items,
            struct sl_error *err)
{
    struct sl_buf bytes = {0};
    struct sl_config *copy = SlConfig_New();
    SlConfig_Snapshot(config, &bytes);
    json_t *snapshot = json_loadb(bytes.ptr, bytes.len, 0, NULL);
    enum sl_errno code = Sl_OK;
    if (SlConfig_Offset(config) > 0) {
        code = SlConfig_Restore(copy, snapshot, err);
    }
    if (code == Sl_OK) {
        code = SlCtl_ApplyItems(copy, items, err);
    }
    json_decref(snapshot);
    SlBuf_Free(&bytes);
    SlConfig_Free(copy);
    return code;
}

/* Rejects keys "home/SERVICE". Such a record lists upstreams of a service; the
 * home of an idempotency key is the one of them that decides whether a request
 * with that key may run. Only agents change the list ("move homes"): they wait
 * for the previous move to be complete, which a published record would not. */
static enum sl_errno
reject_home_keys(const json_t *items, struct sl_error *err)
{
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)items, i, item)
    {
        const char *key = json_string_value(json_object_get(item, "key"));
        if (key != NULL && g_str_has_prefix(key, "home/")) {
            return SlError_Set(err, Sl_ERR_INVALID, "ctl.publish", NULL,
                               "key \"%.80s\": only agents move homes; mark "
                               "upstreams out or in instead",
                               key);
        }
    }
    return Sl_OK;
}

/* Prints how many items are in force after one was not accepted. */
static void
report_partial(struct sl_ctl *ctl, size_t done_count, size_t count)
{
    if (count > 1) {
        SlCtl_Print(ctl,
                    "%zu of %zu items are in force; when the cause is fixed, "
                    "publish the file again: these items are skipped",
                    done_count, count);
    }
}

/* Publishes the items in order. Stops at the first that is not accepted. */
static enum sl_ctl_exit
publish_in_order(struct sl_ctl *ctl, const json_t *items)
{
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)items, i, item)
    {
        const char *key = json_string_value(json_object_get(item, "key"));
        json_t *value = json_object_get(item, "value");
        enum sl_ctl_exit result = publish_item(ctl, key, value);
        if (result != Sl_EXIT_OK) {
            report_partial(ctl, i, json_array_size(items));
            return result;
        }
    }
    return Sl_EXIT_OK;
}

/* Checks and publishes the items, and waits for them with --wait. */
static enum sl_ctl_exit
publish_items(struct sl_ctl *ctl, json_t *items)
{
    struct sl_error err = {0};
    enum sl_errno code = reject_home_keys(items, &err);
    if (code == Sl_OK) {
        code = SlCtl_ReplayConfig(ctl, NULL, &err);
    }
    if (code == Sl_OK) {
        code = check_items(ctl->config, items, &err);
    }
    if (code != Sl_OK) {
        SlCtl_ReportError(ctl, &err);
        return SlCtl_ExitCodeOf(code);
    }
    enum sl_ctl_exit result = publish_in_order(ctl, items);
    if (result == Sl_EXIT_OK && ctl->options->wait) {
        return SlCtl_WaitForRevision(ctl, ctl->revision);
    }
    return result;
}

/* ---- public ---- */

enum sl_ctl_exit
SlCtl_Publish(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    json_t *items = SlSettings_ReadJson(args[0], &err);
    if (items != NULL && !json_is_array(items)) {
        SlError_Set(&err, Sl_ERR_INVALID, "config.publish", NULL,
                    "not a JSON list of {\"key\", \"value\"}");
    }
    if (!json_is_array(items)) {
        SlCtl_ReportError(ctl, &err);
        json_decref(items);
        return Sl_EXIT_INVALID;
    }
    enum sl_ctl_exit result = publish_items(ctl, items);
    json_decref(items);
    return result;
}

enum sl_ctl_exit
SlCtl_Mark(struct sl_ctl *ctl, char **args)
{
    bool is_in = g_strcmp0(args[2], "in") == 0;
    if (!is_in && g_strcmp0(args[2], "out") != 0) {
        struct sl_error err = {0};
        SlError_Set(&err, Sl_ERR_INVALID, "config.mark", NULL,
                    "\"%s\" is neither \"in\" nor \"out\"", args[2]);
        SlCtl_ReportError(ctl, &err);
        return Sl_EXIT_USAGE;
    }
    char *key = g_strdup_printf("mark/%s/%s", args[0], args[1]);
    json_t *items =
        json_pack("[{s:s, s:{s:b}}]", "key", key, "value", "in", is_in);
    enum sl_ctl_exit result = publish_items(ctl, items);
    json_decref(items);
    g_free(key);
    return result;
}
