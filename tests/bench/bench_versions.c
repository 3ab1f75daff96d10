/* Exposure to bad versions and false alarms of the sequential test.
 *
 * Agents report cumulative counts each second; an entry asks for the verdict
 * at each report. A baseline stops a version when its mean score over the
 * last 100 ratings is 0.1 below the expectation. */
#include "common.h"

#include <math.h>

#define Sl_AGENTS 10
#define Sl_EXPECTED_QUALITY 0.9
#define Sl_WINDOW 100
#define Sl_WINDOW_DROP 0.1
#define Sl_GIVE_UP_S 3600
#define Sl_RUNS 20

struct sl_traffic {
    double per_s;       /* requests to the version, whole fleet */
    double rated_share; /* of answers that get a rating */
};

/* A fleet that serves one version, with both detectors on its counts. */
struct sl_fleet {
    struct sl_random random;
    struct sl_evidence *evidence;
    struct sl_name version;
    struct sl_result_counts counts[Sl_AGENTS];
    double window[Sl_WINDOW];
    uint64_t rated;
    bool ours_alarm;
    bool window_alarm;
};

static void
fleet_init(struct sl_fleet *fleet, uint64_t seed)
{
    *fleet = (struct sl_fleet){.random = {seed},
                               .evidence = SlEvidence_New(),
                               .version = SlName_Of("version")};
}

/* Scores lie between 0 and 1 and are beta-like around the quality. */
static double
draw_score(struct sl_fleet *fleet, double quality)
{
    bool good = SlRandom_Unit(&fleet->random) < quality;
    double spread = 0.1 * SlRandom_Unit(&fleet->random);
    return good ? 1 - spread * (1 - quality) : spread * quality;
}

static void
rate(struct sl_fleet *fleet, size_t agent, double quality)
{
    double score = draw_score(fleet, quality);
    fleet->counts[agent].rated++;
    fleet->counts[agent].score_sum += score;
    fleet->window[fleet->rated++ % Sl_WINDOW] = score;
}

static void
judge(struct sl_fleet *fleet)
{
    for (size_t i = 0; i < Sl_AGENTS; i++) {
        char agent[16];
        g_snprintf(agent, sizeof(agent), "agent-%zu", i);
        struct sl_name name = SlName_Of(agent);
        SlEvidence_Report(fleet->evidence, &name, 1, &fleet->version,
                          &fleet->counts[i]);
    }
    fleet->ours_alarm = SlEvidence_IsSuspect(fleet->evidence, &fleet->version,
                                             Sl_EXPECTED_QUALITY);
    double sum = 0;
    for (size_t i = 0; i < Sl_WINDOW; i++) {
        sum += fleet->window[i];
    }
    fleet->window_alarm =
        fleet->rated >= Sl_WINDOW &&
        sum / Sl_WINDOW < Sl_EXPECTED_QUALITY - Sl_WINDOW_DROP;
}

/* One second of traffic; returns the requests sent. */
static uint64_t
serve_second(struct sl_fleet *fleet, const struct sl_traffic *traffic,
             double quality)
{
    double exact = traffic->per_s + SlRandom_Unit(&fleet->random);
    uint64_t count = (uint64_t)exact;
    for (uint64_t i = 0; i < count; i++) {
        size_t agent = SlRandom_Below(&fleet->random, Sl_AGENTS);
        fleet->counts[agent].done++;
        if (SlRandom_Unit(&fleet->random) < traffic->rated_share) {
            rate(fleet, agent, quality);
        }
    }
    judge(fleet);
    return count;
}

/* Requests and seconds until stopped, for both detectors. */
struct sl_exposure {
    struct sl_sample ours;
    struct sl_sample ours_s;
    struct sl_sample window;
    uint64_t ours_missed;
    uint64_t window_missed;
};

