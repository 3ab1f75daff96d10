// Limits that upstreams state in their responses, as whole fleets keep them.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "router_fleet.h"

extern "C" {
#include "sl_router_internal.h"
}

namespace {

// The operators' bound: requests to one upstream in any such window, as a
// multiple of what its limit allows in it, plus a fixed number.
const int64_t window_us = 4 * Sl_US_PER_S;
const double overshoot = 1.5;
const double extra = 5;
// It counts this long after the upstream has first stated the limit, and of a
// router, this long after that has passed on a response with it.
const int64_t told_us = Sl_US_PER_S / 2;

const int64_t first_limited_ms = 8000; // from the fleet's start
const int64_t limited_ms = 20000;      // for how long the limit holds

struct Load {
    size_t routers;
    size_t upstreams;
    size_t limited;    // of the upstreams
    double limit;      // of each, a second
    double requests;   // a second, through all routers
    double first_part; // of them, through the first router; 0: its share
};

struct Arrival {
    int64_t at_us;
    size_t router;
    std::string upstream;
};

class LimitedFleet {
  public:
    Fleet fleet;
    std::vector<Arrival> arrivals;
    std::map<uint64_t, int64_t> sent_us;   // by connection of the client
    std::vector<int64_t> refused_after_us; // times that refused clients waited
    // When the router had passed on a response with the upstream's limit.
    std::map<std::pair<size_t, std::string>, int64_t> told;
    int64_t prompt_tokens = 0;
    int64_t deadline_ms = 3000;
    std::set<size_t> excused; // routers whose requests do not count
    std::function<void(int64_t)> on_step; // with the ms since the start

    // With a team, the service's waiting requests are ordered and refused by
    // admission control.
    explicit LimitedFleet(const Load &the_load, bool has_team = false)
        : load(the_load), key(has_team ? "key" : "")
    {
        fleet.wall_step_ms = 137;
        fleet.encodes_digests = true;
        fleet.on_call = [this](const FleetCall &call) {
            FleetResponse response;
            response.after_us = 30 * Sl_US_PER_MS;
            arrivals.push_back({call.at_us, call.router, call.upstream});
            return response;
        };
        fleet.limit_of = [this](const std::string &upstream) {
            return is_limited(upstream) ? load.limit : -1;
        };
        fleet.on_head = [this](const FleetCall &call) {
            if (is_limited(call.upstream)) {
                told.insert({{call.router, call.upstream}, fleet.now()});
            }
        };
        fleet.on_refusal = [this](uint64_t conn, const std::string &) {
            refused_after_us.push_back(fleet.now() - sent_us.at(conn));
        };
        fleet.start(load.routers, small_bounds());
        fleet.append(Sl_FEED_OPERATORS, "config",
                     has_team ? keyed_routing(1, {key})
                              : routing_record("plain", "/s/", 3));
        for (size_t i = 0; i < load.upstreams; i++) {
            std::string id = "u" + std::to_string(i);
            fleet.append(Sl_FEED_UPSTREAMS, id,
                         upstream_record(id, "plain", "v1", 64));
        }
        start_us = fleet.now();
    }

    // Sends requests until so many ms after the start.
    void
    run_until(int64_t end_ms)
    {
        double owed = 0;
        while (ms() < end_ms) {
            fleet.advance_step();
            if (on_step) {
                on_step(ms());
            }
            for (owed += load.requests * Fleet::step_ms / 1000; owed >= 1;
                 owed--) {
                size_t router = pick_router();
                sent_us[fleet.next_conn()] = fleet.now();
                if (fleet.frozen.count(router) == 0) {
                    std::string session =
                        std::to_string(SlRandom_Below(&random, 1000));
                    fleet.send_request(router, "/s/x", session, deadline_ms,
                                       "m", prompt_tokens, key);
                }
            }
        }
    }

    int64_t
    ms() const
    {
        return (fleet.now() - start_us) / Sl_US_PER_MS;
    }

