#pragma once
/// \file
/// Estimates when a request was first sent by its caller, who sends the time that is left with each
/// try. Most recent requests of a route are first tries, and most callers allow the same time.

#include "common/Time.h"

#include <algorithm>
#include <array>
#include <atomic>

namespace kumquat {

/// Shared by threads; a lost update costs one sample.
class CallerTimeLimit
{
public:
    /// Records the time \p left of a request and returns how long ago it was probably first sent.
    Milliseconds recordAndEstimateAge(Milliseconds left)
    {
        const std::size_t position = recorded_.fetch_add(1, std::memory_order_relaxed);
        recent_[position % recent_.size()].store(left.count(), std::memory_order_relaxed);
        const Milliseconds usual = usualLimit(std::min(position + 1, recent_.size()));
        return std::max(Milliseconds(0), usual - left);
    }

private:
    static constexpr std::size_t recentCount = 32;
    /// A quarter of the samples may be larger: callers that allow more time than the others. Later
    /// tries have less time left, but with one retry at most they are no more than half.
    static constexpr std::size_t largerShareDivisor = 4;

    Milliseconds usualLimit(std::size_t count) const
    {
        std::array<Milliseconds::rep, recentCount> samples {};
        std::copy_n(recent_.begin(), count, samples.begin());
        const auto end = samples.begin() + static_cast<std::ptrdiff_t>(count);
        const auto usual
            = samples.begin() + static_cast<std::ptrdiff_t>(count / largerShareDivisor);
        std::nth_element(samples.begin(), usual, end, std::greater<>());
        return Milliseconds(*usual);
    }

    std::array<std::atomic<Milliseconds::rep>, recentCount> recent_ {};
    std::atomic<std::size_t> recorded_ { 0 };
};

} // namespace kumquat
