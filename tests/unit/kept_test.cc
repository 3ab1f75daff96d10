// Kept parts of prompts: what engines are claimed to hold, homes of parts, how
// far estimates are trusted, and what routers tell each other.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <numeric>
#include <vector>

extern "C" {
#include "sl_kept.h"
}

namespace {

using Parts = std::vector<uint64_t>;

const int64_t part_tokens = 1000;
const int64_t memory_tokens = 100 * 1000;

struct sl_kept_prompt
prompt(const Parts &parts, const char *model = "m")
{
    struct sl_kept_prompt result = {};
    for (uint64_t part : parts) {
        result.parts[result.part_count++] = {
            SlKept_Key(part, SlStr_FromC(model)), part_tokens};
        result.tokens += part_tokens;
    }
    return result;
}

// Engines as one router sees them, with a clock.
class Router {
  public:
    int64_t now_us = 1000 * Sl_US_PER_S;
    struct sl_kept_memory memory = {memory_tokens, 0, 1};
    std::unique_ptr<struct sl_kept, void (*)(struct sl_kept *)> kept{
        SlKept_New(), SlKept_Free};
    std::vector<struct sl_kept_engine *> engines;

    explicit Router(size_t count)
    {
        for (size_t i = 0; i < count; i++) {
            std::string name = "engine-" + std::to_string(i);
            engines.push_back(SlKeptEngine_New(
                (uint32_t)SlHash_Bytes(0, {name.data(), name.size()})));
        }
    }

    ~Router()
    {
        for (struct sl_kept_engine *engine : engines) {
            SlKeptEngine_Free(engine);
        }
    }

    void
    send(size_t engine, const Parts &parts)
    {
        struct sl_kept_prompt sent = prompt(parts);
        SlKeptEngine_OnSent(engines[engine], now_us, &sent, &memory);
    }

    struct sl_kept_estimate
    estimate(size_t engine, const Parts &parts, bool is_home = false,
             const char *model = "m") const
    {
        struct sl_kept_prompt asked = prompt(parts, model);
        return SlKept_Estimate(kept.get(), engines[engine], &asked, is_home);
    }

    int64_t
    expected(size_t engine, const Parts &parts) const
    {
        return estimate(engine, parts).expected_tokens;
    }

    // Returns the home of the prompt among the engines but `except`.
    size_t
    home(const Parts &parts, size_t except = SIZE_MAX) const
    {
        struct sl_kept_prompt asked = prompt(parts);
        struct sl_kept_homes homes = {};
        homes.part = SlKeptPrompt_SharedKey(&asked);
        for (size_t i = 0; i < engines.size(); i++) {
            if (i != except) {
                SlKeptHomes_Add(&homes, 7, engines[i]);
            }
        }
        SlKeptHomes_Choose(&homes, kept.get(), now_us);
        for (size_t i = 0; i < engines.size(); i++) {
            if (i != except && SlKeptHomes_Has(&homes, 7, engines[i])) {
                return i;
            }
        }
        return SIZE_MAX;
    }

    // Asks for prompts with the first part, a share of the requests, for this
    // long.
    void
    ask(uint64_t part, double share, double seconds)
    {
        struct sl_random random = {1};
        for (int i = 0; i < (int)(seconds * 20); i++) {
            now_us += Sl_US_PER_S / 20;
            bool is_part = SlRandom_Unit(&random) < share;
            struct sl_kept_prompt asked = prompt(
                {is_part ? part : 1000 + SlRandom_Below(&random, 500), 1});
            SlKept_OnRequest(kept.get(), now_us, &asked);
        }
    }

    size_t
    home_count(uint64_t part)
    {
        return SlKept_Homes(kept.get(), now_us, SlKept_Key(part, Sl_STR("m")),
                            16);
    }

    // A response to a prompt of which parts were claimed or guessed has begun.
    // Prompts are read at 10 us a token, and 40 ms go by anyway.
    void
    respond(size_t engine, const Parts &parts, int64_t read_tokens,
            bool is_home = false)
    {
        struct sl_kept_response response = {
            5, estimate(engine, parts, is_home),
            (int64_t)parts.size() * part_tokens,
            40 * Sl_US_PER_MS + 10 * read_tokens};
        (void)SlKept_OnBegun(kept.get(), engines[engine], &response);
    }

