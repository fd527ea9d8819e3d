#include "protocol/CallerConnection.h"

#include "kumquat/Event.h"
#include "protocol/Refusal.h"
#include "transport/RequestFraming.h"
#include "transport/Spawn.h"

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace kumquat {

namespace {

constexpr std::size_t bodyPartBytes = 64 * 1024;
constexpr std::size_t firstReadBytes = 4 * 1024;
/// No more is read ahead of its turn only to learn whether the caller is still there.
constexpr std::size_t watchedBytes = 16 * 1024;
constexpr Seconds writeTimeout { 30 };
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
    : context_(context), stream_(std::move(socket)), responsesChanged_(context, TimePoint::max()),
      idleTimer_(context), inputTimer_(context)
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
    std::string failure;
    try {
        handler(*this, yield);
        return true;
    } catch (const std::exception &exception) {
        failure = exception.what();
    }
    failHandler(failure.c_str(), yield);
    return false;
}

void CallerConnection::failHandler(const char *what, Yield yield)
{
    hooks_.handlerFailed(what);
    stopWatching();
    if (responseStarted_ || !awaitResponses(yield)) {
        hooks_.responsesDropped(DropCause::handlerFailed, 1);
        abort();
        return;
    }
    closing_ = true;
    (void)writeResponse(refusal(RefusalReason::internalError, RunOutcome::unknown), yield);
}

// Closing a socket with unread input sends a reset, which may discard the response before the
// caller has read it.
void CallerConnection::discardInput(Yield yield)
{
    ErrorCode error;
    std::array<char, firstReadBytes> discarded {};
    stream_.expires_after(lingerTime);
    while (!error) {
        stream_.async_read_some(asio::buffer(discarded), yield[error]);
    }
}

// During a planned stop a connection is kept only for requests that have arrived: each of them gets
// a response.
bool CallerConnection::mayReadNext()
{
    return !closing_ && (!hooks_.isStopping() || hasInput());
}

// A connection with an unread body cannot be kept: the body would be parsed as the next request.
bool CallerConnection::keepsAlive()
{
    return mayReadNext() && parser_->is_header_done() && isBodyRead()
        && parser_->get().keep_alive();
}

bool CallerConnection::hasInput()
{
    char byte = 0;
    return buffer_.size() > 0
        || ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Waits for the first bytes of a request; the rest of its header has a timeout of its own. The
// connection is not idle while responses are pending.
ErrorCode CallerConnection::waitForRequest(Milliseconds idleTimeout, Yield yield)
{
    ErrorCode error;
    idle_ = true;
    stream_.expires_never();
    if (!hasPendingResponses()) {
        closeWhenIdleFor(idleTimeout);
    }
    const std::size_t bytes
        = stream_.async_read_some(buffer_.prepare(firstReadBytes), yield[error]);
    buffer_.commit(bytes);
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
    buffer_.max_size(std::max(buffer_.size(), headerBytes + bodyPartBytes));
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(headerBytes));
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    continueSent_ = false;
    isBodyLate_ = false;
    ErrorCode error;
    if (buffer_.size() == 0) {
        error = waitForRequest(limits.idleTimeout, yield);
    }
    if (!error) {
        error = readHeaderUntil(Clock::now() + limits.headerTimeout, yield);
    }
    if (error) {
        rejectBadHeader(error, yield);
        return false;
    }
    return !rejectAmbiguous(yield);
}

ErrorCode CallerConnection::readHeaderUntil(TimePoint until, Yield yield)
{
    ErrorCode error;
    while (!error && !parser_->is_header_done()) {
        error = parseBuffered();
        if (error == http::error::need_more) {
            error = receiveUntil(until, yield);
        }
    }
    return error;
}

ErrorCode CallerConnection::parseBuffered()
{
    if (buffer_.size() == 0) {
        return http::error::need_more;
    }
    ErrorCode error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    return error;
}

ErrorCode CallerConnection::receiveNow()
{
    const std::size_t free = buffer_.max_size() - buffer_.size();
    const std::size_t wanted = std::max(firstReadBytes, buffer_.capacity() - buffer_.size());
    const auto room = buffer_.prepare(std::min(free, wanted));
    if (room.size() == 0) {
        return http::error::buffer_overflow;
    }
    ssize_t received = -1;
    do {
        received = ::recv(stream_.socket().native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    } while (received < 0 && errno == EINTR);
    if (received == 0) {
        return asio::error::eof;
    }
    if (received < 0) {
        return errno == EAGAIN ? ErrorCode(asio::error::would_block)
                               : ErrorCode(errno, boost::system::system_category());
    }
    buffer_.commit(static_cast<std::size_t>(received));
    return {};
}

// The stream's own timer would close the connection and cut the responses that are due on it. What
// has arrived by the time that the timer is noticed is in time.
ErrorCode CallerConnection::receiveUntil(TimePoint until, Yield yield)
{
    ErrorCode waited;
    ErrorCode error = receiveNow();
    while (error == asio::error::would_block && !waited) {
        waited = awaitInput(until, yield);
        error = receiveNow();
    }
    return error == asio::error::would_block ? waited : error;
}

ErrorCode CallerConnection::awaitInput(TimePoint until, Yield yield)
{
    if (!isInputAwaited_) {
        isInputAwaited_ = true;
        stream_.socket().async_wait(TcpSocket::wait_read,
                                    [self = shared_from_this()](ErrorCode error) {
                                        self->isInputAwaited_ = false;
                                        self->inputError_ = error;
                                        self->inputTimer_.cancel();
                                    });
    }
    ErrorCode ignored;
    while (isInputAwaited_ && Clock::now() < until) {
        inputTimer_.expires_at(until);
        inputTimer_.async_wait(yield[ignored]);
    }
    return isInputAwaited_ ? ErrorCode(asio::error::timed_out) : inputError_;
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
    if (error.category() != ErrorCode(http::error::bad_method).category()) {
        dropResponses(DropCause::callerClosed);
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
        error = parseBuffered();
        body.resize(body.size() - parser_->get().body().size);
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error == http::error::need_more) {
            error = receiveUntil(deadline, yield);
        }
        if (!error && body.size() > limit) {
            error = http::error::body_limit;
        }
    }
    isBodyLate_ = error == asio::error::timed_out;
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
    error = parseBuffered();
    if (error == http::error::need_more) {
        error = receiveUntil(Clock::now() + idleTimeout, yield);
        error = error ? error : parseBuffered();
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
    return isKept && !isBodyRead() && !isBodyLate_ && !isContinueDue()
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
            error = receiveUntil(until, yield);
        }
    }
}

