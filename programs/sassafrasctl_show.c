/* `get`, `history` and `bills`: print records of the platform's log. */
#include "sassafrasctl.h"

/* Numbers are printed with 12 significant digits, which are enough to read;
 * snapshots keep full precision. */
#define Sl_DUMP_FLAGS                                                         \
    (JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY | JSON_REAL_PRECISION(12))

/* ---- types ---- */

/* State of `history`, which shows the records of one key. */
struct sl_history {
    struct sl_ctl *ctl;
    const char *key;
    GHashTable *results; /* guint64 offset of a replayed record -> name of its
                            result */
    size_t count;        /* records of the key that were printed */
};

struct sl_bill_totals {
    struct sl_ctl *ctl;
    GHashTable *seen; /* keys of the bills that were counted */
    size_t count;
    int64_t tokens;
    int64_t cost_micros;
};

/* ---- get ---- */

static void
print_key(struct sl_ctl *ctl, const char *key)
{
    const json_t *value = SlConfig_Value(ctl->config, key);
    guint64 revision = SlConfig_Revision(ctl->config, key);
    char *text = json_dumps(value, Sl_DUMP_FLAGS);
    SlCtl_Print(ctl, "%s revision %" G_GUINT64_FORMAT " %s", key, revision,
                text);
    SlCtl_AddToList(ctl, "keys",
                    json_pack("{s:s, s:I, s:O}", "key", key, "revision",
                              (json_int_t)revision, "value", value));
    free(text);
}

/* ---- history ---- */

static void
add_result(void *context, uint64_t offset, const json_t *record,
           enum sl_apply_result result, const struct sl_error *err)
{
    struct sl_history *history = context;
    guint64 *offset_copy = g_memdup2(&offset, sizeof(offset));
    (void)record;
    (void)err;
    g_hash_table_insert(history->results, offset_copy,
                        (gpointer)SlApplyResult_Name(result));
}

static enum sl_errno
print_record(void *context, uint64_t offset, const json_t *record,
             struct sl_error *err)
{
    struct sl_history *history = context;
    const char *key = json_string_value(json_object_get(record, "key"));
    const char *by = json_string_value(json_object_get(record, "by"));
    const json_t *value = json_object_get(record, "value");
    (void)err;
    if (g_strcmp0(key, history->key) != 0) {
        return Sl_OK;
    }
    const char *result = g_hash_table_lookup(history->results, &offset);
    char *text = json_dumps(value, Sl_DUMP_FLAGS);
    result = result == NULL ? "unknown" : result;
    by = by == NULL ? "" : by;
    history->count++;
    SlCtl_Print(history->ctl, "%" G_GUINT64_FORMAT " %s by \"%s\" %s",
                (guint64)offset, result, by, text);
    SlCtl_AddToList(history->ctl, "history",
                    json_pack("{s:I, s:s, s:s, s:O}", "offset",
                              (json_int_t)offset, "result", result, "by", by,
                              "value", value));
    free(text);
    return Sl_OK;
}

static enum sl_errno
print_history(struct sl_history *history, struct sl_error *err)
{
    const struct sl_ctl_observer observer = {add_result, history, true};
    struct sl_ctl_scan scan = {
        .stream = Sl_CTL_STREAM_CONFIG,
        .from = 1,
        .visit = print_record,
        .context = history,
        .skip_gap = true,
    };
    Sl_TRY(SlCtl_ReplayConfig(history->ctl, &observer, err));
    Sl_TRY(SlCtl_Scan(history->ctl, &scan, err));
    if (scan.oldest > 1) {
        SlCtl_Print(history->ctl,
                    "records before %" G_GUINT64_FORMAT
                    " were truncated from the log",
                    (guint64)scan.oldest);
    }
    SlCtl_SetMember(history->ctl, "oldest",
                    json_integer((json_int_t)scan.oldest));
    return Sl_OK;
}

/* ---- bills ---- */

