// Limit of requests to a cold upstream, which the routers of a fleet share
// without coordination: for several rates and fleet sizes, also when the
// routers have a wrong idea of the fleet's size.
#include <gtest/gtest.h>

#include <cmath>
#include <vector>

extern "C" {
#include "sl_router_internal.h"
}

namespace {

const size_t fleets[] = {1, 2, 3, 4, 5, 7, 8, 16, 19, 30, 64, 99, 256, 1600};
const double rates[] = {0.5, 1.2, 7.8, 20, 45.5, 99.9, 400};

struct sl_bounds
cold_bounds()
{
    struct sl_bounds bounds = {};
    bounds.cold_overshoot = 1.5;
    bounds.cold_extra = 5;
    return bounds;
}

// Largest number of requests in any one second by `routers` routers, if each
// takes the fleet to have `believed` routers and all start at once.
double
peak_per_second(const struct sl_bounds &bounds, double rate, size_t routers,
                size_t believed)
{
    double sum = 0;
    for (size_t rank = 0; rank < routers; rank++) {
        int64_t gap =
            SlColdLimit_IntervalUs(&bounds, rate, believed, rank % believed);
        if (gap != Sl_NEVER_US) {
            sum += std::ceil((double)Sl_US_PER_S / (double)gap);
        }
    }
    return sum;
}

TEST(ColdFleet, KeepsTheLimitAtAnySize)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            EXPECT_LE(peak_per_second(bounds, rate, fleet, fleet),
                      bounds.cold_overshoot * rate + bounds.cold_extra)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdFleet, KeepsTheLimitWithOneUnknownRouter)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            // To a single router, one unknown router is half the fleet: that
            // case is covered by the next test.
            if (fleet < 2) {
                continue;
            }
            EXPECT_LE(peak_per_second(bounds, rate, fleet + 1, fleet),
                      bounds.cold_overshoot * rate + bounds.cold_extra)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdFleet, ExceedsTheLimitAtMostTwiceWhenSplitInHalves)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            EXPECT_LE(peak_per_second(bounds, rate, 2 * fleet, fleet),
                      2 * (bounds.cold_overshoot * rate + bounds.cold_extra))
                << fleet << " routers, " << rate << " a second";
        }
    }
}

// The fleet sends requests at half the permitted rate or more.
TEST(ColdFleet, UsesAtLeastHalfTheRate)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            double per_s = 0;
            for (size_t rank = 0; rank < fleet; rank++) {
                int64_t gap =
                    SlColdLimit_IntervalUs(&bounds, rate, fleet, rank);
                per_s +=
                    gap == Sl_NEVER_US ? 0 : (double)Sl_US_PER_S / (double)gap;
            }
            EXPECT_GE(per_s, rate / 2)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

} // namespace
