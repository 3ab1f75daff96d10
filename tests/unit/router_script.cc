// Scripted runs of the router: tests/scripts/router/NAME.script is a list of
// events, and NAME.expected the same list with the effects of each event. With
// SL_WRITE_EXPECTED set, the expected files are written instead of compared.
//
// A script line is a word and "key=value" members. Values contain no spaces;
// "~" in them stands for a newline.
//   include FILE
//   start [vm=] [domain=] [exposure=] [keeps=BYTES] [seeds=VM,..] [first]
//     [regions=DOMAIN:REGION,..]
//   service NAME [engine] [slots=] [models=a,b] [cold-s=] [cold-per-s=]
//   route NAME host= prefix= kind= to=S[:W],.. [timeout=] [target=]
//     [attempts=] [priority=] [models=a,b] [resumable] [public] [regions=]
//   team NAME keys=a,b [priority=] [regions=]
//   publish VERSION        the services, routes and teams so far
//   upstream ID service= [domain=] [version=] [slots=] [cold=MS] [draining]
//     [seq=] [born=]
//   drop ID | evacuate DOMAIN | restore DOMAIN
//   rollout SERVICE VERSION seconds= | status SERVICE VERSION STATE [ramped]
//   store up | down | silent | misses [answer=MS]
//       down: the store answers with an error; silent: it does not answer;
//       misses: it does not report new records to reads that wait
//   repeat N MS LINE       N times: the line, then MS pass
//   asked FEED from=       a peer pulls records
//   pulled FEED [snapshot] KEY...   a peer sends the newest record of each key
//   stall MS               time passes in which the process is suspended
//   request CONN host= path= [key=] [id=] [deadline=MS] [model=] [session=]
//     [parts=ID:TOKENS,..] [tokens=] [last=]
//   gone CONN
//   head CONN STATUS [stamp] [not-run] [wrong] [confidence=] [load=R,W]
//     [leaving] [retry=MS] [retry-odd]
//   piece CONN TEXT        next bytes of the response
//   done CONN [err=] [unsent]      of the newest call for that client
//   digest VM [domain=] [offsets=A,B,C] [load=ID:N:MS] [sessions=..]
//     [fault=ID[:replaced | :leaving:MS],..] [order=] [elapsed=MS] [suspect]
//     [answers= bad= base-answers= base-bad=] [leaving]
//     [store-age=MS] [known=N] [relay=PLACE] [age=MS] [again]
//       age: it was relayed; again: with the sequence number of the last one
//   appended [conflict] [err=]   result of the newest append
//   introduced VM...       a peer sends its list of routers
//   dark UPSTREAM | light UPSTREAM   its health checks fail, or succeed
//   reads                  prints the number of reads since the last such line
//   drain | show WORD... | hide WORD... | metrics WORD... | +MS
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include "router_world.h"

namespace fs = std::filesystem;

static fs::path
scripts_dir()
{
    return fs::path(__FILE__).parent_path() / "../scripts/router";
}

static std::vector<std::string>
split(const std::string &list, char separator = ',')
{
    std::vector<std::string> out;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, separator);) {
        out.push_back(item);
    }
    return out;
}

// Members of a script line.
struct members {
    std::vector<std::string> words;
    std::map<std::string, std::string> values;

    explicit members(const std::string &line)
    {
        std::istringstream in(line);
        for (std::string word; in >> word;) {
            size_t equals = word.find('=');
            if (equals == std::string::npos) {
                words.push_back(word);
            }
            else {
                values[word.substr(0, equals)] = word.substr(equals + 1);
            }
        }
    }

    bool
    flag(const std::string &word) const
    {
        return std::find(words.begin() + 1, words.end(), word) != words.end();
    }

    std::string
    str(const std::string &key, const std::string &fallback = "") const
    {
        auto at = values.find(key);
        return at == values.end() ? fallback : at->second;
    }

    int64_t
    number(const std::string &key, int64_t fallback = 0) const
    {
        auto at = values.find(key);
        return at == values.end() ? fallback : std::stoll(at->second);
    }

    double
    real(const std::string &key, double fallback = 0) const
    {
        auto at = values.find(key);
        return at == values.end() ? fallback : std::stod(at->second);
    }

