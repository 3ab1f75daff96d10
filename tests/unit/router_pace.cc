// A plain service whose upstreams differ: one has an older machine, and all
// share theirs with work that slows them down for a moment.
#include <gtest/gtest.h>

#include <map>

#include "router_fleet.h"

namespace {

const size_t routers = 9;
const int upstreams = 3;
const size_t slots = 6;
const int64_t run_us = 60 * Sl_US_PER_MS;
const int64_t objective_us = 200 * Sl_US_PER_MS;

// Time that work takes at an upstream, relative to the usual.
using PaceAt = std::function<double(int upstream, int64_t now_us)>;

// Runs `slots` requests at once, the others in order of arrival.
struct Upstream {
    std::vector<int64_t> free_us = std::vector<int64_t>(slots, 0);
    int64_t calls = 0;
    std::multiset<int64_t> ends_us;

    int64_t
    load(int64_t now_us)
    {
        ends_us.erase(ends_us.begin(), ends_us.upper_bound(now_us));
        return (int64_t)ends_us.size();
    }
};

struct Outcome {
    int64_t sent = 0;
    int64_t late = 0; // or not served
    int64_t most_calls = 0;
    int64_t least_calls = INT64_MAX;
};

Outcome
run_load(double per_s, const PaceAt &pace_at, bool states_pace)
{
    struct sl_random random = {5};
    std::map<std::string, Upstream> upstreams_by_id;
    std::map<uint64_t, int64_t> sent_us; // by connection
    Outcome outcome;
    Fleet fleet;
    fleet.encodes_digests = true;
    fleet.on_call = [&](const FleetCall &call) {
        int index = call.upstream.back() - '0';
        Upstream &upstream = upstreams_by_id[call.upstream];
        int64_t &slot = *std::min_element(upstream.free_us.begin(),
                                          upstream.free_us.end());
        int64_t begins_us = std::max(slot, call.at_us);
        slot = begins_us + (int64_t)(pace_at(index, begins_us) * run_us);
        upstream.calls++;
        upstream.ends_us.insert(slot);
        FleetResponse response;
        response.after_us = slot - call.at_us;
        response.pace_percent =
            states_pace ? (int64_t)(100 * pace_at(index, slot)) : 0;
        response.load = [&] { return upstream.load(fleet.now()); };
        return response;
    };
    fleet.on_reply = [&](uint64_t conn, int status) {
        bool in_time =
            status == 200 && fleet.now() - sent_us.at(conn) <= objective_us;
        outcome.late += in_time ? 0 : 1;
    };
    fleet.start(routers, small_bounds());
    fleet.append(Sl_FEED_OPERATORS, "config", routing_record("s", "/", 1));
    for (int i = 0; i < upstreams; i++) {
        std::string id = "u" + std::to_string(i);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id, "s", "v1", slots));
    }
    fleet.advance_ms(2000);
    double requests_due = 0;
    for (int64_t end_us = fleet.now() + 30 * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.advance_step();
        for (requests_due += per_s * Fleet::step_ms / 1000; requests_due >= 1;
             requests_due--) {
            sent_us[fleet.next_conn()] = fleet.now();
            outcome.sent++;
            fleet.send_request(SlRandom_Below(&random, routers), "/x", "",
                               1500);
        }
    }
    fleet.advance_ms(2000);
    for (const auto &entry : upstreams_by_id) {
        outcome.most_calls = std::max(outcome.most_calls, entry.second.calls);
        outcome.least_calls =
            std::min(outcome.least_calls, entry.second.calls);
    }
    return outcome;
}

// 2.5 times the usual time for 0.6 s of every 4 s, by turns.
double
noisy(int upstream, int64_t now_us)
{
    int64_t phase_us = now_us + upstream * 1300 * Sl_US_PER_MS;
    return phase_us % (4 * Sl_US_PER_S) < 600 * Sl_US_PER_MS ? 2.5 : 1;
}

double
uneven(int upstream, int64_t now_us)
{
    return (upstream == 2 ? 1.3 : 1.0) * noisy(upstream, now_us);
}

double
one_slow(int upstream, int64_t now_us)
{
    (void)now_us;
    return upstream == 2 ? 3.0 : 1.0;
}

} // namespace

// Three quarters of what the upstreams can do. All routers hear of a spell,
// and none of them crowds the upstreams without one.
TEST(PaceLoad, SpellsOfNoiseAreAvoided)
{
    Outcome outcome = run_load(170, noisy, true);
    EXPECT_LE(outcome.late, outcome.sent / 100);
    EXPECT_LE(outcome.most_calls, outcome.sent / upstreams * 115 / 100);
}

TEST(PaceLoad, OldMachineWithNoiseGetsLess)
{
    Outcome outcome = run_load(170, uneven, true);
    EXPECT_LE(outcome.late, outcome.sent / 100);
    EXPECT_GE(outcome.least_calls, outcome.sent / upstreams / 2);
}

// Nearly all that the upstreams can do: the slow one still serves its part.
TEST(PaceLoad, SlowUpstreamServesWhatItCan)
{
    Outcome outcome = run_load(205, one_slow, true);
    EXPECT_LE(outcome.late, outcome.sent * 2 / 100);
    EXPECT_GE(outcome.least_calls, outcome.sent / 20);
}

// No figure tells that the upstream is slow.
TEST(PaceLoad, SlowUpstreamIsFoundByItsTimes)
{
    Outcome outcome = run_load(120, one_slow, false);
    EXPECT_LE(outcome.late, outcome.sent / 100);
}
