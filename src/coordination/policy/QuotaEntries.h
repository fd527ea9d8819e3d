#pragma once
/// \file
/// Defines the entries among which quotas are divided, as known to one of them.
/// An entry that left the list keeps its share for a while, since it may only be partitioned.

#include "common/Time.h"
#include "coordination/policy/Subset.h"

#include <map>
#include <string>
#include <vector>

namespace kumquat {

class QuotaEntries
{
public:
    /// Groups of organisations with one owner each.
    static constexpr std::uint64_t ownershipGroups = 8;
    /// How long an entry that left the list may go on using its share.
    static constexpr Milliseconds departureHold { 30'000 };

    /// Sets the live entries by their report addresses, including this one.
    void setLive(const std::vector<std::string> &names, TimePoint now);

    /// The owner of the organisation with this hash; empty when no entry is live. Few entries own
    /// all organisations, since every entry keeps contact with each owner.
    std::string ownerOf(std::uint64_t organisation) const;

    bool isLive(const std::string &name) const;
    std::size_t liveCount() const { return live_.size(); }

    /// The entries that may use a share of a quota; at least 1.
    std::size_t shareCount(TimePoint now) const;

private:
    std::vector<std::string> live_;
    std::vector<std::uint64_t> hashes_; ///< of each in `live_`
    std::map<std::string, TimePoint> leftAt_;
};

} // namespace kumquat
