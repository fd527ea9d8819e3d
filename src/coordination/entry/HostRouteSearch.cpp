#include "coordination/entry/HostRouteSearch.h"

#include "coordination/entry/HostRouteAdmission.h"
#include "coordination/entry/HostRoutePlacement.h"

namespace kumquat {

namespace {

/// A request waits for a target for at most its latency objective divided by this. An early
/// refusal leaves the caller time to retry.
constexpr int placementWaitDivisor = 4;

TargetPtr searchOnce(HostRouteProgress &progress, AdmissionPlace &place, bool lastTry, Yield yield)
{
    HostRouteRequest &request = progress.request;
    const AcquiredTarget acquired = acquireBestTarget(request, progress.tried, lastTry, yield);
    progress.expectedSlowdown = acquired.slowdown;
    if (acquired.target && progress.group->disconnected) {
        releaseTarget(*request.service, *acquired.target);
        return nullptr;
    }
    if (acquired.target) {
        place.started(Clock::now());
    } else {
        place.searchFailed(acquired.allFull, progress.tried.empty(), Clock::now());
    }
    return acquired.target;
}

TargetPtr giveUp(HostRouteProgress &progress, AdmissionPlace &place, RefusalReason reason)
{
    progress.refusalReason = reason;
    progress.refusalInputs = place.describe(Clock::now());
    return nullptr;
}

} // namespace

TargetPtr findTarget(HostRouteProgress &progress, Yield yield)
{
    HostRouteRequest &request = progress.request;
    const std::shared_ptr<AttemptGroup> &group = progress.group;
    const TimePoint objectiveBound
        = Clock::now() + progress.route.latencyObjective / placementWaitDivisor;
    const TimePoint until = std::min(objectiveBound, request.deadline - minTimeLeft);
    AdmissionPlace place(request, until - placementRetryInterval,
                         [group] { group->signal.cancel(); });
    while (!group->disconnected && progress.mayStart()) {
        request.service.refresh();
        const AdmissionDecision decision = place.decide(Clock::now());
        if (decision == AdmissionDecision::refuse) {
            return giveUp(progress, place, RefusalReason::overloaded);
        }
        if (decision == AdmissionDecision::search) {
            const bool lastTry = Clock::now() + placementRetryInterval >= until;
            const TargetPtr target = searchOnce(progress, place, lastTry, yield);
            if (target || group->disconnected) {
                return target;
            }
        }
        const TimePoint now = Clock::now();
        if (!hasUntriedTarget(*request.service, progress.tried, now)) {
            return giveUp(progress, place, RefusalReason::noTarget);
        }
        if (now + placementRetryInterval >= until) {
            return giveUp(progress, place, RefusalReason::overloaded);
        }
        progress.waitUntil(place.nextDecision(now), yield);
    }
    return nullptr;
}

} // namespace kumquat
