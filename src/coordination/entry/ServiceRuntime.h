#pragma once
/// \file
/// Defines what an entry keeps of a service while it runs: limits, waiting requests, counters.
/// It outlives changes of the configuration, so that a new limit counts what is in flight.

#include "common/LatencyRecorder.h"
#include "common/Random.h"
#include "coordination/entry/Target.h"
#include "coordination/policy/RetryBudget.h"
#include "coordination/policy/TokenBucket.h"
#include "kumquat/Chooser.h"
#include "kumquat/Configuration.h"
#include "kumquat/Placement.h"
#include "protocol/Refusal.h"
#include "transport/Asio.h"

#include <array>
#include <deque>
#include <mutex>

namespace kumquat {

/// Counters of one service in one entry.
struct ServiceCounters
{
    std::atomic<std::uint64_t> requests { 0 };
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> retries { 0 };
    std::atomic<std::uint64_t> hedges { 0 };
    std::atomic<std::uint64_t> sheds { 0 };
    std::atomic<std::uint64_t> callerDisconnects { 0 };
    std::atomic<std::uint64_t> loadProbes { 0 };
    std::array<std::atomic<std::uint64_t>, refusalReasonCount> refused {};
};

/// A request that waits for a place at a target.
struct Waiter
{
    explicit Waiter(asio::io_context &context) : loop(context), timer(context) { }
    asio::io_context &loop;
    Timer timer;
    bool woken = false; ///< only touched on its own loop
};

class ServiceRuntime
{
public:
    /// Counts a request in; false when the service's concurrency limit is reached.
    bool tryEnter(int concurrency);
    void leave() { concurrent_.fetch_sub(1, std::memory_order_relaxed); }
    int concurrent() const { return concurrent_.load(std::memory_order_relaxed); }

    /// Queues \p waiter; false when \p limit wait already.
    bool tryEnqueue(const std::shared_ptr<Waiter> &waiter, std::size_t limit);
    void dequeue(const std::shared_ptr<Waiter> &waiter);
    /// Wakes the request that has waited longest; called when a place at a target is free.
    void wakeOne();
    std::size_t waitingCount() const { return waitingCount_.load(std::memory_order_relaxed); }

    void recordServiceTime(Clock::duration elapsed);
    /// Time that a target needs for a request; zero before the first answer.
    Microseconds meanServiceTime() const;

    /// How long targets take to answer a question about their load on an open connection; near
    /// the shortest of late, zero before the first.
    void recordLoadProbeTime(Clock::duration elapsed);
    Microseconds typicalLoadProbeTime() const;

    /// Records the time of an answer from a target that was \p slowness times slower than usual.
    void recordBaselineSample(Clock::duration elapsed, double slowdown);
    /// What a request takes at an ordinary pace; zero before the first answer.
    Microseconds baselineServiceTime() const;

    RetryBudget retryBudget;
    TokenBucket loadProbeBudget { 0, 0 }; ///< used by one worker
    LatencyRecorder latency; ///< of answered requests, as callers see it
    ServiceCounters counters;

private:
    std::atomic<int> concurrent_ { 0 };
    std::atomic<std::size_t> waitingCount_ { 0 };
    std::atomic<double> serviceTimeUs_ { 0 };
    std::atomic<double> loadProbeTimeUs_ { 0 };
    std::atomic<double> baselineServiceTimeUs_ { 0 };
    std::mutex mutex_;
    std::deque<std::shared_ptr<Waiter>> waiters_;
};

/// A service with its configuration, chooser and targets; one immutable version of it.
struct ActiveService : std::enable_shared_from_this<ActiveService>
{
    Service configuration;
    Chooser chooser;
    std::shared_ptr<ServiceRuntime> runtime;
    std::vector<TargetPtr> targets;
    std::size_t entries = 1; ///< live entries that share the targets, this one included
    std::string failureDomain; ///< of this entry

    int inFlightLimitOf(const Target &target, TimePoint now) const
    {
        return inFlightLimit(target, configuration.limits.slotsFactor, entries, now);
    }
};

/// Which targets a decision on placement looks at.
enum class PlacementScope {
    subset, ///< those that this entry uses first
    others, ///< the rest, when the first have no room
};

/// What is known of the usable targets that are not in \p tried, for a decision on placement.
std::vector<PlacementView> placementViews(const ActiveService &service, PlacementScope scope,
                                          const std::vector<std::string> &tried, TimePoint now);

/// Takes a place at the best target that is not in \p tried; null when none has one.
TargetPtr acquireTarget(const ActiveService &service, const std::vector<std::string> &tried,
                        TimePoint now, Random &random);

/// Gives the place back and lets the next request have it.
void releaseTarget(const ActiveService &service, const Target &target);

/// Usable targets, whatever their load.
std::size_t usableTargetCount(const ActiveService &service, TimePoint now);

/// How long a request that queues now will wait, from the queue's length and the service time.
Microseconds expectedWait(const ActiveService &service, TimePoint now);

} // namespace kumquat
