#pragma once
/// \file
/// Estimates when a request was first sent by its caller, who sends the time that is left with each
/// try. Callers of a route start with about the same time, so the most seen is that of a first try.

#include "common/Time.h"

#include <algorithm>
#include <atomic>

namespace kumquat {

/// Shared by threads; a lost update costs one sample.
class CallerTimeLimit
{
public:
    /// Records the time \p left of a request and returns how long ago it was probably first sent.
    Milliseconds recordAndEstimateAge(Milliseconds left)
    {
        const double known = limitMs_.load(std::memory_order_relaxed);
        const auto sample = static_cast<double>(left.count());
        // Forgets slowly, so that a few callers with much time do not make all others look late.
        const double limit = std::max(sample, known + forgetWeight * (sample - known));
        limitMs_.store(limit, std::memory_order_relaxed);
        return Milliseconds(static_cast<std::int64_t>(limit - sample));
    }

private:
    static constexpr double forgetWeight = 0.02;
    std::atomic<double> limitMs_ { 0 };
};

} // namespace kumquat
