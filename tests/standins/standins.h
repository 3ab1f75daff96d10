// Stand-ins for what stands around a router on the users' platform: the
// metadata store, runners, and a loopback proxy that harms connections. They
// speak the pages' protocols as far as routers use them. All of them run on
// one event base, so that a test sees each of their steps.
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

int64_t now_ms();

// Runs functions later, on an event base.
class Clock {
  public:
    explicit Clock(struct event_base *base);
    ~Clock();
    // Never after the clock's end. Gives a handle for cancel().
    uint64_t after(int64_t ms, std::function<void()> work);
    void cancel(uint64_t handle);

  private:
    struct Entry;
    struct event_base *base;
    uint64_t last = 0;
    std::map<uint64_t, std::unique_ptr<Entry>> entries;
    static void on_due(evutil_socket_t fd, short what, void *context);
};

// ---- store ----

// How calls to the store end, beside the usual way.
enum class StoreFault {
    none,
    silent,      // no answer
    refuse,      // 503; nothing was done
    lose_answer, // done, without an answer
};

class StoreStandin {
  public:
    StoreStandin(struct event_base *base, Clock &clock,
                 const std::string &address);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;

    // A record by another writer; without a value the key is dropped.
    void put(const std::string &topic, const std::string &key,
             const std::string &value);
    // The newest value of a key; empty when there is none.
    std::string get(const std::string &topic, const std::string &key) const;
    StoreFault fault = StoreFault::none;
    uint64_t calls = 0;

  private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Waiter {
        uint64_t conn;
        std::string topic;
        uint64_t from;
        uint64_t timer;
    };
    Clock &clock;
    struct sl_http_server *server;
    std::map<std::string, std::vector<Record>> topics;
    std::vector<Waiter> waiters;

    static void on_request(void *context, uint64_t conn,
                           const struct sl_head *head, struct sl_str body);
    static void on_disconnect(void *context, uint64_t conn);
    void serve(uint64_t conn, const std::string &path,
               const std::map<std::string, std::string> &query,
               const std::string &body);
    void answer_newest(uint64_t conn, const std::string &topic,
                       const std::string &after);
    void answer_read(uint64_t conn, const std::string &topic, uint64_t from);
    void append(uint64_t conn, const std::string &topic, const std::string &at,
                const std::string &body);
    void wake(const std::string &topic);
    void reply(uint64_t conn, int status, const std::string &body);
};

// ---- runners ----

// One start of a request at a runner.
struct Run {
    std::string request;
    std::string runner;
    std::string model;
    int64_t started_ms;
    int64_t last_event; // it resumed after this one; -1: from the start
};

// All runs, as the runners saw them.
class RunLog {
  public:
    void add(const Run &run);
    const std::vector<Run> &of(const std::string &request) const;
    size_t count() const;
    // Runs beyond the first of each request.
    size_t repeats() const;

  private:
    std::map<std::string, std::vector<Run>> runs;
    size_t total = 0;
};

enum class RunnerFault {
    none,
    full,    // refuses, not run
    failing, // runs, answers 500
    silent,  // runs, never answers
    cutting, // runs, breaks off in the middle
};

struct RunnerOptions {
    std::string id;
    std::string service;
    std::string address; // at which it listens
    std::string domain;
    std::string version = "v1";
    bool is_engine = false;
    int64_t slots = 8;
    int64_t service_ms = 20; // to the head
    int64_t gap_ms = 15;     // between events
};

// Number of events of a request's stream, its events, and its body elsewhere.
size_t stream_length(const std::string &request);
std::string stream_event(const std::string &request, size_t index);
std::string plain_body(const std::string &request);

class RunnerStandin {
  public:
    RunnerStandin(struct event_base *base, Clock &clock, RunLog &log,
                  const RunnerOptions &options);
    ~RunnerStandin();
    RunnerStandin(const RunnerStandin &) = delete;

    const RunnerOptions options;
    RunnerFault fault = RunnerFault::none;
    size_t running = 0;
    size_t started = 0; // runs in all
    // Its registration; `address` is where others reach it.
    std::string registration(const std::string &address, bool draining,
                             uint64_t sequence) const;

  private:
    struct Work;
    Clock &clock;
    RunLog &log;
    struct sl_http_server *server;
    std::map<uint64_t, std::shared_ptr<Work>> works;

    static void on_request(void *context, uint64_t conn,
                           const struct sl_head *head, struct sl_str body);
    static void on_disconnect(void *context, uint64_t conn);
    void refuse(uint64_t conn, const std::string &request, int status);
    void begin(uint64_t conn);
    void next_event(uint64_t conn);
    void end(uint64_t conn);
    std::string headers(const Work &work) const;
};

// ---- proxy ----

enum class Harm {
    none,
    delay,        // each piece waits
    silence,      // nothing passes, also no end
    cut_forward,  // nothing passes towards the target
    cut_backward, // nothing passes from the target
    refuse,       // connections are closed as they come
};

class Proxy {
  public:
    Proxy(struct event_base *base, Clock &clock, const std::string &address,
          const std::string &target);
    ~Proxy();
    Proxy(const Proxy &) = delete;

    // Connections go on where they stood when the harm is over.
    void set(Harm harm, int64_t delay_ms = 0);
    // Closes every connection at once.
    void reset();

  private:
    struct Pair;
    struct event_base *base;
    Clock &clock;
    std::string target;
    Harm harm = Harm::none;
    int64_t delay_ms = 0;
    struct evconnlistener *listener;
    std::set<Pair *> pairs;

    static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                          struct sockaddr *address, int length, void *context);
    static void on_read(struct bufferevent *from, void *context);
    static void on_event(struct bufferevent *which, short what, void *context);
    static void close_pair(Pair *pair);
    bool is_cut(bool forward) const;
    void pass(Pair *pair, bool forward);
    void close_later(Pair *pair);
};

#endif
