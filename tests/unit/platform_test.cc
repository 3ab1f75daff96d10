// Decoding and encoding of the platform's settings, headers and records, and
// the errors for invalid input.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "sl_platform.h"
}

static struct sl_str
view(const std::string &text)
{
    return {text.data(), text.size()};
}

static std::string
text(struct sl_str view)
{
    return view.len == 0 ? "" : std::string(view.ptr, view.len);
}

/* ---- settings ---- */

static const std::string kSettings = "NodeName=edge-1\n"
                                     "Zone=brest\n"
                                     "Region=breizh\n"
                                     "Ip=10.1.0.40\n"
                                     "Listen.Frontend=10.1.0.40:8227\n"
                                     "Listen.Ready=10.1.0.40:8220\n"
                                     "Platform.Address=10.200.1.7:8223\n"
                                     "InternalPorts=7340,7355\n"
                                     "Bounds.GraceS=8\n"
                                     "Bounds.ExposureShare=0.15\n"
                                     "HeartbeatMs=1200\n"
                                     "Something.New=anything\n";

// Returns the error of parsing `settings`, or "ok".
static std::string
settings_error(const std::string &settings)
{
    struct sl_platform_settings out;
    struct sl_error err = {};
    return SlPlatform_ParseSettings(view(settings), &out, &err) == Sl_OK
               ? "ok"
               : err.text;
}

// Returns `from` with its first occurrence of `what` replaced by `with`.
static std::string
replace_once(std::string from, const std::string &what,
             const std::string &with)
{
    size_t position = from.find(what);
    EXPECT_NE(position, std::string::npos) << what;
    return from.replace(position, what.size(), with);
}

// Returns whether memory is guarded with that list of rules.
static bool
guards_memory(const std::string &line)
{
    struct sl_platform_settings out;
    struct sl_error err = {};
    EXPECT_EQ(SlPlatform_ParseSettings(view(kSettings + line), &out, &err),
              Sl_OK);
    return out.guards_memory;
}

TEST(PlatformSettings, FindsTheRuleOnMemory)
{
    EXPECT_FALSE(guards_memory(""));
    EXPECT_FALSE(guards_memory("Contracts=\n"));
    EXPECT_FALSE(guards_memory("Contracts=base,pressures,under pressure\n"));
    EXPECT_TRUE(guards_memory("Contracts=pressure\n"));
    EXPECT_TRUE(guards_memory("Contracts=base,pressure,platform\n"));
    EXPECT_TRUE(guards_memory("Contracts=base,pressure\r\n"));
}

TEST(PlatformSettings, ParsesEveryFieldType)
{
    struct sl_platform_settings settings;
    struct sl_error err;
    ASSERT_EQ(SlPlatform_ParseSettings(view(kSettings), &settings, &err),
              Sl_OK)
        << err.text;
    EXPECT_STREQ(settings.domain.text, "brest");
    EXPECT_EQ(settings.first_port, 7340);
    EXPECT_EQ(settings.last_port, 7355);
    EXPECT_EQ(settings.bounds.grace_us, 8 * Sl_US_PER_S);
    EXPECT_EQ(settings.bounds.heartbeat_us, 1200 * Sl_US_PER_MS);
    EXPECT_DOUBLE_EQ(settings.bounds.exposure_share, 0.15);
    EXPECT_EQ(settings.bounds.drain_us, 2 * Sl_US_PER_S);        // default
    EXPECT_EQ(settings.bounds.config_apply_us, 2 * Sl_US_PER_S); // default
}

TEST(PlatformSettings, ErrorNamesInvalidField)
{
    EXPECT_EQ(settings_error(kSettings), "ok");
    EXPECT_EQ(settings_error(replace_once(kSettings, "Zone=brest\n", "")),
              "field \"Zone\" is missing");
    EXPECT_EQ(settings_error(replace_once(kSettings, "7340,7355", "7340")),
              "field \"InternalPorts\" has the invalid value \"7340\"");
    EXPECT_EQ(
        settings_error(replace_once(kSettings, "GraceS=8", "GraceS=soon")),
        "field \"Bounds.GraceS\" has the invalid value \"soon\"");
    EXPECT_EQ(
        settings_error(replace_once(kSettings, "10.1.0.40:8227", "8227")),
        "field \"Listen.Frontend\" has the invalid value \"8227\"");
    EXPECT_EQ(settings_error(replace_once(kSettings, "=0.15", "=-1")),
              "field \"Bounds.ExposureShare\" has the invalid value \"-1\"");
}

/* ---- headers ---- */

static void
add_header(struct sl_head *head, const char *name, const char *value)
{
    head->headers[head->header_count++] = {SlStr_FromC(name),
                                           SlStr_FromC(value)};
}

class PlatformHeaders : public testing::Test {
  protected:
    struct sl_head head = {};
    struct sl_buf forwarded = {};

    void
    TearDown() override
    {
        SlBuf_Free(&forwarded);
    }
};

