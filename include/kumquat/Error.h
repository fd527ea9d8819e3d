#pragma once
/// \file
/// Defines the kinds of error that a user of the library can meet.
/// Each travels as an absl::Status whose message names the value seen and the remedy.

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
    storageDamaged,
    capacityExhausted,
};

/// Stable lower-case name, as used in `Kumquat-Reason` headers and JSON-RPC errors.
const char *errorKindName(ErrorKind kind);

/// An error of \p kind; \p what names the value seen, \p remedy what the reader can do about it.
absl::Status makeError(ErrorKind kind, const std::string &what, const std::string &remedy);

/// True when \p status was made by makeError() with \p kind.
bool isError(const absl::Status &status, ErrorKind kind);

namespace internal {
[[noreturn]] void assertFailed(const char *condition, const std::string &seen, const char *file,
                               int line);
}

} // namespace kumquat

/// Ends the process when a promise between the library's own modules is broken.
#define KUMQUAT_ASSERT(condition, seen)                                                            \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            ::kumquat::internal::assertFailed(#condition, seen, __FILE__, __LINE__);               \
        }                                                                                          \
    } while (false)
