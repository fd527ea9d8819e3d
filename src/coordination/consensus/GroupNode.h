#pragma once
/// \file
/// Drives one member of the control group: runs Raft, stores its log on disk before replying, and
/// applies committed commands to the state. Disk, network and time are hooks, so that tests can run
/// it on a virtual clock.

#include "coordination/consensus/Raft.h"
#include "state/ControlState.h"
#include "state/LogStore.h"

#include <deque>

namespace kumquat {

struct GroupNodeHooks
{
    std::function<void(const std::string &address, const RaftMessage &)> send;

    /// Runs \p work, which writes to the disk, and then calls \p done with its result on the
    /// node's own thread. Each work must run exactly once, in the order of the calls.
    std::function<void(std::function<absl::Status()> work, std::function<void(absl::Status)> done)>
        runDiskWork;

    /// Called after committed entries or a snapshot were applied to the state.
    std::function<void()> stateChanged;
    /// Called when a write failed for another reason than a full disk; the process must then exit,
    /// since the contents of its disk are unknown.
    std::function<void(const absl::Status &)> storeFailed;
    NowFunction now;
    std::function<Milliseconds()> wallNow;
};

struct GroupNodeOptions
{
    std::string name;
    std::string address;
    std::string failureDomain;
    std::vector<std::string> peerAddresses; ///< of all other members
    /// Addresses of the members that bootstrap a new group, in the same order on each of them;
    /// empty unless the whole system starts for the first time.
    std::vector<std::string> initialMembers;
    std::uint64_t seed = 0;
    std::uint64_t snapshotEveryEntries = 20'000;
    /// The log is also compacted when its applied entries take more bytes than the last snapshot,
    /// or than this if the snapshot is smaller.
    std::uint64_t minCompactedBytes = 1024 * 1024;
    std::uint64_t maxOnceRecords = 200'000;
    Milliseconds onceRetention { 86'400'000 };
    RaftOptions raft;
};

class GroupNode
{
public:
    using Done = std::function<void(absl::StatusOr<ControlResult>)>;

    GroupNode(GroupNodeOptions options, Disk disk, GroupNodeHooks hooks);

    /// Loads the state from disk. An initial member with an empty disk bootstraps the group; in all
    /// other cases an empty or damaged disk gets a new random identity, which has to join.
    absl::Status start();

    /// Makes this member the only member of a new group; \p done gets the result once the group is
    /// stored, or at once an error if the member already belongs to a group.
    void formGroup(std::function<void(const absl::Status &)> done);

    /// Must be called every few tens of milliseconds.
    void tick();
    void receive(const RaftMessage &message);

    /// Proposes a command; \p done gets its result once it is committed and applied. An error
    /// other than ErrorKind::notLeader means that it may still take effect.
    void propose(ControlCommand command, Done done);

    /// Calls \p done(true) when this member's applied state includes every change that was accepted
    /// before the call, as a linearizable read needs; done(false) when that cannot be confirmed.
    void confirmRead(std::function<void(bool)> done);

    /// Asks another voter to take over the leadership, before a planned stop.
    void transferLeadership();

    /// Sets the addresses to which requestJoin() sends.
    void setPeers(std::vector<std::string> addresses)
    {
        options_.peerAddresses = std::move(addresses);
    }

    const Raft &raft() const { return *raft_; }
    const ControlState &state() const { return state_; }
    const LogStore &store() const { return store_; }
    bool isVoter() const { return raft_->self().voter; }
    bool isDiskFull() const { return isDiskFull_; }
    std::size_t wantedVoters() const { return options_.raft.maxVoters; }
    /// True when the group has had fewer than wantedVoters() for longer than a replacement takes.
    bool lacksVoters() const { return lacksVoters_; }
    /// Time that start() took to read and restore the stored state.
    Milliseconds loadTime() const { return loadTime_; }

private:
    struct PendingProposal
    {
        std::uint64_t term;
        Done done;
    };

    bool isInitialMember() const;
    absl::Status bootstrap(StoredState &state);
    void processOutput();
    void collectOutput();
    void writePending();
    void onStored(const RaftOutput &output, const absl::Status &status);
    void markStored(std::uint64_t lastIndex, std::uint64_t lastTerm);
    void onDiskFull(const absl::Status &status);
    void replaceStore();
    void onReplaced(std::uint64_t lastIndex, std::uint64_t lastTerm, const absl::Status &status);
    void writeAnew(std::function<void(absl::Status)> done);
    void restoreInstalledSnapshot();
    void applyCommitted();
    void applyEntry(const LogEntry &entry);
    bool isCompactionDue() const;
    void takeSnapshot();
    void expireOnceRecords();
    void requestJoin();
    void sendMessages(std::vector<RaftMessage> messages);
    std::string addressOf(MemberId id) const;
    void logLeaderChange();
    void logMembershipChanges();
    void watchVoterCount();

    GroupNodeOptions options_;
    LogStore store_;
    GroupNodeHooks hooks_;
    ControlState state_;
    std::optional<Raft> raft_;
    std::map<std::uint64_t, PendingProposal> pendingProposals_; ///< by log index
    std::map<MemberId, std::string> senderAddresses_; ///< latest address of each sender
    RaftOutput pendingOutput_;
    bool mustWriteAnew_ = false; ///< a snapshot was taken, to be stored with the next write
    bool isWriting_ = false;
    std::function<void(const absl::Status &)> formed_; ///< set while a new group is being stored
    bool isDiskFull_ = false; ///< nothing is stored or acknowledged until a replacement succeeds
    TimePoint nextReplaceAt_; ///< while the disk is full
    bool isProcessing_ = false;
    bool wasLeader_ = false;
    Milliseconds loadTime_ { 0 };
    bool lacksVoters_ = false;
    TimePoint votersCompleteAt_; ///< when the group last had all voters, or the start
    TimePoint nextJoinAt_;
    TimePoint nextExpiryAt_;
};

} // namespace kumquat
