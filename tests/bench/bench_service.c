/* Compares the policies of lib/policy with plain ones on a simulated service:
 * choice of upstream, outage of a failure domain, deferral, fairness between
 * teams, retries and hedging.
 *
 * In the columns, "1st", "2nd" and "wait" are the deployment's kinds 0, 1 and
 * 2; requests of kind 2 may wait. "in %" is the share that was answered
 * successfully by the deadline. */
#include "service.h"

#define Sl_SEED 20261204
#define Sl_END_US (180 * Sl_US_PER_S)
/* Length of each phase until Sl_END_US; see Sl_BENCH_PHASES. */
#define Sl_PHASE_S 60

static const struct sl_deployment *const deployments[] = {
    &SlDeployment_Kerhuel, &SlDeployment_Koudebaai};

static struct sl_service_options
our_options(const struct sl_deployment *deployment, double load)
{
    return (struct sl_service_options){.deployment = deployment,
                                       .balancer = &SlBalancer_ExpectedFinish,
                                       .load = load,
                                       .defer = true,
                                       .retry_share = 0.1,
                                       .end_us = Sl_END_US,
                                       .seed = Sl_SEED};
}

/* Returns the options of a plain balancer: the better of two random choices,
 * no cold limit, order of arrival, unbounded retries. */
static struct sl_service_options
plain_balancer_options(const struct sl_deployment *deployment, double load)
{
    struct sl_service_options options = our_options(deployment, load);
    for (size_t i = 0; SlBalancer_All[i] != NULL; i++) {
        if (g_str_equal(SlBalancer_All[i]->name, "two-choices")) {
            options.balancer = SlBalancer_All[i];
        }
    }
    options.no_cold_limit = true;
    options.fifo = true;
    options.defer = false;
    options.retry_share = -1;
    return options;
}

static double
percent(uint64_t part, uint64_t whole)
{
    return whole > 0 ? 100.0 * (double)part / (double)whole : 0;
}

/* Sums a uint64_t field of struct sl_phase, given by its offset, over all
 * phases. */
static double
sum_of(const struct sl_service_result *result, size_t offset)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < Sl_BENCH_PHASES; i++) {
        sum += *(const uint64_t *)((const char *)&result->phases[i] + offset);
    }
    return (double)sum;
}

#define Sl_SUM(result, field)                                                 \
    sum_of(&(result), offsetof(struct sl_phase, field))

/* Adds the latencies of all phases to the first phase and returns it. */
static struct sl_phase *
merged(struct sl_service_result *result)
{
    struct sl_phase *all = &result->phases[0];
    for (size_t i = 1; i < Sl_BENCH_PHASES; i++) {
        struct sl_phase *phase = &result->phases[i];
        for (size_t j = 0; j < SlSample_Count(&phase->latency_ms); j++) {
            SlSample_Add(&all->latency_ms,
                         g_array_index(phase->latency_ms.values, double, j));
        }
    }
    return all;
}

static void
row_choice(const char *label, const struct sl_service_options *options)
{
    struct sl_service_result result;
    SlService_Run(options, &result);
    double request_count = Sl_SUM(result, requests);
    double in_time = 100 * Sl_SUM(result, in_time) / request_count;
    double refused = 100 * Sl_SUM(result, refused) / request_count;
    double attempts = Sl_SUM(result, attempts) / request_count;
    struct sl_sample *latency = &merged(&result)->latency_ms;
    SlBench_Row(label,
                (double[]){SlSample_Quantile(latency, 0.5),
                           SlSample_Quantile(latency, 0.95),
                           SlSample_Quantile(latency, 0.99), in_time, refused,
                           attempts},
                6);
    SlService_FreeResult(&result);
}

/* Prints a table of all balancers. `slow_factor` multiplies the run times on
 * one upstream; 0: no upstream is slow. */
