#pragma once
/// \file
/// Serves one admitted request of each kind, from the choice of a target to the answer.
/// The kinds differ in what may be repeated and in who may cut an exchange short.

#include "coordination/entry/Attempt.h"
#include "protocol/CallerConnection.h"

namespace kumquat {

/// An admitted request.
struct Call
{
    CallerConnection &caller;
    Worker &worker;
    std::shared_ptr<const ActiveService> service;
    TimePoint deadline;
    HttpRequest request; ///< as the target gets it; without a body for uploads
    std::uint64_t fingerprint = 0;
};

/// Retries and hedges within the service's rules; the caller's departure cancels.
void serveIdempotent(Call &call, Yield yield);

/// Claims the key, dispatches at most once, stores the answer; nothing cancels a dispatch.
void serveOnce(Call &call, const std::string &key, Yield yield);

/// Streams the body to one target; the caller's departure cancels.
void serveUpload(Call &call, Yield yield);

/// Answers with a refusal and counts it.
void refuse(Call &call, RefusalReason reason, RunOutcome outcome, Yield yield);

/// Passes on an answer whose first part is in \p result; a break aborts the caller's connection.
void relayStreaming(Call &call, AttemptResult result, Yield yield);

} // namespace kumquat
