// A configuration and the helpers that the tests of sl_config share.
#ifndef SL_CONFIG_SUPPORT_H
#define SL_CONFIG_SUPPORT_H

#include <string>

extern "C" {
#include "sl_config.h"
}

// A configuration to which a test applies records, at increasing offsets.
class ConfigReplica {
  public:
    ConfigReplica() : config(SlConfig_New())
    {
    }
    ~ConfigReplica()
    {
        SlConfig_Free(config);
    }
    ConfigReplica(const ConfigReplica &) = delete;
    ConfigReplica &operator=(const ConfigReplica &) = delete;

    // Applies a record, given as JSON text, at the next offset.
    enum sl_apply_result
    apply(const std::string &record)
    {
        json_t *json = json_loads(record.c_str(), JSON_DECODE_ANY, nullptr);
        enum sl_apply_result result =
            SlConfig_Apply(config, SlConfig_Offset(config) + 1, json, &err);
        json_decref(json);
        return result;
    }

    // Returns a record that sets the key to a value, or removes it if the
    // value is null. Its base is the key's current revision, its id contains
    // the next offset.
    std::string
    record(const std::string &key, const std::string &value) const
    {
        uint64_t base = SlConfig_Revision(config, key.c_str());
        uint64_t next = SlConfig_Offset(config) + 1;
        return "{\"key\":\"" + key + "\",\"id\":\"id-" + std::to_string(next) +
               "\",\"base\":" + std::to_string(base) + ",\"value\":" + value +
               "}";
    }

    // Applies the record that record() returns.
    enum sl_apply_result
    put(const std::string &key, const std::string &value)
    {
        return apply(record(key, value));
    }

    // Like put(), but returns the reason for a rejection, or "accepted".
    std::string
    reason(const std::string &key, const std::string &value)
    {
        enum sl_apply_result result = put(key, value);
        return result == Sl_APPLY_ACCEPTED ? "accepted" : err.text;
    }

    // Sets labels of two services, two versions and three upstreams, and two
    // selectors.
    void
    put_basics()
    {
        put("label/plume", R"({"type":"service","adapter":"engine"})");
        put("label/atelier", R"({"type":"service","adapter":"plain"})");
        put("label/small", version("plume"));
        put("label/large", version("plume"));
        put("label/u1", upstream("plume", "brest"));
        put("label/u2", upstream("plume", "quimper"));
        put("label/p1", upstream("atelier", "brest"));
        put("selector/verses", R"({"kinds":["verse"],"service":"plume",)"
                               R"("cascade":["small","large"],)"
                               R"("idempotent":true})");
        put("selector/orders", R"({"kinds":["order"],"service":"atelier"})");
    }

    // Value of the label of a version.
    static std::string
    version(const std::string &service)
    {
        return "{\"type\":\"version\",\"service\":\"" + service +
               "\",\"model\":\"m\",\"cost_micros\":10}";
    }

    // Value of the label of an upstream.
    static std::string
    upstream(const std::string &service, const std::string &domain)
    {
        return "{\"type\":\"upstream\",\"service\":\"" + service +
               "\",\"domain\":\"" + domain + "\"}";
    }

    std::string
    snapshot() const
    {
        struct sl_buf buf = {};
        SlConfig_Snapshot(config, &buf);
        std::string text(buf.ptr, buf.len);
        SlBuf_Free(&buf);
        return text;
    }

    // Results of some queries as text. They depend on the state that is
    // derived from the records, which a snapshot does not contain.
    std::string
    query_results() const
    {
        const struct sl_version *versions[64];
        const struct sl_upstream *upstreams[64];
        struct sl_request_attributes attributes = {
            SlName_Of("t"), SlName_Of("s"), SlName_Of("k")};
        const struct sl_selector *found =
            SlConfig_FindSelector(config, &attributes);
        std::string text = found == nullptr ? "none" : found->name.text;
        size_t count = SlConfig_ListAllVersions(config, versions, 64);
        for (size_t i = 0; i < count; i++) {
            text += versions[i]->out_of_service ? " out " : " in ";
            text += versions[i]->name.text;
        }
        for (const char *service : {"s1", "s2", "p1"}) {
            struct sl_name name = SlName_Of(service);
            const struct sl_home *home = SlConfig_FindHome(config, &name);
            text += home == nullptr ? "" : std::to_string(home->revision);
            count = SlConfig_ListUpstreams(config, &name, upstreams, 64);
            for (size_t i = 0; i < count; i++) {
                text += upstreams[i]->out_of_service ? " out " : " in ";
                text += upstreams[i]->name.text;
            }
        }
        return text;
    }

    enum sl_errno
    restore(const std::string &text)
    {
        json_t *json = json_loads(text.c_str(), 0, nullptr);
        enum sl_errno code = SlConfig_Restore(config, json, &err);
        json_decref(json);
        return code;
    }

    struct sl_config *config;
    struct sl_error err = {};
};

#endif
