#pragma once
/// \file
/// Limits the requests that an entry sends to a target that has just started or returned.
/// A few entries, found by rank without any message, share the rate that a cold target can take.

#include "common/Time.h"

#include <atomic>
#include <optional>

namespace kumquat {

/// The least time between two requests of one entry to a cold target; nothing when this entry
/// sends it none. \p rank is the entry's rank for the target among \p entries, if it is known.
std::optional<Clock::duration> coldSendInterval(double requestsPerSecond, std::size_t entries,
                                                std::optional<std::size_t> rank);

/// Whether one incarnation of a target is cold, and when this entry last sent it a request while it
/// was. Thread-safe.
class ColdTargetLimit
{
public:
    /// A target that leaves load probes unanswered for this long counts as unreachable.
    static constexpr Milliseconds silencePeriod { 1'000 };
    /// Statements of one warm-up differ by delays; one that is longer by no more is not a new one.
    static constexpr Milliseconds tolerance { 250 };
    /// A target that says more is cold for this long.
    static constexpr Milliseconds maxRemaining { 600'000 };

    /// Records that the target said in a response how long it stays cold, which replaces all that
    /// was known or assumed. True when a warm target turned cold.
    bool recordRemaining(Milliseconds remaining, TimePoint now);

    /// Records a statement that may have been overtaken: it extends the time only. True when a
    /// warm target turned cold.
    bool extendRemaining(Milliseconds remaining, TimePoint now);

    /// The target is cold from now on, unless it says otherwise.
    void assumeCold(TimePoint now);

    /// Records that the target refused or reset a connection while it was opened.
    void recordUnreachable(TimePoint now);
    /// Records that the target left a load probe unanswered. True when that has gone on for so long
    /// that it newly counts as unreachable.
    bool recordSilence(TimePoint now);
    /// Records that the target responded. True when it was unreachable; it is cold from now on.
    bool recordContact(TimePoint now);

    /// True while the target has not responded since it was unreachable.
    bool isUnconfirmed() const { return unconfirmed_.load(std::memory_order_relaxed); }

    /// The end of the cold time, in the past for a warm target. An assumption lasts \p warmup.
    TimePoint coldUntil(Milliseconds warmup) const;
    bool isCold(Milliseconds warmup, TimePoint now) const { return now < coldUntil(warmup); }
    /// True when the target is cold and has not said so itself.
    bool isAssumedCold(Milliseconds warmup, TimePoint now) const;

    /// When the next request may be sent to the target while it is cold.
    TimePoint nextSendAt(Clock::duration interval) const;
    /// Takes the permission to send a request; false when it is too early.
    bool trySend(Clock::duration interval, TimePoint now);

private:
    using Ticks = std::atomic<Clock::rep>;

    static TimePoint load(const Ticks &ticks)
    {
        return TimePoint(Clock::duration(ticks.load(std::memory_order_relaxed)));
    }
    static void store(Ticks &ticks, TimePoint time)
    {
        ticks.store(time.time_since_epoch().count(), std::memory_order_relaxed);
    }

    Ticks saidUntil_ { 0 }; ///< as the target said
    Ticks assumedAt_ { 0 }; ///< start of the assumption; the epoch without one
    Ticks silentSince_ { 0 }; ///< first load probe without a response; the epoch if it responds
    Ticks lastSendAt_ { 0 };
    std::atomic<bool> unconfirmed_ { false };
};

} // namespace kumquat
