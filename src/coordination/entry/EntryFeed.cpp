// What an entry learns from the control group when targets announce themselves there: targets,
// configuration, requests that end targets, the number of entries.
#include "coordination/entry/EntryCoordinator.h"

#include "kumquat/Event.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Longer than a member may hold a call open.
constexpr Milliseconds tellSuspicionFor { 3'000 };
/// How often a woken entry looks whether the group has answered it.
constexpr Milliseconds freezeCheck { 10 };
/// A budget is shared by entries that each know of the others only roughly.
constexpr double budgetMargin = 0.7;
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
    hooks.take
        = [this](const std::string &member, const FeedAnswer &answer) { takeFeed(member, answer); };
    hooks.reachabilityChanged = [this](const std::string &member, bool reachable) {
        noteReachability(member, reachable);
    };
    const ControlFeedOptions options { settings_.name, "", false };
    feed_ = std::make_unique<ControlFeed>(loop_, authenticator_, options, std::move(hooks));
}

absl::Status EntryCoordinator::openSharing()
{
    if (settings_.reportAddress.empty()) {
        return absl::OkStatus();
    }
    sharing_ = std::make_unique<LoadReportSharing>(
        [this](const Address &to, const std::string &payload) { datagrams_.send(to, payload); },
        randomSeed());
    return datagrams_.open(*parseAddress(settings_.reportAddress), [this](const std::string &text) {
        sharing_->receive(text, Clock::now());
    });
}

void EntryCoordinator::shareForever(Yield yield)
{
    while (true) {
        pauseFor(loop_, LoadReportSharing::sendInterval, yield);
        sharing_->sendReports(Clock::now());
    }
}

// A member names the entries only when they have changed.
void EntryCoordinator::takePeers(const std::string &member, const FeedAnswer &answer)
{
    if (!sharing_ || answer.reportAddresses.empty()
        || reportersAt_[member] == answer.reportAddresses) {
        return;
    }
    reportersAt_[member] = answer.reportAddresses;
    setPeers();
}

// An entry that is cut off from some member is known to the others.
void EntryCoordinator::setPeers()
{
    std::set<std::string> names { settings_.reportAddress };
    for (const auto &reporters : reportersAt_) {
        names.insert(reporters.second.begin(), reporters.second.end());
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
    sharing_->setPeers(std::move(peers));
    if (entries.all != subsetEntries_.all) {
        subsetEntries_ = std::move(entries);
        ranks_.clear();
        publish();
    }
}

void EntryCoordinator::divideTargets(ActiveService &service)
{
    if (subsetEntries_.all.size() < 2) {
        return;
    }
    std::vector<std::size_t> ranks;
    for (const TargetPtr &target : service.targets) {
        const std::uint64_t hash = subsetHash(target->record.name);
        const auto known = ranks_.find(hash);
        ranks.push_back(known == ranks_.end() ? rankAt(hash, subsetEntries_) : known->second);
        ranks_[hash] = ranks.back();
    }
    const std::vector<bool> own = ownSubset(ranks, subsetEntries_.all.size());
    for (std::size_t i = 0; i < own.size(); ++i) {
        TargetPtr &target = service.targets[i];
        if (own[i] != target->inSubset) {
            Target changed = *target;
            changed.inSubset = own[i];
            target = std::make_shared<const Target>(std::move(changed));
            published_[target->record.name] = target;
        }
    }
}

void EntryCoordinator::fillPoll(FeedPoll &poll)
{
    poll.reportAddress = settings_.reportAddress;
    poll.epoch = wanted_.epoch;
    poll.number = wanted_.number;
    // Each is told to every member, which knows it from the first time; after that it is dropped.
    const TimePoint now = Clock::now();
    while (!suspicions_.empty() && now - suspicions_.front().since > tellSuspicionFor) {
        suspicions_.pop_front();
    }
    for (const HeldSuspicion &held : suspicions_) {
        poll.suspicions.push_back(held.suspicion);
    }
}

void EntryCoordinator::noteReachability(const std::string &member, bool reachable)
{
    controlReachable_ = feed_->reachable() > 0;
    logEvent(reachable ? Event::controlReached : Event::controlUnreachable, LogLevel::info,
             "member={} reachable={}", member, feed_->reachable());
    if (!reachable) {
        entriesAt_.erase(member);
        silentAt_.erase(member);
        // The last list is kept: whoever is in it goes on without the group, too.
        if (reportersAt_.size() > 1 && reportersAt_.erase(member) > 0) {
            setPeers();
        }
    }
}

void EntryCoordinator::takeFeed(const std::string &member, const FeedAnswer &answer)
{
    const std::size_t entriesBefore = liveEntries();
    entriesAt_[member] = answer.entries;
    takePeers(member, answer);
    for (const FeedSuspicion &suspicion : answer.suspicions) {
        suspectRequest({ suspicion.fingerprint, suspicion.target });
    }
    bool changed = liveEntries() != entriesBefore;
    for (const FeedItem &item : answer.items) {
        changed = takeFeedItem(member, item) || changed;
    }
    noteVersion(member, answer);
    // A change of targets is in force before the next call acknowledges it.
    if (changed) {
        publishNow();
    }
}

// True when the item changes what is known; most have come from another member before.
bool EntryCoordinator::takeFeedItem(const std::string &member, const FeedItem &item)
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
        silentAt_[member].insert(record.name);
    } else {
        silentAt_[member].erase(record.name);
    }
    // A member that was cut off has heard nothing itself: one that has heard the target is enough.
    const bool silentEverywhere
        = std::all_of(entriesAt_.begin(), entriesAt_.end(), [this, &record](const auto &entry) {
              return silentAt_[entry.first].count(record.name) > 0;
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
    for (const auto &entry : entriesAt_) {
        most = std::max<std::size_t>(most, entry.second);
    }
    return most;
}

// Nothing is served until a member has answered a call that began after the wake.
void EntryCoordinator::refreshAfterFreeze(TimePoint now)
{
    stale_ = true;
    spawnOn(loop_, [this, now](Yield yield) {
        while (!feed_->answeredSince(now) || fetching_) {
            pauseFor(loop_, freezeCheck, yield);
        }
        stale_ = false;
        core_.noteTick();
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

void EntryCoordinator::setBudgets(const ActiveService &service)
{
    const SharedRetryBudget &budget = settings_.retryBudget;
    const auto entries = static_cast<double>(liveEntries());
    const double probesPerSecond
        = loadProbesPerTarget * static_cast<double>(service.targets.size()) / entries;
    service.runtime->loadProbeBudget.setRate(probesPerSecond, probesPerSecond * loadProbeBurstSeconds);
    service.runtime->retryBudget.setShare(budget.ratio * budgetMargin);
    service.runtime->retryBudget.setMost(std::max(1.0, budget.slack * budgetMargin / entries));
}

} // namespace kumquat
