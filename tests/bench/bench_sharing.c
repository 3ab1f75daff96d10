/* Unit costs of fair shares for docs/CAPACITY.md: a sort of waiting requests
 * and an allotment, by the number of requests, and a peer's report, by the
 * number of routers. */
#include "common.h"
#include "sl_sharing.h"

#define Sl_SERVICE 1
#define Sl_TEAMS 24
#define Sl_SLOTS 18
#define Sl_RUN_US 60000
#define Sl_ROUNDS 200

static void
measure_sort(size_t count)
{
    struct sl_sharing *sharing = SlSharing_New();
    struct sl_sharing_waiter *waiters =
        g_new0(struct sl_sharing_waiter, count);
    double sort_us = 0;
    double allot_us = 0;
    for (size_t i = 0; i < count; i++) {
        waiters[i].claim = (struct sl_sharing_claim){
            Sl_SERVICE, (uint32_t)(i % Sl_TEAMS) + 1, (uint32_t)(i % 2) + 1,
            (uint32_t)(i % 500) + 1};
        waiters[i].arrival = i;
        SlSharing_OnQueued(sharing, &waiters[i].claim);
    }
    for (int round = 0; round < Sl_ROUNDS; round++) {
        double began_us = SlBench_CpuSeconds() * 1e6;
        SlSharing_Sort(sharing, waiters, count);
        sort_us += SlBench_CpuSeconds() * 1e6 - began_us;
        began_us = SlBench_CpuSeconds() * 1e6;
        (void)SlSharing_Allot(sharing, round, Sl_SERVICE, Sl_SLOTS, Sl_RUN_US);
        allot_us += SlBench_CpuSeconds() * 1e6 - began_us;
    }
    printf("%zu waiting: sort %.1f us, allotment %.1f us\n", count,
           sort_us / Sl_ROUNDS, allot_us / Sl_ROUNDS);
    g_free(waiters);
    SlSharing_Free(sharing);
}

static void
measure_reports(unsigned routers)
{
    struct sl_sharing *sharing = SlSharing_New();
    struct sl_gossip_share shares[Sl_GOSSIP_MAX_SHARES];
    double began_us = SlBench_CpuSeconds() * 1e6;
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        shares[i] =
            (struct sl_gossip_share){Sl_SERVICE, (uint32_t)i + 1, 2, 3};
    }
    for (int round = 0; round < Sl_ROUNDS; round++) {
        for (unsigned i = 0; i < routers; i++) {
            char *text = g_strdup_printf("e%u", i);
            struct sl_name vm = SlName_Of(text);
            g_free(text);
            SlSharing_OnReport(sharing, round, &vm, shares,
                               G_N_ELEMENTS(shares));
        }
    }
    double report_us =
        (SlBench_CpuSeconds() * 1e6 - began_us) / Sl_ROUNDS / routers;
    began_us = SlBench_CpuSeconds() * 1e6;
    for (int round = 0; round < Sl_ROUNDS; round++) {
        (void)SlSharing_Allot(sharing, round, Sl_SERVICE, Sl_SLOTS, Sl_RUN_US);
    }
    printf("%u routers: report %.2f us, allotment %.1f us\n", routers,
           report_us, (SlBench_CpuSeconds() * 1e6 - began_us) / Sl_ROUNDS);
    SlSharing_Free(sharing);
}

int
main(void)
{
    static const size_t counts[] = {10, 100, 1000, 10000};
    static const unsigned routers[] = {24, 46, 300, 1600};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        measure_sort(counts[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(routers); i++) {
        measure_reports(routers[i]);
    }
    return 0;
}
