// Several routers in one virtual time. Digests, pulls and records of the store
// are delivered to them, and upstreams respond as the test defines.
#ifndef SL_ROUTER_FLEET_H
#define SL_ROUTER_FLEET_H

#include <gtest/gtest.h>

#include <deque>

#include "router_simulation.h"

// A call to an upstream.
struct FleetCall {
    size_t router;
    uint64_t token;
    std::string request;
    std::string upstream;
    std::string model;
    int64_t at_us;
    std::vector<uint64_t> parts; // ids of the prompt's parts
};

// How the upstream responds to a call.
struct FleetResponse {
    int64_t after_us = 0;
    int status = 200;
    int confidence = -1;
    int64_t pace_percent = 0; // stated in the head; 0: not
    // Returns the load that the head states; none: it states none.
    std::function<int64_t()> load;
    bool resets_connection = false; // instead of a response
    bool leaves = false;            // the response says that it leaves
    int64_t run_us = 0;             // from the head to the end
    bool ends_upstream = false;     // at the end of the run, without an answer
};

class Fleet {
  public:
    // Routers that stand still: they get no events, and lose what is sent to
    // them.
    std::set<size_t> frozen;

    // Resolution of time; digests and appends arrive with the next step.
    static const int64_t step_ms = 5;

    std::function<FleetResponse(const FleetCall &)> on_call;
    std::function<void(const struct sl_record &)> on_status;
    // Whether messages of the first router reach the second.
    std::function<bool(size_t, size_t)> is_delivered = [](size_t, size_t) {
        return true;
    };
    std::function<void(uint64_t, int)> on_reply;
    // A router has refused a request itself, for this reason.
    std::function<void(uint64_t, const std::string &)> on_refusal;
    // A router has logged a line of these JSON members.
    std::function<void(size_t, const std::string &)> on_log;
    // The first router pulls records from the second.
    std::function<void(size_t, size_t)> on_pull;
    // The first router gets all records from the second although it has some.
    std::function<void(size_t, size_t)> on_full_transfer;
    // Load that an upstream states in its responses; not set: none.
    std::function<int64_t(const std::string &)> load_of;
    // Requests a second that an upstream states as its limit; negative or not
    // set: none.
    std::function<double(const std::string &)> limit_of;
    // A router has the head of a response to its call.
    std::function<void(const FleetCall &)> on_head;
    // Called with the id of an upstream whose process has ended.
    std::function<void(const std::string &)> on_upstream_end;
    // Digests are encoded and decoded, which leaves out what does not fit.
    bool encodes_digests = false;
    // Time that a peer needs to transfer a snapshot; it serves one router
    // after the other.
    int64_t snapshot_transfer_us = 0;
    // Time that a digest is under way, beyond the next step.
    int64_t digest_latency_us = 0;
    // VMs that a starting router contacts first.
    std::vector<std::string> seeds;
    bool guards_memory = false; // option of the routers
    // By how much the wall clock of each router is ahead of the one before.
    int64_t wall_step_ms = 0;

    void
    start(size_t count, const struct sl_bounds &bounds)
    {
        for (size_t i = 0; i < count; i++) {
            routers.push_back(std::make_unique<RouterSimulation>());
            RouterSimulation &router = *routers.back();
            router.now_us = now_us;
            router.seeds = seeds;
            router.guards_memory = guards_memory;
            router.wall_ahead_ms = wall_step_ms * (int64_t)i;
            router.on_effect = [this,
                                i](const struct sl_router_effect &effect) {
                take(i, effect);
            };
            router.start(name_of(i), domains[i % 3], bounds, "", i + 1);
        }
    }

    // Ends the router with all that it has under way, and starts it again.
    void
    restart(size_t router)
    {
        for (auto at = responses.begin(); at != responses.end();) {
            at = at->second.call.router == router ? responses.erase(at)
                                                  : std::next(at);
        }
        drop_if(&appends, router);
        drop_if(&digests, router);
        drop_if(&pulls, router);
        drop_if(&peer_lists, router);
        routers[router]->restart();
    }

    RouterSimulation &
    router(size_t router)
    {
        return *routers[router];
    }

    size_t
    size() const
    {
        return routers.size();
    }

    int64_t
    now() const
    {
        return now_us;
    }

