#include "coordination/entry/HostRouteHedging.h"

#include "coordination/entry/HostRouteAttempts.h"
#include "coordination/entry/HostRoutePlacement.h"
#include "coordination/policy/HedgeTiming.h"
#include "kumquat/Event.h"

namespace kumquat {

namespace {

/// When to check whether an idempotent request needs a hedge, as fractions of the route's latency
/// objective: after its first attempt started, and after each later check or attempt.
constexpr double firstHedgeCheck = 0.5;
constexpr double hedgeCheckStep = 0.15;
/// Retries kept for attempts that fail, as a part of the largest balance: hedges of attempts that
/// are only late leave them.
constexpr double retriesKeptFromHedges = 0.5;

void scheduleHedgeCheck(HostRouteProgress &progress)
{
    if (!progress.isIdempotent()) {
        return;
    }
    const auto part = [&progress](double share) {
        return std::chrono::duration_cast<Clock::duration>(progress.route.latencyObjective * share);
    };
    const TimePoint now = Clock::now();
    const bool isFirst = progress.nextHedgeCheck == TimePoint::max();
    progress.nextHedgeCheck = now + part(isFirst ? firstHedgeCheck : hedgeCheckStep);
}

// Only the first attempt gets a second one for its lateness, and only where requests are queued.
void scheduleLateHedge(HostRouteProgress &progress)
{
    const HostRouteRequest &request = progress.request;
    const bool isFirst = progress.attemptsStarted == 1 && request.route->queuesRequests;
    const auto time = hedgeTime(Clock::now(), request.arrival + progress.route.latencyObjective,
                                request.route->runtime->baselineServiceTime.mean());
    const bool mayBeLate = progress.isIdempotent() && isFirst;
    progress.lateHedge = mayBeLate ? time.value_or(TimePoint::max()) : TimePoint::max();
}

// Relies on load probes sent for other requests: a probe of its own would spend the probe budget.
bool isStuck(const Target &target)
{
    return target.stats->isUnresponsive(Clock::now());
}

bool mayHedge(const HostRouteProgress &progress)
{
    const int runningCount = runningAttempts(progress);
    return progress.possibleRuns + runningCount < progress.route.maxAttempts && runningCount == 1
        && progress.mayStart();
}

void hedge(HostRouteProgress &progress, const Target &current, HedgeCause cause, Yield yield)
{
    RetryBudget &budget = progress.runtime.retryBudget;
    const double kept = cause == HedgeCause::late ? retriesKeptFromHedges : 0;
    if (!budget.canWithdraw(kept)) {
        return;
    }
    HostRouteRequest &request = progress.request;
    request.service.refresh();
    const AcquiredTarget other = acquireHedgeTarget(request, progress.tried, cause, yield);
    if (!other.target) {
        return;
    }
    if (runningAttempts(progress) == 0 || progress.group->disconnected
        || !budget.tryWithdraw(kept)) {
        releaseTarget(*request.service, *other.target);
        return;
    }
    progress.expectedSlowdown = other.slowdown;
    ++progress.runtime.counters.hedges;
    logEvent(Event::requestResent, LogLevel::info,
             "request={} route={} target={} end={} pace={:.2f} sendings={} runs={}",
             request.requestId, progress.route.name, current.record.name,
             cause == HedgeCause::stuck ? "slow" : "late", current.stats->reportedSlowdown(),
             progress.attemptsStarted, progress.possibleRuns);
    startAttempt(progress, other.target);
    scheduleHedges(progress);
}

} // namespace

void scheduleHedges(HostRouteProgress &progress)
{
    scheduleHedgeCheck(progress);
    scheduleLateHedge(progress);
}

TimePoint nextHedgeTime(const HostRouteProgress &progress)
{
    return std::min(progress.nextHedgeCheck, progress.lateHedge);
}

// A hedge is worth its cost only when the running attempt is stuck or late and another target is
// fast.
void hedgeIfLate(HostRouteProgress &progress, Yield yield)
{
    const bool isLate = Clock::now() >= progress.lateHedge;
    scheduleHedgeCheck(progress);
    if (isLate) {
        progress.lateHedge = TimePoint::max();
    }
    if (!mayHedge(progress)) {
        return;
    }
    const TargetPtr current = progress.group->attempts.back()->request.target;
    if (isStuck(*current)) {
        hedge(progress, *current, HedgeCause::stuck, yield);
    } else if (isLate) {
        hedge(progress, *current, HedgeCause::late, yield);
    }
}

} // namespace kumquat
