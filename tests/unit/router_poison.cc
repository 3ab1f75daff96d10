// Requests with a prompt part that ends each engine which begins to answer
// them, among sound requests that share their other parts.
#include <gtest/gtest.h>

#include <algorithm>

#include "router_fleet.h"

namespace {

struct Site {
    size_t routers;
    size_t engines;
    double per_s;        // sound requests a second
    double deadly_per_s; // requests with the deadly part
};

void
PrintTo(const Site &site, std::ostream *out)
{
    *out << site.per_s << " + " << site.deadly_per_s << " requests a second";
}

const Site sites[] = {
    {4, 9, 15, 0.34},
    {4, 18, 35, 0.75},
    {23, 43, 110, 2.1},
    {68, 120, 300, 5.3},
};

// Parts of the prompts: the first one of all, the part of a team that the
// deadly requests have in common with few sound ones, and the deadly one.
const uint64_t first_part = 1;
const uint64_t team_part = 2;
const uint64_t deadly_part = 3;
const uint64_t first_subject = 100;
const uint32_t subjects = 40;
const uint64_t first_own_part = 1000;

const int64_t calm_s = 10;
const int64_t deadly_s = 22;

using Parts = std::vector<uint64_t>;

bool
holds(const Parts &parts, uint64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

class PoisonPrompt : public testing::Test {
  protected:
    struct Sound {
        int64_t at_us;
        bool began = false; // at the first call
    };
    Fleet fleet;
    struct sl_bounds bounds = small_bounds();
    struct sl_random random = {7};
    std::set<uint64_t> deadly_parts = {deadly_part};
    // Shared parts of the deadly requests, which are sent in turn.
    std::vector<Parts> deadly_prompts = {{first_part, team_part, deadly_part}};
    uint32_t team_one_in = 50; // sound requests for one of the team
    std::map<uint64_t, std::vector<int64_t>> ends_us;  // by deadly part
    std::map<uint64_t, std::vector<int64_t>> calls_us; // the same
    std::map<uint64_t, Parts> deadly;                  // by connection
    std::map<uint64_t, Sound> sound;                   // the same
    std::map<uint64_t, int> calls;                     // the same
    unsigned sound_refused = 0; // sound requests, for a part of their prompt
    unsigned deadly_served = 0; // requests with a deadly part
    std::multimap<int64_t, std::string> back_us; // engines by time of return
    std::multimap<int64_t, Parts> repeats;       // of clients, by time
    std::vector<std::string> engines;            // that are up
    uint64_t own_parts = first_own_part;
    size_t deadly_sent = 0;
    unsigned starts = 0; // of engines

    // Returns the deadly part of the prompt; 0 if there is none.
    uint64_t
    deadly_part_of(const Parts &parts) const
    {
        for (uint64_t part : deadly_parts) {
            if (holds(parts, part)) {
                return part;
            }
        }
        return 0;
    }

    void
    add_engine()
    {
        std::string id = "u" + std::to_string(++starts);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id, "s", "v1", 64));
        engines.push_back(id);
    }

    FleetResponse
    respond(const FleetCall &call)
    {
        uint64_t conn = std::stoull(call.request.substr(1));
        uint64_t part = deadly_part_of(call.parts);
        FleetResponse response;
        response.after_us = 300 * Sl_US_PER_MS;
        response.run_us = 1500 * Sl_US_PER_MS;
        calls[conn]++;
        if (part != 0) {
            calls_us[part].push_back(call.at_us);
            ends_by[call.upstream] = part;
            response.run_us = 60 * Sl_US_PER_MS;
            response.ends_upstream = true;
        }
        return response;
    }

    void
    on_reply(uint64_t conn, int status)
    {
        auto at = sound.find(conn);
        if (at != sound.end()) {
            at->second.began = status == 200 && calls[conn] == 1;
            return;
        }
        auto prompt = deadly.find(conn);
        deadly_served += status == 200 ? 1 : 0;
        if (prompt != deadly.end() && status != 200) {
            repeats.insert({fleet.now() + 300 * Sl_US_PER_MS, prompt->second});
            deadly.erase(prompt); // a client repeats once
        }
    }

    void
    on_end(const std::string &engine)
    {
        auto at = ends_by.find(engine);
        if (at != ends_by.end()) {
            ends_us[at->second].push_back(fleet.now());
        }
        engines.erase(std::find(engines.begin(), engines.end(), engine));
        back_us.insert({fleet.now() + 3 * Sl_US_PER_S, engine});
    }

    void
    begin(const Site &site)
    {
        fleet.encodes_digests = true;
        fleet.seeds = {"e1", "e2", "e3"};
        fleet.on_call = [this](const FleetCall &call) {
            return respond(call);
        };
        fleet.on_reply = [this](uint64_t conn, int status) {
            on_reply(conn, status);
        };
        fleet.on_refusal = [this](uint64_t conn, const std::string &reason) {
            sound_refused += reason == "engines have ended by a part of "
                                       "the prompt" &&
                                     sound.count(conn) > 0
                                 ? 1
                                 : 0;
        };
        fleet.on_upstream_end = [this](const std::string &id) { on_end(id); };
        fleet.start(site.routers, bounds);
        fleet.append(Sl_FEED_OPERATORS, "config",
                     routing_record("s", "/", 3, {"m"}));
        for (size_t i = 0; i < site.engines; i++) {
            add_engine();
        }
        fleet.advance_ms(4000);
    }

