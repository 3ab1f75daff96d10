// Runs the router's reducer in virtual time against a simulated store, for
// scripted and random tests.
#ifndef SL_ROUTER_SIMULATION_H
#define SL_ROUTER_SIMULATION_H

#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "sl_router.h"
}

inline struct sl_str
view(const std::string &text)
{
    return {text.data(), text.size()};
}

inline std::string
text(struct sl_str view)
{
    return view.len == 0 ? std::string() : std::string(view.ptr, view.len);
}

// A topic of the store: the appended records in order. Owns the routing tables
// of its records.
class Topic {
  public:
    // As in offsets; 0: the store states none.
    uint64_t era = 0;

    Topic() = default;
    Topic(const Topic &) = delete;
    Topic &operator=(const Topic &) = delete;

    ~Topic()
    {
        for (struct sl_record &record : owned) {
            if (record.type == Sl_RECORD_ROUTING && !record.dropped) {
                SlRouting_Unref(record.u.routing);
            }
        }
    }

    size_t
    size() const
    {
        return records.size();
    }

    uint64_t
    end() const
    {
        return SlOffset_Of(era, records.size());
    }

    // Returns true if a read from the offset can go on.
    bool
    has(uint64_t offset) const
    {
        return SlOffset_Era(offset) == era &&
               SlOffset_Number(offset) <= records.size();
    }

    void
    append(const std::string &key, struct sl_record record)
    {
        record.offset = end();
        texts.push_back(std::make_unique<std::string>(key));
        record.key = view(*texts.back());
        texts.push_back(std::make_unique<std::string>(value_of(record)));
        record.value = view(*texts.back());
        records.push_back(record);
        owned.push_back(record);
        history[record.offset] = record;
    }

    // Loses the records after the first `count`, in a new era.
    void
    restore(size_t count)
    {
        records.resize(std::min(count, records.size()));
        era++;
        for (size_t i = 0; i < records.size(); i++) {
            records[i].offset = SlOffset_Of(era, i);
            history[records[i].offset] = records[i];
        }
    }

    // Returns a record of this era, or of an earlier one.
    const struct sl_record &
    at(uint64_t offset) const
    {
        return history.at(offset);
    }

    // Returns the records from an offset on, only the newest of each key.
    std::vector<struct sl_record>
    from(uint64_t offset) const
    {
        std::map<std::string, size_t> newest;
        for (size_t i = 0; i < records.size(); i++) {
            newest[text(records[i].key)] = i;
        }
        std::vector<struct sl_record> out;
        for (size_t i = SlOffset_Number(offset); i < records.size(); i++) {
            if (newest[text(records[i].key)] == i) {
                out.push_back(records[i]);
            }
        }
        return out;
    }

    // Returns the newest record of each key, without dropped keys.
    std::vector<struct sl_record>
    snapshot() const
    {
        std::vector<struct sl_record> out;
        for (const struct sl_record &record : from(0)) {
            if (!record.dropped) {
                out.push_back(record);
            }
        }
        return out;
    }

  private:
    std::vector<struct sl_record> records;
    std::vector<struct sl_record> owned; // all records ever appended
    std::map<uint64_t, struct sl_record> history;
    std::vector<std::unique_ptr<std::string>> texts; // keys and values

    // Differs for roll-outs of different versions.
    static std::string
    value_of(const struct sl_record &record)
    {
        return record.dropped ? ""
               : record.type == Sl_RECORD_ROLLOUT
                   ? record.u.rollout.version.text
                   : "{}";
    }
};

// Bounds of a small deployment.
inline struct sl_bounds
small_bounds()
{
    struct sl_bounds bounds = {};
    bounds.drain_us = 2 * Sl_US_PER_S;
    bounds.config_apply_us = 2 * Sl_US_PER_S;
    bounds.grace_us = 8 * Sl_US_PER_S;
    bounds.retry_ratio = 0.9;
    bounds.retry_extra = 50;
    bounds.retry_window_us = 10 * Sl_US_PER_S;
    bounds.exposure_share = 0.15;
    bounds.exposure_extra = 30;
    bounds.rollback_us = 5 * Sl_US_PER_S;
    bounds.cold_overshoot = 1.5;
    bounds.cold_extra = 5;
    bounds.session_us = 5 * Sl_US_PER_S;
    bounds.reuse_us = 2 * Sl_US_PER_S;
    bounds.heartbeat_us = 1200 * Sl_US_PER_MS;
    bounds.contact_us = 3 * Sl_US_PER_S;
    return bounds;
}

