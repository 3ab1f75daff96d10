// The store comes back from a copy of itself, several times, while routers go
// by what it has lost. Real routers; the store, the runners and the operator
// are stand-ins.
//   config      a router's configuration version never decreases
//   in-force    what is written after the return is in force within the bound
//   drained     a runner whose draining or end was lost is not used again
//   calls       routers do not ask for lost records again and again
// usage: store_restored SASSAFRASD DIR [HOST]
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "deployment.h"

// The bound for changes is 2 s; the rest is for a busy machine.
static const int64_t in_force_ms = 4000;
// For how long the routers are observed after a return, before and after the
// runners and the operator have written again.
static const int64_t lost_ms = 1000;
static const int64_t observed_ms = 2500;
// Store calls in that time: a few for each return, and at most one read a
// second of each router and feed.
static const uint64_t max_calls = 60;
static const size_t returns = 3;
static const int64_t step_timeout_ms = 60000;

static size_t violation_count = 0;

static void
report_violation(const std::string &rule, const std::string &what)
{
    violation_count++;
    printf("BROKEN %s: %s\n", rule.c_str(), what.c_str());
}

static std::string
fetch_state(Deployment &deployment, size_t router)
{
    std::string out;
    bool is_done = false;
    deployment.fetch_state(router, [&](const std::string &state) {
        out = state;
        is_done = true;
    });
    deployment.run_until(step_timeout_ms, [&] { return is_done; });
    return out;
}

static int64_t
version_of(const std::string &state)
{
    const std::string key = "\"configuration\":";
    size_t at = state.find(key);
    return at == std::string::npos
               ? -1
               : strtoll(state.c_str() + at + key.size(), nullptr, 10);
}

// Returns the upstream's state at a router; empty: it does not know it.
static std::string
state_of(const std::string &state, const std::string &upstream)
{
    const std::string key = "\"state\":\"";
    size_t at = state.find("\"id\":\"" + upstream + "\"");
    if (at == std::string::npos) {
        return "";
    }
    size_t begin = state.find(key, at) + key.size();
    return state.substr(begin, state.find('"', begin) - begin);
}

class Restored {
  public:
    explicit Restored(const DeploymentOptions &options) : deployment(options)
    {
        deployment.store->era = 1;
        for (size_t i = 0; i < 6; i++) {
            deployment.add_slot(i % 2 == 0 ? "atelier" : "plume", "brest",
                                i % 2 == 1);
        }
    }

    int
    run()
    {
        deployment.publish_config();
        for (size_t slot = 0; slot < 4; slot++) {
            deployment.start_runner(slot);
            deployment.register_runner(slot);
        }
        for (size_t i = 0; i < deployment.routers.size(); i++) {
            deployment.start_router(i);
        }
        deployment.run_until(step_timeout_ms,
                             [this] { return deployment.are_all_ready(); });
        for (size_t i = 0; i < returns; i++) {
            lose_and_return();
        }
        printf("%zu returns, %zu violations\n", returns, violation_count);
        return violation_count == 0 ? 0 : 1;
    }

  private:
    Deployment deployment;

    // Waits until all routers hold to it, and reports it if they don't in
    // time.
    void
    expect_in_force(const std::string &what,
                    const std::function<bool(const std::string &)> &holds)
    {
        bool all = false;
        for (int64_t end_ms = now_ms() + in_force_ms;
             !all && now_ms() < end_ms; deployment.run_for(50)) {
            all = true;
            for (size_t i = 0; i < deployment.routers.size(); i++) {
                all = all && holds(fetch_state(deployment, i));
            }
        }
        if (!all) {
            report_violation("in-force", what);
        }
    }

    void
    expect_version_in_force()
    {
        int64_t version = deployment.config_version;
        expect_in_force("configuration " + std::to_string(version),
                        [version](const std::string &state) {
                            return version_of(state) == version;
                        });
    }

