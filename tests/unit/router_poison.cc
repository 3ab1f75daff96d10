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

class PoisonPrompt : public testing::Test {
  protected:
    struct Sound {
        int64_t at_us;
        bool began = false; // at the first call
    };
    Fleet fleet;
    struct sl_bounds bounds = small_bounds();
    struct sl_random random = {7};
    std::vector<int64_t> ends_us;         // of engines
    std::vector<int64_t> deadly_calls_us; // calls with the deadly part
    std::map<uint64_t, std::vector<uint64_t>> deadly_prompts; // by connection
    std::map<uint64_t, Sound> sound;                          // the same
    std::map<uint64_t, int> calls;                            // by connection
    std::multimap<int64_t, std::string> back_us; // engines by time of return
    std::multimap<int64_t, std::vector<uint64_t>> repeats; // of clients
    uint64_t own_parts = first_own_part;
    unsigned starts = 0; // of engines

    static bool
    is_deadly(const std::vector<uint64_t> &parts)
    {
        return std::find(parts.begin(), parts.end(), deadly_part) !=
               parts.end();
    }

    void
    add_engine()
    {
        std::string id = "u" + std::to_string(++starts);
        fleet.append(Sl_FEED_UPSTREAMS, id,
                     upstream_record(id, "s", "v1", 64));
    }

    FleetResponse
    respond(const FleetCall &call)
    {
        uint64_t conn = std::stoull(call.request.substr(1));
        FleetResponse response;
        response.after_us = 300 * Sl_US_PER_MS;
        response.run_us = 1500 * Sl_US_PER_MS;
        calls[conn]++;
        if (is_deadly(call.parts)) {
            deadly_calls_us.push_back(call.at_us);
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
        }
        auto deadly = deadly_prompts.find(conn);
        if (deadly != deadly_prompts.end() && status != 200) {
            repeats.insert({fleet.now() + 300 * Sl_US_PER_MS, deadly->second});
            deadly_prompts.erase(deadly); // a client repeats once
        }
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
        fleet.on_upstream_end = [this](const std::string &id) {
            ends_us.push_back(fleet.now());
            back_us.insert({fleet.now() + 3 * Sl_US_PER_S, id});
        };
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

    void
    send_sound()
    {
        // One in 50 sound requests is of the team of the deadly ones.
        uint64_t shared =
            SlRandom_Below(&random, 50) == 0
                ? team_part
                : first_subject + SlRandom_Below(&random, subjects);
        sound[fleet.next_conn()] = {fleet.now()};
        fleet.send_prompt(any_router(), "/x", "", 10000,
                          {first_part, shared, ++own_parts});
    }

    void
    send_deadly()
    {
        std::vector<uint64_t> parts = {first_part, team_part, deadly_part,
                                       ++own_parts};
        deadly_prompts[fleet.next_conn()] = parts;
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
            std::vector<uint64_t> parts = repeats.begin()->second;
            repeats.erase(repeats.begin());
            fleet.send_prompt(any_router(), "/x", "", 10000, parts);
        }
    }

    // Sends requests for `seconds`.
    void
    run(double per_s, double deadly_per_s, int64_t seconds)
    {
        double sound_due = 0;
        double deadly_due = deadly_per_s > 0 ? 1 : 0;
        for (int64_t end_us = fleet.now() + seconds * Sl_US_PER_S;
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

    // Time of the fifth end of an engine; the last one if there are fewer.
    int64_t
    fifth_end_us() const
    {
        return ends_us.empty()
                   ? fleet.now()
                   : ends_us[std::min<size_t>(4, ends_us.size() - 1)];
    }

    int64_t
    deadly_calls_from(int64_t from_us) const
    {
        return std::count_if(deadly_calls_us.begin(), deadly_calls_us.end(),
                             [&](int64_t at_us) { return at_us > from_us; });
    }
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
    EXPECT_LE(deadly_calls_from(fifth_end_us() + bounds.contact_us), 3)
        << ends_us.size() << " engines ended";
}

TEST_P(PoisonPromptSites, LeavesSoundRequestsWithTheOtherPartsServed)
{
    begin(GetParam());
    run(GetParam().per_s, 0, calm_s);
    int64_t from_us = fleet.now();
    run(GetParam().per_s, GetParam().deadly_per_s, deadly_s);
    run(0, 0, 3);
    EXPECT_GE(share_begun(fifth_end_us() + 2 * bounds.contact_us, fleet.now()),
              0.5 * share_begun(0, from_us))
        << ends_us.size() << " engines ended";
}

INSTANTIATE_TEST_SUITE_P(Sites, PoisonPromptSites, testing::ValuesIn(sites),
                         name_of);

} // namespace
