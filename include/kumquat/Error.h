#pragma once
/// \file
/// Defines the kinds of errors that the library returns.
/// An error is an absl::Status whose message names the offending value and a remedy.

#include <absl/status/status.h>
#include <string>

namespace kumquat {

enum class ErrorKind {
    badSettings,
    badConfiguration,
    configurationConflict,
    notLeader,
    unavailable,
    timedOut,
    badMessage,
    notAuthentic,
    storageFailed,
    storageFull,
    storageDamaged,
    capacityExhausted,
};

/// The stable lower-case name of \p kind, as sent in `Kumquat-Reason` headers and JSON-RPC errors.
const char *errorKindName(ErrorKind kind);

/// Creates an error: \p what names the offending value, \p remedy says how to fix it.
absl::Status makeError(ErrorKind kind, const std::string &what, const std::string &remedy);

/// True when \p status was made by makeError() with \p kind.
bool isError(const absl::Status &status, ErrorKind kind);

namespace internal {
[[noreturn]] void assertFailed(const char *condition, const std::string &seen, const char *file,
                               int line);
}

} // namespace kumquat

/// Aborts the process when an internal invariant is violated; \p seen describes the actual state.
#define KUMQUAT_ASSERT(condition, seen)                                                            \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            ::kumquat::internal::assertFailed(#condition, seen, __FILE__, __LINE__);               \
        }                                                                                          \
    } while (false)
