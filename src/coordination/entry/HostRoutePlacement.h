#pragma once
/// \file
/// Selects a target for one request of a host route, from the load that targets report.
/// The most promising targets are probed first; targets outside the entry's subset are a fallback.

#include "coordination/entry/HostRouteCall.h"

namespace kumquat {

/// A target at which one request was counted as in flight; release with releaseTarget().
struct AcquiredTarget
{
    TargetPtr target; ///< null when none was acquired
    double slowdown = 1; ///< expected service time there, relative to the baseline
    bool allFull = false; ///< no target had capacity, so none was declined either
};

/// Acquires the best target, unless waiting for a faster one is likely to pay. With \p lastTry it
/// takes any target but one that would miss the latency objective by far.
AcquiredTarget acquireBestTarget(HostRouteRequest &request, const std::vector<std::string> &tried,
                                 bool lastTry, Yield yield);

/// Why a request gets a second attempt beside its first.
enum class HedgeCause {
    stuck, ///< the first one's target has become unresponsive
    late, ///< the first one takes longer than usual
};

/// Acquires a target of the subset that is fast enough for a hedge to overtake the first attempt.
AcquiredTarget acquireHedgeTarget(HostRouteRequest &request, const std::vector<std::string> &tried,
                                  HedgeCause cause, Yield yield);

} // namespace kumquat
