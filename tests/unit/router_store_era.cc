// The store comes back from a copy of itself, as seen by whole fleets.
#include <gtest/gtest.h>

#include "router_fleet.h"

extern "C" {
#include "sl_router_internal.h"
}

namespace {

struct sl_record
configuration(uint64_t version)
{
    return keyed_routing(version, {"key"});
}

// A fleet that has lost what was written after a copy of the store: version 2
// of the configuration, and that an upstream drains.
class RestoredFleet {
  public:
    Fleet fleet;
    // Routers that the store refuses.
    std::set<size_t> refused;

    // `drain_sequence`: of the registration as draining.
    explicit RestoredFleet(size_t routers, uint64_t drain_sequence = 2)
    {
        fleet.encodes_digests = true;
        fleet.seeds = {"e1", "e2"};
        fleet.on_call = [](const FleetCall &) { return FleetResponse(); };
        fleet.start(routers, small_bounds());
        fleet.set_era(1);
        fleet.append(Sl_FEED_OPERATORS, "config", configuration(1));
        register_upstream("u", 1, false);
        register_upstream("v", 1, false);
        fleet.advance_ms(3000);
        fleet.copy_store();
        fleet.append(Sl_FEED_OPERATORS, "config", configuration(2));
        register_upstream("u", drain_sequence, true);
        fleet.advance_ms(3000);
        expect_in_force(2);
    }

    void
    register_upstream(const std::string &id, uint64_t sequence, bool draining)
    {
        struct sl_record record = upstream_record(id, "plain", "v1", 64);
        record.u.upstream.start_wall_ms = 100;
        record.u.upstream.sequence = sequence;
        record.u.upstream.draining = draining;
        fleet.append(Sl_FEED_UPSTREAMS, id, record);
    }

    void
    set_store(bool is_up)
    {
        for (size_t i = 0; i < fleet.size(); i++) {
            fleet.router(i).store_up = is_up && refused.count(i) == 0;
        }
    }

    void
    restore()
    {
        set_store(false);
        fleet.advance_ms(500);
        fleet.restore_store();
        set_store(true);
    }

    // Lets time pass in which no router may go back.
    void
    observe_ms(int64_t ms, int64_t version)
    {
        for (int64_t i = 0; i < ms; i += 100) {
            fleet.advance_ms(100);
            expect_in_force(version);
        }
    }

    // Expects that all routers have this version at least, and know that the
    // upstream drains.
    void
    expect_in_force(int64_t version)
    {
        for (size_t i = 0; i < fleet.size(); i++) {
            const struct sl_router *router = fleet.router(i).router;
            struct sl_name u = SlName_Of("u");
            const auto *upstream =
                static_cast<const struct sl_router_upstream *>(
                    g_hash_table_lookup(router->upstreams, &u));
            if (fleet.frozen.count(i) > 0) {
                continue;
            }
            ASSERT_NE(router->routing, nullptr) << i;
            EXPECT_GE(SlRouting_Version(router->routing), version) << i;
            EXPECT_TRUE(upstream == nullptr || upstream->registration.draining)
                << i;
        }
    }

