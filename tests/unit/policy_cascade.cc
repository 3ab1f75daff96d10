// Unit tests of cascades: sequences of model versions, from cheap to
// expensive, of which each is tried only if the answer of the one before is
// rejected.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "sl_policy.h"
}

class Cascade : public ::testing::Test {
  protected:
    struct sl_cascade *cascade = SlCascade_New();
    struct sl_random random = {11};
    struct sl_cascade_step steps[3];
    struct sl_cascade_request request = {};

    // Three steps. The default request has a quality target that only the most
    // expensive step meets without ratings.
    Cascade()
    {
        const char *names[] = {"small", "medium", "large"};
        for (int i = 0; i < 3; i++) {
            steps[i] = {};
            steps[i].version = SlName_Of(names[i]);
            steps[i].cost_micros = i == 0 ? 100 : i == 1 ? 400 : 1000;
            steps[i].quality = i == 0 ? 0.7 : i == 1 ? 0.85 : 0.97;
            steps[i].expected_us = (i + 1) * Sl_US_PER_S;
        }
        request.team = SlName_Of("team");
        request.kind = SlName_Of("verse");
        request.quality = 0.95;
        request.time_left_us = 60 * Sl_US_PER_S;
        request.count = 3;
        request.steps = steps;
    }

    ~Cascade() override
    {
        SlCascade_Free(cascade);
    }

    // Records `count` answers of a step to the request's team and kind, which
    // are accepted at `pass_rate`.
    void
    learn(int step, double pass_rate, int count)
    {
        for (int i = 0; i < count; i++) {
            SlCascade_Learn(cascade, &request.team, &request.kind,
                            &steps[step].version,
                            SlRandom_Unit(&random) < pass_rate);
        }
    }

    // Returns how often, out of 1,000 times, the cascade starts at each step.
    std::vector<int>
    starts()
    {
        std::vector<int> count(3);
        for (int i = 0; i < 1000; i++) {
            count.at(
                SlCascade_ExpectedCost.start(cascade, &request, &random))++;
        }
        return count;
    }
};

TEST_F(Cascade, StartsAtCheapestStepAndExploresOthers)
{
    std::vector<int> count = starts();
    EXPECT_GT(count[0], 960);
    EXPECT_GT(count[1] + count[2], 0);
}

TEST_F(Cascade, FollowsPassRates)
{
    learn(0, 0.02, 300);
    learn(1, 0.05, 300);
    EXPECT_LT(SlCascade_PassRate(cascade, &request, 0), 0.1);
    EXPECT_GT(starts()[2], 960);
    learn(0, 0.95, 600);
    EXPECT_GT(starts()[0], 960);
}

TEST_F(Cascade, UsesVersionRateAsPriorForNewTeams)
{
    learn(0, 0.1, 500);
    request.team = SlName_Of("other");
    EXPECT_LT(SlCascade_PassRate(cascade, &request, 0), 0.2);
}

// The steps take 1, 2 and 3 s.
TEST_F(Cascade, ShortDeadlineLeavesNoTimeForAChain)
{
    request.time_left_us = 4 * Sl_US_PER_S;
    double low_rates[] = {0.2, 0.3, 0.99};
    EXPECT_EQ(SlCascade_FirstStep(&request, low_rates), 2u);
    request.time_left_us = 8 * Sl_US_PER_S;
    double medium_rates[] = {0.5, 0.6, 0.99};
    EXPECT_EQ(SlCascade_FirstStep(&request, medium_rates), 0u);
    // No step can finish in time.
    request.time_left_us = Sl_US_PER_S / 2;
    EXPECT_EQ(SlCascade_FirstStep(&request, medium_rates), 0u);
}

TEST_F(Cascade, WithoutRatingsFirstStepMeetsTargetAlone)
{
    request.ratings_unavailable = true;
    EXPECT_EQ(starts()[2], 1000);
    request.quality = 0.6;
    EXPECT_EQ(starts()[0], 1000);
}

TEST_F(Cascade, SuspectStepsGetFewRequests)
{
    steps[0].suspect = true;
    EXPECT_LT(starts()[0], 20);
    steps[1].suspect = steps[2].suspect = true;
    EXPECT_GT(starts()[0], 960);
}

TEST_F(Cascade, MemoryIsBounded)
{
    for (int i = 0; i < 6000; i++) {
        request.team = SlName_Of(("team-" + std::to_string(i)).c_str());
        learn(0, 0.5, 1);
    }
    EXPECT_LE(SlCascade_RateCount(cascade), 4096u);
}

TEST_F(Cascade, BaselinesAndAcceptance)
{
    // The algorithms for comparison: always the cheapest step first, and
    // always the most expensive step.
    EXPECT_EQ(SlCascade_All[1]->start(cascade, &request, &random), 0u);
    EXPECT_EQ(SlCascade_All[2]->start(cascade, &request, &random), 2u);
    EXPECT_TRUE(SlCascade_Accepts(0.95, 0.95));
    EXPECT_FALSE(SlCascade_Accepts(0.94, 0.95));
}
