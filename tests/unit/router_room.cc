// Routers that count the memory of engines as room: engines hold no more than
// their memory, long prompts get their turn, and short ones do not wait for
// them.
#include <gtest/gtest.h>

#include <map>

#include "router_fleet.h"

namespace {

const int64_t memory_tokens = 572085;
const int64_t slots = 128;
const int64_t long_tokens = 54600;
const int64_t short_tokens = 826;
const int64_t deadline_ms = 8000;

class RouterRoom : public testing::Test {
  protected:
    struct held_request {
        int64_t until_us;
        int64_t tokens;
    };
    Fleet fleet;
    int64_t run_us = 1500 * Sl_US_PER_MS;
    std::map<std::string, std::vector<held_request>> held; // by engine
    std::map<std::string, int64_t> tokens_of;              // by request
    std::map<uint64_t, int64_t> sent_us;                   // by connection
    std::map<uint64_t, int64_t> waits_us; // until a call, by connection
    std::map<uint64_t, int> statuses;
    std::map<uint64_t, std::string> refusals;
    int64_t most_held = 0; // by one engine

    void
    start(size_t routers, int engines, bool guards_memory,
          int64_t memory = memory_tokens)
    {
        fleet.guards_memory = guards_memory;
        fleet.on_call = [this](const FleetCall &call) {
            FleetResponse response;
            response.after_us = 20 * Sl_US_PER_MS;
            response.run_us = run_us;
            add_held(call);
            uint64_t conn = std::stoull(call.request.substr(1));
            waits_us[conn] = call.at_us - sent_us[conn];
            return response;
        };
        fleet.on_reply = [this](uint64_t conn, int status) {
            statuses[conn] = status;
        };
        fleet.on_refusal = [this](uint64_t conn, const std::string &reason) {
            refusals[conn] = reason;
        };
        fleet.start(routers, small_bounds());
        fleet.append(Sl_FEED_OPERATORS, "config",
                     routing_record("s", "/", 1, {"m"}, 0, memory));
        for (int i = 0; i < engines; i++) {
            add_engine("u" + std::to_string(i), 1);
        }
        fleet.advance_ms(3000);
    }

    void
    add_engine(const std::string &id, uint64_t start)
    {
        struct sl_record record = upstream_record(id, "s", "v1", slots);
        record.u.upstream.start_wall_ms = (int64_t)start;
        fleet.append(Sl_FEED_UPSTREAMS, id, record);
    }

    // The engine holds the request's tokens until the end of its run.
    void
    add_held(const FleetCall &call)
    {
        auto &there = held[call.upstream];
        int64_t sum = tokens_of[call.request];
        for (size_t i = 0; i < there.size();) {
            if (there[i].until_us <= call.at_us) {
                there[i] = there.back();
                there.pop_back();
            }
            else {
                sum += there[i++].tokens;
            }
        }
        there.push_back({call.at_us + 20 * Sl_US_PER_MS + run_us,
                         tokens_of[call.request]});
        most_held = std::max(most_held, sum);
    }

    uint64_t
    send(size_t router, int64_t tokens)
    {
        uint64_t conn = fleet.next_conn();
        tokens_of["r" + std::to_string(conn)] = tokens;
        sent_us[conn] = fleet.now();
        fleet.send_request(router, "/x", "", deadline_ms, "m", tokens);
        return conn;
    }

    // Sends one long prompt from each router at once, again and again, among
    // short ones.
    void
    run_bursts(int bursts, int64_t pause_ms)
    {
        for (int i = 0; i < bursts; i++) {
            for (size_t router = 0; router < fleet.size(); router++) {
                send(router, long_tokens);
            }
            for (int64_t ms = 0; ms < pause_ms; ms += Fleet::step_ms) {
                send((size_t)(ms / Fleet::step_ms) % fleet.size(),
                     short_tokens);
                fleet.advance_step();
            }
        }
        fleet.advance_ms(deadline_ms);
    }

    // Number of requests with that many tokens that got the status.
    int
    count(int64_t tokens, int status) const
    {
        int found = 0;
        for (const auto &entry : statuses) {
            found += entry.second == status &&
                             tokens_of.at("r" + std::to_string(entry.first)) ==
                                 tokens
                         ? 1
                         : 0;
        }
        return found;
    }

