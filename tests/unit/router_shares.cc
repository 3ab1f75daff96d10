// Teams that compete for the upstreams of a plain service: what their callers
// get while one team, or several, or all send more than there is room for.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "router_fleet.h"

namespace {

const size_t routers = 24;
const int slots = 6;
const int64_t run_ms = 60;
const int64_t objective_us = 300 * Sl_US_PER_MS;
const int64_t deadline_ms = 1500;
const size_t teams = 8;

std::string
key_of(size_t team)
{
    return "k" + std::to_string(team);
}

// A route for requests that may run once, a public one like it, and teams with
// a key each.
struct sl_record
teams_record(size_t with_keys = teams)
{
    struct sl_record record = routing_record("s", "/", 1);
    struct sl_error err;
    struct sl_route route = {};
    route.name = SlName_Of("order");
    route.host = Sl_STR("h");
    route.prefix = Sl_STR("/order/");
    route.kind = Sl_ROUTE_AT_MOST_ONCE;
    route.timeout_us = 800 * Sl_US_PER_MS;
    route.target_latency_us = objective_us;
    route.max_attempts = 1;
    struct sl_route_target target = {SlName_Of("s"), 1};
    route.target_count = 1;
    route.targets = &target;
    SlRouting_AddRoute(record.u.routing, &route, &err);
    route.name = SlName_Of("public");
    route.prefix = Sl_STR("/public/");
    route.is_public = true;
    SlRouting_AddRoute(record.u.routing, &route, &err);
    for (size_t i = 0; i < teams; i++) {
        struct sl_team team = {};
        team.name = SlName_Of(("t" + std::to_string(i)).c_str());
        team.priority = -1;
        SlRouting_AddTeam(record.u.routing, &team, &err);
        if (i < with_keys) {
            std::string key = key_of(i);
            SlRouting_AddKey(record.u.routing, view(key), &team.name, &err);
        }
    }
    return record;
}

// What the callers of a team got.
struct TeamOutcome {
    int64_t sent = 0;
    int64_t in_time = 0;
    int64_t late = 0;
    int64_t refused = 0; // not run
    int64_t failed = 0;
    std::vector<int64_t> refused_after_us;

    double
    share_in_time() const
    {
        return (double)in_time / (double)sent;
    }
};

// A fleet, and upstreams that run requests in `slots` slots and queue others.
class Load {
  public:
    Fleet fleet;
    std::vector<TeamOutcome> outcomes;
    // Its requests are on a public route and have no key.
    size_t public_team = teams;

    explicit Load(int upstreams) : outcomes(teams)
    {
        fleet.encodes_digests = true;
        fleet.on_call = [this](const FleetCall &call) { return run(call); };
        fleet.on_reply = [this](uint64_t conn, int status) {
            on_reply(conn, status);
        };
        fleet.load_of = [this](const std::string &id) {
            std::vector<int64_t> &ends_us = run_ends_us[id];
            ends_us.erase(std::remove_if(ends_us.begin(), ends_us.end(),
                                         [this](int64_t us) {
                                             return us <= fleet.now();
                                         }),
                          ends_us.end());
            return (int64_t)ends_us.size();
        };
        fleet.start(routers, small_bounds());
        for (size_t i = 0; i < routers; i++) {
            fleet.restart(i);
            fleet.advance_ms(20); // they do not all gossip at one time
        }
        fleet.append(Sl_FEED_OPERATORS, "config", teams_record());
        for (int i = 0; i < upstreams; i++) {
            std::string id = "u" + std::to_string(i);
            fleet.append(Sl_FEED_UPSTREAMS, id,
                         upstream_record(id, "s", "v1", slots));
        }
        fleet.advance_ms(2000);
    }

    // Requests that the upstreams can run in a second.
    static double
    capacity(int upstreams)
    {
        return upstreams * slots * 1000.0 / run_ms;
    }

    // Lets each team send its number of requests a second.
    void
    play(const std::vector<double> &per_s, int64_t seconds)
    {
        std::vector<double> due;
        for (size_t team = 0; team < teams; team++) {
            due.push_back((double)SlRandom_Below(&random, 100) / 100);
        }
        for (int64_t end_us = fleet.now() + seconds * Sl_US_PER_S;
             fleet.now() < end_us;) {
            fleet.advance_step();
            for (size_t team = 0; team < teams; team++) {
                due[team] += per_s[team] * Fleet::step_ms / 1000;
                for (; due[team] >= 1; due[team]--) {
                    send(team);
                }
            }
        }
        fleet.advance_ms(deadline_ms);
    }

