#pragma once
/// \file
/// Reads a caller's bytes with time limits that end only the wait, never the connection.
/// Responses may be written to the same stream meanwhile.

#include "common/Time.h"
#include "transport/Asio.h"

#include <memory>

namespace kumquat {

class CallerInput
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    /// The stream must live as long as this object.
    CallerInput(asio::io_context &context, TcpStream &stream);

    /// Holds at most \p bytes from now on, or what it holds already.
    void limitTo(std::size_t bytes);

    /// Bytes that were received and not parsed.
    std::size_t size() const { return buffer_.size(); }

    /// True when bytes were received, or wait in the socket.
    bool hasArrived();

    /// Waits without a limit until something is received.
    ErrorCode receive(Yield yield);

    /// Receives what waits in the socket; fails with asio::error::would_block when nothing does.
    ErrorCode receiveNow();

    /// Receives something; fails with asio::error::timed_out when nothing has come by \p until.
    ErrorCode receiveUntil(TimePoint until, Yield yield);

    /// Ends a wait with a time limit now, as if its time were over.
    void endWait();

    /// Drops what is received; returns asio::error::timed_out at \p until, or why nothing more
    /// comes.
    ErrorCode discardUntil(TimePoint until, Yield yield);

    /// Passes what was received on to \p parser; fails with http::error::need_more when it is not
    /// enough for a step.
    ErrorCode parse(Parser &parser);

    /// Reads until the header of \p parser is complete; fails like receiveUntil().
    ErrorCode readHeader(Parser &parser, TimePoint until, Yield yield);

private:
    /// A wait for input, which may last longer than the interest in it.
    struct Wait
    {
        explicit Wait(asio::io_context &context) : timer(context) { }
        Timer timer; ///< cancelled when the wait ends
        ErrorCode error;
        bool isPending = false;
        bool isOver = false; ///< nobody waits longer
    };

    ErrorCode awaitInput(TimePoint until, Yield yield);

    TcpStream &stream_;
    beast::flat_buffer buffer_;
    std::shared_ptr<Wait> wait_;
};

} // namespace kumquat
