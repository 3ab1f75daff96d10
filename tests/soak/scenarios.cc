// Runs fixed scenarios with real routers and the stand-ins of the store and
// the runners, and prints the responses to the clients in order. The routers'
// logs stay in DIR, where tests/scripts/router.test.sh reads them with
// `sassafrasctl explain`.
// usage: scenarios SASSAFRASD DIR
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include "deployment.h"

// Ends the wait for a step that hangs. Not a limit under test: it is long, so
// that a busy machine does not change the result.
static const int64_t step_timeout_ms = 60000;

// A request whose response may not have arrived yet. Stays in place until
// then.
struct PendingRequest {
    ClientResponse response;
    bool is_done = false;
};

static void
start_request(Deployment &deployment, size_t router,
              const ClientRequest &request, PendingRequest &pending)
{
    deployment.send_request(router, request,
                            [&pending](const ClientResponse &response) {
                                pending.response = response;
                                pending.is_done = true;
                            });
}

static const ClientResponse &
wait_response(Deployment &deployment, const PendingRequest &pending)
{
    deployment.run_until(step_timeout_ms,
                         [&pending] { return pending.is_done; });
    return pending.response;
}

// Counts the events at the start of a stream that are the runner's, unchanged.
static size_t
count_correct_events(const ClientResponse &response)
{
    std::string expected;
    size_t count = 0;
    while (count < stream_event_count(response.request.id)) {
        std::string next = expected + stream_event(response.request.id, count);
        if (response.body.compare(0, next.size(), next) != 0) {
            break;
        }
        expected = next;
        count++;
    }
    return count;
}

static void
print_response(Deployment &deployment, const ClientResponse &response)
{
    bool is_stream =
        response.request.path[1] == 'v' || response.request.path[1] == 'w';
    printf("%s %s: %d %s", response.request.id.c_str(),
           response.request.path.c_str(), response.status,
           response.is_complete ? "whole" : "cut");
    if (response.request.path[1] != 'v') { // resumable streams may run again
        printf(", %zu runs",
               deployment.runs.runs_of(response.request.id).size());
    }
    if (response.status == 200 && is_stream) {
        printf(", %zu of %zu events", count_correct_events(response),
               stream_event_count(response.request.id));
    }
    else if (response.status == 200) {
        printf(", body %s", response.body == plain_body(response.request.id)
                                ? "is the runner's"
                                : "differs");
    }
    else if (response.status != 0) {
        size_t outcome = response.body.find("\"outcome\"");
        size_t comma = response.body.find(",\"peer\"");
        printf(", %s",
               outcome == std::string::npos
                   ? "the runner's own"
                   : response.body.substr(outcome, comma - outcome).c_str());
        bool has_retry_after =
            response.headers.find("Retry-After") != std::string::npos;
        printf("%s", has_retry_after ? ", Retry-After" : "");
    }
    printf("\n");
}

static ClientRequest
make_request(const std::string &id, const std::string &path,
             const std::string &model = "")
{
    ClientRequest out;
    out.id = id;
    out.path = path;
    out.model = model;
    return out;
}

// Sends a request, and prints its response when it has arrived.
static void
request_and_print(Deployment &deployment, size_t router,
                  const ClientRequest &request)
{
    PendingRequest pending;
    start_request(deployment, router, request, pending);
    print_response(deployment, wait_response(deployment, pending));
}

// Counts the usable upstreams of a service in a router's /state.
static size_t
count_usable_upstreams(const std::string &state, const std::string &service)
{
    size_t count = 0;
    std::string upstream = "\"service\":\"" + service + "\",\"address\"";
    for (size_t at = state.find(upstream); at != std::string::npos;
         at = state.find(upstream, at + 1)) {
        size_t end = state.find('}', at);
        std::string item = state.substr(at, end - at);
        count +=
            item.find("\"state\":\"usable\"") != std::string::npos ? 1 : 0;
    }
    return count;
}

