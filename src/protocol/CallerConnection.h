#pragma once
/// \file
/// Serves one caller's connection: reads requests and writes whole or streamed responses.
/// The handler decides how a request is answered; this class only implements HTTP/1.1. The handler
/// may let a request be answered later, while the connection reads the next one (pipelining).

#include "common/Time.h"
#include "kumquat/Configuration.h"
#include "protocol/CallerInput.h"
#include "protocol/DropCause.h"
#include "protocol/ResponseChannel.h"
#include "protocol/ResponseQueue.h"
#include "transport/HttpServer.h"

#include <optional>

namespace kumquat {

/// What a connection asks the entry for.
struct CallerHooks
{
    /// While true, responses close the connection, so that callers connect to another entry.
    std::function<bool()> isStopping;
    std::function<CallerLimits()> limits; ///< of the configuration in force, for each request
    /// Called with the cause when a request's handler threw an exception.
    std::function<void(const char *what)> handlerFailed;
    /// Called when the connection ends and \p count responses that were due will not be sent.
    std::function<void(DropCause cause, std::size_t count)> responsesDropped
        = [](DropCause, std::size_t) {};
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Called for each request after its header was read; must write a response, readAhead() or
    /// abort(). After none of them the connection ends once the responses before were sent.
    using Handler = std::function<void(CallerConnection &, Yield)>;
    using Parser = CallerInput::Parser;

    /// A caller that takes nothing for as long has stalled.
    static constexpr Seconds writeTimeout { 30 };

    CallerConnection(asio::io_context &context, TcpSocket socket);

    /// Serves one request after another until the caller or the process ends the connection.
    void serve(const Handler &handler, CallerHooks hooks, Yield yield);

    asio::io_context &context() { return context_; }
    const http::request_header<> &header() const { return parser_->get(); }
    std::optional<std::uint64_t> contentLength() const;
    bool hasBody() const { return !parser_->is_done(); }
    bool isBodyRead() const { return parser_->is_done(); }

    /// True when the request may be answered later, while further ones are read.
    bool canReadAhead();
    /// The channel of a request that is answered later. Responses keep the order of the requests.
    ResponseChannel readAhead();
    /// The channel of a request that the handler answers before it returns.
    ResponseChannel channel();
    /// Waits until all requests that were read before have their response; must be called before
    /// any other way of answering. False when the connection ended or was closed by one of them.
    bool awaitResponses(Yield yield);

    /// Asked before a body grows to so many bytes in memory; false refuses the growth.
    using MayHold = std::function<bool(std::size_t bytes)>;

    /// Reads the whole body; fails with http::error::body_limit when it exceeds \p limit bytes,
    /// with asio::error::no_memory when \p mayHold refuses, and with asio::error::timed_out at \p
    /// deadline. After any of these a response can still be written.
    ErrorCode readBody(std::string &body, std::size_t limit, const MayHold &mayHold,
                       TimePoint deadline, Yield yield);

    /// Reads the next part of the body; fails with asio::error::timed_out when none arrives within
    /// \p idleTimeout.
    ErrorCode readSomeBody(std::string &part, Milliseconds idleTimeout, Yield yield);

    /// Writes the body in the parts that \p pacing returns, or whole when it is empty.
    ErrorCode writeResponse(HttpResponse response, Yield yield, const PartPacing &pacing = {});

    /// Streams a response: its header, then body parts, of which the last one ends it. Without a
    /// \p length the body is chunked, or ends with the connection if the caller knows no chunks.
    ErrorCode writeHeader(http::response_header<> responseHeader,
                          std::optional<std::uint64_t> length, Yield yield);
    ErrorCode writeBodyPart(const std::string &part, bool last, Yield yield);

    /// Calls \p onDisconnect once if the caller leaves before stopWatching(). One that closes only
    /// its writing side has not left.
    void watchDisconnect(OnDisconnect onDisconnect);
    void stopWatching();

    /// Resets the connection, so that the caller cannot take what was sent for a whole response.
    void abort(DropCause cause);
    void closeIfIdle();
    /// Ends the wait for the rest of a body now, as if its time were over.
    void endBody();
    /// Ends the connection at the end of the process, after its event loop has stopped.
    void cutAtStop();

