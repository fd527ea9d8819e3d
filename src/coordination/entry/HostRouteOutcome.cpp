#include "coordination/entry/HostRouteOutcome.h"

#include "coordination/entry/SuspectRequests.h"

namespace kumquat {

namespace {

constexpr unsigned firstServerError = 500;

} // namespace

void recordOutcome(const HostRouteRequest &request, const Target &target,
                   const ExchangeResult &result, Clock::duration elapsed)
{
    const TimePoint now = Clock::now();
    ServiceRuntime &runtime = *request.service->runtime;
    TargetStats &stats = *target.stats;
    const auto report = request.dialect.loadReport(result.response);
    if (report) {
        // The target may have counted this request, which has just ended, as in flight.
        stats.recordLoadReport(*report, 1, now);
        request.worker.hooks.loadReported();
    }
    switch (result.outcome) {
    case ExchangeOutcome::completed: {
        const bool failed = result.response.result_int() >= firstServerError;
        stats.recordResponse(elapsed, failed, now);
        clearSuspect(request.worker, request.fingerprint);
        if (!failed) {
            runtime.recordServiceTime(elapsed);
        }
        break;
    }
    case ExchangeOutcome::notRun:
        ++runtime.counters.sheds;
        stats.recordShed(now);
        break;
    case ExchangeOutcome::failed:
        stats.recordFailure(now);
        if (result.reset && target.record.state == TargetState::ready) {
            checkSuspect(request.worker, request.dialect.headers,
                         request.service->configuration.healthPath, target, request.fingerprint);
        }
        break;
    case ExchangeOutcome::notSent:
        if (!stats.rest().isResting(now)) {
            stats.recordFailure(now);
            stats.markUnresponsive(now);
        }
        break;
    case ExchangeOutcome::timedOut:
        break;
    }
}

} // namespace kumquat
