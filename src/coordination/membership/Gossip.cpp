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
constexpr std::size_t maxSmallItemsPerMessage = 8;
constexpr std::size_t maxBeatsPerMessage = 8;
constexpr std::size_t maxBucketsPerAnswer = 4;
constexpr std::size_t maxRememberedSuspicions = 4096;
constexpr Milliseconds awaitTime { 2'000 };
constexpr double datagramOverheadBytes = 128;

template <typename Queue, typename Item>
void takeQueued(Queue &queue, std::vector<Item> &into, std::size_t limit)
{
    const std::size_t count = std::min(limit, queue.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto queued = queue.front();
        queue.pop_front();
        into.push_back(queued.item);
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

Gossip::Gossip(GossipOptions options, Membership &membership, GossipHooks hooks)
    : options_(std::move(options)), membership_(membership), hooks_(std::move(hooks)),
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
    message.sender = { options_.name, options_.incarnation, beat_ };
    message.from = options_.address.text();
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
        ++droppedForBudget_;
        return false;
    }
    payloadBytes_ += static_cast<std::uint64_t>(cost);
    ++messages_;
    hooks_.send(address, payload);
    return true;
}

// Peers never heard from are included, so that a fleet finds itself after a start.
std::vector<std::size_t> Gossip::pickPeers(std::size_t count)
{
    std::vector<std::size_t> picked;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        picked.push_back(i);
    }
    std::shuffle(picked.begin(), picked.end(), random_);
    std::stable_partition(picked.begin(), picked.end(),
                          [this](std::size_t i) { return peers_[i].live; });
    const bool tryDead = !picked.empty() && ticks_ % ticksPerDigest == 0;
    const std::size_t last = picked.empty() ? 0 : picked.back();
    picked.resize(std::min(count, picked.size()));
    if (tryDead && !peers_[last].live) {
        picked.push_back(last);
    }
    return picked;
}

void Gossip::addBeats(GossipMessage &message)
{
    if (peers_.empty()) {
        return;
    }
    const std::size_t start = randomBelow(random_, peers_.size());
    for (std::size_t step = 0; step < peers_.size(); ++step) {
        const Peer &peer = peers_[(start + step) % peers_.size()];
        if (peer.live && message.beats.size() < maxBeatsPerMessage) {
            message.beats.push_back(peer.last);
        }
    }
}

void Gossip::fill(GossipMessage &message)
{
    takeQueued(records_, message.records, maxRecordsPerMessage);
    takeQueued(health_, message.health, maxSmallItemsPerMessage);
    takeQueued(suspicions_, message.suspicions, maxSmallItemsPerMessage);
    addBeats(message);
}

void Gossip::tick(TimePoint now)
{
    ++beat_;
    ++ticks_;
    checkPeers(now);
    if (ticks_ % ticksPerRenewals == 0) {
        sendRenewals(now);
    }
    for (const std::size_t index : pickPeers(fanout)) {
        GossipMessage message = newMessage();
        fill(message);
        if (ticks_ % ticksPerDigest == 0) {
            const Membership::Digest digest = membership_.digest();
            message.digest.assign(digest.begin(), digest.end());
        }
        send(peers_[index].address, message, now);
    }
    for (auto awaited = awaited_.begin(); awaited != awaited_.end();) {
        awaited = now - awaited->since > awaitTime ? awaited_.erase(awaited) : awaited + 1;
    }
}

void Gossip::spread(const TargetRecord &record, TimePoint now, std::function<void()> acknowledged)
{
    records_.push_front({ record, sendsPerItem() });
    GossipMessage message = newMessage();
    message.records.push_back(record);
    message.sequence = ++sequence_;
    if (acknowledged) {
        awaited_.push_back({ message.sequence, now, std::move(acknowledged) });
    }
    // Two copies to each live peer: the entry that heard the news may end before the next tick.
    for (int copy = 0; copy < 2; ++copy) {
        for (const Peer &peer : peers_) {
            if (peer.live) {
                send(peer.address, message, now);
            }
        }
    }
}

void Gossip::spreadHealth(const TargetHealth &health)
{
    heardHealth_[health.target] = std::max(heardHealth_[health.target], health.sequence);
    health_.push_back({ health, sendsPerItem() });
}

