// Rate of requests of a whole fleet to a cold upstream, also while some
// routers are cut off from the others but still reach the upstream.
#include <gtest/gtest.h>

#include "router_fleet_world.h"

namespace {

const int64_t cut_after_us = 5 * Sl_US_PER_S;
const int64_t seconds = 12;

// Returns the largest number of calls within one second, with more requests
// waiting than may be sent.
double
most_in_a_second(size_t routers, double cold_requests_per_s,
                 const std::function<bool(size_t, size_t)> &hears)
{
    struct sl_random random = {3};
    std::vector<int64_t> calls;
    Fleet fleet;
    int64_t cut_us = fleet.now() + cut_after_us;
    fleet.hears = [&](size_t from, size_t to) {
        return fleet.now() < cut_us || hears(from, to);
    };
    fleet.on_call = [&](const FleetCall &call) {
        FleetResponse answer;
        answer.after_us = 10 * Sl_US_PER_MS;
        calls.push_back(call.at_us);
        return answer;
    };
    fleet.start(routers, small_bounds());
    fleet.append(Sl_FEED_OPERATORS, "config",
                 routing_record("s", "/", 3, {}, cold_requests_per_s));
    struct sl_record record = upstream_record("u", "s", "v1", 64);
    record.u.upstream.cold_us = 60 * Sl_US_PER_S;
    fleet.append(Sl_FEED_UPSTREAMS, "u", record);
    fleet.pass(2000);
    for (int64_t end_us = fleet.now() + seconds * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.pass(20);
        for (int i = 0; i < 4; i++) {
            fleet.ask(SlRandom_Below(&random, (uint32_t)fleet.size()), "/x",
                      "", 3000);
        }
    }
    double most = 0;
    for (size_t from = 0, to = 0; to < calls.size(); to++) {
        while (calls[to] - calls[from] >= Sl_US_PER_S) {
            from++;
        }
        most = std::max(most, (double)(to - from + 1));
    }
    return most;
}

const size_t fleets[] = {2, 5, 30};
const double rates[] = {4, 20, 60};

void
check(const std::function<bool(size_t, size_t)> &hears)
{
    struct sl_bounds bounds = small_bounds();
    for (size_t routers : fleets) {
        for (double rate : rates) {
            double most = most_in_a_second(routers, rate, hears);
            EXPECT_LE(most, bounds.cold_overshoot * rate + bounds.cold_extra)
                << routers << " routers, " << rate << " a second";
            EXPECT_GE(most, rate / 3)
                << routers << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdLimit, HoldsForTheFleet)
{
    check([](size_t, size_t) { return true; });
}

TEST(ColdLimit, HoldsWhenOneRouterIsPartitioned)
{
    check([](size_t from, size_t to) { return (from == 0) == (to == 0); });
}

TEST(ColdLimit, HoldsWhenTheFleetIsPartitionedInHalves)
{
    check([](size_t from, size_t to) { return from % 2 == to % 2; });
}

} // namespace