// Returns the number of bytes, which counts what frames the chunks of a body.
std::size_t CallerConnection::discardBuffered(ErrorCode &error)
{
    std::array<char, firstReadBytes> part {};
    const std::size_t before = buffer_.size();
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    error = parseBuffered();
    parser_->get().body().data = nullptr;
    parser_->get().body().size = 0;
    if (error == http::error::need_buffer) {
        error = {};
    }
    return before - buffer_.size();
}

ErrorCode CallerConnection::writeResponse(HttpResponse response, Yield yield)
{
    stopWatching();
    discardShortBody(yield);
    const bool keep = keepsAlive();
    response.keep_alive(keep);
    const bool isHeadRequest = parser_->is_header_done() && header().method() == http::verb::head;
    const ErrorCode error = writeMessage(response, isHeadRequest, yield);
    if (error) {
        hooks_.responsesDropped(DropCause::writeFailed, 1);
    }
    reusable_ = !error && keep;
    requestUnread_ = !error && (!parser_->is_header_done() || !isBodyRead());
    return error;
}

ErrorCode CallerConnection::writeMessage(HttpResponse &response, bool isHeadRequest, Yield yield)
{
    ErrorCode error;
    responseStarted_ = true;
    response.version(11);
    if (isHeadRequest) {
        response.content_length(response.body().size());
        response.body().clear();
        http::response_serializer<http::string_body> serializer(response);
        stream_.expires_after(writeTimeout);
        http::async_write_header(stream_, serializer, yield[error]);
    } else {
        response.prepare_payload();
        stream_.expires_after(writeTimeout);
        http::async_write(stream_, response, yield[error]);
    }
    return error;
}

