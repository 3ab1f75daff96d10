// Unit tests of sl_common: names, buffers, errors, timers, counters and
// checked access to JSON.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "sl_common.h"
}

static std::string
text_of(const struct sl_buf *buf)
{
    return std::string(buf->ptr, buf->len);
}

TEST(Name, RejectsLongTextAndControlBytes)
{
    struct sl_name name;
    std::string longest(Sl_NAME_MAX_BYTES, 'a');
    EXPECT_TRUE(SlName_Set(&name, SlStr_FromC(longest.c_str())));
    longest += 'a';
    EXPECT_FALSE(SlName_Set(&name, SlStr_FromC(longest.c_str())));
    EXPECT_TRUE(SlName_IsEmpty(&name));
    EXPECT_FALSE(SlName_Set(&name, SlStr_FromC("a\nb")));
}

// The invalid UTF-8 byte becomes U+FFFD.
TEST(Buf, EscapesJson)
{
    struct sl_buf buf = {};
    SlBuf_AppendJson(&buf, SlStr_FromC("a\"\\\n\xff"
                                       "é"));
    EXPECT_EQ(text_of(&buf), "\"a\\\"\\\\\\u000a\xef\xbf\xbd"
                             "é\"");
    SlBuf_Free(&buf);
}

TEST(Error, CarriesStepAndPeer)
{
    struct sl_error err;
    EXPECT_EQ(
        SlError_Set(&err, Sl_ERR_LOST, "log.append", "log", "gone %d", 7),
        Sl_ERR_LOST);
    EXPECT_STREQ(err.step.text, "log.append");
    EXPECT_STREQ(err.peer.text, "log");
    EXPECT_STREQ(err.text, "gone 7");
    EXPECT_STREQ(SlError_Name(err.code), "lost");
}

// A timer's callback that appends the timer's id to the vector `context`.
static void
record_id(void *context, uint64_t id, int64_t now_us)
{
    (void)now_us;
    static_cast<std::vector<uint64_t> *>(context)->push_back(id);
}

TEST(Timers, RunInOrderOfTimeThenSubscription)
{
    std::vector<uint64_t> run_ids;
    struct sl_timers *timers = SlTimers_New();
    EXPECT_EQ(SlTimers_NextDueUs(timers), Sl_NEVER_US);
    SlTimers_Add(timers, 20, record_id, &run_ids, 1);
    SlTimers_Add(timers, 10, record_id, &run_ids, 2);
    SlTimers_Add(timers, 20, record_id, &run_ids, 3);
    uint64_t cancelled = SlTimers_Add(timers, 15, record_id, &run_ids, 4);
    SlTimers_Cancel(timers, cancelled);
    SlTimers_Cancel(timers, cancelled); // has no effect
    EXPECT_EQ(SlTimers_NextDueUs(timers), 10);
    EXPECT_EQ(SlTimers_Run(timers, 20), 3u);
    EXPECT_EQ(run_ids, (std::vector<uint64_t>{2, 1, 3}));
    SlTimers_Free(timers);
}

TEST(Counters, DumpInOrderOfName)
{
    struct sl_counters *counters = SlCounters_New();
    struct sl_buf out = {};
    SlCounters_Add(counters, "b", 2);
    SlCounters_Add(counters, "a", 1);
    SlCounters_Add(counters, "b", 3);
    SlCounters_Dump(counters, &out);
    EXPECT_EQ(text_of(&out), "{\"a\":1,\"b\":5}");
    SlBuf_Free(&out);
    SlCounters_Free(counters);
}

TEST(Json, ErrorsNameTheKey)
{
    struct sl_error err;
    struct sl_json_int_rule rule = {1 /* min */, 9 /* max */, 0, true};
    int64_t number;
    json_t *object = json_pack("{s:i,s:s}", "limit", 12, "odd", "x");
    EXPECT_EQ(SlJson_Int(object, "limit", &rule, "label \"a\"", &number, &err),
              Sl_ERR_INVALID);
    EXPECT_STREQ(err.text, "label \"a\": \"limit\" is 12, allowed: a whole "
                           "number from 1 to 9");
    const char *const keys[] = {"limit", nullptr};
    EXPECT_EQ(SlJson_CheckKeys(object, keys, "label \"a\"", &err),
              Sl_ERR_INVALID);
    EXPECT_STREQ(
        err.text,
        "label \"a\": unknown key \"odd\" is \"x\", allowed keys: limit");
    json_decref(object);
}
