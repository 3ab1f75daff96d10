/* Named cumulative counters. */
#include "sl_common.h"

#include <string.h>

struct sl_counters {
    GHashTable *values; /* name, borrowed -> uint64_t, owned */
};

struct sl_counters *
SlCounters_New(void)
{
    struct sl_counters *counters = g_new0(struct sl_counters, 1);
    counters->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return counters;
}

void
SlCounters_Free(struct sl_counters *counters)
{
    if (counters == NULL) {
        return;
    }
    g_hash_table_destroy(counters->values);
    g_free(counters);
}

void
SlCounters_Add(struct sl_counters *counters, const char *name, uint64_t amount)
{
    uint64_t *value = g_hash_table_lookup(counters->values, name);
    if (value == NULL) {
        value = g_new0(uint64_t, 1);
        g_hash_table_insert(counters->values, (gpointer)name, value);
    }
    *value += amount;
}

uint64_t
SlCounters_Get(const struct sl_counters *counters, const char *name)
{
    const uint64_t *value = g_hash_table_lookup(counters->values, name);
    return value == NULL ? 0 : *value;
}

static gint
compare_text(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

void
SlCounters_Dump(const struct sl_counters *counters, struct sl_buf *out)
{
    GList *names = g_hash_table_get_keys(counters->values);
    names = g_list_sort(names, compare_text);
    const char *separator = "";
    SlBuf_AppendC(out, "{");
    for (const GList *name = names; name != NULL; name = name->next) {
        SlBuf_Printf(out, "%s\"%s\":%" G_GUINT64_FORMAT, separator,
                     (const char *)name->data,
                     (guint64)SlCounters_Get(counters, name->data));
        separator = ",";
    }
    SlBuf_AppendC(out, "}");
    g_list_free(names);
}
