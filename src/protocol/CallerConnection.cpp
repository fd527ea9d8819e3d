#include "protocol/CallerConnection.h"

#include "common/UnwoundStack.h"
#include "kumquat/Event.h"
#include "protocol/Refusal.h"
#include "transport/RequestFraming.h"
#include "transport/Spawn.h"

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace kumquat {

namespace {

constexpr unsigned firstVersionWithInterim = 11; // HTTP/1.1
constexpr std::size_t bodyPartBytes = 64 * 1024;
constexpr std::size_t firstReadBytes = 4 * 1024;
/// How long input is read and discarded after a response to a request that was not read whole.
constexpr Milliseconds lingerTime { 1'000 };
/// How much of a body that a response does not need is read, so that the connection can be kept.
constexpr std::size_t shortBodyBytes = 256 * 1024;
/// How long such a response waits for that.
constexpr Milliseconds shortBodyTime { 100 };

// A body of unknown length is read in growing parts, since most are short.
std::size_t partBytes(std::size_t before, std::size_t length)
{
    return length > 0 ? bodyPartBytes : std::clamp(before, firstReadBytes, bodyPartBytes);
}

// A string that grows by itself may take twice the memory that it is asked for.
void growTo(std::string &text, std::size_t capacity)
{
    if (capacity > text.capacity()) {
        std::string grown;
        grown.reserve(capacity);
        grown.append(text);
        text = std::move(grown);
    }
}

} // namespace

CallerConnection::CallerConnection(asio::io_context &context, TcpSocket socket)
    : context_(context), stream_(std::move(socket)), input_(context, stream_),
      responsesChanged_(context, TimePoint::max()), nextPart_(context), idleTimer_(context),
      probeTimer_(context)
{
}

std::optional<std::uint64_t> CallerConnection::contentLength() const
{
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void CallerConnection::serve(const Handler &handler, CallerHooks hooks, Yield yield)
{
    hooks_ = std::move(hooks);
    do {
        waitForRoom(yield);
        // What arrives after a response that closes the connection counts as not read.
        if (closing_ || !readHeader(yield) || closing_) {
            break;
        }
        reusable_ = false;
        if (!runHandler(handler, yield)) {
            break;
        }
        stopWatching();
    } while (reusable_);
    awaitPending(yield);
    ErrorCode ignored;
    stream_.socket().shutdown(TcpSocket::shutdown_send, ignored);
    if (requestUnread_ || wasPipelined_ || hooks_.isStopping()) {
        discardInput(yield);
    }
    stream_.close();
}

// What one request makes its handler throw must not end the process, which serves others too.
bool CallerConnection::runHandler(const Handler &handler, Yield yield)
{
    responseStarted_ = false;
    isHandling_ = true;
    std::string failure;
    try {
        handler(*this, yield);
        isHandling_ = false;
        return true;
    } catch (const std::exception &exception) {
        forgetUnwoundFrames();
        failure = exception.what();
    }
    isHandling_ = false;
    failHandler(failure.c_str(), yield);
    return false;
}

void CallerConnection::failHandler(const char *what, Yield yield)
{
    hooks_.handlerFailed(what);
    stopWatching();
    respondFailed(yield);
}

void CallerConnection::respondFailed(Yield yield)
{
    if (responseStarted_ || !awaitResponses(yield)) {
        abort(DropCause::handlerFailed);
        return;
    }
    closing_ = true;
    (void)writeResponse(refusal(RefusalReason::internalError, RunOutcome::unknown), yield);
}

// Closing a socket with unread input sends a reset, as does later input. It may discard responses
// that the caller has not received yet.
void CallerConnection::discardInput(Yield yield)
{
    const TimePoint end = Clock::now() + writeTimeout;
    ErrorCode error;
    do {
        error = input_.discardUntil(Clock::now() + lingerTime, yield);
    } while (error == asio::error::timed_out && hasUnreceived() && Clock::now() < end);
}

// True when the caller's side has not confirmed all that was written.
bool CallerConnection::hasUnreceived()
{
    int bytes = 0;
    return ::ioctl(stream_.socket().native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

std::size_t CallerConnection::dueResponses() const
{
    return responses_.size() + (isSending_ ? 1 : 0) + (isHandling_ ? 1 : 0);
}

// During a planned stop, and when the caller sends nothing more, a connection is kept only for
// requests that have arrived: each of them gets a response.
bool CallerConnection::mayReadNext()
{
    const bool mayCome = !inputEnded_ && !hooks_.isStopping();
    return !closing_ && (mayCome || input_.hasArrived());
}

// A connection with an unread body cannot be kept: the body would be parsed as the next request.
bool CallerConnection::keepsAlive()
{
    return mayReadNext() && parser_->is_header_done() && isBodyRead()
        && parser_->get().keep_alive();
}

// Waits for the first bytes of a request; the rest of its header has a timeout of its own. The
// connection is not idle while responses are pending.
ErrorCode CallerConnection::waitForRequest(Milliseconds idleTimeout, Yield yield)
{
    idle_ = true;
    if (!hasPendingResponses()) {
        closeWhenIdleFor(idleTimeout);
    }
    const ErrorCode error = input_.receive(yield);
    idle_ = false;
    idleTimer_.cancel();
    return error;
}

void CallerConnection::closeWhenIdleFor(Milliseconds idleTimeout)
{
    idleTimer_.expires_after(idleTimeout);
    idleTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error) {
            self->closeIfIdle();
        }
    });
}

bool CallerConnection::readHeader(Yield yield)
{
    const CallerLimits limits = hooks_.limits();
    const auto headerBytes = static_cast<std::size_t>(limits.maxHeaderBytes);
    input_.limitTo(headerBytes + bodyPartBytes);
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(headerBytes));
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    continueSent_ = false;
    isBodyLost_ = false;
    ErrorCode error;
    if (input_.size() == 0) {
        error = waitForRequest(limits.idleTimeout, yield);
    }
    if (!error) {
        error = input_.readHeader(*parser_, Clock::now() + limits.headerTimeout, yield);
    }
    if (error) {
        rejectBadHeader(error, yield);
        return false;
    }
    readsInterim_ = readsInterim_ || header().version() >= firstVersionWithInterim;
    return !rejectAmbiguous(yield);
}

bool CallerConnection::rejectAmbiguous(Yield yield)
{
    const char *ambiguity = ambiguityOf(header(), hasBody());
    if (ambiguity == nullptr) {
        return false;
    }
    logEvent(Event::requestMalformed, LogLevel::warning, "cause=\"{}\"", ambiguity);
    rejectUnread(refusal(RefusalReason::malformedRequest, RunOutcome::notRun), yield);
    return true;
}

void CallerConnection::rejectBadHeader(ErrorCode error, Yield yield)
{
    if (error == asio::error::timed_out) {
        rejectUnread(refusal(RefusalReason::requestTimeout, RunOutcome::notRun), yield);
        return;
    }
    if (error == asio::error::eof) {
        inputEnded_ = true; // Whether the caller has left shows while it waits for its responses.
        return;
    }
    if (error.category() != ErrorCode(http::error::bad_method).category()) {
        dropResponses(dropCauseOf(error));
        return;
    }
    HttpResponse response = refusal(RefusalReason::malformedRequest, RunOutcome::notRun);
    if (error == http::error::header_limit) {
        response.result(http::status::request_header_fields_too_large);
    }
    rejectUnread(std::move(response), yield);
}

// Refuses what cannot be read, after the responses to the requests before it.
void CallerConnection::rejectUnread(HttpResponse response, Yield yield)
{
    if (!awaitResponses(yield)) {
        return;
    }
    closing_ = true;
    (void)writeResponse(std::move(response), yield);
}

bool CallerConnection::isContinueDue() const
{
    return !continueSent_ && beast::iequals(header()[http::field::expect], "100-continue");
}

ErrorCode CallerConnection::sendContinueIfExpected(Yield yield)
{
    ErrorCode error;
    if (isContinueDue()) {
        continueSent_ = true;
        http::response<http::empty_body> response(http::status::continue_, 11);
        stream_.expires_after(writeTimeout);
        http::async_write(stream_, response, yield[error]);
    }
    return error;
}

ErrorCode CallerConnection::readBody(std::string &body, std::size_t limit, const MayHold &mayHold,
                                     TimePoint deadline, Yield yield)
{
    const auto length = static_cast<std::size_t>(contentLength().value_or(0));
    if (length > limit) {
        return http::error::body_limit;
    }
    if (!mayHold(length)) {
        return asio::error::no_memory;
    }
    // One byte more than there may be shows that there are too many.
    const std::size_t most = (length > 0 ? length : limit) + 1;
    body.reserve(length + 1);
    ErrorCode error = sendContinueIfExpected(yield);
    parser_->eager(true);
    while (!error && !parser_->is_done()) {
        const std::size_t before = body.size();
        const std::size_t next = std::min(most, before + partBytes(before, length));
        const std::size_t doubled = std::max(next, std::min(most, 2 * body.capacity()));
        if (next > body.capacity() && !mayHold(doubled)) {
            return asio::error::no_memory;
        }
        growTo(body, next > body.capacity() ? doubled : 0);
        body.resize(next);
        parser_->get().body().data = body.data() + before;
        parser_->get().body().size = body.size() - before;
        error = input_.parse(*parser_);
        body.resize(body.size() - parser_->get().body().size);
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error == http::error::need_more) {
            error = input_.receiveUntil(deadline, yield);
        }
        if (!error && body.size() > limit) {
            error = http::error::body_limit;
        }
    }
    const bool isRefused = error == http::error::body_limit || error == asio::error::no_memory;
    isBodyLost_ = error && !isRefused;
    return error;
}

