// Responses without end: what is kept of them, and when they are given up.
#include "HostRouteFixture.h"
#include "transport/HttpClient.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Seconds exchangeTimeout { 10 };
constexpr std::size_t roomBytes = 1024 * 1024;
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

} // namespace

TEST_GROUP_BASE(EndlessResponses, HostRouteFixture)
{
    Worker smallWorker { loop, hooks, roomBytes, 1 };

    AttemptResult attempt(const LoopbackTarget &server, std::size_t bufferedBytes, Yield yield)
    {
        AttemptOptions options;
        options.deadline = Clock::now() + exchangeTimeout;
        options.maxBufferedBytes = bufferedBytes;
        AttemptHandle handle;
        const HttpRequest request(http::verb::get, "/a", 11);
        return runAttempt(smallWorker, *service, server.target(), request, options, handle, yield);
    }

    void setup() override
    {
        setUpRoute(RequestKind::idempotent, Milliseconds(2'000), Milliseconds(4'000));
    }
};

// Guards against responses on the product's own routes that together exceed the memory for bodies.
TEST(EndlessResponses, whatIsKeptTogetherStaysWithinTheRoom)
{
    constexpr std::size_t attempts = 20;
    constexpr std::size_t buffered = 256 * 1024;
    constexpr std::size_t firstPart = 16 * 1024;
    LoopbackTarget server(loop, [](int, const std::string &) {
        return ResponseScript { { "HTTP/1.1 200 OK\r\n\r\n" + std::string(2 * buffered, 'x') } };
    });
    std::vector<AttemptResult> results;
    runOn(loop, [&](Yield yield) {
        while (results.size() < attempts) {
            results.push_back(attempt(server, buffered, yield));
        }
    });
    std::size_t kept = 0;
    for (const AttemptResult &result : results) {
        CHECK(result.outcome == AttemptOutcome::streaming);
        kept += result.response.body().size();
    }
    CHECK(kept <= roomBytes + attempts * firstPart);
    results.clear();
    LONGS_EQUAL(roomBytes, smallWorker.responseBytes.available());
}

// Guards against a response that is read until its deadline, since next to nothing of it is body.
TEST(EndlessResponses, aResponseThatIsMostlyFramingIsNone)
{
    const std::string longExtension = "1;" + std::string(4'000, 'e') + "\r\nc\r\n";
    for (const std::string &body :
         { repeated("1\r\nc\r\n", 40'000), repeated(longExtension, 100) }) {
        LoopbackTarget server(loop, [&body](int, const std::string &) {
            return ResponseScript { { chunkedHead + body } };
        });
        const TimePoint start = Clock::now();
        runOn(loop, [&](Yield yield) {
            CHECK(attempt(server, roomBytes, yield).outcome == AttemptOutcome::failed);
        });
        CHECK(Clock::now() - start < exchangeTimeout / 2);
    }
}

TEST(EndlessResponses, aBodyOfShortChunksIsRead)
{
    const std::string few = repeated("1\r\nc\r\n", 10'000) + "0\r\n\r\n";
    const std::string many = repeated("4\r\ncccc\r\n", 60'000) + "0\r\n\r\n";
    for (const std::string &body : { few, many }) {
        LoopbackTarget server(loop, [&body](int, const std::string &) {
            return ResponseScript { { chunkedHead + body } };
        });
        runOn(loop, [&](Yield yield) {
            const AttemptResult result = attempt(server, roomBytes, yield);
            CHECK(result.outcome == AttemptOutcome::completed);
            CHECK(result.response.body().find_first_not_of('c') == std::string::npos);
        });
    }
}

// Guards against a health check whose response is kept whole.
TEST(EndlessResponses, aCallTakesNoLongerBodyThanItsLimit)
{
    LoopbackTarget server(loop, [](int, const std::string &) {
        return ResponseScript { { "HTTP/1.1 200 OK\r\n\r\n" + std::string(roomBytes, 'x') } };
    });
    runOn(loop, [&](Yield yield) {
        HttpClient client(loop, nullptr, roomBytes / 2);
        CHECK_FALSE(client
                        .send(server.address(), HttpRequest(http::verb::get, "/health", 11),
                              Milliseconds(5'000), yield)
                        .ok());
    });
}
