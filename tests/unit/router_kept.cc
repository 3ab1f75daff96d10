// Placement by what engines have kept of prompts, over a fleet of routers:
// when callers get the first event, and how many tokens engines read. The
// engines here keep parts as the operators state: a part counts only if all
// before it are kept, and the least recently used ones yield. "Unsized" fleets
// don't know the engines' memory, and place requests as if nothing were told
// between routers.
#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <numeric>

#include "router_fleet.h"

namespace {

const size_t router_count = 6;
const size_t engine_count = 12;
const int64_t part_tokens = 2000;
const int64_t read_us_per_token = 20;
const int64_t base_us = 30 * Sl_US_PER_MS;
const int64_t run_us = 300 * Sl_US_PER_MS;
const int64_t large_memory = 1000 * 1000;

class Engine {
  public:
    int64_t memory_tokens = 0;
    int64_t busy_until_us = 0;

    // Returns the tokens of the prompt that it has to read, and keeps them.
    int64_t
    read(const std::vector<uint64_t> &parts)
    {
        size_t kept = 0;
        while (kept < parts.size() && std::find(by_age.begin(), by_age.end(),
                                                parts[kept]) != by_age.end()) {
            kept++;
        }
        for (uint64_t part : parts) {
            by_age.remove(part);
            by_age.push_back(part);
        }
        while ((int64_t)by_age.size() * part_tokens > memory_tokens) {
            by_age.pop_front();
        }
        return (int64_t)(parts.size() - kept) * part_tokens;
    }

    void
    forget()
    {
        by_age.clear();
    }

  private:
    std::list<uint64_t> by_age; // least recently used first
};

struct Outcome {
    std::vector<int64_t> first_us; // times to the first event, sorted
    int64_t shared_read = 0;       // tokens of shared parts that were read
    int64_t shared_read_late = 0;  // in the second half
    std::map<std::string, int> calls;

    int64_t
    mean_us() const
    {
        return std::accumulate(first_us.begin(), first_us.end(), (int64_t)0) /
               (int64_t)first_us.size();
    }

    int
    busiest() const
    {
        int most = 0;
        for (const auto &engine : calls) {
            most = std::max(most, engine.second);
        }
        return most;
    }

