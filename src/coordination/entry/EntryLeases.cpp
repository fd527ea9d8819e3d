// Leases of targets in entries without a control group, which probe the targets' health themselves.
#include "coordination/entry/EntryCoordinator.h"
#include "kumquat/Event.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr Milliseconds healthProbeTimeout { 500 };
constexpr Milliseconds minHealthProbeInterval { 1'000 };
constexpr char healthPath[] = "/health";

} // namespace

void EntryCoordinator::checkLeases(TimePoint now)
{
    for (const TargetRecord &record : targets_.all()) {
        if (record.state != TargetState::ready || !gossip_->isResponsibleFor(record.name)) {
            continue;
        }
        Lease &lease = leases_[record.name];
        const auto stats = stats_.find(record.name);
        if (lease.lastHeardAt == TimePoint()) {
            lease.lastHeardAt = now;
        }
        if (stats != stats_.end()) {
            lease.lastHeardAt = std::max(lease.lastHeardAt, stats->second->lastResponseAt());
        }
        const Milliseconds due { record.leaseMs * 2 / 3 };
        if (lease.probing || now - lease.lastHeardAt < due
            || now - lease.lastProbeAt < minHealthProbeInterval) {
            continue;
        }
        if (!healthProbeBudget_.tryConsume(1, now)) {
            ++healthProbesThrottled_;
            continue;
        }
        lease.probing = true;
        lease.lastProbeAt = now;
        ++healthProbesSent_;
        spawnOn(
            loop_, [this, record](Yield inner) { probeHealth(record, inner); },
            [this, name = record.name] { leases_[name].probing = false; });
    }
}

void EntryCoordinator::probeHealth(const TargetRecord &record, Yield yield)
{
    HttpRequest request(http::verb::get, healthPath, 11);
    const auto response
        = probeClient_.send({ record.ip, record.port }, request, healthProbeTimeout, yield);
    const TimePoint now = Clock::now();
    Lease &lease = leases_[record.name];
    if (response.ok() && response->result() == http::status::ok) {
        lease.lastHeardAt = now;
        setReachable(record, true, true);
    } else if (now - lease.lastHeardAt > Milliseconds(record.leaseMs)) {
        setReachable(record, false, true);
    }
}

void EntryCoordinator::setReachable(const TargetRecord &record, bool reachable, bool propagate)
{
    const auto found = stats_.find(record.name);
    if (found == stats_.end() || found->second->isUnreachable() == !reachable) {
        return;
    }
    if (reachable) {
        found->second->assumeCold(Clock::now());
    }
    found->second->setUnreachable(!reachable);
    logEvent(reachable ? Event::targetReturned : Event::targetLeaseExpired, LogLevel::warning,
             "target={} according to its lease", record.name);
    if (propagate) {
        const auto sequence = static_cast<std::uint64_t>(wallTime().count());
        gossip_->propagateHealth({ record.name, record.incarnation, sequence, reachable });
    }
}

} // namespace kumquat
