#include "coordination/entry/HostRouteCall.h"

#include "coordination/entry/HostRouteExchange.h"
#include "coordination/entry/HostRoutePlacement.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// A request is held for a place at a target for this part of its latency objective; a refusal
/// that comes soon leaves the caller time to come back.
constexpr int placementWaitDivisor = 4;
/// Targets beyond the route's attempts that may refuse a request before it is given up.
constexpr int extraSendings = 3;
/// Less time than this is not worth a target's work.
constexpr Milliseconds minTimeLeft { 5 };
constexpr unsigned firstServerError = 500;
/// When a repeatable request is looked after, in parts of its latency objective.
constexpr double firstLook = 0.5;
constexpr double lookStep = 0.15;

/// A status that tells the caller that the request was not run and never will be.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A sending with its end, once it has one.
struct RacingSending
{
    ExchangeRequest request;
    TimePoint start;
    double slowdown = 1; ///< expected at the start
    bool ended = false;
    bool taken = false;
    ExchangeResult result;
};

/// The sendings of one request; shared, since a cancelled one ends after the request does.
struct Race
{
    explicit Race(asio::io_context &loop) : signal(loop) { }
    Timer signal;
    std::vector<std::shared_ptr<RacingSending>> sendings;
    bool departed = false;
};

class HostRouteCall
{
public:
    explicit HostRouteCall(HostRouteRequest &request)
        : request_(request), route_(request.route->configuration), service_(*request.service),
          runtime_(*request.service->runtime), race_(std::make_shared<Race>(request.worker.loop))
    {
    }

    void run(Yield yield);

private:
    bool isIdempotent() const { return route_.kind == RequestKind::idempotent; }

    /// The target of the last sending.
    std::string lastTarget() const { return tried_.empty() ? "none" : tried_.back(); }

    // Placement.
    TargetPtr findTarget(Yield yield);
    void waitUntil(TimePoint until, Yield yield);

    // Sending.
    void start(const TargetPtr &target);
    bool startNext(Yield yield);
    bool anyRunning() const;
    std::shared_ptr<RacingSending> takeEnded();
    void recordOutcome(const Target &target, const ExchangeResult &result, Clock::duration elapsed);
    bool maySendAgain(ExchangeOutcome outcome);
    bool takeResult(RacingSending &ended, Yield yield);

    // Looking after a sending that takes long.
    void planNextLook();
    void lookAfter(Yield yield);
    bool isStuck(const Target &target) const;

    void waitForEvent(Yield yield);
    void answer(HttpResponse response, Yield yield);
    void refuseWith(RefusalReason reason, Yield yield);
    void giveUp(Yield yield);
    void finish();

    HostRouteRequest &request_;
    const HostRoute &route_;
    const ActiveService &service_;
    ServiceRuntime &runtime_;
    std::shared_ptr<Race> race_;
    std::vector<std::string> tried_;
    std::optional<HttpResponse> lastFailure_;
    RefusalReason reason_ = RefusalReason::retriesExhausted;
    TimePoint lookAt_ = TimePoint::max();
    double expectedSlowdown_ = 1; ///< expected at the place taken last
    int sendings_ = 0;
    int runs_ = 0; ///< sendings that may have run
    bool answered_ = false;
};

// Placement.

void HostRouteCall::waitUntil(TimePoint until, Yield yield)
{
    ErrorCode ignored;
    race_->signal.expires_at(until);
    race_->signal.async_wait(yield[ignored]);
}

TargetPtr HostRouteCall::findTarget(Yield yield)
{
    const TimePoint objectiveBound = Clock::now() + route_.latencyObjective / placementWaitDivisor;
    const TimePoint until = std::min(objectiveBound, request_.deadline - minTimeLeft);
    while (!race_->departed) {
        const bool lastTry = Clock::now() + placementRetryInterval >= until;
        const AcquiredTarget acquired = acquireBestTarget(request_, tried_, lastTry, yield);
        expectedSlowdown_ = acquired.slowdown;
        if (acquired.target && race_->departed) {
            releaseTarget(service_, *acquired.target);
            return nullptr;
        }
        if (acquired.target) {
            return acquired.target;
        }
        const TimePoint now = Clock::now();
        if (usableTargetCount(service_, now) <= tried_.size()) {
            reason_ = RefusalReason::noTarget;
            return nullptr;
        }
        if (now + placementRetryInterval >= until) {
            reason_ = RefusalReason::overloaded;
            return nullptr;
        }
        waitUntil(now + placementRetryInterval, yield);
    }
    return nullptr;
}

// Sending.

void HostRouteCall::start(const TargetPtr &target)
{
    tried_.push_back(target->record.name);
    ++sendings_;
    ExchangeRequest request { request_.worker,    request_.dialect,  target,       request_.request,
                      request_.requestId, request_.deadline, isIdempotent(), {} };
    const auto racing = std::make_shared<RacingSending>(
        RacingSending { std::move(request), Clock::now(), expectedSlowdown_, false, false, {} });
    race_->sendings.push_back(racing);
    planNextLook();
    spawnOn(request_.worker.loop, [racing, race = race_, service = request_.service](Yield yield) {
        racing->result = runExchange(racing->request, yield);
        racing->ended = true;
        releaseTarget(*service, *racing->request.target);
        race->signal.cancel();
    });
}

