#pragma once
/// \file
/// Defines the service times, load reports and injected faults of a stand-in target.
/// Every field can be changed at run time through the admin port of kumquat-standin.

#include "common/Random.h"
#include "common/Time.h"

#include <absl/status/statusor.h>
#include <json/json.h>
#include <string>

namespace kumquat::standin {

enum class ServiceTimeDistribution { fixed, exponential };

struct Behaviour
{
    double meanWorkMs = 10; ///< mean service time of requests that do not state their own
    ServiceTimeDistribution shape = ServiceTimeDistribution::exponential;
    int slots = 2; ///< requests processed concurrently
    int queue = 4; ///< requests that may wait for a slot; more are shed
    double slowdown = 1; ///< factor on every service time
    double shiftFactor = 1; ///< factor on service times during a temporary slowdown (shift)
    double shiftEveryMs = 0; ///< mean time between shifts; 0 disables them
    double shiftLengthMs = 20;
    double failShare = 0; ///< share of requests answered with status 500 immediately
    double truncateShare = 0; ///< share of responses that end before their Content-Length
    double lieFactor = 1; ///< factor on the in-flight count that the target reports
    bool silent = false; ///< stops responding on connections that are open now
    bool crashOnPoison = false; ///< simulates a crash on a request with /poison in its path
    bool healthFails = false; ///< answers health probes with status 503
    bool saysLeaving = false; ///< all responses say that the target leaves
    /// All responses of the platform's protocol name what is left until then, if it is not zero.
    TimePoint coldUntil; ///< member `warmupMs`: so long after the change
    /// Unless it is `none`, requests are refused with 503 and this Retry-After.
    std::string retryAfter = "none";

    bool asksForRest() const { return retryAfter != "none"; }
};

/// Overwrites the fields that \p changes contains. Fails with ErrorKind::badMessage on unknown
/// fields and on values out of range.
absl::Status applyChanges(Behaviour &behaviour, const Json::Value &changes);

} // namespace kumquat::standin
