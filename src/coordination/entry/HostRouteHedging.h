#pragma once
/// \file
/// Decides when an idempotent request of a host route gets a second attempt beside its first.
/// A hedge spends the retry budget of its service.

#include "coordination/entry/HostRouteProgress.h"

namespace kumquat {

/// To be called after each start of an attempt.
void scheduleHedges(HostRouteProgress &progress);

/// When hedgeIfLate() is due; TimePoint::max() for never.
TimePoint nextHedgeTime(const HostRouteProgress &progress);

/// Starts another attempt if the running one is stuck or late and another target is fast.
void hedgeIfLate(HostRouteProgress &progress, Yield yield);

} // namespace kumquat
