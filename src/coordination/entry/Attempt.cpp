#include "coordination/entry/Attempt.h"

#include "common/Containment.h"
#include "coordination/entry/SuspectRequests.h"
#include "coordination/entry/TargetStatements.h"
#include "protocol/Headers.h"
#include "protocol/Wire.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr unsigned firstServerError = 500;
/// Of a response's body, held without asking for room.
constexpr std::size_t firstPartBytes = 16 * 1024;
/// The room that a growing body takes, as a multiple of its own.
constexpr std::size_t growthFactor = 2;
/// Between two checks whether a planned stop has begun or the service has left the configuration,
/// while a request waits for a target.
constexpr Milliseconds waitCheckInterval { 50 };

/// True when nothing listens at the target's address, or its instance cannot be reached.
bool isRefusal(ErrorCode error)
{
    return error == asio::error::connection_refused || error == asio::error::connection_reset
        || error == asio::error::host_unreachable || error == asio::error::network_unreachable;
}

bool isServerError(const HttpResponse &response)
{
    return response.result_int() >= firstServerError;
}

void stripSystemHeaders(http::fields &fields)
{
    removeHopByHop(fields);
    // The first two are set by entries only, the others are meant for entries only.
    fields.erase(wire::outcome);
    fields.erase(wire::reason);
    fields.erase(wire::load);
    fields.erase(wire::shed);
}

AttemptOutcome outcomeOf(ErrorCode error)
{
    const bool timedOut = error == beast::error::timeout || error == asio::error::operation_aborted;
    return timedOut ? AttemptOutcome::timedOut : AttemptOutcome::failed;
}

// A reused connection on which nothing came back may have been dropped by a device between entry
// and target; then the other idle connections to the target are probably dead too.
void dropIdleIfSilent(Worker &worker, const Target &target, const TargetConnection &connection)
{
    if (!connection.hasResponseBytes() && !connection.isFirstExchange()) {
        target.stats->invalidateIdleConnections(Clock::now());
        worker.pool.closeIdle(target.address);
    }
}

// A target may respond before it has read the whole request, and close then. On a connection in use
// again the response may be a copy of an earlier one.
bool hasOwnResponse(TargetConnection &connection)
{
    return connection.isFirstExchange() && connection.hasResponse();
}

AttemptOutcome sendAndReceive(TargetConnection &connection, const HttpRequest &request,
                              const AttemptOptions &options, HttpResponse &response, HeldRoom &held,
                              ErrorCode &error, Yield yield)
{
    connection.setDeadline(options.deadline);
    error = connection.sendRequest(request, yield);
    const bool isSent = !error;
    if (isSent || hasOwnResponse(connection)) {
        error = connection.readHeader(request.method() == http::verb::head, yield);
    }
    std::string body;
    if (!error) {
        error = readBuffered(connection, body, options.maxBufferedBytes, held, yield);
    }
    if (error) {
        return outcomeOf(error);
    }
    if (!isSent && connection.isResponseComplete()) {
        connection.close();
    }
    response = HttpResponse(connection.header());
    response.body() = std::move(body);
    if (isShed(response.result_int(), response)) {
        // Without request IDs, only its place shows which request a response answers, and a target
        // may write a response once more on a connection that is in use again.
        return connection.isFirstExchange() ? AttemptOutcome::shed : AttemptOutcome::unprovenShed;
    }
    return connection.isResponseComplete() ? AttemptOutcome::completed : AttemptOutcome::streaming;
}

void recordOutcome(Worker &worker, const ActiveService &service, const Target &target,
                   const AttemptOptions &options, const AttemptResult &result, ErrorCode error,
                   Clock::duration elapsed)
{
    const TimePoint now = Clock::now();
    TargetStats &stats = *target.stats;
    const auto report = readLoadReport(result.response);
    if (report) {
        stats.recordReportedInFlight(report->inFlight - 1, now);
    }
    switch (result.outcome) {
    case AttemptOutcome::completed:
        (void)stats.coldLimit().recordContact(now);
        stats.recordResponse(elapsed, isServerError(result.response), now);
        clearSuspect(worker, options.fingerprint);
        if (!isServerError(result.response)) {
            service.runtime->recordServiceTime(elapsed);
        }
        break;
    case AttemptOutcome::shed:
    case AttemptOutcome::unprovenShed:
        ++service.runtime->counters.sheds;
        (void)stats.coldLimit().recordContact(now);
        stats.recordShed(now);
        break;
    case AttemptOutcome::failed: {
        stats.recordFailure(now);
        const bool ended = error == http::error::end_of_stream
            || error == http::error::partial_message || error == asio::error::connection_reset
            || error == asio::error::broken_pipe || error == asio::error::eof;
        // A connection that ends because its target is being stopped says nothing about the
        // request.
        if (ended && target.record.state == TargetState::ready) {
            checkSuspect(worker, kumquatDialect().headers, service.configuration.healthPath, target,
                         options.fingerprint);
        }
        break;
    }
    case AttemptOutcome::notSent:
        stats.recordFailure(now);
        break;
    case AttemptOutcome::timedOut:
    case AttemptOutcome::streaming:
        break;
    }
}

