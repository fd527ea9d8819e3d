#include "coordination/entry/HostRoutePlacement.h"

#include "coordination/entry/ColdTargets.h"
#include "coordination/entry/LoadProbe.h"
#include "coordination/policy/Subset.h"

namespace kumquat {

namespace {

/// Load probes for each placement; fewer where targets are slow to respond to them.
constexpr std::size_t maxLoadProbes = 14;
constexpr std::size_t maxLoadProbesOfMany = 10; // see areManyEntries()
constexpr std::size_t maxLoadProbesWhenSlow = 3;
/// A service whose probes typically take longer than this counts as slow.
constexpr Microseconds slowLoadProbeTime { 6'000 };
constexpr Milliseconds loadProbeMaxWait { 15 };
/// A target expected to be slower than this, relative to the baseline, gets no hedge.
constexpr double maxHedgeSlowdown = 1.7;
/// A late request has just the time that an idle and fast target needs.
constexpr double maxLateHedgeSlowdown = 1.15;

std::vector<TargetPtr> targetsToProbe(HostRouteRequest &request,
                                      const std::vector<PlacementCandidate> &candidates)
{
    const bool slow = request.service->runtime->typicalLoadProbeTime() > slowLoadProbeTime;
    const std::size_t most
        = areManyEntries(request.service->entries) ? maxLoadProbesOfMany : maxLoadProbes;
    const std::size_t count = slow ? maxLoadProbesWhenSlow : most;
    std::vector<TargetPtr> targets;
    for (const std::size_t position :
         candidatesToProbe(candidates, count, request.worker.random())) {
        targets.push_back(request.service->targets[candidates[position].index]);
    }
    return targets;
}

struct BestTarget
{
    TargetPtr target; ///< null when none has capacity
    double slowdown = 1;
};

RequestTiming requestTiming(const HostRouteRequest &request)
{
    const auto end = request.arrival + request.route->configuration.latencyObjective;
    return { request.route->runtime->baselineServiceTime.mean(),
             std::chrono::duration_cast<Microseconds>(end - Clock::now()),
             request.route->configuration.latencyObjective };
}

/// Probes the most promising targets of \p scope and returns the best one; does not acquire it.
BestTarget probeAndSelect(HostRouteRequest &request, PlacementScope scope,
                          const std::vector<std::string> &tried, Yield yield)
{
    std::vector<PlacementCandidate> candidates
        = placementCandidates(*request.service, scope, tried, Clock::now(), CandidateUse::probe);
    probeLoad(request.worker, request.dialect, *request.service,
              targetsToProbe(request, candidates), loadProbeMaxWait, yield);
    request.service.refresh();
    const ActiveService &service = *request.service;
    candidates = placementCandidates(service, scope, tried, Clock::now());
    if (request.leavesLastSlots) {
        removeWithOneFreeSlot(candidates);
    }
    const std::size_t best = selectTarget(candidates, request.worker.random());
    if (best == candidates.size()) {
        return {};
    }
    return { service.targets[candidates[best].index], expectedSlowdown(candidates[best]) };
}

AcquiredTarget acquire(const ActiveService &service, const BestTarget &best)
{
    TargetStats &stats = *best.target->stats;
    const TimePoint now = Clock::now();
    const int slots = stats.rest().concurrencyLimit(best.target->record.slots, now);
    const bool taken = slots > 0 && stats.tryAcquire(optimalConcurrency(slots));
    if (taken && !trySend(service, *best.target, now)) {
        stats.release();
        return { nullptr, best.slowdown };
    }
    return { taken ? best.target : nullptr, best.slowdown };
}

} // namespace

AcquiredTarget acquireBestTarget(HostRouteRequest &request, const std::vector<std::string> &tried,
                                 bool lastTry, Yield yield)
{
    BestTarget best = probeAndSelect(request, PlacementScope::subset, tried, yield);
    if (!best.target) {
        best = probeAndSelect(request, PlacementScope::others, tried, yield);
    }
    if (!best.target) {
        countIfHeldBack(*request.service, tried, Clock::now());
        return { nullptr, 1, true };
    }
    const RequestTiming time = requestTiming(request);
    const bool declined = lastTry ? farExceedsObjective(best.slowdown, time)
                                  : isWorthWaiting(best.slowdown, time, placementRetryInterval);
    return declined ? AcquiredTarget { nullptr, best.slowdown } : acquire(*request.service, best);
}

AcquiredTarget acquireHedgeTarget(HostRouteRequest &request, const std::vector<std::string> &tried,
                                  HedgeCause cause, Yield yield)
{
    const BestTarget best = probeAndSelect(request, PlacementScope::subset, tried, yield);
    const double slowest = cause == HedgeCause::late ? maxLateHedgeSlowdown : maxHedgeSlowdown;
    const bool fastEnough = best.target && best.slowdown <= slowest;
    return fastEnough ? acquire(*request.service, best) : AcquiredTarget {};
}

} // namespace kumquat
