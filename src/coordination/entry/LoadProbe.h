#pragma once
/// \file
/// Asks a few targets for their load at the moment at which a request is about to be placed.
/// What they answer is kept in their statistics; the questions go within a budget.

#include "coordination/entry/Attempt.h"

namespace kumquat {

/// Asks \p targets and waits until all have answered or \p patience has passed. Answers that
/// come later are kept all the same. Nothing is thrown away but questions beyond the budget.
void probeLoad(Worker &worker, const Dialect &dialect, const ActiveService &service,
                const std::vector<TargetPtr> &targets, Milliseconds maxWait, Yield yield);

} // namespace kumquat