// Pipelining.

bool CallerConnection::canReadAhead()
{
    return keepsAlive() && !responses_.isDisconnected();
}

ResponseChannel CallerConnection::readAhead()
{
    wasPipelined_ = true;
    reusable_ = true;
    const auto self = shared_from_this();
    const auto pending = responses_.add(header().method() == http::verb::head);
    ResponseChannel channel;
    channel.write = [self, pending](HttpResponse response, Yield yield) {
        self->responses_.complete(pending, std::move(response));
        self->sendUntilEnd(*pending, yield);
    };
    channel.watchDisconnect = [self, pending](std::function<void()> onDisconnect) {
        self->responses_.watchDisconnect(pending, std::move(onDisconnect));
    };
    channel.stopWatching = [pending] { pending->onDisconnect = nullptr; };
    channel.fail = [self, pending](Yield yield) { self->failPending(pending, yield); };
    channel.abort = [self, pending] {
        self->endPipeline(DropCause::handlerFailed);
        self->responses_.remove(pending);
    };
    return channel;
}

// One request that fails must not cost the others of its connection their responses.
void CallerConnection::failPending(const PendingResponsePtr &pending, Yield yield)
{
    pending->onDisconnect = nullptr;
    if (pending->isReady || pending->isEnded) {
        endPipeline(DropCause::handlerFailed);
        responses_.remove(pending);
        return;
    }
    responses_.complete(pending, refusal(RefusalReason::internalError, RunOutcome::unknown));
    sendUntilEnd(*pending, yield);
}

ResponseChannel CallerConnection::channel()
{
    const auto self = shared_from_this();
    ResponseChannel channel;
    channel.write = [self](HttpResponse response, Yield yield) {
        (void)self->writeResponse(std::move(response), yield);
    };
    channel.watchDisconnect = [self](std::function<void()> onDisconnect) {
        self->watchDisconnect(std::move(onDisconnect));
    };
    channel.stopWatching = [self] { self->stopWatching(); };
    channel.abort = [self] { self->abort(); };
    return channel;
}

bool CallerConnection::awaitResponses(Yield yield)
{
    isRequestWaiting_ = true;
    awaitPending(yield);
    isRequestWaiting_ = false;
    return !closing_ && !responses_.isDisconnected();
}

void CallerConnection::awaitPending(Yield yield)
{
    waitWhile([this] { return hasPendingResponses(); }, yield);
}

void CallerConnection::waitForRoom(Yield yield)
{
    waitWhile([this] { return responses_.isFull() && !responses_.isDisconnected(); }, yield);
}

// Nothing else reads meanwhile, which would show that the caller has disconnected.
void CallerConnection::waitWhile(const std::function<bool()> &condition, Yield yield)
{
    if (!condition()) {
        return;
    }
    watchDisconnect([this] { dropResponses(DropCause::callerClosed); });
    ErrorCode ignored;
    while (condition()) {
        responsesChanged_.async_wait(yield[ignored]);
    }
    stopWatching();
}

// Sends what is ready until \p pending was sent or dropped. What a response holds of the memory is
// given back by its request, which so lasts as long as the response.
void CallerConnection::sendUntilEnd(const PendingResponse &pending, Yield yield)
{
    ErrorCode ignored;
    while (!pending.isEnded) {
        const PendingResponsePtr next = isSending_ ? nullptr : responses_.takeReady();
        if (next) {
            sendPending(*next, yield);
        } else {
            responsesChanged_.async_wait(yield[ignored]);
        }
    }
    responsesChanged_.cancel();
    if (idle_ && !hasPendingResponses()) {
        closeWhenIdleFor(hooks_.limits().idleTimeout);
    }
}