    // Appends the record to the store that each router reads.
    void
    append(enum sl_feed feed, const std::string &key,
           const struct sl_record &record)
    {
        for (auto &router : routers) {
            if (record.type == Sl_RECORD_ROUTING) {
                SlRouting_Ref(record.u.routing);
            }
            router->append(feed, key, record);
        }
        if (record.type == Sl_RECORD_ROUTING) {
            SlRouting_Unref(record.u.routing);
        }
    }

    // The store states eras, takes a copy of itself, and comes back from it.
    void
    set_era(uint64_t era)
    {
        for (auto &router : routers) {
            for (Topic &topic : router->topics) {
                topic.era = era;
            }
        }
    }

    void
    copy_store()
    {
        for (auto &router : routers) {
            router->copy_store();
        }
    }

    void
    restore_store()
    {
        for (auto &router : routers) {
            router->restore_store();
        }
    }

    uint64_t
    end(enum sl_feed feed) const
    {
        return routers.front()->topics[feed].end();
    }

    // Connection id of the next request.
    uint64_t
    next_conn() const
    {
        return last_conn + 1;
    }

    // Sends a client's request; its prompt shares no prefix with others.
    void
    send_request(size_t router, const std::string &path,
                 const std::string &session, int64_t deadline_ms,
                 const std::string &model = "m", int64_t prompt_tokens = 0,
                 const std::string &key = "")
    {
        std::vector<uint64_t> parts;
        if (prompt_tokens > 0) {
            parts.push_back(last_conn + 1);
        }
        send_prompt(router, path, session, deadline_ms, parts, model,
                    prompt_tokens, key);
    }

    // Sends a client's request whose prompt consists of the parts, with
    // `part_tokens` each. Returns its connection id.
    uint64_t
    send_prompt(size_t router, const std::string &path,
                const std::string &session, int64_t deadline_ms,
                const std::vector<uint64_t> &parts,
                const std::string &model = "m", int64_t part_tokens = 100,
                const std::string &key = "")
    {
        std::string id = "r" + std::to_string(++last_conn);
        struct sl_router_event event =
            routers[router]->make_event(Sl_ROUTER_EVENT_REQUEST);
        struct sl_incoming_request &request = event.u.request;
        request.conn = last_conn;
        request.id = view(id);
        request.method = Sl_STR("POST");
        request.target = view(path);
        request.host = Sl_STR("h");
        request.model = view(model);
        request.session = view(session);
        request.api_key = view(key);
        request.deadline_us = deadline_ms * Sl_US_PER_MS;
        for (uint64_t part : parts) {
            request.parts[request.part_count++] = {part, part_tokens};
            request.prompt_tokens += part_tokens;
        }
        prompts[id] = parts;
        routers[router]->reduce(event);
        return request.conn;
    }

    // Ends the upstream's process: its calls break, and nothing connects.
    void
    end_upstream(const std::string &upstream)
    {
        std::vector<FleetCall> broken;
        std::set<uint64_t> seen; // calls have several pending events
        for (auto at = responses.begin(); at != responses.end();) {
            const FleetCall &call = at->second.call;
            if (call.upstream != upstream) {
                ++at;
                continue;
            }
            if (seen.insert(call.token << 10 | call.router).second) {
                broken.push_back(call);
            }
            at = responses.erase(at);
        }
        ended.insert(upstream);
        for (auto &router : routers) {
            router->refusing.insert(upstream);
        }
        if (on_upstream_end) {
            on_upstream_end(upstream);
        }
        for (const FleetCall &call : broken) {
            finish_call(call, Sl_ERR_LOST, true);
        }
    }

    void
    advance_step()
    {
        now_us += step_ms * Sl_US_PER_MS;
        for (size_t i = 0; i < routers.size(); i++) {
            if (frozen.count(i) == 0) {
                /* More than a step for a router that has stood still. */
                routers[i]->advance_ms((now_us - routers[i]->now_us) /
                                       Sl_US_PER_MS);
            }
        }
        deliver_appends();
        deliver_digests();
        deliver_peer_lists();
        answer_pulls();
        respond_to_calls();
    }

    void
    advance_ms(int64_t ms)
    {
        for (int64_t end_us = now_us + ms * Sl_US_PER_MS; now_us < end_us;) {
            advance_step();
        }
    }

