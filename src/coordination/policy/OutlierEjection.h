#pragma once
/// \file
/// Ejects targets that fail or lag far behind their peers, never more than a bounded share.
/// An ejected target comes back after a pause that grows with each ejection.

#include "coordination/entry/RoutingTable.h"

#include <map>

namespace kumquat {

struct EjectionEvent
{
    std::string target;
    bool ejected = true; ///< false: it came back
    std::string reason;
};

class OutlierEjection
{
public:
    /// Judges the targets of one service; to be called every few hundred milliseconds.
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
