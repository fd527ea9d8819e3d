#include "coordination/entry/RoutedExchange.h"

#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// An idle connection of a request that may be repeated; targets close theirs after seconds.
constexpr Milliseconds repeatableIdle { 4'000 };
/// A request that may run once goes only where an answer came a moment ago.
constexpr Milliseconds singleIdle { 1'000 };
constexpr Milliseconds dialTime { 400 };
constexpr std::size_t maxAnswerBytes = 64 * 1024 * 1024;
/// A body longer than this is sent while the answer is awaited: some targets answer before they
/// have read it.
constexpr std::size_t longBodyBytes = 16 * 1024;
/// Answers to other requests that may stand before the awaited one on a connection.
constexpr int maxForeignAnswers = 2;
constexpr unsigned firstSuccess = 200;
constexpr unsigned afterSuccess = 300;
constexpr unsigned misdirected = 421;

bool isSuccess(unsigned status)
{
    return status >= firstSuccess && status < afterSuccess;
}

/// Sends a body beside the reading of the answer; shared, since either may end first.
struct Upload
{
    explicit Upload(asio::io_context &loop) : ended(loop, TimePoint::max()) { }
    Timer ended;
    ErrorCode error;
    bool done = false;
};

class Exchange
{
public:
    Exchange(RoutedRequest &request, const Target &target, AttemptHandle &handle)
        : request_(request), target_(target), handle_(handle)
    {
    }

    ExchangeResult run(Yield yield);

private:
    std::unique_ptr<TargetConnection> connect(Yield yield);
    void address();
    ErrorCode send(Yield yield);
    ErrorCode readAnswer(Yield yield);
    ErrorCode readOwn(Yield yield);
    bool isOwn() const;
    void classify(ErrorCode error);
    void finish(Yield yield);

    RoutedRequest &request_;
    const Target &target_;
    AttemptHandle &handle_;
    std::unique_ptr<TargetConnection> connection_;
    std::shared_ptr<Upload> upload_;
    ExchangeResult result_;
};

std::unique_ptr<TargetConnection> Exchange::connect(Yield yield)
{
    AttemptOptions options;
    const bool repeatable = request_.route->configuration.kind == RequestKind::idempotent;
    options.deadline = std::min(request_.deadline, Clock::now() + dialTime);
    options.maxIdle = repeatable ? repeatableIdle : singleIdle;
    return connectTo(request_.worker, target_, options, handle_, yield);
}

void Exchange::address()
{
    const HeaderNames &names = request_.dialect.headers;
    const auto left = std::chrono::duration_cast<Milliseconds>(request_.deadline - Clock::now());
    request_.request.set(names.deadline, std::to_string(std::max<std::int64_t>(1, left.count())));
    if (!names.expectedTarget.empty()) {
        request_.request.set(names.expectedTarget, target_.record.name);
    }
}

ErrorCode Exchange::send(Yield yield)
{
    if (request_.request.body().size() <= longBodyBytes) {
        return connection_->sendWhole(request_.request, yield);
    }
    upload_ = std::make_shared<Upload>(request_.worker.loop);
    spawnOn(request_.worker.loop, [this, upload = upload_](Yield inner) {
        upload->error = connection_->sendWhole(request_.request, inner);
        upload->done = true;
        upload->ended.cancel();
    });
    return {};
}

bool Exchange::isOwn() const
{
    const HeaderNames &names = request_.dialect.headers;
    const auto &head = connection_->head();
    const auto echoed = head.find(names.sendingId);
    if (echoed != head.end()) {
        return std::string(echoed->value()) == request_.sendingId;
    }
    return !isSuccess(connection_->head().result_int());
}

ErrorCode Exchange::readOwn(Yield yield)
{
    const bool headRequest = request_.request.method() == http::verb::head;
    ErrorCode error = connection_->readHead(headRequest, yield);
    std::string body;
    if (!error) {
        error = connection_->readBody(body, maxAnswerBytes, yield);
    }
    if (!error) {
        result_.response = HttpResponse(connection_->head());
        result_.response.body() = std::move(body);
    }
    return error;
}

// A late second answer to an earlier request may stand where this one's is due.
ErrorCode Exchange::readAnswer(Yield yield)
{
    ErrorCode error = readOwn(yield);
    for (int foreign = 0; !error && !isOwn() && foreign < maxForeignAnswers; ++foreign) {
        logEvent(Event::answerRejected, LogLevel::warning,
                 "request={} target={} status={} because it answers another request",
                 request_.sendingId, target_.record.name, result_.response.result_int());
        error = readOwn(yield);
    }
    if (!error && !isOwn()) {
        error = http::error::bad_value;
    }
    return error;
}

void Exchange::classify(ErrorCode error)
{
    const HeaderNames &names = request_.dialect.headers;
    result_.silent = !connection_->hasAnswered();
    if (error) {
        const bool late
            = error == beast::error::timeout || error == asio::error::operation_aborted;
        result_.end = late ? ExchangeEnd::late : ExchangeEnd::broken;
        result_.reset = !late && error.category() != http::make_error_code(http::error::bad_value).category();
        result_.reset = result_.reset || error == http::error::end_of_stream;
        return;
    }
    const unsigned status = result_.response.result_int();
    if (request_.dialect.provesNotRun(status, result_.response)) {
        result_.end = ExchangeEnd::notRun;
        result_.wrongTarget = status == misdirected;
        return;
    }
    const bool stamped = names.stamp.empty()
        || result_.response.find(names.stamp) != result_.response.end();
    result_.end = isSuccess(status) && !stamped ? ExchangeEnd::broken : ExchangeEnd::answered;
}

// The upload uses the connection and the request, so it must have ended before either goes.
void Exchange::finish(Yield yield)
{
    const bool sentWhole = !upload_ || (upload_->done && !upload_->error);
    if (upload_ && !upload_->done) {
        connection_->close();
        ErrorCode ignored;
        while (!upload_->done) {
            upload_->ended.async_wait(yield[ignored]);
        }
    }
    const bool ended = result_.end == ExchangeEnd::answered || result_.end == ExchangeEnd::notRun;
    if (ended && sentWhole && connection_->reusable()) {
        request_.worker.pool.giveBack(std::move(connection_));
    }
}

ExchangeResult Exchange::run(Yield yield)
{
    connection_ = connect(yield);
    if (!connection_) {
        return std::move(result_);
    }
    result_.pooled = !connection_->isUnused();
    address();
    connection_->setDeadline(request_.deadline);
    ErrorCode error = send(yield);
    if (!error) {
        error = readAnswer(yield);
    }
    handle_.connection = nullptr;
    if (error && upload_ && upload_->done && upload_->error && !connection_->hasAnswered()) {
        error = upload_->error;
    }
    classify(error);
    finish(yield);
    return std::move(result_);
}

} // namespace

const char *exchangeEndName(ExchangeEnd end)
{
    static const char *const names[] = { "answered", "not-run", "not-sent", "broken", "late" };
    return names[static_cast<int>(end)];
}

bool provesNotRun(ExchangeEnd end)
{
    return end == ExchangeEnd::notRun || end == ExchangeEnd::notSent;
}

ExchangeResult exchangeWith(RoutedRequest &request, const Target &target, AttemptHandle &handle,
                            Yield yield)
{
    return Exchange(request, target, handle).run(yield);
}

} // namespace kumquat
