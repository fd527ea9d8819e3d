#pragma once
/// \file
/// Holds the part of the replicated log that is in memory: what follows the last snapshot.
/// Indexes start at 1; entry 0 stands for the empty log.

#include "protocol/RaftMessage.h"

namespace kumquat {

class RaftLog
{
public:
    std::uint64_t firstIndex() const { return snapshot_.index + 1; }
    std::uint64_t lastIndex() const { return snapshot_.index + entries_.size(); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }

    bool contains(std::uint64_t index) const
    {
        return index >= snapshot_.index && index <= lastIndex();
    }
    /// The term of an entry that holds() names; 0 for index 0.
    std::uint64_t termAt(std::uint64_t index) const;
    const LogEntry &at(std::uint64_t index) const;

    /// Appends an entry; one at an index already held replaces it and drops what follows.
    void put(LogEntry entry);

    /// Up to \p maxBytes of entries from \p index on, at least one if there is one.
    std::vector<LogEntry> slice(std::uint64_t index, std::size_t maxBytes) const;

    /// The members named by the newest entry that names them, or by the snapshot.
    std::vector<GroupMember> latestMembers() const;
    std::uint64_t latestMembersIndex() const;

    const LogSnapshot &snapshot() const { return snapshot_; }
    /// Replaces everything up to the snapshot's index; keeps later entries that agree with it.
    void installSnapshot(LogSnapshot snapshot);

private:
    LogSnapshot snapshot_;
    std::vector<LogEntry> entries_;
};

} // namespace kumquat
