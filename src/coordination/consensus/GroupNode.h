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
        runStore;

    /// The state has changed by an entry of the log.
    std::function<void()> applied;
    /// Storing failed; the process must end, since it no longer knows what its disk holds.
    std::function<void(const absl::Status &)> storeFailed;
    NowFunction now;
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
    std::vector<std::string> founders;
    std::uint64_t seed = 0;
    std::uint64_t snapshotEvery = 20'000; ///< entries of the log
    std::uint64_t onceCapacity = 200'000;
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
    absl::Status form();

    /// To be called every few tens of milliseconds.
    void tick();
    void receive(const RaftMessage &message);

    /// Proposes a command; \p done gets its result once it is committed and applied. An error
    /// other than ErrorKind::notLeader means that it may still take effect.
    void propose(ControlCommand command, Done done);

    /// Calls \p done(true) when this member's applied state is at least as new as anything
    /// accepted anywhere before the call.
    void confirmRead(std::function<void(bool)> done);

    void handOver();

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
    struct Waiting
    {
        std::uint64_t term;
        Done done;
    };

    bool isFounder() const;
    absl::Status found(StoredState &state);
    void pump();
    void gather();
    void flush();
    void stored(const RaftOutput &output, const absl::Status &status);
    void applyCommitted();
    void takeSnapshot();
    void expireRecords();
    void askToJoin();
    void sendAll(std::vector<RaftMessage> messages);
    std::string addressOf(MemberId id) const;
    void noteLeader();

    GroupNodeOptions options_;
    LogStore store_;
    GroupNodeHooks hooks_;
    ControlState state_;
    std::optional<Raft> raft_;
    std::map<std::uint64_t, Waiting> waiting_;
    std::map<MemberId, std::string> heardFrom_; ///< addresses of senders
    RaftOutput pending_;
    std::optional<LogSnapshot> snapshot_; ///< taken, to be stored with the next write
    bool storing_ = false;
    bool pumping_ = false;
    bool led_ = false;
    TimePoint joinAt_;
    TimePoint expireAt_;
};

} // namespace kumquat
