#pragma once
/// \file
/// Packs and unpacks the messages between processes, and the stored state, with msgpack.
/// Bytes that do not hold the expected message yield an error, not an exception.

#include "kumquat/Error.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>
#include <string>

namespace kumquat {

namespace internal {
constexpr std::size_t maxDepth = 32;
} // namespace internal

template <typename Message>
std::string pack(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

/// Fails with ErrorKind::badMessage.
template <typename Message>
absl::StatusOr<Message> unpack(const std::string &bytes)
{
    try {
        // No array, map or string can hold more items than there are bytes; larger sizes in their
        // headers are rejected before memory is allocated.
        const std::size_t maxItems = bytes.size();
        const msgpack::unpack_limit limit(maxItems, maxItems, maxItems, maxItems, maxItems,
                                          internal::maxDepth);
        const msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        Message message;
        handle.get().convert(message);
        return message;
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::badMessage,
                         std::string("the message cannot be read: ") + exception.what(),
                         "run the same version on every instance");
    }
}

} // namespace kumquat
