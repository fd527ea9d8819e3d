#pragma once
/// \file
/// Searches for a target with free capacity for a request of a host route.
/// The request waits for its turn in the admission queue of its service, if there is one.

#include "coordination/entry/HostRouteProgress.h"

namespace kumquat {

/// A target acquired for the request. Returns null when the request may wait no longer, which sets
/// the reason of its refusal, when its caller has disconnected, or when no attempt may start.
TargetPtr findTarget(HostRouteProgress &progress, Yield yield);

} // namespace kumquat
