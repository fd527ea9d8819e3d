#pragma once
/// \file
/// Estimates how long requests of one route take at a target that is not slowed down.
/// Routes of one service may differ in their work, so each has an estimate of its own.

#include "common/Time.h"

#include <algorithm>
#include <atomic>

namespace kumquat {

/// Shared by threads; a lost update costs one sample.
class BaselineServiceTime
{
public:
    /// Records the service time at a target that was expected to be \p slowdown times slower than
    /// the baseline. Slow targets do not count, since the cause may have passed meanwhile; the
    /// first sample always does, so that there is an estimate.
    void record(Clock::duration elapsed, double slowdown)
    {
        const double known = meanUs_.load(std::memory_order_relaxed);
        if (slowdown > maxSlowdown && known > 0) {
            return;
        }
        constexpr double microsecondsPerMillisecond = 1'000;
        const double sample
            = toMilliseconds(elapsed) * microsecondsPerMillisecond / std::max(1.0, slowdown);
        meanUs_.store(known == 0 ? sample : known + sampleWeight * (sample - known),
                      std::memory_order_relaxed);
    }

    /// Zero before the first response.
    Microseconds mean() const
    {
        return Microseconds(static_cast<std::int64_t>(meanUs_.load(std::memory_order_relaxed)));
    }

private:
    static constexpr double sampleWeight = 0.05;
    static constexpr double maxSlowdown = 1.2;
    std::atomic<double> meanUs_ { 0 };
};

} // namespace kumquat
