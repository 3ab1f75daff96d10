// Fault soak: real routers under a seeded plan of faults that overlap, with
// callers that check what they get against what the runners saw.
//
// Checked while it runs and at its end:
//   once       a request that may run once ran at most once
//   attempts   no request ran more often than its route allows
//   not-run    an answer that says "not run" is true, then and later
//   stream     events are whole, in order, and none is missing or twice
//   whole      an answer that ended well is the runner's, unchanged
//   answered   a live router answers or closes; nothing hangs past its time
//   config     a router's configuration never goes back, restarts included
//   drained    a router in touch with the store leaves a drained runner alone
//   budget     repeats stay within the fleet's budget
//   rollout    a version whose answers all fail gets no more than its share,
//              and its roll-out is not reported as completed
//   exit       no router ends by itself; one that drains ends with status 0
// "answered" and "drained" depend on time; --untimed leaves them out.
// usage: soak SASSAFRASD DIR [--seed N] [--seconds N] [--host IP]
//        [--routers N] [--runners N] [--untimed]
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "deployment.h"

// ---- plan ----

// Mean time between requests, and between faults.
static const int64_t request_every_ms = 8;
static const int64_t fault_every_ms = 250;
// Faults heal after this long, evenly spread.
static const int64_t least_fault_ms = 200;
static const int64_t most_fault_ms = 4000;
// After a runner said that it drains, or the store was back: the drain bound
// (1 s in the settings) and slack for a busy machine.
static const int64_t drained_after_ms = 2500;
// A drained runner stays for so long, to see who still calls it.
static const int64_t drained_stay_ms = 9000;
// Beyond a request's deadline.
static const int64_t answer_slack_ms = 2000;
// Bounds of the settings file.
static const double budget_ratio = 0.05;
static const double budget_extra = 10;
static const int64_t budget_window_ms = 5000;
static const double exposure_share = 0.15;
static const double exposure_extra = 30;
static const size_t max_attempts = 3;
// One roll-out in a run, of the plain service.
static const int64_t rollout_s = 6;
static const size_t rollout_runners = 2;

struct Options {
    DeploymentOptions deployment;
    uint64_t seed = 1;
    int64_t seconds = 20;
    size_t runners = 8;
    bool timed = true;
};

class Soak {
  public:
    explicit Soak(const Options &options);
    int run();

  private:
    Options options;
    struct sl_random random;
    Deployment deployment;
    int64_t began_ms;
    bool ending = false;
    uint64_t last_request = 0;
    size_t answered = 0;
    size_t good = 0;
    size_t refused = 0;
    size_t faults = 0;
    size_t broken = 0;
    std::vector<Answer> not_run;
    std::vector<std::string> once; // ids of requests that may run once
    std::map<std::string, int64_t> seen_config;
    std::map<std::string, int64_t> drained_ms; // runner id -> since
    // No fault between the store and the routers since then.
    int64_t calm_ms;
    size_t store_faults = 0;
    bool target_is_bad = false;
    std::string rollout_end; // state that was reported; empty: none yet
    size_t plain_runs = 0;   // while the roll-out was under way
    size_t target_runs = 0;

    void
    plan(int64_t ms, std::function<void()> work)
    {
        deployment.clock.after(ms, std::move(work));
    }
    // Each event draws from numbers of its own, so that a seed plans the same
    // faults whatever the timing of the requests between them.
    enum class Draws : uint64_t {
        fault,
        request,
        rollout
    };
    void
    draw(Draws draws, uint64_t number)
    {
        uint64_t event = number * 4 + (uint64_t)draws;
        random = {SlHash_Mix(options.seed ^ SlHash_Mix(event + 1))};
    }
    size_t
    below(size_t bound)
    {
        return SlRandom_Below(&random, (uint32_t)bound);
    }
    int64_t
    fault_time()
    {
        return least_fault_ms +
               (int64_t)below((size_t)(most_fault_ms - least_fault_ms));
    }
    void violation(const std::string &rule, const std::string &what);
    void next_request();
    void ask(const Ask &question, int tries);
    void check(const Answer &answer);
    void check_stream(const Answer &answer);
    void poll_states();
    void next_fault();
    void harm_router();
    void harm_store();
    void harm_link();
    void harm_runner();
    void change();
    void beat();
    void start_rollout();
    void watch_rollout();
    void check_end();
    size_t live_router();
    // Of runners that start now.
    std::string
    version_of(size_t slot) const
    {
        bool is_plain = slot % 2 == 0;
        return is_plain && rollout_end == "completed" ? "v2" : "v1";
    }
};