    int64_t
    longest_wait_us(int64_t tokens) const
    {
        int64_t longest = 0;
        for (const auto &entry : waits_us) {
            if (tokens_of.at("r" + std::to_string(entry.first)) == tokens) {
                longest = std::max(longest, entry.second);
            }
        }
        return longest;
    }
};

// 24 routers that send at once exceed the memory of one engine if they do not
// count it.
TEST_F(RouterRoom, MemoryIsExceededIfNotGuarded)
{
    start(24, 1, false);
    run_bursts(1, 1000);
    EXPECT_GT(most_held, 2 * memory_tokens);
}

TEST_F(RouterRoom, MemoryOfOneEngineIsNeverExceeded)
{
    start(24, 1, true);
    run_bursts(1, 1000);
    EXPECT_LE(most_held, memory_tokens);
    EXPECT_GT(count(long_tokens, 200), 0);
    EXPECT_EQ(statuses.size(), sent_us.size());
}

TEST_F(RouterRoom, BurstsOfLongPromptsAreServed)
{
    start(24, 12, true);
    run_bursts(6, 1000);
    EXPECT_LE(most_held, memory_tokens);
    EXPECT_EQ(longest_wait_us(short_tokens), 0);
    EXPECT_EQ(count(short_tokens, 200), 1200);
    EXPECT_EQ(count(long_tokens, 200), 144);
}

// Short requests take all room that becomes free; the long one gets an engine
// nevertheless.
TEST_F(RouterRoom, LongPromptIsNotStarved)
{
    const int64_t memory = 40000;
    start(4, 2, true, memory);
    uint64_t conn = 0;
    for (int step = 0; step < 1200; step++) {
        send((size_t)step % 4, 400); // 300 at a time, 120,000 tokens
        if (step == 400) {
            conn = send(0, 30000);
        }
        fleet.advance_step();
    }
    fleet.advance_ms(deadline_ms);
    EXPECT_EQ(statuses[conn], 200);
    // The patience, the turns of the routers for each engine, the time until
    // the peers have heard, and the longest run.
    EXPECT_LE(waits_us[conn],
              (500 + 2 * 1000 + 1000 + 100) * Sl_US_PER_MS + run_us);
    EXPECT_LE(most_held, memory);
}

TEST_F(RouterRoom, RequestAboveTheMemoryIsRefusedAtOnce)
{
    start(2, 2, true);
    uint64_t conn = send(0, memory_tokens + 1);
    fleet.advance_step();
    EXPECT_EQ(statuses[conn], 503);
    EXPECT_EQ(refusals[conn],
              "the request exceeds the memory of every upstream");
    uint64_t other = send(0, memory_tokens);
    fleet.advance_ms(5000);
    EXPECT_EQ(statuses[other], 200);
}

// What a router that is silent for five gossip intervals held counts no more.
TEST_F(RouterRoom, SilentRouterStopsCounting)
{
    start(2, 1, true);
    run_us = 20 * Sl_US_PER_S;
    send(0, memory_tokens * 6 / 10);
    fleet.advance_ms(3000); // sent in a turn or when room is kept
    ASSERT_EQ(waits_us.size(), 1u);
    uint64_t waiting = send(1, memory_tokens * 6 / 10);
    fleet.is_delivered = [](size_t, size_t) { return false; };
    fleet.advance_ms(2000);
    EXPECT_EQ(waits_us.count(waiting), 0u);
    fleet.advance_ms(1500);
    EXPECT_EQ(waits_us.count(waiting), 1u);
}

TEST_F(RouterRoom, RestartedEngineHasRoom)
{
    start(1, 1, true);
    run_us = 5 * Sl_US_PER_S;
    send(0, memory_tokens);
    fleet.advance_ms(100);
    uint64_t waiting = send(0, memory_tokens);
    fleet.advance_ms(100);
    EXPECT_EQ(waits_us.count(waiting), 0u);
    add_engine("u0", 2);
    fleet.advance_ms(100);
    EXPECT_EQ(waits_us.count(waiting), 1u);
}

} // namespace
