#pragma once
/// \file
/// Defines the clock and the units of time that all modules share.
/// Deadlines use the monotonic clock; wall time is only for values that several processes compare.

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

/// Returns the current monotonic time; tests inject a virtual clock.
using NowFunction = std::function<TimePoint()>;

inline double toMilliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// The current time in milliseconds since 1970 (UTC).
inline Milliseconds wallTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now);
}

/// Like the steady clock, but it also advances while the instance is suspended (CLOCK_BOOTTIME).
inline TimePoint bootClockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace kumquat
