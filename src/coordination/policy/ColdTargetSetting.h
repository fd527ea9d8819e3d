#pragma once
/// \file
/// Tells which services limit the requests to their cold targets, by configuration.
/// Entries apply the limit; control members give earlier notice of cold targets to which it
/// applies.

#include "kumquat/Configuration.h"

namespace kumquat {

/// True when the service sets both a warm-up time and a rate.
bool limitsColdTargets(const Service &service);

} // namespace kumquat
