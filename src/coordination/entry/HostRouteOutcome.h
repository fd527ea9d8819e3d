#pragma once
/// \file
/// Records what the result of an attempt says about its target and its request.
/// The statistics decide where further requests go, and which requests are quarantined.

#include "coordination/entry/HostRouteCall.h"
#include "coordination/entry/HostRouteExchange.h"

namespace kumquat {

/// To be called once for each attempt of \p request that has ended, \p elapsed after its start.
void recordOutcome(const HostRouteRequest &request, const Target &target,
                   const ExchangeResult &result, Clock::duration elapsed);

} // namespace kumquat
