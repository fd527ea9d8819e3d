// Requests of a kept connection get their responses, whatever happens to reading or to each other.
#include "ServedConnection.h"

using namespace kumquat;

namespace {

constexpr Milliseconds shortTimeout { 50 };

// Stands for a process that does not run for so long.
void standStill(Milliseconds duration)
{
    const TimePoint until = Clock::now() + duration;
    while (Clock::now() < until) { }
}

} // namespace

TEST_GROUP(KeptConnections)
{
    ServedConnection served;

    void checkContains(const std::string &text, const char *part)
    {
        CHECK_TEXT(text.find(part) != std::string::npos, (part + (" is not in: " + text)).c_str());
    }
};

// Guards against requests that were passed on and get no response, since the header of a further
// request does not come in time.
TEST(KeptConnections, aHeaderThatStallsDropsNoResponse)
{
    served.headerTimeout = shortTimeout;
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + lookup + "GET /half", yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 2; }, yield));
        pauseFor(served.loop, 2 * shortTimeout, yield);
        served.answer(1, "second");
        served.answer(0, "first");
        const std::string received = readAll(caller, yield);
        checkContains(received, "first");
        checkContains(received, "second");
        checkContains(received, "HTTP/1.1 408");
        LONGS_EQUAL(0, served.dropped);
    });
}

// Guards against the same after a pause of the process, when the rest of the header has come.
TEST(KeptConnections, aHeaderThatCameWhileTheProcessStoodStillIsInTime)
{
    served.headerTimeout = shortTimeout;
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + "GET /half", yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
        ErrorCode error;
        asio::write(caller, asio::buffer(std::string(" HTTP/1.1\r\nHost: h\r\n\r\n")), error);
        standStill(2 * shortTimeout);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 2; }, yield));
    });
}

TEST(KeptConnections, aHeaderOfManyPartsIsReadWhole)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        for (const char byte : lookup) {
            send(caller, std::string(1, byte), yield);
            pauseFor(served.loop, Milliseconds(1), yield);
        }
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
    });
}

// Guards against an exception in one request that takes the responses of the others on its
// connection along.
TEST(KeptConnections, aRequestThatFailsInsideCostsNoOtherItsResponse)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + lookup + lookup, yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 3; }, yield));
        served.answer(2, "third");
        spawnOn(served.loop, [&](Yield inner) { served.channels[1].fail(inner); });
        served.answer(0, "first");
        std::string received;
        ErrorCode error;
        asio::async_read_until(caller, asio::dynamic_buffer(received), "third", yield[error]);
        checkContains(received, "first");
        checkContains(received, "HTTP/1.1 500");
        checkContains(received, "third");
        LONGS_EQUAL(0, served.dropped);
    });
}

// Guards against a request that ends without a response, as one whose coroutine could not start,
// and takes the finished responses of the others on its connection along.
TEST(KeptConnections, aRequestThatEndsWithoutAResponseCostsNoOtherItsOwn)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + lookup + lookup, yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 3; }, yield));
        served.answer(2, "third");
        served.channels[1].abort(DropCause::handlerFailed);
        served.answer(0, "first");
        std::string received;
        ErrorCode error;
        asio::async_read_until(caller, asio::dynamic_buffer(received), "third", yield[error]);
        checkContains(received, "first");
        checkContains(received, "HTTP/1.1 500");
        checkContains(received, "third");
        LONGS_EQUAL(0, served.dropped);
    });
}

// Guards against a connection that is closed as idle although its next request has arrived.
TEST(KeptConnections, aRequestThatHasArrivedKeepsItsConnectionFromBeingIdle)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup, yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
        served.answer(0, "first");
        std::string received;
        ErrorCode error;
        asio::async_read_until(caller, asio::dynamic_buffer(received), "first", yield[error]);
        asio::write(caller, asio::buffer(lookup), error);
        served.connection->closeIfIdle();
        CHECK(becomes(
            served, [&] { return served.channels.size() == 2; }, yield));
    });
}

// Guards against a request that is served on a connection that its idle timeout has closed.
TEST(KeptConnections, aRequestThatCameWhileTheProcessStoodStillIsAnsweredAtTheIdleTimeout)
{
    served.idleTimeout = shortTimeout;
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, deletion, yield);
        std::string received;
        ErrorCode error;
        asio::async_read_until(caller, asio::dynamic_buffer(received), "deleted", yield[error]);
        pauseFor(served.loop, shortTimeout / 5, yield);
        asio::write(caller, asio::buffer(lookup), error);
        standStill(2 * shortTimeout);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
        served.answer(0, "first");
        asio::async_read_until(caller, asio::dynamic_buffer(received), "first", yield[error]);
        checkContains(received, "first");
        LONGS_EQUAL(0, served.dropped);
    });
}

