// Scripted tests of the reducers. tests/scripts/core/NAME.script is a list of
// events; NAME.expected is the same list with the effects of each event. With
// SL_WRITE_EXPECTED set, the test writes the expected files.
//
// A script line consists of words and of "key=value" pairs without spaces.
// Times are in milliseconds.
//   role entry [rates] | role agent upstream=U
//       starts the process; rates: a rating service is available
//   vm NAME role= domain= [upstream=] [leaving=1]
//       adds or changes a VM in the list of VMs
//   publish JSON            appends to the configuration stream
//   log up | down | lost [hides=N]
//       sets how the log responds to reads: normally, as unreachable or as
//       lost; hides: without the newest N records
//   responding-peers [PEER...]
//       sets the peers that respond to pulls and probes
//   load [boot=] [warm=] [versions=a,b] [err=]
//       sets the upstream's load report
//   show WORD...            prints these routine effects, too
//   include FILE            runs the lines of another file
//   +MS                     advances the time
// All other words are events:
//   peer-up PEER [role=entry] [boot=N] [offset=N] | peer-down PEER
//   message PEER TYPE ...   a message from a peer; see peer_message()
//   http CONN [team=] [session=] [kind=] [key=] [issued=] [deadline=] [body=]
//   disconnect CONN         the client disconnects
//   call-head | call-chunk | call-done [TOKEN] [status=] [bytes=] [tokens=]
//     [err=]                of the newest call, if TOKEN is absent
//   appended [first=] [err=]   result of the newest append to the log
//   bills-page head=N [offset=N writer=W seq=N] [err=]
//       result of a read of the stream of bills
//   order-done [err=] | rated TOKEN [score=] [err=] | drain
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "sl_core.h"
}

namespace fs = std::filesystem;

static const int64_t kStartWallMs = 1700000000000;
static const uint64_t kBoot = 0xb007;
static const uint64_t kPeerBoot = 0xa000;

static fs::path
scripts_dir()
{
    return fs::path(__FILE__).parent_path() / "../scripts/core";
}

// The words and members of a script line.
struct script_line {
    std::vector<std::string> words;
    std::map<std::string, std::string> values;

    std::string
    text(const std::string &key, const std::string &fallback = "") const
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

    struct sl_name
    name(const std::string &key) const
    {
        return SlName_Of(text(key).c_str());
    }

    // Returns a reference into the line.
    struct sl_str
    str(const std::string &key) const
    {
        auto at = values.find(key);
        return at == values.end()
                   ? sl_str{"", 0}
                   : sl_str{at->second.data(), at->second.size()};
    }
};

