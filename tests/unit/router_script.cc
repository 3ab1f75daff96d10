// Scripted runs of the router: tests/scripts/router/NAME.script is a list of
// events, and NAME.expected the same list with the effects of each event. With
// SL_WRITE_EXPECTED set, the expected files are written instead of compared.
//
// A script line consists of words and of "key=value" pairs; values contain no
// spaces, and "~" in them stands for a newline. Times are in milliseconds
// where nothing else is said.
//   include FILE           runs the lines of another file
//   start [vm=] [domain=] [exposure=] [max-buffered=BYTES] [seeds=VM,..]
//     [first] [guards-memory] [regions=DOMAIN:REGION,..]
//       starts the router; max-buffered: bound of buffered response bytes;
//       first: the whole fleet starts
//   service NAME [engine] [slots=] [memory=TOKENS] [models=a,b] [cold-s=]
//     [cold-per-s=]
//   route NAME host= prefix= kind= to=SERVICE[:WEIGHT],.. [timeout=] [target=]
//     [gap=] [attempts=] [priority=] [models=a,b] [resumable] [public]
//     [regions=]
//   team NAME keys=a,b [priority=] [regions=]
//       regions: without the argument, any region; "regions=": none
//   publish-unreadable       publishes a configuration that cannot be decoded
//   publish VERSION [forget] [needs-keys]  publishes the services, routes and
//       teams of the lines above; forget: later versions start without them;
//       needs-keys: the list of teams is there, even if it is empty
//   upstream ID service= [domain=] [version=] [slots=] [cold=] [draining]
//     [seq=] [started=] [address=]
//       registers an upstream; started: wall time of its start
//   drop ID                 drops the registration of an upstream
//   evacuate DOMAIN | restore DOMAIN
//   rollout SERVICE VERSION seconds=   orders a roll-out
//   status SERVICE VERSION STATE [ramped] [order=]   state of a roll-out
//   store up | down | silent | misses [response=]
//       down: the store responds with an error; silent: it does not respond;
//       misses: reads that wait do not get new records; response: time until a
//       response
//   repeat N MS LINE        N times: runs the line, then advances the time
//   peer-pull FEED from=    a peer pulls records from the router
//   peer-records FEED [snapshot] KEY...
//       a peer sends the newest record of each key
//   pause MS                advances the time while the process is paused
//   request CONN host= path= [key=] [id=] [deadline=] [model=] [session=]
//     [parts=ID:TOKENS,..] [tokens=] [last=]
//       a client sends a request; last: id of the last event it received
//   serve COUNT path= [parts=] [model=]
//       so many requests, one after the other, each with a complete response
//       and a further part of its own
//   disconnect CONN         the client disconnects
//   head CONN STATUS [stamp] [not-run] [wrong-instance] [confidence=]
//     [leaving] [limit=PER_S] [load=RUNNING,WAITING] [pace=PERCENT]
//     [retry=] [invalid-retry] [invalid-limit]
//       response head; stamp: it has the upstream's signature; wrong-instance:
//       another upstream has this address; invalid-...: the field is invalid
//   chunk CONN TEXT         next bytes of the response
//   paused CONN | resumed CONN
//       the response is read no further, or again: the client is slow
//   done CONN [err=] [not-connected]
//       the newest call for that client ends; not-connected: no connection
//       was established
//   digest VM [domain=] [offsets=A,B,C] [load=ID:IN_FLIGHT:BACKLOG_MS]
//     [pace=ID:PERCENT:AGE_MS,..] [limit=ID:PER_1000_S:AGE_MS,..]
//     [fault=ID[:replaced | :leaving:MS],..] [order=] [elapsed=] [base=]
//     [suspect] [answers= bad= base-answers= base-bad=] [leaving] [store-age=]
//     [known=] [relay=PLACE] [age=] [again] [boot=] [address=]
//     [block=PART,..] [ended=UPSTREAM:PART] [begun=PART,..]
//     [share=SERVICE:TEAM:HELD:WAITING,..]
//       a digest from a peer; block: parts of which a prompt must not hold
//       all; ended: an upstream that has ended by a part; begun: parts that
//       are no suspects any more; all are of the service plume; age: it was
//       relayed; again: repeats the sequence number of the last one
//   appended [conflict] [err=]   result of the newest append to the store
//   peer-list VM...         a peer sends its list of routers
//   unreachable UPSTREAM | refusing UPSTREAM | reachable UPSTREAM...
//       its health checks fail after a timeout, or at once, or succeed
//   reads                   prints the reads since the last such line
//   drain                   begins a drain
//   show WORD... | hide WORD...   selects optional output: log events by
//       name, "member", "gossip" and "peer-list"
//   metrics WORD...         prints the metrics that contain one of the words
//   +MS                     advances the time
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <set>
#include <sstream>

