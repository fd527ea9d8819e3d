// A target may respond and close before it has read the whole request; its response counts.
#include "LoopbackTarget.h"
#include "coordination/entry/HostRouteExchange.h"
#include "platform/Dialect.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds longTimeout { 10'000 };
constexpr std::size_t longBodyBytes = 32 * 1024 * 1024;
const std::string earlyResponse
    = "HTTP/1.1 413 Too Large\r\nKumquatdeal-Request-Id: a\r\nContent-Length: 5\r\n\r\nearly";

} // namespace

TEST_GROUP(EarlyResponses)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    std::shared_ptr<ActiveService> service = std::make_shared<ActiveService>();
    HttpRequest message { http::verb::post, "/x", 11 };

    void setup() override
    {
        service->runtime = std::make_shared<ServiceRuntime>();
        message.set("Kumquatdeal-Request-Id", "a");
        message.body().assign(longBodyBytes, 'b');
        message.prepare_payload();
    }
};

// Guards against a response that is lost since sending its request failed.
TEST(EarlyResponses, aResponseBehindAFailedSendingIsTheAttemptsResult)
{
    for (const EndOfPart end : { EndOfPart::close, EndOfPart::reset }) {
        LoopbackTarget server(loop, [end](int, const std::string &) {
            return ResponseScript { { earlyResponse, end } };
        });
        AttemptResult result;
        runOn(loop, [&](Yield yield) {
            AttemptOptions options;
            options.deadline = Clock::now() + longTimeout;
            AttemptHandle handle;
            result = runAttempt(worker, *service, server.target(), message, options, handle, yield);
        });
        CHECK_TRUE(result.outcome == AttemptOutcome::completed);
        LONGS_EQUAL(413, result.response.result_int());
        LONGS_EQUAL(0, worker.pool.idleCount());
    }
}

TEST(EarlyResponses, aResponseBehindAFailedSendingIsTheExchangesResult)
{
    for (const EndOfPart end : { EndOfPart::close, EndOfPart::reset }) {
        LoopbackTarget server(loop, [end](int, const std::string &) {
            return ResponseScript { { earlyResponse, end } };
        });
        ExchangeResult result;
        runOn(loop, [&](Yield yield) {
            ExchangeRequest request {
                worker, platform::dialectNamed("platform"), server.target(), message,
                "a",    Clock::now() + longTimeout,         false,           {}
            };
            result = runExchange(request, yield);
        });
        CHECK_TRUE(result.outcome == ExchangeOutcome::completed);
        LONGS_EQUAL(413, result.response.result_int());
        LONGS_EQUAL(0, worker.pool.idleCount());
    }
}
