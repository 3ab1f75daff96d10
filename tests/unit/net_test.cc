// Tests of the HTTP server and client over loopback, in particular of what
// evhttp can't tell apart. Tests wait only for events and for the limits under
// test, never for a fixed time.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "sl_net.h"
}

static std::string
text(struct sl_str view)
{
    return view.len == 0 ? "" : std::string(view.ptr, view.len);
}

// Returns a loopback address with a free port.
static std::string
free_address()
{
    struct sockaddr_in address = {};
    socklen_t len = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(fd, (struct sockaddr *)&address, len), 0);
    EXPECT_EQ(getsockname(fd, (struct sockaddr *)&address, &len), 0);
    close(fd);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

static int
connect_to(const std::string &address)
{
    struct sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port =
        htons((uint16_t)std::stoi(address.substr(address.find(':') + 1)));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

class Net : public testing::Test {
  protected:
    struct event_base *base = event_base_new();

    ~Net() override
    {
        event_base_free(base);
    }

    // Runs the event loop until the condition holds.
    void
    run_until(const std::function<bool()> &done)
    {
        for (int i = 0; i < 20000 && !done(); i++) {
            struct timeval tick = {0, 1000};
            event_base_loopexit(base, &tick);
            event_base_dispatch(base);
        }
        ASSERT_TRUE(done());
    }
};

/* ---- server ---- */

struct received_request {
    uint64_t conn;
    std::string method, target, body;
};

class HttpServer : public Net {
  protected:
    std::vector<received_request> requests;
    std::vector<uint64_t> disconnected;
    std::string address = free_address();
    struct sl_http_server *server = nullptr;
    int fd = -1;

    void
    SetUp() override
    {
        struct sl_http_server_options options = {};
        struct sl_error err;
        options.base = base;
        options.address = SlName_Of(address.c_str());
        options.handlers = {on_request, on_disconnect, this};
        options.limits = {1024, 4096, 2 * Sl_US_PER_S, 5 * Sl_US_PER_S,
                          10,   65536};
        server = SlHttpServer_New(&options, &err);
        ASSERT_NE(server, nullptr) << err.text;
        fd = connect_to(address);
    }

    void
    TearDown() override
    {
        SlHttpServer_Free(server);
        if (fd >= 0) {
            close(fd);
        }
    }

    static void
    on_request(void *context, uint64_t conn, const struct sl_head *head,
               struct sl_str body)
    {
        auto *self = static_cast<HttpServer *>(context);
        self->requests.push_back(
            {conn, text(head->method), text(head->target), text(body)});
    }

    static void
    on_disconnect(void *context, uint64_t conn)
    {
        static_cast<HttpServer *>(context)->disconnected.push_back(conn);
    }

    void
    send_request(const std::string &bytes)
    {
        ASSERT_EQ(write(fd, bytes.data(), bytes.size()),
                  (ssize_t)bytes.size());
    }

    // Returns what the server sends up to and including `end`, or up to the
    // close of the connection, marked by "<closed>".
    std::string
    receive_until(const std::string &end)
    {
        std::string out;
        bool closed = false;
        run_until([&] {
            char buf[4096];
            ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
            if (n > 0) {
                out.append(buf, (size_t)n);
            }
            closed = n == 0 || (n < 0 && errno == ECONNRESET);
            return closed || out.find(end) != std::string::npos;
        });
        return closed ? out + "<closed>" : out;
    }

    void
    wait_for_requests(size_t count)
    {
        run_until([&] { return requests.size() >= count; });
    }
};

TEST_F(HttpServer, HandlesRequestsOfAConnectionOneByOne)
{
    send_request(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b "
        "HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for_requests(1);
    EXPECT_EQ(requests[0].body, "abc");
    SlHttpServer_Reply(server, requests[0].conn, 200, Sl_STR("X-A: 1\r\n"),
                       Sl_STR("one"));
    EXPECT_EQ(receive_until("one"),
              "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: "
              "3\r\n\r\none");
    wait_for_requests(2);
    EXPECT_EQ(requests[1].target, "/b");
}

TEST_F(HttpServer, ReadsChunkedBodies)
{
    send_request(
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        "2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n");
    wait_for_requests(1);
    EXPECT_EQ(requests[0].body, "abcde");
}

TEST_F(HttpServer, RejectsContentLengthWithChunkedEncoding)
{
    send_request("POST /a HTTP/1.1\r\nContent-Length: 6\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    EXPECT_EQ(receive_until("<never>").find("HTTP/1.1 400"), 0u);
    EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServer, RejectsTooLargeBodiesAndHeads)
{
    send_request("POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    std::string out = receive_until("<never>");
    EXPECT_EQ(out.find("HTTP/1.1 413"), 0u);
    EXPECT_NE(out.find("\"outcome\":\"not-run\""), std::string::npos);
    close(fd);
    fd = connect_to(address);
    send_request("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                 "\r\n\r\n");
    EXPECT_EQ(receive_until("<never>").find("HTTP/1.1 431"), 0u);
}

TEST_F(HttpServer, RejectsAnIncompleteHeadAfterTheTimeout)
{
    send_request("GET /a HTTP/1.1\r\nHost:");
    // The header timeout is 2 s.
    EXPECT_EQ(receive_until("<never>").find("HTTP/1.1 408"), 0u);
}

TEST_F(HttpServer, ReportsThatTheClientDisconnected)
{
    send_request("GET /a HTTP/1.1\r\n\r\n");
    wait_for_requests(1);
    close(fd);
    fd = -1;
    run_until([&] { return !disconnected.empty(); });
    EXPECT_EQ(disconnected[0], requests[0].conn);
    // A reply to a client that has disconnected is ignored.
    SlHttpServer_Reply(server, disconnected[0], 200, Sl_STR(""), Sl_STR(""));
}

TEST_F(HttpServer, StreamsChunkedResponses)
{
    send_request("GET /a HTTP/1.1\r\n\r\n");
    wait_for_requests(1);
    SlHttpServer_BeginReply(server, requests[0].conn, 200, Sl_STR(""));
    SlHttpServer_SendChunk(server, requests[0].conn, Sl_STR("abc"));
    EXPECT_EQ(receive_until("abc\r\n"),
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"
              "\r\n");
    SlHttpServer_EndReply(server, requests[0].conn);
    EXPECT_EQ(receive_until("0\r\n\r\n"), "0\r\n\r\n");
}

TEST_F(HttpServer, AbortedResponseHasNoLastChunk)
{
    send_request("GET /a HTTP/1.1\r\n\r\n");
    wait_for_requests(1);
    SlHttpServer_BeginReply(server, requests[0].conn, 200, Sl_STR(""));
    SlHttpServer_SendChunk(server, requests[0].conn, Sl_STR("abc"));
    SlHttpServer_AbortReply(server, requests[0].conn);
    std::string out = receive_until("<never>");
    EXPECT_NE(out.find("abc\r\n<closed>"), std::string::npos) << out;
}

// Guards against losing the last chunk of a response that began before the
// drain: its connection was closed as idle while bytes were still unsent.
TEST_F(HttpServer, DrainDeliversTheLastBytes)
{
    std::string body(50000, 'x');
    send_request("GET /a HTTP/1.1\r\n\r\n");
    wait_for_requests(1);
    SlHttpServer_BeginReply(server, requests[0].conn, 200, Sl_STR(""));
    SlHttpServer_Drain(server);
    SlHttpServer_StopAccepting(server);
    SlHttpServer_SendChunk(server, requests[0].conn,
                           {body.data(), body.size()});
    SlHttpServer_EndReply(server, requests[0].conn);
    SlHttpServer_CloseIdle(server);
    std::string out = receive_until("<never>");
    EXPECT_NE(out.find("x\r\n0\r\n\r\n<closed>"), std::string::npos);
    close(fd);
    fd = -1;
    run_until([&] { return SlHttpServer_ConnectionCount(server) == 0; });
}

TEST_F(HttpServer, ClosesIdleConnections)
{
    send_request("GET /a HTTP/1.1\r\n\r\n");
    wait_for_requests(1);
    SlHttpServer_CloseIdle(server); // keeps this one: it has a request
    SlHttpServer_Reply(server, requests[0].conn, 204, Sl_STR(""), Sl_STR(""));
    EXPECT_EQ(receive_until("\r\n\r\n").find("HTTP/1.1 204"), 0u);
    SlHttpServer_CloseIdle(server);
    EXPECT_EQ(receive_until("<never>"), "<closed>");
}

/* ---- client ---- */

// The client under test, and a listener that plays the upstream.
class HttpClient : public Net {
  protected:
    int listener = -1;
    std::string address;
    std::vector<int> accepted;
    struct sl_http_client *client = nullptr;
    struct result {
        int status = 0;
        std::string body;
        bool done = false;
        bool failed = false;
        struct sl_http_client_result end = {};
        enum sl_errno code = Sl_OK;
    };

    void
    SetUp() override
    {
        struct sockaddr_in at = {};
        socklen_t len = sizeof(at);
        struct sl_http_client_options options = {};
        listener = socket(AF_INET, SOCK_STREAM, 0);
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(bind(listener, (struct sockaddr *)&at, len), 0);
        ASSERT_EQ(listen(listener, 8), 0);
        getsockname(listener, (struct sockaddr *)&at, &len);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        options.base = base;
        options.max_idle_us = 10 * Sl_US_PER_S;
        options.max_idle_per_address = 2;
        client = SlHttpClient_New(&options);
    }

    void
    TearDown() override
    {
        SlHttpClient_Free(client);
        for (int fd : accepted) {
            close(fd);
        }
        close(listener);
    }

    static void
    on_head(void *context, uint64_t, const struct sl_head *head)
    {
        static_cast<result *>(context)->status = head->status;
    }

    static void
    on_chunk(void *context, uint64_t, struct sl_str bytes)
    {
        static_cast<result *>(context)->body += text(bytes);
    }

    static void
    on_done(void *context, uint64_t, const struct sl_error *err,
            const struct sl_http_client_result *end)
    {
        auto *self = static_cast<result *>(context);
        EXPECT_FALSE(self->done);
        self->done = true;
        self->failed = err != nullptr;
        self->code = err == nullptr ? Sl_OK : err->code;
        self->end = *end;
    }

    int64_t connect_timeout_us = 2 * Sl_US_PER_S;
    bool connect_only = false;

    uint64_t
    call(result *out, bool fresh = false, const char *body = "")
    {
        struct sl_http_client_call_options options = {};
        options.address = {address.data(), address.size()};
        options.peer = "u";
        options.step = "test";
        options.head = Sl_STR("GET / HTTP/1.1\r\n");
        options.body = SlStr_FromC(body);
        options.fresh_connection = fresh;
        options.connect_only = connect_only;
        options.connect_timeout_us = connect_timeout_us;
        options.echo_header = "X-Id";
        options.echo_value = Sl_STR("mine");
        options.handlers = {on_head, on_chunk, on_done, out};
        return SlHttpClient_Call(client, &options);
    }

    // Accepts the next connection and waits for its request.
    int
    accept_request()
    {
        int fd = accept(listener, nullptr, nullptr);
        EXPECT_GE(fd, 0);
        accepted.push_back(fd);
        receive_request(fd);
        return fd;
    }

    void
    receive_request(int fd)
    {
        std::string in;
        run_until([&] {
            char buf[4096];
            ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
            if (n > 0) {
                in.append(buf, (size_t)n);
            }
            return in.find("\r\n\r\n") != std::string::npos;
        });
    }

    static void
    respond(int fd, const std::string &bytes)
    {
        ASSERT_EQ(write(fd, bytes.data(), bytes.size()),
                  (ssize_t)bytes.size());
    }
};

static const char ok_response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_F(HttpClient, ReusesTheConnectionForTheNextCall)
{
    result first;
    result second;
    call(&first);
    int fd = accept_request();
    respond(fd, ok_response);
    run_until([&] { return first.done; });
    EXPECT_EQ(first.body, "ok");
    EXPECT_FALSE(first.end.reused);
    call(&second);
    receive_request(fd);
    respond(fd, ok_response);
    run_until([&] { return second.done; });
    EXPECT_TRUE(second.end.reused);
}

TEST_F(HttpClient, OpensAFreshConnectionOnRequest)
{
    result first;
    result second;
    call(&first);
    respond(accept_request(), ok_response);
    run_until([&] { return first.done; });
    call(&second, true);
    respond(accept_request(), ok_response);
    run_until([&] { return second.done; });
    EXPECT_FALSE(second.end.reused);
}

TEST_F(HttpClient, ClosesAConnectionWithBytesAfterTheResponse)
{
    result first;
    result second;
    call(&first);
    respond(accept_request(),
            std::string(ok_response) +
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    run_until([&] { return first.done; });
    EXPECT_EQ(first.body, "ok");
    call(&second);
    int fd = accept_request(); // the first connection was closed
    respond(fd, ok_response);
    run_until([&] { return second.done; });
    EXPECT_EQ(second.body, "ok");
}

TEST_F(HttpClient, SkipsTheResponseToAnotherRequest)
{
    result first;
    call(&first);
    int fd = accept_request();
    respond(fd,
            "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
            "HTTP/1.1 201 Created\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\n"
            "me");
    run_until([&] { return first.done; });
    EXPECT_EQ(first.status, 201);
    EXPECT_EQ(first.body, "me");
}

TEST_F(HttpClient, FailsIfTheOnlyResponseIsToAnotherRequest)
{
    result first;
    call(&first);
    int fd = accept_request();
    respond(fd, "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nother");
    close(fd);
    accepted.clear();
    run_until([&] { return first.done; });
    EXPECT_TRUE(first.failed);
    EXPECT_EQ(first.status, 0);
}

TEST_F(HttpClient, AcceptsAResponseEndedByClose)
{
    result first;
    call(&first);
    int fd = accept_request();
    respond(fd, "HTTP/1.1 200 OK\r\n\r\nwhole");
    shutdown(fd, SHUT_WR);
    run_until([&] { return first.done; });
    EXPECT_FALSE(first.failed);
    EXPECT_EQ(first.body, "whole");
}

TEST_F(HttpClient, FailsIfTheConnectionIsReset)
{
    result first;
    call(&first);
    int fd = accept_request();
    respond(fd, "HTTP/1.1 200 OK\r\n\r\nhalf");
    run_until([&] { return first.body == "half"; });
    struct linger reset = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd);
    accepted.clear();
    run_until([&] { return first.done; });
    EXPECT_TRUE(first.failed);
    EXPECT_EQ(first.code, Sl_ERR_LOST);
}

TEST_F(HttpClient, FailsIfTheResponseIsIncomplete)
{
    for (const char *response :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
          "HTTP/1.1 200", "", "gibberish\r\n\r\n"}) {
        result first;
        call(&first, true);
        int fd = accept_request();
        respond(fd, response);
        shutdown(fd, SHUT_WR);
        run_until([&] { return first.done; });
        EXPECT_TRUE(first.failed) << response;
        EXPECT_TRUE(first.end.connected);
    }
}

TEST_F(HttpClient, RefusedConnectionIsReportedAsNotConnected)
{
    result first;
    close(listener);
    listener = -1;
    call(&first);
    run_until([&] { return first.done; });
    EXPECT_TRUE(first.failed);
    EXPECT_FALSE(first.end.connected);
    EXPECT_EQ(first.code, Sl_ERR_UNREACHABLE);
}

// The process was busy, so that the connection is established and its timeout
// has passed when the event loop runs. A request that was sent must never be
// reported as not sent. (Found by the sweep of koudebaai-route-grown at 300
// routers: a request that may run only once ran twice.)
TEST_F(HttpClient, UsesAConnectionEstablishedBeforeTheTimeoutFires)
{
    result first;
    connect_timeout_us = 1;
    call(&first);
    usleep(20000); // libevent's clock may be as coarse as 4 ms
    event_base_loop(base, EVLOOP_ONCE);
    event_base_loop(base, EVLOOP_NONBLOCK);
    int fd = accept_request();
    EXPECT_FALSE(first.done);
    respond(fd, ok_response);
    run_until([&] { return first.done; });
    EXPECT_FALSE(first.failed);
    EXPECT_TRUE(first.end.connected);
}

// Fills the listener's accept queue, so that further SYN packets are dropped.
static std::vector<int>
fill_accept_queue(const std::string &address)
{
    std::vector<int> fds;
    struct sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port =
        htons((uint16_t)std::stoi(address.substr(address.find(':') + 1)));
    for (int i = 0; i < 16; i++) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(fd, (struct sockaddr *)&to, sizeof(to));
        fds.push_back(fd);
    }
    return fds;
}

TEST_F(HttpClient, ConnectTimeoutIsReportedAsNotConnected)
{
    result first;
    std::vector<int> fds = fill_accept_queue(address);
    connect_timeout_us = 30 * Sl_US_PER_MS;
    call(&first);
    run_until([&] { return first.done; });
    EXPECT_EQ(first.code, Sl_ERR_UNREACHABLE);
    EXPECT_FALSE(first.end.connected);
    for (int fd : fds) {
        close(fd);
    }
}

TEST_F(HttpClient, ConnectOnlyClosesTheConnection)
{
    result first;
    connect_only = true;
    call(&first);
    run_until([&] { return first.done; });
    EXPECT_FALSE(first.failed);
    EXPECT_TRUE(first.end.connected);
    int fd = accept(listener, nullptr, nullptr);
    ASSERT_GE(fd, 0);
    accepted.push_back(fd);
    char byte;
    run_until([&] { return recv(fd, &byte, 1, MSG_DONTWAIT) == 0; });
    // The connection is not reused.
    result second;
    connect_only = false;
    call(&second);
    respond(accept_request(), ok_response);
    run_until([&] { return second.done; });
    EXPECT_FALSE(second.end.reused);
}

TEST_F(HttpClient, ConnectOnlyFailsWithoutAListener)
{
    result first;
    connect_only = true;
    close(listener);
    listener = -1;
    call(&first);
    run_until([&] { return first.done; });
    EXPECT_FALSE(first.end.connected);
}

TEST_F(HttpClient, CancelledCallRunsNoHandlers)
{
    result first;
    uint64_t handle = call(&first);
    int fd = accept_request();
    SlHttpClient_Cancel(client, handle);
    run_until([&] {
        char byte;
        return recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
    });
    EXPECT_FALSE(first.done);
}

TEST_F(HttpClient, SkipsInterimResponses)
{
    result first;
    call(&first);
    respond(accept_request(),
            std::string("HTTP/1.1 100 Continue\r\n\r\n") + ok_response);
    run_until([&] { return first.done; });
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(first.body, "ok");
}
