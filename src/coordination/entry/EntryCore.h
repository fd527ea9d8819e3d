#pragma once
/// \file
/// Defines what the worker threads and the coordination thread of an entry share.
/// Workers only read the routing table and count; the coordination thread publishes.

#include "common/RcuPointer.h"
#include "coordination/entry/Attempt.h"
#include "coordination/policy/Quarantine.h"

namespace kumquat {

struct EntryCore
{
    /// A coordination thread silent for longer means that the process was stopped for a while;
    /// what it knows of targets and configuration is then too old to act on.
    static constexpr Milliseconds staleAfter { 2'000 };

    RcuPointer<RoutingTable> routing;
    Quarantine quarantine;
    EntryHooks hooks;
    std::atomic<Clock::rep> lastTick { 0 };
    std::atomic<bool> stopping { false };
    std::atomic<bool> ready { false };
    std::atomic<int> connections { 0 };
    std::atomic<std::uint64_t> unrouted { 0 };
    const Dialect *dialect = &productDialect();

    /// True while what this entry knows is recent; time during which it was suspended counts.
    bool isFresh() const
    {
        const TimePoint tick { Clock::duration(lastTick.load(std::memory_order_relaxed)) };
        return bootTime() - tick < staleAfter;
    }
    void recordTick() { lastTick = bootTime().time_since_epoch().count(); }
};

} // namespace kumquat
