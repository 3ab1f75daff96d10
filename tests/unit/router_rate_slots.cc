// Slots of a limited rate, which routers own without coordination.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "sl_router_internal.h"
}

namespace {

const int64_t start_us = 1700000000 * Sl_US_PER_S;
const double rates_per_s[] = {0.25, 1, 1.1, 7.3, 400};

struct sl_rate_parts
parts_of(double begin, double size)
{
    struct sl_rate_parts parts = {};
    SlRateSlots_SetPart(&parts, SlRateSlots_Epoch(start_us), {begin, size});
    return parts;
}

// Parts of routers that agree on them; the first has half of all demand.
std::vector<struct sl_rate_parts>
parts_of_fleet(size_t routers)
{
    std::vector<struct sl_rate_parts> fleet;
    double begin = 0;
    for (size_t i = 0; i < routers; i++) {
        double size = routers == 1 ? 1
                      : i == 0     ? 0.5
                                   : 0.5 / (double)(routers - 1);
        fleet.push_back(parts_of(begin, size));
        begin += size;
    }
    return fleet;
}

TEST(RateSlots, EachIsOwnedByOneRouter)
{
    for (double per_s : rates_per_s) {
        for (size_t routers : {1, 2, 5, 68, 1600}) {
            std::vector<struct sl_rate_parts> fleet = parts_of_fleet(routers);
            const size_t slots = 200;
            std::vector<size_t> owners(slots);
            for (const struct sl_rate_parts &parts : fleet) {
                struct sl_limited_rate rate = {per_s, 77, &parts};
                uint64_t first = SlRateSlots_At(&rate, start_us) + 1;
                uint64_t slot = SlRateSlots_Next(&rate, start_us, first);
                while (slot < first + slots) {
                    owners[slot - first]++;
                    slot = SlRateSlots_Next(&rate, start_us, slot + 1);
                }
            }
            for (size_t owner_count : owners) {
                ASSERT_EQ(owner_count, 1u)
                    << routers << " routers, " << per_s << " a second";
            }
        }
    }
}

// A router's slots come as evenly as its part allows.
TEST(RateSlots, OfARouterAreSpread)
{
    for (double size : {0.5, 0.1, 0.01, 1.0 / 1600}) {
        struct sl_rate_parts parts = parts_of(0.3, size);
        struct sl_limited_rate rate = {10, 5, &parts};
        uint64_t slot = SlRateSlots_Next(&rate, start_us, 0);
        for (int i = 0; i < 200; i++) {
            uint64_t next = SlRateSlots_Next(&rate, start_us, slot + 1);
            EXPECT_LE((double)(next - slot), 3 / size) << size;
            slot = next;
        }
    }
}

TEST(RateSlots, Expire)
{
    struct sl_rate_parts parts = parts_of(0, 1);
    struct sl_limited_rate rate = {2, 0, &parts};
    uint64_t slot = SlRateSlots_At(&rate, start_us);
    int64_t begin_us = SlRateSlots_BeginUs(&rate, slot);
    EXPECT_EQ(begin_us, start_us);
    EXPECT_EQ(SlRateSlots_Next(&rate, start_us, slot), slot);
    EXPECT_EQ(SlRateSlots_Next(&rate, start_us + 1500 * Sl_US_PER_MS, slot),
              slot);
    EXPECT_EQ(SlRateSlots_Next(&rate, start_us + 1600 * Sl_US_PER_MS, slot),
              slot + 1);
}

// A slot that has begun stays with its router while the parts change.
TEST(RateSlots, CountForThePartAtTheirBeginning)
{
    struct sl_rate_parts parts = parts_of(0, 1);
    struct sl_limited_rate rate = {1, 0, &parts};
    uint64_t slot = SlRateSlots_At(&rate, start_us);
    int64_t next_us = start_us + Sl_US_PER_S;
    SlRateSlots_SetPart(&parts, SlRateSlots_Epoch(next_us), {0, 0});
    EXPECT_EQ(SlRateSlots_Next(&rate, next_us, slot), slot);
    EXPECT_GT(SlRateSlots_Next(&rate, next_us, slot + 1), slot + 1000);
}

} // namespace