// Guards against work that goes on for a caller that left while a request waited for its turn.
TEST(KeptConnections, aCallerThatLeavesWhileARequestWaitsIsNoticed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + booking, yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
        bool noticed = false;
        served.channels[0].watchDisconnect([&](DropCause) { noticed = true; });
        caller.close();
        CHECK(becomes(
            served, [&] { return noticed; }, yield));
        served.channels[0].abort(DropCause::callerClosed);
        CHECK(becomes(
            served, [&] { return served.closed; }, yield));
        CHECK_FALSE(served.bookingRuns);
    });
}

// Guards against work that goes on for a caller that left after it had sent a further request.
TEST(KeptConnections, aCallerThatLeavesAfterFurtherBytesIsNoticed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(becomes(
            served, [&] { return served.bookingRuns; }, yield));
        send(caller, booking, yield);
        pauseFor(served.loop, Milliseconds(5), yield);
        caller.close();
        CHECK(becomes(
            served, [&] { return !served.bookingRuns; }, yield));
    });
}

// Guards against requests that are never read, since the body of a refused one before them was not.
TEST(KeptConnections, aRefusedBodyCostsNoRequestBehindItItsResponse)
{
    const std::string chunk = "5\r\nabcde\r\n";
    const std::string bodies[] = {
        "Content-Length: 10\r\n\r\n0123456789",
        "Content-Length: 200000\r\n\r\n" + std::string(200'000, 'u'),
        "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n",
    };
    served.run([&](TcpSocket &caller, Yield yield) {
        std::size_t count = 0;
        for (const std::string &body : bodies) {
            send(caller, refused + body + lookup, yield);
            ++count;
            CHECK(becomes(
                served, [&] { return served.channels.size() == count; }, yield));
            served.answer(count - 1, "behind");
        }
        LONGS_EQUAL(0, served.dropped);
    });
}

TEST(KeptConnections, aBodyThatIsLongOrDoesNotComeHoldsNoRefusalUp)
{
    const std::string bodies[] = {
        "Content-Length: 100000000\r\n\r\n" + std::string(100'000, 'u'),
        "Content-Length: 10\r\n\r\n01234",
        "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + std::string(0x80000, 'u') + "\r\n",
        "Transfer-Encoding: chunked\r\n\r\nno chunk\r\n",
    };
    for (const std::string &body : bodies) {
        ServedConnection connection;
        connection.run([&](TcpSocket &caller, Yield yield) {
            send(caller, refused + body, yield);
            const std::string received = readAll(caller, yield);
            STRCMP_CONTAINS("HTTP/1.1 404", received.substr(0, 12).c_str());
            checkContains(received, "Connection: close");
        });
    }
}

// Guards against responses that a caller has not received yet and that a reset drops, since it
// still sends when its connection is closed.
TEST(KeptConnections, aCallerThatReadsLateAndStillSendsGetsAllResponses)
{
    constexpr std::size_t longBytes = 300 * 1024;
    constexpr Milliseconds longerThanLingering { 1'300 };
    served.run([&](TcpSocket &caller, Yield yield) {
        caller.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
        send(caller, lookup + "no request at all\r\n\r\n", yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
        served.answer(0, std::string(longBytes, 'x') + "end");
        pauseFor(served.loop, longerThanLingering, yield);
        send(caller, lookup, yield);
        pauseFor(served.loop, Milliseconds(10), yield);
        const std::string received = readAll(caller, yield);
        checkContains(received, "end");
        checkContains(received, "HTTP/1.1 400");
    });
}

// Guards against a handler's exception that cuts the response to the request before it.
TEST(KeptConnections, aHandlerThatThrowsBehindAResponseCutsNothing)
{
    served.expectedFailures = 1;
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + "POST /throws HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
             yield);
        CHECK(becomes(
            served, [&] { return served.channels.size() == 1; }, yield));
        served.answer(0, "first");
        const std::string received = readAll(caller, yield);
        checkContains(received, "first");
        checkContains(received, "HTTP/1.1 500");
        LONGS_EQUAL(0, served.dropped);
    });
}
