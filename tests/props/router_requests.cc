// Random runs of the router's reducer: callers, upstreams that answer in every
// way, registrations, peers, a store that comes and goes. What callers get is
// checked against what upstreams were asked.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <set>

#include "../unit/router_world.h"

namespace {

const int64_t max_attempts = 3;
const int64_t route_timeout_ms = 3000;
const size_t steps = 400;
// Longest time from the store's return to the next read, and from a record to
// the read that finds it: reads pause, as each of them costs something.
const int64_t read_again_us = 5 * Sl_US_PER_S;
const int64_t in_force_us = Sl_US_PER_S;

enum RouteIndex {
    IDEMPOTENT,
    ONCE,
    RESUMABLE,
    STREAM,
    ROUTES
};
const char *const paths[] = {"/s/x", "/c/x", "/v/x", "/w/x"};

// One call to an upstream, as that upstream has it.
struct Call {
    std::string request;
    std::string upstream;
    bool has_head = false;
    bool is_good = false; // of a stream: events may come
    int64_t next_event = 0;
};

// One request, as its caller has it.
struct Caller {
    std::string request;
    int route;
    int64_t deadline_us;
    bool begun = false;
    bool ended = false;
    bool gone = false;
    int64_t last_event = -1;
    int64_t may_have_run = 0; // calls
    bool said_not_run = false;
};

std::string
event_text(int64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

class Walk {
  public:
    explicit Walk(uint64_t seed) : random{seed}
    {
        world.on_effect = [this](const struct sl_router_effect &effect) {
            take(effect);
        };
        struct sl_bounds bounds = small_bounds();
        bounds.retry_extra = 5 + (double)below(100);
        publish();
        for (int i = 0; i < 6; i++) {
            put_upstream(i, false);
        }
        world.start("e1", "brest", bounds, "", 1 + seed % 1000);
        world.pass(1000);
    }

    void
    run()
    {
        for (size_t i = 0; i < steps && failure.empty(); i++) {
            step();
        }
        // All that is under way ends.
        world.store_up = true;
        world.pass(2 * route_timeout_ms);
        for (const auto &entry : callers) {
            expect(entry.second.ended || entry.second.gone,
                   "no answer for " + entry.second.request);
        }
        check_idle();
        RC_ASSERT(failure == "");
    }

  private:
    World world;
    struct sl_random random;
    std::string failure;
    std::map<uint64_t, Caller> callers;      // by connection
    std::map<std::string, uint64_t> conn_of; // by request
    std::map<uint64_t, Call> calls;          // by token, under way
    std::map<int, int64_t> closed_us; // upstreams that drain or are gone
    std::map<std::string, int64_t> evacuated_us;
    std::map<int, int64_t> starts;        // of upstreams
    std::map<int, int64_t> start_wall_ms; // when that was
    std::map<int, int64_t> left_start;    // that said in an answer: it leaves
    std::map<int, int64_t> backoff_until_us; // wanted by an upstream
    uint64_t last_conn = 0;
    uint64_t peer_sequence = 0;
    int64_t store_changed_us = 0;
    unsigned versions = 0;

    size_t
    below(size_t bound)
    {
        return SlRandom_Below(&random, (uint32_t)bound);
    }

    void
    expect(bool holds, const std::string &what)
    {
        if (!holds && failure.empty()) {
            failure = what + " at " +
                      std::to_string(world.now_us / Sl_US_PER_MS) + " ms";
        }
    }

    bool
    is_fresh(int64_t at_us) const
    {
        return world.now_us - at_us < in_force_us;
    }

    // ---- the store ----

    void
    publish()
    {
        struct sl_record record = {};
        struct sl_error err;
        record.type = Sl_RECORD_ROUTING;
        record.u.routing = SlRouting_New(++versions);
        for (const char *name : {"atelier", "plume"}) {
            struct sl_route_service service = {};
            service.name = SlName_Of(name);
            service.is_engine = name[0] == 'p';
            service.slots = 2;
            service.cold_start_us = Sl_US_PER_S;
            service.cold_requests_per_s = 3;
            SlRouting_AddService(record.u.routing, &service, &err);
        }
        static const enum sl_route_kind kinds[] = {
            Sl_ROUTE_IDEMPOTENT, Sl_ROUTE_AT_MOST_ONCE, Sl_ROUTE_STREAM,
            Sl_ROUTE_STREAM};
        for (int i = 0; i < ROUTES; i++) {
            struct sl_route route = {};
            route.name = SlName_Of(paths[i]);
            route.host = SlName_Of("h");
            route.prefix = SlName_Of(std::string(paths[i], 3).c_str());
            route.kind = kinds[i];
            route.resumable = i == RESUMABLE;
            route.timeout_us = route_timeout_ms * Sl_US_PER_MS;
            route.target_latency_us = 300 * Sl_US_PER_MS;
            route.target_gap_us = 200 * Sl_US_PER_MS;
            route.max_attempts = max_attempts;
            route.is_public = true;
            route.target_count = 1;
            route.targets[0].service =
                SlName_Of(i < RESUMABLE ? "atelier" : "plume");
            route.targets[0].weight = 1;
            if (i >= RESUMABLE) {
                route.model_count = 2;
                route.models[0] = SlName_Of("m0");
                route.models[1] = SlName_Of("m1");
            }
            SlRouting_AddRoute(record.u.routing, &route, &err);
        }
        world.append(Sl_FEED_OPERATORS, "config", record);
    }

    static std::string
    domain_of(int index)
    {
        return index / 2 % 2 == 0 ? "brest" : "quimper";
    }

    void
    put_upstream(int index, bool drains)
    {
        struct sl_record record = {};
        struct sl_registration &reg = record.u.upstream;
        std::string id = "u" + std::to_string(index);
        record.type = Sl_RECORD_UPSTREAM;
        reg.id = SlName_Of(id.c_str());
        reg.service = SlName_Of(index % 2 == 0 ? "atelier" : "plume");
        reg.address = SlName_Of((id + ":80").c_str());
        reg.domain = SlName_Of(domain_of(index).c_str());
        reg.version = SlName_Of("v1");
        reg.slots = 2;
        reg.cold_us = below(4) == 0 ? Sl_US_PER_S : 0;
        reg.sequence = world.topics[Sl_FEED_UPSTREAMS].end();
        reg.draining = drains;
        if (below(3) == 0) {
            starts[index]++;
            start_wall_ms[index] =
                world.event_of(Sl_ROUTER_EVENT_TICK).wall_ms;
        }
        reg.start_wall_ms = start_wall_ms[index];
        closed_us.erase(index);
        if (drains) {
            closed_us[index] = world.now_us;
        }
        world.append(Sl_FEED_UPSTREAMS, id, record);
    }

    void
    drop_upstream(int index)
    {
        struct sl_record record = {};
        std::string id = "u" + std::to_string(index);
        record.type = Sl_RECORD_UPSTREAM;
        record.dropped = true;
        record.u.upstream.id = SlName_Of(id.c_str());
        closed_us[index] = world.now_us;
        world.append(Sl_FEED_UPSTREAMS, id, record);
    }

    void
    toggle_evacuation()
    {
        std::string domain = below(2) == 0 ? "brest" : "quimper";
        struct sl_record record = {};
        record.type = Sl_RECORD_EVACUATION;
        record.u.evacuated = SlName_Of(domain.c_str());
        record.dropped = evacuated_us.erase(domain) != 0;
        if (!record.dropped) {
            evacuated_us[domain] = world.now_us;
        }
        world.append(Sl_FEED_OPERATORS, "evacuate/" + domain, record);
    }

    // ---- events ----

    void
    step()
    {
        size_t kind = below(100);
        if (kind < 25) {
            request();
        }
        else if (kind < 70) {
            answer();
        }
        else if (kind < 82) {
            world.pass(1 + (int64_t)below(150));
        }
        else if (kind < 85) {
            leave();
        }
        else if (kind < 88) {
            put_upstream((int)below(6), below(3) == 0);
        }
        else if (kind < 90) {
            drop_upstream((int)below(6));
        }
        else if (kind < 92) {
            toggle_evacuation();
        }
        else if (kind < 94) {
            world.store_up = !world.store_up;
            world.store_silent = below(2) == 0;
            store_changed_us = world.now_us;
        }
        else if (kind < 98) {
            hear_peer();
        }
        else {
            publish();
        }
    }

    void
    request()
    {
        struct sl_router_event event = world.event_of(Sl_ROUTER_EVENT_REQUEST);
        struct sl_incoming_request &ask = event.u.request;
        Caller caller;
        caller.route = (int)below(ROUTES);
        caller.request = "r" + std::to_string(++last_conn);
        std::string path = paths[caller.route];
        std::string model = caller.route == RESUMABLE ? "*" : "m1";
        int64_t deadline_ms = 50 + (int64_t)below(2000);
        if (caller.route >= RESUMABLE && below(4) == 0) {
            caller.last_event = (int64_t)below(5);
        }
        ask.conn = last_conn;
        ask.id = view(caller.request);
        ask.method = Sl_STR("POST");
        ask.target = view(path);
        ask.host = Sl_STR("h");
        ask.model = caller.route >= RESUMABLE ? view(model) : Sl_STR("");
        ask.deadline_us = deadline_ms * Sl_US_PER_MS;
        ask.last_event = caller.last_event;
        ask.prompt_tokens = (int64_t)below(3000);
        caller.deadline_us = world.now_us + ask.deadline_us;
        callers[last_conn] = caller;
        conn_of[caller.request] = last_conn;
        world.reduce(event);
    }

    void
    leave()
    {
        uint64_t conn = 1 + below(last_conn + 1);
        auto at = callers.find(conn);
        if (at == callers.end() || at->second.ended || at->second.gone) {
            return;
        }
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_CLIENT_GONE);
        event.u.conn = conn;
        at->second.gone = true;
        world.reduce(event);
    }

    // Some call's next step.
    void
    answer()
    {
        if (calls.empty()) {
            return;
        }
        auto at = calls.begin();
        std::advance(at, (long)below(calls.size()));
        uint64_t token = at->first;
        if (below(12) == 0) {
            done(token, true, below(2) == 0);
        }
        else if (!at->second.has_head) {
            head(token);
        }
        else if (at->second.is_good && below(4) != 0) {
            piece(token);
        }
        else {
            done(token, false, true);
        }
    }

    void
    head(uint64_t token)
    {
        Call &call = calls[token];
        bool is_stream = callers[conn_of[call.request]].route >= RESUMABLE;
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_RESPONSE_HEAD);
        struct sl_response_head answer = {};
        size_t kind = below(10);
        answer.cold_us = below(20) == 0 ? Sl_US_PER_S : -1;
        answer.is_stamped = true;
        answer.status = 200;
        answer.confidence = (int)below(101);
        answer.has_load = below(2) == 0;
        answer.running = (int64_t)below(4);
        int index = atoi(call.upstream.c_str() + 1);
        if (kind == 0) {
            answer.status = 503;
            answer.not_executed = true;
            answer.retry_after_us = (int64_t)below(3) * 400 * Sl_US_PER_MS;
        }
        else if (kind == 1) {
            answer.status = 421;
            answer.not_executed = true;
            answer.wrong_instance = true;
        }
        else if (kind == 2) {
            answer.status = 500;
        }
        else if (kind == 3) {
            answer.is_stamped = false;
        }
        if (kind != 1 && below(12) == 0) {
            answer.is_leaving = true;
            left_start[index] = starts[index];
        }
        if (answer.retry_after_us > 0) {
            backoff_until_us[index] = std::max(
                backoff_until_us[index], world.now_us + answer.retry_after_us);
        }
        call.has_head = true;
        call.is_good = is_stream && answer.status == 200 && answer.is_stamped;
        if (answer.not_executed) {
            callers[conn_of[call.request]].may_have_run--;
        }
        event.u.response.token = token;
        event.u.response.head = &answer;
        world.reduce(event);
    }