TEST_F(PlatformHeaders, DecodesRequest)
{
    struct sl_incoming_request request;
    head.method = Sl_STR("POST");
    head.target = Sl_STR("/x/y");
    add_header(&head, "Host", "h.example");
    add_header(&head, "sassafrasledge-request-id", "r1");
    add_header(&head, "Sassafrasledge-Deadline-Ms", "1500");
    add_header(&head, "Sassafrasledge-Key", "secret");
    add_header(&head, "Sassafrasledge-Tenant", "forged");
    add_header(&head, "Sassafrasledge-Kv-Hold", "forged");
    add_header(&head, "Kv-From", "10.0.0.1:1/x");
    add_header(&head, "Session", "s1");
    add_header(&head, "Sassafrasledge-Token-Count", "1460,80");
    add_header(&head, "Sassafrasledge-Prefix-Hash", "5c1e:800,91bd:410");
    add_header(&head, "Last-Event-Id", "12");
    add_header(&head, "Connection", "close, X-Hop");
    add_header(&head, "X-Hop", "1");
    add_header(&head, "X-Other", "2");
    SlPlatform_DecodeRequest(&head, Sl_STR("body"), &forwarded, &request);
    EXPECT_EQ(text(request.id), "r1");
    EXPECT_EQ(request.deadline_us, 1500 * Sl_US_PER_MS);
    EXPECT_EQ(text(request.api_key), "secret");
    EXPECT_EQ(text(request.session), "s1");
    EXPECT_EQ(request.prompt_tokens, 1460);
    EXPECT_EQ(request.output_tokens, 80);
    ASSERT_EQ(request.part_count, 2u);
    EXPECT_EQ(request.parts[1].id, 0x91bdu);
    EXPECT_EQ(request.parts[1].tokens, 410);
    EXPECT_EQ(text(request.last_event), "12");
    // Not forwarded: the key, headers that only the system sets, and
    // hop-by-hop headers.
    EXPECT_EQ(text(request.headers),
              "Host: h.example\r\n"
              "sassafrasledge-request-id: r1\r\n"
              "Session: s1\r\n"
              "Sassafrasledge-Token-Count: 1460,80\r\n"
              "Sassafrasledge-Prefix-Hash: 5c1e:800,91bd:410\r\n"
              "X-Other: 2\r\n");
}

// Guards against requests that end the router because they lack a header: what
// is absent is an empty view, never a NULL pointer.
TEST_F(PlatformHeaders, AbsentFieldsAreNotNull)
{
    struct sl_incoming_request request;
    SlPlatform_DecodeRequest(&head, Sl_STR(""), &forwarded, &request);
    const struct sl_str views[] = {
        request.id,      request.host,       request.api_key, request.model,
        request.session, request.last_event, request.headers};
    for (const struct sl_str &view : views) {
        EXPECT_NE(view.ptr, nullptr);
        EXPECT_EQ(view.len, 0u);
    }
    struct sl_response_head response;
    SlPlatform_DecodeResponse(&head, &forwarded, &response);
    EXPECT_NE(response.headers.ptr, nullptr);
}

TEST_F(PlatformHeaders, InvalidValuesCountAsAbsent)
{
    struct sl_incoming_request request;
    add_header(&head, "Sassafrasledge-Deadline-Ms", "soon");
    add_header(&head, "Sassafrasledge-Token-Count", ",");
    add_header(&head, "Sassafrasledge-Prefix-Hash", "zz:1,5:5");
    SlPlatform_DecodeRequest(&head, Sl_STR(""), &forwarded, &request);
    EXPECT_EQ(request.deadline_us, 0);
    EXPECT_EQ(request.prompt_tokens, 0);
    EXPECT_EQ(request.part_count, 0u);
    EXPECT_EQ(request.last_event.len, 0u);
}

// Guards against a client's place in a stream that is dropped or shortened:
// the stream would start again from its first event.
TEST_F(PlatformHeaders, LastEventIdIsKeptWhole)
{
    for (std::string id :
         {"1764972000123", "9223372036854775808", "-", "event-7",
          "100000000000000000000000000000000000000000000000000000000001"}) {
        struct sl_incoming_request request;
        struct sl_router_effect_call call = {};
        struct sl_name upstream = SlName_Of("i-1");
        struct sl_buf out = {};
        head = {};
        call.upstream = &upstream;
        add_header(&head, "Last-Event-Id", id.c_str());
        SlPlatform_DecodeRequest(&head, Sl_STR(""), &forwarded, &request);
        EXPECT_EQ(text(request.last_event), id);
        call.last_event = request.last_event;
        SlPlatform_EncodeUpstreamRequest(&call, &out);
        EXPECT_NE(text(SlBuf_Str(&out)).find("Last-Event-Id: " + id + "\r\n"),
                  std::string::npos);
        SlBuf_Free(&out);
    }
}

