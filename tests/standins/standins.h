// Stand-ins for the external services of a router: the platform's metadata
// store and runners, the servers that execute requests. A loopback proxy
// injects faults into connections. The stand-ins implement the platform's
// protocols as far as routers use them. All of them run on one event base, in
// the process of the test, so that the test observes each step.
#ifndef SL_STANDINS_H
#define SL_STANDINS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "sl_net.h"
}

inline std::string
text_of(struct sl_str view)
{
    return view.len == 0 ? std::string() : std::string(view.ptr, view.len);
}

inline struct sl_str
view_of(const std::string &text)
{
    return {text.data(), text.size()};
}

// Monotonic time in milliseconds.
int64_t now_ms();

// Runs functions after a delay, on an event base.
class Scheduler {
  public:
    explicit Scheduler(struct event_base *base);
    ~Scheduler();
    // Runs `work` after `ms` milliseconds, unless it is cancelled or the
    // scheduler is destroyed before. Returns a handle for cancel().
    uint64_t run_after(int64_t ms, std::function<void()> work);
    // Has no effect if the work has started already.
    void cancel(uint64_t handle);

  private:
    struct Timer;
    struct event_base *base;
    uint64_t last_handle = 0;
    std::map<uint64_t, std::unique_ptr<Timer>> timers;
    static void on_due(evutil_socket_t fd, short what, void *context);
};

// ---- store ----

// Faults of the store. Each applies to all calls while it is set.
enum class StoreFault {
    none,
    silent,        // sends no response
    refuse,        // responds with 503 and does nothing
    lose_response, // appends the records, but sends no response
};

// The metadata store: topics of records, each with a key.
class StoreStandin {
  public:
    StoreStandin(struct event_base *base, Scheduler &scheduler,
                 const std::string &address);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;

    // Appends a record as a writer other than the routers. An empty value
    // deletes the key.
    void put(const std::string &topic, const std::string &key,
             const std::string &value);
    // Returns the newest value of a key, or an empty string.
    std::string get(const std::string &topic, const std::string &key) const;
    // Takes a copy of all topics, and goes back to it: what was written since
    // is gone, its offsets are given out again, and the era rises by one.
    void save_copy();
    // Returns the keys whose newest records are lost, with their values.
    std::map<std::string, std::map<std::string, std::string>> restore_copy();
    StoreFault fault = StoreFault::none;
    uint64_t calls = 0; // requests received
    uint64_t era = 0;   // that all responses state; 0: none

  private:
    struct Record {
        std::string key;
        std::string value;
    };
    // A read that waits for the next record.
    struct WaitingRead {
        uint64_t conn;
        std::string topic;
        uint64_t from_offset;
        uint64_t timer;
    };
    Scheduler &scheduler;
    struct sl_http_server *server;
    std::map<std::string, std::vector<Record>> topics;
    std::map<std::string, std::vector<Record>> copy;
    std::vector<WaitingRead> waiting_reads;

    static void on_request(void *context, uint64_t conn,
                           const struct sl_head *head, struct sl_str body);
    static void on_disconnect(void *context, uint64_t conn);
    void handle_request(uint64_t conn, const std::string &path,
                        const std::map<std::string, std::string> &query,
                        const std::string &body);
    void reply_newest(uint64_t conn, const std::string &topic,
                      const std::string &after_key);
    void reply_records(uint64_t conn, const std::string &topic,
                       uint64_t from_offset);
    void append(uint64_t conn, const std::string &topic,
                const std::string &expected_offset, const std::string &body);
    void complete_waiting_reads(const std::string &topic);
    void reply(uint64_t conn, int status, const std::string &body);
};

// ---- runners ----

// One execution of a request at a runner.
struct Run {
    std::string request; // id
    std::string runner;  // id
    std::string model;
    int64_t started_ms;
    int64_t last_event; // the stream resumes after this event; -1: it starts
};

// All runs at all runners.
class RunLog {
  public:
    void add(const Run &run);
    // Calls it with each run.
    void for_each(const std::function<void(const Run &)> &work) const;
    const std::vector<Run> &runs_of(const std::string &request) const;
    size_t count() const;
    // Number of runs without the first of each request.
    size_t retry_count() const;

