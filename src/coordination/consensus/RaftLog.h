#pragma once
/// \file
/// Holds in memory the last snapshot of the replicated log and the entries after it.
/// Indexes start at 1; index 0 stands for the empty log.

#include "protocol/RaftMessage.h"

namespace kumquat {

class RaftLog
{
public:
    std::uint64_t firstIndex() const { return snapshot_.index + 1; }
    std::uint64_t lastIndex() const { return snapshot_.index + entries_.size(); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }

    /// True for the last entry that the snapshot covers and for the entries after it.
    bool contains(std::uint64_t index) const
    {
        return index >= snapshot_.index && index <= lastIndex();
    }
    /// The term of an entry for which contains() is true; 0 for index 0.
    std::uint64_t termAt(std::uint64_t index) const;
    const LogEntry &at(std::uint64_t index) const;

    /// Appends \p entry; if its index exists, replaces that entry and drops all later ones.
    void put(LogEntry entry);

    /// Entries from \p index on, up to \p maxBytes in total but at least one if any exists.
    std::vector<LogEntry> slice(std::uint64_t index, std::size_t maxBytes) const;

    /// The members in the newest membership entry, committed or not, or else in the snapshot.
    std::vector<GroupMember> latestMembers() const;
    std::uint64_t latestMembersIndex() const;

    const LogSnapshot &snapshot() const { return snapshot_; }
    /// Replaces the log up to the snapshot's index; keeps later entries only if the log has an
    /// entry with the snapshot's index and term.
    void installSnapshot(LogSnapshot snapshot);

private:
    LogSnapshot snapshot_;
    std::vector<LogEntry> entries_;
};

} // namespace kumquat
