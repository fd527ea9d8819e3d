#include "coordination/entry/HostRouteCompletion.h"

#include "coordination/entry/HostRouteAdmission.h"
#include "coordination/entry/HostRouteAttempts.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"

namespace kumquat {

namespace {

// When no target may get requests, a retry is of use only after the first rest has ended.
Milliseconds pauseBeforeRetry(const HostRouteProgress &progress)
{
    const HostRouteRequest &request = progress.request;
    const TimePoint now = Clock::now();
    const auto pause = retryAfterDelay(progress.route.latencyObjective, request.worker.random());
    const auto untilReturn = timeUntilReturn(*request.service, now);
    if (!untilReturn || hasUntriedTarget(*request.service, {}, now)) {
        return pause;
    }
    return retryAfterRest(*untilReturn, pause, request.worker.random());
}

int elapsedMs(const HostRouteRequest &request)
{
    return static_cast<int>(toMilliseconds(Clock::now() - request.arrival));
}

void finish(HostRouteProgress &progress)
{
    progress.request.caller.stopWatching();
    cancelAttempts(progress);
}

} // namespace

bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void sendResponse(HostRouteProgress &progress, HttpResponse response, Yield yield)
{
    HostRouteRequest &request = progress.request;
    cancelAttempts(progress);
    request.caller.stopWatching();
    const auto elapsed = Clock::now() - request.arrival;
    if (elapsed > progress.route.latencyObjective) {
        logEvent(Event::requestExceededObjective, LogLevel::info,
                 "request={} route={} target={} status={} ms={} sendings={}", request.requestId,
                 progress.route.name, progress.lastTarget(), response.result_int(),
                 static_cast<int>(toMilliseconds(elapsed)), progress.attemptsStarted);
    }
    removeHopByHop(response, endToEndHeaders(request.dialect.headers));
    response.erase(request.dialect.headers.leaving);
    ++progress.runtime.counters.answered;
    progress.runtime.latency.record(elapsed);
    progress.responded = true;
    if (PartPacing pacing = bulkPacing(request)) {
        request.caller.writeInParts(std::move(response), std::move(pacing), yield);
    } else {
        request.caller.write(std::move(response), yield);
    }
}

void refuseWith(HostRouteProgress &progress, RefusalReason reason, Yield yield)
{
    finish(progress);
    HostRouteRequest &request = progress.request;
    const bool ran = progress.possibleRuns > 0;
    ++progress.runtime.counters.refused[static_cast<std::size_t>(reason)];
    logEvent(
        ran ? Event::requestFailed : Event::requestRefused, LogLevel::info,
        "request={} route={} service={} version={} reason={} run={} target={} sendings={} ms={}{}",
        request.requestId, progress.route.name, request.service->configuration.name,
        request.version.number, refusalReasonName(reason), ran ? "unknown" : "no",
        progress.lastTarget(), progress.attemptsStarted, elapsedMs(request),
        progress.refusalInputs);
    HttpResponse response = refusal(reason, ran ? RunOutcome::unknown : RunOutcome::notRun);
    const bool waitsHere = !ran && reason != RefusalReason::stopping;
    if (waitsHere && response.count(http::field::retry_after) > 0) {
        response.set(http::field::retry_after, formatSeconds(pauseBeforeRetry(progress)));
    }
    request.caller.write(std::move(response), yield);
}

void abandon(HostRouteProgress &progress)
{
    finish(progress);
    const HostRouteRequest &request = progress.request;
    ++progress.runtime.counters.callerDisconnects;
    logEvent(Event::requestAbandoned, LogLevel::info,
             "request={} route={} target={} sendings={} ms={} cause={}", request.requestId,
             progress.route.name, progress.lastTarget(), progress.attemptsStarted,
             elapsedMs(request), dropCauseName(*progress.group->disconnected));
    request.caller.abort(*progress.group->disconnected);
}

} // namespace kumquat
