// Floods: input without end that is not a valid response or request. The
// client and the server under test must close the connection at their limits,
// buffer little, and report the correct result. Each test also limits how much
// the resident size of the process may grow.
#include <gtest/gtest.h>

#include <string>

#include "flood.h"

extern "C" {
#include "sl_net.h"
}

namespace {

// ---- responses ----

// A client under test, and an upstream that responds with a flood.
class ResponseFlood : public FloodTest {
  protected:
    struct evconnlistener *listener = nullptr;
    struct sl_http_client *client = nullptr;
    FloodSender sender{GetParam().first, GetParam().repeated};
    std::string address;
    // What the call's handlers were given.
    int status = 0;
    size_t body_bytes = 0;
    bool done = false;
    bool failed = false;
    bool connected = false;

    static void
    on_head(void *context, uint64_t, const struct sl_head *head)
    {
        static_cast<ResponseFlood *>(context)->status = head->status;
    }

    static void
    on_chunk(void *context, uint64_t, struct sl_str bytes)
    {
        static_cast<ResponseFlood *>(context)->body_bytes += bytes.len;
    }

    static void
    on_done(void *context, uint64_t, const struct sl_error *err,
            const struct sl_http_client_result *result)
    {
        auto *self = static_cast<ResponseFlood *>(context);
        self->done = true;
        self->failed = err != nullptr;
        self->connected = result->connected;
    }

    void
    SetUp() override
    {
        listener = listen_with_sender(base, &sender, &address);
        struct sl_http_client_options options = {};
        options.base = base;
        options.max_idle_us = 10 * Sl_US_PER_S;
        options.max_idle_per_address = 2;
        client = SlHttpClient_New(&options);
    }

    void
    TearDown() override
    {
        SlHttpClient_Free(client);
        evconnlistener_free(listener);
    }

