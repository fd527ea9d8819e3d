#include "coordination/entry/LoadProbe.h"

#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// A target that does not answer a question in this time is taken to be out of reach.
constexpr Milliseconds questionTime { 150 };
constexpr Milliseconds maxIdle { 4'000 };

/// The questions of one request; shared, since some answers come after it has gone on.
struct Round
{
    explicit Round(asio::io_context &loop) : ended(loop) { }
    Timer ended;
    std::size_t open = 0;
};

void ask(Worker &worker, const Dialect &dialect, const ActiveService &service,
         const TargetPtr &target, Yield yield)
{
    AttemptOptions options;
    options.deadline = Clock::now() + questionTime;
    options.maxIdle = maxIdle;
    AttemptHandle handle;
    auto connection = connectTo(worker, *target, options, handle, yield);
    if (!connection) {
        target->stats->noteUnanswered(Clock::now());
        return;
    }
    HttpRequest request(http::verb::get, service.configuration.healthPath, 11);
    request.set(http::field::host, target->address.text());
    request.prepare_payload();
    connection->setDeadline(options.deadline);
    const auto start = Clock::now();
    ErrorCode error = connection->sendWhole(request, yield);
    if (!error) {
        error = connection->readHead(false, yield);
    }
    std::string body;
    if (!error) {
        error = connection->readBody(body, options.maxBufferedBytes, yield);
    }
    if (error) {
        target->stats->noteUnanswered(Clock::now());
        return;
    }
    const auto report = dialect.loadReport(connection->head());
    if (report) {
        target->stats->recordLoad(*report, 0, Clock::now());
    }
    service.runtime->recordQuestionTime(Clock::now() - start);
    if (connection->reusable()) {
        worker.pool.giveBack(std::move(connection));
    }
}

} // namespace

void askForLoad(Worker &worker, const Dialect &dialect, const ActiveService &service,
                const std::vector<TargetPtr> &targets, Milliseconds patience, Yield yield)
{
    const auto round = std::make_shared<Round>(worker.loop);
    const TimePoint now = Clock::now();
    const auto kept = service.shared_from_this();
    for (const TargetPtr &target : targets) {
        if (!service.runtime->questionBudget.trySpend(1, now)) {
            break;
        }
        ++service.runtime->counters.questions;
        ++round->open;
        spawnOn(worker.loop, [&worker, &dialect, kept, target, round](Yield inner) {
            ask(worker, dialect, *kept, target, inner);
            if (--round->open == 0) {
                round->ended.cancel();
            }
        });
    }
    if (round->open > 0) {
        ErrorCode ignored;
        round->ended.expires_after(patience);
        round->ended.async_wait(yield[ignored]);
    }
}

} // namespace kumquat