// Of a request, and of a response.
TEST_F(PlatformHeaders, NumbersThatOverflowCountAsAbsent)
{
    struct sl_incoming_request request;
    struct sl_response_head response;
    for (const char *number :
         {"900000000000000000", "92233720368547758", "1000000000000000",
          "9999999999999999999999999999"}) {
        std::string load = std::string(number) + ",0,1";
        head = {};
        add_header(&head, "Sassafrasledge-Deadline-Ms", number);
        add_header(&head, "Sassafrasledge-Token-Count", number);
        add_header(&head, "Sassafrasledge-Runner-Load", load.c_str());
        add_header(&head, "Sassafrasledge-Cold-Ms", number);
        SlPlatform_DecodeRequest(&head, Sl_STR(""), &forwarded, &request);
        SlPlatform_DecodeResponse(&head, &forwarded, &response);
        EXPECT_EQ(request.deadline_us, 0) << number;
        EXPECT_EQ(request.prompt_tokens, 0) << number;
        EXPECT_FALSE(response.has_load) << number;
        EXPECT_EQ(response.cold_us, -1) << number;
    }
}

// Guards against parts of prompts that are equal because their ids are cut to
// 64 bits.
TEST_F(PlatformHeaders, LongPromptPartIdsAreToldApart)
{
    struct sl_incoming_request request;
    add_header(&head, "Sassafrasledge-Prefix-Hash",
               "10000000000000001:1,20000000000000001:1,1:1,"
               "000000000000000000001:1,ffffffffffffffff:1");
    SlPlatform_DecodeRequest(&head, Sl_STR(""), &forwarded, &request);
    ASSERT_EQ(request.part_count, 5u);
    EXPECT_NE(request.parts[0].id, request.parts[1].id);
    EXPECT_NE(request.parts[0].id, request.parts[2].id);
    EXPECT_NE(request.parts[1].id, request.parts[2].id);
    EXPECT_EQ(request.parts[2].id, 1u);
    EXPECT_EQ(request.parts[3].id, 1u);
    EXPECT_EQ(request.parts[4].id, UINT64_MAX);
}

TEST_F(PlatformHeaders, EncodesUpstreamRequest)
{
    struct sl_router_effect_call call = {};
    struct sl_buf out = {};
    struct sl_name upstream = SlName_Of("i-1");
    struct sl_name team = SlName_Of("t");
    call.upstream = &upstream;
    call.team = &team;
    call.method = Sl_STR("POST");
    call.target = Sl_STR("/x?q");
    call.headers = Sl_STR("Host: h\r\n");
    call.body = Sl_STR("12345");
    call.model = Sl_STR("m0");
    call.deadline_us = 1500 * Sl_US_PER_MS;
    call.last_event = Sl_STR("7");
    call.priority = 2;
    SlPlatform_EncodeUpstreamRequest(&call, &out);
    EXPECT_EQ(text(SlBuf_Str(&out)), "POST /x?q HTTP/1.1\r\n"
                                     "Host: h\r\n"
                                     "Content-Length: 5\r\n"
                                     "Sassafrasledge-Expect-Instance: i-1\r\n"
                                     "Sassafrasledge-Deadline-Ms: 1500\r\n"
                                     "Sassafrasledge-Model: m0\r\n"
                                     "Sassafrasledge-Tenant: t\r\n"
                                     "Last-Event-Id: 7\r\n"
                                     "Sassafrasledge-Request-Priority: 2\r\n");
    SlBuf_Free(&out);
}

TEST_F(PlatformHeaders, DecodesResponse)
{
    struct sl_response_head response;
    head.status = 503;
    add_header(&head, "Sassafrasledge-Not-Executed", "1");
    add_header(&head, "Sassafrasledge-Runner-Load", "12,3,64");
    add_header(&head, "Sassafrasledge-Confidence", "87");
    add_header(&head, "Sassafrasledge-Cold-Ms", "250");
    add_header(&head, "Retry-After", "0.25");
    add_header(&head, "Content-Type", "text/event-stream; charset=utf-8");
    add_header(&head, "Sassafrasledge-Server-Stamp", "s");
    SlPlatform_DecodeResponse(&head, &forwarded, &response);
    EXPECT_TRUE(response.not_executed);
    EXPECT_TRUE(response.is_stamped);
    EXPECT_TRUE(response.is_events);
    EXPECT_TRUE(response.has_load);
    EXPECT_EQ(response.running, 12);
    EXPECT_EQ(response.waiting, 3);
    EXPECT_EQ(response.confidence, 87);
    EXPECT_EQ(response.cold_us, 250 * Sl_US_PER_MS);
    EXPECT_EQ(response.retry_after_us, 250 * Sl_US_PER_MS);
    EXPECT_EQ(text(response.headers).find("Runner-Load"), std::string::npos);
    EXPECT_NE(text(response.headers).find("Server-Stamp"), std::string::npos);
}

