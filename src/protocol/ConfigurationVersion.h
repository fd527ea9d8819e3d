#pragma once
/// \file
/// Defines how versions of the configuration are ordered.
/// The epoch is set when a control group is formed; the number counts its accepted changes.

#include <cstdint>

namespace kumquat {

/// Ordered by epoch, then by number.
struct ConfigurationVersion
{
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;

    bool operator<(const ConfigurationVersion &other) const
    {
        return epoch != other.epoch ? epoch < other.epoch : number < other.number;
    }
    bool operator==(const ConfigurationVersion &other) const
    {
        return epoch == other.epoch && number == other.number;
    }
};

} // namespace kumquat