    /// Requests that were read and whose response was not sent yet.
    std::size_t dueResponses() const;

private:
    bool mayReadNext();
    bool keepsAlive();
    bool isContinueDue() const;
    ErrorCode sendContinueIfExpected(Yield yield);
    std::uint64_t bodyBytesLeft() const;
    bool mayDiscardBody() const;
    void discardShortBody(Yield yield);
    std::size_t discardBuffered(ErrorCode &error);
    void watch();
    void takeWatched(const std::weak_ptr<OnDisconnect> &callback);
    void probe(const std::weak_ptr<OnDisconnect> &callback, Milliseconds pause);
    void sendProbe();
    void watchReset(const std::weak_ptr<OnDisconnect> &callback);
    DropCause causeOfLoss();
    void rejectUnread(HttpResponse response, Yield yield);
    void rejectBadHeader(ErrorCode error, Yield yield);
    bool rejectAmbiguous(Yield yield);
    bool runHandler(const Handler &handler, Yield yield);
    void failHandler(const char *what, Yield yield);
    void respondFailed(Yield yield);
    void discardInput(Yield yield);
    bool hasUnreceived();
    bool hasPendingResponses() const { return !responses_.isEmpty() || isSending_; }
    void awaitPending(Yield yield);
    void waitForRoom(Yield yield);
    void waitWhile(const std::function<bool()> &condition, Yield yield);
    void abortPending(const PendingResponsePtr &pending, DropCause cause);
    void failPending(const PendingResponsePtr &pending, Yield yield);
    void sendUntilEnd(const PendingResponse &pending, Yield yield);
    void sendPending(PendingResponse &next, Yield yield);
    static void sayWhetherKept(HttpResponse &response, bool keep);
    ErrorCode writeMessage(HttpResponse &response, bool isHeadRequest, const PartPacing &pacing,
                           Yield yield);
    ErrorCode writeWithoutBody(HttpResponse &response, Yield yield);
    ErrorCode writeInParts(HttpResponse &response, const PartPacing &pacing, Yield yield);
    ErrorCode writePart(asio::const_buffer part, Clock::duration &timeLeft, Yield yield);
    ErrorCode awaitStart(TimePoint start, Yield yield);
    void closeWhenIdleFor(Milliseconds idleTimeout);
    void dropResponses(DropCause cause);
    void endPipeline(DropCause cause);
    ErrorCode waitForRequest(Milliseconds idleTimeout, Yield yield);
    bool readHeader(Yield yield);

    asio::io_context &context_;
    TcpStream stream_;
    CallerHooks hooks_;
    bool requestUnread_ = false; ///< a response was written before the whole request was read
    CallerInput input_;
    std::optional<Parser> parser_;
    std::shared_ptr<OnDisconnect> onDisconnect_;
    std::optional<http::response<http::buffer_body>> streamedResponse_;
    std::optional<http::response_serializer<http::buffer_body>> serializer_;
    ResponseQueue responses_;
    Timer responsesChanged_; ///< never expires; cancelled when a response was sent or removed
    Timer nextPart_; ///< expires when the next part of a response may be written
    Timer idleTimer_;
    Timer probeTimer_;
    int probesSent_ = 0; ///< interim responses since the last response
    bool isSending_ = false; ///< a response from the queue is being written
    bool isRequestWaiting_ = false; ///< it was read, and others before it have no response yet
    bool wasPipelined_ = false;
    bool idle_ = false; ///< waiting for the first bytes of a request
    bool responseStarted_ = false; ///< part of a response to the present request may have been sent
    bool reusable_ = false; ///< the last response was sent whole and keeps the connection
    bool closing_ = false;
    bool isHandling_ = false; ///< the handler of a request has not returned
    bool inputEnded_ = false; ///< the caller has closed its writing side, or the connection
    bool readsInterim_ = false; ///< the caller has spoken a version that has interim responses
    bool continueSent_ = false;
    bool isBodyLost_ = false; ///< the rest of it is late, malformed or will not come
};

} // namespace kumquat
