// Processes, stand-ins and clients of a small deployment on loopback.
#include "deployment.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>

extern char **environ;

static const char *const domains[] = {"brest", "quimper"};

Deployment::Deployment(const DeploymentOptions &the_options)
    : base(event_base_new()), scheduler(base), options(the_options),
      next_port(the_options.port)
{
    struct sl_http_client_options client_options = {};
    client_options.base = base;
    // Clients keep idle connections open for as long as the routers allow.
    client_options.max_idle_us = 60 * Sl_US_PER_S;
    client_options.max_idle_per_address = 8;
    client = SlHttpClient_New(&client_options);
    std::string store_address = new_address();
    store = std::make_unique<StoreStandin>(base, scheduler, store_address);
    for (size_t i = 0; i < options.routers; i++) {
        routers.emplace_back();
        RouterProcess &router = routers.back();
        router.name = "e" + std::to_string(i + 1);
        router.domain = domains[i % 2];
        router.frontend = new_address();
        router.metrics = new_address();
        router.settings_path = options.dir + "/" + router.name + ".conf";
        router.log_path = options.dir + "/" + router.name + ".log";
        std::string proxy = new_address();
        router.store_proxy =
            std::make_unique<Proxy>(base, scheduler, proxy, store_address);
    }
}

Deployment::~Deployment()
{
    for (RouterProcess &router : routers) {
        if (router.pid != 0) {
            kill(router.pid, SIGKILL);
            waitpid(router.pid, nullptr, 0);
        }
        router.store_proxy.reset();
    }
    SlHttpClient_Free(client);
    slots.clear();
    store.reset();
}

std::string
Deployment::new_address()
{
    return options.host + ":" + std::to_string(next_port++);
}

void
Deployment::run_for(int64_t ms)
{
    run_until(ms, [] { return false; });
}

bool
Deployment::run_until(int64_t ms, const std::function<bool()> &condition)
{
    int64_t deadline_ms = now_ms() + ms;
    while (now_ms() < deadline_ms) {
        if (condition()) {
            return true;
        }
        struct timeval step = {0, 10000};
        event_base_loopexit(base, &step);
        event_base_dispatch(base);
        reap_routers();
    }
    return condition();
}

// ---- routers ----

static std::string
port_of(const std::string &address)
{
    return address.substr(address.find(':') + 1);
}

void
Deployment::write_settings(const RouterProcess &router, int first_port)
{
    std::ofstream file(router.settings_path, std::ios::trunc);
    int port = atoi(port_of(router.frontend).c_str());
    file << "NodeName=" << router.name << "\nZone=" << router.domain
         << "\nRegion=breizh\nZones.brest=breizh\nZones.quimper=breizh"
         << "\nIp=" << options.host << "\nListen.Frontend="
         << router.frontend
         // The constructor assigns consecutive ports: frontend, metrics,
         // proxy to the store.
         << "\nListen.Ready=" << options.host << ":" << port + 500
         << "\nInternalPorts=" << first_port << "," << first_port + 9
         << "\nPlatform.Address=" << options.host << ":" << port + 2
         << "\nLimits.MaxFds=1024\nHeartbeatMs=1000\nBounds.DrainMs=1000"
         << "\nBounds.GraceS=5\nBounds.RetryBudgetRatio=0.05"
         << "\nBounds.RetryBudgetExtra=10\nBounds.BudgetWindowS=5"
         << "\nBounds.SessionS=1\nBounds.ExposureShare=0.15"
         << "\nBounds.ExposureSlack=30\nBounds.RollbackMs=5000\n"
         << extra_settings;
}

void
Deployment::start_router(size_t index)
{
    RouterProcess &router = routers[index];
    write_settings(router, options.port + 700 + (int)index * 10);
    std::string metrics = "--metrics-port=" + port_of(router.metrics);
    std::vector<std::string> arguments = {options.program, "--role=router",
                                          metrics};
    if (!options.writes_log) {
        arguments.push_back("--quiet");
    }
    std::vector<char *> argv;
    for (std::string &argument : arguments) {
        argv.push_back(&argument[0]);
    }
    argv.push_back(nullptr);
    std::string setting = "SASSAFRASLEDGE_SETTINGS=" + router.settings_path;
    std::vector<char *> envp = {&setting[0], nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, router.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, 2,
                                     (router.log_path + ".err").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    // The router must not inherit the sockets of this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    if (posix_spawn(&router.pid, options.program.c_str(), &actions, nullptr,
                    argv.data(), envp.data()) != 0) {
        fprintf(stderr, "cannot start %s\n", options.program.c_str());
        exit(1);
    }
    posix_spawn_file_actions_destroy(&actions);
    router.last_signal_ms = now_ms();
    router.is_paused = false;
    router.is_draining = false;
}

