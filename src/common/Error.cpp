#include "kumquat/Error.h"

#include <absl/strings/cord.h>
#include <cstdio>
#include <cstdlib>

namespace kumquat {

namespace {

constexpr char kindPayloadUrl[] = "kumquatdeal/error-kind";

absl::StatusCode statusCode(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::badSettings:
    case ErrorKind::badConfiguration:
    case ErrorKind::badMessage:
        return absl::StatusCode::kInvalidArgument;
    case ErrorKind::configurationConflict:
        return absl::StatusCode::kAborted;
    case ErrorKind::notLeader:
    case ErrorKind::unavailable:
        return absl::StatusCode::kUnavailable;
    case ErrorKind::timedOut:
        return absl::StatusCode::kDeadlineExceeded;
    case ErrorKind::notAuthentic:
        return absl::StatusCode::kUnauthenticated;
    case ErrorKind::storageFailed:
        return absl::StatusCode::kInternal;
    case ErrorKind::storageDamaged:
        return absl::StatusCode::kDataLoss;
    case ErrorKind::storageFull:
    case ErrorKind::capacityExhausted:
        return absl::StatusCode::kResourceExhausted;
    }
    return absl::StatusCode::kUnknown;
}

} // namespace

const char *errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::badSettings:
        return "bad-settings";
    case ErrorKind::badConfiguration:
        return "bad-configuration";
    case ErrorKind::configurationConflict:
        return "configuration-conflict";
    case ErrorKind::notLeader:
        return "not-leader";
    case ErrorKind::unavailable:
        return "unavailable";
    case ErrorKind::timedOut:
        return "timed-out";
    case ErrorKind::badMessage:
        return "bad-message";
    case ErrorKind::notAuthentic:
        return "not-authentic";
    case ErrorKind::storageFailed:
        return "storage-failed";
    case ErrorKind::storageFull:
        return "storage-full";
    case ErrorKind::storageDamaged:
        return "storage-damaged";
    case ErrorKind::capacityExhausted:
        return "capacity-exhausted";
    }
    return "unknown";
}

absl::Status makeError(ErrorKind kind, const std::string &what, const std::string &remedy)
{
    absl::Status status(statusCode(kind), what + "; remedy: " + remedy);
    status.SetPayload(kindPayloadUrl, absl::Cord(errorKindName(kind)));
    return status;
}

bool isError(const absl::Status &status, ErrorKind kind)
{
    const auto payload = status.GetPayload(kindPayloadUrl);
    return payload.has_value() && *payload == errorKindName(kind);
}

void internal::assertFailed(const char *condition, const std::string &seen, const char *file,
                            int line)
{
    std::fprintf(stderr, "internal error at %s:%d: expected %s, seen: %s\n", file, line, condition,
                 seen.c_str());
    std::abort();
}

} // namespace kumquat
