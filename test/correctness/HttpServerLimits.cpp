// The server of internal ports against strangers: what they may make it hold, and what its handler
// throws.
#include "TestSupport.h"
#include "transport/HttpServer.h"
#include "transport/Spawn.h"

#include <stdexcept>

using namespace kumquat;

namespace {

constexpr Seconds testTimeout { 10 };

struct Server
{
    explicit Server(HttpServerLimits limits = {})
    {
        server = std::make_shared<HttpServer>(
            loop,
            [this](const HttpRequest &request, Yield) {
                ++served;
                if (request.target() == "/throws") {
                    throw std::invalid_argument("the handler does not expect this");
                }
                return textResponse(http::status::ok,
                                    request.target() == "/long" ? std::string(2'000, 'x')
                                                                : request.body());
            },
            std::move(limits));
        CHECK(server->listen(Address { "127.0.0.1", 0 }).ok());
    }

    // What the server answers to \p bytes, until it closes the connection or \p expectedBytes came.
    std::string exchange(const std::string &bytes, bool closes = true)
    {
        std::string answer;
        bool done = false;
        spawnOn(loop, [&](Yield yield) {
            TcpStream stream(loop);
            ErrorCode error;
            stream.expires_after(testTimeout);
            stream.async_connect(Address { "127.0.0.1", server->port() }.tcp(), yield[error]);
            asio::async_write(stream, asio::buffer(bytes), yield[error]);
            error = {};
            char part[4096];
            while (!error) {
                const std::size_t count = stream.async_read_some(asio::buffer(part), yield[error]);
                answer.append(part, count);
                if (!closes && answer.find("\r\n\r\n") != std::string::npos) {
                    break;
                }
            }
            timedOut = error == beast::error::timeout;
            done = true;
        });
        while (!done) {
            loop.run_one();
        }
        return answer;
    }

    asio::io_context loop { 1 };
    std::shared_ptr<HttpServer> server;
    int served = 0;
    bool timedOut = false; ///< the server neither answered nor closed the connection
};

bool hasStatus(const std::string &answer, int status)
{
    return answer.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0;
}

} // namespace

TEST_GROUP(HttpServerLimits) {};

// Memory grew without end under a chunk extension that never ends.
TEST(HttpServerLimits, aChunkExtensionWithoutEndIsCut)
{
    Server server;
    const std::string answer
        = server.exchange("PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;"
                          + std::string(300'000, 'e'));
    CHECK_FALSE(server.timedOut);
    CHECK(answer.empty() || hasStatus(answer, 400));
    CHECK_EQUAL(0, server.served);
}

TEST(HttpServerLimits, trailersWithoutEndAreCut)
{
    Server server;
    std::string request
        = "PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    for (int i = 0; i < 20'000; ++i) {
        request += "Trailer-" + std::to_string(i) + ": value\r\n";
    }
    const std::string answer = server.exchange(request);
    CHECK_FALSE(server.timedOut);
    CHECK(answer.empty() || hasStatus(answer, 400));
    CHECK_EQUAL(0, server.served);
}

TEST(HttpServerLimits, bodiesBeyondTheLimitAreRefusedInBothForms)
{
    HttpServerLimits limits;
    limits.body = [](const http::request_header<> &) { return BodyLimit { 1'000, false }; };
    Server server(limits);
    CHECK(hasStatus(server.exchange("PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n"),
                    413));
    CHECK(
        hasStatus(server.exchange(
                      "PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 18446744073709551615\r\n\r\n"),
                  413));
    CHECK(hasStatus(
        server.exchange("PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                        + std::string(2'000, 'x') + "\r\n0\r\n\r\n"),
        413));
    CHECK_EQUAL(0, server.served);
    CHECK_EQUAL(3, server.server->counters().oversizedRequests);
}

TEST(HttpServerLimits, bodiesOfAllConnectionsShareOneBudget)
{
    HttpServerLimits limits;
    limits.totalBodyBytes = 1'000;
    Server server(limits);
    CHECK(hasStatus(server.exchange("PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n"),
                    503));
    for (int i = 0; i < 5; ++i) {
        CHECK(hasStatus(server.exchange("PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
                                            + std::string(1'000, 'x'),
                                        false),
                        200));
    }
}

// Slow readers of a long document made a member hold one copy for each of them.
TEST(HttpServerLimits, aResponseWithoutRoomIsRefused)
{
    HttpServerLimits limits;
    limits.totalBodyBytes = 1'000;
    Server server(limits);
    CHECK(hasStatus(server.exchange("GET /long HTTP/1.1\r\nHost: x\r\n\r\n"), 503));
    CHECK(hasStatus(server.exchange("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", false), 200));
}

// One request ended the whole process.
TEST(HttpServerLimits, whatAHandlerThrowsEndsOnlyItsConnection)
{
    Server server;
    CHECK(hasStatus(server.exchange("GET /throws HTTP/1.1\r\nHost: x\r\n\r\n"), 500));
    CHECK(hasStatus(server.exchange("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", false), 200));
    CHECK_EQUAL(1, server.server->counters().handlerFailures);
}

TEST(HttpServerLimits, ambiguousFramingIsRefused)
{
    const std::vector<std::string> headers = {
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: identity\r\nContent-Length: 5",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length : 5",
        "Host: y",
        "A: b\nContent-Length: 5",
    };
    Server server;
    for (const std::string &header : headers) {
        const std::string answer
            = server.exchange("PUT /a HTTP/1.1\r\nHost: x\r\n" + header + "\r\n\r\n0\r\n\r\n");
        CHECK_TEXT(hasStatus(answer, 400), (header + " -> " + answer.substr(0, 40)).c_str());
    }
    const std::string old
        = server.exchange("PUT /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(hasStatus(old, 400));
    CHECK(hasStatus(server.exchange("TRACE /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"),
                    400));
    CHECK_EQUAL(0, server.served);
}
