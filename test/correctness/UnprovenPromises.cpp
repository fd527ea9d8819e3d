// A caller is told that its request did not run only if a target has proved it.
#include "LoopbackTarget.h"
#include "coordination/entry/HostRouteCall.h"
#include "platform/Dialect.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds requestTimeout { 1'500 };

std::string responseTo(const std::string &id, const std::string &status, const std::string &more)
{
    return "HTTP/1.1 " + status + " Status\r\nKumquatdeal-Request-Id: " + id + "\r\n" + more
        + "Content-Length: 2\r\n\r\n{}";
}

std::string requestIdIn(const std::string &header)
{
    const std::string name = "Kumquatdeal-Request-Id: ";
    const std::size_t begin = header.find(name) + name.size();
    return header.substr(begin, header.find("\r\n", begin) - begin);
}

} // namespace

TEST_GROUP(UnprovenPromises)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    std::shared_ptr<ActiveService> service = std::make_shared<ActiveService>();
    std::shared_ptr<ActiveRoute> route = std::make_shared<ActiveRoute>();

    void setup() override
    {
        service->configuration.name = "s";
        service->runtime = std::make_shared<ServiceRuntime>();
        route->configuration.name = "r";
        route->configuration.kind = RequestKind::single;
        route->configuration.maxAttempts = 2;
        route->configuration.latencyObjective = requestTimeout;
        route->configuration.timeout = requestTimeout;
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

    /// Sends a request of an unsafe route and returns the status that its caller gets.
    unsigned status(const std::string &id, Yield yield)
    {
        unsigned got = 0;
        HttpRequest message(http::verb::post, "/x", 11);
        message.set("Kumquatdeal-Request-Id", id);
        message.prepare_payload();
        ResponseChannel caller;
        caller.write = [&got](HttpResponse response, Yield) { got = response.result_int(); };
        caller.watchDisconnect = [](const OnDisconnect &) {};
        caller.stopWatching = [] {};
        caller.abort = [](DropCause) {};
        const TimePoint now = Clock::now();
        HostRouteRequest request { caller,  worker,  platform::dialectNamed("platform"),
                                   route,   service, [this] { return service; },
                                   {},      now,     now + requestTimeout,
                                   message, id,      0 };
        serveHostRouteRequest(request, yield);
        return got;
    }
};

TEST(UnprovenPromises, aStatusThatPromisesWithoutProofIsNotPassedOn)
{
    for (const std::string promise : { "408", "429", "503" }) {
        LoopbackTarget server(loop, [promise](int, const std::string &header) {
            return ResponseScript { { responseTo(requestIdIn(header), promise, "") } };
        });
        service->targets.clear();
        addTarget(server, "t" + promise);
        unsigned got = 0;
        runOn(loop, [&](Yield yield) { got = status("a", yield); });
        checkProperty(got == 502, promise + " became " + std::to_string(got));
    }
}

TEST(UnprovenPromises, aRefusalWrittenOnceMoreNeitherPromisesNorResendsARunningRequest)
{
    int runs = 0;
    const std::string refusal = "HTTP/1.1 503 Busy\r\nKumquatdeal-Not-Executed: 1\r\n"
                                "Content-Length: 2\r\n\r\n{}";
    // Refuses the first request of each connection and writes the refusal once more, without an ID,
    // when it runs the second.
    const auto respond = [&runs, refusal](int exchange, const std::string &header) {
        const std::string id = requestIdIn(header);
        if (exchange == 0) {
            return ResponseScript { { responseTo(id, "503", "Kumquatdeal-Not-Executed: 1\r\n") } };
        }
        ++runs;
        return ResponseScript { { refusal } };
    };
    LoopbackTarget one(loop, respond);
    LoopbackTarget other(loop, respond);
    addTarget(one, "t1");
    addTarget(other, "t2");
    unsigned refused = 0;
    unsigned got = 0;
    runOn(loop, [&](Yield yield) {
        refused = status("a", yield);
        got = status("b", yield);
    });
    LONGS_EQUAL(503, refused);
    LONGS_EQUAL(1, runs);
    checkProperty(got == 502 || got == 504, std::to_string(got));
}
