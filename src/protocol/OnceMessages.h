#pragma once
/// \file
/// Defines the messages by which an entry claims, completes and releases a once-request's key.
/// Each carries the attempt it belongs to, so that a repeated message changes nothing.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace kumquat {

enum class OnceOperation { claim, complete, markUnknown, release };

struct OnceHeader
{
    std::string name;
    std::string value;
    MSGPACK_DEFINE(name, value)
};

/// A target's whole answer, kept for callers who send the request again.
struct StoredResponse
{
    std::uint16_t status = 0;
    std::vector<OnceHeader> headers;
    std::string body;
    MSGPACK_DEFINE(status, headers, body)
};

struct OnceRequest
{
    OnceOperation operation = OnceOperation::claim;
    std::string service;
    std::string key;
    std::uint64_t fingerprint = 0; ///< of method, path and body
    std::uint64_t attempt = 0; ///< drawn at random by the entry for each try of a caller
    StoredResponse response; ///< of a completion
    MSGPACK_DEFINE(operation, service, key, fingerprint, attempt, response)
};

enum class OnceStatus {
    granted, ///< this attempt, and no other, may dispatch
    pending, ///< another attempt holds the key
    done, ///< the stored answer is attached
    unknown, ///< it may have run; no answer is stored
    mismatch, ///< the key belongs to another request
    full, ///< no room for a new key
    accepted, ///< a completion or release took effect, or had before
};

struct OnceReply
{
    OnceStatus status = OnceStatus::unknown;
    StoredResponse response;
    MSGPACK_DEFINE(status, response)
};

const char *onceStatusName(OnceStatus status);

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::OnceOperation);
MSGPACK_ADD_ENUM(kumquat::OnceStatus);