    // The bound for changes is 2 s.
    void
    expect_change_in_force(uint64_t version)
    {
        fleet.append(Sl_FEED_OPERATORS, "config", configuration(version));
        fleet.advance_ms(2000);
        expect_in_force((int64_t)version);
    }
};

const size_t fleet_sizes[] = {1, 4, 30, 68};

TEST(StoreEra, NothingInForceIsUndoneAndChangesComeInTime)
{
    for (size_t routers : fleet_sizes) {
        RestoredFleet restored(routers);
        restored.restore();
        restored.observe_ms(2000, 2);
        restored.expect_change_in_force(3);
    }
}

// The registrations before and during the drain may have the same number.
TEST(StoreEra, ADrainIsNotUndoneByARegistrationOfTheSameSequence)
{
    RestoredFleet restored(4, 1);
    restored.restore();
    restored.observe_ms(2000, 2);
}

TEST(StoreEra, HoldsAfterSeveralReturns)
{
    for (size_t routers : fleet_sizes) {
        RestoredFleet restored(routers);
        for (uint64_t version = 3; version < 6; version++) {
            restored.restore();
            restored.observe_ms(1000, (int64_t)version - 1);
            restored.expect_change_in_force(version);
        }
    }
}

// Routers that the store refuses learn of it from their peers.
TEST(StoreEra, ReachesRoutersThatTheStoreRefuses)
{
    for (size_t routers : {4, 30}) {
        RestoredFleet restored(routers);
        for (size_t i = 0; i < routers; i += 2) {
            restored.refused.insert(i);
        }
        restored.restore();
        restored.observe_ms(1000, 2);
        restored.expect_change_in_force(3);
    }
}

TEST(StoreEra, IsLearntByARouterThatSleptThroughTwo)
{
    RestoredFleet restored(4);
    restored.fleet.frozen.insert(0);
    restored.restore();
    restored.observe_ms(1000, 2);
    restored.restore();
    restored.observe_ms(1000, 2);
    restored.fleet.frozen.clear();
    restored.observe_ms(1000, 2);
    restored.expect_change_in_force(3);
}

// A router that starts meanwhile gets from its peers what the store has lost.
TEST(StoreEra, DoesNotUndoWhatARestartedRouterGetsFromPeers)
{
    RestoredFleet restored(4);
    restored.restore();
    restored.fleet.advance_ms(300);
    restored.fleet.restart(1);
    restored.fleet.advance_ms(3000);
    restored.expect_change_in_force(3);
}

// The status of the roll-out names the order by an offset of the former era,
// or of a time when the store stated none.
TEST(StoreEra, DoesNotBringBackARollOutWhenAllRoutersStartAfterwards)
{
    for (size_t routers : {1, 4}) {
        for (uint64_t status_era : {1, 0}) {
            RestoredFleet restored(routers);
            Fleet &fleet = restored.fleet;
            int calls = 0;
            int target_calls = 0;
            struct sl_record order = {};
            struct sl_record status = {};
            order.type = Sl_RECORD_ROLLOUT;
            order.u.rollout.service = SlName_Of("plain");
            order.u.rollout.version = SlName_Of("v2");
            order.u.rollout.duration_us = 10 * Sl_US_PER_S;
            status.type = Sl_RECORD_STATUS;
            status.u.status.service = order.u.rollout.service;
            status.u.status.version = order.u.rollout.version;
            status.u.status.state = Sl_ROLLOUT_ROLLED_BACK;
            status.u.status.order = SlOffset_Of(
                status_era, SlOffset_Number(fleet.end(Sl_FEED_OPERATORS)));
            fleet.append(Sl_FEED_UPSTREAMS, "w",
                         upstream_record("w", "plain", "v2", 64));
            fleet.append(Sl_FEED_OPERATORS, "rollout/plain", order);
            fleet.append(Sl_FEED_STATUS, "rollout/plain", status);
            fleet.copy_store();
            fleet.restore_store();
            for (size_t i = 0; i < routers; i++) {
                fleet.restart(i);
            }
            fleet.advance_ms(2000);
            fleet.on_call = [&](const FleetCall &call) {
                calls++;
                target_calls += call.upstream == "w" ? 1 : 0;
                return FleetResponse();
            };
            for (int i = 0; i < 3000; i++) {
                fleet.send_request((size_t)i % routers, "/s/",
                                   std::to_string(i), 1000, "m", 0, "key");
                fleet.advance_step();
            }
            EXPECT_EQ(calls, 3000);
            EXPECT_EQ(target_calls, 0) << status_era;
        }
    }
}

// The store is away for a while, router 1 restarts around its return.
void
restart_around_return(size_t routers, int64_t away_ms, int64_t restart_ms)
{
    RestoredFleet restored(routers);
    restored.set_store(false);
    for (int64_t ms = 0; ms < away_ms + 2000; ms += Fleet::step_ms) {
        if (ms == away_ms) {
            restored.fleet.restore_store();
            restored.set_store(true);
        }
        if (ms == restart_ms) {
            restored.fleet.restart(1);
        }
        restored.fleet.advance_step();
        if (restored.fleet.router(1).router->routing != nullptr) {
            restored.expect_in_force(2);
        }
    }
    restored.expect_change_in_force(3);
}

// A router may learn of the return before it has records, which are of the
// time before.
TEST(StoreEra, DoesNotUndoWhatARouterGetsThatStartsMeanwhile)
{
    for (int64_t restart_ms = 400; restart_ms < 900; restart_ms += 20) {
        SCOPED_TRACE(restart_ms);
        restart_around_return(4, 500, restart_ms);
    }
}

// A router that starts while its peers have only stale records reads the
// store.
TEST(StoreEra, DoesNotUndoWhatIsInForceAtPeersWithStaleRecords)
{
    for (size_t routers : {2, 4, 30}) {
        for (int64_t restart_ms = 4500; restart_ms < 6200; restart_ms += 50) {
            SCOPED_TRACE(restart_ms);
            restart_around_return(routers, 5000, restart_ms);
        }
    }
}

// Peers may know of the return while their records still count as stale.
TEST(StoreEra, DoesNotUndoWhatIsInForceAtPeersThatJustLearntOfTheReturn)
{
    for (int64_t restart_ms = 1500; restart_ms < 2500; restart_ms += 20) {
        SCOPED_TRACE(restart_ms);
        restart_around_return(9, 1500, restart_ms);
    }
}

// Lost records are not asked for again and again.
TEST(StoreEra, CostsFewReads)
{
    for (size_t routers : {4, 30}) {
        RestoredFleet restored(routers);
        unsigned before = 0;
        unsigned after = 0;
        for (size_t i = 0; i < routers; i++) {
            before += restored.fleet.router(i).reads_started;
        }
        restored.restore();
        restored.observe_ms(3000, 2);
        for (size_t i = 0; i < routers; i++) {
            after += restored.fleet.router(i).reads_started;
        }
        // Reads that fail while the store is away count as well.
        EXPECT_LE(after - before, 60 + 6 * routers) << routers;
    }
}

} // namespace
