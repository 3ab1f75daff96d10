/* Shared by the benchmarks. */
#include "common.h"

#include <math.h>
#include <time.h>

static bool as_json;
static const char *const *table_columns;
static size_t rows_printed;

static gint
compare(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

void
SlSample_Add(struct sl_sample *sample, double value)
{
    if (sample->values == NULL) {
        sample->values = g_array_new(FALSE, FALSE, sizeof(double));
    }
    g_array_append_val(sample->values, value);
}

size_t
SlSample_Count(const struct sl_sample *sample)
{
    return sample->values == NULL ? 0 : sample->values->len;
}

double
SlSample_Quantile(struct sl_sample *sample, double quantile)
{
    size_t count = SlSample_Count(sample);
    if (count == 0) {
        return 0;
    }
    g_array_sort(sample->values, compare);
    size_t rank = (size_t)ceil(quantile * (double)count);
    return g_array_index(sample->values, double, rank > 0 ? rank - 1 : 0);
}

void
SlSample_Free(struct sl_sample *sample)
{
    if (sample->values != NULL) {
        g_array_free(sample->values, TRUE);
        sample->values = NULL;
    }
}

double
SlBench_Exponential(struct sl_random *random, double mean)
{
    return -mean * log(1 - SlRandom_Unit(random));
}

double
SlBench_LogNormal(struct sl_random *random, double sigma)
{
    double radius = sqrt(-2 * log(1 - SlRandom_Unit(random)));
    double normal = radius * cos(2 * G_PI * SlRandom_Unit(random));
    return exp(sigma * normal - sigma * sigma / 2);
}

void
SlBench_Init(int argc, char **argv)
{
    as_json = argc > 1 && g_str_equal(argv[1], "--json");
}

void
SlBench_BeginTable(const char *title, const char *const *columns)
{
    table_columns = columns;
    rows_printed = 0;
    if (as_json) {
        printf("{\"table\":\"%s\",\"rows\":[", title);
        return;
    }
    printf("\n%s\n%-34s", title, columns[0]);
    for (size_t i = 1; columns[i] != NULL; i++) {
        printf(" %12s", columns[i]);
    }
    printf("\n");
}

void
SlBench_Row(const char *label, const double *numbers, size_t count)
{
    const char *comma = rows_printed++ > 0 ? "," : "";
    if (as_json) {
        printf("%s{\"%s\":\"%s\"", comma, table_columns[0], label);
    }
    else {
        printf("%-34s", label);
    }
    for (size_t i = 0; i < count && table_columns[i + 1] != NULL; i++) {
        if (as_json) {
            printf(",\"%s\":%.9g", table_columns[i + 1], numbers[i]);
        }
        else {
            printf(" %12.6g", numbers[i]);
        }
    }
    printf(as_json ? "}" : "\n");
}

void
SlBench_EndTable(void)
{
    printf(as_json ? "]}\n" : "");
}

double
SlBench_CpuSeconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

size_t
SlBench_DigestBytes(const struct sl_gossip_digest *digest)
{
    struct sl_gossip_digest *none = g_new0(struct sl_gossip_digest, 1);
    struct sl_buf empty = {0};
    struct sl_buf full = {0};
    SlGossip_Encode(none, &empty);
    SlGossip_Encode(digest, &full);
    size_t bytes = full.len - empty.len;
    SlBuf_Free(&empty);
    SlBuf_Free(&full);
    g_free(none);
    return bytes;
}
