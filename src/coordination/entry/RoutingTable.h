#pragma once
/// \file
/// Defines the immutable table in which an entry looks up the service and targets of a request.
/// A change of configuration or targets publishes a new table; requests keep the one they read.

#include "coordination/entry/ServiceRuntime.h"
#include "coordination/policy/BaselineServiceTime.h"
#include "protocol/ConfigurationVersion.h"

#include <string_view>
#include <unordered_map>

namespace kumquat {

struct RouteMatch
{
    std::shared_ptr<const ActiveService> service; ///< null when nothing matches
    RequestKind kind = RequestKind::idempotent;
};

/// The run-time state of a route in one entry; outlives changes of the configuration.
struct RouteRuntime
{
    std::atomic<std::uint64_t> requests { 0 }; ///< counted for weighted splits
    BaselineServiceTime baselineServiceTime;
};

/// One immutable version of a host route, with the services that its requests are split among.
struct ActiveRoute
{
    HostRoute configuration;
    std::vector<std::size_t>
        services; ///< indices into RoutingTable::services, one for each destination
    std::shared_ptr<RouteRuntime> runtime;
    /// Requests that wait for a target are queued. Only where the configuration has organisations
    /// or bulk routes, since the order makes no difference to requests of one class.
    bool queuesRequests = false;

    /// Index of the next request's destination. Even short sequences of requests match the weights.
    std::size_t nextDestination() const;
};

using ActiveRoutePtr = std::shared_ptr<const ActiveRoute>;
using HostRoutes = std::unordered_map<std::string, ActiveRoutePtr>; ///< by routeKey()

using OrganisationPtr = std::shared_ptr<const Organisation>;

/// The organisations of one configuration, by each of their keys.
using OrganisationsByKey = std::unordered_map<std::string, OrganisationPtr>;

struct RoutingTable
{
    ConfigurationVersion version; ///< number 0: no configuration yet
    std::vector<std::shared_ptr<const ActiveService>> services;

    /// The longest matching prefix wins; at equal length a route that names the method.
    RouteMatch match(const std::string &method, const std::string &path) const;

    /// Shared by all tables of one configuration, since there may be thousands of routes.
    std::shared_ptr<const HostRoutes> hostRoutes = std::make_shared<HostRoutes>();
    /// Null when callers need no key.
    std::shared_ptr<const OrganisationsByKey> organisations;
    CallerLimits callerLimits;

    /// The service of the next request of \p route. Null when \p route is of another configuration
    /// and its service is not the one that it names.
    std::shared_ptr<const ActiveService> nextService(const ActiveRoute &route) const;

    /// Null when there is no such service.
    std::shared_ptr<const ActiveService> findService(const std::string &name) const;

    /// The route of \p host with the longest prefix that matches \p path; null when there is none.
    ActiveRoutePtr matchHost(std::string_view host, std::string_view path) const;
};

/// The key of a route in HostRoutes; the host is used without its port and in lower case.
std::string routeKey(std::string_view host, std::string_view pathPrefix);

} // namespace kumquat
