#include "coordination/entry/EntryWorker.h"

#include "coordination/entry/Call.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

#include <xxhash.h>

namespace kumquat {

namespace {

constexpr Milliseconds acceptRetryDelay { 20 };
/// Between two checks whether the bodies of other requests have made room.
constexpr Milliseconds roomCheckInterval { 10 };
/// A body waits for room for at most its latency objective divided by this, so that a refusal
/// leaves the caller time to retry.
constexpr int roomWaitDivisor = 4;

std::uint64_t fingerprintOf(const http::request_header<> &header, const std::string &body)
{
    const std::string head
        = std::string(header.method_string()) + ' ' + std::string(header.target());
    const std::uint64_t seed = XXH64(head.data(), head.size(), 0);
    return XXH64(body.data(), body.size(), seed);
}

// No response to a request whose body fails has begun, so its connection need not be reset: that
// would cut the responses before it.
bool isMalformed(ErrorCode error)
{
    return error.category() == ErrorCode(http::error::bad_method).category();
}

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

std::string pathOf(const http::request_header<> &header)
{
    const std::string target(header.target());
    return target.substr(0, target.find('?'));
}

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

void EntryWorker::stop()
{
    work_.reset();
    loop_.stop();
    if (thread_.joinable()) {
        thread_.join();
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
    const std::string &name = core_.dialect->headers.requestId;
    const std::string id = name.empty() ? "" : std::string(caller.header()[name]);
    logEvent(Event::requestRefused, LogLevel::info, "request={} version={} reason={} run=no",
             id.empty() ? "none" : id, core_.routing.read()->version.number,
             refusalReasonName(reason));
    (void)caller.writeResponse(refusal(reason, RunOutcome::notRun), yield);
}

void EntryWorker::admit(CallerConnection &caller, const RouteMatch &match, TimePoint deadline,
                        Yield yield)
{
    const TimePoint start = Clock::now();
    ServiceRuntime &runtime = *match.service->runtime;
    Call call { caller, worker_, match.service, deadline, {}, 0 };
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

// An idempotent request without a body is served beside those that follow it on its connection, so
// that a slow one does not delay them. Returns false when the request must be served alone.
bool EntryWorker::serveReadAhead(CallerConnection &caller, TimePoint start)
{
    const bool isServed
        = core_.ready && core_.isFresh() && !core_.dialect->headers.requestId.empty();
    if (!isServed || caller.hasBody() || !caller.canReadAhead()) {
        return false;
    }
    const auto host = caller.header()[http::field::host];
    const auto routing = core_.routing.read();
    const ActiveRoutePtr route
        = routing->matchHost({ host.data(), host.size() }, pathOf(caller.header()));
    if (!route || route->configuration.kind != RequestKind::idempotent) {
        return false;
    }
    const auto request = std::make_shared<HostRouteRequest>(
        hostRouteRequest(caller.header(), *routing, route, start));
    request->caller = caller.readAhead();
    spawnOn(
        loop_, [this, request](Yield inner) { servePipelined(*request, inner); },
        [request] { request->caller.abort(DropCause::handlerFailed); });
    return true;
}

// A coroutine must not be suspended while it handles an exception.
void EntryWorker::servePipelined(HostRouteRequest &request, Yield yield)
{
    try {
        setBody(request, HttpRequest(request.request.header), nullptr);
        if (!refuseIfQuarantined(request, yield)) {
            serveHostRouteRequest(request, yield);
        }
        return;
    } catch (const std::exception &exception) {
        reportFailure(exception.what());
    }
    request.caller.fail(yield);
}

void EntryWorker::serveHostRoute(CallerConnection &caller, TimePoint start, Yield yield)
{
    const auto host = caller.header()[http::field::host];
    const auto routing = core_.routing.read();
    const ActiveRoutePtr route
        = routing->matchHost({ host.data(), host.size() }, pathOf(caller.header()));
    if (!route) {
        refuseBeforeRouting(caller, RefusalReason::noRoute, yield);
        return;
    }
    HostRouteRequest request = hostRouteRequest(caller.header(), *routing, route, start);
    request.caller = caller.channel();
    if (!core_.stop.mayStart(request.deadline)) {
        refuseHostRoute(request, RefusalReason::stopping, yield);
        return;
    }
    if (readHostRouteBody(caller, request, yield) && !refuseIfQuarantined(request, yield)) {
        serveHostRouteRequest(request, yield);
    }
}

// The request as far as its header says; counts it. A route is resolved only with the table that it
// was found in: another thread may have published a table with other services since.
HostRouteRequest EntryWorker::hostRouteRequest(const http::request_header<> &header,
                                               const RoutingTable &routing,
                                               const ActiveRoutePtr &route, TimePoint start)
{
    const HeaderNames &names = core_.dialect->headers;
    HostRouteRequest request { {},
                               worker_,
                               *core_.dialect,
                               route,
                               routing.nextService(*route),
                               {},
                               routing.version,
                               start,
                               {},
                               HttpRequest(header),
                               std::string(header[names.requestId]),
                               0 };
    request.currentService = [this, name = request.service->configuration.name] {
        return core_.routing.read()->findService(name);
    };
    removeHopByHop(request.request.header, endToEndHeaders(names));
    if (!request.requestId.empty()) {
        // Repeated headers could name another request to the target than they do here.
        request.request.header.set(names.requestId, request.requestId);
    }
    const Milliseconds timeout = route->configuration.timeout;
    request.deadline
        = start + std::min(timeout, readDeadline(header, names.deadline).value_or(timeout));
    ++request.service->runtime->counters.requests;
    request.service->runtime->retryBudget.deposit();
    return request;
}

void EntryWorker::refuseHostRoute(HostRouteRequest &request, RefusalReason reason, Yield yield)
{
    ++request.service->runtime->counters.refused[static_cast<std::size_t>(reason)];
    logEvent(Event::requestRefused, LogLevel::info,
             "request={} route={} service={} version={} reason={} run=no sendings=0",
             request.requestId, request.route->configuration.name,
             request.service->configuration.name, request.version.number,
             refusalReasonName(reason));
    request.caller.write(refusal(reason, RunOutcome::notRun), yield);
}

bool EntryWorker::refuseIfQuarantined(HostRouteRequest &request, Yield yield)
{
    request.fingerprint = fingerprintOf(request.request.header, *request.request.body);
    if (!core_.quarantine.isQuarantined(request.fingerprint, Clock::now())) {
        return false;
    }
    refuseHostRoute(request, RefusalReason::quarantined, yield);
    return true;
}

// The length is set before the body is shared, since each attempt sends it as it is.
void EntryWorker::setBody(HostRouteRequest &request, HttpRequest message,
                          std::shared_ptr<HeldRoom> held)
{
    message.prepare_payload();
    request.request = SharedRequest(std::move(message), std::move(held));
}

// While a body waits, its caller is held back by the connection's flow control.
void EntryWorker::waitForRoom(std::size_t bytes, HeldRoom &held, TimePoint until, Yield yield)
{
    while (!held.tryGrowTo(bytes) && held.mayWaitFor(bytes) && Clock::now() < until
           && core_.stop.mayStart(until)) {
        pauseFor(loop_, roomCheckInterval, yield);
    }
    held.dropClaim();
}

bool EntryWorker::readHostRouteBody(CallerConnection &caller, HostRouteRequest &request,
                                    Yield yield)
{
    const auto held = std::make_shared<HeldRoom>(worker_.requestBytes);
    HttpRequest message(request.request.header);
    const auto limit = static_cast<std::size_t>(core_.routing.read()->callerLimits.maxBodyBytes);
    const auto length = static_cast<std::size_t>(caller.contentLength().value_or(0));
    if (length <= limit) {
        const TimePoint until
            = Clock::now() + request.route->configuration.latencyObjective / roomWaitDivisor;
        waitForRoom(length, *held, std::min(until, request.deadline), yield);
    }
    const ErrorCode error = caller.readBody(
        message.body(), limit, [&held](std::size_t bytes) { return held->growTo(bytes); },
        request.deadline, yield);
    if (error == http::error::body_limit) {
        refuseHostRoute(request, RefusalReason::requestTooLarge, yield);
        return false;
    }
    if (error == asio::error::no_memory) {
        refuseHostRoute(request, RefusalReason::overloaded, yield);
        return false;
    }
    if (error == asio::error::timed_out) {
        refuseHostRoute(request, RefusalReason::requestTimeout, yield);
        return false;
    }
    if (isMalformed(error)) {
        refuseHostRoute(request, RefusalReason::malformedRequest, yield);
        return false;
    }
    if (error) {
        ++request.service->runtime->counters.callerDisconnects;
        logEvent(Event::requestAbandoned, LogLevel::info,
                 "request={} route={} target=none sendings=0 ms={} cause={}", request.requestId,
                 request.route->configuration.name,
                 static_cast<int>(toMilliseconds(Clock::now() - request.arrival)),
                 dropCauseName(dropCauseOf(error)));
        return false;
    }
    setBody(request, std::move(message), held);
    return true;
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
        refuse(call, RefusalReason::requestTimeout, RunOutcome::notRun, yield);
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
