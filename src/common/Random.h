#pragma once
/// \file
/// Defines the pseudo-random number generator that all modules use.
/// Tests give it fixed seeds; processes seed it from the operating system.

#include <cstdint>
#include <random>

namespace kumquat {

using Random = std::mt19937_64;

inline std::uint64_t randomSeed()
{
    std::random_device device;
    const std::uint64_t high = device();
    return (high << 32U) | device();
}

/// A uniformly distributed number in [0, bound); \p bound must not be 0.
inline std::size_t randomBelow(Random &random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

} // namespace kumquat
