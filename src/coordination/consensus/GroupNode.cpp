#include "coordination/consensus/GroupNode.h"

#include "kumquat/Error.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquat {

namespace {

constexpr Milliseconds joinInterval { 300 };
constexpr Milliseconds onceExpiryInterval { 60'000 };
/// Longer than a group takes to form or to replace a voter.
constexpr Milliseconds maxReplacementTime { 10'000 };
/// Of the entries that are applied before the log may be compacted again.
constexpr std::size_t maxAppliedBytes = 1024 * 1024;

MemberId randomMemberId(Random &random)
{
    MemberId identity = 0;
    while (identity == 0) {
        identity = random();
    }
    return identity;
}

// Derived from the address, so that the initial members know one another before any contact. A
// lost disk gets a random identity instead, so that an initial member cannot vote twice.
MemberId initialMemberId(const std::string &address)
{
    return std::max<MemberId>(1, XXH64(address.data(), address.size(), 0));
}

void mergeOutput(RaftOutput &pending, RaftOutput output)
{
    if (output.hardState) {
        pending.hardState = output.hardState;
    }
    if (output.snapshotInstalled) {
        pending.snapshotInstalled = true;
        pending.entries.clear();
    }
    for (LogEntry &entry : output.entries) {
        pending.entries.push_back(std::move(entry));
    }
    for (RaftMessage &message : output.messagesAfterStore) {
        pending.messagesAfterStore.push_back(std::move(message));
    }
}

} // namespace

GroupNode::GroupNode(GroupNodeOptions options, Disk disk, GroupNodeHooks hooks)
    : options_(std::move(options)), store_(std::move(disk)), hooks_(std::move(hooks))
{
}

absl::Status GroupNode::start()
{
    const TimePoint begin = hooks_.now();
    auto loaded = store_.load();
    if (!loaded.ok()) {
        return loaded.status();
    }
    Random random(options_.seed);
    if (loaded->damaged) {
        logEvent(Event::logDamaged, LogLevel::error,
                 "member={} the stored log is damaged; joining under a new identity",
                 options_.name);
    }
    if (loaded->identity == 0 && !loaded->damaged && isInitialMember()) {
        const absl::Status bootstrapped = bootstrap(*loaded);
        if (!bootstrapped.ok()) {
            return bootstrapped;
        }
    }
    if (loaded->identity == 0) {
        *loaded = StoredState();
        loaded->identity = randomMemberId(random);
        const absl::Status created = store_.create(loaded->identity);
        if (!created.ok()) {
            return created;
        }
    }
    if (!loaded->snapshot.data.empty()) {
        const absl::Status restored = state_.restore(loaded->snapshot.data);
        if (!restored.ok()) {
            return restored;
        }
    }
    RaftLog log;
    log.installSnapshot(std::move(loaded->snapshot));
    for (LogEntry &entry : loaded->entries) {
        log.put(std::move(entry));
    }
    GroupMember self { loaded->identity, options_.name, options_.address, false,
                       options_.failureDomain };
    for (const GroupMember &member : log.latestMembers()) {
        self.voter = self.voter || (member.id == self.id && member.voter);
    }
    RaftOptions raftOptions = options_.raft;
    raftOptions.seed = random();
    raft_.emplace(raftOptions, self, loaded->hardState, std::move(log), hooks_.now());
    isDiskFull_ = store_.mustReplace();
    votersCompleteAt_ = hooks_.now();
    loadTime_ = std::chrono::duration_cast<Milliseconds>(hooks_.now() - begin);
    logEvent(Event::logLoaded, LogLevel::info,
             "member={} bytes={} snapshotIndex={} lastIndex={} ms={}", options_.name,
             store_.loadedBytes(), raft_->log().snapshot().index, raft_->log().lastIndex(),
             loadTime_.count());
    return absl::OkStatus();
}

bool GroupNode::isInitialMember() const
{
    return std::find(options_.initialMembers.begin(), options_.initialMembers.end(),
                     options_.address)
        != options_.initialMembers.end();
}

// Each initial member stores the same membership independently, so that none waits for another;
// the group works as soon as a majority of them runs. The settings may ask for a first start again
// after a kill. The disk is then empty only if the identity was never stored, so this member has
// neither voted nor acknowledged anything: a disk that is lost later comes with settings that
// don't.
absl::Status GroupNode::bootstrap(StoredState &state)
{
    state.identity = initialMemberId(options_.address);
    state.hardState = { 1, 1, 0 };
    state.snapshot.epoch = 1;
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    for (const std::string &address : options_.initialMembers) {
        state.snapshot.members.push_back({ initialMemberId(address), address, address, true, "" });
    }
    absl::Status status = store_.create(state.identity, state.snapshot, state.hardState);
    if (status.ok()) {
        logEvent(Event::groupFormed, LogLevel::info, "member={} founders={}", options_.name,
                 options_.initialMembers.size());
    }
    return status;
}

void GroupNode::formGroup(std::function<void(const absl::Status &)> done)
{
    const auto epoch = static_cast<std::uint64_t>(hooks_.wallNow().count());
    const absl::Status status = raft_->formGroup(epoch, hooks_.now());
    if (!status.ok()) {
        done(status);
        return;
    }
    formed_ = [epoch, done = std::move(done)](const absl::Status &stored) {
        logEvent(Event::groupFormed, LogLevel::info, "epoch={}", epoch);
        done(stored);
    };
    processOutput();
}

void GroupNode::tick()
{
    raft_->tick(hooks_.now());
    requestJoin();
    expireOnceRecords();
    processOutput();
    watchVoterCount();
}

void GroupNode::receive(const RaftMessage &message)
{
    if (!message.fromAddress.empty()) {
        senderAddresses_[message.from] = message.fromAddress;
    }
    // A join request may reach any member; a follower forwards it once to the leader it knows.
    const bool isForLeader = message.type == RaftMessageType::join && !raft_->isLeader();
    const std::string leader = raft_->leaderAddress();
    if (isForLeader && !leader.empty() && message.to == 0) {
        RaftMessage forwarded = message;
        forwarded.to = raft_->leaderId();
        hooks_.send(leader, forwarded);
        return;
    }
    raft_->receive(message, hooks_.now());
    processOutput();
}

void GroupNode::propose(ControlCommand command, Done done)
{
    command.wallTimeMs = hooks_.wallNow().count();
    command.capacity = options_.maxOnceRecords;
    const auto index = raft_->propose(pack(command), hooks_.now());
    if (!index.ok()) {
        done(index.status());
        return;
    }
    pendingProposals_[*index] = { raft_->term(), std::move(done) };
    processOutput();
}

void GroupNode::confirmRead(std::function<void(bool)> done)
{
    raft_->confirmLeadership(
        [this, done = std::move(done)](bool isLeader) {
            // processOutput() applies committed entries after each step, so the two indexes differ
            // only if entries were committed in this very step; the read is then refused.
            done(isLeader && raft_->appliedIndex() == raft_->commitIndex());
        },
        hooks_.now());
    processOutput();
}

void GroupNode::transferLeadership()
{
    raft_->transferLeadership(hooks_.now());
    processOutput();
}

// A member that is not a voter keeps requesting to join under its own identity. So does a voter
// without a leader, since it may have been replaced while it was down or unreachable; a leader for
// which it is still a voter ignores the request.
void GroupNode::requestJoin()
{
    const TimePoint now = hooks_.now();
    const bool isActiveVoter = raft_->self().voter && raft_->leaderId() != 0;
    if (isActiveVoter || now < nextJoinAt_) {
        return;
    }
    nextJoinAt_ = now + joinInterval;
    RaftMessage message;
    message.type = RaftMessageType::join;
    message.from = raft_->self().id;
    message.joiningMember = raft_->self();
    for (const std::string &address : options_.peerAddresses) {
        hooks_.send(address, message);
    }
}

void GroupNode::expireOnceRecords()
{
    const TimePoint now = hooks_.now();
    if (!raft_->isLeader() || now < nextExpiryAt_ || state_.once().size() == 0) {
        return;
    }
    nextExpiryAt_ = now + onceExpiryInterval;
    ControlCommand command;
    command.type = CommandType::expire;
    command.wallTimeMs = (hooks_.wallNow() - options_.onceRetention).count();
    (void)raft_->propose(pack(command), now);
}

// A member that has just joined must reply to a leader that is not in its own log yet, so the
// addresses of senders are looked up as well.
std::string GroupNode::addressOf(MemberId id) const
{
    for (const GroupMember &member : raft_->members()) {
        if (member.id == id) {
            return member.address;
        }
    }
    const auto sender = senderAddresses_.find(id);
    return sender == senderAddresses_.end() ? "" : sender->second;
}

void GroupNode::sendMessages(std::vector<RaftMessage> messages)
{
    for (RaftMessage &message : messages) {
        const std::string address = addressOf(message.to);
        message.fromAddress = options_.address;
        if (!address.empty()) {
            hooks_.send(address, message);
        }
    }
}

void GroupNode::logLeaderChange()
{
    if (raft_->isLeader() != wasLeader_) {
        wasLeader_ = raft_->isLeader();
        logEvent(wasLeader_ ? Event::leaderElected : Event::leaderLost, LogLevel::info,
                 "member={} term={}", options_.name, raft_->term());
    }
}

void GroupNode::logMembershipChanges()
{
    for (const MembershipNote &note : raft_->takeMembershipNotes()) {
        const Event event = note.step == MembershipStep::added ? Event::memberAdded
            : note.step == MembershipStep::promoted            ? Event::memberPromoted
                                                               : Event::memberRemoved;
        logEvent(event, LogLevel::info,
                 "peer={} id={} voter={} lagEntries={} lagBytes={} sentBytes={} ms={}",
                 note.member.name, note.member.id, note.member.voter, note.lagEntries,
                 note.lagBytes, note.sentBytes, note.elapsed.count());
    }
}

// A process is not told how many members a deployment has, so too few of them show only here: the
// group works, but bears fewer losses than it must.
void GroupNode::watchVoterCount()
{
    const TimePoint now = hooks_.now();
    const std::size_t voters = raft_->voterCount();
    if (raft_->epoch() == 0 || voters >= wantedVoters()) {
        votersCompleteAt_ = now;
    }
    const bool lacksVoters = now - votersCompleteAt_ > maxReplacementTime;
    if (lacksVoters == lacksVoters_) {
        return;
    }
    lacksVoters_ = lacksVoters;
    logEvent(lacksVoters ? Event::votersMissing : Event::votersComplete,
             lacksVoters ? LogLevel::warning : LogLevel::info, "member={} voters={} wanted={}",
             options_.name, voters, wantedVoters());
}

void GroupNode::collectOutput()
{
    RaftOutput output = raft_->takeOutput();
    std::vector<RaftMessage> immediateMessages = std::move(output.immediateMessages);
    mergeOutput(pendingOutput_, std::move(output));
    sendMessages(std::move(immediateMessages));
}

// Only one disk write runs at a time; output that accumulates meanwhile is stored together by the
// next one (group commit).
void GroupNode::processOutput()
{
    if (isProcessing_) {
        return;
    }
    isProcessing_ = true;
    collectOutput();
    applyCommitted();
    collectOutput();
    logLeaderChange();
    logMembershipChanges();
    if (!isWriting_ && isDiskFull_) {
        replaceStore();
    } else if (!isWriting_) {
        writePending();
    }
    isProcessing_ = false;
}

void GroupNode::restoreInstalledSnapshot()
{
    if (!raft_->takeSnapshotInstalled()) {
        return;
    }
    const LogSnapshot &snapshot = raft_->log().snapshot();
    const absl::Status restored = state_.restore(snapshot.data);
    KUMQUAT_ASSERT(restored.ok(), std::string(restored.message()));
    logEvent(Event::snapshotInstalled, LogLevel::info, "member={} index={} bytes={}", options_.name,
             snapshot.index, snapshot.data.size());
    hooks_.stateChanged();
}

// In small steps, and compacted after each: a log that a version without a bound on its bytes has
// left may hold a large part of the memory.
void GroupNode::applyCommitted()
{
    restoreInstalledSnapshot();
    bool applied = false;
    while (raft_->appliedIndex() < raft_->commitIndex()) {
        for (const LogEntry &entry : raft_->takeCommitted(maxAppliedBytes)) {
            applyEntry(entry);
        }
        if (isCompactionDue()) {
            takeSnapshot();
        }
        applied = true;
    }
    if (applied) {
        hooks_.stateChanged();
    }
}

void GroupNode::applyEntry(const LogEntry &entry)
{
    absl::StatusOr<ControlResult> result = ControlResult();
    if (entry.type == EntryType::command) {
        result = state_.apply(entry.payload);
    }
    const auto pending = pendingProposals_.find(entry.index);
    if (pending == pendingProposals_.end()) {
        return;
    }
    const PendingProposal proposal = std::move(pending->second);
    pendingProposals_.erase(pending);
    if (proposal.term != entry.term) {
        result = makeError(ErrorKind::unavailable, "another leader's entry replaced the command",
                           "send it again with the same ID");
    }
    proposal.done(std::move(result));
}

// The file of the log may be larger than the log in memory: it also holds replaced entries and hard
// states.
bool GroupNode::isCompactionDue() const
{
    const RaftLog &log = raft_->log();
    const std::uint64_t applied = raft_->appliedIndex();
    const std::uint64_t maxBytes
        = std::max<std::uint64_t>(options_.minCompactedBytes, log.snapshot().data.size());
    const std::uint64_t appliedBytes = log.bytesAfter(0) - log.bytesAfter(applied);
    const bool isFileLarge
        = !isWriting_ && !mustWriteAnew_ && store_.logBytes() >= 2 * maxBytes && appliedBytes > 0;
    return appliedBytes >= maxBytes || isFileLarge
        || applied - log.snapshot().index >= options_.snapshotEveryEntries;
}

// All of the log in memory is written with the snapshot, so pending output need not hold its
// entries.
void GroupNode::takeSnapshot()
{
    raft_->compact(raft_->appliedIndex(), state_.save());
    mustWriteAnew_ = true;
    for (LogEntry &entry : pendingOutput_.entries) {
        entry.payload = std::string();
    }
    logEvent(Event::snapshotTaken, LogLevel::info, "member={} index={} bytes={}", options_.name,
             raft_->log().snapshot().index, raft_->log().snapshot().data.size());
}

} // namespace kumquat
