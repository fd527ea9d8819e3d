#pragma once
/// \file
/// Serves one request of a host route, from the choice of a target to the answer.
/// It is sent again only as its kind allows: a single-run request only after proof of no run.

#include "coordination/entry/Attempt.h"
#include "protocol/CallerConnection.h"

namespace kumquat {

/// Between two looks for a place at a target.
constexpr Milliseconds placementRetryInterval { 12 };

/// A request that has been read whole.
struct HostRouteRequest
{
    CallerConnection &caller;
    Worker &worker;
    const Dialect &dialect;
    ActiveRoutePtr route;
    std::shared_ptr<const ActiveService> service;
    ConfigurationVersion version; ///< in which the route was found
    TimePoint arrival;
    TimePoint deadline; ///< the nearer of the caller's and the route's
    HttpRequest request; ///< as the target gets it, but for what differs between targets
    std::string requestId;
    std::uint64_t fingerprint = 0;
};

void serveHostRouteRequest(HostRouteRequest &request, Yield yield);

} // namespace kumquat
