// How a worker reads the requests of host routes and starts to serve them.
#include "common/UnwoundStack.h"
#include "coordination/entry/CallerIdentity.h"
#include "coordination/entry/CallerRequest.h"
#include "coordination/entry/EntryQuota.h"
#include "coordination/entry/EntryWorker.h"
#include "coordination/entry/HostRouteAdmission.h"
#include "kumquat/Event.h"
#include "protocol/Headers.h"
#include "transport/Spawn.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace kumquat {

namespace {

/// Between two checks whether the bodies of other requests have made room.
constexpr Milliseconds roomCheckInterval { 10 };
/// A body waits for room for at most its latency objective divided by this, so that a refusal
/// leaves the caller time to retry.
constexpr int roomWaitDivisor = 4;
/// The same for the decision on the quota.
constexpr int quotaWaitDivisor = 4;

} // namespace

/// Returns the token of a request that reached no target, also when its handler throws.
class EntryWorker::UnusedTokenReturn
{
public:
    UnusedTokenReturn(EntryWorker &worker, const HostRouteRequest &request)
        : worker_(worker), request_(request)
    {
    }
    ~UnusedTokenReturn()
    {
        // Without memory for the message the token is lost.
        contain([this] { worker_.returnUnusedToken(request_); });
    }
    UnusedTokenReturn(const UnusedTokenReturn &) = delete;
    UnusedTokenReturn &operator=(const UnusedTokenReturn &) = delete;

private:
    EntryWorker &worker_;
    const HostRouteRequest &request_;
};

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
    const HeaderNames &names = core_.dialect->headers;
    const CallerIdentity identity
        = identifyCaller(caller.header(), names, *routing, route->configuration);
    if (!identity.isAccepted) {
        return false;
    }
    const auto request = std::make_shared<HostRouteRequest>(
        hostRouteRequest(caller.header(), *routing, route, identity.organisation, start));
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
        if (!core_.stop.mayStart(request.deadline)) {
            refuseHostRoute(request, RefusalReason::stopping, yield);
            return;
        }
        if (refuseIfOverQuota(request, yield)) {
            return;
        }
        const UnusedTokenReturn tokenReturn(*this, request);
        if (!refuseIfQuarantined(request, yield)) {
            serveHostRouteRequest(request, yield);
        }
        return;
    } catch (const std::exception &exception) {
        forgetUnwoundFrames();
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
    const CallerIdentity identity
        = identifyCaller(caller.header(), core_.dialect->headers, *routing, route->configuration);
    if (!identity.isAccepted) {
        refuseBeforeRouting(caller, RefusalReason::unknownKey, yield);
        return;
    }
    HostRouteRequest request
        = hostRouteRequest(caller.header(), *routing, route, identity.organisation, start);
    request.caller = caller.channel();
    if (!core_.stop.mayStart(request.deadline)) {
        refuseHostRoute(request, RefusalReason::stopping, yield);
        return;
    }
    if (refuseIfOverQuota(request, yield)) {
        return;
    }
    const UnusedTokenReturn tokenReturn(*this, request);
    if (readHostRouteBody(caller, request, yield) && !refuseIfQuarantined(request, yield)) {
        serveHostRouteRequest(request, yield);
    }
}

bool EntryWorker::refuseIfOverQuota(HostRouteRequest &request, Yield yield)
{
    if (!request.organisation || core_.quota == nullptr) {
        return false;
    }
    const TimePoint now = Clock::now();
    const TimePoint until = std::min(
        request.arrival + request.route->configuration.latencyObjective / quotaWaitDivisor,
        request.deadline);
    const Milliseconds limit
        = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(until - now));
    const QuotaDecision decision = core_.quota->admit(*request.organisation, limit, loop_, yield);
    if (decision.granted) {
        return false;
    }
    const RefusalReason reason
        = decision.isUndecided ? RefusalReason::quotaUndecided : RefusalReason::overQuota;
    ++request.service->runtime->counters.refused[static_cast<std::size_t>(reason)];
    logEvent(Event::requestRefused, LogLevel::info,
             "request={} route={} service={} version={} reason={} run=no sendings=0 "
             "organisation={} granted={} asked={} share={} owner={} answerMs={} retryMs={}",
             request.requestId, request.route->configuration.name,
             request.service->configuration.name, request.version.number, refusalReasonName(reason),
             request.organisation->name, decision.inputs.granted, decision.inputs.asked,
             decision.ofShare ? "yes" : "no", decision.inputs.owner,
             decision.inputs.answerAge.count(), decision.retryAfter.count());
    HttpResponse response = refusal(reason, RunOutcome::notRun);
    response.set(http::field::retry_after, formatSeconds(decision.retryAfter));
    request.caller.write(std::move(response), yield);
    return true;
}

// The quota counts the requests that reach targets.
void EntryWorker::returnUnusedToken(const HostRouteRequest &request)
{
    const bool hasToken = request.organisation && request.organisation->requestsPerSecond > 0;
    if (hasToken && !request.reachedTarget && core_.quota != nullptr) {
        core_.quota->giveBack(request.organisation->name);
    }
}

// The request as far as its header says; counts it. A route is resolved only with the table that it
// was found in: another thread may have published a table with other services since.
HostRouteRequest EntryWorker::hostRouteRequest(const http::request_header<> &header,
                                               const RoutingTable &routing,
                                               const ActiveRoutePtr &route,
                                               const OrganisationPtr &organisation, TimePoint start)
{
    const HeaderNames &names = core_.dialect->headers;
    if (worker_.admissions) {
        worker_.admissions->removeUnused(routing);
    }
    HostRouteRequest request { {},
                               worker_,
                               *core_.dialect,
                               route,
                               currentService(routing.nextService(*route)),
                               routing.version,
                               start,
                               {},
                               HttpRequest(header),
                               std::string(header[names.requestId]),
                               0,
                               organisation };
    removeHopByHop(request.request.header, endToEndHeaders(names));
    setOrganisation(request.request.header, names, organisation);
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

void EntryWorker::refuseHostRoute(HostRouteRequest &request, RefusalReason reason, Yield yield,
                                  const std::string &inputs)
{
    ++request.service->runtime->counters.refused[static_cast<std::size_t>(reason)];
    logEvent(Event::requestRefused, LogLevel::info,
             "request={} route={} service={} version={} reason={} run=no sendings=0{}",
             request.requestId, request.route->configuration.name,
             request.service->configuration.name, request.version.number, refusalReasonName(reason),
             inputs);
    request.caller.write(refusal(reason, RunOutcome::notRun), yield);
}

bool EntryWorker::refuseIfQuarantined(HostRouteRequest &request, Yield yield)
{
    request.fingerprint
        = fingerprintOf(request.request.header, *request.request.body,
                        request.organisation ? request.organisation->name : std::string());
    if (!core_.quarantine.isQuarantined(request.fingerprint, Clock::now())) {
        return false;
    }
    refuseHostRoute(request, RefusalReason::quarantined, yield,
                    fmt::format(" fingerprint={:x}", request.fingerprint));
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
        const bool mayStart = core_.stop.mayStart(request.deadline);
        refuseHostRoute(request, mayStart ? RefusalReason::requestTimeout : RefusalReason::stopping,
                        yield);
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

} // namespace kumquat
