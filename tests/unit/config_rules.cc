// Unit tests of the rules for the values of keys, with the error message for
// each mistake.
#include <gtest/gtest.h>

#include "config_support.h"

// An invalid value under a key, and the reason for its rejection.
struct Mistake {
    const char *key;
    const char *value;
    const char *reason;
};

static const char one_to_255[] = "a text of 1 to 255 bytes";

static const Mistake mistakes[] = {
    {"label", "{}",
     "key \"label\" is not KIND/NAME with a name of up to 255 bytes"},
    {"label/", "{}",
     "key \"label/\" is not KIND/NAME with a name of up to 255 bytes"},
    {"lable/x", "{}",
     "key \"lable/x\": allowed kinds are label, selector, mark, home"},
    {"label/x", "[]", "key \"label/x\": the value is not a JSON object"},
    {"label/x", R"({"type":"modle"})",
     "label \"x\": \"type\" is \"modle\", allowed: service, version, "
     "upstream"},
    {"label/x", R"({"type":"service","adapter":"grpc"})",
     "label \"x\": \"adapter\" is \"grpc\", allowed: engine, plain"},
    {"label/x", R"({"type":"service","adapter":"plain","limit":1})",
     "label \"x\": unknown key \"limit\" is 1, allowed keys: type, adapter"},
    {"label/x",
     R"({"type":"version","service":"none","model":"m","cost_micros":1})",
     "label \"x\": service \"none\" is not a label"},
    {"label/x",
     R"({"type":"version","service":"atelier","model":"m","cost_micros":1})",
     "label \"x\": \"service\" is \"atelier\", a plain service, which has no "
     "versions"},
    {"label/x",
     R"({"type":"version","service":"plume","model":"m","cost_micros":-1})",
     "label \"x\": \"cost_micros\" is -1, allowed: a whole number from 0 to "
     "1000000000000"},
    {"label/x",
     R"({"type":"version","service":"plume","model":"m","cost_micros":1,)"
     R"("quality":1.5})",
     "label \"x\": \"quality\" is 1.5, allowed: a number from 0 to 1"},
    {"label/x",
     R"({"type":"upstream","service":"plume","domain":"d","limit":4,)"
     R"("cold_limit":5})",
     "label \"x\": \"cold_limit\" is 5, allowed: a whole number from 1 to 4"},
    {"label/x",
     R"({"type":"upstream","service":"plume","domain":"d","fencing":1})",
     "label \"x\": \"fencing\" is 1, allowed: true or false"},
    {"label/x",
     R"({"type":"upstream","service":"atelier","domain":"d",)"
     R"("versions":["small"]})",
     "label \"x\": version \"small\" belongs to service \"plume\", not "
     "\"atelier\""},
    {"selector/x", R"({"service":"u1","cascade":["small"]})",
     "selector \"x\": service \"u1\" is not a label"},
    {"selector/x", R"({"service":"plume"})",
     "selector \"x\": \"cascade\" must name a version for service \"plume\""},
    {"selector/x", R"({"service":"atelier","cascade":["small"]})",
     "selector \"x\": \"cascade\" must be absent for service \"atelier\""},
    {"selector/x", R"({"service":"plume","cascade":["small","large"]})",
     "selector \"x\": a cascade of 2 versions runs a request more than once, "
     "so \"idempotent\" must be true"},
    {"selector/x",
     R"({"service":"plume","cascade":["small","small"],"idempotent":true})",
     "selector \"x\": \"cascade\" lists \"small\" twice"},
    {"selector/x", R"({"service":"plume","cascade":["none"]})",
     "selector \"x\": version \"none\" is not a label"},
    {"selector/x",
     R"({"service":"plume","cascade":["small"],"canary_share":0.5})",
     "selector \"x\": \"canary_share\" is 0.5, allowed without \"canary\": 0"},
    {"selector/x", R"({"service":"atelier","priority":10})",
     "selector \"x\": \"priority\" is 10, allowed: a whole number from 0 to "
     "9"},
    {"selector/x", R"({"service":"atelier","deadline_ms":0})",
     "selector \"x\": \"deadline_ms\" is 0, allowed: a whole number from 1 to "
     "86400000"},
    {"selector/x", R"({"service":"atelier","teams":["a",""]})",
     "selector \"x\": \"teams\" is [\"a\",\"\"], allowed: a list of up to 64 "
     "names"},
    {"mark/x", "{}",
     "mark \"x\": not version/NAME, upstream/NAME or domain/NAME"},
    {"mark/zone/x", R"({"in":false})",
     "mark \"zone/x\": not a version, upstream or domain"},
    {"mark/version/none", R"({"in":false})",
     "mark \"version/none\": version \"none\" is not a label"},
    {"mark/version/u1", R"({"in":false})",
     "mark \"version/u1\": version \"u1\" is not a label"},
    {"mark/domain/d", "{}",
     "mark \"domain/d\": \"in\" is missing, allowed: true or false"},
    {"home/atelier", R"({"members":[]})",
     "home \"atelier\": \"members\" is missing or empty, allowed: a list of 1 "
     "to 128 upstreams"},
    {"home/atelier", R"({"members":["p1","p1"]})",
     "home \"atelier\": \"members\" lists \"p1\" twice"},
    {"home/atelier", R"({"members":["u1"]})",
     "home \"atelier\": upstream \"u1\" belongs to service \"plume\", not "
     "\"atelier\""},
    {"home/none", R"({"members":["p1"]})",
     "home \"none\": service \"none\" is not a label"},
};

