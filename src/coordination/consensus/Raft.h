#pragma once
/// \file
/// Implements one member of a replicated log by the Raft algorithm, with pre-vote, check-quorum
/// and single-server membership changes. It uses no disk, network or clock itself: a driver passes
/// in time and messages and carries out the work that takeOutput() returns.

#include "common/Random.h"
#include "common/Time.h"
#include "coordination/consensus/RaftLog.h"
#include "kumquat/Error.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace kumquat {

enum class RaftRole { follower, preCandidate, candidate, leader };

const char *raftRoleName(RaftRole role);

struct RaftOptions
{
    Milliseconds heartbeatInterval { 100 };
    Milliseconds minElectionTimeout { 600 };
    Milliseconds maxElectionTimeout { 1'200 };
    /// Limits until a leader has been heard after a start. They can be short, since members that
    /// have an active leader refuse the pre-vote.
    Milliseconds minFirstElectionTimeout { 60 };
    Milliseconds maxFirstElectionTimeout { 360 };
    std::size_t maxAppendBytes = 256 * 1024;
    std::size_t maxSnapshotPartBytes = 256 * 1024;
    /// Commands beyond it are refused until earlier ones are committed; one is always taken.
    std::size_t maxUncommittedBytes = 8 * 1024 * 1024;
    std::uint64_t seed = 0;
    std::size_t maxVoters = 0; ///< further members stay learners; 0: no limit
};

/// Work for the driver: to store the state on disk and then send `messagesAfterStore`.
struct RaftOutput
{
    std::vector<RaftMessage> immediateMessages; ///< may be sent before anything is stored
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries; ///< to store; each replaces the stored entries from its index on
    bool snapshotInstalled = false; ///< the log, as it is now, replaces the stored one
    std::vector<RaftMessage> messagesAfterStore;
    std::uint64_t storedIndex = 0; ///< index of the last entry in `entries`
    bool mustStore() const { return hardState || !entries.empty() || snapshotInstalled; }
};

enum class MembershipStep { added, promoted, removed };

/// A change of the group that this leader has begun, for the log of events.
struct MembershipNote
{
    MembershipStep step = MembershipStep::added;
    GroupMember member;
    std::uint64_t lagEntries = 0; ///< of the member's log behind the leader's
    std::uint64_t lagBytes = 0;
    std::uint64_t sentBytes
        = 0; ///< of entries and snapshots since it was added or this leader's term
    Milliseconds elapsed { 0 }; ///< since then
};

/// Totals since the start of the process.
struct SnapshotCounts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t installed = 0;
};

class Raft
{
public:
    /// A member without a group has an empty log and epoch 0; it neither votes nor campaigns.
    Raft(RaftOptions options, GroupMember self, HardState hardState, RaftLog log, TimePoint now);

    /// Makes this member the only voter of a new group; fails with
    /// ErrorKind::configurationConflict if it already belongs to one.
    absl::Status formGroup(std::uint64_t epoch, TimePoint now);

    void tick(TimePoint now);
    void receive(const RaftMessage &message, TimePoint now);

    /// Appends a command and returns its index; fails with ErrorKind::notLeader, or with
    /// ErrorKind::unavailable while too much waits to be committed. Until it is committed, another
    /// leader's entry may replace it.
    absl::StatusOr<std::uint64_t> propose(std::string command, TimePoint now);

    /// Returns the work that has accumulated since the last call.
    RaftOutput takeOutput();

    /// Reports that the log up to \p index is on disk; \p term is the term of its last entry.
    void markStored(std::uint64_t index, std::uint64_t term, TimePoint now);

    /// Returns the next committed entries, up to \p maxBytes but at least one if there is any, and
    /// counts them as applied.
    std::vector<LogEntry> takeCommitted(std::size_t maxBytes);

    /// Returns true once after a snapshot from the leader has replaced this member's log; the
    /// caller must then restore the state from log().snapshot().
    bool takeSnapshotInstalled() { return std::exchange(snapshotInstalled_, false); }

    /// Replaces the log up to \p index by a snapshot with \p data; it must be applied already.
    void compact(std::uint64_t index, std::string data);

    /// Calls \p done(true) once a majority has confirmed, after this call, that this member
    /// still leads; done(false) if it is not the leader.
    void confirmLeadership(std::function<void(bool)> done, TimePoint now);

    /// Asks another voter that has the whole log to start an election, before a planned stop.
    void transferLeadership(TimePoint now);

    /// Returns the changes of the group that were begun since the last call.
    std::vector<MembershipNote> takeMembershipNotes() { return std::exchange(notes_, {}); }
    const SnapshotCounts &snapshotCounts() const { return snapshotCounts_; }

