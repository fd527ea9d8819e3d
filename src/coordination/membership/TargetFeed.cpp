#include "coordination/membership/TargetFeed.h"

namespace kumquat {

namespace {

// Compares the fields whose change subscribers are told of; the version is not one of them.
bool equalForSubscribers(const TargetRecord &left, const TargetRecord &right)
{
    return left.incarnation == right.incarnation && left.state == right.state && left.ip == right.ip
        && left.port == right.port && left.service == right.service && left.slots == right.slots;
}

} // namespace

bool TargetFeed::merge(const TargetRecord &record, TimePoint now)
{
    StoredTarget &stored = targets_[record.name];
    const bool isNew = stored.cursor == 0;
    if (!isNew && !supersedes(record, stored.item.record)) {
        return false;
    }
    const bool changed
        = isNew || stored.item.leaseExpired || !equalForSubscribers(stored.item.record, record);
    stored.item.record = record;
    stored.item.leaseExpired = false;
    stored.lastHeartbeatAt = now;
    stored.lastMergedAt = now;
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

void TargetFeed::renew(const FeedRenewal &renewal, TimePoint now)
{
    const auto found = targets_.find(renewal.target);
    if (found == targets_.end()) {
        return;
    }
    StoredTarget &stored = found->second;
    TargetRecord &record = stored.item.record;
    if (record.incarnation != renewal.incarnation || record.state == TargetState::gone) {
        return;
    }
    record.version = std::max(record.version, renewal.version);
    stored.lastHeartbeatAt = now;
    if (stored.item.leaseExpired) {
        stored.item.leaseExpired = false;
        advanceCursor(stored);
    }
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
    for (auto entry = targets_.begin(); entry != targets_.end();) {
        StoredTarget &stored = entry->second;
        const bool gone = stored.item.record.state == TargetState::gone;
        if (gone && now - stored.goneAt > goneRetention) {
            entry = targets_.erase(entry);
            continue;
        }
        if (!gone && !stored.item.leaseExpired && now - stored.lastHeartbeatAt > lease_) {
            stored.item.leaseExpired = true;
            advanceCursor(stored);
            changed = true;
        }
        ++entry;
    }
    return changed;
}

const TargetRecord *TargetFeed::find(const std::string &name) const
{
    const auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : &found->second.item.record;
}

std::vector<FeedItem> TargetFeed::itemsAfter(std::uint64_t cursor) const
{
    std::vector<FeedItem> items;
    for (const auto &entry : targets_) {
        if (entry.second.cursor > cursor) {
            items.push_back(entry.second.item);
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

std::vector<FeedRenewal> TargetFeed::renewalsSince(TimePoint since) const
{
    std::vector<FeedRenewal> renewals;
    for (const auto &entry : targets_) {
        const TargetRecord &record = entry.second.item.record;
        if (entry.second.lastMergedAt > since && record.state != TargetState::gone) {
            renewals.push_back({ record.name, record.incarnation, record.version });
        }
    }
    return renewals;
}

} // namespace kumquat
