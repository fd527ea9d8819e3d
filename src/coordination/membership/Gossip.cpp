#include "coordination/membership/Gossip.h"

#include "protocol/Codec.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace kumquat {

namespace {

constexpr std::size_t fanout = 2;
constexpr std::uint64_t ticksPerDigest = 5;
constexpr std::size_t maxRecordsPerMessage = 8;
constexpr std::size_t maxRenewalsPerMessage = 40;
constexpr std::uint64_t ticksPerRenewals = 5;
constexpr std::size_t maxSmallItemsPerMessage = 8; // of health and of suspicions each
constexpr std::size_t maxHeartbeatsPerMessage = 8;
constexpr std::size_t maxBucketsPerReply = 4;
constexpr std::size_t maxRememberedSuspicions = 4096;
constexpr Milliseconds acknowledgementTimeout { 2'000 };
/// The signature, UDP and IP headers of a datagram.
constexpr double datagramOverheadBytes = 128;

template <typename Queue, typename Item>
void popQueued(Queue &queue, std::vector<Item> &items, std::size_t limit)
{
    const std::size_t count = std::min(limit, queue.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto queued = queue.front();
        queue.pop_front();
        items.push_back(queued.item);
        if (--queued.sendsLeft > 0) {
            queue.push_back(queued);
        }
    }
}

std::uint64_t rendezvousWeight(const std::string &entry, const std::string &target)
{
    return XXH64(target.data(), target.size(), XXH64(entry.data(), entry.size(), 0));
}

} // namespace

Gossip::Gossip(GossipOptions options, TargetTable &targets, GossipHooks hooks)
    : options_(std::move(options)), targets_(targets), hooks_(std::move(hooks)),
      random_(options_.seed), budget_(options_.bytesPerSecond, options_.burstBytes)
{
    for (const Address &address : options_.peers) {
        Peer peer;
        peer.address = address;
        peers_.push_back(peer);
    }
}

GossipMessage Gossip::newMessage() const
{
    GossipMessage message;
    message.sender = { options_.name, options_.incarnation, heartbeatCounter_ };
    message.senderAddress = options_.address.text();
    return message;
}

int Gossip::sendsPerItem() const
{
    const double peers = static_cast<double>(peers_.size()) + 1;
    return 2 + 2 * static_cast<int>(std::ceil(std::log2(peers + 1)));
}

bool Gossip::send(const Address &address, const GossipMessage &message, TimePoint now)
{
    const std::string payload = pack(message);
    const double cost = static_cast<double>(payload.size()) + datagramOverheadBytes;
    if (!budget_.tryConsume(cost, now)) {
        ++droppedOverBudget_;
        return false;
    }
    sentBytes_ += static_cast<std::uint64_t>(cost);
    ++sentMessages_;
    hooks_.send(address, payload);
    return true;
}

// Prefers live peers. Peers never heard from are candidates, too, so that entries find each other
// after a start; one in `ticksPerDigest` ticks adds a dead peer.
std::vector<std::size_t> Gossip::pickPeers(std::size_t count)
{
    std::vector<std::size_t> picked;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        picked.push_back(i);
    }
    std::shuffle(picked.begin(), picked.end(), random_);
    std::stable_partition(picked.begin(), picked.end(),
                          [this](std::size_t i) { return peers_[i].live; });
    const bool contactDeadPeer = !picked.empty() && ticks_ % ticksPerDigest == 0;
    const std::size_t last = picked.empty() ? 0 : picked.back();
    picked.resize(std::min(count, picked.size()));
    if (contactDeadPeer && !peers_[last].live) {
        picked.push_back(last);
    }
    return picked;
}

void Gossip::addHeartbeats(GossipMessage &message)
{
    if (peers_.empty()) {
        return;
    }
    const std::size_t start = randomBelow(random_, peers_.size());
    for (std::size_t step = 0; step < peers_.size(); ++step) {
        const Peer &peer = peers_[(start + step) % peers_.size()];
        if (peer.live && message.heartbeats.size() < maxHeartbeatsPerMessage) {
            message.heartbeats.push_back(peer.lastHeartbeat);
        }
    }
}

void Gossip::addQueuedItems(GossipMessage &message)
{
    popQueued(recordQueue_, message.records, maxRecordsPerMessage);
    popQueued(healthQueue_, message.health, maxSmallItemsPerMessage);
    popQueued(suspicionQueue_, message.suspicions, maxSmallItemsPerMessage);
    addHeartbeats(message);
}

