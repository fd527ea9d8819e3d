#pragma once
/// \file
/// Defines how a stand-in target behaves: service times, load reports and faults.
/// Each value can be changed while it runs, through the stand-in's admin port.

#include "common/Random.h"
#include "common/Time.h"

#include <absl/status/statusor.h>
#include <json/json.h>
#include <string>

namespace kumquat::standin {

enum class ServiceTimeDistribution { fixed, exponential };

struct Behaviour
{
    double meanWorkMs = 10;
    ServiceTimeDistribution shape = ServiceTimeDistribution::exponential;
    int slots = 2;
    int queue = 4; ///< requests that may wait for a slot; more are shed
    double slowdown = 1; ///< factor on all work
    double shiftFactor = 1; ///< work is this much slower during a shift
    double shiftEveryMs = 0; ///< mean time between shifts; 0: none
    double shiftLengthMs = 20;
    double failShare = 0; ///< share of requests answered 500 at once
    double truncateShare = 0; ///< share of answers cut off in the middle
    double lieFactor = 1; ///< factor on the load it reports
    bool silent = false; ///< reads and never answers on connections that are open now
    bool crashOnPoison = false; ///< closes all its connections on a request with /poison in it
    bool healthFails = false;
};

/// Overwrites the fields that \p changes names; fails on a field that does not exist.
absl::Status applyChanges(Behaviour &behaviour, const Json::Value &changes);

} // namespace kumquat::standin
