#include "coordination/entry/CallerIdentity.h"

#include <iterator>

namespace kumquat {

namespace {

// Two keys could identify two organisations, so they identify none.
OrganisationPtr holderOfKey(const http::fields &header, const std::string &name,
                            const OrganisationsByKey &organisations)
{
    const auto fields = header.equal_range(name);
    if (std::distance(fields.first, fields.second) != 1) {
        return nullptr;
    }
    const auto found = organisations.find(std::string(fields.first->value()));
    return found == organisations.end() ? nullptr : found->second;
}

} // namespace

CallerIdentity identifyCaller(const http::fields &header, const HeaderNames &names,
                              const RoutingTable &routing, const HostRoute &route)
{
    if (!routing.organisations || names.apiKey.empty()) {
        return { true, nullptr };
    }
    CallerIdentity identity;
    identity.organisation = holderOfKey(header, names.apiKey, *routing.organisations);
    identity.isAccepted = identity.organisation || route.allowsAnonymous;
    return identity;
}

void setOrganisation(http::fields &header, const HeaderNames &names,
                     const OrganisationPtr &organisation)
{
    if (!names.apiKey.empty()) {
        header.erase(names.apiKey);
    }
    if (names.organisation.empty()) {
        return;
    }
    header.erase(names.organisation);
    if (organisation) {
        header.set(names.organisation, organisation->name);
    }
}

} // namespace kumquat
