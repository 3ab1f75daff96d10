// Reads of the platform's store.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <string>
#include <vector>

extern "C" {
#include "sl_platform.h"
}

namespace {

struct Result {
    bool done = false;
    std::vector<std::string> keys;
};

// Returns the record of a key as a read sends it.
std::string
encode_record(const std::string &key, const std::string &value)
{
    std::string record = std::string(1, (char)key.size()) + key + value;
    return std::string(3, '\0') + std::string(1, (char)record.size()) + record;
}

// Guards against a record that takes the place of another one in a page,
// because its key goes on after a NUL byte.
TEST(StoreReads, KeysAreComparedAsBytes)
{
    struct event_base *base = event_base_new();
    std::string body = std::string(16, '\0') + encode_record("i-1", "{}") +
                       encode_record(std::string("i-1\0x", 5), "{}") +
                       encode_record("i-1", "{ }");
    struct evhttp *server = evhttp_new(base);
    evhttp_set_gencb(
        server,
        [](struct evhttp_request *request, void *context) {
            auto *text = static_cast<std::string *>(context);
            struct evbuffer *out = evbuffer_new();
            evbuffer_add(out, text->data(), text->size());
            evhttp_send_reply(request, 200, "OK", out);
            evbuffer_free(out);
        },
        &body);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    struct sockaddr_in local = {};
    socklen_t len = sizeof(local);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&local,
                &len);
    struct sl_http_client_options client_options = {};
    client_options.base = base;
    struct sl_http_client *client = SlHttpClient_New(&client_options);
    Result result;
    struct sl_store_options options = {};
    options.client = client;
    options.address = SlName_Of(
        ("127.0.0.1:" + std::to_string(ntohs(local.sin_port))).c_str());
    options.on_read = [](void *context, enum sl_feed, const struct sl_error *,
                         const struct sl_store_page *page) {
        auto *at = static_cast<Result *>(context);
        at->done = true;
        for (size_t i = 0; page != nullptr && i < page->count; i++) {
            at->keys.emplace_back(page->records[i].key.ptr,
                                  page->records[i].key.len);
        }
    };
    options.context = &result;
    struct sl_store *store = SlStore_New(&options);
    SlStore_ReadFrom(store, Sl_FEED_UPSTREAMS, 0, 0);
    while (!result.done) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    ASSERT_EQ(result.keys.size(), 2u);
    EXPECT_EQ(result.keys[0], std::string("i-1\0x", 5));
    EXPECT_EQ(result.keys[1], "i-1");
    SlStore_Free(store);
    SlHttpClient_Free(client);
    evhttp_free(server);
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}

} // namespace
