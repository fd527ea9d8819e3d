#pragma once
/// \file
/// Keeps requests from a target that asked for a rest, and lets them return gradually after it.
/// A longer request for rest extends the rest of an earlier one, a shorter one changes nothing.

#include "common/Time.h"

#include <algorithm>
#include <atomic>

namespace kumquat {

/// The rest that one incarnation of a target asked this entry for. Thread-safe.
class TargetRest
{
public:
    /// A target that asks for more gets this much at a time.
    static constexpr Milliseconds maxRest { 3'600'000 };
    /// After the rest, requests in flight grow from one to their full number during this time.
    static constexpr Milliseconds returnTime { 1'000 };
    /// Entries return at different times: each adds at most this share of the rest to it.
    static constexpr int spreadDivisor = 4;
    static constexpr Milliseconds maxSpread { 1'000 };

    /// Records that the target asked at \p now to be left alone for \p asked. True when the rest
    /// begins or becomes longer.
    bool record(Milliseconds asked, std::uint64_t random, TimePoint now)
    {
        if (asked <= Milliseconds(0)) {
            return false;
        }
        const Milliseconds rest = std::min(asked, maxRest);
        const Clock::rep end = (now + rest + spread(rest, random)).time_since_epoch().count();
        Clock::rep known = until_.load(std::memory_order_relaxed);
        while (known < end) {
            if (until_.compare_exchange_weak(known, end, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

    /// The end of the rest; the epoch of the clock when the target never asked for one.
    TimePoint until() const
    {
        return TimePoint(Clock::duration(until_.load(std::memory_order_relaxed)));
    }
    bool isResting(TimePoint now) const { return now < until(); }

    /// True while requests return after a rest.
    bool isReturning(TimePoint now) const
    {
        return until() != TimePoint() && !isResting(now) && now - until() < returnTime;
    }

    /// The requests that may be in flight, of \p full without a rest.
    int concurrencyLimit(int full, TimePoint now) const
    {
        if (isResting(now)) {
            return 0;
        }
        if (!isReturning(now)) {
            return full;
        }
        const double share = toMilliseconds(now - until()) / toMilliseconds(returnTime);
        return std::max(1, static_cast<int>(full * share));
    }

private:
    static Milliseconds spread(Milliseconds rest, std::uint64_t random)
    {
        const Milliseconds most = std::min(rest / spreadDivisor, maxSpread);
        const auto count = static_cast<std::uint64_t>(most.count()) + 1;
        return Milliseconds(static_cast<Milliseconds::rep>(random % count));
    }

    std::atomic<Clock::rep> until_ { 0 };
};

/// How long a refused caller should wait when the first target returns in \p untilReturn: callers
/// are spread over the time in which requests return to the target, from \p shortest on.
inline Milliseconds retryAfterRest(Milliseconds untilReturn, Milliseconds shortest,
                                   std::uint64_t random)
{
    const auto count = static_cast<std::uint64_t>(TargetRest::returnTime.count()) + 1;
    return std::max(untilReturn, shortest)
        + Milliseconds(static_cast<Milliseconds::rep>(random % count));
}

} // namespace kumquat
