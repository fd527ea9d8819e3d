#include "kumquat/Placement.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

using Microseconds = std::chrono::microseconds;

/// Assumed for a target without a recent report.
constexpr double defaultSlowdown = 1.6;
/// Time constants of the exponential decay of a report's weight: the duration of a few requests.
constexpr Microseconds slowdownDecayTime { 300'000 };
constexpr Microseconds loadDecayTime { 120'000 };
constexpr Microseconds typicalLoadDecayTime { 240'000 };
/// Weight of the assumption that a service is idle; a fresh report weighs 1.
constexpr double noReportWeight = 1;
/// Some targets slow down by this factor when this share of their slots is in use.
constexpr double saturationThreshold = 0.8;
constexpr double saturationSlowdown = 1.6;
constexpr double slowStartSlowdown = 2;
constexpr double errorPenalty = 6;
/// A target in the same failure domain saves network time, which is short compared to the work.
constexpr double sameDomainFactor = 0.97;
/// Targets with a report younger than this are not probed.
constexpr Microseconds freshReportAge { 5'000 };
/// A target counts as full when its estimated load is within this of the limit.
constexpr double fullTolerance = 0.2;
/// A request that would take longer than this many times its remaining time is not worth running.
constexpr double maxObjectiveOvershoot = 1.6;
/// A rejected caller retries after the objective divided by a number between these two.
constexpr int minRetryDelayDivisor = 10;
constexpr int maxRetryDelayDivisor = 4;
/// Candidates count as equal when their slowdown is within this factor of the best.
constexpr double tieTolerance = 1.05;

double decay(Microseconds age, Microseconds timeConstant)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(timeConstant.count()));
}

double decayedSlowdown(const PlacementCandidate &candidate)
{
    if (!candidate.hasReport) {
        return defaultSlowdown;
    }
    const double weight = decay(candidate.reportAge, slowdownDecayTime);
    return weight * candidate.slowdown + (1 - weight) * defaultSlowdown;
}

double decayedExternalLoad(const PlacementCandidate &candidate)
{
    const double weight = candidate.hasReport ? decay(candidate.reportAge, loadDecayTime) : 0;
    return weight * candidate.externalLoad + (1 - weight) * candidate.typicalLoad;
}

} // namespace

// Example: ten targets with 2 requests each, all reported one decay time ago: 10 * 0.37 * 2 / (10 *
// 0.37 + 1) = 1.6. With no recent report it is 0, so that requests are tried again.
void setTypicalLoad(std::vector<PlacementCandidate> &candidates)
{
    double weights = noReportWeight;
    double load = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.hasReport) {
            const double weight = decay(candidate.reportAge, typicalLoadDecayTime);
            weights += weight;
            load += weight * candidate.externalLoad;
        }
    }
    for (PlacementCandidate &candidate : candidates) {
        candidate.typicalLoad = load / weights;
    }
}

// Example: 2 slots, one request in flight, slowdown 1 -> the new one takes the last slot: 1.6.
// With two in flight it also queues for half a service time: 2.1.
double expectedSlowdown(const PlacementCandidate &candidate)
{
    const double occupied = candidate.inFlight + decayedExternalLoad(candidate) + 1;
    const double saturationFactor
        = occupied >= saturationThreshold * candidate.slots ? saturationSlowdown : 1;
    const double queued = std::max(0.0, occupied - candidate.slots) / candidate.slots;
    const double slowStartFactor = candidate.isInSlowStart ? slowStartSlowdown : 1;
    const double domainFactor = candidate.sameFailureDomain ? sameDomainFactor : 1;
    return decayedSlowdown(candidate) * (saturationFactor + queued) * slowStartFactor * domainFactor
        * (1 + errorPenalty * candidate.errorRate);
}

// Example: of 4 slots, three run at full speed and four at 1/1.6 of it, a lower throughput
// (4 / 1.6 = 2.5): 3. Of 2 slots, two at 1/1.6 (1.25) still do more than one alone: 2.
int optimalConcurrency(int slots)
{
    int best = 1;
    double bestThroughput = 0;
    for (int running = 1; running <= slots; ++running) {
        const double throughput
            = running / (running >= saturationThreshold * slots ? saturationSlowdown : 1);
        if (throughput > bestThroughput) {
            bestThroughput = throughput;
            best = running;
        }
    }
    return best;
}

