// Builds the routing tables of an entry from its targets and configuration, and publishes them.
#include "coordination/entry/EntryCoordinator.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr Milliseconds publishDelay { 5 };

} // namespace

std::shared_ptr<TargetStats> EntryCoordinator::statsFor(const TargetRecord &record, TimePoint now)
{
    auto &stats = stats_[record.name];
    if (!stats || stats->incarnation() != record.incarnation) {
        const auto leaving = stats ? stats->leaving() : std::make_shared<TargetLeaving>();
        stats = std::make_shared<TargetStats>(record.incarnation, leaving);
    }
    stats->setEvacuated(isEvacuated(record));
    if (record.state == TargetState::ready && stats->readySince() == TimePoint()) {
        stats->markReady(now, Milliseconds(record.slowStartMs));
        (void)stats->coldLimit().extendRemaining(Milliseconds(record.slowStartMs), now);
    }
    return stats;
}

// Reuses unchanged targets, because targets change one by one during a rolling update.
TargetPtr EntryCoordinator::targetFor(const TargetRecord &record, TimePoint now)
{
    const auto stats = statsFor(record, now);
    TargetPtr &existing = publishedTargets_[record.name];
    const bool isUnchanged = existing && existing->stats == stats
        && existing->record.version == record.version && existing->record.state == record.state;
    if (!isUnchanged) {
        existing
            = std::make_shared<const Target>(Target { record, { record.ip, record.port }, stats });
    }
    return existing;
}

EntryCoordinator::ServiceTargets EntryCoordinator::targetsByService(TimePoint now)
{
    ServiceTargets targets;
    targets_.forEach([this, now, &targets](const TargetRecord &record) {
        if (record.state <= TargetState::ready) {
            targets[record.service].push_back(targetFor(record, now));
        } else {
            publishedTargets_.erase(record.name);
        }
    });
    return targets;
}

std::shared_ptr<const ActiveService>
EntryCoordinator::buildActiveService(const Service &service, std::vector<TargetPtr> targets)
{
    auto &runtime = runtimes_[service.name];
    if (!runtime) {
        runtime = std::make_shared<ServiceRuntime>();
    }
    if (!followsFeed()) {
        runtime->retryBudget.setRatio(service.retry.budget);
    }
    auto active = std::make_shared<ActiveService>();
    active->configuration = service;
    active->policy = makeLoadBalancingPolicy(service.loadBalancingPolicy);
    active->runtime = runtime;
    active->entries = liveEntries();
    active->failureDomain = settings_.failureDomain;
    active->targets = std::move(targets);
    if (reportSharing_) {
        markSubset(*active);
    }
    markColdLimit(*active);
    if (followsFeed()) {
        updateBudgets(*active);
    }
    return active;
}

void EntryCoordinator::schedulePublish()
{
    if (publishDue_) {
        return;
    }
    publishDue_ = true;
    repeat(&EntryCoordinator::publishSoon);
}

bool EntryCoordinator::publishSoon(Yield yield)
{
    pauseFor(loop_, publishDelay, yield);
    publishIfDue();
    return false;
}

// Also called by each tick, because without memory publishSoon() cannot be started.
void EntryCoordinator::publishIfDue()
{
    if (publishDue_) {
        publishNow();
        publishDue_ = false;
    }
}

void EntryCoordinator::publishNow()
{
    const TimePoint now = Clock::now();
    auto table = std::make_shared<RoutingTable>();
    table->version = version_;
    ServiceTargets targets = targetsByService(now);
    for (const Service &service : configuration_.services) {
        table->services.push_back(buildActiveService(service, std::move(targets[service.name])));
    }
    table->hostRoutes = hostRoutes_;
    table->organisations = organisations_;
    table->callerLimits = configuration_.callerLimits;
    if (reportSharing_) {
        reportSharing_->setTargets(*table);
    }
    core_.routing.publish(table);
    for (const auto &service : table->services) {
        service->runtime->wakeOne();
    }
}

} // namespace kumquat
