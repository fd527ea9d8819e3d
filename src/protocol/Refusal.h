#pragma once
/// \file
/// Defines the responses that an entry generates itself, in place of a target's.
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
    internalError,
    requestTimeout, ///< the rest of the request did not come in time
    stopping, ///< the entry is being stopped and could cut the request
    unknownKey, ///< no organisation holds the caller's key
    overQuota, ///< the caller's organisation has used up its quota
    quotaUndecided, ///< whether the quota has room was not known in time
    cutByStop, ///< the planned stop of the entry ended while a target was at work
};

constexpr int refusalReasonCount = 22;

/// Whether a target ran the refused request.
enum class RunOutcome {
    notRun,
    unknown, ///< it may have run
};

const char *refusalReasonName(RefusalReason reason);

HttpResponse refusal(RefusalReason reason, RunOutcome outcome);

/// \p duration for a Retry-After header, in seconds with three decimals.
std::string formatSeconds(Milliseconds duration);

} // namespace kumquat