    void
    call()
    {
        struct sl_http_client_call_options options = {};
        options.address = {address.data(), address.size()};
        options.peer = "u";
        options.step = "test";
        options.head = Sl_STR("GET / HTTP/1.1\r\n");
        options.connect_timeout_us = 2 * Sl_US_PER_S;
        options.echo_header = "X-Id";
        options.echo_value = Sl_STR("mine");
        options.handlers = {on_head, on_chunk, on_done, this};
        SlHttpClient_Call(client, &options);
    }
};

// The flood is a malformed response, a response of which some part never ends,
// or a row of responses that the client skips.
class InvalidResponseFlood : public ResponseFlood {};

TEST_P(InvalidResponseFlood, ClosesTheConnectionAndFailsTheCall)
{
    call();
    run_flood(base, sender, resident_before, [this] { return done; });
    EXPECT_TRUE(done);
    EXPECT_TRUE(failed);
    EXPECT_TRUE(connected) << "the request may have run";
}

const char chunked[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Net, InvalidResponseFlood,
    testing::Values(
        Flood{"Garbage", "", "garbage "}, Flood{"EmptyLines", "", "\r\n"},
        Flood{"StatusLine", "HTTP/1.1 200 ", "well "},
        Flood{"HeaderName", "HTTP/1.1 200 OK\r\n", "name"},
        Flood{"HeaderLine", "HTTP/1.1 200 OK\r\nX: ", "value "},
        Flood{"Headers", "HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
        Flood{"ChunkSize", chunked, "0"},
        Flood{"ChunkExtension", std::string(chunked) + "1;", "extension"},
        Flood{"Trailers", std::string(chunked) + "1\r\nx\r\n0\r\n",
              "X: 1\r\n"},
        Flood{"TrailerLine",
              std::string(chunked) + "1\r\nx\r\n0\r\nX: ", "value "},
        Flood{"InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        Flood{"InterimHeaders", "",
              "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
        Flood{"ResponsesToOtherRequests", "",
              "HTTP/1.1 200 OK\r\nX-Id: o\r\nContent-Length: 1\r\n\r\nx"},
        Flood{"ResponseToAnotherRequest",
              "HTTP/1.1 200 OK\r\nX-Id: o\r\nTransfer-Encoding: "
              "chunked\r\n\r\n",
              "5\r\nother\r\n"},
        Flood{"UnframedResponseToAnotherRequest",
              "HTTP/1.1 200 OK\r\nX-Id: o\r\n\r\n", "other"}),
    test_name);

// The flood follows a complete response to the request.
class FloodAfterResponse : public ResponseFlood {};

TEST_P(FloodAfterResponse, ClosesTheConnectionAndKeepsTheResponse)
{
    call();
    run_flood(base, sender, resident_before, [this] { return done; });
    EXPECT_TRUE(done);
    EXPECT_FALSE(failed);
    EXPECT_EQ(status, 200);
    EXPECT_EQ(body_bytes, 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Net, FloodAfterResponse,
    testing::Values(
        Flood{"Garbage", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
              "more"},
        Flood{"Responses", "",
              "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"},
        Flood{"AfterLastChunk", std::string(chunked) + "2\r\nok\r\n0\r\n\r\n",
              "0\r\n\r\n"}),
    test_name);

// ---- requests ----

// A server under test, and a client that sends a flood.
class RequestFlood : public FloodTest {
  protected:
    struct sl_http_server *server = nullptr;
    FloodSender sender{GetParam().first, GetParam().repeated};
    unsigned requests = 0;    // calls of on_request()
    unsigned disconnects = 0; // calls of on_disconnect()

    static void
    on_request(void *context, uint64_t, const struct sl_head *, struct sl_str)
    {
        static_cast<RequestFlood *>(context)->requests++;
    }

    static void
    on_disconnect(void *context, uint64_t)
    {
        static_cast<RequestFlood *>(context)->disconnects++;
    }

    void
    SetUp() override
    {
        // Binds a socket and closes it, to find a free port for the server.
        struct sockaddr_in local = {};
        socklen_t len = sizeof(local);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(bind(fd, (struct sockaddr *)&local, len), 0);
        ASSERT_EQ(getsockname(fd, (struct sockaddr *)&local, &len), 0);
        close(fd);
        std::string address =
            "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        struct sl_http_server_options options = {};
        struct sl_error err;
        options.base = base;
        options.address = SlName_Of(address.c_str());
        options.handlers = {on_request, on_disconnect, this};
        options.limits.max_header_bytes = 16384;
        options.limits.max_body_bytes = 65536;
        options.limits.header_timeout_us = 2 * Sl_US_PER_S;
        options.limits.idle_timeout_us = 5 * Sl_US_PER_S;
        options.limits.max_connections = 10;
        options.limits.max_unsent_bytes = 65536;
        server = SlHttpServer_New(&options, &err);
        ASSERT_NE(server, nullptr) << err.text;
        fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(connect(fd, (struct sockaddr *)&local, sizeof(local)), 0);
        sender.attach(base, fd);
    }

    void
    TearDown() override
    {
        SlHttpServer_Free(server);
    }
};

TEST_P(RequestFlood, RejectsTheRequestAndCloses)
{
    sender.start();
    run_flood(base, sender, resident_before, [] { return true; });
    EXPECT_EQ(requests, 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Net, RequestFlood,
    testing::Values(
        Flood{"Garbage", "", "garbage "}, Flood{"EmptyLines", "", "\r\n"},
        Flood{"Target", "GET /", "long"},
        Flood{"HeaderLine", "GET / HTTP/1.1\r\nX: ", "value "},
        Flood{"Headers", "GET / HTTP/1.1\r\n", "X: 1\r\n"},
        Flood{"Body", "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
              "body"},
        Flood{"Chunks",
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
              "4\r\nbody\r\n"},
        Flood{"ChunkSize",
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        Flood{"ChunkExtension",
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
        Flood{"Trailers",
              "POST / HTTP/1.1\r\nTransfer-Encoding: "
              "chunked\r\n\r\n1\r\nx\r\n0\r\n",
              "X: 1\r\n"}),
    test_name);

// The flood follows a complete request.
class PipelinedRequestFlood : public RequestFlood {};

// While the response to a request is not complete, the server must leave what
// the client sends after that request in the socket buffer.
TEST_P(PipelinedRequestFlood, StaysInTheSocketBuffer)
{
    sender.start();
    for (int i = 0; i < 400; i++) {
        struct timeval tick = {0, 1000};
        event_base_loopexit(base, &tick);
        event_base_dispatch(base);
    }
    EXPECT_EQ(requests, 1u);
    EXPECT_LT(sender.sent, max_flood_bytes);
    EXPECT_LT(resident_bytes(), resident_before + max_resident_growth);
}

INSTANTIATE_TEST_SUITE_P(
    Net, PipelinedRequestFlood,
    testing::Values(Flood{"Requests", "", "GET / HTTP/1.1\r\n\r\n"},
                    Flood{"GarbageAfterRequest", "GET / HTTP/1.1\r\n\r\n",
                          "garbage "}),
    test_name);

} // namespace
