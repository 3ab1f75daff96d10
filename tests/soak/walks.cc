// Scripted run of real routers with the stand-ins of the store and runners;
// prints what callers get, in order. The logs it leaves are for
// `sassafrasctl explain` (tests/scripts/router.test.sh).
// usage: walks SASSAFRASD DIR
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "deployment.h"

// Longest wait for a step, on a machine however busy; no promise.
static const int64_t patience_ms = 60000;

static Answer
ask_and_wait(Deployment &deployment, size_t router, const Ask &question)
{
    Answer got;
    bool done = false;
    deployment.ask(router, question, [&got, &done](const Answer &answer) {
        got = answer;
        done = true;
    });
    deployment.run_until(patience_ms, [&done] { return done; });
    return got;
}

// Is the stream's body the beginning of what it should be?
static size_t
events_of(const Answer &answer)
{
    std::string wanted;
    size_t count = 0;
    while (count < stream_length(answer.ask.id)) {
        std::string next = wanted + stream_event(answer.ask.id, count);
        if (answer.body.compare(0, next.size(), next) != 0) {
            break;
        }
        wanted = next;
        count++;
    }
    return count;
}

static void
print(Deployment &deployment, const Answer &answer)
{
    bool is_stream = answer.ask.path[1] == 'v' || answer.ask.path[1] == 'w';
    printf("%s %s: %d %s", answer.ask.id.c_str(), answer.ask.path.c_str(),
           answer.status, answer.whole ? "whole" : "cut");
    if (answer.ask.path[1] != 'v') { // these may run again as need be
        printf(", %zu runs", deployment.runs.of(answer.ask.id).size());
    }
    if (answer.status == 200 && is_stream) {
        printf(", %zu of %zu events", events_of(answer),
               stream_length(answer.ask.id));
    }
    else if (answer.status == 200) {
        printf(", body %s", answer.body == plain_body(answer.ask.id)
                                ? "is the runner's"
                                : "differs");
    }
    else if (answer.status != 0) {
        size_t outcome = answer.body.find("\"outcome\"");
        size_t comma = answer.body.find(",\"peer\"");
        printf(", %s",
               outcome == std::string::npos
                   ? "the runner's own"
                   : answer.body.substr(outcome, comma - outcome).c_str());
        bool returns = answer.headers.find("Retry-After") != std::string::npos;
        printf("%s", returns ? ", Retry-After" : "");
    }
    printf("\n");
}

static Ask
question(const std::string &id, const std::string &path,
         const std::string &model = "")
{
    Ask out;
    out.id = id;
    out.path = path;
    out.model = model;
    return out;
}

// Until every router knows so many usable upstreams of a service.
static void
wait_usable(Deployment &deployment, const std::string &service, size_t count)
{
    std::vector<bool> knows(deployment.routers.size());
    int64_t asked_ms = 0;
    deployment.run_until(patience_ms, [&] {
        bool all = true;
        for (size_t i = 0; i < knows.size(); i++) {
            all = all && (knows[i] || deployment.routers[i].pid == 0);
        }
        if (!all && now_ms() - asked_ms > 100) {
            asked_ms = now_ms();
            for (size_t i = 0; i < knows.size(); i++) {
                deployment.get_state(
                    i, [&knows, i, &service, count](const std::string &state) {
                        size_t found = 0;
                        std::string wanted =
                            "\"service\":\"" + service + "\",\"address\"";
                        for (size_t at = state.find(wanted);
                             at != std::string::npos;
                             at = state.find(wanted, at + 1)) {
                            size_t end = state.find('}', at);
                            std::string item = state.substr(at, end - at);
                            found += item.find("\"state\":\"usable\"") !=
                                             std::string::npos
                                         ? 1
                                         : 0;
                        }
                        knows[i] = !state.empty() && found == count;
                    });
            }
        }
        return all;
    });
    // Answers that are under way refer to this frame.
    deployment.run_until(patience_ms,
                         [&deployment] { return deployment.asking == 0; });
}

static void
walk_good(Deployment &deployment)
{
    print(deployment, ask_and_wait(deployment, 0, question("plain", "/s/x")));
    print(deployment, ask_and_wait(deployment, 1, question("once", "/c/x")));
    print(deployment,
          ask_and_wait(deployment, 0, question("stream", "/v/x", "*")));
    print(deployment,
          ask_and_wait(deployment, 1, question("fixed", "/w/x", "m1")));
    print(deployment,
          ask_and_wait(deployment, 0, question("lost", "/nowhere/x")));
}

// Cut in the middle of a stream that another runner goes on with.
static void
walk_resumed(Deployment &deployment)
{
    Answer got;
    bool done = false;
    deployment.ask(0, question("resumed", "/v/x", "m1"),
                   [&got, &done](const Answer &answer) {
                       got = answer;
                       done = true;
                   });
    deployment.run_until(patience_ms, [&deployment] {
        return !deployment.runs.of("resumed").empty();
    });
    for (size_t slot = 2; slot < 4; slot++) {
        RunnerStandin &runner = *deployment.slots[slot]->runner;
        if (runner.options.id == deployment.runs.of("resumed")[0].runner) {
            runner.fault = RunnerFault::cutting;
        }
    }
    deployment.run_until(patience_ms, [&done] { return done; });
    print(deployment, got);
    printf("  by %zu runners\n", deployment.runs.of("resumed").size());
}

