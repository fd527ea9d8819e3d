#pragma once
/// \file
/// Chooses the part of a service's targets that one of many entries uses first.
/// Answers large deployments: with all entries at all targets, what an entry knows of each is old
/// and connections go cold between two requests.

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

/// The entries among which targets are divided, as one of them sees them.
struct SubsetEntries
{
    std::vector<std::uint64_t> all; ///< a hash of each live entry, this one included
    std::uint64_t self = 0;
};

/// The hash by which all entries know an entry or a target.
std::uint64_t subsetHash(const std::string &name);

/// How many entries come before this one in the order in which \p target prefers entries; the
/// same on every entry that knows the same entries (rendezvous hashing).
std::size_t entryRank(std::uint64_t target, const SubsetEntries &entries);

/// Entries that each target should have, so that each entry has about enough targets; all of
/// them when there are few.
std::size_t entriesPerTarget(std::size_t entries, std::size_t targets);

/// One for each target of \p ranks: true when this entry uses it first. Targets that prefer this
/// entry come first, then as many of the next best as a small share needs.
std::vector<bool> selectSubset(const std::vector<std::size_t> &ranks, std::size_t entries);

} // namespace kumquat
