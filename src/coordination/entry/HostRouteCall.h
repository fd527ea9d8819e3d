#pragma once
/// \file
/// Serves one request of a host route, from the choice of a target to the response.
/// Idempotent requests are retried and hedged; others are retried only if they provably did not
/// run.

#include "coordination/entry/Attempt.h"
#include "coordination/entry/CurrentService.h"
#include "protocol/ResponseChannel.h"
#include "protocol/SharedRequest.h"

namespace kumquat {

/// Between two attempts to find a target with free capacity.
constexpr Milliseconds placementRetryInterval { 12 };

/// A request of a host route whose body has been read completely.
struct HostRouteRequest
{
    ResponseChannel caller;
    Worker &worker;
    const Dialect &dialect;
    ActiveRoutePtr route;
    CurrentService service;
    ConfigurationVersion version; ///< of the configuration that the route comes from
    TimePoint arrival;
    TimePoint deadline; ///< the earlier of the caller's and the route's
    SharedRequest request; ///< as forwarded, without the headers that differ per target
    std::string requestId;
    std::uint64_t fingerprint = 0; ///< of the caller, method, target and body
    OrganisationPtr organisation = nullptr; ///< of the caller; null when it is anonymous
    bool reachedTarget = false; ///< an attempt was started
    bool leavesLastSlots = false; ///< takes no target's last free slot
};

/// Sends \p request to targets until one responds, and writes the response or a refusal.
void serveHostRouteRequest(HostRouteRequest &request, Yield yield);

} // namespace kumquat
