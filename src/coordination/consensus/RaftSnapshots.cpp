// Compaction of the log, and snapshots for members that need entries it no longer holds. A large
// snapshot is sent in parts, so that no message takes longer than its timeout, and goes on where it
// was after a part is lost.
#include "coordination/consensus/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

/// An older snapshot is not held longer for a member that does not respond.
constexpr Milliseconds forgetTransferAfter { 2'000 };

LogSnapshot withoutData(const LogSnapshot &snapshot)
{
    LogSnapshot result;
    result.epoch = snapshot.epoch;
    result.index = snapshot.index;
    result.term = snapshot.term;
    result.members = snapshot.members;
    return result;
}

} // namespace

void Raft::compact(std::uint64_t index, std::string data)
{
    KUMQUAT_ASSERT(index <= appliedIndex_ && index >= log_.snapshot().index, std::to_string(index));
    LogSnapshot snapshot = withoutData(log_.snapshot());
    snapshot.epoch = hardState_.epoch;
    snapshot.index = index;
    snapshot.term = log_.termAt(index);
    snapshot.data = std::move(data);
    for (std::uint64_t i = log_.firstIndex(); i <= index; ++i) {
        if (log_.at(i).type == EntryType::membership) {
            snapshot.members = *unpack<std::vector<GroupMember>>(log_.at(i).payload);
        }
    }
    log_.installSnapshot(std::move(snapshot));
}

// The leader's side. A snapshot that is being sent stays the same until the member has it, also
// when the leader compacts its log meanwhile. One that fits into a part is sent as a whole, which
// members of earlier versions take as well.
void Raft::sendSnapshot(const GroupMember &member, TimePoint now)
{
    Progress &progress = progress_[member.id];
    const bool isSilent = now - progress.lastContact > forgetTransferAfter;
    if (!progress.snapshot || progress.snapshotOffset == 0 || isSilent) {
        snapshotCounts_.sent += progress.snapshot == log_.sharedSnapshot() ? 0 : 1;
        progress.snapshot = log_.sharedSnapshot();
        progress.snapshotOffset = 0;
    }
    const LogSnapshot &snapshot = *progress.snapshot;
    const bool fits = snapshot.data.size() <= options_.maxSnapshotPartBytes;
    RaftMessage request
        = makeMessage(fits ? RaftMessageType::snapshot : RaftMessageType::snapshotPart, member.id);
    request.round = heartbeatRound_;
    request.snapshot = withoutData(snapshot);
    request.offset = progress.snapshotOffset;
    request.totalBytes = snapshot.data.size();
    request.snapshot.data
        = snapshot.data.substr(progress.snapshotOffset, options_.maxSnapshotPartBytes);
    progress.inFlight = true;
    progress.inFlightIndex = snapshot.index;
    progress.inFlightBytes = payloadBytes(request);
    progress.sentBytes += progress.inFlightBytes;
    snapshotCounts_.sentBytes += progress.inFlightBytes;
    output_.immediateMessages.push_back(std::move(request));
}

void Raft::receiveSnapshotPartReply(const RaftMessage &message, TimePoint now)
{
    const auto found = progress_.find(message.from);
    if (!isLeader() || message.term != hardState_.term || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    progress.lastContact = now;
    progress.ackedRound = std::max(progress.ackedRound, message.round);
    confirmReads(now);
    const GroupMember *member = findMember(message.from);
    const bool isCurrent = progress.snapshot && progress.snapshot->index == message.index
        && message.offset <= progress.snapshot->data.size();
    // A reply that asks for the part in flight is a copy of an earlier one.
    if (!isLeader() || member == nullptr || !isCurrent
        || (progress.inFlight && message.offset == progress.snapshotOffset)) {
        return;
    }
    progress.snapshotOffset = message.offset;
    if (progress.nextIndex < log_.firstIndex()) {
        sendAppend(*member, now);
    }
}

// The other members' side.

void Raft::installSnapshot(LogSnapshot snapshot)
{
    partialSnapshot_.reset();
    commitIndex_ = snapshot.index;
    log_.installSnapshot(std::move(snapshot));
    refreshMembers();
    appliedIndex_ = commitIndex_;
    storedIndex_ = commitIndex_;
    snapshotInstalled_ = true;
    ++snapshotCounts_.installed;
    output_.entries = log_.slice(log_.firstIndex(), SIZE_MAX);
    output_.snapshotInstalled = true;
    output_.storedIndex = log_.lastIndex();
}

void Raft::replyToSnapshot(const RaftMessage &message)
{
    RaftMessage reply = makeMessage(RaftMessageType::appendReply, message.from);
    reply.round = message.round;
    reply.granted = true;
    reply.index = commitIndex_;
    output_.messagesAfterStore.push_back(std::move(reply));
}

void Raft::receiveSnapshot(const RaftMessage &message, TimePoint now)
{
    if (message.term < hardState_.term) {
        return;
    }
    followLeader(message, now);
    if (message.snapshot.index > commitIndex_) {
        installSnapshot(message.snapshot);
    }
    replyToSnapshot(message);
}

// Returns the offset of the next part that is needed. Snapshots of different leaders are not mixed,
// since members of different versions may write the same state in different ways.
std::uint64_t Raft::takePart(const RaftMessage &message)
{
    const LogSnapshot &part = message.snapshot;
    const bool continues = partialSnapshot_ && partialSnapshot_->leader == message.from
        && partialSnapshot_->leaderTerm == message.term
        && partialSnapshot_->received.index == part.index;
    if (!continues) {
        partialSnapshot_ = PartialSnapshot { message.from, message.term, withoutData(part) };
    }
    std::string &data = partialSnapshot_->received.data;
    if (message.offset == data.size()) {
        data += part.data;
    }
    return data.size();
}

void Raft::receiveSnapshotPart(const RaftMessage &message, TimePoint now)
{
    if (message.term < hardState_.term) {
        return;
    }
    followLeader(message, now);
    if (message.snapshot.index <= commitIndex_) {
        replyToSnapshot(message);
        return;
    }
    const std::uint64_t received = takePart(message);
    if (received >= message.totalBytes) {
        installSnapshot(std::move(partialSnapshot_->received));
        replyToSnapshot(message);
        return;
    }
    RaftMessage reply = makeMessage(RaftMessageType::snapshotPartReply, message.from);
    reply.round = message.round;
    reply.index = message.snapshot.index;
    reply.offset = received;
    output_.messagesAfterStore.push_back(std::move(reply));
}

} // namespace kumquat
