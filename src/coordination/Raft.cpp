#include "coordination/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr Milliseconds resendAfter { 300 };

} // namespace

const char *raftRoleName(RaftRole role)
{
    static const char *const names[] = { "follower", "pre-candidate", "candidate", "leader" };
    return names[static_cast<int>(role)];
}

Raft::Raft(RaftOptions options, GroupMember self, HardState hardState, RaftLog log, TimePoint now)
    : options_(options), self_(std::move(self)), hard_(hardState), log_(std::move(log)),
      members_(log_.latestMembers()), random_(options_.seed)
{
    commit_ = log_.snapshot().index;
    applied_ = commit_;
    stored_ = log_.lastIndex();
    resetElectionTimer(now);
}

absl::Status Raft::form(std::uint64_t epoch, TimePoint now)
{
    if (hard_.epoch != 0) {
        return makeError(ErrorKind::configurationConflict, "this member is in a group already",
                         "form a group only once; later members join by themselves");
    }
    hard_.epoch = epoch;
    hard_.term = 1;
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

// Small helpers.

RaftMessage Raft::message(RaftMessageType type, MemberId to) const
{
    RaftMessage result;
    result.type = type;
    result.epoch = hard_.epoch;
    result.term = hard_.term;
    result.from = self_.id;
    result.to = to;
    return result;
}

const GroupMember *Raft::find(MemberId id) const
{
    for (const GroupMember &member : members_) {
        if (member.id == id) {
            return &member;
        }
    }
    return nullptr;
}

std::size_t Raft::voters() const
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
    return count > voters() / 2;
}

std::string Raft::leaderAddress() const
{
    const GroupMember *member = find(leader_);
    return member == nullptr ? "" : member->address;
}

void Raft::saveHardState()
{
    output_.hardState = hard_;
}

void Raft::setTerm(std::uint64_t term)
{
    if (term != hard_.term) {
        hard_.term = term;
        hard_.votedFor = 0;
        saveHardState();
    }
}

void Raft::resetElectionTimer(TimePoint now)
{
    const auto spread
        = static_cast<std::size_t>((options_.electionHigh - options_.electionLow).count());
    electionAt_ = now + options_.electionLow
        + Milliseconds(static_cast<std::int64_t>(randomBelow(random_, spread + 1)));
}

void Raft::append(LogEntry entry)
{
    const bool isMembership = entry.type == EntryType::membership;
    const bool overwrites = entry.index <= log_.lastIndex();
    stored_ = std::min(stored_, entry.index - 1);
    output_.entries.push_back(entry);
    output_.storedIndex = entry.index;
    log_.put(std::move(entry));
    // A membership is in force as soon as it is in the log, and no longer when it is cut off.
    if (isMembership || overwrites) {
        refreshMembers();
    }
}

void Raft::refreshMembers()
{
    members_ = log_.latestMembers();
    const GroupMember *self = find(self_.id);
    self_.voter = self != nullptr && self->voter;
}

void Raft::failReads()
{
    const std::vector<PendingRead> reads = std::move(reads_);
    reads_.clear();
    for (const PendingRead &read : reads) {
        read.done(false);
    }
}

RaftOutput Raft::output()
{
    return std::exchange(output_, RaftOutput());
}

// Roles.

void Raft::becomeFollower(std::uint64_t term, MemberId leader, TimePoint now)
{
    setTerm(term);
    role_ = RaftRole::follower;
    leader_ = leader;
    progress_.clear();
    joining_.clear();
    resetElectionTimer(now);
    failReads();
}

