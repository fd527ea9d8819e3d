#pragma once
/// \file
/// Draws the requests of a run in advance: when each starts, what it asks and how much work it is.
/// The same seed gives the same plan, whatever is measured with it.

#include "common/Random.h"
#include "common/Time.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace kumquat::load {

enum class RequestKind { lookup, booking, upload };

const char *requestKindName(RequestKind kind);

struct PlannedRequest
{
    Microseconds start { 0 }; ///< after the run's begin
    RequestKind kind = RequestKind::lookup;
    std::string service;
    Microseconds work { 0 };
    std::uint64_t number = 0;
};

/// One share of the traffic.
struct TrafficShare
{
    std::string service;
    RequestKind kind = RequestKind::lookup;
    double share = 1;
    double workMs = 10;
};

struct PlanOptions
{
    std::vector<TrafficShare> shares;
    double ratePerSecond = 100;
    Seconds length { 10 };
    double burstFactor = 1; ///< rate during a burst, against the mean
    Milliseconds burstEvery { 0 };
    Milliseconds burstLength { 50 };
    std::uint64_t seed = 1;
};

/// Parses SERVICE:KIND:SHARE:WORK_MS, with commas between.
absl::StatusOr<std::vector<TrafficShare>> parseShares(const std::string &text);

std::vector<PlannedRequest> generatePlan(const PlanOptions &options);

/// The latencies that one queue with exact knowledge and \p slots servers would give the plan's
/// requests of \p service: the bound that no choice of targets can beat.
std::vector<double> idealLatenciesMs(const std::vector<PlannedRequest> &plan,
                                     const std::string &service, int slots);

} // namespace kumquat::load
