#include "coordination/entry/Call.h"

namespace kumquat {

namespace {

/// Read of a streamed response before it is written; the smaller one without room.
constexpr std::size_t relayPartBytes = 256 * 1024;
constexpr std::size_t smallRelayPartBytes = 16 * 1024;

} // namespace

void refuse(Call &call, RefusalReason reason, RunOutcome outcome, Yield yield)
{
    ++call.service->runtime->counters.refused[static_cast<std::size_t>(reason)];
    (void)call.caller.writeResponse(refusal(reason, outcome), yield);
}

void relayStreaming(Call &call, AttemptResult result, Yield yield)
{
    TargetConnection &connection = *result.connection;
    std::string part = std::move(result.response.body());
    ErrorCode targetError;
    ErrorCode callerError
        = call.caller.writeHeader(result.response.base(), connection.contentLength(), yield);
    HeldRoom held(call.worker.responseBytes);
    const std::size_t partBytes
        = held.growTo(relayPartBytes) ? relayPartBytes : smallRelayPartBytes;
    bool isWhole = false;
    while (!callerError && !targetError && !isWhole) {
        isWhole = connection.isResponseComplete();
        callerError = call.caller.writeBodyPart(part, isWhole, yield);
        if (!callerError && !isWhole) {
            part.clear();
            connection.setDeadline(Clock::now() + call.service->configuration.uploadIdleTimeout);
            targetError = connection.readBody(part, partBytes, yield);
        }
    }
    if (callerError || targetError) {
        call.caller.abort(targetError ? DropCause::targetFailed : dropCauseOf(callerError));
        connection.close();
    } else {
        ++call.service->runtime->counters.answered;
    }
    if (connection.isReusable()) {
        call.worker.pool.giveBack(std::move(result.connection));
    }
    releaseTarget(*call.service, *result.target);
}

} // namespace kumquat