void
Deployment::signal_router(size_t index, int signal)
{
    RouterProcess &router = routers[index];
    if (router.pid == 0) {
        return;
    }
    kill(router.pid, signal);
    router.last_signal_ms = now_ms();
    router.is_paused = signal == SIGSTOP   ? true
                       : signal == SIGCONT ? false
                                           : router.is_paused;
    router.is_draining = router.is_draining || signal == SIGTERM;
}

void
Deployment::reap_routers()
{
    for (RouterProcess &router : routers) {
        int status;
        if (router.pid != 0 &&
            waitpid(router.pid, &status, WNOHANG) == router.pid) {
            router.pid = 0;
            router.exit_status = status;
            if (on_exit) {
                on_exit(router, status);
            }
        }
    }
}

void
Deployment::fetch_state(size_t index, std::function<void(std::string)> done)
{
    ClientRequest request;
    request.id = "state";
    request.path = "/state";
    send_request(index, request, [done](const ClientResponse &response) {
        done(response.status == 200 && response.is_complete ? response.body
                                                            : "");
    });
}

bool
Deployment::are_all_ready()
{
    size_t ready_count = 0;
    size_t pending_count = routers.size();
    for (size_t i = 0; i < routers.size(); i++) {
        fetch_state(
            i, [&ready_count, &pending_count](const std::string &state) {
                ready_count +=
                    state.find("\"ready\":1") != std::string::npos ? 1 : 0;
                pending_count--;
            });
    }
    int64_t deadline_ms = now_ms() + 2000;
    while (pending_count > 0 && now_ms() < deadline_ms) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    return ready_count == routers.size();
}

// ---- runners ----

size_t
Deployment::add_slot(const std::string &service, const std::string &domain,
                     bool is_engine)
{
    auto slot = std::make_unique<RunnerSlot>();
    slot->address = new_address();
    slot->runner_address = new_address();
    slot->proxy = std::make_unique<Proxy>(base, scheduler, slot->address,
                                          slot->runner_address);
    slots.push_back(std::move(slot));
    slot_service[slots.size() - 1] = {service, is_engine};
    slot_domain[slots.size() - 1] = domain;
    return slots.size() - 1;
}

void
Deployment::start_runner(size_t index, const std::string &version)
{
    RunnerSlot &slot = *slots[index];
    RunnerOptions runner;
    runner.id = "i-" + std::to_string(++runner_count);
    runner.service = slot_service[index].first;
    runner.is_engine = slot_service[index].second;
    runner.address = slot.runner_address;
    runner.domain = slot_domain[index];
    runner.version = version;
    if (has_unequal_paces) {
        int64_t pace = index % 3 == 0 ? 2 : 1;
        runner.pace_percent = 100 * pace;
        runner.first_byte_ms *= pace;
        runner.event_interval_ms *= pace;
    }
    slot.runner.reset();
    slot.runner =
        std::make_unique<RunnerStandin>(base, scheduler, runs, runner);
    slot.is_draining = false;
}

void
Deployment::register_runner(size_t index)
{
    RunnerSlot &slot = *slots[index];
    if (slot.runner != nullptr) {
        slot.is_registered = true;
        store->put("keyed.servers", slot.runner->options.id,
                   slot.runner->registration_json(
                       slot.address, slot.is_draining, ++slot.sequence));
    }
}

void
Deployment::drain_runner(size_t index)
{
    slots[index]->is_draining = true;
    register_runner(index);
}

void
Deployment::deregister_runner(size_t index)
{
    RunnerSlot &slot = *slots[index];
    if (slot.runner != nullptr && slot.is_registered) {
        store->put("keyed.servers", slot.runner->options.id, "");
    }
    slot.is_registered = false;
}

void
Deployment::kill_runner(size_t index)
{
    slots[index]->runner.reset();
    slots[index]->proxy->close_connections();
}

static std::string
route(const std::string &name, const std::string &prefix,
      const std::string &type, const std::string &service,
      const std::string &max_attempts, const std::string &extra_members)
{
    return "{\"Name\":\"" + name + "\",\"Host\":\"h\",\"PathPrefix\":\"" +
           prefix + "\",\"RouteType\":\"" + type + "\",\"Service\":\"" +
           service + "\",\"TimeoutMs\":20000,\"TargetLatencyMs\":500," +
           "\"TargetGapMs\":500,\"MaxAttempts\":" + max_attempts +
           extra_members + "}";
}

