#pragma once
/// \file
/// Joins the states that the replicated log carries: configuration and once-records.
/// Commands and results are packed messages, so that the log need not know them.

#include "state/ReplicatedConfiguration.h"
#include "state/OnceRecords.h"

#include <absl/status/statusor.h>

namespace kumquat {

enum class CommandType { change, once, expire, document };

/// A whole configuration that was checked before it was proposed.
struct DocumentWrite
{
    std::uint64_t version = 0;
    std::string text;
    MSGPACK_DEFINE(version, text)
};

struct ControlCommand
{
    CommandType type = CommandType::change;
    std::int64_t wallTimeMs = 0; ///< the leader's wall time when it took the command
    std::uint64_t capacity = 0; ///< of once-records, as that leader's settings have it
    ConfigurationChange change;
    OnceRequest once;
    DocumentWrite document;
    MSGPACK_DEFINE(type, wallTimeMs, capacity, change, once, document)
};

/// One of the two is set, by the type of the command.
struct ControlResult
{
    ChangeResult change;
    OnceReply once;
};

class ControlState
{
public:
    /// Applies a packed ControlCommand; every member gives the same result.
    ControlResult apply(const std::string &command);

    const ReplicatedConfiguration &configuration() const { return configuration_; }
    const OnceRecords &once() const { return once_; }

    std::string save() const;
    /// Fails with ErrorKind::badMessage.
    absl::Status restore(const std::string &data);

private:
    ReplicatedConfiguration configuration_;
    OnceRecords once_;
};

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::CommandType);
