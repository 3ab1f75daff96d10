// Limit of requests to a cold upstream, as a whole fleet of running routers
// keeps it, also while some routers are cut off from the others but still
// reach the upstream. router_cold_intervals.cc tests the intervals alone, for
// more rates and sizes.
#include <gtest/gtest.h>

#include "router_fleet.h"

namespace {

// Time after the fleet's start at which it is partitioned.
const int64_t cut_after_us = 5 * Sl_US_PER_S;
// Time in which requests are sent.
const int64_t run_s = 12;

// Returns the largest number of calls to a cold upstream within any second,
// while more requests wait than may be sent. Once the fleet is partitioned,
// digests arrive only where `is_delivered`, called with the indices of the
// sender and the receiver, returns true.
double
most_in_a_second(size_t routers, double cold_requests_per_s,
                 const std::function<bool(size_t, size_t)> &is_delivered)
{
    struct sl_random random = {3};
    std::vector<int64_t> calls_us;
    Fleet fleet;
    int64_t cut_us = fleet.now() + cut_after_us;
    fleet.is_delivered = [&](size_t from, size_t to) {
        return fleet.now() < cut_us || is_delivered(from, to);
    };
    fleet.on_call = [&](const FleetCall &call) {
        FleetResponse response;
        response.after_us = 10 * Sl_US_PER_MS;
        calls_us.push_back(call.at_us);
        return response;
    };
    fleet.start(routers, small_bounds());
    fleet.append(Sl_FEED_OPERATORS, "config",
                 routing_record("s", "/", 3, {}, cold_requests_per_s));
    struct sl_record record = upstream_record("u", "s", "v1", 64);
    record.u.upstream.cold_us = 60 * Sl_US_PER_S;
    fleet.append(Sl_FEED_UPSTREAMS, "u", record);
    fleet.advance_ms(2000);
    for (int64_t end_us = fleet.now() + run_s * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.advance_ms(20);
        for (int i = 0; i < 4; i++) {
            fleet.send_request(SlRandom_Below(&random, (uint32_t)fleet.size()),
                               "/x", "", 3000);
        }
    }
    double most = 0;
    for (size_t first = 0, last = 0; last < calls_us.size(); last++) {
        while (calls_us[last] - calls_us[first] >= Sl_US_PER_S) {
            first++;
        }
        most = std::max(most, (double)(last - first + 1));
    }
    return most;
}

const size_t fleet_sizes[] = {2, 5, 30};
const double rates_per_s[] = {4, 20, 60};

// Expects that fleets of all sizes keep the limit, and use a third of the rate
// or more.
void
expect_limit_holds(const std::function<bool(size_t, size_t)> &is_delivered)
{
    struct sl_bounds bounds = small_bounds();
    for (size_t routers : fleet_sizes) {
        for (double rate : rates_per_s) {
            double most = most_in_a_second(routers, rate, is_delivered);
            EXPECT_LE(most, bounds.cold_overshoot * rate + bounds.cold_extra)
                << routers << " routers, " << rate << " a second";
            EXPECT_GE(most, rate / 3)
                << routers << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdLimit, HoldsForTheFleet)
{
    expect_limit_holds([](size_t, size_t) { return true; });
}

TEST(ColdLimit, HoldsWhenOneRouterIsPartitioned)
{
    expect_limit_holds(
        [](size_t from, size_t to) { return (from == 0) == (to == 0); });
}

TEST(ColdLimit, HoldsWhenTheFleetIsPartitionedInHalves)
{
    expect_limit_holds(
        [](size_t from, size_t to) { return from % 2 == to % 2; });
}

} // namespace
