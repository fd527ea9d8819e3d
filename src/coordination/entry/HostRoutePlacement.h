#pragma once
/// \file
/// Finds a place at a target for one request of a host route, from what targets report.
/// The likeliest targets are asked just before; those of the entry's subset come first.

#include "coordination/entry/HostRouteCall.h"

namespace kumquat {

/// A place that was taken, and how much slower than usual the request is expected to be there.
struct AcquiredTarget
{
    TargetPtr target; ///< null when no place was taken
    double slowdown = 1;
};

/// Takes the best place that is worth taking now. With \p last nothing better is waited for.
AcquiredTarget acquireBestTarget(HostRouteRequest &request, const std::vector<std::string> &tried, bool lastTry,
                Yield yield);

/// Takes a place where a second sending is likely to overtake the first.
AcquiredTarget acquireHedgeTarget(HostRouteRequest &request, const std::vector<std::string> &tried, Yield yield);

} // namespace kumquat