// The load of an upstream with and without its pace, and odd figures.
TEST_F(PlatformHeaders, DecodesPace)
{
    const struct {
        const char *load;
        int64_t slots;
        int64_t percent;
    } cases[] = {
        {"12,3,64", 64, 0},           {"12,3,64,130", 64, 130},
        {"12, 3, 64, 130 ", 64, 130}, {"12,3,64,", 64, 0},
        {"12,3,64,-5", 64, 0},        {"12,3,64,1.3", 64, 0},
        {"12,3,64,fast", 64, 0},      {"12,3,64,130x", 64, 0},
        {"12,3,64,130,9", 64, 130},   {"12,3,64,9999999999999999999", 64, 0},
        {"12,3,,130", -1, 130},
    };
    for (const auto &example : cases) {
        struct sl_response_head response;
        head = {};
        add_header(&head, "Sassafrasledge-Runner-Load", example.load);
        SlPlatform_DecodeResponse(&head, &forwarded, &response);
        EXPECT_TRUE(response.has_load) << example.load;
        EXPECT_EQ(response.running, 12) << example.load;
        EXPECT_EQ(response.waiting, 3) << example.load;
        EXPECT_EQ(response.slots, example.slots) << example.load;
        EXPECT_EQ(response.pace_percent, example.percent) << example.load;
    }
}

// Retry-After is a number of seconds with an optional fraction; any other
// value, such as a date, is marked as unusable.
TEST_F(PlatformHeaders, ParsesRetryAfter)
{
    const struct {
        const char *value;
        bool is_invalid;
        int64_t us;
    } cases[] = {
        {"2", false, 2 * Sl_US_PER_S},
        {"0.25", false, 250 * Sl_US_PER_MS},
        {"0", false, 0},
        {"1e20", false, (int64_t)1e15},
        {"-1", true, 0},
        {"", true, 0},
        {"soon", true, 0},
        {"2 s", true, 0},
        {"nan", true, 0},
        {"Fri, 04 Dec 2026 10:00:00 GMT", true, 0},
        {"99999999999999999999999999999999999999999999999999999999999999999999"
         "9999999999999999999999999999999999999999999999999999999999999999999"
         "9",
         true, 0},
    };
    for (const auto &test_case : cases) {
        struct sl_response_head response;
        head.header_count = 0;
        SlBuf_Clear(&forwarded);
        head.status = 503;
        add_header(&head, "retry-after", test_case.value);
        SlPlatform_DecodeResponse(&head, &forwarded, &response);
        EXPECT_EQ(response.retry_after_is_invalid, test_case.is_invalid)
            << test_case.value;
        EXPECT_EQ(response.retry_after_us, test_case.us) << test_case.value;
    }
}

TEST_F(PlatformHeaders, ServerLeavingIsNotForwarded)
{
    for (const char *value : {"1", "0", ""}) {
        struct sl_response_head response;
        head.header_count = 0;
        SlBuf_Clear(&forwarded);
        head.status = 200;
        add_header(&head, "Server-Leaving", value);
        add_header(&head, "X-Other", "1");
        SlPlatform_DecodeResponse(&head, &forwarded, &response);
        EXPECT_EQ(response.is_leaving, strcmp(value, "1") == 0);
        EXPECT_EQ(text(response.headers), "X-Other: 1\r\n");
    }
}

TEST_F(PlatformHeaders, ServerLimitIsDecodedAndNotForwarded)
{
    const struct {
        const char *value;
        bool is_valid;
        double per_s;
    } cases[] = {
        {"1", true, 1},           {"1.1", true, 1.1},   {"0", true, 0},
        {"0.25", true, 0.25},     {"2500", true, 2500}, {"1e300", true, 1e9},
        {"-1", false, 0},         {"", false, 0},       {"nan", false, 0},
        {"1 a second", false, 0},
    };
    for (const auto &test_case : cases) {
        struct sl_response_head response;
        head.header_count = 0;
        SlBuf_Clear(&forwarded);
        head.status = 200;
        add_header(&head, "Server-Limit", test_case.value);
        add_header(&head, "X-Other", "1");
        SlPlatform_DecodeResponse(&head, &forwarded, &response);
        EXPECT_EQ(response.has_limit, test_case.is_valid) << test_case.value;
        EXPECT_EQ(response.limit_is_invalid, !test_case.is_valid);
        EXPECT_EQ(response.limit_per_s, test_case.per_s) << test_case.value;
        EXPECT_EQ(text(response.headers), "X-Other: 1\r\n");
    }
}

/* ---- records ---- */

class PlatformRecords : public testing::Test {
  protected:
    struct sl_record record = {};

    void
    TearDown() override
    {
        SlPlatform_ClearRecord(&record);
    }

    void
    decode(enum sl_feed feed, const std::string &key, const std::string &value)
    {
        SlPlatform_ClearRecord(&record);
        key_bytes = key;
        value_bytes = value;
        SlPlatform_DecodeRecord(feed, 5, view(key_bytes), view(value_bytes),
                                &record);
    }

    std::string
    decode_error(enum sl_feed feed, const std::string &key,
                 const std::string &value)
    {
        decode(feed, key, value);
        return record.type == Sl_RECORD_UNREADABLE ? record.u.err.text : "ok";
    }

