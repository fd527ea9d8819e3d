// Requests are routed by host and longest path prefix, and split by weight.
#include "TestSupport.h"
#include "coordination/entry/RoutingTable.h"

using namespace kumquat;

namespace {

std::shared_ptr<ActiveRoute> addRoute(RoutingTable &table, const char *host, const char *prefix)
{
    auto route = std::make_shared<ActiveRoute>();
    route->configuration.name = prefix;
    route->runtime = std::make_shared<RouteRuntime>();
    auto routes = std::make_shared<HostRoutes>(*table.hostRoutes);
    (*routes)[routeKey(host, prefix)] = route;
    table.hostRoutes = routes;
    return route;
}

std::string matched(const RoutingTable &table, const char *host, const char *path)
{
    const ActiveRoutePtr route = table.matchHost(host, path);
    return route ? route->configuration.name : "none";
}

} // namespace

TEST_GROUP(HostRoutes) {};

TEST(HostRoutes, theLongestPrefixOfTheHostWins)
{
    RoutingTable table;
    addRoute(table, "a.example", "/p/");
    addRoute(table, "a.example", "/p/q/");
    addRoute(table, "b.example", "/");
    STRCMP_EQUAL("/p/q/", matched(table, "a.example", "/p/q/x").c_str());
    STRCMP_EQUAL("/p/", matched(table, "a.example", "/p/qq/x").c_str());
    STRCMP_EQUAL("none", matched(table, "a.example", "/p").c_str());
    STRCMP_EQUAL("/", matched(table, "b.example", "/anything").c_str());
    STRCMP_EQUAL("none", matched(table, "c.example", "/p/").c_str());
    STRCMP_EQUAL("none", matched(table, "a.example", "").c_str());
}

TEST(HostRoutes, theHostMatchesWithoutItsPortAndCase)
{
    RoutingTable table;
    addRoute(table, "a.example", "/p/");
    STRCMP_EQUAL("/p/", matched(table, "A.Example:8080", "/p/x").c_str());
}

TEST(HostRoutes, shortSequencesOfRequestsMatchTheWeights)
{
    RoutingTable table;
    const auto route = addRoute(table, "a.example", "/p/");
    route->configuration.destinations = { { "s1", 90 }, { "s2", 10 }, { "s3", 0 } };
    for (const Destination &destination : route->configuration.destinations) {
        auto service = std::make_shared<ActiveService>();
        service->configuration.name = destination.service;
        route->services.push_back(table.services.size());
        table.services.push_back(service);
    }
    constexpr int runs = 20;
    constexpr int requests = 50;
    for (int run = 0; run < runs; ++run) {
        std::map<std::string, int> counts;
        for (int i = 0; i < requests; ++i) {
            ++counts[table.nextService(*route)->configuration.name];
        }
        CHECK_TRUE(counts["s1"] >= 43 && counts["s1"] <= 47);
        LONGS_EQUAL(0, counts["s3"]);
    }
}

TEST(HostRoutes, aRouteIsNotResolvedWithTheServicesOfAnotherConfiguration)
{
    RoutingTable before;
    const auto route = addRoute(before, "a.example", "/p/");
    route->configuration.destinations = { { "s2", 1 } };
    route->services = { 1 };
    RoutingTable after;
    for (const char *name : { "s1", "s3" }) {
        auto service = std::make_shared<ActiveService>();
        service->configuration.name = name;
        after.services.push_back(service);
    }
    CHECK_TRUE(after.nextService(*route) == nullptr);
    after.services.pop_back();
    CHECK_TRUE(after.nextService(*route) == nullptr);
}
