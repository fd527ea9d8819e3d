#include "coordination/entry/LoadProbe.h"

#include "coordination/entry/TargetStatements.h"
#include "transport/Spawn.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace kumquat {

namespace {

/// A target that does not respond to a probe within this time is marked unresponsive.
constexpr Milliseconds loadProbeTimeout { 150 };
/// What a probe asks for is in the header; a longer body only ends the connection.
constexpr std::size_t maxProbeBodyBytes = 16 * 1024;
/// One of many entries probes a target seldom, and opening a connection takes most of the time that
/// a request waits for its probes.
constexpr Milliseconds maxIdle { 12'000 };

/// A probe that ends later than this after its deadline was delayed by this entry, which then says
/// nothing of the target.
constexpr Milliseconds maxOwnDelay { 50 };

/// The probes sent for one request. Shared, because some may end after the request has moved on.
struct ProbeRound
{
    explicit ProbeRound(asio::io_context &loop)
        : deadline(Clock::now() + loadProbeTimeout), ended(loop), timeout(loop)
    {
    }
    const TimePoint deadline;
    Timer ended;
    Timer timeout; ///< one for all probes, so that none needs a timer of its own
    std::vector<std::shared_ptr<AttemptHandle>> running;
    bool isStarted = false; ///< all probes are; some may have ended
};

void recordNoResponse(const Target &target, TimePoint deadline)
{
    const TimePoint now = Clock::now();
    if (now - deadline > maxOwnDelay) {
        target.stats->markUnresponsive(now);
        return;
    }
    recordUnanswered(target, now);
}

std::string probeRequest(const ActiveService &service, const Target &target)
{
    return absl::StrCat("GET ", service.configuration.healthPath,
                        " HTTP/1.1\r\nHost: ", target.address.text(), "\r\n\r\n");
}

void probeTarget(Worker &worker, const Dialect &dialect, const ActiveService &service,
                 const TargetPtr &target, TimePoint deadline, AttemptHandle &handle, Yield yield)
{
    AttemptOptions options;
    options.deadline = deadline;
    options.maxIdle = maxIdle;
    auto connection = connectTo(worker, *target, options, handle, yield);
    if (!connection) {
        recordNoResponse(*target, deadline);
        return;
    }
    const auto start = Clock::now();
    ErrorCode error = connection->sendNow(probeRequest(service, *target));
    if (!error) {
        error = connection->readShortHeader(yield);
    }
    std::string body;
    if (!error) {
        recordStatements(*target, dialect, connection->header(), worker.random, Clock::now());
        error = connection->readShortBody(body, maxProbeBodyBytes, yield);
    }
    handle.connection = nullptr;
    if (error) {
        recordNoResponse(*target, deadline);
        return;
    }
    const auto report = dialect.loadReport(connection->header());
    if (report) {
        target->stats->recordLoadReport(*report, 0, Clock::now());
        worker.hooks.loadReported();
    }
    service.runtime->recordLoadProbeTime(Clock::now() - start);
    if (connection->isReusable()) {
        worker.pool.giveBack(std::move(connection));
    }
}

void cancelAtDeadline(const std::shared_ptr<ProbeRound> &round)
{
    round->timeout.expires_at(round->deadline);
    round->timeout.async_wait([round](ErrorCode error) {
        if (error) {
            return;
        }
        for (const auto &handle : round->running) {
            handle->cancel();
        }
    });
}

void endProbe(ProbeRound &round, const std::shared_ptr<AttemptHandle> &handle)
{
    auto &running = round.running;
    running.erase(std::remove(running.begin(), running.end(), handle), running.end());
    if (running.empty() && round.isStarted) {
        round.ended.cancel();
        round.timeout.cancel();
    }
}

void startProbes(Worker &worker, const Dialect &dialect, const ActiveService &service,
                 const std::vector<TargetPtr> &targets, const std::shared_ptr<ProbeRound> &round)
{
    const TimePoint now = Clock::now();
    const auto sharedService = service.shared_from_this();
    for (const TargetPtr &target : targets) {
        if (!service.runtime->loadProbeBudget.tryConsume(1, now)) {
            break;
        }
        ++service.runtime->counters.loadProbes;
        const auto handle = std::make_shared<AttemptHandle>();
        round->running.push_back(handle);
        spawnOn(
            worker.loop,
            [&worker, &dialect, sharedService, target, deadline = round->deadline,
             handle](Yield inner) {
                probeTarget(worker, dialect, *sharedService, target, deadline, *handle, inner);
            },
            [round, handle] { endProbe(*round, handle); });
    }
}

} // namespace

void probeLoad(Worker &worker, const Dialect &dialect, const ActiveService &service,
               const std::vector<TargetPtr> &targets, Milliseconds maxWait, Yield yield)
{
    const auto round = std::make_shared<ProbeRound>(worker.loop);
    // Before the first probe, which has no deadline of its own.
    cancelAtDeadline(round);
    contain([&] { startProbes(worker, dialect, service, targets, round); });
    round->isStarted = true;
    if (round->running.empty()) {
        round->timeout.cancel();
        return;
    }
    ErrorCode ignored;
    round->ended.expires_after(maxWait);
    round->ended.async_wait(yield[ignored]);
}

} // namespace kumquat
