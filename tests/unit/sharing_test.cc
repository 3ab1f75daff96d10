// Fair shares of teams over several routers, the order of waiting requests,
// and the refusal of those that could not end in time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "sl_sharing.h"
}

namespace {

const uint32_t service = 7;
const int64_t run_us = 60 * Sl_US_PER_MS;
const int64_t slots = 18;
const int64_t silent_us = 2500 * Sl_US_PER_MS;

struct sl_sharing_claim
claim_of(uint32_t team, uint32_t route = 1, uint32_t session = 0)
{
    return {service, team, route, session};
}

// The state of one router.
class Router {
  public:
    explicit Router(const std::string &vm = "e1")
        : name(SlName_Of(vm.c_str())), sharing(SlSharing_New(), SlSharing_Free)
    {
    }

    struct sl_sharing *
    get() const
    {
        return sharing.get();
    }

    void
    queue(uint32_t team, int count = 1)
    {
        struct sl_sharing_claim claim = claim_of(team);
        for (int i = 0; i < count; i++) {
            SlSharing_OnQueued(get(), &claim);
        }
    }

    void
    hold(uint32_t team, int count = 1, uint32_t route = 1,
         uint32_t session = 0)
    {
        struct sl_sharing_claim claim = claim_of(team, route, session);
        for (int i = 0; i < count; i++) {
            SlSharing_OnSent(get(), &claim);
        }
    }

    void
    end(uint32_t team, int count = 1)
    {
        struct sl_sharing_claim claim = claim_of(team);
        for (int i = 0; i < count; i++) {
            SlSharing_OnEnded(get(), &claim);
        }
    }

    void
    report_to(const Router &other, int64_t sent_us) const
    {
        struct sl_gossip_share shares[Sl_GOSSIP_MAX_SHARES];
        size_t count =
            SlSharing_FillReport(get(), shares, Sl_GOSSIP_MAX_SHARES);
        SlSharing_OnReport(other.get(), sent_us, &name, shares, count);
    }

    struct sl_sharing_allotment
    allot(int64_t now_us) const
    {
        return SlSharing_Allot(get(), now_us, service, slots, run_us);
    }

    // Requests a second that this router may send.
    double
    pace(int64_t now_us) const
    {
        return (double)Sl_US_PER_S / (double)allot(now_us).interval_us;
    }

    struct sl_name name;

