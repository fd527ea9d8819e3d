#include "coordination/membership/TargetTable.h"

#include <xxhash.h>

namespace kumquat {

namespace {

std::size_t bucketOf(const std::string &name)
{
    return XXH64(name.data(), name.size(), 0) % TargetTable::bucketCount;
}

// The version is left out: a renewal changes nothing else, and it is not propagated by gossip.
std::uint64_t recordHash(const TargetRecord &record)
{
    const std::uint64_t seed = record.incarnation * 8 + static_cast<std::uint64_t>(record.state);
    return XXH64(record.name.data(), record.name.size(), seed);
}

} // namespace

bool TargetTable::merge(const TargetRecord &record, TimePoint now)
{
    const auto found = records_.find(record.name);
    if (found == records_.end()) {
        records_.emplace(record.name, StoredRecord { record, now });
        return true;
    }
    if (!supersedes(record, found->second.record)) {
        return false;
    }
    const bool changed = recordHash(record) != recordHash(found->second.record);
    found->second = { record, now };
    return changed;
}

const TargetRecord *TargetTable::find(const std::string &name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second.record;
}

std::vector<TargetRecord> TargetTable::all() const
{
    std::vector<TargetRecord> result;
    result.reserve(records_.size());
    for (const auto &entry : records_) {
        result.push_back(entry.second.record);
    }
    return result;
}

void TargetTable::forEach(const std::function<void(const TargetRecord &)> &visit) const
{
    for (const auto &entry : records_) {
        visit(entry.second.record);
    }
}

TargetTable::Digest TargetTable::digest() const
{
    Digest digest {};
    for (const auto &entry : records_) {
        digest[bucketOf(entry.first)] ^= recordHash(entry.second.record);
    }
    return digest;
}

std::vector<TargetRecord> TargetTable::recordsInBucket(std::size_t bucket) const
{
    std::vector<TargetRecord> result;
    for (const auto &entry : records_) {
        if (bucketOf(entry.first) == bucket) {
            result.push_back(entry.second.record);
        }
    }
    return result;
}

void TargetTable::removeExpired(TimePoint now)
{
    for (auto entry = records_.begin(); entry != records_.end();) {
        const bool gone = entry->second.record.state == TargetState::gone;
        const bool old = now - entry->second.updatedAt > goneRetention;
        entry = gone && old ? records_.erase(entry) : std::next(entry);
    }
}

} // namespace kumquat
