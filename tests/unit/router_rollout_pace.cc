// Roll-outs of versions whose engines begin their responses later or as soon
// as those of the baseline, at the few requests that a canary gets.
#include <gtest/gtest.h>

#include <cmath>

#include "router_fleet.h"

namespace {

const double requests_per_s = 16;
const int64_t duration_us = 15 * Sl_US_PER_S;
// Spread of the time to the head, as the standard deviation of its logarithm.
const double time_spread = 0.35;

class RolloutPace : public testing::TestWithParam<uint64_t> {
  protected:
    Fleet fleet;
    struct sl_random random = {};
    std::map<std::string, int64_t> tokens; // of prompts, by request
    double target_factor = 1; // time of the target over the baseline's
    enum sl_rollout_state state = Sl_ROLLOUT_RUNNING;

    // Approximately normal, with mean 0 and standard deviation 1.
    double
    normal()
    {
        double sum = 0;
        for (int i = 0; i < 12; i++) {
            sum += SlRandom_Below(&random, 1000) / 1000.0;
        }
        return sum - 6;
    }

    FleetResponse
    respond(const FleetCall &call)
    {
        FleetResponse response;
        double factor = call.upstream[0] == 'n' ? target_factor : 1;
        double usual_us = 30e3 + 20.0 * (double)tokens[call.request];
        response.after_us =
            (int64_t)(usual_us * factor * exp(time_spread * normal()));
        response.run_us = 500 * Sl_US_PER_MS;
        return response;
    }

    void
    send_requests(int64_t for_us)
    {
        double due = 0;
        int64_t sessions = 0;
        for (int64_t end_us = fleet.now() + for_us; fleet.now() < end_us;) {
            fleet.advance_step();
            for (due += requests_per_s * Fleet::step_ms / 1000; due >= 1;
                 due--) {
                sessions += SlRandom_Below(&random, 2);
                int64_t session = sessions - SlRandom_Below(&random, 20);
                int64_t length = 500 + SlRandom_Below(&random, 4000);
                tokens["r" + std::to_string(fleet.next_conn())] = length;
                fleet.send_request(
                    SlRandom_Below(&random, (uint32_t)fleet.size()), "/x",
                    "s" + std::to_string(session), 10000, "m", length);
            }
        }
    }

    // Orders a roll-out of a version that takes `factor` times as long, and
    // returns its state at the end of the order's time.
    enum sl_rollout_state
    roll_out(double factor, size_t routers = 4)
    {
        target_factor = factor;
        random = {GetParam()};
        fleet.encodes_digests = true;
        fleet.on_call = [this](const FleetCall &call) {
            return respond(call);
        };
        fleet.on_status = [this](const struct sl_record &record) {
            state = record.u.status.state;
        };
        struct sl_bounds bounds = small_bounds();
        bounds.exposure_share = 0.15;
        bounds.exposure_extra = 30;
        fleet.start(routers, bounds);
        fleet.append(Sl_FEED_OPERATORS, "config",
                     routing_record("s", "/", 2, {"m"}));
        for (int i = 0; i < 9; i++) {
            std::string number = std::to_string(i);
            fleet.append(Sl_FEED_UPSTREAMS, "o" + number,
                         upstream_record("o" + number, "s", "v1", 64));
        }
        fleet.advance_ms(2000);
        send_requests(10 * Sl_US_PER_S);
        for (int i = 0; i < 9; i++) {
            std::string number = std::to_string(i);
            fleet.append(Sl_FEED_UPSTREAMS, "n" + number,
                         upstream_record("n" + number, "s", "v2", 64));
        }
        struct sl_record order = {};
        order.type = Sl_RECORD_ROLLOUT;
        order.u.rollout.service = SlName_Of("s");
        order.u.rollout.version = SlName_Of("v2");
        order.u.rollout.duration_us = duration_us;
        fleet.append(Sl_FEED_OPERATORS, "rollout/s", order);
        send_requests(duration_us);
        return state;
    }
};

TEST_P(RolloutPace, VersionTwiceAsSlowIsNotCompleted)
{
    EXPECT_EQ(roll_out(2.2), Sl_ROLLOUT_ROLLED_BACK);
}

// A router that has not heard of the verdict may complete the roll-out.
TEST_P(RolloutPace, VerdictReachesAllRoutersAtOnce)
{
    const int64_t two_hops_us = 2 * (25 + Fleet::step_ms) * Sl_US_PER_MS;
    std::map<size_t, int64_t> known_us; // by router
    fleet.on_log = [&](size_t router, const std::string &line) {
        bool is_verdict =
            line.find("\"rollout_suspect\"") != std::string::npos ||
            (line.find("\"rollout_status\"") != std::string::npos &&
             line.find("\"rolled_back\"") != std::string::npos);
        if (is_verdict) {
            known_us.insert({router, fleet.now()});
        }
    };
    roll_out(2.2, 24);
    ASSERT_EQ(known_us.size(), fleet.size());
    int64_t first_us = INT64_MAX;
    for (const auto &[router, at_us] : known_us) {
        first_us = std::min(first_us, at_us);
    }
    for (const auto &[router, at_us] : known_us) {
        EXPECT_LE(at_us - first_us, two_hops_us) << "router " << router;
    }
}

TEST_P(RolloutPace, SoundVersionIsCompleted)
{
    EXPECT_EQ(roll_out(1), Sl_ROLLOUT_COMPLETED);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RolloutPace, testing::Range<uint64_t>(1, 13));

} // namespace