    // Observes the routers for a time in which nothing that was in force may
    // be undone.
    void
    observe(int64_t ms, const std::string &left, const std::string &drained)
    {
        std::string broken; // the last of them
        for (int64_t end_ms = now_ms() + ms; now_ms() < end_ms;
             deployment.run_for(50)) {
            for (size_t i = 0; i < deployment.routers.size(); i++) {
                std::string state = fetch_state(deployment, i);
                if (version_of(state) < deployment.config_version) {
                    broken = "configuration " +
                             std::to_string(version_of(state)) + " after " +
                             std::to_string(deployment.config_version);
                }
                for (const std::string &id : {left, drained}) {
                    if (state_of(state, id) == "usable") {
                        broken = id + " is used again";
                    }
                }
            }
        }
        if (!broken.empty()) {
            report_violation("config, drained", broken);
        }
    }

    // Registers the runners that are there, as their heartbeats do.
    void
    heartbeat()
    {
        for (size_t slot = 0; slot < deployment.slots.size(); slot++) {
            const RunnerSlot &at = *deployment.slots[slot];
            if (at.runner != nullptr && at.is_draining) {
                deployment.drain_runner(slot);
            }
            else if (at.runner != nullptr && at.is_registered) {
                deployment.register_runner(slot);
            }
        }
    }

    std::string
    id_of(size_t slot) const
    {
        return deployment.slots[slot]->runner->options.id;
    }

    // One round: slots 0 and 1 get new runners first. After the copy was
    // taken, the one of slot 0 leaves, that of slot 1 drains, slot 4 gets a
    // new one, and the configuration changes twice.
    void
    lose_and_return()
    {
        for (size_t slot : {0, 1, 4}) {
            if (deployment.slots[slot]->is_registered) {
                deployment.deregister_runner(slot);
            }
        }
        for (size_t slot : {0, 1}) {
            deployment.start_runner(slot);
            deployment.register_runner(slot);
        }
        std::string left = id_of(0);
        std::string drained = id_of(1);
        deployment.publish_config();
        expect_version_in_force();
        expect_in_force("new runners", [&](const std::string &state) {
            return state_of(state, left) == "usable" &&
                   state_of(state, drained) == "usable";
        });
        deployment.store->save_copy();
        deployment.publish_config();
        deployment.publish_config();
        deployment.drain_runner(1);
        deployment.start_runner(4);
        deployment.register_runner(4);
        std::string added = id_of(4);
        deployment.deregister_runner(0);
        expect_version_in_force();
        expect_in_force("changes before the return",
                        [&](const std::string &state) {
                            return state_of(state, left) != "usable" &&
                                   state_of(state, drained) == "draining" &&
                                   state_of(state, added) == "usable";
                        });
        deployment.store->fault = StoreFault::refuse;
        deployment.run_for(500);
        deployment.store->restore_copy();
        deployment.store->fault = StoreFault::none;
        uint64_t calls_before = deployment.store->calls;
        observe(lost_ms, left, drained);
        heartbeat();
        observe(observed_ms, left, drained);
        if (deployment.store->calls - calls_before > max_calls) {
            report_violation("calls", std::to_string(deployment.store->calls -
                                                     calls_before) +
                                          " after a return");
        }
        // At offsets that the routers have passed in the older history.
        deployment.publish_config();
        expect_version_in_force();
        expect_in_force("runner that was added before the return",
                        [&](const std::string &state) {
                            return state_of(state, added) == "usable";
                        });
        deployment.drain_runner(4);
        expect_in_force("draining after the return",
                        [&](const std::string &state) {
                            return state_of(state, added) == "draining";
                        });
    }
};

int
main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: store_restored SASSAFRASD DIR [HOST]\n");
        return 2;
    }
    DeploymentOptions options;
    options.program = argv[1];
    options.dir = argv[2];
    options.host = argc > 3 ? argv[3] : options.host;
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, nullptr, _IOLBF, 0);
    return Restored(options).run();
}
