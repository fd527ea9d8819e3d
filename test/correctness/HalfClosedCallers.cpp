// A caller that closes only its writing side gets its responses; one that has left is noticed.
#include "ServedConnection.h"

using namespace kumquat;

namespace {

const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";

// What follows any number of interim responses.
std::string withoutInterim(std::string received)
{
    while (received.compare(0, interim.size(), interim) == 0) {
        received.erase(0, interim.size());
    }
    return received;
}

void closeWritingSide(TcpSocket &caller)
{
    ErrorCode ignored;
    caller.shutdown(TcpSocket::shutdown_send, ignored);
}

void reset(TcpSocket &caller)
{
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
}

} // namespace

TEST_GROUP(HalfClosedCallers)
{
    ServedConnection served;

    bool hasRead(std::size_t requests, Yield yield)
    {
        return becomes(
            served, [&] { return served.channels.size() == requests; }, yield);
    }

    bool bookingRuns(bool expected, Yield yield)
    {
        return becomes(
            served, [&] { return served.bookingRuns == expected; }, yield);
    }

    // The handler notices a moment after its caller was found to have left.
    void checkDropped(DropCause cause, Yield yield)
    {
        CHECK(becomes(
            served, [&] { return served.closed; }, yield));
        LONGS_EQUAL(1, served.dropped);
        CHECK(served.lastDropCause == cause);
    }
};

// Guards against requests that were passed on and get no response, since the end of their caller's
// input is taken for its departure.
TEST(HalfClosedCallers, pipelinedRequestsAreAnswered)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + lookup, yield);
        closeWritingSide(caller);
        CHECK(hasRead(2, yield));
        pauseFor(served.loop, Milliseconds(20), yield);
        served.answer(1, "second");
        served.answer(0, "first");
        const std::string received = readAll(caller, yield);
        STRCMP_CONTAINS("first", received.c_str());
        STRCMP_CONTAINS("second", received.c_str());
        STRCMP_CONTAINS("Connection: close", received.c_str());
        LONGS_EQUAL(0, served.dropped);
    });
}

// Guards against the same for a request that runs alone on its connection.
TEST(HalfClosedCallers, aRequestThatRunsAloneIsAnswered)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(bookingRuns(true, yield));
        closeWritingSide(caller);
        pauseFor(served.loop, Milliseconds(20), yield);
        CHECK(served.bookingRuns);
        served.bookingEnds = true;
        const std::string received = readAll(caller, yield);
        STRCMP_CONTAINS("Connection: close", received.c_str());
        const std::string response = withoutInterim(received);
        STRCMP_EQUAL("HTTP/1.1 200 OK", response.substr(0, 15).c_str());
        STRCMP_EQUAL("\r\n\r\nbooked", response.substr(response.size() - 10).c_str());
        LONGS_EQUAL(0, served.dropped);
    });
}

// Guards against interim responses that stand inside or behind a response.
TEST(HalfClosedCallers, aLongResponseUnderWayIsNotInterrupted)
{
    const std::string body(3'000'000, 'x');
    served.run([&](TcpSocket &caller, Yield yield) {
        caller.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
        send(caller, lookup + lookup, yield);
        CHECK(hasRead(2, yield));
        served.answer(0, body);
        pauseFor(served.loop, Milliseconds(20), yield);
        closeWritingSide(caller);
        pauseFor(served.loop, Milliseconds(150), yield);
        served.answer(1, "second");
        const std::string received = readAll(caller, yield);
        const std::size_t firstBody = received.find("\r\n\r\n") + 4;
        CHECK(received.compare(firstBody, body.size(), body) == 0);
        const std::string response = withoutInterim(received.substr(firstBody + body.size()));
        STRCMP_EQUAL("HTTP/1.1 200 OK", response.substr(0, 15).c_str());
        STRCMP_EQUAL("\r\n\r\nsecond", response.substr(response.size() - 10).c_str());
    });
}

// Guards against requests without a response behind which one of an older version stands.
TEST(HalfClosedCallers, anOlderRequestBehindCostsNoneItsResponse)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
             yield);
        closeWritingSide(caller);
        CHECK(hasRead(2, yield));
        pauseFor(served.loop, Milliseconds(20), yield);
        served.answer(0, "first");
        served.answer(1, "second");
        const std::string received = readAll(caller, yield);
        STRCMP_CONTAINS("first", received.c_str());
        STRCMP_CONTAINS("second", received.c_str());
    });
}

// Guards against the same for requests that were read while others before them had no response.
TEST(HalfClosedCallers, requestsBehindOthersAreAnswered)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, lookup + booking + deletion, yield);
        closeWritingSide(caller);
        CHECK(hasRead(1, yield));
        pauseFor(served.loop, Milliseconds(20), yield);
        served.bookingEnds = true;
        served.answer(0, "looked up");
        const std::string received = readAll(caller, yield);
        STRCMP_CONTAINS("looked up", received.c_str());
        STRCMP_CONTAINS("booked", received.c_str());
        STRCMP_CONTAINS("deleted", received.c_str());
        LONGS_EQUAL(0, served.dropped);
    });
}

TEST(HalfClosedCallers, aCallerThatClosesForGoodIsNoticed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(bookingRuns(true, yield));
        caller.close();
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerClosed, yield);
    });
}

TEST(HalfClosedCallers, aCallerThatClosesForGoodAfterItsWritingSideIsNoticed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(bookingRuns(true, yield));
        closeWritingSide(caller);
        pauseFor(served.loop, Milliseconds(20), yield);
        CHECK(served.bookingRuns);
        reset(caller);
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerClosed, yield);
    });
}

// Guards against work that goes on for a caller that has read the first probe and closes then.
TEST(HalfClosedCallers, aCallerThatReadsOnAndThenClosesIsNoticed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(bookingRuns(true, yield));
        closeWritingSide(caller);
        std::string received;
        ErrorCode error;
        asio::async_read_until(caller, asio::dynamic_buffer(received), "\r\n\r\n", yield[error]);
        STRCMP_EQUAL(interim.c_str(), received.c_str());
        caller.close();
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerClosed, yield);
    });
}

// Guards against work that goes on for a caller that has sent much and then resets.
TEST(HalfClosedCallers, aResetBehindManyBytesIsNoticed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking + "GET /" + std::string(40'000, 'x'), yield);
        CHECK(bookingRuns(true, yield));
        pauseFor(served.loop, Milliseconds(20), yield);
        reset(caller);
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerReset, yield);
    });
}

TEST(HalfClosedCallers, aResetIsNoticedAndNamed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(bookingRuns(true, yield));
        reset(caller);
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerReset, yield);
    });
}

// A caller of HTTP/1.0 knows no interim responses, so it can't be asked whether it still reads.
TEST(HalfClosedCallers, anOldCallerThatClosesItsWritingSideCountsAsLeft)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, "POST /b HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n", yield);
        CHECK(bookingRuns(true, yield));
        closeWritingSide(caller);
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerClosed, yield);
    });
}
