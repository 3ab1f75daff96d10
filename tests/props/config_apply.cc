// Properties of the configuration. Processes reach identical snapshots at the
// same offset, whether they apply records or restore snapshots; the check of a
// record agrees with its application; selectors refer to valid labels.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "../unit/config_support.h"

#include <vector>

// ---- random records ----

// Few names, so that random records refer to each other.
static const std::vector<std::string> services = {"s1", "s2", "p1"};
static const std::vector<std::string> versions = {"v1", "v2", "v3"};
static const std::vector<std::string> upstreams = {"u1", "u2"};
static const std::vector<std::string> domains = {"d1", "d2"};

// Returns a random number from 0 to `bound` - 1. Unlike rapidcheck's default,
// the range does not depend on the size of the test case.
static size_t
below(size_t bound)
{
    return *rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<size_t>(0, bound));
}

static std::string
pick(const std::vector<std::string> &from)
{
    return *rc::gen::elementOf(from);
}

static std::string
in_quotes(const std::string &text)
{
    return "\"" + text + "\"";
}

// Returns a JSON list of up to 2 of the names, which may be equal.
static std::string
list_of(const std::vector<std::string> &from)
{
    std::string text;
    size_t count = below(3);
    for (size_t i = 0; i < count; i++) {
        text += (i == 0 ? "" : ",") + in_quotes(pick(from));
    }
    return "[" + text + "]";
}

static std::string
label_value()
{
    switch (below(3)) {
    case 0:
        return R"({"type":"service","adapter":)" +
               in_quotes(pick({"engine", "plain"})) + "}";
    case 1:
        return R"({"type":"version","model":"m","cost_micros":)" +
               std::to_string((int)below(5) - 1) +
               R"(,"quality":0.1,"service":)" + in_quotes(pick(services)) +
               "}";
    default:
        return R"({"type":"upstream","service":)" + in_quotes(pick(services)) +
               R"(,"domain":)" + in_quotes(pick(domains)) + R"(,"versions":)" +
               list_of(versions) + "}";
    }
}

static std::string
selector_value()
{
    return R"({"rank":)" + std::to_string(below(3)) + R"(,"service":)" +
           in_quotes(pick(services)) + R"(,"cascade":)" + list_of(versions) +
           R"(,"idempotent":true})";
}

static std::pair<std::string, std::string>
key_and_value()
{
    switch (*rc::gen::weightedElement<int>({{6, 0}, {3, 1}, {3, 2}, {1, 3}})) {
    case 0: {
        std::vector<std::string> names = services;
        names.insert(names.end(), versions.begin(), versions.end());
        names.insert(names.end(), upstreams.begin(), upstreams.end());
        return {"label/" + pick(names), label_value()};
    }
    case 1:
        return {"selector/" + pick({"a", "b", "c"}), selector_value()};
    case 2:
        return {pick({"mark/version/v1", "mark/version/v2", "mark/upstream/u1",
                      "mark/domain/d1"}),
                pick({R"({"in":true})", R"({"in":false})", "{}"})};
    default:
        return {"home/" + pick(services),
                R"({"members":)" + list_of(upstreams) + "}"};
    }
}

// Returns a record that is usually valid for the state of `replica`. Some
// records are stale, duplicate or malformed, or remove their key.
static std::string
record_for(const ConfigReplica &replica)
{
    auto [key, value] = key_and_value();
    uint64_t base = SlConfig_Revision(replica.config, key.c_str());
    uint64_t id = SlConfig_Offset(replica.config);
    if (below(5) == 0) {
        value = "null";
    }
    switch (below(20)) {
    case 0:
        base = below(9);
        break;
    case 1:
        id = below(id + 1);
        break;
    case 2:
        return pick({"7", "{}", R"({"key":1})"});
    default:
        break;
    }
    return R"({"key":)" + in_quotes(key) + R"(,"id":"i)" + std::to_string(id) +
           R"(","by":"x","base":)" + std::to_string(base) + R"(,"value":)" +
           value + "}";
}

