// A small deployment on loopback: routers as real processes; the store, the
// runners and a proxy before each of them in this process; callers.
#ifndef SL_DEPLOYMENT_H
#define SL_DEPLOYMENT_H

#include <sys/types.h>

#include "../standins/standins.h"

// A run uses a thousand ports of a loopback address; runs side by side need
// one each.
struct DeploymentOptions {
    std::string program; // sassafrasd
    std::string dir;     // for settings and logs
    std::string host = "127.0.0.1";
    int port = 30000;
    size_t routers = 3;
    bool log = true;
};

// What a caller asks.
struct Ask {
    std::string id;
    std::string path;
    std::string model; // empty: none
    int64_t deadline_ms = 3000;
    int64_t last_event = -1;
    std::string extra; // headers, "Name: value\r\n" lines
};

// What it got.
struct Answer {
    Ask ask;
    size_t router;
    int status = 0; // 0: no head came
    std::string headers;
    std::string body;
    bool whole = false; // ended as it should
    bool connected = false;
    int64_t took_ms = 0;
};

struct RouterProcess {
    std::string name;
    std::string domain;
    std::string frontend;
    std::string metrics;
    std::string settings; // file
    std::string log;      // file
    pid_t pid = 0;        // 0: not running
    bool paused = false;
    bool leaving = false;
    int64_t signal_ms = 0; // when it was last started or signalled
    int last_status = 0;   // of the last exit
    std::unique_ptr<Proxy> store_proxy;
};

struct RunnerSlot {
    std::string address;       // the proxy's, as registered
    std::string inner_address; // the runner's own
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<RunnerStandin> runner; // NULL: it does not run
    bool registered = false;
    bool draining = false;
    uint64_t sequence = 0;
    size_t watched = 0; // runs that it had when it was last looked at
};

class Deployment {
  public:
    struct event_base *base;
    Clock clock;
    RunLog runs;
    std::unique_ptr<StoreStandin> store;
    std::vector<RouterProcess> routers;
    std::vector<std::unique_ptr<RunnerSlot>> slots;
    int64_t config_version = 0;
    std::string attempts = "3"; // of routes that may repeat
    std::string bounds;         // lines added to settings

    explicit Deployment(const DeploymentOptions &options);
    ~Deployment();
    Deployment(const Deployment &) = delete;

    // Runs the event loop.
    void run_for(int64_t ms);
    // Runs it until the condition holds; false when `ms` have passed.
    bool run_until(int64_t ms, const std::function<bool()> &condition);

    // ---- routers ----
    void start_router(size_t index);
    void signal_router(size_t index, int signal);
    // Notices processes that have ended.
    void reap();
    std::function<void(const RouterProcess &, int)> on_exit;
    // Asks for /ready or /state of a router's metrics address.
    void get_state(size_t index, std::function<void(std::string)> done);
    bool all_ready();

    // ---- runners ----
    size_t add_slot(const std::string &service, const std::string &domain,
                    bool is_engine);
    // A new process in the slot, with a new id.
    void start_runner(size_t slot, const std::string &version = "v1");
    void register_runner(size_t slot);
    void drain_runner(size_t slot);
    void drop_runner(size_t slot); // its registration
    void kill_runner(size_t slot); // its registration stays
    void publish();                // a new version of the configuration

    // ---- callers ----
    void ask(size_t router, const Ask &ask,
             std::function<void(const Answer &)> done);
    size_t asking = 0; // without an answer yet

  private:
    struct Call;
    DeploymentOptions options;
    struct sl_http_client *client;
    int next_port;
    unsigned runner_count = 0;
    std::map<size_t, std::pair<std::string, bool>> slot_service;
    std::map<size_t, std::string> slot_domain;

    std::string new_address();
    void write_settings(const RouterProcess &router, int first_port);
    static void on_head(void *context, uint64_t call,
                        const struct sl_head *head);
    static void on_chunk(void *context, uint64_t call, struct sl_str bytes);
    static void on_done(void *context, uint64_t call,
                        const struct sl_error *err,
                        const struct sl_http_client_result *end);
};

#endif