#include "router_simulation.h"

extern "C" {
#include "sl_quarantine.h"
#include "sl_sharing.h"
}

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

// The words and key=value pairs of a script line.
struct script_line {
    std::vector<std::string> words;
    std::map<std::string, std::string> values;

    explicit script_line(const std::string &line)
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
    has(const std::string &key) const
    {
        return values.count(key) > 0;
    }

    bool
    has_word(const std::string &word) const
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
    name_at(size_t index) const
    {
        return SlName_Of(words.at(index).c_str());
    }

    uint64_t
    number_at(size_t index) const
    {
        return std::stoull(words.at(index));
    }
};

class Script {
  public:
    explicit Script(const fs::path &path)
    {
        simulation.on_effect = [this](const struct sl_router_effect &effect) {
            on_effect(effect);
        };
        run_file(path);
    }

    std::string
    output() const
    {
        return out.str();
    }

  private:
    RouterSimulation simulation;
    std::ostringstream out;
    std::set<std::string> shown_words;
    std::vector<struct sl_route_service> services;
    std::vector<struct sl_route> routes;
    // Memory that the routes and teams point to.
    std::list<std::string> texts;
    std::list<std::vector<struct sl_name>> name_lists;
    std::list<std::vector<struct sl_route_target>> target_lists;
    std::vector<std::pair<struct sl_team, std::vector<std::string>>> teams;
    uint64_t append_token = 0;
    std::map<std::string, uint64_t> digest_sequences; // by VM
    std::map<std::string, uint64_t> newest_calls;     // token by request id
    uint64_t served = 0;                         // requests of `serve` lines
    std::map<uint64_t, std::string> request_ids; // by token of a call

    struct sl_str
    keep_text(const std::string &text)
    {
        texts.push_back(text);
        return view(texts.back());
    }

    // Returns the names of a comma-separated list.
    struct sl_name *
    keep_names(const std::string &list, size_t *count)
    {
        name_lists.emplace_back();
        for (const std::string &name : split(list)) {
            name_lists.back().push_back(SlName_Of(name.c_str()));
        }
        *count = name_lists.back().size();
        return name_lists.back().data();
    }

    // Without the argument, any region is allowed; "regions=" allows none.
    struct sl_region_list
    keep_regions(const script_line &args)
    {
        struct sl_region_list list = {};
        list.is_set = args.has("regions");
        list.names = keep_names(args.str("regions"), &list.count);
        return list;
    }

    uint64_t
    newest_call(const script_line &args)
    {
        return newest_calls["req-" + args.words.at(1)];
    }

    void
    run_file(const fs::path &path)
    {
        std::ifstream file(path);
        ASSERT_TRUE(file) << path;
        for (std::string line; std::getline(file, line);) {
            out << line << "\n";
            if (line.rfind("include ", 0) == 0) {
                std::ostringstream saved_output;
                // Included files are not part of the output.
                saved_output.swap(out);
                run_file(path.parent_path() / line.substr(8));
                saved_output.swap(out);
            }
            else if (!line.empty() && line[0] != '#') {
                run_line(line);
            }
        }
    }

