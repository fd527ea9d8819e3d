#pragma once
/// \file
/// Defines the clock and the units of time that all modules share.
/// Deadlines use the monotonic clock; wall time appears only where processes compare notes.

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>

namespace kumquat {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Returns the present time; tests inject a virtual one.
using NowFunction = std::function<TimePoint()>;

inline double toMilliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Milliseconds since 1970.
inline Milliseconds wallTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now);
}

/// Like the steady clock, but counting the time for which the instance was suspended.
inline TimePoint bootClockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace kumquat
