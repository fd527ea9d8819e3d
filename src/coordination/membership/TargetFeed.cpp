#include "coordination/membership/TargetFeed.h"

namespace kumquat {

namespace {

bool sameNews(const TargetRecord &left, const TargetRecord &right)
{
    return left.incarnation == right.incarnation && left.state == right.state && left.ip == right.ip
        && left.port == right.port && left.service == right.service && left.slots == right.slots;
}

} // namespace

bool TargetFeed::take(const TargetRecord &record, TimePoint now)
{
    Held &held = targets_[record.name];
    const bool isNew = held.cursor == 0;
    if (!isNew && !supersedes(record, held.item.record)) {
        return false;
    }
    const bool news = isNew || held.item.leaseExpired || !sameNews(held.item.record, record);
    held.item.record = record;
    held.item.leaseExpired = false;
    held.heardAt = now;
    held.directlyAt = now;
    if (!news) {
        return false;
    }
    held.goneAt = record.state == TargetState::gone ? now : TimePoint();
    changed(held);
    if (record.state <= TargetState::ready) {
        retireAddress(record, now);
    }
    return true;
}

// A target that started later at the same address proves that the earlier one has ended.
void TargetFeed::retireAddress(const TargetRecord &record, TimePoint now)
{
    for (auto &entry : targets_) {
        TargetRecord &other = entry.second.item.record;
        const bool sameAddress = other.ip == record.ip && other.port == record.port;
        if (sameAddress && other.name != record.name && other.incarnation < record.incarnation
            && other.state != TargetState::gone) {
            other.state = TargetState::gone;
            entry.second.goneAt = now;
            changed(entry.second);
        }
    }
}

void TargetFeed::renew(const FeedRenewal &renewal, TimePoint now)
{
    const auto found = targets_.find(renewal.target);
    if (found == targets_.end()) {
        return;
    }
    Held &held = found->second;
    TargetRecord &record = held.item.record;
    if (record.incarnation != renewal.incarnation || record.state == TargetState::gone) {
        return;
    }
    record.version = std::max(record.version, renewal.version);
    held.heardAt = now;
    if (held.item.leaseExpired) {
        held.item.leaseExpired = false;
        changed(held);
    }
}

bool TargetFeed::suspect(const FeedSuspicion &suspicion)
{
    if (!known_.insert({ suspicion.fingerprint, suspicion.target }).second) {
        return false;
    }
    suspicions_.push_back({ suspicion, ++cursor_ });
    if (suspicions_.size() > maxSuspicions) {
        const FeedSuspicion &oldest = suspicions_.front().suspicion;
        known_.erase({ oldest.fingerprint, oldest.target });
        suspicions_.pop_front();
    }
    return true;
}

bool TargetFeed::expire(TimePoint now)
{
    bool news = false;
    for (auto entry = targets_.begin(); entry != targets_.end();) {
        Held &held = entry->second;
        const bool gone = held.item.record.state == TargetState::gone;
        if (gone && now - held.goneAt > goneRetention) {
            entry = targets_.erase(entry);
            continue;
        }
        if (!gone && !held.item.leaseExpired && now - held.heardAt > lease_) {
            held.item.leaseExpired = true;
            changed(held);
            news = true;
        }
        ++entry;
    }
    return news;
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
    for (const Suspicion &held : suspicions_) {
        if (held.cursor > cursor) {
            suspicions.push_back(held.suspicion);
        }
    }
    return suspicions;
}

std::vector<FeedRenewal> TargetFeed::renewalsSince(TimePoint since) const
{
    std::vector<FeedRenewal> renewals;
    for (const auto &entry : targets_) {
        const TargetRecord &record = entry.second.item.record;
        if (entry.second.directlyAt > since && record.state != TargetState::gone) {
            renewals.push_back({ record.name, record.incarnation, record.version });
        }
    }
    return renewals;
}

} // namespace kumquat
