#pragma once
/// \file
/// Propagates target records, heartbeats and suspicions between entries by gossip over datagrams.
/// Changes are passed on from entry to entry; digests repair what lost datagrams left out.

#include "common/Random.h"
#include "coordination/membership/TargetTable.h"
#include "coordination/policy/TokenBucket.h"
#include "protocol/GossipMessage.h"
#include "transport/Address.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace kumquat {

/// Sends datagrams and reports what was received; tests supply fakes.
struct GossipHooks
{
    std::function<void(const Address &, const std::string &payload)> send;
    std::function<void()> targetsChanged;
    std::function<void(const std::string &target)> leaseRenewed;
    std::function<void(const TargetHealth &)> healthReceived;
    std::function<void(const RequestSuspicion &)> requestSuspected;
    std::function<void(const std::string &peer, bool live)> peerLivenessChanged;
};

struct GossipOptions
{
    std::string name;
    std::uint64_t incarnation = 0;
    Address address;
    std::vector<Address> peers;
    double bytesPerSecond = 8'000;
    double burstBytes = 24'000;
    std::uint64_t seed = 0;
};

class Gossip
{
public:
    static constexpr Milliseconds tickInterval { 200 };
    static constexpr Milliseconds peerTimeout { 4'000 };

    Gossip(GossipOptions options, TargetTable &targets, GossipHooks hooks);

    /// To be called every tickInterval.
    void tick(TimePoint now);
    void receive(const std::string &payload, TimePoint now);

    /// Propagates a record that an announcement has changed in the target table. The first copies
    /// go to all live peers at once; \p acknowledged is called when a peer confirms one.
    void propagate(const TargetRecord &record, TimePoint now, std::function<void()> acknowledged);
    void propagateHealth(const TargetHealth &health);
    void propagateSuspicion(const RequestSuspicion &suspicion);

    /// Tells the entry responsible for \p target that the target renewed its lease.
    void forwardRenewal(const std::string &target);

    /// Asks every peer for its digest, for use after the process was suspended.
    void refresh(TimePoint now);
    /// False after refresh() until a peer has replied with its digest, unless no peer was live.
    bool isRefreshed() const { return refreshed_; }

    /// True when this entry, of those that are live, decides whether \p target is reachable.
    bool isResponsibleFor(const std::string &target) const;

    std::size_t livePeers() const;
    std::uint64_t droppedOverBudget() const { return droppedOverBudget_; }
    std::uint64_t sentBytes() const { return sentBytes_; }
    std::uint64_t sentMessages() const { return sentMessages_; }

private:
    struct Peer
    {
        Address address;
        std::string name; ///< known from its first message on
        PeerHeartbeat lastHeartbeat;
        TimePoint lastHeartbeatAt;
        bool live = false;
    };

    template <typename Item>
    struct Queued
    {
        Item item;
        int sendsLeft;
    };

    struct PendingAcknowledgement
    {
        std::uint64_t sequence;
        TimePoint sentAt;
        std::function<void()> acknowledged;
    };

    GossipMessage newMessage() const;
    void addQueuedItems(GossipMessage &message);
    void addHeartbeats(GossipMessage &message);
    bool send(const Address &address, const GossipMessage &message, TimePoint now);
    std::vector<std::size_t> pickPeers(std::size_t count);
    void recordHeartbeat(const PeerHeartbeat &heartbeat, TimePoint now);
    Peer *findSender(const GossipMessage &message);
    void receiveSuspicion(const RequestSuspicion &suspicion);
    void updatePeerLiveness(TimePoint now);
    void receiveHealth(const TargetHealth &health);
    void replyToDigest(const GossipMessage &message, const Address &to, TimePoint now);
    std::size_t sendDifferences(const TargetTable::Digest &ownDigest, const GossipMessage &message,
                                const Address &to, TimePoint now);
    void mergeRecords(const GossipMessage &message, TimePoint now);
    void handleAcknowledgement(std::uint64_t sequence);
    void sendRenewals(TimePoint now);
    int sendsPerItem() const;
    const Peer *responsiblePeer(const std::string &target) const;

    GossipOptions options_;
    TargetTable &targets_;
    GossipHooks hooks_;
    std::vector<Peer> peers_;
    Random random_;
    TokenBucket budget_;
    std::deque<Queued<TargetRecord>> recordQueue_;
    std::deque<Queued<TargetHealth>> healthQueue_;
    std::deque<Queued<RequestSuspicion>> suspicionQueue_;
    std::map<Address, std::vector<std::string>>
        renewalQueues_; ///< by address of the responsible peer
    std::vector<PendingAcknowledgement> pendingAcknowledgements_;
    std::uint64_t heartbeatCounter_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t droppedOverBudget_ = 0;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t sentMessages_ = 0;
    std::set<std::pair<std::uint64_t, std::string>> seenSuspicions_;
    std::map<std::string, std::uint64_t> latestHealthSequence_;
    bool refreshed_ = true;
};

} // namespace kumquat
