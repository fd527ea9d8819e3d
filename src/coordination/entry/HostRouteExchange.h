#pragma once
/// \file
/// Sends one request of a host route to one target and checks that the response matches it.
/// The outcome decides whether the request may be retried.

#include "coordination/entry/HostRouteCall.h"

namespace kumquat {

enum class ExchangeOutcome {
    completed, ///< the complete response is in `response`
    notRun, ///< the target reported that it did not run the request
    notSent, ///< no byte of the request left this entry
    failed, ///< the connection ended, or the response does not match the request
    timedOut, ///< no complete response before the deadline, no room for it, or cancelled
};

/// The name of \p outcome in log events.
const char *exchangeOutcomeName(ExchangeOutcome outcome);

/// True when the request was certainly not run.
bool provesNotRun(ExchangeOutcome outcome);

struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::notSent;
    HttpResponse response;
    std::shared_ptr<HeldRoom> held; ///< the room of the response's body, until it is written
    bool misdirected = false; ///< the target refused because another one was meant (421)
    bool pooled = false; ///< the connection came from the pool
    bool silent = false; ///< no byte was received
    bool reset = false; ///< the connection was closed or reset while the response was due
};

/// One exchange with a target. It may outlive the caller's request, and shares its body.
struct ExchangeRequest
{
    Worker &worker;
    const Dialect &dialect;
    TargetPtr target;
    SharedRequest message;
    std::string requestId;
    TimePoint deadline;
    bool idempotent = false;
    AttemptHandle handle; ///< cancels the exchange by closing its connection
};

/// Sends the request and reads the response. The caller has acquired the target and releases it.
ExchangeResult runExchange(ExchangeRequest &request, Yield yield);

} // namespace kumquat
