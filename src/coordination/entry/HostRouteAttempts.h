#pragma once
/// \file
/// Starts and tracks the attempts of a request of a host route.
/// Several may run at a time; each releases its target when it ends.

#include "coordination/entry/HostRouteProgress.h"

namespace kumquat {

/// Starts an attempt at \p target, which was acquired for the request.
void startAttempt(HostRouteProgress &progress, const TargetPtr &target);

/// Attempts that have not ended.
int runningAttempts(const HostRouteProgress &progress);

/// True while the request has not taken the result of each attempt. Two may end before it goes on.
bool awaitsResult(const HostRouteProgress &progress);

/// An attempt that has ended and whose result was not taken yet, which is now; null without one.
std::shared_ptr<TrackedAttempt> takeEndedAttempt(HostRouteProgress &progress);

/// Cancels all attempts that have not ended.
void cancelAttempts(HostRouteProgress &progress);

} // namespace kumquat