// Waits until every running router has `count` usable upstreams of a service.
static void
wait_usable_upstreams(Deployment &deployment, const std::string &service,
                      size_t count)
{
    std::vector<bool> is_up_to_date(deployment.routers.size());
    int64_t last_fetch_ms = 0;
    deployment.run_until(step_timeout_ms, [&] {
        bool all = true;
        for (size_t i = 0; i < is_up_to_date.size(); i++) {
            all = all && (is_up_to_date[i] || deployment.routers[i].pid == 0);
        }
        if (!all && now_ms() - last_fetch_ms > 100) {
            last_fetch_ms = now_ms();
            for (size_t i = 0; i < is_up_to_date.size(); i++) {
                deployment.fetch_state(i, [&is_up_to_date, i, &service,
                                           count](const std::string &state) {
                    is_up_to_date[i] =
                        !state.empty() &&
                        count_usable_upstreams(state, service) == count;
                });
            }
        }
        return all;
    });
    // The callbacks of pending requests refer to local variables.
    deployment.run_until(step_timeout_ms, [&deployment] {
        return deployment.pending_requests == 0;
    });
}

// The services' runners: slots 0 and 1 are plain, 2 and 3 are engines.
static const size_t plain_slots[] = {0, 1};
static const size_t engine_slots[] = {2, 3};

static void
set_faults(Deployment &deployment, const size_t (&slots)[2], RunnerFault fault)
{
    for (size_t slot : slots) {
        deployment.slots[slot]->runner->fault = fault;
    }
}

static void
scenario_success(Deployment &deployment)
{
    request_and_print(deployment, 0, make_request("plain", "/s/x"));
    request_and_print(deployment, 1, make_request("once", "/c/x"));
    request_and_print(deployment, 0, make_request("stream", "/v/x", "*"));
    request_and_print(deployment, 1, make_request("fixed", "/w/x", "m1"));
    request_and_print(deployment, 0, make_request("lost", "/nowhere/x"));
}

// Waits until a runner has started the request.
static void
wait_run(Deployment &deployment, const std::string &request)
{
    deployment.run_until(step_timeout_ms, [&deployment, &request] {
        return !deployment.runs.runs_of(request).empty();
    });
}

// A stream is truncated, and another runner resumes it.
static void
scenario_resumed_stream(Deployment &deployment)
{
    PendingRequest pending;
    start_request(deployment, 0, make_request("resumed", "/v/x", "m1"),
                  pending);
    wait_run(deployment, "resumed");
    for (size_t slot : engine_slots) {
        RunnerStandin &runner = *deployment.slots[slot]->runner;
        if (runner.options.id ==
            deployment.runs.runs_of("resumed")[0].runner) {
            runner.fault = RunnerFault::truncate;
        }
    }
    print_response(deployment, wait_response(deployment, pending));
    printf("  by %zu runners\n", deployment.runs.runs_of("resumed").size());
}

static void
scenario_runner_failures(Deployment &deployment)
{
    set_faults(deployment, plain_slots, RunnerFault::fail);
    request_and_print(deployment, 0, make_request("bad", "/s/x"));
    set_faults(deployment, plain_slots, RunnerFault::refuse);
    request_and_print(deployment, 0, make_request("full", "/c/x"));
    set_faults(deployment, plain_slots, RunnerFault::none);
    scenario_resumed_stream(deployment);
    // A stream is truncated that no other runner may resume.
    set_faults(deployment, engine_slots, RunnerFault::truncate);
    request_and_print(deployment, 0, make_request("walk-cut", "/w/x", "m1"));
    set_faults(deployment, engine_slots, RunnerFault::none);
    // The deadline passes while the request runs.
    set_faults(deployment, plain_slots, RunnerFault::silent);
    ClientRequest late = make_request("walk-late", "/c/x");
    late.deadline_ms = 3000;
    request_and_print(deployment, 0, late);
    set_faults(deployment, plain_slots, RunnerFault::none);
    // The request is refused, because its service has no runners.
    for (size_t slot : plain_slots) {
        deployment.deregister_runner(slot);
    }
    wait_usable_upstreams(deployment, "atelier", 0);
    request_and_print(deployment, 0, make_request("walk-refused", "/c/x"));
    for (size_t slot : plain_slots) {
        deployment.register_runner(slot);
    }
    wait_usable_upstreams(deployment, "atelier", 2);
    request_and_print(deployment, 0, make_request("back", "/c/x"));
}

