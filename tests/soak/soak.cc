// Fault soak: runs real routers with random faults that overlap, and checks
// the responses to clients against what the runners, the servers that execute
// the requests, recorded. The seed determines the faults.
//
// Rules checked during the run and at its end:
//   once       a request that is not idempotent runs at most once
//   attempts   no request runs more often than its route allows
//   not-run    a request that was refused did not run, and does not run later
//   stream     events are complete and in order; none is missing or duplicated
//   whole      a complete response is the runner's, unchanged
//   answered   a live router responds or closes the connection in time
//   config     a router's configuration version never decreases, even across
//              restarts
//   drained    a router that reaches the store sends nothing to a drained
//              runner
//   limit      a runner that states a limit gets no more from the routers that
//              it has told, unless they were restarted or paused
//   budget     retries stay within the retry budget of all routers
//   rollout    a version whose responses all fail gets no more than its share
//              of the requests, and its roll-out is not reported as completed
//   exit       no router exits by itself; one that drains exits with status 0
// "answered", "drained" and "limit" depend on timing; --untimed disables them.
// The store also comes back from a copy of itself, and the operator and the
// runners write again what it has lost; --no-drills disables that and limits.
// usage: soak SASSAFRASD DIR [--seed N] [--seconds N] [--host IP]
//        [--routers N] [--runners N] [--untimed] [--no-drills]
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "deployment.h"

// ---- parameters ----

static const int64_t mean_request_interval_ms = 8;
static const int64_t mean_fault_interval_ms = 250;
// A fault lasts for a random time between these, uniformly distributed.
static const int64_t min_fault_ms = 200;
static const int64_t max_fault_ms = 4000;
// Routers must have stopped calling a runner this long after it has registered
// as draining or the store has recovered: the drain bound of the settings file
// (1 s) and slack for a busy machine.
static const int64_t drain_bound_ms = 2500;
// A draining runner stays for this long, so that late calls are noticed.
static const int64_t drain_duration_ms = 9000;
// A response may arrive this long after the deadline of its request.
static const int64_t response_slack_ms = 2000;
// Retry budget of all routers, as in the settings file: allowed retries as a
// share of the requests.
static const double budget_ratio = 0.05;
// Retries that the budget allows in each window in addition to that share.
static const double budget_extra = 10;
// Length of a window of the retry budget, as in the settings file.
static const int64_t budget_window_ms = 5000;
// Bound for the requests to a new version that fails: share of the requests to
// its service.
static const double exposure_share = 0.15;
// Requests that a new version may get in addition to that share.
static const double exposure_extra = 30;
// Largest number of runs of a request, as in the configuration.
static const size_t max_attempts = 3;
// Duration of the roll-out as ordered by the operator. Each run of the soak
// has one roll-out, of the service atelier.
static const int64_t rollout_s = 6;
// Number of runners of the new version.
static const size_t rollout_runners = 2;
// Requests that a limit allows in each window of this length: more than it by
// this factor, plus a fixed number. It counts this long after a runner has
// first stated it, and for a router, this long after it was told.
static const int64_t limit_window_ms = 4000;
static const double limit_overshoot = 1.5;
static const double limit_extra = 5;
static const int64_t limit_contact_ms = 3000;
static const int64_t limit_told_ms = 500;
static const int64_t limit_duration_ms = 9000;
// A runner registers again this long after the store came back, at the latest.
static const int64_t heartbeat_ms = 1200;
// The store deletes the registrations of runners that are gone after this.
static const int64_t expiry_ms = 3600;

struct Options {
    DeploymentOptions deployment;
    uint64_t seed = 1;
    int64_t seconds = 20;
    size_t runners = 8;
    bool checks_timing = true;
    bool has_drills = true;
};

// A limit that a runner has stated.
struct StatedLimit {
    std::string runner;
    double per_s;
    int64_t from_ms;
    int64_t until_ms;
    std::map<size_t, int64_t> told_ms; // by router
};

class Soak {
  public:
    explicit Soak(const Options &options);
    int run();

