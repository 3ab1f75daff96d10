// A runner: plain requests and streams, with the faults that the pages tell
// of. Answers follow from the request's id, so that callers can check them.
#include "standins.h"

#include <cstdlib>

#define SL_HEADER "Sassafrasledge-"

// ---- what requests get ----

static uint64_t
hash_of(const std::string &text)
{
    return SlHash_Mix(SlHash_Bytes(0, view_of(text)));
}

size_t
stream_length(const std::string &request)
{
    return 3 + hash_of(request) % 20;
}

std::string
stream_event(const std::string &request, size_t index)
{
    return "id: " + std::to_string(index) + "\ndata: " + request + "-" +
           std::to_string(index) + "\n\n";
}

std::string
plain_body(const std::string &request)
{
    return "answer to " + request + "\n";
}

// Sure for most requests, and for all of them with the largest model.
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
    total++;
}

const std::vector<Run> &
RunLog::of(const std::string &request) const
{
    static const std::vector<Run> none;
    auto at = runs.find(request);
    return at == runs.end() ? none : at->second;
}

size_t
RunLog::count() const
{
    return total;
}

size_t
RunLog::repeats() const
{
    return total - runs.size();
}

// ---- the runner ----

struct RunnerStandin::Work {
    std::string request;
    std::string model;
    bool is_stream;
    size_t next = 0; // event
    uint64_t timer = 0;
};

RunnerStandin::RunnerStandin(struct event_base *base, Clock &the_clock,
                             RunLog &run_log, const RunnerOptions &the_options)
    : options(the_options), clock(the_clock), log(run_log)
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
    for (auto &entry : works) {
        clock.cancel(entry.second->timer);
    }
    SlHttpServer_Free(server);
}

std::string
RunnerStandin::registration(const std::string &address, bool draining,
                            uint64_t sequence) const
{
    return "{\"Id\":\"" + options.id + "\",\"Service\":\"" + options.service +
           "\",\"Address\":\"" + address + "\",\"Zone\":\"" + options.domain +
           "\",\"Version\":\"" + options.version +
           "\",\"Slots\":" + std::to_string(options.slots) + ",\"State\":\"" +
           (draining ? "draining" : "ready") +
           "\",\"ColdLeftMs\":0,\"Sequence\":" + std::to_string(sequence) +
           "}";
}

std::string
RunnerStandin::headers(const Work &work) const
{
    return SL_HEADER "Request-Id: " + work.request +
           "\r\n" SL_HEADER "Server-Stamp: stamp-" + work.request +
           "\r\n" SL_HEADER "Runner-Load: " + std::to_string(running) + ",0," +
           std::to_string(options.slots) + "\r\n" SL_HEADER "Confidence: " +
           std::to_string(confidence_of(work.request, work.model)) + "\r\n";
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
    auto work = std::make_shared<Work>();
    work->request = header(SL_HEADER "Request-Id");
    work->model = header(SL_HEADER "Model");
    work->is_stream = runner->options.is_engine;
    std::string expected = header(SL_HEADER "Expect-Instance");
    std::string last = header("Last-Event-Id");
    if (!expected.empty() && expected != runner->options.id) {
        runner->refuse(conn, work->request, 421);
        return;
    }
    if (runner->fault == RunnerFault::full ||
        runner->running >= 2 * (size_t)runner->options.slots) {
        runner->refuse(conn, work->request, 503);
        return;
    }
    int64_t last_event =
        last.empty() ? -1 : strtoll(last.c_str(), nullptr, 10);
    runner->log.add({work->request, runner->options.id, work->model, now_ms(),
                     last_event});
    work->next = (size_t)(last_event + 1);
    runner->running++;
    runner->started++;
    runner->works[conn] = work;
    if (runner->fault != RunnerFault::silent) {
        work->timer =
            runner->clock.after(runner->options.service_ms,
                                [runner, conn] { runner->begin(conn); });
    }
}

void
RunnerStandin::on_disconnect(void *context, uint64_t conn)
{
    static_cast<RunnerStandin *>(context)->end(conn);
}

void
RunnerStandin::end(uint64_t conn)
{
    auto at = works.find(conn);
    if (at != works.end()) {
        clock.cancel(at->second->timer);
        works.erase(at);
        running--;
    }
}

void
RunnerStandin::begin(uint64_t conn)
{
    std::shared_ptr<Work> work = works[conn];
    std::string lines = headers(*work);
    if (fault == RunnerFault::failing) {
        end(conn);
        SlHttpServer_Reply(server, conn, 500, view_of(lines),
                           Sl_STR("failed\n"));
    }
    else if (fault == RunnerFault::cutting && !work->is_stream) {
        end(conn);
        SlHttpServer_AbortReply(server, conn);
    }
    else if (!work->is_stream) {
        std::string body = plain_body(work->request);
        end(conn);
        SlHttpServer_Reply(server, conn, 200, view_of(lines), view_of(body));
    }
    else {
        lines += "Content-Type: text/event-stream\r\n";
        SlHttpServer_BeginReply(server, conn, 200, view_of(lines));
        next_event(conn);
    }
}

void
RunnerStandin::next_event(uint64_t conn)
{
    std::shared_ptr<Work> work = works[conn];
    if (work->next >= stream_length(work->request)) {
        end(conn);
        SlHttpServer_EndReply(server, conn);
        return;
    }
    std::string event = stream_event(work->request, work->next);
    if (fault == RunnerFault::cutting && work->next % 3 == 2) {
        SlHttpServer_SendChunk(server, conn, view_of(event.substr(0, 5)));
        end(conn);
        SlHttpServer_AbortReply(server, conn);
        return;
    }
    work->next++;
    SlHttpServer_SendChunk(server, conn, view_of(event));
    if (works.count(conn) != 0) {
        work->timer =
            clock.after(options.gap_ms, [this, conn] { next_event(conn); });
    }
}
