#include "coordination/entry/RoutingTable.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

bool listsMethod(const Route &route, const std::string &method)
{
    return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

bool accepts(const Route &route, const std::string &method, const std::string &path)
{
    const bool prefix = path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
    return prefix && (route.methods.empty() || listsMethod(route, method));
}

// Multiples of it modulo 1 form a low-discrepancy sequence, evenly spread over [0, 1).
constexpr double goldenRatioFraction = 0.618033988749895;

} // namespace

std::string routeKey(std::string_view host, std::string_view pathPrefix)
{
    const std::string_view name = host.substr(0, host.find(':'));
    std::string key = absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
    key += '\n';
    key.append(pathPrefix);
    return key;
}

std::size_t ActiveRoute::nextDestination() const
{
    const std::vector<Destination> &destinations = configuration.destinations;
    if (destinations.size() == 1) {
        return 0;
    }
    std::int64_t total = 0;
    for (const Destination &destination : destinations) {
        total += destination.weight;
    }
    const auto sequence = static_cast<double>(runtime->requests.fetch_add(1));
    const double position
        = std::fmod(sequence * goldenRatioFraction, 1.0) * static_cast<double>(total);
    double cumulative = 0;
    for (std::size_t i = 0; i + 1 < destinations.size(); ++i) {
        cumulative += destinations[i].weight;
        if (position < cumulative) {
            return i;
        }
    }
    return destinations.size() - 1;
}

// Prefixes end in a slash, so there are only as many lookups as slashes in the path.
ActiveRoutePtr RoutingTable::matchHost(std::string_view host, std::string_view path) const
{
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
        const auto found = hostRoutes->find(routeKey(host, path.substr(0, end + 1)));
        if (found != hostRoutes->end()) {
            return found->second;
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

std::shared_ptr<const ActiveService> RoutingTable::nextService(const ActiveRoute &route) const
{
    const std::size_t destination = route.nextDestination();
    const std::size_t position = route.services[destination];
    const bool isOwn = position < services.size()
        && services[position]->configuration.name
            == route.configuration.destinations[destination].service;
    return isOwn ? services[position] : nullptr;
}

std::shared_ptr<const ActiveService> RoutingTable::findService(const std::string &name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&name](const auto &service) {
        return service->configuration.name == name;
    });
    return found == services.end() ? nullptr : *found;
}

RouteMatch RoutingTable::match(const std::string &method, const std::string &path) const
{
    RouteMatch best;
    std::size_t bestRank = 0;
    for (const auto &service : services) {
        for (const Route &route : service->configuration.routes) {
            if (!accepts(route, method, path)) {
                continue;
            }
            const std::size_t rank = 2 * route.pathPrefix.size() + (route.methods.empty() ? 0 : 1);
            if (rank > bestRank) {
                bestRank = rank;
                best = { service, route.kind };
            }
        }
    }
    return best;
}

} // namespace kumquat
