#pragma once
/// \file
/// Generates the requests of a run in advance: start, kind and service time of each.
/// The same seed and options give the same plan, so that runs can be compared.

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
    Microseconds start { 0 }; ///< relative to the begin of the run
    RequestKind kind = RequestKind::lookup;
    std::string service;
    Microseconds work { 0 }; ///< service time that the target is asked to take
    std::uint64_t number = 0; ///< position in the plan
};

/// One class of requests and its share of the traffic.
struct TrafficShare
{
    std::string service;
    RequestKind kind = RequestKind::lookup;
    double share = 1; ///< weight relative to the other shares
    double workMs = 10; ///< mean service time
};

struct PlanOptions
{
    std::vector<TrafficShare> shares;
    double ratePerSecond = 100;
    Seconds length { 10 };
    double burstFactor = 1; ///< rate during a burst as a multiple of the mean rate
    Milliseconds burstEvery { 0 }; ///< from one burst's start to the next; 0: no bursts
    Milliseconds burstLength { 50 };
    std::uint64_t seed = 1;
};

/// Parses comma-separated items of the form SERVICE:KIND:SHARE:WORK_MS.
absl::StatusOr<std::vector<TrafficShare>> parseShares(const std::string &text);

/// Generates Poisson arrivals with exponentially distributed service times.
std::vector<PlannedRequest> generatePlan(const PlanOptions &options);

/// Latencies of the plan's requests to \p service when one shared first-come, first-served queue
/// feeds \p slots servers: the lower bound for any way to choose targets.
std::vector<double> idealLatenciesMs(const std::vector<PlannedRequest> &plan,
                                     const std::string &service, int slots);

} // namespace kumquat::load
