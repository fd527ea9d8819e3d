#pragma once
/// \file
/// Defines the messages by which an entry claims, completes and releases the idempotency key of a
/// `once` request. Each carries the attempt it belongs to, so that a repeated message has no
/// effect.

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

/// A target's whole response, stored for callers that send the request again.
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
    std::uint64_t attempt = 0; ///< random, drawn by the entry for each request it receives
    StoredResponse response; ///< set in a completion
    MSGPACK_DEFINE(operation, service, key, fingerprint, attempt, response)
};

enum class OnceStatus {
    granted, ///< only this attempt may send the request to a target
    pending, ///< another attempt holds the key
    done, ///< the stored response is attached
    unknown, ///< the request may have run; no response is stored
    mismatch, ///< the key belongs to a request with another fingerprint
    full, ///< no room for a new key
    accepted, ///< reply to all but a claim, whether or not the attempt held the key
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
