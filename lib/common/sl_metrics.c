/* Counters, gauges and histograms, written in the Prometheus text format. */
#include "sl_common.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* Maximum number of series of a metric. All further label values share one
 * more series with the label value "other", so that the size of the output
 * does not depend on the configuration. */
#define Sl_MAX_SERIES 128

static const char overflow_label[] = "other";

/* ---- types ---- */

/* The value of a metric for one combination of label values. */
struct sl_series {
    struct sl_name labels[Sl_METRIC_MAX_LABELS];
    double value; /* of a histogram: sum of the observations */
    /* The following are for histograms only. */
    uint64_t count; /* number of observations */
    /* Number of observations in each bucket, owned. The last bucket is for
     * those above all bounds. */
    uint64_t *buckets;
};

struct sl_metrics {
    const struct sl_metric_def *defs; /* borrowed */
    size_t count;
    GArray **series; /* one array of struct sl_series per metric */
};

/* ---- create and free ---- */

static void
clear_series(gpointer data)
{
    struct sl_series *series = data;
    g_free(series->buckets);
}

struct sl_metrics *
SlMetrics_New(const struct sl_metric_def *defs, size_t count)
{
    struct sl_metrics *metrics = g_new0(struct sl_metrics, 1);
    metrics->defs = defs;
    metrics->count = count;
    metrics->series = g_new0(GArray *, count);
    for (size_t i = 0; i < count; i++) {
        metrics->series[i] =
            g_array_new(FALSE, TRUE, sizeof(struct sl_series));
        g_array_set_clear_func(metrics->series[i], clear_series);
    }
    return metrics;
}

void
SlMetrics_Free(struct sl_metrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    for (size_t i = 0; i < metrics->count; i++) {
        g_array_free(metrics->series[i], TRUE);
    }
    g_free(metrics->series);
    g_free(metrics);
}

/* ---- series ---- */

static size_t
bound_count(const struct sl_metric_def *def)
{
    size_t count = 0;
    while (def->bounds != NULL && def->bounds[count] > 0) {
        count++;
    }
    return count;
}

static struct sl_series *
find_series(const GArray *list, const struct sl_name *labels)
{
    for (guint i = 0; i < list->len; i++) {
        struct sl_series *series = &g_array_index(list, struct sl_series, i);
        bool same = true;
        for (size_t k = 0; k < Sl_METRIC_MAX_LABELS; k++) {
            same = same && SlName_Equal(&series->labels[k], &labels[k]);
        }
        if (same) {
            return series;
        }
    }
    return NULL;
}

static struct sl_series *
find_or_add_series(struct sl_metrics *metrics, size_t metric,
                   const struct sl_name *label1, const struct sl_name *label2)
{
    assert(metric < metrics->count);
    const struct sl_metric_def *def = &metrics->defs[metric];
    GArray *list = metrics->series[metric];
    struct sl_name labels[Sl_METRIC_MAX_LABELS] = {0};
    const struct sl_name *const given[] = {label1, label2};
    for (size_t i = 0; i < Sl_METRIC_MAX_LABELS; i++) {
        assert((given[i] != NULL) == (def->labels[i] != NULL));
        if (given[i] != NULL) {
            labels[i] = *given[i];
        }
    }
    struct sl_series *series = find_series(list, labels);
    if (series != NULL) {
        return series;
    }
    if (list->len >= Sl_MAX_SERIES) {
        for (size_t i = 0; i < Sl_METRIC_MAX_LABELS; i++) {
            labels[i] =
                SlName_Of(def->labels[i] == NULL ? "" : overflow_label);
        }
        series = find_series(list, labels);
        if (series != NULL) {
            return series;
        }
    }
    g_array_set_size(list, list->len + 1);
    series = &g_array_index(list, struct sl_series, list->len - 1);
    memcpy(series->labels, labels, sizeof(labels));
    if (def->type == Sl_METRIC_HISTOGRAM) {
        series->buckets = g_new0(uint64_t, bound_count(def) + 1);
    }
    return series;
}

void
SlMetrics_Add(struct sl_metrics *metrics, size_t metric,
              const struct sl_name *label1, const struct sl_name *label2,
              double amount)
{
    assert(metrics->defs[metric].type == Sl_METRIC_COUNTER && amount >= 0);
    find_or_add_series(metrics, metric, label1, label2)->value += amount;
}

void
SlMetrics_Set(struct sl_metrics *metrics, size_t metric,
              const struct sl_name *label1, const struct sl_name *label2,
              double value)
{
    assert(metrics->defs[metric].type == Sl_METRIC_GAUGE);
    find_or_add_series(metrics, metric, label1, label2)->value = value;
}