// One router. Completes its store reads and its health checks. All effects but
// the reads are passed to `on_effect`.
class RouterSimulation {
  public:
    int64_t now_us = 1000 * Sl_US_PER_S;
    bool store_up = true;
    bool store_silent = false; // while down, the store does not respond at all
    int64_t store_response_us = 0;    // response time of the store
    bool store_lacks_updates = false; // waiting reads miss new records
    Topic topics[Sl_FEED_COUNT];
    unsigned reads_started = 0; // store reads by the router
    // Reads of whole feeds, without the small feed of members.
    unsigned snapshot_reads_started = 0;
    std::set<std::string> unreachable; // upstreams that fail health checks
    std::set<std::string> refusing;    // those that fail them at once
    size_t max_buffered_bytes = 0;     // option of the router
    std::vector<std::string> seeds;    // VMs that the router contacts first
    bool is_first_start = false;       // option of the router
    bool guards_memory = false;        // option of the router
    int64_t wall_ahead_ms = 0;         // error of the wall clock
    struct sl_router *router = nullptr;
    std::function<void(const struct sl_router_effect &)> on_effect;

    RouterSimulation() : effects(SlRouterEffects_New())
    {
    }
    RouterSimulation(const RouterSimulation &) = delete;
    RouterSimulation &operator=(const RouterSimulation &) = delete;

    ~RouterSimulation()
    {
        SlRouter_Free(router);
        SlRouterEffects_Free(effects);
    }

    // Starts the router. `regions` is a list of DOMAIN:REGION, separated by
    // commas.
    void
    start(const std::string &vm, const std::string &domain,
          const struct sl_bounds &bounds, const std::string &regions = "",
          uint64_t seed = 1)
    {
        options = {};
        options.vm = SlName_Of(vm.c_str());
        options.domain = SlName_Of(domain.c_str());
        options.peer_address = SlName_Of((vm + ":7340").c_str());
        options.bounds = bounds;
        options.max_buffered_bytes = max_buffered_bytes;
        options.is_first_start = is_first_start;
        options.guards_memory = guards_memory;
        for (const std::string &other : seeds) {
            options.seeds[options.seed_count++] =
                SlName_Of((other + ":7340").c_str());
        }
        std::istringstream list(regions);
        for (std::string item; std::getline(list, item, ',');) {
            size_t colon = item.find(':');
            struct sl_domain &at = options.domains[options.domain_count++];
            at.name = SlName_Of(item.substr(0, colon).c_str());
            at.region = SlName_Of(item.substr(colon + 1).c_str());
        }
        options.boot = 1 + seed;
        options.seed = seed;
        options.now_us = now_us;
        router = SlRouter_New(&options);
        tick();
    }

    // Restarts the process; the store keeps its records.
    void
    restart()
    {
        SlRouter_Free(router);
        router = nullptr;
        checks.clear();
        for (pending_read &pending : reads) {
            pending = pending_read();
        }
        options.boot++;
        options.now_us = now_us;
        router = SlRouter_New(&options);
        tick();
    }

    struct sl_router_event
    make_event(enum sl_router_event_type type) const
    {
        struct sl_router_event event = {};
        event.type = type;
        event.now_us = now_us;
        event.wall_ms = 1700000000000 + now_us / Sl_US_PER_MS + wall_ahead_ms;
        return event;
    }

    void
    tick()
    {
        reduce(make_event(Sl_ROUTER_EVENT_TICK));
    }

