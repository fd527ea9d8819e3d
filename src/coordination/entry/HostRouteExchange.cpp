#include "coordination/entry/HostRouteExchange.h"

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
    explicit Exchange(Sending &sending) : sending_(sending) { }

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

    Sending &sending_;
    std::unique_ptr<TargetConnection> connection_;
    std::shared_ptr<Upload> upload_;
    ExchangeResult result_;
};

std::unique_ptr<TargetConnection> Exchange::connect(Yield yield)
{
    AttemptOptions options;
    options.deadline = std::min(sending_.deadline, Clock::now() + dialTime);
    options.maxIdle = sending_.repeatable ? repeatableIdle : singleIdle;
    return connectTo(sending_.worker, *sending_.target, options, sending_.handle, yield);
}

void Exchange::address()
{
    const HeaderNames &names = sending_.dialect.headers;
    const auto left = std::chrono::duration_cast<Milliseconds>(sending_.deadline - Clock::now());
    sending_.message.set(names.deadline, std::to_string(std::max<std::int64_t>(1, left.count())));
    if (!names.expectedTarget.empty()) {
        sending_.message.set(names.expectedTarget, sending_.target->record.name);
    }
}

ErrorCode Exchange::send(Yield yield)
{
    if (sending_.message.body().size() <= longBodyBytes) {
        return connection_->sendWhole(sending_.message, yield);
    }
    upload_ = std::make_shared<Upload>(sending_.worker.loop);
    spawnOn(sending_.worker.loop, [this, upload = upload_](Yield inner) {
        upload->error = connection_->sendWhole(sending_.message, inner);
        upload->done = true;
        upload->ended.cancel();
    });
    return {};
}

bool Exchange::isOwn() const
{
    const HeaderNames &names = sending_.dialect.headers;
    const auto &head = connection_->head();
    const auto echoed = head.find(names.sendingId);
    if (echoed != head.end()) {
        return std::string(echoed->value()) == sending_.id;
    }
    return !isSuccess(connection_->head().result_int());
}

ErrorCode Exchange::readOwn(Yield yield)
{
    const bool headRequest = sending_.message.method() == http::verb::head;
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
                 "request={} target={} status={} because it answers another request", sending_.id,
                 sending_.target->record.name, result_.response.result_int());
        error = readOwn(yield);
    }
    if (!error && !isOwn()) {
        error = http::error::bad_value;
    }
    return error;
}

void Exchange::classify(ErrorCode error)
{
    const HeaderNames &names = sending_.dialect.headers;
    result_.silent = !connection_->hasAnswered();
    if (error) {
        const bool late = error == beast::error::timeout || error == asio::error::operation_aborted;
        result_.end = late ? ExchangeEnd::late : ExchangeEnd::broken;
        result_.reset
            = !late && error.category() != http::make_error_code(http::error::bad_value).category();
        result_.reset = result_.reset || error == http::error::end_of_stream;
        return;
    }
    const unsigned status = result_.response.result_int();
    if (sending_.dialect.provesNotRun(status, result_.response)) {
        result_.end = ExchangeEnd::notRun;
        result_.wrongTarget = status == misdirected;
        return;
    }
    const bool stamped
        = names.stamp.empty() || result_.response.find(names.stamp) != result_.response.end();
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
        sending_.worker.pool.giveBack(std::move(connection_));
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
    connection_->setDeadline(sending_.deadline);
    ErrorCode error = send(yield);
    if (!error) {
        error = readAnswer(yield);
    }
    sending_.handle.connection = nullptr;
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

ExchangeResult exchange(Sending &sending, Yield yield)
{
    return Exchange(sending).run(yield);
}

} // namespace kumquat