  private:
    std::string key_bytes;
    std::string value_bytes;
};

static const std::string kRoutingJson =
    R"({"Version":7,"Routes":[
    {"Name":"r1","Host":"h","PathPrefix":"/a/","RouteType":"streaming",
     "TimeoutMs":20000,"TargetLatencyMs":4000,"Priority":1,
     "Sizes":["s","m","l"],"Split":[{"Service":"llm","Weight":90},
     {"Service":"app","Weight":10}],"MaxAttempts":3,"Public":false,
     "Sticky":true,"Resumable":true,"TargetGapMs":2000},
    {"Name":"r2","Host":"h","PathPrefix":"/b/","RouteType":"idempotent",
     "TimeoutMs":1200,"Service":"app","MaxAttempts":2,"Public":true}],
    "Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":370,
     "ColdStartS":3.0,"ColdPerS":7.8,"Engine":{"Slots":64,
     "KvCapacityTokens":335077,"Stride":8,
     "Models":[{"Name":"s","Cost":0.015}]}},
    {"Name":"app","MaxConns":110,"ColdStartS":0.0,"ColdPerS":0.0}],
    "Limits":{"MaxHeaderBytes":8192,"IdleTimeoutMs":9000},
    "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":0}]})";

TEST_F(PlatformRecords, DecodesRouting)
{
    decode(Sl_FEED_OPERATORS, "config", kRoutingJson);
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING)
        << (record.type == Sl_RECORD_UNREADABLE ? record.u.err.text : "");
    const struct sl_routing *routing = record.u.routing;
    EXPECT_EQ(SlRouting_Version(routing), 7);
    const struct sl_route *route =
        SlRouting_Match(routing, Sl_STR("h"), Sl_STR("/a/x"));
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, Sl_ROUTE_STREAM);
    EXPECT_TRUE(route->resumable);
    EXPECT_EQ(route->target_count, 2u);
    EXPECT_EQ(route->model_count, 3u);
    EXPECT_EQ(route->timeout_us, 20 * Sl_US_PER_S);
    struct sl_name llm = SlName_Of("llm");
    const struct sl_route_service *service =
        SlRouting_FindService(routing, &llm);
    EXPECT_TRUE(service->is_engine);
    EXPECT_EQ(service->cold_start_us, 3 * Sl_US_PER_S);
    EXPECT_DOUBLE_EQ(service->models[0].cost, 0.015);
    EXPECT_EQ(SlRouting_Limits(routing)->max_header_bytes, 8192);
    EXPECT_EQ(SlRouting_Limits(routing)->idle_timeout_us, 9 * Sl_US_PER_S);
    EXPECT_EQ(SlRouting_TeamOfKey(routing, Sl_STR("k2"))->priority, 0);
}

// Guards against configurations that are rejected or cut for a long host,
// path, key, name or list: the pages limit none of them.
TEST_F(PlatformRecords, RoutingWithLongTextsIsKeptWhole)
{
    std::string host = std::string(253, 'h');
    std::string path = "/" + std::string(300, 'p') + "/";
    std::string key(500, 'k');
    std::string name(Sl_NAME_MAX_BYTES, 'n');
    std::string service(Sl_NAME_MAX_BYTES, 's');
    std::string shares;
    std::string services;
    std::string names;
    for (int i = 0; i < 20; i++) {
        std::string each = "s" + std::to_string(i);
        shares += (i > 0 ? "," : "") + ("{\"Service\":\"" + each) +
                  "\",\"Weight\":1}";
        services += ",{\"Name\":\"" + each + "\"}";
        names += (i > 0 ? ",\"" : "\"") + each + "\"";
    }
    decode(Sl_FEED_OPERATORS, "config",
           "{\"Version\":9007199254740993,\"Unknown\":123456789012345678,"
           "\"Services\":[{\"Name\":\"" +
               service + "\"}" + services +
               "],"
               "\"Routes\":[{\"Name\":\"" +
               name + "\",\"Host\":\"" + host + "\",\"PathPrefix\":\"" + path +
               "\",\"RouteType\":\"idempotent\","
               "\"Service\":\"" +
               service +
               "\"},"
               "{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/\","
               "\"RouteType\":\"idempotent\",\"Split\":[" +
               shares +
               "],"
               "\"Sizes\":[" +
               names + "],\"AllowedRegions\":[" + names +
               "]}],"
               "\"Tenants\":[{\"Name\":\"" +
               name + "\",\"ApiKeys\":[\"" + key + "\"]}]}");
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING)
        << (record.type == Sl_RECORD_UNREADABLE ? record.u.err.text : "");
    const struct sl_routing *routing = record.u.routing;
    EXPECT_EQ(SlRouting_Version(routing), 9007199254740993);
    const struct sl_route *route = SlRouting_Match(
        routing, SlStr_FromC(host.c_str()), SlStr_FromC(path.c_str()));
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(text(SlName_Str(&route->name)), name);
    EXPECT_EQ(text(SlName_Str(SlRoute_SelectService(route, 1))), service);
    route = SlRouting_Match(routing, Sl_STR("h"), Sl_STR("/"));
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->target_count, 20u);
    EXPECT_EQ(route->model_count, 20u);
    EXPECT_EQ(route->regions.count, 20u);
    const struct sl_team *team =
        SlRouting_TeamOfKey(routing, SlStr_FromC(key.c_str()));
    ASSERT_NE(team, nullptr);
    EXPECT_EQ(text(SlName_Str(&team->name)), name);
}

