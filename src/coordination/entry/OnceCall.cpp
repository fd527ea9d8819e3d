#include "coordination/entry/Call.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr Milliseconds claimTimeout { 1'500 };
constexpr Milliseconds releaseTimeout { 1'000 };
constexpr Milliseconds completeTimeout { 5'000 };
constexpr Milliseconds pendingPollInterval { 100 };
constexpr Milliseconds maxRunTime { 30'000 };
constexpr std::size_t maxStoredResponseBytes = 64 * 1024;
constexpr int maxAttempts = 4;

// State of one request, shared by the coroutine that serves the caller and the one that dispatches;
// both run on one event loop. Dispatching continues after the caller's deadline, so that a retry by
// the caller finds the stored response.
struct OnceState
{
    explicit OnceState(asio::io_context &loop) : signal(loop) { }

    void finish(HttpResponse finalResponse)
    {
        response = std::move(finalResponse);
        finished = true;
        signal.cancel();
    }

    Timer signal;
    HttpResponse response;
    std::shared_ptr<HeldRoom> held; ///< the room of its body
    bool finished = false;
    bool dispatched = false;
    bool keyHeldElsewhere = false; ///< another attempt of the request holds the key
    bool abandoned = false; ///< the caller got a refusal at its deadline; dispatch no more
    RefusalReason refusalReason = RefusalReason::outcomeUnknown;
    bool refused = false;
};

StoredResponse toStoredResponse(const HttpResponse &response)
{
    StoredResponse stored;
    stored.status = static_cast<std::uint16_t>(response.result_int());
    for (const auto &field : response) {
        stored.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    stored.body = response.body();
    return stored;
}

HttpResponse replayedResponse(const StoredResponse &stored)
{
    HttpResponse response(static_cast<http::status>(stored.status), 11);
    for (const OnceHeader &header : stored.headers) {
        response.set(header.name, header.value);
    }
    response.body() = stored.body;
    response.set(wire::outcome, "replayed");
    return response;
}

class OnceDispatch
{
public:
    OnceDispatch(Call &call, const std::string &key, std::shared_ptr<OnceState> state)
        : worker_(call.worker), service_(call.service), deadline_(call.deadline),
          request_(call.request), state_(std::move(state))
    {
        onceRequest_.service = service_->configuration.name;
        onceRequest_.key = key;
        onceRequest_.fingerprint = call.fingerprint;
        onceRequest_.attempt = call.worker.random();
    }

    void run(Yield yield);

    /// To be called when dispatching has ended; by an exception, if there is no response.
    void finish();

private:
    TargetPtr nextTarget(RefusalReason &reason, Yield yield);
    bool claim(Yield yield);
    void dispatch(TargetPtr target, Yield yield);
    void recordResult(AttemptResult result, Yield yield);
    void sendOperation(OnceOperation operation, Milliseconds timeout, Yield yield);
    void refuse(RefusalReason reason, RunOutcome outcome);
    void releaseAndRefuse(RefusalReason reason, Yield yield);

    Worker &worker_;
    CurrentService service_;
    TimePoint deadline_;
    HttpRequest request_;
    std::shared_ptr<OnceState> state_;
    OnceRequest onceRequest_;
    std::vector<std::string> tried_;
};

void OnceDispatch::refuse(RefusalReason reason, RunOutcome outcome)
{
    state_->refusalReason = reason;
    state_->refused = true;
    state_->finish(refusal(reason, outcome));
}

TargetPtr OnceDispatch::nextTarget(RefusalReason &reason, Yield yield)
{
    TargetPtr target = waitForTarget(worker_, service_, tried_, deadline_, reason, yield);
    if (target) {
        tried_.push_back(target->record.name);
    }
    return target;
}

// Returns true when this attempt holds the key and may dispatch; otherwise sets the response.
bool OnceDispatch::claim(Yield yield)
{
    onceRequest_.operation = OnceOperation::claim;
    const TimePoint claimDeadline = std::min(deadline_, Clock::now() + claimTimeout);
    auto reply = worker_.hooks.once(onceRequest_, claimDeadline, yield);
    while (reply.ok() && reply->status == OnceStatus::pending && !state_->abandoned
           && Clock::now() + pendingPollInterval < deadline_) {
        state_->keyHeldElsewhere = true;
        pauseFor(worker_.loop, pendingPollInterval, yield);
        reply = worker_.hooks.once(onceRequest_, deadline_, yield);
    }
    if (!reply.ok()) {
        // The claim may have been granted although the reply was lost. It is released, never used.
        refuse(RefusalReason::controlUnreachable, RunOutcome::notRun);
        sendOperation(OnceOperation::release, completeTimeout, yield);
        return false;
    }
    switch (reply->status) {
    case OnceStatus::granted:
        return true;
    case OnceStatus::done:
        state_->finish(replayedResponse(reply->response));
        return false;
    case OnceStatus::mismatch:
        refuse(RefusalReason::keyMismatch, RunOutcome::notRun);
        return false;
    case OnceStatus::full:
        refuse(RefusalReason::recordsFull, RunOutcome::notRun);
        return false;
    default:
        refuse(RefusalReason::outcomeUnknown, RunOutcome::unknown);
        return false;
    }
}

void OnceDispatch::sendOperation(OnceOperation operation, Milliseconds timeout, Yield yield)
{
    onceRequest_.operation = operation;
    (void)worker_.hooks.once(onceRequest_, Clock::now() + timeout, yield);
}

void OnceDispatch::releaseAndRefuse(RefusalReason reason, Yield yield)
{
    sendOperation(OnceOperation::release, releaseTimeout, yield);
    refuse(reason, RunOutcome::notRun);
}

void OnceDispatch::recordResult(AttemptResult result, Yield yield)
{
    if (result.outcome != AttemptOutcome::completed) {
        refuse(RefusalReason::outcomeUnknown, RunOutcome::unknown);
        sendOperation(OnceOperation::markUnknown, completeTimeout, yield);
        return;
    }
    const bool storable = result.response.body().size() <= maxStoredResponseBytes;
    onceRequest_.response = storable ? toStoredResponse(result.response) : StoredResponse();
    state_->held = std::move(result.held);
    state_->finish(std::move(result.response));
    sendOperation(storable ? OnceOperation::complete : OnceOperation::markUnknown, completeTimeout,
                  yield);
}

void OnceDispatch::dispatch(TargetPtr target, Yield yield)
{
    AttemptOptions options;
    options.deadline = Clock::now() + maxRunTime;
    // A shed proves something only on a connection that has carried no other request.
    options.requireNewConnection = true;
    options.maxBufferedBytes = static_cast<std::size_t>(service_->configuration.maxRequestBytes);
    options.fingerprint = onceRequest_.fingerprint;
    for (int attempt = 1;; ++attempt) {
        AttemptHandle handle;
        state_->dispatched = true;
        AttemptResult result
            = runAttempt(worker_, *service_, target, request_, options, handle, yield);
        if (!provesNotRun(result.outcome)) {
            if (result.outcome == AttemptOutcome::streaming) {
                releaseTarget(*service_, *target);
            }
            recordResult(std::move(result), yield);
            return;
        }
        state_->dispatched = false;
        RefusalReason reason = RefusalReason::retriesExhausted;
        target = attempt < maxAttempts && !state_->abandoned ? nextTarget(reason, yield) : nullptr;
        if (!target) {
            releaseAndRefuse(reason, yield);
            return;
        }
        if (state_->abandoned) {
            releaseTarget(*service_, *target);
            releaseAndRefuse(reason, yield);
            return;
        }
    }
}

void OnceDispatch::run(Yield yield)
{
    RefusalReason reason = RefusalReason::noTarget;
    TargetPtr target = nextTarget(reason, yield);
    if (!target) {
        refuse(reason, RunOutcome::notRun);
        return;
    }
    bool claimed = false;
    if (!state_->abandoned) {
        contain([&] { claimed = claim(yield); });
    }
    if (!claimed) {
        releaseTarget(*service_, *target);
        return;
    }
    if (!worker_.hooks.mayStart(deadline_)) {
        releaseTarget(*service_, *target);
        releaseAndRefuse(RefusalReason::stopping, yield);
        return;
    }
    // During the claim the target may have left, and the caller may have been refused.
    service_.refresh();
    if (!hasUsable(*service_, *target, Clock::now())) {
        releaseTarget(*service_, *target);
        target = nextTarget(reason, yield);
    }
    if (!target || state_->abandoned) {
        if (target) {
            releaseTarget(*service_, *target);
        }
        releaseAndRefuse(reason, yield);
        return;
    }
    dispatch(target, yield);
}

void OnceDispatch::finish()
{
    if (!state_->finished) {
        refuse(RefusalReason::outcomeUnknown, RunOutcome::unknown);
    }
}

bool mayHaveRun(const OnceState &state)
{
    return state.dispatched || state.keyHeldElsewhere;
}

RefusalReason reasonWithoutResult(const Call &call, const OnceState &state)
{
    if (mayHaveRun(state)) {
        return RefusalReason::outcomeUnknown;
    }
    const bool late = Clock::now() >= call.deadline;
    return late ? RefusalReason::deadlineExceeded : RefusalReason::stopping;
}

} // namespace

void serveOnce(Call &call, const std::string &key, Yield yield)
{
    const auto state = std::make_shared<OnceState>(call.worker.loop);
    auto dispatch = std::make_shared<OnceDispatch>(call, key, state);
    spawnOn(
        call.worker.loop, [dispatch](Yield inner) { dispatch->run(inner); },
        [dispatch] { dispatch->finish(); });
    ErrorCode ignored;
    const auto subscription
        = call.worker.stopNotices.subscribe([state] { state->signal.cancel(); });
    if (!state->finished) {
        state->signal.expires_at(call.deadline);
        state->signal.async_wait(yield[ignored]);
    }
    if (!state->finished) {
        state->abandoned = true;
        refuse(call, reasonWithoutResult(call, *state),
               mayHaveRun(*state) ? RunOutcome::unknown : RunOutcome::notRun, yield);
        return;
    }
    ServiceCounters &counters = call.service->runtime->counters;
    if (state->refused) {
        ++counters.refused[static_cast<std::size_t>(state->refusalReason)];
    } else {
        ++counters.answered;
    }
    (void)call.caller.writeResponse(std::move(state->response), yield);
}

} // namespace kumquat
