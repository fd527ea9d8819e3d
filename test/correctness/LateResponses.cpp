// What an attempt brings after its request has ended keeps nothing.
#include "LoopbackTarget.h"
#include "coordination/entry/Call.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds deadline { 500 };
constexpr Seconds testTimeout { 20 };
const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

std::string longResponse()
{
    const std::string body(2 * AttemptOptions().maxBufferedBytes, 'x');
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TargetPtr named(const LoopbackTarget &server, const char *name)
{
    const TargetPtr target = server.target();
    target->stats->release();
    const auto copy = std::make_shared<Target>(*target);
    copy->record.name = name;
    return copy;
}

} // namespace

TEST_GROUP(LateResponses)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    std::shared_ptr<ActiveService> service = std::make_shared<ActiveService>();
    TcpAcceptor acceptor { loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0) };

    void setup() override
    {
        service->runtime = std::make_shared<ServiceRuntime>();
        service->policy = [](const std::vector<Candidate> &, std::uint64_t) { return 0; };
        service->configuration.limits.queue = 10;
        service->configuration.retry.maxAttempts = 3;
        service->configuration.retry.hedgeAfter = Milliseconds(20);
    }

    void serve(Yield yield)
    {
        TcpSocket socket(loop);
        ErrorCode error;
        acceptor.async_accept(socket, yield[error]);
        CallerHooks callerHooks;
        callerHooks.isStopping = [] { return false; };
        callerHooks.limits = [] { return CallerLimits(); };
        callerHooks.handlerFailed = [](const char *what) { FAIL(what); };
        callerHooks.responsesDropped = [](DropCause, std::size_t) {};
        const auto caller = std::make_shared<CallerConnection>(loop, std::move(socket));
        caller->serve(
            [this](CallerConnection &connection, Yield inner) {
                Call call { connection, worker, service, Clock::now() + deadline, {}, 0 };
                call.request = HttpRequest(forwardedHeader(connection.header(), call.deadline));
                serveIdempotent(call, inner);
            },
            std::move(callerHooks), yield);
        loop.stop();
    }
};

// Guards against a target's slot that is never free again, since its long response came while the
// request waited in vain for another target.
TEST(LateResponses, aLongResponseThatNobodyTakesFreesItsSlot)
{
    LoopbackTarget failing(loop, [](int, const std::string &) {
        return ResponseScript { { "", EndOfPart::reset, Milliseconds(100) } };
    });
    LoopbackTarget late(loop, [](int, const std::string &) {
        return ResponseScript { { longResponse(), EndOfPart::keep, Milliseconds(200) } };
    });
    LoopbackTarget full(loop, [](int, const std::string &) { return ResponseScript {}; });
    service->targets = { named(failing, "t1"), named(late, "t2"), named(full, "t3") };
    const Target &third = *service->targets[2];
    while (third.stats->tryAcquire(service->inFlightLimitOf(third, Clock::now()))) { }
    spawnOn(loop, [this](Yield yield) { serve(yield); });
    TcpSocket caller(loop);
    caller.connect(acceptor.local_endpoint());
    asio::write(caller, asio::buffer(request));
    loop.run_for(testTimeout);
    LONGS_EQUAL(1, late.connections());
    LONGS_EQUAL(0, service->targets[0]->stats->inFlight());
    LONGS_EQUAL(0, service->targets[1]->stats->inFlight());
}
