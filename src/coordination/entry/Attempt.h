#pragma once
/// \file
/// Runs one attempt of a request at one target and classifies how it ended.
/// What an attempt proves about the request's run decides whether it may be retried.

#include "coordination/entry/RoutingTable.h"
#include "protocol/Dialect.h"
#include "protocol/OnceMessages.h"
#include "protocol/TargetPool.h"

#include <absl/status/statusor.h>

namespace kumquat {

/// What the request path needs of the rest of the entry.
struct EntryHooks
{
    using Once
        = std::function<absl::StatusOr<OnceReply>(const OnceRequest &, TimePoint deadline, Yield)>;
    Once once;
    std::function<bool(std::uint64_t fingerprint)> isQuarantined;
    /// A target's connection ended while it ran the request.
    std::function<void(std::uint64_t fingerprint, const std::string &target)> suspectRequest;
    std::function<void(std::uint64_t fingerprint)> clearRequest;
};

/// What one worker thread owns.
struct Worker
{
    Worker(asio::io_context &context, const EntryHooks &entryHooks, std::uint64_t seed)
        : loop(context), pool(context), random(seed), hooks(entryHooks)
    {
    }
    asio::io_context &loop;
    TargetPool pool;
    Random random;
    const EntryHooks &hooks;
};

enum class AttemptOutcome {
    completed, ///< the whole answer is in `response`
    streaming, ///< the answer's first part is in `response`, the rest comes on `connection`
    shed, ///< the target says that it did not run the request
    notSent, ///< no byte of the request left this entry
    failed, ///< the connection ended or the answer made no sense
    timedOut, ///< no whole answer in time, or cancelled
};

/// True when the request was certainly not run.
bool provesNotRun(AttemptOutcome outcome);

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::notSent;
    HttpResponse response;
    std::unique_ptr<TargetConnection> connection;
    TargetPtr target;
};

/// Cancels a running attempt by closing its connection.
struct AttemptHandle
{
    TargetConnection *connection = nullptr;
    bool cancelled = false;
    void cancel();
};

struct AttemptOptions
{
    TimePoint deadline;
    Milliseconds maxIdle { 500 }; ///< an idle connection older than this is not used
    bool requireNewConnection = false; ///< open a new connection
    std::size_t maxBufferedBytes = 256 * 1024; ///< answers up to this are held whole
    std::uint64_t fingerprint = 0;
};

/// Runs \p request at \p target, whose place is held by the caller and given back here unless
/// the result is `streaming`.
AttemptResult runAttempt(Worker &worker, const ActiveService &service, const TargetPtr &target,
                         const HttpRequest &request, const AttemptOptions &options,
                         AttemptHandle &handle, Yield yield);

/// A connection to \p target, idle or new; null when none can be opened.
std::unique_ptr<TargetConnection> connectTo(Worker &worker, const Target &target,
                                            const AttemptOptions &options, AttemptHandle &handle,
                                            Yield yield);

/// Waits for a place at a target until \p deadline; on failure null and \p reason says why.
TargetPtr waitForTarget(Worker &worker, const ActiveService &service,
                        const std::vector<std::string> &tried, TimePoint deadline,
                        RefusalReason &reason, Yield yield);

/// The request as a target gets it: the connection's own headers gone, the deadline renewed.
http::request_header<> forwardedHeader(const http::request_header<> &header, TimePoint deadline);

} // namespace kumquat
