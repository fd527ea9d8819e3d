#pragma once
/// \file
/// A caller's connection that is served on a loop of the test, and the caller at its other end.
/// Requests are answered later, alone or not at all, as their path and method say.

#include "TestSupport.h"
#include "protocol/CallerConnection.h"
#include "protocol/Refusal.h"
#include "transport/Spawn.h"

#include <optional>

namespace kumquat {

constexpr Seconds testTimeout { 20 };
inline const std::string booking = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
inline const std::string deletion = "DELETE /d HTTP/1.1\r\nHost: h\r\n\r\n";
inline const std::string refused = "POST /refused HTTP/1.1\r\nHost: h\r\n";
inline const std::string lookup = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

inline HttpResponse okResponse(const std::string &body)
{
    return textResponse(http::status::ok, body);
}

struct ServedConnection
{
    ServedConnection() : acceptor(loop, TcpEndpoint(asio::ip::address_v4::loopback(), 0))
    {
        spawnOn(loop, [this](Yield yield) { serve(yield); });
    }

    void serve(Yield yield)
    {
        TcpSocket socket(loop);
        ErrorCode error;
        acceptor.async_accept(socket, yield[error]);
        CallerHooks hooks;
        hooks.isStopping = [] { return false; };
        hooks.limits = [this] {
            CallerLimits limits;
            limits.headerTimeout = headerTimeout;
            limits.idleTimeout = idleTimeout;
            return limits;
        };
        hooks.handlerFailed = [this](const char *) { ++failures; };
        hooks.responsesDropped = [this](DropCause cause, std::size_t count) {
            dropped += count;
            lastDropCause = cause;
        };
        connection = std::make_shared<CallerConnection>(loop, std::move(socket));
        connection->serve(
            [this](CallerConnection &served, Yield inner) {
                if (served.header().target() == "/refused") {
                    refuse(served, inner);
                } else if (served.header().target() == "/throws") {
                    (void)served.awaitResponses(inner);
                    throw std::runtime_error("the handler fails");
                } else if (served.header().method() == http::verb::post) {
                    serveAlone(served, inner);
                } else if (served.header().method() == http::verb::delete_) {
                    served.watchDisconnect([](DropCause) {});
                    (void)served.writeResponse(okResponse("deleted"), inner);
                } else {
                    channels.push_back(served.readAhead());
                }
            },
            std::move(hooks), yield);
        closed = true;
    }

    // Refuses a request before its body was read.
    static void refuse(CallerConnection &served, Yield yield)
    {
        if (served.awaitResponses(yield)) {
            (void)served.writeResponse(refusal(RefusalReason::noRoute, RunOutcome::notRun), yield);
        }
    }

    // Serves a booking until its caller leaves or the test lets it end.
    void serveAlone(CallerConnection &served, Yield yield)
    {
        DropCause departure = DropCause::handlerFailed;
        if (served.awaitResponses(yield)) {
            bookingRuns = true;
            served.watchDisconnect([this, &departure](DropCause cause) {
                departure = cause;
                bookingRuns = false;
            });
            while (bookingRuns && !bookingEnds) {
                pauseFor(loop, Milliseconds(1), yield);
            }
        }
        if (bookingEnds) {
            (void)served.writeResponse(okResponse("booked"), yield);
            return;
        }
        served.abort(departure);
    }

    // Runs the caller's side until it ends.
    template <typename Function>
    void run(Function function)
    {
        spawnOn(loop, [this, &function](Yield yield) {
            TcpSocket caller(loop);
            ErrorCode error;
            caller.async_connect(acceptor.local_endpoint(), yield[error]);
            function(caller, yield);
            caller.close(error);
            loop.stop();
        });
        loop.run_for(testTimeout);
        LONGS_EQUAL(expectedFailures, failures);
    }

    void answer(std::size_t request, const std::string &body)
    {
        spawnOn(loop, [this, request, body](Yield yield) {
            channels[request].write(okResponse(body), yield);
        });
    }

    asio::io_context loop { 1 };
    TcpAcceptor acceptor;
    std::shared_ptr<CallerConnection> connection;
    std::vector<ResponseChannel> channels;
    Milliseconds headerTimeout { 10'000 };
    Milliseconds idleTimeout { 10'000 };
    std::size_t dropped = 0;
    std::optional<DropCause> lastDropCause;
    int expectedFailures = 0;
    int failures = 0; ///< exceptions of the handler
    bool bookingRuns = false;
    bool bookingEnds = false;
    bool closed = false;
};

inline void send(TcpSocket &caller, const std::string &bytes, Yield yield)
{
    ErrorCode error;
    asio::async_write(caller, asio::buffer(bytes), yield[error]);
}

// False when \p condition does not hold within the time that a test may take.
template <typename Condition>
bool becomes(ServedConnection &served, Condition condition, Yield yield)
{
    const TimePoint until = Clock::now() + testTimeout / 2;
    while (!condition() && Clock::now() < until) {
        pauseFor(served.loop, Milliseconds(1), yield);
    }
    return condition();
}

// Everything that comes until the connection ends.
inline std::string readAll(TcpSocket &caller, Yield yield)
{
    std::string received;
    ErrorCode error;
    asio::async_read(caller, asio::dynamic_buffer(received), yield[error]);
    return received;
}

} // namespace kumquat
