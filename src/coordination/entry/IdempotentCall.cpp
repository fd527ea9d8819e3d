#include "coordination/entry/Call.h"
#include "transport/Spawn.h"

#include <optional>

namespace kumquat {

namespace {

constexpr unsigned firstServerError = 500;
constexpr Milliseconds minHedgeDelay { 20 };
/// Without a configured delay, a hedge starts after this many mean service times and minHedgeDelay.
constexpr int hedgeLatencyFactor = 4;
constexpr int maxSheds = 8;
constexpr int shedsWithoutBackoff = 1;
constexpr int maxShedBackoffShift = 4;
constexpr Milliseconds initialShedBackoff { 2 };

// The attempts of one request. They run as coroutines on the event loop of the request, so no locks
// are needed. Shared, because a cancelled attempt ends after the request does.
struct AttemptGroup
{
    explicit AttemptGroup(asio::io_context &loop) : signal(loop) { }

    void wake() { signal.cancel(); }

    Timer signal;
    std::vector<std::shared_ptr<AttemptHandle>> handles;
    std::vector<AttemptResult> results;
    int running = 0;
    std::optional<DropCause> disconnected; ///< why the caller can get no response any more
    bool finished = false;
    bool isStopOver = false; ///< a planned stop leaves only time for a response
};

class IdempotentCall
{
public:
    explicit IdempotentCall(Call &call)
        : call_(call), runtime_(*call.service->runtime),
          group_(std::make_shared<AttemptGroup>(call.worker.loop)),
          request_(std::make_shared<const HttpRequest>(call.request))
    {
    }

    void run(Yield yield);

private:
    void start(const TargetPtr &target, bool requireNewConnection);
    bool retryAfterFailure(Yield yield);
    bool retryAfterShed(Yield yield);
    bool hedge();
    void waitForEvent(Yield yield);
    bool handleResult(AttemptResult result, Yield yield);
    void finish(Yield yield);
    Clock::duration hedgeDelay() const;