static void
table_choice(const struct sl_deployment *deployment, double load,
             double slow_factor, int64_t report_us)
{
    static const char *const columns[] = {"balancer", "p50 ms",    "p95 ms",
                                          "p99 ms",   "in time %", "refused %",
                                          "attempts", NULL};
    char title[120];
    g_snprintf(title, sizeof(title),
               "%s: upstream choice, load %.2f, one upstream %.0fx slow, "
               "load reports every %.1f s",
               deployment->name, load, MAX(slow_factor, 1),
               (double)report_us / Sl_US_PER_S);
    SlBench_BeginTable(title, columns);
    for (size_t i = 0; SlBalancer_All[i] != NULL; i++) {
        struct sl_service_options options = our_options(deployment, load);
        options.balancer = SlBalancer_All[i];
        options.slow_factor = slow_factor;
        options.report_us = report_us;
        row_choice(options.balancer->name, &options);
    }
    SlBench_EndTable();
}

/* Prints a row for each phase. The last row has the overloads and crashes of
 * the whole run. The row of the outage has the time from its beginning to the
 * last start of a request in the domain that is out. */
static void
rows_outage(const char *name, const struct sl_service_options *options)
{
    static const char *const phases[] = {"before", "during", "after"};
    struct sl_service_result result;
    SlService_Run(options, &result);
    for (size_t i = 0; i < Sl_BENCH_PHASES; i++) {
        struct sl_phase *phase = &result.phases[i];
        char label[64];
        g_snprintf(label, sizeof(label), "%s, %s", name, phases[i]);
        SlBench_Row(
            label,
            (double[]){
                (double)SlSample_Count(&phase->latency_ms) / Sl_PHASE_S,
                SlSample_Quantile(&phase->latency_ms, 0.5),
                SlSample_Quantile(&phase->latency_ms, 0.95),
                percent(phase->in_time, phase->requests),
                percent(phase->kind_in_time[0], phase->kind_requests[0]),
                percent(phase->kind_in_time[2], phase->kind_requests[2]),
                percent(phase->refused, phase->requests),
                percent(phase->failed, phase->requests),
                (double)phase->attempts / (double)MAX(phase->requests, 1),
                i == 2 ? (double)result.cold_overloads : 0,
                i == 2 ? (double)result.crashes : 0,
                i == 1 && result.last_start_us > 0
                    ? (double)result.last_start_us / Sl_US_PER_S - Sl_PHASE_S
                    : 0},
            12);
    }
    SlService_FreeResult(&result);
}

static void
table_outage(const struct sl_deployment *deployment, double load,
             enum sl_bench_outage outage)
{
    static const char *const columns[] = {
        "policy, phase", "responses/s", "p50 ms",    "p95 ms",
        "in time %",     "1st in %",    "wait in %", "refused %",
        "failed %",      "attempts",    "overload",  "crashes",
        "last start s",  NULL};
    char title[120];
    g_snprintf(title, sizeof(title),
               "%s: failure domain %s at 60 s, back and cold at 120 s, "
               "load %.2f",
               deployment->name,
               outage == Sl_OUTAGE_LOST ? "lost" : "marked out", load);
    SlBench_BeginTable(title, columns);
    struct sl_service_options options = our_options(deployment, load);
    options.outage = outage;
    rows_outage("ours", &options);
    options.retry_share = -1;
    rows_outage("ours, unbounded retries", &options);
    options.retry_share = 0.1;
    options.defer = false;
    rows_outage("ours, no deferral", &options);
    options.defer = true;
    options.no_cold_limit = true;
    rows_outage("ours, no cold limit", &options);
    options = plain_balancer_options(deployment, load);
    options.outage = outage;
    rows_outage("plain balancer", &options);
    SlBench_EndTable();
}

/* Prints the shares in time over all phases, and the latencies of phase 1
 * only, in which the burst occurs. */
static void
row_queue(const char *label, const struct sl_service_options *options)
{
    struct sl_service_result result;
    SlService_Run(options, &result);
    double numbers[8] = {0};
    for (size_t i = 0; i < 3; i++) {
        uint64_t request_count = 0;
        uint64_t in_time = 0;
        for (size_t j = 0; j < Sl_BENCH_PHASES; j++) {
            request_count += result.phases[j].kind_requests[i];
            in_time += result.phases[j].kind_in_time[i];
        }
        numbers[i] = percent(in_time, request_count);
        numbers[3 + i] =
            SlSample_Quantile(&result.phases[1].kind_latency_ms[i], 0.95);
    }
    numbers[6] =
        SlSample_Quantile(&result.phases[1].small_team_latency_ms, 0.95);
    numbers[7] = 100 * Sl_SUM(result, refused) / Sl_SUM(result, requests);
    SlBench_Row(label, numbers, 8);
    SlService_FreeResult(&result);
}

