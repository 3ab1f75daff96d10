// Digests between failure domains: few are sent, and all routers hear of all
// others, whoever stands still.
#include <gtest/gtest.h>

#include "router_fleet_world.h"

namespace {

class Relay : public testing::Test {
  protected:
    Fleet fleet;
    // Digests and introductions by whether they left their domain.
    unsigned inside = 0;
    unsigned across = 0;
    std::function<bool(size_t, size_t)> is_lost = [](size_t, size_t) {
        return false;
    };

    static size_t
    domain_of(size_t router)
    {
        return router % 3;
    }

    void
    begin(size_t routers)
    {
        fleet.seeds = {"e1", "e2", "e3"};
        fleet.on_call = [](const FleetCall &) { return FleetResponse(); };
        fleet.hears = [this](size_t from, size_t to) {
            (domain_of(from) == domain_of(to) ? inside : across)++;
            return !is_lost(from, to);
        };
        fleet.start(routers, small_bounds());
        fleet.append(Sl_FEED_UPSTREAMS, "u1",
                     upstream_record("u1", "plain", "v1", 64));
        fleet.pass(3000);
    }

    // How many others the router believes to live.
    size_t
    known(size_t router)
    {
        struct sl_buf out = {};
        SlRouter_Dump(fleet.world(router).router, &out);
        std::string dump = text(SlBuf_Str(&out));
        SlBuf_Free(&out);
        size_t count = 0;
        std::string live = "\"live\":1";
        for (size_t at = dump.find(live); at != std::string::npos;
             at = dump.find(live, at + 1)) {
            count++;
        }
        return count;
    }

    // The fewest that any of them knows, those left out that stand still.
    size_t
    least_known(size_t without = SIZE_MAX)
    {
        size_t least = SIZE_MAX;
        for (size_t i = 0; i < fleet.size(); i++) {
            least = i == without ? least : std::min(least, known(i));
        }
        return least;
    }
};

TEST_F(Relay, AllHearOfAll)
{
    for (size_t routers : {4, 9, 16, 45}) {
        fleet.~Fleet();
        new (&fleet) Fleet();
        begin(routers);
        EXPECT_EQ(least_known(), routers - 1);
    }
}

TEST_F(Relay, FewBytesPassBetweenDomains)
{
    begin(45);
    inside = across = 0;
    fleet.pass(10000);
    // Two in each other domain at a beat, which is 0.7 s here.
    EXPECT_LE(across, 45u * 2 * 2 * 15);
    EXPECT_GE(inside, 5 * across);
}

TEST_F(Relay, OneThatStandsStillSilencesNobody)
{
    begin(30);
    is_lost = [](size_t from, size_t to) { return from == 4 || to == 4; };
    for (int i = 0; i < 20; i++) {
        fleet.pass(500);
        EXPECT_GE(least_known(4), 28u) << i;
    }
    is_lost = [](size_t, size_t) { return false; };
    fleet.pass(3000);
    EXPECT_EQ(least_known(), 29u);
}

// One datagram in seven.
TEST_F(Relay, LostDatagramsSilenceNobody)
{
    begin(30);
    unsigned sent = 0;
    is_lost = [&sent](size_t, size_t) { return ++sent % 7 == 0; };
    for (int i = 0; i < 20; i++) {
        fleet.pass(500);
        EXPECT_EQ(least_known(), 29u) << i;
    }
}

TEST_F(Relay, ADomainThatWasCutOffIsHeardAgain)
{
    begin(30);
    is_lost = [](size_t from, size_t to) {
        return (domain_of(from) == 1) != (domain_of(to) == 1);
    };
    fleet.pass(10000);
    EXPECT_EQ(known(0), 19u);
    EXPECT_EQ(known(1), 9u);
    is_lost = [](size_t, size_t) { return false; };
    fleet.pass(4000);
    EXPECT_EQ(least_known(), 29u);
}

TEST_F(Relay, RoutersThatStartAreHeardOfSoon)
{
    begin(30);
    fleet.restart(20);
    fleet.pass(1200);
    EXPECT_EQ(least_known(), 29u);
    for (size_t i = 0; i < fleet.size(); i++) {
        fleet.restart(i);
    }
    fleet.pass(2500);
    EXPECT_EQ(least_known(), 29u);
}

} // namespace
