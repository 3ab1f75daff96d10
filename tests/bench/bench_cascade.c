/* Cascades: cost per accepted answer and share meeting the target, against
 * always cheap first, always dear, and an oracle that knows the rates. */
#include "common.h"

#define Sl_STEPS 3
#define Sl_KINDS 3
#define Sl_TEAMS 10
#define Sl_REQUESTS 60000
#define Sl_TARGET 0.95
#define Sl_RATING_US (200 * Sl_US_PER_MS)

/* What changes in the middle third of a run. */
enum sl_event {
    Sl_EVENT_NONE,
    Sl_EVENT_TURNS_BAD,   /* the cheap version passes a fifth as often */
    Sl_EVENT_RATING_DOWN, /* no ratings */
    Sl_EVENTS_END,
};

struct sl_setting {
    const char *name;
    int64_t costs[Sl_STEPS];
    double qualities[Sl_STEPS]; /* labels */
    int64_t times_us[Sl_STEPS];
    double pass[Sl_KINDS][Sl_STEPS];
    int64_t deadlines_us[Sl_KINDS];
};

static const struct sl_setting settings[] = {
    {"Kerhuel verses",
     {200, 900, 3000},
     {0.7, 0.85, 0.97},
     {2 * Sl_US_PER_S, 4 * Sl_US_PER_S, 6 * Sl_US_PER_S},
     {{0.75, 0.88, 0.98}, {0.35, 0.8, 0.97}, {0.05, 0.3, 0.96}},
     {20 * Sl_US_PER_S, 20 * Sl_US_PER_S, 9 * Sl_US_PER_S}},
    {"Koudebaai assistant",
     {100, 400, 2000},
     {0.8, 0.9, 0.97},
     {Sl_US_PER_S, 2 * Sl_US_PER_S, 4 * Sl_US_PER_S},
     {{0.9, 0.95, 0.98}, {0.6, 0.85, 0.97}, {0.08, 0.5, 0.96}},
     {30 * Sl_US_PER_S, 30 * Sl_US_PER_S, 120 * Sl_US_PER_S}},
};

static const char *const event_names[] = {
    "steady", "cheap turns bad in the middle third",
    "ratings down in the middle third"};

struct sl_run {
    const struct sl_setting *setting;
    enum sl_event event;
    const struct sl_cascade_policy *rule; /* NULL: the oracle */
    struct sl_random load;
    struct sl_random choices;
    struct sl_cascade *cascade;
    struct sl_sample latency_ms;
    double cost;
    uint64_t good;
    uint64_t met; /* good and in time */
};

static double
true_pass(const struct sl_run *run, size_t kind, size_t step, bool middle)
{
    double pass = run->setting->pass[kind][step];
    bool bad = middle && run->event == Sl_EVENT_TURNS_BAD && step == 0;
    return bad ? pass / 5 : pass;
}

static size_t
choose(struct sl_run *run, const struct sl_cascade_request *ask, size_t kind,
       size_t first, bool middle)
{
    double pass[Sl_STEPS] = {0};
    if (run->rule != NULL) {
        return run->rule->start(run->cascade, ask, &run->choices);
    }
    for (size_t i = 0; i < ask->count; i++) {
        pass[i] = true_pass(run, kind, first + i, middle);
    }
    return SlCascade_Plan(ask, pass);
}

/* One request through its chain of steps. The luck of each step is drawn
 * beforehand, so that every rule meets the same. */
static void
serve(struct sl_run *run, bool middle)
{
    char team[16];
    char kind_name[16];
    struct sl_cascade_step steps[Sl_STEPS] = {0};
    double luck[Sl_STEPS];
    int64_t takes_us[Sl_STEPS];
    const struct sl_setting *setting = run->setting;
    size_t kind = SlRandom_Below(&run->load, Sl_KINDS);
    g_snprintf(team, sizeof(team), "team-%u",
               SlRandom_Below(&run->load, Sl_TEAMS));
    g_snprintf(kind_name, sizeof(kind_name), "kind-%zu", kind);
    for (size_t i = 0; i < Sl_STEPS; i++) {
        char version[16];
        g_snprintf(version, sizeof(version), "version-%zu", i);
        steps[i].version = SlName_Of(version);
        steps[i].cost_micros = setting->costs[i];
        steps[i].quality = setting->qualities[i];
        steps[i].expected_us = setting->times_us[i] + Sl_RATING_US;
        luck[i] = SlRandom_Unit(&run->load);
        takes_us[i] = (int64_t)((double)setting->times_us[i] *
                                SlBench_LogNormal(&run->load, 0.3));
    }
    bool ratings_unavailable = middle && run->event == Sl_EVENT_RATING_DOWN;
    int64_t deadline_us = setting->deadlines_us[kind];
    int64_t spent_us = 0;
    size_t first = 0;
    bool good = false;
    while (first < Sl_STEPS && !good && spent_us < deadline_us) {
        struct sl_cascade_request ask = {
            .team = SlName_Of(team),
            .kind = SlName_Of(kind_name),
            .quality = Sl_TARGET,
            .time_left_us = deadline_us - spent_us,
            .count = Sl_STEPS - first,
            .steps = &steps[first],
            .ratings_unavailable = ratings_unavailable};
        size_t step = first + choose(run, &ask, kind, first, middle);
        good = luck[step] < true_pass(run, kind, step, middle);
        run->cost += (double)setting->costs[step];
        spent_us += takes_us[step] + (ratings_unavailable ? 0 : Sl_RATING_US);
        if (ratings_unavailable) {
            break;
        }
        SlCascade_Learn(run->cascade, &ask.team, &ask.kind,
                        &steps[step].version, good);
        first = step + 1;
    }
    SlSample_Add(&run->latency_ms, (double)spent_us / 1000);
    run->good += good;
    run->met += good && spent_us <= deadline_us;
}

static void
row(const char *label, const struct sl_run *given)
{
    struct sl_run run = *given;
    run.load.state = 31;
    run.choices.state = 37;
    run.cascade = SlCascade_New();
    for (size_t i = 0; i < Sl_REQUESTS; i++) {
        serve(&run, i >= Sl_REQUESTS / 3 && i < 2 * (Sl_REQUESTS / 3));
    }
    SlBench_Row(label,
                (double[]){run.cost / (double)run.good,
                           100.0 * (double)run.met / Sl_REQUESTS,
                           SlSample_At(&run.latency_ms, 0.5),
                           SlSample_At(&run.latency_ms, 0.95),
                           SlSample_At(&run.latency_ms, 0.99)},
                5);
    SlCascade_Free(run.cascade);
    SlSample_Free(&run.latency_ms);
}

int
main(int argc, char **argv)
{
    static const char *const columns[] = {
        "rule", "cost/good", "met %", "p50 ms", "p95 ms", "p99 ms", NULL};
    SlBench_Init(argc, argv);
    for (size_t i = 0; i < G_N_ELEMENTS(settings); i++) {
        for (int event = 0; event < Sl_EVENTS_END; event++) {
            char title[96];
            struct sl_run run = {.setting = &settings[i], .event = event};
            g_snprintf(title, sizeof(title),
                       "%s: cascade, target %.2f, %s, cost in micros",
                       settings[i].name, Sl_TARGET, event_names[event]);
            SlBench_Table(title, columns);
            for (size_t j = 0; SlCascade_All[j] != NULL; j++) {
                run.rule = SlCascade_All[j];
                row(run.rule->name, &run);
            }
            run.rule = NULL;
            row("oracle", &run);
            SlBench_End();
        }
    }
    return 0;
}
