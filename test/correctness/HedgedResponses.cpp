// A request that was sent to two targets gets the best of their responses.
#include "LoopbackTarget.h"
#include "coordination/entry/HostRouteCall.h"
#include "platform/Dialect.h"

#include <algorithm>

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds requestTimeout { 10'000 };
constexpr Milliseconds objective { 200 };
constexpr Milliseconds firstPause { 500 }; ///< longer than until the hedge
constexpr Milliseconds markInterval { 5 };
constexpr Milliseconds secondPause { 1 };

std::string responseOf(const std::string &status)
{
    return "HTTP/1.1 " + status + " Status\r\nKumquatdeal-Request-Id: a\r\n"
        + "Kumquatdeal-Response-Stamp: s\r\nContent-Length: 2\r\n\r\n{}";
}

} // namespace

TEST_GROUP(HedgedResponses)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    std::shared_ptr<ActiveService> service = std::make_shared<ActiveService>();
    std::shared_ptr<ActiveRoute> route = std::make_shared<ActiveRoute>();
    int arrivals = 0;
    TimePoint firstDue {};

    void setup() override
    {
        service->configuration.name = "s";
        service->configuration.healthPath = "/health";
        service->runtime = std::make_shared<ServiceRuntime>();
        route->configuration.name = "r";
        route->configuration.kind = RequestKind::idempotent;
        route->configuration.maxAttempts = 2;
        route->configuration.latencyObjective = objective;
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

    // Makes the first target look unresponsive until the request was sent to the other one.
    void markUnresponsive(std::size_t index)
    {
        spawnOn(loop, [this, index](Yield yield) {
            while (arrivals == 1) {
                service->targets[index]->stats->markUnresponsive(Clock::now());
                pauseFor(loop, markInterval, yield);
            }
        });
    }

    // Until both responses are due.
    void standStill()
    {
        const TimePoint until = std::max(firstDue, Clock::now()) + 2 * secondPause;
        while (Clock::now() < until) { }
    }

    // The first target is slow and fails; the response of the second comes at the same moment,
    // since the process stands still meanwhile.
    ResponseScript respond(const std::string &header, std::size_t index)
    {
        if (header.compare(0, 11, "GET /health") == 0) {
            return { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } };
        }
        if (++arrivals == 1) {
            firstDue = Clock::now() + firstPause;
            markUnresponsive(index);
            return { { responseOf("500"), EndOfPart::keep, firstPause } };
        }
        asio::post(loop, [this] { standStill(); });
        return { { responseOf("200"), EndOfPart::keep, secondPause } };
    }

    unsigned status(Yield yield)
    {
        unsigned got = 0;
        HttpRequest message(http::verb::get, "/x", 11);
        message.set("Kumquatdeal-Request-Id", "a");
        ResponseChannel caller;
        caller.write = [&got](HttpResponse response, Yield) { got = response.result_int(); };
        caller.watchDisconnect = [](const OnDisconnect &) {};
        caller.stopWatching = [] {};
        caller.abort = [](DropCause) {};
        const TimePoint now = Clock::now();
        HostRouteRequest request { caller,  worker,  platform::dialectNamed("platform"),
                                   route,   service, [this] { return service; },
                                   {},      now,     now + requestTimeout,
                                   message, "a",     0 };
        service->runtime->retryBudget.deposit();
        serveHostRouteRequest(request, yield);
        return got;
    }
};

// Guards against a failure that is passed on although the response of the other target has arrived.
TEST(HedgedResponses, aResponseThatCameTogetherWithAFailureIsPassedOn)
{
    LoopbackTarget one(loop, [this](int, const std::string &header) { return respond(header, 0); });
    LoopbackTarget other(loop,
                         [this](int, const std::string &header) { return respond(header, 1); });
    addTarget(one, "t1");
    addTarget(other, "t2");
    unsigned got = 0;
    runOn(loop, [&](Yield yield) { got = status(yield); });
    LONGS_EQUAL(2, arrivals);
    LONGS_EQUAL(200, got);
}
