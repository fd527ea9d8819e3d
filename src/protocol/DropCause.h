#pragma once
/// \file
/// Names the causes for which a caller's connection ends while responses are due on it.
/// The first four are found at the caller's side of the connection, the others at this side.

#include "transport/Asio.h"

namespace kumquat {

enum class DropCause {
    callerClosed,
    callerReset, ///< or something between it and this entry
    callerStalled, ///< it took nothing for as long as a write may last
    connectionLost, ///< the network gave up on it
    handlerFailed, ///< it threw an exception
    targetFailed, ///< the rest of a response, of which the caller has a part, did not come
    requestIncomplete, ///< the rest of a request, of which a target has a part, did not come
    processStopped, ///< the process ended as planned
};

constexpr int dropCauseCount = 8;

/// The name in logs and metrics.
const char *dropCauseName(DropCause cause);

/// The cause that \p error of reading from or writing to a caller shows.
DropCause dropCauseOf(ErrorCode error);

/// True when the caller is still there for all that this entry knows.
bool isOwnDoing(DropCause cause);

} // namespace kumquat
