// What callers get when engines have more to read than they can: small models
// answer, and a larger one is asked only where its answer would come in time.
#include <gtest/gtest.h>

#include <map>

#include "router_fleet_world.h"

namespace {

const size_t routers = 4;
const int engines = 6;
const int64_t prompt_tokens = 6000;
const int64_t target_us = 2 * Sl_US_PER_S; // of routing_record()
const int64_t deadline_ms = 10000;

// Time to read a prompt's token, us: the largest model takes ten times as long
// as the smallest.
const std::map<std::string, int64_t> us_per_token = {
    {"small", 6}, {"middle", 16}, {"large", 62}};

// An engine reads one prompt after the other.
struct Engine {
    int64_t free_us = 0;
};

struct Outcome {
    int64_t asked = 0;
    int64_t in_time = 0;
    int64_t unsure = 0;        // the smallest model said less than 40
    int64_t unsure_passed = 0; // and its answer was the last
    int64_t refused = 0;
};

// How sure a model is of its answer: a third of the requests are hard, for all
// but the largest.
int
confidence_of(const std::string &request, const std::string &model)
{
    uint64_t hash = SlHash_Bytes(3, view(request));
    bool is_hard = hash % 3 == 0 && model != "large";
    return is_hard ? (int)(hash / 3 % 50) : 60 + (int)(hash / 3 % 40);
}

Outcome
play(double per_s, int64_t seconds)
{
    struct sl_random random = {11};
    std::map<std::string, Engine> upstreams;
    std::map<uint64_t, int64_t> asked_us;
    std::map<std::string, std::string> last_model;
    Outcome outcome;
    Fleet fleet;
    fleet.on_call = [&](const FleetCall &call) {
        FleetResponse answer;
        Engine &engine = upstreams[call.upstream];
        engine.free_us = std::max(engine.free_us, call.at_us) +
                         prompt_tokens * us_per_token.at(call.model);
        answer.after_us = engine.free_us - call.at_us;
        answer.confidence = confidence_of(call.request, call.model);
        last_model[call.request] = call.model;
        return answer;
    };
    fleet.on_reply = [&](uint64_t conn, int status) {
        int64_t took_us = fleet.now() - asked_us.at(conn);
        outcome.in_time += status == 200 && took_us <= target_us ? 1 : 0;
        outcome.refused += status == 503 ? 1 : 0;
    };
    fleet.start(routers, small_bounds());
    fleet.append(Sl_FEED_OPERATORS, "config",
                 routing_record("s", "/", 3, {"small", "middle", "large"}));
    for (int i = 0; i < engines; i++) {
        std::string id = "u" + std::to_string(i);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id, "s", "v1", 64));
    }
    fleet.pass(2000);
    double owed = 0;
    for (int64_t end_us = fleet.now() + seconds * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.pass_step();
        for (owed += per_s * Fleet::step_ms / 1000; owed >= 1; owed--) {
            uint64_t conn = fleet.next_conn();
            asked_us[conn] = fleet.now();
            outcome.asked++;
            fleet.ask(SlRandom_Below(&random, routers), "/x",
                      "s" + std::to_string(conn), deadline_ms, "*",
                      prompt_tokens);
        }
    }
    fleet.pass(deadline_ms);
    for (const auto &entry : last_model) {
        if (confidence_of(entry.first, "small") < 40) {
            outcome.unsure++;
            outcome.unsure_passed += entry.second == "small" ? 1 : 0;
        }
    }
    return outcome;
}

// Half of what the engines can read.
TEST(Overload, HardRequestsGoToLargeModelsWhileThereIsTime)
{
    Outcome outcome = play(18, 20);
    EXPECT_GE(outcome.in_time, outcome.asked * 98 / 100);
    EXPECT_GT(outcome.unsure, outcome.asked / 5);
    EXPECT_LE(outcome.unsure_passed, outcome.unsure / 20);
}

// Twice what the engines can read, with each hard request read by a large
// model; half of it with none.
TEST(Overload, AnswersComeInTimeWhenLargeModelsAreTooSlow)
{
    Outcome outcome = play(80, 20);
    EXPECT_GE(outcome.in_time, outcome.asked * 9 / 10)
        << outcome.in_time << " of " << outcome.asked << " in time, "
        << outcome.unsure_passed << " of " << outcome.unsure
        << " unsure ones passed";
    EXPECT_EQ(outcome.refused, 0);
}

} // namespace