// Ends the attempt but for its count at the target.
AttemptResult exchange(Worker &worker, const ActiveService &service, const TargetPtr &target,
                       const HttpRequest &request, const AttemptOptions &options,
                       AttemptHandle &handle, Yield yield)
{
    const TimePoint start = Clock::now();
    AttemptResult result;
    result.target = target;
    ErrorCode error;
    std::unique_ptr<TargetConnection> connection
        = connectTo(worker, *target, options, handle, yield);
    if (connection) {
        result.held = std::make_shared<HeldRoom>(worker.responseBytes);
        result.outcome = sendAndReceive(*connection, request, options, result.response,
                                        *result.held, error, yield);
    }
    handle.connection = nullptr;
    if (!handle.cancelled) {
        recordOutcome(worker, service, *target, options, result, error, Clock::now() - start);
    }
    if (connection && result.outcome == AttemptOutcome::timedOut) {
        dropIdleIfSilent(worker, *target, *connection);
    }
    stripSystemHeaders(result.response);
    if (result.outcome == AttemptOutcome::streaming) {
        result.connection = std::move(connection);
        return result;
    }
    const bool attributed = result.outcome != AttemptOutcome::unprovenShed;
    if (connection && attributed && connection->isReusable()) {
        worker.pool.giveBack(std::move(connection));
    }
    return result;
}

} // namespace

bool provesNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::shed || outcome == AttemptOutcome::notSent;
}

bool isShed(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::shed || outcome == AttemptOutcome::unprovenShed;
}

void AttemptHandle::cancel()
{
    cancelled = true;
    if (connection != nullptr) {
        connection->close();
    }
}

ErrorCode readBuffered(TargetConnection &connection, std::string &body, std::size_t limit,
                       HeldRoom &held, Yield yield)
{
    ErrorCode error;
    while (!error && !connection.isResponseComplete() && body.size() < limit) {
        const std::size_t next = std::min(limit, std::max(firstPartBytes, 2 * body.size()));
        if (next > firstPartBytes && !held.growTo(growthFactor * next)) {
            break;
        }
        error = connection.readBody(body, next, yield);
    }
    return error;
}

std::unique_ptr<TargetConnection> connectTo(Worker &worker, const Target &target,
                                            const AttemptOptions &options, AttemptHandle &handle,
                                            Yield yield)
{
    std::unique_ptr<TargetConnection> connection;
    if (!options.requireNewConnection) {
        const TimePoint newerThan
            = std::max(Clock::now() - options.maxIdle, target.stats->idleConnectionsValidFrom());
        connection = worker.pool.takeIdle(target.address, newerThan);
    }
    if (!connection) {
        connection = worker.pool.makeConnection(target.address);
        handle.connection = connection.get();
        const ErrorCode error = connection->connect(
            std::min(options.deadline, Clock::now() + options.connectWithin), yield);
        if (isRefusal(error)) {
            recordUnreachable(target, Clock::now());
        }
        if (error || handle.cancelled) {
            handle.connection = nullptr;
            return nullptr;
        }
    }
    handle.connection = connection.get();
    // The target may have asked for a rest while the connection was opened.
    if (target.stats->rest().isResting(Clock::now())) {
        handle.connection = nullptr;
        return nullptr;
    }
    return connection;
}

AttemptResult runAttempt(Worker &worker, const ActiveService &service, const TargetPtr &target,
                         const HttpRequest &request, const AttemptOptions &options,
                         AttemptHandle &handle, Yield yield)
{
    // An attempt that an exception ends may have run the request.
    AttemptResult result;
    result.outcome = AttemptOutcome::failed;
    result.target = target;
    contain([&] { result = exchange(worker, service, target, request, options, handle, yield); });
    handle.connection = nullptr;
    if (result.outcome != AttemptOutcome::streaming) {
        releaseTarget(service, *target);
    }
    return result;
}

TargetPtr waitForTarget(Worker &worker, CurrentService &service,
                        const std::vector<std::string> &tried, TimePoint deadline,
                        RefusalReason &reason, Yield yield)
{
    while (true) {
        const TimePoint now = Clock::now();
        service.refresh();
        if (!worker.hooks.mayStart(deadline)) {
            reason = RefusalReason::stopping;
            return nullptr;
        }
        TargetPtr target = acquireTarget(*service, tried, now, worker.random);
        if (target) {
            return target;
        }
        if (usableTargetCount(*service, now, tried) == 0) {
            reason = RefusalReason::noTarget;
            return nullptr;
        }
        if (now + expectedWait(*service, now) >= deadline) {
            reason = RefusalReason::overloaded;
            return nullptr;
        }
        const auto waiter = std::make_shared<Waiter>(worker.loop);
        const auto maxWaiting = static_cast<std::size_t>(service->configuration.limits.queue);
        if (!service->runtime->tryEnqueue(waiter, maxWaiting)) {
            reason = RefusalReason::overloaded;
            return nullptr;
        }
        ErrorCode ignored;
        while (!waiter->woken && Clock::now() < deadline && worker.hooks.mayStart(deadline)
               && service.isConfigured()) {
            waiter->timer.expires_at(std::min(deadline, Clock::now() + waitCheckInterval));
            waiter->timer.async_wait(yield[ignored]);
        }
        if (!waiter->woken) {
            service->runtime->dequeue(waiter);
            const bool mayStart = worker.hooks.mayStart(deadline);
            if (mayStart && !service.isConfigured()) {
                reason = RefusalReason::noTarget;
                return nullptr;
            }
            reason = mayStart ? RefusalReason::overloaded : RefusalReason::stopping;
            return nullptr;
        }
    }
}

http::request_header<> forwardedHeader(const http::request_header<> &header, TimePoint deadline)
{
    http::request_header<> forwarded = header;
    removeHopByHop(forwarded);
    const auto remaining
        = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    forwarded.set(wire::deadline, std::to_string(std::max<std::int64_t>(1, remaining)));
    return forwarded;
}

} // namespace kumquat
