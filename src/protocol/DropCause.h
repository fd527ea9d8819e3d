#pragma once
/// \file
/// Names the causes for which a caller's connection ends while responses are due on it.
/// Only the first of them is the caller's own doing.

namespace kumquat {

enum class DropCause {
    callerClosed,
    writeFailed,
    handlerFailed, ///< it threw an exception
};

constexpr int dropCauseCount = 3;

inline const char *dropCauseName(DropCause cause)
{
    static const char *const names[dropCauseCount]
        = { "caller-closed", "write-failed", "handler-failed" };
    return names[static_cast<int>(cause)];
}

} // namespace kumquat
