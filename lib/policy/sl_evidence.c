/* Fleet-wide counts per version, added up from the reports of all agents, and
 * sequential tests on them.
 *
 * Each test is a CUSUM (cumulative sum) of the logarithms of Bernoulli
 * likelihood ratios. The null hypothesis is that the version's share of good
 * outcomes is at or above a floor; there are a few alternatives below it, each
 * with a CUSUM of its own. A score between 0 and 1 counts as that
 * fraction of a good answer: because the logarithm is concave, the ratio of a
 * fractional score is no larger than that of a betting martingale
 * (Waudby-Smith and Ramdas, 2024), so scores with a mean at or above the floor
 * keep its expectation at 1 or less. A CUSUM restarts where the version was at
 * its best, so a change after a long good time is detected as fast as a
 * version that was bad from the start. The statistic is dominated by the
 * e-detector of Shin, Ramdas and Rinaldo (2024): while the version is good,
 * one alternative reaches A at most once in A ratings on average. The
 * alternatives have equal weights, which divide the false-alarm rate between
 * them. */
#include "sl_policy.h"

#include <math.h>
#include <string.h>

/* False alarms per answer of a version that is as good as its floor: per rated
 * answer in the test on ratings, per finished one in the test on failures. */
#define Sl_FALSE_ALARM_RATE 1e-8
/* The floor of the test on ratings is this much below the expected quality. */
#define Sl_QUALITY_MARGIN 0.05
/* Share of failures that a good version may have if the others have none. */
#define Sl_MAX_GOOD_FAILED_SHARE 0.05
/* A good version may fail up to this many times as often as the others do. */
#define Sl_MAX_GOOD_FAILED_RATIO 2.0
/* Number of alternatives; see alternative_share(). */
#define Sl_ALTERNATIVE_COUNT 4
/* Half-life of a version's recent share of failures, in finished answers. */
#define Sl_FAILED_HALF_LIFE_ANSWERS 500.0
/* Number of agents whose last reports are stored; the agent that has not
 * reported for longest is forgotten first. */
#define Sl_EVIDENCE_MAX_AGENTS 8192

/* ---- types ---- */

/* A sequential test of a share that should be at or above a floor. */
struct sl_test {
    /* CUSUM statistics, one per alternative, 0 or more. */
    double log_ratio[Sl_ALTERNATIVE_COUNT];
    bool alarm;
};

/* Counts of a version and the tests on them. */
struct sl_monitor {
    struct sl_name version;
    struct sl_result_counts total;
    struct sl_result_counts pending; /* not applied to the tests yet */
    double expected_quality;         /* sets the floor of the rating test */
    struct sl_test rating;
    struct sl_test failure;
    /* Counts that decay, see Sl_FAILED_HALF_LIFE_ANSWERS. */
    double recent_done;
    double recent_failed;
    uint64_t alarms; /* number of times that the version became suspect */
};

/* An agent's cumulative counts of one version. */
struct sl_report {
    struct sl_monitor *monitor;
    struct sl_result_counts counts;
};

/* An agent and its last reports. */
struct sl_reporter {
    struct sl_name agent;
    uint64_t boot; /* identifies the agent's process; 0: no report yet */
    /* The agent may have been forgotten, so that the totals may contain its
     * counts already. */
    bool may_be_counted;
    GArray *reports; /* struct sl_report, one per version */
    GList *link;     /* in `by_last_report` */
};

struct sl_evidence {
    GHashTable *reporters; /* agent -> struct sl_reporter, owned */
    GQueue by_last_report; /* struct sl_reporter, newest report at the tail */
    GHashTable *monitors;  /* version -> struct sl_monitor, owned */
    bool has_forgotten_agents;
};

/* ---- helpers: reports ---- */

static void
free_reporter(gpointer data)
{
    struct sl_reporter *reporter = data;
    g_array_free(reporter->reports, TRUE);
    g_free(reporter);
}

static struct sl_monitor *
find_or_add_monitor(struct sl_evidence *evidence,
                    const struct sl_name *version)
{
    struct sl_monitor *monitor =
        g_hash_table_lookup(evidence->monitors, version);
    if (monitor == NULL) {
        monitor = g_new0(struct sl_monitor, 1);
        monitor->version = *version;
        monitor->expected_quality = -1;
        g_hash_table_insert(evidence->monitors, &monitor->version, monitor);
    }
    return monitor;
}

static void
forget_oldest_reporter(struct sl_evidence *evidence)
{
    struct sl_reporter *oldest = g_queue_pop_head(&evidence->by_last_report);
    evidence->has_forgotten_agents = true;
    g_hash_table_remove(evidence->reporters, &oldest->agent);
}