    void
    piece(uint64_t token)
    {
        Call &call = calls[token];
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_RESPONSE_CHUNK);
        std::string bytes = event_text(call.next_event++);
        event.u.response.token = token;
        event.u.response.bytes = view(bytes);
        world.reduce(event);
    }

    void
    done(uint64_t token, bool broken, bool connected)
    {
        Call call = calls[token];
        struct sl_router_event event =
            world.event_of(Sl_ROUTER_EVENT_RESPONSE_DONE);
        struct sl_error err;
        event.u.response.token = token;
        event.u.response.connected = connected || call.has_head;
        if (broken) {
            SlError_Set(&err, Sl_ERR_LOST, "upstream.call", "u", "closed");
            event.err = &err;
            if (!event.u.response.connected) {
                callers[conn_of[call.request]].may_have_run--;
            }
        }
        calls.erase(token);
        world.reduce(event);
    }

    void
    hear_peer()
    {
        struct sl_router_event event = world.event_of(Sl_ROUTER_EVENT_GOSSIP);
        auto digest = std::make_unique<struct sl_gossip_digest>();
        digest->vm = SlName_Of("e2");
        digest->domain = SlName_Of("brest");
        digest->address = SlName_Of("e2:7340");
        digest->boot = 7;
        digest->sequence = ++peer_sequence;
        digest->leaving = below(6) == 0;
        digest->staleness_ms = (uint32_t)below(2000);
        digest->load_count = 1;
        std::string id = "u" + std::to_string(below(6));
        uint32_t key = (uint32_t)SlHash_Bytes(0, view(id));
        digest->loads[0] = {key, (uint32_t)below(4), (uint32_t)below(100)};
        if (below(3) == 0) {
            digest->fault_count = 1;
            digest->faults[0] = {
                key, below(4) == 0 ? Sl_FAULT_REPLACED : Sl_FAULT_FAILING, 0};
        }
        event.u.gossip = digest.get();
        world.reduce(event);
    }

    // ---- effects ----

    void
    take(const struct sl_router_effect &effect)
    {
        switch (effect.type) {
        case Sl_ROUTER_EFFECT_CALL:
            on_call(effect.u.call);
            break;
        case Sl_ROUTER_EFFECT_CANCEL_CALL:
            expect(calls.erase(effect.u.token) == 1,
                   "a call is cancelled that is not under way");
            break;
        case Sl_ROUTER_EFFECT_REPLY:
            on_reply(effect.u.reply);
            break;
        case Sl_ROUTER_EFFECT_REPLY_BEGIN:
            expect(!callers[effect.u.reply.conn].begun, "begun twice");
            callers[effect.u.reply.conn].begun = true;
            check_open(effect.u.reply.conn);
            break;
        case Sl_ROUTER_EFFECT_REPLY_CHUNK:
            on_send(effect.u.chunk.conn, text(effect.u.chunk.bytes));
            break;
        case Sl_ROUTER_EFFECT_REPLY_END:
        case Sl_ROUTER_EFFECT_REPLY_ABORT:
            check_open(effect.u.conn);
            expect(callers[effect.u.conn].begun, "ended without a begin");
            callers[effect.u.conn].ended = true;
            break;
        default:
            break;
        }
    }

    void
    check_open(uint64_t conn)
    {
        expect(!callers[conn].ended && !callers[conn].gone,
               "an effect for " + callers[conn].request + " after its end");
    }

    void
    on_call(const struct sl_router_effect_call &effect)
    {
        Call call;
        call.request = text(effect.request_id);
        call.upstream = effect.upstream.text;
        // Some upstreams do not know how to resume, and start anew.
        call.next_event = below(5) == 0 ? 0 : effect.last_event + 1;
        Caller &caller = callers[conn_of[call.request]];
        int index = atoi(call.upstream.c_str() + 1);
        bool repeatable =
            caller.route == IDEMPOTENT || caller.route == RESUMABLE;
        check_open(conn_of[call.request]);
        expect(repeatable || caller.may_have_run == 0,
               call.request + " may run a second time");
        expect(caller.may_have_run < max_attempts,
               call.request + " is sent too often");
        expect(effect.last_event == caller.last_event,
               call.request + " resumes at the wrong event");
        auto left = left_start.find(index);
        expect(left == left_start.end() || left->second != starts[index],
               call.upstream + " has said that it leaves");
        auto quiet = backoff_until_us.find(index);
        expect(quiet == backoff_until_us.end() ||
                   quiet->second <= world.now_us,
               call.upstream + " wants quiet");
        // After an outage a read may take a while to be tried again.
        if (world.store_up &&
            world.now_us - store_changed_us > read_again_us) {
            auto closed = closed_us.find(index);
            expect(closed == closed_us.end() || is_fresh(closed->second),
                   call.upstream + " drains or is gone");
            auto out = evacuated_us.find(domain_of(index));
            expect(out == evacuated_us.end() || is_fresh(out->second),
                   call.upstream + " is in an evacuated domain");
        }
        caller.may_have_run++;
        calls[effect.token] = call;
    }

    void
    on_reply(const struct sl_router_effect_reply &reply)
    {
        Caller &caller = callers[reply.conn];
        check_open(reply.conn);
        expect(!caller.begun, "a whole answer after a beginning");
        caller.ended = true;
        if (reply.is_own && strcmp(reply.outcome, "not-run") == 0) {
            expect(caller.may_have_run == 0,
                   caller.request + " may have run, the caller is told not");
        }
        if (reply.is_own && caller.may_have_run > 0) {
            expect(reply.status == 502 || reply.status == 504,
                   caller.request + " may have run, status " +
                       std::to_string(reply.status));
        }
    }

    void
    on_send(uint64_t conn, const std::string &bytes)
    {
        Caller &caller = callers[conn];
        check_open(conn);
        expect(caller.begun, "sent before the begin");
        expect(bytes == event_text(caller.last_event + 1),
               caller.request + " has event " +
                   std::to_string(caller.last_event) + ", got " + bytes);
        caller.last_event++;
    }

    // Nothing is counted as under way when nothing is.
    void
    check_idle()
    {
        struct sl_buf out = {};
        SlRouter_Dump(world.router, &out);
        std::string state(out.ptr, out.len);
        SlBuf_Free(&out);
        expect(calls.empty(), "calls go on without a request");
        const std::string key = "\"in_flight\":";
        for (size_t at = state.find(key); at != std::string::npos;
             at = state.find(key, at + 1)) {
            expect(state[at + key.size()] == '0',
                   "something is still in flight: " + state);
        }
    }
};

RC_GTEST_PROP(RouterRequests, CallersGetWhatIsTrue, (uint64_t seed))
{
    Walk(seed).run();
}

} // namespace
