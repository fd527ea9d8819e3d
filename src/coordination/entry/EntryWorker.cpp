#include "coordination/entry/EntryWorker.h"

#include "coordination/entry/Call.h"
#include "coordination/entry/CallerRequest.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr Milliseconds acceptRetryDelay { 20 };

/// Ends the count of an admitted request, however it ends.
class Admission
{
public:
    explicit Admission(ServiceRuntime &runtime) : runtime_(runtime) { }
    ~Admission() { runtime_.leave(); }
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

private:
    ServiceRuntime &runtime_;
};

} // namespace

EntryWorker::EntryWorker(EntryCore &core, int maxConnections, std::size_t maxBodyBytes,
                         std::uint64_t seed)
    : core_(core), maxConnections_(maxConnections), work_(asio::make_work_guard(loop_)),
      worker_(loop_, core.hooks, maxBodyBytes, seed), acceptor_(loop_)
{
}

absl::Status EntryWorker::listen(const Address &address)
{
    const absl::Status opened = openAcceptor(acceptor_, address, true);
    if (opened.ok()) {
        spawnOn(loop_, [this](Yield yield) {
            repeatOn(
                loop_, [this, yield] { return accept(yield); }, yield);
        });
    }
    return opened;
}

void EntryWorker::start()
{
    thread_ = std::thread([this] { runLoop(loop_); });
}

void EntryWorker::closeListener()
{
    asio::post(loop_, [this] {
        acceptArrived();
        ErrorCode ignored;
        acceptor_.close(ignored);
    });
}

void EntryWorker::closeIdle()
{
    asio::post(loop_, [this] {
        // After what the loop has accepted already.
        asio::post(loop_, [this] {
            for (const auto &caller : callers_) {
                caller->closeIfIdle();
            }
            hasDrained_ = true;
        });
    });
}

void EntryWorker::answerUnfinished()
{
    asio::post(loop_, [this] {
        worker_.stopNotices.notify();
        for (const auto &caller : callers_) {
            caller->endBody();
        }
    });
}

void EntryWorker::stop()
{
    work_.reset();
    loop_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
    for (const auto &caller : callers_) {
        caller->cutAtStop();
    }
}

std::size_t EntryWorker::unansweredRequests() const
{
    std::size_t count = 0;
    for (const auto &caller : callers_) {
        count += caller->dueResponses();
    }
    return count;
}

// Returns false when the listener is closed.
bool EntryWorker::accept(Yield yield)
{
    TcpSocket socket(loop_);
    ErrorCode error;
    acceptor_.async_accept(socket, yield[error]);
    if (error) {
        pauseFor(loop_, acceptRetryDelay, yield);
    } else {
        startServing(std::move(socket));
    }
    return acceptor_.is_open();
}

// Closing the listener resets what it has not accepted yet, whole requests too.
void EntryWorker::acceptArrived()
{
    ErrorCode error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        TcpSocket socket(loop_);
        acceptor_.accept(socket, error);
        if (!error) {
            startServing(std::move(socket));
        }
    }
}

void EntryWorker::startServing(TcpSocket socket)
{
    ErrorCode ignored;
    if (core_.connections.load() < maxConnections_) {
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        addCaller(std::make_shared<CallerConnection>(loop_, std::move(socket)));
    }
}

void EntryWorker::addCaller(const std::shared_ptr<CallerConnection> &caller)
{
    callers_.insert(caller);
    ++core_.connections;
    spawnOn(
        loop_, [this, caller](Yield yield) { serve(*caller, yield); },
        [this, caller] {
            callers_.erase(caller);
            --core_.connections;
        });
}

void EntryWorker::serve(CallerConnection &caller, Yield yield)
{
    CallerHooks hooks;
    hooks.isStopping = [this] { return core_.stop.hasBegun(); };
    hooks.limits = [this] { return core_.routing.read()->callerLimits; };
    hooks.handlerFailed = [this](const char *what) { reportFailure(what); };
    hooks.responsesDropped
        = [this](DropCause cause, std::size_t count) { reportDropped(cause, count); };
    caller.serve([this](CallerConnection &connection, Yield inner) { handle(connection, inner); },
                 std::move(hooks), yield);
}

void EntryWorker::reportFailure(const char *what)
{
    ++core_.handlerFailures;
    logEvent(Event::handlerFailed, LogLevel::error, "{}", what);
}

void EntryWorker::reportDropped(DropCause cause, std::size_t count)
{
    core_.droppedResponses[static_cast<std::size_t>(cause)] += count;
    const auto level = isOwnDoing(cause) ? LogLevel::warning : LogLevel::info;
    logEvent(Event::responsesDropped, level, "cause={} requests={}", dropCauseName(cause), count);
}

