// A caller that closes only its writing side gets its responses; one that has left is noticed.
#include "ServedConnection.h"

using namespace kumquat;

namespace {

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

    void checkDropped(DropCause cause)
    {
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
        STRCMP_CONTAINS("booked", received.c_str());
        STRCMP_CONTAINS("Connection: close", received.c_str());
        LONGS_EQUAL(0, served.dropped);
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
        checkDropped(DropCause::callerClosed);
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
        checkDropped(DropCause::callerClosed);
    });
}

TEST(HalfClosedCallers, aResetIsNoticedAndNamed)
{
    served.run([&](TcpSocket &caller, Yield yield) {
        send(caller, booking, yield);
        CHECK(bookingRuns(true, yield));
        reset(caller);
        CHECK(bookingRuns(false, yield));
        checkDropped(DropCause::callerReset);
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
        checkDropped(DropCause::callerClosed);
    });
}
