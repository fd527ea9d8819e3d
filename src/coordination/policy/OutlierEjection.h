#pragma once
/// \file
/// Ejects targets that fail or are much slower than their peers, up to a share of a service's
/// targets. An ejected target returns after a time that doubles with each ejection, to a maximum.

#include "coordination/entry/RoutingTable.h"

#include <map>

namespace kumquat {

/// The ejection of a target or its return.
struct EjectionEvent
{
    std::string target;
    bool ejected = true; ///< false: it returned
    std::string reason;
};

/// Holds the history of ejections of all targets.
class OutlierEjection
{
public:
    /// Ejects and returns targets of \p service and says which. Call it every few hundred
    /// milliseconds. At most \p maxEjectedShare (0 to 1) of the targets are ejected at a time.
    std::vector<EjectionEvent> evaluate(const ActiveService &service, double maxEjectedShare,
                                        TimePoint now);

private:
    struct History
    {
        int ejections = 0;
        bool ejected = false;
        TimePoint lastEjection;
    };

    std::map<std::string, History> histories_;
};

} // namespace kumquat