  private:
    struct pending_append {
        size_t router;
        enum sl_feed feed;
        uint64_t token;
        bool conditional;
        uint64_t at;
        struct sl_record record;
    };
    struct pending_digest {
        size_t router;
        std::string address;
        std::shared_ptr<struct sl_gossip_digest> digest;
        int64_t due_us;
    };
    struct pending_pull {
        size_t router;
        std::string address;
        enum sl_feed feed;
        uint64_t from;
        int64_t due_us;
    };
    struct pending_peer_list {
        size_t router;
        std::string address;
        std::vector<struct sl_member> members;
    };
    struct page {
        bool is_snapshot = false;
        uint64_t complete_from = 0;
        uint64_t end = 0;
        std::vector<uint64_t> offsets;
    };
    enum response_stage {
        HEAD,
        PROGRESS,
        END
    };
    struct pending_response {
        FleetCall call;
        FleetResponse response;
        response_stage stage;
    };
    // Time from a head to further bytes of a response that takes longer.
    static const int64_t progress_us = 300 * Sl_US_PER_MS;
    const char *const domains[3] = {"brest", "quimper", "vannes"};
    int64_t now_us = 1000 * Sl_US_PER_S;
    uint64_t last_conn = 0;
    std::vector<std::unique_ptr<RouterSimulation>> routers;
    std::deque<pending_append> appends;
    std::deque<pending_digest> digests;
    std::deque<pending_pull> pulls;              // by time
    std::map<std::string, int64_t> link_free_us; // by address of the sender
    std::deque<pending_peer_list> peer_lists;
    page last_page; // that a router has sent
    std::multimap<int64_t, pending_response> responses;   // by time
    std::map<std::string, std::vector<uint64_t>> prompts; // by request id
    std::set<std::string> ended; // upstreams whose process has ended

    static std::string
    name_of(size_t router)
    {
        return "e" + std::to_string(router + 1);
    }

    void
    take(size_t router, const struct sl_router_effect &effect)
    {
        switch (effect.type) {
        case Sl_ROUTER_EFFECT_CALL: {
            const struct sl_router_effect_call &call = effect.u.call;
            FleetCall made = {router,
                              call.token,
                              text(call.request_id),
                              text(SlName_Str(call.upstream)),
                              text(call.model),
                              now_us,
                              prompts[text(call.request_id)]};
            FleetResponse response = on_call(made);
            responses.insert(
                {now_us +
                     (ended.count(made.upstream) > 0 ? 0 : response.after_us),
                 {made, response, HEAD}});
            break;
        }
        case Sl_ROUTER_EFFECT_CANCEL_CALL:
            for (auto at = responses.begin(); at != responses.end();) {
                bool is_cancelled = at->second.call.router == router &&
                                    at->second.call.token == effect.u.token;
                at = is_cancelled ? responses.erase(at) : std::next(at);
            }
            break;
        case Sl_ROUTER_EFFECT_REPLY:
            if (on_refusal && effect.u.reply.is_generated) {
                on_refusal(effect.u.reply.conn, effect.u.reply.reason);
            }
            if (on_reply) {
                on_reply(effect.u.reply.conn, effect.u.reply.status);
            }
            break;
        case Sl_ROUTER_EFFECT_LOG:
            if (on_log) {
                on_log(router, text(effect.u.line.fields));
            }
            break;
        case Sl_ROUTER_EFFECT_APPEND:
            appends.push_back({router, effect.u.append.feed,
                               effect.u.append.token,
                               effect.u.append.conditional,
                               effect.u.append.expected_next_offset,
                               *effect.u.append.record});
            break;
        case Sl_ROUTER_EFFECT_SEND_DIGEST:
            for (size_t i = 0; i < effect.u.send_digest.count; i++) {
                digests.push_back(
                    {router,
                     text(SlName_Str(effect.u.send_digest.addresses[i])),
                     std::make_shared<struct sl_gossip_digest>(
                         *effect.u.send_digest.digest),
                     now_us + digest_latency_us});
            }
            break;
        case Sl_ROUTER_EFFECT_PULL:
            pull(router, text(SlName_Str(effect.u.pull.address)),
                 effect.u.pull.feed, effect.u.pull.from);
            break;
        case Sl_ROUTER_EFFECT_SEND_PAGE:
            last_page = page();
            last_page.is_snapshot = effect.u.page.page.is_snapshot;
            last_page.complete_from = effect.u.page.page.complete_from;
            last_page.end = effect.u.page.page.next_offset;
            for (size_t i = 0; i < effect.u.page.page.count; i++) {
                last_page.offsets.push_back(
                    effect.u.page.page.records[i].offset);
            }
            break;
        case Sl_ROUTER_EFFECT_SEND_PEER_LIST:
            peer_lists.push_back(
                {router,
                 text(SlName_Str(effect.u.peer_list.address)),
                 {effect.u.peer_list.members,
                  effect.u.peer_list.members + effect.u.peer_list.count}});
            break;
        default:
            break;
        }
    }

