#include "coordination/consensus/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

bool isFromLeader(const RaftMessage &message)
{
    return message.type == RaftMessageType::append || message.type == RaftMessageType::snapshot
        || message.type == RaftMessageType::snapshotPart;
}

} // namespace

const char *raftRoleName(RaftRole role)
{
    static const char *const names[] = { "follower", "pre-candidate", "candidate", "leader" };
    return names[static_cast<int>(role)];
}

Raft::Raft(RaftOptions options, GroupMember self, HardState hardState, RaftLog log, TimePoint now)
    : options_(options), self_(std::move(self)), hardState_(hardState), log_(std::move(log)),
      members_(log_.latestMembers()), random_(options_.seed)
{
    commitIndex_ = log_.snapshot().index;
    appliedIndex_ = commitIndex_;
    storedIndex_ = log_.lastIndex();
    electionDeadline_ = randomElectionDeadline(options_.minFirstElectionTimeout,
                                               options_.maxFirstElectionTimeout, now);
}

absl::Status Raft::formGroup(std::uint64_t epoch, TimePoint now)
{
    if (hardState_.epoch != 0) {
        return makeError(ErrorKind::configurationConflict, "this member already belongs to a group",
                         "form a group only once; further members join on their own");
    }
    hardState_.epoch = epoch;
    hardState_.term = 1;
    saveHardState();
    self_.voter = true;
    LogEntry entry;
    entry.index = 1;
    entry.term = 1;
    entry.type = EntryType::membership;
    entry.payload = pack(std::vector<GroupMember> { self_ });
    append(std::move(entry));
    resetElectionTimer(now);
    return absl::OkStatus();
}

// Helpers.

RaftMessage Raft::makeMessage(RaftMessageType type, MemberId to) const
{
    RaftMessage result;
    result.type = type;
    result.epoch = hardState_.epoch;
    result.term = hardState_.term;
    result.from = self_.id;
    result.to = to;
    return result;
}

const GroupMember *Raft::findMember(MemberId id) const
{
    for (const GroupMember &member : members_) {
        if (member.id == id) {
            return &member;
        }
    }
    return nullptr;
}

std::size_t Raft::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [](const GroupMember &member) { return member.voter; }));
}

bool Raft::isMajority(const std::set<MemberId> &ids) const
{
    std::size_t count = 0;
    for (const GroupMember &member : members_) {
        count += member.voter && ids.count(member.id) > 0 ? 1 : 0;
    }
    return count > voterCount() / 2;
}

std::string Raft::leaderAddress() const
{
    const GroupMember *member = findMember(leaderId_);
    return member == nullptr ? "" : member->address;
}

void Raft::saveHardState()
{
    output_.hardState = hardState_;
}

void Raft::setTerm(std::uint64_t term)
{
    if (term != hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor = 0;
        saveHardState();
    }
}

void Raft::resetElectionTimer(TimePoint now)
{
    electionDeadline_
        = randomElectionDeadline(options_.minElectionTimeout, options_.maxElectionTimeout, now);
}

TimePoint Raft::randomElectionDeadline(Milliseconds minTimeout, Milliseconds maxTimeout,
                                       TimePoint now)
{
    const auto spread = static_cast<std::size_t>((maxTimeout - minTimeout).count());
    return now + minTimeout
        + Milliseconds(static_cast<std::int64_t>(randomBelow(random_, spread + 1)));
}

void Raft::append(LogEntry entry)
{
    const bool isMembership = entry.type == EntryType::membership;
    const bool overwrites = entry.index <= log_.lastIndex();
    storedIndex_ = std::min(storedIndex_, entry.index - 1);
    output_.entries.push_back(entry);
    output_.storedIndex = entry.index;
    log_.put(std::move(entry));
    // A membership takes effect when its entry is appended, and ends when the entry is overwritten.
    if (isMembership || overwrites) {
        refreshMembers();
    }
}

void Raft::refreshMembers()
{
    members_ = log_.latestMembers();
    const GroupMember *self = findMember(self_.id);
    self_.voter = self != nullptr && self->voter;
}

void Raft::failPendingReads()
{
    const std::vector<PendingRead> reads = std::move(pendingReads_);
    pendingReads_.clear();
    for (const PendingRead &read : reads) {
        read.done(false);
    }
}

RaftOutput Raft::takeOutput()
{
    return std::exchange(output_, RaftOutput());
}

// Elections and roles.

void Raft::becomeFollower(std::uint64_t term, MemberId leader, TimePoint now)
{
    setTerm(term);
    role_ = RaftRole::follower;
    leaderId_ = leader;
    progress_.clear();
    joiningMembers_.clear();
    resetElectionTimer(now);
    failPendingReads();
}

