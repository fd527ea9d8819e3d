#include "coordination/entry/HostRouteExchange.h"

#include "coordination/entry/TargetStatements.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Idle connections older than this are not reused for an idempotent request, since targets close
/// theirs after some seconds.
constexpr Milliseconds idempotentMaxIdle { 4'000 };
/// A shorter limit for any other request, which cannot be retried when the target closes the
/// connection while the request is under way.
constexpr Milliseconds singleRunMaxIdle { 1'000 };
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;
/// The first part of a response's body without a length; the following ones double it.
constexpr std::size_t firstPartBytes = 16 * 1024;
/// The room that a growing body takes, as a multiple of its own.
constexpr std::size_t growthFactor = 2;
/// A response waits for room for at most the time left divided by this.
constexpr int roomWaitDivisor = 2;
/// Between two checks whether other responses have made room.
constexpr Milliseconds roomCheckInterval { 10 };
/// A longer body is sent while the response is read, because some targets respond before they
/// have read the whole body.
constexpr std::size_t concurrentSendThresholdBytes = 16 * 1024;
/// Responses to other requests that are skipped on a connection before it is given up.
constexpr int maxMismatchedResponses = 2;
constexpr unsigned firstSuccess = 200;
constexpr unsigned firstRedirection = 300;
constexpr unsigned misdirectedRequest = 421;

bool isSuccess(unsigned status)
{
    return status >= firstSuccess && status < firstRedirection;
}

/// Progress of a request that is sent while its response is read. Shared, because either may end
/// first.
struct ConcurrentSend
{
    explicit ConcurrentSend(asio::io_context &loop) : ended(loop, TimePoint::max()) { }
    Timer ended;
    ErrorCode error = asio::error::operation_aborted; ///< as if cancelled, until sending returns
    bool returned = false;
    bool done = false;
};

class Exchange
{
public:
    explicit Exchange(ExchangeRequest &request) : request_(request) { }

    ExchangeResult run(Yield yield);

private:
    void sendAndReceive(Yield yield);
    std::unique_ptr<TargetConnection> connect(Yield yield);
    void setHeaders();
    ErrorCode send(Yield yield);
    ErrorCode readMatchingResponse(Yield yield);
    ErrorCode readResponse(Yield yield);
    ErrorCode awaitRoom(std::size_t bytes, Yield yield);
    ErrorCode reserveBody(std::string &body, Yield yield);
    ErrorCode growBody(std::string &body);
    ErrorCode readWholeBody(std::string &body, Yield yield);
    bool namesSeveral() const;
    void keepOneRequestId();
    bool echoesRequestId() const;
    bool matchesRequest() const;
    void noteStatements();
    void noteSkipped();
    void classify(ErrorCode error);
    void releaseConnection(Yield yield);

    ExchangeRequest &request_;
    std::unique_ptr<TargetConnection> connection_;
    std::shared_ptr<ConcurrentSend> concurrentSend_; ///< null unless the body is long
    bool skippedUnnamed_ = false; ///< a response without a request ID was skipped
    ExchangeResult result_;
};

std::unique_ptr<TargetConnection> Exchange::connect(Yield yield)
{
    AttemptOptions options;
    options.deadline = request_.deadline;
    options.maxIdle = request_.idempotent ? idempotentMaxIdle : singleRunMaxIdle;
    // Only its place shows which request a response without an ID answers.
    options.requireNewConnection = request_.requestId.empty();
    return connectTo(request_.worker, *request_.target, options, request_.handle, yield);
}

void Exchange::setHeaders()
{
    const HeaderNames &names = request_.dialect.headers;
    const auto left = std::chrono::duration_cast<Milliseconds>(request_.deadline - Clock::now());
    request_.message.header.set(names.deadline,
                                std::to_string(std::max<std::int64_t>(1, left.count())));
    if (!names.expectedTarget.empty()) {
        request_.message.header.set(names.expectedTarget, request_.target->record.name);
    }
}

ErrorCode Exchange::send(Yield yield)
{
    const SharedRequest &message = request_.message;
    if (message.body->size() <= concurrentSendThresholdBytes) {
        return connection_->sendRequest(message.header, *message.body, yield);
    }
    concurrentSend_ = std::make_shared<ConcurrentSend>(request_.worker.loop);
    spawnOn(
        request_.worker.loop,
        [this, state = concurrentSend_](Yield inner) {
            const SharedRequest &sent = request_.message;
            state->error = connection_->sendRequest(sent.header, *sent.body, inner);
            state->returned = true;
        },
        [this, state = concurrentSend_] {
            if (!state->returned) {
                connection_->close(); // No response comes to a part of a request.
            }
            state->done = true;
            state->ended.cancel();
        });
    return {};
}

// Either request that such a response names could take it for its own.
bool Exchange::namesSeveral() const
{
    const auto ids = connection_->header().equal_range(request_.dialect.headers.requestId);
    return std::any_of(ids.first, ids.second,
                       [&ids](const auto &field) { return field.value() != ids.first->value(); });
}

void Exchange::keepOneRequestId()
{
    const std::string &name = request_.dialect.headers.requestId;
    const auto field = result_.response.find(name);
    if (field != result_.response.end()) {
        const std::string id(field->value());
        result_.response.set(name, id);
    }
}

bool Exchange::echoesRequestId() const
{
    const auto &header = connection_->header();
    const auto echoed = header.find(request_.dialect.headers.requestId);
    return echoed != header.end() && std::string(echoed->value()) == request_.requestId;
}

// A target may write a response once more on a connection that is in use again, also one without an
// ID (to a load probe, say). So an error without an ID belongs to this request only if the
// connection has carried no other.
bool Exchange::matchesRequest() const
{
    const auto &header = connection_->header();
    if (header.find(request_.dialect.headers.requestId) != header.end()) {
        return echoesRequestId();
    }
    return !isSuccess(header.result_int()) && connection_->isFirstExchange();
}

ErrorCode Exchange::readResponse(Yield yield)
{
    result_.response = {};
    const bool headRequest = request_.message.header.method() == http::verb::head;
    ErrorCode error = connection_->readHeader(headRequest, yield);
    std::string body;
    if (!error && namesSeveral()) {
        error = http::error::bad_value;
    }
    if (!error) {
        error = readWholeBody(body, yield);
    }
    if (!error) {
        result_.response = HttpResponse(connection_->header());
        result_.response.body() = std::move(body);
        keepOneRequestId();
    }
    return error;
}

// The target is not to blame for the lack of room, which so counts as lateness.
ErrorCode Exchange::awaitRoom(std::size_t bytes, Yield yield)
{
    const TimePoint start = Clock::now();
    const bool mayWait = result_.held->mayWaitFor(bytes);
    const TimePoint until = mayWait ? start + (request_.deadline - start) / roomWaitDivisor : start;
    bool hasRoom = result_.held->tryGrowTo(bytes);
    while (!hasRoom && !request_.handle.cancelled && Clock::now() < until) {
        pauseFor(request_.worker.loop, roomCheckInterval, yield);
        hasRoom = result_.held->tryGrowTo(bytes);
    }
    result_.held->dropClaim();
    if (hasRoom) {
        return {};
    }
    logEvent(Event::responseRejected, LogLevel::warning,
             "request={} target={} bytes={} no room beside other responses", request_.requestId,
             request_.target->record.name, bytes);
    return asio::error::no_memory;
}

// A body of known length gets its room before it is read: bodies held in part could wait for each
// other.
ErrorCode Exchange::reserveBody(std::string &body, Yield yield)
{
    const std::uint64_t length = connection_->contentLength().value_or(0);
    if (connection_->isResponseComplete() || length == 0) {
        return {};
    }
    if (length > maxResponseBytes) {
        return http::error::body_limit;
    }
    const ErrorCode error = awaitRoom(static_cast<std::size_t>(length), yield);
    if (!error) {
        body.reserve(static_cast<std::size_t>(length));
    }
    return error;
}

// One of unknown length does not wait, since it holds some room already. While it grows it takes
// twice its room: the smaller blocks that it has left behind are not of use to every other body.
ErrorCode Exchange::growBody(std::string &body)
{
    if (body.size() < body.capacity() && result_.held->held() > 0) {
        return {};
    }
    if (body.size() >= maxResponseBytes) {
        return http::error::body_limit;
    }
    const std::size_t next
        = std::min(maxResponseBytes, std::max(firstPartBytes, 2 * body.capacity()));
    if (!result_.held->growTo(growthFactor * next)) {
        return asio::error::no_memory;
    }
    body.reserve(next);
    return {};
}

// Fails with http::error::body_limit for a body that is too long, which may have no end.
ErrorCode Exchange::readWholeBody(std::string &body, Yield yield)
{
    result_.held = std::make_shared<HeldRoom>(request_.worker.responseBytes);
    ErrorCode error = reserveBody(body, yield);
    while (!error && !connection_->isResponseComplete()) {
        error = growBody(body);
        if (!error) {
            error = connection_->readBody(body, body.capacity(), yield);
        }
    }
    body.shrink_to_fit();
    result_.held->shrinkTo(body.size());
    return error;
}

// Also a cut response and a copy of an earlier one say what their target wants.
void Exchange::noteStatements()
{
    recordStatements(*request_.target, request_.dialect, connection_->header(),
                     request_.worker.random, Clock::now());
}

void Exchange::noteSkipped()
{
    noteStatements();
    const std::string &name = request_.dialect.headers.requestId;
    skippedUnnamed_ = skippedUnnamed_ || connection_->header().count(name) == 0;
    logEvent(Event::responseRejected, LogLevel::warning,
             "request={} target={} status={} skipped: it answers another request",
             request_.requestId, request_.target->record.name, result_.response.result_int());
}

// Skips late duplicate responses to earlier requests on the same connection.
ErrorCode Exchange::readMatchingResponse(Yield yield)
{
    ErrorCode error = readResponse(yield);
    for (int mismatched = 0; !error && !matchesRequest() && mismatched < maxMismatchedResponses;
         ++mismatched) {
        noteSkipped();
        error = readResponse(yield);
    }
    if (!error && !matchesRequest()) {
        error = http::error::bad_value;
    }
    return error;
}

void Exchange::classify(ErrorCode error)
{
    const HeaderNames &names = request_.dialect.headers;
    result_.silent = !connection_->hasResponseBytes();
    if (!result_.silent) {
        noteStatements();
    }
    if (error) {
        result_.response = {}; // A skipped one reports the load of an earlier time.
        result_.held.reset();
        const bool late = error == beast::error::timeout || error == asio::error::operation_aborted
            || error == asio::error::no_memory;
        result_.outcome = late ? ExchangeOutcome::timedOut : ExchangeOutcome::failed;
        result_.reset
            = !late && error.category() != http::make_error_code(http::error::bad_value).category();
        result_.reset = result_.reset || error == http::error::end_of_stream;
        return;
    }
    const unsigned status = result_.response.result_int();
    if (request_.dialect.provesNotRun(status, result_.response)) {
        // A refusal proves something about the request that it names, and none about another. A
        // success that claims not to have run contradicts itself.
        const bool named = request_.requestId.empty() || echoesRequestId();
        const bool proven = named && !isSuccess(status);
        result_.outcome = proven ? ExchangeOutcome::notRun : ExchangeOutcome::failed;
        result_.misdirected = proven && status == misdirectedRequest;
        return;
    }
    const bool hasRequiredStamp = names.responseStamp.empty()
        || result_.response.find(names.responseStamp) != result_.response.end();
    result_.outcome = isSuccess(status) && !hasRequiredStamp ? ExchangeOutcome::failed
                                                             : ExchangeOutcome::completed;
}

// A concurrent send uses the connection and the request, so it must end before either is
// destroyed.
void Exchange::releaseConnection(Yield yield)
{
    const bool sentWhole = !concurrentSend_ || (concurrentSend_->done && !concurrentSend_->error);
    if (concurrentSend_ && !concurrentSend_->done) {
        connection_->close();
        ErrorCode ignored;
        while (!concurrentSend_->done) {
            concurrentSend_->ended.async_wait(yield[ignored]);
        }
    }
    const bool ended = result_.outcome == ExchangeOutcome::completed
        || result_.outcome == ExchangeOutcome::notRun;
    if (ended && sentWhole && !skippedUnnamed_ && connection_->isReusable()) {
        request_.worker.pool.giveBack(std::move(connection_));
    }
}

void Exchange::sendAndReceive(Yield yield)
{
    result_.pooled = !connection_->isUnused();
    setHeaders();
    connection_->setDeadline(request_.deadline);
    ErrorCode error = send(yield);
    if (!error) {
        error = readMatchingResponse(yield);
    }
    request_.handle.connection = nullptr;
    if (error && concurrentSend_ && concurrentSend_->done && concurrentSend_->error
        && !connection_->hasResponseBytes()) {
        error = concurrentSend_->error;
    }
    classify(error);
}

// The request may have run when an exception ends its exchange.
ExchangeResult Exchange::run(Yield yield)
{
    if (!contain([&] { connection_ = connect(yield); }) || !connection_) {
        request_.handle.connection = nullptr;
        return std::move(result_);
    }
    if (!contain([&] { sendAndReceive(yield); })) {
        result_ = ExchangeResult();
        result_.outcome = ExchangeOutcome::failed;
    }
    request_.handle.connection = nullptr;
    releaseConnection(yield);
    return std::move(result_);
}

} // namespace

const char *exchangeOutcomeName(ExchangeOutcome outcome)
{
    static const char *const names[] = { "answered", "not-run", "not-sent", "broken", "late" };
    return names[static_cast<int>(outcome)];
}

bool provesNotRun(ExchangeOutcome outcome)
{
    return outcome == ExchangeOutcome::notRun || outcome == ExchangeOutcome::notSent;
}

ExchangeResult runExchange(ExchangeRequest &request, Yield yield)
{
    return Exchange(request).run(yield);
}

} // namespace kumquat
