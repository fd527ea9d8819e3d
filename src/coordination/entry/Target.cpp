#include "coordination/entry/Target.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

constexpr double latencyWeight = 0.2;
constexpr double errorWeight = 0.1;
/// After this time half of the reported requests are assumed to have ended.
constexpr Milliseconds reportHalfLife { 20 };
constexpr Milliseconds recentShedPeriod { 3 };
/// A target that did not respond to a probe is not selected for this long.
constexpr Milliseconds unresponsivePeriod { 300 };

// A lost update between two threads costs one sample of a moving average, so no retry loop.
void updateAverage(std::atomic<double> &value, double sample, double weight)
{
    const double old = value.load(std::memory_order_relaxed);
    value.store(old + weight * (sample - old), std::memory_order_relaxed);
}

} // namespace

bool TargetStats::tryAcquire(int limit)
{
    int current = inFlight_.load(std::memory_order_relaxed);
    while (current < limit) {
        if (inFlight_.compare_exchange_weak(current, current + 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void TargetStats::recordResponse(Clock::duration elapsed, bool failed, TimePoint now)
{
    responses_.fetch_add(1, std::memory_order_relaxed);
    updateAverage(errorRate_, failed ? 1.0 : 0.0, errorWeight);
    store(lastResponseAt_, now);
    // Errors are often fast and would make a failing target look like a fast one.
    if (failed) {
        return;
    }
    const double sample = toMilliseconds(elapsed) * 1000;
    if (latencyUs() == 0) {
        latencyUs_.store(sample, std::memory_order_relaxed);
    } else {
        updateAverage(latencyUs_, sample, latencyWeight);
    }
}

void TargetStats::recordFailure(TimePoint now)
{
    (void)now;
    updateAverage(errorRate_, 1.0, errorWeight);
}

void TargetStats::recordShed(TimePoint now)
{
    store(lastShedAt_, now);
    store(lastResponseAt_, now);
}

bool TargetStats::shedRecently(TimePoint now) const
{
    return now - load(lastShedAt_) < recentShedPeriod;
}

void TargetStats::recordReportedInFlight(int inFlight, TimePoint now)
{
    const double external = std::max(0, inFlight - this->inFlight());
    reportedExternalLoad_.store(external, std::memory_order_relaxed);
    store(reportedAt_, now);
}

void TargetStats::recordLoadReport(const LoadReport &report, int ownCompleted, TimePoint now)
{
    const int inFlight = std::max(0, report.inFlight - ownCompleted);
    recordReportedInFlight(inFlight, now);
    constexpr double percent = 100;
    reportedSlowdown_.store(report.slowdownPercent / percent, std::memory_order_relaxed);
    reportedInFlight_.store(inFlight, std::memory_order_relaxed);
    store(lastDirectReportAt_, now);
    store(unresponsiveAt_, TimePoint());
}

void TargetStats::recordPeerReport(const LoadReport &report, TimePoint reportTime)
{
    if (reportTime <= reportedAt()) {
        return;
    }
    constexpr double percent = 100;
    recordReportedInFlight(report.inFlight, reportTime);
    reportedSlowdown_.store(report.slowdownPercent / percent, std::memory_order_relaxed);
}

bool TargetStats::isUnresponsive(TimePoint now) const
{
    return load(unresponsiveAt_) != TimePoint() && now - load(unresponsiveAt_) < unresponsivePeriod;
}

double TargetStats::externalLoad(TimePoint now) const
{
    const double age = toMilliseconds(now - load(reportedAt_));
    return reportedExternalLoad_.load(std::memory_order_relaxed)
        * std::exp2(-age / toMilliseconds(reportHalfLife));
}

void TargetStats::resetObservations()
{
    latencyUs_.store(0);
    errorRate_.store(0);
}

// Example: 2 slots, factor 2 and 6 entries give a limit of 1 per entry, so at most 6 requests are
// at the target, of which 2 run. Without dividing by the entries, each entry alone could fill the
// target, and under high load most requests would be shed (docs/DESIGN.md, choice of target).
int inFlightLimit(const Target &target, double slotsFactor, std::size_t entries, TimePoint now)
{
    const double share = target.record.slots * slotsFactor / static_cast<double>(entries);
    const double full = std::max(1.0, std::ceil(share));
    const Milliseconds slowStartTime = target.stats->slowStartTime();
    const auto age = now - target.stats->readySince();
    if (slowStartTime.count() == 0 || age >= slowStartTime) {
        return static_cast<int>(full);
    }
    const double slowStartFraction = toMilliseconds(age) / toMilliseconds(slowStartTime);
    return static_cast<int>(std::max(1.0, std::floor(full * slowStartFraction)));
}

bool isUsable(const Target &target, TimePoint now)
{
    return target.record.state == TargetState::ready && !target.stats->isEjected(now)
        && !target.stats->isEvacuated() && !target.stats->isUnreachable()
        && !target.stats->isLeaving() && !target.stats->rest().isResting(now);
}

} // namespace kumquat