// Guards against an empty list of teams that is taken for an absent one: it
// lets nobody in on routes that are not public.
TEST_F(PlatformRecords, EmptyListOfTeamsLetsNobodyIn)
{
    std::string all = R"([{"Name":"t","ApiKeys":["k1","k2"],"Priority":0}])";
    decode(Sl_FEED_OPERATORS, "config", replace_once(kRoutingJson, all, "[]"));
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING);
    EXPECT_TRUE(SlRouting_NeedsKeys(record.u.routing));
    EXPECT_EQ(SlRouting_TeamCount(record.u.routing), 0u);
    EXPECT_EQ(SlRouting_TeamOfKey(record.u.routing, Sl_STR("k1")), nullptr);
    decode(Sl_FEED_OPERATORS, "config",
           replace_once(kRoutingJson, ",\n    \"Tenants\":" + all, ""));
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING);
    EXPECT_FALSE(SlRouting_NeedsKeys(record.u.routing));
    decode(Sl_FEED_OPERATORS, "config",
           replace_once(kRoutingJson, R"("k1","k2")", ""));
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING);
    EXPECT_TRUE(SlRouting_NeedsKeys(record.u.routing));
}

// Guards against an empty list of regions that is taken for an absent one: it
// allows no region.
TEST_F(PlatformRecords, EmptyListOfRegionsAllowsNone)
{
    struct sl_name west = SlName_Of("west");
    decode(Sl_FEED_OPERATORS, "config",
           replace_once(replace_once(kRoutingJson, "\"Sticky\":true",
                                     "\"AllowedRegions\":[]"),
                        "\"Name\":\"t\"",
                        "\"Name\":\"t\",\"AllowedRegions\":[]"));
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING);
    const struct sl_routing *routing = record.u.routing;
    EXPECT_FALSE(SlRegionList_Allows(
        &SlRouting_Match(routing, Sl_STR("h"), Sl_STR("/a/x"))->regions,
        &west));
    EXPECT_FALSE(
        SlRegionList_Allows(&SlRouting_Team(routing, 0)->regions, &west));
    EXPECT_TRUE(SlRegionList_Allows(
        &SlRouting_Match(routing, Sl_STR("h"), Sl_STR("/b/x"))->regions,
        &west));
}

// Guards against a member that should be a list and is none, which counted as
// absent: without its regions, a route or team is not restricted any more.
TEST_F(PlatformRecords, MemberThatIsNoListIsRefused)
{
    for (const char *change :
         {"\"Tenants\":{},\"Was\":[{\"Name\":\"t\"",
          "\"Tenants\":[{\"AllowedRegions\":\"west\",\"Name\":\"t\"",
          "\"Tenants\":[{\"AllowedRegions\":null,\"Name\":\"t\""}) {
        decode(Sl_FEED_OPERATORS, "config",
               replace_once(kRoutingJson, "\"Tenants\":[{\"Name\":\"t\"",
                            change));
        EXPECT_EQ(record.type, Sl_RECORD_UNREADABLE) << change;
    }
    for (const char *change : {"\"Sizes\":{},\"Was\":[\"s\"",
                               "\"AllowedRegions\":{},\"Sizes\":[\"s\"",
                               "\"AllowedRegions\":[7],\"Sizes\":[\"s\""}) {
        decode(Sl_FEED_OPERATORS, "config",
               replace_once(kRoutingJson, "\"Sizes\":[\"s\"", change));
        EXPECT_EQ(record.type, Sl_RECORD_UNREADABLE) << change;
    }
    decode(Sl_FEED_OPERATORS, "config",
           replace_once(kRoutingJson, "[\"k1\",\"k2\"]", "\"k1\""));
    EXPECT_EQ(record.type, Sl_RECORD_UNREADABLE);
}