    struct sl_name
    name(const std::string &key, const std::string &fallback = "") const
    {
        return SlName_Of(str(key, fallback).c_str());
    }

    struct sl_name
    word_name(size_t index) const
    {
        return SlName_Of(words.at(index).c_str());
    }

    uint64_t
    id(size_t index) const
    {
        return std::stoull(words.at(index));
    }
};

static size_t
read_names(const std::string &list, struct sl_name *out, size_t max)
{
    size_t count = 0;
    for (const std::string &name : split(list)) {
        if (count < max) {
            out[count++] = SlName_Of(name.c_str());
        }
    }
    return count;
}

class Script {
  public:
    explicit Script(const fs::path &path)
    {
        world.on_effect = [this](const struct sl_router_effect &effect) {
            print(effect);
        };
        run_file(path);
    }

    std::string
    output() const
    {
        return out.str();
    }

  private:
    World world;
    std::ostringstream out;
    std::set<std::string> shown;
    std::vector<struct sl_route_service> services;
    std::vector<struct sl_route> routes;
    std::vector<std::pair<struct sl_team, std::vector<std::string>>> teams;
    uint64_t append_token = 0;
    std::map<std::string, uint64_t> sequences; // of digests
    std::map<std::string, uint64_t> calls;     // newest, by request id
    std::map<uint64_t, std::string> requests;  // by token of a call

    uint64_t
    call_of(const members &m)
    {
        return calls["req-" + m.words.at(1)];
    }

    void
    run_file(const fs::path &path)
    {
        std::ifstream file(path);
        ASSERT_TRUE(file) << path;
        for (std::string line; std::getline(file, line);) {
            out << line << "\n";
            if (line.rfind("include ", 0) == 0) {
                std::ostringstream before;
                before.swap(out); // included lines are left out of the output
                run_file(path.parent_path() / line.substr(8));
                before.swap(out);
            }
            else if (!line.empty() && line[0] != '#') {
                run_line(line);
            }
        }
    }

    void
    run_line(const std::string &line)
    {
        static const std::map<std::string, void (Script::*)(const members &)>
            handlers = {
                {"start", &Script::on_start},
                {"service", &Script::on_service},
                {"route", &Script::on_route},
                {"team", &Script::on_team},
                {"publish", &Script::on_publish},
                {"upstream", &Script::on_upstream},
                {"drop", &Script::on_drop},
                {"evacuate", &Script::on_evacuate},
                {"restore", &Script::on_evacuate},
                {"rollout", &Script::on_rollout},
                {"status", &Script::on_status},
                {"store", &Script::on_store},
                {"stall", &Script::on_stall},
                {"asked", &Script::on_pull_request},
                {"pulled", &Script::on_pulled},
                {"request", &Script::on_request},
                {"gone", &Script::on_disconnect},
                {"head", &Script::on_head},
                {"piece", &Script::on_chunk},
                {"done", &Script::on_done},
                {"digest", &Script::on_digest},
                {"appended", &Script::on_appended},
                {"introduced", &Script::on_peer_list},
                {"drain", &Script::on_drain},
                {"show", &Script::on_show},
                {"hide", &Script::on_show},
                {"metrics", &Script::on_metrics},
                {"reads", &Script::on_reads},
                {"dark", &Script::on_reachability},
                {"light", &Script::on_reachability},
            };
        if (line[0] == '+') {
            world.pass(std::stoll(line.substr(1)));
            return;
        }
        members m(line);
        if (m.words.at(0) == "repeat") {
            repeat(line);
            return;
        }
        auto handler = handlers.find(m.words.at(0));
        ASSERT_NE(handler, handlers.end()) << line;
        (this->*handler->second)(m);
    }

    void
    repeat(const std::string &line)
    {
        std::istringstream in(line);
        std::string word, again;
        int64_t times = 0, ms = 0;
        in >> word >> times >> ms >> std::ws;
        std::getline(in, again);
        for (int64_t i = 0; i < times; i++) {
            run_line(again);
            world.pass(ms);
        }
    }

    /* ---- events ---- */