  private:
    Options options;
    struct sl_random random;
    Deployment deployment;
    int64_t start_ms;
    bool is_ending = false;
    uint64_t last_request = 0;
    size_t response_count = 0;
    size_t complete_count = 0;
    size_t refused_count = 0;
    size_t fault_count = 0;
    size_t violation_count = 0;
    std::vector<ClientResponse> refused_responses;
    std::vector<std::string> non_idempotent_ids;   // of requests
    std::map<std::string, int64_t> highest_config; // version by router name
    std::map<std::string, int64_t> drain_start_ms; // by runner id
    // When the last fault of the store or of a link to it ended.
    int64_t store_recovered_ms;
    size_t active_store_faults = 0;
    bool is_target_bad = false;
    std::string rollout_result; // final state as reported; empty: none yet
    std::vector<StatedLimit> limits;
    std::set<size_t> limited_slots;
    std::map<std::string, size_t> router_of; // by request
    // Signals to routers, with their times.
    std::vector<std::pair<size_t, int64_t>> signals;
    uint64_t drill_count = 0;
    size_t runs_before_rollout = 0; // of all requests
    size_t target_runs = 0;         // at the runners of the new version

    void
    schedule(int64_t ms, std::function<void()> work)
    {
        deployment.scheduler.run_after(ms, std::move(work));
    }
    // Each fault and each request has a random sequence of its own, so that a
    // seed gives the same faults whatever the timing of the requests.
    enum class RandomStream : uint64_t {
        fault,
        request,
        rollout,
        drill
    };
    void
    seed_random(RandomStream stream, uint64_t number)
    {
        uint64_t event = number * 4 + (uint64_t)stream;
        random = {SlHash_Mix(options.seed ^ SlHash_Mix(event + 1))};
    }
    size_t
    random_below(size_t bound)
    {
        return SlRandom_Below(&random, (uint32_t)bound);
    }
    int64_t
    random_fault_ms()
    {
        return min_fault_ms +
               (int64_t)random_below((size_t)(max_fault_ms - min_fault_ms));
    }
    void report_violation(const std::string &rule, const std::string &what);
    void send_next_request();
    void send(const ClientRequest &request, int attempts_left);
    void check_response(const ClientResponse &response);
    void check_stream(const ClientResponse &response);
    void poll_states();
    void inject_next_fault();
    void inject_router_fault();
    void inject_store_fault();
    void inject_link_fault();
    void inject_runner_fault();
    void make_operator_change();
    void check_drained_runners();
    void inject_next_drill();
    void start_limit();
    void end_limit(size_t slot, const StatedLimit &limit);
    void start_return();
    void write_lost_records();
    void check_limit(const StatedLimit &limit);
    void start_rollout();
    void poll_rollout();
    void check_totals();
    size_t pick_live_router();
    // Version of a runner that starts now in the slot.
    std::string
    new_runner_version(size_t slot) const
    {
        bool is_atelier = slot % 2 == 0;
        return is_atelier && rollout_result == "completed" ? "v2" : "v1";
    }
};

Soak::Soak(const Options &the_options)
    : options(the_options), random{the_options.seed},
      deployment(the_options.deployment), start_ms(now_ms()),
      store_recovered_ms(now_ms())
{
    static const char *const domains[] = {"brest", "quimper"};
    for (size_t i = 0; i < options.runners; i++) {
        bool is_engine = i % 2 == 1;
        deployment.add_slot(is_engine ? "plume" : "atelier",
                            domains[i / 2 % 2], is_engine);
    }
    // Slots for the runners of the new version.
    for (size_t i = 0; i < rollout_runners; i++) {
        deployment.add_slot("atelier", domains[i % 2], false);
    }
}

void
Soak::report_violation(const std::string &rule, const std::string &what)
{
    violation_count++;
    printf("BROKEN %s at %lld ms: %s\n", rule.c_str(),
           (long long)(now_ms() - start_ms), what.c_str());
}

// ---- clients ----

// Returns a random router that runs and does not drain, if there is one.
size_t
Soak::pick_live_router()
{
    size_t first = random_below(deployment.routers.size());
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        size_t index = (first + i) % deployment.routers.size();
        const RouterProcess &router = deployment.routers[index];
        if (router.pid != 0 && !router.is_draining) {
            return index;
        }
    }
    return first;
}

