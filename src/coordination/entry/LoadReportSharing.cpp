#include "coordination/entry/LoadReportSharing.h"

#include "protocol/Codec.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquat {

namespace {

/// Reports in a batch, so that it fits into one datagram; more are dropped.
constexpr std::size_t maxReports = 60;

std::uint64_t hashOf(const std::string &name)
{
    return XXH64(name.data(), name.size(), 0);
}

} // namespace

void LoadReportSharing::setTargets(const RoutingTable &table)
{
    targets_.clear();
    for (const auto &service : table.services) {
        for (const TargetPtr &target : service->targets) {
            targets_[hashOf(target->record.name)] = target->stats;
        }
    }
}

void LoadReportSharing::sendReports(TimePoint now)
{
    LoadReportMessage batch;
    for (const auto &entry : targets_) {
        const TargetStats &stats = *entry.second;
        const TimePoint reportTime = stats.lastDirectReportAt();
        if (reportTime <= lastSentAt_ || batch.reports.size() == maxReports) {
            continue;
        }
        constexpr double percent = 100;
        constexpr double largest = std::numeric_limits<std::uint16_t>::max();
        SharedLoadReport report;
        report.targetHash = entry.first;
        report.ageMs = static_cast<std::uint32_t>(toMilliseconds(now - reportTime));
        report.inFlight
            = static_cast<std::uint16_t>(std::min<double>(largest, stats.reportedInFlight()));
        report.slowdownPercent
            = static_cast<std::uint16_t>(std::min(largest, stats.reportedSlowdown() * percent));
        batch.reports.push_back(report);
    }
    lastSentAt_ = now;
    if (!batch.reports.empty()) {
        sendBatch(batch);
    }
}

void LoadReportSharing::sendBatch(const LoadReportMessage &batch)
{
    const std::string payload = pack(batch);
    std::shuffle(peers_.begin(), peers_.end(), random_);
    for (std::size_t i = 0; i < std::min(maxPeersPerBatch, peers_.size()); ++i) {
        send_(peers_[i], payload);
    }
    reportsSent_ += batch.reports.size();
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
            target->second->recordPeerReport(load, now - Milliseconds(report.ageMs));
        }
    }
}

} // namespace kumquat
