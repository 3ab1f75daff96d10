// The agents' HTTP client.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "sl_adapters.h"
}

namespace {

struct Ends {
    int ended = 0;
    enum sl_errno code = Sl_OK;
};

// What a caller allocates for a request, and frees at its end.
struct Context {
    Ends *ends;
};

void
on_done(void *data, const struct sl_error *err,
        const struct sl_evhttp_response *)
{
    auto *context = static_cast<Context *>(data);
    context->ends->ended++;
    context->ends->code = err == nullptr ? Sl_OK : err->code;
    delete context;
}

// Guards against leaking what callers keep for their requests when a process
// exits while some are pending: a read of the log, a load report.
TEST(EvhttpClient, EndsPendingRequestsWhenItIsFreed)
{
    struct sockaddr_in local = {};
    socklen_t len = sizeof(local);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(bind(listener, (struct sockaddr *)&local, len), 0);
    ASSERT_EQ(listen(listener, 8), 0);
    getsockname(listener, (struct sockaddr *)&local, &len);
    std::string address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    struct event_base *base = event_base_new();
    struct sl_evhttp_client *client = SlEvhttpClient_New(base);
    Ends pending, cancelled;
    struct sl_evhttp_request_options options = {};
    options.address = {address.data(), address.size()};
    options.peer = "log";
    options.step = "log.read";
    options.method = "GET";
    options.path = "/x";
    options.timeout_us = 60 * Sl_US_PER_S;
    options.on_done = on_done;
    options.context = new Context{&pending};
    SlEvhttpClient_Send(client, &options);
    auto *context = new Context{&cancelled};
    options.context = context;
    uint64_t handle = SlEvhttpClient_Send(client, &options);
    event_base_loop(base, EVLOOP_ONCE);
    SlEvhttpClient_Cancel(client, handle);
    delete context;
    SlEvhttpClient_Free(client);
    EXPECT_EQ(pending.ended, 1);
    EXPECT_EQ(pending.code, Sl_ERR_LOST);
    EXPECT_EQ(cancelled.ended, 0);
    event_base_free(base);
    close(listener);
}

} // namespace