static void
table_queue(const struct sl_deployment *deployment, double load, double wave,
            double burst)
{
    static const char *const columns[] = {
        "queue",      "1st in %",    "2nd in %",  "wait in %", "1st p95 ms",
        "2nd p95 ms", "wait p95 ms", "small p95", "refused %", NULL};
    char title[120];
    g_snprintf(title, sizeof(title),
               "%s: load %.2f, wave %.2f, burst of one team %.2f (%s, %s, %s)",
               deployment->name, load, wave, burst, deployment->kinds[0].name,
               deployment->kinds[1].name, deployment->kinds[2].name);
    SlBench_BeginTable(title, columns);
    struct sl_service_options options = our_options(deployment, load);
    options.load_wave = wave;
    options.burst = burst;
    row_queue("ours", &options);
    options.fifo = true;
    row_queue("order of arrival", &options);
    SlBench_EndTable();
}

/* Prints the results of kind 0 in the last phase, which is the longest one: it
 * lasts until the end of the run. The busy time is that of the whole run. */
static void
row_hedge(const char *label, const struct sl_service_options *options)
{
    struct sl_service_result result;
    SlService_Run(options, &result);
    struct sl_phase *phase = &result.phases[2];
    SlBench_Row(
        label,
        (double[]){SlSample_Quantile(&phase->kind_latency_ms[0], 0.5),
                   SlSample_Quantile(&phase->kind_latency_ms[0], 0.95),
                   SlSample_Quantile(&phase->kind_latency_ms[0], 0.99),
                   percent(phase->kind_in_time[0], phase->kind_requests[0]),
                   (double)phase->attempts / (double)phase->requests,
                   result.busy_us / Sl_US_PER_S / Sl_SUM(result, requests)},
        6);
    SlService_FreeResult(&result);
}

/* Prints a table of hedging delays for the verses, kind 0, of the deployment
 * "Kerhuel plume". `slow_factor` is as for table_choice(). */
static void
table_hedge(double load, double slow_factor)
{
    static const char *const columns[] = {
        "verses hedged after", "p50 ms",   "p95 ms",     "p99 ms",
        "in time %",           "attempts", "busy s/req", NULL};
    static const int64_t delays_s[] = {0, 6, 10, 15};
    char title[120];
    g_snprintf(title, sizeof(title),
               "Kerhuel plume: hedging, load %.2f, one upstream %.0fx slow",
               load, MAX(slow_factor, 1));
    SlBench_BeginTable(title, columns);
    for (size_t i = 0; i < G_N_ELEMENTS(delays_s); i++) {
        struct sl_service_options options =
            our_options(&SlDeployment_Kerhuel, load);
        char label[32];
        options.slow_factor = slow_factor;
        options.end_us = 1200 * Sl_US_PER_S;
        options.hedge_us = delays_s[i] * Sl_US_PER_S;
        g_snprintf(label, sizeof(label), "%d s", (int)delays_s[i]);
        row_hedge(delays_s[i] > 0 ? label : "never", &options);
    }
    SlBench_EndTable();
}

int
main(int argc, char **argv)
{
    SlBench_Init(argc, argv);
    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        table_choice(deployments[i], 0.75, 0, Sl_US_PER_S);
        table_choice(deployments[i], 0.75, 3, Sl_US_PER_S);
        table_choice(deployments[i], 0.9, 0, 5 * Sl_US_PER_S);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        table_outage(deployments[i], 0.6, Sl_OUTAGE_MARKED);
        table_outage(deployments[i], 0.8, Sl_OUTAGE_LOST);
    }
    table_queue(&SlDeployment_Kerhuel, 0.8, 0.4, 0);
    table_queue(&SlDeployment_Koudebaai, 0.8, 0.4, 0);
    table_queue(&SlDeployment_Koudebaai, 0.6, 0, 0.8);
    table_hedge(0.5, 0);
    table_hedge(0.5, 4);
    table_hedge(0.8, 4);
    return 0;
}
