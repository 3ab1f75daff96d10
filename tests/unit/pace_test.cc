// The pace of upstreams: what it does to the choice between them, and when it
// is forgotten.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

extern "C" {
#include "sl_pace.h"
}

namespace {

const int64_t start_us = 1000 * Sl_US_PER_S;

class Pace {
  public:
    Pace() : pace(SlPace_New(), SlPace_Free)
    {
    }

    struct sl_pace *
    get() const
    {
        return pace.get();
    }

    double
    factor(int64_t now_us) const
    {
        return SlPace_Estimate(get(), now_us).factor;
    }

    // States a figure each `interval_us`, and returns the time of the last.
    int64_t
    state(int64_t from_us, int64_t percent, int count,
          int64_t interval_us = 500 * Sl_US_PER_MS)
    {
        for (int i = 0; i < count; i++) {
            SlPace_OnStated(get(), from_us + i * interval_us, percent);
        }
        return from_us + (count - 1) * interval_us;
    }

  private:
    std::unique_ptr<struct sl_pace, decltype(&SlPace_Free)> pace;
};

struct sl_gossip_pace
report(uint16_t percent, uint32_t age_ms)
{
    struct sl_gossip_pace pace = {};
    pace.percent = percent;
    pace.age_ms = age_ms;
    return pace;
}

// A machine's other work: 2.5 times the usual pace for 0.6 s of every 4 s.
int64_t
noisy_percent(int64_t now_us, int64_t usual_percent)
{
    bool in_spell = now_us % (4 * Sl_US_PER_S) < 600 * Sl_US_PER_MS;
    return in_spell ? usual_percent * 5 / 2 : usual_percent;
}

} // namespace

TEST(Pace, NothingIsKnownAtFirst)
{
    Pace pace;
    struct sl_upstream_pace estimate = SlPace_Estimate(pace.get(), start_us);
    struct sl_gossip_pace told;
    EXPECT_EQ(estimate.factor, 1);
    EXPECT_EQ(estimate.source, Sl_PACE_UNKNOWN);
    EXPECT_EQ(estimate.age_us, 0);
    EXPECT_FALSE(SlPace_FillReport(pace.get(), start_us, &told));
}

// Of three upstreams, one has an older machine. All have spells of noise.
TEST(Pace, SlowMachineIsToldFromNoise)
{
    const int64_t percents[] = {100, 100, 130};
    const int64_t phases_us[] = {0, 1300 * Sl_US_PER_MS, 2600 * Sl_US_PER_MS};
    Pace paces[3];
    int64_t now_us = start_us;
    for (; now_us < start_us + 60 * Sl_US_PER_S;
         now_us += 230 * Sl_US_PER_MS) {
        for (int i = 0; i < 3; i++) {
            SlPace_OnStated(paces[i].get(), now_us,
                            noisy_percent(now_us + phases_us[i], percents[i]));
        }
    }
    now_us += Sl_US_PER_S; // no figure is fresh any more
    double slow = paces[2].factor(now_us);
    for (int i = 0; i < 2; i++) {
        EXPECT_GT(slow, 1.15 * paces[i].factor(now_us)) << i;
    }
    EXPECT_NEAR(paces[0].factor(now_us), paces[1].factor(now_us), 0.1);
}

// A spell counts at once, and for no longer than it lasts.
TEST(Pace, SpellIsAvoidedAtOnceAndForgotten)
{
    Pace pace;
    int64_t now_us = pace.state(start_us, 100, 20);
    EXPECT_EQ(pace.factor(now_us), 1);
    now_us += 500 * Sl_US_PER_MS;
    SlPace_OnStated(pace.get(), now_us, 250);
    EXPECT_NEAR(pace.factor(now_us), 2.5, 0.01);
    EXPECT_EQ(SlPace_Estimate(pace.get(), now_us).source, Sl_PACE_STATED);
    EXPECT_GT(pace.factor(now_us + 200 * Sl_US_PER_MS), 1.5);
    EXPECT_LT(pace.factor(now_us + 600 * Sl_US_PER_MS), 1.1);
    // The end of the spell counts at once, too.
    SlPace_OnStated(pace.get(), now_us + 100 * Sl_US_PER_MS, 100);
    EXPECT_LT(pace.factor(now_us + 100 * Sl_US_PER_MS), 1.1);
}