    RaftRole role() const { return role_; }
    bool isLeader() const { return role_ == RaftRole::leader; }
    /// True when this member leads and a majority answered it within `minElectionTimeout`.
    bool isQuorumActive(TimePoint now) const;
    MemberId leaderId() const { return leaderId_; }
    std::string leaderAddress() const;
    std::uint64_t term() const { return hardState_.term; }
    std::uint64_t epoch() const { return hardState_.epoch; }
    std::uint64_t commitIndex() const { return commitIndex_; }
    std::uint64_t appliedIndex() const { return appliedIndex_; }
    const RaftLog &log() const { return log_; }
    const GroupMember &self() const { return self_; }
    const std::vector<GroupMember> &members() const { return members_; }
    std::size_t voterCount() const;
    const HardState &hardState() const { return hardState_; }

private:
    /// What a leader knows about the log of one member.
    struct Progress
    {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        std::uint64_t ackedRound = 0; ///< latest heartbeat round answered
        TimePoint lastContact;
        TimePoint lastSent;
        TimePoint since; ///< when this leader began to send to it
        std::uint64_t sentBytes = 0; ///< of entries and snapshots
        bool inFlight = false; ///< entries or a part of a snapshot were sent and not answered
        std::uint64_t inFlightIndex = 0; ///< that a reply must have reached to answer it
        std::size_t inFlightBytes = 0;
        std::shared_ptr<const LogSnapshot> snapshot; ///< being sent in parts, or null
        std::uint64_t snapshotOffset = 0; ///< of the next part
    };

    /// A snapshot of which a leader has sent some parts.
    struct PartialSnapshot
    {
        MemberId leader = 0;
        std::uint64_t leaderTerm = 0;
        LogSnapshot received;
    };

    struct PendingRead
    {
        std::uint64_t round; ///< heartbeat round that a majority must answer
        std::function<void(bool)> done;
    };

    void setTerm(std::uint64_t term);
    void saveHardState();
    void becomeFollower(std::uint64_t term, MemberId leader, TimePoint now);
    void becomeLeader(TimePoint now);
    void campaign(bool preVote, TimePoint now);
    void resetElectionTimer(TimePoint now);
    TimePoint randomElectionDeadline(Milliseconds minTimeout, Milliseconds maxTimeout,
                                     TimePoint now);
    void failPendingReads();

    void receiveVote(const RaftMessage &message, TimePoint now);
    void receiveVoteReply(const RaftMessage &message, TimePoint now);
    void receiveAppend(const RaftMessage &message, TimePoint now);
    void receiveAppendReply(const RaftMessage &message, TimePoint now);
    void receiveSnapshot(const RaftMessage &message, TimePoint now);
    void receiveSnapshotPart(const RaftMessage &message, TimePoint now);
    void receiveSnapshotPartReply(const RaftMessage &message, TimePoint now);
    void installSnapshot(LogSnapshot snapshot);
    void replyToSnapshot(const RaftMessage &message);
    void followLeader(const RaftMessage &message, TimePoint now);
    std::uint64_t takePart(const RaftMessage &message);
    void receiveJoin(const RaftMessage &message, TimePoint now);
    bool adoptOrCheckEpoch(const RaftMessage &message);

    void append(LogEntry entry);
    void refreshMembers();
    void appendMembership(const std::vector<GroupMember> &members, TimePoint now);
    void advanceMembership(TimePoint now);
    bool isMembershipCommitted() const;
    bool addLearner(TimePoint now);
    bool isResponsive(MemberId id, TimePoint now) const;
    bool isCaughtUp(MemberId id, TimePoint now) const;
    std::uint64_t lagBytes(std::uint64_t matchIndex) const;
    bool mayBePromoted(const GroupMember &learner, TimePoint now) const;
    const GroupMember *predecessorOf(const GroupMember &learner) const;
    const GroupMember *voterWithLostDisk(TimePoint now) const;
    std::size_t votersIn(const std::string &failureDomain) const;
    const GroupMember *learnerToPromote(TimePoint now) const;
    const GroupMember *unresponsiveMember(bool voter, Milliseconds longerThan, TimePoint now) const;
    void removeMember(MemberId id, TimePoint now);
    void noteMembership(MembershipStep step, const GroupMember &member, TimePoint now);
    void promoteToVoter(MemberId id, TimePoint now);
    void sendAppend(const GroupMember &member, TimePoint now);
    void sendSnapshot(const GroupMember &member, TimePoint now);
    std::size_t inFlightBytes() const;
    void broadcast(TimePoint now);
    void advanceCommit(TimePoint now);
    void confirmReads(TimePoint now);

    RaftMessage makeMessage(RaftMessageType type, MemberId to) const;
    bool isMajority(const std::set<MemberId> &ids) const;
    const GroupMember *findMember(MemberId id) const;
    bool isLogUpToDate(const RaftMessage &message) const;

    const RaftOptions options_;
    GroupMember self_;
    HardState hardState_;
    RaftLog log_;
    std::vector<GroupMember> members_;
    Random random_;

    RaftRole role_ = RaftRole::follower;
    MemberId leaderId_ = 0;
    std::uint64_t commitIndex_ = 0;
    std::uint64_t appliedIndex_ = 0;
    std::uint64_t storedIndex_ = 0;
    TimePoint electionDeadline_;
    TimePoint lastLeaderContact_;
    TimePoint nextHeartbeat_;
    std::set<MemberId> votes_;
    std::map<MemberId, Progress> progress_;
    std::map<MemberId, GroupMember> joiningMembers_;
    std::vector<PendingRead> pendingReads_;
    std::uint64_t heartbeatRound_ = 0;
    std::uint64_t termStartIndex_ = 0; ///< of the first entry of this leader's term
    bool snapshotInstalled_ = false;
    std::optional<PartialSnapshot> partialSnapshot_;
    std::vector<MembershipNote> notes_;
    SnapshotCounts snapshotCounts_;
    RaftOutput output_;
};

} // namespace kumquat
