// Unit tests of applying records, of queries and of snapshots.
#include <gtest/gtest.h>

#include "config_support.h"

static struct sl_request_attributes
attributes(const char *team, const char *session, const char *kind)
{
    return {SlName_Of(team), SlName_Of(session), SlName_Of(kind)};
}

// Returns the name of the selector of a request, or "".
static std::string
selected(const ConfigReplica &replica, const char *team, const char *session,
         const char *kind)
{
    struct sl_request_attributes request = attributes(team, session, kind);
    const struct sl_selector *found =
        SlConfig_FindSelector(replica.config, &request);
    return found == nullptr ? "" : found->name.text;
}

// Returns "admitted", or the reason why a request may not run `version` on
// `upstream`.
static std::string
admitted(ConfigReplica &replica, const char *kind, const char *version,
         const char *upstream)
{
    struct sl_request_attributes request = attributes("t", "s", kind);
    struct sl_name upstream_name = SlName_Of(upstream);
    struct sl_name version_name = SlName_Of(version);
    enum sl_errno code = SlConfig_CheckAdmission(
        replica.config, &request, &version_name, &upstream_name, &replica.err);
    return code == Sl_OK ? "admitted" : replica.err.text;
}

// ---- records ----

TEST(ConfigApply, RejectsStaleBase)
{
    ConfigReplica replica;
    std::string head = R"({"key":"mark/domain/d","value":{"in":false},)";
    EXPECT_EQ(replica.apply(head + R"("id":"a","base":1})"), Sl_APPLY_STALE);
    EXPECT_EQ(replica.apply(head + R"("id":"b","base":0})"),
              Sl_APPLY_ACCEPTED);
    EXPECT_EQ(SlConfig_Revision(replica.config, "mark/domain/d"), 2u);
    EXPECT_EQ(replica.apply(head + R"("id":"c","base":0})"), Sl_APPLY_STALE);
    EXPECT_STREQ(replica.err.text,
                 "key \"mark/domain/d\": base 0 is stale, the "
                 "revision is 2");
    EXPECT_EQ(replica.apply(head + R"("id":"d","base":2})"),
              Sl_APPLY_ACCEPTED);
    EXPECT_EQ(SlConfig_Offset(replica.config), 4u);
}

TEST(ConfigApply, AcceptsOneOfTwoConcurrentWriters)
{
    ConfigReplica replica;
    std::string head = R"({"key":"mark/domain/d","base":0,)";
    EXPECT_EQ(
        replica.apply(head + R"("id":"a","by":"x","value":{"in":true}})"),
        Sl_APPLY_ACCEPTED);
    EXPECT_EQ(
        replica.apply(head + R"("id":"b","by":"y","value":{"in":false}})"),
        Sl_APPLY_STALE);
    struct sl_name domain = SlName_Of("d");
    EXPECT_TRUE(SlConfig_IsDomainInService(replica.config, &domain));
}

TEST(ConfigApply, AppliesARepeatedIdOnce)
{
    ConfigReplica replica;
    std::string record = R"({"key":"mark/domain/d","id":"a","base":0,)"
                         R"("value":{"in":false}})";
    EXPECT_EQ(replica.apply(record), Sl_APPLY_ACCEPTED);
    EXPECT_EQ(replica.apply(record), Sl_APPLY_DUPLICATE);
    EXPECT_EQ(SlConfig_Revision(replica.config, "mark/domain/d"), 1u);
    // A snapshot contains the ids, so a restored configuration also detects
    // the copy.
    ConfigReplica other;
    EXPECT_EQ(other.restore(replica.snapshot()), Sl_OK);
    EXPECT_EQ(other.apply(record), Sl_APPLY_DUPLICATE);
}

TEST(ConfigApply, RejectsMalformedRecords)
{
    ConfigReplica replica;
    const std::string long_id(256, 'i');
    const std::string records[] = {
        "null",
        "[]",
        "7",
        "{}",
        R"({"key":7,"id":"a","base":0,"value":null})",
        R"({"key":"k","id":"","base":0,"value":null})",
        R"({"key":"k","id":"a","base":-1,"value":null})",
        R"({"key":"k","id":"a","base":0})",
        R"({"key":"k","id":"a","base":0,"value":null,"more":1})",
        R"({"key":"k","id":"a","base":0,"value":null,"by":1})",
        R"({"key":"k","id":")" + long_id + R"(","base":0,"value":null})"};
    for (const std::string &record : records) {
        EXPECT_EQ(replica.apply(record), Sl_APPLY_INVALID) << record;
    }
    EXPECT_EQ(SlConfig_Offset(replica.config), 11u);
}

TEST(ConfigApply, NullRemovesTheKey)
{
    ConfigReplica replica;
    EXPECT_EQ(replica.put("mark/domain/d", R"({"in":false})"),
              Sl_APPLY_ACCEPTED);
    EXPECT_EQ(replica.put("mark/domain/d", "null"), Sl_APPLY_ACCEPTED);
    EXPECT_EQ(SlConfig_Revision(replica.config, "mark/domain/d"), 0u);
    EXPECT_EQ(SlConfig_Value(replica.config, "mark/domain/d"), nullptr);
}

// ---- queries ----

TEST(ConfigQueries, SelectorsByRankThenName)
{
    ConfigReplica replica;
    replica.put_basics();
    std::string tail = R"("service":"atelier"})";
    replica.put("selector/b", R"({"rank":5,"teams":["t"],)" + tail);
    replica.put("selector/a", R"({"rank":5,"teams":["t"],)" + tail);
    replica.put("selector/c", R"({"rank":4,"session_prefix":"vip-",)" + tail);
    EXPECT_EQ(selected(replica, "t", "s", "verse"), "a");
    EXPECT_EQ(selected(replica, "t", "vip-1", "verse"), "c");
    EXPECT_EQ(selected(replica, "other", "s", "verse"), "verses");
    EXPECT_EQ(selected(replica, "other", "s", "unknown"), "");
}

