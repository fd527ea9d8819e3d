#pragma once
/// \file
/// Simulates the gossip of several entries on a virtual clock over a network that loses datagrams.
/// A run is fully determined by its seed.

#include "TestSupport.h"
#include "coordination/membership/Gossip.h"

#include <memory>

namespace kumquat::test {

class GossipSimulation
{
public:
    struct Entry
    {
        TargetTable targets;
        std::unique_ptr<Gossip> gossip;
        bool alive = true;
        std::uint64_t sentBytes = 0;
        std::vector<RequestSuspicion> suspicions;
    };

    GossipSimulation(std::size_t count, std::uint64_t seed, double bytesPerSecond = 8'000);

    void run(Milliseconds duration);
    /// Announces a target to entry \p index; true when a peer acknowledged the record in time.
    bool announce(std::size_t index, const TargetRecord &record);
    void setLoss(double loss) { loss_ = loss; }
    Entry &entry(std::size_t index) { return *entries_[index]; }
    std::size_t size() const { return entries_.size(); }
    TimePoint now() const { return now_; }
    /// The number of live entries that know target \p name in \p state.
    std::size_t liveEntriesKnowing(const std::string &name, TargetState state) const;
    std::size_t liveEntries() const;

private:
    struct Datagram
    {
        TimePoint at;
        std::size_t to;
        std::string payload;
    };

    void send(std::size_t from, const Address &address, const std::string &payload);
    void deliverDue();

    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<Datagram> inFlight_;
    Random random_;
    TimePoint now_ { Seconds(1'000) };
    double loss_ = 0;
};

TargetRecord targetRecord(const std::string &name, std::uint64_t incarnation, TargetState state);

} // namespace kumquat::test