    void
    on_reachability(const members &m)
    {
        if (m.words.at(0) == "dark") {
            world.unreachable.insert(m.words.at(1));
        }
        else {
            world.unreachable.erase(m.words.at(1));
        }
    }

    void
    on_reads(const members &)
    {
        out << "    " << world.reads_asked << " reads\n";
        world.reads_asked = 0;
    }

    void
    on_start(const members &m)
    {
        struct sl_bounds bounds = small_bounds();
        bounds.exposure_share = m.real("exposure", bounds.exposure_share);
        world.max_buffered_bytes = (size_t)m.number("keeps");
        world.seeds = split(m.str("seeds"));
        world.is_first_start = m.flag("first");
        world.start(m.str("vm", "e1"), m.str("domain", "brest"), bounds,
                    m.str("regions"));
    }

    void
    on_service(const members &m)
    {
        struct sl_route_service service = {};
        service.name = m.word_name(1);
        service.is_engine = m.flag("engine");
        service.slots = m.number("slots", 4);
        service.cold_start_us =
            (int64_t)(m.real("cold-s") * (double)Sl_US_PER_S);
        service.cold_requests_per_s = m.real("cold-per-s");
        services.push_back(service);
    }

    void
    on_route(const members &m)
    {
        static const std::map<std::string, enum sl_route_kind> kinds = {
            {"idempotent", Sl_ROUTE_IDEMPOTENT},
            {"once", Sl_ROUTE_AT_MOST_ONCE},
            {"stream", Sl_ROUTE_STREAM},
        };
        struct sl_route route = {};
        route.name = m.word_name(1);
        route.host = m.name("host", "h");
        route.prefix = m.name("prefix");
        route.kind = kinds.at(m.str("kind"));
        route.resumable = m.flag("resumable");
        route.is_public = m.flag("public");
        route.timeout_us = m.number("timeout", 5000) * Sl_US_PER_MS;
        route.target_latency_us = m.number("target", 1000) * Sl_US_PER_MS;
        route.target_gap_us = m.number("gap", 2000) * Sl_US_PER_MS;
        route.priority = m.number("priority");
        route.region_count =
            read_names(m.str("regions"), route.regions, Sl_MAX_REGIONS);
        route.max_attempts = m.number("attempts", 1);
        route.model_count =
            read_names(m.str("models"), route.models, Sl_MAX_MODELS);
        for (const std::string &target : split(m.str("to"))) {
            std::vector<std::string> parts = split(target, ':');
            struct sl_route_target &at = route.targets[route.target_count++];
            at.service = SlName_Of(parts[0].c_str());
            at.weight = parts.size() > 1 ? std::stod(parts[1]) : 1;
        }
        routes.push_back(route);
    }

    void
    on_team(const members &m)
    {
        struct sl_team team = {};
        team.name = m.word_name(1);
        team.priority = m.number("priority", -1);
        team.region_count =
            read_names(m.str("regions"), team.regions, Sl_MAX_REGIONS);
        teams.emplace_back(team, split(m.str("keys")));
    }

    void
    on_publish(const members &m)
    {
        struct sl_record record = {};
        struct sl_error err;
        record.type = Sl_RECORD_ROUTING;
        record.u.routing = SlRouting_New((int64_t)m.id(1));
        for (const auto &service : services) {
            ASSERT_EQ(SlRouting_AddService(record.u.routing, &service, &err),
                      Sl_OK);
        }
        for (const auto &route : routes) {
            ASSERT_EQ(SlRouting_AddRoute(record.u.routing, &route, &err),
                      Sl_OK);
        }
        for (const auto &team : teams) {
            ASSERT_EQ(SlRouting_AddTeam(record.u.routing, &team.first, &err),
                      Sl_OK);
            for (const std::string &key : team.second) {
                ASSERT_EQ(SlRouting_AddKey(record.u.routing, view(key),
                                           &team.first.name, &err),
                          Sl_OK);
            }
        }
        world.append(Sl_FEED_OPERATORS, "config", record);
        if (m.flag("forget")) {
            services.clear();
            routes.clear();
            teams.clear();
        }
    }