void
Soak::send_next_request()
{
    if (is_ending) {
        return;
    }
    // One path per route: /s is idempotent, /c is not, /v is a stream that can
    // be resumed, and /w is a stream that cannot. The index is the `kind`.
    static const char *const paths[] = {"/s/x", "/c/x", "/v/x", "/w/x"};
    ClientRequest request;
    seed_random(RandomStream::request, last_request);
    size_t kind = random_below(4);
    request.id = "r" + std::to_string(++last_request);
    request.path = paths[kind];
    request.model = kind == 2 ? "*" : kind == 3 ? "m1" : "";
    request.deadline_ms = 400 + (int64_t)random_below(3000);
    if (kind == 1 || kind == 3) {
        non_idempotent_ids.push_back(request.id);
    }
    send(request, 2);
    schedule(1 + (int64_t)random_below(2 * mean_request_interval_ms),
             [this] { send_next_request(); });
}

// Sends a request. When it is refused with 503, sends it again with a new id,
// as the platform's clients do.
void
Soak::send(const ClientRequest &request, int attempts_left)
{
    size_t router = pick_live_router();
    router_of[request.id] = router;
    deployment.send_request(
        router, request,
        [this, attempts_left](const ClientResponse &response) {
            check_response(response);
            if (response.status == 503 && attempts_left > 1 && !is_ending) {
                ClientRequest retry = response.request;
                retry.id += "+";
                if (retry.path[1] == 'c' || retry.path[1] == 'w') {
                    non_idempotent_ids.push_back(retry.id);
                }
                schedule(100, [this, retry, attempts_left] {
                    send(retry, attempts_left - 1);
                });
            }
        });
}

void
Soak::check_response(const ClientResponse &response)
{
    const std::string &id = response.request.id;
    bool is_stream =
        response.request.path[1] == 'v' || response.request.path[1] == 'w';
    const RouterProcess &router = deployment.routers[response.router];
    response_count++;
    // Each of these statuses states that the request did not run.
    if (response.status == 503 || response.status == 429 ||
        response.status == 408 || response.status == 421) {
        refused_count++;
        refused_responses.push_back(response);
        if (!deployment.runs.runs_of(id).empty()) {
            report_violation(
                "not-run",
                id + " ran at " + deployment.runs.runs_of(id)[0].runner +
                    ", the client got " + std::to_string(response.status));
        }
    }
    if (response.status == 200 && is_stream) {
        check_stream(response);
    }
    else if (response.status == 200 && response.is_complete) {
        complete_count++;
        if (response.body != plain_body(id)) {
            report_violation("whole", id + " got \"" + response.body + "\"");
        }
    }
    // A process that was paused, killed or started meanwhile is not checked.
    if (options.checks_timing && !router.is_paused &&
        router.last_signal_ms < now_ms() - response.duration_ms &&
        response.duration_ms >
            response.request.deadline_ms + response_slack_ms) {
        report_violation("answered", id + " took " +
                                         std::to_string(response.duration_ms) +
                                         " ms");
    }
}

void
Soak::check_stream(const ClientResponse &response)
{
    const std::string &id = response.request.id;
    std::string expected_body;
    size_t length = stream_event_count(id);
    for (size_t i = 0; i < length; i++) {
        expected_body += stream_event(id, i);
    }
    bool is_prefix =
        expected_body.compare(0, response.body.size(), response.body) == 0;
    if (!is_prefix) {
        report_violation("stream", id + " got \"" + response.body + "\"");
    }
    else if (response.is_complete &&
             response.body.size() != expected_body.size()) {
        report_violation("stream",
                         id + " ended normally after " +
                             std::to_string(response.body.size()) + " of " +
                             std::to_string(expected_body.size()) + " bytes");
    }
    else {
        complete_count += response.is_complete ? 1 : 0;
    }
}

// ---- state of routers and runners ----

