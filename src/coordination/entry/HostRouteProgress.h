#pragma once
/// \file
/// Defines the state of one request of a host route while it is served.
/// The modules that search for targets, run attempts, hedge and respond share it.

#include "coordination/entry/HostRouteExchange.h"

namespace kumquat {

/// With less time than this before the deadline, no attempt is started.
constexpr Milliseconds minTimeLeft { 5 };

/// An attempt at one target, with its result once it has ended.
struct TrackedAttempt
{
    ExchangeRequest request;
    TimePoint startTime;
    double slowdown = 1; ///< expected when the attempt started
    bool ended = false;
    bool handled = false; ///< its result was taken by the request
    ExchangeResult result;
};

/// The attempts of one request. Shared, because a cancelled attempt ends after the request does.
struct AttemptGroup
{
    explicit AttemptGroup(asio::io_context &loop) : signal(loop) { }
    Timer signal; ///< cancelled when an attempt ends or the caller disconnects
    std::vector<std::shared_ptr<TrackedAttempt>> attempts;
    std::optional<DropCause> disconnected; ///< why the caller can get no response any more
    bool isStopOver = false; ///< a planned stop leaves only time for a response
};

struct HostRouteProgress
{
    explicit HostRouteProgress(HostRouteRequest &hostRouteRequest)
        : request(hostRouteRequest), route(hostRouteRequest.route->configuration),
          runtime(*hostRouteRequest.service->runtime),
          group(std::make_shared<AttemptGroup>(hostRouteRequest.worker.loop))
    {
    }

    bool isIdempotent() const { return route.kind == RequestKind::idempotent; }

    /// False when a planned stop could cut an attempt; it may begin at any time.
    bool mayStart() const { return request.worker.hooks.mayStart(request.deadline); }

    /// The name of the last attempt's target.
    std::string lastTarget() const { return tried.empty() ? "none" : tried.back(); }

    /// Waits until \p until, or until an attempt ends or the caller disconnects.
    void waitUntil(TimePoint until, Yield yield);

    HostRouteRequest &request;
    const HostRoute &route;
    ServiceRuntime &runtime;
    const std::shared_ptr<AttemptGroup> group;
    std::vector<std::string> tried; ///< names of targets
    RefusalReason refusalReason = RefusalReason::retriesExhausted;
    std::string refusalInputs; ///< for the log event of a refusal while it waited
    TimePoint nextHedgeCheck = TimePoint::max();
    TimePoint lateHedge = TimePoint::max(); ///< when an attempt that has not ended is late
    double expectedSlowdown = 1; ///< at the target acquired last
    int attemptsStarted = 0;
    int possibleRuns = 0; ///< attempts that may have run the request
    bool responded = false;
};

} // namespace kumquat