// A valid selector and its labels; random records change them.
static const std::vector<std::pair<std::string, std::string>> initial = {
    {"label/s1", R"({"type":"service","adapter":"engine"})"},
    {"label/v1", ConfigReplica::version("s1")},
    {"label/v2", ConfigReplica::version("s1")},
    {"label/u1", ConfigReplica::upstream("s1", "d1")},
    {"selector/a", R"({"service":"s1","cascade":["v1"],"idempotent":true})"},
};

// A stream of records with the result of each and the state of a replica after
// it.
struct History {
    std::vector<std::string> records;
    std::vector<enum sl_apply_result> results;
    std::vector<std::string> snapshots;
    std::vector<std::string> query_results;

    void
    add(ConfigReplica &replica, const std::string &record)
    {
        records.push_back(record);
        results.push_back(replica.apply(record));
        snapshots.push_back(replica.snapshot());
        query_results.push_back(replica.query_results());
    }
};

static History
random_history()
{
    History history;
    ConfigReplica replica;
    for (const auto &[key, value] : initial) {
        history.add(replica, replica.record(key, value));
    }
    int count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; i++) {
        history.add(replica, record_for(replica));
    }
    return history;
}

// ---- properties ----

RC_GTEST_PROP(ConfigApply, AnyMixtureOfRecordsAndSnapshotsConverges, ())
{
    History history = random_history();
    size_t count = history.records.size();
    ConfigReplica replica;
    for (size_t step = 0; SlConfig_Offset(replica.config) < count; step++) {
        uint64_t offset = SlConfig_Offset(replica.config);
        if (step >= count || below(4) > 0) {
            RC_ASSERT(replica.apply(history.records[offset]) ==
                      history.results[offset]);
        }
        else {
            size_t index = below(count);
            bool is_newer = index + 1 > offset;
            RC_ASSERT(replica.restore(history.snapshots[index]) ==
                      (is_newer ? Sl_OK : Sl_ERR_CONFLICT));
        }
        uint64_t new_offset = SlConfig_Offset(replica.config);
        RC_ASSERT(new_offset >= offset);
        RC_ASSERT(new_offset == 0 ||
                  replica.snapshot() == history.snapshots[new_offset - 1]);
        RC_ASSERT(new_offset == 0 ||
                  replica.query_results() ==
                      history.query_results[new_offset - 1]);
    }
}

RC_GTEST_PROP(ConfigApply, CheckAgreesWithApply, ())
{
    ConfigReplica replica;
    for (const auto &[key, value] : initial) {
        replica.put(key, value);
    }
    int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; i++) {
        auto [key, value] = key_and_value();
        json_t *json = json_loads(value.c_str(), 0, nullptr);
        std::string before = replica.snapshot();
        enum sl_errno checked =
            SlConfig_Check(replica.config, key.c_str(), json, &replica.err);
        json_decref(json);
        RC_ASSERT(replica.snapshot() == before);
        RC_ASSERT((replica.put(key, value) == Sl_APPLY_ACCEPTED) ==
                  (checked == Sl_OK));
    }
}

// Whatever was published, the labels that a selector refers to exist and
// belong to its service.
RC_GTEST_PROP(ConfigApply, SelectorsReferToValidLabels, ())
{
    ConfigReplica replica;
    for (const auto &[key, value] : initial) {
        replica.put(key, value);
    }
    int count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; i++) {
        replica.apply(record_for(replica));
    }
    struct sl_request_attributes attributes = {SlName_Of("t"), SlName_Of("s"),
                                               SlName_Of("k")};
    const struct sl_selector *found =
        SlConfig_FindSelector(replica.config, &attributes);
    RC_TAG(found == nullptr ? "no selector" : "a selector");
    if (found == nullptr) {
        return;
    }
    const struct sl_service *service =
        SlConfig_FindService(replica.config, &found->service);
    RC_ASSERT_FALSE(service == nullptr);
    RC_ASSERT((service->type == Sl_SERVICE_ENGINE) ==
              (found->cascade_count > 0));
    for (size_t i = 0; i < found->cascade_count; i++) {
        const struct sl_version *version =
            SlConfig_FindVersion(replica.config, &found->cascade[i]);
        RC_ASSERT_FALSE(version == nullptr);
        RC_ASSERT(SlName_Equal(&version->service, &found->service));
    }
}
