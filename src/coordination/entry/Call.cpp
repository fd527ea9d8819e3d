#include "coordination/entry/Call.h"

namespace kumquat {

namespace {

constexpr std::size_t relayChunkBytes = 256 * 1024;

} // namespace

void refuse(Call &call, RefusalReason reason, RunOutcome outcome, Yield yield)
{
    ++call.service->runtime->counters.refused[static_cast<std::size_t>(reason)];
    (void)call.caller.writeWhole(refusal(reason, outcome), yield);
}

void relayStreaming(Call &call, AttemptResult result, Yield yield)
{
    TargetConnection &connection = *result.connection;
    std::string part = std::move(result.response.body());
    ErrorCode error
        = call.caller.writeHead(result.response.base(), connection.answerLength(), yield);
    while (!error) {
        const bool last = connection.answerWhole();
        error = call.caller.writePart(part, last, yield);
        if (error || last) {
            break;
        }
        part.clear();
        connection.setDeadline(Clock::now() + call.service->configuration.uploadIdleTimeout);
        error = connection.readBody(part, relayChunkBytes, yield);
    }
    if (error) {
        call.caller.abort();
        connection.close();
    } else {
        ++call.service->runtime->counters.answered;
    }
    if (connection.reusable()) {
        call.worker.pool.giveBack(std::move(result.connection));
    }
    releaseTarget(*call.service, *result.target);
}

} // namespace kumquat