    void
    pull(size_t router, const std::string &address, enum sl_feed feed,
         uint64_t from)
    {
        int64_t &free_us = link_free_us[address];
        free_us =
            std::max(free_us, now_us) + (from == 0 ? snapshot_transfer_us : 0);
        pulls.push_back({router, address, feed, from, free_us});
        std::stable_sort(pulls.begin(), pulls.end(),
                         [](const pending_pull &a, const pending_pull &b) {
                             return a.due_us < b.due_us;
                         });
    }

    void
    deliver_appends()
    {
        std::deque<pending_append> due;
        due.swap(appends);
        for (pending_append &append_of : due) {
            bool conflict =
                append_of.conditional && end(append_of.feed) != append_of.at;
            struct sl_router_event event =
                routers[append_of.router]->make_event(
                    Sl_ROUTER_EVENT_APPENDED);
            if (!conflict) {
                struct sl_record &record = append_of.record;
                bool is_member = record.type == Sl_RECORD_MEMBER;
                append(append_of.feed,
                       is_member
                           ? text(SlName_Str(&record.u.member.vm))
                           : "rollout/" +
                                 text(SlName_Str(&record.u.status.service)),
                       record);
                if (!is_member && on_status) {
                    on_status(record);
                }
            }
            event.u.appended.token = append_of.token;
            event.u.appended.conflict = conflict;
            event.u.appended.next_offset = end(append_of.feed);
            routers[append_of.router]->reduce(event);
        }
    }

    // Encodes and decodes the digest, as a datagram does.
    static void
    pass_through_datagram(struct sl_gossip_digest *digest)
    {
        struct sl_buf bytes = {};
        struct sl_error err;
        SlGossip_Encode(digest, &bytes);
        EXPECT_LE(bytes.len, (size_t)Sl_GOSSIP_MAX_BYTES);
        EXPECT_EQ(SlGossip_Decode(SlBuf_Str(&bytes), digest, &err), Sl_OK);
        SlBuf_Free(&bytes);
    }

    void
    deliver_digests()
    {
        std::deque<pending_digest> due;
        while (!digests.empty() && digests.front().due_us <= now_us) {
            due.push_back(std::move(digests.front()));
            digests.pop_front();
        }
        for (const pending_digest &sent : due) {
            if (encodes_digests) {
                pass_through_datagram(sent.digest.get());
            }
            size_t to = at_address(sent.address);
            if (to < routers.size() && can_deliver(sent.router, to)) {
                struct sl_router_event event =
                    routers[to]->make_event(Sl_ROUTER_EVENT_DIGEST);
                event.u.digest = sent.digest.get();
                routers[to]->reduce(event);
            }
        }
    }

    bool
    can_deliver(size_t from, size_t to) const
    {
        return frozen.count(from) == 0 && frozen.count(to) == 0 &&
               is_delivered(from, to);
    }

    // Index of the router at the address; size() if there is none.
    size_t
    at_address(const std::string &address) const
    {
        size_t number = 0;
        if (sscanf(address.c_str(), "e%zu:7340", &number) != 1) {
            return routers.size();
        }
        return std::min(number - 1, routers.size());
    }

    template <typename Pending>
    static void
    drop_if(std::deque<Pending> *pending, size_t router)
    {
        std::deque<Pending> kept;
        for (const Pending &item : *pending) {
            if (item.router != router) {
                kept.push_back(item);
            }
        }
        pending->swap(kept);
    }

    void
    deliver_peer_lists()
    {
        std::deque<pending_peer_list> due;
        due.swap(peer_lists);
        for (const pending_peer_list &sent : due) {
            size_t to = at_address(sent.address);
            if (to < routers.size() && can_deliver(sent.router, to)) {
                struct sl_router_event event =
                    routers[to]->make_event(Sl_ROUTER_EVENT_PEER_LIST);
                event.u.peer_list.count = sent.members.size();
                event.u.peer_list.members = sent.members.data();
                routers[to]->reduce(event);
            }
        }
    }

