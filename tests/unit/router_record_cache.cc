// The cache of records that peers pull.
#include <gtest/gtest.h>

#include "router_simulation.h"

extern "C" {
#include "sl_router_internal.h"
}

// Guards against a record that replaces another one in the cache, because its
// key goes on after a NUL byte: a peer that pulls would lack the first one.
TEST(RecordCache, KeysAreComparedAsBytes)
{
    struct sl_router_options options = {};
    options.boot = 1;
    struct sl_router *router = SlRouter_New(&options);
    router->feeds[Sl_FEED_UPSTREAMS].cache = SlRecordCache_New();
    struct sl_record record = {};
    record.type = Sl_RECORD_UPSTREAM;
    record.value = Sl_STR("{}");
    record.key = Sl_STR("i-1");
    record.offset = 1;
    EXPECT_TRUE(SlRecordCache_Put(router, Sl_FEED_UPSTREAMS, &record));
    record.key = Sl_STR("i-1\0x");
    record.offset = 2;
    EXPECT_TRUE(SlRecordCache_Put(router, Sl_FEED_UPSTREAMS, &record));
    record.key = {nullptr, 0};
    record.offset = 3;
    EXPECT_TRUE(SlRecordCache_Put(router, Sl_FEED_UPSTREAMS, &record));
    EXPECT_EQ(g_hash_table_size(router->feeds[Sl_FEED_UPSTREAMS].cache), 3u);
    SlRouter_Free(router);
}
