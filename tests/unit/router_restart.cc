// Routers that start: from whom they have what they know, how soon, and that
// nothing that was taken away comes back with them, in whatever order routers
// and the store come and go.
#include <gtest/gtest.h>

#include <algorithm>

#include "router_fleet_world.h"

namespace {

// A service with a team that holds the keys.
struct sl_record
keyed_routing(uint64_t version, const std::vector<std::string> &keys)
{
    struct sl_record record = {};
    struct sl_error err;
    record.type = Sl_RECORD_ROUTING;
    record.u.routing = SlRouting_New((int64_t)version);
    struct sl_route_service service = {};
    service.name = SlName_Of("plain");
    service.slots = 64;
    SlRouting_AddService(record.u.routing, &service, &err);
    struct sl_route route = {};
    route.name = SlName_Of("route");
    route.host = SlName_Of("h");
    route.prefix = SlName_Of("/s/");
    route.kind = Sl_ROUTE_IDEMPOTENT;
    route.timeout_us = 3 * Sl_US_PER_S;
    route.target_us = Sl_US_PER_S;
    route.max_attempts = 2;
    route.target_count = 1;
    route.targets[0].service = service.name;
    route.targets[0].weight = 1;
    SlRouting_AddRoute(record.u.routing, &route, &err);
    struct sl_team team = {};
    team.name = SlName_Of("team");
    team.priority = -1;
    SlRouting_AddTeam(record.u.routing, &team, &err);
    for (const std::string &key : keys) {
        SlRouting_AddKey(record.u.routing, view(key), &team.name, &err);
    }
    return record;
}

class Restart : public testing::Test {
  protected:
    Fleet fleet;
    std::vector<FleetCall> calls;
    std::map<uint64_t, int> replies; // by connection
    bool u2_leaves = false;

    void
    begin(size_t routers)
    {
        fleet.seeds = {"e1", "e2", "e3"};
        fleet.on_call = [this](const FleetCall &call) {
            calls.push_back(call);
            FleetResponse answer;
            answer.after_us = 20 * Sl_US_PER_MS;
            answer.leaves = u2_leaves && call.upstream == "u2";
            return answer;
        };
        fleet.on_reply = [this](uint64_t conn, int status) {
            replies[conn] = status;
        };
        fleet.start(routers, small_bounds());
        fleet.append(Sl_FEED_OPERATORS, "config",
                     keyed_routing(1, {"a", "b"}));
        for (const char *id : {"u1", "u2", "u3"}) {
            fleet.append(Sl_FEED_UPSTREAMS, id,
                         upstream_record(id, "plain", "v1", 64));
        }
        fleet.pass(4000);
    }

    // Asks each router with the key; gives the calls that come of it.
    std::vector<FleetCall>
    ask_all(const std::string &key)
    {
        size_t before = calls.size();
        for (size_t i = 0; i < fleet.size(); i++) {
            fleet.ask(i, "/s/x", "", 1000, "m", 0, key);
        }
        fleet.pass(200);
        return {calls.begin() + (long)before, calls.end()};
    }

    void
    set_store(bool is_up)
    {
        for (size_t i = 0; i < fleet.size(); i++) {
            fleet.world(i).store_up = is_up;
        }
    }