  private:
    std::unique_ptr<struct sl_sharing, void (*)(struct sl_sharing *)> sharing;
};

// Pace of the whole service.
const double service_pace =
    (double)slots * (double)Sl_US_PER_S / (double)run_us;

// ---- order ----

struct sl_sharing_waiter
waiter_of(uint32_t team, uint64_t arrival, uint32_t route = 1,
          uint32_t session = 0)
{
    struct sl_sharing_waiter waiter = {};
    waiter.claim = claim_of(team, route, session);
    waiter.arrival = arrival;
    waiter.index = arrival;
    return waiter;
}

std::vector<size_t>
sorted(const Router &router, std::vector<struct sl_sharing_waiter> waiters)
{
    std::vector<size_t> order;
    SlSharing_Sort(router.get(), waiters.data(), waiters.size());
    for (const struct sl_sharing_waiter &waiter : waiters) {
        order.push_back(waiter.index);
    }
    return order;
}

using Order = std::vector<size_t>;

TEST(SharingOrder, BurstOfOneTeamWaitsBehindItself)
{
    Router router;
    EXPECT_EQ(
        sorted(router, {waiter_of(1, 0), waiter_of(1, 1), waiter_of(1, 2),
                        waiter_of(2, 3), waiter_of(3, 4), waiter_of(3, 5)}),
        (Order{0, 3, 4, 1, 5, 2}));
}

TEST(SharingOrder, TeamThatHoldsLessGoesFirst)
{
    Router router;
    Router peer("e2");
    router.hold(1);
    peer.hold(1, 1);
    peer.report_to(router, 0);
    // Team 1 holds two requests, one of them at the other router.
    EXPECT_EQ(sorted(router, {waiter_of(1, 0), waiter_of(2, 1),
                              waiter_of(2, 2), waiter_of(2, 3)}),
              (Order{1, 2, 0, 3}));
}

TEST(SharingOrder, MoreUrgentRequestsGoFirst)
{
    Router router;
    struct sl_sharing_waiter urgent = waiter_of(1, 2);
    struct sl_sharing_waiter others[] = {waiter_of(2, 0), waiter_of(1, 1)};
    others[0].priority = others[1].priority = 1;
    router.hold(1, 9);
    EXPECT_EQ(sorted(router, {others[0], others[1], urgent}),
              (Order{2, 0, 1}));
}

TEST(SharingOrder, RoutesAndSessionsOfATeamShareItsPart)
{
    Router router;
    EXPECT_EQ(sorted(router, {waiter_of(1, 0, 1), waiter_of(1, 1, 1),
                              waiter_of(1, 2, 2)}),
              (Order{0, 2, 1}));
    EXPECT_EQ(sorted(router, {waiter_of(1, 0, 1, 5), waiter_of(1, 1, 1, 5),
                              waiter_of(1, 2, 1, 6)}),
              (Order{0, 2, 1}));
    router.hold(1, 1, 1, 5);
    EXPECT_EQ(sorted(router, {waiter_of(1, 0, 1, 5), waiter_of(1, 1, 1, 6)}),
              (Order{1, 0}));
}

TEST(SharingOrder, ThoseWhoComeBackGoBeforeNewOnesOfTheirTeamOnly)
{
    Router router;
    struct sl_sharing_waiter returned = waiter_of(1, 3);
    returned.has_returned = true;
    router.hold(1);
    EXPECT_EQ(sorted(router, {waiter_of(1, 0), waiter_of(1, 1),
                              waiter_of(2, 2), returned}),
              (Order{2, 3, 0, 1}));
}

// Random loads at one service with room for four: each team's first request
// is sent soon, whatever the others have queued, and room is never left free
// while somebody waits.
TEST(SharingOrder, NobodyStarvesUnderRandomLoads)
{
    const int teams = 6;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Router router;
        struct sl_random random = {seed};
        std::vector<struct sl_sharing_waiter> waiting;
        std::vector<uint32_t> held;
        std::map<size_t, int> waited;
        for (uint64_t arrival = 0, step = 0; step < 3000; step++) {
            // Team 1 sends most; waiting for at most 200 at a time.
            uint32_t team = SlRandom_Below(&random, 3) > 0
                                ? 1
                                : 1 + SlRandom_Below(&random, teams);
            if (waiting.size() < 200) {
                waiting.push_back(waiter_of(team, arrival++,
                                            1 + SlRandom_Below(&random, 2),
                                            SlRandom_Below(&random, 4)));
            }
            if (held.size() == 4) {
                size_t at = SlRandom_Below(&random, (uint32_t)held.size());
                router.end(held[at]);
                held.erase(held.begin() + (long)at);
            }
            SlSharing_Sort(router.get(), waiting.data(), waiting.size());
            while (held.size() < 4 && !waiting.empty()) {
                held.push_back(waiting.front().claim.team);
                router.hold(held.back());
                waiting.erase(waiting.begin());
            }
            std::map<uint32_t, bool> is_first;
            for (const struct sl_sharing_waiter &waiter : waiting) {
                if (waiter.claim.team != 1 && !is_first[waiter.claim.team]) {
                    is_first[waiter.claim.team] = true;
                    // One request ends in each step, and one of each team
                    // goes before.
                    ASSERT_LE(++waited[waiter.index], 4 * teams)
                        << "seed " << seed;
                }
            }
        }
    }
}

// ---- fair shares ----

TEST(SharingShares, UnusedShareIsLent)
{
    Router router;
    router.hold(1, 100);
    router.queue(2, 3);
    EXPECT_EQ(SlSharing_FairShare(router.get(), service, 27), 24);
    router.queue(3, 50);
    EXPECT_EQ(SlSharing_FairShare(router.get(), service, 27), 12);
    EXPECT_EQ(SlSharing_FairShare(router.get(), service, 153), INT64_MAX);
}

TEST(SharingShares, SumOfSharesIsTheRoom)
{
    struct sl_random random = {3};
    for (int round = 0; round < 200; round++) {
        Router router;
        std::vector<int64_t> wants;
        int64_t room = 1 + SlRandom_Below(&random, 60);
        for (uint32_t team = 1; team <= 24; team++) {
            wants.push_back(1 + SlRandom_Below(&random, 12));
            router.queue(team, (int)wants.back());
        }
        int64_t share = SlSharing_FairShare(router.get(), service, room);
        int64_t sum = 0;
        for (int64_t want : wants) {
            sum += std::min(want, share);
        }
        if (share != INT64_MAX) {
            EXPECT_LE(sum, room);
            EXPECT_GT(sum, room - (int64_t)wants.size());
        }
    }
}

// ---- several routers ----

// Routers that report to each other.
std::vector<Router>
fleet_of(size_t count)
{
    std::vector<Router> fleet;
    for (size_t i = 0; i < count; i++) {
        fleet.emplace_back("e" + std::to_string(i));
    }
    return fleet;
}

