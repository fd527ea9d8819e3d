#include "coordination/entry/Call.h"

namespace kumquat {

namespace {

constexpr std::size_t relayChunkBytes = 256 * 1024;

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
    bool isWhole = false;
    while (!callerError && !targetError && !isWhole) {
        isWhole = connection.isResponseComplete();
        callerError = call.caller.writeBodyPart(part, isWhole, yield);
        if (!callerError && !isWhole) {
            part.clear();
            connection.setDeadline(Clock::now() + call.service->configuration.uploadIdleTimeout);
            targetError = connection.readBody(part, relayChunkBytes, yield);
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
