// A small deployment on loopback for the cases of REPORT-2.md. The routers are
// real processes, started with the command of the deploy file, one on each
// address. The store (the project's stand-in), the runners, the consumers and
// a relay between each router and the store run in the process of the case.
#ifndef REVIEW_SMALL_H
#define REVIEW_SMALL_H

#include <sys/types.h>

#include <cstdio>

#include "../../tests/standins/standins.h"

// Exit codes of a case.
enum {
    CASE_HELD = 0,
    CASE_BROKEN = 1,
    CASE_NOT_RUN = 2
};

// Forwards connections of one router to the store.
class Relay {
  public:
    Relay(struct event_base *base, const std::string &address,
          const std::string &target);
    ~Relay();
    Relay(const Relay &) = delete;

    // Number of connections that have carried no byte for `ms`.
    size_t count_quiet(int64_t ms) const;
    // Silences these connections for good: they stay open, and bytes of either
    // side are dropped. Returns their number.
    size_t silence_quiet(int64_t ms);
    int64_t last_byte_ms = 0; // in either direction, on any connection

  private:
    struct Link;
    struct event_base *base;
    std::string target;
    struct evconnlistener *listener;
    std::set<Link *> links;

    static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                          struct sockaddr *address, int length, void *context);
    static void on_read(struct bufferevent *from, void *context);
    static void on_event(struct bufferevent *which, short what, void *context);
    static void close_link(Link *link);
};

// A request that a runner has received.
struct Arrival {
    std::string request;
    std::string runner;
    std::string service;
    int64_t at_ms;
};

class SmallDeployment;

// A runner of a plain service. It runs each request for 20 ms.
class PlainRunner {
  public:
    PlainRunner(SmallDeployment &deployment, const std::string &id,
                const std::string &service, const std::string &zone,
                const std::string &address);
    ~PlainRunner();
    PlainRunner(const PlainRunner &) = delete;

    const std::string id;
    const std::string service;
    bool is_leaving = false; // its answers say so
    // Writes the registration to the store.
    void check_in();

  private:
    SmallDeployment &deployment;
    std::string zone;
    std::string address;
    uint64_t sequence = 0;
    int64_t born_ms;
    struct sl_http_server *server;
    std::map<uint64_t, uint64_t> timers; // connection -> timer

    static void on_request(void *context, uint64_t conn,
                           const struct sl_head *head, struct sl_str body);
    static void on_disconnect(void *context, uint64_t conn);
    void answer(uint64_t conn, const std::string &request);
};

struct SmallRouter {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t pid = 0; // 0: not running
    std::unique_ptr<Relay> relay;
};

// What a consumer has received.
struct Answer {
    std::string request;
    size_t router;
    int64_t sent_ms;
    int status; // 0: none
};

class SmallDeployment {
  public:
    struct event_base *base;
    Scheduler scheduler;
    std::unique_ptr<StoreStandin> store;
    std::vector<SmallRouter> routers;
    std::vector<std::unique_ptr<PlainRunner>> runners;
    std::vector<Arrival> arrivals;
    std::vector<Answer> answers;
    std::string key;        // that consumers send
    bool has_tenant = true; // in the manifests that are published

    // `zones`: one of each router. `dir` holds settings and logs;
    // `record_path` gets what was sent, answered and run.
    SmallDeployment(const std::string &program, const std::string &dir,
                    const std::string &record_path,
                    const std::vector<std::string> &zones);
    ~SmallDeployment();
    SmallDeployment(const SmallDeployment &) = delete;

    // Adds a line to the record.
    void note(const char *format, ...) __attribute__((format(printf, 2, 3)));
    void run_for(int64_t ms);
    bool run_until(int64_t ms, const std::function<bool()> &condition);
    int64_t elapsed_ms() const;

    void start_router(size_t index);
    // Ends the process of the router with SIGKILL.
    void kill_router(size_t index);
    // Returns true if all routers say that they are ready. Runs the event loop
    // for up to 1 s.
    bool are_all_ready();

    // Adds a runner and checks it in.
    PlainRunner &add_runner(const std::string &id, const std::string &service,
                            const std::string &zone);
    // Writes a manifest: `routes` is the list of routes in JSON.
    void publish(int64_t version, const std::string &routes);
    // Sends a GET to a router on a new channel.
    void send(size_t router, const std::string &path);
    size_t unanswered = 0;

  private:
    struct Call;
    std::string program;
    std::string dir;
    std::string net; // the first three numbers of all addresses
    FILE *record;
    int64_t started_ms;
    struct sl_http_client *client;
    unsigned request_count = 0;
    size_t ready_count = 0;

    bool find_free_net();
    void write_settings(const SmallRouter &router);
    void ask(const std::string &address, const std::string &head, Call *call);
    static void on_head(void *context, uint64_t id,
                        const struct sl_head *head);
    static void on_chunk(void *context, uint64_t id, struct sl_str bytes);
    static void on_done(void *context, uint64_t id, const struct sl_error *err,
                        const struct sl_http_client_result *result);
};

// Returns a route of the manifest in JSON.
std::string plain_route(const std::string &name, const std::string &prefix,
                        const std::string &service);

#endif