ErrorCode CallerConnection::readSomeBody(std::string &part, Milliseconds idleTimeout, Yield yield)
{
    ErrorCode error = sendContinueIfExpected(yield);
    if (error || parser_->is_done()) {
        return error;
    }
    part.resize(bodyPartBytes);
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    error = input_.parse(*parser_);
    if (error == http::error::need_more) {
        error = input_.receiveUntil(Clock::now() + idleTimeout, yield);
        error = error ? error : input_.parse(*parser_);
    }
    part.resize(bodyPartBytes - parser_->get().body().size);
    if (error == http::error::need_more) {
        error = {};
    }
    if (error == http::error::need_buffer) {
        error = {};
    }
    return error;
}

// 0 for a chunked body.
std::uint64_t CallerConnection::bodyBytesLeft() const
{
    const auto left = parser_->content_length_remaining();
    return left ? *left : contentLength().value_or(0);
}

// A caller that waits for 100 Continue may leave its body out once it has a response.
bool CallerConnection::mayDiscardBody() const
{
    const bool isKept = !closing_ && parser_->is_header_done() && parser_->get().keep_alive();
    return isKept && !isBodyRead() && !isBodyLost_ && !isContinueDue()
        && bodyBytesLeft() <= shortBodyBytes;
}

// Requests behind a body that is not read would not be read either.
void CallerConnection::discardShortBody(Yield yield)
{
    if (!mayDiscardBody()) {
        return;
    }
    const TimePoint until = Clock::now() + shortBodyTime;
    std::size_t discarded = 0;
    ErrorCode error;
    while (!error && !isBodyRead() && discarded <= shortBodyBytes) {
        discarded += discardBuffered(error);
        if (error == http::error::need_more) {
            error = input_.receiveUntil(until, yield);
        }
    }
}