/* Prints a bill and adds it to the totals, unless its key was seen before,
 * because several processes may append the same bill. */
static void
add_bill(struct sl_bill_totals *bills, json_t *bill)
{
    const char *key = json_string_value(json_object_get(bill, "bill"));
    if (key == NULL || !g_hash_table_add(bills->seen, g_strdup(key))) {
        return;
    }
    json_int_t tokens = json_integer_value(json_object_get(bill, "tokens"));
    json_int_t cost = json_integer_value(json_object_get(bill, "cost_micros"));
    bills->count++;
    bills->tokens += tokens;
    bills->cost_micros += cost;
    char *text = json_dumps(bill, Sl_DUMP_FLAGS);
    SlCtl_Print(bills->ctl, "%s", text);
    SlCtl_AddToList(bills->ctl, "bills", json_incref(bill));
    free(text);
}

static enum sl_errno
visit_bills(void *context, uint64_t offset, const json_t *value,
            struct sl_error *err)
{
    size_t i;
    json_t *bill;
    (void)offset;
    (void)err;
    json_array_foreach(json_object_get(value, "bills"), i, bill)
    {
        add_bill(context, bill);
    }
    return Sl_OK;
}

/* ---- public ---- */

enum sl_ctl_exit
SlCtl_Get(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    enum sl_errno code = SlCtl_ReplayConfig(ctl, NULL, &err);
    if (code != Sl_OK) {
        SlCtl_ReportError(ctl, &err);
        return SlCtl_ExitCodeOf(code);
    }
    if (args[0] != NULL) {
        if (SlConfig_Value(ctl->config, args[0]) == NULL) {
            SlError_Set(&err, Sl_ERR_INVALID, "config.get", NULL,
                        "key \"%.80s\" has no value", args[0]);
            SlCtl_ReportError(ctl, &err);
            return Sl_EXIT_INVALID;
        }
        print_key(ctl, args[0]);
        return Sl_EXIT_OK;
    }
    char **keys = SlConfig_Keys(ctl->config);
    for (char **key = keys; *key != NULL; key++) {
        print_key(ctl, *key);
    }
    g_strfreev(keys);
    return Sl_EXIT_OK;
}

enum sl_ctl_exit
SlCtl_History(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    struct sl_history history = {.ctl = ctl, .key = args[0]};
    history.results =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    enum sl_errno code = print_history(&history, &err);
    g_hash_table_destroy(history.results);
    if (code == Sl_OK && history.count == 0) {
        code = SlError_Set(&err, Sl_ERR_INVALID, "config.history", NULL,
                           "the log has no record of key \"%.80s\"", args[0]);
    }
    if (code != Sl_OK) {
        SlCtl_ReportError(ctl, &err);
    }
    return SlCtl_ExitCodeOf(code);
}

enum sl_ctl_exit
SlCtl_Bills(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    struct sl_bill_totals bills = {.ctl = ctl};
    struct sl_ctl_scan scan = {
        .stream = Sl_CTL_STREAM_BILLS,
        .from = 1,
        .visit = visit_bills,
        .context = &bills,
        .skip_gap = true,
    };
    (void)args;
    bills.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    enum sl_errno code = SlCtl_Scan(ctl, &scan, &err);
    g_hash_table_destroy(bills.seen);
    if (code != Sl_OK) {
        SlCtl_ReportError(ctl, &err);
        return SlCtl_ExitCodeOf(code);
    }
    SlCtl_Print(ctl,
                "%zu bills, %" G_GINT64_FORMAT
                " tokens, cost_micros %" G_GINT64_FORMAT,
                bills.count, (gint64)bills.tokens, (gint64)bills.cost_micros);
    SlCtl_SetMember(ctl, "totals",
                    json_pack("{s:I, s:I, s:I}", "bills",
                              (json_int_t)bills.count, "tokens",
                              (json_int_t)bills.tokens, "cost_micros",
                              (json_int_t)bills.cost_micros));
    return Sl_EXIT_OK;
}