Soak::Soak(const Options &the_options)
    : options(the_options), random{the_options.seed},
      deployment(the_options.deployment), began_ms(now_ms()), calm_ms(now_ms())
{
    static const char *const domains[] = {"brest", "quimper"};
    for (size_t i = 0; i < options.runners; i++) {
        bool is_engine = i % 2 == 1;
        deployment.add_slot(is_engine ? "plume" : "atelier",
                            domains[i / 2 % 2], is_engine);
    }
    // The target's runners start with the roll-out.
    for (size_t i = 0; i < rollout_runners; i++) {
        deployment.add_slot("atelier", domains[i % 2], false);
    }
}

void
Soak::violation(const std::string &rule, const std::string &what)
{
    broken++;
    printf("BROKEN %s at %lld ms: %s\n", rule.c_str(),
           (long long)(now_ms() - began_ms), what.c_str());
}

// ---- callers ----

size_t
Soak::live_router()
{
    size_t first = below(deployment.routers.size());
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        size_t at = (first + i) % deployment.routers.size();
        const RouterProcess &router = deployment.routers[at];
        if (router.pid != 0 && !router.leaving) {
            return at;
        }
    }
    return first;
}

void
Soak::next_request()
{
    if (ending) {
        return;
    }
    static const char *const paths[] = {"/s/x", "/c/x", "/v/x", "/w/x"};
    Ask question;
    draw(Draws::request, last_request);
    size_t kind = below(4);
    question.id = "r" + std::to_string(++last_request);
    question.path = paths[kind];
    question.model = kind == 2 ? "*" : kind == 3 ? "m1" : "";
    question.deadline_ms = 400 + (int64_t)below(3000);
    if (kind == 1 || kind == 3) {
        once.push_back(question.id);
    }
    ask(question, 2);
    plan(1 + (int64_t)below(2 * request_every_ms), [this] { next_request(); });
}

// Callers of requests that may be repeated try again after a refusal, under a
// new id, as the platform's callers do.
void
Soak::ask(const Ask &question, int tries)
{
    deployment.ask(
        live_router(), question, [this, tries](const Answer &answer) {
            check(answer);
            if (answer.status == 503 && tries > 1 && !ending) {
                Ask again = answer.ask;
                again.id += "+";
                if (again.path[1] == 'c' || again.path[1] == 'w') {
                    once.push_back(again.id);
                }
                plan(100, [this, again, tries] { ask(again, tries - 1); });
            }
        });
}

void
Soak::check(const Answer &answer)
{
    const std::string &id = answer.ask.id;
    bool is_stream = answer.ask.path[1] == 'v' || answer.ask.path[1] == 'w';
    const RouterProcess &router = deployment.routers[answer.router];
    answered++;
    if (answer.status == 503 || answer.status == 429 || answer.status == 408 ||
        answer.status == 421) {
        refused++;
        not_run.push_back(answer);
        if (!deployment.runs.of(id).empty()) {
            violation("not-run",
                      id + " ran at " + deployment.runs.of(id)[0].runner +
                          ", the caller got " + std::to_string(answer.status));
        }
    }
    if (answer.status == 200 && is_stream) {
        check_stream(answer);
    }
    else if (answer.status == 200 && answer.whole) {
        good++;
        if (answer.body != plain_body(id)) {
            violation("whole", id + " got \"" + answer.body + "\"");
        }
    }
    // A paused or killed process answers nobody.
    if (options.timed && !router.paused &&
        router.signal_ms < now_ms() - answer.took_ms &&
        answer.took_ms > answer.ask.deadline_ms + answer_slack_ms) {
        violation("answered",
                  id + " took " + std::to_string(answer.took_ms) + " ms");
    }
}

