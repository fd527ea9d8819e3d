#pragma once
/// \file
/// Defines the immutable table by which an entry finds the service and targets of a request.
/// A change of configuration or targets publishes a new table; requests keep the one they read.

#include "coordination/entry/ServiceRuntime.h"

namespace kumquat {

/// Versions of the configuration are ordered by epoch, then by number.
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

struct RouteMatch
{
    std::shared_ptr<const ActiveService> service; ///< null when nothing matches
    RequestKind kind = RequestKind::idempotent;
};

struct RoutingTable
{
    ConfigurationVersion version; ///< number 0: no configuration yet
    std::vector<std::shared_ptr<const ActiveService>> services;

    /// The longest matching prefix wins; at equal length a route that names the method.
    RouteMatch match(const std::string &method, const std::string &path) const;
};

} // namespace kumquat