// When a request is sent after SIGTERM whose body does not come: the router
// still accepts it, and exits before its header timeout.
static const int64_t late_in_drain_ms = 1500;

// A router drains: it finishes its stream first. Before it exits, it answers
// the request that its upstream does not, and the one whose body does not
// come.
static void
scenario_drain(Deployment &deployment)
{
    PendingRequest leaving, unanswered, unread;
    set_faults(deployment, plain_slots, RunnerFault::silent);
    ClientRequest request = make_request("unanswered", "/c/x");
    request.deadline_ms = 15000;
    start_request(deployment, 0, request, unanswered);
    wait_run(deployment, "unanswered");
    start_request(deployment, 0, make_request("leaving", "/v/y", "m1"),
                  leaving);
    wait_run(deployment, "leaving");
    deployment.signal_router(0, SIGTERM);
    deployment.run_for(late_in_drain_ms);
    request = make_request("unread", "/c/y");
    request.unsent_body_bytes = 10;
    start_request(deployment, 0, request, unread);
    print_response(deployment, wait_response(deployment, leaving));
    print_response(deployment, wait_response(deployment, unanswered));
    print_response(deployment, wait_response(deployment, unread));
    set_faults(deployment, plain_slots, RunnerFault::none);
    deployment.run_until(step_timeout_ms, [&deployment] {
        return deployment.routers[0].pid == 0;
    });
    printf("left with status %d\n", deployment.routers[0].exit_status);
}

// The store is unavailable: routers continue with the state that they have,
// and a router that starts becomes ready as well.
static void
scenario_store_unavailable(Deployment &deployment)
{
    deployment.store->fault = StoreFault::refuse;
    request_and_print(deployment, 1, make_request("away", "/s/x"));
    deployment.start_router(0);
    deployment.run_until(step_timeout_ms,
                         [&deployment] { return deployment.are_all_ready(); });
    request_and_print(deployment, 0, make_request("told", "/s/x"));
    deployment.store->fault = StoreFault::none;
}

// An operator checks a configuration against the one in the store, which
// answers, and then does not.
static void
scenario_check(Deployment &deployment, const std::string &program,
               const std::string &dir)
{
    const std::string &frontend = deployment.routers[0].frontend;
    size_t colon = frontend.find(':');
    std::string store =
        frontend.substr(0, colon + 1) +
        std::to_string(std::stoi(frontend.substr(colon + 1)) + 2);
    std::string config = deployment.store->get("keyed.op", "config");
    std::ofstream(dir + "/next.json")
        << config.replace(config.find("\"/s/\""), 5, "\"/t/\"");
    for (StoreFault fault : {StoreFault::none, StoreFault::silent}) {
        deployment.store->fault = fault;
        std::string command = "cd '" + dir + "' && { '" + program +
                              "' check-platform next.json" + " --store " +
                              store + "; echo exit $?; } >check.part 2>&1; " +
                              "mv check.part check.out";
        std::thread operator_thread(
            [&command] { (void)!system(command.c_str()); });
        deployment.run_until(step_timeout_ms, [&dir] {
            return access((dir + "/check.out").c_str(), F_OK) == 0;
        });
        operator_thread.join();
        printf("%s",
               std::string(std::istreambuf_iterator<char>(
                               std::ifstream(dir + "/check.out").rdbuf()),
                           {})
                   .c_str());
        remove((dir + "/check.out").c_str());
    }
    deployment.store->fault = StoreFault::none;
}

// Time after SIGTERM at which a router has exited if it has no work left.
static const int64_t exit_ms = 4500;
// Until then, the slow client reads once in this time.
static const int64_t read_interval_ms = 250;

