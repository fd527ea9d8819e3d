#pragma once
/// \file
/// The set-up of tests that serve requests of one host route at targets on the loopback interface.
/// All run on the event loop of the test.

#include "LoopbackTarget.h"
#include "coordination/entry/HostRouteCall.h"
#include "platform/Dialect.h"

namespace kumquat::test {

/// The base of a test group: service "s" with a route of two attempts, and no targets.
struct HostRouteFixture : public Utest
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    std::shared_ptr<ActiveService> service = std::make_shared<ActiveService>();
    std::shared_ptr<ActiveRoute> route = std::make_shared<ActiveRoute>();
    bool isConfigured = true; ///< the present configuration has the service
    Dialect dialect = platform::dialectNamed("platform");

    void setUpRoute(RequestKind kind, Milliseconds objective, Milliseconds timeout)
    {
        service->configuration.name = "s";
        service->configuration.healthPath = "/health";
        service->runtime = std::make_shared<ServiceRuntime>();
        route->configuration.name = "r";
        route->configuration.kind = kind;
        route->configuration.maxAttempts = 2;
        route->configuration.latencyObjective = objective;
        route->configuration.timeout = timeout;
        route->runtime = std::make_shared<RouteRuntime>();
    }

    void addTarget(const LoopbackTarget &server, const std::string &name)
    {
        auto target = std::make_shared<Target>();
        target->record.name = name;
        target->record.service = "s";
        target->record.state = TargetState::ready;
        target->record.slots = 4;
        target->address = server.address();
        target->stats = std::make_shared<TargetStats>(1);
        service->targets.push_back(target);
    }

    /// Serves a request of the route and returns the status that its caller gets.
    unsigned serve(const HttpRequest &message, const std::string &id, Yield yield)
    {
        unsigned got = 0;
        ResponseChannel caller;
        caller.write = [&got](HttpResponse response, Yield) { got = response.result_int(); };
        caller.watchDisconnect = [](const OnDisconnect &) {};
        caller.stopWatching = [] {};
        caller.abort = [](DropCause) {};
        const TimePoint now = Clock::now();
        HostRouteRequest request { caller,
                                   worker,
                                   dialect,
                                   route,
                                   { service, [this] { return isConfigured ? service : nullptr; } },
                                   {},
                                   now,
                                   now + route->configuration.timeout,
                                   message,
                                   id,
                                   0 };
        serveHostRouteRequest(request, yield);
        return got;
    }
};

} // namespace kumquat::test
