// Random runs of the router's reducer: clients send and abort requests,
// upstreams respond in every way, registrations change, peers send digests,
// and the store becomes unreachable and reachable again. The responses that
// clients get are checked against the calls that upstreams got.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <set>

#include "../unit/router_simulation.h"

namespace {

const int64_t max_attempts = 3;
const int64_t route_timeout_ms = 3000;
const size_t step_count = 400;
// Reads of the store pause, since each of them has a cost: longest time from
// when the store is reachable again to the next read.
const int64_t max_read_retry_us = 5 * Sl_US_PER_S;
// Longest time from a new record to the read that returns it.
const int64_t max_read_delay_us = Sl_US_PER_S;

enum RouteIndex {
    IDEMPOTENT,
    AT_MOST_ONCE,
    RESUMABLE,
    STREAM,
    ROUTE_COUNT
};
const char *const paths[] = {"/s/x", "/c/x", "/v/x", "/w/x"};

// A call as the upstream knows it.
struct Call {
    std::string request;
    std::string upstream;
    bool has_head = false;
    bool sends_events = false; // a stream with a valid head
    int64_t next_event = 0;
};

// A request as its client knows it.
struct Client {
    std::string request;
    int route;
    int64_t deadline_us;
    bool has_begun = false;
    bool is_ended = false;
    bool is_disconnected = false;
    int64_t last_event = -1;
    int64_t possible_runs = 0; // calls that ran or may still run
};

std::string
event_text(int64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

class RandomRun {
  public:
    explicit RandomRun(uint64_t seed) : random{seed}
    {
        simulation.on_effect = [this](const struct sl_router_effect &effect) {
            handle_effect(effect);
        };
        struct sl_bounds bounds = small_bounds();
        bounds.retry_extra = 5 + (double)below(100);
        bounds.grace_us = (1 + (int64_t)below(4)) * Sl_US_PER_S;
        publish();
        for (int i = 0; i < 6; i++) {
            register_upstream(i, false);
        }
        simulation.start("e1", "brest", bounds, "", 1 + seed % 1000);
        simulation.advance_ms(1000);
    }

    void
    run()
    {
        for (size_t i = 0; i < step_count && failure.empty(); i++) {
            step();
        }
        if (below(2) == 0) {
            drain();
        }
        else {
            simulation.store_up = true;
            simulation.advance_ms(2 * route_timeout_ms);
        }
        check_all_ended();
        check_idle();
        RC_ASSERT(failure == "");
    }

  private:
    RouterSimulation simulation;
    struct sl_random random;
    std::string failure;
    std::map<uint64_t, Client> clients;      // by connection
    std::map<std::string, uint64_t> conn_of; // by request id
    std::map<uint64_t, Call> calls;          // current calls by token
    // By domain.
    std::map<std::string, int64_t> evacuated_since_us;
    // By number of the upstream.
    std::map<int, int64_t> closed_since_us; // draining or dropped
    std::map<int, int64_t> start_counts;
    std::map<int, int64_t> start_wall_ms; // of the latest start
    // Value of start_counts when a response said that the upstream leaves.
    std::map<int, int64_t> leaving_start;
    std::map<int, int64_t> backoff_until_us; // as requested in Retry-After
    uint64_t last_conn = 0;
    uint64_t peer_sequence = 0;
    int64_t store_changed_us = 0;
    bool has_exited = false;
    unsigned last_routing_version = 0;

    // Returns a random number from 0 to bound - 1.
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
                      std::to_string(simulation.now_us / Sl_US_PER_MS) + " ms";
        }
    }

    // Stops the router while its upstreams and clients go on.
    void
    drain()
    {
        simulation.reduce(simulation.make_event(Sl_ROUTER_EVENT_DRAIN));
        while (!has_exited && failure.empty()) {
            step();
        }
    }

    void
    check_all_ended()
    {
        for (const auto &entry : clients) {
            expect(entry.second.is_ended || entry.second.is_disconnected,
                   "no response for " + entry.second.request);
        }
    }

    // Returns true while the router may not have read a record of that time.
    bool
    may_be_unread(int64_t at_us) const
    {
        return simulation.now_us - at_us < max_read_delay_us;
    }

    // ---- the store ----