// During a planned stop only the last response closes the connection, since requests behind a
// response that closes it count as not read.
void CallerConnection::sendPending(PendingResponse &next, Yield yield)
{
    isSending_ = true;
    const bool isLast = responses_.isEmpty() && !isRequestWaiting_ && !mayReadNext();
    closing_ = closing_ || isLast;
    next.response.keep_alive(!closing_);
    const ErrorCode error = writeMessage(next.response, next.isHeadRequest, yield);
    next.response = {};
    next.isEnded = true;
    isSending_ = false;
    if (error) {
        hooks_.responsesDropped(DropCause::writeFailed, 1);
    }
    if (error || closing_) {
        endPipeline(DropCause::writeFailed);
    }
    responsesChanged_.cancel();
}

// Ends the wait for the next request. Requests whose response is still pending lose their caller.
void CallerConnection::endPipeline(DropCause cause)
{
    closing_ = true;
    dropResponses(cause);
    stream_.cancel();
}

void CallerConnection::dropResponses(DropCause cause)
{
    if (responses_.size() > 0 && !responses_.isDisconnected()) {
        hooks_.responsesDropped(cause, responses_.size());
    }
    responses_.disconnect();
    responsesChanged_.cancel();
}

ErrorCode CallerConnection::writeHeader(http::response_header<> responseHeader,
                                        std::optional<std::uint64_t> length, Yield yield)
{
    stopWatching();
    responseStarted_ = true;
    streamedResponse_.emplace(std::move(responseHeader));
    streamedResponse_->version(11);
    if (length) {
        streamedResponse_->content_length(*length);
    } else {
        streamedResponse_->chunked(true);
    }
    streamedResponse_->keep_alive(keepsAlive());
    streamedResponse_->body().data = nullptr;
    streamedResponse_->body().more = true;
    serializer_.emplace(*streamedResponse_);
    ErrorCode error;
    stream_.expires_after(writeTimeout);
    http::async_write_header(stream_, *serializer_, yield[error]);
    return error;
}

ErrorCode CallerConnection::writeBodyPart(const std::string &part, bool last, Yield yield)
{
    ErrorCode error;
    streamedResponse_->body().data = part.empty() ? nullptr : const_cast<char *>(part.data());
    streamedResponse_->body().size = part.size();
    streamedResponse_->body().more = !last;
    stream_.expires_after(writeTimeout);
    http::async_write(stream_, *serializer_, yield[error]);
    if (error == http::error::need_buffer) {
        error = {};
    }
    reusable_ = last && !error && streamedResponse_->keep_alive();
    return error;
}

void CallerConnection::watchDisconnect(std::function<void()> onDisconnect)
{
    onDisconnect_ = std::make_shared<std::function<void()>>(std::move(onDisconnect));
    watch();
}

void CallerConnection::stopWatching()
{
    onDisconnect_.reset();
}

void CallerConnection::watch()
{
    const std::weak_ptr<std::function<void()>> weakCallback = onDisconnect_;
    stream_.socket().async_wait(
        TcpSocket::wait_read, [self = shared_from_this(), weakCallback](ErrorCode error) {
            const auto callback = weakCallback.lock();
            if (!callback || error || self->buffer_.size() >= watchedBytes) {
                return;
            }
            // Bytes belong to the caller's next requests, and the end of the stream may be behind.
            const ErrorCode received = self->receiveNow();
            if (!received || received == asio::error::would_block) {
                self->watch();
                return;
            }
            (*callback)();
        });
}

void CallerConnection::abort()
{
    ErrorCode ignored;
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
    if (idle_ && !hasPendingResponses() && !hasInput()) {
        stream_.close();
    }
}

} // namespace kumquat