// Guards against numbers that make a configuration unreadable, or turn into
// others, for their size.
TEST_F(PlatformRecords, RoutingWithLargeNumbersIsRead)
{
    std::string big = "99999999999999999999999999";
    decode(
        Sl_FEED_OPERATORS, "config",
        replace_once(
            replace_once(
                replace_once(
                    replace_once(replace_once(kRoutingJson, "20000", "1e300"),
                                 "\"ColdStartS\":3.0", "\"ColdStartS\":1e308"),
                    "\"MaxAttempts\":3", "\"MaxAttempts\":" + big),
                "8192", big),
            "\"Version\":7", "\"Version\":7,\"New\":" + big));
    ASSERT_EQ(record.type, Sl_RECORD_ROUTING)
        << (record.type == Sl_RECORD_UNREADABLE ? record.u.err.text : "");
    EXPECT_EQ(SlRouting_Version(record.u.routing), 7);
    const struct sl_route *route =
        SlRouting_Match(record.u.routing, Sl_STR("h"), Sl_STR("/a/x"));
    ASSERT_NE(route, nullptr);
    EXPECT_GE(route->timeout_us, 20 * Sl_US_PER_S);
    // Of known fields, too, which must not fall back to their defaults.
    EXPECT_GT(route->max_attempts, 1000000);
    EXPECT_GT(SlRouting_Limits(record.u.routing)->max_header_bytes, 1000000);
    struct sl_name llm = SlName_Of("llm");
    EXPECT_GE(SlRouting_FindService(record.u.routing, &llm)->cold_start_us,
              3 * Sl_US_PER_S);
}

// Guards against keys that are dropped without a word.
TEST_F(PlatformRecords, KeysThatAreNoTextsAreRefused)
{
    EXPECT_EQ(decode_error(Sl_FEED_OPERATORS, "config",
                           replace_once(kRoutingJson, "\"k2\"", "2")),
              "\"ApiKeys\" has an item that is not a text");
}

// A name that is too long is refused with a reason, and never cut.
TEST_F(PlatformRecords, NamesBeyondTheLimitAreRefused)
{
    std::string name(Sl_NAME_MAX_BYTES + 1, 'n');
    EXPECT_EQ(
        decode_error(Sl_FEED_OPERATORS, "config",
                     replace_once(kRoutingJson, "\"r1\"", "\"" + name + "\"")),
        "\"Name\" is not a valid name");
    EXPECT_EQ(record.key_type, Sl_RECORD_ROUTING);
    EXPECT_EQ(
        decode_error(Sl_FEED_OPERATORS, "config",
                     replace_once(kRoutingJson, "\"m\"", "\"" + name + "\"")),
        "\"Sizes\" has an item that is not a valid name");
    EXPECT_EQ(decode_error(Sl_FEED_OPERATORS, "rollout/x",
                           "{\"Service\":\"" + name.substr(8) +
                               "\",\"Target\":\"v\",\"DurationS\":1e300}"),
              "\"Service\" is too long for the key of a status");
}

// Any key of the store names an upstream.
TEST_F(PlatformRecords, UpstreamIdsAreAsLongAsKeysOfTheStore)
{
    std::string id(Sl_STORE_KEY_MAX_BYTES, 'i');
    decode(Sl_FEED_UPSTREAMS, id,
           R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Slots":64,"State":"ready","Sequence":4})");
    ASSERT_EQ(record.type, Sl_RECORD_UPSTREAM);
    EXPECT_EQ(text(SlName_Str(&record.u.upstream.id)), id);
}

TEST_F(PlatformRecords, RejectsInvalidRouting)
{
    EXPECT_EQ(decode_error(Sl_FEED_OPERATORS, "config", "[]"),
              "not a JSON object: it has another type");
    EXPECT_EQ(
        decode_error(Sl_FEED_OPERATORS, "config",
                     replace_once(kRoutingJson, "\"streaming\"", "\"magic\"")),
        "\"RouteType\" has the unknown value \"magic\"");
    EXPECT_EQ(
        decode_error(Sl_FEED_OPERATORS, "config",
                     replace_once(kRoutingJson, "\"Service\":\"app\",\"Max",
                                  "\"Service\":\"no\",\"Max")),
        "service \"no\" is not configured");
    EXPECT_EQ(decode_error(
                  Sl_FEED_OPERATORS, "config",
                  replace_once(kRoutingJson, "\"Host\":\"h\"", "\"Host\":5")),
              "\"Host\" is not a valid name");
    EXPECT_EQ(decode_error(Sl_FEED_OPERATORS, "config",
                           replace_once(kRoutingJson, "\"/b/\"", "\"/a/\"")),
              "route \"r2\" is defined twice");
}

