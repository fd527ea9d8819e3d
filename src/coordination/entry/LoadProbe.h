#pragma once
/// \file
/// Probes targets for their current load just before a request is assigned to one.
/// The reports are recorded in the targets' statistics; a budget bounds the rate of probes.

#include "coordination/entry/Attempt.h"

namespace kumquat {

/// Probes \p targets in the given order as far as the budget allows, then waits until all probes
/// have ended or \p maxWait has passed. Reports that arrive later are recorded too.
void probeLoad(Worker &worker, const Dialect &dialect, const ActiveService &service,
               const std::vector<TargetPtr> &targets, Milliseconds maxWait, Yield yield);

} // namespace kumquat
