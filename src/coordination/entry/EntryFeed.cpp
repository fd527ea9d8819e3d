// What an entry learns from the control group when targets announce themselves there: targets,
// configuration, requests that end targets, the number of entries.
#include "coordination/entry/EntryCoordinator.h"

#include "kumquat/Event.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Longer than a member may hold a call open.
constexpr Milliseconds suspicionReportPeriod { 3'000 };
/// How often a woken entry looks whether the group has answered it.
constexpr Milliseconds refreshPollInterval { 10 };
/// A budget is shared by entries that each know of the others only roughly.
constexpr double budgetSafetyFactor = 0.7;
/// Questions a second to one target from all entries together; three quarters of what deployments
/// allow.
constexpr double loadProbesPerTarget = 45;
/// What quiet seconds leave of that budget may be spent in a burst.
constexpr double loadProbeBurstSeconds = 6;

} // namespace

void EntryCoordinator::openFeed()
{
    ControlFeedHooks hooks;
    hooks.fillPoll = [this](FeedPoll &poll) { fillPoll(poll); };
    hooks.take = [this](const std::string &member, const FeedAnswer &answer) {
        applyFeedAnswer(member, answer);
    };
    hooks.reachabilityChanged = [this](const std::string &member, bool reachable) {
        updateMemberReachability(member, reachable);
    };
    const ControlFeedOptions options { settings_.name, "", false };
    feed_ = std::make_unique<ControlFeed>(loop_, authenticator_, options, std::move(hooks));
}

absl::Status EntryCoordinator::openReportSharing()
{
    if (settings_.reportAddress.empty()) {
        return absl::OkStatus();
    }
    reportSharing_ = std::make_unique<LoadReportSharing>(
        [this](const Address &to, const std::string &payload) { datagrams_.send(to, payload); },
        randomSeed());
    return datagrams_.open(*parseAddress(settings_.reportAddress), [this](const std::string &text) {
        reportSharing_->receive(text, Clock::now());
    });
}

void EntryCoordinator::runReportSharing(Yield yield)
{
    while (true) {
        pauseFor(loop_, LoadReportSharing::sendInterval, yield);
        reportSharing_->sendReports(Clock::now());
    }
}

// A member names the entries only when they have changed.
void EntryCoordinator::updateReportAddresses(const std::string &member, const FeedAnswer &answer)
{
    if (!reportSharing_ || answer.reportAddresses.empty()
        || reportAddressesByMember_[member] == answer.reportAddresses) {
        return;
    }
    reportAddressesByMember_[member] = answer.reportAddresses;
    updateReportPeers();
}

// An entry that is cut off from some member is known to the others.
void EntryCoordinator::updateReportPeers()
{
    std::set<std::string> names { settings_.reportAddress };
    for (const auto &addresses : reportAddressesByMember_) {
        names.insert(addresses.second.begin(), addresses.second.end());
    }
    std::vector<Address> peers;
    SubsetEntries entries;
    entries.self = subsetHash(settings_.reportAddress);
    for (const std::string &name : names) {
        const auto address = parseAddress(name);
        if (!address.ok()) {
            continue;
        }
        entries.all.push_back(subsetHash(name));
        if (name != settings_.reportAddress) {
            peers.push_back(*address);
        }
    }
    reportSharing_->setPeers(std::move(peers));
    if (entries.all != subsetEntries_.all) {
        subsetEntries_ = std::move(entries);
        subsetRanks_.clear();
        schedulePublish();
    }
}

void EntryCoordinator::markSubset(ActiveService &service)
{
    if (subsetEntries_.all.size() < 2) {
        return;
    }
    std::vector<std::size_t> ranks;
    for (const TargetPtr &target : service.targets) {
        const std::uint64_t hash = subsetHash(target->record.name);
        const auto cachedRank = subsetRanks_.find(hash);
        ranks.push_back(cachedRank == subsetRanks_.end() ? rankAt(hash, subsetEntries_)
                                                         : cachedRank->second);
        subsetRanks_[hash] = ranks.back();
    }
    const std::vector<bool> own = ownSubset(ranks, subsetEntries_.all.size());
    for (std::size_t i = 0; i < own.size(); ++i) {
        TargetPtr &target = service.targets[i];
        if (own[i] != target->inSubset) {
            Target changed = *target;
            changed.inSubset = own[i];
            target = std::make_shared<const Target>(std::move(changed));
            publishedTargets_[target->record.name] = target;
        }
    }
}

void EntryCoordinator::fillPoll(FeedPoll &poll)
{
    poll.reportAddress = settings_.reportAddress;
    poll.epoch = wantedVersion_.epoch;
    poll.number = wantedVersion_.number;
    // Each is told to every member, which knows it from the first time; after that it is dropped.
    const TimePoint now = Clock::now();
    while (!pendingSuspicions_.empty()
           && now - pendingSuspicions_.front().since > suspicionReportPeriod) {
        pendingSuspicions_.pop_front();
    }
    for (const PendingSuspicion &pending : pendingSuspicions_) {
        poll.suspicions.push_back(pending.suspicion);
    }
}