bool HostRouteCall::startNext(Yield yield)
{
    const TargetPtr target = findTarget(yield);
    if (!target) {
        return false;
    }
    start(target);
    return true;
}

bool HostRouteCall::anyRunning() const
{
    return std::any_of(race_->sendings.begin(), race_->sendings.end(),
                       [](const auto &racing) { return !racing->ended; });
}

std::shared_ptr<RacingSending> HostRouteCall::takeEnded()
{
    for (const auto &racing : race_->sendings) {
        if (racing->ended && !racing->taken) {
            racing->taken = true;
            return racing;
        }
    }
    return nullptr;
}

void HostRouteCall::recordOutcome(const Target &target, const ExchangeResult &result,
                         Clock::duration elapsed)
{
    const TimePoint now = Clock::now();
    TargetStats &stats = *target.stats;
    const auto report = request_.dialect.loadReport(result.response);
    if (report) {
        // The report may count this very request, which has just ended.
        stats.recordLoadReport(*report, 1, now);
    }
    switch (result.outcome) {
    case ExchangeOutcome::completed: {
        const bool failed = result.response.result_int() >= firstServerError;
        stats.recordResponse(elapsed, failed, now);
        request_.worker.hooks.clearRequest(request_.fingerprint);
        if (!failed) {
            runtime_.recordServiceTime(elapsed);
        }
        break;
    }
    case ExchangeOutcome::notRun:
        ++runtime_.counters.sheds;
        stats.recordShed(now);
        break;
    case ExchangeOutcome::failed:
        stats.recordFailure(now);
        if (result.reset && target.record.state == TargetState::ready) {
            request_.worker.hooks.suspectRequest(request_.fingerprint, target.record.name);
        }
        break;
    case ExchangeOutcome::notSent:
        stats.recordFailure(now);
        stats.markUnresponsive(now);
        break;
    case ExchangeOutcome::timedOut:
        break;
    }
}

// What was not run may always go to another target. What may have run goes on only if it may be
// repeated, and while the route's attempts last. All but what was never sent costs the budget.
bool HostRouteCall::maySendAgain(ExchangeOutcome outcome)
{
    const bool allowed = provesNotRun(outcome) || (isIdempotent() && runs_ < route_.maxAttempts);
    if (!allowed || race_->departed || sendings_ >= route_.maxAttempts + extraSendings
        || Clock::now() + minTimeLeft >= request_.deadline) {
        return false;
    }
    if (outcome != ExchangeOutcome::notSent && !runtime_.retryBudget.trySpend()) {
        reason_ = RefusalReason::overloaded;
        return false;
    }
    return true;
}

// True when the request has its answer, or goes on; false when it can get none.
bool HostRouteCall::takeResult(RacingSending &ended, Yield yield)
{
    const Target &target = *ended.request.target;
    ExchangeResult &result = ended.result;
    recordOutcome(target, result, Clock::now() - ended.start);
    if (result.outcome == ExchangeOutcome::completed) {
        runtime_.recordBaselineSample(Clock::now() - ended.start, ended.slowdown);
    }
    runs_ += provesNotRun(result.outcome) ? 0 : 1;
    const bool isAnswer = result.outcome == ExchangeOutcome::completed;
    if (isAnswer && result.response.result_int() < firstServerError) {
        answer(std::move(result.response), yield);
        return true;
    }
    if (isAnswer) {
        lastFailure_ = std::move(result.response);
    }
    if (anyRunning()) {
        return true;
    }
    const bool again = maySendAgain(result.outcome);
    if (!again) {
        return false;
    }
    ++runtime_.counters.retries;
    logEvent(Event::requestSentAgain, LogLevel::info,
             "request={} route={} target={} end={} sendings={} runs={}", request_.requestId,
             route_.name, target.record.name, exchangeOutcomeName(result.outcome), sendings_, runs_);
    return startNext(yield);
}

// Looking after a sending that takes long.

void HostRouteCall::planNextLook()
{
    if (!isIdempotent()) {
        return;
    }
    const auto part = [this](double share) {
        return std::chrono::duration_cast<Clock::duration>(route_.latencyObjective * share);
    };
    const TimePoint first = Clock::now() + part(firstLook);
    lookAt_ = lookAt_ == TimePoint::max() ? first : Clock::now() + part(lookStep);
}

// Other requests' questions have told; a question of its own would cost their budget.
bool HostRouteCall::isStuck(const Target &target) const
{
    const TimePoint now = Clock::now();
    return target.stats->isUnresponsive(now);
}