    void
    run_line(const std::string &line)
    {
        static const std::map<std::string,
                              void (Script::*)(const script_line &)>
            handlers = {
                {"start", &Script::on_start},
                {"bounds", &Script::on_bounds},
                {"service", &Script::on_service},
                {"route", &Script::on_route},
                {"team", &Script::on_team},
                {"publish", &Script::on_publish},
                {"publish-unreadable", &Script::on_publish_unreadable},
                {"upstream", &Script::on_upstream},
                {"drop", &Script::on_drop},
                {"evacuate", &Script::on_evacuate},
                {"restore", &Script::on_evacuate},
                {"rollout", &Script::on_rollout},
                {"status", &Script::on_status},
                {"store", &Script::on_store},
                {"pause", &Script::on_pause},
                {"peer-pull", &Script::on_peer_pull},
                {"peer-records", &Script::on_peer_records},
                {"request", &Script::on_request},
                {"disconnect", &Script::on_disconnect},
                {"serve", &Script::on_serve},
                {"head", &Script::on_head},
                {"chunk", &Script::on_chunk},
                {"done", &Script::on_done},
                {"paused", &Script::on_paused},
                {"resumed", &Script::on_paused},
                {"digest", &Script::on_digest},
                {"appended", &Script::on_appended},
                {"peer-list", &Script::on_peer_list},
                {"drain", &Script::on_drain},
                {"show", &Script::on_show},
                {"hide", &Script::on_show},
                {"metrics", &Script::on_metrics},
                {"reads", &Script::on_reads},
                {"unreachable", &Script::on_reachability},
                {"refusing", &Script::on_reachability},
                {"reachable", &Script::on_reachability},
            };
        if (line[0] == '+') {
            simulation.advance_ms(std::stoll(line.substr(1)));
            return;
        }
        script_line args(line);
        if (args.words.at(0) == "repeat") {
            repeat(line);
            return;
        }
        auto handler = handlers.find(args.words.at(0));
        ASSERT_NE(handler, handlers.end()) << line;
        (this->*handler->second)(args);
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
            simulation.advance_ms(ms);
        }
    }

    /* ---- events ---- */

    void
    on_reachability(const script_line &args)
    {
        for (size_t i = 1; i < args.words.size(); i++) {
            simulation.unreachable.erase(args.words[i]);
            simulation.refusing.erase(args.words[i]);
            if (args.words[0] == "unreachable") {
                simulation.unreachable.insert(args.words[i]);
            }
            else if (args.words[0] == "refusing") {
                simulation.refusing.insert(args.words[i]);
            }
        }
    }

    void
    on_reads(const script_line &)
    {
        out << "    " << simulation.reads_started << " reads\n";
        simulation.reads_started = 0;
    }

    void
    on_start(const script_line &args)
    {
        struct sl_bounds bounds = small_bounds();
        bounds.exposure_share = args.real("exposure", bounds.exposure_share);
        bounds.grace_us =
            args.number("grace", bounds.grace_us / Sl_US_PER_MS) *
            Sl_US_PER_MS;
        simulation.max_buffered_bytes = (size_t)args.number("max-buffered");
        simulation.seeds = split(args.str("seeds"));
        simulation.is_first_start = args.has_word("first");
        simulation.guards_memory = args.has_word("guards-memory");
        simulation.start(args.str("vm", "e1"), args.str("domain", "brest"),
                         bounds, args.str("regions"));
    }

    // New bounds while the router runs.
    void
    on_bounds(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_BOUNDS);
        event.u.bounds = small_bounds();
        event.u.bounds.grace_us = args.number("grace") * Sl_US_PER_MS;
        simulation.reduce(event);
    }

    void
    on_service(const script_line &args)
    {
        struct sl_route_service service = {};
        service.name = args.name_at(1);
        service.is_engine = args.has_word("engine");
        service.slots = args.number("slots", 4);
        service.memory_tokens = args.number("memory");
        service.cold_start_us =
            (int64_t)(args.real("cold-s") * (double)Sl_US_PER_S);
        service.cold_requests_per_s = args.real("cold-per-s");
        services.push_back(service);
    }

    void
    on_route(const script_line &args)
    {
        static const std::map<std::string, enum sl_route_kind> kinds = {
            {"idempotent", Sl_ROUTE_IDEMPOTENT},
            {"once", Sl_ROUTE_AT_MOST_ONCE},
            {"stream", Sl_ROUTE_STREAM},
        };
        struct sl_route route = {};
        route.name = args.name_at(1);
        route.host = keep_text(args.str("host", "h"));
        route.prefix = keep_text(args.str("prefix"));
        route.kind = kinds.at(args.str("kind"));
        route.resumable = args.has_word("resumable");
        route.is_public = args.has_word("public");
        route.timeout_us = args.number("timeout", 5000) * Sl_US_PER_MS;
        route.target_latency_us = args.number("target", 1000) * Sl_US_PER_MS;
        route.target_gap_us = args.number("gap", 2000) * Sl_US_PER_MS;
        route.priority = args.number("priority");
        route.regions = keep_regions(args);
        route.max_attempts = args.number("attempts", 1);
        route.models = keep_names(args.str("models"), &route.model_count);
        target_lists.emplace_back();
        for (const std::string &target : split(args.str("to"))) {
            std::vector<std::string> parts = split(target, ':');
            target_lists.back().push_back(
                {SlName_Of(parts[0].c_str()),
                 parts.size() > 1 ? std::stod(parts[1]) : 1});
        }
        route.targets = target_lists.back().data();
        route.target_count = target_lists.back().size();
        routes.push_back(route);
    }

    void
    on_team(const script_line &args)
    {
        struct sl_team team = {};
        team.name = args.name_at(1);
        team.priority = args.number("priority", -1);
        team.regions = keep_regions(args);
        teams.emplace_back(team, split(args.str("keys")));
    }

    // Publishes a configuration that cannot be decoded.
    void
    on_publish_unreadable(const script_line &args)
    {
        struct sl_record record = {};
        (void)args;
        record.type = Sl_RECORD_UNREADABLE;
        record.key_type = Sl_RECORD_ROUTING;
        (void)SlError_Set(&record.u.err, Sl_ERR_INVALID, "platform.record", "",
                          "not a JSON object");
        simulation.append(Sl_FEED_OPERATORS, "config", record);
    }

    void
    on_publish(const script_line &args)
    {
        struct sl_record record = {};
        struct sl_error err;
        record.type = Sl_RECORD_ROUTING;
        record.u.routing = SlRouting_New((int64_t)args.number_at(1));
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
        simulation.append(Sl_FEED_OPERATORS, "config", record);
        if (args.has_word("needs-keys")) {
            SlRouting_RequireKeys(record.u.routing);
        }
        if (args.has_word("forget")) {
            services.clear();
            routes.clear();
            teams.clear();
        }
    }

    void
    on_upstream(const script_line &args)
    {
        struct sl_record record = {};
        struct sl_registration &reg = record.u.upstream;
        record.type = Sl_RECORD_UPSTREAM;
        reg.id = args.name_at(1);
        reg.service = args.name("service");
        reg.address = args.name("address", args.words.at(1) + ":80");
        reg.domain = args.name("domain", "brest");
        reg.version = args.name("version", "v1");
        reg.slots = args.number("slots", 4);
        reg.cold_us = args.number("cold") * Sl_US_PER_MS;
        reg.start_wall_ms = args.number("started");
        reg.sequence = (uint64_t)args.number(
            "seq", (int64_t)simulation.topics[Sl_FEED_UPSTREAMS].size());
        reg.draining = args.has_word("draining");
        simulation.append(Sl_FEED_UPSTREAMS, args.words.at(1), record);
    }

    void
    on_drop(const script_line &args)
    {
        struct sl_record record = {};
        record.type = Sl_RECORD_UPSTREAM;
        record.dropped = true;
        record.u.upstream.id = args.name_at(1);
        simulation.append(Sl_FEED_UPSTREAMS, args.words.at(1), record);
    }

    void
    on_evacuate(const script_line &args)
    {
        struct sl_record record = {};
        record.type = Sl_RECORD_EVACUATION;
        record.dropped = args.words.at(0) == "restore";
        record.u.evacuated = args.name_at(1);
        simulation.append(Sl_FEED_OPERATORS, "evacuate/" + args.words.at(1),
                          record);
    }

    void
    on_rollout(const script_line &args)
    {
        struct sl_record record = {};
        record.type = Sl_RECORD_ROLLOUT;
        record.u.rollout.service = args.name_at(1);
        record.u.rollout.version = args.name_at(2);
        record.u.rollout.duration_us = args.number("seconds") * Sl_US_PER_S;
        simulation.append(Sl_FEED_OPERATORS, "rollout/" + args.words.at(1),
                          record);
    }

    void
    on_status(const script_line &args)
    {
        static const std::map<std::string, enum sl_rollout_state> states = {
            {"running", Sl_ROLLOUT_RUNNING},
            {"completed", Sl_ROLLOUT_COMPLETED},
            {"rolled_back", Sl_ROLLOUT_ROLLED_BACK},
        };
        struct sl_record record = {};
        record.type = Sl_RECORD_STATUS;
        record.u.status.service = args.name_at(1);
        record.u.status.version = args.name_at(2);
        record.u.status.state = states.at(args.words.at(3));
        record.u.status.ramped = args.has_word("ramped");
        record.u.status.order =
            SlOffset_Of(simulation.topics[Sl_FEED_OPERATORS].era,
                        (uint64_t)args.number("order"));
        simulation.append(Sl_FEED_STATUS, "rollout/" + args.words.at(1),
                          record);
    }

    void
    on_store(const script_line &args)
    {
        const std::string &state = args.words.at(1);
        if (state == "copied") {
            simulation.copy_store();
            return;
        }
        if (state == "restored") {
            simulation.restore_store();
            return;
        }
        if (state == "states-era") {
            for (Topic &topic : simulation.topics) {
                topic.era = 1;
            }
            return;
        }
        simulation.store_up = state == "up" || state == "misses";
        simulation.store_lacks_updates = state == "misses";
        simulation.store_response_us =
            args.number("response", 0) * Sl_US_PER_MS;
        simulation.store_silent = state == "silent";
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
    on_peer_pull(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_PULL);
        event.u.pull.conn = 900;
        event.u.pull.feed = feed_of(args.words.at(1));
        event.u.pull.from = (uint64_t)args.number("from");
        simulation.reduce(event);
    }

    // A peer sends the newest records of the given keys.
    void
    on_peer_records(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_PULLED);
        enum sl_feed feed = feed_of(args.words.at(1));
        std::vector<struct sl_record> records;
        for (const struct sl_record &record :
             simulation.topics[feed].from(0)) {
            if (args.has_word(text(record.key))) {
                records.push_back(record);
            }
        }
        event.u.feed.feed = feed;
        event.u.feed.is_snapshot = args.has_word("snapshot");
        event.u.feed.next_offset = simulation.topics[feed].end();
        event.u.feed.complete_from = event.u.feed.next_offset;
        event.u.feed.count = records.size();
        event.u.feed.records = records.data();
        simulation.reduce(event);
    }

    // Advances the time while the process is paused.
    void
    on_pause(const script_line &args)
    {
        simulation.now_us += std::stoll(args.words.at(1)) * Sl_US_PER_MS;
    }

    void
    on_request(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_REQUEST);
        struct sl_incoming_request &incoming = event.u.request;
        std::string id = args.str("id", "req-" + args.words.at(1));
        std::string host = args.str("host", "h");
        std::string path = args.str("path");
        std::string key = args.str("key");
        std::string model = args.str("model");
        std::string session = args.str("session");
        incoming.conn = args.number_at(1);
        incoming.id = view(id);
        incoming.method = Sl_STR("POST");
        incoming.target = view(path);
        incoming.host = view(host);
        incoming.api_key = view(key);
        incoming.model = view(model);
        incoming.session = view(session);
        incoming.deadline_us = args.number("deadline") * Sl_US_PER_MS;
        std::string last_event = args.str("last");
        incoming.last_event = view(last_event);
        incoming.prompt_tokens = args.number("tokens");
        for (const std::string &part : split(args.str("parts"))) {
            std::vector<std::string> fields = split(part, ':');
            incoming.parts[incoming.part_count].id = std::stoull(fields[0]);
            incoming.parts[incoming.part_count].tokens = std::stoll(fields[1]);
            incoming.prompt_tokens +=
                incoming.parts[incoming.part_count].tokens;
            incoming.part_count++;
        }
        simulation.reduce(event);
    }

    void
    on_serve(const script_line &args)
    {
        for (uint64_t i = 0; i < args.number_at(1); i++) {
            std::string own = std::to_string(100000 + served++);
            std::string conn = " " + own;
            run_line("request" + conn + " path=" + args.str("path") +
                     " model=" + args.str("model", "*") + " parts=" +
                     args.str("parts", "1:10") + "," + own + ":10");
            run_line("head" + conn + " 200 stamp confidence=90");
            run_line("done" + conn);
        }
    }

    void
    on_disconnect(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_CLIENT_GONE);
        event.u.conn = args.number_at(1);
        simulation.reduce(event);
    }

    void
    on_head(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_HEAD);
        struct sl_response_head head = {};
        std::vector<std::string> load = split(args.str("load"));
        head.status = std::stoi(args.words.at(2));
        head.is_stamped = args.has_word("stamp");
        head.is_events = args.has_word("events");
        head.not_executed = args.has_word("not-run");
        head.wrong_instance = args.has_word("wrong-instance");
        head.confidence = (int)args.number("confidence", -1);
        head.is_leaving = args.has_word("leaving");
        head.has_limit = !args.str("limit").empty();
        head.limit_per_s = head.has_limit ? std::stod(args.str("limit")) : 0;
        head.limit_is_invalid = args.has_word("invalid-limit");
        head.retry_after_us = args.number("retry") * Sl_US_PER_MS;
        head.retry_after_is_invalid = args.has_word("invalid-retry");
        head.cold_us = -1;
        head.pace_percent = args.number("pace");
        if (load.size() == 2) {
            head.has_load = true;
            head.running = std::stoll(load[0]);
            head.waiting = std::stoll(load[1]);
        }
        event.u.response.token = newest_call(args);
        event.u.response.head = &head;
        simulation.reduce(event);
    }

    void
    on_chunk(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_CHUNK);
        std::string bytes = args.words.at(2);
        std::replace(bytes.begin(), bytes.end(), '~', '\n');
        event.u.response.token = newest_call(args);
        event.u.response.bytes = view(bytes);
        simulation.reduce(event);
    }

    void
    on_paused(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_PAUSED);
        event.u.response.token = newest_call(args);
        event.u.response.is_paused = args.words[0] == "paused";
        simulation.reduce(event);
    }

    void
    on_done(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_DONE);
        struct sl_error err;
        event.u.response.token = newest_call(args);
        event.u.response.connected = !args.has_word("not-connected");
        if (!args.str("err").empty()) {
            SlError_Set(&err, Sl_ERR_LOST, "upstream.call", "u", "%s",
                        args.str("err").c_str());
            event.err = &err;
        }
        simulation.reduce(event);
    }

    static uint16_t
    in_tenths(const script_line &args, const char *key)
    {
        return (uint16_t)(args.number(key) * 10);
    }

    void
    on_digest(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_DIGEST);
        auto digest = std::make_unique<struct sl_gossip_digest>();
        std::vector<std::string> offsets = split(args.str("offsets", "0,0,0"));
        digest->vm = args.name_at(1);
        digest->domain = args.name("domain", "brest");
        digest->address = args.name("address", args.words.at(1) + ":7340");
        digest->boot = (uint64_t)args.number("boot", 7);
        digest->sequence = digest_sequences[args.words.at(1)] +=
            args.has_word("again") ? 0 : 1;
        digest->is_leaving = args.has_word("leaving");
        digest->live_domain_peers = (uint32_t)args.number("known");
        digest->relay = (uint8_t)args.number("relay");
        digest->age_ms = (uint32_t)args.number("age");
        digest->staleness_ms =
            (uint32_t)args.number("store-age", (int64_t)UINT32_MAX);
        for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
            digest->offsets[i] = std::stoull(offsets.at(i));
        }
        for (const std::string &load : split(args.str("load"))) {
            std::vector<std::string> fields = split(load, ':');
            struct sl_gossip_load &at = digest->loads[digest->load_count++];
            at.upstream = (uint32_t)SlHash_Bytes(0, view(fields.at(0)));
            at.in_flight = (uint32_t)std::stoul(fields.at(1));
            at.backlog_ms = (uint32_t)std::stoul(fields.at(2));
        }
        for (const std::string &pace : split(args.str("pace"))) {
            std::vector<std::string> fields = split(pace, ':');
            struct sl_gossip_pace &at = digest->paces[digest->pace_count++];
            at.upstream = (uint32_t)SlHash_Bytes(0, view(fields.at(0)));
            at.percent = (uint16_t)std::stoul(fields.at(1));
            at.age_ms = (uint32_t)std::stoul(fields.at(2));
        }
        for (const std::string &limit : split(args.str("limit"))) {
            std::vector<std::string> fields = split(limit, ':');
            struct sl_gossip_limit &at = digest->limits[digest->limit_count++];
            at.upstream = (uint32_t)SlHash_Bytes(0, view(fields.at(0)));
            at.per_1000_s = (uint32_t)std::stoul(fields.at(1));
            at.age_ms = (uint32_t)std::stoul(fields.at(2));
        }
        for (const std::string &share : split(args.str("share"))) {
            std::vector<std::string> fields = split(share, ':');
            struct sl_gossip_share &at = digest->shares[digest->share_count++];
            at.service = SlSharing_Key(view(fields.at(0)));
            at.team = SlSharing_Key(view(fields.at(1)));
            at.held = (uint16_t)std::stoul(fields.at(2));
            at.waiting = (uint16_t)std::stoul(fields.at(3));
        }
        for (const std::string &fault : split(args.str("fault"))) {
            std::vector<std::string> fields = split(fault, ':');
            struct sl_gossip_fault &at = digest->faults[digest->fault_count++];
            at.upstream = (uint32_t)SlHash_Bytes(0, view(fields.at(0)));
            at.kind = fields.size() < 2            ? Sl_FAULT_FAILING
                      : fields.at(1) == "replaced" ? Sl_FAULT_REPLACED
                                                   : Sl_FAULT_LEAVING;
            at.age_ms =
                fields.size() < 3 ? 0 : (uint32_t)std::stoul(fields.at(2));
        }
        if (args.values.count("order") != 0) {
            struct sl_gossip_rollout &rollout = digest->rollouts[0];
            digest->rollout_count = 1;
            rollout.order_offset = (uint64_t)args.number("order");
            rollout.elapsed_ms = (uint32_t)args.number("elapsed");
            rollout.baseline_in_flight = (uint32_t)args.number("base");
            rollout.is_suspect = args.has_word("suspect");
            if (args.values.count("bad") != 0) {
                rollout.tally_count = 1;
                struct sl_gossip_tally &tally = rollout.tallies[0];
                tally.route = 1;
                tally.target.count = in_tenths(args, "answers");
                tally.target.failed = in_tenths(args, "bad");
                tally.baseline.count = in_tenths(args, "base-answers");
                tally.baseline.failed = in_tenths(args, "base-bad");
            }
        }
        add_quarantine(args, &digest->quarantine);
        event.u.digest = digest.get();
        simulation.reduce(event);
    }

    // Returns the key of a prompt part of the service plume.
    static uint32_t
    key_of(const std::string &part)
    {
        const uint64_t ids[] = {std::stoull(part), 0};
        struct sl_prompt_keys keys;
        SlPromptKeys_Set(&keys, Sl_STR("plume"), ids, 2, Sl_STR(""));
        return keys.parts[0];
    }

    static void
    add_quarantine(const script_line &args,
                   struct sl_gossip_quarantine *quarantine)
    {
        std::vector<std::string> block = split(args.str("block"));
        std::vector<std::string> ended = split(args.str("ended"), ':');
        if (!block.empty()) {
            quarantine->block_count = 1;
            /* A trial is due 10 minutes before the block ends. */
            quarantine->blocks[0].expires_in_ms = 630000;
            for (const std::string &part : block) {
                struct sl_gossip_block &at = quarantine->blocks[0];
                at.keys[at.key_count++] = key_of(part);
            }
        }
        if (ended.size() == 2) {
            quarantine->end_count = 1;
            quarantine->ends[0].engine =
                (uint32_t)SlHash_Bytes(0, view(ended[0]));
            quarantine->ends[0].suspect_count = 1;
            quarantine->ends[0].suspects[0] = {key_of(ended[1]), true, 0};
        }
        for (const std::string &part : split(args.str("begun"))) {
            quarantine->cleared[quarantine->cleared_count++] = {key_of(part),
                                                                0};
        }
    }

    void
    on_appended(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_APPENDED);
        struct sl_error err;
        event.u.appended.token = append_token;
        event.u.appended.conflict = args.has_word("conflict");
        if (!args.str("err").empty()) {
            SlError_Set(&err, Sl_ERR_LOST, "store.call", "store", "%s",
                        args.str("err").c_str());
            event.err = &err;
        }
        simulation.reduce(event);
    }

    void
    on_drain(const script_line &)
    {
        simulation.reduce(simulation.make_event(Sl_ROUTER_EVENT_DRAIN));
    }

    void
    on_show(const script_line &args)
    {
        for (size_t i = 1; i < args.words.size(); i++) {
            if (args.words[0] == "show") {
                shown_words.insert(args.words[i]);
            }
            else {
                shown_words.erase(args.words[i]);
            }
        }
    }

    // Prints the metric series that contain one of the words, without
    // histogram buckets.
    void
    on_metrics(const script_line &args)
    {
        struct sl_buf text = {};
        SlRouter_MetricsText(simulation.router, &text);
        std::istringstream in(std::string(text.ptr, text.len));
        SlBuf_Free(&text);
        for (std::string series; std::getline(in, series);) {
            for (size_t i = 1; i < args.words.size(); i++) {
                if (series[0] != '#' &&
                    series.find(args.words[i]) != std::string::npos &&
                    series.find("_bucket{") == std::string::npos) {
                    begin_output() << series << "\n";
                }
            }
        }
    }

    /* ---- effects ---- */

    // Begins an output line with the time since the start in ms.
    std::ostream &
    begin_output()
    {
        return out << "    "
                   << (simulation.now_us - 1000 * Sl_US_PER_S) / Sl_US_PER_MS
                   << " ";
    }

    static std::string
    with_tildes(struct sl_str bytes)
    {
        std::string line = text(bytes);
        std::replace(line.begin(), line.end(), '\n', '~');
        return line;
    }

    void
    print_reply(const char *word, const struct sl_router_effect_reply &reply)
    {
        begin_output() << word << " " << reply.conn << " " << reply.status;
        if (reply.is_generated) {
            out << " " << reply.outcome << " " << reply.step;
            if (reply.retry_after_us > 0) {
                out << " retry-after=" << reply.retry_after_us / Sl_US_PER_MS;
            }
        }
        else if (reply.body.len > 0) {
            out << " " << with_tildes(reply.body);
        }
        out << "\n";
    }

    void
    print_call(const struct sl_router_effect_call &call)
    {
        std::string id = text(call.request_id);
        newest_calls[id] = call.token;
        request_ids[call.token] = id;
        begin_output() << "call " << id << " " << call.upstream->text;
        if (call.model.len > 0) {
            out << " model=" << text(call.model);
        }
        if (call.team != nullptr) {
            out << " team=" << call.team->text;
        }
        if (call.last_event.len > 0) {
            out << " last=" << text(call.last_event);
        }
        out << " deadline=" << call.deadline_us / Sl_US_PER_MS << "\n";
    }

    void
    print_append(const struct sl_router_effect &effect)
    {
        static const char *const states[] = {"running", "completed",
                                             "rolled_back"};
        const struct sl_record &record = *effect.u.append.record;
        append_token = effect.u.append.token;
        if (record.type == Sl_RECORD_STATUS) {
            begin_output() << "append " << record.u.status.service.text << " "
                           << record.u.status.version.text << " "
                           << states[record.u.status.state]
                           << (record.u.status.ramped ? " ramped" : "")
                           << " at=" << effect.u.append.expected_next_offset
                           << "\n";
        }
        else if (shown_words.count("member") != 0) {
            begin_output() << "append member " << record.u.member.vm.text
                           << "\n";
        }
    }

    void
    print_log(const struct sl_router_effect &effect)
    {
        std::string fields = text(effect.u.line.fields);
        for (const std::string &word : shown_words) {
            if (fields.find("\"event\":\"" + word + "\"") == 0) {
                begin_output() << "log " << fields << "\n";
            }
        }
    }

    void
    print_peer_list(const struct sl_router_effect &effect)
    {
        if (shown_words.count("peer-list") == 0) {
            return;
        }
        std::set<std::string> names; // sorted, as members are in hash order
        for (size_t i = 0; i < effect.u.peer_list.count; i++) {
            names.insert(effect.u.peer_list.members[i].vm.text);
        }
        begin_output() << "peer-list to " << effect.u.peer_list.address->text
                       << ":";
        for (const std::string &name : names) {
            out << " " << name;
        }
        out << "\n";
    }

    void
    on_peer_list(const script_line &args)
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_PEER_LIST);
        std::vector<struct sl_member> others;
        for (size_t i = 1; i < args.words.size(); i++) {
            others.push_back(
                {args.name_at(i), args.name("domain", "brest"),
                 SlName_Of((args.words.at(i) + ":7340").c_str())});
        }
        event.u.peer_list.count = others.size();
        event.u.peer_list.members = others.data();
        simulation.reduce(event);
    }

    void
    print_digest(const struct sl_router_effect &effect)
    {
        if (shown_words.count("gossip") == 0) {
            return;
        }
        begin_output() << "gossip";
        if (effect.u.send_digest.digest->age_ms > 0) {
            out << " of " << effect.u.send_digest.digest->vm.text
                << " age=" << effect.u.send_digest.digest->age_ms << " to";
        }
        if (effect.u.send_digest.digest->relay > 0) {
            out << " relay=" << (int)effect.u.send_digest.digest->relay;
        }
        for (size_t i = 0; i < effect.u.send_digest.count; i++) {
            out << " " << effect.u.send_digest.addresses[i]->text;
        }
        const struct sl_gossip_digest *sent = effect.u.send_digest.digest;
        for (size_t i = 0; i < sent->share_count; i++) {
            out << " share=" << sent->shares[i].held << ":"
                << sent->shares[i].waiting;
        }
        out << " loads=" << effect.u.send_digest.digest->load_count
            << " rollouts=" << effect.u.send_digest.digest->rollout_count
            << " faults=" << effect.u.send_digest.digest->fault_count
            << (effect.u.send_digest.digest->is_leaving ? " leaving" : "")
            << "\n";
    }

    // Returns the keys of a page, sorted; "-" marks dropped ones.
    static std::string
    sorted_keys(const struct sl_page &page)
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
    on_effect(const struct sl_router_effect &effect)
    {
        switch (effect.type) {
        case Sl_ROUTER_EFFECT_CALL:
            print_call(effect.u.call);
            break;
        case Sl_ROUTER_EFFECT_CANCEL_CALL:
            begin_output() << "cancel " << request_ids[effect.u.token] << "\n";
            break;
        case Sl_ROUTER_EFFECT_HEALTH_CHECK:
            begin_output() << "check " << effect.u.health_check.upstream->text
                           << "\n";
            break;
        case Sl_ROUTER_EFFECT_REPLY:
            print_reply("reply", effect.u.reply);
            break;
        case Sl_ROUTER_EFFECT_REPLY_BEGIN:
            print_reply("begin", effect.u.reply);
            break;
        case Sl_ROUTER_EFFECT_REPLY_CHUNK:
            begin_output() << "send " << effect.u.chunk.conn << " "
                           << with_tildes(effect.u.chunk.bytes) << "\n";
            break;
        case Sl_ROUTER_EFFECT_REPLY_END:
            begin_output() << "finish " << effect.u.conn << "\n";
            break;
        case Sl_ROUTER_EFFECT_REPLY_ABORT:
            begin_output() << "abort " << effect.u.conn << "\n";
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
            begin_output() << "pull " << SlFeed_Name(effect.u.pull.feed)
                           << " from=" << effect.u.pull.from << " "
                           << effect.u.pull.address->text << "\n";
            break;
        case Sl_ROUTER_EFFECT_SEND_PAGE:
            begin_output() << "page " << effect.u.page.conn
                           << " end=" << effect.u.page.page.next_offset
                           << (effect.u.page.page.is_snapshot ? " snapshot"
                                                              : "")
                           << sorted_keys(effect.u.page.page) << "\n";
            break;
        case Sl_ROUTER_EFFECT_LOG:
            print_log(effect);
            break;
        case Sl_ROUTER_EFFECT_CLIENT_LIMITS:
            break;
        case Sl_ROUTER_EFFECT_CLOSE_CONNS:
            begin_output() << "close-conns\n";
            break;
        case Sl_ROUTER_EFFECT_STOP_ACCEPTING:
            begin_output() << "stop-accepting\n";
            break;
        case Sl_ROUTER_EFFECT_EXIT:
            begin_output() << "exit\n";
            break;
        default:
            begin_output() << "?\n";
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
