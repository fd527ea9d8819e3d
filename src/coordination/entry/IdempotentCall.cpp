#include "coordination/entry/Call.h"
#include "transport/Spawn.h"

#include <optional>

namespace kumquat {

namespace {

constexpr unsigned firstServerError = 500;
constexpr Milliseconds minHedgeDelay { 20 };
constexpr int hedgeLatencyFactor = 4;
constexpr int maxSheds = 8;
constexpr int shedsWithoutPause = 1;
constexpr int longestShedShift = 4;
constexpr Milliseconds firstShedPause { 2 };

// The attempts of one request; they run as coroutines on the request's own event loop, so that
// no locks are needed. It is shared because a cancelled attempt ends after the request does.
struct AttemptGroup
{
    explicit AttemptGroup(asio::io_context &loop) : signal(loop) { }

    void wake() { signal.cancel(); }

    Timer signal;
    std::vector<std::shared_ptr<AttemptHandle>> handles;
    std::vector<AttemptResult> results;
    int running = 0;
    bool departed = false;
    bool finished = false;
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
    bool tryAgain(Yield yield);
    bool tryAfterShed(Yield yield);
    bool hedge();
    void wait(Yield yield);
    bool take(AttemptResult result, Yield yield);
    void finish(Yield yield);
    Clock::duration hedgeDelay() const;

    Call &call_;
    ServiceRuntime &runtime_;
    std::shared_ptr<AttemptGroup> group_;
    std::shared_ptr<const HttpRequest> request_;
    std::vector<std::string> tried_;
    std::optional<HttpResponse> lastAnswer_;
    TimePoint hedgeAt_;
    RefusalReason reason_ = RefusalReason::retriesExhausted;
    int failures_ = 0;
    int sheds_ = 0;
    bool mayHaveRun_ = false;
    bool done_ = false;
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
    spawnOn(call_.worker.loop,
            [&worker = call_.worker, service = call_.service, target, request = request_, options,
             handle, group = group_](Yield yield) {
                AttemptResult result
                    = runAttempt(worker, *service, target, *request, options, *handle, yield);
                --group->running;
                if (group->finished) {
                    if (result.outcome == AttemptOutcome::streaming) {
                        releaseTarget(*service, *target);
                    }
                    return;
                }
                group->results.push_back(std::move(result));
                group->wake();
            });
}

bool IdempotentCall::tryAgain(Yield yield)
{
    ++failures_;
    if (failures_ >= call_.service->configuration.retry.maxAttempts
        || Clock::now() >= call_.deadline || !runtime_.retryBudget.trySpend()) {
        return false;
    }
    const TargetPtr target
        = waitForTarget(call_.worker, *call_.service, tried_, call_.deadline, reason_, yield);
    if (!target) {
        return false;
    }
    ++runtime_.counters.retries;
    start(target, true);
    return true;
}

// A shed answer says that the target was fuller than it seemed. The budget, which guards against
// load from retries of failing work, is spared; a pause that grows keeps sheds from becoming a
// load of their own, and every target may be tried again after it.
bool IdempotentCall::tryAfterShed(Yield yield)
{
    if (++sheds_ > maxSheds) {
        reason_ = RefusalReason::overloaded;
        return false;
    }
    const Clock::duration pause = firstShedPause * (1 << std::min(sheds_ - 1, longestShedShift));
    if (Clock::now() + pause >= call_.deadline) {
        reason_ = RefusalReason::overloaded;
        return false;
    }
    if (sheds_ > shedsWithoutPause) {
        pauseFor(call_.worker.loop, pause, yield);
        tried_.clear();
    }
    const TargetPtr target
        = waitForTarget(call_.worker, *call_.service, tried_, call_.deadline, reason_, yield);
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
    const TargetPtr target
        = acquireTarget(*call_.service, tried_, Clock::now(), call_.worker.random);
    if (!target) {
        return false;
    }
    if (!runtime_.retryBudget.trySpend()) {
        releaseTarget(*call_.service, *target);
        return false;
    }
    ++runtime_.counters.hedges;
    start(target, true);
    return true;
}

void IdempotentCall::wait(Yield yield)
{
    ErrorCode ignored;
    group_->signal.expires_at(std::min(hedgeAt_, call_.deadline));
    group_->signal.async_wait(yield[ignored]);
}

// True when the request has its answer, or cannot get one.
bool IdempotentCall::take(AttemptResult result, Yield yield)
{
    if (result.outcome == AttemptOutcome::streaming) {
        finish(yield);
        relayStreaming(call_, std::move(result), yield);
        return done_ = true;
    }
    const bool answered = result.outcome == AttemptOutcome::completed;
    mayHaveRun_ = mayHaveRun_ || !provesNotRun(result.outcome);
    if (answered) {
        const bool failed = result.response.result_int() >= firstServerError;
        lastAnswer_ = std::move(result.response);
        if (!failed) {
            return true;
        }
    }
    const bool goesOn = result.outcome == AttemptOutcome::shed ? tryAfterShed(yield) : tryAgain(yield);
    return !goesOn && group_->running == 0 && group_->results.empty();
}

void IdempotentCall::finish(Yield)
{
    group_->finished = true;
    for (const auto &handle : group_->handles) {
        handle->cancel();
    }
}

void IdempotentCall::run(Yield yield)
{
    const TargetPtr first
        = waitForTarget(call_.worker, *call_.service, tried_, call_.deadline, reason_, yield);
    if (!first) {
        refuse(call_, reason_, RunOutcome::notRun, yield);
        return;
    }
    call_.caller.watchDeparture([group = group_] {
        group->departed = true;
        group->wake();
    });
    start(first, false);
    bool over = false;
    while (!over) {
        if (group_->results.empty()) {
            wait(yield);
        }
        if (group_->departed || Clock::now() >= call_.deadline) {
            break;
        }
        if (!group_->results.empty()) {
            AttemptResult result = std::move(group_->results.back());
            group_->results.pop_back();
            over = take(std::move(result), yield);
        } else if (Clock::now() >= hedgeAt_ && !hedge()) {
            hedgeAt_ = call_.deadline;
        }
    }
    if (done_) {
        return;
    }
    mayHaveRun_ = mayHaveRun_ || group_->running > 0;
    finish(yield);
    if (group_->departed) {
        ++runtime_.counters.departed;
        call_.caller.abort();
    } else if (lastAnswer_) {
        ++runtime_.counters.answered;
        (void)call_.caller.writeWhole(std::move(*lastAnswer_), yield);
    } else {
        const bool late = Clock::now() >= call_.deadline;
        refuse(call_, late ? RefusalReason::deadlineExceeded : reason_,
               mayHaveRun_ ? RunOutcome::unknown : RunOutcome::notRun, yield);
    }
}

} // namespace

void serveIdempotent(Call &call, Yield yield)
{
    IdempotentCall(call).run(yield);
}

} // namespace kumquat