    void
    on_upstream(const members &m)
    {
        struct sl_record record = {};
        struct sl_registration &reg = record.u.upstream;
        record.type = Sl_RECORD_UPSTREAM;
        reg.id = m.word_name(1);
        reg.service = m.name("service");
        reg.address = m.name("address", m.words.at(1) + ":80");
        reg.domain = m.name("domain", "brest");
        reg.version = m.name("version", "v1");
        reg.slots = m.number("slots", 4);
        reg.cold_us = m.number("cold") * Sl_US_PER_MS;
        reg.start_wall_ms = m.number("born");
        reg.sequence = (uint64_t)m.number(
            "seq", (int64_t)world.topics[Sl_FEED_UPSTREAMS].end());
        reg.draining = m.flag("draining");
        world.append(Sl_FEED_UPSTREAMS, m.words.at(1), record);
    }

    void
    on_drop(const members &m)
    {
        struct sl_record record = {};
        record.type = Sl_RECORD_UPSTREAM;
        record.dropped = true;
        record.u.upstream.id = m.word_name(1);
        world.append(Sl_FEED_UPSTREAMS, m.words.at(1), record);
    }

    void
    on_evacuate(const members &m)
    {
        struct sl_record record = {};
        record.type = Sl_RECORD_EVACUATION;
        record.dropped = m.words.at(0) == "restore";
        record.u.evacuated = m.word_name(1);
        world.append(Sl_FEED_OPERATORS, "evacuate/" + m.words.at(1), record);
    }

    void
    on_rollout(const members &m)
    {
        struct sl_record record = {};
        record.type = Sl_RECORD_ROLLOUT;
        record.u.rollout.service = m.word_name(1);
        record.u.rollout.version = m.word_name(2);
        record.u.rollout.duration_us = m.number("seconds") * Sl_US_PER_S;
        world.append(Sl_FEED_OPERATORS, "rollout/" + m.words.at(1), record);
    }

    void
    on_status(const members &m)
    {
        static const std::map<std::string, enum sl_rollout_state> states = {
            {"running", Sl_ROLLOUT_RUNNING},
            {"completed", Sl_ROLLOUT_COMPLETED},
            {"rolled_back", Sl_ROLLOUT_ROLLED_BACK},
        };
        struct sl_record record = {};
        record.type = Sl_RECORD_STATUS;
        record.u.status.service = m.word_name(1);
        record.u.status.version = m.word_name(2);
        record.u.status.state = states.at(m.words.at(3));
        record.u.status.ramped = m.flag("ramped");
        record.u.status.order = (uint64_t)m.number("order");
        world.append(Sl_FEED_STATUS, "rollout/" + m.words.at(1), record);
    }

    void
    on_store(const members &m)
    {
        const std::string &how = m.words.at(1);
        world.store_up = how == "up" || how == "misses";
        world.store_lacks_updates = how == "misses";
        world.store_answer_us = m.number("answer", 0) * Sl_US_PER_MS;
        world.store_silent = how == "silent";
    }

    static enum sl_feed
    feed_of(const std::string &name)
    {
        for (int i = 0; i < Sl_FEED_COUNT; i++) {
            if (name == SlFeed_Name((enum sl_feed)i)) {
                return (enum sl_feed)i;
            }
        }
        throw std::runtime_error("no feed " + name);
    }

    void
    on_pull_request(const members &m)
    {
        struct sl_router_event event = world.event_of(Sl_ROUTER_EVENT_PULL);
        event.u.pull.conn = 900;
        event.u.pull.feed = feed_of(m.words.at(1));
        event.u.pull.from = (uint64_t)m.number("from");
        world.reduce(event);
    }

    // A peer sends the newest records of the given keys.
    void
    on_pulled(const members &m)
    {
        struct sl_router_event event = world.event_of(Sl_ROUTER_EVENT_PULLED);
        enum sl_feed feed = feed_of(m.words.at(1));
        std::vector<struct sl_record> records;
        for (const struct sl_record &record : world.topics[feed].from(0)) {
            if (m.flag(text(record.key))) {
                records.push_back(record);
            }
        }
        event.u.feed.feed = feed;
        event.u.feed.snapshot = m.flag("snapshot");
        event.u.feed.next_offset = world.topics[feed].end();
        event.u.feed.complete_from = event.u.feed.next_offset;
        event.u.feed.count = records.size();
        event.u.feed.records = records.data();
        world.reduce(event);
    }

