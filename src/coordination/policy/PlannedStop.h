#pragma once
/// \file
/// Decides which requests an entry may still start while it is being stopped as planned.
/// A request that the end of the process could cut is refused, so that it runs at another entry.

#include "common/Time.h"

#include <atomic>

namespace kumquat {

/// The planned stop of one process, which begins once. Thread-safe.
class PlannedStop
{
public:
    /// A response that is ready at the last moment takes this long to reach its caller.
    static constexpr Milliseconds deliveryTime { 200 };

    /// Begins the stop, which lasts for \p limit. Later calls change nothing.
    void begin(TimePoint now, Milliseconds limit)
    {
        Clock::rep notBegun = never;
        end_.compare_exchange_strong(notBegun, (now + limit).time_since_epoch().count());
    }

    bool hasBegun() const { return end_ != never; }

    /// When connections are closed; the end of time before the stop has begun.
    TimePoint end() const { return TimePoint(Clock::duration(end_.load())); }

    /// When requests that still run get a response from the entry itself.
    TimePoint lastResponse() const { return end() - deliveryTime; }

    /// True when a request that lasts until \p deadline gets its response before the end.
    bool mayStart(TimePoint deadline) const { return !hasBegun() || deadline <= lastResponse(); }

private:
    static constexpr Clock::rep never = Clock::duration::max().count();

    std::atomic<Clock::rep> end_ { never };
};

} // namespace kumquat