void
Soak::check_stream(const Answer &answer)
{
    const std::string &id = answer.ask.id;
    std::string wanted;
    size_t length = stream_length(id);
    for (size_t i = 0; i < length; i++) {
        wanted += stream_event(id, i);
    }
    bool is_beginning =
        wanted.compare(0, answer.body.size(), answer.body) == 0;
    if (!is_beginning) {
        violation("stream", id + " got \"" + answer.body + "\"");
    }
    else if (answer.whole && answer.body.size() != wanted.size()) {
        violation("stream", id + " ended as whole after " +
                                std::to_string(answer.body.size()) + " of " +
                                std::to_string(wanted.size()) + " bytes");
    }
    else {
        good += answer.whole ? 1 : 0;
    }
}

// ---- what routers believe ----

void
Soak::poll_states()
{
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        if (deployment.routers[i].pid == 0 || deployment.routers[i].paused) {
            continue;
        }
        deployment.get_state(i, [this, i](const std::string &state) {
            const std::string key = "\"configuration\":";
            size_t at = state.find(key);
            if (at == std::string::npos) {
                return;
            }
            int64_t version = strtoll(&state[at + key.size()], nullptr, 10);
            int64_t &seen = seen_config[deployment.routers[i].name];
            if (version >= 0 && version < seen) {
                violation("config", deployment.routers[i].name +
                                        " went from " + std::to_string(seen) +
                                        " to " + std::to_string(version));
            }
            seen = std::max(seen, version);
        });
    }
    if (!ending) {
        plan(300, [this] { poll_states(); });
    }
}

// Runners register again, and what drained is watched.
void
Soak::beat()
{
    for (auto &slot : deployment.slots) {
        if (slot->runner == nullptr) {
            continue;
        }
        auto at = drained_ms.find(slot->runner->options.id);
        if (options.timed && at != drained_ms.end() &&
            now_ms() - std::max(at->second, calm_ms) > drained_after_ms &&
            store_faults == 0) {
            size_t runs = slot->runner->started;
            if (slot->watched != 0 && runs > slot->watched) {
                violation("drained",
                          slot->runner->options.id + " was sent a request");
            }
            slot->watched = std::max(runs, (size_t)1);
        }
    }
    if (!ending) {
        plan(500, [this] { beat(); });
    }
}

// ---- faults ----

void
Soak::next_fault()
{
    if (ending) {
        return;
    }
    draw(Draws::fault, ++faults);
    // The store fails more seldom: much is only checked while it is there.
    size_t kind = below(13);
    if (kind < 3) {
        harm_router();
    }
    else if (kind < 4) {
        harm_store();
    }
    else if (kind < 7) {
        harm_link();
    }
    else if (kind < 11) {
        harm_runner();
    }
    else {
        change();
    }
    plan(1 + (int64_t)below(2 * fault_every_ms), [this] { next_fault(); });
}

void
Soak::harm_router()
{
    size_t index = below(deployment.routers.size());
    RouterProcess &router = deployment.routers[index];
    if (router.pid == 0) {
        deployment.start_router(index);
        return;
    }
    switch (below(5)) {
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
        plan(fault_time(),
             [this, index] { deployment.signal_router(index, SIGCONT); });
        return;
    }
    plan(fault_time() + 1000, [this, index] {
        if (deployment.routers[index].pid == 0 && !ending) {
            deployment.start_router(index);
        }
    });
}

void
Soak::harm_store()
{
    static const StoreFault kinds[] = {StoreFault::silent, StoreFault::refuse,
                                       StoreFault::lose_answer};
    store_faults++;
    if (below(2) == 0) {
        deployment.store->fault = kinds[below(3)];
        plan(fault_time(), [this] {
            deployment.store->fault = StoreFault::none;
            store_faults--;
            calm_ms = now_ms();
        });
        return;
    }
    static const Harm harms[] = {Harm::delay, Harm::silence, Harm::cut_forward,
                                 Harm::cut_backward, Harm::refuse};
    size_t index = below(deployment.routers.size());
    Proxy &proxy = *deployment.routers[index].store_proxy;
    proxy.set(harms[below(5)], 20 + (int64_t)below(400));
    if (below(3) == 0) {
        proxy.reset();
    }
    plan(fault_time(), [this, &proxy] {
        proxy.set(Harm::none);
        store_faults--;
        calm_ms = now_ms();
    });
}