static struct sl_reporter *
find_or_add_reporter(struct sl_evidence *evidence, const struct sl_name *agent)
{
    struct sl_reporter *reporter =
        g_hash_table_lookup(evidence->reporters, agent);
    if (reporter != NULL) {
        g_queue_unlink(&evidence->by_last_report, reporter->link);
        g_queue_push_tail_link(&evidence->by_last_report, reporter->link);
        return reporter;
    }
    if (g_hash_table_size(evidence->reporters) >= Sl_EVIDENCE_MAX_AGENTS) {
        forget_oldest_reporter(evidence);
    }
    reporter = g_new0(struct sl_reporter, 1);
    reporter->agent = *agent;
    reporter->may_be_counted = evidence->has_forgotten_agents;
    reporter->reports = g_array_new(FALSE, TRUE, sizeof(struct sl_report));
    g_queue_push_tail(&evidence->by_last_report, reporter);
    reporter->link = g_queue_peek_tail_link(&evidence->by_last_report);
    g_hash_table_insert(evidence->reporters, &reporter->agent, reporter);
    return reporter;
}

/* Returns the agent's last counts of the version. If there are none, they are
 * 0, except for an agent that may have been forgotten: its first counts are
 * then the baseline, and only what follows is added to the totals. */
static struct sl_report *
find_or_add_report(struct sl_reporter *reporter, struct sl_monitor *monitor,
                   const struct sl_result_counts *counts)
{
    for (guint i = 0; i < reporter->reports->len; i++) {
        struct sl_report *report =
            &g_array_index(reporter->reports, struct sl_report, i);
        if (report->monitor == monitor) {
            return report;
        }
    }
    struct sl_report fresh = {.monitor = monitor};
    if (reporter->may_be_counted) {
        fresh.counts = *counts;
    }
    g_array_append_val(reporter->reports, fresh);
    return &g_array_index(reporter->reports, struct sl_report,
                          reporter->reports->len - 1);
}

/* Returns true if `counts` were taken before `last`. */
static bool
is_outdated(const struct sl_result_counts *counts,
            const struct sl_result_counts *last)
{
    return counts->done < last->done || counts->failed < last->failed ||
           counts->rated < last->rated;
}

/* Adds the increase from `last` to `counts`. */
static void
add_difference(struct sl_result_counts *sum,
               const struct sl_result_counts *counts,
               const struct sl_result_counts *last)
{
    sum->done += counts->done - last->done;
    sum->failed += counts->failed - last->failed;
    sum->rated += counts->rated - last->rated;
    sum->score_sum += counts->score_sum - last->score_sum;
}

/* ---- helpers: tests ---- */

/* Lowest share of good answers of a good version. The limits keep the
 * logarithms of test_update() finite. */
static double
quality_floor_of(double expected_quality)
{
    return CLAMP(expected_quality - Sl_QUALITY_MARGIN, 0.01, 0.99);
}

/* Share of good outcomes under an alternative: 90, 70, 40 or 10 in 100 of the
 * floor. */
static double
alternative_share(size_t index, double floor)
{
    static const double factors[Sl_ALTERNATIVE_COUNT] = {0.9, 0.7, 0.4, 0.1};
    return factors[index] * floor;
}

/* Log ratio at which an alternative raises an alarm. */
static double
threshold(void)
{
    return log(Sl_ALTERNATIVE_COUNT / Sl_FALSE_ALARM_RATE);
}

/* Updates a test with `good` good outcomes of `count`. An alarm is cleared
 * when the log ratios of all alternatives are back at 0. */
static void
test_update(struct sl_test *test, double floor, double good, double count)
{
    double highest = 0;
    for (size_t i = 0; i < Sl_ALTERNATIVE_COUNT; i++) {
        double share = alternative_share(i, floor);
        double gain = (count - good) * log((1 - share) / (1 - floor)) +
                      good * log(share / floor);
        test->log_ratio[i] = CLAMP(test->log_ratio[i] + gain, 0, threshold());
        highest = MAX(highest, test->log_ratio[i]);
    }
    test->alarm = highest >= threshold() || (test->alarm && highest > 0);
}

static double
max_log_ratio(const struct sl_test *test)
{
    double highest = 0;
    for (size_t i = 0; i < Sl_ALTERNATIVE_COUNT; i++) {
        highest = MAX(highest, test->log_ratio[i]);
    }
    return highest;
}

/* Recent share of failures of all other versions. */
static double
others_failed_share(struct sl_evidence *evidence, const struct sl_monitor *own)
{
    GHashTableIter iter;
    gpointer value;
    double done = 0;
    double failed = 0;
    g_hash_table_iter_init(&iter, evidence->monitors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_monitor *monitor = value;
        done += monitor == own ? 0 : monitor->recent_done;
        failed += monitor == own ? 0 : monitor->recent_failed;
    }
    return done + failed > 0 ? failed / (done + failed) : 0;
}

/* Updates the test on failures. The allowed share grows with that of the other
 * versions: if failures have a common cause, such as the loss of a failure
 * domain, the others fail too and this version is not suspect. */
