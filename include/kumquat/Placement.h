#pragma once
/// \file
/// Decides where a request goes when targets share their instances with others: their pace
/// changes within fractions of a second, so what is known of a target is weighed by its age.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquat {

/// A target as one entry knows it at the moment of a decision.
struct PlacementCandidate
{
    std::size_t index = 0; ///< in the service's list of targets
    int slots = 1;
    int inFlight = 0; ///< this entry's requests in flight there
    double foreignLoad = 0; ///< other entries' requests, at the time of the report
    double slowdown = 1; ///< how long work takes there, 1 is ordinary, at the time of the report
    std::chrono::microseconds reportAge { 0 }; ///< of the report
    bool hasReport = false;
    bool isWarmingUp = false; ///< started a moment ago
    double errorRate = 0; ///< 0 to 1
    bool sameFailureDomain = false;
};

/// How many times its ordinary duration a request would take there, as far as is known.
/// Answers load that shifts within the time of a request: old reports count for less.
double expectedSlowdown(const PlacementCandidate &candidate);

/// How many requests a target of that many slots is given at once: the number at which it gets
/// most work done. Answers bursts, in which one more on a target that slows down near full makes
/// all that it runs late.
int optimalConcurrency(int slots);

/// True when a report young enough to be believed leaves none of the useful slots free.
bool isKnownFull(const PlacementCandidate &candidate);

/// What is known of the time that a request still has.
struct RequestTiming
{
    std::chrono::microseconds baseServiceTime { 0 }; ///< at an ordinary pace; 0 when nothing is known
    std::chrono::microseconds untilObjective { 0 }; ///< may be negative
};

/// True when a place this slow would miss the objective although a quicker one, taken within
/// \p horizon, could still meet it. Answers bursts in which all quick targets are busy for a
/// moment.
bool isWorthWaiting(double slowdown, const RequestTiming &timing, std::chrono::microseconds wait);

/// True when a place this slow would end far beyond the objective, so that the target's time is
/// better left to a request that it can serve.
bool farExceedsObjective(double slowdown, const RequestTiming &timing);

/// When a refused caller should come back: soon enough that its objective can still be met, and
/// spread, so that the refused of one burst do not return together.
std::chrono::milliseconds retryAfterDelay(std::chrono::milliseconds objective, std::uint64_t random);

/// Positions of the \p count views most worth asking for a fresh report, the best first; those
/// whose report is fresh anyway are left out. \p random breaks ties.
std::vector<std::size_t> targetsToQuery(const std::vector<PlacementCandidate> &candidates, std::size_t count,
                                     std::uint64_t random);

/// The position of the view that a request should go to, or views.size() when none has room.
/// Among views as good as the best, \p random picks, so that entries do not meet at one target.
std::size_t selectTarget(const std::vector<PlacementCandidate> &candidates, std::uint64_t random);

} // namespace kumquat