    // Answers pulls with what the peers have themselves read.
    void
    answer_pulls()
    {
        std::deque<pending_pull> due;
        while (!pulls.empty() && pulls.front().due_us <= now_us) {
            due.push_back(pulls.front());
            pulls.pop_front();
        }
        for (const pending_pull &pull : due) {
            size_t from = at_address(pull.address);
            RouterSimulation &router = *routers[pull.router];
            struct sl_router_event event =
                router.make_event(Sl_ROUTER_EVENT_PULLED);
            struct sl_error err;
            std::vector<struct sl_record> records;
            event.u.feed.feed = pull.feed;
            if (from < routers.size() && on_pull) {
                on_pull(pull.router, from);
            }
            if (from >= routers.size() || !can_deliver(from, pull.router)) {
                SlError_Set(&err, Sl_ERR_UNREACHABLE, "peer.pull", "",
                            "cannot connect");
                event.err = &err;
            }
            else {
                struct sl_router_event asked =
                    routers[from]->make_event(Sl_ROUTER_EVENT_PULL);
                asked.u.pull.feed = pull.feed;
                asked.u.pull.from = pull.from;
                routers[from]->reduce(asked);
                for (uint64_t offset : last_page.offsets) {
                    records.push_back(router.topics[pull.feed].at(offset));
                }
                if (last_page.is_snapshot && pull.from > 0 &&
                    on_full_transfer) {
                    on_full_transfer(pull.router, from);
                }
                event.u.feed.is_snapshot = last_page.is_snapshot;
                event.u.feed.complete_from = last_page.complete_from;
                event.u.feed.next_offset = last_page.end;
            }
            event.u.feed.count = records.size();
            event.u.feed.records = records.data();
            router.reduce(event);
        }
    }

    // Reports the end of a call to its router; `code` is Sl_OK if the response
    // is complete.
    void
    finish_call(const FleetCall &call, enum sl_errno code, bool connected)
    {
        RouterSimulation &router = *routers[call.router];
        struct sl_error err;
        struct sl_router_event event =
            router.make_event(Sl_ROUTER_EVENT_RESPONSE_DONE);
        event.u.response.token = call.token;
        event.u.response.connected = connected;
        if (code != Sl_OK) {
            SlError_Set(&err, code, "upstream.read", "u", "connection reset");
            event.err = &err;
        }
        router.reduce(event);
    }

    // Sends the head, and schedules what follows.
    void
    send_head(const pending_response &due)
    {
        const FleetResponse &response = due.response;
        RouterSimulation &router = *routers[due.call.router];
        struct sl_response_head head = {};
        head.status = response.status;
        head.is_stamped = true;
        head.confidence = response.confidence;
        head.pace_percent = response.pace_percent;
        if (response.load) {
            head.has_load = true;
            head.running = response.load();
        }
        head.is_leaving = response.leaves;
        head.cold_us = -1;
        if (load_of) {
            head.has_load = true;
            head.running = load_of(due.call.upstream);
        }
        head.limit_per_s = limit_of ? limit_of(due.call.upstream) : -1;
        head.has_limit = head.limit_per_s >= 0;
        if (on_head) {
            on_head(due.call);
        }
        struct sl_router_event event =
            router.make_event(Sl_ROUTER_EVENT_RESPONSE_HEAD);
        event.u.response.token = due.call.token;
        event.u.response.head = &head;
        if (response.run_us > 0) {
            responses.insert(
                {now_us + response.run_us, {due.call, response, END}});
        }
        if (response.run_us > progress_us) {
            responses.insert(
                {now_us + progress_us, {due.call, response, PROGRESS}});
        }
        router.reduce(event);
        if (response.run_us == 0) {
            finish_call(due.call, Sl_OK, true);
        }
    }

    void
    send_progress(const FleetCall &call)
    {
        RouterSimulation &router = *routers[call.router];
        struct sl_router_event event =
            router.make_event(Sl_ROUTER_EVENT_RESPONSE_CHUNK);
        event.u.response.token = call.token;
        event.u.response.bytes = Sl_STR("x");
        router.reduce(event);
    }