// A client that still reads its response when the router has ended its work:
// the router waits for it in its grace time.
static void
scenario_slow_client(Deployment &deployment)
{
    // Until the end of a longer grace time, the client can read all.
    deployment.extra_settings = "Bounds.GraceS=20\n";
    deployment.signal_router(1, SIGTERM);
    deployment.run_until(step_timeout_ms, [&deployment] {
        return deployment.routers[1].pid == 0;
    });
    deployment.start_router(1);
    wait_usable_upstreams(deployment, "atelier", 2);
    const std::string &address = deployment.routers[1].frontend;
    const std::string request = "POST /c/x HTTP/1.1\r\nHost: h\r\n"
                                "Sassafrasledge-Request-Id: large\r\n"
                                "Content-Length: 0\r\n\r\n";
    struct sockaddr_in remote;
    int remote_len = sizeof(remote);
    int receive_buffer = 4096;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
    if (evutil_parse_sockaddr_port(address.c_str(), (struct sockaddr *)&remote,
                                   &remote_len) != 0 ||
        connect(fd, (struct sockaddr *)&remote, sizeof(remote)) != 0 ||
        write(fd, request.data(), request.size()) != (ssize_t)request.size()) {
        printf("slow client: cannot send\n");
    }
    wait_run(deployment, "large");
    deployment.signal_router(1, SIGTERM);
    std::string response;
    char buffer[4096];
    int64_t signal_ms = now_ms();
    for (bool is_open = true; is_open;) {
        ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        response.append(buffer, n > 0 ? (size_t)n : 0);
        is_open = n > 0 || (n < 0 && errno == EAGAIN);
        bool is_slow = now_ms() - signal_ms < exit_ms;
        deployment.run_for(is_slow ? read_interval_ms : n < 0 ? 1 : 0);
    }
    close(fd);
    size_t body = response.find("\r\n\r\n") + 4;
    printf("slow client: %s\n",
           response.compare(body, std::string::npos, plain_body("large")) == 0
               ? "whole"
               : "cut");
}

// A client that reads nothing for some seconds gets its whole stream, and
// others are served meanwhile.
static void
scenario_paused_client(Deployment &deployment)
{
    deployment.extra_settings = "Contracts=base,pressure\n";
    deployment.signal_router(0, SIGTERM);
    deployment.run_until(step_timeout_ms, [&deployment] {
        return deployment.routers[0].pid == 0;
    });
    deployment.start_router(0);
    wait_usable_upstreams(deployment, "plume", 2);
    PendingRequest slow;
    ClientRequest request = make_request("large-slow", "/w/x", "m1");
    request.pause_ms = 3000;
    request.deadline_ms = 15000;
    start_request(deployment, 0, request, slow);
    deployment.run_for(2500);
    request_and_print(deployment, 0, make_request("beside", "/w/x", "m1"));
    print_response(deployment, wait_response(deployment, slow));
}

int
main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: scenarios SASSAFRASD DIR\n");
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
    deployment.publish_config();
    for (size_t slot = 0; slot < 4; slot++) {
        deployment.start_runner(slot);
        deployment.register_runner(slot);
    }
    for (size_t router = 0; router < 2; router++) {
        deployment.start_router(router);
    }
    wait_usable_upstreams(deployment, "plume", 2);
    wait_usable_upstreams(deployment, "atelier", 2);
    scenario_success(deployment);
    scenario_runner_failures(deployment);
    scenario_drain(deployment);
    scenario_store_unavailable(deployment);
    scenario_check(deployment,
                   options.program.substr(0, options.program.rfind('/')) +
                       "/sassafrasctl",
                   options.dir);
    scenario_slow_client(deployment);
    scenario_paused_client(deployment);
    for (size_t router = 0; router < 2; router++) {
        deployment.signal_router(router, SIGTERM);
    }
    deployment.run_until(step_timeout_ms, [&deployment] {
        return deployment.routers[0].pid == 0 &&
               deployment.routers[1].pid == 0;
    });
    return 0;
}
