#pragma once
/// \file
/// Identifies the organisation of a caller by the key that its request carries.
/// Depends on nothing but the request's header and the configuration that routes it.

#include "coordination/entry/RoutingTable.h"
#include "protocol/Dialect.h"

namespace kumquat {

struct CallerIdentity
{
    bool isAccepted = false; ///< false: the route needs a key that an organisation holds
    OrganisationPtr organisation; ///< null when the caller is anonymous
};

/// Identifies the caller of a request for \p route, by the configuration of \p routing.
CallerIdentity identifyCaller(const http::fields &header, const HeaderNames &names,
                              const RoutingTable &routing, const HostRoute &route);

/// Removes the caller's key and whatever the caller said of its organisation, and names
/// \p organisation to the target unless it is null.
void setOrganisation(http::fields &header, const HeaderNames &names,
                     const OrganisationPtr &organisation);

} // namespace kumquat
