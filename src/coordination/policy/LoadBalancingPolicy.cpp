#include "kumquat/LoadBalancingPolicy.h"

#include "kumquat/Error.h"

#include <algorithm>
#include <atomic>
#include <memory>

namespace kumquat {

namespace {

/// Added to the estimate of a target that has just rejected a request, in requests per slot.
constexpr double shedPenalty = 4;
/// An error rate of 1 multiplies the estimate by 1 plus this.
constexpr double errorPenalty = 8;
/// A smaller slowdown does not count.
constexpr double slowdownThreshold = 1.5;

double ownLoadPerSlot(const Candidate &candidate)
{
    return static_cast<double>(candidate.inFlight) / candidate.slots;
}

// Estimates the requests per slot at the target, including the new one, and increases the result
// for a slow or failing target.
// Example: 2 slots, 1 request of this entry and 1 of another -> (1 + 1 + 1) / 2 = 1.5; at three
// times the mean latency of the service -> 4.5.
double estimate(const Candidate &candidate)
{
    const double load = (candidate.inFlight + candidate.externalLoad + 1) / candidate.slots;
    const double slowdownFactor = candidate.slowdown > slowdownThreshold ? candidate.slowdown : 1;
    const double shedCost = candidate.shedRecently ? shedPenalty : 0;
    return load * slowdownFactor * (1 + errorPenalty * candidate.errorRate) + shedCost;
}

// The search starts at a random position, so that ties are spread over the candidates.
template <typename Score>
std::size_t positionOfSmallest(const std::vector<Candidate> &candidates, std::uint64_t random,
                               Score score)
{
    const std::size_t count = candidates.size();
    std::size_t best = random % count;
    double bestScore = score(candidates[best]);
    for (std::size_t step = 1; step < count; ++step) {
        const std::size_t position = (random + step) % count;
        const double candidateScore = score(candidates[position]);
        if (candidateScore < bestScore) {
            best = position;
            bestScore = candidateScore;
        }
    }
    return best;
}

std::size_t powerOfTwoChoices(const std::vector<Candidate> &candidates, std::uint64_t random)
{
    const std::size_t first = (random & 0xffffffffU) % candidates.size();
    const std::size_t second = (random >> 32U) % candidates.size();
    return estimate(candidates[first]) <= estimate(candidates[second]) ? first : second;
}

} // namespace

LoadBalancingPolicy makeLoadBalancingPolicy(const std::string &name)
{
    if (name == "random") {
        return [](const std::vector<Candidate> &candidates, std::uint64_t random) {
            return static_cast<std::size_t>(random % candidates.size());
        };
    }
    if (name == "round-robin") {
        auto next = std::make_shared<std::atomic<std::size_t>>(0);
        return [next](const std::vector<Candidate> &candidates, std::uint64_t) {
            return next->fetch_add(1) % candidates.size();
        };
    }
    if (name == "least-in-flight") {
        return [](const std::vector<Candidate> &candidates, std::uint64_t random) {
            return positionOfSmallest(candidates, random, ownLoadPerSlot);
        };
    }
    if (name == "power-of-two") {
        return powerOfTwoChoices;
    }
    KUMQUAT_ASSERT(name == "smallest-estimate", name);
    return [](const std::vector<Candidate> &candidates, std::uint64_t random) {
        return positionOfSmallest(candidates, random, estimate);
    };
}

} // namespace kumquat
