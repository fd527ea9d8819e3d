#pragma once
/// \file
/// Combines the replicated state machines of the control group: the configuration, the records of
/// `once` requests and the evacuations.
/// Commands are packed messages, so that the log does not depend on their types.

#include "state/Evacuations.h"
#include "state/OnceRecords.h"
#include "state/ReplicatedConfiguration.h"

#include <absl/status/statusor.h>

namespace kumquat {

/// Stored in logs: new types are appended. A member of an earlier version applies an unknown type
/// as no change, so its state then lacks the command's effect.
enum class CommandType { change, once, expire, document, evacuation };

/// A whole configuration, validated before it is proposed.
struct DocumentWrite
{
    std::uint64_t version = 0;
    std::string text;
    MSGPACK_DEFINE(version, text)
};

struct ControlCommand
{
    CommandType type = CommandType::change;
    /// The leader's wall time; for `expire`, records claimed earlier are removed.
    std::int64_t wallTimeMs = 0;
    std::uint64_t capacity = 0; ///< the most records of `once` requests, from the leader's settings
    ConfigurationChange change;
    OnceRequest once;
    DocumentWrite document;
    EvacuationOrder evacuation;
    MSGPACK_DEFINE(type, wallTimeMs, capacity, change, once, document, evacuation)
};

/// The command's type decides which member is set; `expire` sets none.
struct ControlResult
{
    ChangeResult change;
    OnceReply once;
    EvacuationResult evacuation;
};

class ControlState
{
public:
    /// Applies a packed ControlCommand; the result is the same on every member.
    ControlResult apply(const std::string &command);

    const ReplicatedConfiguration &configuration() const { return configuration_; }
    const OnceRecords &once() const { return once_; }
    const Evacuations &evacuations() const { return evacuations_; }

    /// The state for a snapshot; restore() reads it.
    std::string save() const;
    /// Replaces the state; empty \p data resets it. Fails with ErrorKind::badMessage.
    absl::Status restore(const std::string &data);

private:
    ReplicatedConfiguration configuration_;
    OnceRecords once_;
    Evacuations evacuations_;
};

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::CommandType);
