// A runner for plain requests and streams, with the faults that the platform's
// documentation names. Responses follow from the id of the request, so that
// clients can check them.
#include "standins.h"

#include <cstdlib>

#define SL_HEADER "Sassafrasledge-"

// ---- contents of responses ----

static uint64_t
hash_of(const std::string &text)
{
    return SlHash_Mix(SlHash_Bytes(0, view_of(text)));
}

static bool
is_large(const std::string &request)
{
    return request.compare(0, 6, "large-") == 0;
}

size_t
stream_event_count(const std::string &request)
{
    return is_large(request) ? 100 : 3 + hash_of(request) % 20;
}

std::string
stream_event(const std::string &request, size_t index)
{
    std::string padding(is_large(request) ? 65536 : 0, 'x');
    return "id: " + std::to_string(index) + "\ndata: " + request + "-" +
           std::to_string(index) + padding + "\n\n";
}

std::string
plain_body(const std::string &request)
{
    const size_t large_bytes = 4000000;
    return "answer to " + request + "\n" +
           std::string(request == "large" ? large_bytes : 0, 'x');
}

// High for most requests, and for all requests to the largest model.
static int
confidence_of(const std::string &request, const std::string &model)
{
    return model == "m0" && hash_of(request) % 4 == 0 ? 20 : 90;
}

// ---- runs ----

void
RunLog::add(const Run &run)
{
    runs[run.request].push_back(run);
    run_count++;
}

void
RunLog::for_each(const std::function<void(const Run &)> &work) const
{
    for (const auto &entry : runs) {
        for (const Run &run : entry.second) {
            work(run);
        }
    }
}

const std::vector<Run> &
RunLog::runs_of(const std::string &request) const
{
    static const std::vector<Run> none;
    auto at = runs.find(request);
    return at == runs.end() ? none : at->second;
}

size_t
RunLog::count() const
{
    return run_count;
}

size_t
RunLog::retry_count() const
{
    return run_count - runs.size();
}

// ---- the runner ----

struct RunnerStandin::ActiveRun {
    std::string request;
    std::string model;
    bool is_stream;
    size_t next_event = 0; // index of the next event to send
    uint64_t timer = 0;
};

RunnerStandin::RunnerStandin(struct event_base *base, Scheduler &the_scheduler,
                             RunLog &run_log, const RunnerOptions &the_options)
    : options(the_options), scheduler(the_scheduler), log(run_log)
{
    struct sl_http_server_options server_options = {};
    struct sl_error err;
    server_options.base = base;
    server_options.address = SlName_Of(options.address.c_str());
    server_options.handlers = {on_request, on_disconnect, this};
    server_options.limits = {65536,           1 << 20, 10 * Sl_US_PER_S,
                             5 * Sl_US_PER_S, 1 << 12, 1 << 20};
    server = SlHttpServer_New(&server_options, &err);
    if (server == nullptr) {
        fprintf(stderr, "runner %s: %s\n", options.id.c_str(), err.text);
        exit(1);
    }
}

RunnerStandin::~RunnerStandin()
{
    for (auto &entry : active_runs) {
        scheduler.cancel(entry.second->timer);
    }
    SlHttpServer_Free(server);
}

std::string
RunnerStandin::registration_json(const std::string &address, bool is_draining,
                                 uint64_t sequence) const
{
    return "{\"Id\":\"" + options.id + "\",\"Service\":\"" + options.service +
           "\",\"Address\":\"" + address + "\",\"Zone\":\"" + options.domain +
           "\",\"Version\":\"" + options.version +
           "\",\"Slots\":" + std::to_string(options.slots) + ",\"State\":\"" +
           (is_draining ? "draining" : "ready") +
           "\",\"ColdLeftMs\":0,\"Sequence\":" + std::to_string(sequence) +
           "}";
}

std::string
RunnerStandin::headers(const ActiveRun &run)
{
    std::string limit;
    if (limit_per_s > 0) {
        limit = "Server-Limit: " + std::to_string(limit_per_s) + "\r\n";
        limit_stated_ms.insert({run.request, now_ms()});
    }
    return limit + SL_HEADER "Request-Id: " + run.request +
           "\r\n" SL_HEADER "Server-Stamp: stamp-" + run.request +
           "\r\n" SL_HEADER "Runner-Load: " + std::to_string(running_count) +
           ",0," + std::to_string(options.slots) +
           (options.pace_percent > 0
                ? "," + std::to_string(options.pace_percent)
                : "") +
           "\r\n" SL_HEADER "Confidence: " +
           std::to_string(confidence_of(run.request, run.model)) + "\r\n";
}

