#pragma once
/// \file
/// Calls the control group on behalf of an entry and keeps track of its leader.
/// Each object belongs to one event loop; several may share the last known leader.

#include "protocol/ConfigurationVersion.h"
#include "protocol/OnceMessages.h"
#include "transport/HttpClient.h"

namespace kumquat {

/// A configuration as the control group sends it.
struct ConfigurationUpdate
{
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    std::vector<std::string> names;
    std::vector<std::string> contents; ///< of the file with the same position in `names`
    MSGPACK_DEFINE(epoch, number, names, contents)
};

/// Asks for a configuration newer than (epoch, number), waiting up to `waitMs` for one.
struct ConfigurationPoll
{
    std::string entry;
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    std::int64_t waitMs = 0;
    MSGPACK_DEFINE(entry, epoch, number, waitMs)
};

class ControlClient
{
public:
    /// \p leaderPosition is the position of the leader in \p members, as last known.
    ControlClient(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
                  std::vector<Address> members,
                  std::shared_ptr<std::atomic<std::size_t>> leaderPosition);

    /// Fails with ErrorKind::unavailable or ErrorKind::timedOut; then the operation may still
    /// take effect.
    absl::StatusOr<OnceReply> once(const OnceRequest &request, TimePoint deadline, Yield yield);

    /// Returns a configuration newer than the poll's, or nothing if none appears within its wait.
    absl::StatusOr<std::optional<ConfigurationUpdate>>
    pollConfiguration(const ConfigurationPoll &poll, Milliseconds timeout, Yield yield);

private:
    absl::StatusOr<HttpResponse> callLeader(const char *path, const std::string &body,
                                            TimePoint deadline, Milliseconds attemptTimeout,
                                            Yield yield);

    asio::io_context &context_;
    HttpClient client_;
    std::vector<Address> members_;
    std::shared_ptr<std::atomic<std::size_t>> leaderPosition_;
};

} // namespace kumquat