TEST(ConfigQueries, AdmitNamesTheReasonForRefusal)
{
    ConfigReplica replica;
    replica.put_basics();
    replica.put("label/u1", R"({"type":"upstream","service":"plume",)"
                            R"("domain":"brest","versions":["small"]})");
    EXPECT_EQ(admitted(replica, "verse", "small", "u1"), "admitted");
    EXPECT_EQ(admitted(replica, "order", "", "p1"), "admitted");
    EXPECT_EQ(admitted(replica, "none", "small", "u1"),
              "no selector for team \"t\", kind \"none\"");
    EXPECT_EQ(admitted(replica, "verse", "", "u1"),
              "selector \"verses\": version \"\" is not allowed to team "
              "\"t\"");
    EXPECT_EQ(admitted(replica, "verse", "huge", "u1"),
              "selector \"verses\": version \"huge\" is not allowed to team "
              "\"t\"");
    EXPECT_EQ(admitted(replica, "verse", "small", "p1"),
              "upstream \"p1\" does not serve \"plume\"");
    EXPECT_EQ(admitted(replica, "verse", "large", "u1"),
              "upstream \"u1\" does not serve version \"large\"");
    replica.put("mark/upstream/u1", R"({"in":false})");
    EXPECT_EQ(admitted(replica, "verse", "small", "u1"),
              "upstream \"u1\" is out of service");
    replica.put("mark/domain/quimper", R"({"in":false})");
    EXPECT_EQ(admitted(replica, "verse", "small", "u2"),
              "failure domain \"quimper\" is out of service");
    replica.put("mark/version/small", R"({"in":false})");
    EXPECT_EQ(admitted(replica, "verse", "small", "u2"),
              "version \"small\" is out of service");
}

TEST(ConfigQueries, MarksPersistWhenTheLabelChanges)
{
    ConfigReplica replica;
    replica.put_basics();
    replica.put("mark/version/small", R"({"in":false})");
    replica.put("label/small", ConfigReplica::version("plume"));
    struct sl_name name = SlName_Of("small");
    EXPECT_TRUE(SlConfig_FindVersion(replica.config, &name)->out_of_service);
    replica.put("mark/version/small", R"({"in":true})");
    EXPECT_FALSE(SlConfig_FindVersion(replica.config, &name)->out_of_service);
}

TEST(ConfigQueries, HomeOfAKeyIsStable)
{
    ConfigReplica replica;
    replica.put_basics();
    replica.put("label/p2", ConfigReplica::upstream("atelier", "quimper"));
    replica.put("home/atelier", R"({"members":["p1","p2"]})");
    struct sl_name service = SlName_Of("atelier");
    const struct sl_home *home = SlConfig_FindHome(replica.config, &service);
    ASSERT_NE(home, nullptr);
    EXPECT_EQ(home->revision, SlConfig_Offset(replica.config));
    ConfigReplica other;
    ASSERT_EQ(other.restore(replica.snapshot()), Sl_OK);
    const struct sl_home *restored = SlConfig_FindHome(other.config, &service);
    EXPECT_EQ(restored->revision, home->revision);
    for (int i = 0; i < 20; i++) {
        struct sl_name key = SlName_Of(("k" + std::to_string(i)).c_str());
        EXPECT_STREQ(SlHome_MemberForKey(home, &key)->text,
                     SlHome_MemberForKey(restored, &key)->text);
    }
}

// ---- snapshots ----

TEST(ConfigSnapshot, EqualStatesGiveIdenticalBytes)
{
    ConfigReplica replica;
    replica.put_basics();
    replica.put("mark/version/small", R"({"in":false})");
    ConfigReplica other;
    EXPECT_EQ(other.restore(replica.snapshot()), Sl_OK);
    EXPECT_EQ(other.snapshot(), replica.snapshot());
    EXPECT_EQ(admitted(other, "verse", "small", "u1"),
              "version \"small\" is out of service");
}

TEST(ConfigSnapshot, RestoresOnlyNewerSnapshots)
{
    ConfigReplica replica;
    replica.put_basics();
    std::string old = replica.snapshot();
    EXPECT_EQ(replica.restore(old), Sl_ERR_CONFLICT);
    replica.put("mark/domain/d", R"({"in":false})");
    std::string now = replica.snapshot();
    EXPECT_EQ(replica.restore(old), Sl_ERR_CONFLICT);
    EXPECT_EQ(replica.snapshot(), now);
}

TEST(ConfigSnapshot, MalformedSnapshotChangesNothing)
{
    ConfigReplica replica;
    replica.put_basics();
    std::string before = replica.snapshot();
    const char *const bad[] = {
        R"({})",
        R"({"offset":-1,"keys":{},"ids":[]})",
        R"({"offset":99,"keys":[],"ids":[]})",
        R"({"offset":99,"keys":{},"ids":[1]})",
        R"({"offset":99,"keys":{"mark/domain/d":7},"ids":[]})",
        R"({"offset":99,"ids":[],"keys":{"mark/domain/d":)"
        R"({"revision":100,"value":{"in":true}}}})",
        R"({"offset":99,"ids":[],"keys":{"mark/version/none":)"
        R"({"revision":1,"value":{"in":true}}}})"};
    for (const char *text : bad) {
        EXPECT_EQ(replica.restore(text), Sl_ERR_INVALID) << text;
        EXPECT_NE(replica.err.text[0], '\0');
    }
    EXPECT_EQ(replica.snapshot(), before);
}
