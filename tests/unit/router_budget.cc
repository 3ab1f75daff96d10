// Retries of a whole fleet while every call fails: in no time window are there
// more than the deployment's budget, whatever the number of routers.
#include <gtest/gtest.h>

#include <set>

#include "router_fleet_world.h"

namespace {

struct Deployment {
    size_t routers;
    double per_s; // requests
    double extra; // retries of the budget beyond its ratio
};

const Deployment deployments[] = {
    {1, 40, 50},   {2, 40, 50},    {4, 40, 56},
    {23, 150, 86}, {30, 200, 100}, {30, 10, 100},
};

const int64_t seconds = 16;

// Returns the largest number of retries in a window beyond those that the
// ratio allows for its requests. Counts the requests of the window itself, the
// one before it, or the one half a window before it, where most were.
double
most_beyond_ratio(const std::vector<int64_t> &requests_us,
                  const std::vector<int64_t> &retries_us,
                  const struct sl_bounds &bounds)
{
    double most = -1e9;
    auto count = [](const std::vector<int64_t> &times, int64_t from,
                    int64_t to) {
        return (double)(std::lower_bound(times.begin(), times.end(), to) -
                        std::lower_bound(times.begin(), times.end(), from));
    };
    for (int64_t at : retries_us) {
        int64_t from = at - bounds.retry_window_us;
        double requests = count(requests_us, from, at + 1);
        for (int64_t back :
             {bounds.retry_window_us / 2, bounds.retry_window_us}) {
            requests = std::max(
                requests, count(requests_us, from - back, at + 1 - back));
        }
        most = std::max(most, count(retries_us, from, at + 1) -
                                  bounds.retry_ratio * requests);
    }
    return most;
}

// Runs a fleet in which, after `after_us`, digests arrive only where `hears`
// returns true. Returns the largest number of retries beyond the ratio.
double
run_fleet(const Deployment &deployment, int64_t after_us,
          const std::function<bool(size_t, size_t)> &hears)
{
    struct sl_bounds bounds = small_bounds();
    bounds.retry_extra = deployment.extra;
    struct sl_random random = {5};
    std::set<std::string> seen;
    std::vector<int64_t> requests_us;
    std::vector<int64_t> retries_us;
    Fleet fleet;
    int64_t cut_us = fleet.now() + after_us;
    fleet.hears = [&](size_t from, size_t to) {
        return fleet.now() < cut_us || hears(from, to);
    };
    fleet.on_call = [&](const FleetCall &call) {
        if (!seen.insert(call.request).second) {
            retries_us.push_back(call.at_us);
        }
        FleetResponse answer;
        answer.after_us = 20 * Sl_US_PER_MS;
        answer.resets_connection = true;
        return answer;
    };
    fleet.start(deployment.routers, bounds);
    fleet.append(Sl_FEED_OPERATORS, "config", routing_record("s", "/", 3));
    for (int i = 0; i < 40; i++) {
        std::string id = "u" + std::to_string(i);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id, "s", "v1", 64));
    }
    fleet.pass(2000);
    double due = 0;
    for (int64_t end_us = fleet.now() + seconds * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.pass_step();
        for (due += deployment.per_s * Fleet::step_ms / 1000; due >= 1;
             due--) {
            requests_us.push_back(fleet.now());
            fleet.ask(SlRandom_Below(&random, (uint32_t)fleet.size()), "/x",
                      "", 5000);
        }
    }
    // The budget is used, too.
    EXPECT_GE((double)retries_us.size(), 0.5 * (double)requests_us.size())
        << deployment.routers << " routers";
    return most_beyond_ratio(requests_us, retries_us, bounds);
}

TEST(RetryBudget, HoldsForFleetsOfAnySize)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(
            run_fleet(deployment, 0, [](size_t, size_t) { return true; }),
            deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

// When digests between two parts of the fleet stop, each part remembers the
// other for a while, so that the budget holds.
const int64_t cut_after_us = 5 * Sl_US_PER_S;

TEST(RetryBudget, HoldsWhenTheFleetIsPartitionedInHalves)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(run_fleet(deployment, cut_after_us,
                            [](size_t from, size_t to) {
                                return from % 2 == to % 2;
                            }),
                  deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

TEST(RetryBudget, HoldsWhenOneRouterIsPartitioned)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(run_fleet(deployment, cut_after_us,
                            [](size_t from, size_t to) {
                                return (from == 0) == (to == 0);
                            }),
                  deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

// Two halves that never heard of each other both use the whole extra number of
// retries, together twice as many; the ratio is not affected.
TEST(RetryBudget, HalvesUnknownToEachOtherUseAtMostTwiceTheExtra)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(run_fleet(deployment, 0,
                            [](size_t from, size_t to) {
                                return from % 2 == to % 2;
                            }),
                  2 * deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

} // namespace