// Checks the configuration versions of the routers, every 300 ms.
void
Soak::poll_states()
{
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        if (deployment.routers[i].pid == 0 ||
            deployment.routers[i].is_paused) {
            continue;
        }
        deployment.fetch_state(i, [this, i](const std::string &state) {
            const std::string key = "\"configuration\":";
            size_t key_start = state.find(key);
            if (key_start == std::string::npos) {
                return;
            }
            int64_t version =
                strtoll(&state[key_start + key.size()], nullptr, 10);
            int64_t &highest = highest_config[deployment.routers[i].name];
            if (version >= 0 && version < highest) {
                report_violation("config",
                                 deployment.routers[i].name + " went from " +
                                     std::to_string(highest) + " to " +
                                     std::to_string(version));
            }
            highest = std::max(highest, version);
        });
    }
    if (!is_ending) {
        schedule(300, [this] { poll_states(); });
    }
}

// Checks every 500 ms that runners which drain for longer than the drain bound
// start no requests.
void
Soak::check_drained_runners()
{
    for (auto &slot : deployment.slots) {
        if (slot->runner == nullptr) {
            continue;
        }
        auto drain = drain_start_ms.find(slot->runner->options.id);
        if (options.checks_timing && drain != drain_start_ms.end() &&
            now_ms() - std::max(drain->second, store_recovered_ms) >
                drain_bound_ms &&
            active_store_faults == 0) {
            // The first check after the drain bound only stores the number of
            // runs. It stores at least 1, as 0 means that no check was made.
            size_t runs = slot->runner->started_count;
            if (slot->checked_runs != 0 && runs > slot->checked_runs) {
                report_violation("drained", slot->runner->options.id +
                                                " was sent a request");
            }
            slot->checked_runs = std::max(runs, (size_t)1);
        }
    }
    if (!is_ending) {
        schedule(500, [this] { check_drained_runners(); });
    }
}

// ---- faults ----

void
Soak::inject_next_fault()
{
    if (is_ending) {
        return;
    }
    seed_random(RandomStream::fault, ++fault_count);
    // Faults of the store are rarer, because the rule "drained" is only
    // checked while there is none.
    size_t kind = random_below(13);
    if (kind < 3) {
        inject_router_fault();
    }
    else if (kind < 4) {
        inject_store_fault();
    }
    else if (kind < 7) {
        inject_link_fault();
    }
    else if (kind < 11) {
        inject_runner_fault();
    }
    else {
        make_operator_change();
    }
    schedule(1 + (int64_t)random_below(2 * mean_fault_interval_ms),
             [this] { inject_next_fault(); });
}

void
Soak::inject_router_fault()
{
    size_t index = random_below(deployment.routers.size());
    RouterProcess &router = deployment.routers[index];
    signals.emplace_back(index, now_ms());
    if (router.pid == 0) {
        deployment.start_router(index);
        return;
    }
    switch (random_below(5)) {
    case 0:
        deployment.signal_router(index, SIGTERM);
        break;
    case 1:
        deployment.signal_router(index, SIGKILL);
        break;
    case 2:
        deployment.signal_router(index, SIGHUP);
        return;
    default:
        deployment.signal_router(index, SIGSTOP);
        schedule(random_fault_ms(),
                 [this, index] { deployment.signal_router(index, SIGCONT); });
        return;
    }
    schedule(random_fault_ms() + 1000, [this, index] {
        if (deployment.routers[index].pid == 0 && !is_ending) {
            deployment.start_router(index);
        }
    });
}

void
Soak::inject_store_fault()
{
    static const StoreFault kinds[] = {StoreFault::silent, StoreFault::refuse,
                                       StoreFault::lose_response};
    active_store_faults++;
    if (random_below(2) == 0) {
        deployment.store->fault = kinds[random_below(3)];
        schedule(random_fault_ms(), [this] {
            deployment.store->fault = StoreFault::none;
            active_store_faults--;
            store_recovered_ms = now_ms();
        });
        return;
    }
    static const LinkFault link_faults[] = {
        LinkFault::delay, LinkFault::partition, LinkFault::partition_forward,
        LinkFault::partition_backward, LinkFault::refuse};
    size_t index = random_below(deployment.routers.size());
    Proxy &proxy = *deployment.routers[index].store_proxy;
    // The number is the delay in ms of LinkFault::delay.
    proxy.set_fault(link_faults[random_below(5)],
                    20 + (int64_t)random_below(400));
    if (random_below(3) == 0) {
        proxy.close_connections();
    }
    schedule(random_fault_ms(), [this, &proxy] {
        proxy.set_fault(LinkFault::none);
        active_store_faults--;
        store_recovered_ms = now_ms();
    });
}