void Raft::campaign(bool preVote, TimePoint now)
{
    resetElectionTimer(now);
    const GroupMember *self = findMember(self_.id);
    if (self == nullptr || !self->voter) {
        return;
    }
    role_ = preVote ? RaftRole::preCandidate : RaftRole::candidate;
    leaderId_ = 0;
    if (!preVote) {
        setTerm(hardState_.term + 1);
        hardState_.votedFor = self_.id;
        saveHardState();
    }
    votes_.clear();
    votes_.insert(self_.id);
    for (const GroupMember &member : members_) {
        if (!member.voter || member.id == self_.id) {
            continue;
        }
        RaftMessage request
            = makeMessage(preVote ? RaftMessageType::preVote : RaftMessageType::vote, member.id);
        request.term = preVote ? hardState_.term + 1 : hardState_.term;
        request.index = log_.lastIndex();
        request.logTerm = log_.lastTerm();
        output_.messagesAfterStore.push_back(request);
    }
    if (isMajority(votes_)) {
        if (preVote) {
            campaign(false, now);
        } else {
            becomeLeader(now);
        }
    }
}

void Raft::becomeLeader(TimePoint now)
{
    role_ = RaftRole::leader;
    leaderId_ = self_.id;
    progress_.clear();
    for (const GroupMember &member : members_) {
        Progress &progress = progress_[member.id];
        progress.nextIndex = log_.lastIndex() + 1;
        progress.lastContact = now;
        progress.since = now;
    }
    // Entries of earlier terms are committed only together with one of this term, so append one.
    LogEntry entry;
    entry.index = log_.lastIndex() + 1;
    entry.term = hardState_.term;
    termStartIndex_ = entry.index;
    append(std::move(entry));
    broadcast(now);
}

bool Raft::isQuorumActive(TimePoint now) const
{
    if (!isLeader()) {
        return false;
    }
    std::set<MemberId> active { self_.id };
    for (const auto &entry : progress_) {
        if (now - entry.second.lastContact < options_.minElectionTimeout) {
            active.insert(entry.first);
        }
    }
    return isMajority(active);
}

void Raft::tick(TimePoint now)
{
    if (hardState_.epoch == 0) {
        return;
    }
    if (!isLeader()) {
        if (now >= electionDeadline_) {
            campaign(true, now);
            // No leader was heard since the start: the whole group may be starting, so retry soon.
            if (lastLeaderContact_ == TimePoint() && role_ == RaftRole::preCandidate) {
                electionDeadline_ = randomElectionDeadline(options_.minFirstElectionTimeout,
                                                           options_.maxFirstElectionTimeout, now);
            }
        }
        return;
    }
    if (!isQuorumActive(now)) {
        becomeFollower(hardState_.term, 0, now);
        return;
    }
    advanceMembership(now);
    if (now >= nextHeartbeat_) {
        broadcast(now);
    }
}

// Messages.

// A member without a group adopts the epoch of the leader that has added it.
bool Raft::adoptOrCheckEpoch(const RaftMessage &message)
{
    if (hardState_.epoch == 0 && isFromLeader(message)) {
        hardState_.epoch = message.epoch;
        saveHardState();
    }
    return message.epoch == hardState_.epoch;
}

void Raft::receive(const RaftMessage &message, TimePoint now)
{
    if (message.type == RaftMessageType::join) {
        receiveJoin(message, now);
        return;
    }
    if (message.to != self_.id || !adoptOrCheckEpoch(message)) {
        return;
    }
    const bool isPreVote
        = message.type == RaftMessageType::preVote || message.type == RaftMessageType::preVoteReply;
    if (message.term > hardState_.term && !isPreVote) {
        const bool isDisruptive = message.type == RaftMessageType::vote
            && now - lastLeaderContact_ < options_.minElectionTimeout && leaderId_ != 0;
        if (isDisruptive) {
            return;
        }
        becomeFollower(message.term, isFromLeader(message) ? message.from : 0, now);
    }
    switch (message.type) {
    case RaftMessageType::preVote:
    case RaftMessageType::vote:
        receiveVote(message, now);
        break;
    case RaftMessageType::preVoteReply:
    case RaftMessageType::voteReply:
        receiveVoteReply(message, now);
        break;
    case RaftMessageType::append:
        receiveAppend(message, now);
        break;
    case RaftMessageType::appendReply:
        receiveAppendReply(message, now);
        break;
    case RaftMessageType::snapshot:
        receiveSnapshot(message, now);
        break;
    case RaftMessageType::snapshotPart:
        receiveSnapshotPart(message, now);
        break;
    case RaftMessageType::snapshotPartReply:
        receiveSnapshotPartReply(message, now);
        break;
    case RaftMessageType::timeoutNow:
        campaign(false, now);
        break;
    case RaftMessageType::join:
        break;
    }
}

