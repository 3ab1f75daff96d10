// Splitting of streams of server-sent events that arrive in chunks of any
// size.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "sl_router_internal.h"
}

namespace {

// Id and text of each event.
using Events = std::vector<std::pair<std::string, std::string>>;

// Returns the events of a stream that is appended in chunks of random size, at
// most `max_len` bytes. Consumes the events after each chunk, or never.
Events
split(const std::string &text, size_t max_len, bool consumes, uint64_t seed)
{
    struct sl_event_splitter splitter = {};
    struct sl_random random = {seed};
    Events events;
    size_t offset = 0;
    for (size_t appended = 0; appended < text.size();) {
        size_t len = 1 + SlRandom_Below(&random, (uint32_t)max_len);
        len = std::min(len, text.size() - appended);
        SlEventSplitter_Append(&splitter, {text.data() + appended, len});
        appended += len;
        struct sl_str event;
        struct sl_str id;
        while (SlEventSplitter_Next(&splitter, &offset, &event, &id)) {
            events.emplace_back(std::string(id.ptr, id.len),
                                std::string(event.ptr, event.len));
        }
        if (consumes) {
            SlEventSplitter_Consume(&splitter, offset);
            offset = 0;
        }
    }
    SlEventSplitter_Free(&splitter);
    return events;
}

TEST(EventSplitter, ResultDoesNotDependOnChunks)
{
    std::string text;
    for (int i = 0; i < 60; i++) {
        const char *end = i % 3 == 0 ? "\r\n" : "\n";
        text += "id: " + std::to_string(i) + end +
                "data: " + std::string((size_t)i * 7 % 50, 'x') + end + end;
    }
    Events whole = split(text, text.size(), false, 1);
    ASSERT_EQ(whole.size(), 60u);
    for (size_t i = 0; i < whole.size(); i++) {
        EXPECT_EQ(whole[i].first, std::to_string(i));
    }
    for (uint64_t seed = 1; seed < 40; seed++) {
        for (size_t max_len : {1, 2, 3, 9, 100}) {
            EXPECT_EQ(split(text, max_len, true, seed), whole) << max_len;
            EXPECT_EQ(split(text, max_len, false, seed), whole) << max_len;
        }
    }
}

// Each byte of an event whose end does not arrive is scanned only a few times.
TEST(EventSplitter, ScansUnterminatedEventInLinearTime)
{
    struct sl_event_splitter splitter = {};
    struct sl_str event;
    struct sl_str id;
    size_t offset = 0;
    size_t scanned = 0;
    for (int i = 0; i < 200000; i++) {
        size_t before = splitter.scanned_bytes;
        SlEventSplitter_Append(&splitter, Sl_STR("x"));
        EXPECT_FALSE(SlEventSplitter_Next(&splitter, &offset, &event, &id));
        scanned += splitter.pending.len - before;
    }
    EXPECT_LE(scanned, 4u * 200000);
    SlEventSplitter_Free(&splitter);
}

// Guards against ids that are shortened or rounded: two different numbers must
// never be equal, nor be compared in the wrong order.
TEST(EventId, NumbersOfAnyLengthAreComparedByValue)
{
    const char *const ascending[] = {
        "0",
        "7",
        "2147483647",
        "2147483648",
        "21474836480",
        "21474836481",
        "1764972000123",
        "1764972000153",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551616",
        "18446744073709551617",
        "10000000000000000000000000000000000000000000000000000000000000000000"
        "1",
        "10000000000000000000000000000000000000000000000000000000000000000000"
        "2",
    };
    size_t count = sizeof(ascending) / sizeof(ascending[0]);
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < count; j++) {
            EXPECT_EQ(SlEventId_IsAtMost(SlStr_FromC(ascending[i]),
                                         SlStr_FromC(ascending[j])),
                      i <= j)
                << ascending[i] << " and " << ascending[j];
        }
    }
    EXPECT_TRUE(SlEventId_IsAtMost(Sl_STR("0007"), Sl_STR("7")));
    EXPECT_TRUE(SlEventId_IsAtMost(Sl_STR("7"), Sl_STR("0007")));
    EXPECT_FALSE(SlEventId_IsAtMost(Sl_STR("a1"), Sl_STR("a2")));
    EXPECT_TRUE(SlEventId_IsAtMost(Sl_STR("a2"), Sl_STR("a2")));
}

} // namespace