void
Soak::inject_link_fault()
{
    static const LinkFault link_faults[] = {
        LinkFault::delay, LinkFault::partition, LinkFault::partition_forward,
        LinkFault::partition_backward, LinkFault::refuse};
    size_t slot = random_below(deployment.slots.size());
    Proxy &proxy = *deployment.slots[slot]->proxy;
    if (limited_slots.count(slot) > 0) {
        return; // what a link has held up would arrive at once
    }
    if (random_below(3) == 0) {
        proxy.close_connections();
        return;
    }
    proxy.set_fault(link_faults[random_below(5)],
                    5 + (int64_t)random_below(300));
    schedule(random_fault_ms(),
             [&proxy] { proxy.set_fault(LinkFault::none); });
}

void
Soak::inject_runner_fault()
{
    size_t index = random_below(deployment.slots.size());
    RunnerSlot &slot = *deployment.slots[index];
    if (index >= options.runners || limited_slots.count(index) > 0) {
        return; // runners of the roll-out have no random faults
    }
    if (slot.runner == nullptr) {
        deployment.start_runner(index, new_runner_version(index));
        deployment.register_runner(index);
        return;
    }
    static const RunnerFault kinds[] = {RunnerFault::refuse, RunnerFault::fail,
                                        RunnerFault::silent,
                                        RunnerFault::truncate};
    if (random_below(2) == 0) {
        std::string id = slot.runner->options.id;
        slot.runner->fault = kinds[random_below(4)];
        schedule(random_fault_ms(), [this, index, id] {
            // Another runner may be in the slot by now.
            RunnerSlot &later_slot = *deployment.slots[index];
            if (later_slot.runner != nullptr &&
                later_slot.runner->options.id == id) {
                later_slot.runner->fault = RunnerFault::none;
            }
        });
        return;
    }
    if (random_below(2) == 0) {
        // The runner crashes. A new runner may get its address before its
        // registration is deleted.
        std::string id = slot.runner->options.id;
        deployment.kill_runner(index);
        if (random_below(2) == 0) {
            deployment.start_runner(index, new_runner_version(index));
            deployment.register_runner(index);
        }
        schedule(1000 + (int64_t)random_below(3000), [this, id] {
            deployment.store->put("keyed.servers", id, "");
        });
        return;
    }
    // A planned stop: the runner drains, and is replaced later.
    std::string id = slot.runner->options.id;
    deployment.drain_runner(index);
    slot.checked_runs = 0;
    drain_start_ms[id] = now_ms();
    schedule(drain_duration_ms, [this, index, id] {
        RunnerSlot &later_slot = *deployment.slots[index];
        if (later_slot.runner != nullptr &&
            later_slot.runner->options.id == id) {
            deployment.deregister_runner(index);
            deployment.kill_runner(index);
            deployment.start_runner(index, new_runner_version(index));
            deployment.register_runner(index);
        }
    });
}

// Takes a failure domain out for some time, or publishes the configuration.
void
Soak::make_operator_change()
{
    static const char *const domains[] = {"brest", "quimper"};
    std::string domain = domains[random_below(2)];
    switch (random_below(3)) {
    case 0:
        deployment.store->put("keyed.op", "evacuate/" + domain, "{}");
        schedule(random_fault_ms(), [this, domain] {
            deployment.store->put("keyed.op", "evacuate/" + domain, "");
        });
        break;
    default:
        deployment.publish_config();
        break;
    }
}

// ---- drills ----

void
Soak::inject_next_drill()
{
    if (is_ending) {
        return;
    }
    seed_random(RandomStream::drill, ++drill_count);
    if (random_below(2) == 0) {
        start_limit();
    }
    else {
        start_return();
    }
    schedule(500 + (int64_t)random_below(3000),
             [this] { inject_next_drill(); });
}