bool isKnownFull(const PlacementCandidate &candidate)
{
    const int limit = optimalConcurrency(candidate.slots);
    return candidate.inFlight >= limit
        || candidate.inFlight + decayedExternalLoad(candidate) >= limit - fullTolerance;
}

void removeWithOneFreeSlot(std::vector<PlacementCandidate> &candidates)
{
    const auto leavesNone = [](const PlacementCandidate &candidate) {
        const int limit = optimalConcurrency(candidate.slots);
        const double occupied = candidate.inFlight + decayedExternalLoad(candidate) + 1;
        return limit > 1 && occupied > limit - 1 + fullTolerance;
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), leavesNone),
                     candidates.end());
}

bool isWorthWaiting(double slowdown, const RequestTiming &timing, Microseconds wait)
{
    const auto serviceTime = static_cast<double>(timing.baselineServiceTime.count());
    const auto remaining = static_cast<double>(timing.untilObjective.count());
    const bool missesObjective = serviceTime * slowdown > remaining;
    return timing.baselineServiceTime.count() > 0 && missesObjective
        && canMeetObjective({ timing.baselineServiceTime, timing.untilObjective - wait });
}

bool canMeetObjective(const RequestTiming &timing)
{
    const auto serviceTime = static_cast<double>(timing.baselineServiceTime.count());
    return serviceTime * saturationSlowdown < static_cast<double>(timing.untilObjective.count());
}

bool farExceedsObjective(double slowdown, const RequestTiming &timing)
{
    if (!canMeetObjective({ timing.baselineServiceTime, timing.objective })) {
        return false;
    }
    const double expectedTime = static_cast<double>(timing.baselineServiceTime.count()) * slowdown;
    return expectedTime
        > maxObjectiveOvershoot * static_cast<double>(timing.untilObjective.count());
}

std::chrono::milliseconds retryAfterDelay(std::chrono::milliseconds objective, std::uint64_t random)
{
    const std::chrono::milliseconds shortest = objective / minRetryDelayDivisor;
    const std::chrono::milliseconds longest = objective / maxRetryDelayDivisor;
    const auto spread = static_cast<std::uint64_t>((longest - shortest).count() + 1);
    return shortest + std::chrono::milliseconds(static_cast<std::int64_t>(random % spread));
}

std::vector<std::size_t> candidatesToProbe(const std::vector<PlacementCandidate> &candidates,
                                           std::size_t count, std::uint64_t random)
{
    struct RankedCandidate
    {
        double slowdown;
        std::uint64_t tie;
        std::size_t position;
    };
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool fresh = candidates[i].hasReport && candidates[i].reportAge < freshReportAge;
        if (!fresh && candidates[i].inFlight < optimalConcurrency(candidates[i].slots)) {
            // Multiplication by an odd number is a bijection, so no two positions tie.
            const std::uint64_t tie = (random + i) * 0x9e3779b97f4a7c15U;
            ranked.push_back({ expectedSlowdown(candidates[i]), tie, i });
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const RankedCandidate &left, const RankedCandidate &right) {
                  return left.slowdown != right.slowdown ? left.slowdown < right.slowdown
                                                         : left.tie < right.tie;
              });
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        positions.push_back(ranked[i].position);
    }
    return positions;
}

std::size_t selectTarget(const std::vector<PlacementCandidate> &candidates, std::uint64_t random)
{
    double best = std::numeric_limits<double>::max();
    for (const PlacementCandidate &candidate : candidates) {
        if (!isKnownFull(candidate)) {
            best = std::min(best, expectedSlowdown(candidate));
        }
    }
    std::vector<std::size_t> tied;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isKnownFull(candidates[i]) && expectedSlowdown(candidates[i]) <= best * tieTolerance) {
            tied.push_back(i);
        }
    }
    return tied.empty() ? candidates.size() : tied[random % tied.size()];
}

} // namespace kumquat