    // Time passes while the process is suspended.
    void
    on_stall(const members &m)
    {
        world.now_us += std::stoll(m.words.at(1)) * Sl_US_PER_MS;
    }

    void
    on_request(const members &m)
    {
        struct sl_router_event event = world.event_of(Sl_ROUTER_EVENT_REQUEST);
        struct sl_incoming_request &incoming = event.u.request;
        std::string id = m.str("id", "req-" + m.words.at(1));
        std::string host = m.str("host", "h");
        std::string path = m.str("path");
        std::string key = m.str("key");
        std::string model = m.str("model");
        std::string session = m.str("session");
        incoming.conn = m.id(1);
        incoming.id = view(id);
        incoming.method = Sl_STR("POST");
        incoming.target = view(path);
        incoming.host = view(host);
        incoming.key = view(key);
        incoming.model = view(model);
        incoming.session = view(session);
        incoming.deadline_us = m.number("deadline") * Sl_US_PER_MS;
        incoming.last_event = m.number("last", -1);
        incoming.prompt_tokens = m.number("tokens");
        for (const std::string &part : split(m.str("parts"))) {
            std::vector<std::string> fields = split(part, ':');
            incoming.parts[incoming.part_count].id = std::stoull(fields[0]);
            incoming.parts[incoming.part_count].tokens = std::stoll(fields[1]);
            incoming.prompt_tokens +=
                incoming.parts[incoming.part_count].tokens;
            incoming.part_count++;
        }
        world.reduce(event);
    }

