#pragma once
/// \file
/// Runs one attempt of a request at one target and classifies its outcome.
/// The outcome tells whether the request may have run, which decides whether it may be retried.

#include "common/BodyRoom.h"
#include "coordination/entry/CurrentService.h"
#include "coordination/entry/RoutingTable.h"
#include "coordination/entry/StopNotices.h"
#include "protocol/Dialect.h"
#include "protocol/OnceMessages.h"
#include "protocol/TargetConnectionPool.h"

#include <absl/status/statusor.h>
#include <map>
#include <set>

namespace kumquat {

/// Functions of the rest of the entry that the request path calls.
struct EntryHooks
{
    using Once
        = std::function<absl::StatusOr<OnceReply>(const OnceRequest &, TimePoint deadline, Yield)>;
    Once once; ///< runs an operation on an idempotency key at the control group
    std::function<bool(std::uint64_t fingerprint)> isQuarantined;
    /// False when a request that may last until \p deadline could be cut by a planned stop.
    std::function<bool(TimePoint deadline)> mayStart;
    /// To be called when a target has ended while it ran the request.
    std::function<void(std::uint64_t fingerprint, const std::string &target)> suspectRequest;
    /// To be called when a target has responded to the request.
    std::function<void(std::uint64_t fingerprint)> clearRequest;
    /// To be called when a target has reported its load.
    std::function<void()> loadReported = [] {};
};

struct HostRouteAdmissions;

/// Requests whose connections to one target broke, until a health check shows whether it runs.
struct SuspectChecks
{
    std::set<std::uint64_t> waiting; ///< fingerprints for which the next check decides
    std::set<std::uint64_t> running;
};

/// The state of one worker thread, used by that thread only; the hooks are shared.
struct Worker
{
    /// \p maxBodyBytes bounds the bodies that are held in each direction.
    Worker(asio::io_context &context, const EntryHooks &entryHooks, std::size_t maxBodyBytes,
           std::uint64_t seed)
        : loop(context), pool(context), requestBytes(maxBodyBytes), responseBytes(maxBodyBytes),
          random(seed), hooks(entryHooks)
    {
    }
    asio::io_context &loop;
    TargetConnectionPool pool;
    BodyRoom requestBytes; ///< of all requests' bodies that are held
    BodyRoom responseBytes; ///< of all responses' bodies, until they are written
    Random random;
    const EntryHooks &hooks;
    StopNotices stopNotices; ///< for the requests of this worker
    std::map<std::string, SuspectChecks> suspectChecks; ///< by the target's name
    std::shared_ptr<HostRouteAdmissions> admissions; ///< null: waiting requests are not queued
};

enum class AttemptOutcome {
    completed, ///< the complete response is in `response`
    streaming, ///< `response` holds the first part, the rest follows on `connection`
    shed, ///< the target reported that it did not run the request
    notSent, ///< no byte of the request left this entry
    failed, ///< the connection ended or the response was invalid
    timedOut, ///< no complete response before the deadline, or cancelled
    unprovenShed, ///< as `shed`, but it may be a copy of one that answered an earlier request
};

/// True when the target reported, provably or not, that it did not run the request.
bool isShed(AttemptOutcome outcome);

/// True when the request was certainly not run.
bool provesNotRun(AttemptOutcome outcome);

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::notSent;
    HttpResponse response;
    std::unique_ptr<TargetConnection> connection; ///< set only when `streaming`
    TargetPtr target;
    std::shared_ptr<HeldRoom> held; ///< the room of the response's body, until it is written
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
    /// Bounds how long a target may have been chosen before the request is sent to it.
    Milliseconds connectWithin { 400 };
    Milliseconds maxIdle { 500 }; ///< an idle connection last used longer ago is not reused
    bool requireNewConnection = false; ///< reuse no idle connection
    /// Longer responses are streamed, shorter ones too where there is no room for them.
    std::size_t maxBufferedBytes = 256 * 1024;
    std::uint64_t fingerprint = 0;
};

/// Runs \p request at \p target, which the caller has acquired. Releases the target unless the
/// outcome is `streaming`.
AttemptResult runAttempt(Worker &worker, const ActiveService &service, const TargetPtr &target,
                         const HttpRequest &request, const AttemptOptions &options,
                         AttemptHandle &handle, Yield yield);

/// Reads up to \p limit bytes of a response's body, or what there is room for; without any, the
/// first part. The rest can be streamed.
ErrorCode readBuffered(TargetConnection &connection, std::string &body, std::size_t limit,
                       HeldRoom &held, Yield yield);

/// An idle or a new connection to \p target; null when none can be opened or the target rests.
std::unique_ptr<TargetConnection> connectTo(Worker &worker, const Target &target,
                                            const AttemptOptions &options, AttemptHandle &handle,
                                            Yield yield);

/// Waits until \p deadline for a target that is not in \p tried to have free capacity and acquires
/// it. Refreshes \p service. Returns null on failure and sets \p reason.
TargetPtr waitForTarget(Worker &worker, CurrentService &service,
                        const std::vector<std::string> &tried, TimePoint deadline,
                        RefusalReason &reason, Yield yield);

/// \p header as forwarded to a target: without hop-by-hop headers, the deadline updated.
http::request_header<> forwardedHeader(const http::request_header<> &header, TimePoint deadline);

} // namespace kumquat