    int64_t
    p99_us() const
    {
        return first_us[first_us.size() * 99 / 100];
    }
};

struct Load {
    bool is_sized = true;
    int64_t memory_tokens = large_memory;
    uint64_t subjects = 150; // 0: prompts share nothing
    double hot_share = 0;    // of requests for one subject, in the first half
    int per_second = 100;
    int seconds = 20;
    // Called once the half is over.
    std::function<void(std::vector<Engine> &, Fleet &)> at_half;
    // Called at each call.
    std::function<void(Engine &)> before_read = [](Engine &) {};
};

std::vector<uint64_t>
parts_of(const Load &load, struct sl_random *random, bool is_early,
         uint64_t own)
{
    if (load.subjects == 0) {
        return {own};
    }
    bool is_hot = is_early && SlRandom_Unit(random) < load.hot_share;
    uint64_t subject =
        is_hot ? 0 : SlRandom_Below(random, (uint32_t)load.subjects);
    return {1, 100 + subject, own};
}

Outcome
play(const Load &load)
{
    Outcome outcome;
    Fleet fleet;
    std::vector<Engine> engines(engine_count);
    struct sl_random random = {7};
    fleet.encodes_digests = true;
    bool is_late = false;
    int answered = 0;
    fleet.on_reply = [&](uint64_t, int status) {
        answered += status == 200 ? 1 : 0;
    };
    fleet.on_call = [&](const FleetCall &call) {
        Engine &engine = engines[std::stoul(call.upstream.substr(1))];
        load.before_read(engine);
        int64_t tokens = engine.read(call.parts);
        int64_t shared = std::max(tokens - part_tokens, (int64_t)0);
        engine.busy_until_us = std::max(engine.busy_until_us, call.at_us) +
                               read_us_per_token * tokens;
        FleetResponse response;
        response.after_us = engine.busy_until_us + base_us - call.at_us;
        response.run_us = run_us;
        outcome.first_us.push_back(response.after_us);
        outcome.shared_read += shared;
        outcome.shared_read_late += is_late ? shared : 0;
        outcome.calls[call.upstream]++;
        return response;
    };
    fleet.start(router_count, small_bounds());
    fleet.append(Sl_FEED_OPERATORS, "config",
                 routing_record("s", "/", 3, {"m"}, 0,
                                load.is_sized ? load.memory_tokens : 0));
    const char *const domains[] = {"brest", "quimper", "vannes"};
    for (size_t i = 0; i < engine_count; i++) {
        std::string id = "u" + std::to_string(i);
        struct sl_record record = upstream_record(id, "s", "v1", 64);
        record.u.upstream.domain = SlName_Of(domains[i % 3]);
        fleet.append(Sl_FEED_UPSTREAMS, id, record);
        engines[i].memory_tokens = load.memory_tokens;
    }
    fleet.advance_ms(3000);
    int count = load.per_second * load.seconds;
    for (int i = 0; i < count; i++) {
        if (i == count / 2) {
            is_late = true;
            if (load.at_half) {
                load.at_half(engines, fleet);
            }
        }
        fleet.advance_ms(1000 / load.per_second / Fleet::step_ms *
                         Fleet::step_ms);
        fleet.send_prompt(SlRandom_Below(&random, router_count), "/x", "",
                          9000, parts_of(load, &random, !is_late, 1000 + i),
                          "m", part_tokens);
    }
    fleet.advance_ms(3000);
    EXPECT_EQ(answered, count);
    std::sort(outcome.first_us.begin(), outcome.first_us.end());
    return outcome;
}

Outcome
play_unsized(Load load)
{
    load.is_sized = false;
    return play(load);
}

// Time to read one part and some.
const int64_t margin_us = 25 * Sl_US_PER_MS;

// Expects that with the engines' memory known, they read no more than this
// share of the shared tokens in the second half, and callers don't wait
// longer. Returns the outcomes with and without.
std::pair<Outcome, Outcome>
expect_gain(const Load &load, double read_share)
{
    Outcome sized = play(load);
    Outcome plain = play_unsized(load);
    EXPECT_LT((double)sized.shared_read_late,
              read_share * (double)plain.shared_read_late);
    EXPECT_LT(sized.mean_us(), plain.mean_us());
    EXPECT_LE(sized.p99_us(), plain.p99_us() + margin_us);
    return {sized, plain};
}

TEST(RouterKept, SharedPartsAreReadOnceAtTheirHomes)
{
    auto [sized, plain] = expect_gain(Load(), 0.5);
    EXPECT_LT(sized.shared_read * 3, plain.shared_read * 2);
}

// Prompts that share nothing are placed as before.
TEST(RouterKept, WithoutSharedPartsNothingChanges)
{
    Load load;
    load.subjects = 0;
    Outcome sized = play(load);
    Outcome plain = play_unsized(load);
    EXPECT_EQ(sized.first_us, plain.first_us);
    EXPECT_EQ(sized.calls, plain.calls);
}

// A part that most prompts share for a time doesn't overload its home, and
// leaves no trace.
TEST(RouterKept, HotPartIsSpread)
{
    Load load;
    load.hot_share = 0.7;
    auto [sized, plain] = expect_gain(load, 0.66);
    EXPECT_LT(sized.shared_read, plain.shared_read);
    EXPECT_LE(sized.p99_us(), plain.p99_us());
}

// Engines that hold a few parts only: callers hardly wait for what is gone.
TEST(RouterKept, MemoryPressure)
{
    Load load;
    load.memory_tokens = 6 * part_tokens;
    load.subjects = 400;
    Outcome sized = play(load);
    Outcome plain = play_unsized(load);
    EXPECT_LE((double)sized.mean_us(), 1.15 * (double)plain.mean_us());
    EXPECT_LE((double)sized.p99_us(), 1.2 * (double)plain.p99_us());
}

// Half of a failure domain's engines end: their parts spread over the others,
// which aren't overrun.
TEST(RouterKept, EnginesEnd)
{
    Load load;
    load.at_half = [](std::vector<Engine> &, Fleet &fleet) {
        fleet.end_upstream("u0");
        fleet.end_upstream("u3");
    };
    auto [sized, plain] = expect_gain(load, 0.66);
    EXPECT_LE((double)sized.busiest(), 1.2 * (double)plain.busiest());
}

// All engines lose their memory without telling. Their homes read the parts
// once more.
TEST(RouterKept, SilentLoss)
{
    Load load;
    Outcome whole = play(load);
    load.at_half = [](std::vector<Engine> &engines, Fleet &) {
        for (Engine &engine : engines) {
            engine.forget();
        }
    };
    Outcome lost = play(load);
    Outcome plain = play_unsized(load);
    EXPECT_GT(lost.shared_read_late, whole.shared_read_late);
    EXPECT_LT(lost.shared_read_late, plain.shared_read_late);
    EXPECT_LT(lost.mean_us(), plain.mean_us());
}

// Routers that hear nothing of each other's half still find the same homes.
TEST(RouterKept, RoutersThatSeeDifferentHalves)
{
    Load load;
    load.at_half = [](std::vector<Engine> &, Fleet &fleet) {
        fleet.is_delivered = [](size_t from, size_t to) {
            return from % 2 == to % 2;
        };
    };
    expect_gain(load, 0.5);
}

// The estimate is wrong all the time: engines keep nothing. Callers lose half
// the time to read the shared parts at most.
TEST(RouterKept, WrongEstimatesCostLittle)
{
    for (int per_second : {20, 60, 100}) {
        Load load;
        load.per_second = per_second;
        load.before_read = [](Engine &engine) { engine.forget(); };
        Outcome sized = play(load);
        Outcome plain = play_unsized(load);
        EXPECT_LE(sized.mean_us(),
                  plain.mean_us() + read_us_per_token * part_tokens)
            << per_second;
    }
}

} // namespace