void
report_all(std::vector<Router> &fleet, int64_t now_us)
{
    for (Router &from : fleet) {
        for (Router &to : fleet) {
            if (&from != &to) {
                from.report_to(to, now_us);
            }
        }
    }
}

TEST(SharingAllotment, PacesOfAllRoutersAreThatOfTheService)
{
    struct sl_random random = {5};
    std::vector<Router> fleet = fleet_of(24);
    for (Router &router : fleet) {
        for (uint32_t team = 1; team <= 8; team++) {
            router.queue(team, (int)SlRandom_Below(&random, 6));
        }
    }
    // Upstreams hold what they should.
    fleet.front().hold(1, 27);
    report_all(fleet, 0);
    double sum = 0;
    for (Router &router : fleet) {
        EXPECT_TRUE(router.allot(0).is_contended);
        sum += router.pace(0);
    }
    EXPECT_NEAR(sum, service_pace, service_pace * 0.02);
}

TEST(SharingAllotment, RouterOfASmallTeamSendsItsFirstRequestAtOnce)
{
    std::vector<Router> fleet = fleet_of(10);
    for (size_t i = 0; i + 1 < fleet.size(); i++) {
        fleet[i].queue(1, 30);
        fleet[i].hold(1, 3);
    }
    Router &small = fleet.back();
    small.queue(2);
    report_all(fleet, 0);
    EXPECT_EQ(small.allot(0).free_us, 0);
    // The others may use what it leaves.
    double sum = 0;
    for (size_t i = 0; i + 1 < fleet.size(); i++) {
        EXPECT_GT(fleet[i].allot(0).interval_us, 0);
        sum += fleet[i].pace(0);
    }
    EXPECT_NEAR(sum, service_pace * 26 / 27, service_pace * 0.02);
}

TEST(SharingAllotment, RouterSendsNoFasterThanItsPace)
{
    std::vector<Router> fleet = fleet_of(2);
    fleet[0].queue(1, 100);
    fleet[1].queue(1, 100);
    fleet[1].hold(1, 27);
    report_all(fleet, 0);
    int sent = 0;
    for (int64_t now_us = 0; now_us < Sl_US_PER_S; now_us += Sl_US_PER_MS) {
        while (fleet[0].allot(now_us).free_us == 0 && sent < 10000) {
            fleet[0].hold(1);
            fleet[0].end(1);
            sent++;
        }
    }
    // Of the 227 requests that the team has, 100 are here.
    EXPECT_NEAR(sent, service_pace * 100 / 227, service_pace * 0.02);
}

TEST(SharingAllotment, WithoutContentionRoutersSendFreely)
{
    Router router;
    router.hold(1, 20);
    router.queue(2, 7);
    struct sl_sharing_allotment allotment = router.allot(0);
    EXPECT_FALSE(allotment.is_contended);
    EXPECT_EQ(allotment.free_us, 0);
    EXPECT_EQ(allotment.share, INT64_MAX);
}

TEST(SharingAllotment, ContentionLastsThroughShortBreaks)
{
    Router router;
    const int64_t ms = Sl_US_PER_MS;
    router.queue(1, 40);
    EXPECT_EQ(router.allot(1000 * ms).contended_us, 0);
    EXPECT_EQ(router.allot(1150 * ms).contended_us, 150 * ms);
    EXPECT_EQ(router.allot(1300 * ms).contended_us, 300 * ms);
    EXPECT_EQ(router.allot(1600 * ms).contended_us, 0);
}

// Before it has heard of the others, a new router has the whole pace; the
// first digests give it its part.
TEST(SharingFailures, NewRouterTakesItsPartFromTheFirstDigests)
{
    std::vector<Router> fleet = fleet_of(4);
    for (Router &router : fleet) {
        router.queue(1, 40);
    }
    double alone = fleet[3].pace(0);
    EXPECT_GT(alone, service_pace * 0.9);
    report_all(fleet, 0);
    EXPECT_NEAR(fleet[3].pace(0), alone / 4, alone / 40);
}

TEST(SharingFailures, KilledRouterCountsUntilItsReportIsTooOld)
{
    std::vector<Router> fleet = fleet_of(2);
    fleet[0].queue(1, 40);
    fleet[1].queue(1, 40);
    report_all(fleet, 0);
    SlSharing_Expire(fleet[0].get(), silent_us, silent_us);
    EXPECT_EQ(SlSharing_Team(fleet[0].get(), service, 1).waiting, 80);
    SlSharing_Expire(fleet[0].get(), silent_us + 1, silent_us);
    EXPECT_EQ(SlSharing_Team(fleet[0].get(), service, 1).waiting, 40);
    EXPECT_EQ(SlSharing_PeerCount(fleet[0].get()), 0u);
    EXPECT_EQ(SlSharing_ReportAgeUs(fleet[0].get(), silent_us + 1), 0);
}

