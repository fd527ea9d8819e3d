#pragma once
/// \file
/// Exchanges the load reports that targets send with the other entries.
/// A report goes to entries that use its target, in a bounded number of messages, so that the cost
/// does not grow with the number of entries.

#include "coordination/entry/RoutingTable.h"
#include "coordination/policy/Subset.h"
#include "protocol/LoadReportMessage.h"
#include "transport/DatagramSocket.h"

#include <unordered_map>

namespace kumquat {

/// Another entry.
struct ReportPeer
{
    Address address;
    std::uint64_t hash = 0; ///< subsetHash() of its address
};

class LoadReportSharing
{
public:
    /// Between two batches.
    static constexpr Milliseconds sendInterval { 20 };
    /// Peers that get a message at a time: those that use most of the targets reported on.
    static constexpr std::size_t maxPeersPerBatch = 8;

    using Send = std::function<void(const Address &, const std::string &payload)>;

    LoadReportSharing(Send send, std::uint64_t seed) : send_(std::move(send)), random_(seed) { }

    /// Sets the other entries; \p self is the hash of this one.
    void setPeers(std::vector<ReportPeer> peers, std::uint64_t self);

    /// Sets the targets whose reports are exchanged; to be called when a table is published.
    void setTargets(const RoutingTable &table);

    /// Sends the reports that targets sent to this entry since the last call.
    void sendReports(TimePoint now);

    /// Records the reports in a batch from another entry; an invalid payload is ignored.
    void receive(const std::string &payload, TimePoint now);

    std::uint64_t reportsSent() const { return reportsSent_; }

private:
    struct SharedTarget
    {
        std::shared_ptr<TargetStats> stats;
        std::size_t preferringEntries = 0; ///< this one included
        std::vector<std::size_t> peers; ///< those that prefer it, as positions in `peers_`
        std::uint64_t peersGeneration = 0; ///< of the entries that `peers` follows from; 0: none
    };

    const std::vector<std::size_t> &peersPreferring(std::uint64_t target);
    std::vector<SharedLoadReport> newReports(TimePoint now) const;
    std::vector<std::size_t> choosePeers(const std::vector<SharedLoadReport> &reports);
    void sendTo(std::size_t peer, const std::vector<SharedLoadReport> &reports);

    Send send_;
    Random random_;
    std::vector<ReportPeer> peers_;
    std::vector<std::uint64_t> entries_; ///< hashes of `peers_`, then of this entry
    std::uint64_t entriesGeneration_ = 1; ///< rises with each change of the entries
    /// By the hash of the target's name.
    std::unordered_map<std::uint64_t, SharedTarget> targets_;
    TimePoint lastSentAt_;
    std::uint64_t reportsSent_ = 0;
};

} // namespace kumquat
