#pragma once
/// \file
/// Exchanges the load reports that targets send with the other entries.
/// Each batch goes to a bounded number of peers, so the cost does not grow with their number.

#include "coordination/entry/RoutingTable.h"
#include "protocol/LoadReportMessage.h"
#include "transport/DatagramSocket.h"

#include <unordered_map>

namespace kumquat {

class LoadReportSharing
{
public:
    /// Between two batches.
    static constexpr Milliseconds sendInterval { 20 };
    /// Peers that get a batch, chosen at random when there are more.
    static constexpr std::size_t maxPeersPerBatch = 8;

    using Send = std::function<void(const Address &, const std::string &payload)>;

    LoadReportSharing(Send send, std::uint64_t seed) : send_(std::move(send)), random_(seed) { }

    /// Sets the addresses of the other entries.
    void setPeers(std::vector<Address> peers) { peers_ = std::move(peers); }

    /// Sets the targets whose reports are exchanged; to be called when a table is published.
    void setTargets(const RoutingTable &table);

    /// Sends the reports that targets sent to this entry since the last call.
    void sendReports(TimePoint now);

    /// Records the reports in a batch from another entry; an invalid payload is ignored.
    void receive(const std::string &payload, TimePoint now);

    std::uint64_t reportsSent() const { return reportsSent_; }

private:
    void sendBatch(const LoadReportMessage &batch);

    Send send_;
    Random random_;
    std::vector<Address> peers_;
    /// By the hash of the target's name.
    std::unordered_map<std::uint64_t, std::shared_ptr<TargetStats>> targets_;
    TimePoint lastSentAt_;
    std::uint64_t reportsSent_ = 0;
};

} // namespace kumquat
