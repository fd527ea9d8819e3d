// Requests that have arrived when a listener or a connection is closed get their responses.
#include "TestSupport.h"
#include "coordination/entry/EntryWorker.h"
#include "transport/HttpServer.h"

using namespace kumquat;

namespace {

constexpr int callerCount = 20;
constexpr Seconds testTimeout { 10 };
constexpr std::size_t longBytes = 100'000;
constexpr int receiveBytes = 4'096; // the rest of a long response waits at its sender
const std::string question = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string lastLongQuestion = "GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

std::uint16_t freePort(asio::io_context &loop)
{
    return TcpAcceptor(loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0))
        .local_endpoint()
        .port();
}

// A caller that connects and sends while the other side's event loop stands still.
struct Caller
{
    Caller(asio::io_context &loop, std::uint16_t port) : socket(loop)
    {
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
        socket.connect(TcpEndpoint(asio::ip::address_v4::loopback(), port));
    }

    void send(const std::string &bytes) { asio::write(socket, asio::buffer(bytes)); }

    // All that comes until the connection is closed, or an error's text.
    std::string readAll()
    {
        std::string bytes;
        ErrorCode error;
        asio::read(socket, asio::dynamic_buffer(bytes), error);
        return error == asio::error::eof ? bytes : error.message();
    }

    TcpSocket socket;
};

bool isAnswered(const std::string &bytes)
{
    return bytes.rfind("HTTP/1.1 ", 0) == 0;
}

// A server of an internal port, run by hand.
struct Server
{
    Server()
    {
        server = std::make_shared<HttpServer>(loop, [](const HttpRequest &request, Yield) {
            const bool isLong = request.target() == "/long";
            return textResponse(http::status::ok, std::string(isLong ? longBytes : 10, 'x'));
        });
        CHECK(server->listen(Address { "127.0.0.1", 0 }).ok());
        caller = std::make_unique<Caller>(callerLoop, server->port());
    }

    void run(Milliseconds time) { loop.run_for(time); }

    // Runs the server while the caller reads on another thread.
    std::string answerBy(Clock::duration time)
    {
        std::string bytes;
        std::atomic<bool> done { false };
        std::thread reader([&] {
            bytes = caller->readAll();
            done = true;
        });
        const TimePoint end = Clock::now() + time;
        while (!done && Clock::now() < end) {
            run(Milliseconds(5));
        }
        CHECK_TRUE(done);
        ErrorCode ignored;
        caller->socket.shutdown(TcpSocket::shutdown_both, ignored);
        reader.join();
        return bytes;
    }

    asio::io_context loop { 1 };
    asio::io_context callerLoop { 1 };
    std::shared_ptr<HttpServer> server;
    std::unique_ptr<Caller> caller;
};

} // namespace

TEST_GROUP(ArrivedRequests) {};

// Guards against callers that are reset when a planned stop closes the listener that they wait at.
TEST(ArrivedRequests, atAListenerThatIsClosed)
{
    EntryCore core;
    EntryWorker worker(core, 2 * callerCount, 1'000'000, 1);
    const std::uint16_t port = freePort(worker.loop());
    CHECK(worker.listen(Address { "127.0.0.1", port }).ok());
    asio::io_context loop { 1 };
    std::vector<Caller> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back(loop, port);
        callers.back().send(question);
    }
    core.stop.begin(Clock::now(), Milliseconds(5'500));
    worker.closeListener();
    worker.start();
    int answered = 0;
    for (Caller &caller : callers) {
        answered += isAnswered(caller.readAll()) ? 1 : 0;
    }
    worker.stop();
    CHECK_EQUAL(callerCount, answered);
}

// Guards against a request that a member has received and drops, since it stops at that moment.
TEST(ArrivedRequests, onAnIdleConnectionWhenTheServerStops)
{
    Server server;
    server.caller->send(question);
    server.run(Milliseconds(20));
    server.caller->send(question);
    server.server->stop();
    const std::string bytes = server.answerBy(testTimeout);
    CHECK_TRUE(bytes.find("HTTP/1.1 200", 1) != std::string::npos);
}

// Guards against a response that is cut where its reader is late and has sent more behind.
TEST(ArrivedRequests, behindTheLastOneCutNoResponse)
{
    Server server;
    server.caller->send(lastLongQuestion + std::string(longBytes, 'x'));
    server.run(Milliseconds(200));
    const std::string bytes = server.answerBy(testTimeout);
    CHECK_TRUE(isAnswered(bytes));
    CHECK_TRUE(bytes.size() > longBytes);
}