    size_t
    any_router()
    {
        return SlRandom_Below(&random, (uint32_t)fleet.size());
    }

    // Sends a request with these parts and one of its own.
    uint64_t
    send(Parts parts)
    {
        parts.push_back(++own_parts);
        return fleet.send_prompt(any_router(), "/x", "", 10000, parts);
    }

    void
    send_sound()
    {
        uint64_t shared =
            SlRandom_Below(&random, team_one_in) == 0
                ? team_part
                : first_subject + SlRandom_Below(&random, subjects);
        if (deadly_parts.count(shared) == 0) {
            sound[fleet.next_conn()] = {fleet.now()};
        }
        send({first_part, shared});
    }

    void
    send_deadly()
    {
        Parts parts = deadly_prompts[deadly_sent++ % deadly_prompts.size()];
        uint64_t conn = fleet.next_conn();
        parts.push_back(++own_parts);
        deadly[conn] = parts;
        fleet.send_prompt(any_router(), "/x", "", 10000, parts);
    }

    // Replaces the engines that have ended some seconds ago.
    void
    return_engines()
    {
        while (!back_us.empty() && back_us.begin()->first <= fleet.now()) {
            struct sl_record gone = {};
            std::string id = back_us.begin()->second;
            gone.type = Sl_RECORD_UPSTREAM;
            gone.dropped = true;
            gone.u.upstream.id = SlName_Of(id.c_str());
            back_us.erase(back_us.begin());
            fleet.append(Sl_FEED_UPSTREAMS, id, gone);
            add_engine();
        }
    }

    void
    send_repeats()
    {
        while (!repeats.empty() && repeats.begin()->first <= fleet.now()) {
            Parts parts = repeats.begin()->second;
            repeats.erase(repeats.begin());
            fleet.send_prompt(any_router(), "/x", "", 10000, parts);
        }
    }

    // Ends so many engines at once, not by a request.
    void
    end_engines(size_t count)
    {
        for (size_t i = 0; i < count && engines.size() > 1; i++) {
            fleet.end_upstream(
                engines[SlRandom_Below(&random, (uint32_t)engines.size())]);
        }
    }

    // Sends requests for `seconds`.
    void
    run(double per_s, double deadly_per_s, double seconds)
    {
        double sound_due = 0;
        double deadly_due = deadly_per_s > 0 ? 1 : 0;
        for (int64_t end_us =
                 fleet.now() + (int64_t)(seconds * (double)Sl_US_PER_S);
             fleet.now() < end_us;) {
            fleet.advance_step();
            return_engines();
            send_repeats();
            for (sound_due += per_s * Fleet::step_ms / 1000; sound_due >= 1;
                 sound_due--) {
                send_sound();
            }
            for (deadly_due += deadly_per_s * Fleet::step_ms / 1000;
                 deadly_due >= 1; deadly_due--) {
                send_deadly();
            }
        }
    }

    // Share of the sound requests sent from `from_us` to `to_us` that began at
    // their first call.
    double
    share_begun(int64_t from_us, int64_t to_us) const
    {
        double all = 0;
        double begun = 0;
        for (const auto &[conn, request] : sound) {
            if (request.at_us >= from_us && request.at_us < to_us) {
                all++;
                begun += request.began ? 1 : 0;
            }
        }
        return all == 0 ? 0 : begun / all;
    }

    // Time of the fifth end of an engine by the part; the last one if there
    // are fewer.
    int64_t
    fifth_end_us(uint64_t part) const
    {
        auto at = ends_us.find(part);
        return at == ends_us.end()
                   ? fleet.now()
                   : at->second[std::min<size_t>(4, at->second.size() - 1)];
    }

    int64_t
    calls_after(uint64_t part, int64_t after_us) const
    {
        auto at = calls_us.find(part);
        return at == calls_us.end()
                   ? 0
                   : std::count_if(
                         at->second.begin(), at->second.end(),
                         [&](int64_t at_us) { return at_us > after_us; });
    }

    // After the fifth end by a part, and the time in which routers hear of
    // each other, three further requests with it may reach an engine.
    void
    expect_few_calls()
    {
        for (uint64_t part : deadly_parts) {
            EXPECT_LE(
                calls_after(part, fifth_end_us(part) + bounds.contact_us), 3)
                << "part " << part << ", " << ends_us[part].size() << " ends";
        }
    }

  private:
    std::map<std::string, uint64_t> ends_by; // deadly part by engine
};

class PoisonPromptSites : public PoisonPrompt,
                          public testing::WithParamInterface<Site> {};

