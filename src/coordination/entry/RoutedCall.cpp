#include "coordination/entry/RoutedCall.h"

#include "coordination/entry/Asking.h"
#include "coordination/entry/RoutedExchange.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// A request is held for a place at a target for this part of its latency objective; a refusal
/// that comes soon leaves the caller time to come back.
constexpr int objectiveParts = 4;
/// Targets beyond the route's attempts that may refuse a request before it is given up.
constexpr int extraSendings = 3;
/// Less time than this is not worth a target's work.
constexpr Milliseconds leastTime { 5 };
constexpr unsigned firstServerError = 500;
/// Targets asked for each placement; fewer where a question takes a target long.
constexpr std::size_t quickQuestions = 8;
constexpr std::size_t slowQuestions = 4;
constexpr Microseconds slowQuestion { 6'000 };
constexpr Milliseconds questionPatience { 15 };
/// Between two looks for a free slot.
constexpr Milliseconds placePause { 12 };

/// A status that tells the caller that the request was not run and never will be.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

class RoutedCall
{
public:
    explicit RoutedCall(RoutedRequest &request)
        : request_(request), service_(*request.service), runtime_(*request.service->runtime)
    {
    }

    void run(Yield yield);

private:
    bool repeatable() const
    {
        return request_.route->configuration.kind == RequestKind::idempotent;
    }
    std::vector<TargetPtr> targetsWorthAsking(const std::vector<PlacementView> &views);
    TargetPtr placeByReports(Yield yield);
    TargetPtr place(Yield yield);
    bool waitForPlace(TimePoint until, Yield yield);
    ExchangeResult sendTo(const TargetPtr &target, Yield yield);
    void observe(const Target &target, const ExchangeResult &result, Clock::duration elapsed);
    bool maySendAgain(const ExchangeResult &result);
    void answer(HttpResponse response, Yield yield);
    void refuseWith(RefusalReason reason, Yield yield);
    void giveUp(Yield yield);
    void depart();

    RoutedRequest &request_;
    const ActiveService &service_;
    ServiceRuntime &runtime_;
    std::vector<std::string> tried_;
    std::shared_ptr<Waiter> waiter_;
    AttemptHandle handle_;
    std::optional<HttpResponse> lastFailure_;
    RefusalReason reason_ = RefusalReason::retriesExhausted;
    int sendings_ = 0;
    int runs_ = 0; ///< sendings that may have run
    bool departed_ = false;
};

void RoutedCall::depart()
{
    departed_ = true;
    handle_.cancel();
    if (waiter_) {
        waiter_->timer.cancel();
    }
}

bool RoutedCall::waitForPlace(TimePoint until, Yield yield)
{
    waiter_ = std::make_shared<Waiter>(request_.worker.loop);
    const auto limit = static_cast<std::size_t>(service_.configuration.limits.queue);
    if (!runtime_.tryWait(waiter_, limit)) {
        waiter_.reset();
        return false;
    }
    ErrorCode ignored;
    waiter_->timer.expires_at(until);
    if (!waiter_->woken) {
        waiter_->timer.async_wait(yield[ignored]);
    }
    const bool woken = waiter_->woken;
    runtime_.cancelWait(waiter_);
    waiter_.reset();
    return woken;
}

std::vector<TargetPtr> RoutedCall::targetsWorthAsking(const std::vector<PlacementView> &views)
{
    const bool slow = runtime_.meanQuestionTime() > slowQuestion;
    const std::size_t count = slow ? slowQuestions : quickQuestions;
    std::vector<TargetPtr> targets;
    for (const std::size_t position : worthAsking(views, count, request_.worker.random())) {
        targets.push_back(service_.targets[views[position].index]);
    }
    return targets;
}

// Asks the likeliest targets and takes the best of all that is then known.
TargetPtr RoutedCall::placeByReports(Yield yield)
{
    std::vector<PlacementView> views = placementViews(service_, tried_, Clock::now());
    askForLoad(request_.worker, request_.dialect, service_, targetsWorthAsking(views),
               questionPatience, yield);
    views = placementViews(service_, tried_, Clock::now());
    const std::size_t best = bestPlace(views, request_.worker.random());
    if (best == views.size()) {
        return nullptr;
    }
    const TargetPtr &target = service_.targets[views[best].index];
    return target->stats->tryAcquire(target->record.slots) ? target : nullptr;
}

TargetPtr RoutedCall::place(Yield yield)
{
    const HostRoute &route = request_.route->configuration;
    const TimePoint patience = Clock::now() + route.latencyObjective / objectiveParts;
    const TimePoint until = std::min(patience, request_.deadline - leastTime);
    while (!departed_) {
        const TimePoint now = Clock::now();
        TargetPtr target = placeByReports(yield);
        if (target && departed_) {
            releaseTarget(service_, *target);
            return nullptr;
        }
        if (target) {
            return target;
        }
        if (usableTargets(service_, now) <= tried_.size()) {
            reason_ = RefusalReason::noTarget;
            return nullptr;
        }
        if (now + placePause >= until) {
            reason_ = RefusalReason::overloaded;
            return nullptr;
        }
        (void)waitForPlace(now + placePause, yield);
    }
    return nullptr;
}

void RoutedCall::observe(const Target &target, const ExchangeResult &result,
                         Clock::duration elapsed)
{
    const TimePoint now = Clock::now();
    TargetStats &stats = *target.stats;
    const auto report = request_.dialect.loadReport(result.response);
    if (report) {
        // The report may count this very request, which has just ended.
        stats.recordLoad(*report, 1, now);
    }
    switch (result.end) {
    case ExchangeEnd::answered: {
        const bool failed = result.response.result_int() >= firstServerError;
        stats.recordAnswer(elapsed, failed, now);
        request_.worker.hooks.clearRequest(request_.fingerprint);
        if (!failed) {
            runtime_.recordServiceTime(elapsed);
        }
        break;
    }
    case ExchangeEnd::notRun:
        ++runtime_.counters.sheds;
        stats.recordShed(now);
        break;
    case ExchangeEnd::broken:
    case ExchangeEnd::notSent:
        stats.recordBroken(now);
        break;
    case ExchangeEnd::late:
        break;
    }
}

ExchangeResult RoutedCall::sendTo(const TargetPtr &target, Yield yield)
{
    const TimePoint start = Clock::now();
    tried_.push_back(target->record.name);
    ++sendings_;
    handle_ = AttemptHandle();
    ExchangeResult result = exchangeWith(request_, *target, handle_, yield);
    handle_.connection = nullptr;
    releaseTarget(service_, *target);
    if (!departed_) {
        observe(*target, result, Clock::now() - start);
    }
    runs_ += provesNotRun(result.end) ? 0 : 1;
    if (result.end == ExchangeEnd::broken && result.reset && !departed_
        && target->record.state == TargetState::ready) {
        request_.worker.hooks.suspectRequest(request_.fingerprint, target->record.name);
    }
    return result;
}

// What was not run may always go to another target. What may have run goes on only if it may be
// repeated, and while the route's attempts last. All but what was never sent costs the budget.
bool RoutedCall::maySendAgain(const ExchangeResult &result)
{
    const HostRoute &route = request_.route->configuration;
    const bool allowed = provesNotRun(result.end) || (repeatable() && runs_ < route.maxAttempts);
    if (!allowed || departed_ || sendings_ >= route.maxAttempts + extraSendings
        || Clock::now() + leastTime >= request_.deadline) {
        return false;
    }
    if (result.end != ExchangeEnd::notSent && !runtime_.retryBudget.trySpend()) {
        reason_ = RefusalReason::overloaded;
        return false;
    }
    return true;
}

void RoutedCall::answer(HttpResponse response, Yield yield)
{
    const auto elapsed = Clock::now() - request_.arrival;
    const HostRoute &route = request_.route->configuration;
    if (elapsed > route.latencyObjective) {
        logEvent(Event::requestLate, LogLevel::info, "request={} route={} status={} ms={} sendings={}",
                 request_.sendingId, route.name, response.result_int(),
                 static_cast<int>(toMilliseconds(elapsed)), sendings_);
    }
    removeHopByHop(response);
    ++runtime_.counters.answered;
    runtime_.latency.record(elapsed);
    (void)request_.caller.writeWhole(std::move(response), yield);
}

void RoutedCall::refuseWith(RefusalReason reason, Yield yield)
{
    const bool ran = runs_ > 0;
    ++runtime_.counters.refused[static_cast<std::size_t>(reason)];
    logEvent(ran ? Event::requestFailed : Event::requestRefused, LogLevel::info,
             "request={} route={} service={} version={} reason={} run={} sendings={} ms={}",
             request_.sendingId, request_.route->configuration.name, service_.configuration.name,
             request_.version.number, refusalReasonName(reason), ran ? "unknown" : "no", sendings_,
             static_cast<int>(toMilliseconds(Clock::now() - request_.arrival)));
    (void)request_.caller.writeWhole(
        refusal(reason, ran ? RunOutcome::unknown : RunOutcome::notRun), yield);
}

// A target's own failure is passed on as it is, unless its status would promise what is not so.
void RoutedCall::giveUp(Yield yield)
{
    if (lastFailure_ && !promisesNotRun(lastFailure_->result_int())) {
        answer(std::move(*lastFailure_), yield);
        return;
    }
    const bool late = Clock::now() + leastTime >= request_.deadline;
    if (runs_ > 0) {
        refuseWith(late ? RefusalReason::deadlineExceeded : RefusalReason::targetFailed, yield);
        return;
    }
    refuseWith(reason_, yield);
}

void RoutedCall::run(Yield yield)
{
    request_.caller.watchDeparture([this] { depart(); });
    while (true) {
        const TargetPtr target = place(yield);
        if (!target) {
            break;
        }
        ExchangeResult result = sendTo(target, yield);
        if (departed_) {
            break;
        }
        const bool answered = result.end == ExchangeEnd::answered;
        const bool failed = answered && result.response.result_int() >= firstServerError;
        if (answered && !failed) {
            answer(std::move(result.response), yield);
            return;
        }
        const ExchangeEnd end = result.end;
        const bool again = maySendAgain(result);
        if (answered) {
            lastFailure_ = std::move(result.response);
        }
        if (!again) {
            break;
        }
        ++runtime_.counters.retries;
        logEvent(Event::requestSentAgain, LogLevel::info,
                 "request={} route={} target={} end={} sendings={} runs={}", request_.sendingId,
                 request_.route->configuration.name, target->record.name, exchangeEndName(end),
                 sendings_, runs_);
    }
    request_.caller.stopWatching();
    if (departed_) {
        ++runtime_.counters.departed;
        request_.caller.abort();
        return;
    }
    giveUp(yield);
}

} // namespace

void serveRouted(RoutedRequest &request, Yield yield)
{
    RoutedCall(request).run(yield);
}

} // namespace kumquat
