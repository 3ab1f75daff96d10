/* Fleet-wide counts per version, added up from every agent's reports, and
 * the sequential test on them.
 *
 * The test is a CUSUM of Bernoulli likelihood ratios, one for each of a few
 * alternatives below the floor that a good version keeps. A score between 0
 * and 1 counts as that part of a good answer: since the logarithm is concave,
 * the ratio of a fractional score is no larger than a betting martingale's
 * (Waudby-Smith and Ramdas, 2024), so any scores with a mean at or above the
 * floor keep its expectation at 1 or less. A CUSUM restarts where a version
 * was at its best, so a change after a long good run is found as fast as a
 * version that was bad from the start. It is dominated by the e-detector of
 * Shin, Ramdas and Rinaldo (2024): one alternative reaches A once in A
 * ratings or more on average while the version is good. The weights of the
 * alternatives divide the rate between them. */
#include "sl_policy.h"

#include <math.h>
#include <string.h>

/* False alarms per rated answer, and per finished answer for failures, of a
 * version that is as good as its floor. */
#define Sl_FALSE_ALARM_RATE 1e-8
/* A version counts as good down to its expected quality less this. */
#define Sl_QUALITY_MARGIN 0.05
/* Share of failures that a good version may have, when others have none. */
#define Sl_FAILED_SHARE 0.05
/* A good version fails at most this many times as often as the others. */
#define Sl_FAILED_RATIO 2.0
/* Alternatives: a good share of 90, 70, 40 and 10 in 100 of the floor. */
#define Sl_ALTERNATIVES 4
/* Finished answers after which the others' share of failures has halved its
 * memory, for each version. */
#define Sl_FAILED_MEMORY 500.0
/* Agents remembered; past it the one silent for longest is forgotten. */
#define Sl_EVIDENCE_MAX_AGENTS 8192

/* ---- types ---- */

/* One sequential test of a share that should be at or above a floor. */
struct sl_test {
    double log_ratio[Sl_ALTERNATIVES]; /* CUSUM statistics, 0 or more */
    bool alarm;
};

struct sl_watch {
    struct sl_name version;
    struct sl_result_counts total;
    struct sl_result_counts pending; /* not taken into the tests yet */
    double expected_quality;         /* what the rating test compares with */
    struct sl_test rating;
    struct sl_test failure;
    double recent_done; /* with decay */
    double recent_failed;
    uint64_t alarms;
};

/* An agent's cumulative counts of one version. */
struct sl_report {
    struct sl_watch *watch;
    struct sl_result_counts counts;
};

struct sl_reporter {
    struct sl_name agent;
    uint64_t boot;
    bool may_be_known; /* its counts may have been added before */
    GArray *reports;   /* struct sl_report */
    GList *age;        /* its link in `by_age` */
};

struct sl_evidence {
    GHashTable *reporters; /* agent -> struct sl_reporter, owned */
    GQueue by_age;         /* struct sl_reporter, last heard at the tail */
    GHashTable *watches;   /* version -> struct sl_watch, owned */
    bool has_forgotten;
};

/* ---- helpers: reports ---- */

static void
free_reporter(gpointer data)
{
    struct sl_reporter *reporter = data;
    g_array_free(reporter->reports, TRUE);
    g_free(reporter);
}

static struct sl_watch *
watch_of(struct sl_evidence *evidence, const struct sl_name *version)
{
    struct sl_watch *watch = g_hash_table_lookup(evidence->watches, version);
    if (watch == NULL) {
        watch = g_new0(struct sl_watch, 1);
        watch->version = *version;
        watch->expected_quality = -1;
        g_hash_table_insert(evidence->watches, &watch->version, watch);
    }
    return watch;
}

static void
forget_oldest(struct sl_evidence *evidence)
{
    struct sl_reporter *oldest = g_queue_pop_head(&evidence->by_age);
    evidence->has_forgotten = true;
    g_hash_table_remove(evidence->reporters, &oldest->agent);
}