void
Soak::harm_link()
{
    static const Harm harms[] = {Harm::delay, Harm::silence, Harm::cut_forward,
                                 Harm::cut_backward, Harm::refuse};
    Proxy &proxy = *deployment.slots[below(deployment.slots.size())]->proxy;
    if (below(3) == 0) {
        proxy.reset();
        return;
    }
    proxy.set(harms[below(5)], 5 + (int64_t)below(300));
    plan(fault_time(), [&proxy] { proxy.set(Harm::none); });
}

void
Soak::harm_runner()
{
    size_t index = below(deployment.slots.size());
    RunnerSlot &slot = *deployment.slots[index];
    if (index >= options.runners) {
        return; // the roll-out's own
    }
    if (slot.runner == nullptr) {
        deployment.start_runner(index, version_of(index));
        deployment.register_runner(index);
        return;
    }
    static const RunnerFault kinds[] = {
        RunnerFault::full, RunnerFault::failing, RunnerFault::silent,
        RunnerFault::cutting};
    if (below(2) == 0) {
        std::string id = slot.runner->options.id;
        slot.runner->fault = kinds[below(4)];
        plan(fault_time(), [this, index, id] {
            RunnerSlot &at = *deployment.slots[index];
            if (at.runner != nullptr && at.runner->options.id == id) {
                at.runner->fault = RunnerFault::none;
            }
        });
        return;
    }
    if (below(2) == 0) {
        // Gone; another one has its address before its entry goes.
        std::string id = slot.runner->options.id;
        deployment.kill_runner(index);
        if (below(2) == 0) {
            deployment.start_runner(index, version_of(index));
            deployment.register_runner(index);
        }
        plan(1000 + (int64_t)below(3000),
             [this, id] { deployment.store->put("keyed.servers", id, ""); });
        return;
    }
    // Planned: it drains, and leaves a good while later.
    std::string id = slot.runner->options.id;
    deployment.drain_runner(index);
    slot.watched = 0;
    drained_ms[id] = now_ms();
    plan(drained_stay_ms, [this, index, id] {
        RunnerSlot &at = *deployment.slots[index];
        if (at.runner != nullptr && at.runner->options.id == id) {
            deployment.drop_runner(index);
            deployment.kill_runner(index);
            deployment.start_runner(index, version_of(index));
            deployment.register_runner(index);
        }
    });
}

// What operators do.
void
Soak::change()
{
    static const char *const domains[] = {"brest", "quimper"};
    std::string domain = domains[below(2)];
    switch (below(3)) {
    case 0:
        deployment.store->put("keyed.op", "evacuate/" + domain, "{}");
        plan(fault_time(), [this, domain] {
            deployment.store->put("keyed.op", "evacuate/" + domain, "");
        });
        break;
    default:
        deployment.publish();
        break;
    }
}

// ---- roll-out ----

void
Soak::start_rollout()
{
    draw(Draws::rollout, 0);
    target_is_bad = below(2) == 0;
    plain_runs = deployment.runs.count();
    for (size_t i = options.runners; i < deployment.slots.size(); i++) {
        deployment.start_runner(i, "v2");
        deployment.slots[i]->runner->fault =
            target_is_bad ? RunnerFault::failing : RunnerFault::none;
        deployment.register_runner(i);
    }
    deployment.store->put("keyed.op", "rollout/atelier",
                          "{\"Service\":\"atelier\",\"Target\":\"v2\","
                          "\"DurationS\":" +
                              std::to_string(rollout_s) + "}");
    watch_rollout();
}

