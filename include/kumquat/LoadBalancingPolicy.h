#pragma once
/// \file
/// Defines the hook that picks a target for a request.
/// A chooser ranks usable candidates; the caller of the hook takes the place at the target.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kumquat {

/// One usable target with a free place, as a chooser sees it.
struct Candidate
{
    std::size_t index = 0; ///< in the service's list of targets
    int inFlight = 0; ///< this entry's own requests
    int slots = 1;
    double foreignLoad = 0; ///< other entries' requests, estimated from aged reports
    double slowdown = 1; ///< its latency against its peers', 1 when ordinary
    double errorRate = 0; ///< 0 to 1
    bool shedRecently = false;
};

/// Picks one of \p candidates (never empty) and returns its position in the list;
/// \p random is a fresh random number.
using LoadBalancingPolicy
    = std::function<std::size_t(const std::vector<Candidate> &candidates, std::uint64_t random)>;

/// The chooser that the configuration calls \p name; names are checked there.
LoadBalancingPolicy makeLoadBalancingPolicy(const std::string &name);

} // namespace kumquat
