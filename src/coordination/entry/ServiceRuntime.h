#pragma once
/// \file
/// Defines the run-time state of a service in one entry: limits, waiting requests and counters.
/// It outlives changes of the configuration, so that a new limit counts requests in flight.

#include "common/LatencyRecorder.h"
#include "common/Random.h"
#include "coordination/entry/Target.h"
#include "coordination/policy/RetryBudget.h"
#include "coordination/policy/TokenBucket.h"
#include "kumquat/Configuration.h"
#include "kumquat/LoadBalancingPolicy.h"
#include "kumquat/Placement.h"
#include "protocol/Refusal.h"
#include "transport/Asio.h"

#include <array>
#include <deque>
#include <mutex>
#include <optional>

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
    /// Searches that the limit of cold targets left without a target.
    std::atomic<std::uint64_t> coldHeldBack { 0 };
    std::array<std::atomic<std::uint64_t>, refusalReasonCount> refused {};
    std::atomic<std::uint64_t> refusedEarly { 0 }; ///< for their expected wait
    std::atomic<std::uint64_t> queued { 0 }; ///< requests that wait in the admission queue now
    std::atomic<std::int64_t> longestWaitMs { 0 }; ///< for a target, since the start
};

/// A request that waits for a target with free capacity.
struct Waiter
{
    explicit Waiter(asio::io_context &context) : loop(context), timer(context) { }
    asio::io_context &loop;
    Timer timer;
    bool woken = false; ///< only accessed on `loop`
};

class ServiceRuntime
{
public:
    /// Admits a request, to be ended by leave(); false when \p concurrency requests are admitted.
    bool tryEnter(int concurrency);
    void leave() { concurrent_.fetch_sub(1, std::memory_order_relaxed); }
    int concurrent() const { return concurrent_.load(std::memory_order_relaxed); }

    /// Queues \p waiter; false when \p limit requests wait already.
    bool tryEnqueue(const std::shared_ptr<Waiter> &waiter, std::size_t limit);
    void dequeue(const std::shared_ptr<Waiter> &waiter);
    /// Wakes the request that has waited longest; called when capacity at a target may be free.
    void wakeOne();
    std::size_t waitingCount() const { return waitingCount_.load(std::memory_order_relaxed); }

    void recordServiceTime(Clock::duration elapsed);
    /// Moving average over all targets; zero before the first response.
    Microseconds meanServiceTime() const;

    /// Records how long a target took to respond to a load probe.
    void recordLoadProbeTime(Clock::duration elapsed);
    /// Close to the shortest recent time; zero before the first probe.
    Microseconds typicalLoadProbeTime() const;

    RetryBudget retryBudget;
    TokenBucket loadProbeBudget { 0, 0 }; ///< used by one worker
    LatencyRecorder latency; ///< of answered requests, as callers observe it
    ServiceCounters counters;

private:
    std::atomic<int> concurrent_ { 0 };
    std::atomic<std::size_t> waitingCount_ { 0 };
    std::atomic<double> serviceTimeUs_ { 0 };
    std::atomic<double> loadProbeTimeUs_ { 0 };
    std::mutex mutex_;
    std::deque<std::shared_ptr<Waiter>> waiters_;
};

/// One immutable version of a service: its configuration, policy and targets.
struct ActiveService : std::enable_shared_from_this<ActiveService>
{
    Service configuration;
    LoadBalancingPolicy policy;
    std::shared_ptr<ServiceRuntime> runtime;
    std::vector<TargetPtr> targets;
    std::size_t entries = 1; ///< live entries that share the targets, this one included
    std::string failureDomain; ///< of this entry

    /// Requests that this entry may have in flight at \p target.
    int inFlightLimitOf(const Target &target, TimePoint now) const
    {
        return inFlightLimit(target, configuration.limits.slotsFactor, entries, now);
    }
};

/// Which targets are considered for a request.
enum class PlacementScope {
    subset, ///< targets in this entry's subset
    others, ///< all others, used when the subset has no capacity
};

/// What the candidates are chosen for.
enum class CandidateUse {
    request, ///< the targets that this entry may send a request now
    probe, ///< also those that may turn out so by their response to a load probe
};

/// The state of the usable targets that are not in \p tried, as input for choosing one.
std::vector<PlacementCandidate> placementCandidates(const ActiveService &service,
                                                    PlacementScope scope,
                                                    const std::vector<std::string> &tried,
                                                    TimePoint now,
                                                    CandidateUse use = CandidateUse::request);

/// Counts a request as in flight at the target that the policy picks among those not in
/// \p tried; null when none has free capacity.
TargetPtr acquireTarget(const ActiveService &service, const std::vector<std::string> &tried,
                        TimePoint now, Random &random);

/// Ends a request's count at \p target and wakes the next waiting request.
void releaseTarget(const ActiveService &service, const Target &target);

/// Targets that may get requests now, whatever their load, and are not in \p tried.
std::size_t usableTargetCount(const ActiveService &service, TimePoint now,
                              const std::vector<std::string> &tried = {});

/// True when \p target is one of the service's, in the same incarnation, and may get requests.
bool hasUsable(const ActiveService &service, const Target &target, TimePoint now);

/// True when a target that is not in \p tried may get requests now, whatever its load.
bool hasUntriedTarget(const ActiveService &service, const std::vector<std::string> &tried,
                      TimePoint now);

/// The time until the first target that asked for a rest, or is held back because it is cold, may
/// get requests; nothing when there is none.
std::optional<Milliseconds> timeUntilReturn(const ActiveService &service, TimePoint now);

/// How long a request that queues now will wait, estimated from queue length and service time.
Microseconds expectedWait(const ActiveService &service, TimePoint now);

} // namespace kumquat