    void
    publish()
    {
        struct sl_record record = {};
        struct sl_error err;
        record.type = Sl_RECORD_ROUTING;
        record.u.routing = SlRouting_New(++last_routing_version);
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
        for (int i = 0; i < ROUTE_COUNT; i++) {
            struct sl_route route = {};
            route.name = SlName_Of(paths[i]);
            route.host = Sl_STR("h");
            route.prefix = {paths[i], 3};
            route.kind = kinds[i];
            route.resumable = i == RESUMABLE;
            route.timeout_us = route_timeout_ms * Sl_US_PER_MS;
            route.target_latency_us = 300 * Sl_US_PER_MS;
            route.target_gap_us = 200 * Sl_US_PER_MS;
            route.max_attempts = max_attempts;
            route.is_public = true;
            struct sl_route_target target = {
                SlName_Of(i < RESUMABLE ? "atelier" : "plume"), 1};
            struct sl_name models[] = {SlName_Of("m0"), SlName_Of("m1")};
            route.target_count = 1;
            route.targets = &target;
            if (i >= RESUMABLE) {
                route.model_count = 2;
                route.models = models;
            }
            SlRouting_AddRoute(record.u.routing, &route, &err);
        }
        simulation.append(Sl_FEED_OPERATORS, "config", record);
    }

    static std::string
    domain_of(int index)
    {
        return index / 2 % 2 == 0 ? "brest" : "quimper";
    }