static void
test_failures(struct sl_evidence *evidence, struct sl_monitor *monitor)
{
    double done = (double)monitor->pending.done;
    double failed = (double)monitor->pending.failed;
    double allowed =
        MAX(Sl_MAX_GOOD_FAILED_SHARE,
            Sl_MAX_GOOD_FAILED_RATIO * others_failed_share(evidence, monitor));
    double decay = exp2(-(done + failed) / Sl_FAILED_HALF_LIFE_ANSWERS);
    monitor->recent_done = monitor->recent_done * decay + done;
    monitor->recent_failed = monitor->recent_failed * decay + failed;
    test_update(&monitor->failure, 1 - MIN(allowed, 0.9), done, done + failed);
}

/* Applies the pending counts to both tests. */
static void
apply_pending(struct sl_evidence *evidence, struct sl_monitor *monitor)
{
    bool was_suspect = monitor->rating.alarm || monitor->failure.alarm;
    if (monitor->pending.rated > 0) {
        double count = (double)monitor->pending.rated;
        double good = CLAMP(monitor->pending.score_sum, 0, count);
        test_update(&monitor->rating,
                    quality_floor_of(monitor->expected_quality), good, count);
    }
    if (monitor->pending.done + monitor->pending.failed > 0) {
        test_failures(evidence, monitor);
    }
    memset(&monitor->pending, 0, sizeof(monitor->pending));
    monitor->alarms +=
        !was_suspect && (monitor->rating.alarm || monitor->failure.alarm);
}

/* ---- public ---- */

struct sl_evidence *
SlEvidence_New(void)
{
    struct sl_evidence *evidence = g_new0(struct sl_evidence, 1);
    evidence->reporters = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, free_reporter);
    evidence->monitors = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, g_free);
    g_queue_init(&evidence->by_last_report);
    return evidence;
}

void
SlEvidence_Free(struct sl_evidence *evidence)
{
    if (evidence == NULL) {
        return;
    }
    g_queue_clear(&evidence->by_last_report);
    g_hash_table_destroy(evidence->reporters);
    g_hash_table_destroy(evidence->monitors);
    g_free(evidence);
}

void
SlEvidence_Report(struct sl_evidence *evidence, const struct sl_name *agent,
                  uint64_t boot, const struct sl_name *version,
                  const struct sl_result_counts *counts)
{
    struct sl_reporter *reporter = find_or_add_reporter(evidence, agent);
    struct sl_monitor *monitor = find_or_add_monitor(evidence, version);
    if (reporter->boot != 0 && reporter->boot != boot) {
        g_array_set_size(reporter->reports, 0);
        reporter->may_be_counted = false;
    }
    reporter->boot = boot;
    struct sl_report *report = find_or_add_report(reporter, monitor, counts);
    if (is_outdated(counts, &report->counts)) {
        return;
    }
    add_difference(&monitor->total, counts, &report->counts);
    add_difference(&monitor->pending, counts, &report->counts);
    report->counts = *counts;
}

struct sl_result_counts
SlEvidence_Total(const struct sl_evidence *evidence,
                 const struct sl_name *version)
{
    const struct sl_monitor *monitor =
        g_hash_table_lookup(evidence->monitors, version);
    return monitor == NULL ? (struct sl_result_counts){0} : monitor->total;
}

bool
SlEvidence_UpdateSuspect(struct sl_evidence *evidence,
                         const struct sl_name *version,
                         double expected_quality)
{
    struct sl_monitor *monitor =
        g_hash_table_lookup(evidence->monitors, version);
    if (monitor == NULL) {
        return false;
    }
    if (monitor->expected_quality != expected_quality) {
        memset(&monitor->rating, 0, sizeof(monitor->rating));
        monitor->expected_quality = expected_quality;
    }
    apply_pending(evidence, monitor);
    return monitor->rating.alarm || monitor->failure.alarm;
}

struct sl_version_health
SlEvidence_Explain(struct sl_evidence *evidence, const struct sl_name *version,
                   double expected_quality)
{
    struct sl_version_health health = {.threshold = threshold()};
    health.suspect =
        SlEvidence_UpdateSuspect(evidence, version, expected_quality);
    const struct sl_monitor *monitor =
        g_hash_table_lookup(evidence->monitors, version);
    health.quality_floor = quality_floor_of(expected_quality);
    if (monitor == NULL) {
        return health;
    }
    health.by_rating = monitor->rating.alarm;
    health.by_failure = monitor->failure.alarm;
    health.total = monitor->total;
    health.rating_log_ratio = max_log_ratio(&monitor->rating);
    health.failure_log_ratio = max_log_ratio(&monitor->failure);
    double recent_total = monitor->recent_done + monitor->recent_failed;
    health.failed_share =
        recent_total > 0 ? monitor->recent_failed / recent_total : 0;
    health.others_failed_share = others_failed_share(evidence, monitor);
    health.alarms = monitor->alarms;
    return health;
}

size_t
SlEvidence_AgentCount(const struct sl_evidence *evidence)
{
    return g_hash_table_size(evidence->reporters);
}