// A runner without faults states a limit for some time.
void
Soak::start_limit()
{
    size_t first = random_below(options.runners);
    double per_s = 1 + (double)random_below(30) / 10;
    for (size_t i = 0; i < options.runners; i++) {
        size_t index = (first + i) % options.runners;
        RunnerSlot &slot = *deployment.slots[index];
        if (slot.runner == nullptr || slot.is_draining ||
            slot.runner->fault != RunnerFault::none ||
            limited_slots.count(index) > 0) {
            continue;
        }
        StatedLimit limit = {slot.runner->options.id, per_s, now_ms(), 0, {}};
        limited_slots.insert(index);
        slot.runner->limit_per_s = per_s;
        slot.runner->limit_stated_ms.clear();
        schedule(limit_duration_ms,
                 [this, index, limit] { end_limit(index, limit); });
        return;
    }
}

void
Soak::end_limit(size_t index, const StatedLimit &limit)
{
    RunnerSlot &slot = *deployment.slots[index];
    StatedLimit ended = limit;
    limited_slots.erase(index);
    if (slot.runner == nullptr || slot.runner->options.id != limit.runner) {
        return; // it was stopped meanwhile
    }
    slot.runner->limit_per_s = 0;
    ended.until_ms = now_ms();
    for (const auto &stated : slot.runner->limit_stated_ms) {
        size_t router = router_of[stated.first];
        auto at = ended.told_ms.insert({router, stated.second}).first;
        at->second = std::min(at->second, stated.second);
    }
    limits.push_back(ended);
}

// Checks the requests of the routers that were told, and neither restarted nor
// paused.
void
Soak::check_limit(const StatedLimit &limit)
{
    std::vector<int64_t> arrivals_ms;
    std::set<size_t> excused;
    for (const auto &signal : signals) {
        if (signal.second <= limit.until_ms) {
            excused.insert(signal.first);
        }
        if (signal.second < limit.from_ms - max_fault_ms - 1000) {
            excused.erase(signal.first);
        }
    }
    deployment.runs.for_each([&](const Run &run) {
        size_t router = router_of[run.request];
        auto told = limit.told_ms.find(router);
        if (run.runner == limit.runner && told != limit.told_ms.end() &&
            run.started_ms > told->second + limit_told_ms &&
            run.started_ms > limit.from_ms + limit_contact_ms &&
            run.started_ms < limit.until_ms && excused.count(router) == 0) {
            arrivals_ms.push_back(run.started_ms);
        }
    });
    std::sort(arrivals_ms.begin(), arrivals_ms.end());
    size_t most = 0;
    for (size_t first = 0, last = 0; last < arrivals_ms.size(); last++) {
        while (arrivals_ms[last] - arrivals_ms[first] > limit_window_ms) {
            first++;
        }
        most = std::max(most, last - first + 1);
    }
    double allowed =
        limit_overshoot * limit.per_s * (double)limit_window_ms / 1000 +
        limit_extra;
    if ((double)most > allowed) {
        report_violation("limit", limit.runner + " got " +
                                      std::to_string(most) +
                                      " requests in 4 s, allowed " +
                                      std::to_string(allowed));
    }
}

// The store takes a copy, and later comes back from it.
void
Soak::start_return()
{
    int64_t lost_ms = 500 + (int64_t)random_below(4000);
    int64_t away_ms = 200 + (int64_t)random_below(1500);
    if (deployment.store->fault != StoreFault::none) {
        return;
    }
    deployment.store->save_copy();
    schedule(lost_ms, [this, away_ms] {
        if (deployment.store->fault != StoreFault::none) {
            return;
        }
        deployment.store->fault = StoreFault::refuse;
        active_store_faults++;
        schedule(away_ms, [this] {
            deployment.store->fault = StoreFault::none;
            write_lost_records();
            active_store_faults--;
            store_recovered_ms = now_ms();
        });
    });
}

