#include "kumquat/Placement.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

using Microseconds = std::chrono::microseconds;

/// The pace of a target of which nothing recent is known.
constexpr double unknownPace = 1.6;
/// How fast a report of pace and of load loses its worth: the time of some requests.
constexpr Microseconds paceMemory { 300'000 };
constexpr Microseconds loadMemory { 120'000 };
/// A share of the slots from which some targets slow down, and by how much.
constexpr double nearlyFull = 0.8;
constexpr double nearlyFullSlowdown = 1.6;
constexpr double coldSlowdown = 2;
constexpr double errorPenalty = 6;
/// A nearer target saves the way, which is short beside the work.
constexpr double nearnessGain = 0.97;
/// Reports younger than this need no asking.
constexpr Microseconds freshReport { 5'000 };
/// Reports older than this prove nothing of free slots.
constexpr Microseconds believedReport { 60'000 };
/// A request that would take this many times what is left of its objective is better refused.
constexpr double hopelessOvershoot = 1.6;
/// A refused caller comes back between these parts of its objective.
constexpr int earliestReturnParts = 10;
constexpr int latestReturnParts = 4;
/// Views within this of the best are as good.
constexpr double asGood = 1.05;

double remaining(Microseconds age, Microseconds memory)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(memory.count()));
}

double expectedPace(const PlacementCandidate &view)
{
    if (!view.hasReport) {
        return unknownPace;
    }
    const double weight = remaining(view.reportAge, paceMemory);
    return weight * view.slowdown + (1 - weight) * unknownPace;
}

double expectedForeign(const PlacementCandidate &view)
{
    return view.hasReport ? view.foreignLoad * remaining(view.reportAge, loadMemory) : 0;
}

} // namespace

// Example: 2 slots, one request there, pace 1 -> both slots taken, nearly full -> 1.6; with two
// there the request would wait for half of one, too -> 2.1.
double expectedSlowdown(const PlacementCandidate &view)
{
    const double occupied = view.inFlight + expectedForeign(view) + 1;
    const double full = occupied >= nearlyFull * view.slots ? nearlyFullSlowdown : 1;
    const double queued = std::max(0.0, occupied - view.slots) / view.slots;
    const double warm = view.isWarmingUp ? coldSlowdown : 1;
    const double near = view.sameFailureDomain ? nearnessGain : 1;
    return expectedPace(view) * (full + queued) * warm * near * (1 + errorPenalty * view.errorRate);
}

// Example: with 4 slots three run at full pace, four at 1/1.6 of it, which is less work done: 3.
// With 2 slots two run at 1/1.6 of the pace, which is still more than one alone: 2.
int optimalConcurrency(int slots)
{
    int best = 1;
    double mostDone = 0;
    for (int running = 1; running <= slots; ++running) {
        const double done = running / (running >= nearlyFull * slots ? nearlyFullSlowdown : 1);
        if (done > mostDone) {
            mostDone = done;
            best = running;
        }
    }
    return best;
}

bool isKnownFull(const PlacementCandidate &view)
{
    const int places = optimalConcurrency(view.slots);
    const bool believed = view.hasReport && view.reportAge < believedReport;
    return view.inFlight >= places || (believed && view.inFlight + view.foreignLoad >= places);
}

bool isWorthWaiting(double slowness, const RequestTiming &time, Microseconds horizon)
{
    const auto work = static_cast<double>(time.baseServiceTime.count());
    const auto left = static_cast<double>(time.untilObjective.count());
    const bool late = work * slowness > left;
    return time.baseServiceTime.count() > 0 && late
        && work * nearlyFullSlowdown + static_cast<double>(horizon.count()) < left;
}

bool farExceedsObjective(double slowness, const RequestTiming &time)
{
    const double end = static_cast<double>(time.baseServiceTime.count()) * slowness;
    return end > hopelessOvershoot * static_cast<double>(time.untilObjective.count());
}

std::chrono::milliseconds retryAfterDelay(std::chrono::milliseconds objective, std::uint64_t random)
{
    const std::chrono::milliseconds least = objective / earliestReturnParts;
    const std::chrono::milliseconds most = objective / latestReturnParts;
    const auto spread = static_cast<std::uint64_t>((most - least).count() + 1);
    return least + std::chrono::milliseconds(static_cast<std::int64_t>(random % spread));
}

std::vector<std::size_t> targetsToQuery(const std::vector<PlacementCandidate> &views, std::size_t count,
                                     std::uint64_t random)
{
    struct Ranked
    {
        double slowness;
        std::uint64_t tie;
        std::size_t position;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(views.size());
    for (std::size_t i = 0; i < views.size(); ++i) {
        const bool fresh = views[i].hasReport && views[i].reportAge < freshReport;
        if (!fresh && views[i].inFlight < optimalConcurrency(views[i].slots)) {
            // Multiplying by an odd number gives each position a rank of its own.
            const std::uint64_t tie = (random + i) * 0x9e3779b97f4a7c15U;
            ranked.push_back({ expectedSlowdown(views[i]), tie, i });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.slowness != right.slowness ? left.slowness < right.slowness
                                               : left.tie < right.tie;
    });
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        positions.push_back(ranked[i].position);
    }
    return positions;
}

std::size_t selectTarget(const std::vector<PlacementCandidate> &views, std::uint64_t random)
{
    double best = std::numeric_limits<double>::max();
    for (const PlacementCandidate &view : views) {
        if (!isKnownFull(view)) {
            best = std::min(best, expectedSlowdown(view));
        }
    }
    std::vector<std::size_t> good;
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (!isKnownFull(views[i]) && expectedSlowdown(views[i]) <= best * asGood) {
            good.push_back(i);
        }
    }
    return good.empty() ? views.size() : good[random % good.size()];
}

} // namespace kumquat
