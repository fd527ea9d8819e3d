#pragma once
/// \file
/// Selects targets for requests when targets share their instances with other workloads. Their
/// speed then changes within fractions of a second, so load reports are weighted by their age.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquat {

/// The state of a target as this entry knows it when it places a request.
struct PlacementCandidate
{
    std::size_t index = 0; ///< position in the service's list of targets
    int slots = 1; ///< requests that the target runs at once
    int inFlight = 0; ///< requests that this entry has in flight at the target
    double externalLoad = 0; ///< reported requests in flight from other entries
    double typicalLoad = 0; ///< of other entries at this service's targets; see setTypicalLoad()
    double slowdown = 1; ///< reported service time divided by the normal one
    std::chrono::microseconds reportAge { 0 };
    bool hasReport = false; ///< false: no load report was received yet
    bool isInSlowStart = false; ///< it started or returned a short time ago
    double errorRate = 0; ///< moving average, 0 to 1
    bool sameFailureDomain = false; ///< as this entry
};

/// Sets `typicalLoad` of all candidates, which are those of one service, from their recent reports.
/// A report that grows old says less about its own target than the others' reports do.
void setTypicalLoad(std::vector<PlacementCandidate> &candidates);

/// Estimates how many times its normal service time a request would take at \p candidate.
/// Load can shift while a request runs, so older reports count for less.
double expectedSlowdown(const PlacementCandidate &candidate);

/// The number of concurrent requests at which a target with \p slots slots has its highest
/// throughput. Targets slow down near saturation, so during a burst one request more than this
/// would make all requests at the target late.
int optimalConcurrency(int slots);

/// True when this entry alone uses all of optimalConcurrency(), or probably does so together with
/// the other entries.
bool isKnownFull(const PlacementCandidate &candidate);

/// Removes the candidates at which one more request would leave no free slot, as far as is known.
/// Bulk requests leave these slots to others while a service is loaded.
void removeWithOneFreeSlot(std::vector<PlacementCandidate> &candidates);

/// The time that a request needs and the time that it has left.
struct RequestTiming
{
    std::chrono::microseconds baselineServiceTime { 0 }; ///< at a slowdown of 1; 0: unknown
    std::chrono::microseconds untilObjective { 0 }; ///< negative when it has passed
    /// Of the route; one that no target could ever meet must not make all its requests futile.
    std::chrono::microseconds objective = std::chrono::microseconds::max();
};

/// True when a target with this \p slowdown would miss the latency objective, but a fast target
/// could still meet it after \p wait. During a burst all fast targets can be busy for a moment.
bool isWorthWaiting(double slowdown, const RequestTiming &timing, std::chrono::microseconds wait);

/// True when a request with this \p timing could meet its latency objective at a fast target.
bool canMeetObjective(const RequestTiming &timing);

/// True when a target with this \p slowdown would exceed the latency objective by so much that its
/// capacity is better kept for requests that can still meet theirs.
bool farExceedsObjective(double slowdown, const RequestTiming &timing);

/// The delay after which a rejected caller should retry: short enough that the retry can still meet
/// the latency objective, and random, so that callers rejected in one burst do not retry together.
std::chrono::milliseconds retryAfterDelay(std::chrono::milliseconds objective,
                                          std::uint64_t random);

/// Positions of up to \p count candidates to probe for a new load report, the lowest expected
/// slowdown first. Candidates with a fresh report and those that this entry alone fills are left
/// out. \p random breaks ties.
std::vector<std::size_t> candidatesToProbe(const std::vector<PlacementCandidate> &candidates,
                                           std::size_t count, std::uint64_t random);

/// The position of the candidate to send a request to, or candidates.size() when all are full.
/// \p random selects among those about as good as the best, so that entries do not all select the
/// same target.
std::size_t selectTarget(const std::vector<PlacementCandidate> &candidates, std::uint64_t random);

} // namespace kumquat
