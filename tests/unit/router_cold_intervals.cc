// Intervals between requests to a cold upstream, which the routers of a fleet
// compute without coordination: they keep the limit for several rates and
// fleet sizes, also when the routers assume a wrong size of the fleet.
#include <gtest/gtest.h>

#include <cmath>
#include <vector>

extern "C" {
#include "sl_router_internal.h"
}

namespace {

const size_t fleet_sizes[] = {1,  2,  3,  4,  5,  7,   8,
                              16, 19, 30, 64, 99, 256, 1600};
const double rates_per_s[] = {0.5, 1.2, 7.8, 20, 45.5, 99.9, 400};

struct sl_bounds
cold_bounds()
{
    struct sl_bounds bounds = {};
    bounds.cold_overshoot = 1.5;
    bounds.cold_extra = 5;
    return bounds;
}

// Returns the largest number of requests that `routers` routers send in any
// second, if each assumes that the fleet has `assumed` routers and all start
// at once.
double
peak_per_second(const struct sl_bounds &bounds, double rate, size_t routers,
                size_t assumed)
{
    double sum = 0;
    for (size_t rank = 0; rank < routers; rank++) {
        int64_t interval_us =
            SlColdLimit_IntervalUs(&bounds, rate, assumed, rank % assumed);
        if (interval_us != Sl_NEVER_US) {
            sum += std::ceil((double)Sl_US_PER_S / (double)interval_us);
        }
    }
    return sum;
}

TEST(ColdFleet, KeepsTheLimitAtAnySize)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates_per_s) {
        for (size_t fleet : fleet_sizes) {
            EXPECT_LE(peak_per_second(bounds, rate, fleet, fleet),
                      bounds.cold_overshoot * rate + bounds.cold_extra)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdFleet, KeepsTheLimitWithOneUnknownRouter)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates_per_s) {
        for (size_t fleet : fleet_sizes) {
            // For a fleet of one router, one unknown router is half of the
            // fleet: the next test covers that case.
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
    for (double rate : rates_per_s) {
        for (size_t fleet : fleet_sizes) {
            EXPECT_LE(peak_per_second(bounds, rate, 2 * fleet, fleet),
                      2 * (bounds.cold_overshoot * rate + bounds.cold_extra))
                << fleet << " routers, " << rate << " a second";
        }
    }
}

// The fleet sends requests at half the upstream's rate or more.
TEST(ColdFleet, UsesAtLeastHalfTheRate)
{
    struct sl_bounds bounds = cold_bounds();
    for (double rate : rates_per_s) {
        for (size_t fleet : fleet_sizes) {
            double per_s = 0;
            for (size_t rank = 0; rank < fleet; rank++) {
                int64_t interval_us =
                    SlColdLimit_IntervalUs(&bounds, rate, fleet, rank);
                per_s += interval_us == Sl_NEVER_US
                             ? 0
                             : (double)Sl_US_PER_S / (double)interval_us;
            }
            EXPECT_GE(per_s, rate / 2)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

} // namespace
