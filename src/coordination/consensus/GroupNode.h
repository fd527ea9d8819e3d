#pragma once
/// \file
/// Drives one member of the control group: log, disk and state in the order that safety needs.
/// Disk, network and time come through hooks, so that tests run it on a virtual clock.

#include "coordination/consensus/Raft.h"
#include "state/ControlState.h"
#include "state/LogStore.h"

#include <deque>

namespace kumquat {

struct GroupNodeHooks
{
    std::function<void(const std::string &address, const RaftMessage &)> send;

    /// Runs \p work, which writes to the disk, and then calls \p done with its result on the
    /// node's own thread. Work is never run twice or out of order.
    std::function<void(std::function<absl::Status()> work, std::function<void(absl::Status)> done)>
        runDiskWork;

    /// The state has changed by an entry of the log.
    std::function<void()> stateChanged;
    /// Storing failed; the process must end, since it no longer knows what its disk holds.
    std::function<void(const absl::Status &)> storeFailed;
    Now now;
    std::function<Milliseconds()> wallNow;
};

struct GroupNodeOptions
{
    std::string name;
    std::string address;
    std::string failureDomain;
    std::vector<std::string> peerAddresses; ///< all members' but its own
    /// Addresses of the first members of a new group, in the same order on each of them; empty
    /// unless the whole system starts for the first time.
    std::vector<std::string> initialMembers;
    std::uint64_t seed = 0;
    std::uint64_t snapshotEveryEntries = 20'000; ///< entries of the log
    std::uint64_t maxOnceRecords = 200'000;
    Milliseconds onceRetention { 86'400'000 };
    RaftOptions raft;
};

class GroupNode
{
public:
    using Done = std::function<void(absl::StatusOr<ControlResult>)>;

    GroupNode(GroupNodeOptions options, Disk disk, GroupNodeHooks hooks);

    /// Reads the disk; an empty or damaged one begins anew under a new identity.
    absl::Status start();

    /// Makes this member the first of a new group.
    absl::Status formGroup();

    /// To be called every few tens of milliseconds.
    void tick();
    void receive(const RaftMessage &message);

    /// Proposes a command; \p done gets its result once it is committed and applied. An error
    /// other than ErrorKind::notLeader means that it may still take effect.
    void propose(ControlCommand command, Done done);

    /// Calls \p done(true) when this member's applied state is at least as new as anything
    /// accepted anywhere before the call.
    void confirmRead(std::function<void(bool)> done);

    void transferLeadership();

    /// Where a member that is not in the group yet asks to be taken in.
    void setPeers(std::vector<std::string> addresses)
    {
        options_.peerAddresses = std::move(addresses);
    }

    const Raft &raft() const { return *raft_; }
    const ControlState &state() const { return state_; }
    const LogStore &store() const { return store_; }
    bool isVoter() const { return raft_->self().voter; }

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
    void applyCommitted();
    void takeSnapshot();
    void expireOnceRecords();
    void requestJoin();
    void sendMessages(std::vector<RaftMessage> messages);
    std::string addressOf(MemberId id) const;
    void logLeaderChange();

    GroupNodeOptions options_;
    LogStore store_;
    GroupNodeHooks hooks_;
    ControlState state_;
    std::optional<Raft> raft_;
    std::map<std::uint64_t, PendingProposal> pendingProposals_;
    std::map<MemberId, std::string> senderAddresses_; ///< addresses of senders
    RaftOutput pendingOutput_;
    std::optional<LogSnapshot> pendingSnapshot_; ///< taken, to be stored with the next write
    bool isWriting_ = false;
    bool isProcessing_ = false;
    bool wasLeader_ = false;
    TimePoint nextJoinAt_;
    TimePoint nextExpiryAt_;
};

} // namespace kumquat