static struct sl_reporter *
reporter_of(struct sl_evidence *evidence, const struct sl_name *agent)
{
    struct sl_reporter *reporter =
        g_hash_table_lookup(evidence->reporters, agent);
    if (reporter != NULL) {
        g_queue_unlink(&evidence->by_age, reporter->age);
        g_queue_push_tail_link(&evidence->by_age, reporter->age);
        return reporter;
    }
    if (g_hash_table_size(evidence->reporters) >= Sl_EVIDENCE_MAX_AGENTS) {
        forget_oldest(evidence);
    }
    reporter = g_new0(struct sl_reporter, 1);
    reporter->agent = *agent;
    reporter->may_be_known = evidence->has_forgotten;
    reporter->reports = g_array_new(FALSE, TRUE, sizeof(struct sl_report));
    g_queue_push_tail(&evidence->by_age, reporter);
    reporter->age = g_queue_peek_tail_link(&evidence->by_age);
    g_hash_table_insert(evidence->reporters, &reporter->agent, reporter);
    return reporter;
}

/* The agent's last counts of the version. The first counts of an agent that
 * may have been forgotten are taken as the base: only what follows is
 * added. */
static struct sl_report *
report_of(struct sl_reporter *reporter, struct sl_watch *watch,
          const struct sl_result_counts *counts)
{
    for (guint i = 0; i < reporter->reports->len; i++) {
        struct sl_report *report =
            &g_array_index(reporter->reports, struct sl_report, i);
        if (report->watch == watch) {
            return report;
        }
    }
    struct sl_report fresh = {.watch = watch};
    if (reporter->may_be_known) {
        fresh.counts = *counts;
    }
    g_array_append_val(reporter->reports, fresh);
    return &g_array_index(reporter->reports, struct sl_report,
                          reporter->reports->len - 1);
}

static bool
is_older(const struct sl_result_counts *counts,
         const struct sl_result_counts *known)
{
    return counts->done < known->done || counts->failed < known->failed ||
           counts->rated < known->rated;
}

static void
add(struct sl_result_counts *sum, const struct sl_result_counts *now,
    const struct sl_result_counts *before)
{
    sum->done += now->done - before->done;
    sum->failed += now->failed - before->failed;
    sum->rated += now->rated - before->rated;
    sum->score_sum += now->score_sum - before->score_sum;
}

/* ---- helpers: tests ---- */

static double
floor_of(double expected_quality)
{
    return CLAMP(expected_quality - Sl_QUALITY_MARGIN, 0.01, 0.99);
}

static double
alternative(size_t index, double floor)
{
    static const double parts[Sl_ALTERNATIVES] = {0.9, 0.7, 0.4, 0.1};
    return parts[index] * floor;
}

static double
threshold(void)
{
    return log(Sl_ALTERNATIVES / Sl_FALSE_ALARM_RATE);
}

/* Takes in `good` of `count` outcomes. An alarm is taken back when every
 * alternative has lost all of its evidence. */
static void
test_update(struct sl_test *test, double floor, double good, double count)
{
    double most = 0;
    for (size_t i = 0; i < Sl_ALTERNATIVES; i++) {
        double share = alternative(i, floor);
        double gain = (count - good) * log((1 - share) / (1 - floor)) +
                      good * log(share / floor);
        test->log_ratio[i] = CLAMP(test->log_ratio[i] + gain, 0, threshold());
        most = MAX(most, test->log_ratio[i]);
    }
    test->alarm = most >= threshold() || (test->alarm && most > 0);
}

static double
test_most(const struct sl_test *test)
{
    double most = 0;
    for (size_t i = 0; i < Sl_ALTERNATIVES; i++) {
        most = MAX(most, test->log_ratio[i]);
    }
    return most;
}

/* Recent share of failures of all versions but this one. */
static double
others_failed_share(struct sl_evidence *evidence, const struct sl_watch *own)
{
    GHashTableIter iter;
    gpointer value;
    double done = 0;
    double failed = 0;
    g_hash_table_iter_init(&iter, evidence->watches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_watch *watch = value;
        done += watch == own ? 0 : watch->recent_done;
        failed += watch == own ? 0 : watch->recent_failed;
    }
    return done + failed > 0 ? failed / (done + failed) : 0;
}

/* When failures have a cause that versions share, such as a lost failure
 * domain, the others fail too and this version is not blamed. */
static void
test_failures(struct sl_evidence *evidence, struct sl_watch *watch)
{
    double done = (double)watch->pending.done;
    double failed = (double)watch->pending.failed;
    double allowed =
        MAX(Sl_FAILED_SHARE,
            Sl_FAILED_RATIO * others_failed_share(evidence, watch));
    double keep = exp2(-(done + failed) / Sl_FAILED_MEMORY);
    watch->recent_done = watch->recent_done * keep + done;
    watch->recent_failed = watch->recent_failed * keep + failed;
    test_update(&watch->failure, 1 - MIN(allowed, 0.9), done, done + failed);
}

