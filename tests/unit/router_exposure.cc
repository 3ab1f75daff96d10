// Number of requests that a roll-out's target gets before the order's time is
// over, while there is no evidence against it: within the bound for bad
// versions, since a version that fails only under load looks like a good one
// until it gets all traffic.
#include <gtest/gtest.h>

#include "router_fleet.h"

namespace {

struct Deployment {
    size_t routers;
    double per_s;       // requests a second of the whole fleet
    int64_t duration_s; // time of the order
    double share;       // `exposure_share`
    double extra;       // `exposure_extra`
};

// Small and large deployments with their bounds, and a long order at a low
// rate, like one of an hour at one request a second.
const Deployment deployments[] = {
    {1, 20, 24, 0.15, 30}, {4, 25, 24, 0.15, 30},   {4, 60, 16, 0.15, 30},
    {4, 25, 16, 0.15, 30}, {30, 150, 24, 0.12, 30}, {23, 140, 16, 0.12, 30},
    {4, 3, 120, 0.15, 30}, {2, 100, 24, 0.15, 0},
};

// Runs one roll-out, and expects that it completes within the bound. No router
// fails and there are no bursts, either of which would use up a part of the
// bound.
void
run_rollout(const Deployment &deployment)
{
    struct sl_bounds bounds = small_bounds();
    bounds.exposure_share = deployment.share;
    bounds.exposure_extra = deployment.extra;
    struct sl_random random = {7};
    // Calls in the order's time: all, those to the target, and those to the
    // target in the first half of that time.
    int64_t all_calls = 0;
    int64_t target_calls = 0;
    int64_t target_first_half = 0;
    int64_t ordered_us = 0;
    int64_t completed_us = 0;
    int64_t duration_us = deployment.duration_s * Sl_US_PER_S;
    Fleet fleet;
    fleet.on_call = [&](const FleetCall &call) {
        FleetResponse response;
        bool in_time =
            ordered_us != 0 && call.at_us - ordered_us < duration_us;
        bool is_target = call.upstream[0] == 'n';
        all_calls += in_time ? 1 : 0;
        target_calls += in_time && is_target ? 1 : 0;
        target_first_half +=
            is_target && call.at_us - ordered_us < duration_us / 2 ? 1 : 0;
        response.after_us =
            (100 + SlRandom_Below(&random, 700)) * Sl_US_PER_MS;
        return response;
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
        // Old ones of the baseline, and new ones of the target.
        std::string number = std::to_string(i);
        fleet.append(Sl_FEED_UPSTREAMS, "o" + number,
                     upstream_record("o" + number, "s", "v1", 64));
        fleet.append(Sl_FEED_UPSTREAMS, "n" + number,
                     upstream_record("n" + number, "s", "v2", 64));
    }
    fleet.advance_ms(2000);
    struct sl_record order = {};
    order.type = Sl_RECORD_ROLLOUT;
    order.u.rollout.service = SlName_Of("s");
    order.u.rollout.version = SlName_Of("v2");
    order.u.rollout.duration_us = duration_us;
    ordered_us = fleet.now();
    fleet.append(Sl_FEED_OPERATORS, "rollout/s", order);
    double requests_due = 0;
    int64_t sessions = 0;
    while (fleet.now() - ordered_us < duration_us) {
        fleet.advance_step();
        for (requests_due += deployment.per_s * Fleet::step_ms / 1000;
             requests_due >= 1; requests_due--) {
            // Half of the requests begin a session, the others continue one of
            // the last twenty.
            if (SlRandom_Below(&random, 2) == 0) {
                sessions++;
            }
            int64_t session = sessions - SlRandom_Below(&random, 20);
            fleet.send_request(SlRandom_Below(&random, (uint32_t)fleet.size()),
                               "/x", "s" + std::to_string(session), 5000);
        }
    }
    std::ostringstream summary;
    summary << deployment.routers << " routers, " << deployment.per_s
            << " requests a second, " << deployment.duration_s
            << " s: " << target_calls << " of " << all_calls
            << " requests to the target";
    EXPECT_LE((double)target_calls,
              deployment.share * (double)all_calls + deployment.extra)
        << summary.str();
    EXPECT_GT(target_first_half, 0) << summary.str();
    EXPECT_NE(completed_us, 0) << summary.str();
}

TEST(RolloutExposure, KeepsTheBoundWithoutEvidence)
{
    for (const Deployment &deployment : deployments) {
        run_rollout(deployment);
    }
}

} // namespace