void
SlMetrics_ZeroAll(struct sl_metrics *metrics, size_t metric)
{
    GArray *list = metrics->series[metric];
    assert(metrics->defs[metric].type == Sl_METRIC_GAUGE);
    for (guint i = 0; i < list->len; i++) {
        g_array_index(list, struct sl_series, i).value = 0;
    }
}

void
SlMetrics_Observe(struct sl_metrics *metrics, size_t metric,
                  const struct sl_name *label1, const struct sl_name *label2,
                  double value)
{
    const struct sl_metric_def *def = &metrics->defs[metric];
    assert(def->type == Sl_METRIC_HISTOGRAM);
    struct sl_series *series =
        find_or_add_series(metrics, metric, label1, label2);
    size_t bounds = bound_count(def);
    size_t bucket = 0;
    while (bucket < bounds && value > def->bounds[bucket]) {
        bucket++;
    }
    series->buckets[bucket]++;
    series->count++;
    series->value += value;
}

double
SlMetrics_Value(const struct sl_metrics *metrics, size_t metric,
                const struct sl_name *label1, const struct sl_name *label2)
{
    struct sl_name labels[Sl_METRIC_MAX_LABELS] = {0};
    if (label1 != NULL) {
        labels[0] = *label1;
    }
    if (label2 != NULL) {
        labels[1] = *label2;
    }
    const struct sl_series *series =
        find_series(metrics->series[metric], labels);
    return series == NULL ? 0 : series->value;
}

/* ---- text format ---- */

const char *
SlMetrics_TypeName(enum sl_metric_type type)
{
    static const char *const names[] = {"counter", "gauge", "histogram"};
    return names[type];
}

static void
append_number(struct sl_buf *out, double value)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    SlBuf_AppendC(out, g_ascii_formatd(text, sizeof(text), "%.9g", value));
}

static void
append_escaped(struct sl_buf *out, const struct sl_name *value)
{
    for (const char *at = value->text; *at != '\0'; at++) {
        if (*at == '"' || *at == '\\') {
            SlBuf_AppendC(out, "\\");
        }
        SlBuf_Append(out,
                     *at == '\n' ? Sl_STR("\\n") : (struct sl_str){at, 1});
    }
}

/* Appends a sample. `bound` is the value of the label "le", or NULL. */
static void
append_line(struct sl_buf *out, const struct sl_metric_def *def,
            const struct sl_series *series, const char *suffix,
            const char *bound, double value)
{
    const char *separator = "{";
    SlBuf_Printf(out, "%s%s", def->name, suffix);
    for (size_t i = 0; i < Sl_METRIC_MAX_LABELS; i++) {
        if (def->labels[i] != NULL) {
            SlBuf_Printf(out, "%s%s=\"", separator, def->labels[i]);
            append_escaped(out, &series->labels[i]);
            SlBuf_AppendC(out, "\"");
            separator = ",";
        }
    }
    if (bound != NULL) {
        SlBuf_Printf(out, "%sle=\"%s\"", separator, bound);
        separator = ",";
    }
    SlBuf_AppendC(out, *separator == ',' ? "} " : " ");
    append_number(out, value);
    SlBuf_AppendC(out, "\n");
}

static void
append_histogram(struct sl_buf *out, const struct sl_metric_def *def,
                 const struct sl_series *series)
{
    uint64_t cumulative = 0;
    size_t bounds = bound_count(def);
    for (size_t i = 0; i < bounds; i++) {
        char text[G_ASCII_DTOSTR_BUF_SIZE];
        cumulative += series->buckets[i];
        g_ascii_formatd(text, sizeof(text), "%.9g", def->bounds[i]);
        append_line(out, def, series, "_bucket", text, (double)cumulative);
    }
    append_line(out, def, series, "_bucket", "+Inf", (double)series->count);
    append_line(out, def, series, "_sum", NULL, series->value);
    append_line(out, def, series, "_count", NULL, (double)series->count);
}

void
SlMetrics_AppendText(const struct sl_metrics *metrics, struct sl_buf *out)
{
    for (size_t i = 0; i < metrics->count; i++) {
        const struct sl_metric_def *def = &metrics->defs[i];
        SlBuf_Printf(out, "# HELP %s %s\n# TYPE %s %s\n", def->name, def->help,
                     def->name, SlMetrics_TypeName(def->type));
        for (guint k = 0; k < metrics->series[i]->len; k++) {
            const struct sl_series *series =
                &g_array_index(metrics->series[i], struct sl_series, k);
            if (def->type == Sl_METRIC_HISTOGRAM) {
                append_histogram(out, def, series);
            }
            else {
                append_line(out, def, series, "", NULL, series->value);
            }
        }
    }
}