void EntryWorker::handle(CallerConnection &caller, Yield yield)
{
    const TimePoint start = Clock::now();
    if (serveReadAhead(caller, start) || !caller.awaitResponses(yield)) {
        return;
    }
    const std::string path = pathOf(caller.header());
    if (path == wire::readyPath) {
        const bool ready = core_.ready && !core_.stop.hasBegun() && core_.isFresh();
        (void)caller.writeResponse(ready ? textResponse(http::status::ok, "{\"ready\":true}\n")
                                         : refusal(RefusalReason::notReady, RunOutcome::notRun),
                                   yield);
        return;
    }
    if (!core_.ready || !core_.isFresh()) {
        refuseBeforeRouting(caller, RefusalReason::notReady, yield);
        return;
    }
    if (!core_.dialect->headers.requestId.empty()) {
        serveHostRoute(caller, start, yield);
        return;
    }
    const RouteMatch match
        = core_.routing.read()->match(std::string(caller.header().method_string()), path);
    if (!match.service) {
        refuseBeforeRouting(caller, RefusalReason::noRoute, yield);
        return;
    }
    Milliseconds allowed = match.service->configuration.deadline;
    const auto requested = readDeadline(caller.header(), wire::deadline);
    allowed = requested ? std::min(allowed, *requested) : allowed;
    admit(caller, match, start + allowed, yield);
}

void EntryWorker::refuseBeforeRouting(CallerConnection &caller, RefusalReason reason, Yield yield)
{
    if (reason == RefusalReason::noRoute) {
        ++core_.unrouted;
    }
    if (reason == RefusalReason::unknownKey) {
        ++core_.unidentified;
    }
    const std::string &name = core_.dialect->headers.requestId;
    const std::string id = name.empty() ? "" : std::string(caller.header()[name]);
    logEvent(Event::requestRefused, LogLevel::info, "request={} version={} reason={} run=no",
             id.empty() ? "none" : id, core_.routing.read()->version.number,
             refusalReasonName(reason));
    (void)caller.writeResponse(refusal(reason, RunOutcome::notRun), yield);
}

CurrentService EntryWorker::currentService(std::shared_ptr<const ActiveService> version) const
{
    const std::string name = version->configuration.name;
    return { std::move(version), [this, name] { return core_.routing.read()->findService(name); } };
}

void EntryWorker::admit(CallerConnection &caller, const RouteMatch &match, TimePoint deadline,
                        Yield yield)
{
    const TimePoint start = Clock::now();
    ServiceRuntime &runtime = *match.service->runtime;
    Call call { caller, worker_, currentService(match.service), deadline, {}, 0 };
    ++runtime.counters.requests;
    runtime.retryBudget.deposit();
    if (!core_.stop.mayStart(deadline)) {
        refuse(call, RefusalReason::stopping, RunOutcome::notRun, yield);
        return;
    }
    if (!runtime.tryEnter(match.service->configuration.limits.concurrency)) {
        refuse(call, RefusalReason::overloaded, RunOutcome::notRun, yield);
        return;
    }
    const Admission admission(runtime);
    const std::uint64_t answeredBefore = runtime.counters.answered.load();
    HeldRoom held(worker_.requestBytes);
    if (readRequest(call, match.kind, held, yield)) {
        switch (match.kind) {
        case RequestKind::idempotent:
            serveIdempotent(call, yield);
            break;
        case RequestKind::once:
            serveOnce(call, std::string(caller.header()[wire::idempotencyKey]), yield);
            break;
        case RequestKind::upload:
        case RequestKind::single:
            serveUpload(call, yield);
            break;
        }
    }
    if (runtime.counters.answered.load() != answeredBefore) {
        runtime.latency.record(Clock::now() - start);
    }
}

// Reads and checks the request, except an upload's body. Returns false when the request was refused
// or the caller disconnected.
bool EntryWorker::readRequest(Call &call, RequestKind kind, HeldRoom &held, Yield yield)
{
    call.request = HttpRequest(forwardedHeader(call.caller.header(), call.deadline));
    if (kind == RequestKind::upload) {
        return true;
    }
    if (kind == RequestKind::once
        && !isValidIdempotencyKey(std::string(call.request[wire::idempotencyKey]))) {
        refuse(call, RefusalReason::missingKey, RunOutcome::notRun, yield);
        return false;
    }
    const auto limit = static_cast<std::size_t>(call.service->configuration.maxRequestBytes);
    const ErrorCode error = call.caller.readBody(
        call.request.body(), limit, [&held](std::size_t bytes) { return held.growTo(bytes); },
        call.deadline, yield);
    if (error == http::error::body_limit || error == asio::error::no_memory) {
        const bool isTooLarge = error == http::error::body_limit;
        refuse(call, isTooLarge ? RefusalReason::requestTooLarge : RefusalReason::overloaded,
               RunOutcome::notRun, yield);
        return false;
    }
    if (error == asio::error::timed_out) {
        const bool mayStart = core_.stop.mayStart(call.deadline);
        refuse(call, mayStart ? RefusalReason::requestTimeout : RefusalReason::stopping,
               RunOutcome::notRun, yield);
        return false;
    }
    if (isMalformed(error)) {
        refuse(call, RefusalReason::malformedRequest, RunOutcome::notRun, yield);
        return false;
    }
    if (error) {
        ++call.service->runtime->counters.callerDisconnects;
        return false;
    }
    call.request.prepare_payload();
    call.fingerprint = fingerprintOf(call.request, call.request.body());
    if (core_.quarantine.isQuarantined(call.fingerprint, Clock::now())) {
        refuse(call, RefusalReason::quarantined, RunOutcome::notRun, yield);
        return false;
    }
    return true;
}

} // namespace kumquat