    void
    reduce(const struct sl_router_event &event)
    {
        SlRouterEffects_Clear(effects);
        SlRouter_Reduce(router, &event, effects);
        for (size_t i = 0; i < SlRouterEffects_Count(effects); i++) {
            const struct sl_router_effect *effect =
                SlRouterEffects_At(effects, i);
            if (effect->type == Sl_ROUTER_EFFECT_HEALTH_CHECK) {
                add_check(*effect);
            }
            if (effect->type == Sl_ROUTER_EFFECT_CALL) {
                // What an upstream sends twice must reach no other call.
                EXPECT_TRUE(effect->u.call.fresh_connection);
            }
            if (!handle_read(*effect)) {
                on_effect(*effect);
            }
        }
        complete_reads();
    }

    // The store's answer to the read of the feed that is under way is lost:
    // the read times out.
    void
    lose_read(enum sl_feed feed)
    {
        reads[feed].is_lost = true;
    }

    // Lets time pass and runs the timers that become due.
    void
    advance_ms(int64_t ms)
    {
        int64_t end_us = now_us + ms * Sl_US_PER_MS;
        for (;;) {
            int64_t due_us =
                std::min({SlRouter_NextDueUs(router), next_read_due_us(),
                          next_check_due_us()});
            if (due_us > end_us) {
                break;
            }
            now_us = std::max(now_us, due_us);
            tick();
            complete_checks();
        }
        now_us = end_us;
        tick();
    }

    // The store takes a copy of itself; later it comes back from it.
    void
    copy_store()
    {
        for (int feed = 0; feed < Sl_FEED_COUNT; feed++) {
            copied[feed] = topics[feed].size();
        }
    }

    void
    restore_store()
    {
        for (int feed = 0; feed < Sl_FEED_COUNT; feed++) {
            topics[feed].restore(copied[feed]);
        }
    }

    void
    append(enum sl_feed feed, const std::string &key,
           const struct sl_record &record)
    {
        topics[feed].append(key, record);
        reads[feed].lacks_updates |= store_lacks_updates;
        complete_reads();
    }

  private:
    struct pending_read {
        bool is_active = false;
        bool is_snapshot = false;
        uint64_t from = 0;
        int64_t started_us = 0;
        int64_t due_us = 0;
        bool lacks_updates = false; // misses new records
        bool is_lost = false;       // gets no answer
    };
    // Time after which a read times out that the store has not answered.
    static const int64_t read_margin_us = 800 * Sl_US_PER_MS;
    struct pending_check {
        uint64_t token;
        bool is_reached;
        int64_t due_us;
    };
    struct sl_router_options options = {};
    struct sl_router_effects *effects;
    std::vector<pending_check> checks;
    pending_read reads[Sl_FEED_COUNT];
    size_t copied[Sl_FEED_COUNT] = {}; // records in the store's copy
    bool is_completing_reads = false;

    void
    add_check(const struct sl_router_effect &effect)
    {
        const char *upstream = effect.u.health_check.upstream->text;
        bool is_silent = unreachable.count(upstream) > 0;
        bool is_reached = !is_silent && refusing.count(upstream) == 0;
        int64_t delay_us =
            is_silent ? effect.u.health_check.timeout_us : Sl_US_PER_MS;
        checks.push_back(
            {effect.u.health_check.token, is_reached, now_us + delay_us});
    }

    int64_t
    next_check_due_us() const
    {
        int64_t due_us = Sl_NEVER_US;
        for (const pending_check &check : checks) {
            due_us = std::min(due_us, check.due_us);
        }
        return due_us;
    }

    void
    complete_checks()
    {
        for (size_t i = 0; i < checks.size(); i++) {
            if (checks[i].due_us <= now_us) {
                struct sl_router_event event =
                    make_event(Sl_ROUTER_EVENT_HEALTH_CHECKED);
                event.u.health_check.token = checks[i].token;
                event.u.health_check.is_reached = checks[i].is_reached;
                checks.erase(checks.begin() + (long)i);
                reduce(event);
                i = (size_t)-1; // the router may have started other checks
            }
        }
    }