    // Expects that the upstream gets no more than its limit allows, from the
    // routers that count.
    void
    expect_limit_held(const std::string &upstream, const std::string &what)
    {
        std::vector<int64_t> counted;
        int64_t from_us = start_us + first_limited_ms * Sl_US_PER_MS +
                          small_bounds().contact_us;
        int64_t until_us =
            start_us + (first_limited_ms + limited_ms) * Sl_US_PER_MS;
        size_t most = 0;
        for (const Arrival &arrival : arrivals) {
            auto at = told.find({arrival.router, upstream});
            if (arrival.upstream != upstream || arrival.at_us < from_us ||
                arrival.at_us > until_us || at == told.end() ||
                at->second + told_us > arrival.at_us ||
                excused.count(arrival.router) > 0) {
                continue;
            }
            counted.push_back(arrival.at_us);
            size_t first = 0;
            while (counted[first] < arrival.at_us - window_us) {
                first++;
            }
            counted.erase(counted.begin(), counted.begin() + (long)first);
            most = std::max(most, counted.size());
        }
        EXPECT_LE((double)most,
                  overshoot * load.limit * window_us / Sl_US_PER_S + extra)
            << what << ", " << upstream;
    }

    void
    expect_limits_held(const std::string &what)
    {
        for (size_t i = 0; i < load.limited; i++) {
            expect_limit_held("u" + std::to_string(i), what);
        }
    }

    // Returns the requests a second that the upstream has got between the
    // times, in ms since the start.
    double
    rate_between(const std::string &upstream, int64_t from_ms, int64_t to_ms)
    {
        size_t count = 0;
        for (const Arrival &arrival : arrivals) {
            int64_t at_ms = (arrival.at_us - start_us) / Sl_US_PER_MS;
            count += arrival.upstream == upstream && at_ms >= from_ms &&
                             at_ms < to_ms
                         ? 1
                         : 0;
        }
        return (double)count * 1000 / (double)(to_ms - from_ms);
    }

  private:
    Load load;
    std::string key;
    struct sl_random random = {7};
    int64_t start_us = 0;

    bool
    is_limited(const std::string &upstream) const
    {
        return ms() >= first_limited_ms &&
               ms() < first_limited_ms + limited_ms &&
               std::stoul(upstream.substr(1)) < load.limited;
    }

