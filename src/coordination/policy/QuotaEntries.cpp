#include "coordination/policy/QuotaEntries.h"

#include <algorithm>
#include <iterator>

namespace kumquat {

void QuotaEntries::setLive(const std::vector<std::string> &names, TimePoint now)
{
    for (const std::string &name : live_) {
        leftAt_[name] = now;
    }
    live_ = names;
    hashes_.clear();
    for (const std::string &name : live_) {
        hashes_.push_back(subsetHash(name));
        leftAt_.erase(name);
    }
    for (auto left = leftAt_.begin(); left != leftAt_.end();) {
        left = now - left->second > departureHold ? leftAt_.erase(left) : std::next(left);
    }
}

std::string QuotaEntries::ownerOf(std::uint64_t organisation) const
{
    const std::uint64_t group = organisation % ownershipGroups;
    const auto first = preferredEntries(group, hashes_, 1);
    return first.empty() ? "" : live_[first.front()];
}

bool QuotaEntries::isLive(const std::string &name) const
{
    return std::find(live_.begin(), live_.end(), name) != live_.end();
}

std::size_t QuotaEntries::shareCount(TimePoint now) const
{
    const auto left = std::count_if(leftAt_.begin(), leftAt_.end(), [now](const auto &entry) {
        return now - entry.second <= departureHold;
    });
    return std::max<std::size_t>(1, live_.size() + static_cast<std::size_t>(left));
}

} // namespace kumquat
