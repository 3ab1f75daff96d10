// Unit tests of the fleet-wide result counts per version, and of the
// sequential tests that find suspect versions with them.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "sl_policy.h"
}

class Evidence : public ::testing::Test {
  protected:
    struct sl_evidence *evidence = SlEvidence_New();
    struct sl_name version = SlName_Of("verse-2");
    struct sl_name other_version = SlName_Of("verse-1");
    struct sl_random random = {5};
    struct sl_result_counts counts = {}; // cumulative, of rate()

    ~Evidence() override
    {
        SlEvidence_Free(evidence);
    }

    // Reports an agent's cumulative counts of `version`, in the order done,
    // failed, rated, sum of the scores.
    void
    report(const char *agent, uint64_t boot,
           const struct sl_result_counts &totals)
    {
        struct sl_name name = SlName_Of(agent);
        SlEvidence_Report(evidence, &name, boot, &version, &totals);
    }

    // Reports rated answers of `version`, of which the share `quality` is
    // good, until the version is suspect or `max_count` were rated. Returns
    // how many were rated.
    int
    rate(double quality, int max_count)
    {
        for (int i = 0; i < max_count; i++) {
            counts.done++;
            counts.rated++;
            counts.score_sum += SlRandom_Unit(&random) < quality ? 1 : 0;
            report("a", 1, counts);
            if (SlEvidence_UpdateSuspect(evidence, &version, 0.9)) {
                return i + 1;
            }
        }
        return max_count;
    }
};

// Counts of one start of an agent (one `boot`) replace each other; those of
// different starts and agents add up.
TEST_F(Evidence, TotalsAddUpAgentsAndTheirStarts)
{
    report("a", 1, {10, 1, 4, 3.5});
    report("a", 1, {12, 1, 4, 3.5});
    report("a", 1, {11, 1, 4, 3.5}); // arrives out of order
    report("b", 1, {5, 0, 0, 0});
    report("a", 2, {3, 0, 1, 1});
    struct sl_result_counts total = SlEvidence_Total(evidence, &version);
    EXPECT_EQ(total.done, 20u);
    EXPECT_EQ(total.failed, 1u);
    EXPECT_EQ(total.rated, 5u);
    EXPECT_DOUBLE_EQ(total.score_sum, 4.5);
    EXPECT_EQ(SlEvidence_Total(evidence, &other_version).done, 0u);
}

// Memory holds 8,192 agents. Once an agent was forgotten, the first counts of
// an unknown agent, which may be a forgotten one, are only a baseline: a few
// counts are lost, but none is added twice.
TEST_F(Evidence, MemoryIsBoundedAndNothingCountsTwice)
{
    for (int i = 0; i < 9000; i++) {
        report(("agent-" + std::to_string(i)).c_str(), 1, {1, 0, 0, 0});
    }
    EXPECT_LE(SlEvidence_AgentCount(evidence), 8192u);
    EXPECT_EQ(SlEvidence_Total(evidence, &version).done, 8192u);
    report("agent-0", 1, {1, 0, 0, 0});
    EXPECT_EQ(SlEvidence_Total(evidence, &version).done, 8192u);
    report("agent-0", 1, {4, 0, 0, 0});
    EXPECT_EQ(SlEvidence_Total(evidence, &version).done, 8195u);
    report("agent-0", 2, {2, 0, 0, 0});
    EXPECT_EQ(SlEvidence_Total(evidence, &version).done, 8197u);
}

TEST_F(Evidence, GoodVersionIsNeverSuspect)
{
    EXPECT_EQ(rate(0.9, 200000), 200000);
    EXPECT_FALSE(SlEvidence_Explain(evidence, &version, 0.9).suspect);
}

TEST_F(Evidence, DetectsVersionBadFromTheStart)
{
    EXPECT_LT(rate(0.5, 1000), 120);
    struct sl_version_health why = SlEvidence_Explain(evidence, &version, 0.9);
    EXPECT_TRUE(why.suspect && why.by_rating);
    EXPECT_FALSE(why.by_failure);
    EXPECT_GE(why.rating_log_ratio, why.threshold);
    EXPECT_EQ(why.alarms, 1u);
}

TEST_F(Evidence, DetectsLateChangeAsFast)
{
    ASSERT_EQ(rate(0.95, 50000), 50000);
    EXPECT_LT(rate(0.5, 1000), 120);
}

// 1,900 good ones of 2,000 further ratings clear the alarm.
TEST_F(Evidence, GoodRatingsClearTheAlarm)
{
    rate(0.2, 1000);
    counts.rated += 2000;
    counts.score_sum += 1900;
    report("a", 1, counts);
    EXPECT_FALSE(SlEvidence_UpdateSuspect(evidence, &version, 0.9));
}

TEST_F(Evidence, FailuresCountOnlyIfOtherVersionsDoNotFail)
{
    struct sl_name agent = SlName_Of("a");
    // Both versions fail every time.
    struct sl_result_counts all_failed = {100, 100, 0, 0};
    SlEvidence_Report(evidence, &agent, 1, &other_version, &all_failed);
    SlEvidence_UpdateSuspect(evidence, &other_version, 0.9);
    report("a", 1, all_failed);
    EXPECT_FALSE(SlEvidence_UpdateSuspect(evidence, &version, 0.9));
    // The other version has not failed since.
    struct sl_result_counts mostly_good = {20000, 100, 0, 0};
    SlEvidence_Report(evidence, &agent, 1, &other_version, &mostly_good);
    SlEvidence_UpdateSuspect(evidence, &other_version, 0.9);
    report("a", 1, {200, 200, 0, 0});
    EXPECT_TRUE(SlEvidence_UpdateSuspect(evidence, &version, 0.9));
    EXPECT_TRUE(SlEvidence_Explain(evidence, &version, 0.9).by_failure);
}
