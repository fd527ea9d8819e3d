#pragma once
/// \file
/// Serves one caller's connection: reads requests and writes whole or streamed answers.
/// The handler decides what becomes of a request; this class only keeps HTTP in order.

#include "common/Time.h"
#include "kumquat/Configuration.h"
#include "transport/HttpServer.h"

#include <optional>

namespace kumquat {

/// What a connection asks of the entry before each request.
struct CallerHooks
{
    std::function<bool()>
        isStopping; ///< while it holds, answers tell the caller to connect elsewhere
    std::function<CallerLimits()> limits; ///< of the configuration in force
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Called for each request after its header was read; must answer or abort().
    using Handler = std::function<void(CallerConnection &, Yield)>;
    using Parser = http::request_parser<http::buffer_body>;

    CallerConnection(asio::io_context &context, TcpSocket socket);

    /// Serves requests until the caller or the process ends the connection.
    /// Serves one request after another until the connection ends.
    void serve(const Handler &handler, CallerHooks hooks, Yield yield);

    asio::io_context &context() { return context_; }
    const http::request_header<> &header() const { return parser_->get(); }
    std::optional<std::uint64_t> contentLength() const;
    bool hasBody() const { return !parser_->is_done(); }
    bool isBodyRead() const { return parser_->is_done(); }
    bool isIdle() const { return idle_; }

    /// Reads the whole body; http::error::body_limit when it is longer than \p limit.
    ErrorCode readBody(std::string &body, std::size_t limit, TimePoint deadline, Yield yield);

    /// Appends the next part of the body; fails when none comes within \p idleTimeout.
    ErrorCode readSomeBody(std::string &part, Milliseconds idleTimeout, Yield yield);

    ErrorCode writeResponse(HttpResponse response, Yield yield);

    /// A streamed answer: head, then parts, then the end.
    ErrorCode writeHeader(http::response_header<> responseHeader, std::optional<std::uint64_t> length,
                        Yield yield);
    ErrorCode writeBodyPart(const std::string &part, bool last, Yield yield);

    /// Calls \p onDeparture once if the caller closes the connection; until stopWatching().
    void watchDisconnect(std::function<void()> onDisconnect);
    void stopWatching();

    /// Ends the connection so that the caller cannot take what was sent for a whole answer.
    void abort();
    void closeIfIdle();

private:
    bool keepsAlive() const;
    ErrorCode sendContinueIfExpected(Yield yield);
    void watch();
    void rejectMalformed(ErrorCode error, Yield yield);
    void discardInput(Yield yield);
    ErrorCode waitForRequest(Milliseconds idleTimeout, Yield yield);
    bool readHeader(Yield yield);

    asio::io_context &context_;
    TcpStream stream_;
    CallerHooks hooks_;
    bool requestUnread_ = false; ///< answered before the whole request was read
    beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::shared_ptr<std::function<void()>> onDisconnect_;
    std::optional<http::response<http::buffer_body>> streamedResponse_;
    std::optional<http::response_serializer<http::buffer_body>> serializer_;
    bool idle_ = false;
    bool reusable_ = false;
    bool closing_ = false;
    bool continueSent_ = false;
};

} // namespace kumquat
