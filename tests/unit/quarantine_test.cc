// The quarantine: which prompts are blocked by which ends of engines, when
// blocks end, and what routers learn from each other.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

extern "C" {
#include "sl_quarantine.h"
}

namespace {

using Parts = std::vector<uint64_t>;

// Parts of prompts. The first one is in all of them; each prompt has a last
// part of its own.
const uint64_t first = 1;
const uint64_t deadly = 50;
const uint64_t team = 60;

struct sl_prompt_keys
prompt(const Parts &parts, const char *service = "plume")
{
    struct sl_prompt_keys keys;
    SlPromptKeys_Set(&keys, SlStr_FromC(service), parts.data(), parts.size(),
                     Sl_STR("req"));
    return keys;
}

// A router's quarantine, with a clock.
class Router {
  public:
    int64_t now_us = 1000 * Sl_US_PER_S;

    Router() : quarantine(SlQuarantine_New(), SlQuarantine_Free)
    {
    }

    struct sl_quarantine *
    get()
    {
        return quarantine.get();
    }

    void
    advance_s(double seconds)
    {
        now_us += (int64_t)(seconds * (double)Sl_US_PER_S);
        SlQuarantine_Expire(get(), now_us);
    }

    void
    begin(const Parts &parts, const char *service = "plume")
    {
        struct sl_prompt_keys keys = prompt(parts, service);
        SlQuarantine_OnBegun(get(), now_us, &keys);
    }

    // Lets sound calls begin, 10 a second, for this long.
    void
    serve_s(double seconds)
    {
        for (int i = 0; i < (int)(seconds * 10); i++) {
            advance_s(0.1);
            begin({first, 100 + own % 20, ++own});
        }
    }

    // An engine ends under calls with these prompts, which had started or
    // not.
    void
    end(uint32_t engine, const std::vector<Parts> &started,
        const std::vector<Parts> &waiting = {}, const char *service = "plume")
    {
        std::vector<struct sl_unbegun_call> calls;
        for (const Parts &parts : started) {
            calls.push_back({prompt(parts, service), true});
        }
        for (const Parts &parts : waiting) {
            calls.push_back({prompt(parts, service), false});
        }
        const struct sl_ended_engine ended = {
            engine, SlPromptKeys_Service(SlStr_FromC(service)), now_us};
        SlQuarantine_OnEnd(get(), now_us, &ended, calls.data(), calls.size());
    }

    // An engine ends under a call with these parts and one of its own.
    void
    end_by(const Parts &shared)
    {
        Parts parts = shared;
        parts.push_back(++own);
        end((uint32_t)++own, {parts});
    }

    struct sl_quarantine_verdict
    check(const Parts &parts)
    {
        struct sl_prompt_keys keys = prompt(parts);
        return SlQuarantine_Check(get(), &keys);
    }

    // Whether a request with these parts and one of its own is refused.
    bool
    blocks(const Parts &shared)
    {
        Parts parts = shared;
        parts.push_back(++own);
        return check(parts).is_blocked;
    }

    void
    begin_trial(const Parts &parts)
    {
        struct sl_prompt_keys keys = prompt(parts);
        SlQuarantine_BeginTrial(get(), now_us, &keys);
    }

    std::unique_ptr<struct sl_gossip_quarantine>
    report()
    {
        auto report = std::make_unique<struct sl_gossip_quarantine>();
        SlQuarantine_FillReport(get(), now_us, report.get());
        return report;
    }

    // Hears so many reports of the other router.
    void
    hear(Router &other, int reports = 1)
    {
        now_us = std::max(now_us, other.now_us);
        other.now_us = now_us;
        for (int i = 0; i < reports; i++) {
            SlQuarantine_OnReport(get(), now_us, other.report().get());
        }
    }

    // Hears a report of the other router that has taken `latency_s`.
    void
    hear_late(Router &other, double latency_s)
    {
        auto report = other.report();
        now_us = std::max(now_us, other.now_us);
        advance_s(latency_s);
        SlQuarantine_OnReport(get(), now_us, report.get());
    }

    size_t
    block_count()
    {
        size_t count;
        SlQuarantine_Blocks(get(), &count);
        return count;
    }

