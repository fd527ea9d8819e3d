#pragma once
/// \file
/// Decides when a request that takes longer than usual is worth a second attempt.
/// Answers load that is uneven rather than high: some targets are slow while others are idle.

#include "common/Time.h"

#include <optional>

namespace kumquat {

/// When to start a second attempt beside one that began at \p start and has not ended: the last
/// moment at which a fast target, which takes \p baseline, still meets the latency objective, so
/// that few attempts that would have ended in time get a second one. Nothing when an attempt that
/// takes as long as usual would not have ended by then, or when \p baseline is unknown (0).
inline std::optional<TimePoint> hedgeTime(TimePoint start, TimePoint objectiveEnd,
                                          Microseconds baseline)
{
    constexpr double usualSpread = 1.25; // of the time that a request takes at a fast target
    constexpr double neededTime = 1.2; // includes finding the target
    const auto times = [baseline](double factor) {
        return std::chrono::duration_cast<Clock::duration>(baseline * factor);
    };
    const TimePoint latest = objectiveEnd - times(neededTime);
    const bool isOverdueByThen = latest >= start + times(usualSpread);
    return baseline.count() > 0 && isOverdueByThen ? std::optional<TimePoint>(latest)
                                                   : std::nullopt;
}

} // namespace kumquat
