#pragma once
/// \file
/// Keeps the responses of a pipelined connection in the order of their requests.
/// It does no input or output; the connection writes what takeReady() returns.

#include "protocol/ResponseChannel.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace kumquat {

/// A request that was read and whose response was not sent yet.
struct PendingResponse
{
    bool isHeadRequest = false;
    bool isReady = false;
    bool isEnded = false; ///< sent or dropped
    HttpResponse response; ///< when it is ready
    PartPacing pacing; ///< of the response's body
    OnDisconnect onDisconnect; ///< may be empty
};

using PendingResponsePtr = std::shared_ptr<PendingResponse>;

class ResponseQueue
{
public:
    /// Requests of one connection that are served at a time.
    static constexpr std::size_t maxPending = 16;
    /// No further request is read while this much is ready and not sent.
    static constexpr std::size_t maxHeldBytes = 256 * 1024;

    /// Adds a request behind all others.
    PendingResponsePtr add(bool isHeadRequest);

    /// Sets the response of \p pending; drops it when the caller has disconnected.
    void complete(const PendingResponsePtr &pending, HttpResponse response);

    /// Removes a request that gets no response.
    void remove(const PendingResponsePtr &pending);

    /// Removes and returns the first request if its response is ready; null otherwise.
    PendingResponsePtr takeReady();

    /// Calls \p onDisconnect once when the caller disconnects, at once if it has.
    void watchDisconnect(const PendingResponsePtr &pending, OnDisconnect onDisconnect);

    /// Notifies all requests that the caller has disconnected, and drops the responses.
    void disconnect(DropCause cause);

    bool isEmpty() const { return pending_.empty(); }
    std::size_t size() const { return pending_.size(); }
    bool isFull() const { return pending_.size() >= maxPending || heldBytes_ >= maxHeldBytes; }
    bool isDisconnected() const { return disconnected_.has_value(); }

private:
    std::deque<PendingResponsePtr> pending_;
    std::size_t heldBytes_ = 0; ///< in bodies of responses that are ready
    std::optional<DropCause> disconnected_;
};

} // namespace kumquat