    size_t
    pick_router()
    {
        if (SlRandom_Unit(&random) < load.first_part) {
            return 0;
        }
        return SlRandom_Below(&random, (uint32_t)load.routers);
    }
};

std::string
name_of(const Load &load)
{
    return std::to_string(load.routers) + " routers, " +
           std::to_string(load.limited) + " of " +
           std::to_string(load.upstreams) + " limited to " +
           std::to_string(load.limit) + ", " + std::to_string(load.requests) +
           " requests a second, first " + std::to_string(load.first_part);
}

// From the smallest fleet to one of several domains; one upstream in need, and
// all of a service; traffic that is spread, and that comes to one router.
const Load loads[] = {
    {1, 3, 1, 1, 12, 0},    {4, 3, 1, 1, 12, 0},   {4, 3, 1, 1.1, 12, 0.9},
    {4, 9, 3, 1, 24, 0},    {4, 3, 3, 1.5, 12, 0}, {4, 3, 3, 20, 120, 0.9},
    {30, 3, 1, 0.5, 30, 0}, {30, 3, 3, 2, 60, 0},  {30, 3, 3, 2, 60, 0.9},
    {30, 9, 9, 1, 30, 0},   {68, 5, 1, 1, 60, 0},  {68, 5, 5, 1, 60, 0.9},
    {68, 3, 3, 30, 200, 0},
};

// While more requests come than the upstreams take, the limits are also used.
TEST(UpstreamLimits, HoldForAllRoutersTogetherAndAreUsed)
{
    const int64_t end_ms = first_limited_ms + limited_ms;
    for (const Load &load : loads) {
        LimitedFleet limited(load);
        limited.run_until(end_ms);
        limited.expect_limits_held(name_of(load));
        if (load.limited < load.upstreams) {
            continue;
        }
        for (size_t i = 0; i < load.limited; i++) {
            std::string upstream = "u" + std::to_string(i);
            EXPECT_GE(limited.rate_between(upstream, first_limited_ms + 3000,
                                           end_ms),
                      0.7 * load.limit)
                << name_of(load) << ", " << upstream;
        }
    }
}

// Routers with the same traffic have much the same part, though the numbers of
// requests vary.
TEST(UpstreamLimits, DoNotMoveWithChance)
{
    const double mean_share = 1.0 / 30;
    LimitedFleet limited({30, 3, 3, 1, 20, 0});
    limited.run_until(first_limited_ms + 3000);
    for (int i = 0; i < 10; i++) {
        double deviation = 0;
        limited.run_until(limited.ms() + 1000);
        for (size_t r = 0; r < limited.fleet.size(); r++) {
            struct sl_router *router = limited.fleet.router(r).router;
            struct sl_name name = SlName_Of("u0");
            auto *upstream = static_cast<struct sl_router_upstream *>(
                g_hash_table_lookup(router->upstreams, &name));
            deviation +=
                std::abs(SlUpstreamLimits_PerS(router, upstream) - mean_share);
        }
        EXPECT_LE(deviation, 0.2);
    }
}

// Returns a configuration with the services s0, s1 and so on, each with a
// route /s0/ and so on.
struct sl_record
services_record(int count)
{
    struct sl_record record = {};
    struct sl_error err;
    record.type = Sl_RECORD_ROUTING;
    record.u.routing = SlRouting_New(1);
    for (int i = 0; i < count; i++) {
        std::string name = "s" + std::to_string(i);
        std::string prefix = "/" + name + "/";
        struct sl_route_service service = {};
        service.name = SlName_Of(name.c_str());
        service.slots = 64;
        SlRouting_AddService(record.u.routing, &service, &err);
        struct sl_route_target target = {service.name, 1};
        struct sl_route route = {};
        route.name = service.name;
        route.host = Sl_STR("h");
        route.prefix = view(prefix);
        route.kind = Sl_ROUTE_IDEMPOTENT;
        route.is_public = true;
        route.timeout_us = Sl_US_PER_S;
        route.target_latency_us = Sl_US_PER_S;
        route.max_attempts = 2;
        route.targets = &target;
        route.target_count = 1;
        SlRouting_AddRoute(record.u.routing, &route, &err);
    }
    return record;
}

// Upstreams of many services are in need, and one router has all the traffic.
TEST(UpstreamLimits, AreUsedInManyServices)
{
    const int services = 6;
    const double limit = 4;
    for (size_t routers : {4, 30}) {
        Fleet fleet;
        std::map<std::string, int> counts;
        int64_t counted_from_us = fleet.now() + 8 * Sl_US_PER_S;
        fleet.encodes_digests = true;
        fleet.limit_of = [&](const std::string &) { return limit; };
        fleet.on_call = [&](const FleetCall &call) {
            FleetResponse response;
            response.after_us = 30 * Sl_US_PER_MS;
            counts[call.upstream] += call.at_us >= counted_from_us ? 1 : 0;
            return response;
        };
        fleet.start(routers, small_bounds());
        fleet.append(Sl_FEED_OPERATORS, "config", services_record(services));
        for (int i = 0; i < services; i++) {
            std::string id = "u" + std::to_string(i);
            fleet.append(
                Sl_FEED_UPSTREAMS, id,
                upstream_record(id, "s" + std::to_string(i), "v1", 64));
        }
        for (int step = 0; step < 18000 / Fleet::step_ms; step++) {
            fleet.advance_step();
            for (int i = 0; i < services && step % 20 == 0; i++) {
                fleet.send_request(0, "/s" + std::to_string(i) + "/", "",
                                   1000);
            }
        }
        for (int i = 0; i < services; i++) {
            EXPECT_GE(counts["u" + std::to_string(i)], 0.7 * limit * 10)
                << routers << " routers, u" << i;
        }
    }
}

// Each response states another value, so that no two routers have heard the
// same.
TEST(UpstreamLimits, ThatFluctuateAreSplitAsOne)
{
    for (size_t routers : {4, 30}) {
        Load load = {routers, 3, 3, 2, 60, 0};
        LimitedFleet limited(load);
        struct sl_random random = {5};
        auto steady = limited.fleet.limit_of;
        limited.fleet.limit_of = [&](const std::string &upstream) {
            double per_s = steady(upstream);
            return per_s * (0.96 + 0.08 * SlRandom_Unit(&random));
        };
        limited.run_until(first_limited_ms + limited_ms);
        limited.expect_limits_held(name_of(load));
        for (const char *upstream : {"u0", "u1", "u2"}) {
            double used =
                limited.rate_between(upstream, first_limited_ms + 5000,
                                     first_limited_ms + limited_ms);
            EXPECT_LE(used, 1.2 * load.limit) << name_of(load);
            EXPECT_GE(used, 0.7 * load.limit) << name_of(load);
        }
    }
}

// An upstream that no longer states a limit gets its share again.
TEST(UpstreamLimits, EndWithTheStatement)
{
    for (size_t routers : {1, 4, 30}) {
        Load load = {routers, 1, 1, 1, 30, 0};
        LimitedFleet limited(load);
        int64_t end_ms = first_limited_ms + limited_ms;
        limited.run_until(end_ms + 10000);
        EXPECT_GE(limited.rate_between("u0", end_ms + 5000, end_ms + 10000),
                  27)
            << routers << " routers";
    }
}

// While nothing else serves the requests, those for which there is no room in
// time are refused at once.
void
expect_early_refusals(const Load &load, bool has_team)
{
    LimitedFleet limited(load, has_team);
    limited.run_until(first_limited_ms + 3000);
    limited.refused_after_us.clear();
    limited.run_until(first_limited_ms + limited_ms);
    limited.expect_limits_held(name_of(load));
    size_t late = 0;
    for (int64_t after_us : limited.refused_after_us) {
        late += after_us > Sl_US_PER_S / 2 ? 1 : 0;
    }
    EXPECT_GT(limited.refused_after_us.size(), (size_t)100) << name_of(load);
    EXPECT_LE(late * 20, limited.refused_after_us.size()) << name_of(load);
}

TEST(UpstreamLimits, LetNobodyWaitForRoomThatWillNotCome)
{
    for (const Load &load :
         {Load{1, 1, 1, 1, 20, 0}, Load{4, 3, 3, 1, 60, 0},
          Load{30, 3, 3, 1, 60, 0}, Load{4, 3, 3, 1, 60, 0.9}}) {
        expect_early_refusals(load, false);
        expect_early_refusals(load, true);
    }
}

// The same for engines, whose clients wait for long: a queue builds up.
void
expect_early_refusals_at_engines(size_t routers)
{
    Load load = {routers, 5, 5, 1, 20, 0};
    LimitedFleet limited(load);
    limited.fleet.append(Sl_FEED_OPERATORS, "config",
                         routing_record("plain", "/s/", 3, {"m"}));
    limited.prompt_tokens = 400;
    limited.deadline_ms = 8000;
    limited.fleet.on_call = [&](const FleetCall &call) {
        FleetResponse response;
        limited.arrivals.push_back({call.at_us, call.router, call.upstream});
        response.after_us = 300 * Sl_US_PER_MS;
        response.run_us = 2 * Sl_US_PER_S;
        return response;
    };
    limited.run_until(first_limited_ms + 6000);
    limited.refused_after_us.clear();
    limited.run_until(first_limited_ms + limited_ms);
    limited.expect_limits_held(name_of(load));
    size_t late = 0;
    for (int64_t after_us : limited.refused_after_us) {
        late += after_us > Sl_US_PER_S / 2 ? 1 : 0;
    }
    EXPECT_GT(limited.refused_after_us.size(), (size_t)100);
    EXPECT_LE(late * 20, limited.refused_after_us.size()) << name_of(load);
    EXPECT_GE(limited.rate_between("u0", first_limited_ms + 6000,
                                   first_limited_ms + limited_ms),
              0.7 * load.limit)
        << name_of(load);
}

TEST(UpstreamLimits, LetNobodyWaitAtEnginesForRoomThatWillNotCome)
{
    expect_early_refusals_at_engines(1);
}

TEST(UpstreamLimits, LetNobodyWaitInAFleetAtEnginesForRoomThatWillNotCome)
{
    for (size_t routers : {4, 31}) {
        expect_early_refusals_at_engines(routers);
    }
}

TEST(UpstreamLimits, HoldWhileRoutersRestart)
{
    for (size_t routers : {4, 30}) {
        Load load = {routers, 3, 3, 2, 60, 0};
        LimitedFleet limited(load);
        size_t restarted = 0;
        limited.on_step = [&](int64_t ms) {
            if (ms >= 10000 && ms % 2000 == 0) {
                size_t router = restarted++ % (routers / 2);
                limited.excused.insert(router);
                limited.fleet.restart(router);
            }
        };
        limited.run_until(first_limited_ms + limited_ms);
        limited.expect_limits_held(name_of(load));
    }
}

TEST(UpstreamLimits, HoldWhenARouterWakes)
{
    for (size_t routers : {4, 30}) {
        Load load = {routers, 3, 1, 1, 30, 0};
        LimitedFleet limited(load);
        limited.on_step = [&](int64_t ms) {
            if (ms == 10000) {
                limited.excused = {0, 1};
                limited.fleet.frozen = {0, 1};
            }
            if (ms == 16000) {
                limited.fleet.frozen.clear();
            }
        };
        limited.run_until(first_limited_ms + limited_ms);
        limited.expect_limits_held(name_of(load));
    }
}

// The store has been away: the routers read that the upstream has restarted
// after the new instance has stated its limit.
TEST(UpstreamLimits, HoldWhenTheRegistrationOfTheInstanceComesLate)
{
    for (size_t routers : {1, 4, 30}) {
        Load load = {routers, 3, 1, 1, 60, 0};
        LimitedFleet limited(load);
        limited.fleet.on_call = [&](const FleetCall &call) {
            FleetResponse response;
            response.after_us = 400 * Sl_US_PER_MS;
            limited.arrivals.push_back(
                {call.at_us, call.router, call.upstream});
            return response;
        };
        int64_t wall_ms =
            limited.fleet.router(0).make_event(Sl_ROUTER_EVENT_TICK).wall_ms;
        struct sl_record record = upstream_record("u0", "plain", "v1", 64);
        record.u.upstream.start_wall_ms = wall_ms - 60000;
        limited.fleet.append(Sl_FEED_UPSTREAMS, "u0", record);
        record.u.upstream.start_wall_ms = wall_ms + 6000;
        limited.on_step = [&](int64_t ms) {
            if (ms == 14000) {
                limited.fleet.append(Sl_FEED_UPSTREAMS, "u0", record);
            }
        };
        limited.run_until(first_limited_ms + limited_ms);
        limited.expect_limits_held(name_of(load));
    }
}

// Routers that are cut off from each other still reach the upstream.
TEST(UpstreamLimits, HoldOnEachSideOfACut)
{
    for (size_t routers : {4, 30}) {
        Load load = {routers, 3, 1, 1, 30, 0};
        LimitedFleet limited(load);
        limited.fleet.is_delivered = [&](size_t from, size_t to) {
            return limited.ms() < 10000 || from % 3 == to % 3;
        };
        limited.run_until(first_limited_ms + limited_ms);
        for (size_t i = 0; i < routers; i++) {
            if (i % 3 != 0) {
                limited.excused.insert(i);
            }
        }
        limited.expect_limits_held(name_of(load));
    }
}

} // namespace
