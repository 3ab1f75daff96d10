// Routers, runners, consumers and relays of a small deployment on loopback.
#include "small.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <ctime>
#include <fstream>

extern "C" {
#include <glib.h>
}

#define SL_HEADER "Sassafrasledge-"

// The same ports on all machines.
static const char frontend_port[] = "8227";
static const char ready_port[] = "8220";
static const char control_port[] = "8229";
static const char store_port[] = "8223";
static const char runner_port[] = "8120";
static const char api_key[] = "n2ctnfzs989anu6wsjnb";

static struct sockaddr_storage
parse_address(const std::string &address, int *length)
{
    struct sockaddr_storage out = {};
    *length = sizeof(out);
    if (evutil_parse_sockaddr_port(address.c_str(), (struct sockaddr *)&out,
                                   length) != 0) {
        fprintf(stderr, "invalid address %s\n", address.c_str());
        exit(CASE_NOT_RUN);
    }
    return out;
}

// ---- relay ----

struct Relay::Link {
    Relay *relay;
    struct bufferevent *router_side;
    struct bufferevent *store_side;
    int64_t last_byte_ms;
    bool is_silent = false;
};

Relay::Relay(struct event_base *event_base, const std::string &address,
             const std::string &the_target)
    : base(event_base), target(the_target)
{
    int length;
    struct sockaddr_storage local = parse_address(address, &length);
    listener = evconnlistener_new_bind(
        base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&local, length);
    if (listener == nullptr) {
        fprintf(stderr, "relay: cannot listen on %s\n", address.c_str());
        exit(CASE_NOT_RUN);
    }
}

Relay::~Relay()
{
    while (!links.empty()) {
        close_link(*links.begin());
    }
    evconnlistener_free(listener);
}

void
Relay::close_link(Link *link)
{
    link->relay->links.erase(link);
    bufferevent_free(link->router_side);
    bufferevent_free(link->store_side);
    delete link;
}

