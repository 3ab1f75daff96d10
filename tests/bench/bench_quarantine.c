/* Unit costs of the quarantine for docs/CAPACITY.md: processor time of calls
 * that begin, of ends and of reports, memory, and bytes of a digest, with
 * little and with full state. */
#include "common.h"
#include "sl_quarantine.h"

#include <malloc.h>
#include <string.h>

#define Sl_CALLS 100000
#define Sl_REPORTS 20000
#define Sl_PARTS_OF_PROMPT 4

/* State of a run: `number` makes parts differ. */
struct sl_run {
    struct sl_quarantine *quarantine;
    int64_t now_us;
    uint64_t number;
};

/* Returns a prompt of a common part, one of `kinds` parts, a part of which
 * each is different if `is_new`, and one of its own. */
static struct sl_prompt_keys
next_prompt(struct sl_run *run, uint64_t kinds, bool is_new)
{
    struct sl_prompt_keys prompt;
    uint64_t number = ++run->number;
    const uint64_t ids[Sl_PARTS_OF_PROMPT] = {
        1, 100 + number % kinds, is_new ? number << 20 : 2, number << 40};
    SlPromptKeys_Set(&prompt, Sl_STR("plume"), ids, Sl_PARTS_OF_PROMPT,
                     Sl_STR("request"));
    return prompt;
}

static void
begin_calls(struct sl_run *run, size_t count, uint64_t kinds)
{
    for (size_t i = 0; i < count; i++) {
        struct sl_prompt_keys prompt = next_prompt(run, kinds, false);
        run->now_us += 30 * Sl_US_PER_MS;
        SlQuarantine_OnBegun(run->quarantine, run->now_us, &prompt);
    }
}

/* Ends engines, each under eight calls that had not begun. */
static void
end_engines(struct sl_run *run, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct sl_unbegun_call calls[8];
        for (size_t j = 0; j < G_N_ELEMENTS(calls); j++) {
            calls[j].prompt = next_prompt(run, 40, true);
            calls[j].has_started = j < 2;
        }
        run->now_us += 50 * Sl_US_PER_MS;
        const struct sl_ended_engine ended = {
            (uint32_t)++run->number, calls[0].prompt.service, run->now_us};
        SlQuarantine_OnEnd(run->quarantine, run->now_us, &ended, calls,
                           G_N_ELEMENTS(calls));
        SlQuarantine_ClearChanges(run->quarantine);
    }
}

/* Returns the bytes that the report adds to a digest. */
static size_t
report_bytes(const struct sl_gossip_quarantine *report)
{
    struct sl_gossip_digest *digest = g_new0(struct sl_gossip_digest, 1);
    digest->quarantine = *report;
    size_t bytes = SlBench_DigestBytes(digest);
    g_free(digest);
    return bytes;
}

static void
row(const char *label, uint64_t kinds, size_t ends)
{
    double heap = (double)mallinfo2().uordblks;
    struct sl_run run = {SlQuarantine_New(), Sl_US_PER_S, 0};
    struct sl_quarantine *peer = SlQuarantine_New();
    struct sl_gossip_quarantine report;
    begin_calls(&run, 4000, kinds);
    double ends_start_s = SlBench_CpuSeconds();
    end_engines(&run, ends);
    double ends_s = SlBench_CpuSeconds() - ends_start_s;
    SlQuarantine_FillReport(run.quarantine, run.now_us, &report);
    size_t bytes = report_bytes(&report);
    double start_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_REPORTS; i++) {
        SlQuarantine_FillReport(run.quarantine, run.now_us, &report);
    }
    double filled_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_REPORTS; i++) {
        SlQuarantine_OnReport(peer, run.now_us, &report);
    }
    double heard_s = SlBench_CpuSeconds();
    begin_calls(&run, Sl_CALLS, kinds);
    double begun_s = SlBench_CpuSeconds();
    SlBench_Row(label,
                (double[]){(begun_s - heard_s) * 1e6 / Sl_CALLS,
                           ends_s * 1e6 / (double)MAX(ends, 1),
                           (filled_s - start_s) * 1e6 / Sl_REPORTS,
                           (heard_s - filled_s) * 1e6 / Sl_REPORTS,
                           (double)bytes, (double)mallinfo2().uordblks - heap},
                6);
    SlQuarantine_Free(peer);
    SlQuarantine_Free(run.quarantine);
}

int
main(int argc, char **argv)
{
    static const char *const columns[] = {
        "quarantine", "us/call begun", "us/end",      "us/report",
        "us/heard",   "digest B",      "heap B of 2", NULL};
    SlBench_Init(argc, argv);
    SlBench_BeginTable("Quarantine, by state", columns);
    row("no ends, 40 parts", 40, 0);
    row("4 ends, 40 parts", 40, 4);
    row("64 ends, 40 parts", 40, 64);
    row("64 ends, 4,000 parts", 4000, 64);
    SlBench_EndTable();
    return 0;
}
