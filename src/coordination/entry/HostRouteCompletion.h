#pragma once
/// \file
/// Ends a request of a host route with a response, a refusal or the loss of its caller.
/// Each of them cancels the attempts that still run.

#include "coordination/entry/HostRouteProgress.h"

namespace kumquat {

/// True for statuses by which a caller may conclude that the request did not run and never will.
bool impliesNotRun(unsigned status);

/// Writes the response of a target; of a bulk route in parts, as the link has room.
void sendResponse(HostRouteProgress &progress, HttpResponse response, Yield yield);

/// Responds that the request has failed, or that it was refused if it certainly did not run.
void refuseWith(HostRouteProgress &progress, RefusalReason reason, Yield yield);

/// Ends the request of a caller that has disconnected.
void abandon(HostRouteProgress &progress);

} // namespace kumquat
