#pragma once
/// \file
/// Defines how a request is answered, whether or not its connection is pipelined.
/// The request does not know whether other responses have to be sent before its own.

#include "common/BodyPart.h"
#include "protocol/DropCause.h"
#include "transport/HttpServer.h"

#include <functional>

namespace kumquat {

/// Called when a caller has left, or its connection was lost.
using OnDisconnect = std::function<void(DropCause)>;

/// Called before each part of a response's body; returns the part to write of the \p left bytes.
/// An empty function stands for a body that is written whole.
using PartPacing = std::function<BodyPart(std::size_t left)>;

struct ResponseChannel
{
    /// Sends the response after those before it; returns when it was sent or dropped.
    std::function<void(HttpResponse, Yield)> write;
    /// As write(), with the body in parts. What is written does not differ.
    std::function<void(HttpResponse, PartPacing, Yield)> writeInParts;
    /// Calls the function once if the caller disconnects before stopWatching().
    std::function<void(OnDisconnect)> watchDisconnect;
    std::function<void()> stopWatching;
    /// Ends a request that gets no response. Resets its connection; of a pipelined request,
    /// responds that it failed inside, so that the others get theirs, unless the caller has left.
    std::function<void(DropCause)> abort;
    /// Responds that the request failed inside, in its turn, unless it has a response already; then
    /// the connection ends.
    std::function<void(Yield)> fail;
};

} // namespace kumquat