// The store comes back. The operator writes again at once what is lost, and
// the runners with their next heartbeats.
void
Soak::write_lost_records()
{
    auto lost = deployment.store->restore_copy();
    for (const auto &record : lost["keyed.op"]) {
        deployment.store->put("keyed.op", record.first, record.second);
    }
    for (const auto &record : lost["keyed.servers"]) {
        std::string id = record.first;
        schedule(expiry_ms, [this, id] {
            bool is_there = false;
            for (const auto &slot : deployment.slots) {
                is_there = is_there ||
                           (slot->runner != nullptr && slot->is_registered &&
                            slot->runner->options.id == id);
            }
            if (!is_there) {
                deployment.store->put("keyed.servers", id, "");
            }
        });
    }
    for (size_t i = 0; i < deployment.slots.size(); i++) {
        schedule((int64_t)random_below((size_t)heartbeat_ms), [this, i] {
            if (deployment.slots[i]->is_registered) {
                deployment.register_runner(i);
            }
        });
    }
}

// ---- roll-out ----

// Starts the runners of the new version, the target of the roll-out, and
// orders the roll-out. In half of the seeds the target always fails.
void
Soak::start_rollout()
{
    seed_random(RandomStream::rollout, 0);
    is_target_bad = random_below(2) == 0;
    runs_before_rollout = deployment.runs.count();
    for (size_t i = options.runners; i < deployment.slots.size(); i++) {
        deployment.start_runner(i, "v2");
        deployment.slots[i]->runner->fault =
            is_target_bad ? RunnerFault::fail : RunnerFault::none;
        deployment.register_runner(i);
    }
    deployment.store->put("keyed.op", "rollout/atelier",
                          "{\"Service\":\"atelier\",\"Target\":\"v2\","
                          "\"DurationS\":" +
                              std::to_string(rollout_s) + "}");
    poll_rollout();
}

// Waits for the end of the roll-out. Then the runners of the version that is
// not used are stopped, as an operator would.
void
Soak::poll_rollout()
{
    std::string status =
        deployment.store->get("keyed.status", "rollout/atelier");
    for (const char *state : {"completed", "rolled_back"}) {
        if (status.find(state) != std::string::npos) {
            rollout_result = state;
        }
    }
    if (rollout_result.empty()) {
        if (!is_ending) {
            schedule(100, [this] { poll_rollout(); });
        }
        return;
    }
    bool completed = rollout_result == "completed";
    if (completed && is_target_bad) {
        report_violation("rollout",
                         "completed with a target that always fails");
    }
    schedule(completed ? 0 : 2000, [this, completed] {
        for (size_t i = 0; i < deployment.slots.size(); i++) {
            RunnerSlot &slot = *deployment.slots[i];
            if (slot.runner != nullptr &&
                slot.runner->options.service == "atelier" &&
                (slot.runner->options.version == "v1") == completed) {
                deployment.deregister_runner(i);
                deployment.kill_runner(i);
            }
        }
    });
}

// ---- checks at the end ----

void
Soak::check_totals()
{
    for (const StatedLimit &limit : limits) {
        if (options.checks_timing) {
            check_limit(limit);
        }
    }
    for (const ClientResponse &response : refused_responses) {
        if (!deployment.runs.runs_of(response.request.id).empty()) {
            report_violation("not-run", response.request.id + " ran later");
        }
    }
    for (const std::string &id : non_idempotent_ids) {
        if (deployment.runs.runs_of(id).size() > 1) {
            report_violation(
                "once",
                id + " ran " +
                    std::to_string(deployment.runs.runs_of(id).size()) +
                    " times");
        }
    }
    for (uint64_t i = 1; i <= last_request; i++) {
        std::string id = "r" + std::to_string(i);
        if (deployment.runs.runs_of(id).size() > max_attempts) {
            report_violation(
                "attempts",
                id + " ran " +
                    std::to_string(deployment.runs.runs_of(id).size()) +
                    " times");
        }
    }
    for (size_t i = options.runners; i < deployment.slots.size(); i++) {
        target_runs += deployment.slots[i]->runner == nullptr
                           ? 0
                           : deployment.slots[i]->runner->started_count;
    }
    // About half of the requests are for the service of the roll-out.
    double allowed_target_runs =
        exposure_share *
            (double)(deployment.runs.count() - runs_before_rollout) / 2 +
        exposure_extra;
    if (is_target_bad && (double)target_runs > allowed_target_runs) {
        report_violation("rollout",
                         std::to_string(target_runs) +
                             " requests were sent to the bad version");
    }
    double windows =
        (double)(now_ms() - start_ms) / (double)budget_window_ms + 1;
    double allowed_retries =
        budget_ratio * (double)response_count + budget_extra * windows;
    if ((double)deployment.runs.retry_count() > allowed_retries) {
        report_violation("budget",
                         std::to_string(deployment.runs.retry_count()) +
                             " retries, " + std::to_string(allowed_retries) +
                             " allowed");
    }
}

