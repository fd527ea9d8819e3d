// Log replication by the leader, the commit index, reads confirmed by a majority, and leadership
// transfer.
#include "coordination/consensus/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Less than a heartbeat's interval, so that a lost small message is sent again with the next one.
constexpr Milliseconds resendAfter { 60 };

Milliseconds resendDelay(std::size_t bytes)
{
    return resendAfter + Milliseconds(bytes / minLinkBytesPerMillisecond);
}

} // namespace

absl::StatusOr<std::uint64_t> Raft::propose(std::string command, TimePoint now)
{
    if (!isLeader()) {
        return makeError(ErrorKind::notLeader, "this member is not the leader",
                         "send the command to the leader");
    }
    const std::uint64_t waitingBytes = log_.bytesAfter(commitIndex_);
    if (waitingBytes > 0 && waitingBytes + command.size() > options_.maxUncommittedBytes) {
        return makeError(ErrorKind::unavailable, "too many bytes wait to be committed",
                         "send the command again when a majority of the members responds");
    }
    LogEntry entry;
    entry.index = log_.lastIndex() + 1;
    entry.term = hardState_.term;
    entry.type = EntryType::command;
    entry.payload = std::move(command);
    append(std::move(entry));
    for (const GroupMember &member : members_) {
        if (member.id != self_.id && !progress_[member.id].inFlight) {
            sendAppend(member, now);
        }
    }
    return log_.lastIndex();
}

void Raft::sendAppend(const GroupMember &member, TimePoint now)
{
    Progress &progress = progress_[member.id];
    progress.lastSent = now;
    if (progress.nextIndex < log_.firstIndex()) {
        sendSnapshot(member, now);
        return;
    }
    RaftMessage request = makeMessage(RaftMessageType::append, member.id);
    request.index = progress.nextIndex - 1;
    request.logTerm = log_.termAt(request.index);
    request.commit = commitIndex_;
    request.round = heartbeatRound_;
    request.entries = log_.slice(progress.nextIndex, options_.maxAppendBytes);
    progress.inFlight = !request.entries.empty();
    progress.inFlightIndex = request.index + request.entries.size();
    progress.inFlightBytes = payloadBytes(request);
    progress.sentBytes += progress.inFlightBytes;
    // Sent before the leader has stored the entries itself: a commit needs a majority of stored
    // copies, and the leader's own copy counts only once it is stored.
    output_.immediateMessages.push_back(std::move(request));
}

// What is sent to all members leaves over one link.
std::size_t Raft::inFlightBytes() const
{
    std::size_t bytes = 0;
    for (const auto &entry : progress_) {
        bytes += entry.second.inFlight ? entry.second.inFlightBytes : 0;
    }
    return bytes;
}

void Raft::broadcast(TimePoint now)
{
    nextHeartbeat_ = now + options_.heartbeatInterval;
    ++heartbeatRound_;
    const Milliseconds resendAfterAll = resendDelay(inFlightBytes());
    for (const GroupMember &member : members_) {
        if (member.id == self_.id) {
            continue;
        }
        Progress &progress = progress_[member.id];
        if (progress.inFlight && now - progress.lastSent < resendAfterAll) {
            RaftMessage heartbeat = makeMessage(RaftMessageType::append, member.id);
            heartbeat.index = progress.matchIndex;
            if (!log_.contains(heartbeat.index)) {
                continue;
            }
            heartbeat.logTerm = log_.termAt(heartbeat.index);
            heartbeat.commit = std::min(commitIndex_, progress.matchIndex);
            heartbeat.round = heartbeatRound_;
            output_.immediateMessages.push_back(std::move(heartbeat));
        } else {
            sendAppend(member, now);
        }
    }
}

void Raft::markStored(std::uint64_t index, std::uint64_t term, TimePoint now)
{
    // The stored entry may have been replaced in memory since the write began.
    if (index > storedIndex_ && log_.contains(index) && log_.termAt(index) == term) {
        storedIndex_ = index;
    }
    if (isLeader()) {
        advanceCommit(now);
    }
}

void Raft::advanceCommit(TimePoint)
{
    std::vector<std::uint64_t> matches;
    for (const GroupMember &member : members_) {
        if (member.voter) {
            matches.push_back(member.id == self_.id ? storedIndex_
                                                    : progress_[member.id].matchIndex);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[matches.size() / 2];
    // Entries of earlier terms are committed only together with one of this term.
    if (index > commitIndex_ && log_.termAt(index) == hardState_.term) {
        commitIndex_ = index;
        const GroupMember *self = findMember(self_.id);
        if (self == nullptr && commitIndex_ >= log_.latestMembersIndex()) {
            role_ = RaftRole::follower;
            leaderId_ = 0;
            failPendingReads();
        }
    }
}

std::vector<LogEntry> Raft::takeCommitted(std::size_t maxBytes)
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    while (appliedIndex_ < commitIndex_ && bytes < maxBytes) {
        ++appliedIndex_;
        result.push_back(log_.at(appliedIndex_));
        bytes += result.back().payload.size();
    }
    return result;
}

// Reads.

void Raft::confirmLeadership(std::function<void(bool)> done, TimePoint now)
{
    if (!isLeader()) {
        done(false);
        return;
    }
    broadcast(now);
    pendingReads_.push_back({ heartbeatRound_, std::move(done) });
    confirmReads(now);
}

void Raft::confirmReads(TimePoint)
{
    if (!isLeader() || commitIndex_ < termStartIndex_) {
        return;
    }
    std::vector<PendingRead> confirmed;
    for (auto read = pendingReads_.begin(); read != pendingReads_.end();) {
        std::set<MemberId> ids { self_.id };
        for (const auto &entry : progress_) {
            if (entry.second.ackedRound >= read->round) {
                ids.insert(entry.first);
            }
        }
        if (isMajority(ids)) {
            confirmed.push_back(std::move(*read));
            read = pendingReads_.erase(read);
        } else {
            ++read;
        }
    }
    for (const PendingRead &read : confirmed) {
        read.done(true);
    }
}

void Raft::transferLeadership(TimePoint)
{
    if (!isLeader()) {
        return;
    }
    MemberId best = 0;
    std::uint64_t bestMatch = 0;
    for (const GroupMember &member : members_) {
        const std::uint64_t match = progress_[member.id].matchIndex;
        if (member.voter && member.id != self_.id && match >= bestMatch) {
            best = member.id;
            bestMatch = match;
        }
    }
    if (best != 0 && bestMatch == log_.lastIndex()) {
        output_.immediateMessages.push_back(makeMessage(RaftMessageType::timeoutNow, best));
    }
}

} // namespace kumquat
