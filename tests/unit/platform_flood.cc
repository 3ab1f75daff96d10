// Responses of the store that never end: the size that is accepted is bounded,
// the connection is closed and the call fails.
#include <gtest/gtest.h>

#include <string>

#include "flood.h"

extern "C" {
#include "sl_platform.h"
}

namespace {

class EndlessStoreResponse : public testing::TestWithParam<const char *> {
  protected:
    struct event_base *base = event_base_new();
    size_t resident = resident_bytes();
    unsigned reads = 0;
    unsigned appends = 0;
    enum sl_errno code = Sl_OK;

    ~EndlessStoreResponse() override
    {
        event_base_free(base);
    }

    static void
    on_read(void *context, enum sl_feed, const struct sl_error *err,
            const struct sl_store_page *)
    {
        auto *self = static_cast<EndlessStoreResponse *>(context);
        self->reads++;
        self->code = err == nullptr ? Sl_OK : err->code;
    }

    static void
    on_appended(void *context, uint64_t, const struct sl_error *err, bool,
                uint64_t)
    {
        auto *self = static_cast<EndlessStoreResponse *>(context);
        self->appends++;
        self->code = err == nullptr ? Sl_OK : err->code;
    }
};

TEST_P(EndlessStoreResponse, FailsTheCall)
{
    FloodSender sender("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "400\r\n" + std::string(1024, 'x') + "\r\n");
    std::string address;
    struct evconnlistener *listener =
        listen_with_sender(base, &sender, &address);
    struct sl_http_client_options client_options = {};
    client_options.base = base;
    struct sl_http_client *client = SlHttpClient_New(&client_options);
    struct sl_store_options options = {};
    options.client = client;
    options.address = SlName_Of(address.c_str());
    options.on_read = on_read;
    options.on_appended = on_appended;
    options.context = this;
    struct sl_store *store = SlStore_New(&options);
    std::string call = GetParam();
    struct sl_record record = {};
    record.type = Sl_RECORD_MEMBER;
    if (call == "newest") {
        SlStore_ReadNewest(store, Sl_FEED_OPERATORS);
    }
    else if (call == "from") {
        SlStore_ReadFrom(store, Sl_FEED_OPERATORS, 3, Sl_US_PER_S);
    }
    else {
        SlStore_Append(store, Sl_FEED_MEMBERS, 1, &record, nullptr);
    }
    run_flood(base, sender, resident, [this] { return reads + appends > 0; });
    EXPECT_EQ(reads, call == "append" ? 0u : 1u);
    EXPECT_EQ(appends, call == "append" ? 1u : 0u);
    EXPECT_NE(code, Sl_OK);
    SlStore_Free(store);
    SlHttpClient_Free(client);
    evconnlistener_free(listener);
}

INSTANTIATE_TEST_SUITE_P(Calls, EndlessStoreResponse,
                         testing::Values("newest", "from", "append"));

} // namespace
