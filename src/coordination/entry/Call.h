#pragma once
/// \file
/// Serves one admitted request of each kind, from the choice of a target to the response.
/// The kinds differ in whether a request may be retried and in what cancels it.

#include "coordination/entry/Attempt.h"
#include "protocol/CallerConnection.h"

namespace kumquat {

/// An admitted request.
struct Call
{
    CallerConnection &caller;
    Worker &worker;
    CurrentService service;
    TimePoint deadline;
    HttpRequest request; ///< as forwarded to the target; without a body for uploads
    std::uint64_t fingerprint = 0;
};

/// Retries and hedges as the service's configuration allows; cancelled when the caller disconnects.
void serveIdempotent(Call &call, Yield yield);

/// Claims the idempotency key, runs the request at most once and stores the response. A request
/// that was dispatched is never cancelled.
void serveOnce(Call &call, const std::string &key, Yield yield);

/// Streams the body to one target; cancelled when the caller disconnects.
void serveUpload(Call &call, Yield yield);

/// Responds with a refusal and counts it.
void refuse(Call &call, RefusalReason reason, RunOutcome outcome, Yield yield);

/// Forwards a response whose first part is in \p result and releases the target. On failure the
/// caller's connection is aborted.
void relayStreaming(Call &call, AttemptResult result, Yield yield);

} // namespace kumquat