void
RunnerStandin::refuse(uint64_t conn, const std::string &request, int status)
{
    std::string lines = SL_HEADER "Request-Id: " + request +
                        "\r\n" SL_HEADER "Not-Executed: 1\r\n";
    SlHttpServer_Reply(server, conn, status, view_of(lines),
                       Sl_STR("refused\n"));
}

void
RunnerStandin::on_request(void *context, uint64_t conn,
                          const struct sl_head *head, struct sl_str)
{
    RunnerStandin *runner = static_cast<RunnerStandin *>(context);
    auto header = [head](const char *name) {
        return text_of(SlHead_FindHeader(head, name));
    };
    auto run = std::make_shared<ActiveRun>();
    run->request = header(SL_HEADER "Request-Id");
    run->model = header(SL_HEADER "Model");
    run->is_stream = runner->options.is_engine;
    std::string expected = header(SL_HEADER "Expect-Instance");
    std::string last = header("Last-Event-Id");
    if (!expected.empty() && expected != runner->options.id) {
        runner->refuse(conn, run->request, 421);
        return;
    }
    if (runner->fault == RunnerFault::refuse ||
        runner->running_count >= 2 * (size_t)runner->options.slots) {
        runner->refuse(conn, run->request, 503);
        return;
    }
    int64_t last_event =
        last.empty() ? -1 : strtoll(last.c_str(), nullptr, 10);
    runner->log.add(
        {run->request, runner->options.id, run->model, now_ms(), last_event});
    run->next_event = (size_t)(last_event + 1);
    runner->running_count++;
    runner->started_count++;
    runner->active_runs[conn] = run;
    if (runner->fault != RunnerFault::silent) {
        run->timer = runner->scheduler.run_after(
            runner->options.first_byte_ms,
            [runner, conn] { runner->send_head(conn); });
    }
}

void
RunnerStandin::on_disconnect(void *context, uint64_t conn)
{
    static_cast<RunnerStandin *>(context)->finish_run(conn);
}

void
RunnerStandin::finish_run(uint64_t conn)
{
    auto at = active_runs.find(conn);
    if (at != active_runs.end()) {
        scheduler.cancel(at->second->timer);
        active_runs.erase(at);
        running_count--;
    }
}

void
RunnerStandin::send_head(uint64_t conn)
{
    std::shared_ptr<ActiveRun> run = active_runs[conn];
    std::string lines = headers(*run);
    if (fault == RunnerFault::fail) {
        finish_run(conn);
        SlHttpServer_Reply(server, conn, 500, view_of(lines),
                           Sl_STR("failed\n"));
    }
    else if (fault == RunnerFault::truncate && !run->is_stream) {
        finish_run(conn);
        SlHttpServer_AbortReply(server, conn);
    }
    else if (!run->is_stream) {
        std::string body = plain_body(run->request);
        finish_run(conn);
        SlHttpServer_Reply(server, conn, 200, view_of(lines), view_of(body));
    }
    else {
        lines += "Content-Type: text/event-stream\r\n";
        SlHttpServer_BeginReply(server, conn, 200, view_of(lines));
        send_next_event(conn);
    }
}

void
RunnerStandin::send_next_event(uint64_t conn)
{
    std::shared_ptr<ActiveRun> run = active_runs[conn];
    if (run->next_event >= stream_event_count(run->request)) {
        finish_run(conn);
        SlHttpServer_EndReply(server, conn);
        return;
    }
    std::string event = stream_event(run->request, run->next_event);
    if (fault == RunnerFault::truncate && run->next_event % 3 == 2) {
        SlHttpServer_SendChunk(server, conn, view_of(event.substr(0, 5)));
        finish_run(conn);
        SlHttpServer_AbortReply(server, conn);
        return;
    }
    run->next_event++;
    SlHttpServer_SendChunk(server, conn, view_of(event));
    if (active_runs.count(conn) != 0) {
        run->timer =
            scheduler.run_after(options.event_interval_ms,
                                [this, conn] { send_next_event(conn); });
    }
}