    void
    on_disconnect(const members &m)
    {
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_CLIENT_GONE);
        event.u.conn = m.id(1);
        world.reduce(event);
    }

    void
    on_head(const members &m)
    {
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_RESPONSE_HEAD);
        struct sl_response_head head = {};
        std::vector<std::string> load = split(m.str("load"));
        head.status = std::stoi(m.words.at(2));
        head.is_stamped = m.flag("stamp");
        head.not_executed = m.flag("not-run");
        head.wrong_instance = m.flag("wrong");
        head.confidence = (int)m.number("confidence", -1);
        head.is_leaving = m.flag("leaving");
        head.retry_after_us = m.number("retry") * Sl_US_PER_MS;
        head.retry_after_is_invalid = m.flag("retry-odd");
        head.cold_us = -1;
        if (load.size() == 2) {
            head.has_load = true;
            head.running = std::stoll(load[0]);
            head.waiting = std::stoll(load[1]);
        }
        event.u.response.token = call_of(m);
        event.u.response.head = &head;
        world.reduce(event);
    }

    void
    on_chunk(const members &m)
    {
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_RESPONSE_CHUNK);
        std::string bytes = m.words.at(2);
        std::replace(bytes.begin(), bytes.end(), '~', '\n');
        event.u.response.token = call_of(m);
        event.u.response.bytes = view(bytes);
        world.reduce(event);
    }

    void
    on_done(const members &m)
    {
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_RESPONSE_DONE);
        struct sl_error err;
        event.u.response.token = call_of(m);
        event.u.response.connected = !m.flag("unsent");
        if (!m.str("err").empty()) {
            SlError_Set(&err, Sl_ERR_LOST, "upstream.call", "u", "%s",
                        m.str("err").c_str());
            event.err = &err;
        }
        world.reduce(event);
    }

    static uint16_t
    tenths(const members &m, const char *key)
    {
        return (uint16_t)(m.number(key) * 10);
    }

    void
    on_digest(const members &m)
    {
        struct sl_router_event event = world.event_of(Sl_ROUTER_EVENT_GOSSIP);
        auto digest = std::make_unique<struct sl_gossip_digest>();
        std::vector<std::string> offsets = split(m.str("offsets", "0,0,0"));
        digest->vm = m.word_name(1);
        digest->domain = m.name("domain", "brest");
        digest->address = m.name("address", m.words.at(1) + ":7340");
        digest->boot = (uint64_t)m.number("boot", 7);
        digest->sequence = sequences[m.words.at(1)] += m.flag("again") ? 0 : 1;
        digest->leaving = m.flag("leaving");
        digest->live_domain_peers = (uint32_t)m.number("known");
        digest->relay = (uint8_t)m.number("relay");
        digest->age_ms = (uint32_t)m.number("age");
        digest->staleness_ms =
            (uint32_t)m.number("store-age", (int64_t)UINT32_MAX);
        for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
            digest->offsets[i] = std::stoull(offsets.at(i));
        }
        for (const std::string &load : split(m.str("load"))) {
            std::vector<std::string> fields = split(load, ':');
            struct sl_gossip_load &at = digest->loads[digest->load_count++];
            at.upstream = (uint32_t)SlHash_Bytes(0, view(fields.at(0)));
            at.in_flight = (uint32_t)std::stoul(fields.at(1));
            at.backlog_ms = (uint32_t)std::stoul(fields.at(2));
        }
        for (const std::string &fault : split(m.str("fault"))) {
            std::vector<std::string> fields = split(fault, ':');
            struct sl_gossip_fault &at = digest->faults[digest->fault_count++];
            at.upstream = (uint32_t)SlHash_Bytes(0, view(fields.at(0)));
            at.kind = fields.size() < 2            ? Sl_FAULT_FAILING
                      : fields.at(1) == "replaced" ? Sl_FAULT_REPLACED
                                                   : Sl_FAULT_LEAVING;
            at.age_ms =
                fields.size() < 3 ? 0 : (uint32_t)std::stoul(fields.at(2));
        }
        if (m.values.count("order") != 0) {
            struct sl_gossip_rollout &rollout = digest->rollouts[0];
            digest->rollout_count = 1;
            rollout.order = (uint64_t)m.number("order");
            rollout.elapsed_ms = (uint32_t)m.number("elapsed");
            rollout.baseline_in_flight = (uint32_t)m.number("base");
            rollout.is_suspect = m.flag("suspect");
            if (m.values.count("bad") != 0) {
                rollout.tally_count = 1;
                struct sl_gossip_tally &tally = rollout.tallies[0];
                tally.route = 1;
                tally.target[Sl_SYMPTOM_FAILED] = {tenths(m, "answers"),
                                                   tenths(m, "bad")};
                tally.baseline[Sl_SYMPTOM_FAILED] = {tenths(m, "base-answers"),
                                                     tenths(m, "base-bad")};
            }
        }
        event.u.gossip = digest.get();
        world.reduce(event);
    }

    void
    on_appended(const members &m)
    {
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_APPENDED);
        struct sl_error err;
        event.u.appended.token = append_token;
        event.u.appended.conflict = m.flag("conflict");
        if (!m.str("err").empty()) {
            SlError_Set(&err, Sl_ERR_LOST, "store.call", "store", "%s",
                        m.str("err").c_str());
            event.err = &err;
        }
        world.reduce(event);
    }

    void
    on_drain(const members &)
    {
        world.reduce(world.event_of(Sl_ROUTER_EVENT_DRAIN));
    }

    void
    on_show(const members &m)
    {
        for (size_t i = 1; i < m.words.size(); i++) {
            if (m.words[0] == "show") {
                shown.insert(m.words[i]);
            }
            else {
                shown.erase(m.words[i]);
            }
        }
    }

    // Prints the series of the metrics that contain one of the words.
    void
    on_metrics(const members &m)
    {
        struct sl_buf text = {};
        SlRouter_MetricsText(world.router, &text);
        std::istringstream in(std::string(text.ptr, text.len));
        SlBuf_Free(&text);
        for (std::string series; std::getline(in, series);) {
            for (size_t i = 1; i < m.words.size(); i++) {
                if (series[0] != '#' &&
                    series.find(m.words[i]) != std::string::npos &&
                    series.find("_bucket{") == std::string::npos) {
                    line() << series << "\n";
                }
            }
        }
    }

    /* ---- effects ---- */

    std::ostream &
    line()
    {
        return out << "    "
                   << (world.now_us - 1000 * Sl_US_PER_S) / Sl_US_PER_MS
                   << " ";
    }

    static std::string
    escaped(struct sl_str bytes)
    {
        std::string line = text(bytes);
        std::replace(line.begin(), line.end(), '\n', '~');
        return line;
    }

    void
    print_reply(const char *word, const struct sl_router_effect_reply &reply)
    {
        line() << word << " " << reply.conn << " " << reply.status;
        if (reply.is_own) {
            out << " " << reply.outcome << " " << reply.step;
            if (reply.retry_after_us > 0) {
                out << " retry-after=" << reply.retry_after_us / Sl_US_PER_MS;
            }
        }
        else if (reply.body.len > 0) {
            out << " " << escaped(reply.body);
        }
        out << "\n";
    }

    void
    print_call(const struct sl_router_effect_call &call)
    {
        std::string id = text(call.request_id);
        calls[id] = call.token;
        requests[call.token] = id;
        line() << "call " << id << " " << call.upstream.text;
        if (call.model.len > 0) {
            out << " model=" << text(call.model);
        }
        if (!SlName_IsEmpty(&call.team)) {
            out << " team=" << call.team.text;
        }
        if (call.last_event >= 0) {
            out << " last=" << call.last_event;
        }
        out << " deadline=" << call.deadline_us / Sl_US_PER_MS << "\n";
    }

    void
    print_append(const struct sl_router_effect &effect)
    {
        static const char *const states[] = {"running", "completed",
                                             "rolled_back"};
        const struct sl_record &record = effect.u.append.record;
        append_token = effect.u.append.token;
        if (record.type == Sl_RECORD_STATUS) {
            line() << "append " << record.u.status.service.text << " "
                   << record.u.status.version.text << " "
                   << states[record.u.status.state]
                   << (record.u.status.ramped ? " ramped" : "")
                   << " at=" << effect.u.append.expected_next_offset << "\n";
        }
        else if (shown.count("member") != 0) {
            line() << "append member " << record.u.member.vm.text << "\n";
        }
    }

    void
    print_log(const struct sl_router_effect &effect)
    {
        std::string fields = text(effect.u.line.fields);
        for (const std::string &word : shown) {
            if (fields.find("\"event\":\"" + word + "\"") == 0) {
                line() << "log " << fields << "\n";
            }
        }
    }

    void
    print_peer_list(const struct sl_router_effect &effect)
    {
        if (shown.count("introduce") == 0) {
            return;
        }
        std::set<std::string> names; // sorted: the members are in hash order
        for (size_t i = 0; i < effect.u.peer_list.count; i++) {
            names.insert(effect.u.peer_list.members[i].vm.text);
        }
        line() << "introduce to " << effect.u.peer_list.address.text << ":";
        for (const std::string &name : names) {
            out << " " << name;
        }
        out << "\n";
    }

    void
    on_peer_list(const members &m)
    {
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_PEER_LIST);
        std::vector<struct sl_member> others;
        for (size_t i = 1; i < m.words.size(); i++) {
            others.push_back({m.word_name(i), m.name("domain", "brest"),
                              SlName_Of((m.words.at(i) + ":7340").c_str())});
        }
        event.u.peer_list.count = others.size();
        event.u.peer_list.members = others.data();
        world.reduce(event);
    }

    void
    print_digest(const struct sl_router_effect &effect)
    {
        if (shown.count("gossip") == 0) {
            return;
        }
        line() << "gossip";
        if (effect.u.gossip.digest->age_ms > 0) {
            out << " of " << effect.u.gossip.digest->vm.text
                << " age=" << effect.u.gossip.digest->age_ms << " to";
        }
        if (effect.u.gossip.digest->relay > 0) {
            out << " relay=" << (int)effect.u.gossip.digest->relay;
        }
        for (size_t i = 0; i < effect.u.gossip.count; i++) {
            out << " " << effect.u.gossip.addresses[i]->text;
        }
        out << " loads=" << effect.u.gossip.digest->load_count
            << " rollouts=" << effect.u.gossip.digest->rollout_count
            << " faults=" << effect.u.gossip.digest->fault_count
            << (effect.u.gossip.digest->leaving ? " leaving" : "") << "\n";
    }

    // Sorted keys; a minus marks dropped ones.
    static std::string
    keys_of(const struct sl_page &page)
    {
        std::set<std::string> keys;
        std::string out;
        for (size_t i = 0; i < page.count; i++) {
            keys.insert(" " + text(page.records[i].key) +
                        (page.records[i].value.len == 0 ? "-" : ""));
        }
        for (const std::string &key : keys) {
            out += key;
        }
        return out;
    }

    void
    print(const struct sl_router_effect &effect)
    {
        switch (effect.type) {
        case Sl_ROUTER_EFFECT_CALL:
            print_call(effect.u.call);
            break;
        case Sl_ROUTER_EFFECT_CANCEL_CALL:
            line() << "cancel " << requests[effect.u.token] << "\n";
            break;
        case Sl_ROUTER_EFFECT_HEALTH_CHECK:
            line() << "check " << effect.u.health_check.upstream.text << "\n";
            break;
        case Sl_ROUTER_EFFECT_REPLY:
            print_reply("reply", effect.u.reply);
            break;
        case Sl_ROUTER_EFFECT_REPLY_BEGIN:
            print_reply("begin", effect.u.reply);
            break;
        case Sl_ROUTER_EFFECT_REPLY_CHUNK:
            line() << "send " << effect.u.chunk.conn << " "
                   << escaped(effect.u.chunk.bytes) << "\n";
            break;
        case Sl_ROUTER_EFFECT_REPLY_END:
            line() << "finish " << effect.u.conn << "\n";
            break;
        case Sl_ROUTER_EFFECT_REPLY_ABORT:
            line() << "abort " << effect.u.conn << "\n";
            break;
        case Sl_ROUTER_EFFECT_APPEND:
            print_append(effect);
            break;
        case Sl_ROUTER_EFFECT_SEND_DIGEST:
            print_digest(effect);
            break;
        case Sl_ROUTER_EFFECT_SEND_PEER_LIST:
            print_peer_list(effect);
            break;
        case Sl_ROUTER_EFFECT_PULL:
            line() << "pull " << SlFeed_Name(effect.u.pull.feed)
                   << " from=" << effect.u.pull.from << " "
                   << effect.u.pull.address.text << "\n";
            break;
        case Sl_ROUTER_EFFECT_SEND_PAGE:
            line() << "page " << effect.u.page.conn
                   << " end=" << effect.u.page.page.next_offset
                   << (effect.u.page.page.is_snapshot ? " snapshot" : "")
                   << keys_of(effect.u.page.page) << "\n";
            break;
        case Sl_ROUTER_EFFECT_LOG:
            print_log(effect);
            break;
        case Sl_ROUTER_EFFECT_CLIENT_LIMITS:
            break;
        case Sl_ROUTER_EFFECT_CLOSE_CONNS:
            line() << "close-conns\n";
            break;
        case Sl_ROUTER_EFFECT_STOP_ACCEPTING:
            line() << "stop-accepting\n";
            break;
        case Sl_ROUTER_EFFECT_EXIT:
            line() << "exit\n";
            break;
        default:
            line() << "?\n";
            break;
        }
    }
};

class RouterScript : public testing::TestWithParam<std::string> {};

TEST_P(RouterScript, Run)
{
    fs::path path = scripts_dir() / (GetParam() + ".script");
    fs::path expected_path = scripts_dir() / (GetParam() + ".expected");
    Script script(path);
    if (std::getenv("SL_WRITE_EXPECTED") != nullptr) {
        std::ofstream(expected_path) << script.output();
        return;
    }
    std::ifstream file(expected_path);
    std::stringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(script.output(), expected.str()) << path;
}

static std::vector<std::string>
script_names()
{
    std::vector<std::string> names;
    for (const auto &entry : fs::directory_iterator(scripts_dir())) {
        if (entry.path().extension() == ".script") {
            names.push_back(entry.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

INSTANTIATE_TEST_SUITE_P(Scripts, RouterScript,
                         testing::ValuesIn(script_names()),
                         [](const auto &param) { return param.param; });