    void
    restart_all()
    {
        for (size_t i = 0; i < fleet.size(); i++) {
            fleet.restart(i);
        }
    }
};

// Routers that start while the store turns them away serve from peers.
TEST_F(Restart, ServesFromPeersWhileTheStoreTurnsItAway)
{
    for (size_t routers : {4, 30}) {
        calls.clear();
        fleet.~Fleet();
        new (&fleet) Fleet();
        begin(routers);
        for (size_t i : {(size_t)0, routers - 1}) {
            fleet.world(i).store_up = false;
            fleet.restart(i);
            fleet.pass(1000);
            size_t before = calls.size();
            fleet.ask(i, "/s/x", "", 1000, "m", 0, "a");
            fleet.pass(100);
            EXPECT_EQ(calls.size(), before + 1) << routers << " " << i;
        }
    }
}

TEST_F(Restart, OfOneRouterCostsTheStoreNothing)
{
    begin(12);
    for (size_t i = 4; i < 12; i++) {
        fleet.world(i).reads_asked = 0;
        fleet.restart(i);
        fleet.pass(300);
        EXPECT_LE(fleet.world(i).reads_asked, 3u) << i;
    }
    // Those that do not read the store for the others ask it nothing.
    unsigned asked = 0;
    for (size_t i = 4; i < 12; i++) {
        asked += fleet.world(i).reads_asked;
    }
    EXPECT_LE(asked, 9u);
}

TEST_F(Restart, OfAllRoutersServesSoon)
{
    begin(30);
    restart_all();
    fleet.pass(500);
    EXPECT_EQ(ask_all("a").size(), 30u);
}

// The store is asked by few, the others of a domain take what its head has,
// and no router hands it to all others.
TEST_F(Restart, OfAllRoutersSpreadsTheLoad)
{
    begin(45);
    std::map<size_t, int> served; // pulls by source
    int across = 0;
    fleet.on_pull = [&](size_t to, size_t from) {
        served[from]++;
        across += to % 3 != from % 3 ? 1 : 0;
    };
    for (size_t i = 0; i < fleet.size(); i++) {
        fleet.world(i).reads_asked = 0;
    }
    restart_all();
    fleet.pass(500);
    size_t askers = 0;
    for (size_t i = 0; i < fleet.size(); i++) {
        askers += fleet.world(i).reads_asked > 0 ? 1 : 0;
    }
    EXPECT_LE(askers, 6u);
    EXPECT_LE(across, 3 * 4); // three feeds, of which one is empty
    for (const auto &source : served) {
        EXPECT_LE(source.second, 4 * 3 + 3) << source.first;
    }
    EXPECT_EQ(ask_all("a").size(), 45u);
}

// A fleet of hundreds: what one has is told to those that take it from there
// at once, or they would go to the head of the domain all together.
TEST_F(Restart, OfHundredsOfRoutersSpreadsTheLoad)
{
    const size_t routers = 240;
    begin(routers);
    std::map<size_t, int> served; // pulls by source
    fleet.on_pull = [&](size_t, size_t from) { served[from]++; };
    fleet.snapshot_transfer_us = 60 * Sl_US_PER_MS;
    restart_all();
    fleet.pass(1500);
    for (const auto &source : served) {
        EXPECT_LE(source.second, 4 * 3 + 3) << source.first;
    }
    EXPECT_EQ(ask_all("a").size(), routers);
}

// A failure domain comes back, its routers within a second, in any order: the
// tree grows from those that are there.
TEST_F(Restart, OfALargeDomainServesSoon)
{
    const size_t routers = 240;
    begin(routers);
    std::vector<bool> is_up(routers, true);
    std::vector<size_t> order;
    fleet.hears = [&](size_t from, size_t to) {
        return is_up[from] && is_up[to];
    };
    for (size_t i = 1; i < routers; i += 3) {
        is_up[i] = false;
        order.push_back(i);
    }
    for (size_t i = 0; i < order.size(); i++) {
        std::swap(order[i], order[(i * 7919 + 13) % order.size()]);
    }
    fleet.snapshot_transfer_us = 60 * Sl_US_PER_MS;
    fleet.pass(1500);
    for (size_t i : order) {
        is_up[i] = true;
        fleet.restart(i);
        fleet.pass(10);
    }
    fleet.pass(1200); // 2 s since the first
    size_t ready = 0;
    for (size_t i : order) {
        ready += SlRouter_IsReady(fleet.world(i).router) ? 1 : 0;
    }
    EXPECT_EQ(ready, order.size());
}

// Entries change all the time while all routers start: who has the records is
// handed what is new, and not all of them again.
TEST_F(Restart, OfAllRoutersHandsTheRecordsOnce)
{
    const size_t routers = 60;
    begin(routers);
    std::vector<bool> is_up(routers, false);
    size_t again = 0;
    fleet.hears = [&](size_t from, size_t to) {
        return is_up[from] && is_up[to];
    };
    fleet.on_full_transfer = [&](size_t to, size_t) {
        again += is_up[to] ? 1 : 0;
    };
    fleet.snapshot_transfer_us = 40 * Sl_US_PER_MS;
    restart_all();
    for (size_t turn = 0; turn < 3 * routers; turn++) {
        if (turn < routers) {
            is_up[turn] = true;
            fleet.restart(turn);
        }
        std::string id = "x" + std::to_string(turn % 20);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id.c_str(), "plain", "v1", 64));
        fleet.pass(10);
    }
    EXPECT_LE(again, routers / 10);
    EXPECT_GE(ask_all("a").size(), routers);
}