// A second sending is worth its cost only when the first is stuck and another target is quick.
void HostRouteCall::lookAfter(Yield yield)
{
    planNextLook();
    const auto running = std::count_if(race_->sendings.begin(), race_->sendings.end(),
                                       [](const auto &racing) { return !racing->ended; });
    const int mayRun = runs_ + static_cast<int>(running);
    if (mayRun >= route_.maxAttempts || running != 1) {
        return;
    }
    const TargetPtr present = race_->sendings.back()->request.target;
    if (!isStuck(*present)) {
        return;
    }
    const AcquiredTarget quick = acquireHedgeTarget(request_, tried_, yield);
    if (!quick.target) {
        return;
    }
    if (!anyRunning() || race_->departed) {
        releaseTarget(service_, *quick.target);
        return;
    }
    if (!runtime_.retryBudget.trySpend()) {
        releaseTarget(service_, *quick.target);
        return;
    }
    expectedSlowdown_ = quick.slowdown;
    ++runtime_.counters.hedges;
    logEvent(Event::requestSentAgain, LogLevel::info,
             "request={} route={} target={} end=slow pace={:.2f} sendings={} runs={}",
             request_.requestId, route_.name, present->record.name, present->stats->reportedSlowdown(),
             sendings_, runs_);
    start(quick.target);
}

// The end.

void HostRouteCall::answer(HttpResponse response, Yield yield)
{
    finish();
    const auto elapsed = Clock::now() - request_.arrival;
    if (elapsed > route_.latencyObjective) {
        logEvent(Event::requestLate, LogLevel::info,
                 "request={} route={} target={} status={} ms={} sendings={}", request_.requestId,
                 route_.name, lastTarget(), response.result_int(),
                 static_cast<int>(toMilliseconds(elapsed)), sendings_);
    }
    removeHopByHop(response);
    ++runtime_.counters.answered;
    runtime_.latency.record(elapsed);
    answered_ = true;
    (void)request_.caller.writeWhole(std::move(response), yield);
}

void HostRouteCall::refuseWith(RefusalReason reason, Yield yield)
{
    const bool ran = runs_ > 0;
    ++runtime_.counters.refused[static_cast<std::size_t>(reason)];
    logEvent(
        ran ? Event::requestFailed : Event::requestRefused, LogLevel::info,
        "request={} route={} service={} version={} reason={} run={} target={} sendings={} ms={}",
        request_.requestId, route_.name, service_.configuration.name, request_.version.number,
        refusalReasonName(reason), ran ? "unknown" : "no", lastTarget(), sendings_,
        static_cast<int>(toMilliseconds(Clock::now() - request_.arrival)));
    HttpResponse response = refusal(reason, ran ? RunOutcome::unknown : RunOutcome::notRun);
    if (!ran && response.count(http::field::retry_after) > 0) {
        const auto pause = returnAfter(route_.latencyObjective, request_.worker.random());
        response.set(http::field::retry_after, secondsText(pause));
    }
    (void)request_.caller.writeWhole(std::move(response), yield);
}

// A target's own failure is passed on as it is, unless its status would promise what is not so.
void HostRouteCall::giveUp(Yield yield)
{
    for (const auto &racing : race_->sendings) {
        runs_ += racing->taken ? 0 : 1;
    }
    if (lastFailure_ && !promisesNotRun(lastFailure_->result_int())) {
        answer(std::move(*lastFailure_), yield);
        return;
    }
    finish();
    const bool late = Clock::now() + minTimeLeft >= request_.deadline;
    if (runs_ > 0) {
        refuseWith(late ? RefusalReason::deadlineExceeded : RefusalReason::targetFailed, yield);
        return;
    }
    refuseWith(reason_, yield);
}

void HostRouteCall::finish()
{
    request_.caller.stopWatching();
    for (const auto &racing : race_->sendings) {
        if (!racing->ended) {
            racing->request.handle.cancel();
        }
    }
}

void HostRouteCall::waitForEvent(Yield yield)
{
    ErrorCode ignored;
    race_->signal.expires_at(std::min(lookAt_, request_.deadline));
    race_->signal.async_wait(yield[ignored]);
}

void HostRouteCall::run(Yield yield)
{
    request_.caller.watchDeparture([race = race_] {
        race->departed = true;
        race->signal.cancel();
    });
    bool goesOn = startNext(yield);
    while (goesOn && !answered_ && !race_->departed) {
        const auto ended = takeEnded();
        if (ended) {
            goesOn = takeResult(*ended, yield);
        } else if (Clock::now() >= request_.deadline) {
            goesOn = false;
        } else if (Clock::now() >= lookAt_) {
            lookAfter(yield);
        } else {
            waitForEvent(yield);
        }
    }
    if (answered_) {
        return;
    }
    if (race_->departed) {
        finish();
        ++runtime_.counters.departed;
        request_.caller.abort();
        return;
    }
    giveUp(yield);
}

} // namespace

void serveHostRouteRequest(HostRouteRequest &request, Yield yield)
{
    HostRouteCall(request).run(yield);
}

} // namespace kumquat