  private:
    std::map<std::string, std::vector<Run>> runs;
    size_t run_count = 0;
};

// Faults of a runner.
enum class RunnerFault {
    none,
    refuse,   // responds with 503 and does not run the request
    fail,     // runs the request and responds with 500
    silent,   // runs the request and sends no response
    truncate, // runs the request and closes the connection before the end
};

struct RunnerOptions {
    std::string id;
    std::string service;
    std::string address; // listen address
    std::string domain;
    std::string version = "v1";
    bool is_engine = false;
    int64_t slots = 8;              // requests at once, as it registers
    int64_t first_byte_ms = 20;     // from the request to the response head
    int64_t event_interval_ms = 15; // between the events of a stream
    // States in its responses how long work takes there, in per cent of the
    // usual time; 0: it does not.
    int64_t pace_percent = 0;
};

// Number of events in the stream of a request; those whose id begins with
// "large-" have 100 events of 64 KiB.
size_t stream_event_count(const std::string &request);
// Text of one of these events, as sent.
std::string stream_event(const std::string &request, size_t index);
// Body of the response to a request that is not a stream; 4 MB for the id
// "large".
std::string plain_body(const std::string &request);

// A runner. What it responds follows from the id of the request.
class RunnerStandin {
  public:
    RunnerStandin(struct event_base *base, Scheduler &scheduler, RunLog &log,
                  const RunnerOptions &options);
    ~RunnerStandin();
    RunnerStandin(const RunnerStandin &) = delete;

    const RunnerOptions options;
    RunnerFault fault = RunnerFault::none;
    size_t running_count = 0; // now
    size_t started_count = 0; // since it was created
    // Requests a second that it states as its limit; 0: none.
    double limit_per_s = 0;
    // Request -> when the head of its response, with a limit, was sent.
    std::map<std::string, int64_t> limit_stated_ms;
    // The runner's registration record. `address` is the one that routers
    // connect to.
    std::string registration_json(const std::string &address, bool is_draining,
                                  uint64_t sequence) const;

  private:
    struct ActiveRun;
    Scheduler &scheduler;
    RunLog &log;
    struct sl_http_server *server;
    std::map<uint64_t, std::shared_ptr<ActiveRun>> active_runs;

    static void on_request(void *context, uint64_t conn,
                           const struct sl_head *head, struct sl_str body);
    static void on_disconnect(void *context, uint64_t conn);
    void refuse(uint64_t conn, const std::string &request, int status);
    void send_head(uint64_t conn);
    void send_next_event(uint64_t conn);
    void finish_run(uint64_t conn);
    std::string headers(const ActiveRun &run);
};

// ---- proxy ----

// Faults of a proxy's connections.
enum class LinkFault {
    none,
    delay,              // data arrives after a delay
    partition,          // neither data nor a close arrives
    partition_forward,  // no data arrives at the target
    partition_backward, // no data arrives at the client
    refuse,             // new connections are closed at once
};

// Forwards connections between clients and one target.
class Proxy {
  public:
    Proxy(struct event_base *base, Scheduler &scheduler,
          const std::string &address, const std::string &target);
    ~Proxy();
    Proxy(const Proxy &) = delete;

    // Sets the fault of all connections. Data that a partition has held back
    // is delivered when the fault is cleared. `new_delay_ms` applies to
    // LinkFault::delay.
    void set_fault(LinkFault new_fault, int64_t new_delay_ms = 0);
    // Closes all connections and drops their data.
    void close_connections();

  private:
    struct Connection;
    struct event_base *base;
    Scheduler &scheduler;
    std::string target;
    LinkFault fault = LinkFault::none;
    int64_t delay_ms = 0;
    struct evconnlistener *listener;
    std::set<Connection *> connections;

    static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                          struct sockaddr *address, int length, void *context);
    static void on_read(struct bufferevent *from, void *context);
    static void on_event(struct bufferevent *which, short what, void *context);
    static void close_connection(Connection *connection);
    bool is_blocked(bool is_forward) const;
    void send_due(Connection *connection, bool is_forward);
    void close_when_flushed(Connection *connection);
};

#endif
