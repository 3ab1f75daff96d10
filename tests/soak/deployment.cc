// A small deployment on loopback.
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
    : base(event_base_new()), clock(base), options(the_options),
      next_port(the_options.port)
{
    struct sl_http_client_options client_options = {};
    client_options.base = base;
    // Callers keep their connections as long as they may.
    client_options.max_idle_us = 60 * Sl_US_PER_S;
    client_options.max_idle_per_address = 8;
    client = SlHttpClient_New(&client_options);
    std::string store_address = new_address();
    store = std::make_unique<StoreStandin>(base, clock, store_address);
    for (size_t i = 0; i < options.routers; i++) {
        routers.emplace_back();
        RouterProcess &router = routers.back();
        router.name = "e" + std::to_string(i + 1);
        router.domain = domains[i % 2];
        router.frontend = new_address();
        router.metrics = new_address();
        router.settings = options.dir + "/" + router.name + ".conf";
        router.log = options.dir + "/" + router.name + ".log";
        std::string proxy = new_address();
        router.store_proxy =
            std::make_unique<Proxy>(base, clock, proxy, store_address);
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
    int64_t end = now_ms() + ms;
    while (now_ms() < end) {
        if (condition()) {
            return true;
        }
        struct timeval step = {0, 10000};
        event_base_loopexit(base, &step);
        event_base_dispatch(base);
        reap();
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
    std::ofstream file(router.settings, std::ios::trunc);
    int port = atoi(port_of(router.frontend).c_str());
    file << "NodeName=" << router.name << "\nZone=" << router.domain
         << "\nRegion=breizh\nZones.brest=breizh\nZones.quimper=breizh"
         << "\nIp=" << options.host << "\nListen.Frontend="
         << router.frontend
         // Two ports after the frontend: the store's proxy, then ours.
         << "\nListen.Ready=" << options.host << ":" << port + 500
         << "\nInternalPorts=" << first_port << "," << first_port + 9
         << "\nPlatform.Address=" << options.host << ":" << port + 2
         << "\nLimits.MaxFds=1024\nHeartbeatMs=1000\nBounds.DrainMs=1000"
         << "\nBounds.GraceS=5\nBounds.RetryBudgetRatio=0.05"
         << "\nBounds.RetryBudgetExtra=10\nBounds.BudgetWindowS=5"
         << "\nBounds.SessionS=1\nBounds.ExposureShare=0.15"
         << "\nBounds.ExposureSlack=30\nBounds.RollbackMs=5000\n"
         << bounds;
}

void
Deployment::start_router(size_t index)
{
    RouterProcess &router = routers[index];
    write_settings(router, options.port + 700 + (int)index * 10);
    std::string metrics = "--metrics-port=" + port_of(router.metrics);
    std::vector<std::string> words = {options.program, "--role=router",
                                      metrics};
    if (!options.log) {
        words.push_back("--quiet");
    }
    std::vector<char *> argv;
    for (std::string &word : words) {
        argv.push_back(&word[0]);
    }
    argv.push_back(nullptr);
    std::string setting = "SASSAFRASLEDGE_SETTINGS=" + router.settings;
    std::vector<char *> envp = {&setting[0], nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, router.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, 2,
                                     (router.log + ".err").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    // Our own sockets are not the router's.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    if (posix_spawn(&router.pid, options.program.c_str(), &actions, nullptr,
                    argv.data(), envp.data()) != 0) {
        fprintf(stderr, "cannot start %s\n", options.program.c_str());
        exit(1);
    }
    posix_spawn_file_actions_destroy(&actions);
    router.signal_ms = now_ms();
    router.paused = false;
    router.leaving = false;
}

void
Deployment::signal_router(size_t index, int signal)
{
    RouterProcess &router = routers[index];
    if (router.pid == 0) {
        return;
    }
    kill(router.pid, signal);
    router.signal_ms = now_ms();
    router.paused = signal == SIGSTOP   ? true
                    : signal == SIGCONT ? false
                                        : router.paused;
    router.leaving = router.leaving || signal == SIGTERM;
}

void
Deployment::reap()
{
    for (RouterProcess &router : routers) {
        int status;
        if (router.pid != 0 &&
            waitpid(router.pid, &status, WNOHANG) == router.pid) {
            router.pid = 0;
            router.last_status = status;
            if (on_exit) {
                on_exit(router, status);
            }
        }
    }
}

void
Deployment::get_state(size_t index, std::function<void(std::string)> done)
{
    Ask question;
    question.id = "state";
    question.path = "/state";
    ask(index, question, [done](const Answer &answer) {
        done(answer.status == 200 && answer.whole ? answer.body : "");
    });
}

bool
Deployment::all_ready()
{
    size_t ready = 0;
    size_t left = routers.size();
    for (size_t i = 0; i < routers.size(); i++) {
        get_state(i, [&ready, &left](const std::string &state) {
            ready += state.find("\"ready\":1") != std::string::npos ? 1 : 0;
            left--;
        });
    }
    int64_t end = now_ms() + 2000;
    while (left > 0 && now_ms() < end) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    return ready == routers.size();
}

// ---- runners ----

size_t
Deployment::add_slot(const std::string &service, const std::string &domain,
                     bool is_engine)
{
    auto slot = std::make_unique<RunnerSlot>();
    slot->address = new_address();
    slot->inner_address = new_address();
    slot->proxy = std::make_unique<Proxy>(base, clock, slot->address,
                                          slot->inner_address);
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
    runner.address = slot.inner_address;
    runner.domain = slot_domain[index];
    runner.version = version;
    slot.runner.reset();
    slot.runner = std::make_unique<RunnerStandin>(base, clock, runs, runner);
    slot.draining = false;
}

void
Deployment::register_runner(size_t index)
{
    RunnerSlot &slot = *slots[index];
    if (slot.runner != nullptr) {
        slot.registered = true;
        store->put("keyed.servers", slot.runner->options.id,
                   slot.runner->registration(slot.address, slot.draining,
                                             ++slot.sequence));
    }
}

void
Deployment::drain_runner(size_t index)
{
    slots[index]->draining = true;
    register_runner(index);
}

void
Deployment::drop_runner(size_t index)
{
    RunnerSlot &slot = *slots[index];
    if (slot.runner != nullptr && slot.registered) {
        store->put("keyed.servers", slot.runner->options.id, "");
    }
    slot.registered = false;
}

void
Deployment::kill_runner(size_t index)
{
    slots[index]->runner.reset();
    slots[index]->proxy->reset();
}

static std::string
route(const std::string &name, const std::string &prefix,
      const std::string &type, const std::string &service,
      const std::string &attempts, const std::string &more)
{
    return "{\"Name\":\"" + name + "\",\"Host\":\"h\",\"PathPrefix\":\"" +
           prefix + "\",\"RouteType\":\"" + type + "\",\"Service\":\"" +
           service + "\",\"TimeoutMs\":20000,\"TargetLatencyMs\":500," +
           "\"TargetGapMs\":500,\"MaxAttempts\":" + attempts + more + "}";
}

void
Deployment::publish()
{
    config_version++;
    std::string services;
    std::set<std::string> named;
    for (const auto &entry : slot_service) {
        if (named.insert(entry.second.first).second) {
            services += std::string(services.empty() ? "" : ",") +
                        "{\"Name\":\"" + entry.second.first + "\"" +
                        (entry.second.second ? ",\"Engine\":{}" : "") + "}";
        }
    }
    std::string routes =
        route("suivi", "/s/", "idempotent", "atelier", attempts, "") + "," +
        route("commande", "/c/", "non_idempotent", "atelier", attempts, "") +
        "," +
        route("verset", "/v/", "streaming", "plume", attempts,
              ",\"Resumable\":true,\"Sticky\":true,"
              "\"Sizes\":[\"m0\",\"m1\"]") +
        "," +
        route("eloge", "/w/", "streaming", "plume", attempts,
              ",\"Sticky\":true") +
        "," +
        route("probe", "/p" + std::to_string(config_version) + "/",
              "idempotent", "atelier", attempts, "");
    store->put("keyed.op", "config",
               "{\"Version\":" + std::to_string(config_version) +
                   ",\"Services\":[" + services + "],\"Routes\":[" + routes +
                   "],\"Limits\":{\"MaxHeaderBytes\":16384,"
                   "\"MaxBodyBytes\":65536,\"HeaderTimeoutMs\":5000,"
                   "\"IdleTimeoutMs\":20000}}");
}

// ---- callers ----

struct Deployment::Call {
    Deployment *deployment;
    Answer answer;
    int64_t started_ms;
    std::function<void(const Answer &)> done;
};

void
Deployment::ask(size_t index, const Ask &question,
                std::function<void(const Answer &)> done)
{
    const RouterProcess &router = routers[index];
    Call *call = new Call{this, {}, now_ms(), std::move(done)};
    bool is_state = question.path == "/state";
    call->answer.ask = question;
    call->answer.router = index;
    std::string head =
        std::string(is_state ? "GET " : "POST ") + question.path +
        " HTTP/1.1\r\nHost: h\r\nSassafrasledge-Request-Id: " + question.id +
        "\r\nSassafrasledge-Deadline-Ms: " +
        std::to_string(question.deadline_ms) + "\r\n" + question.extra;
    if (!question.model.empty()) {
        head += "Sassafrasledge-Model: " + question.model +
                "\r\nSassafrasledge-Token-Count: 200,50\r\n"
                "Sassafrasledge-Prefix-Hash: aa:150,bb:50\r\n";
    }
    if (question.last_event >= 0) {
        head +=
            "Last-Event-Id: " + std::to_string(question.last_event) + "\r\n";
    }
    if (!is_state) {
        head += "Content-Length: 0\r\n";
    }
    const std::string &address = is_state ? router.metrics : router.frontend;
    struct sl_http_client_call_options call_options = {};
    call_options.address = view_of(address);
    call_options.peer = router.name.c_str();
    call_options.step = "ask";
    call_options.head = view_of(head);
    call_options.connect_timeout_us = 500 * Sl_US_PER_MS;
    // A caller leaves a little after its deadline.
    call_options.inactivity_timeout_us =
        (question.deadline_ms + 2500) * Sl_US_PER_MS;
    call_options.handlers = {on_head, on_chunk, on_done, call};
    asking++;
    SlHttpClient_Call(client, &call_options);
}

void
Deployment::on_head(void *context, uint64_t, const struct sl_head *head)
{
    Call *call = static_cast<Call *>(context);
    call->answer.status = head->status;
    for (size_t i = 0; i < head->header_count; i++) {
        call->answer.headers += text_of(head->headers[i].name) + ": " +
                                text_of(head->headers[i].value) + "\n";
    }
}

void
Deployment::on_chunk(void *context, uint64_t, struct sl_str bytes)
{
    static_cast<Call *>(context)->answer.body += text_of(bytes);
}

void
Deployment::on_done(void *context, uint64_t, const struct sl_error *err,
                    const struct sl_http_client_result *end)
{
    Call *call = static_cast<Call *>(context);
    call->answer.whole = err == nullptr;
    call->answer.connected = end->connected;
    call->answer.took_ms = now_ms() - call->started_ms;
    call->deployment->asking--;
    call->done(call->answer);
    delete call;
}
