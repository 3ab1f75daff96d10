/* Exposure to bad versions, and false alarms, of two detectors.
 *
 * "ours" is the sequential test of SlEvidence: agents report cumulative counts
 * every second, and an entry runs the test after each report. "window" is the
 * baseline: it raises an alarm when the mean score of the last 100 ratings is
 * more than 0.1 below the expected quality. */
#include "common.h"

#include <math.h>

#define Sl_AGENTS 10
#define Sl_EXPECTED_QUALITY 0.9
#define Sl_WINDOW 100 /* ratings */
#define Sl_WINDOW_DROP 0.1
#define Sl_MAX_EXPOSURE_S 3600 /* then the alarm counts as missed */
#define Sl_RUNS 20             /* with different seeds */

struct sl_traffic {
    double requests_per_s; /* requests to the version, whole fleet */
    double rated_share;    /* of responses that get a rating */
};

/* A fleet that serves one version, and the states of both detectors. */
struct sl_fleet {
    struct sl_random random;
    struct sl_evidence *evidence;
    struct sl_name version;
    struct sl_result_counts counts[Sl_AGENTS];
    double window_scores[Sl_WINDOW];
    uint64_t rated;
    bool evidence_alarm;
    bool window_alarm;
};

static void
fleet_init(struct sl_fleet *fleet, uint64_t seed)
{
    *fleet = (struct sl_fleet){.random = {seed},
                               .evidence = SlEvidence_New(),
                               .version = SlName_Of("version")};
}

/* Draws a score near 0 or near 1, with mean `quality`. */
static double
draw_score(struct sl_fleet *fleet, double quality)
{
    bool is_good = SlRandom_Unit(&fleet->random) < quality;
    double spread = 0.1 * SlRandom_Unit(&fleet->random);
    return is_good ? 1 - spread * (1 - quality) : spread * quality;
}

static void
rate_response(struct sl_fleet *fleet, size_t agent, double quality)
{
    double score = draw_score(fleet, quality);
    fleet->counts[agent].rated++;
    fleet->counts[agent].score_sum += score;
    fleet->window_scores[fleet->rated++ % Sl_WINDOW] = score;
}

/* Reports the counts and runs both detectors. */
static void
update_alarms(struct sl_fleet *fleet)
{
    for (size_t i = 0; i < Sl_AGENTS; i++) {
        char agent[16];
        g_snprintf(agent, sizeof(agent), "agent-%zu", i);
        struct sl_name name = SlName_Of(agent);
        SlEvidence_Report(fleet->evidence, &name, 1, &fleet->version,
                          &fleet->counts[i]);
    }
    fleet->evidence_alarm = SlEvidence_UpdateSuspect(
        fleet->evidence, &fleet->version, Sl_EXPECTED_QUALITY);
    double sum = 0;
    for (size_t i = 0; i < Sl_WINDOW; i++) {
        sum += fleet->window_scores[i];
    }
    fleet->window_alarm =
        fleet->rated >= Sl_WINDOW &&
        sum / Sl_WINDOW < Sl_EXPECTED_QUALITY - Sl_WINDOW_DROP;
}

/* Serves one second of traffic; returns how many requests it had. */
static uint64_t
serve_one_second(struct sl_fleet *fleet, const struct sl_traffic *traffic,
                 double quality)
{
    double exact_count =
        traffic->requests_per_s + SlRandom_Unit(&fleet->random);
    uint64_t count = (uint64_t)exact_count;
    for (uint64_t i = 0; i < count; i++) {
        size_t agent = SlRandom_Below(&fleet->random, Sl_AGENTS);
        fleet->counts[agent].done++;
        if (SlRandom_Unit(&fleet->random) < traffic->rated_share) {
            rate_response(fleet, agent, quality);
        }
    }
    update_alarms(fleet);
    return count;
}

/* Requests and seconds until the alarm, one value for each run that had one,
 * and the number of runs that had none. */
struct sl_exposure {
    struct sl_sample evidence_requests;
    struct sl_sample evidence_s;
    struct sl_sample window_requests;
    uint64_t evidence_missed;
    uint64_t window_missed;
};

/* Adds a run: good quality for `good_before_s`, then `quality` until both
 * detectors have raised an alarm. */
