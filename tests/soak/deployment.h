// A small deployment on loopback. The routers are real processes. The store,
// the runners, the clients, a proxy in front of each runner, and a proxy
// between each router and the store run in the process of the test.
#ifndef SL_DEPLOYMENT_H
#define SL_DEPLOYMENT_H

#include <sys/types.h>

#include "../standins/standins.h"

// A deployment uses 1000 ports of a loopback address, from `port` on. Programs
// that run at the same time need one address each.
struct DeploymentOptions {
    std::string program; // path of sassafrasd
    std::string dir;     // directory for settings files and logs
    std::string host = "127.0.0.1";
    int port = 30000;
    size_t routers = 3;
    bool writes_log = true; // false: routers run with --quiet
};

// A client's request.
struct ClientRequest {
    std::string id;
    std::string path;
    std::string model; // empty: no model header
    int64_t deadline_ms = 3000;
    int64_t last_event = -1;      // Last-Event-Id; -1: no such header
    std::string extra_headers;    // lines "Name: value\r\n"
    size_t unsent_body_bytes = 0; // of a body that is announced, never sent
    int64_t pause_ms = 0; // after the head, the client reads nothing for this
};

// What the client received.
struct ClientResponse {
    ClientRequest request;
    size_t router;  // index
    int status = 0; // 0: no response head arrived
    std::string headers;
    std::string body;
    bool is_complete = false; // the end of the response arrived
    bool connected = false;   // the connection to the router was set up
    int64_t duration_ms = 0;  // until the end of the response
};

// A router and its process, if it runs.
struct RouterProcess {
    std::string name;
    std::string domain;
    std::string frontend; // address for requests of clients
    std::string metrics;  // address for /state and metrics
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0; // 0: not running
    bool is_paused = false;
    bool is_draining = false;
    int64_t last_signal_ms = 0; // when it was last started or sent a signal
    int exit_status = 0;        // of the last exit, as from waitpid()
    std::unique_ptr<Proxy> store_proxy; // between the router and the store
};

// A place for a runner: its addresses stay when the runner is replaced.
struct RunnerSlot {
    std::string address;        // of the proxy; the one that is registered
    std::string runner_address; // listen address of the runner
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<RunnerStandin> runner; // null: not running
    bool is_registered = false;
    bool is_draining = false;
    uint64_t sequence = 0;   // of the last registration
    size_t checked_runs = 0; // started runs at the last check; 0: none yet
};

class Deployment {
  public:
    struct event_base *base;
    Scheduler scheduler;
    RunLog runs;
    std::unique_ptr<StoreStandin> store;
    std::vector<RouterProcess> routers;
    std::vector<std::unique_ptr<RunnerSlot>> slots;
    int64_t config_version = 0;
    std::string max_attempts = "3"; // of every route
    std::string extra_settings;     // lines added to the settings files
    // Every third runner takes twice as long as the others, and all state
    // their paces.
    bool has_unequal_paces = false;

    explicit Deployment(const DeploymentOptions &options);
    ~Deployment();
    Deployment(const Deployment &) = delete;

    // Runs the event loop for `ms` milliseconds.
    void run_for(int64_t ms);
    // Runs the event loop until the condition holds. Returns false if it does
    // not hold after `ms` milliseconds.
    bool run_until(int64_t ms, const std::function<bool()> &condition);

    // ---- routers ----
    // Writes the settings file of a router and starts its process.
    void start_router(size_t index);
    // Does nothing if the router does not run.
    void signal_router(size_t index, int signal);
    // Collects the exit status of processes that have ended, and calls
    // on_exit.
    void reap_routers();
    // Called with the exit status of each process, as from waitpid().
    std::function<void(const RouterProcess &, int)> on_exit;
    // Fetches /state from a router's metrics address. `done` gets an empty
    // string if that fails.
    void fetch_state(size_t index, std::function<void(std::string)> done);
    // Fetches the state of all routers, and returns whether each one is ready.
    // Runs the event loop for up to 2 s.
    bool are_all_ready();

    // ---- runners ----
    // Adds a slot without a runner, and returns its index. Services with
    // `is_engine` respond with streams.
    size_t add_slot(const std::string &service, const std::string &domain,
                    bool is_engine);
    // Replaces the runner of the slot by a new one with a new id, which is not
    // registered yet.
    void start_runner(size_t slot, const std::string &version = "v1");
    // Writes the registration of the slot's runner to the store.
    void register_runner(size_t slot);
    // Registers the runner again, as draining.
    void drain_runner(size_t slot);
    // Deletes the registration; the runner goes on.
    void deregister_runner(size_t slot);
    // Stops the runner; its registration stays.
    void kill_runner(size_t slot);
    // Writes a new version of the configuration to the store.
    void publish_config();

    // ---- clients ----
    // Sends a request to a router. `done` is called once, when the response
    // has ended or failed.
    void send_request(size_t router, const ClientRequest &request,
                      std::function<void(const ClientResponse &)> done);
    size_t pending_requests = 0; // requests without a response yet

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
