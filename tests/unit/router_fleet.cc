// What routers keep to together without asking each other, for fleets and
// rates of several sizes, and when what they believe of each other is wrong.
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
bounds_of()
{
    struct sl_bounds bounds = {};
    bounds.cold_overshoot = 1.5;
    bounds.cold_extra = 5;
    return bounds;
}

// Requests of `routers` in the second that holds most of them, when each
// believes in `believed` routers and all begin at once.
double
most_in_a_second(const struct sl_bounds &bounds, double rate, size_t routers,
                 size_t believed)
{
    double sum = 0;
    for (size_t rank = 0; rank < routers; rank++) {
        int64_t gap = SlCold_GapUs(&bounds, rate, believed, rank % believed);
        if (gap != Sl_NEVER_US) {
            sum += std::ceil((double)Sl_US_PER_S / (double)gap);
        }
    }
    return sum;
}

TEST(ColdFleet, KeepsTheBoundAtAnySize)
{
    struct sl_bounds bounds = bounds_of();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            EXPECT_LE(most_in_a_second(bounds, rate, fleet, fleet),
                      bounds.cold_overshoot * rate + bounds.cold_extra)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdFleet, KeepsTheBoundWhenOneIsNotKnown)
{
    struct sl_bounds bounds = bounds_of();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            // One more than it believes in is half of what a lone router
            // can know.
            if (fleet < 2) {
                continue;
            }
            EXPECT_LE(most_in_a_second(bounds, rate, fleet + 1, fleet),
                      bounds.cold_overshoot * rate + bounds.cold_extra)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

TEST(ColdFleet, TwoHalvesGiveTwiceTheBoundAtMost)
{
    struct sl_bounds bounds = bounds_of();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            EXPECT_LE(most_in_a_second(bounds, rate, 2 * fleet, fleet),
                      2 * (bounds.cold_overshoot * rate + bounds.cold_extra))
                << fleet << " routers, " << rate << " a second";
        }
    }
}

// Some of the allowance is used: a fleet is not slower than half the rate.
TEST(ColdFleet, UsesWhatItMay)
{
    struct sl_bounds bounds = bounds_of();
    for (double rate : rates) {
        for (size_t fleet : fleets) {
            double per_s = 0;
            for (size_t rank = 0; rank < fleet; rank++) {
                int64_t gap = SlCold_GapUs(&bounds, rate, fleet, rank);
                per_s +=
                    gap == Sl_NEVER_US ? 0 : (double)Sl_US_PER_S / (double)gap;
            }
            EXPECT_GE(per_s, rate / 2)
                << fleet << " routers, " << rate << " a second";
        }
    }
}

} // namespace
