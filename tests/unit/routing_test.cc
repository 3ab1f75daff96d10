// Unit tests of routing tables: matching routes, API keys, and splits of a
// route's requests between services.
#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "sl_routing.h"
}

class Routing : public testing::Test {
  protected:
    struct sl_routing *routing = SlRouting_New(7 /* version */);
    struct sl_error err = {};

    void
    SetUp() override
    {
        struct sl_route_service service = {};
        service.name = SlName_Of("plume");
        ASSERT_EQ(SlRouting_AddService(routing, &service, &err), Sl_OK);
    }

    void
    TearDown() override
    {
        SlRouting_Unref(routing);
    }

    // Adds a route to the service "plume".
    enum sl_errno
    add_route(const char *name, const char *host, const char *prefix)
    {
        struct sl_route route = {};
        route.name = SlName_Of(name);
        route.host = SlStr_FromC(host);
        route.prefix = SlStr_FromC(prefix);
        struct sl_route_target target = {SlName_Of("plume"), 1};
        route.target_count = 1;
        route.targets = &target;
        return SlRouting_AddRoute(routing, &route, &err);
    }

    // Returns the name of the route for a request, or "" if there is none.
    std::string
    match(const char *host, const std::string &target) const
    {
        const struct sl_route *route = SlRouting_Match(
            routing, SlStr_FromC(host), {target.data(), target.size()});
        return route == nullptr ? "" : route->name.text;
    }
};

TEST_F(Routing, LongestPrefixOfTheHostWins)
{
    ASSERT_EQ(add_route("top", "a.example", "/"), Sl_OK);
    ASSERT_EQ(add_route("one", "a.example", "/x/"), Sl_OK);
    ASSERT_EQ(add_route("two", "a.example", "/x/y/"), Sl_OK);
    EXPECT_EQ(match("a.example", "/x/y/z"), "two");
    EXPECT_EQ(match("a.example", "/x/y"), "one");
    EXPECT_EQ(match("a.example", "/x"), "top");
    EXPECT_EQ(match("A.EXAMPLE:8080", "/x/"), "one");
    EXPECT_EQ(match("b.example", "/x/"), "");
    EXPECT_EQ(match("a.example", "/?q=/x/y/"), "top");
    EXPECT_EQ(match("a.example", ""), "");
    EXPECT_EQ(match("a.example", "/x/" + std::string(5000, 'a') + "/"), "one");
}

TEST_F(Routing, RejectsDuplicates)
{
    ASSERT_EQ(add_route("one", "h", "/x/"), Sl_OK);
    EXPECT_EQ(add_route("two", "H", "/x/"), Sl_ERR_INVALID);
    struct sl_team team = {};
    team.name = SlName_Of("t");
    ASSERT_EQ(SlRouting_AddTeam(routing, &team, &err), Sl_OK);
    EXPECT_EQ(SlRouting_AddTeam(routing, &team, &err), Sl_ERR_INVALID);
    ASSERT_EQ(SlRouting_AddKey(routing, Sl_STR("k"), &team.name, &err), Sl_OK);
    EXPECT_EQ(SlRouting_AddKey(routing, Sl_STR("k"), &team.name, &err),
              Sl_ERR_INVALID);
    EXPECT_STREQ(SlRouting_TeamOfKey(routing, Sl_STR("k"))->name.text, "t");
    EXPECT_EQ(SlRouting_TeamOfKey(routing, Sl_STR("kk")), nullptr);
}

// Guards against hosts and prefixes that are rejected or cut for their length:
// no page limits them, and two that differ only in their last byte are not
// equal.
TEST_F(Routing, HostsAndPrefixesHaveAnyLength)
{
    for (size_t len : {63, 64, 82, 255, 256, 300, 1000, 16000}) {
        std::string base = "/" + std::string(len - 3, 'p');
        std::string host = std::string(len, 'h');
        std::string one = base + "1/";
        std::string two = base + "2/";
        ASSERT_EQ(add_route("one", host.c_str(), one.c_str()), Sl_OK) << len;
        ASSERT_EQ(add_route("two", host.c_str(), two.c_str()), Sl_OK) << len;
        EXPECT_EQ(add_route("again", host.c_str(), two.c_str()),
                  Sl_ERR_INVALID);
        EXPECT_EQ(match(host.c_str(), one), "one") << len;
        EXPECT_EQ(match(host.c_str(), two + "x?q"), "two") << len;
        EXPECT_EQ(match(host.c_str(), base + "3/"), "") << len;
        EXPECT_EQ(match((host + "x").c_str(), two), "") << len;
    }
}

// A path with many slashes costs as many lookups as there are lengths of
// prefixes, not one for each slash.
TEST_F(Routing, MatchesPathsWithManySlashes)
{
    ASSERT_EQ(add_route("top", "a.example", "/"), Sl_OK);
    ASSERT_EQ(add_route("deep", "a.example", "//////"), Sl_OK);
    EXPECT_EQ(match("a.example", std::string(1000000, '/')), "deep");
    EXPECT_EQ(match("a.example", std::string(5, '/')), "top");
}

// Guards against a request without a key that ends the router, and against
// keys that are equal because one goes on after a NUL byte.
TEST_F(Routing, KeysAreComparedAsBytes)
{
    struct sl_team team = {};
    team.name = SlName_Of("t");
    ASSERT_EQ(SlRouting_AddTeam(routing, &team, &err), Sl_OK);
    ASSERT_EQ(SlRouting_AddKey(routing, Sl_STR("k"), &team.name, &err), Sl_OK);
    EXPECT_EQ(SlRouting_AddKey(routing, Sl_STR("k\0x"), &team.name, &err),
              Sl_OK);
    EXPECT_EQ(SlRouting_TeamOfKey(routing, {nullptr, 0}), nullptr);
    EXPECT_EQ(SlRouting_TeamOfKey(routing, Sl_STR("")), nullptr);
    EXPECT_EQ(SlRouting_TeamOfKey(routing, Sl_STR("k\0y")), nullptr);
    EXPECT_NE(SlRouting_TeamOfKey(routing, Sl_STR("k\0x")), nullptr);
}

TEST_F(Routing, SplitsByWeightDeterministically)
{
    struct sl_route route = {};
    struct sl_route_target targets[] = {{SlName_Of("a"), 90},
                                        {SlName_Of("b"), 10}};
    route.target_count = 2;
    route.targets = targets;
    std::map<std::string, int> counts;
    for (uint64_t hash = 0; hash < 10000; hash++) {
        counts[SlRoute_SelectService(&route, hash)->text]++;
        ASSERT_EQ(SlRoute_SelectService(&route, hash),
                  SlRoute_SelectService(&route, hash));
    }
    EXPECT_NEAR(counts["a"], 9000, 200);
}