// Runs the deployment, prints a summary, and returns the exit status.
int
Soak::run()
{
    deployment.extra_settings = "Contracts=base,pressure\n";
    deployment.has_unequal_paces = true;
    deployment.publish_config();
    for (size_t i = 0; i < deployment.slots.size(); i++) {
        deployment.start_runner(i);
        deployment.register_runner(i);
    }
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        deployment.start_router(i);
    }
    if (!deployment.run_until(60000,
                              [this] { return deployment.are_all_ready(); })) {
        report_violation("start", "the routers are not ready");
    }
    deployment.on_exit = [this](const RouterProcess &router, int status) {
        bool was_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
        bool has_drained = router.is_draining && WIFEXITED(status) &&
                           WEXITSTATUS(status) == 0;
        if (!was_killed && !has_drained) {
            report_violation("exit", router.name + " ended with status " +
                                         std::to_string(status));
        }
    };
    send_next_request();
    poll_states();
    check_drained_runners();
    schedule(500, [this] { inject_next_fault(); });
    if (options.has_drills) {
        deployment.store->era = 1;
        schedule(1500, [this] { inject_next_drill(); });
    }
    seed_random(RandomStream::rollout, 1);
    schedule(2000 + (int64_t)random_below(3000), [this] { start_rollout(); });
    deployment.run_for(options.seconds * 1000);
    is_ending = true;
    // Continues paused routers, and waits for pending requests.
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        deployment.signal_router(i, SIGCONT);
    }
    deployment.run_until(20000,
                         [this] { return deployment.pending_requests == 0; });
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        deployment.signal_router(i, SIGTERM);
    }
    deployment.run_until(20000, [this] {
        size_t running = 0;
        for (const RouterProcess &router : deployment.routers) {
            running += router.pid != 0 ? 1 : 0;
        }
        return running == 0;
    });
    check_totals();
    printf("seed %llu: %zu faults, %zu requests answered, %zu well, %zu "
           "refused, %zu runs, %zu repeats, %zu limits, %s target %s, %zu "
           "broken\n",
           (unsigned long long)options.seed, fault_count, response_count,
           complete_count, refused_count, deployment.runs.count(),
           deployment.runs.retry_count(), limits.size(),
           is_target_bad ? "bad" : "good",
           rollout_result.empty() ? "open" : rollout_result.c_str(),
           violation_count);
    return violation_count == 0 ? 0 : 1;
}

// ---- main ----

static int
usage()
{
    fprintf(stderr,
            "usage: soak SASSAFRASD DIR [--seed N] [--seconds N] [--host IP] "
            "[--routers N] [--runners N] [--untimed] [--no-drills]\n");
    return 2;
}

int
main(int argc, char **argv)
{
    Options options;
    if (argc < 3) {
        return usage();
    }
    options.deployment.program = argv[1];
    options.deployment.dir = argv[2];
    for (int i = 3; i < argc; i++) {
        if (strcmp(argv[i], "--untimed") == 0) {
            options.checks_timing = false;
            continue;
        }
        if (strcmp(argv[i], "--no-drills") == 0) {
            options.has_drills = false;
            continue;
        }
        if (i + 1 == argc) {
            return usage();
        }
        const char *text = argv[i + 1];
        long long value = atoll(text);
        std::string word = argv[i++];
        if (word == "--seed") {
            options.seed = (uint64_t)value;
        }
        else if (word == "--seconds") {
            options.seconds = value;
        }
        else if (word == "--host") {
            options.deployment.host = text;
        }
        else if (word == "--routers") {
            options.deployment.routers = (size_t)value;
        }
        else if (word == "--runners") {
            options.runners = (size_t)value;
        }
        else {
            return usage();
        }
    }
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, nullptr, _IOLBF, 0);
    return Soak(options).run();
}
