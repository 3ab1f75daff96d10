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

// Returns the record of a key as a read sends it.
std::string
encode_record(const std::string &key, const std::string &value)
{
    std::string record = std::string(1, (char)key.size()) + key + value;
    return std::string(3, '\0') + std::string(1, (char)record.size()) + record;
}

// A client of a store that sends the same response to each call.
class StoreReads : public testing::Test {
  protected:
    // The response; without an era, it has no such header.
    int status = 200;
    std::string body;
    std::string era;

    // The result of the last read.
    bool failed = false;
    bool is_truncated = false;
    uint64_t next_offset = 0;
    std::vector<std::string> keys;
    std::vector<uint64_t> offsets;

    struct sl_store *store = nullptr;

    void
    SetUp() override
    {
        base = event_base_new();
        server = evhttp_new(base);
        evhttp_set_gencb(server, on_request, this);
        struct evhttp_bound_socket *bound =
            evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
        struct sockaddr_in local = {};
        socklen_t len = sizeof(local);
        getsockname(evhttp_bound_socket_get_fd(bound),
                    (struct sockaddr *)&local, &len);
        struct sl_http_client_options client_options = {};
        client_options.base = base;
        client = SlHttpClient_New(&client_options);
        struct sl_store_options options = {};
        options.client = client;
        options.address = SlName_Of(
            ("127.0.0.1:" + std::to_string(ntohs(local.sin_port))).c_str());
        options.on_read = on_read;
        options.context = this;
        store = SlStore_New(&options);
    }

    void
    TearDown() override
    {
        SlStore_Free(store);
        SlHttpClient_Free(client);
        evhttp_free(server);
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }

    void
    read_from(uint64_t from)
    {
        SlStore_ReadFrom(store, Sl_FEED_UPSTREAMS, from, 0);
        wait();
    }

    void
    read_newest()
    {
        SlStore_ReadNewest(store, Sl_FEED_UPSTREAMS);
        wait();
    }

  private:
    struct event_base *base = nullptr;
    struct evhttp *server = nullptr;
    struct sl_http_client *client = nullptr;
    bool is_done = false;

    void
    wait()
    {
        for (is_done = false; !is_done;) {
            event_base_loop(base, EVLOOP_ONCE);
        }
    }

    static void
    on_request(struct evhttp_request *request, void *context)
    {
        auto *reads = static_cast<StoreReads *>(context);
        struct evbuffer *out = evbuffer_new();
        evbuffer_add(out, reads->body.data(), reads->body.size());
        if (!reads->era.empty()) {
            evhttp_add_header(evhttp_request_get_output_headers(request),
                              "Store-Era", reads->era.c_str());
        }
        evhttp_send_reply(request, reads->status, "OK", out);
        evbuffer_free(out);
    }

    static void
    on_read(void *context, enum sl_feed, const struct sl_error *err,
            const struct sl_store_page *page)
    {
        auto *reads = static_cast<StoreReads *>(context);
        reads->is_done = true;
        reads->failed = err != nullptr;
        reads->keys.clear();
        reads->offsets.clear();
        if (page == nullptr) {
            return;
        }
        reads->is_truncated = page->is_truncated;
        reads->next_offset = page->next_offset;
        for (size_t i = 0; i < page->count; i++) {
            reads->keys.emplace_back(page->records[i].key.ptr,
                                     page->records[i].key.len);
            reads->offsets.push_back(page->records[i].offset);
        }
    }
};

// Guards against a record that takes the place of another one in a page,
// because its key goes on after a NUL byte.
TEST_F(StoreReads, KeysAreComparedAsBytes)
{
    body = std::string(16, '\0') + encode_record("i-1", "{}") +
           encode_record(std::string("i-1\0x", 5), "{}") +
           encode_record("i-1", "{ }");
    read_from(0);
    ASSERT_EQ(keys.size(), 2u);
    EXPECT_EQ(keys[0], std::string("i-1\0x", 5));
    EXPECT_EQ(keys[1], "i-1");
}

TEST_F(StoreReads, OffsetsHoldTheEra)
{
    body = std::string(16, '\0') + encode_record("i-1", "{}");
    read_from(7);
    EXPECT_EQ(offsets, std::vector<uint64_t>{7}); // no era is stated
    era = "0";
    read_from(7);
    EXPECT_TRUE(is_truncated);
    read_from(SlOffset_Of(1, 7));
    EXPECT_FALSE(is_truncated);
    EXPECT_EQ(offsets, std::vector<uint64_t>{SlOffset_Of(1, 7)});
    EXPECT_EQ(next_offset, SlOffset_Of(1, 8));
    era = "12";
    body = "{\"Items\":[{\"Key\":\"i-1\",\"Value\":\"e30=\",\"Offset\":3}],"
           "\"HasMore\":false,\"EndOffset\":9}";
    read_newest();
    EXPECT_EQ(offsets, std::vector<uint64_t>{SlOffset_Of(13, 3)});
    EXPECT_EQ(next_offset, SlOffset_Of(13, 9));
}

// A read that goes on in another history has lost records, whatever the store
// has at that offset now.
TEST_F(StoreReads, AreTruncatedByALaterEra)
{
    body = std::string(16, '\0') + encode_record("i-1", "{}");
    era = "5";
    read_from(SlOffset_Of(5, 2));
    EXPECT_FALSE(failed);
    EXPECT_TRUE(is_truncated);
    EXPECT_TRUE(keys.empty());
}

// A response that has waited since before the store came back says nothing.
TEST_F(StoreReads, OfAnEarlierEraFail)
{
    body = std::string(16, '\0') + encode_record("i-1", "{}");
    era = "5";
    read_from(SlOffset_Of(6, 2));
    EXPECT_FALSE(failed);
    era = "4";
    read_from(SlOffset_Of(5, 2));
    EXPECT_TRUE(failed);
    // Without the header, the response is taken for one of the present era.
    for (const char *invalid : {"", "x", "-1", "70000"}) {
        era = invalid;
        read_from(SlOffset_Of(6, 2));
        EXPECT_FALSE(failed) << invalid;
        EXPECT_EQ(offsets, std::vector<uint64_t>{SlOffset_Of(6, 2)});
    }
}

} // namespace
