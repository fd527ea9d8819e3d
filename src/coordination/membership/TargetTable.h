#pragma once
/// \file
/// Holds one entry's records of the targets and merges updates that arrive in any order.
/// It is not thread-safe: the entry's coordination thread alone uses it.

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

    /// Stores \p record if it supersedes the stored one. True when the target is new or its
    /// incarnation or state has changed.
    bool merge(const TargetRecord &record, TimePoint now);

    const TargetRecord *find(const std::string &name) const;
    std::vector<TargetRecord> all() const;
    void forEach(const std::function<void(const TargetRecord &)> &visit) const;
    std::size_t size() const { return records_.size(); }

    /// One hash per bucket over names, incarnations and states; equal tables have equal digests.
    Digest digest() const;
    std::vector<TargetRecord> recordsInBucket(std::size_t bucket) const;

    /// Removes the records of targets that have been gone for `goneRetention`.
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
