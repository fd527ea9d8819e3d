#include "coordination/consensus/RaftLog.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

std::uint64_t bytesOf(const LogEntry &entry)
{
    return entry.payload.size() + sizeof(LogEntry);
}

} // namespace

std::uint64_t RaftLog::bytesUpTo(std::uint64_t index) const
{
    if (index <= snapshot_->index || entries_.empty()) {
        return removedBytes_;
    }
    return entries_[std::min(index, lastIndex()) - firstIndex()].bytesUpTo;
}

std::uint64_t RaftLog::termAt(std::uint64_t index) const
{
    if (index == snapshot_->index) {
        return snapshot_->term;
    }
    return at(index).term;
}

const LogEntry &RaftLog::at(std::uint64_t index) const
{
    KUMQUAT_ASSERT(index > snapshot_->index && index <= lastIndex(), std::to_string(index));
    return entries_[index - firstIndex()].entry;
}

void RaftLog::put(LogEntry entry)
{
    KUMQUAT_ASSERT(entry.index > snapshot_->index && entry.index <= lastIndex() + 1,
                   std::to_string(entry.index));
    entries_.resize(entry.index - firstIndex());
    totalBytes_ = (entries_.empty() ? removedBytes_ : entries_.back().bytesUpTo) + bytesOf(entry);
    entries_.push_back({ std::move(entry), totalBytes_ });
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t index, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (; index <= lastIndex(); ++index) {
        const LogEntry &entry = at(index);
        bytes += bytesOf(entry);
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

std::uint64_t RaftLog::latestMembersIndex() const
{
    for (std::uint64_t index = lastIndex(); index > snapshot_->index; --index) {
        if (at(index).type == EntryType::membership) {
            return index;
        }
    }
    return snapshot_->index;
}

std::vector<GroupMember> RaftLog::latestMembers() const
{
    const std::uint64_t index = latestMembersIndex();
    if (index == snapshot_->index) {
        return snapshot_->members;
    }
    const auto members = unpack<std::vector<GroupMember>>(at(index).payload);
    KUMQUAT_ASSERT(members.ok(), "a membership entry cannot be unpacked");
    return *members;
}

void RaftLog::installSnapshot(LogSnapshot snapshot)
{
    const bool agrees = contains(snapshot.index) && termAt(snapshot.index) == snapshot.term;
    if (!agrees) {
        entries_.clear();
        removedBytes_ = totalBytes_;
    }
    while (!entries_.empty() && entries_.front().entry.index <= snapshot.index) {
        removedBytes_ = entries_.front().bytesUpTo;
        entries_.pop_front();
    }
    snapshot_ = std::make_shared<const LogSnapshot>(std::move(snapshot));
}

} // namespace kumquat