    void
    send(size_t team)
    {
        uint64_t conn = fleet.next_conn();
        bool is_public = team == public_team;
        sent[conn] = {team, fleet.now()};
        outcomes[team].sent++;
        fleet.send_request(SlRandom_Below(&random, routers),
                           is_public ? "/public/x" : "/order/x", "",
                           deadline_ms, "", 0, is_public ? "" : key_of(team));
    }

    TeamOutcome
    sum_of(size_t from, size_t to) const
    {
        TeamOutcome sum;
        for (size_t i = from; i < to; i++) {
            sum.sent += outcomes[i].sent;
            sum.in_time += outcomes[i].in_time;
            sum.late += outcomes[i].late;
            sum.refused += outcomes[i].refused;
            sum.failed += outcomes[i].failed;
            sum.refused_after_us.insert(sum.refused_after_us.end(),
                                        outcomes[i].refused_after_us.begin(),
                                        outcomes[i].refused_after_us.end());
        }
        return sum;
    }

    // Share of the refusals that came within 100 ms.
    double
    refused_at_once() const
    {
        TeamOutcome all = sum_of(0, teams);
        int64_t early = std::count_if(
            all.refused_after_us.begin(), all.refused_after_us.end(),
            [](int64_t us) { return us <= 100 * Sl_US_PER_MS; });
        return all.refused == 0 ? 1 : (double)early / (double)all.refused;
    }

    void
    end_upstream(const std::string &id)
    {
        ended.insert(id);
        fleet.end_upstream(id);
    }

    // For messages of failed checks.
    std::string
    text() const
    {
        std::string all;
        for (const TeamOutcome &outcome : outcomes) {
            all += std::to_string(outcome.sent) + " sent, " +
                   std::to_string(outcome.in_time) + " in time, " +
                   std::to_string(outcome.late) + " late, " +
                   std::to_string(outcome.refused) + " refused, " +
                   std::to_string(outcome.failed) + " failed\n";
        }
        return all;
    }

  private:
    struct SentRequest {
        size_t team;
        int64_t at_us;
    };
    struct sl_random random = {17};
    std::map<uint64_t, SentRequest> sent;
    std::map<std::string, std::vector<int64_t>> free_us; // by upstream, slots
    std::map<std::string, std::vector<int64_t>>
        run_ends_us;             // of requests there
    std::set<std::string> ran;   // ids of requests
    std::set<std::string> ended; // ids of upstreams

    FleetResponse
    run(const FleetCall &call)
    {
        FleetResponse response;
        if (ended.count(call.upstream) > 0) {
            return response; // the call does not connect
        }
        std::vector<int64_t> &free_at = free_us[call.upstream];
        free_at.resize(slots, 0);
        auto slot = std::min_element(free_at.begin(), free_at.end());
        // Runs take half to one and a half times as long as the mean.
        int64_t took_us =
            (run_ms / 2 + SlRandom_Below(&random, run_ms)) * Sl_US_PER_MS;
        *slot = std::max(*slot, call.at_us) + took_us;
        response.after_us = *slot - call.at_us;
        run_ends_us[call.upstream].push_back(*slot);
        EXPECT_TRUE(ran.insert(call.request).second) << "ran twice";
        return response;
    }