    Call &call_;
    ServiceRuntime &runtime_;
    std::shared_ptr<AttemptGroup> group_;
    std::shared_ptr<const HttpRequest> request_;
    std::vector<std::string> tried_;
    std::optional<HttpResponse> lastResponse_;
    std::shared_ptr<HeldRoom> lastHeld_; ///< the room of its body
    TimePoint hedgeAt_;
    RefusalReason refusalReason_ = RefusalReason::retriesExhausted;
    int failures_ = 0;
    int sheds_ = 0;
    bool mayHaveRun_ = false;
    bool relayed_ = false;
};

Clock::duration IdempotentCall::hedgeDelay() const
{
    const Milliseconds configured = call_.service->configuration.retry.hedgeAfter;
    if (configured.count() > 0) {
        return configured;
    }
    const Clock::duration usual = runtime_.meanServiceTime() * hedgeLatencyFactor;
    return std::max<Clock::duration>(minHedgeDelay, usual + minHedgeDelay);
}

void IdempotentCall::start(const TargetPtr &target, bool requireNewConnection)
{
    tried_.push_back(target->record.name);
    hedgeAt_ = Clock::now() + hedgeDelay();
    auto handle = std::make_shared<AttemptHandle>();
    group_->handles.push_back(handle);
    ++group_->running;
    AttemptOptions options;
    options.deadline = call_.deadline;
    options.requireNewConnection = requireNewConnection;
    options.fingerprint = call_.fingerprint;
    const auto result = std::make_shared<AttemptResult>();
    spawnOn(
        call_.worker.loop,
        [&worker = call_.worker, service = call_.service.version(), target, request = request_,
         options, handle, result](Yield yield) {
            *result = runAttempt(worker, *service, target, *request, options, *handle, yield);
        },
        [service = call_.service.version(), target, result, group = group_] {
            --group->running;
            const bool neverRan = !result->target;
            const bool isUnwanted = group->finished && result->outcome == AttemptOutcome::streaming;
            if (neverRan || isUnwanted) {
                releaseTarget(*service, *target);
            }
            if (!group->finished) {
                group->results.push_back(std::move(*result));
                group->wake();
            }
        });
}

bool IdempotentCall::retryAfterFailure(Yield yield)
{
    ++failures_;
    if (failures_ >= call_.service->configuration.retry.maxAttempts
        || Clock::now() >= call_.deadline || !runtime_.retryBudget.tryWithdraw()) {
        return false;
    }
    const TargetPtr target
        = waitForTarget(call_.worker, call_.service, tried_, call_.deadline, refusalReason_, yield);
    if (!target) {
        return false;
    }
    ++runtime_.counters.retries;
    start(target, true);
    return true;
}

// A shed response means that the target was fuller than it seemed. It does not spend the retry
// budget, which bounds the load from retries of failing requests. Instead a growing backoff bounds
// the load from sheds; after it all targets may be tried again.
bool IdempotentCall::retryAfterShed(Yield yield)
{
    if (++sheds_ > maxSheds) {
        refusalReason_ = RefusalReason::overloaded;
        return false;
    }
    const Clock::duration backoff
        = initialShedBackoff * (1 << std::min(sheds_ - 1, maxShedBackoffShift));
    if (Clock::now() + backoff >= call_.deadline) {
        refusalReason_ = RefusalReason::overloaded;
        return false;
    }
    if (sheds_ > shedsWithoutBackoff) {
        pauseFor(call_.worker.loop, backoff, yield);
        tried_.clear();
    }
    const TargetPtr target
        = waitForTarget(call_.worker, call_.service, tried_, call_.deadline, refusalReason_, yield);
    if (!target) {
        return false;
    }
    ++runtime_.counters.retries;
    start(target, false);
    return true;
}

bool IdempotentCall::hedge()
{
    const int attempts = static_cast<int>(tried_.size());
    if (attempts >= call_.service->configuration.retry.maxAttempts) {
        return false;
    }
    call_.service.refresh();
    const TargetPtr target
        = acquireTarget(*call_.service, tried_, Clock::now(), call_.worker.random);
    if (!target) {
        return false;
    }
    if (!runtime_.retryBudget.tryWithdraw()) {
        releaseTarget(*call_.service, *target);
        return false;
    }
    ++runtime_.counters.hedges;
    start(target, true);
    return true;
}

void IdempotentCall::waitForEvent(Yield yield)
{
    ErrorCode ignored;
    group_->signal.expires_at(std::min(hedgeAt_, call_.deadline));
    group_->signal.async_wait(yield[ignored]);
}

// Returns true when the request has its response or cannot get one.
bool IdempotentCall::handleResult(AttemptResult result, Yield yield)
{
    if (result.outcome == AttemptOutcome::streaming) {
        finish(yield);
        relayStreaming(call_, std::move(result), yield);
        return relayed_ = true;
    }
    const bool completed = result.outcome == AttemptOutcome::completed;
    mayHaveRun_ = mayHaveRun_ || !provesNotRun(result.outcome);
    if (completed) {
        const bool failed = result.response.result_int() >= firstServerError;
        lastResponse_ = std::move(result.response);
        lastHeld_ = std::move(result.held);
        if (!failed) {
            return true;
        }
    }
    const bool retried = isShed(result.outcome) ? retryAfterShed(yield) : retryAfterFailure(yield);
    return !retried && group_->running == 0 && group_->results.empty();
}

void IdempotentCall::finish(Yield)
{
    group_->finished = true;
    for (const auto &handle : group_->handles) {
        handle->cancel();
    }
    // A response that is still to be read has kept its target's slot.
    for (const AttemptResult &result : group_->results) {
        if (result.outcome == AttemptOutcome::streaming) {
            releaseTarget(*call_.service, *result.target);
        }
    }
    group_->results.clear();
}

void IdempotentCall::run(Yield yield)
{
    const TargetPtr first
        = waitForTarget(call_.worker, call_.service, tried_, call_.deadline, refusalReason_, yield);
    if (!first) {
        refuse(call_, refusalReason_, RunOutcome::notRun, yield);
        return;
    }
    call_.caller.watchDisconnect([group = group_](DropCause cause) {
        group->disconnected = cause;
        group->wake();
    });
    const auto subscription = call_.worker.stopNotices.subscribe([group = group_] {
        group->isStopOver = true;
        group->wake();
    });
    start(first, false);
    bool over = false;
    while (!over) {
        if (group_->results.empty()) {
            waitForEvent(yield);
        }
        if (group_->disconnected || Clock::now() >= call_.deadline) {
            break;
        }
        if (!group_->results.empty()) {
            AttemptResult result = std::move(group_->results.back());
            group_->results.pop_back();
            over = handleResult(std::move(result), yield);
        } else if (group_->isStopOver) {
            break;
        } else if (Clock::now() >= hedgeAt_ && !hedge()) {
            hedgeAt_ = call_.deadline;
        }
    }
    if (relayed_) {
        return;
    }
    if (group_->isStopOver && group_->running > 0) {
        refusalReason_ = RefusalReason::cutByStop;
    }
    mayHaveRun_ = mayHaveRun_ || group_->running > 0;
    finish(yield);
    if (group_->disconnected) {
        ++runtime_.counters.callerDisconnects;
        call_.caller.abort(*group_->disconnected);
    } else if (lastResponse_) {
        ++runtime_.counters.answered;
        (void)call_.caller.writeResponse(std::move(*lastResponse_), yield);
    } else {
        const bool late = Clock::now() >= call_.deadline;
        refuse(call_, late ? RefusalReason::deadlineExceeded : refusalReason_,
               mayHaveRun_ ? RunOutcome::unknown : RunOutcome::notRun, yield);
    }
}

} // namespace

void serveIdempotent(Call &call, Yield yield)
{
    IdempotentCall(call).run(yield);
}

} // namespace kumquat
