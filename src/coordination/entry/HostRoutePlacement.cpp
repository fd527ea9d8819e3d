#include "coordination/entry/HostRoutePlacement.h"

#include "coordination/entry/LoadProbe.h"

namespace kumquat {

namespace {

/// Targets asked for each placement; fewer where a question takes a target long.
constexpr std::size_t maxLoadProbes = 14;
constexpr std::size_t maxSlowLoadProbes = 3;
constexpr Microseconds slowLoadProbeTime { 6'000 };
constexpr Milliseconds loadProbeMaxWait { 15 };
/// Another target must be about this quick to be worth a second sending.
constexpr double quickEnough = 1.7;

std::vector<TargetPtr> targetsToProbe(HostRouteRequest &request,
                                          const std::vector<PlacementView> &views)
{
    const bool slow = request.service->runtime->typicalLoadProbeTime() > slowLoadProbeTime;
    const std::size_t count = slow ? maxSlowLoadProbes : maxLoadProbes;
    std::vector<TargetPtr> targets;
    for (const std::size_t position : worthAsking(views, count, request.worker.random())) {
        targets.push_back(request.service->targets[views[position].index]);
    }
    return targets;
}

struct Best
{
    TargetPtr target; ///< null when none has room
    double slowness = 1;
};

/// The best target after the likeliest of \p scope were asked.
Best askForBest(HostRouteRequest &request, PlacementScope scope, const std::vector<std::string> &tried,
                Yield yield)
{
    const ActiveService &service = *request.service;
    std::vector<PlacementView> views = placementViews(service, scope, tried, Clock::now());
    probeLoad(request.worker, request.dialect, service, targetsToProbe(request, views),
               loadProbeMaxWait, yield);
    views = placementViews(service, scope, tried, Clock::now());
    const std::size_t best = bestPlace(views, request.worker.random());
    if (best == views.size()) {
        return {};
    }
    return { service.targets[views[best].index], expectedSlowness(views[best]) };
}

PlacementTime placementTime(const HostRouteRequest &request)
{
    const auto end = request.arrival + request.route->configuration.latencyObjective;
    return { request.service->runtime->ordinaryWork(),
             std::chrono::duration_cast<Microseconds>(end - Clock::now()) };
}

Place take(const Best &best)
{
    const bool taken = best.target->stats->tryAcquire(usefulSlots(best.target->record.slots));
    return { taken ? best.target : nullptr, best.slowness };
}

} // namespace

Place takePlace(HostRouteRequest &request, const std::vector<std::string> &tried, bool last,
                Yield yield)
{
    Best best = askForBest(request, PlacementScope::subset, tried, yield);
    if (!best.target) {
        best = askForBest(request, PlacementScope::others, tried, yield);
    }
    if (!best.target) {
        return {};
    }
    const PlacementTime time = placementTime(request);
    const bool refused
        = last ? isHopeless(best.slowness, time) : isWorthWaiting(best.slowness, time, placePause);
    return refused ? Place { nullptr, best.slowness } : take(best);
}

Place takeQuickPlace(HostRouteRequest &request, const std::vector<std::string> &tried, Yield yield)
{
    const Best best = askForBest(request, PlacementScope::subset, tried, yield);
    const bool quick = best.target && best.slowness <= quickEnough;
    return quick ? take(best) : Place {};
}

} // namespace kumquat