static void
walk_failures(Deployment &deployment)
{
    for (size_t slot = 0; slot < 2; slot++) {
        deployment.slots[slot]->runner->fault = RunnerFault::failing;
    }
    print(deployment, ask_and_wait(deployment, 0, question("bad", "/s/x")));
    for (size_t slot = 0; slot < 2; slot++) {
        deployment.slots[slot]->runner->fault = RunnerFault::full;
    }
    print(deployment, ask_and_wait(deployment, 0, question("full", "/c/x")));
    for (size_t slot = 0; slot < 2; slot++) {
        deployment.slots[slot]->runner->fault = RunnerFault::none;
    }
    walk_resumed(deployment);
    // Cut in the middle of a stream that no other runner may go on with.
    for (size_t slot = 2; slot < 4; slot++) {
        deployment.slots[slot]->runner->fault = RunnerFault::cutting;
    }
    print(deployment,
          ask_and_wait(deployment, 0, question("walk-cut", "/w/x", "m1")));
    deployment.slots[2]->runner->fault = RunnerFault::none;
    deployment.slots[3]->runner->fault = RunnerFault::none;
    // Too late: it runs, and nobody hears of it again.
    for (size_t slot = 0; slot < 2; slot++) {
        deployment.slots[slot]->runner->fault = RunnerFault::silent;
    }
    Ask late = question("walk-late", "/c/x");
    late.deadline_ms = 3000;
    print(deployment, ask_and_wait(deployment, 0, late));
    for (size_t slot = 0; slot < 2; slot++) {
        deployment.slots[slot]->runner->fault = RunnerFault::none;
    }
    // Refused: nobody serves it any more.
    deployment.drop_runner(0);
    deployment.drop_runner(1);
    wait_usable(deployment, "atelier", 0);
    print(deployment,
          ask_and_wait(deployment, 0, question("walk-refused", "/c/x")));
    deployment.register_runner(0);
    deployment.register_runner(1);
    wait_usable(deployment, "atelier", 2);
    print(deployment, ask_and_wait(deployment, 0, question("back", "/c/x")));
}

// A router leaves: the stream that it has is finished first.
static void
walk_drain(Deployment &deployment)
{
    Answer got;
    bool done = false;
    deployment.ask(0, question("leaving", "/v/y", "m1"),
                   [&got, &done](const Answer &answer) {
                       got = answer;
                       done = true;
                   });
    deployment.run_until(patience_ms, [&deployment] {
        return !deployment.runs.of("leaving").empty();
    });
    deployment.signal_router(0, SIGTERM);
    deployment.run_until(patience_ms, [&done] { return done; });
    print(deployment, got);
    deployment.run_until(
        patience_ms, [&deployment] { return deployment.routers[0].pid == 0; });
    printf("left with status %d\n", deployment.routers[0].last_status);
}

// The store is away: what is known goes on, also for a router that starts.
static void
walk_store_away(Deployment &deployment)
{
    deployment.store->fault = StoreFault::refuse;
    print(deployment, ask_and_wait(deployment, 1, question("away", "/s/x")));
    deployment.start_router(0);
    deployment.run_until(patience_ms,
                         [&deployment] { return deployment.all_ready(); });
    print(deployment, ask_and_wait(deployment, 0, question("told", "/s/x")));
    deployment.store->fault = StoreFault::none;
}

int
main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: walks SASSAFRASD DIR\n");
        return 2;
    }
    DeploymentOptions options;
    options.program = argv[1];
    options.dir = argv[2];
    options.routers = 2;
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, nullptr, _IOLBF, 0);
    Deployment deployment(options);
    for (int i = 0; i < 2; i++) {
        deployment.add_slot("atelier", "brest", false);
    }
    for (int i = 0; i < 2; i++) {
        deployment.add_slot("plume", "brest", true);
    }
    deployment.publish();
    for (size_t slot = 0; slot < 4; slot++) {
        deployment.start_runner(slot);
        deployment.register_runner(slot);
    }
    for (size_t router = 0; router < 2; router++) {
        deployment.start_router(router);
    }
    wait_usable(deployment, "plume", 2);
    wait_usable(deployment, "atelier", 2);
    walk_good(deployment);
    walk_failures(deployment);
    walk_drain(deployment);
    walk_store_away(deployment);
    for (size_t router = 0; router < 2; router++) {
        deployment.signal_router(router, SIGTERM);
    }
    deployment.run_until(patience_ms, [&deployment] {
        return deployment.routers[0].pid == 0 &&
               deployment.routers[1].pid == 0;
    });
    return 0;
}