std::string
name_of(const testing::TestParamInfo<Site> &site)
{
    return std::to_string(site.param.routers) + "Routers" +
           std::to_string(site.param.engines) + "Engines";
}

TEST_P(PoisonPromptSites, StopsReachingEnginesAfterTheFifthEnd)
{
    begin(GetParam());
    run(GetParam().per_s, 0, calm_s);
    run(GetParam().per_s, GetParam().deadly_per_s, deadly_s);
    expect_few_calls();
}

TEST_P(PoisonPromptSites, LeavesSoundRequestsWithTheOtherPartsServed)
{
    begin(GetParam());
    run(GetParam().per_s, 0, calm_s);
    int64_t from_us = fleet.now();
    run(GetParam().per_s, GetParam().deadly_per_s, deadly_s);
    run(0, 0, 3);
    EXPECT_GE(share_begun(fifth_end_us(deadly_part) + 2 * bounds.contact_us,
                          fleet.now()),
              0.5 * share_begun(0, from_us));
    EXPECT_EQ(sound_refused, 0u);
}

INSTANTIATE_TEST_SUITE_P(Sites, PoisonPromptSites, testing::ValuesIn(sites),
                         name_of);

const Site grown = {23, 43, 110, 2.1};

TEST_F(PoisonPrompt, SeveralDeadlyPartsAreTold)
{
    deadly_parts = {3, 4, 5};
    deadly_prompts = {{first_part, 3}, {first_part, team_part, 4}, {5, 6}};
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, 3 * grown.deadly_per_s, deadly_s);
    expect_few_calls();
    EXPECT_EQ(sound_refused, 0u);
}

// The part that all deadly requests share with sound ones is a common one.
TEST_F(PoisonPrompt, SoundRequestsOfTheSameTeamAreServed)
{
    team_one_in = 4;
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, grown.deadly_per_s, deadly_s);
    expect_few_calls();
    EXPECT_EQ(sound_refused, 0u);
}

// One in 40 sound requests holds the part before it turns deadly.
TEST_F(PoisonPrompt, ACommonPartThatTurnsDeadlyIsBlocked)
{
    deadly_parts.clear();
    begin(grown);
    run(grown.per_s, 0, calm_s);
    deadly_parts = {first_subject};
    run(grown.per_s, 0, deadly_s);
    expect_few_calls();
    EXPECT_EQ(sound_refused, 0u);
}

TEST_F(PoisonPrompt, APartThatBecomesHarmlessIsServedAgain)
{
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, grown.deadly_per_s, 10);
    deadly_parts.clear();
    run(grown.per_s, grown.deadly_per_s, 45);
    deadly_served = 0;
    run(grown.per_s, grown.deadly_per_s, 10);
    EXPECT_GE(deadly_served, 15u);
}

// The requests go on for longer than the first block lasts.
TEST_F(PoisonPrompt, TrialsEndFewEngines)
{
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, grown.deadly_per_s, 120);
    expect_few_calls();
}

// Engines end in groups, for a reason of their own.
TEST_F(PoisonPrompt, NothingIsBlockedForEndsOfAnotherCause)
{
    deadly_parts.clear();
    begin(grown);
    run(grown.per_s, 0, calm_s);
    for (int i = 0; i < 8; i++) {
        end_engines(1 + 6 * (size_t)(i % 2));
        run(grown.per_s, 0, 3);
    }
    EXPECT_EQ(sound_refused, 0u);
}

TEST_F(PoisonPrompt, ADeadlyPartIsFoundAmongEndsOfAnotherCause)
{
    begin(grown);
    run(grown.per_s, 0, calm_s);
    for (int i = 0; i < 8; i++) {
        end_engines(1 + 6 * (size_t)(i % 2));
        run(grown.per_s, grown.deadly_per_s, 3);
    }
    expect_few_calls();
    EXPECT_EQ(sound_refused, 0u);
}

TEST_F(PoisonPrompt, RoutersThatStartLateLearnOfTheBlock)
{
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, grown.deadly_per_s, 8);
    for (size_t i = 0; i < fleet.size(); i++) {
        fleet.restart(i);
        run(grown.per_s, grown.deadly_per_s, 0.5);
    }
    expect_few_calls();
}

TEST_F(PoisonPrompt, FleetThatRestartsAtOnceFindsThePartAgain)
{
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, grown.deadly_per_s, 8);
    for (size_t i = 0; i < fleet.size(); i++) {
        fleet.restart(i);
    }
    int64_t restarted_us = fleet.now();
    run(grown.per_s, grown.deadly_per_s, deadly_s);
    EXPECT_LE(calls_after(deadly_part, restarted_us + 2 * bounds.contact_us),
              3);
}

TEST_F(PoisonPrompt, LostDigestsDoNotKeepThePartFromBeingBlocked)
{
    fleet.is_delivered = [this](size_t, size_t) {
        return SlRandom_Below(&random, 10) >= 4;
    };
    begin(grown);
    run(grown.per_s, 0, calm_s);
    run(grown.per_s, grown.deadly_per_s, deadly_s);
    expect_few_calls();
}

} // namespace
