// Bodies that attempts share or slow callers leave unread are counted once, as long as they last.
#include "LoopbackTarget.h"
#include "coordination/entry/HostRouteExchange.h"
#include "platform/Dialect.h"
#include "protocol/CallerConnection.h"

#include <optional>
#include <sstream>

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t budgetBytes = 64 * megabyte;
constexpr std::size_t bodyBytes = 8 * megabyte;
constexpr Milliseconds shortTime { 10 };
constexpr Milliseconds shortDeadline { 1'000 };
constexpr Seconds testTimeout { 20 };

std::string answerTo(const std::string &id, std::size_t bytes, bool chunked = false)
{
    const std::string header = "HTTP/1.1 200 OK\r\nKumquatdeal-Response-Stamp: s\r\n"
                               "Kumquatdeal-Request-Id: "
        + id + "\r\n";
    const std::string body(bytes, 'r');
    if (!chunked) {
        return header + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + body;
    }
    std::ostringstream size;
    size << std::hex << bytes;
    return header + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body
        + "\r\n0\r\n\r\n";
}

HttpResponse responseOf(std::size_t bytes)
{
    HttpResponse response(http::status::ok, 11);
    response.body() = std::string(bytes, 'r');
    return response;
}

} // namespace

TEST_GROUP(SharedBodies)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, budgetBytes, 1 };
    const Dialect &dialect = platform::dialectNamed("platform");

    ExchangeRequest exchangeOf(const TargetPtr &target, SharedRequest message,
                               const std::string &id, Milliseconds timeout = testTimeout)
    {
        message.header.set("Kumquatdeal-Request-Id", id);
        return {
            worker, dialect, target, std::move(message), id, Clock::now() + timeout, true, {}
        };
    }

    static SharedRequest get()
    {
        return SharedRequest(HttpRequest(http::verb::get, "/x", 11));
    }

    bool becomes(const std::function<bool()> &condition, Yield yield)
    {
        const TimePoint until = Clock::now() + testTimeout;
        while (!condition() && Clock::now() < until) {
            pauseFor(loop, shortTime, yield);
        }
        return condition();
    }
};

TEST(SharedBodies, aBodyOfTwoAttemptsIsHeldOnceUntilTheLastHasEnded)
{
    std::string headers;
    LoopbackTarget quick(loop, [&headers](int, const std::string &header) {
        headers += header;
        return ResponseScript { { answerTo("b", 1) } };
    });
    LoopbackTarget silent(loop, [](int, const std::string &) { return ResponseScript {}; });
    runOn(loop, [&](Yield yield) {
        auto held = std::make_shared<HeldRoom>(worker.requestBytes);
        CHECK_TRUE(held->growTo(bodyBytes));
        HttpRequest message(http::verb::post, "/x", 11);
        message.body().assign(bodyBytes, 'b');
        message.prepare_payload();
        std::optional<SharedRequest> request(std::in_place, std::move(message), std::move(held));
        auto first = std::make_unique<ExchangeRequest>(exchangeOf(quick.target(), *request, "b"));
        auto second = std::make_unique<ExchangeRequest>(exchangeOf(silent.target(), *request, "b"));
        CHECK_TRUE(first->message.body.get() == second->message.body.get());
        request.reset();
        bool secondEnded = false;
        spawnOn(loop, [&](Yield inner) {
            (void)runExchange(*second, inner);
            secondEnded = true;
        });
        CHECK_TRUE(runExchange(*first, yield).outcome == ExchangeOutcome::completed);
        first.reset();
        CHECK_TRUE(becomes([&] { return silent.connections() == 1; }, yield));
        LONGS_EQUAL(budgetBytes - bodyBytes, worker.requestBytes.available());
        second->handle.cancel();
        CHECK_TRUE(becomes([&] { return secondEnded; }, yield));
        second.reset();
    });
    LONGS_EQUAL(budgetBytes, worker.requestBytes.available());
    STRCMP_CONTAINS("Content-Length: 8388608\r\n", headers.c_str());
}

TEST(SharedBodies, aRequestIsSentWithTheLengthThatItHadBefore)
{
    const std::vector<std::pair<http::verb, std::string>> cases
        = { { http::verb::get, "" },     { http::verb::post, "" },     { http::verb::put, "" },
            { http::verb::get, "body" }, { http::verb::post, "body" }, { http::verb::head, "" },
            { http::verb::trace, "" },   { http::verb::delete_, "" } };
    for (const auto &[method, body] : cases) {
        HttpRequest message(method, "/x", 11);
        message.body() = body;
        message.prepare_payload();
        std::ostringstream whole;
        whole << message;
        std::string header;
        LoopbackTarget server(loop, [&header](int, const std::string &received) {
            header = received;
            return ResponseScript { { "HTTP/1.1 204 No Content\r\n\r\n" } };
        });
        runOn(loop, [&](Yield yield) {
            TargetConnection connection(loop, server.address());
            CHECK_FALSE(connection.connect(Clock::now() + testTimeout, yield).failed());
            const SharedRequest request(message);
            CHECK_FALSE(connection.sendRequest(request.header, *request.body, yield).failed());
            CHECK_FALSE(connection.readHeader(false, yield).failed());
        });
        STRCMP_EQUAL(whole.str().c_str(), (header + body).c_str());
    }
}

