#pragma once
/// \file
/// Selects the subset of a service's targets that one of many entries uses first.
/// If all of many entries used all targets, an entry's reports on each target would be old and its
/// connections would be idle for long between two requests.

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

/// The live entries among which targets are divided, as known to one of them.
struct SubsetEntries
{
    std::vector<std::uint64_t> all; ///< subsetHash() of each, including this entry
    std::uint64_t self = 0; ///< subsetHash() of this entry
};

/// The hash of an entry's or a target's name, the same in all entries.
std::uint64_t subsetHash(const std::string &name);

/// The rank of this entry for \p target by rendezvous hashing: the number of entries with a higher
/// weight. Entries that know the same entries agree on the order.
std::size_t entryRank(std::uint64_t target, const SubsetEntries &entries);

/// Positions in \p entries of the \p count entries that rank first for \p target.
std::vector<std::size_t> preferredEntries(std::uint64_t target,
                                          const std::vector<std::uint64_t> &entries,
                                          std::size_t count);

/// True when each of \p entries sends so few requests that it keeps connections to fewer targets
/// ready for use, and asks fewer of them before it places a request.
constexpr bool areManyEntries(std::size_t entries)
{
    return entries > 100;
}

/// The number of entries to assign to each target so that an entry gets enough targets on average;
/// all entries when there are few.
std::size_t entriesPerTarget(std::size_t entries, std::size_t targets);

/// True for each target in this entry's subset; \p ranks holds entryRank() of each target. The
/// subset holds the targets that rank this entry among their first entriesPerTarget(), and the next
/// best ones if these are too few.
std::vector<bool> selectSubset(const std::vector<std::size_t> &ranks, std::size_t entries);

} // namespace kumquat