// All routers hear the same of an upstream that is fast at this moment: it is
// no better than the others to them until it has been fast for long.
TEST(Pace, MomentOfSpeedAttractsNothing)
{
    Pace fast, usual;
    int64_t now_us = usual.state(start_us, 100, 20);
    fast.state(start_us, 100, 20);
    now_us += 100 * Sl_US_PER_MS;
    SlPace_OnStated(fast.get(), now_us, 50);
    EXPECT_EQ(fast.factor(now_us), usual.factor(now_us));
    now_us = fast.state(now_us, 50, 60);
    EXPECT_LT(fast.factor(now_us), 0.7);
}

TEST(Pace, MeasuredTimesCountAsFarAsTheyAreCertain)
{
    Pace pace;
    int64_t now_us = start_us;
    SlPace_OnMeasured(pace.get(), now_us, 100000, 140000);
    EXPECT_EQ(pace.factor(now_us), 1); // one time says nothing
    for (int i = 0; i < 40; i++) {
        now_us += 300 * Sl_US_PER_MS;
        SlPace_OnMeasured(pace.get(), now_us, 100000, 140000);
    }
    struct sl_upstream_pace estimate = SlPace_Estimate(pace.get(), now_us);
    EXPECT_NEAR(estimate.factor, 1.4, 0.06);
    EXPECT_LT(estimate.doubt, 0.1);
    EXPECT_EQ(estimate.source, Sl_PACE_MEASURED);
    // What the upstream states counts instead.
    now_us = pace.state(now_us + 1, 100, 10);
    SlPace_OnMeasured(pace.get(), now_us, 100000, 400000);
    EXPECT_EQ(pace.factor(now_us), 1);
}

TEST(Pace, SilenceReturnsToTheUsual)
{
    Pace pace;
    int64_t now_us = pace.state(start_us, 200, 60);
    double last = pace.factor(now_us + Sl_US_PER_S);
    EXPECT_GT(last, 1.8);
    for (int64_t s = 2; s <= 61; s++) {
        double factor = pace.factor(now_us + s * Sl_US_PER_S);
        EXPECT_LE(factor, last) << s;
        last = factor;
    }
    EXPECT_EQ(last, 1);
    EXPECT_EQ(SlPace_Estimate(pace.get(), now_us + 61 * Sl_US_PER_S).source,
              Sl_PACE_UNKNOWN);
}

TEST(Pace, OddFiguresAreIgnoredAndAllAreBounded)
{
    Pace pace;
    for (int64_t percent : {INT64_MIN, (int64_t)-100, (int64_t)0, (int64_t)1,
                            (int64_t)2001, INT64_MAX}) {
        SlPace_OnStated(pace.get(), start_us, percent);
    }
    SlPace_OnMeasured(pace.get(), start_us, 0, 1000);
    SlPace_OnMeasured(pace.get(), start_us, 1000, -1);
    for (uint16_t percent : {0, 5, 65535}) {
        struct sl_gossip_pace odd = report(percent, 0);
        SlPace_OnReport(pace.get(), start_us, &odd);
    }
    struct sl_gossip_pace old = report(200, UINT32_MAX);
    SlPace_OnReport(pace.get(), start_us, &old);
    EXPECT_EQ(SlPace_Estimate(pace.get(), start_us).source, Sl_PACE_UNKNOWN);

    int64_t now_us = pace.state(start_us, 2000, 100);
    EXPECT_EQ(pace.factor(now_us), Sl_PACE_MAX);
    now_us = pace.state(now_us + Sl_US_PER_S, 10, 200);
    EXPECT_GE(pace.factor(now_us), Sl_PACE_MIN);
    EXPECT_LT(pace.factor(now_us), 0.6);
}

TEST(Pace, ResetForgetsAll)
{
    Pace pace;
    int64_t now_us = pace.state(start_us, 300, 20);
    struct sl_gossip_pace told = report(300, 0);
    SlPace_OnReport(pace.get(), now_us + 1, &told);
    SlPace_Reset(pace.get());
    EXPECT_EQ(pace.factor(now_us + 1), 1);
    EXPECT_EQ(SlPace_Estimate(pace.get(), now_us + 1).source, Sl_PACE_UNKNOWN);
    EXPECT_FALSE(SlPace_FillReport(pace.get(), now_us + 1, &told));
}

