// A planned stop serves the connections that wait to be accepted when its listener closes.
#include "TestSupport.h"
#include "coordination/entry/EntryWorker.h"

#include <array>
#include <cstring>
#include <sys/socket.h>

using namespace kumquat;

namespace {

constexpr int callerCount = 20;
constexpr std::size_t bodyBytes = 1024 * 1024;
constexpr Milliseconds stopLimit { 20'000 };
constexpr Seconds receiveTimeout { 5 };
const std::string lookup = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::uint16_t freePort(asio::io_context &loop)
{
    const TcpAcceptor acceptor(loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

} // namespace

TEST_GROUP(WaitingConnections)
{
    void setup() override
    {
        core.routing.publish(std::make_shared<RoutingTable>());
        CHECK_TRUE(worker.listen(address).ok());
    }

    void teardown() override
    {
        worker.stop();
    }

    TcpSocket connect()
    {
        TcpSocket socket(loop);
        socket.connect(address.tcp());
        return socket;
    }

    /// All that the worker sends on a connection, or the error that ended it.
    static std::string readToEnd(TcpSocket & socket)
    {
        const timeval timeout { receiveTimeout.count(), 0 };
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        std::string received;
        std::array<char, 1'024> part {};
        ssize_t length = 0;
        while ((length = ::recv(socket.native_handle(), part.data(), part.size(), 0)) > 0) {
            received.append(part.data(), static_cast<std::size_t>(length));
        }
        return length == 0 ? received : std::strerror(errno);
    }

    asio::io_context loop;
    Address address { "127.0.0.1", freePort(loop) };
    EntryCore core;
    EntryWorker worker { core, callerCount, bodyBytes, 1 };
};

// Guards against requests whose connection is reset since a busy entry had not accepted it yet when
// a planned stop closed its listener.
TEST(WaitingConnections, theirRequestsAreAnsweredWhenTheListenerCloses)
{
    std::vector<TcpSocket> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(connect());
        asio::write(callers.back(), asio::buffer(lookup));
    }
    core.stop.begin(Clock::now(), stopLimit);
    worker.closeListener();
    worker.closeIdle();
    CHECK_FALSE(worker.hasDrained());
    worker.start();
    for (TcpSocket &caller : callers) {
        STRCMP_CONTAINS("HTTP/1.1 503", readToEnd(caller).c_str());
    }
    CHECK_TRUE(worker.hasDrained());
}

// A connection without a request must not hold the stop up.
TEST(WaitingConnections, oneWithoutARequestIsClosedAtOnce)
{
    TcpSocket caller = connect();
    core.stop.begin(Clock::now(), stopLimit);
    worker.closeListener();
    worker.closeIdle();
    worker.start();
    STRCMP_EQUAL("", readToEnd(caller).c_str());
}
