#pragma once
/// \file
/// Defines the answers that an entry makes itself, in place of a target's.
/// Each says whether the request was run, why it was refused and whether a retry can help.

#include "common/Time.h"
#include "transport/HttpServer.h"

namespace kumquat {

enum class RefusalReason {
    malformedRequest,
    requestTooLarge,
    noRoute,
    notReady,
    missingKey,
    keyMismatch,
    overloaded,
    noTarget,
    deadlineExceeded,
    retriesExhausted,
    controlUnreachable,
    recordsFull,
    quarantined,
    targetFailed,
    outcomeUnknown,
};

constexpr int refusalReasonCount = 15;

/// What is known of the request's run.
enum class RunOutcome { notRun, unknown };

const char *refusalReasonName(RefusalReason reason);

HttpResponse refusal(RefusalReason reason, RunOutcome outcome);

/// \p pause as a Retry-After header has it: seconds with a fraction.
std::string formatSeconds(Milliseconds duration);

} // namespace kumquat