// ---- peers ----

TEST(Pace, PeersHearOfASpellWithItsAge)
{
    Pace here, there;
    struct sl_gossip_pace told = {};
    SlPace_OnStated(there.get(), start_us - Sl_US_PER_S, 100);
    SlPace_OnStated(here.get(), start_us, 250);
    int64_t now_us = start_us + 100 * Sl_US_PER_MS;
    ASSERT_TRUE(SlPace_FillReport(here.get(), now_us, &told));
    EXPECT_EQ(told.percent, 250);
    EXPECT_EQ(told.age_ms, 100u);
    SlPace_OnReport(there.get(), now_us, &told);
    struct sl_upstream_pace estimate = SlPace_Estimate(there.get(), now_us);
    EXPECT_NEAR(estimate.factor, here.factor(now_us), 0.01);
    EXPECT_EQ(estimate.source, Sl_PACE_REPORTED);
    EXPECT_EQ(estimate.age_us, 100 * Sl_US_PER_MS);
    // A report isn't passed on: peers would hear their own words again.
    now_us += 600 * Sl_US_PER_MS;
    EXPECT_FALSE(SlPace_FillReport(there.get(), now_us, &told));
    EXPECT_FALSE(SlPace_FillReport(here.get(), start_us + Sl_US_PER_S, &told));
}

TEST(Pace, RepeatedAndLateReportsDoNotCount)
{
    Pace pace;
    int64_t now_us = start_us;
    for (uint32_t age_ms = 0; age_ms < 500; age_ms += 10) {
        struct sl_gossip_pace told = report(250, age_ms);
        SlPace_OnReport(pace.get(), now_us + age_ms * Sl_US_PER_MS, &told);
    }
    EXPECT_EQ(pace.factor(now_us + 700 * Sl_US_PER_MS), 1);
    // This router's own newer figure counts more than a late report.
    now_us += Sl_US_PER_S;
    SlPace_OnStated(pace.get(), now_us, 100);
    struct sl_gossip_pace late = report(300, 200);
    SlPace_OnReport(pace.get(), now_us + 10, &late);
    EXPECT_EQ(pace.factor(now_us + 10), 1);
}

// Where no pace is stated, a figure is the time of one request, which says
// little. Several routers' figures of a usual upstream do not add up to a slow
// one.
TEST(Pace, MeasuredReportsCountOnlyInTheMean)
{
    const int64_t took_us[] = {60000, 140000, 80000, 110000, 220000,
                               50000, 90000,  75000, 100000};
    Pace here, there;
    double most = 1;
    int64_t now_us = start_us;
    for (int i = 0; i < 200; i++) {
        struct sl_gossip_pace told;
        now_us += 200 * Sl_US_PER_MS;
        SlPace_OnMeasured(here.get(), now_us, 100000, took_us[i % 9]);
        ASSERT_TRUE(SlPace_FillReport(here.get(), now_us, &told));
        SlPace_OnReport(there.get(), now_us, &told);
        most = std::max(most, there.factor(now_us));
    }
    EXPECT_LT(most, 1.1);
}

// Each of eight routers sees an upstream every 3 s: together they learn that
// it is slow.
TEST(Pace, RoutersLearnTogether)
{
    std::vector<Pace> routers(8);
    int64_t now_us = start_us;
    for (int i = 0; i < 160; i++) {
        now_us += 375 * Sl_US_PER_MS;
        Pace &seer = routers[(size_t)i % routers.size()];
        SlPace_OnStated(seer.get(), now_us, 150);
        for (Pace &router : routers) {
            struct sl_gossip_pace told;
            if (&router != &seer &&
                SlPace_FillReport(seer.get(), now_us, &told)) {
                SlPace_OnReport(router.get(), now_us, &told);
            }
        }
    }
    for (Pace &router : routers) {
        EXPECT_GT(router.factor(now_us + Sl_US_PER_S), 1.4);
    }
}
