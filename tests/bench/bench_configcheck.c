/* Processor time and memory of a check of a configuration for
 * docs/CAPACITY.md, against a version of which a tenth differs. */
#include "common.h"
#include "sl_platform.h"

#include <sys/resource.h>

#define Sl_MS_PER_S 1000.0
#define Sl_KB_PER_MB 1024.0
#define Sl_SERVICES 100
/* One in so many entries differs between the versions. */
#define Sl_CHANGED 10

/* Appends a configuration of `entries` entries: 1 team for each 6 routes, and
 * 100 services. */
static void
append_configuration(struct sl_buf *out, size_t entries, int version)
{
    size_t teams = (entries - Sl_SERVICES) / 7;
    size_t routes = entries - Sl_SERVICES - teams;
    SlBuf_Printf(out, "{\"Version\":%d,\n\"Services\":[", version);
    for (size_t i = 0; i < Sl_SERVICES; i++) {
        SlBuf_Printf(out,
                     "%s\n{\"Name\":\"service-%zu\",\"HealthPath\":"
                     "\"/healthz\",\"MaxConns\":370,\"Engine\":{\"Slots\":4,"
                     "\"KvCapacityTokens\":335077}}",
                     i > 0 ? "," : "", i);
    }
    SlBuf_AppendC(out, "],\n\"Routes\":[");
    for (size_t i = 0; i < routes; i++) {
        SlBuf_Printf(out,
                     "%s\n{\"Name\":\"route-%zu\",\"Host\":\"h%zu.example\","
                     "\"PathPrefix\":\"/path-%zu/\",\"RouteType\":"
                     "\"streaming\",\"Service\":\"service-%zu\",\"TimeoutMs\":"
                     "%d,\"TargetLatencyMs\":4000,\"TargetGapMs\":2000,"
                     "\"Priority\":1,\"MaxAttempts\":3,\"Sticky\":true,"
                     "\"Resumable\":true}",
                     i > 0 ? "," : "", i, i % 50, i, i % Sl_SERVICES,
                     i % Sl_CHANGED == 0 ? 10000 + version : 20000);
    }
    SlBuf_AppendC(out, "],\n\"Tenants\":[");
    for (size_t i = 0; i < teams; i++) {
        SlBuf_Printf(out,
                     "%s\n{\"Name\":\"team-%zu\",\"ApiKeys\":[\"key-%zu-%d\"]"
                     "}",
                     i > 0 ? "," : "", i, i,
                     i % Sl_CHANGED == 0 ? version : 0);
    }
    SlBuf_AppendC(out, "]}\n");
}

static void
count_warning(void *context, struct sl_str place, int line, const char *text)
{
    size_t *count = context;
    (void)place;
    (void)line;
    (void)text;
    ++*count;
}

/* Checks a configuration as sassafrasctl does, and prints what it costs. */
static void
run(size_t entries)
{
    struct sl_buf text[2] = {{0}};
    struct sl_record records[2] = {{0}};
    size_t warnings = 0;
    const struct sl_decode_report report = {count_warning, &warnings};
    char label[32];
    struct rusage usage;
    for (int i = 0; i < 2; i++) {
        append_configuration(&text[i], entries, i + 1);
    }
    double begin_s = SlBench_CpuSeconds();
    for (int i = 0; i < 2; i++) {
        SlPlatform_CheckRouting(SlBuf_Str(&text[i]), &report, &records[i]);
    }
    double decoded_s = SlBench_CpuSeconds();
    SlPlatform_CheckMembers(SlBuf_Str(&text[1]), &report);
    struct sl_config_findings *findings =
        SlConfigCheck_Run(records[1].u.routing, NULL);
    struct sl_line line = {.place = Sl_STR("/Routes/0/Name")};
    SlPlatform_FindLines(SlBuf_Str(&text[1]), &line, 1);
    double found_s = SlBench_CpuSeconds();
    struct sl_config_changes *changes =
        SlConfigDiff_Run(records[0].u.routing, records[1].u.routing);
    double end_s = SlBench_CpuSeconds();
    getrusage(RUSAGE_SELF, &usage);
    const double numbers[] = {
        (decoded_s - begin_s) * Sl_MS_PER_S,
        (found_s - decoded_s) * Sl_MS_PER_S,
        (end_s - found_s) * Sl_MS_PER_S,
        (end_s - begin_s) * Sl_MS_PER_S,
        (double)SlConfigFindings_Count(findings) + (double)warnings,
        (double)SlConfigChanges_Count(changes),
        (double)usage.ru_maxrss / Sl_KB_PER_MB,
    };
    g_snprintf(label, sizeof(label), "%zu entries", entries);
    SlBench_Row(label, numbers, G_N_ELEMENTS(numbers));
    SlConfigChanges_Free(changes);
    SlConfigFindings_Free(findings);
    for (int i = 0; i < 2; i++) {
        SlPlatform_ClearRecord(&records[i]);
        SlBuf_Free(&text[i]);
    }
}

int
main(int argc, char **argv)
{
    static const char *const columns[] = {
        "configuration", "decode_ms", "find_ms",     "compare_ms", "all_ms",
        "findings",      "changes",   "resident_mb", NULL};
    SlBench_Init(argc, argv);
    SlBench_BeginTable("check of a configuration, processor time", columns);
    run(3500);
    run(35000);
    SlBench_EndTable();
    return 0;
}
