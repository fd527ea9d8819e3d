// A request that lasts longer than a version of its service sees the present one.
#include "HostRouteFixture.h"
#include "coordination/entry/Call.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds objective { 2'000 };
constexpr Milliseconds timeout { 4'000 };
const std::string requestId = "0123456789abcdef";

ResponseScript sound()
{
    return { { "HTTP/1.1 200 OK\r\nKumquatdeal-Response-Stamp: s\r\nKumquatdeal-Request-Id: "
               + requestId + "\r\nContent-Length: 2\r\n\r\nok" } };
}

HttpRequest lookup()
{
    HttpRequest message(http::verb::get, "/look/1", 11);
    message.set("Kumquatdeal-Request-Id", requestId);
    message.prepare_payload();
    return message;
}

bool isProbe(const std::string &header)
{
    return header.rfind("GET /health", 0) == 0;
}

} // namespace

TEST_GROUP_BASE(ServicesReplaced, HostRouteFixture)
{
    int runs = 0;

    void setup() override
    {
        setUpRoute(RequestKind::idempotent, objective, timeout);
    }

    /// Answers load probes, and any other request as \p script says.
    LoopbackTarget::Respond counted(std::function<ResponseScript()> script)
    {
        return [this, script](int, const std::string &header) {
            if (isProbe(header)) {
                return ResponseScript { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } };
            }
            ++runs;
            return script();
        };
    }

    void fill(const Target &target) const
    {
        while (target.stats->tryAcquire(target.record.slots)) { }
    }

    unsigned serveLookup()
    {
        unsigned status = 0;
        runOn(loop, [&](Yield yield) { status = serve(lookup(), requestId, yield); });
        return status;
    }
};

// Guards against a retry that reaches a drained target of a service that the configuration no
// longer has: its targets stayed ready for ever in the version that the request began with.
TEST(ServicesReplaced, aRetryReachesNoTargetOfAServiceThatHasLeft)
{
    const auto leave = [this] {
        isConfigured = false;
        return ResponseScript { { "", EndOfPart::reset } };
    };
    LoopbackTarget first(loop, counted(leave));
    LoopbackTarget second(loop, counted(leave));
    addTarget(first, "t1");
    addTarget(second, "t2");
    LONGS_EQUAL(502, serveLookup());
    LONGS_EQUAL(1, runs);
}

// The same for a request that has waited since its service was there.
TEST(ServicesReplaced, aWaitingRequestReachesNoTargetOfAServiceThatHasLeft)
{
    LoopbackTarget server(loop, counted(sound));
    addTarget(server, "t1");
    const TargetPtr target = service->targets.front();
    fill(*target);
    spawnOn(loop, [&](Yield yield) {
        pauseFor(loop, Milliseconds(100), yield);
        isConfigured = false;
        while (target->stats->inFlight() > 0) {
            target->stats->release();
        }
    });
    LONGS_EQUAL(503, serveLookup());
    LONGS_EQUAL(0, runs);
}

// The same for a hedge: the target at work falls silent after the service has left.
TEST(ServicesReplaced, aHedgeReachesNoTargetOfAServiceThatHasLeft)
{
    const auto fallSilent = [this] {
        isConfigured = false;
        for (const TargetPtr &target : service->targets) {
            if (target->stats->inFlight() > 0) {
                target->stats->markUnresponsive(Clock::now() + Seconds(60));
            }
        }
        return ResponseScript {};
    };
    LoopbackTarget first(loop, counted(fallSilent));
    LoopbackTarget second(loop, counted(fallSilent));
    addTarget(first, "t1");
    addTarget(second, "t2");
    LONGS_EQUAL(504, serveLookup());
    LONGS_EQUAL(1, runs);
}

TEST(ServicesReplaced, aRetryReachesTheTargetsOfAServiceThatHasComeBack)
{
    LoopbackTarget back(loop, counted(sound));
    LoopbackTarget first(loop, counted([this, &back] {
                             auto next = std::make_shared<ActiveService>(*service);
                             next->targets.clear();
                             service = next;
                             addTarget(back, "t2");
                             return ResponseScript { { "", EndOfPart::reset } };
                         }));
    addTarget(first, "t1");
    LONGS_EQUAL(200, serveLookup());
    LONGS_EQUAL(2, runs);
}

