#include "coordination/entry/Call.h"
#include "protocol/Headers.h"

#include <algorithm>

namespace kumquat {

namespace {

/// How relaying the body of an upload ended.
enum class BodyOutcome { complete, callerFailed, callerStalled, targetFailed, earlyResponse };

/// Between two checks whether the target has responded while the caller pauses.
constexpr Milliseconds responseCheckInterval { 10 };

// Fails with asio::error::timed_out when the caller has paused for too long, the target has
// responded meanwhile or the process is about to end.
ErrorCode readPart(Call &call, const AttemptHandle &handle, std::string &part, Yield yield)
{
    const TimePoint until = Clock::now() + call.service->configuration.uploadIdleTimeout;
    ErrorCode error = asio::error::timed_out;
    while (error == asio::error::timed_out && !handle.cancelled && !handle.connection->hasResponse()
           && Clock::now() < until) {
        error = call.caller.readSomeBody(part, responseCheckInterval, yield);
    }
    return error;
}

/// How the body ended when sending it failed.
BodyOutcome outcomeOfFailure(TargetConnection &connection)
{
    return connection.hasResponse() ? BodyOutcome::earlyResponse : BodyOutcome::targetFailed;
}

BodyOutcome relayBody(Call &call, const AttemptHandle &handle, Yield yield)
{
    TargetConnection &connection = *handle.connection;
    const Milliseconds idle = call.service->configuration.uploadIdleTimeout;
    connection.setDeadline(Clock::now() + idle);
    if (connection.sendHeader(call.request.base(), call.caller.contentLength(), yield)) {
        return outcomeOfFailure(connection);
    }
    std::string part;
    while (!call.caller.isBodyRead()) {
        part.clear();
        const ErrorCode error = readPart(call, handle, part, yield);
        if (error == asio::error::timed_out) {
            return connection.hasResponse() ? BodyOutcome::earlyResponse
                                            : BodyOutcome::callerStalled;
        }
        if (error) {
            return BodyOutcome::callerFailed;
        }
        connection.setDeadline(Clock::now() + idle);
        if (!part.empty() && connection.sendBodyPart(part, false, yield)) {
            return outcomeOfFailure(connection);
        }
        if (connection.hasResponse() && !call.caller.isBodyRead()) {
            return BodyOutcome::earlyResponse;
        }
    }
    return connection.sendBodyPart("", true, yield) ? outcomeOfFailure(connection)
                                                    : BodyOutcome::complete;
}

// The target may have run what it has.
void endAtStop(Call &call, const Target &target, Yield yield)
{
    releaseTarget(*call.service, target);
    refuse(call, RefusalReason::cutByStop, RunOutcome::unknown, yield);
}

void relayResponse(Call &call, const TargetPtr &target,
                   std::unique_ptr<TargetConnection> connection, AttemptHandle &handle,
                   BodyOutcome bodyOutcome, Yield yield)
{
    // A response that has arrived is not late because its caller was slow.
    const bool isEarly = bodyOutcome == BodyOutcome::earlyResponse;
    const TimePoint idleEnd = Clock::now() + call.service->configuration.uploadIdleTimeout;
    connection->setDeadline(isEarly ? std::max(call.deadline, idleEnd) : call.deadline);
    ErrorCode error = connection->readHeader(false, yield);
    std::string body;
    HeldRoom held(call.worker.responseBytes);
    if (!error) {
        error = readBuffered(*connection, body, AttemptOptions().maxBufferedBytes, held, yield);
    }
    handle.connection = nullptr;
    if (error && handle.cancelled) {
        endAtStop(call, *target, yield);
        return;
    }
    if (error) {
        releaseTarget(*call.service, *target);
        target->stats->recordFailure(Clock::now());
        const bool late = error == beast::error::timeout;
        refuse(call, late ? RefusalReason::deadlineExceeded : RefusalReason::targetFailed,
               RunOutcome::unknown, yield);
        return;
    }
    AttemptResult result;
    result.target = target;
    result.response = HttpResponse(connection->header());
    result.response.body() = std::move(body);
    const bool shed = isShed(result.response.result_int(), result.response);
    removeHopByHop(result.response);
    if (!connection->isResponseComplete()) {
        result.connection = std::move(connection);
        relayStreaming(call, std::move(result), yield);
        return;
    }
    if (bodyOutcome == BodyOutcome::complete && connection->isReusable()) {
        call.worker.pool.giveBack(std::move(connection));
    }
    releaseTarget(*call.service, *target);
    if (shed) {
        ++call.service->runtime->counters.sheds;
        refuse(call, RefusalReason::overloaded, RunOutcome::notRun, yield);
        return;
    }
    ++call.service->runtime->counters.answered;
    (void)call.caller.writeResponse(std::move(result.response), yield);
}

} // namespace

void serveUpload(Call &call, Yield yield)
{
    std::vector<std::string> tried;
    RefusalReason reason = RefusalReason::noTarget;
    std::unique_ptr<TargetConnection> connection;
    TargetPtr target;
    AttemptHandle handle;
    const auto subscription = call.worker.stopNotices.subscribe([&handle] { handle.cancel(); });
    // A target that cannot be connected to is skipped: no byte of the body has been read yet.
    while (!connection) {
        target = waitForTarget(call.worker, call.service, tried, call.deadline, reason, yield);
        if (!target) {
            refuse(call, reason, RunOutcome::notRun, yield);
            return;
        }
        tried.push_back(target->record.name);
        AttemptOptions options;
        options.deadline = call.deadline;
        options.requireNewConnection = true;
        connection = connectTo(call.worker, *target, options, handle, yield);
        if (!connection) {
            if (!handle.cancelled) {
                target->stats->recordFailure(Clock::now());
            }
            releaseTarget(*call.service, *target);
        }
    }
    const BodyOutcome bodyOutcome = relayBody(call, handle, yield);
    if (handle.cancelled && bodyOutcome != BodyOutcome::callerFailed) {
        endAtStop(call, *target, yield);
        return;
    }
    if (bodyOutcome == BodyOutcome::callerFailed) {
        // Closes mid-body: by the framing of the body the target detects the incomplete upload.
        connection->close();
        releaseTarget(*call.service, *target);
        ++call.service->runtime->counters.callerDisconnects;
        call.caller.abort(DropCause::requestIncomplete);
        return;
    }
    if (bodyOutcome == BodyOutcome::callerStalled) {
        // As above; the target may have run what it has.
        connection->close();
        releaseTarget(*call.service, *target);
        refuse(call, RefusalReason::deadlineExceeded, RunOutcome::unknown, yield);
        return;
    }
    if (bodyOutcome == BodyOutcome::targetFailed) {
        target->stats->recordFailure(Clock::now());
        releaseTarget(*call.service, *target);
        refuse(call, RefusalReason::targetFailed, RunOutcome::unknown, yield);
        return;
    }
    relayResponse(call, target, std::move(connection), handle, bodyOutcome, yield);
}

} // namespace kumquat