/* Takes what came in since the last time into both tests. */
static void
catch_up(struct sl_evidence *evidence, struct sl_watch *watch)
{
    bool was = watch->rating.alarm || watch->failure.alarm;
    if (watch->pending.rated > 0) {
        double count = (double)watch->pending.rated;
        double good = CLAMP(watch->pending.score_sum, 0, count);
        test_update(&watch->rating, floor_of(watch->expected_quality), good,
                    count);
    }
    if (watch->pending.done + watch->pending.failed > 0) {
        test_failures(evidence, watch);
    }
    memset(&watch->pending, 0, sizeof(watch->pending));
    watch->alarms += !was && (watch->rating.alarm || watch->failure.alarm);
}

/* ---- public ---- */

struct sl_evidence *
SlEvidence_New(void)
{
    struct sl_evidence *evidence = g_new0(struct sl_evidence, 1);
    evidence->reporters = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, free_reporter);
    evidence->watches = g_hash_table_new_full(SlName_TableHash,
                                              SlName_TableEqual, NULL, g_free);
    g_queue_init(&evidence->by_age);
    return evidence;
}

void
SlEvidence_Free(struct sl_evidence *evidence)
{
    if (evidence == NULL) {
        return;
    }
    g_queue_clear(&evidence->by_age);
    g_hash_table_destroy(evidence->reporters);
    g_hash_table_destroy(evidence->watches);
    g_free(evidence);
}

void
SlEvidence_Report(struct sl_evidence *evidence, const struct sl_name *agent,
                  uint64_t boot, const struct sl_name *version,
                  const struct sl_result_counts *counts)
{
    struct sl_reporter *reporter = reporter_of(evidence, agent);
    struct sl_watch *watch = watch_of(evidence, version);
    if (reporter->boot != 0 && reporter->boot != boot) {
        g_array_set_size(reporter->reports, 0);
        reporter->may_be_known = false;
    }
    reporter->boot = boot;
    struct sl_report *report = report_of(reporter, watch, counts);
    if (is_older(counts, &report->counts)) {
        return;
    }
    add(&watch->total, counts, &report->counts);
    add(&watch->pending, counts, &report->counts);
    report->counts = *counts;
}

struct sl_result_counts
SlEvidence_Total(const struct sl_evidence *evidence,
                 const struct sl_name *version)
{
    const struct sl_watch *watch =
        g_hash_table_lookup(evidence->watches, version);
    return watch == NULL ? (struct sl_result_counts){0} : watch->total;
}

bool
SlEvidence_IsSuspect(struct sl_evidence *evidence,
                     const struct sl_name *version, double expected_quality)
{
    struct sl_watch *watch = g_hash_table_lookup(evidence->watches, version);
    if (watch == NULL) {
        return false;
    }
    if (watch->expected_quality != expected_quality) {
        memset(&watch->rating, 0, sizeof(watch->rating));
        watch->expected_quality = expected_quality;
    }
    catch_up(evidence, watch);
    return watch->rating.alarm || watch->failure.alarm;
}

struct sl_version_health
SlEvidence_Explain(struct sl_evidence *evidence, const struct sl_name *version,
                   double expected_quality)
{
    struct sl_version_health why = {.threshold = threshold()};
    why.suspect = SlEvidence_IsSuspect(evidence, version, expected_quality);
    const struct sl_watch *watch =
        g_hash_table_lookup(evidence->watches, version);
    why.quality_floor = floor_of(expected_quality);
    if (watch == NULL) {
        return why;
    }
    why.by_rating = watch->rating.alarm;
    why.by_failure = watch->failure.alarm;
    why.total = watch->total;
    why.rating_log_ratio = test_most(&watch->rating);
    why.failure_log_ratio = test_most(&watch->failure);
    double recent = watch->recent_done + watch->recent_failed;
    why.failed_share = recent > 0 ? watch->recent_failed / recent : 0;
    why.others_failed_share = others_failed_share(evidence, watch);
    why.alarms = watch->alarms;
    return why;
}

size_t
SlEvidence_AgentCount(const struct sl_evidence *evidence)
{
    return g_hash_table_size(evidence->reporters);
}