// Guards against a choice that goes on with the targets as they were before its load probes.
TEST(ServicesReplaced, aTargetThatLeavesDuringTheLoadProbesIsNotChosen)
{
    service->runtime->loadProbeBudget = TokenBucket(100, 100);
    LoopbackTarget server(loop, [this](int, const std::string &header) {
        runs += isProbe(header) ? 0 : 1;
        isConfigured = false;
        return ResponseScript { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } };
    });
    addTarget(server, "t1");
    LONGS_EQUAL(503, serveLookup());
    LONGS_EQUAL(0, runs);
}

// The same on the product's own routes: the request waits for a free slot.
TEST(ServicesReplaced, aRequestThatWaitsForASlotIsRefusedOnceItsServiceHasLeft)
{
    LoopbackTarget server(loop, counted(sound));
    addTarget(server, "t1");
    service->configuration.limits.queue = 1;
    const Target &target = *service->targets.front();
    while (target.stats->tryAcquire(service->inFlightLimitOf(target, Clock::now()))) { }
    CurrentService current(service, [this] { return isConfigured ? service : nullptr; });
    const TimePoint start = Clock::now();
    spawnOn(loop, [this](Yield yield) {
        pauseFor(loop, Milliseconds(50), yield);
        isConfigured = false;
    });
    RefusalReason reason = RefusalReason::overloaded;
    runOn(loop, [&](Yield yield) {
        CHECK_FALSE(waitForTarget(worker, current, {}, start + timeout, reason, yield));
    });
    CHECK(reason == RefusalReason::noTarget);
    CHECK(Clock::now() - start < timeout / 2);
}

// Guards against a target that has left, and whose slot goes to a request that has waited for it.
TEST(ServicesReplaced, aFreeSlotOfATargetThatHasLeftGoesToNobody)
{
    LoopbackTarget server(loop, counted(sound));
    addTarget(server, "t1");
    service->configuration.limits.queue = 1;
    const TargetPtr left = service->targets.front();
    while (left->stats->tryAcquire(service->inFlightLimitOf(*left, Clock::now()))) { }
    CurrentService current(service, [this] { return service; });
    spawnOn(loop, [&](Yield yield) {
        pauseFor(loop, Milliseconds(50), yield);
        auto next = std::make_shared<ActiveService>(*service);
        next->targets.clear();
        service = next;
        releaseTarget(*service, *left);
    });
    RefusalReason reason = RefusalReason::overloaded;
    runOn(loop, [&](Yield yield) {
        CHECK_FALSE(waitForTarget(worker, current, {}, Clock::now() + timeout, reason, yield));
    });
    CHECK(reason == RefusalReason::noTarget);
}

// Guards against a booking that goes to a target that has left while the key was claimed, which
// may take as long as the request.
TEST(ServicesReplaced, aTargetThatLeavesDuringTheClaimOfAKeyIsNotUsed)
{
    LoopbackTarget server(loop, counted(sound));
    addTarget(server, "t1");
    service->policy = [](const std::vector<Candidate> &, std::uint64_t) { return 0; };
    bool released = false;
    hooks.once = [&](const OnceRequest &once, TimePoint, Yield yield) {
        released = released || once.operation == OnceOperation::release;
        pauseFor(loop, Milliseconds(10), yield);
        isConfigured = false;
        OnceReply reply;
        reply.status = OnceStatus::granted;
        return absl::StatusOr<OnceReply>(reply);
    };
    TcpAcceptor acceptor(loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0));
    TcpSocket caller(loop);
    caller.connect(acceptor.local_endpoint());
    asio::write(caller, asio::buffer(std::string("POST /b HTTP/1.1\r\nHost: h\r\n\r\n")));
    runOn(loop, [&](Yield yield) {
        TcpSocket socket(loop);
        ErrorCode error;
        acceptor.async_accept(socket, yield[error]);
        CallerHooks callerHooks;
        callerHooks.isStopping = [] { return true; };
        callerHooks.limits = [] { return CallerLimits(); };
        const auto connection = std::make_shared<CallerConnection>(loop, std::move(socket));
        connection->serve(
            [&](CallerConnection &served, Yield inner) {
                CurrentService current(service,
                                       [this] { return isConfigured ? service : nullptr; });
                Call call { served, worker, current, Clock::now() + timeout, {}, 0 };
                call.request = HttpRequest(forwardedHeader(served.header(), call.deadline));
                serveOnce(call, "key", inner);
                caller.close();
            },
            std::move(callerHooks), yield);
    });
    LONGS_EQUAL(0, runs);
    CHECK(released);
    LONGS_EQUAL(0, service->targets.front()->stats->inFlight());
}
