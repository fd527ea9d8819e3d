#include "coordination/entry/RoutingTable.h"

#include <algorithm>

namespace kumquat {

namespace {

bool namesMethod(const Route &route, const std::string &method)
{
    return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

bool accepts(const Route &route, const std::string &method, const std::string &path)
{
    const bool prefix = path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
    return prefix && (route.methods.empty() || namesMethod(route, method));
}

} // namespace

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
