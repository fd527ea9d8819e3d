#pragma once
/// \file
/// Defines load-balancing policies, which pick a target for a request from a list of candidates.
/// A policy only picks: its caller then reserves a slot at the target, which may fail.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kumquat {

/// A usable target that is below its limit of requests, with what a policy needs to rank it.
struct Candidate
{
    std::size_t index = 0; ///< position in the service's list of targets
    int inFlight = 0; ///< requests that this entry has in flight at the target
    int slots = 1; ///< requests that the target runs at once
    double externalLoad = 0; ///< estimated requests in flight from other entries
    double slowdown = 1; ///< its latency divided by the mean of the service; 1 is normal
    double errorRate = 0; ///< moving average, 0 to 1
    bool shedRecently = false; ///< it rejected a request within the last few milliseconds
};

/// Returns the position in \p candidates (never empty) of the target to use.
/// \p random is a new random number on every call.
using LoadBalancingPolicy
    = std::function<std::size_t(const std::vector<Candidate> &candidates, std::uint64_t random)>;

/// The policy with this name; parseConfiguration() accepts only known names.
LoadBalancingPolicy makeLoadBalancingPolicy(const std::string &name);

} // namespace kumquat
