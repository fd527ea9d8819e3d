#include "coordination/entry/HostRouteCall.h"

#include "coordination/entry/HostRouteAttempts.h"
#include "coordination/entry/HostRouteCompletion.h"
#include "coordination/entry/HostRouteHedging.h"
#include "coordination/entry/HostRouteOutcome.h"
#include "coordination/entry/HostRouteSearch.h"
#include "kumquat/Event.h"

namespace kumquat {

namespace {

/// Attempts allowed beyond the route's maximum, for attempts that did not run the request.
constexpr int extraAttempts = 3;
constexpr unsigned firstServerError = 500;

class HostRouteCall
{
public:
    explicit HostRouteCall(HostRouteRequest &request) : progress_(request), request_(request) { }

    void run(Yield yield);

private:
    bool startNextAttempt(Yield yield);
    bool mayRetry(ExchangeOutcome outcome);
    bool handleResult(TrackedAttempt &ended, Yield yield);
    bool retry(const TrackedAttempt &ended, Yield yield);
    void serveUntilEnd(Yield yield);
    RefusalReason failureReason() const;
    void fail(Yield yield);

    HostRouteProgress progress_;
    HostRouteRequest &request_;
    std::optional<HttpResponse> lastErrorResponse_;
};

bool HostRouteCall::startNextAttempt(Yield yield)
{
    const TargetPtr target = progress_.mayStart() ? findTarget(progress_, yield) : nullptr;
    if (target && progress_.mayStart()) {
        startAttempt(progress_, target);
        scheduleHedges(progress_);
        return true;
    }
    if (target) {
        releaseTarget(*request_.service, *target);
    }
    if (!progress_.mayStart()) {
        progress_.refusalReason = RefusalReason::stopping;
    }
    return false;
}

// A request that did not run may always go to another target. One that may have run is retried
// only if it is idempotent and the route allows more attempts. Every retry spends the retry
// budget, unless the failed attempt never left this entry.
bool HostRouteCall::mayRetry(ExchangeOutcome outcome)
{
    const int maxAttempts = progress_.route.maxAttempts;
    const bool allowed = provesNotRun(outcome)
        || (progress_.isIdempotent() && progress_.possibleRuns < maxAttempts);
    if (!allowed || progress_.group->disconnected
        || progress_.attemptsStarted >= maxAttempts + extraAttempts
        || Clock::now() + minTimeLeft >= request_.deadline) {
        return false;
    }
    if (outcome != ExchangeOutcome::notSent && !progress_.runtime.retryBudget.tryWithdraw()) {
        progress_.refusalReason = RefusalReason::overloaded;
        return false;
    }
    return true;
}

bool HostRouteCall::retry(const TrackedAttempt &ended, Yield yield)
{
    const ExchangeOutcome outcome = ended.result.outcome;
    if (!mayRetry(outcome)) {
        return false;
    }
    ++progress_.runtime.counters.retries;
    logEvent(Event::requestResent, LogLevel::info,
             "request={} route={} target={} end={} sendings={} runs={}", request_.requestId,
             progress_.route.name, ended.request.target->record.name, exchangeOutcomeName(outcome),
             progress_.attemptsStarted, progress_.possibleRuns);
    return startNextAttempt(yield);
}

// Returns true when the request has its response or another attempt is running, false when no
// further attempt is possible.
bool HostRouteCall::handleResult(TrackedAttempt &ended, Yield yield)
{
    ExchangeResult &result = ended.result;
    const bool completed = result.outcome == ExchangeOutcome::completed;
    recordOutcome(request_, *ended.request.target, result, Clock::now() - ended.startTime);
    if (completed) {
        request_.route->runtime->baselineServiceTime.record(Clock::now() - ended.startTime,
                                                            ended.slowdown);
    }
    progress_.possibleRuns += provesNotRun(result.outcome) ? 0 : 1;
    if (completed && result.response.result_int() < firstServerError
        && !impliesNotRun(result.response.result_int())) {
        sendResponse(progress_, std::move(result.response), yield);
        return true;
    }
    if (completed) {
        lastErrorResponse_ = std::move(result.response);
    }
    return awaitsResult(progress_) || retry(ended, yield);
}

RefusalReason HostRouteCall::failureReason() const
{
    if (progress_.possibleRuns == 0) {
        return progress_.refusalReason;
    }
    if (progress_.group->isStopOver && awaitsResult(progress_)) {
        return RefusalReason::cutByStop;
    }
    const bool late = Clock::now() + minTimeLeft >= request_.deadline;
    return late ? RefusalReason::deadlineExceeded : RefusalReason::targetFailed;
}

// Forwards the last error response of a target, unless its status would claim that the request
// did not run although it may have.
void HostRouteCall::fail(Yield yield)
{
    for (const auto &attempt : progress_.group->attempts) {
        progress_.possibleRuns += attempt->handled ? 0 : 1;
    }
    if (lastErrorResponse_ && !impliesNotRun(lastErrorResponse_->result_int())) {
        sendResponse(progress_, std::move(*lastErrorResponse_), yield);
        return;
    }
    refuseWith(progress_, failureReason(), yield);
}

void HostRouteCall::serveUntilEnd(Yield yield)
{
    bool inProgress = startNextAttempt(yield);
    while (inProgress && !progress_.responded && !progress_.group->disconnected) {
        const auto ended = takeEndedAttempt(progress_);
        if (ended) {
            inProgress = handleResult(*ended, yield);
        } else if (Clock::now() >= request_.deadline || progress_.group->isStopOver) {
            inProgress = false;
        } else if (Clock::now() >= nextHedgeTime(progress_)) {
            hedgeIfLate(progress_, yield);
        } else {
            progress_.waitUntil(std::min(nextHedgeTime(progress_), request_.deadline), yield);
        }
    }
}

void HostRouteCall::run(Yield yield)
{
    request_.caller.watchDisconnect([group = progress_.group](DropCause cause) {
        group->disconnected = cause;
        group->signal.cancel();
    });
    const auto subscription = request_.worker.stopNotices.subscribe([group = progress_.group] {
        group->isStopOver = true;
        group->signal.cancel();
    });
    serveUntilEnd(yield);
    if (progress_.responded) {
        return;
    }
    if (progress_.group->disconnected) {
        abandon(progress_);
        return;
    }
    fail(yield);
}

} // namespace

void serveHostRouteRequest(HostRouteRequest &request, Yield yield)
{
    HostRouteCall(request).run(yield);
}

} // namespace kumquat