    // Begins or cancels a store read; returns false for any other effect.
    bool
    handle_read(const struct sl_router_effect &effect)
    {
        if (effect.type == Sl_ROUTER_EFFECT_READ_SNAPSHOT ||
            effect.type == Sl_ROUTER_EFFECT_READ_FROM) {
            pending_read &pending = reads[effect.u.read.feed];
            pending.is_active = true;
            pending.is_snapshot =
                effect.type == Sl_ROUTER_EFFECT_READ_SNAPSHOT;
            pending.from = effect.u.read.from;
            pending.started_us = now_us;
            pending.due_us = now_us + effect.u.read.wait_us;
            pending.lacks_updates = false;
            pending.is_lost = false;
            reads_started++;
            snapshot_reads_started +=
                pending.is_snapshot && effect.u.read.feed != Sl_FEED_MEMBERS
                    ? 1
                    : 0;
            return true;
        }
        if (effect.type == Sl_ROUTER_EFFECT_CANCEL_READ) {
            reads[effect.u.read.feed].is_active = false;
            return true;
        }
        return false;
    }

    int64_t
    next_read_due_us() const
    {
        int64_t due_us = Sl_NEVER_US;
        for (int feed = 0; feed < Sl_FEED_COUNT; feed++) {
            if (reads[feed].is_active) {
                bool is_answered = store_up || reads[feed].is_lost;
                due_us = std::min(due_us, is_answered ? response_due_us(feed)
                                                      : reads[feed].due_us);
            }
        }
        return due_us;
    }

    // Returns true if the store responds to the read without waiting for new
    // records.
    bool
    has_response(int feed) const
    {
        const pending_read &pending = reads[feed];
        if (!store_up) {
            return !store_silent;
        }
        return pending.is_snapshot || !topics[feed].has(pending.from) ||
               (topics[feed].end() > pending.from && !pending.lacks_updates);
    }

    // Returns when the current read completes, if no record is added.
    int64_t
    response_due_us(int feed) const
    {
        if (reads[feed].is_lost) {
            return reads[feed].due_us + read_margin_us;
        }
        int64_t soonest_us = reads[feed].started_us + store_response_us;
        return has_response(feed) ? std::max(soonest_us, now_us)
                                  : std::max(reads[feed].due_us, soonest_us);
    }

    bool
    is_due(int feed) const
    {
        return reads[feed].is_active && response_due_us(feed) <= now_us;
    }

    void
    complete_reads()
    {
        if (is_completing_reads || router == nullptr) {
            return;
        }
        is_completing_reads = true;
        for (int feed = 0; feed < Sl_FEED_COUNT; feed++) {
            if (is_due(feed)) {
                complete_read(feed);
                feed = -1; // the router may have started other reads
            }
        }
        is_completing_reads = false;
    }

    void
    complete_read(int feed)
    {
        struct sl_router_event event = make_event(Sl_ROUTER_EVENT_FEED_READ);
        struct sl_error err;
        std::vector<struct sl_record> records;
        reads[feed].is_active = false;
        event.u.feed.feed = (enum sl_feed)feed;
        if (reads[feed].is_lost) {
            SlError_Set(&err, Sl_ERR_TIMEOUT, "store.call", "store",
                        "no data received within the timeout");
            event.err = &err;
        }
        else if (!store_up) {
            SlError_Set(&err, Sl_ERR_REFUSED, "store.answer", "store",
                        "status 503");
            event.err = &err;
        }
        else {
            const Topic &topic = topics[feed];
            event.u.feed.era = topic.era;
            event.u.feed.is_truncated =
                !reads[feed].is_snapshot && !topic.has(reads[feed].from);
            if (!event.u.feed.is_truncated) {
                records = reads[feed].is_snapshot
                              ? topic.snapshot()
                              : topic.from(reads[feed].from);
            }
            event.u.feed.is_snapshot = reads[feed].is_snapshot;
            event.u.feed.next_offset = topic.end();
            event.u.feed.count = records.size();
            event.u.feed.records = records.data();
        }
        reduce(event);
    }
};

#endif