    void
    on_reply(uint64_t conn, int status)
    {
        const SentRequest &request = sent.at(conn);
        TeamOutcome &outcome = outcomes[request.team];
        int64_t took_us = fleet.now() - request.at_us;
        if (status == 200) {
            (took_us <= objective_us ? outcome.in_time : outcome.late)++;
        }
        else if (status == 503) {
            outcome.refused++;
            outcome.refused_after_us.push_back(took_us);
            EXPECT_EQ(ran.count("r" + std::to_string(conn)), 0u)
                << "refused as not run, but it ran";
        }
        else {
            outcome.failed++;
        }
    }
};

// Each team but the first sends 10 a second; all are served while that one
// sends nine times as much as there is room for.
TEST(Shares, HotTeamWaitsBehindItself)
{
    Load load(3);
    std::vector<double> per_s(teams, 10);
    per_s[0] = 9 * Load::capacity(3) / 3;
    load.play(per_s, 10);
    TeamOutcome others = load.sum_of(1, teams);
    const TeamOutcome &hot = load.outcomes[0];
    EXPECT_GE(others.share_in_time(), 0.97) << load.text();
    EXPECT_EQ(others.failed, 0);
    // The hot team gets what the others leave, most of it in time.
    EXPECT_GE((double)hot.in_time, 0.7 * 10 * (Load::capacity(3) - 70));
    EXPECT_LE((double)hot.late, 0.2 * (double)hot.in_time);
    EXPECT_LE((double)hot.failed, 0.01 * (double)hot.sent);
    EXPECT_GE(load.refused_at_once(), 0.9);
}

TEST(Shares, ThreeHotTeamsGetTheSame)
{
    Load load(3);
    std::vector<double> per_s = {300, 270, 240, 10, 10, 10, 10, 10};
    load.play(per_s, 10);
    EXPECT_GE(load.sum_of(3, teams).share_in_time(), 0.97) << load.text();
    double least = 1e9;
    double most = 0;
    for (size_t team = 0; team < 3; team++) {
        double served =
            (double)(load.outcomes[team].in_time + load.outcomes[team].late);
        least = std::min(least, served);
        most = std::max(most, served);
    }
    EXPECT_LE(most, 1.25 * least);
    TeamOutcome all = load.sum_of(0, teams);
    EXPECT_GE((double)(all.in_time + all.late), 0.85 * 10 * Load::capacity(3));
    EXPECT_GE((double)all.in_time, 0.7 * 10 * Load::capacity(3));
}

// Public requests are of many clients. Guards against counting them as those
// of one team, whose share is an eighth of what they send.
TEST(Shares, RequestsWithoutATeamAreServedLikeThoseOfTeams)
{
    Load load(1);
    load.public_team = 0;
    std::vector<double> per_s(teams, 20);
    per_s[0] = 160;
    load.play(per_s, 10);
    TeamOutcome with_team = load.sum_of(1, teams);
    const TeamOutcome &without = load.outcomes[0];
    EXPECT_GE((double)(without.in_time + without.late) / (double)without.sent,
              0.5 * (double)(with_team.in_time + with_team.late) /
                  (double)with_team.sent)
        << load.text();
    EXPECT_LE((double)without.failed, 0.01 * (double)without.sent);
    EXPECT_GE(with_team.share_in_time(), 0.25) << load.text();
}

// All teams send twice what is left of four upstreams when one ends.
TEST(Shares, BurstWithAQuarterOfTheUpstreamsGone)
{
    Load load(4);
    load.play(std::vector<double>(teams, 30), 2);
    TeamOutcome before = load.sum_of(0, teams);
    EXPECT_GE(before.share_in_time(), 0.99);
    load.end_upstream("u3");
    load.play(std::vector<double>(teams, 2 * Load::capacity(3) / teams), 10);
    TeamOutcome all = load.sum_of(0, teams);
    EXPECT_GE((double)(all.in_time - before.in_time),
              0.6 * 10 * Load::capacity(3))
        << load.text();
    EXPECT_LE((double)all.failed, 0.01 * (double)all.sent);
    EXPECT_GE(load.refused_at_once(), 0.8);
}

// Requests that wait when their team's keys are withdrawn, and when the teams
// change, are still answered; new ones without a key are not let in.
TEST(Shares, ConfigurationChangesWhileRequestsWait)
{
    Load load(1);
    for (int i = 0; i < 60; i++) {
        load.send(0);
        load.send(1);
    }
    load.fleet.append(Sl_FEED_OPERATORS, "config", teams_record(1));
    load.fleet.append(Sl_FEED_OPERATORS, "config",
                      routing_record("s", "/", 1));
    load.fleet.advance_ms(deadline_ms);
    for (size_t team = 0; team < 2; team++) {
        const TeamOutcome &outcome = load.outcomes[team];
        EXPECT_EQ(outcome.in_time + outcome.late + outcome.refused +
                      outcome.failed,
                  outcome.sent);
        EXPECT_GT(outcome.in_time, 0);
    }
}

} // namespace