void Raft::campaign(bool preVote, TimePoint now)
{
    resetElectionTimer(now);
    const GroupMember *self = find(self_.id);
    if (self == nullptr || !self->voter) {
        return;
    }
    role_ = preVote ? RaftRole::preCandidate : RaftRole::candidate;
    leader_ = 0;
    if (!preVote) {
        setTerm(hard_.term + 1);
        hard_.votedFor = self_.id;
        saveHardState();
    }
    votes_.clear();
    votes_.insert(self_.id);
    for (const GroupMember &member : members_) {
        if (!member.voter || member.id == self_.id) {
            continue;
        }
        RaftMessage request
            = message(preVote ? RaftMessageType::preVote : RaftMessageType::vote, member.id);
        request.term = preVote ? hard_.term + 1 : hard_.term;
        request.index = log_.lastIndex();
        request.logTerm = log_.lastTerm();
        output_.afterStore.push_back(request);
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
    leader_ = self_.id;
    progress_.clear();
    for (const GroupMember &member : members_) {
        Progress &progress = progress_[member.id];
        progress.next = log_.lastIndex() + 1;
        progress.heardAt = now;
    }
    // An entry of its own term is what lets a leader know which older entries are committed.
    LogEntry entry;
    entry.index = log_.lastIndex() + 1;
    entry.term = hard_.term;
    leaderFirstIndex_ = entry.index;
    append(std::move(entry));
    broadcast(now);
}

bool Raft::holdsLease(TimePoint now) const
{
    if (!leads()) {
        return false;
    }
    std::set<MemberId> recent { self_.id };
    for (const auto &entry : progress_) {
        if (now - entry.second.heardAt < options_.electionLow) {
            recent.insert(entry.first);
        }
    }
    return isMajority(recent);
}

void Raft::tick(TimePoint now)
{
    if (hard_.epoch == 0) {
        return;
    }
    if (!leads()) {
        if (now >= electionAt_) {
            campaign(true, now);
        }
        return;
    }
    if (!holdsLease(now)) {
        becomeFollower(hard_.term, 0, now);
        return;
    }
    advanceMembership(now);
    if (now >= heartbeatAt_) {
        broadcast(now);
    }
}

// Messages.

// A member without a group takes the epoch of the leader that has admitted its identity.
bool Raft::acceptsEpoch(const RaftMessage &message)
{
    if (hard_.epoch == 0
        && (message.type == RaftMessageType::append || message.type == RaftMessageType::snapshot)) {
        hard_.epoch = message.epoch;
        saveHardState();
    }
    return message.epoch == hard_.epoch;
}

void Raft::receive(const RaftMessage &message, TimePoint now)
{
    if (message.type == RaftMessageType::join) {
        receiveJoin(message, now);
        return;
    }
    if (message.to != self_.id || !acceptsEpoch(message)) {
        return;
    }
    const bool isPreVote
        = message.type == RaftMessageType::preVote || message.type == RaftMessageType::preVoteReply;
    if (message.term > hard_.term && !isPreVote) {
        const bool fromLeader
            = message.type == RaftMessageType::append || message.type == RaftMessageType::snapshot;
        const bool disturbs = message.type == RaftMessageType::vote
            && now - leaderHeardAt_ < options_.electionLow && leader_ != 0;
        if (disturbs) {
            return;
        }
        becomeFollower(message.term, fromLeader ? message.from : 0, now);
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
    case RaftMessageType::campaignNow:
        campaign(false, now);
        break;
    case RaftMessageType::join:
        break;
    }
}

bool Raft::upToDate(const RaftMessage &message) const
{
    if (message.logTerm != log_.lastTerm()) {
        return message.logTerm > log_.lastTerm();
    }
    return message.index >= log_.lastIndex();
}

void Raft::receiveVote(const RaftMessage &message, TimePoint now)
{
    const bool preVote = message.type == RaftMessageType::preVote;
    RaftMessage reply = this->message(
        preVote ? RaftMessageType::preVoteReply : RaftMessageType::voteReply, message.from);
    const bool leaderAlive
        = leads() ? holdsLease(now) : leader_ != 0 && now - leaderHeardAt_ < options_.electionLow;
    if (preVote) {
        reply.granted = message.term > hard_.term && upToDate(message) && !leaderAlive;
        reply.term = reply.granted ? message.term : hard_.term;
    } else {
        const bool free = hard_.votedFor == 0 || hard_.votedFor == message.from;
        reply.granted = message.term == hard_.term && free && upToDate(message);
        if (reply.granted && hard_.votedFor == 0) {
            hard_.votedFor = message.from;
            saveHardState();
            resetElectionTimer(now);
        }
    }
    output_.afterStore.push_back(reply);
}

void Raft::receiveVoteReply(const RaftMessage &message, TimePoint now)
{
    const bool preVote = message.type == RaftMessageType::preVoteReply;
    if (!message.granted) {
        if (message.term > hard_.term) {
            becomeFollower(message.term, 0, now);
        }
        return;
    }
    const RaftRole awaited = preVote ? RaftRole::preCandidate : RaftRole::candidate;
    const std::uint64_t term = preVote ? hard_.term + 1 : hard_.term;
    if (role_ != awaited || message.term != term) {
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

void Raft::receiveAppend(const RaftMessage &message, TimePoint now)
{
    RaftMessage reply = this->message(RaftMessageType::appendReply, message.from);
    reply.round = message.round;
    if (message.term < hard_.term) {
        output_.afterStore.push_back(reply);
        return;
    }
    if (role_ != RaftRole::follower || leader_ != message.from) {
        becomeFollower(message.term, message.from, now);
    }
    leaderHeardAt_ = now;
    resetElectionTimer(now);
    const bool covered = message.index < log_.snapshot().index;
    const bool matches
        = covered || (log_.holds(message.index) && log_.termAt(message.index) == message.logTerm);
    if (!matches) {
        reply.index = std::min(log_.lastIndex(), message.index - 1);
        output_.afterStore.push_back(reply);
        return;
    }
    for (const LogEntry &entry : message.entries) {
        const bool known = entry.index <= log_.snapshot().index
            || (log_.holds(entry.index) && log_.termAt(entry.index) == entry.term);
        if (!known) {
            append(entry);
        }
    }
    const std::uint64_t last = message.index + message.entries.size();
    commit_ = std::max(commit_, std::min(message.commit, last));
    reply.granted = true;
    reply.index = last;
    output_.afterStore.push_back(reply);
}

void Raft::receiveAppendReply(const RaftMessage &message, TimePoint now)
{
    const auto found = progress_.find(message.from);
    if (!leads() || message.term != hard_.term || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    progress.heardAt = now;
    progress.inFlight = false;
    progress.round = std::max(progress.round, message.round);
    if (message.granted) {
        progress.match = std::max(progress.match, message.index);
        progress.next = std::max(progress.next, progress.match + 1);
        advanceCommit(now);
    } else {
        progress.next = std::max<std::uint64_t>(1, std::min(progress.next - 1, message.index + 1));
    }
    confirmReads(now);
    const GroupMember *member = find(message.from);
    if (leads() && member != nullptr && progress.next <= log_.lastIndex()) {
        sendAppend(*member, now);
    }
}

void Raft::receiveSnapshot(const RaftMessage &message, TimePoint now)
{
    if (message.term < hard_.term) {
        return;
    }
    if (role_ != RaftRole::follower || leader_ != message.from) {
        becomeFollower(message.term, message.from, now);
    }
    leaderHeardAt_ = now;
    resetElectionTimer(now);
    RaftMessage reply = this->message(RaftMessageType::appendReply, message.from);
    reply.round = message.round;
    reply.granted = true;
    reply.index = std::max(commit_, message.snapshot.index);
    if (message.snapshot.index > commit_) {
        log_.install(message.snapshot);
        refreshMembers();
        commit_ = message.snapshot.index;
        applied_ = commit_;
        stored_ = commit_;
        output_.entries = log_.slice(log_.firstIndex(), SIZE_MAX);
        installed_ = true;
        output_.installed = message.snapshot;
        output_.storedIndex = log_.lastIndex();
    }
    output_.afterStore.push_back(reply);
}

// Replication.

absl::StatusOr<std::uint64_t> Raft::propose(std::string command, TimePoint now)
{
    if (!leads()) {
        return makeError(ErrorKind::notLeader, "this member does not lead",
                         "send it to the leader");
    }
    LogEntry entry;
    entry.index = log_.lastIndex() + 1;
    entry.term = hard_.term;
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
    progress.sentAt = now;
    if (progress.next < log_.firstIndex()) {
        RaftMessage install = message(RaftMessageType::snapshot, member.id);
        install.snapshot = log_.snapshot();
        install.round = round_;
        progress.inFlight = true;
        output_.atOnce.push_back(std::move(install));
        return;
    }
    RaftMessage request = message(RaftMessageType::append, member.id);
    request.index = progress.next - 1;
    request.logTerm = log_.termAt(request.index);
    request.commit = commit_;
    request.round = round_;
    request.entries = log_.slice(progress.next, options_.maxAppendBytes);
    progress.inFlight = !request.entries.empty();
    // The entries may be on a follower's disk before they are on the leader's: what counts is
    // that a majority has them, and the leader's own copy counts only once it is stored.
    output_.atOnce.push_back(std::move(request));
}

void Raft::broadcast(TimePoint now)
{
    heartbeatAt_ = now + options_.heartbeat;
    ++round_;
    for (const GroupMember &member : members_) {
        if (member.id == self_.id) {
            continue;
        }
        Progress &progress = progress_[member.id];
        if (progress.inFlight && now - progress.sentAt < resendAfter) {
            RaftMessage heartbeat = message(RaftMessageType::append, member.id);
            heartbeat.index = progress.match;
            if (!log_.holds(heartbeat.index)) {
                continue;
            }
            heartbeat.logTerm = log_.termAt(heartbeat.index);
            heartbeat.commit = std::min(commit_, progress.match);
            heartbeat.round = round_;
            output_.atOnce.push_back(std::move(heartbeat));
        } else {
            sendAppend(member, now);
        }
    }
}

void Raft::stored(std::uint64_t index, std::uint64_t term, TimePoint now)
{
    // What was stored may have been overwritten in memory since.
    if (index > stored_ && log_.holds(index) && log_.termAt(index) == term) {
        stored_ = index;
    }
    if (leads()) {
        advanceCommit(now);
    }
}

void Raft::advanceCommit(TimePoint)
{
    std::vector<std::uint64_t> matches;
    for (const GroupMember &member : members_) {
        if (member.voter) {
            matches.push_back(member.id == self_.id ? stored_ : progress_[member.id].match);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[matches.size() / 2];
    // Entries of older terms are committed only along with one of this term.
    if (index > commit_ && log_.termAt(index) == hard_.term) {
        commit_ = index;
        const GroupMember *self = find(self_.id);
        if (self == nullptr && commit_ >= log_.latestMembersIndex()) {
            role_ = RaftRole::follower;
            leader_ = 0;
            failReads();
        }
    }
}

std::vector<LogEntry> Raft::takeCommitted()
{
    std::vector<LogEntry> result;
    while (applied_ < commit_) {
        ++applied_;
        result.push_back(log_.at(applied_));
    }
    return result;
}

LogSnapshot Raft::compact(std::uint64_t index, std::string data)
{
    KUMQUAT_ASSERT(index <= applied_ && index >= log_.snapshot().index, std::to_string(index));
    LogSnapshot snapshot;
    snapshot.epoch = hard_.epoch;
    snapshot.index = index;
    snapshot.term = log_.termAt(index);
    snapshot.data = std::move(data);
    snapshot.members = log_.snapshot().members;
    for (std::uint64_t i = log_.firstIndex(); i <= index; ++i) {
        if (log_.at(i).type == EntryType::membership) {
            snapshot.members = *unpack<std::vector<GroupMember>>(log_.at(i).payload);
        }
    }
    log_.install(snapshot);
    return snapshot;
}

// Reads.

void Raft::confirmLeadership(std::function<void(bool)> done, TimePoint now)
{
    if (!leads()) {
        done(false);
        return;
    }
    broadcast(now);
    reads_.push_back({ round_, std::move(done) });
    confirmReads(now);
}

void Raft::confirmReads(TimePoint)
{
    if (!leads() || commit_ < leaderFirstIndex_) {
        return;
    }
    std::vector<PendingRead> confirmed;
    for (auto read = reads_.begin(); read != reads_.end();) {
        std::set<MemberId> ids { self_.id };
        for (const auto &entry : progress_) {
            if (entry.second.round >= read->round) {
                ids.insert(entry.first);
            }
        }
        if (isMajority(ids)) {
            confirmed.push_back(std::move(*read));
            read = reads_.erase(read);
        } else {
            ++read;
        }
    }
    for (const PendingRead &read : confirmed) {
        read.done(true);
    }
}

void Raft::handOver(TimePoint)
{
    if (!leads()) {
        return;
    }
    MemberId best = 0;
    std::uint64_t bestMatch = 0;
    for (const GroupMember &member : members_) {
        const std::uint64_t match = progress_[member.id].match;
        if (member.voter && member.id != self_.id && match >= bestMatch) {
            best = member.id;
            bestMatch = match;
        }
    }
    if (best != 0 && bestMatch == log_.lastIndex()) {
        output_.atOnce.push_back(message(RaftMessageType::campaignNow, best));
    }
}

} // namespace kumquat