    // Lets the times to read prompts be learned.
    void
    calibrate()
    {
        for (uint64_t i = 0; i < 20; i++) {
            Parts parts(1 + i % 8, 1);
            std::iota(parts.begin(), parts.end(), 100000 + 100 * i);
            respond(0, parts, (int64_t)parts.size() * part_tokens);
        }
    }
};

TEST(KeptEngine, HoldsThePrefixThatWasSent)
{
    Router router(2);
    router.send(0, {1, 2, 3});
    EXPECT_EQ(router.expected(0, {1, 2, 4}), 2 * part_tokens);
    EXPECT_EQ(router.expected(0, {1, 5, 3}), 1 * part_tokens);
    EXPECT_EQ(router.expected(0, {5, 2, 3}), 0);
    EXPECT_EQ(router.expected(1, {1, 2, 3}), 0);
    EXPECT_EQ(router.estimate(0, {1, 2, 3}, false, "other").expected_tokens,
              0);
}

// The least recently used parts yield to what all routers send.
TEST(KeptEngine, PartsYieldAsMemoryFills)
{
    Router router(1);
    router.memory.routers = 10;
    router.memory.held_tokens = memory_tokens / 2;
    router.send(0, {1, 2, 3});
    for (uint64_t i = 0; i < 2; i++) {
        router.send(0, {1, 100 + i});
    }
    EXPECT_EQ(router.expected(0, {1, 2, 4}), 2 * part_tokens);
    for (uint64_t i = 0; i < 3; i++) {
        router.send(0, {1, 200 + i});
    }
    EXPECT_EQ(router.expected(0, {1, 2, 4}), part_tokens * 3 / 2);
    for (uint64_t i = 0; i < 3; i++) {
        router.send(0, {1, 300 + i});
    }
    EXPECT_EQ(router.expected(0, {1, 2, 4}), 1 * part_tokens);
    EXPECT_LE(SlKeptEngine_PartCount(router.engines[0]), 9u);
}

TEST(KeptEngine, UnsizedMemoryIsKeptForAWhile)
{
    Router router(1);
    router.memory.tokens = 0;
    router.send(0, {1, 2});
    for (uint64_t i = 0; i < 1000; i++) {
        router.send(0, {100 + i});
    }
    EXPECT_EQ(router.expected(0, {1, 2}), 2 * part_tokens);
    SlKeptEngine_Expire(router.engines[0], router.now_us + 31 * Sl_US_PER_S);
    EXPECT_EQ(router.expected(0, {1, 2}), 0);
    EXPECT_EQ(SlKeptEngine_PartCount(router.engines[0]), 0u);
}

TEST(KeptEngine, StateIsBounded)
{
    Router router(1);
    router.memory.tokens = 0;
    for (uint64_t i = 0; i < 20000; i++) {
        router.send(0, {1, 100 + i});
    }
    EXPECT_LE(SlKeptEngine_PartCount(router.engines[0]), 4096u);
    EXPECT_EQ(router.expected(0, {1, 20099}), 2 * part_tokens);
}

TEST(KeptEngine, ForgetsWhenItEnds)
{
    Router router(1);
    router.send(0, {1, 2});
    SlKeptEngine_Reset(router.engines[0]);
    EXPECT_EQ(router.expected(0, {1, 2}), 0);
}

// All routers find the same home; when an engine goes, only its parts move.
TEST(KeptHomes, MoveOnlyWithTheirEngine)
{
    Router router(15);
    Router other(15);
    std::map<size_t, int> counts;
    for (uint64_t part = 1; part <= 600; part++) {
        size_t home = router.home({9, part, 1});
        ASSERT_EQ(other.home({9, part, 2}), home);
        size_t without = other.home({9, part, 2}, 3);
        ASSERT_TRUE(home == 3 ? without != 3 : without == home);
        counts[home]++;
    }
    for (const auto &count : counts) {
        EXPECT_GE(count.second, 20);
        EXPECT_LE(count.second, 60);
    }
    EXPECT_EQ(counts.size(), 15u);
}

TEST(KeptHomes, GrowWithTheLoadAndFade)
{
    Router router(1);
    router.ask(7, 0.01, 20);
    EXPECT_EQ(router.home_count(7), 1u);
    router.ask(7, 0.1, 20);
    EXPECT_EQ(router.home_count(7), 2u);
    router.ask(7, 0.4, 20);
    EXPECT_EQ(router.home_count(7), 3u);
    router.ask(7, 0, 20);
    EXPECT_EQ(router.home_count(7), 1u);
}

// A part that has its home there may have been sent by others; the part of the
// request alone can't.
TEST(KeptEstimate, GuessesSharedPartsAtHome)
{
    Router router(1);
    struct sl_kept_estimate estimate = router.estimate(0, {1, 2, 3}, true);
    EXPECT_EQ(estimate.claimed_tokens, 0);
    EXPECT_EQ(estimate.guessed_tokens, 2 * part_tokens);
    EXPECT_GT(estimate.expected_tokens, 0);
    EXPECT_LT(estimate.expected_tokens, 2 * part_tokens);
}

// An engine that has lost its memory silently is trusted less, and again once
// its responses show that it keeps parts.
TEST(KeptEvidence, WrongClaimsLowerTheTrust)
{
    Router router(2);
    const Parts parts = {1, 2, 3, 4};
    router.calibrate();
    for (int i = 0; i < 30; i++) {
        router.send(1, parts);
        router.respond(1, parts, 4 * part_tokens);
    }
    EXPECT_LT(SlKeptEngine_Trust(router.engines[1]), 0.1);
    EXPECT_EQ(SlKeptEngine_Trust(router.engines[0]), 1);
    EXPECT_LT(router.expected(1, parts), part_tokens / 2);
    for (int i = 0; i < 30; i++) {
        router.respond(1, parts, 0);
    }
    EXPECT_GT(SlKeptEngine_Trust(router.engines[1]), 0.9);
}

TEST(KeptEvidence, GuessesFollowTheResponses)
{
    Router router(1);
    const Parts parts = {1, 2, 3};
    router.calibrate();
    for (int i = 0; i < 40; i++) {
        router.respond(0, parts, part_tokens, true);
    }
    EXPECT_GT(SlKept_GuessShare(router.kept.get()), 0.9);
    for (int i = 0; i < 40; i++) {
        router.respond(0, parts, 3 * part_tokens, true);
    }
    EXPECT_LT(SlKept_GuessShare(router.kept.get()), 0.1);
}

// A peer hears of the deepest shared part alone, and knows of those before it.
TEST(KeptReports, TellOfPartsSentAway)
{
    Router sender(2);
    Router receiver(2);
    struct sl_kept_prompt sent = prompt({1, 2, 3});
    struct sl_gossip_kept_part parts[Sl_GOSSIP_MAX_KEPT_PARTS];
    std::map<uint32_t, int> told;
    for (uint32_t i = 0; i < 100; i++) {
        SlKept_OnStray(sender.kept.get(), sender.now_us, 5, 1000 + i);
    }
    SlKept_OnStray(sender.kept.get(), sender.now_us, 6,
                   SlKeptPrompt_SharedKey(&sent));
    sender.now_us += Sl_US_PER_S;
    ASSERT_EQ(SlKept_FillReport(sender.kept.get(), sender.now_us, parts,
                                Sl_GOSSIP_MAX_KEPT_PARTS),
              (size_t)Sl_GOSSIP_MAX_KEPT_PARTS);
    EXPECT_EQ(parts[0].upstream, 6u);
    EXPECT_EQ(parts[0].age_ms, 1000u);
    SlKeptEngine_OnReport(receiver.engines[0], receiver.now_us, &parts[0]);
    EXPECT_EQ(receiver.expected(0, {1, 2, 9}), 2 * part_tokens);
    EXPECT_EQ(receiver.expected(0, {1, 8, 9}), 0);
    // The newest ones are told twice each, then no more.
    for (size_t count = Sl_GOSSIP_MAX_KEPT_PARTS; count > 0;) {
        for (size_t i = 0; i < count; i++) {
            told[parts[i].part]++;
        }
        count = SlKept_FillReport(sender.kept.get(), sender.now_us, parts,
                                  Sl_GOSSIP_MAX_KEPT_PARTS);
    }
    EXPECT_GE(told.size(), 24u);
    for (const auto &part : told) {
        EXPECT_EQ(part.second, 2);
    }
    SlKept_OnStray(sender.kept.get(), sender.now_us, 5, 1);
    EXPECT_EQ(SlKept_FillReport(sender.kept.get(),
                                sender.now_us + 11 * Sl_US_PER_S, parts,
                                Sl_GOSSIP_MAX_KEPT_PARTS),
              0u);
}

} // namespace
