#include "coordination/policy/ColdTargetLimit.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Entries that send to one cold target. One would waste the rate whenever it has no request; with
/// more, each would wait too long for its next one.
constexpr std::size_t maxColdSenders = 3;
/// Entries that know no ranks share the rate up to this number. More would exceed the limit with
/// the first request of each, so they send nothing to cold targets.
constexpr std::size_t maxUnrankedSenders = 6;

std::size_t coldSenders(std::size_t entries, std::optional<std::size_t> rank)
{
    const std::size_t live = std::max<std::size_t>(1, entries);
    if (!rank) {
        return live <= maxUnrankedSenders ? live : 0;
    }
    const std::size_t senders = std::min(maxColdSenders, live);
    return *rank < senders ? senders : 0;
}

Milliseconds bounded(Milliseconds remaining)
{
    return std::clamp(remaining, Milliseconds(0), ColdTargetLimit::maxRemaining);
}

} // namespace

std::optional<Clock::duration> coldSendInterval(double requestsPerSecond, std::size_t entries,
                                                std::optional<std::size_t> rank)
{
    const std::size_t senders = coldSenders(entries, rank);
    if (senders == 0 || requestsPerSecond <= 0) {
        return std::nullopt;
    }
    // Longer intervals would not fit into the clock's duration.
    const std::chrono::duration<double> longest = std::chrono::hours(1);
    const std::chrono::duration<double> interval { static_cast<double>(senders)
                                                   / requestsPerSecond };
    return std::chrono::ceil<Clock::duration>(std::min(interval, longest));
}

bool ColdTargetLimit::recordRemaining(Milliseconds remaining, TimePoint now)
{
    const bool wasCold = now < load(saidUntil_) || load(assumedAt_) != TimePoint();
    store(assumedAt_, TimePoint());
    store(saidUntil_, now + bounded(remaining));
    return !wasCold && remaining > tolerance;
}

bool ColdTargetLimit::extendRemaining(Milliseconds remaining, TimePoint now)
{
    const bool wasCold = now <= load(saidUntil_) + tolerance;
    store(saidUntil_, std::max(load(saidUntil_), now + bounded(remaining)));
    return !wasCold && remaining > tolerance;
}

void ColdTargetLimit::assumeCold(TimePoint now)
{
    store(assumedAt_, now);
    store(silentSince_, TimePoint());
    unconfirmed_.store(false, std::memory_order_relaxed);
}

void ColdTargetLimit::recordUnreachable(TimePoint now)
{
    store(assumedAt_, now);
    unconfirmed_.store(true, std::memory_order_relaxed);
}

bool ColdTargetLimit::recordSilence(TimePoint now)
{
    const TimePoint since = load(silentSince_);
    if (since == TimePoint()) {
        store(silentSince_, now);
        return false;
    }
    if (now - since < silencePeriod) {
        return false;
    }
    const bool isNew = !isUnconfirmed();
    recordUnreachable(now);
    return isNew;
}

bool ColdTargetLimit::recordContact(TimePoint now)
{
    if (load(silentSince_) != TimePoint()) {
        store(silentSince_, TimePoint());
    }
    if (!isUnconfirmed()) {
        return false;
    }
    assumeCold(now);
    return true;
}

TimePoint ColdTargetLimit::coldUntil(Milliseconds warmup) const
{
    const TimePoint assumedAt = load(assumedAt_);
    const TimePoint assumedUntil = assumedAt == TimePoint() ? TimePoint() : assumedAt + warmup;
    return std::max(load(saidUntil_), assumedUntil);
}

bool ColdTargetLimit::isAssumedCold(Milliseconds warmup, TimePoint now) const
{
    return isCold(warmup, now) && now >= load(saidUntil_);
}

TimePoint ColdTargetLimit::nextSendAt(Clock::duration interval) const
{
    const TimePoint last = load(lastSendAt_);
    return last == TimePoint() ? last : last + interval;
}

bool ColdTargetLimit::trySend(Clock::duration interval, TimePoint now)
{
    Clock::rep last = lastSendAt_.load(std::memory_order_relaxed);
    while (last == 0 || now - TimePoint(Clock::duration(last)) >= interval) {
        if (lastSendAt_.compare_exchange_weak(last, now.time_since_epoch().count(),
                                              std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

} // namespace kumquat
