#pragma once
/// \file
/// Holds the targets' records of one entry and merges what it hears, in any order.
/// It is plain data under the entry's coordination thread; gossip and announcements feed it.

#include "common/Time.h"
#include "kumquat/TargetRecord.h"

#include <array>
#include <map>
#include <vector>

namespace kumquat {

class TargetTable
{
public:
    static constexpr std::size_t bucketCount = 32;

    /// Records of targets that are gone are kept this long, so that an old copy cannot bring
    /// them back.
    static constexpr Milliseconds goneRetention { 600'000 };

    using Digest = std::array<std::uint64_t, bucketCount>;

    /// Takes \p record if it supersedes what is held; true when something changed.
    bool merge(const TargetRecord &record, TimePoint now);

    const TargetRecord *find(const std::string &name) const;
    std::vector<TargetRecord> all() const;
    void forEach(const std::function<void(const TargetRecord &)> &visit) const;
    std::size_t size() const { return records_.size(); }

    /// A hash a bucket over names, incarnations and states; equal tables have equal digests.
    Digest digest() const;
    std::vector<TargetRecord> recordsInBucket(std::size_t bucket) const;

    /// Forgets records that have been gone for the retention time.
    void removeExpired(TimePoint now);

private:
    struct StoredRecord
    {
        TargetRecord record;
        TimePoint updatedAt;
    };

    std::map<std::string, StoredRecord> records_;
};

} // namespace kumquat
