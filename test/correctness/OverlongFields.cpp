// Guards against a process that ends at a header or trailer field that is too long for its parser.
#include "LoopbackTarget.h"
#include "protocol/CallerConnection.h"
#include "protocol/TargetConnection.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Seconds testTimeout { 10 };
constexpr std::size_t overlongBytes = 70'000;
const std::string longField = "X-Long: " + std::string(overlongBytes, 'x') + "\r\n";
const std::string chunkedWithLongTrailer
    = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + longField + "\r\n";

ResponseScript answerWithLongTrailer(int, const std::string &)
{
    return { { "HTTP/1.1 200 OK\r\n" + chunkedWithLongTrailer } };
}

// What the peer at \p port answers to \p bytes.
std::string answerTo(asio::io_context &loop, std::uint16_t port, const std::string &bytes,
                     Yield yield)
{
    TcpStream stream(loop);
    ErrorCode error;
    stream.expires_after(testTimeout);
    stream.async_connect(Address { "127.0.0.1", port }.tcp(), yield[error]);
    asio::async_write(stream, asio::buffer(bytes), yield[error]);
    std::string answer;
    asio::async_read(stream, asio::dynamic_buffer(answer), yield[error]);
    return answer;
}

} // namespace

TEST_GROUP(OverlongFields)
{
    asio::io_context loop { 1 };
};

TEST(OverlongFields, ofATarget)
{
    LoopbackTarget target(loop, answerWithLongTrailer);
    runOn(loop, [&](Yield yield) {
        TargetConnection connection(loop, target.address());
        CHECK_FALSE(connection.connect(Clock::now() + testTimeout, yield).failed());
        HttpRequest request(http::verb::get, "/health", 11);
        CHECK_FALSE(connection.sendRequest(request, yield).failed());
        CHECK_FALSE(connection.readHeader(false, yield).failed());
        std::string body;
        CHECK(connection.readBody(body, 2 * overlongBytes, yield).failed());
    });
}

TEST(OverlongFields, ofTheServerOfAnInternalCall)
{
    LoopbackTarget server(loop, answerWithLongTrailer);
    runOn(loop, [&](Yield yield) {
        HttpClient client(loop, nullptr);
        CHECK_FALSE(client.post(server.address(), "/a", "", testTimeout, yield).ok());
    });
}

TEST(OverlongFields, ofAnInternalCall)
{
    const auto server = std::make_shared<HttpServer>(
        loop, [](const HttpRequest &, Yield) { return textResponse(http::status::ok, ""); });
    CHECK(server->listen(Address { "127.0.0.1", 0 }).ok());
    runOn(loop, [&](Yield yield) {
        const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\n" + chunkedWithLongTrailer;
        const std::string answer = answerTo(loop, server->port(), request, yield);
        CHECK(answer.empty() || answer.rfind("HTTP/1.1 400", 0) == 0);
    });
}

TEST(OverlongFields, ofACaller)
{
    TcpAcceptor acceptor(loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0));
    spawnOn(loop, [&](Yield yield) {
        TcpSocket socket(loop);
        ErrorCode error;
        acceptor.async_accept(socket, yield[error]);
        CallerHooks hooks;
        hooks.isStopping = [] { return false; };
        hooks.limits = [] {
            CallerLimits limits;
            limits.maxHeaderBytes = 3 * overlongBytes;
            return limits;
        };
        hooks.handlerFailed = [](const char *what) { FAIL(what); };
        const auto caller = std::make_shared<CallerConnection>(loop, std::move(socket));
        caller->serve([](CallerConnection &, Yield) { FAIL("the request was served"); },
                      std::move(hooks), yield);
    });
    runOn(loop, [&](Yield yield) {
        const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n" + longField + "\r\n";
        STRCMP_EQUAL(
            "HTTP/1.1 431",
            answerTo(loop, acceptor.local_endpoint().port(), request, yield).substr(0, 12).c_str());
    });
}