bool Raft::isLogUpToDate(const RaftMessage &message) const
{
    if (message.logTerm != log_.lastTerm()) {
        return message.logTerm > log_.lastTerm();
    }
    return message.index >= log_.lastIndex();
}

void Raft::receiveVote(const RaftMessage &message, TimePoint now)
{
    const bool preVote = message.type == RaftMessageType::preVote;
    RaftMessage reply = makeMessage(
        preVote ? RaftMessageType::preVoteReply : RaftMessageType::voteReply, message.from);
    const bool isLeaderActive = isLeader()
        ? isQuorumActive(now)
        : leaderId_ != 0 && now - lastLeaderContact_ < options_.minElectionTimeout;
    if (preVote) {
        reply.granted = message.term > hardState_.term && isLogUpToDate(message) && !isLeaderActive;
        reply.term = reply.granted ? message.term : hardState_.term;
    } else {
        const bool canVote = hardState_.votedFor == 0 || hardState_.votedFor == message.from;
        reply.granted = message.term == hardState_.term && canVote && isLogUpToDate(message);
        if (reply.granted && hardState_.votedFor == 0) {
            hardState_.votedFor = message.from;
            saveHardState();
            resetElectionTimer(now);
        }
    }
    output_.messagesAfterStore.push_back(reply);
}

void Raft::receiveVoteReply(const RaftMessage &message, TimePoint now)
{
    const bool preVote = message.type == RaftMessageType::preVoteReply;
    if (!message.granted) {
        if (message.term > hardState_.term) {
            becomeFollower(message.term, 0, now);
        }
        return;
    }
    const RaftRole expectedRole = preVote ? RaftRole::preCandidate : RaftRole::candidate;
    const std::uint64_t term = preVote ? hardState_.term + 1 : hardState_.term;
    if (role_ != expectedRole || message.term != term) {
        return;
    }
    votes_.insert(message.from);
    if (!isMajority(votes_)) {
        return;
    }
    if (preVote) {
        campaign(false, now);
    } else {
        becomeLeader(now);
    }
}

void Raft::followLeader(const RaftMessage &message, TimePoint now)
{
    if (role_ != RaftRole::follower || leaderId_ != message.from) {
        becomeFollower(message.term, message.from, now);
    }
    lastLeaderContact_ = now;
    resetElectionTimer(now);
}

void Raft::receiveAppend(const RaftMessage &message, TimePoint now)
{
    RaftMessage reply = makeMessage(RaftMessageType::appendReply, message.from);
    reply.round = message.round;
    if (message.term < hardState_.term) {
        output_.messagesAfterStore.push_back(reply);
        return;
    }
    followLeader(message, now);
    const bool isInSnapshot = message.index < log_.snapshot().index;
    const bool matches = isInSnapshot
        || (log_.contains(message.index) && log_.termAt(message.index) == message.logTerm);
    if (!matches) {
        reply.index = std::min(log_.lastIndex(), message.index - 1);
        output_.messagesAfterStore.push_back(reply);
        return;
    }
    partialSnapshot_.reset();
    for (const LogEntry &entry : message.entries) {
        const bool known = entry.index <= log_.snapshot().index
            || (log_.contains(entry.index) && log_.termAt(entry.index) == entry.term);
        if (!known) {
            append(entry);
        }
    }
    const std::uint64_t lastNewIndex = message.index + message.entries.size();
    commitIndex_ = std::max(commitIndex_, std::min(message.commit, lastNewIndex));
    reply.granted = true;
    reply.index = lastNewIndex;
    output_.messagesAfterStore.push_back(reply);
}

void Raft::receiveAppendReply(const RaftMessage &message, TimePoint now)
{
    const auto found = progress_.find(message.from);
    if (!isLeader() || message.term != hardState_.term || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    progress.lastContact = now;
    // The reply to a heartbeat says nothing about entries that are still on their way; to send them
    // again with each heartbeat would fill a slow link.
    progress.inFlight
        = progress.inFlight && message.granted && message.index < progress.inFlightIndex;
    progress.ackedRound = std::max(progress.ackedRound, message.round);
    if (message.granted) {
        progress.matchIndex = std::max(progress.matchIndex, message.index);
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        if (progress.snapshot && progress.matchIndex >= progress.snapshot->index) {
            progress.snapshot = nullptr;
        }
        advanceCommit(now);
    } else {
        progress.nextIndex
            = std::max<std::uint64_t>(1, std::min(progress.nextIndex - 1, message.index + 1));
    }
    confirmReads(now);
    const GroupMember *member = findMember(message.from);
    if (isLeader() && member != nullptr && !progress.inFlight
        && progress.nextIndex <= log_.lastIndex()) {
        sendAppend(*member, now);
    }
}

} // namespace kumquat
