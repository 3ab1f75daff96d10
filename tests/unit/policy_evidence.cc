// Unit tests of the fleet-wide counts per version and the tests on them.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "sl_policy.h"
}

class Evidence : public ::testing::Test {
  protected:
    struct sl_evidence *evidence = SlEvidence_New();
    struct sl_name version = SlName_Of("verse-2");
    struct sl_name sibling = SlName_Of("verse-1");
    struct sl_random random = {5};
    struct sl_result_counts counts = {};

    ~Evidence() override
    {
        SlEvidence_Free(evidence);
    }

    void
    report(const char *agent, uint64_t boot,
           const struct sl_result_counts &now)
    {
        struct sl_name name = SlName_Of(agent);
        SlEvidence_Report(evidence, &name, boot, &version, &now);
    }

    // Rates answers until the version is suspect, `most` at most. Returns how
    // many were rated.
    int
    rate(double quality, int most)
    {
        for (int i = 0; i < most; i++) {
            counts.done++;
            counts.rated++;
            counts.score_sum += SlRandom_Unit(&random) < quality ? 1 : 0;
            report("a", 1, counts);
            if (SlEvidence_IsSuspect(evidence, &version, 0.9)) {
                return i + 1;
            }
        }
        return most;
    }
};

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
    EXPECT_EQ(SlEvidence_Total(evidence, &sibling).done, 0u);
}

// Once an agent was forgotten, the first counts of an unknown agent are only a
// baseline: a few counts are lost, but none is added twice.
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

TEST_F(Evidence, GoodRatingsClearTheAlarm)
{
    rate(0.2, 1000);
    counts.rated += 2000;
    counts.score_sum += 1900;
    report("a", 1, counts);
    EXPECT_FALSE(SlEvidence_IsSuspect(evidence, &version, 0.9));
}

TEST_F(Evidence, FailuresCountOnlyIfOtherVersionsDoNotFail)
{
    struct sl_name agent = SlName_Of("a");
    struct sl_result_counts bad = {100, 100, 0, 0};
    SlEvidence_Report(evidence, &agent, 1, &sibling, &bad);
    SlEvidence_IsSuspect(evidence, &sibling, 0.9);
    report("a", 1, bad);
    EXPECT_FALSE(SlEvidence_IsSuspect(evidence, &version, 0.9));
    struct sl_result_counts good = {20000, 100, 0, 0};
    SlEvidence_Report(evidence, &agent, 1, &sibling, &good);
    SlEvidence_IsSuspect(evidence, &sibling, 0.9);
    report("a", 1, {200, 200, 0, 0});
    EXPECT_TRUE(SlEvidence_IsSuspect(evidence, &version, 0.9));
    EXPECT_TRUE(SlEvidence_Explain(evidence, &version, 0.9).by_failure);
}