void Gossip::tick(TimePoint now)
{
    ++heartbeatCounter_;
    ++ticks_;
    updatePeerLiveness(now);
    if (ticks_ % ticksPerRenewals == 0) {
        sendRenewals(now);
    }
    for (const std::size_t index : pickPeers(fanout)) {
        GossipMessage message = newMessage();
        addQueuedItems(message);
        if (ticks_ % ticksPerDigest == 0) {
            const TargetTable::Digest digest = targets_.digest();
            message.digest.assign(digest.begin(), digest.end());
        }
        send(peers_[index].address, message, now);
    }
    for (auto pending = pendingAcknowledgements_.begin();
         pending != pendingAcknowledgements_.end();) {
        pending = now - pending->sentAt > acknowledgementTimeout
            ? pendingAcknowledgements_.erase(pending)
            : pending + 1;
    }
}

void Gossip::propagate(const TargetRecord &record, TimePoint now,
                       std::function<void()> acknowledged)
{
    recordQueue_.push_front({ record, sendsPerItem() });
    GossipMessage message = newMessage();
    message.records.push_back(record);
    message.sequence = ++sequence_;
    if (acknowledged) {
        pendingAcknowledgements_.push_back({ message.sequence, now, std::move(acknowledged) });
    }
    // Two copies to each live peer: this entry may end before the next tick sends the record again.
    for (int copy = 0; copy < 2; ++copy) {
        for (const Peer &peer : peers_) {
            if (peer.live) {
                send(peer.address, message, now);
            }
        }
    }
}

void Gossip::propagateHealth(const TargetHealth &health)
{
    latestHealthSequence_[health.target]
        = std::max(latestHealthSequence_[health.target], health.sequence);
    healthQueue_.push_back({ health, sendsPerItem() });
}

void Gossip::propagateSuspicion(const RequestSuspicion &suspicion)
{
    seenSuspicions_.insert({ suspicion.fingerprint, suspicion.target });
    suspicionQueue_.push_front({ suspicion, sendsPerItem() });
}

const Gossip::Peer *Gossip::responsiblePeer(const std::string &target) const
{
    std::uint64_t best = rendezvousWeight(options_.name, target);
    const Peer *responsible = nullptr;
    for (const Peer &peer : peers_) {
        const std::uint64_t weight = peer.live ? rendezvousWeight(peer.name, target) : 0;
        if (weight > best) {
            best = weight;
            responsible = &peer;
        }
    }
    return responsible;
}

bool Gossip::isResponsibleFor(const std::string &target) const
{
    return responsiblePeer(target) == nullptr;
}

// Renewals are many and small, so they are batched for a few ticks: a signed datagram for each
// would be ten times as large as its content.
void Gossip::forwardRenewal(const std::string &target)
{
    const Peer *peer = responsiblePeer(target);
    if (peer != nullptr) {
        renewalQueues_[peer->address].push_back(target);
    }
}

void Gossip::sendRenewals(TimePoint now)
{
    for (const auto &queued : renewalQueues_) {
        GossipMessage message = newMessage();
        for (const std::string &target : queued.second) {
            message.renewedTargets.push_back(target);
            if (message.renewedTargets.size() == maxRenewalsPerMessage) {
                send(queued.first, message, now);
                message.renewedTargets.clear();
            }
        }
        if (!message.renewedTargets.empty()) {
            send(queued.first, message, now);
        }
    }
    renewalQueues_.clear();
}

void Gossip::refresh(TimePoint now)
{
    refreshed_ = livePeers() == 0;
    for (const Peer &peer : peers_) {
        GossipMessage message = newMessage();
        message.wantsDigest = true;
        const TargetTable::Digest digest = targets_.digest();
        message.digest.assign(digest.begin(), digest.end());
        send(peer.address, message, now);
    }
}

void Gossip::recordHeartbeat(const PeerHeartbeat &heartbeat, TimePoint now)
{
    for (Peer &peer : peers_) {
        if (peer.name != heartbeat.name) {
            continue;
        }
        const bool newer = heartbeat.incarnation > peer.lastHeartbeat.incarnation
            || (heartbeat.incarnation == peer.lastHeartbeat.incarnation
                && heartbeat.counter > peer.lastHeartbeat.counter);
        if (newer) {
            peer.lastHeartbeat = heartbeat;
            peer.lastHeartbeatAt = now;
        }
    }
}

void Gossip::updatePeerLiveness(TimePoint now)
{
    for (Peer &peer : peers_) {
        const bool live
            = peer.lastHeartbeatAt != TimePoint() && now - peer.lastHeartbeatAt < peerTimeout;
        if (live != peer.live) {
            peer.live = live;
            hooks_.peerLivenessChanged(peer.name, live);
        }
    }
}