// Both sides of a cut keep their parts while their last view counts. Then
// each takes the whole pace: the paces add up to that of the service times the
// number of sides.
TEST(SharingFailures, SidesOfACutTakeThePaceOnceEachAtMost)
{
    std::vector<Router> fleet = fleet_of(6);
    for (Router &router : fleet) {
        router.queue(1, 20);
        router.hold(1, 5);
    }
    report_all(fleet, 0);
    const auto sum_of_paces = [&fleet](int64_t now_us) {
        double sum = 0;
        for (Router &router : fleet) {
            SlSharing_Expire(router.get(), now_us, silent_us);
            sum += router.pace(now_us);
        }
        return sum;
    };
    double whole = sum_of_paces(0);
    for (int64_t now_us : {silent_us, silent_us + 1}) {
        for (size_t from = 0; from < 6; from++) {
            for (size_t to = 0; to < 6; to++) {
                if (from != to && from / 3 == to / 3) {
                    fleet[from].report_to(fleet[to], now_us);
                }
            }
        }
        double sum = sum_of_paces(now_us);
        if (now_us == silent_us) {
            EXPECT_NEAR(sum, whole, whole * 0.02);
        }
        else {
            EXPECT_GT(sum, whole * 1.5);
            // Either side's upstreams seem to hold half as much.
            EXPECT_LE(sum, service_pace * 2 * 1.1 * 1.01);
        }
    }
}

TEST(SharingFailures, PauseOfThisProcessMakesNoReportOlder)
{
    std::vector<Router> fleet = fleet_of(2);
    fleet[1].queue(1, 40);
    report_all(fleet, 0);
    SlSharing_OnPause(fleet[0].get(), 10 * silent_us);
    SlSharing_Expire(fleet[0].get(), 10 * silent_us, silent_us);
    EXPECT_EQ(SlSharing_Team(fleet[0].get(), service, 1).waiting, 40);
}

// ---- reports ----

TEST(SharingReports, ReportReplacesTheLastOne)
{
    std::vector<Router> fleet = fleet_of(2);
    fleet[1].queue(1, 4);
    fleet[1].hold(2, 3);
    report_all(fleet, 0);
    report_all(fleet, 0);
    EXPECT_EQ(SlSharing_Service(fleet[0].get(), service).waiting, 4);
    EXPECT_EQ(SlSharing_Service(fleet[0].get(), service).held, 3);
    fleet[1].end(2, 3);
    report_all(fleet, 0);
    EXPECT_EQ(SlSharing_Service(fleet[0].get(), service).held, 0);
    SlSharing_OnPeerGone(fleet[0].get(), &fleet[1].name);
    EXPECT_EQ(SlSharing_Service(fleet[0].get(), service).waiting, 0);
}

TEST(SharingReports, SmallTeamsAreReportedTogether)
{
    Router router;
    Router peer("e2");
    for (uint32_t team = 1; team <= 30; team++) {
        peer.queue(team, (int)team);
    }
    peer.report_to(router, 0);
    EXPECT_EQ(SlSharing_Service(router.get(), service).waiting, 30 * 31 / 2);
    EXPECT_EQ(SlSharing_Team(router.get(), service, 30).waiting, 30);
    EXPECT_EQ(SlSharing_Team(router.get(), service, 1).waiting, 0);
    EXPECT_GT(SlSharing_Team(router.get(), service, 0).waiting, 0);
}

TEST(SharingReports, StateEndsWithTheRequests)
{
    Router router;
    struct sl_gossip_share shares[Sl_GOSSIP_MAX_SHARES];
    for (uint32_t team = 1; team <= 1000; team++) {
        struct sl_sharing_claim claim = claim_of(team, team % 3 + 1, team);
        SlSharing_OnQueued(router.get(), &claim);
        SlSharing_OnUnqueued(router.get(), &claim);
        SlSharing_OnSent(router.get(), &claim);
        SlSharing_OnEnded(router.get(), &claim);
    }
    EXPECT_EQ(SlSharing_FillReport(router.get(), shares, Sl_GOSSIP_MAX_SHARES),
              0u);
}

