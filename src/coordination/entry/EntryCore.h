#pragma once
/// \file
/// Defines what the worker threads and the coordination thread of an entry share.
/// Workers read the routing table and update counters; the coordination thread publishes tables.

#include "common/RcuPointer.h"
#include "coordination/entry/Attempt.h"
#include "coordination/policy/PlannedStop.h"
#include "coordination/policy/Quarantine.h"
#include "protocol/DropCause.h"

#include <array>

namespace kumquat {

class EntryQuota;

struct EntryCore
{
    /// When the coordination thread has not ticked for longer, the process was paused; its view of
    /// targets and configuration is then too old to act on.
    static constexpr Milliseconds staleAfter { 2'000 };

    RcuPointer<RoutingTable> routing;
    Quarantine quarantine;
    EntryHooks hooks;
    EntryQuota *quota = nullptr; ///< of the coordination thread; set before the workers start
    std::atomic<Clock::rep> lastTick { 0 }; ///< of the coordination thread, in boot time
    PlannedStop stop;
    std::atomic<bool> ready { false };
    std::atomic<int> connections { 0 };
    std::atomic<std::uint64_t> unrouted { 0 }; ///< requests that matched no route
    std::atomic<std::uint64_t> unidentified { 0 }; ///< requests without a key that is in force
    std::atomic<std::uint64_t> handlerFailures { 0 }; ///< requests whose handler threw an exception
    /// Responses that were due on connections that ended, by DropCause.
    std::array<std::atomic<std::uint64_t>, dropCauseCount> droppedResponses {};
    const Dialect *dialect = &kumquatDialect();

    /// True while this entry's view is recent. Uses boot time, which includes suspended time.
    bool isFresh() const
    {
        const TimePoint tick { Clock::duration(lastTick.load(std::memory_order_relaxed)) };
        return bootClockNow() - tick < staleAfter;
    }
    void recordTick() { lastTick = bootClockNow().time_since_epoch().count(); }
};

} // namespace kumquat
