// The entry as a subscriber of the control group, used when targets announce themselves there. The
// feed carries targets, configuration versions, suspected requests and the number of entries.
#include "coordination/entry/EntryCoordinator.h"

#include "coordination/entry/ColdTargets.h"
#include "kumquat/Event.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

/// A suspicion is repeated in all polls for this long, which is longer than a member may hold a
/// poll open, so that every member gets it.
constexpr Milliseconds suspicionReportPeriod { 3'000 };
/// Between two checks whether the control group has answered after a process pause.
constexpr Milliseconds refreshPollInterval { 10 };
/// Each entry uses only this part of its share of the retry budget, since it knows the number of
/// entries only approximately.
constexpr double budgetSafetyFactor = 0.7;
/// Load probes per second to one target from all entries together; three quarters of the limit that
/// deployments set.
constexpr double loadProbesPerTarget = 45;
/// Unused load probes of this many seconds may be sent in a burst.
constexpr double loadProbeBurstSeconds = 6;

} // namespace

void EntryCoordinator::openFeed()
{
    ControlFeedHooks hooks;
    hooks.fillPoll = [this](FeedPoll &poll) { fillPoll(poll); };
    hooks.responseReceived = [this](const std::string &member, const FeedResponse &response) {
        applyFeedResponse(member, response);
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
    core_.hooks.loadReported = [this] { scheduleReportBatch(); };
    return datagrams_.open(*parseAddress(settings_.reportAddress),
                           [this](const std::string &text) { receiveReport(text); });
}

// Called by workers for each report. Reports that arrive within an interval share one batch, one
// that arrives while a batch is sent goes with the next, and an entry without reports does not wake
// up.
void EntryCoordinator::scheduleReportBatch()
{
    if (reportBatchDue_.exchange(true)) {
        return;
    }
    if (!contain([this] { asio::post(loop_, [this] { startReportBatch(); }); })) {
        reportBatchDue_ = false;
    }
}

void EntryCoordinator::startReportBatch()
{
    spawnOn(
        loop_,
        [this](Yield yield) {
            pauseFor(loop_, LoadReportSharing::sendInterval, yield);
            reportSharing_->sendReports(Clock::now());
        },
        [this] { reportBatchDue_ = false; });
}

// A response lists the entries only when the list has changed.
void EntryCoordinator::updateReportAddresses(const std::string &member,
                                             const FeedResponse &response)
{
    if (!reportSharing_ || response.reportAddresses.empty()
        || reportAddressesByMember_[member] == response.reportAddresses) {
        return;
    }
    reportAddressesByMember_[member] = response.reportAddresses;
    updateReportPeers();
}

// Merges the lists of all members: an entry that lost its connection to one member is still listed
// by the others.
void EntryCoordinator::updateReportPeers()
{
    std::set<std::string> names { settings_.reportAddress };
    for (const auto &addresses : reportAddressesByMember_) {
        names.insert(addresses.second.begin(), addresses.second.end());
    }
    std::vector<ReportPeer> peers;
    std::vector<std::string> live;
    SubsetEntries entries;
    entries.self = subsetHash(settings_.reportAddress);
    for (const std::string &name : names) {
        const auto address = parseAddress(name);
        if (!address.ok()) {
            continue;
        }
        entries.all.push_back(subsetHash(name));
        live.push_back(name);
        if (name != settings_.reportAddress) {
            peers.push_back({ *address, subsetHash(name) });
        }
    }
    reportSharing_->setPeers(std::move(peers), entries.self);
    if (entries.all != subsetEntries_.all) {
        subsetEntries_ = std::move(entries);
        subsetRanks_.clear();
        quota_->exchange().setEntries(live, Clock::now());
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
        ranks.push_back(cachedRank == subsetRanks_.end() ? entryRank(hash, subsetEntries_)
                                                         : cachedRank->second);
        subsetRanks_[hash] = ranks.back();
    }
    const std::vector<bool> own = selectSubset(ranks, subsetEntries_.all.size());
    for (std::size_t i = 0; i < own.size(); ++i) {
        TargetPtr &target = service.targets[i];
        if (own[i] != target->inSubset || target->entryRank != ranks[i]) {
            Target changed = *target;
            changed.inSubset = own[i];
            changed.entryRank = ranks[i];
            target = std::make_shared<const Target>(std::move(changed));
            publishedTargets_[target->record.name] = target;
        }
    }
}

void EntryCoordinator::markColdLimit(ActiveService &service)
{
    const bool hasLimit = limitsColdTargets(service.configuration);
    for (TargetPtr &target : service.targets) {
        if (target->hasColdLimit != hasLimit) {
            Target changed = *target;
            changed.hasColdLimit = hasLimit;
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
    poll.tracksEvacuations = true;
    poll.evacuationEpoch = evacuationsVersion_.epoch;
    poll.evacuationNumber = evacuationsVersion_.number;
    // Every poll repeats a suspicion until it expires, so that each member gets it.
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
    controlReachable_ = feed_->reachableCount() > 0;
    logEvent(reachable ? Event::controlReachable : Event::controlUnreachable, LogLevel::info,
             "member={} reachable={}", member, feed_->reachableCount());
    if (!reachable) {
        entryCountByMember_.erase(member);
        expiredTargetsByMember_.erase(member);
        // The last remaining list is kept, because entries continue without the control group.
        if (reportAddressesByMember_.size() > 1 && reportAddressesByMember_.erase(member) > 0) {
            updateReportPeers();
        }
    }
}

void EntryCoordinator::applyFeedResponse(const std::string &member, const FeedResponse &response)
{
    const std::size_t entriesBefore = liveEntries();
    entryCountByMember_[member] = response.entryCount;
    updateReportAddresses(member, response);
    for (const FeedSuspicion &suspicion : response.suspicions) {
        recordSuspicion({ suspicion.fingerprint, suspicion.target });
    }
    bool changed = liveEntries() != entriesBefore;
    for (const FeedItem &item : response.items) {
        changed = applyFeedItem(member, item) || changed;
    }
    changed = mergeEvacuations(member, response) || changed;
    handleAdvertisedVersion(member, response);
    // Publishes at once, because the next poll acknowledges the change.
    if (changed) {
        publishNow();
    }
}

// A partitioned member receives no heartbeats, so a target is unreachable only when its lease has
// expired at all members.
bool EntryCoordinator::isExpiredAtAllMembers(const std::string &target) const
{
    return std::all_of(
        entryCountByMember_.begin(), entryCountByMember_.end(), [this, &target](const auto &entry) {
            const auto expired = expiredTargetsByMember_.find(entry.first);
            return expired != expiredTargetsByMember_.end() && expired->second.count(target) > 0;
        });
}

// A target that comes back is cold unless the heartbeat that brought it back says otherwise. Any
// other heartbeat only extends the cold time, because a response may have said more since.
void EntryCoordinator::recordWarmup(const FeedItem &item, bool isNewer, bool hasReturned)
{
    const TargetRecord &record = item.record;
    const auto stats = stats_.find(record.name);
    if (stats == stats_.end() || stats->second->incarnation() != record.incarnation) {
        return;
    }
    const TimePoint now = Clock::now();
    const Milliseconds remaining { std::max<std::int64_t>(0, record.slowStartMs - item.ageMs) };
    ColdTargetLimit &limit = stats->second->coldLimit();
    bool turnedCold = hasReturned;
    if (hasReturned && isNewer) {
        (void)limit.recordRemaining(remaining, now);
        turnedCold = remaining > ColdTargetLimit::tolerance;
    } else if (hasReturned) {
        limit.assumeCold(now);
    } else if (isNewer) {
        turnedCold = limit.extendRemaining(remaining, now);
    }
    if (turnedCold && serviceLimitsColdTargets(record.service)) {
        logEvent(Event::targetTurnedCold, LogLevel::info,
                 "target={} incarnation={} source={} remainingMs={} ageMs={}", record.name,
                 record.incarnation, isNewer ? "heartbeat" : "lease", remaining.count(),
                 item.ageMs);
    }
}

bool EntryCoordinator::serviceLimitsColdTargets(const std::string &name) const
{
    return std::any_of(configuration_.services.begin(), configuration_.services.end(),
                       [&name](const Service &service) {
                           return service.name == name && limitsColdTargets(service);
                       });
}

// Returns true when the item changes the target table. Most items repeat what another member sent.
bool EntryCoordinator::applyFeedItem(const std::string &member, const FeedItem &item)
{
    const TargetRecord &record = item.record;
    const absl::Status valid = checkTargetRecord(record);
    if (!valid.ok()) {
        logEvent(Event::announcementRejected, LogLevel::warning, "from={} {}", member,
                 std::string(valid.message()));
        return false;
    }
    const TargetRecord *known = targets_.find(record.name);
    const bool isNewer = known == nullptr || supersedes(record, *known);
    const bool wasExpired = isExpiredAtAllMembers(record.name);
    const bool changed = targets_.merge(record, Clock::now());
    if (changed) {
        const Event event = record.state == TargetState::gone ? Event::targetGone
            : record.state == TargetState::draining           ? Event::targetDraining
                                                              : Event::targetAnnounced;
        logEvent(event, LogLevel::info, "target={} service={} state={} incarnation={} from={}",
                 record.name, record.service, targetStateName(record.state), record.incarnation,
                 member);
    }
    if (item.leaseExpired) {
        expiredTargetsByMember_[member].insert(record.name);
    } else {
        expiredTargetsByMember_[member].erase(record.name);
    }
    const bool isExpired = isExpiredAtAllMembers(record.name);
    const auto stats = stats_.find(record.name);
    const bool wasUnreachable = stats != stats_.end() && stats->second->isUnreachable();
    if (stats != stats_.end()) {
        setReachable(record, !isExpired, false);
    }
    recordWarmup(item, isNewer, (wasExpired || wasUnreachable) && !isExpired);
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

// Requests are refused until a member has answered a poll that began after the pause and a
// configuration fetch, if one is running, has ended.
void EntryCoordinator::refreshAfterPause(TimePoint now)
{
    refreshSince_ = now;
    spawnOn(loop_, [this](Yield yield) {
        while (!endRefreshIfCurrent()) {
            pauseFor(loop_, refreshPollInterval, yield);
        }
        core_.recordTick();
    });
}

// Also called by each tick, because without memory the coroutine above cannot be started. Returns
// true when no refresh is pending.
bool EntryCoordinator::endRefreshIfCurrent()
{
    if (refreshSince_ && feed_->answeredSince(*refreshSince_) && !fetchInProgress_) {
        refreshSince_.reset();
    }
    return !refreshSince_;
}

// Only the control seeds and the retry budget can change without a restart.
void EntryCoordinator::reloadSettings()
{
    const auto text = settingsWatch_.readIfChanged();
    if (!text) {
        return;
    }
    const auto settings = parseEntrySettings("settings", *text);
    settingsRejected_ = !settings.ok();
    if (settingsRejected_) {
        logEvent(Event::settingsRejected, LogLevel::error, "{}",
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
    service.runtime->retryBudget.setRatio(budget.ratio * budgetSafetyFactor);
    service.runtime->retryBudget.setMaxBalance(
        std::max(1.0, budget.slack * budgetSafetyFactor / entries));
}

} // namespace kumquat
