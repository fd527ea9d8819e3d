#pragma once
/// \file
/// Defines one member of the group that keeps the replicated log (Raft, with pre-vote,
/// check-quorum and one-at-a-time membership change). It is plain logic without disk, network or
/// clock: a driver passes time and messages in, and carries out what output() asks for.

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
    /// After a start: nobody is asked to give up a leader, since others refuse while theirs lives.
    Milliseconds minFirstElectionTimeout { 60 };
    Milliseconds maxFirstElectionTimeout { 360 };
    std::size_t maxAppendBytes = 512 * 1024;
    std::uint64_t seed = 0;
    std::size_t maxVoters = 0; ///< members beyond it stay learners; 0: every member votes
};

/// Work for the driver, in this order: store, then send what waited for it, then apply.
struct RaftOutput
{
    std::vector<RaftMessage> immediateMessages; ///< may leave before anything is stored
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries; ///< to store; an index already stored is overwritten
    std::optional<LogSnapshot> installedSnapshot; ///< replaces the stored log
    std::vector<RaftMessage> messagesAfterStore;
    std::uint64_t storedIndex = 0; ///< to report to stored() when all of this is on disk
    bool mustStore() const { return hardState || !entries.empty() || installedSnapshot; }
};

class Raft
{
public:
    /// A member without a group has an empty log and epoch 0; it neither votes nor campaigns.
    Raft(RaftOptions options, GroupMember self, HardState hardState, RaftLog log, TimePoint now);

    /// Makes this member the only voter of a new group; it must have none.
    absl::Status formGroup(std::uint64_t epoch, TimePoint now);

    void tick(TimePoint now);
    void receive(const RaftMessage &message, TimePoint now);

    /// Appends a command; fails with ErrorKind::notLeader. The index names it until applied.
    absl::StatusOr<std::uint64_t> propose(std::string command, TimePoint now);

    /// Hands out the work that has gathered since the last call.
    RaftOutput takeOutput();

    /// Everything up to \p index of the term \p term is on disk.
    void markStored(std::uint64_t index, std::uint64_t term, TimePoint now);

    /// Entries that are committed and were not handed out before.
    std::vector<LogEntry> takeCommitted();

    /// True once after a snapshot of the leader's took the place of this member's log; the state
    /// is then to be restored from log().snapshot().
    bool takeSnapshotInstalled() { return std::exchange(snapshotInstalled_, false); }

    /// Replaces the log up to \p index by a snapshot with \p data; entries must be applied.
    LogSnapshot compact(std::uint64_t index, std::string data);

    /// Calls \p done(true) once a majority has confirmed, after this call, that this member
    /// still leads; done(false) when it does not.
    void confirmLeadership(std::function<void(bool)> done, TimePoint now);

    /// Asks the most up-to-date follower to take over; for a planned stop.
    void transferLeadership(TimePoint now);

    RaftRole role() const { return role_; }
    bool isLeader() const { return role_ == RaftRole::leader; }
    /// True when a majority answered within the last election timeout.
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
    const HardState &hardState() const { return hardState_; }

private:
    struct Progress
    {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        std::uint64_t ackedRound = 0;
        TimePoint lastContact;
        TimePoint lastSent;
        bool inFlight = false;
    };

    struct PendingRead
    {
        std::uint64_t round;
        std::function<void(bool)> done;
    };

    void setTerm(std::uint64_t term);
    void saveHardState();
    void becomeFollower(std::uint64_t term, MemberId leader, TimePoint now);
    void becomeLeader(TimePoint now);
    void campaign(bool preVote, TimePoint now);
    void resetElectionTimer(TimePoint now);
    TimePoint randomElectionDeadline(Milliseconds minTimeout, Milliseconds maxTimeout, TimePoint now);
    void failPendingReads();

    void receiveVote(const RaftMessage &message, TimePoint now);
    void receiveVoteReply(const RaftMessage &message, TimePoint now);
    void receiveAppend(const RaftMessage &message, TimePoint now);
    void receiveAppendReply(const RaftMessage &message, TimePoint now);
    void receiveSnapshot(const RaftMessage &message, TimePoint now);
    void receiveJoin(const RaftMessage &message, TimePoint now);
    bool adoptOrCheckEpoch(const RaftMessage &message);

    void append(LogEntry entry);
    void refreshMembers();
    void appendMembership(const std::vector<GroupMember> &members, TimePoint now);
    void advanceMembership(TimePoint now);
    bool isMembershipCommitted() const;
    bool addLearner(TimePoint now);
    bool isCaughtUp(MemberId id, TimePoint now) const;
    std::size_t votersIn(const std::string &failureDomain) const;
    const GroupMember *learnerToPromote(TimePoint now) const;
    const GroupMember *unresponsiveMember(bool voter, Milliseconds longerThan, TimePoint now) const;
    void removeMember(MemberId id, TimePoint now);
    void promoteToVoter(MemberId id, TimePoint now);
    void sendAppend(const GroupMember &member, TimePoint now);
    void broadcast(TimePoint now);
    void advanceCommit(TimePoint now);
    void confirmReads(TimePoint now);

    RaftMessage makeMessage(RaftMessageType type, MemberId to) const;
    bool isMajority(const std::set<MemberId> &ids) const;
    std::size_t voterCount() const;
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
    std::uint64_t termStartIndex_ = 0;
    bool snapshotInstalled_ = false;
    RaftOutput output_;
};

} // namespace kumquat