static void
measure_exposure(struct sl_exposure *exposure,
                 const struct sl_traffic *traffic, double quality,
                 uint64_t good_before_s, uint64_t seed)
{
    struct sl_fleet fleet;
    uint64_t request_count = 0;
    bool evidence_alarmed = false;
    bool window_alarmed = false;
    fleet_init(&fleet, seed);
    for (uint64_t i = 0; i < good_before_s; i++) {
        serve_one_second(&fleet, traffic, 0.92);
    }
    for (uint64_t i = 1;
         i <= Sl_MAX_EXPOSURE_S && !(evidence_alarmed && window_alarmed);
         i++) {
        request_count += serve_one_second(&fleet, traffic, quality);
        if (fleet.evidence_alarm && !evidence_alarmed) {
            SlSample_Add(&exposure->evidence_requests, (double)request_count);
            SlSample_Add(&exposure->evidence_s, (double)i);
            evidence_alarmed = true;
        }
        if (fleet.window_alarm && !window_alarmed) {
            SlSample_Add(&exposure->window_requests, (double)request_count);
            window_alarmed = true;
        }
    }
    exposure->evidence_missed += !evidence_alarmed;
    exposure->window_missed += !window_alarmed;
    SlEvidence_Free(fleet.evidence);
}

static void
table_exposure(const char *title, uint64_t good_before_s)
{
    /* Names differ because they are keys in JSON. */
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
    static const struct sl_traffic traffic_cases[] = {
        {0.5, 1}, {5, 1}, {5, 0.1}, {50, 0.1}};
    SlBench_BeginTable(title, columns);
    for (size_t i = 0; i < G_N_ELEMENTS(qualities); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(traffic_cases); j++) {
            struct sl_exposure exposure = {0};
            char label[64];
            for (uint64_t run = 0; run < Sl_RUNS; run++) {
                measure_exposure(&exposure, &traffic_cases[j], qualities[i],
                                 good_before_s, 1000 * run + 7);
            }
            g_snprintf(label, sizeof(label), "%.1f, %g/s, %g", qualities[i],
                       traffic_cases[j].requests_per_s,
                       traffic_cases[j].rated_share);
            SlBench_Row(
                label,
                (double[]){
                    SlSample_Quantile(&exposure.evidence_requests, 0.5),
                    SlSample_Quantile(&exposure.evidence_requests, 0.95),
                    SlSample_Quantile(&exposure.evidence_s, 0.95),
                    (double)exposure.evidence_missed,
                    SlSample_Quantile(&exposure.window_requests, 0.5),
                    SlSample_Quantile(&exposure.window_requests, 0.95),
                    (double)exposure.window_missed},
                7);
            SlSample_Free(&exposure.evidence_requests);
            SlSample_Free(&exposure.evidence_s);
            SlSample_Free(&exposure.window_requests);
        }
    }
    SlBench_EndTable();
}

/* Alarms raised on versions that are about as good as expected. */
static void
table_false_alarms(void)
{
    static const char *const columns[] = {"true quality", "ratings", "ours",
                                          "window", NULL};
    static const double qualities[] = {0.95, 0.9, 0.87, 0.855};
    static const struct sl_traffic traffic = {50, 1};
    SlBench_BeginTable("Kerhuel: false alarms, expectation 0.9", columns);
    for (size_t i = 0; i < G_N_ELEMENTS(qualities); i++) {
        struct sl_fleet fleet;
        uint64_t window_alarms = 0;
        char label[16];
        fleet_init(&fleet, 99 + i);
        for (int second = 0; second < 40000; second++) {
            bool had_window_alarm = fleet.window_alarm;
            serve_one_second(&fleet, &traffic, qualities[i]);
            window_alarms += !had_window_alarm && fleet.window_alarm;
        }
        struct sl_version_health health = SlEvidence_Explain(
            fleet.evidence, &fleet.version, Sl_EXPECTED_QUALITY);
        g_snprintf(label, sizeof(label), "%.3f", qualities[i]);
        SlBench_Row(label,
                    (double[]){(double)fleet.rated, (double)health.alarms,
                               (double)window_alarms},
                    3);
        SlEvidence_Free(fleet.evidence);
    }
    SlBench_EndTable();
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