TEST(SharingReports, PeersAreBounded)
{
    Router router;
    const struct sl_gossip_share share = {service, 1, 1, 0};
    for (int i = 0; i < 10000; i++) {
        struct sl_name vm = SlName_Of(("e" + std::to_string(i)).c_str());
        SlSharing_OnReport(router.get(), 0, &vm, &share, 1);
    }
    EXPECT_LE(SlSharing_PeerCount(router.get()), 4096u);
    SlSharing_Expire(router.get(), silent_us + 1, silent_us);
    EXPECT_EQ(SlSharing_Service(router.get(), service).held, 0);
}

// ---- clients that come back, run times ----

TEST(SharingReturns, ShorterDeadlineTellsTheTimeThatWasTried)
{
    Router router;
    const int64_t usual_us = 1500 * Sl_US_PER_MS;
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(SlSharing_TriedUs(router.get(), 1, usual_us), 0);
        int64_t tried_us =
            SlSharing_TriedUs(router.get(), 1, usual_us - 500 * Sl_US_PER_MS);
        EXPECT_NEAR((double)tried_us, 500e3, 50e3);
    }
    // Another route has its own; a request without a deadline tells nothing.
    EXPECT_EQ(SlSharing_TriedUs(router.get(), 2, Sl_US_PER_S), 0);
    EXPECT_EQ(SlSharing_TriedUs(router.get(), 1, 0), 0);
}

TEST(SharingRuns, WaitInTheUpstreamsQueueIsNotPartOfTheRun)
{
    Router router;
    EXPECT_EQ(SlSharing_RunUs(router.get(), service, 5), 5);
    for (int i = 0; i < 10; i++) {
        SlSharing_OnRan(router.get(), service, 2 * run_us, 12, 6);
        SlSharing_OnRan(router.get(), service, run_us, 3, 6);
    }
    EXPECT_EQ(SlSharing_RunUs(router.get(), service, 5), run_us);
}

// ---- admission ----

// A request that may run once, waits for three upstreams of six slots, and has
// 0.3 s to its objective and 0.8 s to its deadline.
struct sl_admission_state
waiting_state()
{
    struct sl_admission_state state = {};
    state.usable_slots = slots;
    state.run_us = run_us;
    state.begin_us = run_us;
    state.free_us = 3 * Sl_US_PER_MS;
    state.interval_us = 20 * Sl_US_PER_MS;
    state.objective_left_us = 300 * Sl_US_PER_MS;
    state.time_left_us = 800 * Sl_US_PER_MS;
    state.client_left_us = 1500 * Sl_US_PER_MS;
    state.runs_once = true;
    return state;
}

TEST(Admission, RequestThatCannotEndInTimeIsRefusedAtOnce)
{
    struct sl_admission_state state = waiting_state();
    state.ahead = 35; // it would begin in 0.72 s and end in 0.78 s
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_ADMIT);
    state.ahead = 38;
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_REFUSE);
    state.ahead = 35;
    state.upstream_wait_us = run_us;
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_REFUSE);
}

TEST(Admission, RequestThatRunsOnceIsNotSentWithTooLittleTime)
{
    struct sl_admission_state state = waiting_state();
    state.has_room = true;
    state.time_left_us = run_us - 1;
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_REFUSE);
    state.runs_once = false; // it may run again where it is cut
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_ADMIT);
}

TEST(Admission, LastingOverloadRefusesLateOnesOfTeamsAboveTheirShare)
{
    struct sl_admission_state state = waiting_state();
    state.ahead = 15; // late, but before the deadline
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_ADMIT);
    state.is_overload_lasting = true;
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_ADMIT);
    state.is_above_share = true;
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_REFUSE);
    state.ahead = 10; // in time
    EXPECT_EQ(SlAdmission_Decide(&state).action, Sl_ADMISSION_ADMIT);
}

TEST(Admission, RetryAfterSpreadsTheReturns)
{
    struct sl_admission_state state = waiting_state();
    state.ahead = 100;
    state.backlog = 90; // clears in 0.3 s
    std::vector<int64_t> returns;
    for (uint32_t i = 0; i <= 10; i++) {
        state.spread = UINT32_MAX / 10 * i;
        returns.push_back(SlAdmission_Decide(&state).retry_after_us);
        // Clients wait for a third of the time that they have left.
        EXPECT_LE(returns.back(), state.client_left_us / 3);
        EXPECT_GE(returns.back(), 100 * Sl_US_PER_MS);
        if (i > 0) {
            EXPECT_GT(returns[i], returns[i - 1]);
        }
    }
    EXPECT_GE(returns.back() - returns.front(), 200 * Sl_US_PER_MS);
}

} // namespace
