#include "failure/GossipSimulation.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace kumquat::test {

namespace {

constexpr Milliseconds step { 5 };
constexpr std::uint16_t firstPort = 1'000;

Address addressOf(std::size_t index)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(firstPort + index) };
}

} // namespace

TargetRecord targetRecord(const std::string &name, std::uint64_t incarnation, TargetState state)
{
    TargetRecord record;
    record.name = name;
    record.service = "catalogue";
    record.failureDomain = "khomas-1";
    record.ip = "127.0.0.1";
    record.port = 20'000;
    record.incarnation = incarnation;
    record.state = state;
    return record;
}

GossipSimulation::GossipSimulation(std::size_t count, std::uint64_t seed, double bytesPerSecond)
    : random_(seed)
{
    for (std::size_t index = 0; index < count; ++index) {
        entries_.push_back(std::make_unique<Entry>());
        Entry &entry = *entries_.back();
        GossipOptions options;
        options.name = absl::StrCat("entry-", index);
        options.incarnation = 1;
        options.address = addressOf(index);
        options.seed = seed * 100 + index;
        options.bytesPerSecond = bytesPerSecond;
        options.burstBytes = 3 * bytesPerSecond;
        for (std::size_t peer = 0; peer < count; ++peer) {
            if (peer != index) {
                options.peers.push_back(addressOf(peer));
            }
        }
        GossipHooks hooks;
        hooks.send = [this, index](const Address &to, const std::string &payload) {
            send(index, to, payload);
        };
        hooks.targetsChanged = [] {};
        hooks.leaseRenewed = [](const std::string &) {};
        hooks.healthReceived = [](const TargetHealth &) {};
        hooks.requestSuspected = [&entry](const RequestSuspicion &suspicion) {
            entry.suspicions.push_back(suspicion);
        };
        hooks.peerLivenessChanged = [](const std::string &, bool) {};
        entry.gossip
            = std::make_unique<Gossip>(std::move(options), entry.targets, std::move(hooks));
    }
}

void GossipSimulation::send(std::size_t from, const Address &address, const std::string &payload)
{
    entries_[from]->sentBytes += payload.size();
    if (std::uniform_real_distribution<double>()(random_) < loss_) {
        return;
    }
    const Milliseconds delay(1 + static_cast<int>(randomBelow(random_, 30)));
    inFlight_.push_back(
        { now_ + delay, static_cast<std::size_t>(address.port - firstPort), payload });
}

void GossipSimulation::deliverDue()
{
    const auto due = std::stable_partition(inFlight_.begin(), inFlight_.end(),
                                           [this](const Datagram &item) { return item.at > now_; });
    const std::vector<Datagram> arriving(due, inFlight_.end());
    inFlight_.erase(due, inFlight_.end());
    for (const Datagram &datagram : arriving) {
        if (entries_[datagram.to]->alive) {
            entries_[datagram.to]->gossip->receive(datagram.payload, now_);
        }
    }
}

void GossipSimulation::run(Milliseconds duration)
{
    const TimePoint end = now_ + duration;
    while (now_ < end) {
        now_ += step;
        deliverDue();
        const auto sinceStart = now_.time_since_epoch() / step;
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            const auto phase = static_cast<Clock::rep>(index) * 7;
            const bool ticks = (sinceStart + phase) % (Gossip::tickInterval / step) == 0;
            if (entries_[index]->alive && ticks) {
                entries_[index]->gossip->tick(now_);
            }
        }
    }
}

bool GossipSimulation::announce(std::size_t index, const TargetRecord &record)
{
    Entry &entry = *entries_[index];
    const auto acknowledged = std::make_shared<bool>(false);
    if (entry.targets.merge(record, now_)) {
        entry.gossip->propagate(record, now_, [acknowledged] { *acknowledged = true; });
    }
    run(Milliseconds(70));
    return *acknowledged;
}

std::size_t GossipSimulation::liveEntriesKnowing(const std::string &name, TargetState state) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
            const TargetRecord *record = entry->targets.find(name);
            return entry->alive && record != nullptr && record->state == state;
        }));
}

std::size_t GossipSimulation::liveEntries() const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                  [](const auto &entry) { return entry->alive; }));
}

} // namespace kumquat::test
