// Requests that have arrived when a listener or a connection is closed get their responses.
#include "TestSupport.h"
#include "coordination/entry/EntryWorker.h"

using namespace kumquat;

namespace {

constexpr int callerCount = 20;
const std::string question = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

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
