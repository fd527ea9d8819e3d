#pragma once
/// \file
/// Tells the other entries what targets have told this one, and takes what they tell.
/// Reports go in batches to a bounded number of peers, so that the cost of an entry does not grow.

#include "coordination/entry/RoutingTable.h"
#include "protocol/LoadGossip.h"
#include "transport/DatagramSocket.h"

#include <unordered_map>

namespace kumquat {

class LoadReportSharing
{
public:
    /// Between two batches.
    static constexpr Milliseconds sendInterval { 20 };
    /// Peers that get a batch; more entries than that take turns by chance.
    static constexpr std::size_t maxPeersPerBatch = 8;

    using Send = std::function<void(const Address &, const std::string &payload)>;

    LoadReportSharing(Send send, std::uint64_t seed) : send_(std::move(send)), random_(seed) { }

    /// The addresses of the other entries.
    void setPeers(std::vector<Address> peers) { peers_ = std::move(peers); }

    /// The targets in use; to be called when a routing table is published.
    void setTargets(const RoutingTable &table);

    /// Sends what this entry has heard since the last call.
    void sendReports(TimePoint now);

    void receive(const std::string &payload, TimePoint now);

    std::uint64_t reportsSent() const { return reportsSent_; }

private:
    void sendBatch(const SharedReports &batch);

    Send send_;
    Random random_;
    std::vector<Address> peers_;
    std::unordered_map<std::uint64_t, std::shared_ptr<TargetStats>> targets_;
    TimePoint lastSentAt_;
    std::uint64_t reportsSent_ = 0;
};

} // namespace kumquat
