/* Cascades, which run a request on one model version after the other until a
 * response is good enough: cost per good response, and share of requests with
 * a good response by the deadline. Compares the cascade policies of
 * lib/policy, which include always-cheap and always-dear ones, and an oracle
 * that knows the pass rates. */
#include "common.h"

#define Sl_STEPS 3
#define Sl_KINDS 3
#define Sl_TEAMS 10
#define Sl_REQUESTS 60000
/* Target share of good responses that requests ask for. */
#define Sl_TARGET 0.95
/* Time that rating a response takes. */
#define Sl_RATING_TIME_US (200 * Sl_US_PER_MS)

/* What is different in the middle third of a run. */
enum sl_scenario {
    Sl_SCENARIO_STEADY,
    Sl_SCENARIO_DEGRADED,   /* the cheapest version passes a fifth as often */
    Sl_SCENARIO_NO_RATINGS, /* the rating service is unreachable */
    Sl_SCENARIOS_END,
};

/* Steps (versions, cheapest first) and kinds of request of a deployment. */
struct sl_cascade_deployment {
    const char *name;
    int64_t costs[Sl_STEPS];    /* millionths of the currency */
    double qualities[Sl_STEPS]; /* as labelled in the configuration */
    int64_t times_us[Sl_STEPS]; /* mean time to the response */
    double pass_rates[Sl_KINDS][Sl_STEPS]; /* probability of a good response */
    int64_t deadlines_us[Sl_KINDS];
};

static const struct sl_cascade_deployment deployments[] = {
    {
        .name = "Kerhuel verses",
        .costs = {200, 900, 3000},
        .qualities = {0.7, 0.85, 0.97},
        .times_us = {2 * Sl_US_PER_S, 4 * Sl_US_PER_S, 6 * Sl_US_PER_S},
        .pass_rates = {{0.75, 0.88, 0.98},
                       {0.35, 0.8, 0.97},
                       {0.05, 0.3, 0.96}},
        .deadlines_us = {20 * Sl_US_PER_S, 20 * Sl_US_PER_S, 9 * Sl_US_PER_S},
    },
    {
        .name = "Koudebaai assistant",
        .costs = {100, 400, 2000},
        .qualities = {0.8, 0.9, 0.97},
        .times_us = {Sl_US_PER_S, 2 * Sl_US_PER_S, 4 * Sl_US_PER_S},
        .pass_rates = {{0.9, 0.95, 0.98},
                       {0.6, 0.85, 0.97},
                       {0.08, 0.5, 0.96}},
        .deadlines_us = {30 * Sl_US_PER_S, 30 * Sl_US_PER_S,
                         120 * Sl_US_PER_S},
    },
};

static const char *const scenario_names[] = {
    "steady", "cheap degraded in the middle third",
    "no ratings in the middle third"};

/* A run of a policy in a scenario, and its results. */
struct sl_run {
    const struct sl_cascade_deployment *deployment;
    enum sl_scenario scenario;
    const struct sl_cascade_policy *policy; /* NULL: the oracle */
    struct sl_random load_random;
    struct sl_random policy_random;
    struct sl_cascade *cascade;
    struct sl_sample latency_ms;
    double cost; /* millionths of the currency */
    uint64_t good_responses;
    uint64_t met_target; /* good and in time */
};

/* Returns the probability that a response of the step is good enough. */
static double
true_pass_rate(const struct sl_run *run, size_t kind, size_t step,
               bool is_middle)
{
    double pass_rate = run->deployment->pass_rates[kind][step];
    bool is_degraded =
        is_middle && run->scenario == Sl_SCENARIO_DEGRADED && step == 0;
    return is_degraded ? pass_rate / 5 : pass_rate;
}

/* Returns the step to take next, as an index in the steps of `request`, which
 * begin with `first_step` of the deployment. */
static size_t
choose(struct sl_run *run, const struct sl_cascade_request *request,
       size_t kind, size_t first_step, bool is_middle)
{
    double pass_rates[Sl_STEPS] = {0};
    if (run->policy != NULL) {
        return run->policy->start(run->cascade, request, &run->policy_random);
    }
    for (size_t i = 0; i < request->count; i++) {
        pass_rates[i] = true_pass_rate(run, kind, first_step + i, is_middle);
    }
    return SlCascade_FirstStep(request, pass_rates);
}

/* Serves one request by steps until a response is good enough or the deadline
 * has passed. While there are no ratings, it gets a single step. The quality
 * and the time of each step are drawn beforehand, so that every policy meets
 * the same load. */