void
Deployment::publish_config()
{
    config_version++;
    std::string services;
    std::set<std::string> added_services;
    for (const auto &entry : slot_service) {
        if (added_services.insert(entry.second.first).second) {
            services += std::string(services.empty() ? "" : ",") +
                        "{\"Name\":\"" + entry.second.first + "\"" +
                        (entry.second.second ? ",\"Engine\":{}" : "") + "}";
        }
    }
    std::string routes =
        route("suivi", "/s/", "idempotent", "atelier", max_attempts, "") +
        "," +
        route("commande", "/c/", "non_idempotent", "atelier", max_attempts,
              "") +
        "," +
        route("verset", "/v/", "streaming", "plume", max_attempts,
              ",\"Resumable\":true,\"Sticky\":true,"
              "\"Sizes\":[\"m0\",\"m1\"]") +
        "," +
        route("eloge", "/w/", "streaming", "plume", max_attempts,
              ",\"Sticky\":true") +
        "," +
        route("probe", "/p" + std::to_string(config_version) + "/",
              "idempotent", "atelier", max_attempts, "");
    store->put("keyed.op", "config",
               "{\"Version\":" + std::to_string(config_version) +
                   ",\"Services\":[" + services + "],\"Routes\":[" + routes +
                   "],\"Limits\":{\"MaxHeaderBytes\":16384,"
                   "\"MaxBodyBytes\":65536,\"HeaderTimeoutMs\":5000,"
                   "\"IdleTimeoutMs\":20000}}");
}

// ---- clients ----

struct Deployment::Call {
    Deployment *deployment;
    ClientResponse response;
    int64_t started_ms;
    std::function<void(const ClientResponse &)> done;
};

void
Deployment::send_request(size_t index, const ClientRequest &request,
                         std::function<void(const ClientResponse &)> done)
{
    const RouterProcess &router = routers[index];
    Call *call = new Call{this, {}, now_ms(), std::move(done)};
    bool is_state = request.path == "/state";
    call->response.request = request;
    call->response.router = index;
    std::string head =
        std::string(is_state ? "GET " : "POST ") + request.path +
        " HTTP/1.1\r\nHost: h\r\nSassafrasledge-Request-Id: " + request.id +
        "\r\nSassafrasledge-Deadline-Ms: " +
        std::to_string(request.deadline_ms) + "\r\n" + request.extra_headers;
    if (!request.model.empty()) {
        head += "Sassafrasledge-Model: " + request.model +
                "\r\nSassafrasledge-Token-Count: 200,50\r\n"
                "Sassafrasledge-Prefix-Hash: aa:150,bb:50\r\n";
    }
    if (request.last_event >= 0) {
        head +=
            "Last-Event-Id: " + std::to_string(request.last_event) + "\r\n";
    }
    if (!is_state) {
        head +=
            "Content-Length: " + std::to_string(request.unsent_body_bytes) +
            "\r\n";
    }
    const std::string &address = is_state ? router.metrics : router.frontend;
    struct sl_http_client_call_options call_options = {};
    call_options.address = view_of(address);
    call_options.peer = router.name.c_str();
    call_options.step = "ask";
    call_options.head = view_of(head);
    call_options.connect_timeout_us = 500 * Sl_US_PER_MS;
    // A client gives up when nothing arrives for its deadline plus 2.5 s.
    call_options.inactivity_timeout_us =
        (request.deadline_ms + 2500) * Sl_US_PER_MS;
    call_options.handlers = {on_head, on_chunk, on_done, call};
    pending_requests++;
    SlHttpClient_Call(client, &call_options);
}

void
Deployment::on_head(void *context, uint64_t id, const struct sl_head *head)
{
    Call *call = static_cast<Call *>(context);
    Deployment *deployment = call->deployment;
    if (call->response.request.pause_ms > 0) {
        SlHttpClient_Pause(deployment->client, id);
        deployment->scheduler.run_after(
            call->response.request.pause_ms,
            [deployment, id] { SlHttpClient_Resume(deployment->client, id); });
    }
    call->response.status = head->status;
    for (size_t i = 0; i < head->header_count; i++) {
        call->response.headers += text_of(head->headers[i].name) + ": " +
                                  text_of(head->headers[i].value) + "\n";
    }
}

void
Deployment::on_chunk(void *context, uint64_t, struct sl_str bytes)
{
    static_cast<Call *>(context)->response.body += text_of(bytes);
}

void
Deployment::on_done(void *context, uint64_t, const struct sl_error *err,
                    const struct sl_http_client_result *end)
{
    Call *call = static_cast<Call *>(context);
    call->response.is_complete = err == nullptr;
    call->response.connected = end->connected;
    call->response.duration_ms = now_ms() - call->started_ms;
    call->deployment->pending_requests--;
    call->done(call->response);
    delete call;
}
