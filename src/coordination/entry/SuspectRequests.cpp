#include "coordination/entry/SuspectRequests.h"

#include "coordination/entry/TargetStatements.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// Longer than a load probe may take: a target that is only slow must not count as ended.
constexpr Milliseconds healthCheckTimeout { 1'000 };
/// A check that ends later than this after its deadline was delayed by this entry, which then says
/// nothing of the target.
constexpr Milliseconds maxOwnDelay { 50 };

// On a new connection, because the process that accepts it is the one that runs now.
bool respondsToHealthCheck(Worker &worker, const HeaderNames &names, const std::string &healthPath,
                           const Target &target, TimePoint deadline, Yield yield)
{
    AttemptOptions options;
    options.deadline = deadline;
    options.connectWithin = healthCheckTimeout;
    options.requireNewConnection = true;
    AttemptHandle handle;
    const auto connection = connectTo(worker, target, options, handle, yield);
    if (!connection) {
        return false;
    }
    HttpRequest request(http::verb::get, healthPath, 11);
    request.set(http::field::host, target.address.text());
    request.prepare_payload();
    connection->setDeadline(deadline);
    ErrorCode error = connection->sendRequest(request, yield);
    if (!error) {
        error = connection->readHeader(false, yield);
    }
    return !error
        && comesFrom(target, names, connection->header().result_int(), connection->header());
}

// A target that leaves ends by itself, and one that asked for a rest gets no probes until then.
bool isExcused(const Target &target)
{
    return target.stats->isLeaving() || target.stats->rest().isResting(Clock::now());
}

bool hasEnded(Worker &worker, const HeaderNames &names, const std::string &healthPath,
              const Target &target, Yield yield)
{
    const TimePoint deadline = Clock::now() + healthCheckTimeout;
    if (isExcused(target)
        || respondsToHealthCheck(worker, names, healthPath, target, deadline, yield)) {
        return false;
    }
    return !isExcused(target) && Clock::now() - deadline <= maxOwnDelay;
}

// A check speaks only of requests whose connections broke before it began.
void checkTarget(Worker &worker, const HeaderNames &names, const std::string &healthPath,
                 const Target &target, Yield yield)
{
    SuspectChecks &checks = worker.suspectChecks[target.record.name];
    while (!checks.waiting.empty()) {
        checks.running.swap(checks.waiting);
        const bool ended = hasEnded(worker, names, healthPath, target, yield);
        const std::set<std::uint64_t> checked = std::exchange(checks.running, {});
        for (const std::uint64_t fingerprint : checked) {
            if (ended) {
                worker.hooks.suspectRequest(fingerprint, target.record.name);
            }
        }
    }
}

void startChecks(Worker &worker, const HeaderNames &names, const std::string &healthPath,
                 const Target &target)
{
    spawnOn(
        worker.loop,
        [&worker, &names, healthPath, target](Yield yield) {
            checkTarget(worker, names, healthPath, target, yield);
        },
        [&worker, name = target.record.name] { worker.suspectChecks.erase(name); });
}

} // namespace

void checkSuspect(Worker &worker, const HeaderNames &names, const std::string &healthPath,
                  const Target &target, std::uint64_t fingerprint)
{
    const std::string &name = target.record.name;
    const bool isRunning = worker.suspectChecks.count(name) > 0;
    const bool isNoted = contain([&] { worker.suspectChecks[name].waiting.insert(fingerprint); });
    if (isRunning) {
        return; // Another check follows the one that runs.
    }
    if (!isNoted || !contain([&] { startChecks(worker, names, healthPath, target); })) {
        worker.suspectChecks.erase(name);
    }
}

void clearSuspect(Worker &worker, std::uint64_t fingerprint)
{
    for (auto &check : worker.suspectChecks) {
        check.second.waiting.erase(fingerprint);
        check.second.running.erase(fingerprint);
    }
    worker.hooks.clearRequest(fingerprint);
}

} // namespace kumquat