TEST(ConfigRules, ErrorsNameTheMistake)
{
    ConfigReplica replica;
    replica.put_basics();
    for (const Mistake &mistake : mistakes) {
        json_t *value = json_loads(mistake.value, 0, nullptr);
        EXPECT_EQ(
            SlConfig_Check(replica.config, mistake.key, value, &replica.err),
            Sl_ERR_INVALID);
        EXPECT_STREQ(replica.err.text, mistake.reason);
        json_decref(value);
        EXPECT_EQ(replica.put(mistake.key, mistake.value), Sl_APPLY_INVALID);
        EXPECT_STREQ(replica.err.text, mistake.reason);
        EXPECT_EQ(SlConfig_Value(replica.config, mistake.key), nullptr);
    }
}

TEST(ConfigRules, ErrorsNameMissingMembers)
{
    ConfigReplica replica;
    replica.put_basics();
    EXPECT_EQ(replica.reason("label/x", R"({"type":"upstream","domain":"d"})"),
              std::string("label \"x\": \"service\" is missing, allowed: ") +
                  one_to_255);
    EXPECT_EQ(replica.reason("label/x",
                             R"({"type":"version","service":"plume",)"
                             R"("model":"m"})"),
              "label \"x\": \"cost_micros\" is missing, allowed: a whole "
              "number from 0 to 1000000000000");
}

TEST(ConfigRules, MarksAcceptTheLongestNames)
{
    ConfigReplica replica;
    replica.put_basics();
    std::string longest(Sl_NAME_MAX_BYTES, 'v');
    EXPECT_EQ(replica.reason("label/" + longest,
                             ConfigReplica::upstream("plume", "d")),
              "accepted");
    EXPECT_EQ(replica.reason("mark/upstream/" + longest, R"({"in":false})"),
              "accepted");
    EXPECT_EQ(replica.put("mark/upstream/" + longest + "v", R"({"in":false})"),
              Sl_APPLY_INVALID);
}

// ---- labels in use ----

TEST(ConfigRules, LabelInUseCannotBeRemoved)
{
    ConfigReplica replica;
    replica.put_basics();
    replica.put("home/atelier", R"({"members":["p1"]})");
    EXPECT_EQ(replica.reason("label/plume", "null"),
              "label \"plume\" is used by \"label/large\", which would break: "
              "label \"large\": service \"plume\" is not a label");
    EXPECT_EQ(replica.reason("label/small", "null"),
              "label \"small\" is used by \"selector/verses\", which would "
              "break: selector \"verses\": version \"small\" is not a label");
    EXPECT_EQ(replica.reason("label/p1", "null"),
              "label \"p1\" is used by \"home/atelier\", which would break: "
              "home \"atelier\": upstream \"p1\" is not a label");
    replica.put("mark/upstream/u1", R"({"in":false})");
    EXPECT_EQ(replica.reason("label/u1", "null"),
              "label \"u1\" is used by \"mark/upstream/u1\", which would "
              "break: mark \"upstream/u1\": upstream \"u1\" is not a label");
    EXPECT_EQ(replica.reason("mark/upstream/u1", "null"), "accepted");
    EXPECT_EQ(replica.reason("label/u1", "null"), "accepted");
}

TEST(ConfigRules, LabelTypeCannotChange)
{
    ConfigReplica replica;
    replica.put_basics();
    EXPECT_EQ(
        replica.reason("label/small", ConfigReplica::upstream("plume", "d")),
        "label \"small\": \"type\" cannot change; remove the label "
        "first");
    // A version that would belong to itself as its service.
    EXPECT_EQ(replica.reason("label/lone", R"({"type":"service",)"
                                           R"("adapter":"engine"})"),
              "accepted");
    EXPECT_EQ(replica.put("label/lone", ConfigReplica::version("lone")),
              Sl_APPLY_INVALID);
}

TEST(ConfigRules, LabelChangeMustKeepItsReferencesValid)
{
    ConfigReplica replica;
    replica.put_basics();
    replica.put("label/other", R"({"type":"service","adapter":"engine"})");
    EXPECT_EQ(replica.reason("label/small", ConfigReplica::version("other")),
              "label \"small\" is used by \"selector/verses\", which would "
              "break: selector \"verses\": version \"small\" belongs to "
              "service \"other\", not \"plume\"");
    EXPECT_EQ(
        replica.put("label/plume", R"({"type":"service","adapter":"plain"})"),
        Sl_APPLY_INVALID);
    replica.put("label/u1", R"({"type":"upstream","service":"plume",)"
                            R"("domain":"d","versions":["large"]})");
    EXPECT_EQ(replica.put("label/u1", ConfigReplica::upstream("plume", "e")),
              Sl_APPLY_ACCEPTED);
    replica.put("home/atelier", R"({"members":["p1"]})");
    EXPECT_EQ(
        replica.put("label/p1", ConfigReplica::upstream("plume", "brest")),
        Sl_APPLY_INVALID);
    // A rejected change leaves the index of labels as it was.
    struct sl_name name = SlName_Of("small");
    EXPECT_STREQ(SlConfig_FindVersion(replica.config, &name)->service.text,
                 "plume");
    // The version may change its service once no selector refers to it.
    replica.put("selector/verses", "null");
    EXPECT_EQ(replica.reason("label/small", ConfigReplica::version("other")),
              "accepted");
}