TEST(SharedBodies, aResponseIsHeldUntilItIsGone)
{
    for (const bool chunked : { false, true }) {
        LoopbackTarget server(loop, [chunked](int, const std::string &) {
            return ResponseScript { { answerTo("b", bodyBytes, chunked) } };
        });
        runOn(loop, [&](Yield yield) {
            ExchangeRequest request = exchangeOf(server.target(), get(), "b");
            {
                const ExchangeResult result = runExchange(request, yield);
                CHECK_TRUE(result.outcome == ExchangeOutcome::completed);
                LONGS_EQUAL(bodyBytes, result.response.body().size());
                LONGS_EQUAL(budgetBytes - bodyBytes, worker.responseBytes.available());
            }
            LONGS_EQUAL(budgetBytes, worker.responseBytes.available());
        });
    }
}

// The request may have run, and neither its target nor the request is to blame.
TEST(SharedBodies, aResponseWithoutRoomProvesNothingAndLeavesNothingHeld)
{
    for (const bool chunked : { false, true }) {
        LoopbackTarget server(loop, [chunked](int, const std::string &) {
            return ResponseScript { { answerTo("b", bodyBytes, chunked) } };
        });
        HeldRoom others(worker.responseBytes);
        CHECK_TRUE(others.growTo(budgetBytes - bodyBytes + 1));
        runOn(loop, [&](Yield yield) {
            ExchangeRequest request = exchangeOf(server.target(), get(), "b", shortDeadline);
            const ExchangeResult result = runExchange(request, yield);
            CHECK_TRUE(result.outcome == ExchangeOutcome::timedOut);
            CHECK_FALSE(result.reset);
            CHECK_TRUE(Clock::now() < request.deadline);
            LONGS_EQUAL(0, result.response.body().size());
        });
        LONGS_EQUAL(bodyBytes - 1, worker.responseBytes.available());
    }
}

TEST(SharedBodies, aResponseGetsTheRoomThatAnotherGivesBack)
{
    LoopbackTarget server(loop, [](int, const std::string &) {
        return ResponseScript { { answerTo("b", bodyBytes) } };
    });
    auto others = std::make_unique<HeldRoom>(worker.responseBytes);
    CHECK_TRUE(others->growTo(budgetBytes));
    runOn(loop, [&](Yield yield) {
        bool waiting = false;
        spawnOn(loop, [&](Yield inner) {
            waiting = becomes([&] { return worker.responseBytes.hasClaims(); }, inner);
            others.reset();
        });
        ExchangeRequest request = exchangeOf(server.target(), get(), "b");
        CHECK_TRUE(runExchange(request, yield).outcome == ExchangeOutcome::completed);
        CHECK_TRUE(waiting);
    });
    LONGS_EQUAL(budgetBytes, worker.responseBytes.available());
}

// Two pipelined requests; the response to the second one is longer than the sockets can hold.
TEST(SharedBodies, aPipelinedResponseIsHeldWhileItsCallerDoesNotRead)
{
    constexpr std::size_t longBytes = 32 * megabyte;
    TcpAcceptor acceptor(loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0));
    std::vector<ResponseChannel> channels;
    bool closed = false;
    spawnOn(loop, [&](Yield yield) {
        TcpSocket socket(loop);
        ErrorCode error;
        acceptor.async_accept(socket, yield[error]);
        CallerHooks callerHooks;
        callerHooks.isStopping = [] { return false; };
        callerHooks.limits = [] { return CallerLimits(); };
        callerHooks.handlerFailed = [](const char *what) { FAIL(what); };
        const auto caller = std::make_shared<CallerConnection>(loop, std::move(socket));
        caller->serve([&](CallerConnection &connection,
                          Yield) { channels.push_back(connection.readAhead()); },
                      std::move(callerHooks), yield);
        closed = true;
    });
    const auto answer = [&](std::size_t index, std::size_t bytes) {
        auto held = std::make_shared<HeldRoom>(worker.responseBytes);
        CHECK_TRUE(held->growTo(bytes));
        spawnOn(loop, [&channels, index, bytes, held](Yield yield) {
            channels[index].write(responseOf(bytes), yield);
        });
    };
    runOn(loop, [&](Yield yield) {
        TcpSocket reader(loop);
        ErrorCode error;
        reader.async_connect(acceptor.local_endpoint(), yield[error]);
        const std::string requests = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: "
                                     "h\r\n\r\n";
        asio::async_write(reader, asio::buffer(requests), yield[error]);
        CHECK_TRUE(becomes([&] { return channels.size() == 2; }, yield));
        answer(1, longBytes);
        pauseFor(loop, shortTime, yield);
        LONGS_EQUAL(budgetBytes - longBytes, worker.responseBytes.available());
        answer(0, 1);
        CHECK_TRUE(becomes([&] { return reader.available() > 0; }, yield));
        CHECK_TRUE(worker.responseBytes.available() <= budgetBytes - longBytes);
        std::string received;
        while (!error && received.size() < longBytes) {
            asio::async_read(reader, asio::dynamic_buffer(received), asio::transfer_at_least(1),
                             yield[error]);
        }
        CHECK_TRUE(becomes([&] { return worker.responseBytes.available() == budgetBytes; }, yield));
        reader.close(error);
        channels.clear();
        CHECK_TRUE(becomes([&] { return closed; }, yield));
    });
}

TEST(SharedBodies, aPipelinedResponseOfACallerThatLeftIsGivenBack)
{
    ResponseQueue queue;
    const auto first = queue.add(false);
    const auto second = queue.add(false);
    queue.complete(second, responseOf(1));
    CHECK_FALSE(second->isEnded);
    queue.disconnect(DropCause::callerClosed);
    CHECK_TRUE(second->isEnded);
    CHECK_FALSE(first->isEnded);
    queue.complete(first, responseOf(1));
    CHECK_TRUE(first->isEnded);
}