void EntryCoordinator::updateMemberReachability(const std::string &member, bool reachable)
{
    controlReachable_ = feed_->reachable() > 0;
    logEvent(reachable ? Event::controlReached : Event::controlUnreachable, LogLevel::info,
             "member={} reachable={}", member, feed_->reachable());
    if (!reachable) {
        entryCountByMember_.erase(member);
        silentTargetsByMember_.erase(member);
        // The last list is kept: whoever is in it goes on without the group, too.
        if (reportAddressesByMember_.size() > 1 && reportAddressesByMember_.erase(member) > 0) {
            updateReportPeers();
        }
    }
}

void EntryCoordinator::applyFeedAnswer(const std::string &member, const FeedAnswer &answer)
{
    const std::size_t entriesBefore = liveEntries();
    entryCountByMember_[member] = answer.entries;
    updateReportAddresses(member, answer);
    for (const FeedSuspicion &suspicion : answer.suspicions) {
        recordSuspicion({ suspicion.fingerprint, suspicion.target });
    }
    bool changed = liveEntries() != entriesBefore;
    for (const FeedItem &item : answer.items) {
        changed = applyFeedItem(member, item) || changed;
    }
    handleAdvertisedVersion(member, answer);
    // A change of targets is in force before the next call acknowledges it.
    if (changed) {
        publishNow();
    }
}

// True when the item changes what is known; most have come from another member before.
bool EntryCoordinator::applyFeedItem(const std::string &member, const FeedItem &item)
{
    const TargetRecord &record = item.record;
    const bool changed = membership_.merge(record, Clock::now());
    if (changed) {
        const Event event = record.state == TargetState::gone ? Event::targetGone
            : record.state == TargetState::draining           ? Event::targetDraining
                                                              : Event::targetAnnounced;
        logEvent(event, LogLevel::info, "target={} service={} state={} incarnation={} from={}",
                 record.name, record.service, targetStateName(record.state), record.incarnation,
                 member);
    }
    if (item.silent) {
        silentTargetsByMember_[member].insert(record.name);
    } else {
        silentTargetsByMember_[member].erase(record.name);
    }
    // A member that was cut off has heard nothing itself: one that has heard the target is enough.
    const bool silentEverywhere = std::all_of(
        entryCountByMember_.begin(), entryCountByMember_.end(), [this, &record](const auto &entry) {
            return silentTargetsByMember_[entry.first].count(record.name) > 0;
        });
    const auto stats = stats_.find(record.name);
    if (stats != stats_.end()) {
        setReachable(record, !silentEverywhere, false);
    }
    return changed;
}

std::size_t EntryCoordinator::liveEntries() const
{
    if (!followsFeed()) {
        return gossip_->livePeers() + 1;
    }
    std::size_t most = 1;
    for (const auto &entry : entryCountByMember_) {
        most = std::max<std::size_t>(most, entry.second);
    }
    return most;
}

// Nothing is served until a member has answered a call that began after the wake.
void EntryCoordinator::refreshAfterPause(TimePoint now)
{
    refreshPending_ = true;
    spawnOn(loop_, [this, now](Yield yield) {
        while (!feed_->answeredSince(now) || fetchInProgress_) {
            pauseFor(loop_, refreshPollInterval, yield);
        }
        refreshPending_ = false;
        core_.recordTick();
    });
}

// Addresses and names are of the process and stay; where the group is found may change.
void EntryCoordinator::reloadSettings()
{
    const auto text = settingsWatch_.changed();
    if (!text) {
        return;
    }
    const auto settings = parseEntrySettings("settings", *text);
    if (!settings.ok()) {
        logEvent(Event::settingsRefused, LogLevel::error, "{}",
                 std::string(settings.status().message()));
        return;
    }
    settings_.controlSeeds = settings->controlSeeds;
    settings_.retryBudget = settings->retryBudget;
    feed_->setSeeds(settings_.controlSeeds);
    logEvent(Event::settingsReloaded, LogLevel::info, "seeds={}", settings_.controlSeeds.size());
    publishNow();
}

void EntryCoordinator::updateBudgets(const ActiveService &service)
{
    const SharedRetryBudget &budget = settings_.retryBudget;
    const auto entries = static_cast<double>(liveEntries());
    const double probesPerSecond
        = loadProbesPerTarget * static_cast<double>(service.targets.size()) / entries;
    service.runtime->loadProbeBudget.setRate(probesPerSecond,
                                             probesPerSecond * loadProbeBurstSeconds);
    service.runtime->retryBudget.setShare(budget.ratio * budgetSafetyFactor);
    service.runtime->retryBudget.setMost(
        std::max(1.0, budget.slack * budgetSafetyFactor / entries));
}

} // namespace kumquat