TEST_F(PlatformRecords, DecodesRegistrations)
{
    const std::string valid_json =
        R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Slots":64,"State":"ready","ColdLeftMs":1500,
        "Sequence":4,"born":1700000000000})";
    decode(Sl_FEED_UPSTREAMS, "i-1", valid_json);
    ASSERT_EQ(record.type, Sl_RECORD_UPSTREAM);
    EXPECT_STREQ(record.u.upstream.id.text, "i-1");
    EXPECT_EQ(record.u.upstream.cold_us, 1500 * Sl_US_PER_MS);
    EXPECT_EQ(record.u.upstream.start_wall_ms, 1700000000000);
    EXPECT_FALSE(record.u.upstream.draining);
    // Invalid records, which other writers of the topic may leave, are
    // rejected.
    EXPECT_EQ(
        decode_error(Sl_FEED_UPSTREAMS, "i-1",
                     replace_once(valid_json, "\"ready\"", "\"resting\"")),
        "\"State\" has the unknown value \"resting\"");
    EXPECT_EQ(decode_error(Sl_FEED_UPSTREAMS, "i-1",
                           replace_once(valid_json, "\"Slots\":64",
                                        "\"Slots\":\"64\"")),
              "\"Slots\" is not a positive integer, or \"Sequence\" is not an "
              "integer");
    EXPECT_EQ(decode_error(Sl_FEED_UPSTREAMS, "i-1",
                           replace_once(valid_json, "\"Zone\":\"z\",", "")),
              "\"Zone\" is not a valid name");
    EXPECT_NE(decode_error(Sl_FEED_UPSTREAMS, "i-1", "\x01\x02"), "ok");
    decode(Sl_FEED_UPSTREAMS, "i-1", "");
    EXPECT_EQ(record.type, Sl_RECORD_UPSTREAM);
    EXPECT_TRUE(record.dropped);
}

// Runs on each of them; the entry names no upstream to use.
TEST_F(PlatformRecords, OddRegistrationsAreUnreadable)
{
    const std::string valid_json =
        R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Slots":64,"State":"ready","Sequence":4})";
    const std::string many_digits(400, '9');
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"\"z\"", std::string(100000, '[')},
        {"\"z\"", std::string(1000, '[') + std::string(1000, ']')},
        {"\"ready\"", "\"ready\",\"x\":" + std::string(100000, '[') +
                          std::string(100000, ']')},
        {"64", many_digits},
        {"64", "9223372036854775808"},
        {"64", "9223372036854775807"},
        {"64", "1e400"},
        {"64", "-1"},
        {"4}", many_digits + "}"},
        {"4}", "1e308}"},
        {":80", ":65536"},
        {":80", ":0"},
        {":80", ":-1"},
        {":80", ":" + many_digits},
        {":80", ":"},
        {":80", ":80x"},
        {":80", ""},
        {"10.0.0.1", "10.0.0.256"},
        {"10.0.0.1", ""},
    };
    for (const auto &[part, odd] : changes) {
        EXPECT_NE(decode_error(Sl_FEED_UPSTREAMS, "i-1",
                               replace_once(valid_json, part, odd)),
                  "ok")
            << part << " as " << odd.substr(0, 30);
    }
    for (const std::string &odd :
         {std::string("1e308"), many_digits + ".0", std::string("-9e18")}) {
        decode(Sl_FEED_UPSTREAMS, "i-1",
               replace_once(valid_json, "4}",
                            "4,\"ColdLeftMs\":" + odd + ",\"born\":" + odd +
                                "}"));
        if (record.type == Sl_RECORD_UPSTREAM) {
            EXPECT_EQ(record.u.upstream.cold_us, 0) << odd.substr(0, 30);
        }
    }
}

TEST_F(PlatformRecords, DecodesOrders)
{
    decode(Sl_FEED_OPERATORS, "rollout/llm",
           R"({"Service":"llm","Target":"v2","DurationS":12.5})");
    ASSERT_EQ(record.type, Sl_RECORD_ROLLOUT);
    EXPECT_EQ(record.u.rollout.duration_us, 12500 * Sl_US_PER_MS);
    decode(Sl_FEED_OPERATORS, "evacuate/brest", "{}");
    ASSERT_EQ(record.type, Sl_RECORD_EVACUATION);
    EXPECT_STREQ(record.u.evacuated.text, "brest");
    decode(Sl_FEED_OPERATORS, "evacuate/brest", "");
    EXPECT_TRUE(record.dropped);
    decode(Sl_FEED_OPERATORS, "weather", "{}");
    EXPECT_EQ(record.type, Sl_RECORD_OTHER);
}

// An encoded status decodes to the same values. A former version lost the
// `ramped` flag here, so that routers wrote the same status repeatedly.
TEST_F(PlatformRecords, StatusRoundTrips)
{
    struct sl_record written = {};
    struct sl_buf key = {};
    struct sl_buf value = {};
    written.type = Sl_RECORD_STATUS;
    written.u.status.service = SlName_Of("llm");
    written.u.status.version = SlName_Of("v2");
    written.u.status.state = Sl_ROLLOUT_ROLLED_BACK;
    written.u.status.ramped = true;
    written.u.status.order = 12;
    written.u.status.began_ms = 1700000000000;
    SlPlatform_EncodeRecord(&written, &key, &value);
    decode(Sl_FEED_STATUS, text(SlBuf_Str(&key)), text(SlBuf_Str(&value)));
    ASSERT_EQ(record.type, Sl_RECORD_STATUS);
    EXPECT_EQ(record.u.status.state, Sl_ROLLOUT_ROLLED_BACK);
    EXPECT_TRUE(record.u.status.ramped);
    EXPECT_EQ(record.u.status.order, 12u);
    EXPECT_EQ(record.u.status.began_ms, 1700000000000);
    SlBuf_Free(&key);
    SlBuf_Free(&value);
}