// All routers start again within a second, the seeds last: who greeted them
// in vain still finds the others, and few ask the store for everything.
TEST_F(Restart, OfAllRoutersWithTheSeedsLast)
{
    const size_t routers = 90;
    begin(routers);
    std::vector<bool> is_up(routers, false);
    fleet.hears = [&](size_t from, size_t to) {
        return is_up[from] && is_up[to];
    };
    restart_all();
    for (size_t i = routers; i-- > 0;) {
        is_up[i] = true;
        fleet.restart(i);
        fleet.world(i).snapshots_asked = 0;
        fleet.pass(10);
    }
    fleet.pass(1100);
    size_t askers = 0;
    for (size_t i = 0; i < routers; i++) {
        askers += fleet.world(i).snapshots_asked > 0 ? 1 : 0;
    }
    EXPECT_LE(askers, 9u);
    EXPECT_EQ(ask_all("a").size(), routers);
}

// The seeds are gone for good: a router finds the others by their entries.
TEST_F(Restart, WithoutAnySeedFindsTheOthers)
{
    begin(12);
    fleet.pass(10); // the others' next beat comes later
    fleet.hears = [](size_t from, size_t to) { return from > 2 && to > 2; };
    fleet.world(7).snapshots_asked = 0;
    fleet.restart(7);
    fleet.pass(1000);
    EXPECT_EQ(fleet.world(7).snapshots_asked, 0u);
    size_t before = calls.size();
    fleet.ask(7, "/s/x", "", 1000, "m", 0, "a");
    fleet.pass(100);
    EXPECT_EQ(calls.size(), before + 1);
}

// A failure domain that restarts takes its records from the others once.
TEST_F(Restart, OfADomainTakesLittleFromOthers)
{
    begin(45);
    int across = 0;
    fleet.on_pull = [&](size_t to, size_t from) {
        across += to % 3 != from % 3 ? 1 : 0;
    };
    for (size_t i = 1; i < fleet.size(); i += 3) {
        fleet.world(i).reads_asked = 0;
        fleet.restart(i);
    }
    fleet.pass(500);
    EXPECT_LE(across, 4);
    EXPECT_EQ(ask_all("a").size(), 45u);
}

// The readers are turned away: the others ask the store themselves, in time.
TEST_F(Restart, WaitsForReadersInVainButNotForLong)
{
    begin(12);
    for (size_t i = 0; i < fleet.size(); i++) {
        fleet.world(i).reads_asked = 0;
    }
    restart_all();
    fleet.pass(500);
    for (size_t i = 0; i < fleet.size(); i++) {
        fleet.world(i).store_up = fleet.world(i).reads_asked == 0;
    }
    restart_all();
    fleet.pass(2500);
    EXPECT_EQ(ask_all("a").size(), 12u);
}

// What was taken away before: a key, an upstream whose entry went, one that
// said in an answer that it leaves while the store still lists it.
TEST_F(Restart, NothingTakenAwayComesBack)
{
    const size_t one = 4;
    std::vector<std::pair<std::string, std::function<void()>>> steps = {
        {"one router", [this] { fleet.restart(one); }},
        {"all routers", [this] { restart_all(); }},
        {"the store",
         [this] {
             set_store(false);
             fleet.pass(4000);
             set_store(true);
         }},
        {"one router, turned away",
         [this] {
             fleet.world(one).store_up = false;
             fleet.restart(one);
         }},
    };
    std::vector<size_t> order = {0, 1, 2, 3};
    do {
        fleet.~Fleet();
        new (&fleet) Fleet();
        calls.clear();
        u2_leaves = false;
        begin(6);
        u2_leaves = true;
        fleet.append(Sl_FEED_OPERATORS, "config", keyed_routing(2, {"b"}));
        struct sl_record drop = upstream_record("u1", "plain", "v1", 64);
        drop.dropped = true;
        fleet.append(Sl_FEED_UPSTREAMS, "u1", drop);
        fleet.pass(2000);
        for (int i = 0; i < 3; i++) {
            (void)ask_all("b"); // u2 says that it leaves
        }
        std::string path;
        for (size_t step : order) {
            path += "; " + steps[step].first;
            bool forgets = step == 1;
            steps[step].second();
            fleet.pass(1500);
            EXPECT_TRUE(ask_all("a").empty()) << path;
            std::map<size_t, int> to_u2; // by router
            for (int i = 0; i < 3; i++) {
                std::vector<FleetCall> served = ask_all("b");
                EXPECT_GE(served.size(), fleet.size()) << path;
                for (const FleetCall &call : served) {
                    EXPECT_NE(call.upstream, "u1") << path;
                    to_u2[call.router] += call.upstream == "u2" ? 1 : 0;
                }
            }
            for (const auto &at : to_u2) {
                // With all routers its word was lost; it says so once more.
                EXPECT_LE(at.second, forgets ? 1 : 0)
                    << path << ", router " << at.first;
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

} // namespace
