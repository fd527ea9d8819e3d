#include "coordination/policy/Subset.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <xxhash.h>

namespace kumquat {

namespace {

/// Average size of a subset: about twice as many targets as an entry probes for one request, so
/// that enough remain when a failure domain fails.
constexpr std::size_t desiredTargetsPerEntry = 28;
/// One of many entries also probes fewer targets for a request.
constexpr std::size_t desiredTargetsOfMany = 14;
/// Fewer targets would leave too little choice when some of them are slow.
constexpr std::size_t minTargetsPerEntry = 16;
constexpr std::size_t minTargetsOfMany = 12;

std::uint64_t rendezvousWeight(std::uint64_t target, std::uint64_t entry)
{
    const std::uint64_t pair[] = { target, entry };
    return XXH64(pair, sizeof(pair), 0);
}

} // namespace

std::uint64_t subsetHash(const std::string &name)
{
    return XXH64(name.data(), name.size(), 0);
}

std::size_t entryRank(std::uint64_t target, const SubsetEntries &entries)
{
    const std::uint64_t ownWeight = rendezvousWeight(target, entries.self);
    const auto preferred
        = std::count_if(entries.all.begin(), entries.all.end(), [&](std::uint64_t entry) {
              return entry != entries.self && rendezvousWeight(target, entry) > ownWeight;
          });
    return static_cast<std::size_t>(preferred);
}

std::vector<std::size_t>
preferredEntries(std::uint64_t target, const std::vector<std::uint64_t> &entries, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        ranked.emplace_back(rendezvousWeight(target, entries[i]), i);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::size_t> positions;
    for (auto entry = ranked.begin(); entry != end; ++entry) {
        positions.push_back(entry->second);
    }
    return positions;
}

// Example: 44 entries, 199 targets -> 7 entries per target, 31 targets per entry.
std::size_t entriesPerTarget(std::size_t entries, std::size_t targets)
{
    if (targets == 0) {
        return entries;
    }
    const std::size_t desired
        = areManyEntries(entries) ? desiredTargetsOfMany : desiredTargetsPerEntry;
    const std::size_t wanted = (desired * entries + targets - 1) / targets;
    return std::min(entries, std::max<std::size_t>(1, wanted));
}

std::vector<bool> selectSubset(const std::vector<std::size_t> &ranks, std::size_t entries)
{
    const std::size_t perTarget = entriesPerTarget(entries, ranks.size());
    const std::size_t fewest = areManyEntries(entries) ? minTargetsOfMany : minTargetsPerEntry;
    std::vector<std::size_t> order(ranks.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&ranks](std::size_t left, std::size_t right) {
        return ranks[left] < ranks[right];
    });
    std::vector<bool> selected(ranks.size(), false);
    for (std::size_t i = 0; i < order.size(); ++i) {
        selected[order[i]] = ranks[order[i]] < perTarget || i < fewest;
    }
    return selected;
}

} // namespace kumquat