// Sends the records of up to `maxBucketsPerReply` differing buckets, starting at a random one;
// later digests cover the rest.
std::size_t Gossip::sendDifferences(const TargetTable::Digest &ownDigest,
                                    const GossipMessage &message, const Address &to, TimePoint now)
{
    std::size_t buckets = 0;
    GossipMessage reply = newMessage();
    reply.isReply = true;
    const std::size_t first = randomBelow(random_, ownDigest.size());
    for (std::size_t step = 0; step < ownDigest.size() && buckets < maxBucketsPerReply; ++step) {
        const std::size_t bucket = (first + step) % ownDigest.size();
        if (message.digest[bucket] == ownDigest[bucket]) {
            continue;
        }
        ++buckets;
        for (const TargetRecord &record : targets_.recordsInBucket(bucket)) {
            reply.records.push_back(record);
            if (reply.records.size() == maxRecordsPerMessage) {
                send(to, reply, now);
                reply.records.clear();
            }
        }
    }
    if (!reply.records.empty()) {
        send(to, reply, now);
    }
    return buckets;
}

void Gossip::replyToDigest(const GossipMessage &message, const Address &to, TimePoint now)
{
    const TargetTable::Digest ownDigest = targets_.digest();
    const std::size_t differing = sendDifferences(ownDigest, message, to, now);
    if (message.isReply) {
        refreshed_ = true;
        return;
    }
    if (differing > 0 || message.wantsDigest) {
        GossipMessage reply = newMessage();
        reply.isReply = true;
        reply.digest.assign(ownDigest.begin(), ownDigest.end());
        send(to, reply, now);
    }
}

void Gossip::mergeRecords(const GossipMessage &message, TimePoint now)
{
    bool changed = false;
    for (const TargetRecord &record : message.records) {
        if (targets_.merge(record, now)) {
            recordQueue_.push_back({ record, sendsPerItem() });
            changed = true;
        }
    }
    if (changed) {
        hooks_.targetsChanged();
    }
}

void Gossip::handleAcknowledgement(std::uint64_t sequence)
{
    for (auto pending = pendingAcknowledgements_.begin(); pending != pendingAcknowledgements_.end();
         ++pending) {
        if (pending->sequence == sequence) {
            const auto callback = std::move(pending->acknowledged);
            pendingAcknowledgements_.erase(pending);
            callback();
            return;
        }
    }
}

Gossip::Peer *Gossip::findSender(const GossipMessage &message)
{
    for (Peer &peer : peers_) {
        if (peer.address.text() == message.senderAddress) {
            return &peer;
        }
    }
    return nullptr;
}

// Passes on and reports a suspicion only when it is received for the first time.
void Gossip::receiveSuspicion(const RequestSuspicion &suspicion)
{
    if (seenSuspicions_.size() > maxRememberedSuspicions) {
        seenSuspicions_.clear();
    }
    if (seenSuspicions_.insert({ suspicion.fingerprint, suspicion.target }).second) {
        propagateSuspicion(suspicion);
        hooks_.requestSuspected(suspicion);
    }
}

void Gossip::receiveHealth(const TargetHealth &health)
{
    std::uint64_t &latestSequence = latestHealthSequence_[health.target];
    if (health.sequence > latestSequence) {
        latestSequence = health.sequence;
        propagateHealth(health);
        hooks_.healthReceived(health);
    }
}

void Gossip::receive(const std::string &payload, TimePoint now)
{
    const auto message = unpack<GossipMessage>(payload);
    const bool isValid = message.ok()
        && (message->digest.empty() || message->digest.size() == TargetTable::bucketCount);
    Peer *sender = isValid ? findSender(*message) : nullptr;
    if (sender == nullptr) {
        return;
    }
    const Address to = sender->address;
    sender->name = message->sender.name;
    recordHeartbeat(message->sender, now);
    for (const PeerHeartbeat &heartbeat : message->heartbeats) {
        recordHeartbeat(heartbeat, now);
    }
    mergeRecords(*message, now);
    for (const std::string &target : message->renewedTargets) {
        hooks_.leaseRenewed(target);
    }
    for (const TargetHealth &health : message->health) {
        receiveHealth(health);
    }
    for (const RequestSuspicion &suspicion : message->suspicions) {
        receiveSuspicion(suspicion);
    }
    if (message->sequence != 0) {
        GossipMessage reply = newMessage();
        reply.acknowledgedSequence = message->sequence;
        send(to, reply, now);
    }
    if (!message->digest.empty()) {
        replyToDigest(*message, to, now);
    }
    handleAcknowledgement(message->acknowledgedSequence);
}

std::size_t Gossip::livePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [](const Peer &peer) { return peer.live; }));
}

} // namespace kumquat
