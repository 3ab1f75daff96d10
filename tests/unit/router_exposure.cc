// Requests that a roll-out's target gets before the order's time is over while
// there is no evidence against it: a version that fails only under load looks
// like a good one until it has all traffic.
#include <gtest/gtest.h>

#include "router_fleet_world.h"

namespace {

struct Deployment {
    size_t routers;
    double per_s; // requests
    int64_t duration_s;
    double share;
    double extra;
};

// Bounds of small and large deployments, and a long order at a low rate, like
// one of an hour at one request a second.
const Deployment deployments[] = {
    {1, 20, 24, 0.15, 30}, {4, 25, 24, 0.15, 30},   {4, 60, 16, 0.15, 30},
    {4, 25, 16, 0.15, 30}, {30, 150, 24, 0.12, 30}, {23, 140, 16, 0.12, 30},
    {4, 3, 120, 0.15, 30}, {2, 100, 24, 0.15, 0},
};

// Runs one roll-out. No router fails and there are no bursts, which would use
// up a part of the bound.
void
run_rollout(const Deployment &deployment)
{
    struct sl_bounds bounds = small_bounds();
    bounds.exposure_share = deployment.share;
    bounds.exposure_extra = deployment.extra;
    struct sl_random random = {7};
    int64_t all = 0;
    int64_t target = 0;
    int64_t target_first_half = 0;
    int64_t ordered_us = 0;
    int64_t completed_us = 0;
    int64_t duration_us = deployment.duration_s * Sl_US_PER_S;
    Fleet fleet;
    fleet.on_call = [&](const FleetCall &call) {
        FleetResponse answer;
        bool in_time =
            ordered_us != 0 && call.at_us - ordered_us < duration_us;
        bool is_target = call.upstream[0] == 'n';
        all += in_time ? 1 : 0;
        target += in_time && is_target ? 1 : 0;
        target_first_half +=
            is_target && call.at_us - ordered_us < duration_us / 2 ? 1 : 0;
        answer.after_us = (100 + SlRandom_Below(&random, 700)) * Sl_US_PER_MS;
        return answer;
    };
    fleet.on_status = [&](const struct sl_record &record) {
        if (record.u.status.state == Sl_ROLLOUT_COMPLETED &&
            completed_us == 0) {
            completed_us = fleet.now();
        }
        EXPECT_NE(record.u.status.state, Sl_ROLLOUT_ROLLED_BACK);
    };
    fleet.start(deployment.routers, bounds);
    fleet.append(Sl_FEED_OPERATORS, "config", routing_record("s", "/", 2));
    for (int i = 0; i < 9; i++) {
        std::string n = std::to_string(i);
        fleet.append(Sl_FEED_UPSTREAMS, "o" + n,
                     upstream_record("o" + n, "s", "v1", 64));
        fleet.append(Sl_FEED_UPSTREAMS, "n" + n,
                     upstream_record("n" + n, "s", "v2", 64));
    }
    fleet.pass(2000);
    struct sl_record order = {};
    order.type = Sl_RECORD_ROLLOUT;
    order.u.rollout.service = SlName_Of("s");
    order.u.rollout.version = SlName_Of("v2");
    order.u.rollout.duration_us = duration_us;
    ordered_us = fleet.now();
    fleet.append(Sl_FEED_OPERATORS, "rollout/s", order);
    double due = 0;
    int64_t sessions = 0;
    while (fleet.now() - ordered_us < duration_us) {
        fleet.pass_step();
        for (due += deployment.per_s * Fleet::step_ms / 1000; due >= 1;
             due--) {
            // Half of the requests begin a session, the others continue one of
            // the last twenty.
            if (SlRandom_Below(&random, 2) == 0) {
                sessions++;
            }
            int64_t session = sessions - SlRandom_Below(&random, 20);
            fleet.ask(SlRandom_Below(&random, (uint32_t)fleet.size()), "/x",
                      "s" + std::to_string(session), 5000);
        }
    }
    std::ostringstream what;
    what << deployment.routers << " routers, " << deployment.per_s
         << " requests a second, " << deployment.duration_s << " s: " << target
         << " of " << all << " requests to the target";
    EXPECT_LE((double)target,
              deployment.share * (double)all + deployment.extra)
        << what.str();
    EXPECT_GT(target_first_half, 0) << what.str();
    EXPECT_NE(completed_us, 0) << what.str();
}

TEST(RolloutExposure, KeepsTheBoundWithoutEvidence)
{
    for (const Deployment &deployment : deployments) {
        run_rollout(deployment);
    }
}

} // namespace