static void
serve_request(struct sl_run *run, bool is_middle)
{
    char team[16];
    char kind_name[16];
    struct sl_cascade_step steps[Sl_STEPS] = {0};
    double draws[Sl_STEPS];
    int64_t step_times_us[Sl_STEPS];
    const struct sl_cascade_deployment *deployment = run->deployment;
    size_t kind = SlRandom_Below(&run->load_random, Sl_KINDS);
    g_snprintf(team, sizeof(team), "team-%u",
               SlRandom_Below(&run->load_random, Sl_TEAMS));
    g_snprintf(kind_name, sizeof(kind_name), "kind-%zu", kind);
    for (size_t i = 0; i < Sl_STEPS; i++) {
        char version[16];
        g_snprintf(version, sizeof(version), "version-%zu", i);
        steps[i].version = SlName_Of(version);
        steps[i].cost_micros = deployment->costs[i];
        steps[i].quality = deployment->qualities[i];
        steps[i].expected_us = deployment->times_us[i] + Sl_RATING_TIME_US;
        draws[i] = SlRandom_Unit(&run->load_random);
        step_times_us[i] =
            (int64_t)((double)deployment->times_us[i] *
                      SlBench_LogNormal(&run->load_random, 0.3));
    }
    bool ratings_unavailable =
        is_middle && run->scenario == Sl_SCENARIO_NO_RATINGS;
    int64_t deadline_us = deployment->deadlines_us[kind];
    int64_t spent_us = 0;
    size_t first_step = 0;
    bool is_good = false;
    while (first_step < Sl_STEPS && !is_good && spent_us < deadline_us) {
        struct sl_cascade_request request = {
            .team = SlName_Of(team),
            .kind = SlName_Of(kind_name),
            .quality = Sl_TARGET,
            .time_left_us = deadline_us - spent_us,
            .count = Sl_STEPS - first_step,
            .steps = &steps[first_step],
            .ratings_unavailable = ratings_unavailable};
        size_t step =
            first_step + choose(run, &request, kind, first_step, is_middle);
        is_good = draws[step] < true_pass_rate(run, kind, step, is_middle);
        run->cost += (double)deployment->costs[step];
        spent_us += step_times_us[step] +
                    (ratings_unavailable ? 0 : Sl_RATING_TIME_US);
        if (ratings_unavailable) {
            break;
        }
        SlCascade_Learn(run->cascade, &request.team, &request.kind,
                        &steps[step].version, is_good);
        first_step = step + 1;
    }
    SlSample_Add(&run->latency_ms, (double)spent_us / 1000);
    run->good_responses += is_good;
    run->met_target += is_good && spent_us <= deadline_us;
}

/* Runs the policy and scenario of `options` from fixed seeds; prints a row. */
static void
print_row(const char *label, const struct sl_run *options)
{
    struct sl_run run = *options;
    run.load_random.state = 31;
    run.policy_random.state = 37;
    run.cascade = SlCascade_New();
    for (size_t i = 0; i < Sl_REQUESTS; i++) {
        serve_request(&run, i >= Sl_REQUESTS / 3 && i < 2 * (Sl_REQUESTS / 3));
    }
    SlBench_Row(label,
                (double[]){run.cost / (double)run.good_responses,
                           100.0 * (double)run.met_target / Sl_REQUESTS,
                           SlSample_Quantile(&run.latency_ms, 0.5),
                           SlSample_Quantile(&run.latency_ms, 0.95),
                           SlSample_Quantile(&run.latency_ms, 0.99)},
                5);
    SlCascade_Free(run.cascade);
    SlSample_Free(&run.latency_ms);
}

int
main(int argc, char **argv)
{
    static const char *const columns[] = {
        "policy", "cost/good", "met %", "p50 ms", "p95 ms", "p99 ms", NULL};
    SlBench_Init(argc, argv);
    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        for (int scenario = 0; scenario < Sl_SCENARIOS_END; scenario++) {
            char title[96];
            struct sl_run run = {.deployment = &deployments[i],
                                 .scenario = scenario};
            g_snprintf(title, sizeof(title),
                       "%s: cascade, target %.2f, %s, cost in micros",
                       deployments[i].name, Sl_TARGET,
                       scenario_names[scenario]);
            SlBench_BeginTable(title, columns);
            for (size_t j = 0; SlCascade_All[j] != NULL; j++) {
                run.policy = SlCascade_All[j];
                print_row(run.policy->name, &run);
            }
            run.policy = NULL;
            print_row("oracle", &run);
            SlBench_EndTable();
        }
    }
    return 0;
}