void Gossip::spreadSuspicion(const RequestSuspicion &suspicion)
{
    heardSuspicions_.insert({ suspicion.fingerprint, suspicion.target });
    suspicions_.push_front({ suspicion, sendsPerItem() });
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

// Renewals are many and small, so they travel together with the next tick: a signed datagram for
// each would cost ten times its content.
void Gossip::forwardRenewal(const std::string &target)
{
    const Peer *peer = responsiblePeer(target);
    if (peer != nullptr) {
        renewals_[peer->address].push_back(target);
    }
}

void Gossip::sendRenewals(TimePoint now)
{
    for (const auto &queued : renewals_) {
        GossipMessage message = newMessage();
        for (const std::string &target : queued.second) {
            message.renewed.push_back(target);
            if (message.renewed.size() == maxRenewalsPerMessage) {
                send(queued.first, message, now);
                message.renewed.clear();
            }
        }
        if (!message.renewed.empty()) {
            send(queued.first, message, now);
        }
    }
    renewals_.clear();
}

void Gossip::refresh(TimePoint now)
{
    refreshed_ = livePeers() == 0;
    for (const Peer &peer : peers_) {
        GossipMessage message = newMessage();
        message.wantsDigest = true;
        const Membership::Digest digest = membership_.digest();
        message.digest.assign(digest.begin(), digest.end());
        send(peer.address, message, now);
    }
}

void Gossip::heardBeat(const PeerBeat &beat, TimePoint now)
{
    for (Peer &peer : peers_) {
        if (peer.name != beat.name) {
            continue;
        }
        const bool newer = beat.incarnation > peer.last.incarnation
            || (beat.incarnation == peer.last.incarnation && beat.beat > peer.last.beat);
        if (newer) {
            peer.last = beat;
            peer.heardAt = now;
        }
    }
}

void Gossip::checkPeers(TimePoint now)
{
    for (Peer &peer : peers_) {
        const bool live = peer.heardAt != TimePoint() && now - peer.heardAt < peerTimeout;
        if (live != peer.live) {
            peer.live = live;
            hooks_.peerChanged(peer.name, live);
        }
    }
}

// Sends the records of a few buckets that differ; the rest follows with the next digests.
std::size_t Gossip::sendDifferences(const Membership::Digest &own, const GossipMessage &message,
                                    const Address &to, TimePoint now)
{
    std::size_t buckets = 0;
    GossipMessage answer = newMessage();
    answer.reply = true;
    const std::size_t first = randomBelow(random_, own.size());
    for (std::size_t step = 0; step < own.size() && buckets < maxBucketsPerAnswer; ++step) {
        const std::size_t bucket = (first + step) % own.size();
        if (message.digest[bucket] == own[bucket]) {
            continue;
        }
        ++buckets;
        for (const TargetRecord &record : membership_.inBucket(bucket)) {
            answer.records.push_back(record);
            if (answer.records.size() == maxRecordsPerMessage) {
                send(to, answer, now);
                answer.records.clear();
            }
        }
    }
    if (!answer.records.empty()) {
        send(to, answer, now);
    }
    return buckets;
}

void Gossip::answerDigest(const GossipMessage &message, const Address &to, TimePoint now)
{
    const Membership::Digest own = membership_.digest();
    const std::size_t differing = sendDifferences(own, message, to, now);
    if (message.reply) {
        refreshed_ = true;
        return;
    }
    if (differing > 0 || message.wantsDigest) {
        GossipMessage answer = newMessage();
        answer.reply = true;
        answer.digest.assign(own.begin(), own.end());
        send(to, answer, now);
    }
}

void Gossip::takeRecords(const GossipMessage &message, TimePoint now)
{
    bool changed = false;
    for (const TargetRecord &record : message.records) {
        if (membership_.merge(record, now)) {
            records_.push_back({ record, sendsPerItem() });
            changed = true;
        }
    }
    if (changed) {
        hooks_.membershipChanged();
    }
}

void Gossip::acknowledge(std::uint64_t sequence)
{
    for (auto awaited = awaited_.begin(); awaited != awaited_.end(); ++awaited) {
        if (awaited->sequence == sequence) {
            const auto callback = std::move(awaited->acknowledged);
            awaited_.erase(awaited);
            callback();
            return;
        }
    }
}

Gossip::Peer *Gossip::senderOf(const GossipMessage &message)
{
    for (Peer &peer : peers_) {
        if (peer.address.text() == message.from) {
            return &peer;
        }
    }
    return nullptr;
}

// News is passed on once; what was heard before is not news.
void Gossip::takeSuspicion(const RequestSuspicion &suspicion)
{
    if (heardSuspicions_.size() > maxRememberedSuspicions) {
        heardSuspicions_.clear();
    }
    if (heardSuspicions_.insert({ suspicion.fingerprint, suspicion.target }).second) {
        spreadSuspicion(suspicion);
        hooks_.requestSuspected(suspicion);
    }
}

void Gossip::takeHealth(const TargetHealth &health)
{
    std::uint64_t &heard = heardHealth_[health.target];
    if (health.sequence > heard) {
        heard = health.sequence;
        spreadHealth(health);
        hooks_.targetHealth(health);
    }
}

void Gossip::receive(const std::string &payload, TimePoint now)
{
    const auto message = unpack<GossipMessage>(payload);
    const bool whole = message.ok()
        && (message->digest.empty() || message->digest.size() == Membership::bucketCount);
    Peer *sender = whole ? senderOf(*message) : nullptr;
    if (sender == nullptr) {
        return;
    }
    const Address to = sender->address;
    sender->name = message->sender.name;
    heardBeat(message->sender, now);
    for (const PeerBeat &beat : message->beats) {
        heardBeat(beat, now);
    }
    takeRecords(*message, now);
    for (const std::string &target : message->renewed) {
        hooks_.targetRenewed(target);
    }
    for (const TargetHealth &health : message->health) {
        takeHealth(health);
    }
    for (const RequestSuspicion &suspicion : message->suspicions) {
        takeSuspicion(suspicion);
    }
    if (message->sequence != 0) {
        GossipMessage answer = newMessage();
        answer.acknowledged = message->sequence;
        send(to, answer, now);
    }
    if (!message->digest.empty()) {
        answerDigest(*message, to, now);
    }
    acknowledge(message->acknowledged);
}

std::size_t Gossip::livePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [](const Peer &peer) { return peer.live; }));
}

} // namespace kumquat