static void
expose(struct sl_exposure *exposure, const struct sl_traffic *traffic,
       double quality, uint64_t good_s, uint64_t seed)
{
    struct sl_fleet fleet;
    uint64_t sent = 0;
    bool ours = false;
    bool window = false;
    fleet_init(&fleet, seed);
    for (uint64_t i = 0; i < good_s; i++) {
        serve_second(&fleet, traffic, 0.92);
    }
    for (uint64_t i = 1; i <= Sl_GIVE_UP_S && !(ours && window); i++) {
        sent += serve_second(&fleet, traffic, quality);
        if (fleet.ours_alarm && !ours) {
            SlSample_Add(&exposure->ours, (double)sent);
            SlSample_Add(&exposure->ours_s, (double)i);
            ours = true;
        }
        if (fleet.window_alarm && !window) {
            SlSample_Add(&exposure->window, (double)sent);
            window = true;
        }
    }
    exposure->ours_missed += !ours;
    exposure->window_missed += !window;
    SlEvidence_Free(fleet.evidence);
}

static void
table_exposure(const char *title, uint64_t good_s)
{
    static const char *const columns[] = {"quality, requests/s, rated share",
                                          "ours p50",
                                          "ours p95",
                                          "ours p95 s",
                                          "missed of 20",
                                          "window p50",
                                          "window p95",
                                          "missed of 20 ",
                                          NULL};
    static const double qualities[] = {0.1, 0.5, 0.7, 0.8};
    static const struct sl_traffic traffics[] = {
        {0.5, 1}, {5, 1}, {5, 0.1}, {50, 0.1}};
    SlBench_Table(title, columns);
    for (size_t i = 0; i < G_N_ELEMENTS(qualities); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(traffics); j++) {
            struct sl_exposure exposure = {0};
            char label[64];
            for (uint64_t run = 0; run < Sl_RUNS; run++) {
                expose(&exposure, &traffics[j], qualities[i], good_s,
                       1000 * run + 7);
            }
            g_snprintf(label, sizeof(label), "%.1f, %g/s, %g", qualities[i],
                       traffics[j].per_s, traffics[j].rated_share);
            SlBench_Row(label,
                        (double[]){SlSample_At(&exposure.ours, 0.5),
                                   SlSample_At(&exposure.ours, 0.95),
                                   SlSample_At(&exposure.ours_s, 0.95),
                                   (double)exposure.ours_missed,
                                   SlSample_At(&exposure.window, 0.5),
                                   SlSample_At(&exposure.window, 0.95),
                                   (double)exposure.window_missed},
                        7);
            SlSample_Free(&exposure.ours);
            SlSample_Free(&exposure.ours_s);
            SlSample_Free(&exposure.window);
        }
    }
    SlBench_End();
}

/* Alarms raised over ratings of versions as good as stated. */
static void
table_false_alarms(void)
{
    static const char *const columns[] = {"true quality", "ratings", "ours",
                                          "window", NULL};
    static const double qualities[] = {0.95, 0.9, 0.87, 0.855};
    static const struct sl_traffic traffic = {50, 1};
    SlBench_Table("Kerhuel: false alarms, expectation 0.9", columns);
    for (size_t i = 0; i < G_N_ELEMENTS(qualities); i++) {
        struct sl_fleet fleet;
        uint64_t window = 0;
        char label[16];
        fleet_init(&fleet, 99 + i);
        for (int second = 0; second < 40000; second++) {
            bool was = fleet.window_alarm;
            serve_second(&fleet, &traffic, qualities[i]);
            window += !was && fleet.window_alarm;
        }
        struct sl_version_health why = SlEvidence_Explain(
            fleet.evidence, &fleet.version, Sl_EXPECTED_QUALITY);
        g_snprintf(label, sizeof(label), "%.3f", qualities[i]);
        SlBench_Row(label,
                    (double[]){(double)fleet.rated, (double)why.alarms,
                               (double)window},
                    3);
        SlEvidence_Free(fleet.evidence);
    }
    SlBench_End();
}

int
main(int argc, char **argv)
{
    SlBench_Init(argc, argv);
    table_exposure("Kerhuel: requests exposed until a version is suspect, "
                   "bad from the start",
                   0);
    table_exposure("Kerhuel: requests exposed until a version is suspect, "
                   "good (0.92) for 10 minutes before",
                   600);
    table_false_alarms();
    return 0;
}
