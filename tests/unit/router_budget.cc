// Repeats of a whole fleet, when every call fails: no window of time holds
// more than the deployment's budget, whatever the number of routers.
#include <gtest/gtest.h>

#include <set>

#include "router_fleet_world.h"

namespace {

struct Deployment {
    size_t routers;
    double per_s; // requests
    double extra; // of the budget
};

const Deployment deployments[] = {
    {1, 40, 50},   {2, 40, 50},    {4, 40, 56},
    {23, 150, 86}, {30, 200, 100}, {30, 10, 100},
};

const int64_t seconds = 16;

// Most repeats beyond what the requests of a window allow. Requests count in
// the window, the one before it or the one half a window before it.
double
most_beyond(const std::vector<int64_t> &asked,
            const std::vector<int64_t> &repeated,
            const struct sl_bounds &bounds)
{
    double most = -1e9;
    auto count = [](const std::vector<int64_t> &times, int64_t from,
                    int64_t to) {
        return (double)(std::lower_bound(times.begin(), times.end(), to) -
                        std::lower_bound(times.begin(), times.end(), from));
    };
    for (int64_t at : repeated) {
        int64_t from = at - bounds.retry_window_us;
        double requests = count(asked, from, at + 1);
        for (int64_t back :
             {bounds.retry_window_us / 2, bounds.retry_window_us}) {
            requests =
                std::max(requests, count(asked, from - back, at + 1 - back));
        }
        most = std::max(most, count(repeated, from, at + 1) -
                                  bounds.retry_ratio * requests);
    }
    return most;
}

// Most repeats beyond what the requests allow, of a fleet whose digests go
// where `hears` says after a time.
double
play(const Deployment &deployment, int64_t after_us,
     const std::function<bool(size_t, size_t)> &hears)
{
    struct sl_bounds bounds = small_bounds();
    bounds.retry_extra = deployment.extra;
    struct sl_random random = {5};
    std::set<std::string> seen;
    std::vector<int64_t> asked;
    std::vector<int64_t> repeated;
    Fleet fleet;
    int64_t cut_us = fleet.now() + after_us;
    fleet.hears = [&](size_t from, size_t to) {
        return fleet.now() < cut_us || hears(from, to);
    };
    fleet.on_call = [&](const FleetCall &call) {
        if (!seen.insert(call.request).second) {
            repeated.push_back(call.at_us);
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
    double owed = 0;
    for (int64_t end_us = fleet.now() + seconds * Sl_US_PER_S;
         fleet.now() < end_us;) {
        fleet.pass_step();
        for (owed += deployment.per_s * Fleet::step_ms / 1000; owed >= 1;
             owed--) {
            asked.push_back(fleet.now());
            fleet.ask(SlRandom_Below(&random, (uint32_t)fleet.size()), "/x",
                      "", 5000);
        }
    }
    // Some of the budget is used.
    EXPECT_GE((double)repeated.size(), 0.5 * (double)asked.size())
        << deployment.routers << " routers";
    return most_beyond(asked, repeated, bounds);
}

TEST(RepeatBudget, HoldsForFleetsOfAnySize)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(play(deployment, 0, [](size_t, size_t) { return true; }),
                  deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

// When digests stop, a part of the fleet is unknown to another, but not
// forgotten: the budget holds.
const int64_t cut_after_us = 5 * Sl_US_PER_S;

TEST(RepeatBudget, HoldsWhenTheFleetIsCutInHalf)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(
            play(deployment, cut_after_us,
                 [](size_t from, size_t to) { return from % 2 == to % 2; }),
            deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

TEST(RepeatBudget, HoldsWhenOneRouterIsCutOff)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(play(deployment, cut_after_us,
                       [](size_t from, size_t to) {
                           return (from == 0) == (to == 0);
                       }),
                  deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

// Two halves that never heard of each other both spend the part that counts
// requests as it is, and twice the rest.
TEST(RepeatBudget, TwoFleetsGiveTwiceTheExtraAtMost)
{
    for (const Deployment &deployment : deployments) {
        EXPECT_LE(
            play(deployment, 0,
                 [](size_t from, size_t to) { return from % 2 == to % 2; }),
            2 * deployment.extra)
            << deployment.routers << " routers, " << deployment.per_s
            << " requests a second";
    }
}

} // namespace
