#include "coordination/entry/LoadReportSharing.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Reports in a batch, so that a message fits into one datagram; more are dropped.
constexpr std::size_t maxReports = 60;

SharedLoadReport sharedReport(std::uint64_t targetHash, const TargetStats &stats, TimePoint now)
{
    constexpr double percent = 100;
    constexpr double largest = std::numeric_limits<std::uint16_t>::max();
    SharedLoadReport report;
    report.targetHash = targetHash;
    report.ageMs = static_cast<std::uint32_t>(toMilliseconds(now - stats.lastDirectReportAt()));
    report.inFlight
        = static_cast<std::uint16_t>(std::min<double>(largest, stats.reportedInFlight()));
    report.slowdownPercent
        = static_cast<std::uint16_t>(std::min(largest, stats.reportedSlowdown() * percent));
    return report;
}

} // namespace

void LoadReportSharing::setPeers(std::vector<ReportPeer> peers, std::uint64_t self)
{
    peers_ = std::move(peers);
    entries_.clear();
    for (const ReportPeer &peer : peers_) {
        entries_.push_back(peer.hash);
    }
    entries_.push_back(self);
    ++entriesGeneration_;
}

// Determined only for targets that reports are sent of, since entries and targets change often.
const std::vector<std::size_t> &LoadReportSharing::peersPreferring(std::uint64_t target)
{
    SharedTarget &shared = targets_[target];
    if (shared.peersGeneration == entriesGeneration_) {
        return shared.peers;
    }
    shared.peersGeneration = entriesGeneration_;
    // All of a few peers, since those that don't prefer a target still use it as a fallback.
    const bool areFew = peers_.size() <= maxPeersPerBatch;
    const std::size_t count = areFew ? entries_.size() : shared.preferringEntries;
    shared.peers = preferredEntries(target, entries_, count);
    const auto self = std::find(shared.peers.begin(), shared.peers.end(), peers_.size());
    if (self != shared.peers.end()) {
        shared.peers.erase(self);
    }
    return shared.peers;
}

void LoadReportSharing::setTargets(const RoutingTable &table)
{
    std::unordered_map<std::uint64_t, SharedTarget> targets;
    for (const auto &service : table.services) {
        const std::size_t preferring = entriesPerTarget(entries_.size(), service->targets.size());
        for (const TargetPtr &target : service->targets) {
            const std::uint64_t hash = subsetHash(target->record.name);
            SharedTarget shared = std::move(targets_[hash]);
            shared.stats = target->stats;
            if (shared.preferringEntries != preferring) {
                shared.preferringEntries = preferring;
                shared.peersGeneration = 0;
            }
            targets[hash] = std::move(shared);
        }
    }
    targets_ = std::move(targets);
}

std::vector<SharedLoadReport> LoadReportSharing::newReports(TimePoint now) const
{
    std::vector<SharedLoadReport> reports;
    for (const auto &entry : targets_) {
        const TargetStats &stats = *entry.second.stats;
        if (stats.lastDirectReportAt() > lastSentAt_ && reports.size() < maxReports) {
            reports.push_back(sharedReport(entry.first, stats, now));
        }
    }
    return reports;
}

std::vector<std::size_t>
LoadReportSharing::choosePeers(const std::vector<SharedLoadReport> &reports)
{
    std::vector<std::size_t> usefulReports(peers_.size(), 0);
    for (const SharedLoadReport &report : reports) {
        for (const std::size_t peer : peersPreferring(report.targetHash)) {
            ++usefulReports[peer];
        }
    }
    std::vector<std::size_t> order;
    for (std::size_t peer = 0; peer < peers_.size(); ++peer) {
        if (usefulReports[peer] > 0) {
            order.push_back(peer);
        }
    }
    std::shuffle(order.begin(), order.end(), random_);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return usefulReports[left] > usefulReports[right];
    });
    order.resize(std::min(order.size(), maxPeersPerBatch));
    return order;
}

void LoadReportSharing::sendTo(std::size_t peer, const std::vector<SharedLoadReport> &reports)
{
    LoadReportMessage message;
    for (const SharedLoadReport &report : reports) {
        const std::vector<std::size_t> &peers = peersPreferring(report.targetHash);
        if (std::find(peers.begin(), peers.end(), peer) != peers.end()) {
            message.reports.push_back(report);
        }
    }
    send_(peers_[peer].address, pack(message));
}

void LoadReportSharing::sendReports(TimePoint now)
{
    const std::vector<SharedLoadReport> reports = newReports(now);
    lastSentAt_ = now;
    for (const std::size_t peer : choosePeers(reports)) {
        sendTo(peer, reports);
    }
    reportsSent_ += reports.size();
}

void LoadReportSharing::receive(const std::string &payload, TimePoint now)
{
    const auto batch = unpack<LoadReportMessage>(payload);
    if (!batch.ok()) {
        return;
    }
    for (const SharedLoadReport &report : batch->reports) {
        const auto target = targets_.find(report.targetHash);
        if (target != targets_.end()) {
            LoadReport load;
            load.inFlight = report.inFlight;
            load.slowdownPercent = report.slowdownPercent;
            target->second.stats->recordPeerReport(load, now - Milliseconds(report.ageMs));
        }
    }
}

} // namespace kumquat