    void
    register_upstream(int index, bool drains)
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
        reg.sequence = simulation.topics[Sl_FEED_UPSTREAMS].size();
        reg.draining = drains;
        if (below(3) == 0) {
            start_counts[index]++;
            start_wall_ms[index] =
                simulation.make_event(Sl_ROUTER_EVENT_TICK).wall_ms;
        }
        reg.start_wall_ms = start_wall_ms[index];
        closed_since_us.erase(index);
        if (drains) {
            closed_since_us[index] = simulation.now_us;
        }
        simulation.append(Sl_FEED_UPSTREAMS, id, record);
    }

    void
    drop_registration(int index)
    {
        struct sl_record record = {};
        std::string id = "u" + std::to_string(index);
        record.type = Sl_RECORD_UPSTREAM;
        record.dropped = true;
        record.u.upstream.id = SlName_Of(id.c_str());
        closed_since_us[index] = simulation.now_us;
        simulation.append(Sl_FEED_UPSTREAMS, id, record);
    }

    void
    toggle_evacuation()
    {
        std::string domain = below(2) == 0 ? "brest" : "quimper";
        struct sl_record record = {};
        record.type = Sl_RECORD_EVACUATION;
        record.u.evacuated = SlName_Of(domain.c_str());
        record.dropped = evacuated_since_us.erase(domain) != 0;
        if (!record.dropped) {
            evacuated_since_us[domain] = simulation.now_us;
        }
        simulation.append(Sl_FEED_OPERATORS, "evacuate/" + domain, record);
    }

    // ---- events ----

    void
    step()
    {
        size_t kind = below(100);
        if (kind < 25) {
            send_request();
        }
        else if (kind < 70) {
            advance_call();
        }
        else if (kind < 82) {
            simulation.advance_ms(1 + (int64_t)below(150));
        }
        else if (kind < 85) {
            disconnect_client();
        }
        else if (kind < 88) {
            register_upstream((int)below(6), below(3) == 0);
        }
        else if (kind < 90) {
            drop_registration((int)below(6));
        }
        else if (kind < 92) {
            toggle_evacuation();
        }
        else if (kind < 94) {
            simulation.store_up = !simulation.store_up;
            simulation.store_silent = below(2) == 0;
            store_changed_us = simulation.now_us;
        }
        else if (kind < 98) {
            receive_digest();
        }
        else {
            publish();
        }
    }

    void
    send_request()
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_REQUEST);
        struct sl_incoming_request &incoming = event.u.request;
        Client client;
        client.route = (int)below(ROUTE_COUNT);
        client.request = "r" + std::to_string(++last_conn);
        std::string path = paths[client.route];
        std::string model = client.route == RESUMABLE ? "*" : "m1";
        int64_t deadline_ms = 50 + (int64_t)below(2000);
        if (client.route >= RESUMABLE && below(4) == 0) {
            client.last_event = (int64_t)below(5);
        }
        incoming.conn = last_conn;
        incoming.id = view(client.request);
        incoming.method = Sl_STR("POST");
        incoming.target = view(path);
        incoming.host = Sl_STR("h");
        incoming.model = client.route >= RESUMABLE ? view(model) : Sl_STR("");
        incoming.deadline_us = deadline_ms * Sl_US_PER_MS;
        std::string last_event =
            client.last_event >= 0 ? std::to_string(client.last_event) : "";
        incoming.last_event = view(last_event);
        incoming.prompt_tokens = (int64_t)below(3000);
        client.deadline_us = simulation.now_us + incoming.deadline_us;
        clients[last_conn] = client;
        conn_of[client.request] = last_conn;
        simulation.reduce(event);
    }

    void
    disconnect_client()
    {
        uint64_t conn = 1 + below(last_conn + 1);
        auto at = clients.find(conn);
        if (at == clients.end() || at->second.is_ended ||
            at->second.is_disconnected) {
            return;
        }
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_CLIENT_GONE);
        event.u.conn = conn;
        at->second.is_disconnected = true;
        simulation.reduce(event);
    }

    // Advances a random call: response head, event or end.
    void
    advance_call()
    {
        if (calls.empty()) {
            return;
        }
        auto at = calls.begin();
        std::advance(at, (long)below(calls.size()));
        uint64_t token = at->first;
        if (below(12) == 0) {
            end_response(token, true, below(2) == 0);
        }
        else if (!at->second.has_head) {
            send_response_head(token);
        }
        else if (at->second.sends_events && below(4) != 0) {
            send_event(token);
        }
        else {
            end_response(token, false, true);
        }
    }

    void
    send_response_head(uint64_t token)
    {
        Call &call = calls[token];
        bool is_stream = clients[conn_of[call.request]].route >= RESUMABLE;
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_HEAD);
        struct sl_response_head head = {};
        size_t kind = below(10);
        head.cold_us = below(20) == 0 ? Sl_US_PER_S : -1;
        head.is_stamped = true;
        head.status = 200;
        head.confidence = (int)below(101);
        head.has_load = below(2) == 0;
        head.running = (int64_t)below(4);
        int index = atoi(call.upstream.c_str() + 1);
        if (kind == 0) {
            head.status = 503;
            head.not_executed = true;
            head.retry_after_us = (int64_t)below(3) * 400 * Sl_US_PER_MS;
        }
        else if (kind == 1) {
            head.status = 421;
            head.not_executed = true;
            head.wrong_instance = true;
        }
        else if (kind == 2) {
            head.status = 500;
        }
        else if (kind == 3) {
            head.is_stamped = false;
        }
        if (kind != 1 && below(12) == 0) {
            head.is_leaving = true;
            leaving_start[index] = start_counts[index];
        }
        if (head.retry_after_us > 0) {
            backoff_until_us[index] =
                std::max(backoff_until_us[index],
                         simulation.now_us + head.retry_after_us);
        }
        call.has_head = true;
        call.sends_events = is_stream && head.status == 200 && head.is_stamped;
        if (head.not_executed) {
            clients[conn_of[call.request]].possible_runs--;
        }
        event.u.response.token = token;
        event.u.response.head = &head;
        simulation.reduce(event);
    }

    void
    send_event(uint64_t token)
    {
        Call &call = calls[token];
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_CHUNK);
        std::string bytes = event_text(call.next_event++);
        event.u.response.token = token;
        event.u.response.bytes = view(bytes);
        simulation.reduce(event);
    }

    void
    end_response(uint64_t token, bool broken, bool connected)
    {
        Call call = calls[token];
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_RESPONSE_DONE);
        struct sl_error err;
        event.u.response.token = token;
        event.u.response.connected = connected || call.has_head;
        if (broken) {
            SlError_Set(&err, Sl_ERR_LOST, "upstream.call", "u", "closed");
            event.err = &err;
            if (!event.u.response.connected) {
                clients[conn_of[call.request]].possible_runs--;
            }
        }
        calls.erase(token);
        simulation.reduce(event);
    }

    void
    receive_digest()
    {
        struct sl_router_event event =
            simulation.make_event(Sl_ROUTER_EVENT_DIGEST);
        auto digest = std::make_unique<struct sl_gossip_digest>();
        digest->vm = SlName_Of("e2");
        digest->domain = SlName_Of("brest");
        digest->address = SlName_Of("e2:7340");
        digest->boot = 7;
        digest->sequence = ++peer_sequence;
        digest->is_leaving = below(6) == 0;
        digest->staleness_ms = (uint32_t)below(2000);
        digest->load_count = 1;
        std::string id = "u" + std::to_string(below(6));
        uint32_t key = (uint32_t)SlHash_Bytes(0, view(id));
        digest->loads[0] = {key, (uint32_t)below(4), (uint32_t)below(100),
                            (uint32_t)below(60000)};
        if (below(3) == 0) {
            digest->fault_count = 1;
            digest->faults[0] = {
                key, below(4) == 0 ? Sl_FAULT_REPLACED : Sl_FAULT_FAILING, 0};
        }
        event.u.digest = digest.get();
        simulation.reduce(event);
    }

    // ---- effects ----

    void
    handle_effect(const struct sl_router_effect &effect)
    {
        switch (effect.type) {
        case Sl_ROUTER_EFFECT_CALL:
            on_call(effect.u.call);
            break;
        case Sl_ROUTER_EFFECT_CANCEL_CALL:
            expect(calls.erase(effect.u.token) == 1,
                   "a call that has ended is cancelled");
            break;
        case Sl_ROUTER_EFFECT_REPLY:
            on_reply(effect.u.reply);
            break;
        case Sl_ROUTER_EFFECT_REPLY_BEGIN:
            expect(!clients[effect.u.reply.conn].has_begun,
                   "a response begins twice");
            clients[effect.u.reply.conn].has_begun = true;
            check_open(effect.u.reply.conn);
            break;
        case Sl_ROUTER_EFFECT_REPLY_CHUNK:
            on_chunk(effect.u.chunk.conn, text(effect.u.chunk.bytes));
            break;
        case Sl_ROUTER_EFFECT_REPLY_END:
        case Sl_ROUTER_EFFECT_REPLY_ABORT:
            check_open(effect.u.conn);
            expect(clients[effect.u.conn].has_begun,
                   "a response ends without a beginning");
            clients[effect.u.conn].is_ended = true;
            break;
        case Sl_ROUTER_EFFECT_EXIT:
            has_exited = true;
            check_all_ended(); // nothing is sent for sure after the exit
            break;
        default:
            break;
        }
    }

    void
    check_open(uint64_t conn)
    {
        expect(!clients[conn].is_ended && !clients[conn].is_disconnected,
               "an effect for " + clients[conn].request + " after its end");
    }

    void
    on_call(const struct sl_router_effect_call &effect)
    {
        Call call;
        call.request = text(effect.request_id);
        call.upstream = effect.upstream->text;
        // Some upstreams cannot resume and start from the first event.
        int64_t last_event = effect.last_event.len > 0
                                 ? std::stoll(text(effect.last_event))
                                 : -1;
        call.next_event = below(5) == 0 ? 0 : last_event + 1;
        Client &client = clients[conn_of[call.request]];
        int index = atoi(call.upstream.c_str() + 1);
        bool repeatable =
            client.route == IDEMPOTENT || client.route == RESUMABLE;
        check_open(conn_of[call.request]);
        expect(repeatable || client.possible_runs == 0,
               call.request + " may run a second time");
        expect(client.possible_runs < max_attempts,
               call.request + " exceeds its attempts");
        expect(last_event == client.last_event,
               call.request + " resumes at the wrong event");
        auto left = leaving_start.find(index);
        expect(left == leaving_start.end() ||
                   left->second != start_counts[index],
               call.upstream + " is called after it said that it leaves");
        auto backoff = backoff_until_us.find(index);
        expect(backoff == backoff_until_us.end() ||
                   backoff->second <= simulation.now_us,
               call.upstream + " is called during its back-off");
        // After an outage, the next read may come up to max_read_retry_us
        // later.
        if (simulation.store_up &&
            simulation.now_us - store_changed_us > max_read_retry_us) {
            auto closed = closed_since_us.find(index);
            expect(closed == closed_since_us.end() ||
                       may_be_unread(closed->second),
                   call.upstream + " is called while it drains or is dropped");
            auto out = evacuated_since_us.find(domain_of(index));
            expect(out == evacuated_since_us.end() ||
                       may_be_unread(out->second),
                   call.upstream + " is called in an evacuated domain");
        }
        client.possible_runs++;
        calls[effect.token] = call;
    }

    void
    on_reply(const struct sl_router_effect_reply &reply)
    {
        Client &client = clients[reply.conn];
        check_open(reply.conn);
        expect(!client.has_begun, "a complete response after a beginning");
        client.is_ended = true;
        if (reply.is_generated && strcmp(reply.outcome, "not-run") == 0) {
            expect(client.possible_runs == 0,
                   client.request +
                       " may have run, but is reported as not-run");
        }
        if (reply.is_generated && client.possible_runs > 0) {
            expect(reply.status == 502 || reply.status == 504,
                   client.request + " may have run, status " +
                       std::to_string(reply.status));
        }
    }

    void
    on_chunk(uint64_t conn, const std::string &bytes)
    {
        Client &client = clients[conn];
        check_open(conn);
        expect(client.has_begun,
               "a chunk before the beginning of the response");
        expect(bytes == event_text(client.last_event + 1),
               client.request + " has got event " +
                   std::to_string(client.last_event) + ", then " + bytes);
        client.last_event++;
    }

    // Checks that no call is left and that no request is counted as in flight.
    void
    check_idle()
    {
        struct sl_buf out = {};
        SlRouter_Dump(simulation.router, &out);
        std::string state(out.ptr, out.len);
        SlBuf_Free(&out);
        expect(calls.empty(), "a call continues without a request");
        const std::string key = "\"in_flight\":";
        for (size_t at = state.find(key); at != std::string::npos;
             at = state.find(key, at + 1)) {
            expect(state[at + key.size()] == '0',
                   "the in-flight count is not 0: " + state);
        }
    }
};

RC_GTEST_PROP(RouterRequests, ClientsGetTrueOutcomes, (uint64_t seed))
{
    RandomRun(seed).run();
}

} // namespace
