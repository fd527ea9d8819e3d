#pragma once
/// \file
/// Sends one request of a host route to one target and checks that the answer is its own.
/// What the end proves about the request's run decides whether it may be sent again.

#include "coordination/entry/HostRouteCall.h"

namespace kumquat {

enum class ExchangeOutcome {
    completed, ///< the whole answer is in `response`
    notRun, ///< the target says that it did not run the request
    notSent, ///< no byte of the request left this entry
    failed, ///< the connection ended, or what came is no answer to this request
    timedOut, ///< no whole answer in time, or cancelled
};

const char *exchangeOutcomeName(ExchangeOutcome outcome);

/// True when the request was certainly not run.
bool provesNotRun(ExchangeOutcome outcome);

struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::notSent;
    HttpResponse response;
    bool misdirected = false; ///< another target has the address
    bool pooled = false; ///< the connection had served before
    bool silent = false; ///< not one byte came back
    bool reset = false; ///< the peer ended the connection
};

/// One sending; it holds all that it needs, since it may outlast the request it belongs to.
struct ExchangeRequest
{
    Worker &worker;
    const Dialect &dialect;
    TargetPtr target;
    HttpRequest message;
    std::string requestId;
    TimePoint deadline;
    bool idempotent = false;
    AttemptHandle handle; ///< ends the sending by closing its connection
};

/// Sends to the target, whose place the caller holds and gives back.
ExchangeResult runExchange(ExchangeRequest &request, Yield yield);

} // namespace kumquat