void
Relay::on_accept(struct evconnlistener *, evutil_socket_t fd,
                 struct sockaddr *, int, void *context)
{
    Relay *relay = static_cast<Relay *>(context);
    int length;
    struct sockaddr_storage remote = parse_address(relay->target, &length);
    Link *link = new Link;
    link->relay = relay;
    link->last_byte_ms = now_ms();
    link->router_side =
        bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
    link->store_side =
        bufferevent_socket_new(relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
    relay->links.insert(link);
    bufferevent_setcb(link->router_side, on_read, nullptr, on_event, link);
    bufferevent_setcb(link->store_side, on_read, nullptr, on_event, link);
    if (bufferevent_socket_connect(link->store_side,
                                   (struct sockaddr *)&remote, length) != 0) {
        close_link(link);
        return;
    }
    bufferevent_enable(link->router_side, EV_READ | EV_WRITE);
    bufferevent_enable(link->store_side, EV_READ | EV_WRITE);
}

void
Relay::on_read(struct bufferevent *from, void *context)
{
    Link *link = static_cast<Link *>(context);
    struct evbuffer *input = bufferevent_get_input(from);
    if (link->is_silent) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    link->last_byte_ms = now_ms();
    link->relay->last_byte_ms = link->last_byte_ms;
    bufferevent_write_buffer(from == link->router_side ? link->store_side
                                                       : link->router_side,
                             input);
}

void
Relay::on_event(struct bufferevent *which, short what, void *context)
{
    Link *link = static_cast<Link *>(context);
    bool has_ended = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    // A silent connection does not pass on the end of the store's side.
    if (has_ended && !(link->is_silent && which == link->store_side)) {
        on_read(which, link);
        close_link(link);
    }
}

size_t
Relay::count_quiet(int64_t ms) const
{
    size_t count = 0;
    for (const Link *link : links) {
        count += now_ms() - link->last_byte_ms >= ms ? 1 : 0;
    }
    return count;
}

size_t
Relay::silence_quiet(int64_t ms)
{
    size_t count = 0;
    for (Link *link : links) {
        if (now_ms() - link->last_byte_ms >= ms) {
            link->is_silent = true;
            count++;
        }
    }
    return count;
}

// ---- runners ----

PlainRunner::PlainRunner(SmallDeployment &the_deployment,
                         const std::string &the_id,
                         const std::string &the_service,
                         const std::string &the_zone,
                         const std::string &the_address)
    : id(the_id), service(the_service), deployment(the_deployment),
      zone(the_zone), address(the_address),
      born_ms((int64_t)time(nullptr) * 1000)
{
    struct sl_http_server_options options = {};
    struct sl_error err;
    options.base = deployment.base;
    options.address = SlName_Of(address.c_str());
    options.handlers = {on_request, on_disconnect, this};
    options.limits = {65536,           1 << 20, 10 * Sl_US_PER_S,
                      5 * Sl_US_PER_S, 1 << 12, 1 << 20};
    server = SlHttpServer_New(&options, &err);
    if (server == nullptr) {
        fprintf(stderr, "runner %s: %s\n", id.c_str(), err.text);
        exit(CASE_NOT_RUN);
    }
}

PlainRunner::~PlainRunner()
{
    for (const auto &entry : timers) {
        deployment.scheduler.cancel(entry.second);
    }
    SlHttpServer_Free(server);
}

void
PlainRunner::check_in()
{
    deployment.note("check-in runner=%s state=%s", id.c_str(),
                    is_leaving ? "draining" : "ready");
    deployment.store->put(
        "keyed.servers", id,
        "{\"Id\":\"" + id + "\",\"Service\":\"" + service +
            "\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone +
            "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" +
            (is_leaving ? "draining" : "ready") +
            "\",\"ColdLeftMs\":0,\"Sequence\":" + std::to_string(++sequence) +
            ",\"born\":" + std::to_string(born_ms) + "}");
}

void
PlainRunner::on_request(void *context, uint64_t conn,
                        const struct sl_head *head, struct sl_str)
{
    PlainRunner *runner = static_cast<PlainRunner *>(context);
    SmallDeployment &deployment = runner->deployment;
    std::string request =
        text_of(SlHead_FindHeader(head, SL_HEADER "Request-Id"));
    std::string expected =
        text_of(SlHead_FindHeader(head, SL_HEADER "Expect-Instance"));
    if (!expected.empty() && expected != runner->id) {
        std::string lines = SL_HEADER "Request-Id: " + request +
                            "\r\n" SL_HEADER "Not-Executed: 1\r\n";
        SlHttpServer_Reply(runner->server, conn, 421, view_of(lines),
                           Sl_STR(""));
        return;
    }
    deployment.arrivals.push_back(
        {request, runner->id, runner->service, now_ms()});
    deployment.note("run request=%s runner=%s service=%s", request.c_str(),
                    runner->id.c_str(), runner->service.c_str());
    runner->timers[conn] =
        deployment.scheduler.run_after(20, [runner, conn, request] {
            runner->timers.erase(conn);
            runner->answer(conn, request);
        });
}

void
PlainRunner::on_disconnect(void *context, uint64_t conn)
{
    PlainRunner *runner = static_cast<PlainRunner *>(context);
    auto at = runner->timers.find(conn);
    if (at != runner->timers.end()) {
        runner->deployment.scheduler.cancel(at->second);
        runner->timers.erase(at);
    }
}

void
PlainRunner::answer(uint64_t conn, const std::string &request)
{
    std::string lines =
        SL_HEADER "Request-Id: " + request +
        "\r\n" SL_HEADER "Server-Stamp: " + id + "-" + request +
        "\r\n" SL_HEADER "Runner-Load: " + std::to_string(timers.size()) +
        ",0,6\r\n" + (is_leaving ? "Server-Leaving: 1\r\n" : "");
    std::string body = "answer to " + request + "\n";
    SlHttpServer_Reply(server, conn, 200, view_of(lines), view_of(body));
}

// ---- the deployment ----

SmallDeployment::SmallDeployment(const std::string &the_program,
                                 const std::string &the_dir,
                                 const std::string &record_path,
                                 const std::vector<std::string> &zones)
    : base(event_base_new()), scheduler(base), key(api_key),
      program(the_program), dir(the_dir),
      record(fopen(record_path.c_str(), "w")), started_ms(now_ms())
{
    struct sl_http_client_options options = {};
    options.base = base;
    client = SlHttpClient_New(&options);
    if (record == nullptr || !find_free_net()) {
        fprintf(stderr, "no record file, or no free addresses\n");
        exit(CASE_NOT_RUN);
    }
    std::string store_address = net + "200:" + store_port;
    store = std::make_unique<StoreStandin>(base, scheduler, store_address);
    for (size_t i = 0; i < zones.size(); i++) {
        routers.emplace_back();
        SmallRouter &router = routers.back();
        router.name = "edge-" + zones[i] + "-" + std::to_string(i + 1);
        router.zone = zones[i];
        router.ip = net + std::to_string(i + 1);
        router.relay = std::make_unique<Relay>(
            base, net + std::to_string(150 + i) + ":" + store_port,
            store_address);
    }
}

SmallDeployment::~SmallDeployment()
{
    for (size_t i = 0; i < routers.size(); i++) {
        kill_router(i);
    }
    SlHttpClient_Free(client);
    runners.clear();
    routers.clear();
    store.reset();
    fclose(record);
}

// Looks for 127.A.B.x with the store's port free, and takes it.
bool
SmallDeployment::find_free_net()
{
    for (int tries = 0; tries < 100; tries++) {
        int number = (int)getpid() + tries * 37;
        net = "127." + std::to_string(20 + number / 250 % 200) + "." +
              std::to_string(number % 250 + 1) + ".";
        int length;
        struct sockaddr_storage address =
            parse_address(net + "200:" + store_port, &length);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        bool is_free =
            bind(fd, (struct sockaddr *)&address, (socklen_t)length) == 0;
        close(fd);
        if (is_free) {
            return true;
        }
    }
    return false;
}

int64_t
SmallDeployment::elapsed_ms() const
{
    return now_ms() - started_ms;
}

void
SmallDeployment::note(const char *format, ...)
{
    va_list arguments;
    fprintf(record, "%7.3f ", (double)elapsed_ms() / 1000);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
}

bool
SmallDeployment::run_until(int64_t ms, const std::function<bool()> &condition)
{
    int64_t deadline_ms = now_ms() + ms;
    while (now_ms() < deadline_ms) {
        struct timeval step = {0, 5000};
        if (condition()) {
            return true;
        }
        event_base_loopexit(base, &step);
        event_base_dispatch(base);
    }
    return condition();
}

void
SmallDeployment::run_for(int64_t ms)
{
    run_until(ms, [] { return false; });
}

// ---- routers ----

void
SmallDeployment::write_settings(const SmallRouter &router)
{
    std::ofstream file(dir + "/" + router.name + ".conf", std::ios::trunc);
    std::string seeds;
    std::set<std::string> zones;
    for (size_t i = 0; i < routers.size(); i++) {
        zones.insert(routers[i].zone);
        if (i < 3) {
            seeds += (i > 0 ? "," : "") + routers[i].ip + ":" + control_port;
        }
    }
    file << "NodeName=" << router.name << "\nRole=router\nMachineClass=edge"
         << "\nServes=edge,control\nIp=" << router.ip
         << "\nZone=" << router.zone << "\nRegion=breizh\n";
    for (const std::string &zone : zones) {
        file << "Zones." << zone << "=breizh\n";
    }
    file << "Listen.Frontend=" << router.ip << ":" << frontend_port
         << "\nListen.Ready=" << router.ip << ":" << ready_port
         << "\nListen.ControlPlane=" << router.ip << ":" << control_port
         << "\nInternalPorts=7340,7355\nSeeds=" << seeds
         << "\nBootstrap=true\nLimits.MemoryMb=110\nLimits.MaxFds=4100"
         << "\nHeartbeatMs=1200\nContracts=base,drain,config,cost,retry,"
         << "recover,engine,stream,tenants,places,platform,rollout"
         << "\nBounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8"
         << "\nBounds.ConfigApplyMs=2000\nBounds.RetryBudgetRatio=0.9"
         << "\nBounds.BudgetWindowS=10\nBounds.RetryBudgetExtra=56"
         << "\nBounds.SessionS=5\nPlatform.Address=" << net
         << 150 + (&router - &routers[0]) << ":" << store_port
         << "\nPlatform.form=log\nPlatform.RecordBytes=262144\n";
}

void
SmallDeployment::start_router(size_t index)
{
    SmallRouter &router = routers[index];
    write_settings(router);
    std::string setting =
        "SASSAFRASLEDGE_SETTINGS=" + dir + "/" + router.name + ".conf";
    std::string log = dir + "/" + router.name + ".log";
    char role[] = "--role=router";
    char metrics[] = "--metrics-port=9464";
    char *argv[] = {&program[0], role, metrics, nullptr};
    char *envp[] = {&setting[0], nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    if (posix_spawn(&router.pid, program.c_str(), &actions, nullptr, argv,
                    envp) != 0) {
        fprintf(stderr, "cannot start %s\n", program.c_str());
        exit(CASE_NOT_RUN);
    }
    posix_spawn_file_actions_destroy(&actions);
    // For run.sh, which ends what is left if the case ends early.
    std::ofstream(dir + "/" + router.name + ".pid") << router.pid << "\n";
    note("start router=%s zone=%s", router.name.c_str(), router.zone.c_str());
}

void
SmallDeployment::kill_router(size_t index)
{
    SmallRouter &router = routers[index];
    if (router.pid != 0) {
        kill(router.pid, SIGKILL);
        waitpid(router.pid, nullptr, 0);
        router.pid = 0;
        unlink((dir + "/" + router.name + ".pid").c_str());
        note("kill router=%s", router.name.c_str());
    }
}

// ---- consumers ----

struct SmallDeployment::Call {
    SmallDeployment *deployment;
    bool is_ready_check;
    Answer answer;
};

void
SmallDeployment::ask(const std::string &address, const std::string &head,
                     Call *call)
{
    struct sl_http_client_call_options options = {};
    options.address = view_of(address);
    options.peer = "router";
    options.step = "ask";
    options.head = view_of(head);
    options.fresh_connection = true;
    options.connect_timeout_us = Sl_US_PER_S;
    options.inactivity_timeout_us = 5 * Sl_US_PER_S;
    options.handlers = {on_head, on_chunk, on_done, call};
    unanswered++;
    SlHttpClient_Call(client, &options);
}

bool
SmallDeployment::are_all_ready()
{
    ready_count = 0;
    for (const SmallRouter &router : routers) {
        ask(router.ip + ":" + ready_port,
            "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n",
            new Call{this, true, {}});
    }
    return run_until(1000, [this] { return unanswered == 0; }) &&
           ready_count == routers.size();
}

void
SmallDeployment::send(size_t index, const std::string &path)
{
    const SmallRouter &router = routers[index];
    std::string id = "r" + std::to_string(++request_count);
    note("sent request=%s router=%s path=%s", id.c_str(), router.name.c_str(),
         path.c_str());
    ask(router.ip + ":" + frontend_port,
        "GET " + path +
            " HTTP/1.1\r\nHost: ficu95.example\r\n" SL_HEADER "Request-Id: " +
            id + "\r\n" SL_HEADER "Deadline-Ms: 2500\r\n" SL_HEADER "Key: " +
            key + "\r\n",
        new Call{this, false, {id, index, now_ms(), 0}});
}

void
SmallDeployment::on_head(void *context, uint64_t, const struct sl_head *head)
{
    static_cast<Call *>(context)->answer.status = head->status;
}

void
SmallDeployment::on_chunk(void *, uint64_t, struct sl_str)
{
}

void
SmallDeployment::on_done(void *context, uint64_t, const struct sl_error *err,
                         const struct sl_http_client_result *)
{
    Call *call = static_cast<Call *>(context);
    SmallDeployment *deployment = call->deployment;
    deployment->unanswered--;
    if (call->is_ready_check) {
        deployment->ready_count += call->answer.status == 200 ? 1 : 0;
    }
    else {
        deployment->answers.push_back(call->answer);
        deployment->note("answered request=%s status=%d whole=%d",
                         call->answer.request.c_str(), call->answer.status,
                         err == nullptr ? 1 : 0);
    }
    delete call;
}

// ---- runners and the operator ----

PlainRunner &
SmallDeployment::add_runner(const std::string &id, const std::string &service,
                            const std::string &zone)
{
    std::string address =
        net + std::to_string(100 + runners.size()) + ":" + runner_port;
    runners.push_back(
        std::make_unique<PlainRunner>(*this, id, service, zone, address));
    runners.back()->check_in();
    return *runners.back();
}

std::string
plain_route(const std::string &name, const std::string &prefix,
            const std::string &service)
{
    return "{\"Name\":\"" + name +
           "\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"" + prefix +
           "\",\"RouteType\":\"idempotent\",\"Service\":\"" + service +
           "\",\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,"
           "\"MaxAttempts\":2}";
}

void
SmallDeployment::publish(int64_t version, const std::string &routes)
{
    std::set<std::string> names;
    std::string services;
    for (const auto &runner : runners) {
        if (names.insert(runner->service).second) {
            services += std::string(services.empty() ? "" : ",") +
                        "{\"Name\":\"" + runner->service +
                        "\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}";
        }
    }
    std::string tenants =
        has_tenant ? std::string("{\"Name\":\"hule930\",\"ApiKeys\":[\"") +
                         api_key + "\"]}"
                   : "";
    store->put("keyed.op", "config",
               "{\"Version\":" + std::to_string(version) + ",\"Services\":[" +
                   services + "],\"Routes\":[" + routes + "],\"Tenants\":[" +
                   tenants +
                   "],\"Limits\":{\"MaxHeaderBytes\":16384,"
                   "\"MaxBodyBytes\":1048576,\"HeaderTimeoutMs\":3000,"
                   "\"IdleTimeoutMs\":15000}}");
    note("confirmed manifest=%lld tenants=%d", (long long)version,
         has_tenant ? 1 : 0);
}