static script_line
parse_line(const std::string &line)
{
    script_line out;
    std::istringstream in(line);
    for (std::string word; in >> word;) {
        size_t equals = word.find('=');
        if (equals == std::string::npos || word[0] == '{') {
            out.words.push_back(word);
        }
        else {
            out.values[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return out;
}

static std::vector<std::string>
split(const std::string &list)
{
    std::vector<std::string> out;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');) {
        out.push_back(item);
    }
    return out;
}

static enum sl_errno
errno_of(const std::string &name)
{
    for (int code = Sl_OK; code <= Sl_ERR_INTERNAL; code++) {
        if (name == SlError_Name((enum sl_errno)code)) {
            return (enum sl_errno)code;
        }
    }
    ADD_FAILURE() << "no error is called " << name;
    return Sl_ERR_INTERNAL;
}

// Scripts test how requests are handled, not the policies, so these always
// choose the first upstream and the first step.
static size_t
choose_first(const struct sl_candidate *, size_t, struct sl_random *)
{
    return 0;
}

static size_t
start_first(const struct sl_cascade *, const struct sl_cascade_request *,
            struct sl_random *)
{
    return 0;
}

static const struct sl_balancer first_upstream = {"first", choose_first};
static const struct sl_cascade_policy first_step = {"first", start_first};

// Runs a script against one process and completes its routine effects.
class Script {
  public:
    explicit Script(const fs::path &path)
    {
        std::ifstream file(path);
        effects = SlEffects_New();
        for (std::string line; std::getline(file, line);) {
            out << line << "\n";
            if (!line.empty() && line[0] != '#') {
                run_line(line);
            }
        }
    }

    ~Script()
    {
        SlCore_Free(core);
        SlEffects_Free(effects);
        for (json_t *record : records) {
            json_decref(record);
        }
    }

    std::string
    output() const
    {
        return out.str();
    }

  private:
    struct sl_core *core = nullptr;
    struct sl_effects *effects;
    std::ostringstream out;
    int64_t now_us = 1000 * Sl_US_PER_S;
    std::vector<struct sl_vm> vms;
    std::vector<json_t *> records; // the first has offset 1
    std::string log_state = "up";
    size_t hidden_records = 0; // number of newest records that log reads lack
    std::set<std::string> shown_words;
    std::vector<std::string> responding_peers; // respond to pulls and probes
    struct sl_load_report load = {};
    std::string load_err;
    std::map<std::string, uint64_t> outgoing_peers; // address -> peer
    std::map<std::string, uint64_t> peer_ids;       // name -> peer
    uint64_t last_incoming_id = 1;
    uint64_t last_append_token = 0;
    uint64_t last_call_token = 0;
    // Events that complete the effects of the current event.
    std::vector<std::function<void()>> responses;

    struct sl_event
    make_event(enum sl_event_type type) const
    {
        struct sl_event event = {};
        event.type = type;
        event.now_us = now_us;
        event.wall_ms =
            kStartWallMs + (now_us - 1000 * Sl_US_PER_S) / Sl_US_PER_MS;
        return event;
    }

    void
    reduce(struct sl_event event, const std::string &err_name = "")
    {
        struct sl_error err = {};
        if (!err_name.empty()) {
            SlError_Set(&err, errno_of(err_name), "script", "environment",
                        "%s", err_name.c_str());
            event.err = &err;
        }
        ASSERT_NE(core, nullptr);
        SlEffects_Clear(effects);
        SlCore_Reduce(core, &event, effects);
        responses.clear();
        for (size_t i = 0; i < SlEffects_Count(effects); i++) {
            handle_effect(SlEffects_At(effects, i));
        }
        auto pending = std::move(responses);
        for (auto &response : pending) {
            response();
        }
    }

    static std::string
    effect_text(const struct sl_effect *effect)
    {
        struct sl_buf buf = {};
        SlEffect_Print(effect, &buf);
        std::string text(buf.ptr, buf.len);
        SlBuf_Free(&buf);
        while (!text.empty() && text.back() == '\n') {
            text.pop_back();
        }
        return text;
    }

    std::string
    peer_name(uint64_t id) const
    {
        for (const auto &[name, peer] : peer_ids) {
            if (peer == id) {
                return name;
            }
        }
        return std::to_string(id);
    }

    bool
    is_routine(const std::string &word) const
    {
        static const std::set<std::string> routine = {
            "vms-read", "load-read", "log-read", "pull",   "records",
            "status",   "probe",     "proof",    "connect"};
        return routine.count(word) > 0 && shown_words.count(word) == 0;
    }

    void
    handle_effect(const struct sl_effect *effect)
    {
        std::string text = effect_text(effect);
        std::string word = text.substr(0, text.find(' '));
        bool reads_bills = effect->type == Sl_EFFECT_LOG_READ &&
                           effect->u.read.stream == Sl_STREAM_BILLS;
        if (effect->type == Sl_EFFECT_SEND) {
            word = SlMsg_TypeName(effect->u.send.msg->type);
            size_t id_end = text.find(' ', 5);
            text = "send " + peer_name(effect->u.send.peer) +
                   text.substr(id_end == std::string::npos ? text.size()
                                                           : id_end);
        }
        if (reads_bills || !is_routine(word)) {
            out << "    " << (now_us / Sl_US_PER_MS - 1000000) << " " << text
                << "\n";
        }
        respond_to_effect(effect);
    }

    void
    respond_to_effect(const struct sl_effect *effect)
    {
        if (effect->type == Sl_EFFECT_CONNECT) {
            outgoing_peers[effect->u.connect.address.text] =
                effect->u.connect.peer;
        }
        if (effect->type == Sl_EFFECT_CALL) {
            last_call_token = effect->u.call.token;
        }
        if (effect->type == Sl_EFFECT_LOG_APPEND) {
            last_append_token = effect->u.append.token;
        }
        if (effect->type == Sl_EFFECT_VMS_READ) {
            responses.push_back([this] {
                struct sl_event event = make_event(Sl_EVENT_VMS);
                event.u.vms.vms = vms.data();
                event.u.vms.count = vms.size();
                reduce(event);
            });
        }
        if (effect->type == Sl_EFFECT_LOAD_READ) {
            responses.push_back([this] {
                struct sl_event event = make_event(Sl_EVENT_LOAD);
                event.u.load = &load;
                reduce(event, load_err);
            });
        }
        if (effect->type == Sl_EFFECT_LOG_READ &&
            effect->u.read.stream != Sl_STREAM_BILLS) {
            enum sl_stream stream = effect->u.read.stream;
            uint64_t from = effect->u.read.from;
            responses.push_back(
                [this, stream, from] { complete_log_read(stream, from); });
        }
        if (effect->type == Sl_EFFECT_SEND) {
            respond_as_peer(effect->u.send.peer, *effect->u.send.msg);
        }
    }

    void
    complete_log_read(enum sl_stream stream, uint64_t from)
    {
        struct sl_event event = make_event(Sl_EVENT_LOG_READ);
        struct sl_log_page page = {1, 1, 0, nullptr};
        std::vector<struct sl_log_record> found;
        if (stream == Sl_STREAM_CONFIG) {
            uint64_t end =
                records.size() - std::min(records.size(), hidden_records);
            page.head = std::max(end + 1, from);
            for (uint64_t at = from; at <= end; at++) {
                found.push_back({at, records[at - 1]});
            }
        }
        page.count = found.size();
        page.records = found.data();
        event.u.read.stream = stream;
        event.u.read.page = &page;
        reduce(event, log_state == "up"     ? ""
                      : log_state == "lost" ? "lost"
                                            : "unreachable");
    }

    void
    respond_as_peer(uint64_t id, const struct sl_msg &request)
    {
        std::string name = peer_name(id);
        bool responds = std::count(responding_peers.begin(),
                                   responding_peers.end(), name) > 0;
        struct sl_msg msg = {};
        msg.offset = SlConfig_Offset(SlCore_Config(core));
        msg.proof_age_us = Sl_NEVER_US;
        if (request.type == Sl_MSG_PULL) {
            msg.type = Sl_MSG_RECORDS;
            msg.u.records.json = Sl_STR("[]");
        }
        else if (request.type == Sl_MSG_PROBE) {
            const struct sl_home *home = SlConfig_FindHome(
                SlCore_Config(core), &request.u.probe.service);
            msg.type = Sl_MSG_PROOF;
            msg.u.proof.service = request.u.probe.service;
            msg.u.proof.nonce = request.u.probe.nonce;
            msg.u.proof.home_revision = home == nullptr ? 0 : home->revision;
            msg.u.proof.may_confirm = true;
        }
        else {
            return;
        }
        if (responds) {
            responses.push_back([this, id, msg] { receive_message(id, msg); });
        }
    }

    void
    receive_message(uint64_t peer, const struct sl_msg &msg)
    {
        struct sl_event event = make_event(Sl_EVENT_MESSAGE);
        event.u.peer.peer = peer;
        event.u.peer.msg = &msg;
        reduce(event);
    }

    void
    start_process(const script_line &line)
    {
        struct sl_core_options options = {};
        options.role =
            line.words[1] == "agent" ? Sl_ROLE_AGENT : Sl_ROLE_ENTRY;
        options.upstream = line.name("upstream");
        options.vm = SlName_Of(line.words[1].c_str());
        options.domain = SlName_Of("brest");
        options.has_rating_service = line.words.size() > 2;
        options.balancer = &first_upstream;
        options.cascade = &first_step;
        options.boot = kBoot;
        options.seed = 1;
        options.now_us = now_us;
        options.wall_ms = make_event(Sl_EVENT_TICK).wall_ms;
        load.boot = SlName_Of("engine-1");
        load.warm = 1;
        core = SlCore_New(&options);
        reduce(make_event(Sl_EVENT_TICK));
    }

    void
    advance(int64_t ms)
    {
        int64_t until_us = now_us + ms * Sl_US_PER_MS;
        while (SlCore_NextDueUs(core) <= until_us) {
            now_us = std::max(now_us, SlCore_NextDueUs(core));
            reduce(make_event(Sl_EVENT_TICK));
        }
        now_us = until_us;
        reduce(make_event(Sl_EVENT_TICK));
    }

    void
    put_vm(const script_line &line)
    {
        struct sl_vm vm = {};
        vm.name = SlName_Of(line.words[1].c_str());
        SlRole_Parse(line.str("role"), &vm.role);
        vm.domain = line.name("domain");
        vm.upstream = line.name("upstream");
        vm.address = SlName_Of(("address-" + line.words[1]).c_str());
        vm.leaving = line.number("leaving") != 0;
        for (struct sl_vm &existing : vms) {
            if (SlName_Equal(&existing.name, &vm.name)) {
                existing = vm;
                return;
            }
        }
        vms.push_back(vm);
    }

    void
    set_load(const script_line &line)
    {
        load.boot = SlName_Of(line.text("boot", load.boot.text).c_str());
        load.warm = std::stod(line.text("warm", "1"));
        load.version_count = 0;
        for (const std::string &version : split(line.text("versions"))) {
            load.versions[load.version_count++] = SlName_Of(version.c_str());
        }
        load_err = line.text("err");
    }

    // Entries connect to the process; the process connects to agents.
    void
    peer_up(const script_line &line)
    {
        const std::string &name = line.words[1];
        bool incoming = line.text("role") == "entry";
        struct sl_msg hello = {};
        hello.type = Sl_MSG_HELLO;
        hello.offset = (uint64_t)line.number("offset");
        hello.u.hello.wire_version = Sl_WIRE_VERSION;
        hello.u.hello.vm = SlName_Of(name.c_str());
        hello.u.hello.role = SlName_Of(incoming ? "entry" : "agent");
        hello.u.hello.boot = kPeerBoot + (uint64_t)line.number("boot");
        for (const struct sl_vm &vm : vms) {
            if (SlName_Equal(&vm.name, &hello.u.hello.vm) && !incoming) {
                hello.u.hello.upstream = vm.upstream;
            }
        }
        peer_ids[name] = incoming ? (last_incoming_id += 2)
                                  : outgoing_peers["address-" + name];
        struct sl_event event = make_event(Sl_EVENT_PEER_UP);
        event.u.peer.peer = peer_ids[name];
        event.u.peer.msg = &hello;
        reduce(event);
    }

    void
    http_request(const script_line &line)
    {
        struct sl_event event = make_event(Sl_EVENT_HTTP_REQUEST);
        std::string issued = line.text("issued");
        if (issued == "now") {
            issued = std::to_string(event.wall_ms);
        }
        event.u.http = {(uint64_t)std::stoull(line.words[1]),
                        Sl_STR("POST"),
                        Sl_STR("/v1"),
                        Sl_STR("text/plain"),
                        line.str("team"),
                        line.str("session"),
                        line.str("kind"),
                        line.str("key"),
                        sl_str{issued.data(), issued.size()},
                        line.str("deadline"),
                        line.str("body")};
        reduce(event);
    }

    struct sl_msg_run
    run_message(const script_line &line, struct sl_request_id id) const
    {
        struct sl_msg_run run = {};
        int64_t wall_ms = make_event(Sl_EVENT_TICK).wall_ms;
        run.id = id;
        run.attempt = (uint64_t)line.number("attempt", 1);
        run.team = line.name("team");
        run.session = line.name("session");
        run.kind = line.name("kind");
        run.version = line.name("version");
        run.key = line.name("key");
        run.bill = SlName_Of(line.text("bill", "bill-1").c_str());
        run.method = Sl_STR("POST");
        run.path = Sl_STR("/v1");
        run.body = Sl_STR("text");
        run.issued_ms = wall_ms + line.number("issued");
        run.accepted_ms = wall_ms + line.number("accepted");
        run.time_left_us = line.number("time-left", 10000) * Sl_US_PER_MS;
        return run;
    }

    // The values seq= and boot= identify the request.
    void
    peer_message(const script_line &line)
    {
        const std::string &type = line.words[2];
        uint64_t own = SlCore_Boot(core);
        struct sl_request_id id = {(uint64_t)line.number("boot", (int64_t)own),
                                   (uint64_t)line.number("seq", 1)};
        uint64_t attempt = (uint64_t)line.number("attempt", 1);
        std::vector<struct sl_version_counts> loaded;
        struct sl_msg msg = {};
        msg.proof_age_us = Sl_NEVER_US;
        if (type == "run") {
            msg.type = Sl_MSG_RUN;
            msg.u.run = run_message(line, id);
        }
        else if (type == "cancel") {
            msg.type = Sl_MSG_CANCEL;
            msg.u.cancel = {id, attempt};
        }
        else if (type == "head") {
            msg.type = Sl_MSG_HEAD;
            msg.u.head = {id, attempt, (uint64_t)line.number("status", 200),
                          Sl_STR("text/plain")};
        }
        else if (type == "chunk") {
            msg.type = Sl_MSG_CHUNK;
            msg.u.chunk = {id, attempt, (uint64_t)line.number("position"),
                           line.str("bytes")};
        }
        else if (type == "end") {
            msg.type = Sl_MSG_END;
            msg.u.end = {id, attempt, (uint64_t)line.number("length"),
                         (uint64_t)line.number("tokens", 7), false};
        }
        else if (type == "fail") {
            msg.type = Sl_MSG_FAIL;
            msg.u.fail.id = id;
            msg.u.fail.attempt = attempt;
            msg.u.fail.outcome = line.text("outcome") == "not-run"
                                     ? Sl_OUTCOME_NOT_RUN
                                     : Sl_OUTCOME_UNKNOWN;
            msg.u.fail.code = Sl_ERR_REFUSED;
            msg.u.fail.step = SlName_Of("agent.admit");
            msg.u.fail.text = Sl_STR("refused");
            msg.u.fail.covers_key = line.number("covers-key") != 0;
        }
        else if (type == "status") {
            msg.type = Sl_MSG_STATUS;
            msg.u.status.limit = (uint64_t)line.number("limit", 8);
            msg.u.status.warm = 1;
            msg.u.status.draining = line.number("draining") != 0;
            for (const std::string &version : split(line.text("loaded"))) {
                struct sl_version_counts counts = {};
                counts.version = SlName_Of(version.c_str());
                counts.loaded = true;
                loaded.push_back(counts);
            }
            msg.u.status.version_count = loaded.size();
            msg.u.status.versions = loaded.data();
        }
        else if (type == "receipt" || type == "billed") {
            msg.type = type == "billed" ? Sl_MSG_BILLED : Sl_MSG_RECEIPT;
            msg.u.receipt.bill = line.name("bill");
            msg.u.receipt.team = line.name("team");
        }
        else if (type == "pin" || type == "pin-ask" || type == "pin-put") {
            msg.type = type == "pin"       ? Sl_MSG_PIN
                       : type == "pin-ask" ? Sl_MSG_PIN_ASK
                                           : Sl_MSG_PIN_PUT;
            msg.u.pin = {line.name("team"), line.name("session"),
                         line.name("service"), line.name("version")};
        }
        else {
            ADD_FAILURE() << "no message is called " << type;
            return;
        }
        ASSERT_TRUE(peer_ids.count(line.words[1])) << line.words[1];
        receive_message(peer_ids[line.words[1]], msg);
    }

    void
    call_event(const script_line &line)
    {
        const std::string &word = line.words[0];
        struct sl_event event =
            make_event(word == "call-head"    ? Sl_EVENT_CALL_HEAD
                       : word == "call-chunk" ? Sl_EVENT_CALL_CHUNK
                                              : Sl_EVENT_CALL_DONE);
        event.u.call.token = line.words.size() > 1 ? std::stoull(line.words[1])
                                                   : last_call_token;
        event.u.call.status = (uint64_t)line.number("status", 200);
        event.u.call.content_type = Sl_STR("text/plain");
        event.u.call.bytes = line.str("bytes");
        event.u.call.tokens = (uint64_t)line.number("tokens", 7);
        reduce(event, line.text("err"));
    }

    void
    bills_page(const script_line &line)
    {
        struct sl_event event = make_event(Sl_EVENT_LOG_READ);
        json_t *batch =
            json_pack("{s:s,s:I}", "writer", line.text("writer").c_str(),
                      "seq", (json_int_t)line.number("seq"));
        struct sl_log_record record = {(uint64_t)line.number("offset"), batch};
        struct sl_log_page page = {1, (uint64_t)line.number("head"),
                                   line.values.count("offset"), &record};
        event.u.read.stream = Sl_STREAM_BILLS;
        event.u.read.page = &page;
        reduce(event, line.text("err"));
        json_decref(batch);
    }

    void
    other_event(const script_line &line)
    {
        const std::string &word = line.words[0];
        struct sl_event event = make_event(Sl_EVENT_TICK);
        if (word == "drain") {
            event.type = Sl_EVENT_DRAIN;
        }
        else if (word == "disconnect") {
            event.type = Sl_EVENT_HTTP_DISCONNECTED;
            event.u.conn = std::stoull(line.words[1]);
        }
        else if (word == "peer-down") {
            event.type = Sl_EVENT_PEER_DOWN;
            event.u.peer.peer = peer_ids[line.words[1]];
        }
        else if (word == "appended") {
            event.type = Sl_EVENT_LOG_APPENDED;
            event.u.appended.token = last_append_token;
            event.u.appended.first_offset = (uint64_t)line.number("first");
        }
        else if (word == "order-done") {
            event.type = Sl_EVENT_ORDER_DONE;
        }
        else if (word == "rated") {
            event.type = Sl_EVENT_RATED;
            event.u.rated.token = std::stoull(line.words[1]);
            event.u.rated.score = std::stod(line.text("score", "0"));
        }
        else {
            ADD_FAILURE() << "no event is called " << word;
            return;
        }
        reduce(event, line.text("err"));
    }

    void
    run_line(const std::string &text)
    {
        const script_line line = parse_line(text);
        const std::string &word = line.words[0];
        std::vector<std::string> words_after(line.words.begin() + 1,
                                             line.words.end());
        if (word[0] == '+') {
            advance(std::stoll(word.substr(1)));
        }
        else if (word == "publish") {
            std::string json = text.substr(text.find('{'));
            records.push_back(json_loads(json.c_str(), 0, nullptr));
            ASSERT_NE(records.back(), nullptr) << json;
        }
        else if (word == "include") {
            std::ifstream file(scripts_dir() / words_after[0]);
            for (std::string inner; std::getline(file, inner);) {
                if (!inner.empty() && inner[0] != '#') {
                    run_line(inner);
                }
            }
        }
        else if (word == "log") {
            log_state = words_after[0];
            hidden_records = (size_t)line.number("hides");
        }
        else if (word == "responding-peers") {
            responding_peers = words_after;
        }
        else if (word == "show") {
            shown_words.insert(words_after.begin(), words_after.end());
        }
        else if (word == "vm") {
            put_vm(line);
        }
        else if (word == "load") {
            set_load(line);
        }
        else if (word == "role") {
            start_process(line);
        }
        else if (word == "peer-up") {
            peer_up(line);
        }
        else if (word == "http") {
            http_request(line);
        }
        else if (word == "message") {
            peer_message(line);
        }
        else if (word.rfind("call-", 0) == 0) {
            call_event(line);
        }
        else if (word == "bills-page") {
            bills_page(line);
        }
        else {
            other_event(line);
        }
    }
};

class CoreScript : public testing::TestWithParam<std::string> {};

TEST_P(CoreScript, GivesExpectedEffects)
{
    fs::path path = scripts_dir() / (GetParam() + ".script");
    fs::path expected = scripts_dir() / (GetParam() + ".expected");
    std::string found = Script(path).output();
    if (std::getenv("SL_WRITE_EXPECTED") != nullptr) {
        std::ofstream(expected) << found;
    }
    std::ostringstream expected_text;
    expected_text << std::ifstream(expected).rdbuf();
    EXPECT_EQ(expected_text.str(), found);
}

static std::vector<std::string>
all_scripts()
{
    std::vector<std::string> names;
    for (const auto &file : fs::directory_iterator(scripts_dir())) {
        if (file.path().extension() == ".script") {
            names.push_back(file.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

INSTANTIATE_TEST_SUITE_P(All, CoreScript, testing::ValuesIn(all_scripts()),
                         [](const auto &script) { return script.param; });