    void
    respond_to_calls()
    {
        while (!responses.empty() && responses.begin()->first <= now_us) {
            pending_response due = responses.begin()->second;
            responses.erase(responses.begin());
            if (ended.count(due.call.upstream) > 0) {
                finish_call(due.call, Sl_ERR_UNREACHABLE, false);
            }
            else if (due.response.resets_connection) {
                finish_call(due.call, Sl_ERR_LOST, true);
            }
            else if (due.stage == HEAD) {
                send_head(due);
            }
            else if (due.stage == PROGRESS) {
                send_progress(due.call);
            }
            else if (due.response.ends_upstream) {
                responses.insert({now_us, due}); // breaks with the others
                end_upstream(due.call.upstream);
            }
            else {
                finish_call(due.call, Sl_OK, true);
            }
        }
    }
};

// Records of a deployment with one service.

inline struct sl_record
upstream_record(const std::string &id, const std::string &service,
                const std::string &version, int64_t slots)
{
    struct sl_record record = {};
    record.type = Sl_RECORD_UPSTREAM;
    struct sl_registration &reg = record.u.upstream;
    reg.id = SlName_Of(id.c_str());
    reg.service = SlName_Of(service.c_str());
    reg.address = SlName_Of((id + ":80").c_str());
    reg.domain = SlName_Of("brest");
    reg.version = SlName_Of(version.c_str());
    reg.slots = slots;
    reg.sequence = 1;
    return record;
}

// A configuration with one route to the service, for idempotent requests. With
// models, smallest first, the upstreams of the service are engines.
inline struct sl_record
routing_record(const std::string &service, const std::string &prefix,
               int64_t max_attempts,
               const std::vector<std::string> &models = {},
               double cold_requests_per_s = 0, int64_t memory_tokens = 0)
{
    struct sl_record record = {};
    struct sl_error err;
    record.type = Sl_RECORD_ROUTING;
    record.u.routing = SlRouting_New(1);
    struct sl_route_service added = {};
    added.name = SlName_Of(service.c_str());
    added.is_engine = !models.empty();
    added.slots = 64;
    added.memory_tokens = memory_tokens;
    added.cold_requests_per_s = cold_requests_per_s;
    added.cold_start_us = 20 * Sl_US_PER_S;
    added.memory_tokens = memory_tokens;
    SlRouting_AddService(record.u.routing, &added, &err);
    struct sl_route route = {};
    std::vector<struct sl_name> names;
    for (const std::string &model : models) {
        names.push_back(SlName_Of(model.c_str()));
    }
    route.models = names.data();
    route.model_count = names.size();
    route.name = SlName_Of("route");
    route.host = Sl_STR("h");
    route.prefix = view(prefix);
    route.kind = Sl_ROUTE_IDEMPOTENT;
    route.is_public = true;
    route.timeout_us = 10 * Sl_US_PER_S;
    route.target_latency_us = 2 * Sl_US_PER_S;
    route.max_attempts = max_attempts;
    struct sl_route_target target = {added.name, 1};
    route.target_count = 1;
    route.targets = &target;
    SlRouting_AddRoute(record.u.routing, &route, &err);
    return record;
}

// Returns a configuration with one service, and one team that has the API
// keys.
inline struct sl_record
keyed_routing(uint64_t version, const std::vector<std::string> &keys)
{
    struct sl_record record = {};
    struct sl_error err;
    record.type = Sl_RECORD_ROUTING;
    record.u.routing = SlRouting_New((int64_t)version);
    struct sl_route_service service = {};
    service.name = SlName_Of("plain");
    service.slots = 64;
    SlRouting_AddService(record.u.routing, &service, &err);
    struct sl_route route = {};
    route.name = SlName_Of("route");
    route.host = Sl_STR("h");
    route.prefix = Sl_STR("/s/");
    route.kind = Sl_ROUTE_IDEMPOTENT;
    route.timeout_us = 3 * Sl_US_PER_S;
    route.target_latency_us = Sl_US_PER_S;
    route.max_attempts = 2;
    struct sl_route_target target = {service.name, 1};
    route.target_count = 1;
    route.targets = &target;
    SlRouting_AddRoute(record.u.routing, &route, &err);
    struct sl_team team = {};
    team.name = SlName_Of("team");
    team.priority = -1;
    SlRouting_AddTeam(record.u.routing, &team, &err);
    for (const std::string &key : keys) {
        SlRouting_AddKey(record.u.routing, view(key), &team.name, &err);
    }
    return record;
}

#endif