// Returns the number of bytes, which counts what frames the chunks of a body.
std::size_t CallerConnection::discardBuffered(ErrorCode &error)
{
    std::array<char, firstReadBytes> part {};
    const std::size_t before = input_.size();
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    error = input_.parse(*parser_);
    parser_->get().body().data = nullptr;
    parser_->get().body().size = 0;
    if (error == http::error::need_buffer) {
        error = {};
    }
    return before - input_.size();
}

void CallerConnection::abort(DropCause cause)
{
    ErrorCode ignored;
    hooks_.responsesDropped(cause, 1);
    closing_ = true;
    reusable_ = false;
    // Sends a reset, so that even a response delimited by the end of the connection is not taken
    // for complete.
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

void CallerConnection::closeIfIdle()
{
    // What has arrived is read first: the timer of a process that stood still is due together with
    // it.
    if (idle_ && !hasPendingResponses() && !input_.hasArrived()) {
        stream_.close();
    }
}

void CallerConnection::endBody()
{
    if (isHandling_ && !isBodyRead()) {
        input_.endWait();
    }
}

// A body that ends with the connection must not look complete.
void CallerConnection::cutAtStop()
{
    if (dueResponses() == 0) {
        return;
    }
    hooks_.responsesDropped(DropCause::processStopped, dueResponses());
    if (isHandling_ && responseStarted_) {
        ErrorCode ignored;
        stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

} // namespace kumquat
