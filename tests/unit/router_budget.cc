// Retry budget of a whole fleet while every call fails: in no time window are
// there more retries than the deployment allows, whatever the number of
// routers.
#include <gtest/gtest.h>

#include <set>

#include "router_fleet.h"

namespace {

struct Deployment {
    size_t routers;
    double per_s; // requests a second of the whole fleet
    double extra; // retries that the budget allows beyond its ratio
};

const Deployment deployments[] = {
    {1, 40, 50},   {2, 40, 50},    {4, 40, 56},
    {23, 150, 86}, {30, 200, 100}, {30, 10, 100},
};

// Time in which requests are sent.
const int64_t run_s = 16;

// Returns the largest number of retries in any window of the budget's length,
// beyond those that the ratio allows for the requests. The requests are those
// of the window itself, of the window half its length earlier, or of the
// window before it, whichever has most.
double
most_beyond_ratio(const std::vector<int64_t> &requests_us,
                  const std::vector<int64_t> &retries_us,
                  const struct sl_bounds &bounds)
{
    double most = -1e9;
    auto count = [](const std::vector<int64_t> &times_us, int64_t from_us,
                    int64_t to_us) {
        return (
            double)(std::lower_bound(times_us.begin(), times_us.end(), to_us) -
                    std::lower_bound(times_us.begin(), times_us.end(),
                                     from_us));
    };
    for (int64_t end_us : retries_us) {
        int64_t from_us = end_us - bounds.retry_window_us;
        double requests = count(requests_us, from_us, end_us + 1);
        for (int64_t earlier_us :
             {bounds.retry_window_us / 2, bounds.retry_window_us}) {
            requests =
                std::max(requests, count(requests_us, from_us - earlier_us,
                                         end_us + 1 - earlier_us));
        }
        most = std::max(most, count(retries_us, from_us, end_us + 1) -
                                  bounds.retry_ratio * requests);
    }
    return most;
}

// Runs a fleet whose calls all fail. `after_us` after its start, digests begin
// to arrive only where `is_delivered`, called with the indices of the sender
// and the receiver, returns true. Returns the largest number of retries in a
// window beyond the ratio.
double
run_fleet(const Deployment &deployment, int64_t after_us,
          const std::function<bool(size_t, size_t)> &is_delivered)
{
    struct sl_bounds bounds = small_bounds();
    bounds.retry_extra = deployment.extra;
    struct sl_random random = {5};
    std::set<std::string> called; // ids of requests with a call
    std::vector<int64_t> requests_us;
    std::vector<int64_t> retries_us;
    Fleet fleet;
    int64_t cut_us = fleet.now() + after_us;
    fleet.is_delivered = [&](size_t from, size_t to) {
        return fleet.now() < cut_us || is_delivered(from, to);
    };
    fleet.on_call = [&](const FleetCall &call) {
        if (!called.insert(call.request).second) {
            retries_us.push_back(call.at_us);
        }
        FleetResponse response;
        response.after_us = 20 * Sl_US_PER_MS;
        response.resets_connection = true;
        return response;
    };
    fleet.start(deployment.routers, bounds);
    fleet.append(Sl_FEED_OPERATORS, "config", routing_record("s", "/", 3));
    for (int i = 0; i < 40; i++) {
        std::string id = "u" + std::to_string(i);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id, "s", "v1", 64));
    }
    fleet.advance_ms(2000);
    double requests_due = 0;
    for (int64_t end_us = fleet.now() + run_s * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.advance_step();
        for (requests_due += deployment.per_s * Fleet::step_ms / 1000;
             requests_due >= 1; requests_due--) {
            requests_us.push_back(fleet.now());
            fleet.send_request(SlRandom_Below(&random, (uint32_t)fleet.size()),
                               "/x", "", 5000);
        }
    }
    // The budget is also used: retries are not just refused.
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

// Time after the fleet's start at which it is partitioned. The two parts know
// each other by then, and each counts the other's routers for a while, so that
// the budget holds.
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

// Two halves that have never heard of each other both use the whole extra
// number of retries, together twice as many. The ratio is not affected.
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