  private:
    std::unique_ptr<struct sl_quarantine, void (*)(struct sl_quarantine *)>
        quarantine;
    uint64_t own = 1000;
};

// Ends three engines by requests with the deadly part.
void
end_three(Router *router)
{
    for (int i = 0; i < 3; i++) {
        router->advance_s(0.5);
        router->end_by({first, team, deadly});
    }
}

TEST(Quarantine, BlocksAPartThatThreeEnginesEndedBy)
{
    Router router;
    router.serve_s(30);
    for (int i = 0; i < 3; i++) {
        EXPECT_FALSE(router.blocks({first, deadly})) << i;
        router.end_by({first, deadly});
    }
    EXPECT_TRUE(router.blocks({first, deadly}));
    EXPECT_TRUE(router.blocks({deadly, 70}));
    EXPECT_FALSE(router.blocks({first, 100}));
}

// No part is blocked for what requests of another service did.
TEST(Quarantine, TellsServicesApart)
{
    struct sl_prompt_keys here = prompt({first, deadly, 1});
    struct sl_prompt_keys there;
    const uint64_t ids[] = {first, deadly, 1};
    SlPromptKeys_Set(&there, Sl_STR("other"), ids, 3, Sl_STR("req"));
    EXPECT_NE(here.whole, there.whole);
    EXPECT_NE(here.parts[0], there.parts[0]);
    EXPECT_TRUE(SlPromptKeys_IsWhole(here.whole));
    EXPECT_FALSE(SlPromptKeys_IsWhole(here.parts[0]));
}

TEST(Quarantine, RefusesOnlyRequestsWithAllSuspectsOfTheSameEnds)
{
    Router router;
    router.serve_s(30);
    end_three(&router);
    EXPECT_TRUE(router.blocks({first, team, deadly}));
    EXPECT_FALSE(router.blocks({first, team}));
    EXPECT_FALSE(router.blocks({first, deadly}));
}

TEST(Quarantine, AFurtherEndTellsSuspectsApart)
{
    Router router;
    router.serve_s(30);
    end_three(&router);
    router.end_by({first, deadly});
    EXPECT_TRUE(router.blocks({first, deadly}));
    EXPECT_FALSE(router.blocks({first, team}));
}

TEST(Quarantine, ACallThatBeginsTellsSuspectsApart)
{
    Router router;
    router.serve_s(30);
    end_three(&router);
    router.advance_s(0.1);
    router.begin({first, team, 7});
    EXPECT_TRUE(router.blocks({first, deadly}));
    EXPECT_FALSE(router.blocks({first, team}));
}

TEST(Quarantine, NeverBlocksAPartThatBeginsBetweenTheEnds)
{
    Router router;
    router.serve_s(30);
    for (int i = 0; i < 20; i++) {
        router.end_by({first, team});
        router.advance_s(0.1);
        router.begin({first, team, 7});
        EXPECT_FALSE(router.blocks({first, team})) << i;
    }
}

// A part that many sound requests hold, and that turns deadly.
TEST(Quarantine, BlocksACommonPartThatTurnsDeadly)
{
    Router router;
    router.serve_s(30);
    int ends = 0;
    for (; ends < 12 && !router.blocks({first, 100}); ends++) {
        router.end_by({first, 100});
        for (uint64_t i = 0; i < 5; i++) {
            router.advance_s(0.1);
            router.begin({first, 101 + i, 7});
        }
    }
    EXPECT_TRUE(router.blocks({first, 100}));
    EXPECT_LE(ends, 8);
    EXPECT_FALSE(router.blocks({first, 101}));
}

TEST(Quarantine, BlocksEachOfSeveralDeadlyParts)
{
    Router router;
    router.serve_s(30);
    int ends = 0;
    for (; ends < 18; ends++) {
        uint64_t part = deadly + (uint64_t)(ends % 3);
        if (!router.blocks({first, part})) {
            router.end_by({first, part});
        }
        router.serve_s(0.3);
    }
    for (uint64_t part = deadly; part < deadly + 3; part++) {
        EXPECT_TRUE(router.blocks({first, part})) << part;
    }
    EXPECT_FALSE(router.blocks({first, 100}));
}

// All engines of a service end, for another reason than their requests, while
// another service begins most of the calls.
TEST(Quarantine, BlocksNothingWhenAllEnginesOfARareServiceEnd)
{
    for (double gap_s : {0.0, 0.2, 0.5, 1.0}) {
        Router router;
        uint64_t own = 10000;
        for (int i = 0; i < 60; i++) {
            router.serve_s(0.5);
            router.begin({7, 70 + own % 10, ++own}, "rare");
        }
        router.serve_s(1.5);
        for (uint32_t engine = 1; engine <= 8; engine++) {
            router.end(engine, {{7, 70 + own % 10, ++own}}, {}, "rare");
            router.serve_s(gap_s);
        }
        EXPECT_EQ(router.block_count(), 0u) << gap_s << " s apart";
    }
}

// 40 engines end at once, for another reason than their requests: with calls
// that wait and hold parts which have not begun yet, some of them in a fifth
// of the calls, and a few that had started, of which three hold the same part.
TEST(Quarantine, BlocksNothingWhenManyEnginesEndAtOnce)
{
    Router router;
    router.serve_s(30);
    for (uint32_t engine = 1; engine <= 40; engine++) {
        std::vector<Parts> started;
        if (engine % 4 == 0) {
            uint64_t part = engine % 12 == 0 ? 400 : 400 + engine;
            started.push_back({first, part, 4000 + engine});
        }
        router.end(engine, started,
                   {{first, 200 + engine % 13, 2000 + engine},
                    {first, 300 + engine % 5, 3000 + engine}});
    }
    router.advance_s(0.3);
    router.end(41, {{first, 300, 3041}}, {{first, 301, 3042}});
    EXPECT_EQ(router.block_count(), 0u);
}

// Engines end by their load: one after the other, with the same parts among
// the calls that wait at each, until such calls begin again.
TEST(Quarantine, BlocksNothingThatBeginsAgainAfterAnOverload)
{
    Router router;
    router.serve_s(30);
    for (uint32_t engine = 1; engine <= 6; engine++) {
        router.end(engine, {},
                   {{first, 100, engine}, {first, 101, engine + 10}});
        router.serve_s(0.3);
    }
    EXPECT_EQ(router.block_count(), 0u);
}

// Engines end by their load, and calls with two common parts wait at each,
// while other calls begin.
TEST(Quarantine, BlocksNoCommonPartThatWaitsInAnOverload)
{
    Router router;
    router.serve_s(30);
    for (uint32_t engine = 1; engine <= 5; engine++) {
        router.end(engine, {},
                   {{first, 100, engine}, {first, 101, engine + 10}});
        for (uint64_t i = 0; i < 3; i++) {
            router.advance_s(0.1);
            router.begin({first, 110 + i, 7});
        }
    }
    EXPECT_EQ(router.block_count(), 0u);
}

// Parts that go with a part that is blocked: its block explains their ends.
TEST(Quarantine, DoesNotBlockWhatABlockedPartExplains)
{
    Router router;
    router.serve_s(30);
    for (uint64_t i = 0; i < 3; i++) {
        router.end_by({first, 200 + i, deadly});
    }
    ASSERT_TRUE(router.blocks({first, deadly}));
    for (int i = 0; i < 5; i++) {
        router.end_by({first, team, deadly});
        router.advance_s(0.3);
    }
    EXPECT_FALSE(router.blocks({first, team}));
}

// An engine that ends before it has sent the head of the response.
TEST(Quarantine, BlocksAPartWhoseCallsNeverStart)
{
    Router router;
    router.serve_s(30);
    int ends = 0;
    for (; ends < 8 && !router.blocks({first, deadly}); ends++) {
        router.end((uint32_t)(600 + ends), {},
                   {{first, deadly, 7000 + (uint64_t)ends}});
        router.serve_s(0.5);
    }
    EXPECT_TRUE(router.blocks({first, deadly}));
    EXPECT_LE(ends, 4);
}

TEST(Quarantine, BlocksADeadlyPartAmongEndsOfOtherCauses)
{
    Router router;
    router.serve_s(30);
    int ends = 0;
    for (; ends < 12 && !router.blocks({first, deadly}); ends++) {
        router.end((uint32_t)(7000 + ends), {});
        router.end((uint32_t)(8000 + ends),
                   {{first, 200 + (uint64_t)ends, 5}});
        router.end_by({first, deadly});
        router.serve_s(0.5);
    }
    EXPECT_TRUE(router.blocks({first, deadly}));
    EXPECT_LE(ends, 6);
}

// Without calls that begin there is nothing to compare with.
TEST(Quarantine, BlocksNothingWhileNoCallBegins)
{
    Router router;
    for (int i = 0; i < 30; i++) {
        router.advance_s(0.2);
        router.end_by({first, 100});
    }
    EXPECT_FALSE(router.blocks({first, 100}));
}

TEST(Quarantine, APromptThatEndedTwoEnginesIsNotSentToAThird)
{
    Router router;
    router.serve_s(30);
    router.end(1, {{first, deadly, 7}});
    EXPECT_FALSE(router.check({first, deadly, 7}).is_blocked);
    router.end(2, {{first, deadly, 7}});
    EXPECT_TRUE(router.check({first, deadly, 7}).is_blocked);
    EXPECT_FALSE(router.check({first, deadly, 8}).is_blocked);
    router.advance_s(31);
    EXPECT_FALSE(router.check({first, deadly, 7}).is_blocked);
}

// Calls of several routers break at one end.
TEST(Quarantine, CountsAnEndOnceThatTwoRoutersSaw)
{
    Router one, two;
    one.serve_s(30);
    two.serve_s(30);
    for (uint32_t engine = 1; engine <= 2; engine++) {
        one.end(engine, {{first, deadly, 2000 + engine}});
        two.end(engine, {{first, deadly, 3000 + engine}});
        one.hear(two);
        two.hear(one);
    }
    EXPECT_FALSE(one.blocks({first, deadly}));
    one.end(3, {{first, deadly, 2003}});
    EXPECT_TRUE(one.blocks({first, deadly}));
}

/* ---- trials ---- */

TEST(Quarantine, ATrialIsDueAfterATimeThatDoubles)
{
    Router router;
    router.serve_s(30);
    end_three(&router);
    int64_t wait_us = 30 * Sl_US_PER_S;
    for (int trial = 0; trial < 4; trial++) {
        struct sl_quarantine_verdict verdict =
            router.check({first, team, deadly, 7});
        EXPECT_EQ(verdict.trial_due_us - router.now_us, wait_us) << trial;
        router.now_us = verdict.trial_due_us;
        router.begin_trial({first, team, deadly, 7});
        EXPECT_GT(router.check({first, team, deadly, 8}).trial_due_us,
                  router.now_us);
        router.advance_s(1);
        router.end_by({first, team, deadly});
        wait_us *= 2;
    }
}

TEST(Quarantine, ATrialThatBeginsLiftsTheBlock)
{
    Router router;
    router.serve_s(30);
    end_three(&router);
    router.advance_s(31);
    router.begin_trial({first, team, deadly, 7});
    router.advance_s(1);
    EXPECT_TRUE(router.blocks({first, team, deadly}));
    router.begin({first, team, deadly, 7});
    EXPECT_FALSE(router.blocks({first, team, deadly}));
}

TEST(Quarantine, DropsABlockThatNobodyAsksFor)
{
    Router router;
    router.serve_s(30);
    end_three(&router);
    router.advance_s(600);
    EXPECT_EQ(router.block_count(), 1u);
    router.advance_s(31);
    EXPECT_EQ(router.block_count(), 0u);
}

TEST(Quarantine, ForgetsOldEnds)
{
    Router router;
    router.serve_s(30);
    router.end_by({first, deadly});
    router.end_by({first, deadly});
    router.advance_s(601);
    router.serve_s(30);
    router.end_by({first, deadly});
    EXPECT_FALSE(router.blocks({first, deadly}));
}

/* ---- reports ---- */

// Each router sees one end.
TEST(Quarantine, BlocksByTheEndsThatSeveralRoutersSaw)
{
    std::vector<Router> routers(4);
    for (size_t i = 0; i < routers.size(); i++) {
        routers[i].serve_s(30);
        routers[i].end((uint32_t)i, {{first, deadly, 7000 + i}});
    }
    for (size_t i = 1; i < routers.size(); i++) {
        routers[i].hear(routers[i - 1]);
    }
    EXPECT_TRUE(routers[3].blocks({first, deadly}));
    EXPECT_FALSE(routers[0].blocks({first, deadly}));
    routers[0].hear(routers[3]);
    EXPECT_TRUE(routers[0].blocks({first, deadly}));
}

// It has not seen an end, nor a call that begins.
TEST(Quarantine, ARouterThatJoinsLateTakesOverTheBlocks)
{
    Router old, late;
    old.serve_s(30);
    end_three(&old);
    old.advance_s(20);
    late.hear(old);
    EXPECT_TRUE(late.blocks({first, team, deadly}));
    EXPECT_EQ(late.check({first, team, deadly, 7}).trial_due_us,
              old.check({first, team, deadly, 7}).trial_due_us);
}

// A part is rare at one router and common at another one.
TEST(Quarantine, DoesNotBlockWhatBeginsAtOtherRouters)
{
    Router one, two;
    for (int i = 0; i < 8; i++) {
        one.serve_s(1);
        two.serve_s(1);
        one.end_by({first, team});
        two.hear(one, 2);
        two.advance_s(0.1);
        two.begin({first, team, 7});
        one.hear(two, 2);
        EXPECT_FALSE(one.blocks({first, team})) << i;
    }
}

// An old report of a router that has not heard of the release.
TEST(Quarantine, ALateReportDoesNotBringABlockBack)
{
    Router one, two;
    one.serve_s(30);
    two.serve_s(30);
    end_three(&one);
    two.hear(one, 3);
    ASSERT_TRUE(two.blocks({first, team, deadly}));
    one.advance_s(0.1);
    one.begin({first, team, deadly, 7});
    ASSERT_FALSE(one.blocks({first, team, deadly}));
    one.hear(two, 3);
    EXPECT_FALSE(one.blocks({first, team, deadly}));
    two.hear(one, 3);
    EXPECT_FALSE(two.blocks({first, team, deadly}));
}

// Times in reports are off by the time that these take, which adds up when
// routers hear their own news again from others.
TEST(Quarantine, LatencyOfReportsDoesNotPutATrialOff)
{
    Router one, two;
    one.serve_s(30);
    two.serve_s(30);
    end_three(&one);
    int64_t due_us = one.check({first, team, deadly, 7}).trial_due_us;
    for (int i = 0; i < 300; i++) {
        two.hear_late(one, 0.05);
        one.hear_late(two, 0.05);
    }
    EXPECT_EQ(one.check({first, team, deadly, 7}).trial_due_us, due_us);
    EXPECT_LE(two.check({first, team, deadly, 7}).trial_due_us,
              due_us + 2 * Sl_US_PER_S);
}

TEST(Quarantine, ALateReportDoesNotOutlastARelease)
{
    Router one, two;
    one.serve_s(30);
    two.serve_s(30);
    end_three(&one);
    two.hear_late(one, 0.2);
    one.now_us = two.now_us;
    one.advance_s(0.1);
    one.begin({first, team, deadly, 7});
    for (int i = 0; i < 5; i++) {
        one.hear_late(two, 0.4);
        two.hear_late(one, 0.4);
    }
    EXPECT_FALSE(one.blocks({first, team, deadly}));
    EXPECT_FALSE(two.blocks({first, team, deadly}));
}

// Routers that drop a block hear of it again from others, which drop it a
// little later.
TEST(Quarantine, ABlockThatExpiresDoesNotComeBack)
{
    Router one, two;
    one.serve_s(30);
    two.serve_s(30);
    end_three(&one);
    one.end(1, {{first, 8, 7}});
    one.end(2, {{first, 8, 7}});
    for (int i = 0; i < 1300; i++) {
        two.hear_late(one, 0.25);
        one.hear_late(two, 0.25);
    }
    EXPECT_EQ(one.block_count(), 0u);
    EXPECT_EQ(two.block_count(), 0u);
}

TEST(Quarantine, ReportsMoreBlocksThanFitInTurn)
{
    Router one, two;
    for (uint64_t part = deadly; part < deadly + 10; part++) {
        one.serve_s(30);
        for (int i = 0; i < 4; i++) {
            one.end_by({first, part});
        }
    }
    ASSERT_EQ(one.block_count(), 10u);
    two.hear(one, 3);
    EXPECT_EQ(two.block_count(), 10u);
}

// A peer's clock or memory is broken.
TEST(Quarantine, BoundsWhatReportsMayAsk)
{
    Router router;
    auto report = std::make_unique<struct sl_gossip_quarantine>();
    report->block_count = 1;
    report->blocks[0] = {0, UINT32_MAX, UINT32_MAX, 1, {44}};
    SlQuarantine_OnReport(router.get(), router.now_us, report.get());
    size_t count;
    const struct sl_quarantine_block *blocks =
        SlQuarantine_Blocks(router.get(), &count);
    ASSERT_EQ(count, 1u);
    EXPECT_LE(blocks[0].trial_due_us - router.now_us, 32 * 60 * Sl_US_PER_S);
}

/* ---- bounds ---- */

// Clients that make engines end by ever new parts do not grow the state, and
// do not bring others' blocks to an end before new ones.
TEST(Quarantine, StateIsBounded)
{
    Router router;
    router.serve_s(30);
    for (uint64_t part = 0; part < 2000; part++) {
        for (int i = 0; i < 3; i++) {
            router.end_by({first, 100000 + part});
        }
        router.begin({first, 200000 + part, 300000 + part, 7});
        router.advance_s(0.01);
    }
    EXPECT_LE(router.block_count(), 32u);
    EXPECT_TRUE(router.blocks({first, 101999}));
}

} // namespace
