#include "coordination/membership/TargetFeed.h"

#include "kumquat/Event.h"

#include <algorithm>

namespace kumquat {

namespace {

// Compares the fields whose change subscribers are told of; the version is not one of them.
bool equalForSubscribers(const TargetRecord &left, const TargetRecord &right)
{
    return left.incarnation == right.incarnation && left.state == right.state && left.ip == right.ip
        && left.port == right.port && left.service == right.service && left.slots == right.slots;
}

Milliseconds ageAt(TimePoint now, TimePoint heard)
{
    return std::chrono::duration_cast<Milliseconds>(now - heard);
}

TimePoint heardAt(std::int64_t ageMs, TimePoint now)
{
    return now - Milliseconds(std::max<std::int64_t>(0, ageMs));
}

/// Heartbeats of one warm-up arrive with different delays.
constexpr Milliseconds slowStartTolerance { 250 };

/// A heartbeat that repeats the value of the one before extends the known cold time only once no
/// more of it is left than the time between the two, divided by this. Otherwise each heartbeat of a
/// target whose value does not run down would be a notice to all entries.
constexpr int repeatedIntervalDivisor = 2;

} // namespace

void TargetFeed::advanceCursor(StoredTarget &stored)
{
    stored.cursor = ++cursor_;
    if (stored.item.record.state >= TargetState::draining) {
        departureCursor_ = cursor_;
    }
}

bool TargetFeed::merge(const TargetRecord &record, TimePoint now)
{
    StoredTarget &stored = targets_[record.name];
    if (!stored.isNew() && !supersedes(record, stored.item.record)) {
        return false;
    }
    const bool turnedCold = recordWarmup(stored, record, now);
    stored.lastHeartbeatAt = now;
    stored.lastMergedAt = now;
    return store(stored, record, false, turnedCold, now);
}

// Only its own age says when the target was last heard: if an item that was passed on or read from
// disk counted as a heartbeat, a silent target would stay usable for another lease.
bool TargetFeed::mergeItem(const FeedItem &item, TimePoint now)
{
    // Another member may run a version that checks less, and a file may be damaged.
    const absl::Status valid = checkTargetRecord(item.record);
    if (!valid.ok()) {
        logEvent(Event::announcementRejected, LogLevel::warning, "{}",
                 std::string(valid.message()));
        return false;
    }
    StoredTarget &stored = targets_[item.record.name];
    if (!stored.isNew() && !supersedes(item.record, stored.item.record)) {
        return false;
    }
    const TimePoint heard = heardAt(item.ageMs, now);
    const bool turnedCold = recordWarmup(stored, item.record, heard);
    stored.lastHeartbeatAt = std::max(stored.lastHeartbeatAt, heard);
    const bool leaseExpired
        = item.record.state != TargetState::gone && now - stored.lastHeartbeatAt > lease_;
    return store(stored, item.record, leaseExpired, turnedCold, now);
}

bool TargetFeed::store(StoredTarget &stored, const TargetRecord &record, bool leaseExpired,
                       bool turnedCold, TimePoint now)
{
    const bool changed = stored.isNew() || turnedCold || stored.item.leaseExpired != leaseExpired
        || !equalForSubscribers(stored.item.record, record);
    stored.item.record = record;
    stored.item.leaseExpired = leaseExpired;
    if (!changed) {
        return false;
    }
    stored.goneAt = record.state == TargetState::gone ? now : TimePoint();
    advanceCursor(stored);
    if (record.state <= TargetState::ready) {
        retireEarlierTargets(record, now);
    }
    return true;
}

// A target with a higher incarnation at the same address proves that the earlier one has ended.
void TargetFeed::retireEarlierTargets(const TargetRecord &record, TimePoint now)
{
    for (auto &entry : targets_) {
        TargetRecord &other = entry.second.item.record;
        const bool sameAddress = other.ip == record.ip && other.port == record.port;
        if (sameAddress && other.name != record.name && other.incarnation < record.incarnation
            && other.state != TargetState::gone) {
            other.state = TargetState::gone;
            entry.second.goneAt = now;
            advanceCursor(entry.second);
        }
    }
}

// Returns true when the heartbeat names a longer cold time than subscribers know: the target has
// turned cold without a restart. Where the configuration limits no cold targets, what subscribers
// know stays as it is, so that they are told after a change of the configuration.
bool TargetFeed::recordWarmup(StoredTarget &stored, const TargetRecord &record, TimePoint heard)
{
    const TargetRecord &previous = stored.item.record;
    const TimePoint until = heard + Milliseconds(record.slowStartMs);
    if (stored.isNew() || previous.incarnation != record.incarnation) {
        stored.coldUntil = until;
        return false; // a change in any case
    }
    const Clock::duration left = std::max(Clock::duration::zero(), stored.coldUntil - heard);
    const Clock::duration interval = heard - stored.lastHeartbeatAt;
    const bool isRepeated
        = record.slowStartMs == previous.slowStartMs && left > interval / repeatedIntervalDivisor;
    const bool isLonger = Milliseconds(record.slowStartMs) > left + slowStartTolerance;
    if (!isLonger) {
        stored.coldUntil = std::min(stored.coldUntil, until);
    }
    if (!isLonger || isRepeated || (limitsColdTargets_ && !limitsColdTargets_(record.service))) {
        return false;
    }
    stored.coldUntil = until;
    return true;
}

// Later subscribers read the stored time, so it must not stay that of the first heartbeat.
bool TargetFeed::renewWarmup(StoredTarget &stored, const FeedRenewal &renewal, TimePoint now)
{
    TargetRecord &record = stored.item.record;
    if (renewal.slowStartMs < 0 || renewal.version <= record.version) {
        return false;
    }
    TargetRecord renewed = record;
    renewed.slowStartMs = renewal.slowStartMs;
    const bool turnedCold = recordWarmup(stored, renewed, heardAt(renewal.ageMs, now));
    record.slowStartMs = renewal.slowStartMs;
    return turnedCold;
}

bool TargetFeed::renew(const FeedRenewal &renewal, TimePoint now)
{
    const auto found = targets_.find(renewal.target);
    if (found == targets_.end()) {
        return false;
    }
    StoredTarget &stored = found->second;
    TargetRecord &record = stored.item.record;
    if (record.incarnation != renewal.incarnation || record.state == TargetState::gone) {
        return false;
    }
    const bool turnedCold = renewWarmup(stored, renewal, now);
    record.version = std::max(record.version, renewal.version);
    stored.lastHeartbeatAt = std::max(stored.lastHeartbeatAt, heardAt(renewal.ageMs, now));
    const bool hasReturned = stored.item.leaseExpired && now - stored.lastHeartbeatAt <= lease_;
    if (hasReturned) {
        stored.item.leaseExpired = false;
    }
    if (hasReturned || turnedCold) {
        advanceCursor(stored);
    }
    return hasReturned || turnedCold;
}

bool TargetFeed::addSuspicion(const FeedSuspicion &suspicion)
{
    if (!knownSuspicions_.insert({ suspicion.fingerprint, suspicion.target }).second) {
        return false;
    }
    suspicions_.push_back({ suspicion, ++cursor_ });
    if (suspicions_.size() > maxSuspicions) {
        const FeedSuspicion &oldest = suspicions_.front().suspicion;
        knownSuspicions_.erase({ oldest.fingerprint, oldest.target });
        suspicions_.pop_front();
    }
    return true;
}

bool TargetFeed::expire(TimePoint now)
{
    bool changed = false;
    for (auto &entry : targets_) {
        StoredTarget &stored = entry.second;
        const bool gone = stored.item.record.state == TargetState::gone;
        if (!gone && !stored.item.leaseExpired && now - stored.lastHeartbeatAt > lease_) {
            stored.item.leaseExpired = true;
            advanceCursor(stored);
            changed = true;
        }
    }
    forgetEnded(now);
    return changed;
}

TimePoint TargetFeed::endedAt(const StoredTarget &stored) const
{
    if (stored.item.record.state == TargetState::gone) {
        return stored.goneAt;
    }
    return stored.item.leaseExpired ? stored.lastHeartbeatAt + lease_ : TimePoint::max();
}

void TargetFeed::forgetEnded(TimePoint now)
{
    std::vector<std::pair<TimePoint, std::string>> ended;
    for (auto entry = targets_.begin(); entry != targets_.end();) {
        const TimePoint end = endedAt(entry->second);
        if (end != TimePoint::max() && now - end > goneRetention) {
            entry = targets_.erase(entry);
            continue;
        }
        if (end != TimePoint::max()) {
            ended.emplace_back(end, entry->first);
        }
        ++entry;
    }
    if (ended.size() <= maxEnded) {
        return;
    }
    std::sort(ended.begin(), ended.end());
    ended.resize(ended.size() - maxEnded);
    for (const auto &oldest : ended) {
        targets_.erase(oldest.second);
    }
}

const TargetRecord *TargetFeed::find(const std::string &name) const
{
    const auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : &found->second.item.record;
}

std::uint64_t TargetFeed::cursorOf(const std::string &name) const
{
    const auto found = targets_.find(name);
    return found == targets_.end() ? 0 : found->second.cursor;
}

std::vector<FeedItem> TargetFeed::itemsAfter(std::uint64_t cursor, TimePoint now) const
{
    std::vector<FeedItem> items;
    for (const auto &entry : targets_) {
        const StoredTarget &stored = entry.second;
        if (stored.cursor > cursor) {
            items.push_back({ stored.item.record, stored.item.leaseExpired,
                              ageAt(now, stored.lastHeartbeatAt).count() });
        }
    }
    return items;
}

std::vector<FeedSuspicion> TargetFeed::suspicionsAfter(std::uint64_t cursor) const
{
    std::vector<FeedSuspicion> suspicions;
    for (const StoredSuspicion &stored : suspicions_) {
        if (stored.cursor > cursor) {
            suspicions.push_back(stored.suspicion);
        }
    }
    return suspicions;
}

std::vector<FeedRenewal> TargetFeed::renewalsSince(TimePoint since, TimePoint now) const
{
    std::vector<FeedRenewal> renewals;
    for (const auto &entry : targets_) {
        const TargetRecord &record = entry.second.item.record;
        const TimePoint heard = entry.second.lastMergedAt;
        if (heard > since && record.state != TargetState::gone) {
            renewals.push_back({ record.name, record.incarnation, record.version,
                                 ageAt(now, heard).count(), record.slowStartMs });
        }
    }
    return renewals;
}

} // namespace kumquat
