#pragma once
/// \file
/// Holds in memory the last snapshot of the replicated log and the entries after it.
/// Indexes start at 1; index 0 stands for the empty log.

#include "protocol/RaftMessage.h"

#include <deque>
#include <memory>

namespace kumquat {

class RaftLog
{
public:
    std::uint64_t firstIndex() const { return snapshot_->index + 1; }
    std::uint64_t lastIndex() const { return snapshot_->index + entries_.size(); }
    /// Bytes that the entries after \p index take in memory; of all of them if the snapshot covers
    /// it.
    std::uint64_t bytesAfter(std::uint64_t index) const { return totalBytes_ - bytesUpTo(index); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }

    /// True for the last entry that the snapshot covers and for the entries after it.
    bool contains(std::uint64_t index) const
    {
        return index >= snapshot_->index && index <= lastIndex();
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

    const LogSnapshot &snapshot() const { return *snapshot_; }
    /// Never null; stays as it is when a newer snapshot replaces it here.
    std::shared_ptr<const LogSnapshot> sharedSnapshot() const { return snapshot_; }
    /// Replaces the log up to the snapshot's index; keeps later entries only if the log has an
    /// entry with the snapshot's index and term.
    void installSnapshot(LogSnapshot snapshot);

private:
    /// An entry with the total of the bytes of all entries up to it since the start.
    struct HeldEntry
    {
        LogEntry entry;
        std::uint64_t bytesUpTo = 0;
    };

    std::uint64_t bytesUpTo(std::uint64_t index) const;

    std::shared_ptr<const LogSnapshot> snapshot_ = std::make_shared<LogSnapshot>();
    std::deque<HeldEntry> entries_;
    std::uint64_t removedBytes_ = 0; ///< of entries that the snapshot covers
    std::uint64_t totalBytes_ = 0;
};

} // namespace kumquat
