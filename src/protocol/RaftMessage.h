#pragma once
/// \file
/// Defines the entries of the replicated log and the messages that its members exchange.
/// Members are identified by a number that their disk holds: on a new disk a member is a new one.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace kumquat {

using MemberId = std::uint64_t; ///< 0: none

/// A slower link between members counts as broken: what it carries is sent again.
constexpr std::size_t minLinkBytesPerMillisecond = 1024;

struct GroupMember
{
    MemberId id = 0;
    std::string name;
    std::string address;
    bool voter = false; ///< false: a learner, which receives the log but has no vote
    std::string failureDomain;
    MSGPACK_DEFINE(id, name, address, voter, failureDomain)
};

enum class EntryType { noOp, command, membership };

struct LogEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryType type = EntryType::noOp;
    std::string payload; ///< a command, or the packed members
    MSGPACK_DEFINE(index, term, type, payload)
};

/// Raft's persistent state; it must be on disk before a message that relies on it is sent.
struct HardState
{
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    MemberId votedFor = 0;
    MSGPACK_DEFINE(epoch, term, votedFor)
    bool operator==(const HardState &other) const
    {
        return epoch == other.epoch && term == other.term && votedFor == other.votedFor;
    }
};

struct LogSnapshot
{
    std::uint64_t epoch = 0;
    std::uint64_t index = 0; ///< of the last entry it covers
    std::uint64_t term = 0; ///< of that entry
    std::vector<GroupMember> members;
    std::string data;
    MSGPACK_DEFINE(epoch, index, term, members, data)
};

enum class RaftMessageType {
    preVote,
    preVoteReply,
    vote,
    voteReply,
    append,
    appendReply,
    snapshot,
    join,
    timeoutNow,
    snapshotPart, ///< `snapshot` holds a part of its data only
    snapshotPartReply,
};

struct RaftMessage
{
    RaftMessageType type = RaftMessageType::append;
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    MemberId from = 0;
    std::string fromAddress; ///< for members that do not know the sender yet
    MemberId to = 0;
    /// Of the entry before `entries`; in votes, of the sender's last one; in replies, of the last
    /// one held.
    std::uint64_t index = 0;
    std::uint64_t logTerm = 0; ///< of the entry at `index`
    std::uint64_t commit = 0;
    std::uint64_t round = 0; ///< heartbeat round, echoed in replies
    bool granted = false;
    std::vector<LogEntry> entries;
    LogSnapshot snapshot;
    GroupMember joiningMember;
    std::uint64_t offset = 0; ///< of the part in the snapshot's data; in replies, of the next part
    std::uint64_t totalBytes = 0; ///< of the snapshot's data
    MSGPACK_DEFINE(type, epoch, term, from, fromAddress, to, index, logTerm, commit, round, granted,
                   entries, snapshot, joiningMember, offset, totalBytes)
};

/// Bytes of the entries and of the part of a snapshot that \p message carries.
inline std::size_t payloadBytes(const RaftMessage &message)
{
    std::size_t bytes = message.snapshot.data.size();
    for (const LogEntry &entry : message.entries) {
        bytes += entry.payload.size() + sizeof(LogEntry);
    }
    return bytes;
}

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::EntryType);
MSGPACK_ADD_ENUM(kumquat::RaftMessageType);