// When it has ended, the operator stops the runners that are not needed.
void
Soak::watch_rollout()
{
    std::string status =
        deployment.store->get("keyed.status", "rollout/atelier");
    for (const char *state : {"completed", "rolled_back"}) {
        if (status.find(state) != std::string::npos) {
            rollout_end = state;
        }
    }
    if (rollout_end.empty()) {
        if (!ending) {
            plan(100, [this] { watch_rollout(); });
        }
        return;
    }
    bool completed = rollout_end == "completed";
    if (completed && target_is_bad) {
        violation("rollout", "completed with a target that always fails");
    }
    plan(completed ? 0 : 2000, [this, completed] {
        for (size_t i = 0; i < deployment.slots.size(); i++) {
            RunnerSlot &slot = *deployment.slots[i];
            if (slot.runner != nullptr &&
                slot.runner->options.service == "atelier" &&
                (slot.runner->options.version == "v1") == completed) {
                deployment.drop_runner(i);
                deployment.kill_runner(i);
            }
        }
    });
}

// ---- end ----

void
Soak::check_end()
{
    for (const Answer &answer : not_run) {
        if (!deployment.runs.of(answer.ask.id).empty()) {
            violation("not-run", answer.ask.id + " ran later");
        }
    }
    for (const std::string &id : once) {
        if (deployment.runs.of(id).size() > 1) {
            violation("once",
                      id + " ran " +
                          std::to_string(deployment.runs.of(id).size()) +
                          " times");
        }
    }
    for (uint64_t i = 1; i <= last_request; i++) {
        std::string id = "r" + std::to_string(i);
        if (deployment.runs.of(id).size() > max_attempts) {
            violation("attempts",
                      id + " ran " +
                          std::to_string(deployment.runs.of(id).size()) +
                          " times");
        }
    }
    for (size_t i = options.runners; i < deployment.slots.size(); i++) {
        target_runs += deployment.slots[i]->runner == nullptr
                           ? 0
                           : deployment.slots[i]->runner->started;
    }
    double share =
        exposure_share * (double)(deployment.runs.count() - plain_runs) / 2 +
        exposure_extra;
    if (target_is_bad && (double)target_runs > share) {
        violation("rollout", std::to_string(target_runs) +
                                 " requests met the bad version");
    }
    double windows =
        (double)(now_ms() - began_ms) / (double)budget_window_ms + 1;
    double allowed = budget_ratio * (double)answered + budget_extra * windows;
    if ((double)deployment.runs.repeats() > allowed) {
        violation("budget", std::to_string(deployment.runs.repeats()) +
                                " repeats, " + std::to_string(allowed) +
                                " allowed");
    }
}

int
Soak::run()
{
    deployment.publish();
    for (size_t i = 0; i < deployment.slots.size(); i++) {
        deployment.start_runner(i);
        deployment.register_runner(i);
    }
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        deployment.start_router(i);
    }
    if (!deployment.run_until(60000,
                              [this] { return deployment.all_ready(); })) {
        violation("start", "the routers are not ready");
    }
    deployment.on_exit = [this](const RouterProcess &router, int status) {
        bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
        bool left =
            router.leaving && WIFEXITED(status) && WEXITSTATUS(status) == 0;
        if (!killed && !left) {
            violation("exit", router.name + " ended with status " +
                                  std::to_string(status));
        }
    };
    next_request();
    poll_states();
    beat();
    plan(500, [this] { next_fault(); });
    draw(Draws::rollout, 1);
    plan(2000 + (int64_t)below(3000), [this] { start_rollout(); });
    deployment.run_for(options.seconds * 1000);
    ending = true;
    // What is under way ends.
    for (size_t i = 0; i < deployment.routers.size(); i++) {
        deployment.signal_router(i, SIGCONT);
    }
    deployment.run_until(20000, [this] { return deployment.asking == 0; });
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
    check_end();
    printf("seed %llu: %zu faults, %zu requests answered, %zu well, %zu "
           "refused, %zu runs, %zu repeats, %s target %s, %zu broken\n",
           (unsigned long long)options.seed, faults, answered, good, refused,
           deployment.runs.count(), deployment.runs.repeats(),
           target_is_bad ? "bad" : "good",
           rollout_end.empty() ? "open" : rollout_end.c_str(), broken);
    return broken == 0 ? 0 : 1;
}

// ---- main ----

static int
usage()
{
    fprintf(stderr,
            "usage: soak SASSAFRASD DIR [--seed N] [--seconds N] [--host IP] "
            "[--routers N] [--runners N] [--untimed]\n");
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
            options.timed = false;
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
